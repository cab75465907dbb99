/* Simulates operators who change the configuration: a seeded random series is
 * written to the store and kept, so that the checks can query what each
 * configuration allows.
 *
 * Routes of several hosts with nested and overlapping prefixes are added,
 * removed and restored, change pools or are split between two; limits change;
 * whole blocks of routes are added or removed at once.  Sometimes an unreadable
 * row or an older version, which gateways must not apply, takes the place of
 * the configuration for less than a second. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capercrank.h"
#include "clock.h"
#include "soak.h"

#define HOSTS 3
#define PREFIXES 9
#define FIXED_ROUTES 4 /* routes that are always present, on the first host */
#define ROUTES (HOSTS * PREFIXES + FIXED_ROUTES)
#define BLOCKS 3
#define BLOCK_ROUTES 1200
/* A row that gateways must not apply stays for a random time between these and
 * is only written INVALID_AFTER an applicable one, when all connected gateways
 * have applied that. */
#define INVALID_MIN_MS 100
#define INVALID_MAX_MS 800
#define INVALID_AFTER (3000 * CC_MS)

static const char *const hosts[HOSTS] = { "a.example", "b.example",
                                          "shop.a.example" };
static const char *const prefixes[PREFIXES] = { "/",        "/n0/",    "/n0/a/",
                                                "/n0/a/b/", "/n0/ab/", "/n1/",
                                                "/n1/a/",   "/n/",     "/N0/" };
static const struct
{
  const char *prefix, *kind;
  gboolean keyed;
} fixed_routes[FIXED_ROUTES] = { { "/look/", "safe", TRUE },
                                 { "/change/", "unsafe", TRUE },
                                 { "/book/", "unsafe", FALSE },
                                 { "/list/", "safe", FALSE } };

typedef enum
{
  POOL_FREE,
  POOL_MORE,
  POOL_KEYS,
  POOLS
} Pool;

static const char *const pools[POOLS] = { "free", "more", "keys" };

typedef struct
{
  gboolean present; /* part of the configuration */
  guint weights[POOLS];
  guint timeout, target; /* ms */
  guint attempts, priority;
} RouteSettings;

typedef enum
{
  ENTRY_APPLICABLE,
  ENTRY_STALE,     /* the content of an earlier entry: must be ignored */
  ENTRY_UNREADABLE /* can't be parsed: must be ignored */
} EntryKind;

/* The content of the configuration row from WRITTEN on. */
typedef struct
{
  EntryKind kind;
  gint64 written; /* us */
  guint version;
  RouteSettings routes[ROUTES];
  guint blocks; /* bit set of the blocks that are present */
} Entry;

static GArray *entries;  /* of Entry, in the order of writing */
static Entry next_entry; /* base of the next applicable entry */
static GRand *random_source;
/* Source that replaces an invalid row; 0: there is none. */
static guint invalid_timer;

/* Returns a random number from MIN to MAX. */
static guint
random_between (guint min, guint max)
{
  return (guint) g_rand_int_range (random_source, (gint32) min,
                                   (gint32) max + 1);
}

/* Returns TRUE with probability 1/N. */
static gboolean
one_in (guint n)
{
  return random_between (1, n) == 1;
}

/* Returns entry I, valid until the next one is written. */
static const Entry *
entry (guint i)
{
  return &g_array_index (entries, Entry, i);
}

/* Returns the host of ROUTE. */
static const char *
host_of (guint route)
{
  return route < FIXED_ROUTES ? hosts[0]
                              : hosts[(route - FIXED_ROUTES) / PREFIXES];
}

/* Returns the path prefix of ROUTE. */
static const char *
prefix_of (guint route)
{
  return route < FIXED_ROUTES ? fixed_routes[route].prefix
                              : prefixes[(route - FIXED_ROUTES) % PREFIXES];
}

/* ---- random changes ---- */

/* Sets W to one pool, or splits it between two. */
static void
randomize_pools (guint route, RouteSettings *w)
{
  memset (w->weights, 0, sizeof w->weights);
  if (route < FIXED_ROUTES && fixed_routes[route].keyed)
    w->weights[POOL_KEYS] = 1;
  else if (route >= FIXED_ROUTES && one_in (6))
    w->weights[POOL_KEYS] = 1;
  else if (one_in (2))
    w->weights[random_between (POOL_FREE, POOL_MORE)] = 1;
  else
    {
      w->weights[POOL_FREE] = random_between (1, 9);
      w->weights[POOL_MORE] = random_between (1, 9);
    }
}

