/* Divides the requests that limited upstreams take among the gateways that need
 * them. */
#ifndef CC_LIMIT_TOKENS_H
#define CC_LIMIT_TOKENS_H

#include "capercrank.h"

/* Priorities that are told apart; lower ones count as the last. */
#define CC_LIMIT_PRIORITIES 4

/* How many tokens of a cold upstream may be granted at once. */
typedef struct
{
  double size;    /* 0: the upstream is not cold */
  gboolean full;  /* the upstream has just started: a whole bucket is free */
  gboolean known; /* the holder of the tokens knows that it is cold */
  guint former;   /* requests that the asking gateway sent in the second before
                     it learned that; only in a question for 0 tokens */
} CcColdBurst;

/* A gateway asks for tokens; each is one request to the upstream ID. */
typedef struct
{
  const char *gateway; /* its address */
  const char *id;
  guint64 born;
  double rate;    /* limit of the upstream, requests a second */
  guint priority; /* of the request that needs one, 0 is the highest */
  guint wanted;   /* tokens; 0: the question is a report alone */
  /* Requests for the upstream since its last question, by priority. */
  guint demand[CC_LIMIT_PRIORITIES];
  CcColdBurst burst; /* of a cold upstream */
  guint32 number; /* of the question; the same one again gets the same answer,
                     one before the last nothing; 0: it has none */
} CcLimitAsk;

typedef struct
{
  guint granted; /* tokens */
  gint64 wait;   /* none is granted: time until it should ask again, us */
} CcLimitGrant;

typedef struct CcLimitTokens CcLimitTokens;

gboolean cc_limit_rate_is_valid (double rate);
void cc_limit_ask_bound (CcLimitAsk *ask);
void cc_limit_grant_bound (CcLimitGrant *grant);

CcLimitTokens *cc_limit_tokens_new (void);
void cc_limit_tokens_free (CcLimitTokens *t);
void cc_limit_tokens_reset (CcLimitTokens *t);
void cc_limit_tokens_empty (CcLimitTokens *t, const char *id, gint64 now);
CcLimitGrant cc_limit_tokens_ask (CcLimitTokens *t, const CcLimitAsk *ask,
                                  gint64 now);

#endif
