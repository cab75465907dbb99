/* Receives callers' requests, finds their routes, forwards them, and answers
 * with the results.
 *
 * Callers decide by the status code whether a retry is safe.  What they are
 * told is decided in answer_rule.c. */
#include "callers.h"

#include <string.h>
#include <sys/socket.h>

#include "admin.h"
#include "answer_rule.h"
#include "answer_sizes.h"
#include "body_limit.h"
#include "clock.h"
#include "event_log.h"
#include "hangup.h"
#include "headers.h"
#include "metrics.h"
#include "process.h"
#include "request_body.h"
#include "request_stats.h"
#include "server_connection.h"

/* Retry-After while there is no configuration. */
#define STARTING_RETRY (300 * CC_MS)

/* Retry-After of a request that was refused for want of memory is between this
 * and twice this: bodies over slow links take seconds, and those refused at the
 * same time should not return at the same time. */
#define MEMORY_RETRY (500 * CC_MS)

/* Size of the kernel's buffers of a caller's connection while the memory is
 * bounded, bytes; the kernel doubles it for its own use.
 *
 * Failure: the kernel takes up to 4 MB of an answer that its caller does not
 * read, and up to 6 MB of what a caller sends.  Symptom: the memory of the
 * process is exceeded by bytes that it can't count. */
#define SOCKET_BUFFER (32 * 1024)

/* RFC 6585; libsoup has no constant for it. */
#define STATUS_HEADERS_TOO_LARGE 431

struct CcCallers
{
  SoupServer *server;
  CcConnectionTable *connections; /* of SERVER */
  CcForwarder *forwarder;
  CcMemoryBudget *budget;
  CcAnswerSizes *answer_sizes;
  CcRoutes *routes; /* NULL: no configuration yet */
  CcRequestStats *stats;
  guint pending;    /* requests accepted and not answered */
  gint64 quiet_at;  /* while draining, no request is accepted after this, us */
  gint64 stop_at;   /* all must be answered by then, us; 0: not draining */
  gboolean closing; /* each answer closes its connection */
};

/* One request and its connection. */
typedef struct
{
  CcCallers *callers;
  SoupServerMessage *message;
  CcExchange *exchange; /* NULL: finished */
  CcHangup hangup;
  CcCallerInfo caller;
  char *pool;
  char *route;
  gint64 began;
} Request;

/* Returns a server without configuration, which is not listening yet.  F
 * forwards its requests, whose memory is taken from BUDGET. */
CcCallers *
cc_callers_new (CcForwarder *f, CcMemoryBudget *budget)
{
  CcCallers *c = g_new0 (CcCallers, 1);

  c->forwarder = f;
  c->budget = budget;
  c->answer_sizes = cc_answer_sizes_new ();
  c->stats = cc_request_stats_new ();
  c->server = cc_http_server_new ();
  c->connections = cc_http_server_connections (c->server);
  return c;
}

/* Closes the connection after this answer while the process drains or is cut
 * off.  If a further request was already read from it, that one is answered
 * first: its caller can't know that it was not run. */
static void
prepare_answer (CcCallers *c, SoupServerMessage *m)
{
  if ((c->stop_at != 0 || c->closing) && !cc_server_connection_has_next (m))
    soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                  "Connection", "close");
}

/* Returns the body of an answer of the gateway itself, to be freed. */
static char *
reason_body (const char *reason)
{
  return g_strdup_printf ("{\"reason\":\"%s\"}\n", reason);
}

/* Writes RETRY_AFTER, us, as the value of a Retry-After header to TEXT, of
 * G_ASCII_DTOSTR_BUF_SIZE bytes. */
static const char *
retry_after_text (gint64 retry_after, char *text)
{
  return g_ascii_formatd (text, G_ASCII_DTOSTR_BUF_SIZE, "%.3f",
                          (double) retry_after / (double) CC_SECOND);
}

/* Answers M on behalf of the gateway itself. */
static void
answer (CcCallers *c, SoupServerMessage *m, guint status, const char *reason,
        gint64 retry_after)
{
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);
  g_autofree char *body = reason_body (reason);
  char text[G_ASCII_DTOSTR_BUF_SIZE];

  prepare_answer (c, m);
  soup_message_headers_replace (h, CC_HDR_REASON, reason);
  if (retry_after > 0)
    soup_message_headers_replace (h, "Retry-After",
                                  retry_after_text (retry_after, text));
  cc_http_answer (m, status, "application/json", body);
}

