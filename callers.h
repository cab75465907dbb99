/* The HTTP server for callers' requests. */
#ifndef CC_CALLERS_H
#define CC_CALLERS_H

#include "connection_table.h"
#include "forward.h"
#include "memory_budget.h"

typedef struct CcCallers CcCallers;

CcCallers *cc_callers_new (CcForwarder *f, CcMemoryBudget *budget);
gboolean cc_callers_listen (CcCallers *c, const char *address, char **message);
void cc_callers_configure (CcCallers *c, CcRoutes *routes);
const CcRoutes *cc_callers_routes (const CcCallers *c);
void cc_callers_set_closing (CcCallers *c, gboolean closing);
void cc_callers_drain (CcCallers *c, gint64 quiet_at, gint64 stop_at);
gboolean cc_callers_rejects_all (const CcCallers *c);
void cc_callers_close (CcCallers *c);
const CcConnectionTable *cc_callers_connections (const CcCallers *c);
guint cc_callers_pending (const CcCallers *c);

#endif
