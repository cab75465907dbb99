/* The state that a gateway keeps for each pool of upstreams. */
#ifndef CC_FORWARD_POOL_H
#define CC_FORWARD_POOL_H

#include "backlog.h"
#include "backoff.h"
#include "key_ranges.h"
#include "peer_pick.h"
#include "pool_load.h"
#include "pool_reach.h"
#include "retry_budget.h"
#include "work_estimate.h"

typedef struct
{
  char *name;
  CcBacklog backlog;       /* requests that wait for capacity */
  CcKeyRanges ranges;      /* owners of its keys; empty if it has none */
  CcRetryBudget budget;    /* for repeated attempts */
  CcWorkEstimate work;     /* service times at its upstreams */
  CcPoolLoad load;         /* load of its upstreams */
  CcPoolReach reach;       /* whether its upstreams are reachable from here */
  gboolean partitioned;    /* by the last check of REACH ... */
  guint upstreams;         /* ... with so many of them */
  CcPeerPick *peers;       /* the gateways that reach it */
  CcBackoff peers_backoff; /* of forwarding requests without a key, after peers
                              reached no upstream either */
  guint connections_max;   /* from this gateway to one upstream; 0: no limit */
} CcForwardPool;

CcForwardPool *cc_forward_pool_new (const char *name, const CcView *state);
void cc_forward_pool_free (gpointer pool);
CcTypicalWork cc_forward_pool_typical (const CcForwardPool *p,
                                       const CcWorkFeatures *f, gint64 now);
gboolean cc_forward_pool_check_reach (CcForwardPool *p, guint upstreams,
                                      gint64 now);
void cc_forward_pool_write_gauges (const CcForwardPool *p);

#endif
