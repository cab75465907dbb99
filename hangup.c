/* The failure: a caller closes while its request waits inside.  libsoup's
 * server reads nothing while a message is paused, so it notices nothing
 * (measured: not within 500 ms, nor until the answer was written).  The
 * symptom: servers go on to run work that nobody waits for.  So the socket is
 * watched beside libsoup for the other end's hang-up, without reading from it;
 * data of a next request in the pipeline does not count as one.
 *
 * libsoup also takes a chunked body for complete when the caller closes in the
 * middle of it; a request whose caller is gone before it is passed on is
 * therefore not passed on at all. */
#define _GNU_SOURCE
#include "hangup.h"

#include <glib-unix.h>
#include <poll.h>

/* Whether the other end of SOCKET has closed its side, or the connection has
 * failed. */
gboolean
cc_hangup_has (GSocket *socket)
{
  struct pollfd p = { .fd = g_socket_get_fd (socket), .events = POLLRDHUP };

  return poll (&p, 1, 0) > 0;
}

/* Calls GONE with DATA when the other end of SOCKET has closed its side, or the
 * connection has failed.  Returns the id of a source, to be removed by the
 * caller unless GONE was called and returned G_SOURCE_REMOVE. */
guint
cc_hangup_watch (GSocket *socket, GUnixFDSourceFunc gone, gpointer data)
{
  GSource *source =
      g_unix_fd_source_new (g_socket_get_fd (socket),
                            (GIOCondition) (POLLRDHUP | G_IO_HUP | G_IO_ERR));
  guint id;

  g_source_set_callback (source, G_SOURCE_FUNC (gone), data, NULL);
  id = g_source_attach (source, NULL);
  g_source_unref (source);
  return id;
}
