/* The operators' configurations: drawn by a seed, written to the store, and
 * remembered, so that what each allows can be asked later.
 *
 * Routes of several hosts with nested and overlapping prefixes come, go, come
 * back, change their pools and are split between two; limits change; whole
 * blocks of routes are added at once.  In between stand rows that can't be read
 * and rows of an older version, for less than a second each. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capercrank.h"
#include "clock.h"
#include "soak.h"

#define HOSTS 3
#define PREFIXES 9
#define FIXED 4 /* routes that are always there, on the first host */
#define PLACES (HOSTS * PREFIXES + FIXED)
#define BLOCKS 3
#define BLOCK_ROUTES 1200
/* A row that is no proper configuration stands for so long at most, and only
 * after one that everybody in touch has taken. */
#define STRAY_LEAST_MS 100
#define STRAY_MOST_MS 800
#define STRAY_AFTER (3000 * CC_MS)

static const char *const hosts[HOSTS] = { "a.example", "b.example",
                                          "shop.a.example" };
static const char *const prefixes[PREFIXES] = { "/",        "/n0/",    "/n0/a/",
                                                "/n0/a/b/", "/n0/ab/", "/n1/",
                                                "/n1/a/",   "/n/",     "/N0/" };
static const struct
{
  const char *prefix, *kind;
  gboolean keyed;
} fixed[FIXED] = { { "/look/", "safe", TRUE },
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
  gboolean there;
  guint weights[POOLS];
  guint timeout, target; /* ms */
  guint attempts, priority;
} Way;

typedef enum
{
  ENTRY_PROPER,
  ENTRY_OLDER,     /* the content of an earlier one */
  ENTRY_UNREADABLE /* changes nothing */
} EntryKind;

/* What stood in the row from WRITTEN on. */
typedef struct
{
  EntryKind kind;
  gint64 written; /* us */
  guint version;
  Way ways[PLACES];
  guint blocks; /* bit by bit */
} Entry;

static GArray *entries; /* of Entry, in the order of writing */
static Entry next;      /* what the next proper one is made from */
static GRand *draw;
static guint stray; /* source that ends a stray row; 0: none stands */

static guint
between (guint least, guint most)
{
  return (guint) g_rand_int_range (draw, (gint32) least, (gint32) most + 1);
}

static gboolean
one_in (guint n)
{
  return between (1, n) == 1;
}

static const Entry *
entry (guint i)
{
  return &g_array_index (entries, Entry, i);
}

static const char *
host_of (guint place)
{
  return place < FIXED ? hosts[0] : hosts[(place - FIXED) / PREFIXES];
}

static const char *
prefix_of (guint place)
{
  return place < FIXED ? fixed[place].prefix
                       : prefixes[(place - FIXED) % PREFIXES];
}

/* ---- drawing ---- */

static void
draw_pools (guint place, Way *w)
{
  memset (w->weights, 0, sizeof w->weights);
  if (place < FIXED && fixed[place].keyed)
    w->weights[POOL_KEYS] = 1;
  else if (place >= FIXED && one_in (6))
    w->weights[POOL_KEYS] = 1;
  else if (one_in (2))
    w->weights[between (POOL_FREE, POOL_MORE)] = 1;
  else
    {
      w->weights[POOL_FREE] = between (1, 9);
      w->weights[POOL_MORE] = between (1, 9);
    }
}

static void
draw_bounds (Way *w)
{
  w->timeout = between (900, 1500);
  w->target = between (200, 600);
  w->attempts = between (1, 4);
  w->priority = between (0, 4);
}

static void
change_place (void)
{
  guint place = between (0, PLACES - 1);
  Way *w = &next.ways[place];

  switch (between (0, 2))
    {
    case 0:
      w->there = place < FIXED || !w->there;
      break;
    case 1:
      draw_pools (place, w);
      break;
    default:
      draw_bounds (w);
    }
}

static void
draw_first (void)
{
  for (guint i = 0; i < PLACES; i++)
    {
      Way *w = &next.ways[i];

      w->there = i < FIXED || one_in (2);
      draw_pools (i, w);
      draw_bounds (w);
    }
}

/* ---- writing ---- */

static void
append_backends (GString *s, const Way *w)
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

