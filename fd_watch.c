/* Watches file descriptors through one epoll set.  GLib's main loop visits
 * every source and polls all their descriptors in every iteration; with
 * hundreds of idle connections each wake-up would cost more than the work it is
 * for.  With all descriptors in one epoll set behind a single source, an
 * iteration visits one source, and a wake-up handles only the descriptors that
 * are ready. */
#include "fd_watch.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/epoll.h>

#include "capercrank.h"
#include "clock.h"
#include "event_log.h"

#define BATCH 64 /* maximum number of events handled in one iteration */
#define LOGGED_PERIOD (1 * CC_SECOND) /* between two lines on failures */

static int epoll_fd = -1; /* -1: not created yet */

/* The events being dispatched.  A callback may stop any watch, so
 * cc_fd_watch_stop removes its watch from the rest of the batch. */
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
on_events (gint fd, GIOCondition occurred, gpointer unused)
{
  (void) fd, (void) occurred, (void) unused;
  batch_end = epoll_wait (epoll_fd, batch, BATCH, 0);
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

/* Opens the epoll set.  Returns FALSE if the process has no descriptor for it.
 */
static gboolean
open_epoll (void)
{
  epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (epoll_fd < 0)
    return FALSE;
  g_unix_fd_add (epoll_fd, G_IO_IN, on_events, NULL);
  return TRUE;
}

/* Logs that a system call has failed, at most once in LOGGED_PERIOD: a shortage
 * of the system fails each of them. */
static void
log_failure (void)
{
  static gint64 logged_at;
  int cause = errno;
  gint64 now = cc_clock_steady ();

  if (logged_at != 0 && now - logged_at < LOGGED_PERIOD)
    return;
  logged_at = now;
  cc_event (CC_EVENT_STATE, "fd-watch-failed", "why", g_strerror (cause), NULL);
}

/* Returns FALSE, and logs why, if OPERATION on W fails. */
static gboolean
update_epoll (int operation, CcFdWatch *w, GIOCondition conditions)
{
  struct epoll_event e = { .events = to_epoll (conditions), .data.ptr = w };

  if ((epoll_fd >= 0 || open_epoll ()) &&
      epoll_ctl (epoll_fd, operation, w->fd, &e) == 0)
    return TRUE;
  log_failure ();
  return FALSE;
}

/* Calls READY with DATA in the main loop whenever FD has one of CONDITIONS, or
 * a hang-up or an error, until W is stopped.  Until then W must not move in
 * memory and FD must stay open.  Returns FALSE, with W stopped, if the system
 * has no descriptor, memory or watch for it. */
gboolean
cc_fd_watch_start (CcFdWatch *w, int fd, GIOCondition conditions,
                   void (*ready) (GIOCondition occurred, gpointer data),
                   gpointer data)
{
  *w = (CcFdWatch){ fd, 0, ready, data };
  if (!update_epoll (EPOLL_CTL_ADD, w, conditions))
    return FALSE;
  w->conditions = conditions;
  return TRUE;
}

/* Changes the conditions of W to CONDITIONS, unless it is stopped.  If that
 * fails, W keeps those that it has. */
void
cc_fd_watch_set_conditions (CcFdWatch *w, GIOCondition conditions)
{
  if (w->conditions == 0 || w->conditions == conditions)
    return;
  if (update_epoll (EPOLL_CTL_MOD, w, conditions))
    w->conditions = conditions;
}

/* Stops W if it is running.  Its callback is not called after that, not even
 * for an event that has already been received. */
void
cc_fd_watch_stop (CcFdWatch *w)
{
  if (w->conditions == 0)
    return;
  (void) update_epoll (EPOLL_CTL_DEL, w, 0);
  w->conditions = 0;
  for (int i = batch_next; i < batch_end; i++)
    if (batch[i].data.ptr == w)
      batch[i].data.ptr = NULL;
}
