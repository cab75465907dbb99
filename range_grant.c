/* A range is granted to its owner again and again, and moves when its previous
 * owner has stopped for sure: it answered a release, or its last grant must
 * have ended.  Each way in which a call can end says something else about who
 * may hold the keys until when; granter.c tells why that is enough. */
#include "range_grant.h"

#include "clock.h"
#include "event_log.h"

/* A connection within a region stands after 3 ms, an answer is there after 10;
 * a renewal that is given up after these can be tried twice more in a hold. */
#define CALL_CONNECT (300 * CC_MS)
#define CALL_WITHIN (800 * CC_MS)
/* A release is answered when the work on the keys has ended: the longest of
 * today takes 1.7 s. */
#define RELEASE_WITHIN (3500 * CC_MS)
/* Kept connections older than the last renewal may be cut off without anybody
 * knowing.  When TCP itself gives such a one up, a grant that was written to it
 * may still arrive later; a call that is given up here, on a connection that
 * was alive a moment ago, is reset in time. */
#define CALL_IDLE (1500 * CC_MS)
#define CALL_RETRY (150 * CC_MS) /* pause after a call without answer */

/* A grant of RANGE, one of RANGES, of POOL. */
CcRangeGrant *
cc_range_grant_new (CcGrantShared *shared, const char *pool,
                    CcKeyRanges *ranges, CcKeyRange *range)
{
  CcRangeGrant *x = g_new0 (CcRangeGrant, 1);

  x->shared = shared;
  x->ranges = ranges;
  x->pool = g_strdup (pool);
  x->range = range;
  return x;
}

/* Frees a CcRangeGrant, or lets its call in progress do so. */
void
cc_range_grant_free (gpointer grant)
{
  CcRangeGrant *x = grant;

  if (x->calling)
    {
      x->dead = TRUE;
      return;
    }
  g_free (x->pool);
  g_free (x->handoff);
  g_free (x);
}

/* Whether another upstream is listed at the address of X's owner, which is
 * listed no more. */
static gboolean
seems_replaced (const CcRangeGrant *x)
{
  const CcTarget *t = cc_targets_find (x->shared->targets, x->range->owner);

  return t != NULL && cc_targets_is_replaced (x->shared->targets, t);
}

/* Whether the granter of before may still renew X's grant and its owner has not
 * shut it out.  To move the range would only mean to wait for the end of that,
 * and the owner may be back before.
 *
 * Failure: an owner is lost in the seconds in which the granter changes.
 * Symptom: callers get no owner for its keys for thirteen seconds.  But if
 * another upstream is listed at its address, it has likely ended, and the
 * answer to the release proves it. */
gboolean
cc_range_grant_is_unsettled (const CcRangeGrant *x, gint64 now)
{
  return x->raised && now < x->owner_until && !seems_replaced (x);
}

/* X's range went to another owner at NOW.
 *
 * Failure: the owner that a move had for a moment was sent a grant that is
 * carried out late; then the previous owner proves to have ended, and that is
 * taken for both.  Symptom: the next one is granted the keys at once, and the
 * late grant has a fence below its own.  Nobody keeps the name of the one in
 * between, so the end of its grants is waited for whatever becomes of the
 * previous one. */
void
cc_range_grant_owner_changed (CcRangeGrant *x, gint64 now)
{
  if (x->moving)
    x->between_until = MAX (x->between_until, x->owner_until);
  else
    {
      /* An owner that was started again is its own previous one, so what may be
       * held from before stays. */
      x->previous_until = MAX (x->previous_until, x->owner_until);
      x->previous_doubt = MAX (x->previous_doubt, x->owner_doubt);
      x->released = FALSE;
    }
  g_clear_pointer (&x->handoff, g_free);
  x->owner_until = 0;
  x->owner_doubt = 0;
  x->held = FALSE;
  x->not_before = 0;
  x->moved_at = now;
}

/* X's range was cut from SOURCE's at NOW: what may be held of the one may be
 * held of the other.  Nothing is granted before its own row is written.
 *
 * Failure: the rest of a range is renewed for its owner while the rows give all
 * of it to another, and the granter is lost.  Symptom: whoever takes over goes
 * by the rows, and two upstreams hold the rest. */
