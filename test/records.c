/* Reads the record files of all servers and checks the outcomes reported to
 * callers against them.  A run without an end (its server was killed) may or
 * may not have taken effect.  Each check assumes what counts against the
 * router: no effect for a request reported as run, an effect for one reported
 * as not-run or run twice. */
#include "records.h"

#include <stdio.h>
#include <string.h>

#define DETAILS_MAX 20
/* Seconds since midnight (UTC) of a wall clock time in us. */
#define SECONDS_OF_DAY(wall) ((double) ((wall) % (86400 * CC_SECOND)) / 1e6)

/* One execution of a request at a server.  Times are wall clock, us. */
typedef struct
{
  char *id;
  char *marker;
  char *server;
  char *pool_key;
  guint64 epoch;
  gint64 began;
  gint64 ended;     /* 0: no effect recorded */
  gboolean refused; /* rejected at its end, without effect */
} Run;

typedef struct
{
  GHashTable *runs;    /* id to Run */
  GHashTable *markers; /* marker to GPtrArray of Run */
  GHashTable *keys;    /* pool/key to GPtrArray of Run with effect */
  GString *details;
  guint detail_count; /* number of violations, with those left out */
} RecordIndex;

/* Appends a line to the details, at most DETAILS_MAX of them. */
static void
add_detail (RecordIndex *b, const char *what, const char *text)
{
  if (b->detail_count++ < DETAILS_MAX)
    g_string_append_printf (b->details, "  %s: %s\n", what, text);
}

/* Appends R to the list of KEY in TABLE. */
static void
add_run (GHashTable *table, const char *key, Run *r)
{
  GPtrArray *list = g_hash_table_lookup (table, key);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (table, g_strdup (key), list);
    }
  g_ptr_array_add (list, r);
}

/* Adds a record line of SERVER, split into the fields F, to the index. */
static void
add_line (RecordIndex *b, const char *server, char **f)
{
  gint64 wall = g_ascii_strtoll (f[7], NULL, 10);
  Run *r = g_hash_table_lookup (b->runs, f[1]);

  if (r == NULL)
    {
      r = g_new0 (Run, 1);
      r->id = g_strdup (f[1]);
      r->marker = g_strdup (f[2]);
      r->server = g_strdup (server);
      r->pool_key = g_strdup_printf ("%s/%s", f[8], f[3]);
      r->epoch = g_ascii_strtoull (f[5], NULL, 10);
      g_hash_table_insert (b->runs, r->id, r);
      add_run (b->markers, r->marker, r);
    }
  if (f[0][0] == 'B')
    {
      if (r->began != 0) /* the same attempt ran again: a separate run */
        r = g_memdup2 (r, sizeof *r), r->ended = 0,
        add_run (b->markers, r->marker, r);
      r->began = wall;
    }
  else if (f[0][0] == 'E')
    {
      r->ended = wall;
      add_run (b->keys, r->pool_key, r);
    }
  else
    r->refused = TRUE;
}

/* Reads the record file NAME in FOLDER.  Lines without all fields are skipped.
 */
static void
read_file (RecordIndex *b, const char *folder, const char *name)
{
  g_autofree char *path = g_build_filename (folder, name, NULL);
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return;
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) f = g_strsplit (lines[i], " ", -1);

      if (g_strv_length (f) == 9)
        add_line (b, name, f);
    }
}

/* Reads all record files in FOLDER. */
static void
read_all (RecordIndex *b, const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (name, ".records"))
      read_file (b, folder, name);
  if (dir != NULL)
    g_dir_close (dir);
}

/* Adds a detail line with the responses to T's caller and the runs at servers,
 * in seconds since midnight. */
static void
describe_runs (RecordIndex *b, const CallerOutcomes *t)
{
  GPtrArray *runs = g_hash_table_lookup (b->markers, t->marker);
  GString *s = g_string_new (t->answers->str);

  for (guint i = 0; runs != NULL && i < runs->len; i++)
    {
      const Run *r = runs->pdata[i];

      g_string_append_printf (s, "; run %s at %s from %.3f to %.3f%s", r->id,
                              r->server, SECONDS_OF_DAY (r->began),
                              SECONDS_OF_DAY (r->ended),
                              r->refused ? " refused" : "");
    }
  add_detail (b, t->marker, s->str);
  g_string_free (s, TRUE);
}

