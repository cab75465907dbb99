/* In a pool with "cut_off": "keep", a dispatcher that has lost its lease goes
 * on serving, because its zone may be cut off from all others and have callers
 * of its own.  A missing lease does not distinguish that from a lost zone, so
 * its servers are given to other dispatchers only when it has certainly
 * stopped:
 *
 *  - the platform no longer lists its instance; or
 *  - its instance has registered again.  The same process does so only after it
 *    released all that it held under the old id; another process could not have
 *    taken the instance's address while the old one was running.
 *
 * Without this rule, two dispatchers would send to the server of a key, each
 * zone treating itself as the owner. */
#include "cut_off.h"

#include <string.h>

/* Returns the length of the instance's name in ID, INSTANCE.INCARNATION.COUNT.
 */
static gsize
instance_length (const char *id)
{
  const char *count = strrchr (id, '.');
  const char *incarnation =
      count != NULL ? g_strrstr_len (id, count - id, ".") : NULL;

  return incarnation != NULL ? (gsize) (incarnation - id) : strlen (id);
}

/* Returns whether the platform lists the instance of ID. */
static gboolean
is_listed (const CcRoster *r, const char *id, gsize length)
{
  for (guint i = 0; i < r->instances->len; i++)
    {
      const char *name = r->instances->pdata[i];

      if (strlen (name) == length && strncmp (name, id, length) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Returns whether a dispatcher of the instance of ID is registered. */
static gboolean
has_registered_again (const CcRoster *r, const char *id, gsize length)
{
  for (guint i = 0; i < r->dispatchers->len; i++)
    {
      const CcRosterDispatcher *d = r->dispatchers->pdata[i];

      if (instance_length (d->id) == length && strncmp (d->id, id, length) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Returns whether the dispatcher ID, which is not in the roster R, has stopped
 * sending to the pool's servers.  A platform list without any instance of this
 * deployment is taken as an error, not as proof that all have gone. */
gboolean
cc_cut_off_has_stopped (const CcRoster *r, const char *id)
{
  gsize length = instance_length (id);

  if (!r->serves_without_lease || id[0] == '\0')
    return TRUE;
  if (has_registered_again (r, id, length))
    return TRUE;
  return r->instances->len > 0 && !is_listed (r, id, length);
}