void
cc_range_grant_inherit (CcRangeGrant *x, const CcRangeGrant *source, gint64 now)
{
  x->previous_until = MAX (source->owner_until, source->previous_until);
  x->previous_doubt = MAX (source->owner_doubt, source->previous_doubt);
  x->between_until = source->moving
                         ? MAX (source->between_until, source->owner_until)
                         : source->between_until;
  x->owner_until = source->owner_until;
  x->owner_doubt = source->owner_doubt;
  x->moving = source->moving;
  x->moved_at = now;
}

/* X's range was read from its row by a new granter.  It gets a fence above
 * *FENCE; BEFORE is what the granter before may still do.
 *
 * That one renews without the table only what its rows say as well.  So of a
 * range in the middle of a move, the previous owner got its last grant of it
 * before the move was written, and the new one before the granter's term was
 * over.  Granters before that one may know nothing of the move. */
void
cc_range_grant_load (CcRangeGrant *x, guint64 *fence,
                     const CcPredecessor *before)
{
  x->moving = x->range->previous != NULL;
  if (x->moving)
    {
      x->previous_until = cc_grant_ends (
          MAX (before->seen, before->others_until) + CALL_WITHIN);
      x->previous_doubt = x->previous_until;
      /* The row may have named another new owner before. */
      x->between_until = x->previous_until;
      x->owner_until = cc_grant_ends (before->changes_until + CALL_WITHIN);
      x->owner_doubt = x->owner_until;
      x->written = TRUE;
      return;
    }
  x->owner_until = cc_grant_ends (before->renews_until + CALL_WITHIN);
  x->owner_doubt = x->owner_until;
  x->dirty = TRUE;
  x->raised = TRUE;
  x->range->fence = ++*fence;
}

static char *
with_host (const char *head, const char *address)
{
  return g_strdup_printf ("%sHost: %s\r\n", head, address);
}

static gboolean
call_upstream (CcRangeGrant *x, CcHttpRequest *o, CcHttpDone done)
{
  o->connect_timeout = CALL_CONNECT;
  o->idle_max = CALL_IDLE;
  x->call_began = cc_clock_now ();
  x->calling = cc_http_send (x->shared->http, o, done, x) != NULL;
  if (!x->calling)
    x->not_before = x->call_began + CALL_RETRY;
  return x->calling;
}

/* Returns FALSE if X is gone. */
static gboolean
call_returned (CcRangeGrant *x)
{
  x->calling = FALSE;
  if (!x->dead)
    return TRUE;
  cc_range_grant_free (x);
  return FALSE;
}

static void
finish_move (CcRangeGrant *x)
{
  CcKeyRange *r = x->range;

  cc_event (CC_EVENT_STATE, "keys-moved", "pool", x->pool, "from",
            cc_event_int (r->from), "to", cc_event_int (r->to), "owner",
            r->owner, "previous", r->previous, "fence",
            cc_event_int ((gint64) r->fence), "handoff",
            x->handoff != NULL ? "yes" : "no", NULL);
  g_clear_pointer (&r->previous, g_free);
  g_clear_pointer (&x->handoff, g_free);
  x->moving = FALSE;
  x->dirty = TRUE;
  x->written = FALSE;
}

static void
granted (CcRangeGrant *x, const CcHttpResult *r, gint64 now)
{
  if (!x->held)
    cc_event (CC_EVENT_STATE, "keys-granted", "pool", x->pool, "from",
              cc_event_int (x->range->from), "to", cc_event_int (x->range->to),
              "owner", x->range->owner, "fence",
              cc_event_int ((gint64) x->range->fence), NULL);
  if (x->raised)
    {
      x->owner_until = cc_grant_ends (now);
      x->owner_doubt = x->unanswered;
    }
  x->raised = FALSE;
  x->held = TRUE;
  x->answered = now;
  x->life_seen = MAX (x->call_began, r->connected_at);
  x->withheld = FALSE;
  x->not_before = x->call_began + CC_GRANT_RENEW;
  if (x->range->previous != NULL)
    finish_move (x);
}

