/* Load pattern: a service, or the path to it, is short of processor time and
 * every response takes longer than usual.  A shorter fixed timeout abandons
 * each call and starts it again: no call ever succeeds although the service
 * answers all of them, and the repeats add to its load.
 *
 * The timeout follows the response times as TCP's retransmission timer does
 * (RFC 6298): the smoothed time and four mean deviations, doubled when a call
 * expires.  Only responses slower than expected count as deviations, or the
 * timeout would grow when a slow service recovers.  One lost call among fast
 * responses costs little more than the lower bound, and the first response
 * after it restores the estimate. */
#include "call_timeout.h"

#define DEVIATIONS 4
#define SMOOTHED_GAIN 8 /* weight of a response is 1 / this */
#define DEVIATION_GAIN 4

/* Initialises T with the bounds LEAST and MOST, us; the first timeout is
 * LEAST. */
void
cc_call_timeout_init (CcCallTimeout *t, gint64 least, gint64 most)
{
  *t = (CcCallTimeout){ .least = least, .most = most, .current = least };
}

/* Records a response after TOOK us. */
void
cc_call_timeout_answered (CcCallTimeout *t, gint64 took)
{
  if (t->smoothed == 0)
    {
      t->smoothed = took;
      t->deviation = took / 2;
    }
  else
    {
      t->deviation +=
          (MAX (took - t->smoothed, 0) - t->deviation) / DEVIATION_GAIN;
      t->smoothed += (took - t->smoothed) / SMOOTHED_GAIN;
    }
  t->current =
      CLAMP (t->smoothed + DEVIATIONS * t->deviation, t->least, t->most);
}

/* Records that a call with the timeout ALLOWED, us, expired.  Calls that were
 * made with a shorter timeout than the present one do not change it. */
void
cc_call_timeout_expired (CcCallTimeout *t, gint64 allowed)
{
  if (allowed >= t->current)
    t->current = MIN (2 * t->current, t->most);
}
