/* How full a pool's upstreams are, from all that one entry hears of them. */
#ifndef CC_POOL_LOAD_H
#define CC_POOL_LOAD_H

#include "capercrank.h"

typedef struct
{
  double inside;  /* sum of requests inside by the last report of each upstream,
                     per slot, faded */
  double reports; /* how many reports that is of, faded */
  double most;    /* reported by any upstream, per slot */
  double faded;   /* how often the sums have faded by half so far */
  gint64 at;      /* last report, us; 0: none */
  gint64 half;    /* time in which the sums fade by half, us */
} CcPoolLoad;

/* The last report of one upstream; 0 at first. */
typedef struct
{
  gboolean said;
  double inside; /* per slot */
  double faded;  /* of the pool then */
} CcPoolReport;

void cc_pool_load_add (CcPoolLoad *p, CcPoolReport *last, double inside,
                       double work, gint64 now);
void cc_pool_load_add_reset (CcPoolLoad *p, CcPoolReport *last, double work,
                             gint64 now);
double cc_pool_load_typical (const CcPoolLoad *p, gint64 now);

#endif
