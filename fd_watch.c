/* GLib's main loop visits every source in every iteration and polls all their
 * descriptors.  With hundreds of kept connections each wake-up then costs more
 * than the work it brings.  Here all descriptors stand in one epoll set behind
 * a single source: an iteration visits one source, and a wake-up only the
 * descriptors that are ready. */
#include "fd_watch.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/epoll.h>

#define BATCH 64 /* events taken in one iteration */

static int set = -1; /* the epoll set */

/* The events being dispatched.  A callback may stop any watch, so those that
 * are stopped are removed from the rest of the batch. */
static struct epoll_event batch[BATCH];
static int batch_next, batch_end;

static guint32
to_epoll (GIOCondition c)
{
  return (c & G_IO_IN ? EPOLLIN : 0) | (c & G_IO_OUT ? EPOLLOUT : 0);
}

static GIOCondition
from_epoll (guint32 events)
{
  return (events & EPOLLIN ? G_IO_IN : 0) | (events & EPOLLOUT ? G_IO_OUT : 0) |
         (events & EPOLLHUP ? G_IO_HUP : 0) |
         (events & EPOLLERR ? G_IO_ERR : 0);
}

static gboolean
on_events (gint fd, GIOCondition seen, gpointer unused)
{
  (void) fd, (void) seen, (void) unused;
  batch_end = epoll_wait (set, batch, BATCH, 0);
  for (batch_next = 0; batch_next < batch_end;)
    {
      struct epoll_event *e = &batch[batch_next++];
      CcFdWatch *w = e->data.ptr;

      if (w != NULL)
        w->ready (from_epoll (e->events), w->data);
    }
  batch_next = batch_end = 0;
  return G_SOURCE_CONTINUE;
}

static void
open_set (void)
{
  set = epoll_create1 (EPOLL_CLOEXEC);
  if (set < 0)
    g_error ("no epoll set: %s", g_strerror (errno));
  g_unix_fd_add (set, G_IO_IN, on_events, NULL);
}

static void
control (int operation, CcFdWatch *w)
{
  struct epoll_event e = { .events = to_epoll (w->wants), .data.ptr = w };

  if (epoll_ctl (set, operation, w->fd, &e) < 0)
    g_error ("can't watch descriptor %d: %s", w->fd, g_strerror (errno));
}

/* Calls READY with DATA in the main loop whenever FD has one of the conditions
 * WANTS, or a hang-up or an error, until W is stopped.  W must stay where it is
 * and FD open until then. */
void
cc_fd_watch_start (CcFdWatch *w, int fd, GIOCondition wants,
                   void (*ready) (GIOCondition seen, gpointer data),
                   gpointer data)
{
  if (set < 0)
    open_set ();
  *w = (CcFdWatch){ fd, wants, ready, data };
  control (EPOLL_CTL_ADD, w);
}

/* Changes the conditions of W, which runs, to WANTS. */
void
cc_fd_watch_set_conditions (CcFdWatch *w, GIOCondition wants)
{
  if (w->wants == wants)
    return;
  w->wants = wants;
  control (EPOLL_CTL_MOD, w);
}

/* Stops W if it runs.  Its READY is not called any more. */
void
cc_fd_watch_stop (CcFdWatch *w)
{
  if (w->wants == 0)
    return;
  control (EPOLL_CTL_DEL, w);
  w->wants = 0;
  for (int i = batch_next; i < batch_end; i++)
    if (batch[i].data.ptr == w)
      batch[i].data.ptr = NULL;
}