/* Whether NAME is a hop-by-hop header, or one that the HTTP library writes
 * itself; a second one would make the message malformed. */
static gboolean
is_connection_header (const char *name)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Transfer-Encoding",
                                       "Content-Length",
                                       "Proxy-Connection",
                                       "Upgrade",
                                       "TE",
                                       "Trailer",
                                       "Date" };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return TRUE;
  return FALSE;
}

/* Answers M with a server's answer. */
static void
forward_answer (CcCallers *c, SoupServerMessage *m, const CcExchangeResult *e)
{
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);
  SoupMessageBody *body = soup_server_message_get_response_body (m);
  CcHeadersIter i;
  const char *name, *value;

  soup_server_message_set_status (m, e->status, NULL);
  cc_headers_iter (&i, e->headers);
  while (cc_headers_next (&i, &name, &value))
    if (!is_connection_header (name))
      soup_message_headers_append (h, name, value);
  prepare_answer (c, m);
  if (g_bytes_get_size (e->body) > 0)
    soup_message_body_append_bytes (body, e->body);
}

/* Logs the result of R.  A request sent to a leaving upstream is logged like a
 * failure, even if it succeeded: such requests are rare, and needed to check
 * whether an upstream was sent requests for too long after it began to leave.
 */
static void
log_result (const Request *r, const CcExchangeResult *e, gint64 took)
{
  static const char *const kinds[] = { "answered", "not-run", "unknown" };
  gboolean succeeded =
      e->kind == CC_EXCHANGE_ANSWERED && e->status < 500 && e->leaving < 0;
  CcEventKind kind = succeeded ? CC_EVENT_SERVED : CC_EVENT_FAILED;

  if (!cc_event_allowed (kind))
    return;
  cc_event (kind, "request-ended", "request", r->caller.id, "route", r->route,
            "pool", r->pool, "outcome", kinds[e->kind], "reason", e->reason,
            "status", cc_event_int (e->status), "target", e->target, "attempts",
            cc_event_int (e->attempts), "connection",
            cc_event_int ((gint64) e->connection), "same_id",
            e->same_id ? "yes" : "no", "took_ms", cc_event_int (took / CC_MS),
            "allowed_ms", cc_event_int (r->caller.left / CC_MS), "key",
            cc_event_int (r->caller.key), "waiting", cc_event_int (e->waiting),
            "inside", cc_event_int ((gint64) e->inside), "expected_ms",
            cc_event_int (e->expected / CC_MS), "waited_ms",
            cc_event_int (e->waited / CC_MS), "server_ms",
            cc_event_int (e->served / CC_MS), "leaving_ms",
            cc_event_int (e->leaving < 0 ? -1 : e->leaving / CC_MS), "peer",
            e->peer, NULL);
}

/* Counts R, which ended as END after TOOK us.  E is its result, or NULL if the
 * caller disconnected first. */
static void
count_request (const Request *r, CcCountedEnd end, const CcExchangeResult *e,
               gint64 took)
{
  CcRequestRecord record = {
    .end = end, .cause = "", .took = took, .leaving = -1
  };

  record.left = r->caller.left < 0 ? -1 : MAX (r->caller.left - took, 0);
  if (e != NULL)
    {
      record.cause = e->reason;
      record.attempts = e->attempts;
      record.waited = e->waited;
      record.served = e->served;
      record.leaving = e->leaving;
    }
  cc_request_stats_count (r->callers->stats, r->route, &record);
}

/* The exchange of R has ended: counts, logs and answers it. */
static void
on_result (const CcExchangeResult *e, gpointer data)
{
  static const CcCountedEnd counted_ends[] = {
    [CC_EXCHANGE_ANSWERED] = CC_COUNT_ANSWERED,
    [CC_EXCHANGE_NOT_RUN] = CC_COUNT_NOT_RUN,
    [CC_EXCHANGE_UNKNOWN] = CC_COUNT_UNKNOWN,
  };
  Request *r = data;
  CcCallers *c = r->callers;
  CcToldAnswer told = cc_told_answer (e);
  gint64 took = cc_clock_now () - r->began;

  r->exchange = NULL;
  cc_hangup_stop (&r->hangup);
  cc_request_body_answered (r->message);
  log_result (r, e, took);
  count_request (r, counted_ends[e->kind], e, took);
  if (told.passed_on)
    {
      cc_answer_sizes_add (c->answer_sizes, r->route,
                           g_bytes_get_size (e->body));
      forward_answer (c, r->message, e);
    }
  else
    answer (c, r->message, told.status, told.reason, told.retry_after);
  soup_server_message_unpause (r->message);
}

