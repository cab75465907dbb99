/* HTTP client for the servers.
 *
 * libsoup's client retries GET, PUT and DELETE on its own if a reused
 * connection closes after the request was received; the server then runs the
 * request twice and the caller sees one success.  Whether a request is
 * once-only is decided by its class, not its method, so each once-only attempt
 * opens a new connection (1 ms at the servers), on which libsoup never retries.
 * The handshake also proves that the path works, while a pooled connection may
 * be silent.  Redirects and content decoding are off, since both alter what is
 * forwarded.
 *
 * An attempt counts as unsent until libsoup's "starting" signal, which is
 * emitted before the first byte is written.
 */
#include "upstream.h"

#include <string.h>

#include <libsoup/soup.h>

#include "admin.h"
#include "clock.h"
#include "headers.h"

#define HEADERS_SIZE_HINT 512       /* bytes; the buffer grows if needed */
#define GRANT_TIMEOUT (600 * CC_MS) /* below CC_SERVER_SUSPECT */

struct CcUpstream
{
  char *source;         /* IP:PORT; connections are made from this IP */
  GHashTable *sessions; /* server's address to SoupSession */
  SoupSession *control; /* for grants and probes, not queued behind work */
};

struct CcAttempt
{
  CcUpstream *upstream;
  SoupMessage *message;
  GCancellable *cancel;
  gboolean started;
  CcAttemptDone done;
  gpointer data;
};

typedef struct
{
  CcUpstream *upstream;
  SoupMessage *message;
  GCancellable *cancel;
  guint timer;
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

  u->source = g_strdup (source);
  u->sessions =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_object_unref);
  u->control = cc_http_client (source, CC_CONNECTIONS_MAX);
  return u;
}

/* Returns the session of the server at ADDRESS.  Each server has its own, so
 * that its connection pool can be dropped. */
static SoupSession *
find_session (CcUpstream *u, const char *address)
{
  SoupSession *s = g_hash_table_lookup (u->sessions, address);

  if (s == NULL)
    {
      s = cc_http_client (u->source, CC_CONNECTIONS_MAX);
      g_hash_table_insert (u->sessions, g_strdup (address), s);
    }
  return s;
}

/* Makes later attempts at ADDRESS use new connections.  Attempts in progress
 * keep theirs, which are closed when the last of them has ended. */
void
cc_upstream_drop_pool (CcUpstream *u, const char *address)
{
  g_hash_table_remove (u->sessions, address);
}

/* Whether header NAME is forwarded end to end.  Hop-by-hop headers and those
 * that this client sets are not. */
static gboolean
is_forwarded (const char *name)
{
  static const char *const not_forwarded[] = {
    "Connection",       "Content-Length", "Keep-Alive",   "Transfer-Encoding",
    "Upgrade",          "Host",           "Te",           "Trailer",
    "Proxy-Connection", "Expect",         CC_HDR_OUTCOME, NULL
  };

  for (guint i = 0; not_forwarded[i] != NULL; i++)
    if (g_ascii_strcasecmp (name, not_forwarded[i]) == 0)
      return FALSE;
  return TRUE;
}

static void
add_number (SoupMessageHeaders *h, const char *name, guint64 n)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, n);
  soup_message_headers_replace (h, name, text);
}

/* Adds the caller's headers and those by which the server checks its grant and
 * the deadline. */
static void
fill_headers (SoupMessageHeaders *h, const CcUpstreamRequest *request)
{
  CcHeadersIter iter;
  const char *name, *value;

  cc_headers_iter (&iter, request->headers);
  while (cc_headers_next (&iter, &name, &value))
    if (is_forwarded (name))
      soup_message_headers_append (h, name, value);
  add_number (h, CC_HDR_TERM, request->term);
  add_number (h, CC_HDR_SLICE, request->slice);
  add_number (h, CC_HDR_EPOCH, request->epoch);
  add_number (h, CC_HDR_DEADLINE, (guint64) (request->deadline / CC_MS));
  soup_message_headers_replace (h, CC_HDR_RUN_ID, request->run_id);
}

/* Returns the response headers to forward, packed. */
static GVariant *
collect_headers (SoupMessageHeaders *h)
{
  SoupMessageHeadersIter iter;
  const char *name, *value;
  GString *packed = g_string_sized_new (HEADERS_SIZE_HINT);

  soup_message_headers_iter_init (&iter, h);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    if (is_forwarded (name) && g_utf8_validate (value, -1, NULL))
      cc_headers_add (packed, name, value);
  return cc_headers_take (packed);
}

static void
on_starting (SoupMessage *message, gpointer data)
{
  CcAttempt *a = data;

  (void) message;
  a->started = TRUE;
}

/* Classifies an answer.  Only a server that reports not-run counts as not
 * having run the request. */
static CcAttemptEnd
classify (SoupMessage *m)
{
  const char *outcome = soup_message_headers_get_one (
      soup_message_get_response_headers (m), CC_HDR_OUTCOME);
  guint status = soup_message_get_status (m);

  if (outcome == NULL || !g_str_equal (outcome, "not-run"))
    return CC_ATTEMPT_ANSWERED;
  if (status == SOUP_STATUS_PRECONDITION_FAILED)
    return CC_ATTEMPT_FENCED;
  return CC_ATTEMPT_SHED;
}

