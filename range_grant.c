/* Grants one range of keys to its owner, renews the grant, and moves the range
 * to another owner.  A new owner is granted the keys only after every earlier
 * one has provably stopped: it answered a release, its last grant has expired,
 * or another process answers at its address.  Calls can be lost or carried out
 * late, so each outcome of a call limits in its own way until when an owner may
 * hold the keys; the fields ..._until of CcRangeGrant keep these limits.
 * granter.c describes the rules. */
#include "range_grant.h"

#include "clock.h"
#include "event_log.h"

#define CONNECT_TIMEOUT (300 * CC_MS)
/* A release is answered after the requests on the keys have finished, which
 * takes up to 1.7 s. */
#define RELEASE_TIMEOUT (3500 * CC_MS)
/* Idle connections are reused only for this long.  An older one may have been
 * cut off unnoticed, and a grant that was written to it may still arrive after
 * the call has timed out, when TCP retransmits it.  On a connection that worked
 * a moment ago a timed-out call is reset in time. */
#define CONNECTION_IDLE_MAX (1500 * CC_MS)
#define CALL_RETRY (150 * CC_MS) /* pause after a call without a response */

/* Returns what is known of the upstream ID. */
CcOwnerContact *
cc_grant_contact (const CcGrantShared *shared, const char *id)
{
  CcOwnerContact *c = g_hash_table_lookup (shared->contacts, id);

  if (c != NULL)
    return c;
  c = g_new0 (CcOwnerContact, 1);
  g_hash_table_insert (shared->contacts, g_strdup (id), c);
  return c;
}

/* Returns what is known of X's owner. */
static CcOwnerContact *
contact_of (const CcRangeGrant *x)
{
  return cc_grant_contact (x->shared, x->range->owner);
}

/* Whether the upstream ID does not answer X's granter. */
static gboolean
is_silent (const CcRangeGrant *x, const char *id)
{
  return cc_grant_contact (x->shared, id)->state == CC_CONTACT_SILENT;
}

/* Creates the grant of RANGE, which is one of RANGES, of POOL. */
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

/* Frees a CcRangeGrant, at the end of its pending call if there is one. */
void
cc_range_grant_free (gpointer grant)
{
  CcRangeGrant *x = grant;

  if (x->call_pending)
    {
      x->freed = TRUE;
      return;
    }
  g_free (x->pool);
  g_free (x->handoff);
  g_free (x);
}

/* Whether X's owner is not listed and another upstream is listed at its
 * address. */
static gboolean
is_replaced (const CcRangeGrant *x)
{
  const CcTarget *t = cc_targets_find (x->shared->targets, x->range->owner);

  return t != NULL && cc_targets_is_replaced (x->shared->targets, t);
}

/* Whether the previous granter may still renew X's grant, since the owner has
 * not yet confirmed the higher fence.  The range is not moved then: the new
 * owner would have to wait for the expiry of such a renewal, and the present
 * owner may respond before.  Otherwise an owner that is lost while the granter
 * changes leaves its keys without an owner for 13 s.
 *
 * If another upstream is listed at the owner's address, the owner has probably
 * terminated.  The range is moved then, since the response to the release
 * proves it. */
gboolean
cc_range_grant_is_unconfirmed (const CcRangeGrant *x, gint64 now)
{
  return x->fence_raised && now < x->owner_until && !is_replaced (x);
}

/* Whether X's owner holds the range from this process, and no other does. */
gboolean
cc_range_grant_is_settled (const CcRangeGrant *x)
{
  return x->held && x->range->previous == NULL;
}

/* Updates X after its range was given to another owner at NOW, us.
 *
 * If a move is replaced before it has finished, the intermediate owner may have
 * been sent a grant that is carried out late, with a fence below that of the
 * next owner.  The termination of the previous owner proves nothing about the
 * intermediate one, and no row names it, so its grants have to expire in any
 * case.  Otherwise two upstreams could hold the same keys. */
