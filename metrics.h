/* Counters, gauges and histograms, printed in the Prometheus text format. */
#ifndef CC_METRICS_H
#define CC_METRICS_H

#include <glib.h>

/* Log-linear buckets: 16 in each power of two, each at most 6% wide, from 1 us
 * to 2^40 us (12 days). */
#define CC_HISTOGRAM_BUCKETS (16 * 38)

typedef struct
{
  guint64 counts[CC_HISTOGRAM_BUCKETS]; /* values in each bucket */
  guint64 total;                        /* number of values */
  guint64 sum;                          /* sum of the values, us */
} CcHistogram;

typedef guint64 CcCounter;

void cc_histogram_add (CcHistogram *h, gint64 value);
gint64 cc_histogram_quantile (const CcHistogram *h, double share);

char *cc_metrics_label (const char *name, const char *value);
CcCounter *cc_metrics_counter (const char *name, const char *labels);
CcHistogram *cc_metrics_histogram (const char *name, const char *labels);
void cc_metrics_gauge (const char *name, const char *labels, double value);
/* Called before the series are printed, to set the gauges. */
typedef void (*CcMetricsCollect) (gpointer data);

void cc_metrics_set_collector (CcMetricsCollect collect, gpointer data);
char *cc_metrics_text (void);

#endif
