/* Snapshot of the dispatchers with a valid lease, a pool's listed servers and
 * the router's listed instances. */
#include "roster.h"

/* Creates an empty roster. */
CcRoster *
cc_roster_new (void)
{
  CcRoster *r = g_new0 (CcRoster, 1);

  r->dispatchers = g_ptr_array_new ();
  r->servers = g_ptr_array_new ();
  r->instances = g_ptr_array_new_with_free_func (g_free);
  return r;
}

/* Frees R. */
void
cc_roster_free (CcRoster *r)
{
  for (guint i = 0; i < r->dispatchers->len; i++)
    {
      CcRosterDispatcher *d = r->dispatchers->pdata[i];

      g_free (d->id);
      g_free (d->zone);
      g_free (d);
    }
  for (guint i = 0; i < r->servers->len; i++)
    {
      CcRosterServer *s = r->servers->pdata[i];

      g_free (s->name);
      g_free (s->address);
      g_free (s->zone);
      g_free (s);
    }
  g_ptr_array_unref (r->dispatchers);
  g_ptr_array_unref (r->servers);
  g_ptr_array_unref (r->instances);
  g_free (r);
}

/* Adds a dispatcher whose lease is valid. */
void
cc_roster_add_dispatcher (CcRoster *r, const char *id, const char *zone,
                          gboolean draining)
{
  CcRosterDispatcher *d = g_new0 (CcRosterDispatcher, 1);

  d->id = g_strdup (id);
  d->zone = g_strdup (zone);
  d->draining = draining;
  g_ptr_array_add (r->dispatchers, d);
}

/* Adds a listed instance of the router. */
void
cc_roster_add_instance (CcRoster *r, const char *name)
{
  g_ptr_array_add (r->instances, g_strdup (name));
}

/* Adds a server that is listed for the pool. */
void
cc_roster_add_server (CcRoster *r, const char *name, const char *address,
                      const char *zone, gboolean leaving)
{
  CcRosterServer *s = g_new0 (CcRosterServer, 1);

  s->name = g_strdup (name);
  s->address = g_strdup (address);
  s->zone = g_strdup (zone);
  s->leaving = leaving;
  g_ptr_array_add (r->servers, s);
}

/* Returns the listed server named NAME, or NULL. */
const CcRosterServer *
cc_roster_server (const CcRoster *r, const char *name)
{
  for (guint i = 0; i < r->servers->len; i++)
    {
      const CcRosterServer *s = r->servers->pdata[i];

      if (g_str_equal (s->name, name))
        return s;
    }
  return NULL;
}

/* Returns the dispatcher ID, or NULL if it has no valid lease. */
const CcRosterDispatcher *
cc_roster_dispatcher (const CcRoster *r, const char *id)
{
  for (guint i = 0; i < r->dispatchers->len; i++)
    {
      const CcRosterDispatcher *d = r->dispatchers->pdata[i];

      if (g_str_equal (d->id, id))
        return d;
    }
  return NULL;
}
