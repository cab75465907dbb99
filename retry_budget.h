/* Retry budget of a pool: how many attempts beyond the first the whole fleet
 * may make there. */
#ifndef CC_RETRY_BUDGET_H
#define CC_RETRY_BUDGET_H

#include "capercrank.h"

/* The configured bound: in any window the fleet makes at most ratio x requests
 * + slack repeated attempts. */
typedef struct
{
  double ratio;
  double slack;
  gint64 window; /* us */
} CcRetryBound;

/* This entry's part of the budget of one pool. */
typedef struct
{
  double tokens;  /* repeated attempts that may be made now */
  gint64 updated; /* last refill, us; 0: never */
} CcRetryBudget;

void cc_retry_budget_earn (CcRetryBudget *b, const CcRetryBound *bound);
void cc_retry_budget_return (CcRetryBudget *b, const CcRetryBound *bound);
gboolean cc_retry_budget_take (CcRetryBudget *b, const CcRetryBound *bound,
                               guint entries, gint64 now);

#endif
