/* Holder: a renewal counts from when it was sent.  Watcher: a version first
 * seen at a time was written before it.  Only spans are compared, no clocks of
 * two machines. */
#include "granter_lease.h"

/* The lease's row was known at NOW to be ROW. */
void
cc_granter_lease_row_read (CcGranterLease *d, const CcGranterRow *row,
                           gint64 now)
{
  if (d->seen_at == 0 || d->version != row->version)
    d->seen_at = now;
  d->version = row->version;
  d->vacant = row->vacant;
  d->others_until = d->seen_at + row->others;
}

/* Whether a watcher may claim the lease at NOW. */
gboolean
cc_granter_lease_may_claim (const CcGranterLease *d, gint64 now)
{
  if (d->held || d->seen_at == 0)
    return FALSE;
  return d->version == 0 || d->vacant ||
         now >= d->seen_at + CC_GRANTER_TERM + CC_GRANTER_MARGIN;
}

/* A claim or renewal that was sent at SENT took effect as VERSION. */
void
cc_granter_lease_confirmed (CcGranterLease *d, guint64 version, gint64 sent)
{
  d->held = TRUE;
  d->vacant = FALSE;
  d->version = version;
  d->confirmed = sent;
}

/* Another holds it, or this process gave it up. */
void
cc_granter_lease_lost (CcGranterLease *d)
{
  d->held = FALSE;
  d->seen_at = 0;
}

/* Whether the holder may give keys to others at NOW. */
gboolean
cc_granter_lease_may_change (const CcGranterLease *d, gint64 now)
{
  return d->held && now < d->confirmed + CC_GRANTER_TERM;
}

/* Whether it may renew what was granted. */
gboolean
cc_granter_lease_may_renew (const CcGranterLease *d, gint64 now)
{
  return d->held && now < d->confirmed + CC_GRANTER_RENEWAL_LIMIT;
}

/* To be asked just before a claim: until when any holder of before may send
 * grants, us.
 *
 * Failure: a holder that is cut off renews, its successor resigns or is started
 * again, and the next one takes the vacancy for the end of both.  Symptom: two
 * upstreams hold the same keys. */
gint64
cc_granter_lease_predecessors_until (const CcGranterLease *d)
{
  gint64 last = d->vacant ? d->seen_at : d->seen_at + CC_GRANTER_RENEWAL_LIMIT;

  if (d->version == 0)
    return 0;
  return MAX (last, d->others_until);
}

/* When a grant that arrived at ARRIVED has surely ended, us. */
gint64
cc_grant_expiry (gint64 arrived)
{
  return arrived + CC_GRANT_HOLD +
         (gint64) (CC_GRANT_MARGIN_PART * (double) CC_GRANT_HOLD) +
         CC_GRANT_SLACK;
}
