/* Grants ranges of keys to upstreams.  Every process has a granter, but only
 * the one that holds the lease sends grants. */
#ifndef CC_GRANTER_H
#define CC_GRANTER_H

#include "edge.h"
#include "evacuation.h"
#include "pool_reach.h"
#include "table.h"

typedef struct CcGranter CcGranter;

/* Key of the state row that names the address, IP:PORT, to which load reports
 * are sent. */
#define CC_GRANTER_KEY "granter"

/* Key of the state row that is written when a holder gives the lease up without
 * terminating, so that other processes claim it at once. */
#define CC_GRANTER_VACANT_KEY "granter-vacant"

/* Called when this process has taken or renewed the lease by a write that was
 * sent at SENT, us, and was committed as VERSION.  ROWS, a(sts) of key, version
 * and value, are the state rows that were written in the same transaction. */
typedef void (*CcGranterRenewed) (guint64 version, gint64 sent, GVariant *rows,
                                  gpointer data);

/* Returns whether this process reaches the upstreams of POOL.  If that is
 * unknown and PROBE is set, it is found out for a later call. */
typedef CcReach (*CcGranterReach) (const char *pool, gboolean probe,
                                   gpointer data);

typedef struct
{
  CcTable *table;
  CcHttp *http;
  CcTargets *targets;
  const CcEvacuation *evacuation; /* NULL: no zone is evacuated */
  const char *instance;
  const char
      *address; /* of this process, IP:PORT; load reports are sent to it */
  CcGranterRenewed renewed; /* called after each renewal, or NULL */
  CcGranterReach reach;     /* or NULL: always */
  gpointer data;            /* passed to RENEWED and REACH */
  gint64 claim_delay; /* for this long after the start a lease that was never
                         held is not claimed, us */
} CcGranterSetup;

CcGranter *cc_granter_new (const CcGranterSetup *setup);
void cc_granter_configure (CcGranter *g, const CcRoutes *routes);
void cc_granter_set_rank (CcGranter *g, guint rank, guint fleet);
void cc_granter_named_in_table (CcGranter *g);
void cc_granter_lease_received (CcGranter *g, guint64 version,
                                gint64 received_at);
void cc_granter_lease_vacated (CcGranter *g, guint64 version);
void cc_granter_row_received (CcGranter *g, const CcRow *row);
void cc_granter_targets_changed (CcGranter *g, gint64 outage);
void cc_granter_plan_again (CcGranter *g);
void cc_granter_add_load (CcGranter *g, const char *pool, guint key,
                          guint count);
void cc_granter_add_work (CcGranter *g, const char *target, double work,
                          guint answers);
void cc_granter_tick (CcGranter *g);
gboolean cc_granter_holds_lease (const CcGranter *g);
gboolean cc_granter_has_recent_lease (const CcGranter *g);
gboolean cc_granter_is_only_holder (const CcGranter *g);
void cc_granter_capacity_changed (CcGranter *g);
void cc_granter_resign (CcGranter *g);
gboolean cc_granter_has_resigned (const CcGranter *g);

#endif
