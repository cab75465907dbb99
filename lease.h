/* A dispatcher's lease on all the servers that it holds: the holder's state
 * and that of a watcher, which detects that the lease has lapsed. */
#ifndef CC_LEASE_H
#define CC_LEASE_H

#include "capercrank.h"

/* How long a renewal is valid, from the time it was sent.  The sum of term,
 * renewal period, watcher's poll period and one write must stay below 4 s, the
 * limit within which a key must be served again after its holder is lost. */
#define CC_LEASE_TERM (1600 * CC_MS)

/* A holder renews four times in a term, so that three lost renewals in a row
 * have no effect.  The term can be this short because promises (promise.h)
 * extend the lease while the platform is slow or down for longer. */
#define CC_LEASE_PERIOD (400 * CC_MS)

/* A watcher waits this much longer than the term.  The BOOTTIME clocks of two
 * machines drift apart by less than 0.1% (under 2 ms in a term); the rest is
 * for a send that passed the check just before the lease lapsed and left the
 * process just after. */
#define CC_LEASE_MARGIN (200 * CC_MS)

typedef struct
{
  gboolean registered; /* the row was written and is not known to be deleted */
  guint64 version;     /* of the row, for the next renewal's check */
  guint64 sequence;    /* written by the last renewal that was sent */
  gint64 valid_until;  /* no work may be sent from then on, us, cc_clock_now */
  gint64 sent_at;      /* when the renewal in progress was sent, us; 0: none */
} CcLease;

/* What a watcher knows of another process's lease row. */
typedef struct
{
  guint64 version;   /* of the row when it was last read */
  gint64 first_seen; /* when that version was first read, us; 0: never */
} CcLeaseWatch;

void cc_lease_init (CcLease *l);
gboolean cc_lease_is_valid (const CcLease *l, gint64 now);
gboolean cc_lease_is_due (const CcLease *l, gint64 now);
guint64 cc_lease_begin (CcLease *l, gint64 now);
void cc_lease_renewed (CcLease *l, guint64 version);
void cc_lease_found (CcLease *l, guint64 version, guint64 sequence);
void cc_lease_missing (CcLease *l);
void cc_lease_extend (CcLease *l, gint64 requested_at, gint64 now);
void cc_lease_failed (CcLease *l);
void cc_lease_revoked (CcLease *l);

void cc_lease_watch (CcLeaseWatch *w, guint64 version, gint64 now);
gboolean cc_lease_watch_lapsed (const CcLeaseWatch *w, gint64 now);

#endif
