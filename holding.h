/* The state of one server that this dispatcher holds: which requests may be
 * sent to it, and whether all work that a map version took away from it has
 * ended. */
#ifndef CC_HOLDING_H
#define CC_HOLDING_H

#include "slicemap.h"

/* How long a grant is valid, from when it was sent.  The grant contains its end
 * as wall clock time, and the server uses the earlier of that and this duration
 * from its receipt.  The receipt alone is not enough: a paused server that
 * resumes would accept a grant from its receive buffer, and with it requests
 * that were sent together, although its slices were moved to another server.
 * Shorter than the lease's term, so that a server cut off from its dispatcher
 * has stopped before the lease can be taken over. */
#define CC_GRANT_TTL (1200 * CC_MS)
#define CC_GRANT_PERIOD (300 * CC_MS) /* four grants in the TTL */

/* After this long without an answer, no grants are sent, only probes. */
#define CC_SERVER_SUSPECT (700 * CC_MS)
/* After this long without an answer, the server is lost and its slices are
 * assigned to others. */
#define CC_SERVER_LOST_AFTER (1000 * CC_MS)
/* All work that a server which doesn't check grants had begun has ended once it
 * has answered again for this long: the longest deadline of any class of such a
 * pool. */
#define CC_SERVER_SETTLE (3 * CC_SECOND)
/* The end of a grant is compared with the server's wall clock. */
#define CC_GRANT_MARGIN CC_SKEW_MAX

typedef struct
{
  guint64 epoch;
  gboolean owned;   /* new requests may be accepted */
  gboolean granted; /* the server has acknowledged a grant of it */
  guint running;    /* attempts in progress at the server */
} CcHeldSlice;

typedef struct
{
  char *pool;
  char *name;
  char *address;
  guint64 term;
  gboolean active;       /* this dispatcher may send to it */
  gboolean handing_over; /* another dispatcher waits for this one to stop */
  gboolean checks_grants;
  gboolean serves_without_lease; /* still served without a lease, cut_off.c */
  GHashTable *slices;            /* slice to CcHeldSlice */
  guint64 map_version;           /* of the newest map that was applied */
  guint64 serial;       /* counts changes of the list of granted slices */
  guint64 acked_serial; /* newest list that the server acknowledged */
  gint64 granted_until; /* its grant is valid at least until then, us */
  gint64 grant_sent;    /* when the last grant was sent, us; 0: never */
  gint64 answered;      /* when it last answered anything, us */
  gint64 stalled_for;   /* how long this process was paused since then, us */
  gboolean unconfirmed; /* it may still run an unanswered attempt */
  gint64 quiet_at; /* latest deadline of those attempts, plus skew; wall clock,
                      us */
  gint64 quiet_since; /* when that time was first seen to have passed, us; 0:
                         not yet */
  gint64 answering_since; /* start of its answers without a longer silence than
                             CC_SERVER_SUSPECT, us */
  gboolean gone;          /* the platform doesn't list it */
  guint running;          /* attempts in progress at the server, all slices */
  gboolean lost;          /* it has not answered for CC_SERVER_LOST_AFTER */
} CcHolding;

CcHolding *cc_holding_new (const char *pool, const CcMapServer *s,
                           gboolean checks_grants, gint64 now, gint64 quiet_at);
CcHolding *cc_holding_ref (CcHolding *h);
void cc_holding_unref (CcHolding *h);
void cc_holding_update (CcHolding *h, const CcSliceMap *m, gint32 server,
                        const char *me);
gboolean cc_holding_owns (const CcHolding *h, guint slice);
gboolean cc_holding_may_send (const CcHolding *h, guint slice, gint64 now);
void cc_holding_sent (CcHolding *h, guint slice);
void cc_holding_done (CcHolding *h, guint slice, gint64 deadline,
                      gboolean answered);
gboolean cc_holding_may_grant (const CcHolding *h, gint64 now);
void cc_holding_grant_sent (CcHolding *h, gint64 now);
void cc_holding_grant_acked (CcHolding *h, guint64 serial, gint64 sent);
void cc_holding_answered (CcHolding *h, gint64 now);
void cc_holding_add_stall (CcHolding *h, gint64 span);
gboolean cc_holding_update_lost (CcHolding *h, gint64 now);
gboolean cc_holding_is_lost (const CcHolding *h);
guint64 cc_holding_applied (CcHolding *h, gint64 now, gint64 wall);

#endif
