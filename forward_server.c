/* A forwarded request is handled like one of this gateway's own callers, except
 * that it goes directly to an upstream or is refused: it is never forwarded
 * again.  When the peer closes the connection, its caller has left or its time
 * is over, and the request is cancelled. */
#include "forward_server.h"

#include "admin.h"
#include "body_limit.h"
#include "clock.h"
#include "event_log.h"
#include "forward_limit.h"
#include "hangup.h"
#include "metrics.h"
#include "peer_message.h"
#include "request_body.h"
#include "timers.h"

/* Largest message of a peer: the largest body and headers, bytes. */
#define MESSAGE_MAX ((gsize) 65 * 1024 * 1024)
#define CONTENT_TYPE "application/octet-stream"
/* Requests that are handled this long after a stall may have arrived in it. */
#define STALL_KEPT (100 * CC_MS)
/* The limit is updated for this time after the last request. */
#define LIMIT_UPDATED_FOR (2 * CC_SECOND)

struct CcForwardServer
{
  CcForwarder *forwarder;
  CcMemoryBudget *budget;
  gboolean draining;
  guint pending; /* requests without a result */
  CcForwardLimit limit;
  CcTimer limit_timer;
  gint64 update_due;  /* when that timer is to expire, us */
  gint64 stalled_for; /* lateness of its last expiry, us */
  gint64 stalled_at;  /* time of that, us */
  gint64 received_at; /* last request, us */
  CcCounter *accepted;
  CcCounter *refused;
};

typedef struct
{
  CcForwardServer *server;
  SoupServerMessage *message;
  CcExchange *exchange; /* NULL: finished */
  CcHangup hangup;
  CcCallerInfo caller;
} Request;

/* Returns a server for requests that F sends to upstreams, and whose memory is
 * taken from BUDGET. */
CcForwardServer *
cc_forward_server_new (CcForwarder *f, CcMemoryBudget *budget)
{
  CcForwardServer *s = g_new0 (CcForwardServer, 1);

  s->forwarder = f;
  s->budget = budget;
  s->accepted = cc_metrics_counter ("capercrank_forwarded_by_peers",
                                    "outcome=\"accepted\"");
  s->refused = cc_metrics_counter ("capercrank_forwarded_by_peers",
                                   "outcome=\"refused\"");
  return s;
}

/* Sets the answer of M to RESULT, which ended as END. */
static void
answer (SoupServerMessage *m, CcPeerEnd end, const CcExchangeResult *result)
{
  CcPeerReply reply = { .end = end, .result = *result };
  g_autoptr (GBytes) bytes = cc_peer_reply_encode (&reply);
  gsize size;
  const char *data = g_bytes_get_data (bytes, &size);

  soup_server_message_set_status (m, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (m, CONTENT_TYPE, SOUP_MEMORY_COPY, data,
                                    size);
}

/* The message of DATA, a Request, is finished or was aborted: frees it. */
static void
on_finished (SoupServerMessage *m, gpointer data)
{
  Request *r = data;

  (void) m;
  if (r->exchange != NULL)
    cc_exchange_cancel (r->exchange);
  cc_hangup_stop (&r->hangup);
  g_signal_handlers_disconnect_by_data (r->message, r);
  g_object_unref (r->message);
  r->server->pending--;
  cc_caller_info_clear (&r->caller);
  g_free (r);
}

/* Returns how a request that ended as E is reported to the peer.  What S
 * refuses while it stops may be served by another gateway. */
static CcPeerEnd
peer_end (const CcForwardServer *s, const CcExchangeResult *e)
{
  if (e->partitioned)
    return CC_PEER_PARTITIONED;
  return s->draining && e->kind == CC_EXCHANGE_NOT_RUN ? CC_PEER_BUSY
                                                       : CC_PEER_SERVED;
}

static void
on_result (const CcExchangeResult *e, gpointer data)
{
  Request *r = data;

  r->exchange = NULL;
  cc_hangup_stop (&r->hangup);
  if (e->kind != CC_EXCHANGE_ANSWERED)
    cc_event (CC_EVENT_FAILED, "forwarded-request-ended", "request",
              r->caller.id, "outcome",
              e->kind == CC_EXCHANGE_NOT_RUN ? "not-run" : "unknown", "reason",
              e->reason, "target", e->target, "attempts",
              cc_event_int (e->attempts), "connection",
              cc_event_int ((gint64) e->connection), "same_id",
              e->same_id ? "yes" : "no", NULL);
  answer (r->message, peer_end (r->server, e), e);
  soup_server_message_unpause (r->message);
}

/* The peer closed its connection.  The answer only finishes the message and is
 * not read. */
static void
on_peer_gone (gpointer data)
{
  Request *r = data;

  if (r->exchange != NULL)
    cc_exchange_cancel (r->exchange);
  r->exchange = NULL;
  cc_event (CC_EVENT_FAILED, "forwarded-request-cancelled", "request",
            r->caller.id, NULL);
  cc_http_answer (r->message, SOUP_STATUS_BAD_GATEWAY, "text/plain", "");
  soup_message_headers_replace (
      soup_server_message_get_response_headers (r->message), "Connection",
      "close");
  soup_server_message_unpause (r->message);
}

/* Starts to send P, which M contains, to an upstream. */
static void
start_request (CcForwardServer *s, SoupServerMessage *m, const CcPeerRequest *p,
               gint64 left)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (m);
  Request *r = g_new0 (Request, 1);
  CcRoute route = { .name = (char *) p->route,
                    .kind = p->idempotent ? CC_ROUTE_IDEMPOTENT : CC_ROUTE_ONCE,
                    .timeout = left,
                    .target = p->target,
                    .attempts = p->attempts,
                    .priority = p->priority,
                    .homes = p->homes };
  CcExchangeRequest start = { .route = &route,
                              .pool = p->pool,
                              .keyed = p->keyed,
                              .caller = &r->caller,
                              .method = p->method,
                              .path = p->path,
                              .headers = p->headers,
                              .body = p->body,
                              .from_peer = TRUE,
                              .earns_budget = p->earns_budget };

  r->server = s;
  r->message = g_object_ref (m);
  r->caller = (CcCallerInfo){ g_strdup (p->id), left, p->key,
                              g_strdup (soup_message_headers_get_one (
                                  headers, CC_FORWARD_CALLER)) };
  s->pending++;
  ++*s->accepted;
  g_signal_connect (m, "finished", G_CALLBACK (on_finished), r);
  soup_server_message_pause (m);
  r->exchange = cc_exchange_begin (s->forwarder, &start, on_result, r);
  if (r->exchange != NULL)
    cc_hangup_watch (&r->hangup, soup_server_message_get_socket (m),
                     on_peer_gone, r);
}

