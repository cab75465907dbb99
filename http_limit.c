/* libsoup gathers a request's body before its handler is called.  A length
 * that is announced can be refused at the headers; a chunked body announces
 * none, so one endless upload would take the instance's memory.  Its chunks are
 * counted as they come, and past the bound the connection is closed: an answer
 * would have to wait for the end of a body that has none. */
#include "http_limit.h"

typedef struct
{
  guint64 got;
  guint64 most;
} Bound;

static void
on_chunk (SoupServerMessage *m, GBytes *chunk, gpointer data)
{
  Bound *b = data;

  b->got += g_bytes_get_size (chunk);
  if (b->got > b->most)
    g_socket_shutdown (soup_server_message_get_socket (m), TRUE, TRUE, NULL);
}

static void
bound_free (gpointer data, GClosure *closure)
{
  (void) closure;
  g_free (data);
}

/* To be called from an early handler.  Returns FALSE if M announces a body of
 * more than MOST bytes: the caller then answers 413.  A body without announced
 * length is cut off at MOST. */
gboolean
cc_http_limit_body (SoupServerMessage *m, guint64 most)
{
  SoupMessageHeaders *h = soup_server_message_get_request_headers (m);
  Bound *b;

  if (soup_message_headers_get_encoding (h) == SOUP_ENCODING_CONTENT_LENGTH)
    return (guint64) soup_message_headers_get_content_length (h) <= most;
  b = g_new0 (Bound, 1);
  b->most = most;
  g_signal_connect_data (m, "got-chunk", G_CALLBACK (on_chunk), b, bound_free,
                         0);
  return TRUE;
}