/* Counts the RUNS that took effect for CERTAIN, and those that may have. */
static void
count_effects (const GPtrArray *runs, guint *certain, guint *possible)
{
  *certain = *possible = 0;
  for (guint i = 0; runs != NULL && i < runs->len; i++)
    {
      const Run *r = runs->pdata[i];

      *certain += r->ended != 0;
      *possible += r->ended != 0 || !r->refused;
    }
}

/* Checks the outcomes T against the runs of the same marker.  A not-run outcome
 * counts only if it was the last, and no earlier response said run: an earlier
 * unknown outcome doesn't excuse it. */
static void
check_outcomes (RecordIndex *b, const CallerOutcomes *t, Audit *a)
{
  guint certain, possible;

  count_effects (g_hash_table_lookup (b->markers, t->marker), &certain,
                 &possible);
  if (t->told[CC_OUTCOME_RUN] > 0 && certain == 0)
    {
      a->lost++;
      add_detail (b, "told run, not recorded", t->marker);
    }
  if (t->told[CC_OUTCOME_NOT_RUN] > 0 && t->told[CC_OUTCOME_RUN] == 0 &&
      t->last == CC_OUTCOME_NOT_RUN && possible > 0)
    {
      g_autofree char *what = g_strdup_printf (
          "told not-run %u times, unknown %u times, but recorded (%s)",
          t->told[CC_OUTCOME_NOT_RUN], t->told[CC_OUTCOME_UNKNOWN],
          t->once_only ? "once only" : "may be repeated");

      a->lost++;
      add_detail (b, what, t->marker);
      describe_runs (b, t);
    }
  if (t->once_only && possible > 1)
    {
      a->executed_twice++;
      add_detail (b, "run twice", t->marker);
      describe_runs (b, t);
    }
  a->crossed += t->crossed ? 1 : 0;
}

/* Orders runs by their end. */
static gint
compare_ended (gconstpointer a, gconstpointer b)
{
  const Run *x = *(const Run *const *) a, *y = *(const Run *const *) b;

  return x->ended < y->ended ? -1 : x->ended > y->ended;
}

/* Checks that the RUNS for KEY at different servers don't overlap, and that
 * epochs don't decrease.  Compares each run with the next 19 by their end. */
static void
check_key (RecordIndex *b, const char *key, GPtrArray *runs, Audit *a)
{
  g_ptr_array_sort (runs, compare_ended);
  for (guint i = 0; i + 1 < runs->len; i++)
    for (guint j = i + 1; j < MIN (runs->len, i + 20); j++)
      {
        const Run *x = runs->pdata[i], *y = runs->pdata[j];
        gboolean overlap =
            !g_str_equal (x->server, y->server) && y->began < x->ended;

        if (!overlap && y->epoch >= x->epoch)
          continue;
        a->owner_conflicts++;
        add_detail (b, overlap ? "two servers at once" : "older epoch later",
                    key);
      }
}

/* Compares TOLD (of CallerOutcomes) with the record files in FOLDER and returns
 * the number of violations of each kind.  The first DETAILS_MAX of them are
 * described in DETAILS. */
Audit
audit_records (const char *folder, GPtrArray *told, GString *details)
{
  RecordIndex b = { g_hash_table_new (g_str_hash, g_str_equal),
                    g_hash_table_new (g_str_hash, g_str_equal),
                    g_hash_table_new (g_str_hash, g_str_equal), details, 0 };
  Audit a = { .asked = told->len };
  GHashTableIter iter;
  gpointer key, runs;

  read_all (&b, folder);
  for (guint i = 0; i < told->len; i++)
    check_outcomes (&b, told->pdata[i], &a);
  g_hash_table_iter_init (&iter, b.keys);
  while (g_hash_table_iter_next (&iter, &key, &runs))
    check_key (&b, key, runs, &a);
  return a;
}
