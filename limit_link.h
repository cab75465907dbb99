/* Connects a gateway's part of the fleet's limits, and of the permits for
 * overloaded owners, to the other gateways, to the upstreams that it knows, and
 * to the granter. */
#ifndef CC_LIMIT_LINK_H
#define CC_LIMIT_LINK_H

#include "fleet_limits.h"
#include "granter.h"
#include "owner_permits.h"
#include "peer_datagrams.h"
#include "targets.h"

typedef struct CcLimitLink CcLimitLink;

/* Called when requests that wait for tokens may be decided anew. */
typedef void (*CcLimitReady) (gpointer data);

CcLimitLink *cc_limit_link_new (CcPeerDatagrams *datagrams,
                                const CcTargets *targets, const char *address,
                                const char *zone, double cold_slack);
CcFleetLimits *cc_limit_link_limits (const CcLimitLink *l);
CcOwnerPermits *cc_limit_link_permits (const CcLimitLink *l);
gboolean cc_limit_link_receive (CcLimitLink *l, GBytes *datagram, gint64 now);
void cc_limit_link_set_granter (CcLimitLink *l, CcGranter *granter);
void cc_limit_link_set_ready (CcLimitLink *l, CcLimitReady ready,
                              gpointer data);
void cc_limit_link_set_peers (CcLimitLink *l, GPtrArray *peers,
                              const char *granter);
void cc_limit_link_target_changed (CcLimitLink *l, const char *id);
void cc_limit_link_update_cold (CcLimitLink *l, const CcRoutes *routes,
                                gboolean complete);

#endif