/* Sets the timeout, target latency, attempts and priority of W. */
static void
randomize_limits (RouteSettings *w)
{
  w->timeout = random_between (900, 1500);
  w->target = random_between (200, 600);
  w->attempts = random_between (1, 4);
  w->priority = random_between (0, 4);
}

/* Adds or removes a random route, or changes its pools or its limits. */
static void
change_route (void)
{
  guint route = random_between (0, ROUTES - 1);
  RouteSettings *w = &next_entry.routes[route];

  switch (random_between (0, 2))
    {
    case 0:
      w->present = route < FIXED_ROUTES || !w->present;
      break;
    case 1:
      randomize_pools (route, w);
      break;
    default:
      randomize_limits (w);
    }
}

/* Draws the routes of the first configuration. */
static void
randomize_all (void)
{
  for (guint i = 0; i < ROUTES; i++)
    {
      RouteSettings *w = &next_entry.routes[i];

      w->present = i < FIXED_ROUTES || one_in (2);
      randomize_pools (i, w);
      randomize_limits (w);
    }
}

/* ---- writing ---- */

/* Appends the pools of W: "service" for one, "backends" with weights for two.
 */
static void
append_backends (GString *s, const RouteSettings *w)
{
  guint used = 0;

  for (guint i = 0; i < POOLS; i++)
    used += w->weights[i] > 0;
  for (guint i = 0; used == 1 && i < POOLS; i++)
    if (w->weights[i] > 0)
      g_string_append_printf (s, "\"service\":\"%s\"", pools[i]);
  if (used == 1)
    return;
  g_string_append (s, "\"backends\":[");
  for (guint i = 0; i < POOLS; i++)
    if (w->weights[i] > 0)
      g_string_append_printf (s, "%s{\"service\":\"%s\",\"weight\":%u}",
                              s->str[s->len - 1] == '[' ? "" : ",", pools[i],
                              w->weights[i]);
  g_string_append_c (s, ']');
}

/* Appends a route as a JSON member, unless it is absent. */
static void
append_route (GString *s, guint route, const RouteSettings *w)
{
  if (!w->present)
    return;
  g_string_append_printf (
      s,
      "\"p%u\":{\"host\":\"%s\",\"prefix\":\"%s\",\"kind\":\"%s\","
      "\"timeoutMs\":%u,\"targetLatencyMs\":%u,\"maxAttempts\":%u,"
      "\"priority\":%u,",
      route, host_of (route), prefix_of (route),
      route < FIXED_ROUTES ? fixed_routes[route].kind : "safe", w->timeout,
      w->target, w->attempts, w->priority);
  append_backends (s, w);
  g_string_append (s, "},");
}

/* Appends the BLOCK_ROUTES routes of a block. */
static void
append_block (GString *s, guint block)
{
  for (guint i = 0; i < BLOCK_ROUTES; i++)
    g_string_append_printf (
        s,
        "\"m%u-%u\":{\"host\":\"%s\",\"prefix\":\"/m%u/%u/\",\"kind\":"
        "\"safe\",\"service\":\"%s\",\"timeoutMs\":1200,"
        "\"targetLatencyMs\":400,\"maxAttempts\":2,\"priority\":3},",
        block, i, hosts[block % HOSTS], block, i, pools[block % POOL_KEYS]);
}

/* Returns the configuration of E as JSON, with random limits. */
static char *
to_json (const Entry *e)
{
  GString *s = g_string_new (NULL);
  guint headers_max = random_between (8000, 64000);
  guint body_max = random_between (1000, 1000000);
  guint idle_ms = random_between (8000, 60000);

  g_string_append_printf (s,
                          "{\"version\":\"%08x\",\"services\":{\"keys\":"
                          "{\"sharding\":true,\"maxConns\":130},"
                          "\"free\":{\"maxConns\":130},"
                          "\"more\":{\"maxConns\":130}},"
                          "\"limits\":{\"maxHeaderBytes\":%u,"
                          "\"maxBodyBytes\":%u,\"idleTimeoutMs\":%u},"
                          "\"routes\":{",
                          e->version, headers_max, body_max, idle_ms);
  for (guint i = 0; i < ROUTES; i++)
    append_route (s, i, &e->routes[i]);
  for (guint i = 0; i < BLOCKS; i++)
    if (e->blocks & 1U << i)
      append_block (s, i);
  g_string_truncate (s, s->len - 1);
  g_string_append (s, "}}");
  return g_string_free (s, FALSE);
}

