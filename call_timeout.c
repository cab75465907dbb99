/* Load: a service, or the path to it, is short of processor time, and every
 * answer takes longer than usual.  A fixed timeout shorter than that gives up
 * each call and asks again from nothing: no call ever succeeds, though the
 * service answers them all, and it has to answer more of them.
 *
 * The timeout follows the answers as TCP's retransmission timer does (RFC
 * 6298): smoothed time and four mean deviations, doubled when a call expires.
 * Only answers slower than expected count as deviations, or the timeout would
 * grow when a slow service recovers.  One lost call among quick answers costs
 * little more than the lower bound, and the first answer after it restores the
 * estimate. */
#include "call_timeout.h"

#define DEVIATIONS 4
#define SMOOTHED_PART 8 /* weight of an answer is 1 in so many */
#define DEVIATION_PART 4

/* Makes T wait between LEAST and MOST, us, from LEAST on. */
void
cc_call_timeout_init (CcCallTimeout *t, gint64 least, gint64 most)
{
  *t = (CcCallTimeout){ .least = least, .most = most, .current = least };
}

/* A call was answered after TOOK us. */
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
          (MAX (took - t->smoothed, 0) - t->deviation) / DEVIATION_PART;
      t->smoothed += (took - t->smoothed) / SMOOTHED_PART;
    }
  t->current =
      CLAMP (t->smoothed + DEVIATIONS * t->deviation, t->least, t->most);
}

/* A call was given up that had been ALLOWED so long, us.  Calls that were made
 * with a shorter timeout than the present one tell nothing new. */
void
cc_call_timeout_expired (CcCallTimeout *t, gint64 allowed)
{
  if (allowed >= t->current)
    t->current = MIN (2 * t->current, t->most);
}
