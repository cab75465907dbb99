/* The messages by which one gateway forwards a request through another. */
#ifndef CC_PEER_MESSAGE_H
#define CC_PEER_MESSAGE_H

#include "exchange_result.h"
#include "peer_pick.h"

/* HTTP path at which a gateway accepts forwarded requests of its peers. */
#define CC_FORWARD_PATH "/forward"
/* HTTP header of a forwarded request with the address of its caller.  It is no
 * part of the message, whose type gateways of other builds must match. */
#define CC_FORWARD_CALLER "Caller"

/* A request of a caller, as forwarded.  The sender has routed it. */
typedef struct
{
  const char *pool;
  gboolean keyed; /* the upstreams of POOL own key ranges */
  const char *route;
  gboolean idempotent;
  guint attempts; /* upstreams that it may still reach */
  guint priority;
  gint64 target;         /* time left until its target response time, us */
  gint64 left;           /* time left until its deadline, us */
  gboolean earns_budget; /* adds to the retry budget of the receiver */
  const char *id;        /* of the caller's attempt */
  gint32 key;            /* -1: none */
  const char *method;
  const char *path;
  const char *headers;
  GBytes *body;
  gboolean restricted; /* the receiver must know evacuated zones and home
                          regions, or refuse it */
  char **homes;        /* if RESTRICTED: regions that may serve it; NULL: all */
} CcPeerRequest;

/* Its result. */
typedef struct
{
  CcPeerEnd end;
  CcExchangeResult result;
} CcPeerReply;

GBytes *cc_peer_request_encode (const CcPeerRequest *r);
GVariant *cc_peer_request_decode (GBytes *bytes, CcPeerRequest *r);
void cc_peer_request_clear (CcPeerRequest *r);
GBytes *cc_peer_reply_encode (const CcPeerReply *r);
GVariant *cc_peer_reply_decode (GBytes *bytes, CcPeerReply *r);
void cc_peer_reply_clear (CcPeerReply *r);

#endif
