/* HTTP client for the servers: attempts, grants and probes. */
#ifndef CC_UPSTREAM_H
#define CC_UPSTREAM_H

#include "capercrank.h"
#include "holding.h"

typedef struct CcUpstream CcUpstream;
typedef struct CcAttempt CcAttempt;

typedef struct
{
  const char *address; /* IP:PORT of the server */
  const char *method;
  const char *path;
  GVariant *headers; /* packed, see headers.h; as the caller sent them */
  GBytes *body;
  gint64 deadline; /* wall clock, us */
  guint64 term;
  guint slice;
  guint64 epoch;
  const char *run_id;
  gboolean once_only;
  gboolean fresh; /* on a new connection, since a pooled one may be silent */
} CcUpstreamRequest;

typedef enum
{
  CC_ATTEMPT_ANSWERED, /* the server ran it and answered */
  CC_ATTEMPT_FENCED,   /* rejected because of its grant: not run */
  CC_ATTEMPT_SHED,     /* rejected because of its load: not run */
  CC_ATTEMPT_UNSENT,   /* nothing was sent: not run */
  CC_ATTEMPT_LOST      /* sent, no answer: unknown */
} CcAttemptEnd;

typedef struct
{
  CcAttemptEnd end;
  guint status;
  GVariant *headers; /* packed, see headers.h */
  GBytes *body;
} CcAttemptResult;

typedef void (*CcAttemptDone) (const CcAttemptResult *r, gpointer data);
/* STATUS is CC_OK, CC_CONFLICT if the server knows a higher term, or CC_UNKNOWN
 * if there was no usable answer.  SENT is the time of sending, us. */
typedef void (*CcGrantDone) (CcStatus status, guint64 serial, gint64 sent,
                             gpointer data);

CcUpstream *cc_upstream_new (const char *source);
CcAttempt *cc_upstream_send (CcUpstream *u, const CcUpstreamRequest *request,
                             CcAttemptDone done, gpointer data);
void cc_upstream_drop_pool (CcUpstream *u, const char *address);
void cc_attempt_cancel (CcAttempt *a);
void cc_upstream_grant (CcUpstream *u, const CcHolding *h, const char *holder,
                        CcGrantDone done, gpointer data);
void cc_upstream_probe (CcUpstream *u, const CcHolding *h, CcGrantDone done,
                        gpointer data);

#endif
