/* Keeps the requests of the whole fleet to an overloaded owner of keys at what
 * it serves. */
#ifndef CC_OWNER_PERMITS_H
#define CC_OWNER_PERMITS_H

#include "permit_message.h"

typedef struct CcOwnerPermits CcOwnerPermits;

/* Period of cc_owner_permits_tick. */
#define CC_OWNER_PERMITS_PERIOD (50 * CC_MS)
/* A question without an answer for so long is sent again, when the next request
 * that waits for it is decided. */
#define CC_PERMIT_ASK_TIMEOUT (10 * CC_MS)

typedef struct
{
  const char *address; /* of this gateway for its peers */
  const char *zone;    /* of this gateway */
  /* Sends DATAGRAM to the gateway at ADDRESS. */
  void (*send) (const char *address, GBytes *datagram, gpointer data);
  /* Sends DATAGRAM to all other gateways. */
  void (*broadcast) (GBytes *datagram, gpointer data);
  /* Permits have arrived: requests that wait may be decided anew. */
  void (*ready) (gpointer data);
  /* cc_owner_permits_tick is to be called after CC_OWNER_PERMITS_PERIOD. */
  void (*wake) (gpointer data);
  gpointer data;
} CcOwnerPermitsSetup;

/* A request that needs a permit. */
typedef struct
{
  guint priority; /* 0 is the highest */
  gint64 target;  /* its latency target, us */
} CcPermitRequest;

/* Whether a request may be sent to an overloaded owner. */
typedef enum
{
  CC_PERMIT_GRANTED,
  CC_PERMIT_PENDING, /* the answer comes within some ms */
  CC_PERMIT_REFUSED  /* not before the time given */
} CcPermitVerdict;

CcOwnerPermits *cc_owner_permits_new (const CcOwnerPermitsSetup *setup);
void cc_owner_permits_free (CcOwnerPermits *p);
void cc_owner_permits_clear_peers (CcOwnerPermits *p);
void cc_owner_permits_add_peer (CcOwnerPermits *p, const char *address,
                                const char *zone);
void cc_owner_permits_owner_full (CcOwnerPermits *p, const CcPermitOwner *owner,
                                  gint64 now);
gboolean cc_owner_permits_are_needed (const CcOwnerPermits *p, const char *id,
                                      guint64 born, gint64 now);
void cc_owner_permits_count (CcOwnerPermits *p, const char *id);
CcPermitVerdict cc_owner_permits_take (CcOwnerPermits *p, const char *id,
                                       const CcPermitRequest *r, gint64 now,
                                       gint64 *at);
void cc_owner_permits_ended (CcOwnerPermits *p, const CcPermitOwner *owner,
                             const CcOwnerReport *report, gint64 now);
gboolean cc_owner_permits_receive (CcOwnerPermits *p, GBytes *datagram,
                                   gint64 now);
gboolean cc_owner_permits_tick (CcOwnerPermits *p, gint64 now);

#endif
