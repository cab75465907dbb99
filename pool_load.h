/* Typical load of a pool's upstreams, from all reports that one entry
 * receives. */
#ifndef CC_POOL_LOAD_H
#define CC_POOL_LOAD_H

#include "capercrank.h"

typedef struct
{
  double inside;  /* decayed sum, over the last report of each upstream, of the
                     requests inside per slot */
  double reports; /* decayed number of reports in that sum */
  double max_inside; /* largest report of any upstream, per slot */
  double halvings;   /* half-lives for which the sums have decayed so far */
  gint64 at;         /* time of the last report, us; 0: none */
  gint64 half_life;  /* half-life of the sums, us */
} CcPoolLoad;

/* The last report of one upstream; initially zero. */
typedef struct
{
  gboolean valid;
  double inside;   /* requests inside per slot */
  double halvings; /* halvings of the pool at that time */
} CcPoolReport;

void cc_pool_load_add (CcPoolLoad *p, CcPoolReport *last, double inside,
                       double work, gint64 now);
void cc_pool_load_add_reset (CcPoolLoad *p, CcPoolReport *last, double work,
                             gint64 now);
double cc_pool_load_typical (const CcPoolLoad *p, gint64 now);

#endif