void
cc_range_grant_owner_changed (CcRangeGrant *x, gint64 now)
{
  if (x->moving)
    x->replaced_until = MAX (x->replaced_until, x->owner_until);
  else
    {
      /* A restarted owner is its own previous owner, so limits from before are
       * kept. */
      x->previous_until = MAX (x->previous_until, x->owner_until);
      x->previous_uncertain_until =
          MAX (x->previous_uncertain_until, x->owner_uncertain_until);
      x->released = FALSE;
    }
  g_clear_pointer (&x->handoff, g_free);
  x->owner_until = 0;
  x->owner_uncertain_until = 0;
  x->held = FALSE;
  x->unverified_at = 0;
  x->not_before = 0;
  x->moved_at = now;
}

/* X's range was split from SOURCE's at NOW, us: any upstream that may hold the
 * keys of SOURCE may hold those of X.  Nothing is granted before X's own row is
 * written.
 *
 * Otherwise the remaining part of a range could be renewed for its owner while
 * the rows give the whole range to another.  If the granter is lost then, its
 * successor follows the rows, and two upstreams hold that part. */
void
cc_range_grant_inherit (CcRangeGrant *x, const CcRangeGrant *source, gint64 now)
{
  x->previous_until = MAX (source->owner_until, source->previous_until);
  x->previous_uncertain_until =
      MAX (source->owner_uncertain_until, source->previous_uncertain_until);
  x->replaced_until = source->moving
                          ? MAX (source->replaced_until, source->owner_until)
                          : source->replaced_until;
  x->owner_until = source->owner_until;
  x->owner_uncertain_until = source->owner_uncertain_until;
  x->unnamed_until = source->unnamed_until;
  x->unverified_at = source->unverified_at;
  x->moving = source->moving;
  x->moved_at = now;
}

/* Initialises X for a range that a new granter has read from its row.  The
 * fence of a range that is not moving, or whose row may be an old one, is
 * raised above *FENCE.  PREDECESSOR limits what the previous granter may still
 * do.
 *
 * A previous granter that cannot reach the table also renews only what the rows
 * contain.  So for a range that is moving, its last grant to the previous owner
 * was sent before the move was written, and its last grant to the new owner
 * before its term was over.  Earlier granters may not know of the move. */
void
cc_range_grant_load (CcRangeGrant *x, guint64 *fence,
                     const CcPredecessor *predecessor)
{
  x->unnamed_until = predecessor->unnamed_until;
  x->lost = predecessor->unnamed_until != 0;
  x->moving = x->range->previous != NULL;
  if (x->moving)
    {
      x->previous_until = cc_grant_expiry (
          MAX (predecessor->renewed_at, predecessor->predecessors_until) +
          CC_GRANT_CALL_TIMEOUT);
      x->previous_uncertain_until = x->previous_until;
      /* An earlier version of the row may have named another new owner. */
      x->replaced_until = x->previous_until;
      x->owner_until =
          cc_grant_expiry (predecessor->changes_until + CC_GRANT_CALL_TIMEOUT);
      x->owner_uncertain_until = x->owner_until;
      x->dirty = x->lost;
      x->written = !x->lost;
      /* A move after this one may be among the lost writes. */
      if (x->lost)
        x->range->fence = ++*fence;
      return;
    }
  x->owner_until =
      MAX (cc_grant_expiry (predecessor->renews_until + CC_GRANT_CALL_TIMEOUT),
           predecessor->unnamed_until);
  x->owner_uncertain_until = x->owner_until;
  /* Whether the owner holds the range is not known yet. */
  cc_owner_contact_started (contact_of (x), x->range->born);
  cc_owner_contact_may_hold (contact_of (x), cc_grant_expiry (cc_clock_now ()));
  x->dirty = TRUE;
  x->fence_raised = TRUE;
  x->range->fence = ++*fence;
}

static char *
add_host_header (const char *headers, const char *address)
{
  return g_strdup_printf ("%sHost: %s\r\n", headers, address);
}

/* Sends REQUEST for X; DONE is called with the result.  Returns FALSE if it
 * cannot be sent. */
