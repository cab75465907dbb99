/* Load pattern: the list names an upstream that nobody reaches, while the pool
 * is under load.  Another program has written its row, or its host was lost
 * and the row stays.
 *
 * Failure: keys are planned for it, and nobody serves them as long as the row
 * is there.
 *
 * An upstream that fails to answer is silent, and its keys are planned for
 * others, if three conditions hold.  Keys that it may have been granted before
 * have expired, so that it loses none by the plan.  It has failed for longer
 * than a call takes.  Another upstream of the pool was reached since, with or
 * without keys: otherwise this process may be cut off itself. */
#include "owner_contact.h"

#include "granter_lease.h"

/* An upstream that registers a moment before it listens is not silent. */
#define FAILING_MIN CC_GRANT_CALL_TIMEOUT
/* A call that was sent may be answered late by an upstream that was paused.  It
 * then holds its keys at once, while a move waits for the expiry of the call.
 */
#define PAUSE_MAX CC_GRANT_HOLD
#define PROBE_PERIOD_MIN (500 * CC_MS)
#define PROBE_PERIOD_MAX (5 * CC_SECOND)

/* Forgets what is known of C, except that a probe is in progress. */
void
cc_owner_contact_reset (CcOwnerContact *c)
{
  *c = (CcOwnerContact){ .probing = c->probing };
}

/* The upstream's present start is BORN.  Failures of an earlier one do not
 * count. */
void
cc_owner_contact_started (CcOwnerContact *c, guint64 born)
{
  CcContactState state = c->state;

  if (c->born != 0 && c->born != born)
    {
      cc_owner_contact_reset (c);
      c->state =
          state == CC_CONTACT_REACHED ? CC_CONTACT_REACHED : CC_CONTACT_UNKNOWN;
    }
  c->born = born;
}

/* The upstream may hold keys until UNTIL, us. */
void
cc_owner_contact_may_hold (CcOwnerContact *c, gint64 until)
{
  c->holds_until = MAX (c->holds_until, until);
}

/* The upstream has responded or accepted a connection, as found at NOW, us.
 * Returns whether it was not known to be reachable. */
gboolean
cc_owner_contact_reached (CcOwnerContact *c, gint64 now)
{
  gboolean changed = c->state != CC_CONTACT_REACHED;

  c->state = CC_CONTACT_REACHED;
  c->reached_at = now;
  c->failing_since = 0;
  return changed;
}

/* The upstream has answered a grant, as found at NOW, and may hold keys until
 * HOLDS_UNTIL; both are us. */
void
cc_owner_contact_answered (CcOwnerContact *c, gint64 holds_until, gint64 now)
{
  cc_owner_contact_reached (c, now);
  cc_owner_contact_may_hold (c, holds_until);
  c->unanswered.fence = 0;
  cc_backoff_clear (&c->probes);
}

/* A grant was not accepted, as found at NOW, us.  SENT is the grant if it may
 * have arrived, otherwise NULL. */
void
cc_owner_contact_failed (CcOwnerContact *c, const CcContactGrant *sent,
                         gint64 now)
{
  if (c->failing_since == 0)
    c->failing_since = now;
  c->sent = sent != NULL;
  if (sent != NULL)
    c->unanswered = *sent;
}

/* Updates C at NOW, us; another upstream of the pool was last reached at
 * OTHERS_AT, us.  Returns whether the upstream has become silent. */
gboolean
cc_owner_contact_check (CcOwnerContact *c, gint64 others_at, gint64 now)
{
  gint64 lost_at = c->holds_until;

  if (c->sent && c->holds_until != 0)
    lost_at += PAUSE_MAX;
  if (c->state == CC_CONTACT_SILENT || c->failing_since == 0 ||
      now < c->failing_since + FAILING_MIN || now < lost_at ||
      others_at <= c->failing_since)
    return FALSE;
  c->state = CC_CONTACT_SILENT;
  return TRUE;
}

/* A probe of the upstream has failed at NOW, us. */
void
cc_owner_contact_probe_failed (CcOwnerContact *c, gint64 now)
{
  cc_backoff_fail (&c->probes, PROBE_PERIOD_MIN, PROBE_PERIOD_MAX, now);
}

/* Whether a probe may be sent at NOW, us. */
gboolean
cc_owner_contact_may_probe (const CcOwnerContact *c, gint64 now)
{
  return c->state != CC_CONTACT_REACHED && !c->probing &&
         !cc_backoff_is_active (&c->probes, now);
}
