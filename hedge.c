/* Load pattern: open connections that go silent for good while new ones work.
 *
 * What happens without it: a read on such a connection is unknown at its
 * deadline, seconds later, and holds one of the server's four slots until
 * then; four of them stop the server.
 *
 * A key has one owner, so a second attempt meets the same server and helps
 * against nothing but the connection: not against a slow or frozen server,
 * where it would only add work.  The two are told apart by the others' answers:
 * a silent connection is overtaken, a slow server is slow for all.  So an
 * attempt is given up when it is far older than its kind takes and
 * OVERTAKEN_MIN later answers have come meanwhile.  The connection is closed
 * and the next attempt, paid out of the budget of retries, opens a new one.
 * Both at once, as in "The tail at scale" (2013), would need a fifth slot for
 * the same.
 */
#include "hedge.h"

/* All four slots have turned over once meanwhile, so the server is alive.  More
 * costs time at servers with few requests: 12 take half a second at 25 a
 * second. */
#define OVERTAKEN_MIN 4

/* Mean distances above the mean: work that is spread evenly ends at two, an
 * exponential tail passes eight once in five hundred. */
#define DEVIATIONS 8

/* Below this the kernel's own repeat of a lost packet (200 ms at first, but
 * 10 to 20 ms with a tail loss probe) is still to come. */
#define AGE_MIN (20 * CC_MS)

/* Decides on A. */
gboolean
cc_hedge_decide (const CcHedgeAttempt *a)
{
  gint64 usual = a->cost.mean + DEVIATIONS * a->cost.deviation;

  if (a->once_only)
    return FALSE;
  return a->later_answers >= OVERTAKEN_MIN && a->age > MAX (usual, AGE_MIN);
}
