/* capercrankctl follow: scrapes the admin ports given every second, and prints
 * the counters that changed and each class's results against its target.
 *
 * Counters are summed over the ports.  Quantiles can't be summed, so the
 * highest is shown; of versions the lowest, since it belongs to the process
 * that lags. */
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <libsoup/soup.h>

#include "ctl.h"
#include "document.h"
#include "settings.h"

#define SAMPLE_PERIOD_S 1

/* One sample of all ports: series "name{labels}" to double. */
static GHashTable *
new_sample (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static gboolean
is_quantile (const char *series)
{
  return strstr (series, "quantile=\"") != NULL;
}

static double
combine (const char *series, double a, double b)
{
  if (is_quantile (series))
    return MAX (a, b);
  return strstr (series, "_version{") != NULL ? MIN (a, b) : a + b;
}

static void
add_line (GHashTable *sample, const char *line)
{
  const char *space = strrchr (line, ' ');
  g_autofree char *series = NULL;
  double *total, value;

  if (space == NULL || line[0] == '#')
    return;
  series = g_strndup (line, (gsize) (space - line));
  value = g_ascii_strtod (space, NULL);
  total = g_hash_table_lookup (sample, series);
  if (total != NULL)
    {
      *total = combine (series, *total, value);
      return;
    }
  total = g_new0 (double, 1);
  *total = value;
  g_hash_table_insert (sample, g_steal_pointer (&series), total);
}

static guint
read_sample (const CtlOptions *o, GHashTable *sample)
{
  guint responses = 0;

  for (guint i = 0; o->args[i] != NULL; i++)
    {
      CtlResponse a = ctl_call (o, o->args[i], "GET", "/metrics", NULL, NULL);

      if (a.status == SOUP_STATUS_OK)
        {
          g_auto (GStrv) lines = g_strsplit (a.body, "\n", -1);

          for (guint k = 0; lines[k] != NULL; k++)
            add_line (sample, lines[k]);
          responses++;
        }
      ctl_response_clear (&a);
    }
  return responses;
}

static double
value_of (GHashTable *sample, const char *series)
{
  const double *v = g_hash_table_lookup (sample, series);

  return v != NULL ? *v : 0;
}

static double
rate_of (GHashTable *now, GHashTable *before, const char *series)
{
  return (value_of (now, series) - value_of (before, series)) / SAMPLE_PERIOD_S;
}

/* Requests of CLASS per second that ended with OUTCOME. */
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
format_rounded (double v)
{
  return g_strdup_printf ("%.0f", v);
}

/* "99% in 100 ms", or "-" if C is NULL: the class is not in the document. */
static char *
target_text (const CcClass *c)
{
  if (c == NULL)
    return g_strdup ("-");
  return g_strdup_printf ("%g%% in %d ms", 100 * c->share,
                          (int) (c->within / CC_MS));
}

static const char *
target_result (const CcClass *c, double in_target, double all)
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
  g_autofree char *run_text = format_rounded (run);
  g_autofree char *not_run_text = format_rounded (not_run);
  g_autofree char *unknown_text = format_rounded (unknown);
  g_autofree char *share =
      all > 0 ? g_strdup_printf ("%.1f%%", 100 * in_target / all)
              : g_strdup ("-");

  ctl_table_add (t, class, run_text, not_run_text, unknown_text, share, target,
                 target_result (c, in_target, all), p99);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

/* The series of SAMPLE whose names start with PREFIX, sorted.  SAMPLE owns the
 * names. */
static GPtrArray *
series_with (GHashTable *sample, const char *prefix)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, sample);
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
      g_autofree char *rate = g_strdup_printf ("%+g", change / SAMPLE_PERIOD_S);

      if (fabs (change) > 0 && !is_quantile (name))
        ctl_table_add (&t, name, value, rate);
    }
  ctl_table_print (&t, o->json);
  ctl_table_clear (&t);
}

static gboolean
are_addresses (char **args)
{
  for (guint i = 0; args[i] != NULL; i++)
    if (!cc_address_parse (args[i], NULL, NULL))
      {
        fprintf (stderr, "capercrankctl: \"%s\" is not IP:PORT\n", args[i]);
        return FALSE;
      }
  return TRUE;
}

/* The document in force.  NULL if it can't be read; targets are then shown as
 * "-". */
static CcDocument *
read_document (const CtlOptions *o)
{
  CcDocument *d = NULL;
  CcFindings f;
  CtlResponse a;

  if (o->control == NULL)
    return NULL;
  a = ctl_call (o, o->control, "GET", "/v1/config", NULL, NULL);
  cc_findings_init (&f);
  if (a.status == SOUP_STATUS_OK)
    d = cc_document_parse (a.body, -1, &f);
  cc_findings_clear (&f);
  ctl_response_clear (&a);
  return d;
}

/* Takes a sample one period after BEFORE, prints the differences and replaces
 * BEFORE by it.  Returns FALSE if no port responds. */
static gboolean
print_next_sample (const CtlOptions *o, GHashTable **before)
{
  GHashTable *now = new_sample ();
  CcDocument *d = read_document (o);
  gboolean responded;

  sleep (SAMPLE_PERIOD_S);
  responded = read_sample (o, now) > 0;
  if (responded)
    {
      print_classes (o, now, *before, d);
      print_counters (o, now, *before);
      printf ("\n");
      fflush (stdout);
    }
  cc_document_free (d);
  g_hash_table_unref (*before);
  *before = now;
  return responded;
}

/* follow ADMIN...: prints once a second, --rounds times or until interrupted.
 * Fails if none of the ports responds. */
int
ctl_follow (const CtlOptions *o)
{
  g_autoptr (GHashTable) before = new_sample ();

  if (!are_addresses (o->args))
    return CTL_USAGE;
  if (read_sample (o, before) == 0)
    return CTL_FAILED;
  for (guint i = 0; o->rounds == 0 || i < o->rounds; i++)
    if (!print_next_sample (o, &before))
      return CTL_FAILED;
  return CTL_OK;
}
