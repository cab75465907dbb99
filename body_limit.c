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

/* Time for a refused caller to read the answer.  An immediate close, with its
 * data unread, would reset the connection and discard the answer. */
#define LINGER_MS 500

typedef struct
{
  gsize max;
  gsize got; /* bytes of the body received */
  gboolean refused;
} Limit;

#define REFUSAL                                                                \
  "{\"outcome\":\"not-run\",\"reason\":\"malformed\",\"retry_after_ms\":0,"    \
  "\"message\":\"the body is too large\"}\n"

static gboolean
on_linger_timeout (gpointer data)
{
  g_io_stream_close (data, NULL, NULL);
  g_object_unref (data);
  return G_SOURCE_REMOVE;
}

/* Writes the refusal to the connection of DATA, a SoupServerMessage, and
 * closes it after LINGER_MS. */
static gboolean
refuse (gpointer data)
{
  SoupServerMessage *m = data;
  GIOStream *stream = soup_server_message_steal_connection (m);
  g_autofree char *text = g_strdup_printf (
      "HTTP/1.1 413 Request Entity Too Large\r\n" CC_HDR_OUTCOME
      ": not-run\r\n" CC_HDR_REASON
      ": malformed\r\nContent-Type: application/json\r\n"
      "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
      strlen (REFUSAL), REFUSAL);

  g_object_unref (m);
  if (stream == NULL)
    return G_SOURCE_REMOVE;
  g_pollable_output_stream_write_nonblocking (
      G_POLLABLE_OUTPUT_STREAM (g_io_stream_get_output_stream (stream)), text,
      strlen (text), NULL, NULL);
  if (G_IS_SOCKET_CONNECTION (stream))
    g_socket_shutdown (
        g_socket_connection_get_socket (G_SOCKET_CONNECTION (stream)), FALSE,
        TRUE, NULL);
  g_timeout_add (LINGER_MS, on_linger_timeout, stream);
  return G_SOURCE_REMOVE;
}

/* Refuses M from an idle source, since libsoup is still reading when it emits
 * the signal.  M is paused until then: libsoup reads as long as data arrives,
 * so that a fast sender would block the main loop (for 53 MB, for example). */
static void
refuse_soon (SoupServerMessage *m)
{
  soup_server_message_pause (m);
  soup_message_body_set_accumulate (soup_server_message_get_request_body (m),
                                    FALSE);
  soup_message_body_truncate (soup_server_message_get_request_body (m));
  g_idle_add_full (G_PRIORITY_HIGH, refuse, g_object_ref (m), NULL);
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
  refuse_soon (m);
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
        refuse_soon (m);
      return;
    }
  l = g_new0 (Limit, 1);
  l->max = max;
  g_signal_connect_data (m, "got-chunk", G_CALLBACK (on_chunk), l, limit_free,
                         0);
}

/* Whether M was refused for the size of its body.  A handler must check this
 * first: if the body arrived all at once, libsoup still calls the handler,
 * although the body was discarded and its length is not set.  M is paused, so
 * that libsoup writes nothing before the refusal. */
gboolean
cc_body_is_refused (SoupServerMessage *m)
{
  if (soup_message_body_get_accumulate (
          soup_server_message_get_request_body (m)))
    return FALSE;
  soup_server_message_pause (m);
  return TRUE;
}