static void on_limit_timer (gpointer data);

/* Starts the timer for the next update of the limit, unless it is running. */
static void
start_limit_timer (CcForwardServer *s, gint64 now)
{
  if (s->limit_timer.place != NULL)
    return;
  s->update_due = now + CC_FORWARD_LIMIT_PERIOD;
  cc_timer_start (&s->limit_timer, CC_FORWARD_LIMIT_PERIOD, on_limit_timer, s);
}

static void
on_limit_timer (gpointer data)
{
  CcForwardServer *s = data;
  gint64 now = cc_clock_now ();

  s->stalled_for = now - s->update_due;
  s->stalled_at = now;
  cc_forward_limit_update (&s->limit, s->stalled_for);
  if (now - s->received_at < LIMIT_UPDATED_FOR)
    start_limit_timer (s, now);
}

/* Returns for how long at most a request that arrives at NOW has waited in the
 * buffers of this process while it stood still, us.
 *
 * Failure: a process that was paused handles a request with the time that was
 * left when it was sent.  Symptom: an upstream is given more time than the
 * caller has. */
static gint64
waited_in_buffers (const CcForwardServer *s, gint64 now)
{
  gint64 stalled = 0;

  if (s->limit_timer.place != NULL)
    stalled = MAX (now - s->update_due, 0);
  if (now - s->stalled_at < STALL_KEPT)
    stalled = MAX (stalled, s->stalled_for);
  return stalled;
}

/* Refuses the request ID of M, which is not run, for REASON. */
static void
refuse (CcForwardServer *s, SoupServerMessage *m, const char *id, CcPeerEnd end,
        const char *reason)
{
  CcExchangeResult result = {
    .kind = CC_EXCHANGE_NOT_RUN, .reason = reason, .target = "", .leaving = -1
  };

  ++*s->refused;
  cc_event (CC_EVENT_FAILED, "forwarded-request-refused", "request", id,
            "reason", reason, NULL);
  answer (m, end, &result);
}

/* Reserves the memory of a request.  Its priority is in its body, so it counts
 * as urgent; the size is what matters. */
static void
on_headers (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  CcForwardServer *s = data;
  CcRequestBodySetup setup = { .budget = s->budget, .max = MESSAGE_MAX };

  (void) server, (void) path, (void) query;
  cc_request_body_collect (m, &setup);
}

static void
on_request (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  CcForwardServer *s = data;
  CcPeerRequest p;
  g_autoptr (GBytes) body = NULL;
  g_autoptr (GVariant) holder = NULL;
  gint64 left, now = cc_clock_now ();

  (void) server, (void) path, (void) query;
  if (cc_body_is_refused (m))
    return;
  s->received_at = now;
  start_limit_timer (s, now);
  if (cc_request_body_has_no_memory (m))
    {
      refuse (s, m, "", CC_PEER_BUSY, "memory");
      return;
    }
  body = cc_request_body_take (m);
  holder = cc_peer_request_decode (body, &p);
  if (holder == NULL)
    {
      cc_event (CC_EVENT_FAILED, "forwarded-request-damaged", NULL);
      cc_http_answer (m, SOUP_STATUS_BAD_REQUEST, "text/plain", "");
      return;
    }
  left = p.left - waited_in_buffers (s, now);
  if (s->draining)
    refuse (s, m, p.id, CC_PEER_BUSY, "stopping");
  else if (left <= 0 || cc_hangup_detected (soup_server_message_get_socket (m)))
    refuse (s, m, p.id, CC_PEER_SERVED, "deadline");
  else if (!cc_forward_limit_accept (&s->limit, p.priority, now))
    refuse (s, m, p.id, CC_PEER_BUSY, "busy");
  else
    start_request (s, m, &p, left);
  cc_peer_request_clear (&p);
}

/* Makes SERVER, which listens to peers, accept forwarded requests. */
void
cc_forward_server_add_to (CcForwardServer *s, SoupServer *server)
{
  soup_server_add_early_handler (server, CC_FORWARD_PATH, on_headers, s, NULL);
  soup_server_add_handler (server, CC_FORWARD_PATH, on_request, s, NULL);
}

/* From now on refuses all requests; those in progress go on. */
void
cc_forward_server_drain (CcForwardServer *s)
{
  s->draining = TRUE;
}

/* The number of requests in progress. */
guint
cc_forward_server_pending (const CcForwardServer *s)
{
  return s->pending;
}
