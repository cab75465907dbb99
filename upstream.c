/* HTTP client for the servers.
 *
 * Requests go through http_link.c.  libsoup's client takes an answer that ends
 * early for a whole one: within the head always, within a body in chunks at the
 * end of a chunk, and anywhere in a body if the connection is to be closed.  It
 * also retries GET, PUT and DELETE on its own if a reused connection closes
 * after the request was received.
 *
 * Whether a request is once-only is decided by its class, not its method, so
 * each once-only attempt opens a new connection (1 ms at the servers).  The
 * handshake also proves that the path works, while a pooled connection may be
 * silent.
 *
 * Servers should copy the run id to their answers: a late second answer to an
 * attempt is told by it from the answer to the next one on its connection.  One
 * without it is taken as it comes, so it may be that of another idempotent
 * request. */
#include "upstream.h"

#include <string.h>

#include <libsoup/soup.h>

#include "admin.h"
#include "clock.h"
#include "headers.h"
#include "http_link.h"
#include "settings.h"

#define HEADERS_SIZE_HINT 512       /* bytes; the buffer grows if needed */
#define GRANT_TIMEOUT (600 * CC_MS) /* below CC_SERVER_SUSPECT */
#define IDLE_MAX (10 * CC_SECOND)   /* of a pooled connection */
/* Attempts are cancelled at their deadline, so that this ends none. */
#define ATTEMPT_TIMEOUT (3600 * CC_SECOND)

struct CcUpstream
{
  CcHttp *http;    /* for attempts */
  CcHttp *control; /* for grants and probes */
};

struct CcAttempt
{
  CcHttpCall *call;   /* NULL: it ends without one */
  CcAttemptEnd ended; /* how it ends then */
  CcAttemptDone done;
  gpointer data;
};

typedef struct
{
  guint64 serial;
  gint64 sent;
  CcGrantDone done;
  gpointer data;
} ControlCall;

/* Returns a client with its own connection pools, which connects from the IP of
 * SOURCE (IP:PORT). */
CcUpstream *
cc_upstream_new (const char *source)
{
  CcUpstream *u = g_new0 (CcUpstream, 1);
  g_autofree char *ip = NULL;

  cc_address_parse (source, &ip, NULL);
  u->http = cc_http_new (ip);
  u->control = cc_http_new (ip);
  return u;
}

/* Makes later attempts at ADDRESS use new connections. */
void
cc_upstream_drop_pool (CcUpstream *u, const char *address)
{
  cc_http_close_idle (u->http, address);
}

/* Whether header NAME is forwarded end to end.  Hop-by-hop headers and those
 * that this client sets are not. */
static gboolean
is_forwarded (const char *name)
{
  static const char *const not_forwarded[] = { "Connection",
                                               "Content-Length",
                                               "Keep-Alive",
                                               "Transfer-Encoding",
                                               "Upgrade",
                                               "Host",
                                               "Te",
                                               "Trailer",
                                               "Proxy-Connection",
                                               "Expect",
                                               CC_HDR_OUTCOME,
                                               CC_HDR_RUN_ID,
                                               NULL };

  for (guint i = 0; not_forwarded[i] != NULL; i++)
    if (g_ascii_strcasecmp (name, not_forwarded[i]) == 0)
      return FALSE;
  return TRUE;
}

/* Whether TEXT may stand in a request line. */
static gboolean
is_word (const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c))
      return FALSE;
  return *text != '\0';
}

/* Appends the caller's headers to HEAD, and those by which the server checks
 * its grant and the deadline. */
static void
add_headers (GString *head, const CcUpstreamRequest *request)
{
  CcHeadersIter iter;
  const char *name, *value;

  cc_headers_iter (&iter, request->headers);
  while (cc_headers_next (&iter, &name, &value))
    if (is_forwarded (name) && strpbrk (value, "\r\n") == NULL)
      g_string_append_printf (head, "%s: %s\r\n", name, value);
  g_string_append_printf (head,
                          CC_HDR_TERM
                          ": %" G_GUINT64_FORMAT "\r\n" CC_HDR_SLICE
                          ": %u\r\n" CC_HDR_EPOCH ": %" G_GUINT64_FORMAT
                          "\r\n" CC_HDR_DEADLINE ": %" G_GINT64_FORMAT
                          "\r\n" CC_HDR_RUN_ID ": %s\r\n",
                          request->term, request->slice, request->epoch,
                          request->deadline / CC_MS, request->run_id);
}

