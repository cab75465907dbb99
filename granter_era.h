/* What a granter knows of the era of the table service, which rises each time
 * the service loses its latest writes. */
#ifndef CC_GRANTER_ERA_H
#define CC_GRANTER_ERA_H

#include "range_grant.h"

typedef struct
{
  guint64 era;          /* the newest that is known */
  gint64 since;         /* when that was first known, us */
  gboolean known;       /* the service has answered */
  gboolean lost_writes; /* ERA is not the first one that this process knows */
  gint64 unnamed_until; /* of the grants that this process has loaded, us */
  gint64 unconfirmed_since; /* last renewal of the lease before ERA, us */
  guint64 rows_era; /* the rows of ranges are complete in this era, by the row
                       of the lease or by the writes of this process */
} CcGranterEra;

gboolean cc_granter_era_note (CcGranterEra *e, guint64 version, gint64 now);
void cc_granter_era_rows_lost (CcGranterEra *e, CcGrantShared *shared,
                               GHashTable *pools, gint64 now);
gboolean cc_granter_era_is_suspect (CcGranterEra *e, CcGrantShared *shared,
                                    GHashTable *pools, gint64 now);
void cc_granter_era_check_rows (CcGranterEra *e, CcGrantShared *shared,
                                GHashTable *pools, gint64 now);
void cc_granter_era_lease_read (CcGranterEra *e, gboolean exists,
                                gint64 rows_era);
void cc_granter_era_load (CcGranterEra *e, CcPredecessor *predecessor);
gboolean cc_granter_era_may_be_renewed (const CcGranterEra *e, gint64 now);

#endif
