/* Which upstream a request goes to, from what one entry knows of each. */
#ifndef CC_PICK_H
#define CC_PICK_H

#include "pool_load.h"

/* What this entry knows of one upstream's load. */
typedef struct
{
  guint slots;           /* requests it works on at once */
  guint mine;            /* attempts of this entry in it */
  double others;         /* attempts of others in it, when it last said */
  double others_typical; /* their mean over a longer time */
  gint64 others_at;      /* when it last said, us; 0: never */
  double held;           /* most requests that it said to have inside */
  double full_from;    /* it turns away from so many inside on; 0: not known */
  gint64 full_at;      /* when it last did, us */
  double slowness_sum; /* of its answers' times, as parts of the typical ones,
                          faded */
  double slowness_weight; /* how many answers that stands for, faded */
  gint64 slowness_at;     /* when that was last added to, us */
  double work_unreported; /* of its answers since the last report, us */
  guint answers_unreported;
  double failures;      /* share of attempts that failed lately, 0 to 1 */
  gint64 failures_at;   /* when an attempt last ended, us */
  gint64 cold_until;    /* slow for having just started, us */
  gint64 avoid_until;   /* not reachable or shedding: not before, us */
  gint64 avoid_span;    /* of the last such time, us */
  gint64 reached_at;    /* it last answered, us; 0: never */
  CcPoolReport in_pool; /* its part of its pool's load */
} CcTargetLoad;

/* How an attempt at it ended. */
typedef enum
{
  CC_PICK_ANSWERED,    /* with work done */
  CC_PICK_SHED,        /* it refused for its load */
  CC_PICK_REJECTED,    /* it reset the connection before it can have begun */
  CC_PICK_FAILED,      /* it failed, or broke off */
  CC_PICK_UNREACHABLE, /* no connection */
  CC_PICK_ABANDONED    /* this entry ended it; tells nothing */
} CcPickEnd;

/* An upstream's own report on its load, from an answer. */
typedef struct
{
  gboolean said;
  guint running;
  guint waiting;
} CcLoadReport;

/* What is usual at a pool's upstreams. */
typedef struct
{
  double kind;   /* time that work of the request's own kind takes, us */
  double any;    /* ... and work of any kind that the pool gets, us */
  double inside; /* requests inside one for each of its slots, lately */
} CcTypicalWork;

/* What an attempt showed. */
typedef struct
{
  CcPickEnd end;
  gint64 took;         /* us */
  double work_share;   /* part of that which was work, by estimate */
  double typical;      /* time that work of its kind usually takes, us */
  CcLoadReport report; /* of the upstream */
} CcPickResult;

double cc_pick_sent (CcTargetLoad *l, const CcTypicalWork *typical,
                     double inside);
void cc_pick_ended (CcTargetLoad *l, const CcPickResult *r, gint64 now);
double cc_pick_inside (const CcTargetLoad *l, const CcTypicalWork *typical,
                       gint64 now);
double cc_pick_owner_inside (const CcTargetLoad *l,
                             const CcTypicalWork *typical, gint64 now);
gboolean cc_pick_is_full (const CcTargetLoad *l, double inside, gint64 now);
gboolean cc_pick_has_capacity (const CcTargetLoad *l,
                               const CcTypicalWork *typical, gint64 now);
double cc_pick_slowness (const CcTargetLoad *l, gint64 now);
double cc_pick_time (const CcTargetLoad *l, const CcTypicalWork *typical,
                     double inside, gint64 now);
double cc_pick_cost (const CcTargetLoad *l, const CcTypicalWork *typical,
                     double cross_zone, gint64 now);

#endif
