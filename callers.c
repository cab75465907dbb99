/* Takes requests in, finds their route, and hands the ends back as answers.
 *
 * Status codes are promises here: 429 and 503 are only used for what no server
 * has run and none will; 502 and 504 promise nothing. */
#include "callers.h"

#include <string.h>

#include "admin.h"
#include "body_limit.h"
#include "clock.h"
#include "event_log.h"
#include "hangup.h"
#include "headers.h"
#include "request_stats.h"

/* When to come back while no configuration is known. */
#define STARTING_RETRY (300 * CC_MS)

/* When a caller that met a stopping process may come back: it reaches another
 * at once. */
#define STOPPING_RETRY (20 * CC_MS)

/* RFC 6585; libsoup has no name for it. */
#define STATUS_HEADERS_TOO_LARGE 431

struct CcCallers
{
  SoupServer *server;
  CcForwarder *forwarder;
  CcRoutes *routes; /* in force; NULL: none known yet */
  CcRequestStats *stats;
  guint pending;   /* requests taken in and not answered */
  gint64 quiet_at; /* while draining, nothing is taken from then on, us */
  gint64 stop_at;  /* all must be answered by then, us; 0: not draining */
  gboolean away;   /* callers are better off elsewhere */
};

/* One request and its connection. */
typedef struct
{
  CcCallers *callers;
  SoupServerMessage *message;
  CcExchange *exchange; /* NULL: ended */
  CcHangup hangup;
  CcCallerInfo caller;
  char *pool;
  char *route;
  gint64 began;
} Request;

/* Callers of requests that F forwards. */
CcCallers *
cc_callers_new (CcForwarder *f)
{
  CcCallers *c = g_new0 (CcCallers, 1);

  c->forwarder = f;
  c->stats = cc_request_stats_new ();
  return c;
}

static void
prepare_answer (CcCallers *c, SoupServerMessage *m)
{
  if (c->stop_at != 0 || c->away)
    soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                  "Connection", "close");
}

/* An answer of our own. */
static void
answer (CcCallers *c, SoupServerMessage *m, guint status, const char *reason,
        gint64 retry_after)
{
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);
  g_autofree char *body = g_strdup_printf ("{\"reason\":\"%s\"}\n", reason);

  prepare_answer (c, m);
  soup_message_headers_replace (h, CC_HDR_REASON, reason);
  if (retry_after > 0)
    {
      char text[G_ASCII_DTOSTR_BUF_SIZE];

      g_ascii_formatd (text, sizeof text, "%.3f",
                       (double) retry_after / (double) CC_SECOND);
      soup_message_headers_replace (h, "Retry-After", text);
    }
  cc_http_answer (m, status, "application/json", body);
}

/* Headers of a server's answer that concern its connection, or that the HTTP
 * library writes itself: two of them would be malformed. */
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

static void
hand_on (CcCallers *c, SoupServerMessage *m, const CcEnd *e)
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

/* What went to an upstream that leaves is rare, and the first thing to look at
 * when that upstream is said to have been sent to for too long; so its lines
 * are not left out with those of what went well. */
static void
log_end (const Request *r, const CcEnd *e, gint64 took)
{
  static const char *const kinds[] = { "answered", "not-run", "unknown" };
  gboolean well = e->kind == CC_END_ANSWER && e->status < 500 && e->leaving < 0;
  CcEventKind kind = well ? CC_EVENT_SERVED : CC_EVENT_FAILED;

  if (!cc_event_may (kind))
    return;
  cc_event (kind, "request-ended", "request", r->caller.id, "route", r->route,
            "pool", r->pool, "outcome", kinds[e->kind], "reason", e->reason,
            "status", cc_event_int (e->status), "target", e->target, "attempts",
            cc_event_int (e->attempts), "took_ms", cc_event_int (took / CC_MS),
            "allowed_ms", cc_event_int (r->caller.left / CC_MS), "key",
            cc_event_int (r->caller.key), "waiting", cc_event_int (e->waiting),
            "inside", cc_event_int ((gint64) e->inside), "expected_ms",
            cc_event_int (e->expected / CC_MS), "waited_ms",
            cc_event_int (e->waited / CC_MS), "server_ms",
            cc_event_int (e->served / CC_MS), "leaving_ms",
            cc_event_int (e->leaving < 0 ? -1 : e->leaving / CC_MS), NULL);
}

/* Counts R, which ended as END after TOOK us; E says how, NULL if its caller
 * left before. */
static void
count (const Request *r, CcCountedEnd end, const CcEnd *e, gint64 took)
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

