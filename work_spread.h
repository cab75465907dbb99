/* Distribution of work times relative to their predictions. */
#ifndef CC_WORK_SPREAD_H
#define CC_WORK_SPREAD_H

#include "capercrank.h"

/* Two buckets for each power of two, from 2^-5 to 2^7 times the prediction. */
#define CC_WORK_BUCKETS 24

typedef struct
{
  float counts[CC_WORK_BUCKETS]; /* aged number of ratios in each bucket */
  float rest[CC_WORK_BUCKETS];   /* expected remaining work, as a multiple of
                                    the prediction, once a bucket is reached */
  double mean;                   /* moving mean of the ratios */
  double square;                 /* moving mean of their squares */
  double common;     /* mean of the ratios, each limited to CC_WORK_COMMON */
  gboolean wide;     /* the ratios spread by more than measurements do */
  guint samples;     /* number of ratios in the means, up to the window */
  guint until_table; /* ratios until REST is computed again */
} CcWorkSpread;

/* A ratio counts up to this where one long request must not outweigh many
 * short ones. */
#define CC_WORK_COMMON 3.0

void cc_work_spread_add (CcWorkSpread *s, double ratio);
double cc_work_spread_rest (const CcWorkSpread *s, double age);
double cc_work_spread_common (const CcWorkSpread *s, double ratio);

#endif
