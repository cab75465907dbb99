/* How full a pool's upstreams are, from all that one entry hears of them. */
#ifndef CC_POOL_LOAD_H
#define CC_POOL_LOAD_H

#include "capercrank.h"

typedef struct
{
  double inside;  /* sum of reported requests inside, per slot, faded */
  double reports; /* how many reports that is of, faded */
  double most;    /* reported by any upstream, per slot */
  gint64 at;      /* last report, us; 0: none */
  gint64 half;    /* time in which the sums fade by half, us */
} CcPoolLoad;

void cc_pool_load_add (CcPoolLoad *p, double inside, double work, gint64 now);
void cc_pool_load_full (CcPoolLoad *p, double work, gint64 now);
double cc_pool_load_typical (const CcPoolLoad *p, gint64 now);

#endif