static gboolean
call_upstream (CcRangeGrant *x, CcHttpRequest *request, CcHttpDone done)
{
  request->connect_timeout = CONNECT_TIMEOUT;
  request->idle_max = CONNECTION_IDLE_MAX;
  request->id_header = cc_edge_echo_header ();
  x->call_started_at = cc_clock_now ();
  x->call_pending = cc_http_send (x->shared->http, request, done, x) != NULL;
  if (!x->call_pending)
    x->not_before = x->call_started_at + CALL_RETRY;
  return x->call_pending;
}

/* Ends the pending call of X.  Returns FALSE if X was freed by its pool. */
static gboolean
finish_call (CcRangeGrant *x)
{
  x->call_pending = FALSE;
  if (!x->freed)
    return TRUE;
  cc_range_grant_free (x);
  return FALSE;
}

/* Ends the move of X's range after the new owner has accepted it.  The row
 * without a previous owner has still to be written. */
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

/* Handles an accepted grant, received at NOW, us. */
static void
on_grant_accepted (CcRangeGrant *x, const CcHttpResult *r, gint64 now)
{
  if (!x->held)
    cc_event (CC_EVENT_STATE, "keys-granted", "pool", x->pool, "from",
              cc_event_int (x->range->from), "to", cc_event_int (x->range->to),
              "owner", x->range->owner, "fence",
              cc_event_int ((gint64) x->range->fence), NULL);
  if (x->fence_raised)
    {
      x->owner_until = cc_grant_expiry (now);
      x->owner_uncertain_until = x->unanswered_until;
    }
  x->fence_raised = FALSE;
  x->held = TRUE;
  if (x->call_started_at >= x->unverified_at)
    x->unverified_at = 0;
  x->answered_at = now;
  cc_owner_contact_answered (contact_of (x), x->owner_until, now);
  x->same_process_at = MAX (x->call_started_at, r->connected_at);
  x->withheld = FALSE;
  x->not_before = x->call_started_at + CC_GRANT_RENEW_PERIOD;
  if (x->range->previous != NULL)
    finish_move (x);
}

/* Gives X's range a fence above all others.  Its row is written before it is
 * granted again. */
static void
raise_fence (CcRangeGrant *x)
{
  x->held = FALSE;
  x->unverified_at = 0;
  x->range->fence = cc_key_ranges_top_fence (x->ranges) + 1;
  x->dirty = TRUE;
  x->written = FALSE;
}

/* The upstream has accepted a higher fence, from this process if it holds the
 * lease, otherwise from its successor. */
static void
on_fence_rejected (CcRangeGrant *x, gint64 now)
{
  cc_event (CC_EVENT_STATE, "grant-refused", "pool", x->pool, "from",
            cc_event_int (x->range->from), "owner", x->range->owner, "fence",
            cc_event_int ((gint64) x->range->fence), NULL);
  cc_owner_contact_answered (contact_of (x), 0, now);
  x->held = FALSE;
  x->not_before = now + CALL_RETRY;
  if (now < x->shared->suspect_until)
    {
      x->shared->superseded = TRUE;
      return;
    }
  if (cc_granter_lease_may_change (&x->shared->lease, now))
    raise_fence (x);
}

/* Another process answers at the owner's address: the owner has terminated, and
 * with it all grants that it had, by any granter. */
static void
on_owner_terminated (CcRangeGrant *x, gint64 now)
{
  cc_event (CC_EVENT_STATE, "owner-ended", "pool", x->pool, "owner",
            x->range->owner, "from", cc_event_int (x->range->from), NULL);
  x->held = FALSE;
  x->fence_raised = FALSE;
  x->owner_until = 0;
  x->owner_uncertain_until = 0;
  x->not_before = now + CC_GRANT_RENEW_PERIOD;
  x->shared->replan = TRUE;
}

/* The owner has not accepted X's grant, as found at NOW, us; SENT: it may have
 * arrived. */
static void
note_failure (CcRangeGrant *x, gboolean sent, gint64 now)
{
  CcContactGrant grant = { x->range->from, x->range->to, x->range->fence };

  cc_owner_contact_failed (contact_of (x), sent ? &grant : NULL, now);
}

/* Handles the result of a grant.  A call that was never sent leaves the limits
 * of the owner as they were. */