/* The upstream has seen a higher fence: of this process's own making if it
 * holds the lease, or of who took it over. */
static void
fence_refused (CcRangeGrant *x, gint64 now)
{
  cc_event (CC_EVENT_STATE, "grant-refused", "pool", x->pool, "from",
            cc_event_int (x->range->from), "owner", x->range->owner, "fence",
            cc_event_int ((gint64) x->range->fence), NULL);
  x->held = FALSE;
  x->not_before = now + CALL_RETRY;
  if (!cc_granter_lease_may_change (&x->shared->lease, now))
    return;
  x->range->fence = cc_key_ranges_top_fence (x->ranges) + 1;
  x->dirty = TRUE;
  x->written = FALSE;
}

/* The owner's address is another's: it has ended, and what anybody granted it
 * has ended with it. */
static void
owner_ended (CcRangeGrant *x, gint64 now)
{
  cc_event (CC_EVENT_STATE, "owner-ended", "pool", x->pool, "owner",
            x->range->owner, "from", cc_event_int (x->range->from), NULL);
  x->held = FALSE;
  x->raised = FALSE;
  x->owner_until = 0;
  x->owner_doubt = 0;
  x->not_before = now + CC_GRANT_RENEW;
  x->shared->replan = TRUE;
}

static void
on_granted (const CcHttpResult *r, gpointer data)
{
  CcRangeGrant *x = data;
  gint64 now = cc_clock_now ();

  if (!call_returned (x))
    return;
  if (r->end == CC_HTTP_UNSENT)
    {
      x->owner_until = x->until_before;
      x->not_before = now + CALL_RETRY;
      return;
    }
  if (cc_edge_is_other_server (r))
    {
      owner_ended (x, now);
      return;
    }
  x->owner_until = MAX (x->owner_until, cc_grant_ends (now));
  if (r->end == CC_HTTP_ANSWERED && r->status == 200)
    {
      granted (x, r, now);
      return;
    }
  if (r->end == CC_HTTP_ANSWERED && r->status == 409)
    {
      fence_refused (x, now);
      return;
    }
  x->not_before = now + CALL_RETRY;
  x->unanswered = cc_grant_ends (now);
  x->owner_doubt = MAX (x->owner_doubt, x->unanswered);
  cc_event (CC_EVENT_STATE, "grant-unanswered", "pool", x->pool, "owner",
            x->range->owner, "from", cc_event_int (x->range->from), "why",
            r->why, "status", cc_event_int (r->status), NULL);
}

static void
note_withheld (CcRangeGrant *x)
{
  if (!x->withheld)
    cc_event (CC_EVENT_STATE, "renewal-withheld", "pool", x->pool, "owner",
              x->range->owner, "from", cc_event_int (x->range->from), NULL);
  x->withheld = TRUE;
}

/* Sends X's grant to its owner, on a connection that was open at CONNECTED_BY,
 * us; 0: on any. */
static void
send_grant (CcRangeGrant *x, gint64 connected_by)
{
  const CcTarget *t = cc_targets_find (x->shared->targets, x->range->owner);
  CcKeyGrant what = { x->range->owner, x->range->from, x->range->to,
                      x->range->fence, CC_GRANT_HOLD,  x->handoff };
  CcHttpRequest o = { .answer_timeout = CALL_WITHIN,
                      .connected_by = connected_by };
  g_autoptr (GBytes) body = NULL;
  g_autofree char *head = NULL;
  g_autofree char *whole = NULL;

  if (t == NULL || t->listing.born != x->range->born)
    return;
  /* Each grant to one that has left and does not answer would put off the time
   * at which its keys may go to another. */
  if (t->state == CC_TARGET_GONE && !x->held && x->unanswered != 0)
    return;
  head = cc_edge_grant_head (&what, &body);
  whole = with_host (head, t->listing.address);
  /* From the moment of sending, the owner may have it. */
  x->until_before = x->owner_until;
  x->owner_until =
      MAX (x->owner_until, cc_grant_ends (cc_clock_now () + CALL_WITHIN));
  o.address = t->listing.address;
  o.head = whole;
  o.body = body;
  x->withheld &= connected_by > 0;
  if (call_upstream (x, &o, on_granted))
    return;
  x->owner_until = x->until_before;
  if (connected_by > 0)
    note_withheld (x);
}