/* Returns the head of REQUEST without its length; NULL: it can't be expressed
 * in HTTP. */
static char *
head_of (const CcUpstreamRequest *request)
{
  GString *head;

  if (!is_word (request->method) || !is_word (request->path) ||
      request->path[0] != '/')
    return NULL;
  head = g_string_sized_new (HEADERS_SIZE_HINT);
  g_string_append_printf (head, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                          request->method, request->path, request->address);
  add_headers (head, request);
  return g_string_free (head, FALSE);
}

/* Returns the headers of the answer R to forward, packed. */
static GVariant *
collect_headers (const CcHttpResult *r)
{
  CcHeadersIter iter;
  const char *name, *value;
  GString *packed = g_string_sized_new (HEADERS_SIZE_HINT);

  cc_headers_iter (&iter, r->headers);
  while (cc_headers_next (&iter, &name, &value))
    if (is_forwarded (name) && g_utf8_validate (value, -1, NULL))
      cc_headers_add (packed, name, value);
  return cc_headers_take (packed);
}

/* Classifies the answer R.  Only a server that reports not-run counts as not
 * having run the request. */
static CcAttemptEnd
classify (const CcHttpResult *r)
{
  const char *outcome = cc_http_header (r, CC_HDR_OUTCOME);

  if (outcome == NULL || !g_str_equal (outcome, "not-run"))
    return CC_ATTEMPT_ANSWERED;
  if (r->status == SOUP_STATUS_PRECONDITION_FAILED)
    return CC_ATTEMPT_FENCED;
  return CC_ATTEMPT_SHED;
}

/* Ends an attempt.  An answer that failed or is too large counts as lost if
 * anything was sent. */
static void
on_answer (const CcHttpResult *answer, gpointer data)
{
  g_autofree CcAttempt *a = data;
  CcAttemptResult r = { .end = CC_ATTEMPT_LOST };
  g_autoptr (GVariant) headers = NULL;

  if (answer->end == CC_HTTP_UNSENT || answer->end == CC_HTTP_WITHDRAWN)
    r.end = CC_ATTEMPT_UNSENT;
  else if (answer->end == CC_HTTP_ANSWERED &&
           g_bytes_get_size (answer->body) <= CC_BODY_MAX)
    {
      r.end = classify (answer);
      r.status = answer->status;
      r.headers = headers = collect_headers (answer);
      r.body = answer->body;
    }
  a->done (&r, a->data);
}

/* Whether METHOD may use a pooled connection. */
static gboolean
may_use_pool (const char *method)
{
  return g_str_equal (method, "GET") || g_str_equal (method, "HEAD") ||
         g_str_equal (method, "PUT") || g_str_equal (method, "DELETE");
}

static gboolean
on_without_call (gpointer data)
{
  g_autofree CcAttempt *a = data;
  CcAttemptResult r = { .end = a->ended };

  a->done (&r, a->data);
  return G_SOURCE_REMOVE;
}

/* Ends A, which has no call, as END in the next turn of the main loop. */
static void
end_without_call (CcAttempt *a, CcAttemptEnd end)
{
  a->ended = end;
  g_idle_add_full (G_PRIORITY_DEFAULT, on_without_call, a, NULL);
}

/* Sends REQUEST once.  DONE is called once, also after cc_attempt_cancel.
 * Returns NULL, without calling DONE, if the request cannot be expressed in
 * HTTP. */
CcAttempt *
cc_upstream_send (CcUpstream *u, const CcUpstreamRequest *request,
                  CcAttemptDone done, gpointer data)
{
  g_autofree char *head = head_of (request);
  gboolean is_new =
      request->once_only || request->fresh || !may_use_pool (request->method);
  CcHttpRequest http = { .address = request->address,
                         .head = head,
                         .body = request->body,
                         .bodiless = g_str_equal (request->method, "HEAD"),
                         .echo = CC_HDR_RUN_ID,
                         .echo_value = request->run_id,
                         .connect_timeout = ATTEMPT_TIMEOUT,
                         .answer_timeout = ATTEMPT_TIMEOUT,
                         .idle_max = is_new ? 0 : IDLE_MAX,
                         .closes = is_new };
  CcAttempt *a;

  if (head == NULL)
    return NULL;
  a = g_new0 (CcAttempt, 1);
  a->done = done;
  a->data = data;
  a->call = cc_http_send (u->http, &http, on_answer, a);
  /* There is no descriptor, for example, which may change. */
  if (a->call == NULL)
    end_without_call (a, CC_ATTEMPT_UNSENT);
  return a;
}

