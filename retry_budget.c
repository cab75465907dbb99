/* Load pattern: a pool fails or sheds much of its work, and every entry sends
 * it again.  Without a bound, the repeats of eleven entries double the load of
 * a pool that is already full, and it never recovers.
 *
 * The bound holds for the fleet, but an entry knows only its own requests, so
 * each takes its own part: the ratio of the requests that it received, which
 * sum exactly to the fleet's, and an equal share of the slack by the number of
 * entries that ever registered, which is never too low.
 *
 * The budget is a token bucket; a token is one repeat.  The bucket holds half
 * of an entry's slack and the other half is refilled over a window, so no
 * window exceeds the whole.  It starts empty, since a process that was killed
 * and restarted does not know what it spent in this window. */
#include "retry_budget.h"

/* Part of the ratio that is used.  A request near the end of one window may be
 * counted in the next while its repeat is counted in this one. */
#define RATIO_PART 0.8

/* Returns the size of an entry's bucket, in tokens. */
static double
capacity (const CcRetryBound *bound, guint entries)
{
  return bound->slack / (2.0 * MAX (entries, 1));
}

/* Adds to B the part of a repeat that a first attempt earns. */
void
cc_retry_budget_earn (CcRetryBudget *b, const CcRetryBound *bound)
{
  b->tokens += bound->ratio * RATIO_PART;
}

/* Removes from B what a first attempt has earned, since another entry earns it.
 * The bucket may become negative if it was spent. */
void
cc_retry_budget_return (CcRetryBudget *b, const CcRetryBound *bound)
{
  b->tokens -= bound->ratio * RATIO_PART;
}

/* Takes one token at NOW and returns TRUE, or returns FALSE if there is none.
 * ENTRIES share the slack. */
gboolean
cc_retry_budget_take (CcRetryBudget *b, const CcRetryBound *bound,
                      guint entries, gint64 now)
{
  double most = capacity (bound, entries);

  if (b->updated != 0)
    b->tokens += most * (double) (now - b->updated) / (double) bound->window;
  b->updated = now;
  /* Tokens earned by first attempts are capped, too: unspent ones of a calm
   * hour could otherwise all be spent within one second of failures. */
  b->tokens = MIN (b->tokens, MAX (most, 1.0));
  if (b->tokens < 1.0)
    return FALSE;
  b->tokens -= 1.0;
  return TRUE;
}
