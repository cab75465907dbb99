/* Load pattern: open connections go silent permanently while new ones work.
 *
 * Failure: the outcome of a read on such a connection is unknown only at its
 * deadline, seconds later, and until then the read holds one of the server's
 * four slots; four such reads stop the server.
 *
 * A key has one owner, so a second attempt goes to the same server.  It helps
 * only against a silent connection, not against a slow or stalled server, where
 * it would add work.  Responses to later attempts distinguish the two: a silent
 * connection is overtaken by them, whereas a slow server is slow for all.  An
 * attempt is therefore abandoned when it is far older than its kind of work
 * takes and at least LATER_ANSWERS_MIN later attempts have been answered.  The
 * connection is closed, and the next attempt, paid for by the retry budget,
 * opens a new one.  Running both attempts at once, as in "The tail at scale"
 * (2013), would need a fifth slot for the same gain. */
#include "hedge.h"

/* All four slots have completed a request meanwhile, so the server is alive.
 * A higher number delays the decision at servers with few requests: 12
 * responses take half a second at 25 per second. */
#define LATER_ANSWERS_MIN 4

/* Mean deviations above the mean: uniformly distributed work ends at two, an
 * exponential tail exceeds eight once in five hundred. */
#define DEVIATIONS 8

/* Below this age the kernel may still retransmit a lost packet (after 200 ms
 * at first, but 10 to 20 ms with a tail loss probe). */
#define AGE_MIN (20 * CC_MS)

/* Returns whether the attempt A is abandoned. */
gboolean
cc_hedge_decide (const CcHedgeAttempt *a)
{
  gint64 longest = a->cost.mean + DEVIATIONS * a->cost.deviation;

  if (a->once_only)
    return FALSE;
  return a->later_answers >= LATER_ANSWERS_MIN &&
         a->age > MAX (longest, AGE_MIN);
}
