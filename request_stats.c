/* Counters and histograms of requests, by class of work.
 *
 * The series of a class or cause are created with its first request, so that a
 * configuration with a thousand unused routes costs no memory. */
#include "request_stats.h"

#include "metrics.h"

static const char *const end_names[CC_COUNT_ENDS] = { "answered", "not-run",
                                                      "unknown",
                                                      "caller-gone" };

/* The metric series of one class. */
typedef struct
{
  char *label;                       /* class="name" */
  GHashTable *causes[CC_COUNT_ENDS]; /* cause to CcCounter */
  CcCounter *attempts;
  CcHistogram *took;
  CcHistogram *waited;
  CcHistogram *served;
  CcHistogram *left;
  CcHistogram *leaving; /* NULL: no request was sent to a leaving upstream */
} Class;

struct CcRequestStats
{
  GHashTable *classes; /* name to Class */
};

static void
class_free (gpointer data)
{
  Class *c = data;

  for (guint i = 0; i < CC_COUNT_ENDS; i++)
    g_hash_table_unref (c->causes[i]);
  g_free (c->label);
  g_free (c);
}

/* Returns statistics without any request. */
CcRequestStats *
cc_request_stats_new (void)
{
  CcRequestStats *s = g_new0 (CcRequestStats, 1);

  s->classes =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, class_free);
  return s;
}

/* Frees S; its series remain in the metrics registry. */
void
cc_request_stats_free (CcRequestStats *s)
{
  g_hash_table_unref (s->classes);
  g_free (s);
}

/* Returns the series of the class NAME, which are created if needed. */
static Class *
find_class (CcRequestStats *s, const char *name)
{
  Class *c = g_hash_table_lookup (s->classes, name);

  if (c != NULL)
    return c;
  c = g_new0 (Class, 1);
  c->label = cc_metrics_label ("class", name);
  for (guint i = 0; i < CC_COUNT_ENDS; i++)
    c->causes[i] =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->attempts = cc_metrics_counter ("capercrank_attempts", c->label);
  c->took = cc_metrics_histogram ("capercrank_request_seconds", c->label);
  c->waited = cc_metrics_histogram ("capercrank_queue_wait_seconds", c->label);
  c->served = cc_metrics_histogram ("capercrank_server_seconds", c->label);
  c->left = cc_metrics_histogram ("capercrank_time_left_seconds", c->label);
  g_hash_table_insert (s->classes, g_strdup (name), c);
  return c;
}

/* Returns the counter of END and CAUSE, which is created if needed. */
static CcCounter *
find_cause (Class *c, CcCountedEnd end, const char *cause)
{
  CcCounter *n = g_hash_table_lookup (c->causes[end], cause);
  g_autofree char *labels = NULL;

  if (n != NULL)
    return n;
  labels = g_strdup_printf ("%s,end=\"%s\",cause=\"%s\"", c->label,
                            end_names[end], cause);
  n = cc_metrics_counter ("capercrank_requests", labels);
  g_hash_table_insert (c->causes[end], g_strdup (cause), n);
  return n;
}

/* Records R, a request of class CLASS_NAME.  The histogram of server times
 * includes only requests that reached an upstream. */
void
cc_request_stats_count (CcRequestStats *s, const char *class_name,
                        const CcRequestRecord *r)
{
  Class *c = find_class (s, class_name);

  ++*find_cause (c, r->end, r->cause);
  *c->attempts += r->attempts;
  cc_histogram_add (c->took, r->took);
  cc_histogram_add (c->waited, r->waited);
  if (r->attempts > 0)
    cc_histogram_add (c->served, r->served);
  if (r->left >= 0)
    cc_histogram_add (c->left, r->left);
  if (r->leaving < 0)
    return;
  if (c->leaving == NULL)
    c->leaving =
        cc_metrics_histogram ("capercrank_sent_to_leaving_seconds", c->label);
  cc_histogram_add (c->leaving, r->leaving);
}
