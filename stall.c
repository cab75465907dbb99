/* Load pattern: a gateway is paused while a zone is evacuated.  When it goes
 * on, requests and the row that evacuates the zone wait in its sockets, and it
 * may handle the requests first.  They would be sent to the zone by what was
 * known before the pause, long after the order.  So requests are held back for
 * a moment after a stall, whichever event is handled first. */
#include "stall.h"

/* Without a sign of activity for this long, the process was late. */
#define MISSED_TICKS (2 * CC_STALL_PERIOD)

/* Records that this process is active at NOW, us.  Called periodically. */
void
cc_stall_tick (CcStall *s, gint64 now)
{
  if (s->active_at != 0 && now - s->active_at >= MISSED_TICKS)
    {
      s->stalled_from = s->active_at;
      s->stalled_to = now;
    }
  if (s->active_at != 0 && now - s->active_at >= CC_STALL_MIN)
    s->hold_until = now + CC_STALL_HOLD;
  s->active_at = now;
}

/* Returns until when requests are held back at NOW, us; 0: they are not. */
gint64
cc_stall_hold_until (CcStall *s, gint64 now)
{
  cc_stall_tick (s, now);
  return now < s->hold_until ? s->hold_until : 0;
}

/* Returns the earliest time at which a signal that is handled at NOW, us, may
 * have been sent: the begin of a stall that has just ended, otherwise NOW. */
gint64
cc_stall_arrived_after (CcStall *s, gint64 now)
{
  cc_stall_tick (s, now);
  return s->stalled_to != 0 && now - s->stalled_to < CC_STALL_HOLD
             ? s->stalled_from
             : now;
}
