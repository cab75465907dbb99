/* The lease by which one process of the fleet grants keys. */
#ifndef CC_GRANTER_LEASE_H
#define CC_GRANTER_LEASE_H

#include "capercrank.h"

/* How long upstreams keep their keys after a grant.  A lost upstream's keys are
 * free again this long after its last renewal, and a granter that is lost must
 * be replaced within it, or keys lapse that nobody lost.  4 s are what the
 * users allow a key to be away. */
#define CC_GRANT_HOLD (4 * CC_SECOND)
/* An upstream's clock may be slow by 2%, and a grant decided just before the
 * granter's own reading of the clock leaves a moment later. */
#define CC_GRANT_MARGIN_PART 0.02
#define CC_GRANT_SLACK (150 * CC_MS)
/* A grant is renewed every so often: three in a hold. */
#define CC_GRANT_RENEW_PERIOD (1100 * CC_MS)

/* The lease lapses this long after its last renewal was sent.  Together with
 * the watchers' poll and the first grants it stays below CC_GRANT_HOLD minus
 * CC_GRANT_RENEW_PERIOD. */
#define CC_GRANTER_TERM (2000 * CC_MS)
#define CC_GRANTER_RENEW_PERIOD                                                \
  (650 * CC_MS) /* two lost renewals cost nothing */
#define CC_GRANTER_MARGIN (250 * CC_MS)
/* A holder that can't reach the table service renews what it granted before,
 * to the same upstreams under the same fence, for so long.  It outlasts an
 * outage of that length for all; the price is that who takes over from a holder
 * that fell silent moves keys of an upstream that it can't reach either only
 * this much later. */
#define CC_GRANTER_RENEWAL_LIMIT (9 * CC_SECOND)

typedef struct
{
  gboolean held;       /* as far as is known */
  guint64 version;     /* of the lease's row; 0: there is none */
  gboolean vacant;     /* its holder resigned */
  gint64 seen_at;      /* when VERSION was first seen, us; 0: never read */
  gint64 others_until; /* granters before the row's holder may renew, us */
  gint64 confirmed;    /* when the last renewal that took effect was sent, us */
} CcGranterLease;

/* What is known of the lease's row. */
typedef struct
{
  guint64 version; /* 0: there is none */
  gboolean vacant; /* its holder resigned, or has ended */
  gint64 others;   /* granters before its holder may renew for so long after it
                      was written, us */
} CcGranterRow;

void cc_granter_lease_row_read (CcGranterLease *d, const CcGranterRow *row,
                                gint64 now);
gboolean cc_granter_lease_may_claim (const CcGranterLease *d, gint64 now);
void cc_granter_lease_confirmed (CcGranterLease *d, guint64 version,
                                 gint64 sent);
void cc_granter_lease_lost (CcGranterLease *d);
gboolean cc_granter_lease_may_change (const CcGranterLease *d, gint64 now);
gboolean cc_granter_lease_may_renew (const CcGranterLease *d, gint64 now);
gint64 cc_granter_lease_predecessors_until (const CcGranterLease *d);
gint64 cc_grant_expiry (gint64 arrived);

#endif
