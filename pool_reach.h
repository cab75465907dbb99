/* Whether this gateway reaches the upstreams of a pool at all. */
#ifndef CC_POOL_REACH_H
#define CC_POOL_REACH_H

#include "capercrank.h"

/* Whether upstreams are reachable. */
typedef enum
{
  CC_REACH_UNKNOWN, /* nothing is known of the last seconds */
  CC_REACH_YES,
  CC_REACH_NO
} CcReach;

/* What is known of one upstream since connections began to fail. */
typedef struct
{
  guint episode; /* CcPoolReach.episode; the rest is void in another one */
  CcReach state;
} CcReachMark;

/* All zero: no connection has failed yet.  An episode begins with a failed
 * connection, and ends when no upstream with one is left. */
typedef struct
{
  guint episode;     /* number of the last one */
  guint failed;      /* upstreams whose last connection failed in it */
  guint reached;     /* upstreams that have responded last */
  gint64 failed_at;  /* last failed connection, us */
  gint64 reached_at; /* last response or connection of any upstream, us */
  guint unanswered;  /* attempts that were sent since REACHED_AT */
} CcPoolReach;

void cc_pool_reach_sent (CcPoolReach *r);
void cc_pool_reach_succeeded (CcPoolReach *r, CcReachMark *m, gint64 now);
void cc_pool_reach_failed (CcPoolReach *r, CcReachMark *m, gint64 now);
gboolean cc_pool_reach_is_partitioned (const CcPoolReach *r, guint upstreams,
                                       gint64 now);
gboolean cc_pool_reach_is_reached (const CcPoolReach *r, const CcReachMark *m);
gboolean cc_pool_reach_is_silent (const CcPoolReach *r, gint64 sent);

#endif
