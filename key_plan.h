/* Decides which ranges of keys change their owner. */
#ifndef CC_KEY_PLAN_H
#define CC_KEY_PLAN_H

#include "key_load.h"
#include "key_ranges.h"

/* An upstream that may own keys. */
typedef struct
{
  const char *id;
  guint64 born;
  double capacity; /* requests a second that it can serve */
  /* Kept by this module: */
  double load;    /* of its keys, requests a second */
  gboolean stuck; /* nothing can be taken off it */
} CcKeyOwner;

/* One pool at one moment. */
typedef struct
{
  CcKeyRanges *ranges;   /* changed in place */
  GArray *owners;        /* of CcKeyOwner, those that may get keys */
  const CcKeyLoad *load; /* of the pool's keys */
  guint limit;           /* changes to be made at most */
  gboolean rebalance;    /* load may be moved, too */
  gboolean skipped;      /* set: a range without owner was busy */
  GPtrArray *changed;    /* the ranges that were, each once */
} CcKeyPlan;

void cc_key_plan (CcKeyPlan *p);

#endif
