/* One metrics registry per process, used by its main loop only.
 *
 * Callers look a counter up once and keep the pointer, so counting allocates
 * nothing.  Labels are passed preformatted, such as class="book once".  The
 * number of series is bounded, since tenants' names are untrusted input: beyond
 * SERIES_MAX, further labels of a metric share one series, labelled "other". */
#include "metrics.h"

#include <math.h>
#include <string.h>

#define SERIES_MAX 4096 /* bounds a flood of tenant names to 20 MB */
#define STEP_BITS 4     /* 16 linear steps in a power of two */

typedef enum
{
  SERIES_COUNTER,
  SERIES_GAUGE,
  SERIES_HISTOGRAM
} SeriesKind;

typedef struct
{
  SeriesKind kind;
  char *name;
  char *labels;
  union
  {
    CcCounter counter;
    double gauge;
    CcHistogram *histogram;
  } u;
} Series;

static GTree *registry; /* "name{labels}" to Series, in order for printing */
static CcMetricsCollect collector; /* NULL: none */
static gpointer collector_data;

static guint
bucket_of (guint64 value)
{
  guint top, index;

  if (value < 16)
    return (guint) value;
  top = 63 - (guint) __builtin_clzll (value);
  index = ((top - STEP_BITS + 1) << STEP_BITS) +
          (guint) ((value >> (top - STEP_BITS)) & 15);
  return MIN (index, CC_HISTOGRAM_BUCKETS - 1);
}

static gint64
bucket_top (guint index)
{
  guint shift;

  if (index < 16)
    return index;
  shift = (index >> STEP_BITS) - 1;
  return (gint64) (((guint64) (16 + (index & 15)) + 1) << shift) - 1;
}

/* Adds VALUE, in microseconds, to H; a negative one counts as 0. */
void
cc_histogram_add (CcHistogram *h, gint64 value)
{
  guint64 v = value < 0 ? 0 : (guint64) value;

  h->counts[bucket_of (v)]++;
  h->total++;
  h->sum += v;
}

/* Returns the quantile SHARE (0 to 1) of H as the upper bound of its bucket, in
 * microseconds; 0 if H is empty. */
gint64
cc_histogram_quantile (const CcHistogram *h, double share)
{
  guint64 rank = (guint64) ceil (share * (double) h->total);
  guint64 cumulative = 0;

  if (h->total == 0)
    return 0;
  for (guint i = 0; i < CC_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += h->counts[i];
      if (cumulative >= MAX (rank, 1))
        return bucket_top (i);
    }
  return bucket_top (CC_HISTOGRAM_BUCKETS - 1);
}

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  return strcmp (a, b);
}

static Series *
find_series (SeriesKind kind, const char *name, const char *labels)
{
  g_autofree char *id = g_strdup_printf ("%s{%s}", name, labels);
  Series *s;

  if (registry == NULL)
    registry = g_tree_new_full (compare_names, NULL, g_free, NULL);
  s = g_tree_lookup (registry, id);
  if (s != NULL)
    return s;
  if (g_tree_nnodes (registry) >= SERIES_MAX &&
      !g_str_equal (labels, "other=\"1\""))
    return find_series (kind, name, "other=\"1\"");
  s = g_new0 (Series, 1);
  s->kind = kind;
  s->name = g_strdup (name);
  s->labels = g_strdup (labels);
  if (kind == SERIES_HISTOGRAM)
    s->u.histogram = g_new0 (CcHistogram, 1);
  g_tree_insert (registry, g_steal_pointer (&id), s);
  return s;
}

/* Returns the label NAME with VALUE, which may hold any bytes but NUL, for use
 * as LABELS below; several are joined by commas.  The caller frees it. */
char *
cc_metrics_label (const char *name, const char *value)
{
  GString *label = g_string_new (name);

  g_string_append (label, "=\"");
  for (; *value != '\0'; value++)
    if (*value == '\n')
      g_string_append (label, "\\n");
    else
      {
        if (*value == '"' || *value == '\\')
          g_string_append_c (label, '\\');
        g_string_append_c (label, *value);
      }
  g_string_append_c (label, '"');
  return g_string_free (label, FALSE);
}

/* Returns the counter NAME with LABELS, created on first use, never freed. */
CcCounter *
cc_metrics_counter (const char *name, const char *labels)
{
  return &find_series (SERIES_COUNTER, name, labels)->u.counter;
}

/* Returns the histogram NAME with LABELS, created on first use, never freed. */
CcHistogram *
cc_metrics_histogram (const char *name, const char *labels)
{
  return find_series (SERIES_HISTOGRAM, name, labels)->u.histogram;
}

/* Sets the gauge NAME with LABELS to VALUE. */
void
cc_metrics_gauge (const char *name, const char *labels, double value)
{
  find_series (SERIES_GAUGE, name, labels)->u.gauge = value;
}

static void
print_histogram (GString *out, const Series *s)
{
  static const double shares[] = { 0.5, 0.9, 0.99, 0.999 };
  const CcHistogram *h = s->u.histogram;
  const char *comma = s->labels[0] != '\0' ? "," : "";

  for (guint i = 0; i < G_N_ELEMENTS (shares); i++)
    g_string_append_printf (
        out, "%s{%s%squantile=\"%g\"} %.6f\n", s->name, s->labels, comma,
        shares[i], (double) cc_histogram_quantile (h, shares[i]) / 1e6);
  g_string_append_printf (out, "%s_sum{%s} %.6f\n", s->name, s->labels,
                          (double) h->sum / 1e6);
  g_string_append_printf (out, "%s_count{%s} %" G_GUINT64_FORMAT "\n", s->name,
                          s->labels, h->total);
}

static gboolean
print_series (gpointer key, gpointer value, gpointer data)
{
  GString *out = data;
  const Series *s = value;

  (void) key;
  switch (s->kind)
    {
    case SERIES_COUNTER:
      g_string_append_printf (out, "%s{%s} %" G_GUINT64_FORMAT "\n", s->name,
                              s->labels, s->u.counter);
      break;
    case SERIES_GAUGE:
      g_string_append_printf (out, "%s{%s} %.15g\n", s->name, s->labels,
                              s->u.gauge);
      break;
    case SERIES_HISTOGRAM:
      print_histogram (out, s);
      break;
    }
  return FALSE;
}

/* Sets the function that is called with DATA each time before the series are
 * printed.  Gauges set by it cost nothing between scrapes. */
void
cc_metrics_set_collector (CcMetricsCollect collect, gpointer data)
{
  collector = collect;
  collector_data = data;
}

/* Returns all series as text, times in seconds.  Free it with g_free. */
char *
cc_metrics_text (void)
{
  GString *out = g_string_new (NULL);

  if (collector != NULL)
    collector (collector_data);
  if (registry != NULL)
    g_tree_foreach (registry, print_series, out);
  return g_string_free (out, FALSE);
}
