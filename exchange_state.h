/* The state of a request, for forward.c and exchange.c only. */
#ifndef CC_EXCHANGE_STATE_H
#define CC_EXCHANGE_STATE_H

#include "backlog.h"
#include "forward.h"
#include "forward_pool.h"
#include "timers.h"

typedef enum
{
  STATE_WAITING, /* in the pool's backlog */
  STATE_SENT     /* at an upstream */
} State;

struct CcForwarder
{
  CcForwarderSetup setup;
  GHashTable *pools;      /* name to CcForwardPool */
  guint entries;          /* of the fleet */
  guint pending;          /* requests without an answer */
  CcTimer capacity_timer; /* for room that comes with time */
  const CcView *state;
};

struct CcExchange
{
  CcForwarder *forwarder;
  CcForwardPool *pool;
  CcBacklogEntry entry;
  State state;
  gboolean keyed;
  gboolean idempotent;
  gboolean may_have_run; /* an attempt of before may have, or has */
  gboolean moving;       /* waits for its key's range */
  gint64 not_before;     /* is not sent again before, us */
  gint64 began;          /* us */
  gint64 target_time;    /* of its route, us */
  gint64 give_up;        /* when it is answered at the latest, us */
  guint attempts_max;    /* upstreams it may reach */
  guint attempts;        /* that it reached */
  guint unreached;       /* upstreams that could not be reached */
  char *method;
  char *path;
  char *headers;
  GBytes *body;
  CcCallerInfo caller;
  CcTarget *considered; /* the upstream that had no room for it */
  CcTarget *target;     /* it is at, or was at last */
  GPtrArray *tried;     /* of CcTarget */
  CcHttpCall *call;
  gint64 sent;           /* us */
  gint64 served;         /* time at upstreams, in attempts that ended, us */
  gint64 leaving;        /* at the last attempt, see CcEnd */
  double work_share;     /* part of its time at the upstream that is work */
  char *kind;            /* of its work */
  CcTypicalWork typical; /* time that this takes, as of the last look */
  CcTimer timer;
  CcExchangeDone done;
  gpointer data;
};

/* What forward.c uses of exchange.c. */
void cc_exchange_free (CcExchange *e);
double cc_exchange_inside (const CcExchange *e, const CcTarget *t, gint64 now);
gint64 cc_exchange_left (const CcExchange *e, gint64 now);
void cc_exchange_end_not_run_until (CcExchange *e, const char *reason,
                                    gint64 at);
void cc_exchange_end_not_run (CcExchange *e, const char *reason);
void cc_exchange_cancel_call (CcExchange *e);
void cc_exchange_on_result (const CcHttpResult *r, gpointer data);
void cc_exchange_on_timeout (gpointer data);

#endif
