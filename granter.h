/* Grants keys to upstreams, in the one process of the fleet that has the
 * duty. */
#ifndef CC_GRANTER_H
#define CC_GRANTER_H

#include "edge.h"
#include "table.h"

typedef struct CcGranter CcGranter;

typedef struct
{
  CcTable *table;
  CcHttp *http;
  CcTargets *targets;
  const char *instance;
} CcGranterSetup;

CcGranter *cc_granter_new (const CcGranterSetup *setup);
void cc_granter_configure (CcGranter *g, const CcRoutes *routes);
void cc_granter_rank (CcGranter *g, guint rank);
void cc_granter_targets_changed (CcGranter *g, gint64 trouble);
void cc_granter_resign (CcGranter *g);
gboolean cc_granter_has_resigned (const CcGranter *g);

#endif
