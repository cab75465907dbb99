/* The lease of one dispatcher, without network or clock.  It ensures that a
 * dispatcher which was paused or cut off sends nothing after another has taken
 * over its servers.
 *
 * Holder: a renewal is valid from when it was *sent*, not from when the answer
 * was received, on a clock that also runs during suspension.  A holder that was
 * paused therefore finds its lease lapsed at the next check.
 *
 * Watcher: it observes changes of the row's version.  A version that it first
 * read at time t was written before t, so its holder stops at
 * t + CC_LEASE_TERM at the latest.  The watcher waits CC_LEASE_MARGIN longer
 * and may then delete the row.  Only durations are compared, never the clocks
 * of two machines.
 *
 * A renewal whose answer was lost may have been written.  The holder then reads
 * the row; if it contains the sequence of that renewal, the renewal is valid
 * from when it was sent, as if the answer had been received.
 */
#include "lease.h"

/* Initialises L as a lease that is not held. */
void
cc_lease_init (CcLease *l)
{
  *l = (CcLease){ 0 };
}

/* Whether the lease is valid at NOW, that is, whether work may be sent.  Must
 * be called immediately before each send; a pause between this check and the
 * send is covered by CC_LEASE_MARGIN and by the servers' check of the term. */
gboolean
cc_lease_is_valid (const CcLease *l, gint64 now)
{
  return now < l->valid_until;
}

/* Whether a renewal is due at NOW: none is in progress, and CC_LEASE_PERIOD has
 * passed since the last successful one was sent. */
gboolean
cc_lease_is_due (const CcLease *l, gint64 now)
{
  return l->sent_at == 0 &&
         now >= l->valid_until - CC_LEASE_TERM + CC_LEASE_PERIOD;
}

/* Records that a renewal is sent at NOW.  Returns the sequence to write. */
guint64
cc_lease_begin (CcLease *l, gint64 now)
{
  l->sent_at = now;
  return ++l->sequence;
}

/* Records that the renewal in progress was written as transaction VERSION, and
 * extends the lease to a term after it was sent. */
void
cc_lease_renewed (CcLease *l, guint64 version)
{
  l->registered = TRUE;
  l->version = version;
  l->valid_until = MAX (l->valid_until, l->sent_at + CC_LEASE_TERM);
  l->sent_at = 0;
}

/* Handles a read of the row after a lost answer: it has SEQUENCE at VERSION.
 * The renewal in progress counts only if SEQUENCE is the one that it wrote. */
void
cc_lease_found (CcLease *l, guint64 version, guint64 sequence)
{
  if (l->sent_at != 0 && sequence == l->sequence)
    {
      cc_lease_renewed (l, version);
      return;
    }
  l->version = version;
  l->sent_at = 0;
}

/* Handles a read of the row after a lost answer which found no row.  The caller
 * must abandon the id, even if it was never registered: the first write may
 * still be applied.  That write checks that there is no row, which is true
 * again after a second write registered the id, the lease lapsed and the row
 * was deleted; the holder would find its row, renew it, and send at the same
 * time as its successor. */
void
cc_lease_missing (CcLease *l)
{
  cc_lease_init (l);
}

/* Extends the lease to a term after REQUESTED_AT, when the promises that a
 * majority of the voters has now given were requested.  Has no effect if the
 * lease has lapsed by NOW: a late promise may come from a voter that restarted
 * and lost its record of having released the lease. */
void
cc_lease_extend (CcLease *l, gint64 requested_at, gint64 now)
{
  if (now < l->valid_until)
    l->valid_until = MAX (l->valid_until, requested_at + CC_LEASE_TERM);
}

/* Records that the renewal in progress was not written. */
void
cc_lease_failed (CcLease *l)
{
  l->sent_at = 0;
}

/* Ends the lease at once: its row was deleted by a takeover, so nothing may be
 * sent under it. */
void
cc_lease_revoked (CcLease *l)
{
  cc_lease_init (l);
}

/* Records in W that the row was read at VERSION at NOW. */
void
cc_lease_watch (CcLeaseWatch *w, guint64 version, gint64 now)
{
  if (w->first_seen != 0 && w->version == version)
    return;
  w->version = version;
  w->first_seen = now;
}

/* Whether the lease of the watched row has lapsed at NOW on its holder's clock
 * too, so that the holder sends nothing. */
gboolean
cc_lease_watch_lapsed (const CcLeaseWatch *w, gint64 now)
{
  return w->first_seen != 0 &&
         now >= w->first_seen + CC_LEASE_TERM + CC_LEASE_MARGIN;
}
