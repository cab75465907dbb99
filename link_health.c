/* The failure: something between two processes loses track of a connection.
 * Both ends see it open, what is written is swallowed, no error ever comes.
 * The symptom without this module: callers wait to their deadlines, and so do
 * all later ones, as long as the processes live.
 *
 * So links are pinged, and a ping is answered over the peer's own connection to
 * us: an answer proves both directions and that the peer's main loop turns.
 * The peer does the same, so each end closes the connection that it dialled.
 * A connection is used for requests only when a ping on it was answered, which
 * makes the fresh connection the test: as long as the peer is frozen, or the
 * path is gone, requests are refused at once instead of being lost in it.
 *
 * A process that was itself paused finds old pings unanswered although the
 * answers lie in its own buffers; so the time that it did not look does not
 * count.
 */
#include "link_health.h"

/* A gap between looks that is longer means that this process was paused. */
#define LOOK_GAP_MAX (2 * CC_PING_PERIOD)

/* A connection was made at NOW.  It has to prove itself. */
void
cc_link_connected (CcLinkHealth *h, gint64 now)
{
  h->connected = TRUE;
  h->proven = FALSE;
  h->waiting_since = 0;
  h->pinged = 0;
  h->used = now;
}

/* The connection is gone, by itself or closed. */
void
cc_link_lost (CcLinkHealth *h)
{
  h->connected = FALSE;
  h->proven = FALSE;
  h->waiting_since = 0;
}

/* A message other than a ping was sent at NOW. */
void
cc_link_used (CcLinkHealth *h, gint64 now)
{
  h->used = now;
}

/* The ping SEQUENCE was answered.  Answers to pings on earlier connections
 * prove nothing: their numbers are below the first one of this. */
void
cc_link_answered (CcLinkHealth *h, guint64 sequence, gint64 now)
{
  if (!h->connected || h->waiting_since == 0 || sequence > h->sequence ||
      sequence < h->first)
    return;
  h->proven = TRUE;
  h->waiting_since = sequence == h->sequence ? 0 : now;
}

static void
skip_own_pause (CcLinkHealth *h, gint64 now)
{
  gint64 gap = h->looked != 0 ? now - h->looked : 0;

  h->looked = now;
  if (gap > LOOK_GAP_MAX && h->waiting_since != 0)
    h->waiting_since += gap;
}

/* What to do at NOW; to be called every CC_PING_PERIOD or more often. */
CcLinkAction
cc_link_poll (CcLinkHealth *h, gint64 now)
{
  gboolean idle = now >= h->used + CC_LINK_IDLE_AFTER && h->waiting_since == 0;
  gint64 period = idle ? CC_PING_IDLE_PERIOD : CC_PING_PERIOD;

  skip_own_pause (h, now);
  if (!h->connected)
    return CC_LINK_WAIT;
  if (h->waiting_since != 0 && now >= h->waiting_since + CC_LINK_SILENT_AFTER)
    return CC_LINK_SILENT;
  if (h->pinged != 0 && now < h->pinged + period)
    return CC_LINK_WAIT;
  h->sequence++;
  if (h->pinged == 0)
    h->first = h->sequence;
  h->pinged = now;
  if (h->waiting_since == 0)
    h->waiting_since = now;
  return CC_LINK_PING;
}
