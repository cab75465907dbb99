/* The two clocks of a process, and the switch by which a test stops them.
 *
 * Leases are compared on CLOCK_BOOTTIME, which goes on while a machine is
 * suspended: a holder that slept through its lease must see on waking that it
 * lapsed.  Deadlines and idempotency keys cross machines, so they use the wall
 * clock and allow for CC_SKEW_MAX.
 */
#include "clock.h"

#include <time.h>
#include <unistd.h>

static struct
{
  gboolean paused; /* set by a test */
  gint64 now;      /* what cc_clock_now says while paused, us */
  gint64 wall;     /* what cc_clock_wall says while paused, us */
} stopped;

static gint64
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (gint64) ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Microseconds since boot, suspended time included.  Never goes back. */
gint64
cc_clock_now (void)
{
  return stopped.paused ? stopped.now : read_clock (CLOCK_BOOTTIME);
}

/* Microseconds of the clock that the main loop waits by: as cc_clock_now, but
 * suspended time may be left out. */
gint64
cc_clock_steady (void)
{
  return stopped.paused ? stopped.now : g_get_monotonic_time ();
}

/* Microseconds since 1970.  May be off by CC_SKEW_MAX against a peer's. */
gint64
cc_clock_wall (void)
{
  return stopped.paused ? stopped.wall : read_clock (CLOCK_REALTIME);
}

/* Stops both clocks at NOW and WALL, in microseconds.  For tests. */
void
cc_clock_pause (gint64 now, gint64 wall)
{
  stopped.paused = TRUE;
  stopped.now = now;
  stopped.wall = wall;
}

/* Moves both paused clocks on by SPAN microseconds.  For tests. */
void
cc_clock_advance (gint64 span)
{
  stopped.now += span;
  stopped.wall += span;
}

/* Lets both clocks run again.  For tests. */
void
cc_clock_resume (void)
{
  stopped.paused = FALSE;
}

/* A number for this run of the process that no other run has had: the wall
 * clock at the start, mixed with the process id and 16 random bits. */
guint64
cc_clock_incarnation (void)
{
  guint64 wall = (guint64) read_clock (CLOCK_REALTIME);
  guint64 noise = g_random_int () & 0xfff;

  return (wall << 12) ^ noise ^ ((guint64) getpid () & 0xfff);
}
