/* Sends health probes to upstreams, and passes on what they respond. */
#ifndef CC_HEALTH_LINK_H
#define CC_HEALTH_LINK_H

#include "fleet_limits.h"
#include "health_probe.h"
#include "http_link.h"
#include "routes.h"
#include "upstream_notices.h"

typedef struct CcHealthLink CcHealthLink;

typedef struct
{
  CcHttp *http;
  const CcTargets *targets;
  CcFleetLimits *limits;
  CcUpstreamNotices *notices;
  /* Returns the configuration, or NULL. */
  const CcRoutes *(*routes) (gpointer data);
  gpointer data;
} CcHealthLinkSetup;

CcHealthLink *cc_health_link_new (const CcHealthLinkSetup *setup);
void cc_health_link_set_fleet (CcHealthLink *l, const CcProbeFleet *fleet);

#endif
