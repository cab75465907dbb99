/* The failure: a caller closes while its request waits inside.  libsoup's
 * server reads nothing while a message is paused, so it notices nothing
 * (measured: not within 500 ms, nor until the answer was written).  The
 * symptom: servers go on to run work that nobody waits for.  So the sockets are
 * watched beside libsoup for the other end's hang-up, without reading from
 * them; data of a next request in the pipeline does not count as one.
 *
 * All are looked at together, every LOOK_MS, in one system call: a source of
 * the main loop for each request would cost more than the request's own timer.
 *
 * libsoup also takes a chunked body for complete when the caller closes in the
 * middle of it; a request whose caller is gone before it is passed on is
 * therefore not passed on at all. */
#define _GNU_SOURCE
#include "hangup.h"

#include <poll.h>

/* Work in a server takes 4 to 12 ms today: most has ended when it is noticed,
 * what waits in a queue has not. */
#define LOOK_MS 50

static GPtrArray *all; /* of CcHangup, in this process's main loop */

/* Whether the other end of SOCKET has closed its side, or the connection has
 * failed. */
gboolean
cc_hangup_detected (GSocket *socket)
{
  struct pollfd p = { .fd = g_socket_get_fd (socket), .events = POLLRDHUP };

  return poll (&p, 1, 0) > 0;
}

/* The connections that are gone, to be freed. */
static GPtrArray *
find_gone (void)
{
  g_autofree struct pollfd *polled = g_new0 (struct pollfd, all->len);
  GPtrArray *gone = g_ptr_array_new ();

  for (guint i = 0; i < all->len; i++)
    {
      polled[i].fd = ((CcHangup *) all->pdata[i])->file;
      polled[i].events = POLLRDHUP;
    }
  if (poll (polled, all->len, 0) > 0)
    for (guint i = 0; i < all->len; i++)
      if (polled[i].revents != 0)
        g_ptr_array_add (gone, all->pdata[i]);
  return gone;
}

static gboolean
on_look (gpointer data)
{
  g_autoptr (GPtrArray) gone = NULL;

  (void) data;
  if (all->len == 0)
    return G_SOURCE_CONTINUE;
  gone = find_gone ();
  for (guint i = 0; i < gone->len; i++)
    {
      CcHangup *h = gone->pdata[i];

      cc_hangup_stop (h);
      h->gone (h->data);
    }
  return G_SOURCE_CONTINUE;
}

/* Calls GONE with DATA, once, when the other end of SOCKET has closed its side
 * or the connection has failed; unless cc_hangup_stop comes first.  GONE may
 * free H, but no other. */
void
cc_hangup_watch (CcHangup *h, GSocket *socket, CcHangupCallback gone,
                 gpointer data)
{
  if (all == NULL)
    {
      all = g_ptr_array_new ();
      g_timeout_add (LOOK_MS, on_look, NULL);
    }
  h->watched = TRUE;
  h->index = all->len;
  h->file = g_socket_get_fd (socket);
  h->gone = gone;
  h->data = data;
  g_ptr_array_add (all, h);
}

/* Ends the watch, if there is one. */
void
cc_hangup_stop (CcHangup *h)
{
  if (!h->watched)
    return;
  h->watched = FALSE;
  g_ptr_array_remove_index_fast (all, h->index);
  if (h->index < all->len)
    ((CcHangup *) all->pdata[h->index])->index = h->index;
}
