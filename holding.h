/* One server that this dispatcher holds: what may be sent to it, and when
 * everything that had to stop has stopped. */
#ifndef CC_HOLDING_H
#define CC_HOLDING_H

#include "slicemap.h"

/* How long a server honours a grant, from when it was sent: the grant carries
 * its end by the wall clock, and the server takes the earlier of that and this
 * span from its receipt.  Receipt alone is not enough: a grant that waited in
 * the buffers of a frozen server would let it run, on waking, what was sent
 * with it, while its slices are another's.  Below the lease's term, so that a
 * server cut off from its dispatcher has stopped before anybody takes over. */
#define CC_GRANT_TTL (1200 * CC_MS)
#define CC_GRANT_PERIOD (300 * CC_MS) /* four in a grant's life */

/* No answer for this long: grants are no longer renewed, only probed for. */
#define CC_SERVER_SUSPECT (700 * CC_MS)
/* No answer for this long: the server is lost, its slices go elsewhere. */
#define CC_SERVER_LOST_AFTER (1000 * CC_MS)
/* A server that doesn't check grants, and answers again, has by then ended what
 * it had begun: the longest deadline of today's classes of such pools. */
#define CC_SERVER_SETTLE (3 * CC_SECOND)
/* The end of a grant is compared on the server's wall clock. */
#define CC_GRANT_MARGIN CC_SKEW_MAX

typedef struct
{
  guint64 epoch;
  gboolean owned;   /* new work may be accepted */
  gboolean granted; /* the server has acknowledged it */
  guint running;    /* attempts at the server */
} CcHeldSlice;

typedef struct
{
  char *pool;
  char *name;
  char *address;
  guint64 term;
  gboolean active;       /* this dispatcher may send to it */
  gboolean handing_over; /* another waits until this one has stopped */
  gboolean checks_grants;
  gboolean keeps;       /* served on without a lease, cut_off.c */
  GHashTable *slices;   /* slice to CcHeldSlice */
  guint64 map_version;  /* the newest map that was taken in */
  guint64 serial;       /* counts changes of the list of granted slices */
  guint64 acked_serial; /* newest list that the server acknowledged */
  gint64 granted_until; /* it honours the grant at least until then, us */
  gint64 grant_sent;    /* last time a grant was sent, us; 0: never */
  gint64 answered;      /* last answer to a grant or a probe, us */
  gint64 stalled_for; /* since then this process stood still for so long, us */
  gboolean unconfirmed; /* an unanswered attempt may be inside the server */
  gint64 quiet_at;      /* wall clock: the deadlines of those are past */
  gint64 quiet_since;   /* that was first seen then, us; 0: it was not yet */
  gint64 alive_since;   /* it has answered without a silence since then, us */
  gboolean gone;        /* the platform doesn't list it any more */
  guint running;        /* attempts at the server, all slices */
  gboolean lost;        /* judged silent */
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