/* Cancels A by closing its connection, which tells the server that the answer
 * is not needed.  The callback follows, with CC_ATTEMPT_LOST unless nothing was
 * sent. */
void
cc_attempt_cancel (CcAttempt *a)
{
  CcAttemptEnd end;

  if (a->call == NULL)
    return;
  end = cc_http_is_sent (a->call) ? CC_ATTEMPT_LOST : CC_ATTEMPT_UNSENT;
  cc_http_cancel (g_steal_pointer (&a->call));
  end_without_call (a, end);
}

/* Ends a grant or probe that could not be sent. */
static void
end_unsent (gpointer data)
{
  ControlCall *c = data;

  c->done (CC_UNKNOWN, c->serial, c->sent, c->data);
  g_free (c);
}

/* Ends a grant or probe with CC_OK, CC_CONFLICT, or CC_UNKNOWN for any other
 * result. */
static void
on_control_result (const CcHttpResult *r, gpointer data)
{
  ControlCall *c = data;
  CcStatus status = CC_UNKNOWN;

  if (r->end == CC_HTTP_ANSWERED && r->status == SOUP_STATUS_OK)
    status = CC_OK;
  else if (r->end == CC_HTTP_ANSWERED && r->status == SOUP_STATUS_CONFLICT)
    status = CC_CONFLICT;
  c->done (status, c->serial, c->sent, c->data);
  g_free (c);
}

/* Sends a grant or probe, whose LINE is method and path, on a new connection;
 * it ends after GRANT_TIMEOUT.  BODY may be NULL.
 *
 * Failure: libsoup's client keeps all of an answer and reads interim ones in
 * one go.  Symptom: a server that sends either without end exhausts the memory
 * of the process, or holds its main loop. */
static void
control_call (CcUpstream *u, const CcHolding *h, const char *line, GBytes *body,
              CcGrantDone done, gpointer data)
{
  g_autofree char *head = g_strdup_printf (
      "%s HTTP/1.1\r\nHost: %s\r\n%s", line, h->address,
      body != NULL ? "Content-Type: application/json\r\n" : "");
  CcHttpRequest request = { .address = h->address,
                            .head = head,
                            .body = body,
                            .connect_timeout = GRANT_TIMEOUT,
                            .answer_timeout = GRANT_TIMEOUT,
                            .closes = TRUE };
  ControlCall *c = g_new0 (ControlCall, 1);

  c->serial = h->serial;
  c->sent = cc_clock_now ();
  c->done = done;
  c->data = data;
  if (cc_http_send (u->control, &request, on_control_result, c) == NULL)
    g_idle_add_once (end_unsent, c);
}

/* Returns the JSON body of a grant; the caller frees it. */
static char *
grant_body (const CcHolding *h, const char *holder)
{
  GString *s = g_string_new (NULL);
  GHashTableIter iter;
  gpointer slice, held;
  const char *comma = "";

  g_string_append_printf (
      s,
      "{\"holder\":\"%s\",\"pool\":\"%s\",\"term\":%" G_GUINT64_FORMAT
      ",\"serial\":%" G_GUINT64_FORMAT ",\"ttl_ms\":%" G_GINT64_FORMAT
      ",\"expires_ms\":%" G_GINT64_FORMAT ",\"slices\":[",
      holder, h->pool, h->term, h->serial, CC_GRANT_TTL / CC_MS,
      (cc_clock_wall () + CC_GRANT_TTL) / CC_MS);
  g_hash_table_iter_init (&iter, h->slices);
  while (g_hash_table_iter_next (&iter, &slice, &held))
    {
      g_string_append_printf (s, "%s[%u,%" G_GUINT64_FORMAT "]", comma,
                              GPOINTER_TO_UINT (slice),
                              ((CcHeldSlice *) held)->epoch);
      comma = ",";
    }
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

/* Sends H's grant to its server: holder, term, lifetime and the slices with
 * their epochs.  Uses a new connection each time, so that it also checks the
 * path. */
void
cc_upstream_grant (CcUpstream *u, const CcHolding *h, const char *holder,
                   CcGrantDone done, gpointer data)
{
  char *text = grant_body (h, holder);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  control_call (u, h, "PUT /capercrank/grant", body, done, data);
}

/* Checks whether H's server is reachable, without granting anything. */
void
cc_upstream_probe (CcUpstream *u, const CcHolding *h, CcGrantDone done,
                   gpointer data)
{
  control_call (u, h, "GET /capercrank/load", NULL, done, data);
}
