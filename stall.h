/* Notices that this process stood still, and holds requests back until it has
 * read what happened meanwhile. */
#ifndef CC_STALL_H
#define CC_STALL_H

#include "capercrank.h"

/* Period of cc_stall_tick, us. */
#define CC_STALL_PERIOD (200 * CC_MS)
/* A process that did nothing for this long stood still.  A shorter stall can't
 * delay the reading of a row beyond the time that operators allow, and small
 * machines are without a processor for up to a second under load. */
#define CC_STALL_MIN (2 * CC_SECOND)
/* Time after a stall for which requests are held back.  The answers to watches
 * that came during the stall are read within it, and the next ones, which take
 * some 10 ms. */
#define CC_STALL_HOLD (250 * CC_MS)

/* All zero: not started. */
typedef struct
{
  gint64 active_at;    /* last sign of activity, us; 0: none yet */
  gint64 hold_until;   /* us */
  gint64 stalled_from; /* begin of the last stall of any length, us */
  gint64 stalled_to;   /* its end, us; 0: there was none */
} CcStall;

void cc_stall_tick (CcStall *s, gint64 now);
gint64 cc_stall_hold_until (CcStall *s, gint64 now);
gint64 cc_stall_arrived_after (CcStall *s, gint64 now);

#endif
