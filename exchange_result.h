/* The result of a request that a gateway forwards. */
#ifndef CC_EXCHANGE_RESULT_H
#define CC_EXCHANGE_RESULT_H

#include "capercrank.h"

/* The outcome of a request. */
typedef enum
{
  CC_EXCHANGE_ANSWERED, /* a server's answer, to be returned to the caller */
  CC_EXCHANGE_NOT_RUN,  /* no server ran it, and none will */
  CC_EXCHANGE_UNKNOWN   /* it may have run */
} CcExchangeOutcome;

typedef struct
{
  CcExchangeOutcome kind;
  const char *reason; /* one word; "" with an answer */
  guint status;       /* of an answer */
  GVariant *headers;  /* of an answer, packed (headers.h) */
  GBytes *body;       /* of an answer */
  gint64 retry_after; /* NOT_RUN: delay before the caller retries, us */
  const char *target; /* id of the last upstream tried or considered, or "" */
  guint attempts;     /* attempts that reached an upstream */
  guint waiting;      /* requests in the pool's queue at the end */
  gint64 waited;      /* time in the pool's queue, us */
  gint64 served;      /* time at upstreams, us */
  gint64 leaving;     /* upper bound on how long the target had been leaving
                         when the last attempt was sent, us; -1: it was not
                         leaving, or nothing was sent */
  gint64 expected;    /* estimated response time of the target considered, us */
  double inside;      /* estimated number of requests inside that target */
  gboolean unreachable; /* NOT_RUN: no upstream that may serve it is reachable
                           from the gateway that tried last */
  gboolean partitioned; /* ... nor any other upstream of its pool */
  guint64 connection;   /* number of the connection of the last attempt, see
                           CcHttpResult; 0: it has no result */
  gboolean same_id;     /* of that attempt, see CcHttpResult */
  const char *peer;     /* address of the peer that it was last forwarded to, or
                           "" */
} CcExchangeResult;

#endif