/* The message of R is finished or was aborted: frees R. */
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
  r->callers->pending--;
  cc_caller_info_clear (&r->caller);
  g_free (r->pool);
  g_free (r->route);
  g_free (r);
}

/* The caller closed its connection.  The answer only finishes the message and
 * is not read. */
static void
on_caller_gone (gpointer data)
{
  Request *r = data;
  CcCallers *c = r->callers;
  gint64 took = cc_clock_now () - r->began;

  if (r->exchange != NULL)
    cc_exchange_cancel (r->exchange);
  r->exchange = NULL;
  count_request (r, CC_COUNT_GONE, NULL, took);
  cc_event (CC_EVENT_FAILED, "caller-gone", "request", r->caller.id, "pool",
            r->pool, "took_ms", cc_event_int (took / CC_MS), NULL);
  answer (c, r->message, SOUP_STATUS_BAD_GATEWAY, "cancelled", 0);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (r->message), "Connection",
      "close");
  soup_server_message_unpause (r->message);
}

/* Whether the header NAME of M is forwarded to a server.
 *
 * Failure: libsoup accepts names that are none.  Symptom: a server that skips
 * the control character in one takes it for the length of the body, and the
 * rest of that for another request. */
static gboolean
is_forwarded (SoupServerMessage *m, const char *name)
{
  if (is_connection_header (name) || !cc_edge_forwards_header (name) ||
      g_ascii_strcasecmp (name, "Expect") == 0)
    return FALSE;
  if (cc_header_name_is_valid (name))
    return TRUE;
  cc_event (CC_EVENT_FAILED, "header-malformed", "caller",
            soup_server_message_get_remote_host (m), NULL);
  return FALSE;
}

/* The headers of M that are forwarded to a server, each line with CRLF. */
static char *
forwarded_headers (SoupServerMessage *m)
{
  GString *s = g_string_new (NULL);
  SoupMessageHeadersIter i;
  const char *name, *value;

  soup_message_headers_iter_init (&i,
                                  soup_server_message_get_request_headers (m));
  while (soup_message_headers_iter_next (&i, &name, &value))
    if (is_forwarded (m, name))
      g_string_append_printf (s, "%s: %s\r\n", name, value);
  return g_string_free (s, FALSE);
}

/* Starts to forward M to POOL and takes over the contents of INFO. */
static void
start_request (CcCallers *c, SoupServerMessage *m, CcRoute *route,
               const char *pool, CcCallerInfo *info)
{
  const CcRoutePool *pool_config = cc_routes_pool (c->routes, pool);
  g_autofree char *headers = forwarded_headers (m);
  g_autofree char *path = cc_http_target (m);
  g_autoptr (GBytes) body = cc_request_body_take (m);
  Request *r = g_new0 (Request, 1);
  CcExchangeRequest start = { .route = route,
                              .pool = pool,
                              .keyed =
                                  pool_config != NULL && pool_config->keyed,
                              .caller = &r->caller,
                              .method = soup_server_message_get_method (m),
                              .path = path,
                              .headers = headers,
                              .body = body,
                              .earns_budget = TRUE };

  r->callers = c;
  r->message = g_object_ref (m);
  r->caller = *info;
  *info = (CcCallerInfo){ 0 };
  r->pool = g_strdup (pool);
  r->route = g_strdup (route->name);
  r->began = cc_clock_now ();
  c->pending++;
  g_signal_connect (m, "finished", G_CALLBACK (on_finished), r);
  soup_server_message_pause (m);
  r->exchange = cc_exchange_begin (c->forwarder, &start, on_result, r);
  if (r->exchange != NULL)
    cc_hangup_watch (&r->hangup, soup_server_message_get_socket (m),
                     on_caller_gone, r);
}

