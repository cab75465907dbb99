/* Grants keys to upstreams, in the one process of the fleet that has the
 * lease. */
#ifndef CC_GRANTER_H
#define CC_GRANTER_H

#include "edge.h"
#include "table.h"

typedef struct CcGranter CcGranter;

/* Key of the row that says where reports are wanted: the value is IP:PORT. */
#define CC_GRANTER_KEY "granter"

/* This process took or renewed the lease by a write that was SENT, us, and took
 * effect as VERSION.  ROWS, a(sts) of key, version and value, were written to
 * STATE with it. */
typedef void (*CcGranterRenewed) (guint64 version, gint64 sent, GVariant *rows,
                                  gpointer data);

typedef struct
{
  CcTable *table;
  CcHttp *http;
  CcTargets *targets;
  const char *instance;
  const char *address;      /* of this process, for the entries' reports */
  CcGranterRenewed renewed; /* NULL: nobody is to be told */
  gpointer data;            /* of RENEWED */
  gint64 patience; /* how long a lease that nobody ever held is left to others
                      after the start, us */
} CcGranterSetup;

CcGranter *cc_granter_new (const CcGranterSetup *setup);
void cc_granter_configure (CcGranter *g, const CcRoutes *routes);
void cc_granter_set_rank (CcGranter *g, guint rank, guint fleet);
void cc_granter_named_in_table (CcGranter *g);
void cc_granter_lease_received (CcGranter *g, guint64 version, gint64 seen_at);
void cc_granter_targets_changed (CcGranter *g, gint64 outage);
void cc_granter_add_load (CcGranter *g, const char *pool, guint key,
                          guint count);
void cc_granter_add_work (CcGranter *g, const char *target, double work,
                          guint answers);
void cc_granter_tick (CcGranter *g);
gboolean cc_granter_holds_lease (const CcGranter *g);
void cc_granter_resign (CcGranter *g);
gboolean cc_granter_has_resigned (const CcGranter *g);

#endif
