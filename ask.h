/* A caller's request inside an entry, from its headers to its answer. */
#ifndef CC_ASK_H
#define CC_ASK_H

#include "follower.h"
#include "metrics.h"
#include "mailbox.h"

typedef struct CcAsk CcAsk;
typedef struct CcRouter CcRouter;

/* Called once with the outcome; R and its parts are valid during the call. */
typedef void (*CcAskDone) (const CcMsgReply *r, gpointer data);

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
} CcWish;

CcRouter *cc_router_new (CcFollower *f, CcMailbox *box);
CcAsk *cc_router_ask (CcRouter *r, const CcWish *w, CcAskDone done,
                      gpointer data);
void cc_router_cancel (CcRouter *r, CcAsk *a);
void cc_router_reply (CcRouter *r, const CcMessage *m);
void cc_router_link (CcRouter *r, const char *address, gboolean up);
void cc_router_view_changed (CcRouter *r);
guint cc_router_pending (const CcRouter *r);

#endif