static void
on_end (const CcEnd *e, gpointer data)
{
  Request *r = data;
  CcCallers *c = r->callers;
  gint64 took = cc_clock_now () - r->began;

  r->exchange = NULL;
  cc_hangup_stop (&r->hangup);
  log_end (r, e, took);
  switch (e->kind)
    {
    case CC_END_ANSWER:
      count (r, CC_COUNT_ANSWERED, e, took);
      hand_on (c, r->message, e);
      break;
    case CC_END_NOT_RUN:
      count (r, CC_COUNT_NOT_RUN, e, took);
      answer (c, r->message, SOUP_STATUS_SERVICE_UNAVAILABLE, e->reason,
              e->retry_after);
      break;
    case CC_END_UNKNOWN:
      count (r, CC_COUNT_UNKNOWN, e, took);
      answer (c, r->message,
              g_str_equal (e->reason, "deadline") ? SOUP_STATUS_GATEWAY_TIMEOUT
                                                  : SOUP_STATUS_BAD_GATEWAY,
              e->reason, 0);
      break;
    }
  soup_server_message_unpause (r->message);
}

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

/* The caller closed: nobody reads the answer that ends the message. */
static void
on_gone (gpointer data)
{
  Request *r = data;
  CcCallers *c = r->callers;
  gint64 took = cc_clock_now () - r->began;

  if (r->exchange != NULL)
    cc_exchange_cancel (r->exchange);
  r->exchange = NULL;
  count (r, CC_COUNT_GONE, NULL, took);
  cc_event (CC_EVENT_FAILED, "caller-gone", "request", r->caller.id, "pool",
            r->pool, "took_ms", cc_event_int (took / CC_MS), NULL);
  answer (c, r->message, SOUP_STATUS_BAD_GATEWAY, "cancelled", 0);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (r->message), "Connection",
      "close");
  soup_server_message_unpause (r->message);
}

/* The headers of M that go on to a server, each line with CRLF. */
static char *
headers_of (SoupServerMessage *m)
{
  GString *s = g_string_new (NULL);
  SoupMessageHeadersIter i;
  const char *name, *value;

  soup_message_headers_iter_init (&i,
                                  soup_server_message_get_request_headers (m));
  while (soup_message_headers_iter_next (&i, &name, &value))
    if (!is_connection_header (name) && cc_edge_forwards_header (name) &&
        g_ascii_strcasecmp (name, "Expect") != 0)
      g_string_append_printf (s, "%s: %s\r\n", name, value);
  return g_string_free (s, FALSE);
}

static void
begin (CcCallers *c, SoupServerMessage *m, CcRoute *route, const char *pool,
       CcCallerInfo *info)
{
  const CcRoutePool *described = cc_routes_pool (c->routes, pool);
  g_autofree char *headers = headers_of (m);
  g_autofree char *path = cc_http_target (m);
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  Request *r = g_new0 (Request, 1);
  CcExchangeStart start = { .route = route,
                            .pool = pool,
                            .keyed = described != NULL && described->keyed,
                            .caller = &r->caller,
                            .method = soup_server_message_get_method (m),
                            .path = path,
                            .headers = headers,
                            .body = body };

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
  r->exchange = cc_exchange_begin (c->forwarder, &start, on_end, r);
  if (r->exchange != NULL)
    cc_hangup_watch (&r->hangup, soup_server_message_get_socket (m), on_gone,
                     r);
}

/* An answer to a request that is sent to no pool. */
typedef struct
{
  guint status;
  const char *reason;
  gint64 retry_after; /* us; 0: not to come back */
} Refusal;

static const Refusal no_configuration = { SOUP_STATUS_SERVICE_UNAVAILABLE,
                                          "no-configuration", STARTING_RETRY };
static const Refusal no_route = { SOUP_STATUS_NOT_FOUND, "no-route", 0 };
static const Refusal large_headers = { STATUS_HEADERS_TOO_LARGE,
                                       "headers-too-large", 0 };
static const Refusal cancelled = { SOUP_STATUS_BAD_GATEWAY, "cancelled", 0 };
static const Refusal stopping = { SOUP_STATUS_SERVICE_UNAVAILABLE, "stopping",
                                  STOPPING_RETRY };
static const Refusal no_pool = { SOUP_STATUS_SERVICE_UNAVAILABLE, "no-pool",
                                 STARTING_RETRY };

/* Answers M, a request of INFO on ROUTE (NULL: none), with WHY. */
static void
refuse (CcCallers *c, SoupServerMessage *m, const Refusal *why,
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
  answer (c, m, why->status, why->reason, why->retry_after);
}

