/* Histograms of one quantity, per class and per tenant. */
#ifndef CC_HISTOGRAMS_H
#define CC_HISTOGRAMS_H

#include "metrics.h"

typedef struct
{
  const char *metric;  /* metric name */
  GHashTable *classes; /* class name to CcHistogram */
  GHashTable *tenants; /* tenant name to CcHistogram */
} CcHistograms;

void cc_histograms_init (CcHistograms *h, const char *metric);
CcHistogram *cc_histograms_class (CcHistograms *h, const char *name);
CcHistogram *cc_histograms_tenant (CcHistograms *h, const char *name);
void cc_histograms_add (CcHistograms *h, const char *class_name,
                        const char *tenant, gint64 value);

#endif
