/* The client of the servers.
 *
 * libsoup's client sends a GET, PUT or DELETE again by itself when a reused
 * connection closes after the request was received; the server then runs it
 * twice and the caller sees one success.  Whether work is once-only is decided
 * by its class, not its method, so every once-only attempt opens a connection
 * of its own (1 ms at the servers): libsoup never repeats on a new one.  The
 * fresh handshake also proves that the path is alive, where a pooled connection
 * may have gone silent.  Redirects and content decoding are off, since both
 * change what passes through.
 *
 * "Not sent" is taken from libsoup's "starting" signal, which comes before the
 * first byte is written.
 */
#include "upstream.h"

#include <string.h>

#include <libsoup/soup.h>

#include "admin.h"
#include "clock.h"
#include "headers.h"

#define HEADERS_USUAL 512           /* bytes; more makes the buffer grow */
#define GRANT_TIMEOUT (600 * CC_MS) /* below CC_SERVER_SUSPECT */

struct CcUpstream
{
  char *source;         /* IP:PORT, where connections come from */
  GHashTable *sessions; /* server's address to SoupSession */
  SoupSession *control; /* grants, not queued behind work */
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

/* A client with pools of its own, whose connections come from the IP of SOURCE
 * (IP:PORT). */
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

/* Each server has a session, whose pool of connections can be dropped. */
static SoupSession *
session_of (CcUpstream *u, const char *address)
{
  SoupSession *s = g_hash_table_lookup (u->sessions, address);

  if (s == NULL)
    {
      s = cc_http_client (u->source, CC_CONNECTIONS_MAX);
      g_hash_table_insert (u->sessions, g_strdup (address), s);
    }
  return s;
}

/* Work sent to ADDRESS from now on gets fresh connections.  Attempts in
 * progress keep theirs, which are closed when the last of them has ended. */
void
cc_upstream_drop_pool (CcUpstream *u, const char *address)
{
  g_hash_table_remove (u->sessions, address);
}

static gboolean
passes_on (const char *name)
{
  static const char *const kept_back[] = {
    "Connection",       "Content-Length", "Keep-Alive",   "Transfer-Encoding",
    "Upgrade",          "Host",           "Te",           "Trailer",
    "Proxy-Connection", "Expect",         CC_HDR_OUTCOME, NULL
  };

  for (guint i = 0; kept_back[i] != NULL; i++)
    if (g_ascii_strcasecmp (name, kept_back[i]) == 0)
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

static void
fill_headers (SoupMessageHeaders *h, const CcUpstreamRequest *o)
{
  CcHeadersIter iter;
  const char *name, *value;

  cc_headers_iter (&iter, o->headers);
  while (cc_headers_next (&iter, &name, &value))
    if (passes_on (name))
      soup_message_headers_append (h, name, value);
  add_number (h, CC_HDR_TERM, o->term);
  add_number (h, CC_HDR_SLICE, o->slice);
  add_number (h, CC_HDR_EPOCH, o->epoch);
  add_number (h, CC_HDR_DEADLINE, (guint64) (o->deadline / CC_MS));
  soup_message_headers_replace (h, CC_HDR_RUN_ID, o->run_id);
}

static GVariant *
collect_headers (SoupMessageHeaders *h)
{
  SoupMessageHeadersIter iter;
  const char *name, *value;
  GString *packed = g_string_sized_new (HEADERS_USUAL);

  soup_message_headers_iter_init (&iter, h);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    if (passes_on (name) && g_utf8_validate (value, -1, NULL))
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

/* Believes a server that says it did not run the order, and only then. */
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

/* libsoup itself uses a kept connection for these alone. */
static gboolean
is_reusable (const char *method)
{
  return g_str_equal (method, "GET") || g_str_equal (method, "HEAD") ||
         g_str_equal (method, "PUT") || g_str_equal (method, "DELETE");
}

/* Sends O once.  DONE is called once, also after cc_attempt_cancel.  Returns
 * NULL, without calling DONE, if the order can't be expressed in HTTP. */
CcAttempt *
cc_upstream_send (CcUpstream *u, const CcUpstreamRequest *o, CcAttemptDone done,
                  gpointer data)
{
  g_autofree char *url = g_strconcat ("http://", o->address, o->path, NULL);
  SoupMessage *message = soup_message_new (o->method, url);
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
  if (o->once_only || o->fresh || !is_reusable (o->method))
    cc_http_once (message);
  if (o->body != NULL && g_bytes_get_size (o->body) > 0)
    soup_message_set_request_body_from_bytes (message, NULL, o->body);
  fill_headers (soup_message_get_request_headers (message), o);
  g_signal_connect (message, "starting", G_CALLBACK (on_starting), a);
  soup_session_send_and_read_async (session_of (u, o->address), message,
                                    G_PRIORITY_DEFAULT, a->cancel, on_answer,
                                    a);
  return a;
}

/* Closes the attempt's connection, by which the server learns that nobody
 * waits.  Its callback follows, with CC_ATTEMPT_LOST unless nothing was sent.
 */
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
  cc_http_once (c->message);
  c->timer = g_timeout_add (GRANT_TIMEOUT / CC_MS, on_control_timeout, c);
  return c;
}

static char *
grant_text (const CcHolding *h, const char *holder)
{
  GString *s = g_string_new (NULL);
  GHashTableIter iter;
  gpointer slice, one;
  const char *comma = "";

  g_string_append_printf (
      s,
      "{\"holder\":\"%s\",\"pool\":\"%s\",\"term\":%" G_GUINT64_FORMAT
      ",\"serial\":%" G_GUINT64_FORMAT ",\"ttl_ms\":%" G_GINT64_FORMAT
      ",\"expires_ms\":%" G_GINT64_FORMAT ",\"slices\":[",
      holder, h->pool, h->term, h->serial, CC_GRANT_TTL / CC_MS,
      (cc_clock_wall () + CC_GRANT_TTL) / CC_MS);
  g_hash_table_iter_init (&iter, h->slices);
  while (g_hash_table_iter_next (&iter, &slice, &one))
    {
      g_string_append_printf (s, "%s[%u,%" G_GUINT64_FORMAT "]", comma,
                              GPOINTER_TO_UINT (slice),
                              ((CcHeldSlice *) one)->epoch);
      comma = ",";
    }
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

/* Sends H's grant: holder, term, lifetime and the slices with their epochs,
 * on a new connection each time, so that it also probes the path. */
void
cc_upstream_grant (CcUpstream *u, const CcHolding *h, const char *holder,
                   CcGrantDone done, gpointer data)
{
  ControlCall *c = control_call (u, "PUT", h, "/capercrank/grant", done, data);
  char *text = grant_text (h, holder);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  soup_message_set_request_body_from_bytes (c->message, "application/json",
                                            body);
  soup_session_send_and_read_async (u->control, c->message, G_PRIORITY_DEFAULT,
                                    c->cancel, on_control_answer, c);
}

/* Asks whether the server is there, without granting it anything. */
void
cc_upstream_probe (CcUpstream *u, const CcHolding *h, CcGrantDone done,
                   gpointer data)
{
  ControlCall *c = control_call (u, "GET", h, "/capercrank/load", done, data);

  soup_session_send_and_read_async (u->control, c->message, G_PRIORITY_DEFAULT,
                                    c->cancel, on_control_answer, c);
}
