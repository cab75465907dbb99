/* Load pattern: a pool fails or sheds much of its work, and every entry sends
 * again.  Without a bound the repeats of eleven entries double the load of a
 * pool that is full already, and it never recovers.
 *
 * The bound holds for the fleet, and an entry knows only its own requests, so
 * each takes the part that is its own: the ratio of the requests it saw itself,
 * which add up to the fleet's exactly, and a share of the slack by the number
 * of entries that ever registered, which is never too small.
 *
 * A token is an attempt.  The bucket holds half of an entry's slack and the
 * other half flows in over a window, so no window sees more than the whole.  It
 * starts empty: an entry that was killed and started again has forgotten what
 * it spent in this window. */
#include "retry_budget.h"

/* Part of the ratio that is used.  A request near the end of one window may be
 * counted in the next while its repeat is counted in this one. */
#define RATIO_PART 0.8

static double
capacity (const CcRetryBound *bound, guint entries)
{
  return bound->slack / (2.0 * MAX (entries, 1));
}

/* A first attempt was made: it earns a part of a repeat. */
void
cc_retry_budget_earn (CcRetryBudget *b, const CcRetryBound *bound)
{
  b->tokens += bound->ratio * RATIO_PART;
}

/* Takes one repeat at NOW if there is one; ENTRIES share the slack. */
gboolean
cc_retry_budget_take (CcRetryBudget *b, const CcRetryBound *bound,
                      guint entries, gint64 now)
{
  double most = capacity (bound, entries);

  if (b->updated != 0)
    b->tokens += most * (double) (now - b->updated) / (double) bound->window;
  b->updated = now;
  /* What first attempts earn lapses, too: unspent repeats of a calm hour would
   * otherwise all be made in one bad second. */
  b->tokens = MIN (b->tokens, MAX (most, 1.0));
  if (b->tokens < 1.0)
    return FALSE;
  b->tokens -= 1.0;
  return TRUE;
}
