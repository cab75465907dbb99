/* Forwards callers' requests to upstreams: admission, queueing, attempts and
 * the final result. */
#ifndef CC_FORWARD_H
#define CC_FORWARD_H

#include "crash_guard.h"
#include "edge.h"
#include "evacuation.h"
#include "exchange_result.h"
#include "fleet_limits.h"
#include "load_reporter.h"
#include "owner_permits.h"
#include "peer_pick.h"
#include "pool_reach.h"
#include "retry_budget.h"
#include "stall.h"
#include "upstream_notices.h"
#include "zones.h"

/* Retry-After of a request that is refused since this process stops: the retry
 * reaches another one, so it may be sent almost at once. */
#define CC_STOPPING_RETRY (20 * CC_MS)

typedef struct CcForwarder CcForwarder;
typedef struct CcExchange CcExchange;

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
  gboolean from_peer;    /* a peer has forwarded it; it goes to no other peer */
  gboolean earns_budget; /* adds to the retry budget, as each request of a
                            caller does once in the fleet */
} CcExchangeRequest;

typedef struct
{
  CcHttp *http;
  CcTargets *targets;
  const char *zone;         /* of this instance */
  CcLoadReporter *reporter; /* counts the keys requested */
  CcCrashGuard *guard;      /* NULL: requests are never refused for crashes */
  CcFleetLimits *limits;    /* NULL: no upstream names limits */
  CcOwnerPermits *permits;  /* NULL: owners are never overloaded */
  const CcEvacuation *evacuation; /* NULL: no zone is evacuated */
  const CcZones *zones;           /* NULL: no region is known */
  CcStall *stall;                 /* NULL: this process is never paused */
  CcUpstreamNotices *notices;     /* NULL: what answers state is ignored */
  CcRetryBound retry_bound;
} CcForwarderSetup;

CcForwarder *cc_forwarder_new (const CcForwarderSetup *setup);
void cc_forwarder_set_entries (CcForwarder *f, guint entries);
void cc_forwarder_set_peers (CcForwarder *f, GPtrArray *peers);
CcReach cc_forwarder_check_reach (CcForwarder *f, const char *pool,
                                  gboolean probe);
void cc_forwarder_ranges_changed (CcForwarder *f, const CcView *state,
                                  const GPtrArray *rows);
void cc_forwarder_pump (CcForwarder *f);
void cc_forwarder_drain (CcForwarder *f, gint64 stop_at);
void cc_forwarder_end_all (CcForwarder *f);
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
