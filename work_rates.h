/* Mean work time of each upstream, from the reports of all entries. */
#ifndef CC_WORK_RATES_H
#define CC_WORK_RATES_H

#include "capercrank.h"

typedef struct
{
  GHashTable *upstreams; /* upstream id to its sum of work */
  GHashTable *pools;     /* pool name to the sum over its upstreams */
} CcWorkRates;

void cc_work_rates_init (CcWorkRates *r);
void cc_work_rates_clear (CcWorkRates *r);
void cc_work_rates_add (CcWorkRates *r, const char *pool, const char *upstream,
                        double work, guint answers, gint64 now);
double cc_work_rates_of (const CcWorkRates *r, const char *pool,
                         const char *upstream, gint64 now);

#endif
