/* Whether an attempt at idempotent work is given up for a fresh one. */
#ifndef CC_HEDGE_H
#define CC_HEDGE_H

#include "cost.h"

/* What is known of an attempt that has not been answered. */
typedef struct
{
  gboolean once_only;    /* not idempotent */
  gint64 age;            /* since it was sent, us */
  guint64 later_answers; /* answers of the server since then */
  CcCost cost;           /* expected of it */
} CcHedgeAttempt;

gboolean cc_hedge_decide (const CcHedgeAttempt *a);

#endif