/* Writes TEXT to the store and keeps E with the time of the write. */
static void
write_entry (const Entry *e, const char *text)
{
  g_array_append_val (entries, *e);
  soak_table_put ("op", "config", text);
  g_array_index (entries, Entry, entries->len - 1).written = cc_clock_now ();
}

/* Writes the next configuration, with a version that is higher by 1 to 4. */
static void
write_applicable (void)
{
  g_autofree char *text = NULL;

  next_entry.kind = ENTRY_APPLICABLE;
  next_entry.version += random_between (1, 4);
  text = to_json (&next_entry);
  write_entry (&next_entry, text);
  soak_audit_log ("configuration %08x: %" G_GSIZE_FORMAT " bytes",
                  next_entry.version, strlen (text));
}

/* Replaces an invalid row by the next configuration. */
static gboolean
on_invalid_over (gpointer unused)
{
  (void) unused;
  invalid_timer = 0;
  write_applicable ();
  return G_SOURCE_REMOVE;
}

/* Writes a row that is not a valid configuration. */
static void
write_unreadable (void)
{
  static const char *const texts[] = { "", "{", "[]", "{\"version\":\"0\"}",
                                       "{\"version\":\"x\",\"routes\":{}}" };
  Entry e = { .kind = ENTRY_UNREADABLE };

  soak_audit_log ("unreadable configuration");
  write_entry (&e, texts[random_between (0, G_N_ELEMENTS (texts) - 1)]);
}

/* Writes a random earlier entry again, or an unreadable row if that was one. */
static void
write_stale (void)
{
  Entry e = *entry (random_between (0, entries->len - 1));
  g_autofree char *text = NULL;

  if (e.kind == ENTRY_UNREADABLE)
    {
      write_unreadable ();
      return;
    }
  e.kind = ENTRY_STALE;
  text = to_json (&e);
  soak_audit_log ("configuration %08x, an older version", e.version);
  write_entry (&e, text);
}

/* Writes the first configuration of the series drawn from SEED. */
void
soak_config_begin (guint seed)
{
  random_source = g_rand_new_with_seed (seed);
  entries = g_array_new (FALSE, FALSE, sizeof (Entry));
  next_entry.version = random_between (0, 0xffffff);
  randomize_all ();
  write_applicable ();
}

/* Writes the next configuration, or a row that gateways must ignore.  Does
 * nothing while such a row is in place. */
void
soak_config_change (void)
{
  const Entry *last = entry (entries->len - 1);

  if (invalid_timer != 0)
    return;
  if (cc_clock_now () - last->written > INVALID_AFTER && one_in (2))
    {
      (one_in (2) ? write_stale : write_unreadable) ();
      invalid_timer =
          g_timeout_add (random_between (INVALID_MIN_MS, INVALID_MAX_MS),
                         on_invalid_over, NULL);
      return;
    }
  for (guint n = random_between (1, 6); n > 0; n--)
    change_route ();
  if (one_in (5))
    next_entry.blocks ^= 1U << random_between (0, BLOCKS - 1);
  write_applicable ();
}

/* ---- queries ---- */

/* Returns the number of entries so far; the newest is the last. */
guint
soak_config_count (void)
{
  return entries->len;
}

/* Returns the version of entry I. */
guint
soak_config_version (guint i)
{
  return entry (i)->version;
}

/* Returns when entry I was written, us. */
gint64
soak_config_written (guint i)
{
  return entry (i)->written;
}

/* Whether gateways must apply entry I, as it is readable and newer than all
 * before. */
gboolean
soak_config_is_applicable (guint i)
{
  return entry (i)->kind == ENTRY_APPLICABLE;
}

/* Returns the first entry with VERSION, or G_MAXUINT. */
guint
soak_config_find (guint version)
{
  for (guint i = 0; i < entries->len; i++)
    if (entry (i)->kind != ENTRY_UNREADABLE && entry (i)->version == version)
      return i;
  return G_MAXUINT;
}

