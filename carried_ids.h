/* The ids of the requests that a connection has carried. */
#ifndef CC_CARRIED_IDS_H
#define CC_CARRIED_IDS_H

#include <glib.h>

/* Ids that are kept of a connection. */
#define CC_CARRIED_IDS_MAX 1024

typedef struct
{
  GArray *hashes; /* of guint64; NULL: none yet */
} CcCarriedIds;

guint64 cc_carried_ids_hash (const char *id);
void cc_carried_ids_add (CcCarriedIds *ids, guint64 hash);
gboolean cc_carried_ids_has (const CcCarriedIds *ids, guint64 hash);
gboolean cc_carried_ids_is_full (const CcCarriedIds *ids);
void cc_carried_ids_clear (CcCarriedIds *ids);

#endif
