/* capercrankctl follow: the counters that changed in the last second, and each
 * class against its target, over the admin ports that are named.
 *
 * Counters are added up.  Quantiles can't be: the worst port's is shown.  Of
 * versions the lowest is, since that port is the one to look at. */
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <libsoup/soup.h>

#include "ctl.h"
#include "document.h"
#include "settings.h"

#define PERIOD_S 1

/* One round: series "name{labels}" to double. */
static GHashTable *
new_round (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static gboolean
is_quantile (const char *series)
{
  return strstr (series, "quantile=\"") != NULL;
}

static double
joined (const char *series, double one, double other)
{
  if (is_quantile (series))
    return MAX (one, other);
  return strstr (series, "_version{") != NULL ? MIN (one, other) : one + other;
}

static void
add_line (GHashTable *round, const char *line)
{
  const char *space = strrchr (line, ' ');
  g_autofree char *series = NULL;
  double *known, value;

  if (space == NULL || line[0] == '#')
    return;
  series = g_strndup (line, (gsize) (space - line));
  value = g_ascii_strtod (space, NULL);
  known = g_hash_table_lookup (round, series);
  if (known != NULL)
    {
      *known = joined (series, *known, value);
      return;
    }
  known = g_new0 (double, 1);
  *known = value;
  g_hash_table_insert (round, g_steal_pointer (&series), known);
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
rate_of (GHashTable *now, GHashTable *before, const char *series)
{
  return (value_of (now, series) - value_of (before, series)) / PERIOD_S;
}

/* Requests of CLASS a second that had OUTCOME. */
static double
outcome_rate (GHashTable *now, GHashTable *before, const char *class,
              CcOutcome outcome)
{
  g_autofree char *series =
      g_strdup_printf ("capercrank_requests{class=\"%s\",outcome=\"%s\"}",
                       class, cc_outcome_name (outcome));

  return rate_of (now, before, series);
}

static char *
rounded (double v)
{
  return g_strdup_printf ("%.0f", v);
}

/* "99% in 100 ms", or "-" if there is no such class. */
static char *
target_text (const CcClass *c)
{
  if (c == NULL)
    return g_strdup ("-");
  return g_strdup_printf ("%g%% in %d ms", 100 * c->share,
                          (int) (c->within / CC_MS));
}

static const char *
verdict (const CcClass *c, double in_target, double all)
{
  if (c == NULL || all <= 0)
    return "-";
  return in_target >= c->share * all ? "met" : "MISSED";
}

static void
add_class (CtlTable *t, GHashTable *now, GHashTable *before, const char *class,
           const CcDocument *d)
{
  const CcClass *c = d != NULL ? cc_document_class (d, class) : NULL;
  g_autofree char *target = target_text (c);
  g_autofree char *p99_series = g_strdup_printf (
      "capercrank_request_seconds{class=\"%s\",quantile=\"0.99\"}", class);
  g_autofree char *p99 =
      g_strdup_printf ("%.1f", 1000 * value_of (now, p99_series));
  g_autofree char *in_series =
      g_strdup_printf ("capercrank_requests_in_target{class=\"%s\"}", class);
  double run = outcome_rate (now, before, class, CC_OUTCOME_RUN);
  double not_run = outcome_rate (now, before, class, CC_OUTCOME_NOT_RUN);
  double unknown = outcome_rate (now, before, class, CC_OUTCOME_UNKNOWN);
  double in_target = rate_of (now, before, in_series);
  double all = run + not_run + unknown;
  g_autofree char *run_text = rounded (run);
  g_autofree char *not_run_text = rounded (not_run);
  g_autofree char *unknown_text = rounded (unknown);
  g_autofree char *share =
      all > 0 ? g_strdup_printf ("%.1f%%", 100 * in_target / all)
              : g_strdup ("-");

  ctl_table_add (t, class, run_text, not_run_text, unknown_text, share, target,
                 verdict (c, in_target, all), p99);
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
print_classes (const CtlOptions *o, GHashTable *now, GHashTable *before,
               const CcDocument *d)
{
  static const char *const columns[] = {
    "class",  "run/s",       "not-run/s",      "unknown/s", "in target",
    "target", "this second", "p99 ms (worst)", NULL
  };
  static const char *const prefix = "capercrank_requests_in_target{class=\"";
  g_autoptr (GPtrArray) names = series_with (now, prefix);
  CtlTable t;

  ctl_table_init (&t, columns);
  for (guint i = 0; i < names->len; i++)
    {
      const char *start = (const char *) names->pdata[i] + strlen (prefix);
      g_autofree char *class = g_strndup (start, strcspn (start, "\""));

      add_class (&t, now, before, class, d);
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

      if (fabs (change) > 0 && !is_quantile (name))
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

/* The document in force, or NULL: the targets are then left out. */
static CcDocument *
read_document (const CtlOptions *o)
{
  CcDocument *d = NULL;
  CcFindings f;
  CtlAnswer a;

  if (o->control == NULL)
    return NULL;
  a = ctl_call (o, o->control, "GET", "/v1/config", NULL, NULL);
  cc_findings_init (&f);
  if (a.status == SOUP_STATUS_OK)
    d = cc_document_parse (a.body, -1, &f);
  cc_findings_clear (&f);
  ctl_answer_clear (&a);
  return d;
}

/* Prints what happened until a round that follows BEFORE, which is replaced.
 * Returns FALSE when no port answers. */
static gboolean
follow_round (const CtlOptions *o, GHashTable **before)
{
  GHashTable *now = new_round ();
  CcDocument *d = read_document (o);
  gboolean good;

  sleep (PERIOD_S);
  good = read_round (o, now) > 0;
  if (good)
    {
      print_classes (o, now, *before, d);
      print_counters (o, now, *before);
      printf ("\n");
      fflush (stdout);
    }
  cc_document_free (d);
  g_hash_table_unref (*before);
  *before = now;
  return good;
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
    if (!follow_round (o, &before))
      return CTL_FAILED;
  return CTL_DONE;
}