static void
append_place (GString *s, guint place, const Way *w)
{
  if (!w->there)
    return;
  g_string_append_printf (
      s,
      "\"p%u\":{\"host\":\"%s\",\"prefix\":\"%s\",\"kind\":\"%s\","
      "\"timeoutMs\":%u,\"targetLatencyMs\":%u,\"maxAttempts\":%u,"
      "\"priority\":%u,",
      place, host_of (place), prefix_of (place),
      place < FIXED ? fixed[place].kind : "safe", w->timeout, w->target,
      w->attempts, w->priority);
  append_backends (s, w);
  g_string_append (s, "},");
}

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

static char *
text_of (const Entry *e)
{
  GString *s = g_string_new (NULL);

  g_string_append_printf (s,
                          "{\"version\":\"%08x\",\"services\":{\"keys\":"
                          "{\"sharding\":true,\"maxConns\":130},"
                          "\"free\":{\"maxConns\":130},"
                          "\"more\":{\"maxConns\":130}},"
                          "\"limits\":{\"maxHeaderBytes\":%u,"
                          "\"maxBodyBytes\":%u,\"idleTimeoutMs\":%u},"
                          "\"routes\":{",
                          e->version, between (8000, 64000),
                          between (1000, 1000000), between (8000, 60000));
  for (guint i = 0; i < PLACES; i++)
    append_place (s, i, &e->ways[i]);
  for (guint i = 0; i < BLOCKS; i++)
    if (e->blocks & 1U << i)
      append_block (s, i);
  g_string_truncate (s, s->len - 1);
  g_string_append (s, "}}");
  return g_string_free (s, FALSE);
}

static void
put (const Entry *e, const char *text)
{
  g_array_append_val (entries, *e);
  soak_table_put ("op", "config", text);
  g_array_index (entries, Entry, entries->len - 1).written = cc_clock_now ();
}

static void
write_proper (void)
{
  g_autofree char *text = NULL;

  next.kind = ENTRY_PROPER;
  next.version += between (1, 4);
  text = text_of (&next);
  put (&next, text);
  soak_audit_log ("configuration %08x: %" G_GSIZE_FORMAT " bytes", next.version,
                  strlen (text));
}

static gboolean
on_stray_over (gpointer unused)
{
  (void) unused;
  stray = 0;
  write_proper ();
  return G_SOURCE_REMOVE;
}

static void
write_unreadable (void)
{
  static const char *const texts[] = { "", "{", "[]", "{\"version\":\"0\"}",
                                       "{\"version\":\"x\",\"routes\":{}}" };
  Entry e = { .kind = ENTRY_UNREADABLE };

  soak_audit_log ("a configuration that can't be read");
  put (&e, texts[between (0, G_N_ELEMENTS (texts) - 1)]);
}

static void
write_older (void)
{
  Entry e = *entry (between (0, entries->len - 1));
  g_autofree char *text = NULL;

  if (e.kind == ENTRY_UNREADABLE)
    {
      write_unreadable ();
      return;
    }
  e.kind = ENTRY_OLDER;
  text = text_of (&e);
  soak_audit_log ("configuration %08x, which is older", e.version);
  put (&e, text);
}

/* Writes the first configuration that SEED draws. */
void
soak_config_begin (guint seed)
{
  draw = g_rand_new_with_seed (seed);
  entries = g_array_new (FALSE, FALSE, sizeof (Entry));
  next.version = between (0, 0xffffff);
  draw_first ();
  write_proper ();
}

/* Writes the next one, or a row that is none. */
void
soak_config_change (void)
{
  const Entry *last = entry (entries->len - 1);

  if (stray != 0)
    return;
  if (cc_clock_now () - last->written > STRAY_AFTER && one_in (2))
    {
      (one_in (2) ? write_older : write_unreadable) ();
      stray = g_timeout_add (between (STRAY_LEAST_MS, STRAY_MOST_MS),
                             on_stray_over, NULL);
      return;
    }
  for (guint n = between (1, 6); n > 0; n--)
    change_place ();
  if (one_in (5))
    next.blocks ^= 1U << between (0, BLOCKS - 1);
  write_proper ();
}

/* ---- asking ---- */

/* Entries so far; the newest is the last. */
guint
soak_config_count (void)
{
  return entries->len;
}

