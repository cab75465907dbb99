/* Load pattern: faulty upstreams send bytes without end.  The requests that
 * they answer so fail at their limits of size or time, and until then their
 * bytes are read and thrown away.  A sender is as fast as the reader, so the
 * main loop is at work on them all the time, and the callers of all other
 * upstreams are served at a small part of their rate.
 *
 * So reading beyond the first bytes of an answer takes a part of the time, with
 * a burst that covers the large answers of sound upstreams.  What is not read
 * stays in the buffers of the kernel, and its sender has to wait. */
#include "read_share.h"

#define SHARE 4 /* one part in SHARE of the time */
#define BURST (10 * CC_MS)

/* Returns how long to wait, from NOW, us, until the next piece of a long answer
 * may be read, us; 0: it may be read now. */
gint64
cc_read_share_wait (CcReadShare *s, gint64 now)
{
  gint64 earned = (now - s->updated_at) / SHARE;

  if (s->updated_at == 0)
    {
      s->credit = BURST;
      s->updated_at = now;
    }
  else
    {
      s->credit = MIN (s->credit + earned, BURST);
      s->updated_at += earned * SHARE;
    }
  return s->credit > 0 ? 0 : (1 - s->credit) * SHARE;
}

/* Records that a piece was read in SPENT, us.  A piece takes no longer than
 * BURST; beyond that the process has waited for a processor. */
void
cc_read_share_spend (CcReadShare *s, gint64 spent)
{
  s->credit -= MIN (spent, BURST);
}
