/* The lease of one dispatcher, without network or clock.
 *
 * Holder: a renewal counts from when it was *sent*, not from its answer, and
 * is compared on a clock that goes on during suspension.  So a holder that was
 * paused, and wakes unaware, finds its lease lapsed at the next check.
 *
 * Watcher: it sees the row's version change.  A version it first saw at time t
 * was written before t, so its holder stops at t + CC_LEASE_TERM at the latest;
 * the watcher waits a margin longer and may then delete the row.  No two
 * clocks are compared, only spans.
 *
 * A renewal whose answer is lost may have been written: the holder then reads
 * the row, and if it finds the sequence it wrote, the renewal counts from when
 * it was sent, as if the answer had come.
 */
#include "lease.h"

/* Makes L a lease that is not held. */
void
cc_lease_init (CcLease *l)
{
  *l = (CcLease){ 0 };
}

/* Whether work may leave the process at NOW.  To be asked immediately before
 * each send: a pause between check and send is what CC_LEASE_MARGIN and the
 * servers' own check of the term cover. */
gboolean
cc_lease_is_valid (const CcLease *l, gint64 now)
{
  return now < l->valid_until;
}

/* Whether a renewal should be sent at NOW: none is in progress, and a period
 * has passed since the last that counted. */
gboolean
cc_lease_is_due (const CcLease *l, gint64 now)
{
  return l->sent_at == 0 &&
         now >= l->valid_until - CC_LEASE_TERM + CC_LEASE_PERIOD;
}

/* Notes that a renewal is sent at NOW.  Returns the sequence it is to write. */
guint64
cc_lease_begin (CcLease *l, gint64 now)
{
  l->sent_at = now;
  return ++l->sequence;
}

/* The renewal in progress was written as transaction VERSION. */
void
cc_lease_renewed (CcLease *l, guint64 version)
{
  l->registered = TRUE;
  l->version = version;
  l->valid_until = MAX (l->valid_until, l->sent_at + CC_LEASE_TERM);
  l->sent_at = 0;
}

/* After a lost answer the row was read and holds SEQUENCE at VERSION. */
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

/* After a lost answer the row was read and is not there.  The id is to be given
 * up, even if it was never registered: the first write may land yet.  It checks
 * that there is no row, which is true again after the id was registered by a
 * second write, lapsed and was deleted; the holder would find its row, renew,
 * and send beside its successor. */
void
cc_lease_missing (CcLease *l)
{
  cc_lease_init (l);
}

/* Peers promised, when asked at ASKED_AT, not to take over for a term.  Counts
 * only at a NOW at which the lease still stands: a promise can come late, from
 * a voter that has forgotten what it released before its restart. */
void
cc_lease_extend (CcLease *l, gint64 asked_at, gint64 now)
{
  if (now < l->valid_until)
    l->valid_until = MAX (l->valid_until, asked_at + CC_LEASE_TERM);
}

/* The renewal in progress was not written. */
void
cc_lease_failed (CcLease *l)
{
  l->sent_at = 0;
}

/* The row is gone: somebody took over.  Nothing may be sent any more. */
void
cc_lease_revoked (CcLease *l)
{
  cc_lease_init (l);
}

/* Notes in W that the row had VERSION at NOW. */
void
cc_lease_watch (CcLeaseWatch *w, guint64 version, gint64 now)
{
  if (w->first_seen != 0 && w->version == version)
    return;
  w->version = version;
  w->first_seen = now;
}

/* Whether the holder of the watched row has certainly stopped by NOW. */
gboolean
cc_lease_watch_lapsed (const CcLeaseWatch *w, gint64 now)
{
  return w->first_seen != 0 &&
         now >= w->first_seen + CC_LEASE_TERM + CC_LEASE_MARGIN;
}