/* Finds the route for HOST and PATH among the blocks of E. */
static gboolean
match_block (const Entry *e, const char *host, const char *path,
             RouteSettings *out)
{
  guint block, route;
  int end = 0;

  if (sscanf (path, "/m%u/%u/%n", &block, &route, &end) != 2 || end == 0 ||
      block >= BLOCKS || route >= BLOCK_ROUTES || !(e->blocks & 1U << block) ||
      !g_str_equal (host, hosts[block % HOSTS]))
    return FALSE;
  *out = (RouteSettings){ .present = TRUE, .timeout = 1200 };
  out->weights[block % POOL_KEYS] = 1;
  return TRUE;
}

/* Finds the route of entry I with the longest prefix that matches HOST (lower
 * case, without port) and PATH.  Returns FALSE if there is none. */
static gboolean
match_route (guint i, const char *host, const char *path, RouteSettings *out)
{
  const Entry *e = entry (i);
  gsize longest = 0;

  if (e->kind == ENTRY_UNREADABLE)
    return FALSE;
  if (match_block (e, host, path, out))
    return TRUE;
  for (guint p = 0; p < ROUTES; p++)
    {
      gsize length = strlen (prefix_of (p));

      if (!e->routes[p].present || length <= longest ||
          !g_str_equal (host_of (p), host) ||
          !g_str_has_prefix (path, prefix_of (p)))
        continue;
      longest = length;
      *out = e->routes[p];
    }
  return longest > 0;
}

/* Sets OUT to what the entries from OLDEST to the newest allow for HOST and
 * PATH. */
void
soak_config_query (guint oldest, const char *host, const char *path,
                   SoakAllowed *out)
{
  *out = (SoakAllowed){ .always = TRUE };
  for (guint i = oldest; i < entries->len; i++)
    {
      RouteSettings w;

      if (entry (i)->kind == ENTRY_UNREADABLE)
        continue;
      if (!match_route (i, host, path, &w))
        {
          out->always = FALSE;
          continue;
        }
      out->timeout = MAX (out->timeout, w.timeout);
      for (guint p = 0; p < POOLS; p++)
        out->pools |= w.weights[p] > 0 ? 1U << p : 0;
    }
}

/* Whether the bit set POOLS_ALLOWED has POOL. */
static gboolean
allows (guint pools_allowed, const char *pool)
{
  for (guint p = 0; p < POOLS; p++)
    if (g_str_equal (pools[p], pool))
      return (pools_allowed & 1U << p) != 0;
  return FALSE;
}

/* Whether A allows POOL. */
gboolean
soak_config_allows (const SoakAllowed *a, const char *pool)
{
  return allows (a->pools, pool);
}

/* Returns the first entry from OLDEST on that routes HOST and PATH to POOL
 * (NULL: that has no route for them), or OLDEST if there is none. */
guint
soak_config_first_match (guint oldest, const char *host, const char *path,
                         const char *pool)
{
  for (guint i = oldest; i < entries->len; i++)
    {
      RouteSettings w = { 0 };
      gboolean found = match_route (i, host, path, &w);
      guint set = 0;

      for (guint p = 0; p < POOLS; p++)
        set |= w.weights[p] > 0 ? 1U << p : 0;
      if (entry (i)->kind != ENTRY_UNREADABLE &&
          (pool == NULL ? !found : found && allows (set, pool)))
        return i;
    }
  return oldest;
}

/* Draws a host and the beginning of a path that some configurations may allow.
 * PATH is owned by the caller. */
void
soak_config_draw_target (const char **host, char **path)
{
  static const char *const near_misses[] = { "/n0",    "/n0/a", "/n00/",
                                             "/none/", "/m0/",  "/n0/A/" };
  guint block = (guint) g_random_int_range (0, BLOCKS);

  *host = hosts[g_random_int_range (0, HOSTS)];
  switch (g_random_int_range (0, 8))
    {
    case 0:
      *path = g_strdup (
          near_misses[g_random_int_range (0, G_N_ELEMENTS (near_misses))]);
      break;
    case 1:
    case 2:
      *host = hosts[block % HOSTS];
      *path = g_strdup_printf ("/m%u/%d/", block,
                               g_random_int_range (0, BLOCK_ROUTES + 20));
      break;
    default:
      *path = g_strdup (prefixes[g_random_int_range (0, PREFIXES)]);
    }
}
