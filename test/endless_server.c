#include "endless_server.h"

#include <string.h>

#define SENT_MAX (256 * 1024 * 1024) /* to one connection, bytes */

#define OK "HTTP/1.1 200 OK\r\n"

const EndlessKind *endless_playing;

const EndlessKind endless_kinds[ENDLESS_KINDS] = {
  { "a body", OK "Content-Length: 99999999999\r\n\r\n", "xxxxxxxxxxxxxxxx" },
  { "a body in chunks", OK "Transfer-Encoding: chunked\r\n\r\n",
    "8\r\nxxxxxxxx\r\n" },
  { "a body until the close", OK "\r\n", "xxxxxxxxxxxxxxxx" },
  { "a header", OK "X: ", "xxxxxxxxxxxxxxxx" },
  { "headers", OK, "X: xxxxxxxxxx\r\n" },
  { "interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n" },
  { "answers to other requests", "",
    OK "X-Echo: 0\r\nContent-Length: 2\r\n\r\nho" },
  { "a chunk's extension", OK "Transfer-Encoding: chunked\r\n\r\n1;",
    "xxxxxxxxxxxxxxxx" },
  { "chunks of one byte", OK "Transfer-Encoding: chunked\r\n\r\n",
    "1\r\nx\r\n" },
  { "trailers", OK "Transfer-Encoding: chunked\r\n\r\n0\r\n",
    "X: xxxxxxxxxx\r\n" },
  { "no HTTP", "", "xxxxxxxxxxxxxxxx" },
};

/* Sends the bytes of the present kind to the connection C until it is closed.
 */
gboolean
endless_serve (GThreadedSocketService *service, GSocketConnection *c,
               GObject *source, gpointer data)
{
  GSocket *socket = g_socket_connection_get_socket (c);
  const EndlessKind *playing = endless_playing;
  GString *block = g_string_new (NULL);
  char request[4096];
  gsize sent = 0;

  (void) service, (void) source, (void) data;
  while (block->len < 64 * 1024)
    g_string_append (block, playing->piece);
  if (g_socket_receive (socket, request, sizeof request, NULL, NULL) > 0 &&
      g_socket_send (socket, playing->head, strlen (playing->head), NULL,
                     NULL) >= 0)
    while (sent < SENT_MAX)
      {
        gssize n = g_socket_send (socket, block->str, block->len, NULL, NULL);

        if (n <= 0)
          break;
        sent += (gsize) n;
        /* The pieces must stay whole. */
        if ((gsize) n < block->len &&
            g_socket_send (socket, block->str + n, block->len - (gsize) n, NULL,
                           NULL) <= 0)
          break;
      }
  g_string_free (block, TRUE);
  return TRUE;
}

/* Starts a server with up to THREADS connections that HANDLER serves.  Returns
 * its address, to be freed, and sets *SERVICE. */
char *
endless_server_start (int threads, ConnectionHandler handler,
                      GSocketService **service)
{
  g_autoptr (GInetAddress) ip =
      g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) at = g_inet_socket_address_new (ip, 0);
  g_autoptr (GSocketAddress) got = NULL;

  *service = g_threaded_socket_service_new (threads);
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (*service), at,
                                      G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &got, NULL))
    g_error ("no address to listen at");
  g_signal_connect (*service, "run", G_CALLBACK (handler), NULL);
  return g_strdup_printf ("127.0.0.1:%u", g_inet_socket_address_get_port (
                                              G_INET_SOCKET_ADDRESS (got)));
}