/* Ends an attempt.  A response that failed or is too large counts as lost if
 * sending had started. */
static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  CcAttempt *a = data;
  CcAttemptResult r = { .end = CC_ATTEMPT_UNSENT };
  g_autoptr (GBytes) body =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  if (body != NULL && g_bytes_get_size (body) <= CC_BODY_MAX)
    {
      r.end = classify (a->message);
      r.status = soup_message_get_status (a->message);
      r.headers =
          collect_headers (soup_message_get_response_headers (a->message));
      r.body = body;
    }
  else if (a->started)
    r.end = CC_ATTEMPT_LOST;
  a->done (&r, a->data);
  g_clear_pointer (&r.headers, g_variant_unref);
  g_object_unref (a->message);
  g_object_unref (a->cancel);
  g_free (a);
}

/* Whether METHOD may use a pooled connection; libsoup does so only for these.
 */
static gboolean
may_use_pool (const char *method)
{
  return g_str_equal (method, "GET") || g_str_equal (method, "HEAD") ||
         g_str_equal (method, "PUT") || g_str_equal (method, "DELETE");
}

/* Sends REQUEST once.  DONE is called once, also after cc_attempt_cancel.
 * Returns NULL, without calling DONE, if the request cannot be expressed in
 * HTTP. */
CcAttempt *
cc_upstream_send (CcUpstream *u, const CcUpstreamRequest *request,
                  CcAttemptDone done, gpointer data)
{
  g_autofree char *url =
      g_strconcat ("http://", request->address, request->path, NULL);
  SoupMessage *message = soup_message_new (request->method, url);
  CcAttempt *a;

  if (message == NULL)
    return NULL;
  a = g_new0 (CcAttempt, 1);
  a->upstream = u;
  a->message = message;
  a->cancel = g_cancellable_new ();
  a->done = done;
  a->data = data;
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  if (request->once_only || request->fresh || !may_use_pool (request->method))
    cc_http_use_new_connection (message);
  if (request->body != NULL && g_bytes_get_size (request->body) > 0)
    soup_message_set_request_body_from_bytes (message, NULL, request->body);
  fill_headers (soup_message_get_request_headers (message), request);
  g_signal_connect (message, "starting", G_CALLBACK (on_starting), a);
  soup_session_send_and_read_async (find_session (u, request->address), message,
                                    G_PRIORITY_DEFAULT, a->cancel, on_answer,
                                    a);
  return a;
}

/* Cancels A by closing its connection, which tells the server that the answer
 * is not needed.  The callback follows, with CC_ATTEMPT_LOST unless nothing was
 * sent. */
void
cc_attempt_cancel (CcAttempt *a)
{
  g_cancellable_cancel (a->cancel);
}

static gboolean
on_control_timeout (gpointer data)
{
  ControlCall *c = data;

  c->timer = 0;
  g_cancellable_cancel (c->cancel);
  return G_SOURCE_REMOVE;
}

/* Ends a grant or probe with CC_OK, CC_CONFLICT, or CC_UNKNOWN for any other
 * result. */
static void
on_control_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  ControlCall *c = data;
  g_autoptr (GBytes) body =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  guint code = soup_message_get_status (c->message);
  CcStatus status = CC_UNKNOWN;

  if (body != NULL && code == SOUP_STATUS_OK)
    status = CC_OK;
  else if (body != NULL && code == SOUP_STATUS_CONFLICT)
    status = CC_CONFLICT;
  c->done (status, c->serial, c->sent, c->data);
  if (c->timer != 0)
    g_source_remove (c->timer);
  g_object_unref (c->message);
  g_object_unref (c->cancel);
  g_free (c);
}

/* Prepares a grant or probe on a new connection, cancelled after GRANT_TIMEOUT.
 */
static ControlCall *
control_call (CcUpstream *u, const char *method, const CcHolding *h,
              const char *path, CcGrantDone done, gpointer data)
{
  g_autofree char *url = g_strconcat ("http://", h->address, path, NULL);
  ControlCall *c = g_new0 (ControlCall, 1);

  c->upstream = u;
  c->message = soup_message_new (method, url);
  c->cancel = g_cancellable_new ();
  c->serial = h->serial;
  c->sent = cc_clock_now ();
  c->done = done;
  c->data = data;
  cc_http_use_new_connection (c->message);
  c->timer = g_timeout_add (GRANT_TIMEOUT / CC_MS, on_control_timeout, c);
  return c;
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
  ControlCall *c = control_call (u, "PUT", h, "/capercrank/grant", done, data);
  char *text = grant_body (h, holder);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  soup_message_set_request_body_from_bytes (c->message, "application/json",
                                            body);
  soup_session_send_and_read_async (u->control, c->message, G_PRIORITY_DEFAULT,
                                    c->cancel, on_control_answer, c);
}

/* Checks whether H's server is reachable, without granting anything. */
void
cc_upstream_probe (CcUpstream *u, const CcHolding *h, CcGrantDone done,
                   gpointer data)
{
  ControlCall *c = control_call (u, "GET", h, "/capercrank/load", done, data);

  soup_session_send_and_read_async (u->control, c->message, G_PRIORITY_DEFAULT,
                                    c->cancel, on_control_answer, c);
}