static void
released (CcRangeGrant *x, const char *handoff)
{
  x->released = TRUE;
  x->not_before = 0;
  g_free (x->handoff);
  x->handoff = g_strdup (handoff);
}

static void
on_released (const CcHttpResult *r, gpointer data)
{
  CcRangeGrant *x = data;

  if (!call_returned (x))
    return;
  x->not_before = cc_clock_now () + CALL_RETRY;
  if (cc_edge_is_other_server (r))
    {
      /* Its address is another's: it has ended, and what anybody granted it has
       * ended with it.  Only the one that answers there proves that: a row of
       * the list may be an old one that was written late. */
      x->previous_until = x->previous_doubt = 0;
      released (x, NULL);
      return;
    }
  if (r->end != CC_HTTP_ANSWERED || r->status != 200)
    {
      cc_event (CC_EVENT_STATE, "release-unanswered", "pool", x->pool,
                "previous", x->range->previous, "from",
                cc_event_int (x->range->from), "why", r->why, "status",
                cc_event_int (r->status), NULL);
      return;
    }
  released (x, cc_edge_handoff (r));
}

static void
send_release (CcRangeGrant *x, const CcTarget *t)
{
  CcKeyGrant what = { .server = x->range->previous,
                      .from = x->range->from,
                      .to = x->range->to,
                      .fence = x->range->previous_fence };
  g_autoptr (GBytes) body = NULL;
  g_autofree char *head = cc_edge_release_head (&what, &body);
  g_autofree char *whole = with_host (head, t->listing.address);
  CcHttpRequest o = { .address = t->listing.address,
                      .head = whole,
                      .body = body,
                      .answer_timeout = RELEASE_WITHIN };

  call_upstream (x, &o, on_released);
}

/* Whether all owners of X's range before the present one have stopped for
 * sure. */
static gboolean
previous_stopped (const CcRangeGrant *x, gint64 now)
{
  /* That it has started again since is no proof: a grant may have reached the
   * new life before its entry told of that.  It answers a release at once. */
  return now >= x->between_until &&
         (now >= MAX (x->previous_until, x->previous_doubt) ||
          (x->released && now >= x->previous_doubt));
}

/* A move waits for the previous owner, then for the new one. */
static void
step_move (CcRangeGrant *x, gint64 now)
{
  const CcTarget *t;

  if (previous_stopped (x, now))
    {
      send_grant (x, 0);
      return;
    }
  t = cc_targets_find (x->shared->targets, x->range->previous);
  if (!x->released && t != NULL)
    send_release (x, t);
}

/* Does what is due for X.
 *
 * Failure: a slowed process plans for long, or sends many grants, and goes by
 * the time at which it began.  Symptom: a grant leaves after the lease has
 * ended, when whoever took over counts on none. */
void
cc_range_grant_step (CcRangeGrant *x)
{
  gint64 now = cc_clock_now ();

  if (x->calling || now < x->not_before)
    return;
  /* A process that stood still may find its lease long over here, before it
   * polls the lease itself. */
  if (!cc_granter_lease_may_renew (&x->shared->lease, now))
    return;
  /* Who takes over goes by the rows: a move that is finished here and not yet
   * there is none.
   *
   * Failure: the owner took the higher fence of who has taken over, was started
   * again under its id and has forgotten it.  Symptom: it takes a renewal while
   * its keys are another's.  A connection that was open when it took the last
   * grant leads to the life that remembers. */
  if (!cc_granter_lease_may_change (&x->shared->lease, now))
    {
      if (x->held && x->written && x->range->previous == NULL)
        send_grant (x, x->life_seen);
      return;
    }
  if (!x->written && (!x->held || x->range->previous != NULL))
    return;
  if (x->range->previous != NULL)
    step_move (x, now);
  else
    send_grant (x, 0);
}
