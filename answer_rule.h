/* What an upstream's answer proves about its request, and what the caller is
 * told of it. */
#ifndef CC_ANSWER_RULE_H
#define CC_ANSWER_RULE_H

#include "exchange_result.h"

/* Which request an answer names. */
typedef enum
{
  CC_ECHO_NONE,
  CC_ECHO_OWN,
  CC_ECHO_OTHER /* another one than it is read for */
} CcEcho;

/* The head of an upstream's answer, as far as it tells whether the request has
 * run. */
typedef struct
{
  guint status;
  CcEcho echo;
  gboolean reused;    /* its connection has carried other requests */
  gboolean refused;   /* it states that the request was not run */
  gboolean is_signed; /* by an upstream */
} CcAnswerHead;

/* Classification of a server's answer, beyond its HTTP status. */
typedef enum
{
  CC_SERVER_ANSWERED,    /* the server's own answer; the request has run */
  CC_SERVER_SHED,        /* refused for load or lack of time; not run */
  CC_SERVER_MISDIRECTED, /* reached another server, or one that does not own the
                            key; not run */
  CC_SERVER_UNPROVEN,    /* the server's own answer, which contradicts itself or
                            would tell the caller more than is proved; outcome
                            unknown */
  CC_SERVER_MISMATCHED   /* not the server's answer to this request; outcome
                            unknown */
} CcServerReplyKind;

/* The answer to a caller. */
typedef struct
{
  gboolean passed_on; /* it is the upstream's; otherwise the gateway's own */
  guint status;
  const char *reason; /* of the gateway's own */
  gint64 retry_after; /* us; 0: none */
} CcToldAnswer;

gboolean cc_status_is_final (guint status);
gboolean cc_status_promises_not_run (guint status);
CcServerReplyKind cc_answer_kind (const CcAnswerHead *a);
CcToldAnswer cc_told_answer (const CcExchangeResult *e);

#endif
