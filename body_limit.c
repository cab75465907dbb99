/* Failure: libsoup buffers a body of any size before it calls the handler, and
 * sends a status set by an early handler only after the whole body arrived.
 * Symptom: one caller that sends chunks endlessly exhausts the process's memory
 * (64 MB are accepted without a limit).  So nothing beyond the limit is
 * buffered, the refusal is written to the connection directly, bypassing
 * libsoup, and the connection is closed: what follows on it is the rest of the
 * body, not a request. */
#include "body_limit.h"

#include <string.h>

#include "capercrank.h"

/* Time for a refused caller to read the answer, and bytes of its body that are
 * read and discarded meanwhile.  An immediate close, or one with its data
 * unread, would reset the connection and discard the answer. */
#define LINGER_MS 500
#define LINGER_BYTES (2 * 1024 * 1024)
#define READ_SIZE 16384 /* bytes */

#define REFUSED_KEY "capercrank-refused" /* object data of a message */

typedef struct
{
  gsize max;
  gsize got; /* bytes of the body received */
  gboolean refused;
} Limit;

static const CcBodyRefusal too_large = {
  .status = "413 Request Entity Too Large",
  .headers = CC_HDR_OUTCOME ": not-run\r\n" CC_HDR_REASON ": malformed\r\n",
  .body =
      "{\"outcome\":\"not-run\",\"reason\":\"malformed\",\"retry_after_ms\":0,"
      "\"message\":\"the body is too large\"}\n"
};

/* The connection of a refused request, until it is closed. */
typedef struct
{
  GIOStream *stream;
  GSocket *socket;
  GSource *watch;  /* of SOCKET */
  guint timer;     /* after which it is closed */
  gsize discarded; /* bytes */
} Lingering;

/* Closes the connection of L and frees L. */
static void
linger_end (Lingering *l)
{
  g_source_remove (l->timer);
  g_source_destroy (l->watch);
  g_source_unref (l->watch);
  g_io_stream_close (l->stream, NULL, NULL);
  g_object_unref (l->stream);
  g_object_unref (l->socket);
  g_free (l);
}

static gboolean
on_linger_timeout (gpointer data)
{
  linger_end (data);
  return G_SOURCE_CONTINUE;
}

/* Discards what arrives for the refused request of DATA, until its caller
 * closes the connection or LINGER_BYTES were received. */
static gboolean
on_linger_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  Lingering *l = data;
  char buffer[READ_SIZE];
  g_autoptr (GError) error = NULL;
  gssize n = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);

  (void) condition;
  if (n > 0)
    l->discarded += (gsize) n;
  else if (n == 0 ||
           !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    l->discarded = LINGER_BYTES;
  if (l->discarded >= LINGER_BYTES)
    linger_end (l);
  return G_SOURCE_CONTINUE;
}

/* Keeps the connection STREAM of SOCKET, to which the answer was written, until
 * its caller has had time to read it.  Takes ownership of both. */
static void
linger (GIOStream *stream, GSocket *socket)
{
  Lingering *l = g_new0 (Lingering, 1);

  g_socket_shutdown (socket, FALSE, TRUE, NULL);
  l->stream = stream;
  l->socket = socket;
  l->watch = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_callback (l->watch, G_SOURCE_FUNC (on_linger_readable), l, NULL);
  g_source_attach (l->watch, NULL);
  l->timer = g_timeout_add (LINGER_MS, on_linger_timeout, l);
}

/* A refusal that is to be written. */
typedef struct
{
  SoupServerMessage *message;
  char *text;
} Pending;

/* Writes the refusal DATA to the connection of its message, which is closed
 * after LINGER_MS. */
static gboolean
write_refusal (gpointer data)
{
  g_autofree Pending *p = data;
  g_autofree char *text = p->text;
  GSocket *socket = soup_server_message_get_socket (p->message);
  GIOStream *stream;

  if (socket != NULL)
    g_object_ref (socket);
  stream = soup_server_message_steal_connection (p->message);
  g_object_unref (p->message);
  if (stream == NULL || socket == NULL)
    {
      g_clear_object (&stream);
      g_clear_object (&socket);
      return G_SOURCE_REMOVE;
    }
  g_pollable_output_stream_write_nonblocking (
      G_POLLABLE_OUTPUT_STREAM (g_io_stream_get_output_stream (stream)), text,
      strlen (text), NULL, NULL);
  linger (stream, socket);
  return G_SOURCE_REMOVE;
}

/* Refuses M with the answer R and closes its connection, on which the rest of
 * the body may follow.
 *
 * The answer is written from an idle source, since libsoup is still reading
 * when it emits the signal.  M is paused until then: libsoup reads as long as
 * data arrives, so that a fast sender would block the main loop (for 53 MB, for
 * example). */
void
cc_body_refuse (SoupServerMessage *m, const CcBodyRefusal *r)
{
  Pending *p = g_new0 (Pending, 1);

  p->message = g_object_ref (m);
  p->text = g_strdup_printf ("HTTP/1.1 %s\r\n%sContent-Type: application/json"
                             "\r\nContent-Length: %zu\r\nConnection: close\r\n"
                             "\r\n%s",
                             r->status, r->headers, strlen (r->body), r->body);
  soup_server_message_pause (m);
  soup_message_body_set_accumulate (soup_server_message_get_request_body (m),
                                    FALSE);
  soup_message_body_truncate (soup_server_message_get_request_body (m));
  g_object_set_data (G_OBJECT (m), REFUSED_KEY, m);
  g_idle_add_full (G_PRIORITY_HIGH, write_refusal, p, NULL);
}

/* Refuses M, whose body is too large. */
void
cc_body_refuse_too_large (SoupServerMessage *m)
{
  cc_body_refuse (m, &too_large);
}

/* Counts the bytes of a chunked body and refuses it above the limit. */
static void
on_chunk (SoupServerMessage *m, GBytes *chunk, gpointer data)
{
  Limit *l = data;

  l->got += g_bytes_get_size (chunk);
  if (l->got <= l->max || l->refused)
    return;
  l->refused = TRUE;
  cc_body_refuse_too_large (m);
}

static void
limit_free (gpointer data, GClosure *closure)
{
  (void) closure;
  g_free (data);
}

/* Refuses M if its Content-Length exceeds MAX bytes, or as soon as more than
 * MAX bytes of a chunked body were received.  To be called for each message
 * when its headers have been read. */
void
cc_body_limit (SoupServerMessage *m, gsize max)
{
  SoupMessageHeaders *h = soup_server_message_get_request_headers (m);
  Limit *l;

  if (soup_message_headers_get_encoding (h) == SOUP_ENCODING_CONTENT_LENGTH)
    {
      if (soup_message_headers_get_content_length (h) > (goffset) max)
        cc_body_refuse_too_large (m);
      return;
    }
  l = g_new0 (Limit, 1);
  l->max = max;
  g_signal_connect_data (m, "got-chunk", G_CALLBACK (on_chunk), l, limit_free,
                         0);
}

/* Whether M was refused for its body.  A handler must check this first: if the
 * body arrived all at once, libsoup still calls the handler, although the body
 * was discarded and its length is not set.  M is paused, so that libsoup writes
 * nothing before the refusal. */
gboolean
cc_body_is_refused (SoupServerMessage *m)
{
  if (g_object_get_data (G_OBJECT (m), REFUSED_KEY) == NULL)
    return FALSE;
  soup_server_message_pause (m);
  return TRUE;
}
