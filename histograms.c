/* The histogram of a name is created when the name is first used; after that,
 * counting is one hash lookup without allocation.  Tenants' names are untrusted
 * input, so their number is bounded: beyond TENANTS_MAX, further tenants share
 * one histogram. */
#include "histograms.h"

#define TENANTS_MAX 500 /* 5 kB each, 2.5 MB per quantity */
#define OTHER_TENANTS "other tenants"

/* Makes H empty.  METRIC must outlive H. */
void
cc_histograms_init (CcHistograms *h, const char *metric)
{
  h->metric = metric;
  h->classes = g_hash_table_new (g_str_hash, g_str_equal);
  h->tenants = g_hash_table_new (g_str_hash, g_str_equal);
}

static CcHistogram *
add_name (CcHistograms *h, GHashTable *table, const char *label,
          const char *name)
{
  g_autofree char *labels = cc_metrics_label (label, name);
  CcHistogram *histogram = cc_metrics_histogram (h->metric, labels);

  g_hash_table_insert (table, g_strdup (name), histogram);
  return histogram;
}

/* Returns the histogram of the class NAME, which is never freed. */
CcHistogram *
cc_histograms_class (CcHistograms *h, const char *name)
{
  CcHistogram *histogram = g_hash_table_lookup (h->classes, name);

  return histogram != NULL ? histogram
                           : add_name (h, h->classes, "class", name);
}

/* Returns the histogram of the tenant NAME, or the shared one if there are
 * TENANTS_MAX already.  It is never freed. */
CcHistogram *
cc_histograms_tenant (CcHistograms *h, const char *name)
{
  CcHistogram *histogram = g_hash_table_lookup (h->tenants, name);

  if (histogram != NULL)
    return histogram;
  if (g_hash_table_size (h->tenants) < TENANTS_MAX ||
      g_str_equal (name, OTHER_TENANTS))
    return add_name (h, h->tenants, "tenant", name);
  return cc_histograms_tenant (h, OTHER_TENANTS);
}

/* Adds VALUE, in microseconds, to the histograms of class and tenant. */
void
cc_histograms_add (CcHistograms *h, const char *class_name, const char *tenant,
                   gint64 value)
{
  cc_histogram_add (cc_histograms_class (h, class_name), value);
  cc_histogram_add (cc_histograms_tenant (h, tenant), value);
}