/* Bytes of M's headers as they came, but for spaces around the values. */
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

/* What the configuration, or the default before the first, allows. */
static gsize
headers_max (const CcCallers *c)
{
  return c->routes != NULL ? c->routes->limits.headers_max : CC_HEADERS_MAX;
}

/* Whether a request of INFO on ROUTE to POOL could still be at work when the
 * process ends.  Broken off then, nobody would know whether it ran; told now,
 * its caller is answered by another instance.
 *
 * While the balancer may still send callers here there is time for most. */
static gboolean
comes_too_late (const CcCallers *c, const CcRoute *route, const char *pool,
                const CcCallerInfo *info)
{
  gint64 need =
      MIN (route->timeout, cc_forwarder_longest (c->forwarder, pool, route));

  if (info->left >= 0)
    need = MIN (need, info->left);
  return c->stop_at != 0 && cc_clock_now () + need > c->stop_at;
}

/* Whether the process is so near its end that no request is taken.  What one
 * may take is known without the time for which it waits, so when only callers
 * with kept connections come, none is. */
gboolean
cc_callers_rejects_all (const CcCallers *c)
{
  return c->stop_at != 0 && cc_clock_now () >= c->quiet_at;
}

static void
on_request (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  CcCallers *c = data;
  SoupMessageHeaders *h = soup_server_message_get_request_headers (m);
  const char *host = soup_message_headers_get_one (h, "Host");
  CcCallerInfo info = { 0 };
  CcRoute *route = NULL;
  const char *pool;

  (void) server, (void) path, (void) query;
  if (cc_body_is_refused (m))
    return;
  cc_edge_read_caller (h, &info);
  if (c->routes != NULL && host != NULL)
    route = cc_routes_find (c->routes, host,
                            g_uri_get_path (soup_server_message_get_uri (m)));
  if (cc_callers_rejects_all (c))
    refuse (c, m, &stopping, &info, route);
  else if (headers_size (m) > headers_max (c))
    refuse (c, m, &large_headers, &info, route);
  else if (c->routes == NULL)
    refuse (c, m, &no_configuration, &info, NULL);
  else if (route == NULL)
    refuse (c, m, &no_route, &info, NULL);
  else if (cc_hangup_has (soup_server_message_get_socket (m)))
    refuse (c, m, &cancelled, &info, route);
  else if ((pool = cc_route_next_pool (route)) == NULL)
    refuse (c, m, &no_pool, &info, route);
  else if (comes_too_late (c, route, pool, &info))
    refuse (c, m, &stopping, &info, route);
  else
    begin (c, m, route, pool, &info);
  cc_caller_info_clear (&info);
}

static void
on_headers (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  CcCallers *c = data;

  (void) server, (void) path, (void) query;
  cc_body_limit (m,
                 c->routes != NULL ? c->routes->limits.body_max : CC_BODY_MAX);
}

/* Listens at ADDRESS (IP:PORT).  FALSE with *MESSAGE, to be freed, if it
 * can't. */
gboolean
cc_callers_listen (CcCallers *c, const char *address, char **message)
{
  c->server = cc_http_server_new ();
  soup_server_add_early_handler (c->server, NULL, on_headers, c, NULL);
  soup_server_add_handler (c->server, NULL, on_request, c, NULL);
  return cc_http_listen (c->server, address, message);
}

/* ROUTES, which is taken over, are in force from now on. */
void
cc_callers_configure (CcCallers *c, CcRoutes *routes)
{
  cc_routes_free (c->routes);
  c->routes = routes;
}

/* The routes in force, or NULL. */
const CcRoutes *
cc_callers_routes (const CcCallers *c)
{
  return c->routes;
}

/* While AWAY, each answer ends its connection, so that callers whose balancer
 * knows better go elsewhere. */
void
cc_callers_send_away (CcCallers *c, gboolean away)
{
  c->away = away;
}

/* The process ends at STOP_AT, and the balancer sends no new callers from
 * QUIET_AT on, us of cc_clock_now.  From now on each answer ends its
 * connection, so that callers go elsewhere. */
void
cc_callers_drain (CcCallers *c, gint64 quiet_at, gint64 stop_at)
{
  c->quiet_at = quiet_at;
  c->stop_at = stop_at;
}

/* Closes the listening socket and what is idle. */
void
cc_callers_close (CcCallers *c)
{
  soup_server_disconnect (c->server);
}

/* Requests that were taken in and not answered. */
guint
cc_callers_pending (const CcCallers *c)
{
  return c->pending;
}
