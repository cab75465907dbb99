/* A name's histogram is made when the name is first seen; after that counting
 * is one look-up without allocation.  Tenants' names come from outside, so
 * their number is bounded: those past TENANTS_MAX share one histogram. */
#include "histograms.h"

#define TENANTS_MAX 500 /* of 5 kB each: 2.5 MB a quantity */
#define OTHER "other tenants"

/* Makes H empty; METRIC must last as long as H. */
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
  g_autofree char *labels = g_strdup_printf ("%s=\"%s\"", label, name);
  CcHistogram *one = cc_metrics_histogram (h->metric, labels);

  g_hash_table_insert (table, g_strdup (name), one);
  return one;
}

/* The histogram of the class NAME, valid for ever. */
CcHistogram *
cc_histograms_class (CcHistograms *h, const char *name)
{
  CcHistogram *one = g_hash_table_lookup (h->classes, name);

  return one != NULL ? one : add_name (h, h->classes, "class", name);
}

/* The histogram of the tenant NAME, valid for ever. */
CcHistogram *
cc_histograms_tenant (CcHistograms *h, const char *name)
{
  CcHistogram *one = g_hash_table_lookup (h->tenants, name);

  if (one != NULL)
    return one;
  if (g_hash_table_size (h->tenants) < TENANTS_MAX || g_str_equal (name, OTHER))
    return add_name (h, h->tenants, "tenant", name);
  return cc_histograms_tenant (h, OTHER);
}

/* Adds VALUE, in microseconds, to both of its histograms. */
void
cc_histograms_add (CcHistograms *h, const char *class_name, const char *tenant,
                   gint64 value)
{
  cc_histogram_add (cc_histograms_class (h, class_name), value);
  cc_histogram_add (cc_histograms_tenant (h, tenant), value);
}
