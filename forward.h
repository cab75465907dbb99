/* Forwards callers' requests to upstreams: admission, queueing, attempts and
 * the final result. */
#ifndef CC_FORWARD_H
#define CC_FORWARD_H

#include "edge.h"
#include "load_reporter.h"
#include "retry_budget.h"

typedef struct CcForwarder CcForwarder;
typedef struct CcExchange CcExchange;

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
} CcExchangeResult;

/* Called once, with the result of an exchange; E is valid during the call. */
typedef void (*CcExchangeDone) (const CcExchangeResult *e, gpointer data);

/* A request to forward; cc_exchange_begin copies all of it. */
typedef struct
{
  const CcRoute *route;
  const char *pool;
  gboolean keyed; /* POOL's upstreams own key ranges */
  const CcCallerInfo *caller;
  const char *method;
  const char *path;    /* with its query, as the caller sent it */
  const char *headers; /* to forward; each line ends in CRLF */
  GBytes *body;
} CcExchangeRequest;

typedef struct
{
  CcHttp *http;
  CcTargets *targets;
  const char *zone;         /* of this instance */
  CcLoadReporter *reporter; /* counts the keys requested */
  CcRetryBound retry_bound;
} CcForwarderSetup;

CcForwarder *cc_forwarder_new (const CcForwarderSetup *setup);
void cc_forwarder_set_entries (CcForwarder *f, guint entries);
void cc_forwarder_ranges_changed (CcForwarder *f, const CcView *state,
                                  const GPtrArray *rows);
void cc_forwarder_pump (CcForwarder *f);
void cc_forwarder_limit_connections (CcForwarder *f, const char *pool,
                                     guint connections);
guint cc_forwarder_pending (const CcForwarder *f);
gint64 cc_forwarder_longest_time (CcForwarder *f, const char *pool,
                                  const CcRoute *route);
void cc_forwarder_write_gauges (const CcForwarder *f);
CcExchange *cc_exchange_begin (CcForwarder *f, const CcExchangeRequest *s,
                               CcExchangeDone done, gpointer data);
void cc_exchange_cancel (CcExchange *e);

#endif
