/* A pool with "cut_off": "keep" is served on by a dispatcher that has lost its
 * lease, because its zone may be cut off from everything and have callers of
 * its own.  Silence can't tell that from a lost zone, so its servers are given
 * to others only when the dispatcher has certainly stopped:
 *
 *  - the platform lists its instance no more; or
 *  - its instance has registered anew.  The same process does so only after it
 *    let go of all it held under the old id; another process could not have
 *    taken the instance's address while the old one lived.
 *
 * Without this, two dispatchers would send to the server's keys, each zone
 * believing that it owns them. */
#include "cut_off.h"

#include <string.h>

/* The length of the instance's name in ID, INSTANCE.INCARNATION.COUNT. */
static gsize
instance_length (const char *id)
{
  const char *count = strrchr (id, '.');
  const char *incarnation =
      count != NULL ? g_strrstr_len (id, count - id, ".") : NULL;

  return incarnation != NULL ? (gsize) (incarnation - id) : strlen (id);
}

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

static gboolean
has_registered_anew (const CcRoster *r, const char *id, gsize length)
{
  for (guint i = 0; i < r->dispatchers->len; i++)
    {
      const CcRosterDispatcher *d = r->dispatchers->pdata[i];

      if (instance_length (d->id) == length && strncmp (d->id, id, length) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Whether the dispatcher ID, which isn't in the roster R, has stopped sending
 * to the pool's servers.  A platform that lists no instance of ours at all is
 * not believed to say that all are gone. */
gboolean
cc_cut_off_has_stopped (const CcRoster *r, const char *id)
{
  gsize length = instance_length (id);

  if (!r->keeps || id[0] == '\0')
    return TRUE;
  if (has_registered_anew (r, id, length))
    return TRUE;
  return r->instances->len > 0 && !is_listed (r, id, length);
}
