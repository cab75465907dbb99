/* The messages by which gateways ask for tokens of cold upstreams, and notify
 * each other of them.
 *
 * They are of kinds of their own: an older build takes the limit in a question
 * of limit_message.h for one that the upstream has named, and spreads it. */
#ifndef CC_COLD_MESSAGE_H
#define CC_COLD_MESSAGE_H

#include "limit_tokens.h"

/* The answer to a question for tokens of a cold upstream. */
typedef struct
{
  const char *id;
  guint64 born;
  guint32 number; /* of the question */
  guint priority; /* that was asked for */
  CcLimitGrant grant;
} CcColdAnswer;

/* A gateway has learned by a probe that an upstream is cold. */
typedef struct
{
  const char *id;
  guint64 born;
  gint64 left; /* time for which it stays cold, us */
} CcColdNotice;

GBytes *cc_cold_message_ask (const CcLimitAsk *ask);
GBytes *cc_cold_message_answer (const CcColdAnswer *a);
GVariant *cc_cold_message_read_ask (GBytes *datagram, CcLimitAsk *ask);
GVariant *cc_cold_message_read_answer (GBytes *datagram, CcColdAnswer *a);
GBytes *cc_cold_message_notice (const CcColdNotice *n);
GVariant *cc_cold_message_read_notice (GBytes *datagram, CcColdNotice *n);

#endif