/* An answer to a request that is refused without being sent to a pool. */
typedef struct
{
  guint status;
  const char *reason;
  gint64 retry_after; /* us; 0: no Retry-After */
} Refusal;

static const Refusal no_configuration = { SOUP_STATUS_SERVICE_UNAVAILABLE,
                                          "no-configuration", STARTING_RETRY };
static const Refusal no_route = { SOUP_STATUS_NOT_FOUND, "no-route", 0 };
static const Refusal large_headers = { STATUS_HEADERS_TOO_LARGE,
                                       "headers-too-large", 0 };
static const Refusal cancelled = { SOUP_STATUS_BAD_GATEWAY, "cancelled", 0 };
static const Refusal stopping = { SOUP_STATUS_SERVICE_UNAVAILABLE, "stopping",
                                  CC_STOPPING_RETRY };
static const Refusal no_connections = { SOUP_STATUS_SERVICE_UNAVAILABLE,
                                        "connections", STARTING_RETRY };
static const Refusal no_pool = { SOUP_STATUS_SERVICE_UNAVAILABLE, "no-pool",
                                 STARTING_RETRY };

/* Logs and counts that M is refused for WHY.  INFO is from its headers; ROUTE
 * may be NULL. */
static void
record_refusal (const CcCallers *c, SoupServerMessage *m, const Refusal *why,
                const CcCallerInfo *info, const CcRoute *route)
{
  CcRequestRecord record = { .end = CC_COUNT_NOT_RUN,
                             .cause = why->reason,
                             .left = info->left };

  cc_event (CC_EVENT_FAILED, "request-refused", "request", info->id, "reason",
            why->reason, "status", cc_event_int (why->status), "path",
            g_uri_get_path (soup_server_message_get_uri (m)), "route",
            route != NULL ? route->name : "", "configuration",
            cc_event_int (c->routes != NULL ? c->routes->version : 0), NULL);
  cc_request_stats_count (c->stats, route != NULL ? route->name : "", &record);
}

/* Refuses M with the answer WHY.  INFO is from its headers; ROUTE may be NULL.
 */
static void
refuse (CcCallers *c, SoupServerMessage *m, const Refusal *why,
        const CcCallerInfo *info, const CcRoute *route)
{
  record_refusal (c, m, why, info, route);
  answer (c, m, why->status, why->reason, why->retry_after);
}

/* The size of M's headers as received, without spaces around the values, bytes.
 */
static gsize
headers_size (SoupServerMessage *m)
{
  SoupMessageHeadersIter i;
  const char *name, *value;
  gsize size = 0;

  soup_message_headers_iter_init (&i,
                                  soup_server_message_get_request_headers (m));
  while (soup_message_headers_iter_next (&i, &name, &value))
    size += strlen (name) + strlen (value) + strlen (": \r\n");
  return size;
}

/* The largest size of request headers: as configured, or the default while
 * there is no configuration, bytes. */
static gsize
headers_max (const CcCallers *c)
{
  return c->routes != NULL ? c->routes->limits.headers_max : CC_HEADERS_MAX;
}

/* Whether a request on ROUTE to POOL could still be running when the process
 * exits.  Its outcome would be unknown then; refused now, it is served by
 * another instance.
 *
 * As long as the load balancer may send new connections here, there is time
 * for most requests. */
static gboolean
cannot_finish_in_time (const CcCallers *c, const CcRoute *route,
                       const char *pool, const CcCallerInfo *info)
{
  gint64 need = MIN (route->timeout,
                     cc_forwarder_longest_time (c->forwarder, pool, route));

  if (info->left >= 0)
    need = MIN (need, info->left);
  return c->stop_at != 0 && cc_clock_now () + need > c->stop_at;
}

/* Whether a draining process refuses all requests.  It does once no new
 * connections are expected: the estimate of a request's duration does not
 * include its time in queues, so even a short one might not finish before the
 * process exits. */
gboolean
cc_callers_rejects_all (const CcCallers *c)
{
  return c->stop_at != 0 && cc_clock_now () >= c->quiet_at;
}

/* Returns the route of M, or NULL. */
static CcRoute *
route_of (const CcCallers *c, SoupServerMessage *m)
{
  const char *host = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), "Host");

  if (c->routes == NULL || host == NULL)
    return NULL;
  return cc_routes_find (c->routes, host,
                         g_uri_get_path (soup_server_message_get_uri (m)));
}

