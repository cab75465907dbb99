/* The messages by which gateways exchange limits and ask for tokens. */
#ifndef CC_LIMIT_MESSAGE_H
#define CC_LIMIT_MESSAGE_H

#include "limit_tokens.h"
#include "upstream_limits.h"

/* The answer to a question for tokens. */
typedef struct
{
  CcUpstreamLimit limit; /* as the answering gateway knows it */
  guint priority;        /* that was asked for */
  guint32 number;        /* of the question; 0: that had none */
  CcLimitGrant grant;
} CcLimitAnswer;

GBytes *cc_limit_message_limits (const GArray *limits);
GBytes *cc_limit_message_ask (const CcLimitAsk *ask,
                              const CcUpstreamLimit *limit);
GBytes *cc_limit_message_answer (const CcLimitAnswer *a);
GBytes *cc_limit_message_used (const char *id);
GVariant *cc_limit_message_read_used (GBytes *datagram, const char **id);
GVariant *cc_limit_message_read_limits (GBytes *datagram, GArray *limits);
GVariant *cc_limit_message_read_ask (GBytes *datagram, CcLimitAsk *ask,
                                     CcUpstreamLimit *limit);
GVariant *cc_limit_message_read_answer (GBytes *datagram, CcLimitAnswer *a);

#endif
