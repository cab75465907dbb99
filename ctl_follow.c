/* capercrankctl follow: the counters that changed in the last second, and each
 * class against its target, summed over the admin ports that are named. */
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <libsoup/soup.h>

#include "ctl.h"
#include "settings.h"

#define PERIOD_S 1

/* Sums of one round: series "name{labels}" to double. */
static GHashTable *
new_round (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
add_line (GHashTable *round, const char *line)
{
  const char *space = strrchr (line, ' ');
  g_autofree char *series = NULL;
  double *sum;

  if (space == NULL || line[0] == '#')
    return;
  series = g_strndup (line, (gsize) (space - line));
  sum = g_hash_table_lookup (round, series);
  if (sum == NULL)
    {
      sum = g_new0 (double, 1);
      g_hash_table_insert (round, g_steal_pointer (&series), sum);
    }
  *sum += g_ascii_strtod (space, NULL);
}

static guint
read_round (const CtlOptions *o, GHashTable *round)
{
  guint answered = 0;

  for (guint i = 0; o->words[i] != NULL; i++)
    {
      CtlAnswer a = ctl_call (o, o->words[i], "GET", "/metrics", NULL, NULL);

      if (a.status == SOUP_STATUS_OK)
        {
          g_auto (GStrv) lines = g_strsplit (a.body, "\n", -1);

          for (guint k = 0; lines[k] != NULL; k++)
            add_line (round, lines[k]);
          answered++;
        }
      ctl_answer_clear (&a);
    }
  return answered;
}

static double
value_of (GHashTable *round, const char *series)
{
  const double *v = g_hash_table_lookup (round, series);

  return v != NULL ? *v : 0;
}

static double
rate_of (GHashTable *now, GHashTable *before, const char *format,
         const char *class)
{
  g_autofree char *text = g_strdup (format);
  g_auto (GStrv) halves = g_strsplit (text, "%", 2);
  g_autofree char *series = g_strconcat (halves[0], class, halves[1], NULL);

  return (value_of (now, series) - value_of (before, series)) / PERIOD_S;
}

static char *
rounded (double v)
{
  return g_strdup_printf ("%.0f", v);
}

static void
add_class (CtlTable *t, GHashTable *now, GHashTable *before, const char *class)
{
  double run = rate_of (
      now, before, "capercrank_requests{class=\"%\",outcome=\"run\"}", class);
  double not_run =
      rate_of (now, before,
               "capercrank_requests{class=\"%\",outcome=\"not-run\"}", class);
  double unknown =
      rate_of (now, before,
               "capercrank_requests{class=\"%\",outcome=\"unknown\"}", class);
  double in_target = rate_of (
      now, before, "capercrank_requests_in_target{class=\"%\"}", class);
  double all = run + not_run + unknown;
  g_autofree char *run_text = rounded (run);
  g_autofree char *not_run_text = rounded (not_run);
  g_autofree char *unknown_text = rounded (unknown);
  g_autofree char *share =
      all > 0 ? g_strdup_printf ("%.1f%%", 100 * in_target / all)
              : g_strdup ("-");

  ctl_table_add (t, class, run_text, not_run_text, unknown_text, share);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

/* The series of ROUND whose names start with PREFIX, sorted. */
static GPtrArray *
series_with (GHashTable *round, const char *prefix)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, round);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (g_str_has_prefix (name, prefix))
      g_ptr_array_add (names, name);
  g_ptr_array_sort (names, compare_names);
  return names;
}

static void
print_classes (const CtlOptions *o, GHashTable *now, GHashTable *before)
{
  static const char *const columns[] = { "class",     "run/s",     "not-run/s",
                                         "unknown/s", "in target", NULL };
  static const char *const prefix = "capercrank_requests_in_target{class=\"";
  g_autoptr (GPtrArray) names = series_with (now, prefix);
  CtlTable t;

  ctl_table_init (&t, columns);
  for (guint i = 0; i < names->len; i++)
    {
      const char *start = (const char *) names->pdata[i] + strlen (prefix);
      g_autofree char *class = g_strndup (start, strcspn (start, "\""));

      add_class (&t, now, before, class);
    }
  if (t.rows->len > 0)
    ctl_table_print (&t, o->json);
  ctl_table_clear (&t);
}

static void
print_counters (const CtlOptions *o, GHashTable *now, GHashTable *before)
{
  static const char *const columns[] = { "counter", "value", "change/s", NULL };
  g_autoptr (GPtrArray) names = series_with (now, "capercrank_");
  CtlTable t;

  ctl_table_init (&t, columns);
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = names->pdata[i];
      double v = value_of (now, name), change = v - value_of (before, name);
      g_autofree char *value = g_strdup_printf ("%g", v);
      g_autofree char *rate = g_strdup_printf ("%+g", change / PERIOD_S);

      if (fabs (change) > 0)
        ctl_table_add (&t, name, value, rate);
    }
  ctl_table_print (&t, o->json);
  ctl_table_clear (&t);
}

static gboolean
are_addresses (char **words)
{
  for (guint i = 0; words[i] != NULL; i++)
    if (!cc_address_parse (words[i], NULL, NULL))
      {
        fprintf (stderr, "capercrankctl: \"%s\" is not IP:PORT\n", words[i]);
        return FALSE;
      }
  return TRUE;
}

/* follow ADMIN...: prints once a second, --rounds times or until interrupted.
 * Fails when none of the ports answers. */
int
ctl_follow (const CtlOptions *o)
{
  g_autoptr (GHashTable) before = new_round ();

  if (!are_addresses (o->words))
    return CTL_USAGE;
  if (read_round (o, before) == 0)
    return CTL_FAILED;
  for (guint i = 0; o->rounds == 0 || i < o->rounds; i++)
    {
      g_autoptr (GHashTable) now = new_round ();

      sleep (PERIOD_S);
      if (read_round (o, now) == 0)
        return CTL_FAILED;
      print_classes (o, now, before);
      print_counters (o, now, before);
      printf ("\n");
      fflush (stdout);
      g_hash_table_unref (before);
      before = g_hash_table_ref (now);
    }
  return CTL_DONE;
}