/* Reads the headers of M into INFO, which the caller clears. */
static void
read_caller (SoupServerMessage *m, CcCallerInfo *info)
{
  cc_edge_read_caller (soup_server_message_get_request_headers (m), info);
  info->address = g_strdup (soup_server_message_get_remote_host (m));
}

/* Returns the priority of requests on ROUTE; without a route they are the least
 * urgent. */
static guint
priority_of (const CcRoute *route)
{
  return route != NULL ? route->priority : G_MAXUINT;
}

/* Returns the refusal of a request on ROUTE for want of memory, and counts it
 * by its priority. */
static Refusal
no_memory (const CcRoute *route)
{
  g_autofree char *label =
      route != NULL ? g_strdup_printf ("priority=\"%u\"", route->priority)
                    : g_strdup ("priority=\"none\"");
  gint64 retry = (gint64) ((1.0 + g_random_double ()) * (double) MEMORY_RETRY);

  ++*cc_metrics_counter ("capercrank_refused_for_memory", label);
  return (Refusal){ SOUP_STATUS_SERVICE_UNAVAILABLE, "memory", retry };
}

/* Refuses M, whose body can't be held, at once, and closes its connection. */
static void
on_no_memory (SoupServerMessage *m, gpointer data)
{
  CcCallers *c = data;
  const CcRoute *route = route_of (c, m);
  Refusal why = no_memory (route);
  char retry_after[G_ASCII_DTOSTR_BUF_SIZE];
  g_autofree char *headers =
      g_strdup_printf (CC_HDR_REASON ": %s\r\nRetry-After: %s\r\n", why.reason,
                       retry_after_text (why.retry_after, retry_after));
  g_autofree char *body = reason_body (why.reason);
  CcBodyRefusal refusal = { .status = "503 Service Unavailable",
                            .headers = headers,
                            .body = body };
  CcCallerInfo info = { 0 };

  read_caller (m, &info);
  record_refusal (c, m, &why, &info, route);
  cc_body_refuse (m, &refusal);
  cc_caller_info_clear (&info);
}

/* Refuses M on ROUTE for want of memory, and keeps its connection. */
static void
refuse_for_memory (CcCallers *c, SoupServerMessage *m, const CcCallerInfo *info,
                   const CcRoute *route)
{
  Refusal why = no_memory (route);

  refuse (c, m, &why, info, route);
}

/* Whether the connection of M is one too many. */
static gboolean
is_surplus (const CcCallers *c, SoupServerMessage *m)
{
  CcConnection *connection = cc_server_connection_of (m);

  return connection != NULL &&
         cc_connection_is_surplus (c->connections, connection);
}

/* Refuses M on ROUTE, whose connection is one too many, and closes that. */
static void
refuse_connection (CcCallers *c, SoupServerMessage *m, const CcCallerInfo *info,
                   const CcRoute *route)
{
  refuse (c, m, &no_connections, info, route);
  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                "Connection", "close");
}

static void
on_request (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  CcCallers *c = data;
  CcCallerInfo info = { 0 };
  CcRoute *route;
  const char *pool;

  (void) server, (void) path, (void) query;
  if (cc_body_is_refused (m))
    return;
  read_caller (m, &info);
  route = route_of (c, m);
  if (cc_callers_rejects_all (c))
    refuse (c, m, &stopping, &info, route);
  else if (is_surplus (c, m))
    refuse_connection (c, m, &info, route);
  else if (headers_size (m) > headers_max (c))
    refuse (c, m, &large_headers, &info, route);
  else if (c->routes == NULL)
    refuse (c, m, &no_configuration, &info, NULL);
  else if (route == NULL)
    refuse (c, m, &no_route, &info, NULL);
  else if (cc_hangup_detected (soup_server_message_get_socket (m)))
    refuse (c, m, &cancelled, &info, route);
  else if (cc_request_body_has_no_memory (m))
    refuse_for_memory (c, m, &info, route);
  else if ((pool = cc_route_next_pool (route)) == NULL)
    refuse (c, m, &no_pool, &info, route);
  else if (cannot_finish_in_time (c, route, pool, &info))
    refuse (c, m, &stopping, &info, route);
  else
    start_request (c, m, route, pool, &info);
  cc_caller_info_clear (&info);
}

