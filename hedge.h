/* Decides whether an unanswered attempt at idempotent work is abandoned and
 * sent again. */
#ifndef CC_HEDGE_H
#define CC_HEDGE_H

#include "cost.h"

/* State of an attempt that has not been answered. */
typedef struct
{
  gboolean once_only;    /* not idempotent */
  gint64 age;            /* time since it was sent, us */
  guint64 later_answers; /* responses of the server since then */
  CcCost cost;           /* expected service time */
} CcHedgeAttempt;

gboolean cc_hedge_decide (const CcHedgeAttempt *a);

#endif
