/* Detection of closed connections.  Failure: a caller closes its connection
 * while its request is queued or in flight.  libsoup's server does not read
 * while a message is paused, so it does not detect the close within 500 ms, nor
 * before the response is written, and servers run requests whose caller has
 * disconnected.  So the sockets are polled here for a hang-up of the peer,
 * without reading from them; data of a further pipelined request is not a
 * hang-up.
 *
 * All sockets are polled together, every POLL_PERIOD_MS, in one system call: a
 * main loop source per request would cost more than the request's own timer.
 *
 * libsoup also treats a chunked body as complete if the caller closes in the
 * middle of it; so callers of this module check cc_hangup_detected before they
 * forward a request, and drop it if the peer has disconnected. */
#define _GNU_SOURCE
#include "hangup.h"

#include <poll.h>

/* Requests take 4 to 12 ms in a server, so most of those sent have finished
 * when a hang-up is detected; those that wait in a queue have not. */
#define POLL_PERIOD_MS 50

static GPtrArray *watches; /* of CcHangup; used by the main loop only */

/* Returns TRUE if the peer of SOCKET has closed its side or the connection has
 * failed. */
gboolean
cc_hangup_detected (GSocket *socket)
{
  struct pollfd p = { .fd = g_socket_get_fd (socket), .events = POLLRDHUP };

  return poll (&p, 1, 0) > 0;
}

/* Returns the watches of closed connections.  The caller unrefs the array. */
static GPtrArray *
find_closed (void)
{
  g_autofree struct pollfd *polled = g_new0 (struct pollfd, watches->len);
  GPtrArray *gone = g_ptr_array_new ();

  for (guint i = 0; i < watches->len; i++)
    {
      polled[i].fd = ((CcHangup *) watches->pdata[i])->fd;
      polled[i].events = POLLRDHUP;
    }
  if (poll (polled, watches->len, 0) > 0)
    for (guint i = 0; i < watches->len; i++)
      if (polled[i].revents != 0)
        g_ptr_array_add (gone, watches->pdata[i]);
  return gone;
}

static gboolean
on_poll (gpointer data)
{
  g_autoptr (GPtrArray) gone = NULL;

  (void) data;
  if (watches->len == 0)
    return G_SOURCE_CONTINUE;
  gone = find_closed ();
  for (guint i = 0; i < gone->len; i++)
    {
      CcHangup *h = gone->pdata[i];

      cc_hangup_stop (h);
      h->gone (h->data);
    }
  return G_SOURCE_CONTINUE;
}

/* Calls GONE with DATA, once, when the peer of SOCKET has closed its side or
 * the connection has failed, unless cc_hangup_stop is called first.  GONE may
 * free H, but no other watch. */
void
cc_hangup_watch (CcHangup *h, GSocket *socket, CcHangupCallback gone,
                 gpointer data)
{
  if (watches == NULL)
    {
      watches = g_ptr_array_new ();
      g_timeout_add (POLL_PERIOD_MS, on_poll, NULL);
    }
  h->watched = TRUE;
  h->index = watches->len;
  h->fd = g_socket_get_fd (socket);
  h->gone = gone;
  h->data = data;
  g_ptr_array_add (watches, h);
}

/* Stops the watch H if it is active. */
void
cc_hangup_stop (CcHangup *h)
{
  if (!h->watched)
    return;
  h->watched = FALSE;
  g_ptr_array_remove_index_fast (watches, h->index);
  if (h->index < watches->len)
    ((CcHangup *) watches->pdata[h->index])->index = h->index;
}