static void
on_headers (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  CcCallers *c = data;
  const CcRoute *route = route_of (c, m);
  CcRequestBodySetup setup = {
    .budget = c->budget,
    .priority = priority_of (route),
    .max = c->routes != NULL ? c->routes->limits.body_max : CC_BODY_MAX,
    .answer = route != NULL
                  ? cc_answer_sizes_expected (c->answer_sizes, route->name)
                  : 0,
    .no_memory = on_no_memory,
    .data = c
  };

  (void) server, (void) path, (void) query;
  cc_request_body_collect (m, &setup);
}

/* The answer to M begins.  Logs M if libsoup has refused it: its headers are
 * not valid, or are the surplus of a body that is longer than announced. */
static void
on_answer_begins (SoupServerMessage *m, gpointer data)
{
  (void) data;
  if (cc_request_body_is_collected (m) ||
      soup_server_message_get_status (m) != SOUP_STATUS_BAD_REQUEST)
    return;
  ++*cc_metrics_counter ("capercrank_malformed_requests", "");
  cc_event (CC_EVENT_FAILED, "request-malformed", "caller",
            soup_server_message_get_remote_host (m), NULL);
}

/* Observes M by itself: libsoup ends a message that it has refused without
 * "request-finished". */
static void
on_message_started (SoupServer *server, SoupServerMessage *m, gpointer data)
{
  (void) server, (void) data;
  g_signal_connect (m, "wrote-headers", G_CALLBACK (on_answer_begins), NULL);
}

/* Bounds the kernel's buffers of the connections that C accepts, which inherit
 * the options of the listening sockets. */
static void
bound_socket_buffers (CcCallers *c)
{
  GSList *all = soup_server_get_listeners (c->server);

  for (GSList *i = all; i != NULL; i = i->next)
    {
      g_socket_set_option (i->data, SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER, NULL);
      g_socket_set_option (i->data, SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER, NULL);
    }
  g_slist_free (all);
}

/* Listens at ADDRESS (IP:PORT).  On failure returns FALSE and sets *MESSAGE, to
 * be freed by the caller. */
gboolean
cc_callers_listen (CcCallers *c, const char *address, char **message)
{
  cc_connection_table_set_bound (c->connections, cc_process_descriptors_max ());
  soup_server_add_early_handler (c->server, NULL, on_headers, c, NULL);
  soup_server_add_handler (c->server, NULL, on_request, c, NULL);
  g_signal_connect (c->server, "request-started",
                    G_CALLBACK (on_message_started), NULL);
  if (!cc_http_listen (c->server, address, message))
    return FALSE;
  if (cc_memory_budget_is_bounded (c->budget))
    bound_socket_buffers (c);
  return TRUE;
}

/* Applies the configuration ROUTES and takes ownership of it. */
void
cc_callers_configure (CcCallers *c, CcRoutes *routes)
{
  cc_routes_free (c->routes);
  c->routes = routes;
  cc_connection_table_set_timeouts (c->connections, routes->limits.idle_timeout,
                                    routes->limits.headers_timeout);
}

/* The current configuration, or NULL. */
const CcRoutes *
cc_callers_routes (const CcCallers *c)
{
  return c->routes;
}

/* While CLOSING, each answer closes its connection, so that the load balancer
 * can send the caller to another instance. */
void
cc_callers_set_closing (CcCallers *c, gboolean closing)
{
  c->closing = closing;
}

/* Starts to drain: from now on each answer closes its connection.  The load
 * balancer sends no new connections from QUIET_AT on, and the process exits at
 * STOP_AT; both are us of cc_clock_now. */
void
cc_callers_drain (CcCallers *c, gint64 quiet_at, gint64 stop_at)
{
  c->quiet_at = quiet_at;
  c->stop_at = stop_at;
}

/* Closes the listening socket and idle connections. */
void
cc_callers_close (CcCallers *c)
{
  soup_server_disconnect (c->server);
}

/* The number of requests accepted and not answered. */
guint
cc_callers_pending (const CcCallers *c)
{
  return c->pending;
}

/* The connections of callers. */
const CcConnectionTable *
cc_callers_connections (const CcCallers *c)
{
  return c->connections;
}
