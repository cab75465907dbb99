/* Finds routes by host and longest prefix, and splits a route's requests among
 * its pools by weight.
 *
 * Each request goes to the pool that is furthest behind its share (smooth
 * weighted round-robin).  With a random choice, a few hundred requests over
 * twelve gateways would miss a share of a tenth by a third.  The initial state
 * is random, or all gateways would send their first request to the same pool.
 */
#include "routes.h"

#include <string.h>

#include <xxhash.h>

/* Limits that apply unless the configuration sets them. */
#define HEADERS_DEFAULT CC_HEADERS_MAX
#define BODY_DEFAULT CC_BODY_MAX
#define IDLE_DEFAULT (60 * CC_SECOND)
#define HEADERS_TIME_DEFAULT (60 * CC_SECOND)

static void
pool_free (gpointer data)
{
  CcRoutePool *p = data;

  g_free (p->name);
  g_free (p->health_path);
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
  g_strfreev (r->homes);
  g_array_unref (r->parts);
  g_free (r);
}

/* Part of a string, not terminated. */
typedef struct
{
  const char *at;
  gsize length;
} Span;

/* The routes of one host.
 *
 * Load pattern: one host has thousands of routes, and small instances look one
 * up for each request.  A lookup takes one hash per distinct prefix length of
 * the host, however many routes it has. */
typedef struct
{
  GHashTable *by_prefix; /* Span of the route's prefix to CcRoute */
  GArray *lengths;       /* of gsize: distinct prefix lengths, longest first */
} HostRoutes;

static guint
span_hash (gconstpointer key)
{
  const Span *s = key;

  return (guint) XXH3_64bits (s->at, s->length);
}

static gboolean
span_equal (gconstpointer a, gconstpointer b)
{
  const Span *x = a, *y = b;

  return x->length == y->length && memcmp (x->at, y->at, x->length) == 0;
}

static HostRoutes *
host_routes_new (void)
{
  HostRoutes *h = g_new0 (HostRoutes, 1);

  h->by_prefix =
      g_hash_table_new_full (span_hash, span_equal, g_free, route_free);
  h->lengths = g_array_new (FALSE, FALSE, sizeof (gsize));
  return h;
}

static void
host_routes_free (gpointer data)
{
  HostRoutes *h = data;

  g_hash_table_unref (h->by_prefix);
  g_array_unref (h->lengths);
  g_free (h);
}

/* Adds LENGTH to the prefix lengths of H, once. */
static void
add_length (HostRoutes *h, gsize length)
{
  guint i = 0;

  while (i < h->lengths->len && g_array_index (h->lengths, gsize, i) > length)
    i++;
  if (i == h->lengths->len || g_array_index (h->lengths, gsize, i) != length)
    g_array_insert_val (h->lengths, i, length);
}

/* Returns a configuration of VERSION with default limits and no routes. */
CcRoutes *
cc_routes_new (guint64 version)
{
  CcRoutes *r = g_new0 (CcRoutes, 1);

  r->version = version;
  r->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  r->hosts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, host_routes_free);
  r->limits.headers_max = HEADERS_DEFAULT;
  r->limits.body_max = BODY_DEFAULT;
  r->limits.idle_timeout = IDLE_DEFAULT;
  r->limits.headers_timeout = HEADERS_TIME_DEFAULT;
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

/* Adds a copy of POOL, replacing one with the same name. */
void
cc_routes_add_pool (CcRoutes *r, const CcRoutePool *pool)
{
  CcRoutePool *p = g_new0 (CcRoutePool, 1);

  *p = *pool;
  p->name = g_strdup (pool->name);
  p->health_path = g_strdup (pool->health_path);
  g_hash_table_replace (r->pools, p->name, p);
}

/* Adds a route for HOST and PREFIX, replacing one with the same two, and
 * returns it; the caller sets its remaining fields. */
CcRoute *
cc_routes_add (CcRoutes *r, const char *name, const char *host,
               const char *prefix)
{
  CcRoute *route = g_new0 (CcRoute, 1);
  g_autofree char *lower = g_ascii_strdown (host, -1);
  HostRoutes *host_routes = g_hash_table_lookup (r->hosts, lower);
  Span *key = g_new (Span, 1);

  route->name = g_strdup (name);
  route->host = g_strdup (lower);
  route->prefix = g_strdup (prefix);
  route->parts = g_array_new (FALSE, FALSE, sizeof (CcRoutePart));
  g_array_set_clear_func (route->parts, part_clear);
  if (host_routes == NULL)
    {
      host_routes = host_routes_new ();
      g_hash_table_insert (r->hosts, g_steal_pointer (&lower), host_routes);
    }
  *key = (Span){ route->prefix, strlen (route->prefix) };
  add_length (host_routes, key->length);
  r->count += g_hash_table_replace (host_routes->by_prefix, key, route) ? 1 : 0;
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

/* The route of HOST with the longest prefix of PATH, or NULL.  HOST may include
 * a port; PATH must not include a query. */
CcRoute *
cc_routes_find (const CcRoutes *r, const char *host, const char *path)
{
  const char *colon = strrchr (host, ':');
  g_autofree char *name =
      g_ascii_strdown (host, colon != NULL ? colon - host : -1);
  const HostRoutes *host_routes = g_hash_table_lookup (r->hosts, name);
  gsize size = strlen (path);

  for (guint i = 0; host_routes != NULL && i < host_routes->lengths->len; i++)
    {
      Span prefix = { path, g_array_index (host_routes->lengths, gsize, i) };
      CcRoute *found =
          prefix.length <= size
              ? g_hash_table_lookup (host_routes->by_prefix, &prefix)
              : NULL;

      if (found != NULL)
        return found;
    }
  return NULL;
}

/* The pool NAME, or NULL. */
const CcRoutePool *
cc_routes_pool (const CcRoutes *r, const char *name)
{
  return g_hash_table_lookup (r->pools, name);
}

/* Chooses the pool for the next request of ROUTE; NULL if all its weights are
 * zero. */
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

/* Returns whether the requests of ROUTE may run more than once. */
gboolean
cc_route_is_idempotent (const CcRoute *route)
{
  return route->kind == CC_ROUTE_IDEMPOTENT;
}
