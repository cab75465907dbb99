/* Routes by host and longest prefix, and shares of pools by weight.
 *
 * Shares: each request goes to the pool that is furthest behind its share
 * (smooth weighted round-robin).  Drawn by lot, a few hundred requests spread
 * over a dozen entries would miss a share of a tenth by a third.  The first
 * turn begins at a random place, or all entries would send their first request
 * to the same pool. */
#include "routes.h"

#include <string.h>

/* What callers may send while the configuration doesn't say. */
#define HEADERS_DEFAULT CC_HEADERS_MAX
#define BODY_DEFAULT CC_BODY_MAX
#define IDLE_DEFAULT (60 * CC_SECOND)

static void
pool_free (gpointer data)
{
  CcRoutePool *p = data;

  g_free (p->name);
  g_free (p);
}

static void
part_clear (gpointer data)
{
  g_free (((CcRoutePart *) data)->pool);
}

static void
route_free (gpointer data)
{
  CcRoute *r = data;

  g_free (r->name);
  g_free (r->host);
  g_free (r->prefix);
  g_array_unref (r->parts);
  g_free (r);
}

static void
routes_of_host_free (gpointer data)
{
  g_ptr_array_unref (data);
}

/* A configuration of VERSION without routes and with default limits. */
CcRoutes *
cc_routes_new (guint64 version)
{
  CcRoutes *r = g_new0 (CcRoutes, 1);

  r->version = version;
  r->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  r->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    routes_of_host_free);
  r->limits.headers_max = HEADERS_DEFAULT;
  r->limits.body_max = BODY_DEFAULT;
  r->limits.idle_timeout = IDLE_DEFAULT;
  return r;
}

/* Frees R; NULL is allowed. */
void
cc_routes_free (CcRoutes *r)
{
  if (r == NULL)
    return;
  g_hash_table_unref (r->pools);
  g_hash_table_unref (r->hosts);
  g_free (r);
}

/* Adds a copy of POOL, in place of one with the same name. */
void
cc_routes_add_pool (CcRoutes *r, const CcRoutePool *pool)
{
  CcRoutePool *p = g_new0 (CcRoutePool, 1);

  *p = *pool;
  p->name = g_strdup (pool->name);
  g_hash_table_replace (r->pools, p->name, p);
}

static gint
longer_first (gconstpointer a, gconstpointer b)
{
  const CcRoute *x = *(CcRoute *const *) a, *y = *(CcRoute *const *) b;

  return (gint) strlen (y->prefix) - (gint) strlen (x->prefix);
}

/* Adds a route for HOST and PREFIX and returns it, to be filled in. */
CcRoute *
cc_routes_add (CcRoutes *r, const char *name, const char *host,
               const char *prefix)
{
  CcRoute *route = g_new0 (CcRoute, 1);
  g_autofree char *lower = g_ascii_strdown (host, -1);
  GPtrArray *list = g_hash_table_lookup (r->hosts, lower);

  route->name = g_strdup (name);
  route->host = g_strdup (lower);
  route->prefix = g_strdup (prefix);
  route->parts = g_array_new (FALSE, FALSE, sizeof (CcRoutePart));
  g_array_set_clear_func (route->parts, part_clear);
  if (list == NULL)
    {
      list = g_ptr_array_new_with_free_func (route_free);
      g_hash_table_insert (r->hosts, g_steal_pointer (&lower), list);
    }
  g_ptr_array_add (list, route);
  g_ptr_array_sort (list, longer_first);
  r->count++;
  return route;
}

/* Gives POOL a share of ROUTE's requests in proportion to WEIGHT. */
void
cc_route_add_part (CcRoute *route, const char *pool, guint weight)
{
  CcRoutePart part = { g_strdup (pool), weight, 0 };

  if (weight > 0)
    part.credit = g_random_int_range (0, (gint32) MIN (weight, 1000000) + 1);
  g_array_append_val (route->parts, part);
}

/* The route with the longest prefix of PATH among those of HOST, which may
 * bear a port, or NULL.  A query is no part of PATH. */
CcRoute *
cc_routes_find (const CcRoutes *r, const char *host, const char *path)
{
  const char *colon = strrchr (host, ':');
  g_autofree char *name =
      g_ascii_strdown (host, colon != NULL ? colon - host : -1);
  GPtrArray *list = g_hash_table_lookup (r->hosts, name);

  for (guint i = 0; list != NULL && i < list->len; i++)
    if (g_str_has_prefix (path, ((CcRoute *) list->pdata[i])->prefix))
      return list->pdata[i];
  return NULL;
}

/* The pool NAME, or NULL. */
const CcRoutePool *
cc_routes_pool (const CcRoutes *r, const char *name)
{
  return g_hash_table_lookup (r->pools, name);
}

/* The pool that the next request of ROUTE goes to, or NULL if all its weights
 * are zero. */
const char *
cc_route_next_pool (CcRoute *route)
{
  CcRoutePart *best = NULL;
  gint64 total = 0;

  for (guint i = 0; i < route->parts->len; i++)
    {
      CcRoutePart *p = &g_array_index (route->parts, CcRoutePart, i);

      if (p->weight == 0)
        continue;
      p->credit += p->weight;
      total += p->weight;
      if (best == NULL || p->credit > best->credit)
        best = p;
    }
  if (best == NULL)
    return NULL;
  best->credit -= total;
  return best->pool;
}
