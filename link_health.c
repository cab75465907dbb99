/* Failure: a device between two processes loses the state of a connection.
 * Both ends see the connection open, what is written is discarded, and no error
 * is ever reported.  Without this module, callers wait until their deadlines,
 * and so do all later ones for as long as the processes run.
 *
 * Links are therefore pinged, and a ping is answered over the peer's own
 * connection to this process: a response proves both directions and that the
 * peer's main loop is running.  The peer does the same, so each end closes the
 * connection that it opened.  A connection is used for requests only after a
 * ping on it was answered.  As long as the peer is stalled or the path is down,
 * requests are refused at once instead of being lost.
 *
 * A process that was itself paused finds old pings unanswered although the
 * responses are in its own receive buffers, so time without polling does not
 * count. */
#include "link_health.h"

/* A longer gap between polls means that this process was paused. */
#define POLL_GAP_MAX (2 * CC_PING_PERIOD)

/* Records a new connection at NOW.  Whether it carries messages in both
 * directions is unknown until a ping is answered. */
void
cc_link_connected (CcLinkHealth *h, gint64 now)
{
  h->connected = TRUE;
  h->pings_answered = FALSE;
  h->waiting_since = 0;
  h->pinged = 0;
  h->used = now;
}

/* Records that the connection was lost or closed. */
void
cc_link_lost (CcLinkHealth *h)
{
  h->connected = FALSE;
  h->pings_answered = FALSE;
  h->waiting_since = 0;
}

/* Records that a message other than a ping was sent at NOW. */
void
cc_link_used (CcLinkHealth *h, gint64 now)
{
  h->used = now;
}

/* Records the response to ping SEQUENCE.  Responses to pings on earlier
 * connections are ignored: their numbers are below the first one of this
 * connection. */
void
cc_link_answered (CcLinkHealth *h, guint64 sequence, gint64 now)
{
  if (!h->connected || h->waiting_since == 0 || sequence > h->sequence ||
      sequence < h->first)
    return;
  h->pings_answered = TRUE;
  h->waiting_since = sequence == h->sequence ? 0 : now;
}

/* Excludes the time in which this process was paused from the wait for a
 * response. */
static void
skip_own_pause (CcLinkHealth *h, gint64 now)
{
  gint64 gap = h->polled != 0 ? now - h->polled : 0;

  h->polled = now;
  if (gap > POLL_GAP_MAX && h->waiting_since != 0)
    h->waiting_since += gap;
}

/* Returns what to do at NOW; to be called every CC_PING_PERIOD or more often.
 */
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
