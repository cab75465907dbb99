/* A caller's request inside an entry, from its headers to its answer. */
#ifndef CC_ROUTER_H
#define CC_ROUTER_H

#include "follower.h"
#include "metrics.h"
#include "mailbox.h"

typedef struct CcPendingRequest CcPendingRequest;
typedef struct CcRouter CcRouter;

/* Called once with the outcome; R and its parts are valid during the call. */
typedef void (*CcRequestDone) (const CcMsgReply *r, gpointer data);

/* What a caller wants; everything is copied. */
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
CcPendingRequest *cc_router_submit (CcRouter *r, const CcCallerRequest *w,
                                    CcRequestDone done, gpointer data);
void cc_router_cancel (CcRouter *r, CcPendingRequest *a);
void cc_router_reply (CcRouter *r, const CcMessage *m);
void cc_router_link (CcRouter *r, const char *address, gboolean up);
void cc_router_view_changed (CcRouter *r);
guint cc_router_pending (const CcRouter *r);

#endif
