/* Callers' requests, from their admission to their answer. */
#ifndef CC_FORWARD_H
#define CC_FORWARD_H

#include "edge.h"
#include "load_reporter.h"
#include "retry_budget.h"

typedef struct CcForwarder CcForwarder;
typedef struct CcExchange CcExchange;

/* What became of a request. */
typedef enum
{
  CC_EXCHANGE_ANSWERED, /* a server's answer is to be handed on */
  CC_EXCHANGE_NOT_RUN,  /* no server ran it, and none will */
  CC_EXCHANGE_UNKNOWN   /* it may have run */
} CcExchangeOutcome;

typedef struct
{
  CcExchangeOutcome kind;
  const char *reason; /* one word */
  guint status;       /* of an answer */
  GVariant *headers;  /* of an answer, packed */
  GBytes *body;       /* of an answer */
  gint64 retry_after; /* NOT_RUN: when to come back, us */
  const char *target; /* the upstream tried last, "" if none */
  guint attempts;     /* that reached an upstream */
  guint waiting;      /* requests that waited for the pool */
  gint64 waited;      /* time in the pool's queue, us */
  gint64 served;      /* time at upstreams, us */
  gint64 leaving;     /* the target had been leaving for so long at most when it
                         was sent there, us; -1: it was not leaving, or nothing
                         was sent */
  gint64 expected;    /* time for an answer from the target considered, us */
  double inside;      /* requests inside it, by estimate */
} CcExchangeResult;

/* Called once; E is valid during the call. */
typedef void (*CcExchangeDone) (const CcExchangeResult *e, gpointer data);

/* A request; everything is copied. */
typedef struct
{
  const CcRoute *route;
  const char *pool;
  gboolean keyed; /* POOL's upstreams own keys */
  const CcCallerInfo *caller;
  const char *method;
  const char *path;    /* with its query, as the caller sent it */
  const char *headers; /* those to pass on, each line with CRLF */
  GBytes *body;
} CcExchangeRequest;

typedef struct
{
  CcHttp *http;
  CcTargets *targets;
  const char *zone;         /* of this instance */
  CcLoadReporter *reporter; /* is told which keys are asked for */
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
