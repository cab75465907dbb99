/* A dispatcher's lease on all the servers it holds: both sides of it. */
#ifndef CC_LEASE_H
#define CC_LEASE_H

#include "capercrank.h"

/* How long a renewal lasts, from the moment it was sent.  Together with the
 * renewal's period, the watcher's polls and one write it has to stay below the
 * 4 s within which a key is served again. */
#define CC_LEASE_TERM (1600 * CC_MS)

/* A holder renews four times in a term, so that three lost in a row cost
 * nothing.  A store that is slow or down for longer is bridged by promises
 * (promise.h), so the term can be this short. */
#define CC_LEASE_PERIOD (400 * CC_MS)

/* A watcher waits this much longer than the term.  Two clocks of BOOTTIME
 * drift by less than 0.1% (under 2 ms in a term); the rest is for a send
 * decided just before the lapse that left the process just after. */
#define CC_LEASE_MARGIN (200 * CC_MS)

typedef struct
{
  gboolean registered; /* the row stands, as far as is known */
  guint64 version;     /* of the row, for the next renewal's check */
  guint64 sequence;    /* written by the last renewal that was sent */
  gint64 valid_until;  /* no work is sent from here on; us of cc_clock_now */
  gint64 sent_at;      /* when the renewal in progress was sent; 0: none */
} CcLease;

/* What a watcher has seen of another's lease row. */
typedef struct
{
  guint64 version;   /* of the row when it last changed */
  gint64 first_seen; /* when that version was first seen, us */
} CcLeaseWatch;

void cc_lease_init (CcLease *l);
gboolean cc_lease_is_valid (const CcLease *l, gint64 now);
gboolean cc_lease_is_due (const CcLease *l, gint64 now);
guint64 cc_lease_begin (CcLease *l, gint64 now);
void cc_lease_renewed (CcLease *l, guint64 version);
void cc_lease_found (CcLease *l, guint64 version, guint64 sequence);
void cc_lease_missing (CcLease *l);
void cc_lease_extend (CcLease *l, gint64 asked_at, gint64 now);
void cc_lease_failed (CcLease *l);
void cc_lease_revoked (CcLease *l);

void cc_lease_watch (CcLeaseWatch *w, guint64 version, gint64 now);
gboolean cc_lease_watch_lapsed (const CcLeaseWatch *w, gint64 now);

#endif
