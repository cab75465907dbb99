/* The state of a request, shared by forward.c and exchange.c only. */
#ifndef CC_EXCHANGE_STATE_H
#define CC_EXCHANGE_STATE_H

#include "backlog.h"
#include "fingerprint.h"
#include "forward.h"
#include "forward_pool.h"
#include "timers.h"

typedef enum
{
  STATE_WAITING,  /* in the pool's backlog */
  STATE_SENT,     /* at an upstream */
  STATE_FORWARDED /* at a peer */
} State;

/* A server answers no later than the deadline that it was given.  That answer
 * reports the outcome of the work, so it is awaited this much longer. */
#define CC_ANSWER_GRACE (60 * CC_MS)

/* An upstream that may have ended, see forward_crash.c. */
typedef struct CcLostUpstream CcLostUpstream;

struct CcForwarder
{
  CcForwarderSetup setup;
  GHashTable *pools;      /* name to CcForwardPool */
  GPtrArray *peers;       /* of CcPeer */
  guint entries;          /* in the fleet */
  guint pending;          /* requests without an answer */
  GQueue exchanges;       /* these, of CcExchange */
  CcTimer capacity_timer; /* until the next capacity check */
  gint64 pump_at;         /* when that ends, us */
  gint64 permit_due;      /* when a request that waits for a permit is to be
                             decided again, us; G_MAXINT64: none waits */
  gint64 stop_at;         /* all requests must have ended by then, us; 0: this
                             process does not stop */
  GPtrArray *lost;        /* of CcLostUpstream */
  CcTimer lost_timer;     /* until the next check of these */
  const CcView *state;
};

struct CcExchange
{
  CcForwarder *forwarder;
  GList link; /* in the forwarder's EXCHANGES */
  CcForwardPool *pool;
  CcBacklogEntry entry;
  State state;
  gboolean keyed;
  gboolean idempotent;
  gboolean may_have_run;   /* in an earlier attempt */
  gboolean moving;         /* waits while its key range moves */
  gboolean limited;        /* it needed a token of a limited upstream */
  gboolean permit_counted; /* as a request that needs a permit of its owner */
  gint64 not_before;       /* earliest time of the next attempt, us */
  gint64 began;            /* us */
  gint64 target_time;      /* latency target of its route, us */
  gint64 deadline;         /* of its caller or route, us */
  guint attempts_max;      /* limit of ATTEMPTS */
  guint attempts;          /* attempts that reached an upstream */
  guint unreached;         /* attempts without a connection */
  char *method;
  char *path;
  char *headers;
  char **homes; /* regions that may serve it; NULL: all */
  GBytes *body;
  CcCallerInfo caller;
  CcTarget *considered;   /* the upstream that had no capacity for it */
  CcTarget *target;       /* of the attempt in progress or the last one */
  guint64 born;           /* its start as of the sending */
  GPtrArray *tried;       /* of CcTarget */
  gboolean from_peer;     /* a peer has forwarded it */
  gboolean earned;        /* its part of the retry budget was added here */
  gboolean passed_budget; /* ... or goes to the peer of the last attempt */
  gboolean unreachable;   /* see CcExchangeResult */
  const char *peer; /* the peer of the attempt in progress or the last one */
  GPtrArray *peers_tried;   /* addresses of peers; NULL: none */
  guint unreached_by_peers; /* peers that did not reach its upstream */
  guint peer_attempts;      /* attempts that the peer may make */
  CcHttpCall *call;
  guint64 connection; /* of the last attempt, see CcExchangeResult */
  gboolean same_id;
  gint64 sent;       /* start of the attempt, us */
  gint64 served;     /* time at upstreams, in attempts that have ended, us */
  gint64 leaving;    /* as of the last attempt, see CcExchangeResult */
  double work_share; /* share of its time at the upstream that is work */
  CcPickOwn own;     /* its entry among the requests inside the upstream */
  char *kind;        /* of its work, for typical work times */
  guint32 work_path; /* cc_work_path */
  guint32 path_hash; /* cc_fingerprint_hash_path */
  CcFingerprints fingerprints; /* set by cc_exchange_fingerprints */
  gboolean has_fingerprints;
  gboolean suspect_runs; /* the guard is to be told when its run ends */
  guint losses;          /* attempts whose connections were lost */
  CcTarget *lost_at;     /* upstream of the first one */
  CcTypicalWork typical; /* typical time of that, as of the last update */
  CcTimer timer;
  CcExchangeDone done;
  gpointer data;
};

/* Functions of exchange.c that forward.c uses. */
void cc_exchange_free (CcExchange *e);
CcWorkFeatures cc_exchange_features (const CcExchange *e);
double cc_exchange_inside (const CcExchange *e, const CcTarget *t, gint64 now);
gint64 cc_exchange_left (const CcExchange *e, gint64 now);
void cc_exchange_end_not_run_until (CcExchange *e, const char *reason,
                                    gint64 at);
void cc_exchange_end_not_run (CcExchange *e, const char *reason);
void cc_exchange_end_not_run_after (CcExchange *e, const char *reason,
                                    gint64 retry_after);
void cc_exchange_end_unknown (CcExchange *e, const char *reason);
void cc_exchange_end_answered (CcExchange *e, const CcExchangeResult *answer);
void cc_exchange_end_stopping (CcExchange *e);
void cc_exchange_requeue (CcExchange *e, gint64 delay);
void cc_exchange_retry_unknown (CcExchange *e, const char *why, gint64 delay);
void cc_exchange_log_retry (const CcExchange *e, const char *why);
void cc_exchange_cancel_call (CcExchange *e);
void cc_exchange_on_result (const CcHttpResult *r, gpointer data);
void cc_exchange_on_timeout (gpointer data);
const CcFingerprints *cc_exchange_fingerprints (CcExchange *e);
void cc_exchange_start_timer (CcExchange *e, gint64 now);

/* Functions of forward_peer.c. */
gboolean cc_exchange_forward (CcExchange *e, gint64 now);
void cc_exchange_end_forward (CcExchange *e, CcPeerEnd end);

/* Functions of forward.c. */
CcForwardPool *cc_forwarder_find_pool (CcForwarder *f, const char *name);

/* Functions of forward_crash.c. */
CcGuardVerdict cc_exchange_check_crashes (CcExchange *e, gint64 now);
void cc_forwarder_upstream_lost (CcExchange *e, gint64 now);
void cc_forwarder_upstream_answered (CcForwarder *f, const CcTarget *t,
                                     gint64 now);
void cc_forwarder_upstream_refused (CcForwarder *f, const CcTarget *t,
                                    gint64 now);
gboolean cc_forwarder_upstream_seems_ended (const CcForwarder *f,
                                            const CcTarget *t);

/* Functions of forward_probe.c. */
gboolean cc_forwarder_is_partitioned (CcForwarder *f, CcForwardPool *p,
                                      gint64 now);
void cc_forwarder_probe (CcForwarder *f, CcForwardPool *p, CcTarget *t);
void cc_forwarder_probe_some (CcForwarder *f, CcForwardPool *p);

#endif
