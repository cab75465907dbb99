/* Chooses the peer (another gateway) through which a request is forwarded to a
 * pool that this gateway does not reach. */
#ifndef CC_PEER_PICK_H
#define CC_PEER_PICK_H

#include "eligibility.h"

/* The other gateways of the fleet. */
typedef struct
{
  char *address; /* for peers, IP:PORT */
  char *zone;
} CcPeer;

/* How a request that was forwarded through a peer ended there. */
typedef enum
{
  CC_PEER_SERVED,      /* the peer reached an upstream, or refused for the
                          pool's load */
  CC_PEER_PARTITIONED, /* the peer does not reach the pool either; not run */
  CC_PEER_BUSY, /* refused, since the peer stops or lacks time; not run */
  CC_PEER_UNSUPPORTED, /* the peer does not forward requests; not run */
  CC_PEER_FAILED,      /* no connection, or no answer */
  CC_PEER_ABANDONED    /* ended by this gateway; no information on the peer */
} CcPeerEnd;

typedef struct CcPeerPick CcPeerPick;

/* Input of a choice. */
typedef struct
{
  const GPtrArray *peers;          /* of CcPeer */
  const char *zone;                /* of this gateway */
  const GPtrArray *tried;          /* addresses that are not chosen again */
  const CcEligibilityRules *rules; /* for the request; NULL: any peer */
} CcPeerChoice;

GPtrArray *cc_peers_new (void);
void cc_peers_add (GPtrArray *peers, const char *address, const char *zone);
CcPeerPick *cc_peer_pick_new (void);
void cc_peer_pick_free (CcPeerPick *p);
const char *cc_peer_pick_choose (CcPeerPick *p, const CcPeerChoice *c,
                                 gint64 now);
void cc_peer_pick_sent (CcPeerPick *p, const char *address);
void cc_peer_pick_ended (CcPeerPick *p, const char *address, CcPeerEnd end,
                         gint64 now);

#endif
