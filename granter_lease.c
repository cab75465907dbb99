/* Validity of the lease.  The holder counts from the time at which it sent a
 * renewal; other processes count from the time at which they first received a
 * version, which was written earlier.  So only durations are compared, and the
 * clocks of different machines need not agree. */
#include "granter_lease.h"

/* Records that the lease's row was ROW at NOW, us. */
void
cc_granter_lease_row_read (CcGranterLease *l, const CcGranterRow *row,
                           gint64 now)
{
  if (l->received_at == 0 || l->version != row->version)
    l->received_at = now;
  l->version = row->version;
  l->vacant = row->vacant;
  l->predecessors_until = l->received_at + row->predecessors_remaining;
}

/* Whether a process that does not hold the lease may claim it at NOW, us. */
gboolean
cc_granter_lease_may_claim (const CcGranterLease *l, gint64 now)
{
  if (l->held || l->received_at == 0)
    return FALSE;
  return l->version == 0 || l->vacant ||
         now >= l->received_at + CC_GRANTER_TERM + CC_GRANTER_MARGIN;
}

/* Records that a claim or renewal, sent at SENT, us, was committed as
 * VERSION. */
void
cc_granter_lease_confirmed (CcGranterLease *l, guint64 version, gint64 sent)
{
  l->held = TRUE;
  l->vacant = FALSE;
  l->version = version;
  l->confirmed_at = sent;
}

/* Records that the lease was taken over by another process or released. */
void
cc_granter_lease_lost (CcGranterLease *l)
{
  l->held = FALSE;
  l->received_at = 0;
}

/* Whether the holder may assign keys to other owners at NOW, us. */
gboolean
cc_granter_lease_may_change (const CcGranterLease *l, gint64 now)
{
  return l->held && now < l->confirmed_at + CC_GRANTER_TERM;
}

/* Whether the holder may renew existing grants at NOW, us. */
gboolean
cc_granter_lease_may_renew (const CcGranterLease *l, gint64 now)
{
  return l->held && now < l->confirmed_at + CC_GRANTER_RENEWAL_LIMIT;
}

/* Until when earlier holders may send grants, us.  The value is valid for a
 * claim that is sent directly after the call.
 *
 * The row's own value for its predecessors counts as well, since a vacant lease
 * proves only that its last holder has stopped.  If a holder is cut off but
 * renews grants while its successor resigns or restarts, the next holder would
 * otherwise assume that both have stopped, and two upstreams would hold the
 * same keys. */
gint64
cc_granter_lease_predecessors_until (const CcGranterLease *l)
{
  gint64 last =
      l->vacant ? l->received_at : l->received_at + CC_GRANTER_RENEWAL_LIMIT;

  if (l->version == 0)
    return 0;
  return MAX (last, l->predecessors_until);
}

/* Returns the latest time, us, at which a grant expires that arrived at
 * ARRIVED. */
gint64
cc_grant_expiry (gint64 arrived)
{
  return arrived + CC_GRANT_HOLD +
         (gint64) (CC_GRANT_MARGIN_PART * (double) CC_GRANT_HOLD) +
         CC_GRANT_SLACK;
}
