/* Load pattern: a few gateways reach a pool, and the requests of the callers of
 * all others are forwarded to them.  The processor of such a gateway becomes
 * the bottleneck before the upstreams do.  Without a limit its own callers and
 * the forwarded ones wait longer and longer, until the answers of all come too
 * late.
 *
 * A timer that expires late has waited behind the work that is queued in the
 * main loop, so its lateness is the delay that each request meets.  The rate of
 * accepted requests begins low, rises quickly while the loop is on time, and is
 * reduced when it is not; after that it rises slowly.  Requests beyond the rate
 * are refused at once, and their gateways try other peers for a while.  The
 * gateway's own callers are not limited. */
#include "forward_limit.h"

/* Rate of the first requests, per second; also the lowest one. */
#define RATE_FIRST 40.0
/* Lateness from which on the rate is reduced: each request meets it twice, with
 * its answer, and latency targets start at some 200 ms. */
#define LATE_MAX (25 * CC_MS)
/* Factors of the rate for an update: until it was reduced for the first time,
 * after that, and when the loop is late. */
#define RISE_FIRST 1.5
#define RISE 1.1
#define REDUCE 0.85
/* Requests that may be accepted at once, as a part of those of a second. */
#define BURST_PART 0.1
/* Part of these that is reserved for the highest priority. */
#define RESERVE_PART 0.3

/* Returns whether a request of PRIORITY that arrives at NOW, us, is accepted.
 * Those of the highest priority, 0, may use a part of the tokens that the
 * others leave. */
gboolean
cc_forward_limit_accept (CcForwardLimit *l, guint priority, gint64 now)
{
  double reserve = 0.0;

  if (l->refilled_at == 0)
    {
      l->rate = RATE_FIRST;
      l->tokens = BURST_PART * l->rate;
    }
  else
    l->tokens =
        MIN (l->tokens + l->rate * (double) (now - l->refilled_at) / CC_SECOND,
             MAX (BURST_PART * l->rate, 1.0));
  l->refilled_at = now;
  if (priority > 0)
    reserve = RESERVE_PART * BURST_PART * l->rate;
  if (l->tokens < 1.0 + reserve)
    {
      l->refused = TRUE;
      return FALSE;
    }
  l->tokens -= 1.0;
  l->accepted++;
  return TRUE;
}

/* Adapts the rate; called after each period with the time LATE, us, by which
 * its timer has expired late. */
void
cc_forward_limit_update (CcForwardLimit *l, gint64 late)
{
  double period = (double) (CC_FORWARD_LIMIT_PERIOD + MAX (late, 0));
  double accepted_rate = l->accepted * CC_SECOND / period;

  if (late > LATE_MAX)
    {
      l->rate = MAX (REDUCE * MIN (l->rate, accepted_rate), RATE_FIRST);
      l->reduced = TRUE;
    }
  else if (l->refused)
    l->rate *= l->reduced ? RISE : RISE_FIRST;
  l->accepted = 0;
  l->refused = FALSE;
}