static void
on_granted (const CcHttpResult *r, gpointer data)
{
  CcRangeGrant *x = data;
  gint64 now = cc_clock_now ();

  if (!finish_call (x))
    return;
  if (r->end == CC_HTTP_UNSENT)
    {
      x->owner_until = x->owner_until_before;
      x->not_before = now + CALL_RETRY;
      note_failure (x, FALSE, now);
      return;
    }
  if (cc_edge_is_other_server (r))
    {
      note_failure (x, TRUE, now);
      on_owner_terminated (x, now);
      return;
    }
  x->owner_until = MAX (x->owner_until, cc_grant_expiry (now));
  if (r->end == CC_HTTP_ANSWERED && r->status == 200)
    {
      on_grant_accepted (x, r, now);
      return;
    }
  if (r->end == CC_HTTP_ANSWERED && r->status == 409)
    {
      on_fence_rejected (x, now);
      return;
    }
  note_failure (x, TRUE, now);
  x->not_before = now + CALL_RETRY;
  x->unanswered_until = cc_grant_expiry (now);
  x->owner_uncertain_until =
      MAX (x->owner_uncertain_until, x->unanswered_until);
  cc_event (CC_EVENT_STATE, "grant-unanswered", "pool", x->pool, "owner",
            x->range->owner, "from", cc_event_int (x->range->from), "why",
            r->why, "status", cc_event_int (r->status), NULL);
}

/* Logs that a renewal is withheld, once for each time it begins. */
static void
log_withheld (CcRangeGrant *x)
{
  if (!x->withheld)
    cc_event (CC_EVENT_STATE, "renewal-withheld", "pool", x->pool, "owner",
              x->range->owner, "from", cc_event_int (x->range->from), NULL);
  x->withheld = TRUE;
}

/* Sends X's grant to its owner, on a connection that was open at CONNECTED_BY,
 * us, or on any connection if that is 0. */
static void
send_grant (CcRangeGrant *x, gint64 connected_by)
{
  const CcTarget *t = cc_targets_find (x->shared->targets, x->range->owner);
  CcKeyGrant key_grant = { x->range->owner, x->range->from, x->range->to,
                           x->range->fence, CC_GRANT_HOLD,  x->handoff };
  CcHttpRequest request = { .answer_timeout = CC_GRANT_CALL_TIMEOUT,
                            .connected_by = connected_by,
                            .repeats = cc_range_grant_is_settled (x) &&
                                       !x->fence_raised };
  g_autoptr (GBytes) body = NULL;
  g_autofree char *headers = NULL;
  g_autofree char *message = NULL;

  if (t == NULL || t->listing.born != x->range->born)
    return;
  /* Another grant to an upstream that was removed and does not respond would
   * extend the time until its keys may be moved. */
  if (t->state == CC_TARGET_GONE && !x->held && x->unanswered_until != 0)
    return;
  /* The same holds for one that is silent: probes show when it answers. */
  if (is_silent (x, x->range->owner))
    return;
  headers = cc_edge_grant_head (&key_grant, &body);
  message = add_host_header (headers, t->listing.address);
  /* From now on the owner may hold the grant. */
  x->owner_until_before = x->owner_until;
  x->owner_until =
      MAX (x->owner_until,
           cc_grant_expiry (cc_clock_now () + CC_GRANT_CALL_TIMEOUT));
  request.address = t->listing.address;
  request.head = message;
  request.body = body;
  x->withheld &= connected_by > 0;
  if (call_upstream (x, &request, on_granted))
    return;
  x->owner_until = x->owner_until_before;
  if (connected_by > 0)
    log_withheld (x);
  else
    note_failure (x, FALSE, x->call_started_at);
}

/* Records the previous owner's release with its HANDOFF data, or NULL. */
static void
on_release_accepted (CcRangeGrant *x, const char *handoff)
{
  x->released = TRUE;
  x->not_before = 0;
  g_free (x->handoff);
  x->handoff = g_strdup (handoff);
}

