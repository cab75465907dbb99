/* Estimates the load, speed and failure rate of one upstream, from what one
 * entry observes, and the cost of sending a request to it. */
#ifndef CC_PICK_H
#define CC_PICK_H

#include "backoff.h"
#include "pool_load.h"
#include "pool_reach.h"
#include "work_spread.h"

/* A request of this entry that is inside an upstream. */
typedef struct CcPickOwn CcPickOwn;
struct CcPickOwn
{
  CcPickOwn *next;
  gint64 starts;              /* expected start of its work, us */
  double work;                /* predicted, at a typical upstream, us */
  double slowness;            /* of the upstream, as of the sending */
  const CcWorkSpread *spread; /* of work relative to that; NULL: none */
};

/* The load of one upstream as this entry estimates it. */
typedef struct
{
  guint slots;             /* requests that it works on at once */
  guint in_flight;         /* attempts of this entry that are inside it */
  CcPickOwn *own;          /* those of them whose work is predicted */
  double remote;           /* attempts of other entries by its last report */
  double remote_mean;      /* moving mean of that over the reports */
  gint64 reported_at;      /* time of the last report, us; 0: never */
  double max_reported;     /* most requests inside that it ever reported */
  double reject_from;      /* limit above which it rejects; 0: unknown */
  gint64 rejected_at;      /* when it last rejected one, us */
  double slowness_sum;     /* decayed sum of its response times relative to the
                              typical ones */
  double slowness_weight;  /* decayed number of responses in that sum */
  gint64 slowness_at;      /* when a response was last added, us */
  double reported;         /* slowness by its last report of that, relative to
                              its usual one */
  double reported_mean;    /* moving mean of that over the reports */
  gint64 slow_reported_at; /* time of that report, us; 0: never */
  double usual_sum;        /* weighted sum of its response times relative to the
                              typical ones, without the reported slowness */
  double usual_weight;     /* weight of the responses in that sum */
  double work_unreported;  /* work of its responses since this entry's last load
                              report, us */
  guint answers_unreported;
  double failures;    /* decayed share of attempts that failed, 0 to 1 */
  gint64 failures_at; /* end of the last attempt, us */
  gint64 cold_until;  /* counted as slow after its start until then, us */
  gint64 avoid_until; /* unreachable or shedding: no attempts until then, us */
  gint64 avoid_span;  /* length of the last backoff for being unreachable, us */
  gint64 reached_at;  /* time of its last response or accepted connection, us;
                         0: never */
  gint64 unreached_at; /* time of the last failed connection, us; 0: never */
  double limit;      /* requests a second that it takes from the whole fleet; 0:
                        there is no limit */
  double cold_rate;  /* of these, since it is cold; 0: it is not, or its pool
                        sets no rate */
  double cold_burst; /* requests beyond that which it takes at once */
  CcReachMark reach;
  gboolean probing;        /* a connection to it is being tried */
  CcBackoff peers_backoff; /* of requests that are forwarded through peers,
                              after these did not reach it either */
  CcPoolReport in_pool;    /* its last contribution to the pool's load */
} CcTargetLoad;

/* How an attempt ended. */
typedef enum
{
  CC_PICK_ANSWERED,    /* with a response */
  CC_PICK_SHED,        /* refused by the upstream because of its load */
  CC_PICK_REJECTED,    /* connection reset before the work can have begun */
  CC_PICK_FAILED,      /* error, or connection broken off */
  CC_PICK_UNREACHABLE, /* no connection could be made */
  CC_PICK_ABANDONED    /* ended by this entry; no information on the upstream */
} CcPickEnd;

/* An upstream's report on its own load, taken from a response. */
typedef struct
{
  gboolean received;
  guint running;
  guint waiting;
  double slowness; /* time that work takes there now, relative to its usual one;
                      0: not reported */
} CcLoadReport;

/* Typical values of the upstreams of a pool. */
typedef struct
{
  double kind;                /* work time of the request's own kind, us */
  double any;                 /* mean work time of all kinds, us */
  double inside;              /* recent requests inside one upstream per slot */
  double predicted;           /* work of a request like this one, us; 0: KIND */
  const CcWorkSpread *spread; /* of work relative to that; NULL: none */
} CcTypicalWork;

/* Result of one attempt. */
typedef struct
{
  CcPickEnd end;
  gint64 took;         /* duration, us */
  double work_share;   /* estimated part of it that was work, not waiting */
  double typical;      /* typical work time of its kind, us */
  CcLoadReport report; /* of the upstream; received FALSE: none */
  double predicted;    /* work of a request like it, us; 0: TYPICAL */
  const CcWorkSpread *spread; /* of work relative to that; NULL: none */
} CcPickResult;

double cc_pick_sent (CcTargetLoad *l, const CcTypicalWork *typical,
                     double inside);
void cc_pick_add_own (CcTargetLoad *l, CcPickOwn *own,
                      const CcTypicalWork *typical, double work_share,
                      gint64 now);
void cc_pick_remove_own (CcTargetLoad *l, const CcPickOwn *own);
void cc_pick_ended (CcTargetLoad *l, const CcPickResult *r, gint64 now);
void cc_pick_connected (CcTargetLoad *l, gint64 now);
void cc_pick_not_connected (CcTargetLoad *l, gint64 now);
gboolean cc_pick_is_unreachable (const CcTargetLoad *l);
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