guint
soak_config_version (guint i)
{
  return entry (i)->version;
}

gint64
soak_config_written (guint i)
{
  return entry (i)->written;
}

gboolean
soak_config_is_applicable (guint i)
{
  return entry (i)->kind == ENTRY_PROPER;
}

/* The first entry with VERSION; G_MAXUINT: none. */
guint
soak_config_find (guint version)
{
  for (guint i = 0; i < entries->len; i++)
    if (entry (i)->kind != ENTRY_UNREADABLE && entry (i)->version == version)
      return i;
  return G_MAXUINT;
}

static gboolean
match_block (const Entry *e, const char *host, const char *path, Way *out)
{
  guint block, route;
  int end = 0;

  if (sscanf (path, "/m%u/%u/%n", &block, &route, &end) != 2 || end == 0 ||
      block >= BLOCKS || route >= BLOCK_ROUTES || !(e->blocks & 1U << block) ||
      !g_str_equal (host, hosts[block % HOSTS]))
    return FALSE;
  *out = (Way){ .there = TRUE, .timeout = 1200 };
  out->weights[block % POOL_KEYS] = 1;
  return TRUE;
}

/* The route of entry I for HOST (lower case, without port) and PATH. */
static gboolean
match (guint i, const char *host, const char *path, Way *out)
{
  const Entry *e = entry (i);
  gsize longest = 0;

  if (e->kind == ENTRY_UNREADABLE)
    return FALSE;
  if (match_block (e, host, path, out))
    return TRUE;
  for (guint p = 0; p < PLACES; p++)
    {
      gsize length = strlen (prefix_of (p));

      if (!e->ways[p].there || length <= longest ||
          !g_str_equal (host_of (p), host) ||
          !g_str_has_prefix (path, prefix_of (p)))
        continue;
      longest = length;
      *out = e->ways[p];
    }
  return longest > 0;
}

/* What the entries from LOW to the newest allow for HOST and PATH. */
void
soak_config_query (guint low, const char *host, const char *path,
                   SoakAllowed *out)
{
  *out = (SoakAllowed){ .always = TRUE };
  for (guint i = low; i < entries->len; i++)
    {
      Way w;

      if (entry (i)->kind == ENTRY_UNREADABLE)
        continue;
      if (!match (i, host, path, &w))
        {
          out->always = FALSE;
          continue;
        }
      out->timeout = MAX (out->timeout, w.timeout);
      for (guint p = 0; p < POOLS; p++)
        out->pools |= w.weights[p] > 0 ? 1U << p : 0;
    }
}

static gboolean
allows (guint pools_allowed, const char *pool)
{
  for (guint p = 0; p < POOLS; p++)
    if (g_str_equal (pools[p], pool))
      return (pools_allowed & 1U << p) != 0;
  return FALSE;
}

/* Whether A names POOL. */
gboolean
soak_config_allows (const SoakAllowed *a, const char *pool)
{
  return allows (a->pools, pool);
}

/* The first entry from LOW on by which HOST and PATH go to POOL (NULL: have no
 * route); LOW if there is none. */
guint
soak_config_first_match (guint low, const char *host, const char *path,
                         const char *pool)
{
  for (guint i = low; i < entries->len; i++)
    {
      Way w = { 0 };
      gboolean found = match (i, host, path, &w);
      guint set = 0;

      for (guint p = 0; p < POOLS; p++)
        set |= w.weights[p] > 0 ? 1U << p : 0;
      if (entry (i)->kind != ENTRY_UNREADABLE &&
          (pool == NULL ? !found : found && allows (set, pool)))
        return i;
    }
  return low;
}

/* A host and the beginning of a path that some configuration may allow. */
void
soak_config_draw_target (const char **host, char **path)
{
  static const char *const others[] = { "/n0",    "/n0/a", "/n00/",
                                        "/none/", "/m0/",  "/n0/A/" };
  guint block = (guint) g_random_int_range (0, BLOCKS);

  *host = hosts[g_random_int_range (0, HOSTS)];
  switch (g_random_int_range (0, 8))
    {
    case 0:
      *path = g_strdup (others[g_random_int_range (0, G_N_ELEMENTS (others))]);
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
