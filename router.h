/* Routes callers' requests from an entry to the dispatchers that own their
 * keys, and tracks each until its outcome is known. */
#ifndef CC_ROUTER_H
#define CC_ROUTER_H

#include "follower.h"
#include "metrics.h"
#include "mailbox.h"

typedef struct CcPendingRequest CcPendingRequest;
typedef struct CcRouter CcRouter;

/* Called once with the outcome; R and its parts are valid during the call. */
typedef void (*CcRequestDone) (const CcMsgReply *r, gpointer data);

/* A request to submit; cc_router_submit copies or references every member. */
typedef struct
{
  const CcClass *class;
  const char *tenant;
  const char *idempotency; /* "" if none */
  const char *method;
  const char *path;
  GVariant *headers; /* packed, see headers.h */
  GBytes *key;
  GBytes *body;
  gint64 deadline; /* wall clock, us */
} CcCallerRequest;

CcRouter *cc_router_new (CcFollower *f, CcMailbox *box);
CcPendingRequest *cc_router_submit (CcRouter *r, const CcCallerRequest *spec,
                                    CcRequestDone done, gpointer data);
void cc_router_cancel (CcRouter *r, CcPendingRequest *p);
void cc_router_reply (CcRouter *r, const CcMessage *m);
void cc_router_link (CcRouter *r, const char *address, gboolean up);
void cc_router_view_changed (CcRouter *r);
guint cc_router_pending (const CcRouter *r);

#endif