/* Handles the result of a release. */
static void
on_released (const CcHttpResult *r, gpointer data)
{
  CcRangeGrant *x = data;

  if (!finish_call (x))
    return;
  x->not_before = cc_clock_now () + CALL_RETRY;
  if (cc_edge_is_other_server (r))
    {
      /* Another process answers at its address: the previous owner has
       * terminated, and with it all grants that it had.  Only such a response
       * proves that; a row of the list may be an old one that was written
       * late. */
      x->previous_until = x->previous_uncertain_until = 0;
      on_release_accepted (x, NULL);
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
  on_release_accepted (x, cc_edge_handoff (r));
}

/* Sends T, the previous owner of X's range, a release. */
static void
send_release (CcRangeGrant *x, const CcTarget *t)
{
  CcKeyGrant key_grant = { .server = x->range->previous,
                           .from = x->range->from,
                           .to = x->range->to,
                           .fence = x->range->previous_fence };
  g_autoptr (GBytes) body = NULL;
  g_autofree char *headers = cc_edge_release_head (&key_grant, &body);
  g_autofree char *message = add_host_header (headers, t->listing.address);
  CcHttpRequest request = { .address = t->listing.address,
                            .head = message,
                            .body = body,
                            .answer_timeout = RELEASE_TIMEOUT };

  call_upstream (x, &request, on_released);
}

/* Whether every earlier owner of X's range has provably stopped at NOW, us. */
static gboolean
earlier_owners_stopped (const CcRangeGrant *x, gint64 now)
{
  /* A restart of the previous owner proves nothing: the new process may have
   * received a grant before its entry reported the restart.  It answers a
   * release at once. */
  return now >= x->replaced_until &&
         (now >= MAX (x->previous_until, x->previous_uncertain_until) ||
          (x->released && now >= x->previous_uncertain_until));
}

/* Advances a move: releases the previous owner, then grants the range to the
 * new one. */
static void
step_move (CcRangeGrant *x, gint64 now)
{
  const CcTarget *t;

  if (earlier_owners_stopped (x, now))
    {
      send_grant (x, 0);
      return;
    }
  /* The wait for the answer of a silent one would outlast the expiry of its
   * grants. */
  t = cc_targets_find (x->shared->targets, x->range->previous);
  if (!x->released && t != NULL && !is_silent (x, x->range->previous))
    send_release (x, t);
}

/* Advances X, whose range another process may have granted since.  An owner
 * that has accepted a higher fence refuses this one, but a process that was
 * started at its place does not know that fence. */
static void
step_unverified (CcRangeGrant *x, gint64 now)
{
  if (now < x->shared->suspect_until)
    send_grant (x, x->same_process_at);
  else
    raise_fence (x);
}

/* Advances X: sends the grant, its renewal or the release that is due.
 *
 * It reads the clock itself.  A slow process may spend long on planning or on
 * many grants, and with the time at which its step began it would send a grant
 * after its lease has expired, when its successor expects none. */
void
cc_range_grant_step (CcRangeGrant *x)
{
  gint64 now = cc_clock_now ();

  if (x->call_pending || now < x->not_before || now < x->unnamed_until)
    return;
  if (now < x->shared->suspect_until && !cc_range_grant_is_settled (x))
    return;
  /* A process that was paused may find here that its lease has expired long
   * ago, before it reads the lease's row. */
  if (!cc_granter_lease_may_renew (&x->shared->lease, now))
    return;
  /* Only grants that agree with the rows are renewed, since a successor relies
   * on the rows: a move that has finished but is not written counts as
   * unfinished.
   *
   * The renewal needs a connection that was open when the owner accepted its
   * last grant, which proves that the same process receives it.  A restarted
   * owner has the same id but does not remember the higher fence of a
   * successor, and would accept the renewal while its keys belong to
   * another. */
  if (!cc_granter_lease_may_change (&x->shared->lease, now))
    {
      if (x->held && x->written && x->range->previous == NULL)
        send_grant (x, x->same_process_at);
      return;
    }
  if (!x->written && (!x->held || x->range->previous != NULL))
    return;
  if (x->unverified_at != 0)
    step_unverified (x, now);
  else if (x->range->previous != NULL)
    step_move (x, now);
  else
    send_grant (x, 0);
}
