/* Plans which ranges of keys are given to which owner. */
#ifndef CC_KEY_PLAN_H
#define CC_KEY_PLAN_H

#include "key_load.h"
#include "key_ranges.h"

/* An upstream that may own keys. */
typedef struct
{
  const char *id;
  guint64 born;
  double capacity;  /* requests a second that it can serve */
  gboolean limited; /* it takes no more than that, however idle it is */
  /* Set by cc_key_plan: */
  double load;        /* load of its keys, requests a second */
  gboolean exhausted; /* no more load can be moved off it */
  gboolean waits;     /* it has no keys and gets none by this plan */
} CcKeyOwner;

/* A set of hot keys that a plan has found and spread. */
typedef struct
{
  const char *owner; /* of most of it; NULL: none */
  double load;       /* of that owner before the plan, requests a second */
  double share;      /* the load that it should have at most */
  guint pieces;      /* ranges moved off such owners */
  guint keys;        /* keys in them */
} CcHotSet;

/* Input and result of a plan for one pool. */
typedef struct
{
  CcKeyRanges *ranges;   /* updated in place */
  GArray *owners;        /* of CcKeyOwner, all that may be given keys */
  const CcKeyLoad *load; /* of the pool's keys */
  guint limit;           /* largest number of changed ranges */
  gboolean rebalance;    /* ranges are also moved to balance load */
  gboolean skipped;   /* set if a range without an owner was left because it was
                         locked */
  GPtrArray *changed; /* changed ranges, each once */
  CcHotSet hot_set;   /* initially zero */
} CcKeyPlan;

void cc_key_plan (CcKeyPlan *p);

#endif
