/* Load pattern: a gateway loses its links to all upstreams of a pool, while its
 * callers, the table service and the other gateways still reach it.  Each
 * upstream fails on its own: requests on open connections wait for their
 * timeout, and each upstream that has not failed yet is tried by another
 * request, which also fails.  With dozens of upstreams that takes seconds, in
 * which callers are not served.
 *
 * Connections to a few different upstreams that fail, while hardly any other
 * upstream of the pool responds, are taken as the failure of the gateway's own
 * links.  All upstreams of the pool count as unreachable then, except those
 * that have responded since.  Upstreams that have exited are no such sign,
 * since the others respond meanwhile. */
#include "pool_reach.h"

/* Different upstreams that have to fail; all, if there are fewer. */
#define FAILED_MIN 3
/* They outnumber those that respond by this factor. */
#define FAILED_FACTOR 2
/* Without a further failed connection the state is unknown after this time:
 * longer than the longest backoff of an upstream, at the end of which a request
 * for it makes the next attempt to connect. */
#define STATE_TIMEOUT (4 * CC_SECOND)
/* Attempts without a response in a pool that is silent. */
#define SILENT_MIN 3

/* Counts an attempt that is sent to an upstream of R's pool. */
void
cc_pool_reach_sent (CcPoolReach *r)
{
  r->unanswered++;
}

/* Makes M a mark of R's episode. */
static void
update_mark (const CcPoolReach *r, CcReachMark *m)
{
  if (m->episode != r->episode)
    *m = (CcReachMark){ r->episode, CC_REACH_UNKNOWN };
}

/* Records that the upstream with the mark M responded or accepted a connection
 * at NOW, us. */
void
cc_pool_reach_succeeded (CcPoolReach *r, CcReachMark *m, gint64 now)
{
  r->reached_at = now;
  r->unanswered = 0;
  if (r->failed == 0)
    return;
  update_mark (r, m);
  r->failed -= m->state == CC_REACH_NO;
  r->reached += m->state != CC_REACH_YES;
  m->state = CC_REACH_YES;
}

/* Records that a connection to the upstream with the mark M failed at NOW, us.
 */
void
cc_pool_reach_failed (CcPoolReach *r, CcReachMark *m, gint64 now)
{
  if (r->failed == 0 || now - r->failed_at >= STATE_TIMEOUT)
    {
      r->episode++;
      r->failed = 0;
      r->reached = 0;
    }
  r->failed_at = now;
  update_mark (r, m);
  r->reached -= m->state == CC_REACH_YES;
  r->failed += m->state != CC_REACH_NO;
  m->state = CC_REACH_NO;
}

/* Returns whether this gateway has lost its links to the UPSTREAMS of R's pool
 * at NOW, us. */
gboolean
cc_pool_reach_is_partitioned (const CcPoolReach *r, guint upstreams, gint64 now)
{
  return r->failed > 0 && r->failed >= MIN (FAILED_MIN, upstreams) &&
         r->failed > FAILED_FACTOR * r->reached &&
         now - r->failed_at < STATE_TIMEOUT;
}

/* Returns whether the upstream with the mark M has responded although others
 * fail. */
gboolean
cc_pool_reach_is_reached (const CcPoolReach *r, const CcReachMark *m)
{
  return m->episode == r->episode && m->state == CC_REACH_YES;
}

/* Returns whether no upstream of R's pool has responded to anything since SENT,
 * us, when an attempt was sent, although several attempts wait for it.  A
 * single upstream that does not respond may simply be at work. */
gboolean
cc_pool_reach_is_silent (const CcPoolReach *r, gint64 sent)
{
  return r->unanswered >= SILENT_MIN && r->reached_at < sent;
}
