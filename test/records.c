/* Reads every server's record file and compares.  A run without an end (its
 * server was killed) counts as run when that makes the fault worse, and as not
 * run when that does. */
#include "records.h"

#include <stdio.h>
#include <string.h>

#define DETAILS_MAX 20
/* Of a wall clock's time, us. */
#define DAY_SECONDS(wall) ((double) ((wall) % (86400 * CC_SECOND)) / 1e6)

typedef struct
{
  char *id;
  char *marker;
  char *server;
  char *pool_key;
  guint64 epoch;
  gint64 begun;
  gint64 ended; /* 0: no effect seen */
  gboolean refused;
} Run;

typedef struct
{
  GHashTable *runs;    /* id to Run */
  GHashTable *markers; /* marker to GPtrArray of Run */
  GHashTable *keys;    /* pool/key to GPtrArray of Run with effect */
  GString *details;
  guint detailed;
} Books;

static void
detail (Books *b, const char *what, const char *text)
{
  if (b->detailed++ < DETAILS_MAX)
    g_string_append_printf (b->details, "  %s: %s\n", what, text);
}

static void
add_to (GHashTable *table, const char *key, Run *r)
{
  GPtrArray *list = g_hash_table_lookup (table, key);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (table, g_strdup (key), list);
    }
  g_ptr_array_add (list, r);
}

static void
take_line (Books *b, const char *server, char **f)
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
      add_to (b->markers, r->marker, r);
    }
  if (f[0][0] == 'B')
    {
      if (r->begun != 0) /* the same attempt ran again: a run of its own */
        r = g_memdup2 (r, sizeof *r), r->ended = 0,
        add_to (b->markers, r->marker, r);
      r->begun = wall;
    }
  else if (f[0][0] == 'E')
    {
      r->ended = wall;
      add_to (b->keys, r->pool_key, r);
    }
  else
    r->refused = TRUE;
}

static void
read_file (Books *b, const char *folder, const char *name)
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
        take_line (b, name, f);
    }
}

static void
read_all (Books *b, const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (name, ".records"))
      read_file (b, folder, name);
  if (dir != NULL)
    g_dir_close (dir);
}

/* The answers to T's caller and the runs at servers, in seconds of the wall
 * clock's day. */
static void
tell_story (Books *b, const CallerOutcomes *t)
{
  GPtrArray *runs = g_hash_table_lookup (b->markers, t->marker);
  GString *s = g_string_new (t->answers->str);

  for (guint i = 0; runs != NULL && i < runs->len; i++)
    {
      const Run *r = runs->pdata[i];

      g_string_append_printf (s, "; run %s at %s from %.3f to %.3f%s", r->id,
                              r->server, DAY_SECONDS (r->begun),
                              DAY_SECONDS (r->ended),
                              r->refused ? " refused" : "");
    }
  detail (b, t->marker, s->str);
  g_string_free (s, TRUE);
}

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

static void
judge_told (Books *b, const CallerOutcomes *t, Audit *a)
{
  guint certain, possible;

  count_effects (g_hash_table_lookup (b->markers, t->marker), &certain,
                 &possible);
  if (t->told[CC_OUTCOME_RUN] > 0 && certain == 0)
    {
      a->lost++;
      detail (b, "told run, not recorded", t->marker);
    }
  if (t->told[CC_OUTCOME_NOT_RUN] > 0 && t->told[CC_OUTCOME_RUN] == 0 &&
      t->last == CC_OUTCOME_NOT_RUN && possible > 0)
    {
      g_autofree char *what = g_strdup_printf (
          "told not-run %u times, unknown %u times, but recorded (%s)",
          t->told[CC_OUTCOME_NOT_RUN], t->told[CC_OUTCOME_UNKNOWN],
          t->once_only ? "once only" : "may be repeated");

      a->lost++;
      detail (b, what, t->marker);
      tell_story (b, t);
    }
  if (t->once_only && possible > 1)
    {
      a->executed_twice++;
      detail (b, "run twice", t->marker);
      tell_story (b, t);
    }
  a->crossed += t->crossed ? 1 : 0;
}

static gint
by_end (gconstpointer a, gconstpointer b)
{
  const Run *x = *(const Run *const *) a, *y = *(const Run *const *) b;

  return x->ended < y->ended ? -1 : x->ended > y->ended;
}

static void
judge_key (Books *b, const char *key, GPtrArray *runs, Audit *a)
{
  g_ptr_array_sort (runs, by_end);
  for (guint i = 0; i + 1 < runs->len; i++)
    for (guint j = i + 1; j < MIN (runs->len, i + 20); j++)
      {
        const Run *x = runs->pdata[i], *y = runs->pdata[j];
        gboolean overlap =
            !g_str_equal (x->server, y->server) && y->begun < x->ended;

        if (!overlap && y->epoch >= x->epoch)
          continue;
        a->owner_conflicts++;
        detail (b, overlap ? "two servers at once" : "older epoch later", key);
      }
}

/* Compares TOLD (of CallerOutcomes) with the record files in FOLDER.  The first
 * faults are described in DETAILS. */
Audit
audit_records (const char *folder, GPtrArray *told, GString *details)
{
  Books b = { g_hash_table_new (g_str_hash, g_str_equal),
              g_hash_table_new (g_str_hash, g_str_equal),
              g_hash_table_new (g_str_hash, g_str_equal), details, 0 };
  Audit a = { .asked = told->len };
  GHashTableIter iter;
  gpointer key, runs;

  read_all (&b, folder);
  for (guint i = 0; i < told->len; i++)
    judge_told (&b, told->pdata[i], &a);
  g_hash_table_iter_init (&iter, b.keys);
  while (g_hash_table_iter_next (&iter, &key, &runs))
    judge_key (&b, key, runs, &a);
  return a;
}
