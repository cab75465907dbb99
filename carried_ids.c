/* Remembers which ids a connection has carried, as hashes, so that an id takes
 * the same memory whatever its length.  Two ids with one hash count as the
 * same. */
#include "carried_ids.h"

#include <string.h>

#include <xxhash.h>

/* Returns the hash by which ID is kept. */
guint64
cc_carried_ids_hash (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

/* Adds HASH, of an id, to IDS, which must not be full. */
void
cc_carried_ids_add (CcCarriedIds *ids, guint64 hash)
{
  g_assert (!cc_carried_ids_is_full (ids));
  if (ids->hashes == NULL)
    ids->hashes = g_array_new (FALSE, FALSE, sizeof hash);
  g_array_append_val (ids->hashes, hash);
}

/* Whether the id with HASH is in IDS. */
gboolean
cc_carried_ids_has (const CcCarriedIds *ids, guint64 hash)
{
  for (guint i = 0; ids->hashes != NULL && i < ids->hashes->len; i++)
    if (g_array_index (ids->hashes, guint64, i) == hash)
      return TRUE;
  return FALSE;
}

/* Whether IDS holds as many as are kept. */
gboolean
cc_carried_ids_is_full (const CcCarriedIds *ids)
{
  return ids->hashes != NULL && ids->hashes->len >= CC_CARRIED_IDS_MAX;
}

/* Frees the memory of IDS, which is empty afterwards. */
void
cc_carried_ids_clear (CcCarriedIds *ids)
{
  g_clear_pointer (&ids->hashes, g_array_unref);
}
