/* The lease by which one process of the fleet grants keys. */
#ifndef CC_GRANTER_LEASE_H
#define CC_GRANTER_LEASE_H

#include "capercrank.h"

/* An upstream may serve its keys for this long after a grant.  The keys of a
 * lost upstream are free this long after its last renewal, and a lost granter
 * must be replaced within this time, or keys of healthy upstreams lapse.  The
 * requirement is that a key is without an owner for at most 4 s. */
#define CC_GRANT_HOLD (4 * CC_SECOND)
/* Safety margins of the expiry: the clock of an upstream may be slow by 2%, and
 * a grant is sent a moment after the granter has read its clock. */
#define CC_GRANT_MARGIN_PART 0.02
#define CC_GRANT_SLACK (150 * CC_MS)
/* Within a region a connection is opened in 3 ms and a response arrives after
 * 10 ms.  With this timeout a renewal can be repeated twice within
 * CC_GRANT_HOLD. */
#define CC_GRANT_CALL_TIMEOUT (800 * CC_MS)
/* Period of the renewals of a grant: three of them in CC_GRANT_HOLD. */
#define CC_GRANT_RENEW_PERIOD (1100 * CC_MS)

/* The lease expires this long after its last renewal was sent.  This time, the
 * pollers' delay and the first grants of the next holder together stay below
 * CC_GRANT_HOLD - CC_GRANT_RENEW_PERIOD. */
#define CC_GRANTER_TERM (2000 * CC_MS)
#define CC_GRANTER_RENEW_PERIOD                                                \
  (650 * CC_MS) /* tolerates the loss of two renewals */
/* Processes that poll the lease wait this much longer before they claim it. */
#define CC_GRANTER_MARGIN (250 * CC_MS)
/* A holder that cannot reach the table service keeps renewing existing grants,
 * with the same owners and fences, for this long after its last confirmed
 * renewal of the lease.  Owners thus keep their keys through a table outage of
 * this length.  In return, a successor of a holder that does not respond has to
 * wait this long before it moves the keys of an upstream that it cannot reach
 * either. */
#define CC_GRANTER_RENEWAL_LIMIT (9 * CC_SECOND)

/* State of the lease, as known by one process. */
typedef struct
{
  gboolean held;   /* held by this process, as far as it knows */
  guint64 version; /* of the lease's row; 0: there is no row */
  gboolean vacant; /* its holder resigned */
  gint64
      received_at; /* when VERSION was first read or received, us; 0: never */
  gint64 predecessors_until; /* holders before the row's holder may renew
                                grants, us */
  gint64 confirmed_at;       /* when the last committed renewal was sent, us */
} CcGranterLease;

/* The lease's row, as read by a process that does not hold the lease. */
typedef struct
{
  guint64 version; /* 0: there is no row */
  gboolean vacant; /* its holder resigned or has terminated */
  gint64
      predecessors_remaining; /* time after the write for which holders before
                                 the row's holder may renew grants, us */
} CcGranterRow;

void cc_granter_lease_row_read (CcGranterLease *l, const CcGranterRow *row,
                                gint64 now);
gboolean cc_granter_lease_may_claim (const CcGranterLease *l, gint64 now);
void cc_granter_lease_confirmed (CcGranterLease *l, guint64 version,
                                 gint64 sent);
void cc_granter_lease_lost (CcGranterLease *l);
gboolean cc_granter_lease_may_change (const CcGranterLease *l, gint64 now);
gboolean cc_granter_lease_may_renew (const CcGranterLease *l, gint64 now);
gint64 cc_granter_lease_predecessors_until (const CcGranterLease *l);
gint64 cc_grant_expiry (gint64 arrived);

#endif
