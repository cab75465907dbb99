/* Failure: a lost connection is taken for a crash of its upstream.  Answers are
 * lost, links are cut, connections are reset by upstreams that are full, and
 * upstreams that leave close theirs; requests that were inside by chance would
 * be blamed, and refused after a few of these.
 *
 * An upstream has ended if, after the loss, it refuses connections for a while
 * and responds on none, or its row shows another start of it or another
 * upstream at its address.  A connection that hangs shows nothing, since the
 * link may be cut; one that is accepted little, since a relay may stand before
 * the upstream. */
#include "upstream_end.h"

/* Time for which connections must be refused.  An upstream that is full refuses
 * some, but answers others within this time. */
#define REFUSED_FOR (250 * CC_MS)
#define PROBE_PERIOD (130 * CC_MS)
/* Answers that were on the way when the connection was lost are read later. */
#define ON_THE_WAY (50 * CC_MS)
/* Losses within this time are of one end. */
#define SAME_END (500 * CC_MS)
/* Nothing is concluded from a loss after this time, within which most upstreams
 * that have crashed are listed anew. */
#define OPEN_FOR (5 * CC_SECOND)

/* A connection to the upstream of E was lost at NOW, us, the first one. */
void
cc_upstream_end_lost (CcUpstreamEnd *e, gint64 now)
{
  *e = (CcUpstreamEnd){ .lost_at = now };
}

/* Returns whether a connection lost at NOW, us, is lost by the same end. */
gboolean
cc_upstream_end_is_same (const CcUpstreamEnd *e, gint64 now)
{
  return now - e->lost_at < SAME_END;
}

/* The upstream refused a connection at NOW, us. */
void
cc_upstream_end_refused (CcUpstreamEnd *e, gint64 now)
{
  if (e->refused_at == 0)
    e->refused_at = now;
  e->refused_last = now;
}

/* The upstream accepted a connection at NOW, us. */
void
cc_upstream_end_accepted (CcUpstreamEnd *e, gint64 now)
{
  if (now - e->lost_at > ON_THE_WAY)
    e->accepted = TRUE;
}

/* The upstream answered a request at NOW, us. */
void
cc_upstream_end_answered (CcUpstreamEnd *e, gint64 now)
{
  if (now - e->lost_at > ON_THE_WAY)
    e->answered = TRUE;
}

/* Returns whether the upstream has refused connections for the last SPAN, us,
 * and responded on none. */
static gboolean
refuses_for (const CcUpstreamEnd *e, gint64 span)
{
  return e->refused_at != 0 && !e->accepted && !e->answered &&
         e->refused_last - e->refused_at >= span;
}

/* Returns whether the upstream seems to have ended, so far. */
gboolean
cc_upstream_end_is_likely (const CcUpstreamEnd *e)
{
  return refuses_for (e, 0);
}

/* Returns whether a connection to the upstream is to be tried at NOW, us; the
 * last one was tried at PROBED_AT, us; 0: none. */
gboolean
cc_upstream_end_needs_probe (const CcUpstreamEnd *e, gint64 probed_at,
                             gint64 now)
{
  if (e->accepted || e->answered || now - probed_at < PROBE_PERIOD)
    return FALSE;
  return e->refused_at == 0 ? probed_at == 0
                            : now - e->refused_at < 2 * REFUSED_FOR;
}

/* Decides at NOW, us. */
CcEndVerdict
cc_upstream_end_decide (const CcUpstreamEnd *e, CcUpstreamListing listing,
                        gint64 now)
{
  switch (listing)
    {
    case CC_UPSTREAM_LEFT:
      return CC_END_NONE;
    case CC_UPSTREAM_RESTARTED:
      return CC_END_CRASHED;
    case CC_UPSTREAM_REPLACED:
      if (!e->answered)
        return CC_END_CRASHED;
      break;
    case CC_UPSTREAM_MISSING:
      if (refuses_for (e, 0))
        return CC_END_CRASHED;
      break;
    case CC_UPSTREAM_LISTED:
      break;
    }
  if (refuses_for (e, REFUSED_FOR))
    return CC_END_CRASHED;
  return now - e->lost_at >= OPEN_FOR ? CC_END_NONE : CC_END_OPEN;
}
