/* The clocks of a process, which a test can pause.
 *
 * Leases use CLOCK_BOOTTIME, which continues while a machine is suspended: a
 * holder that was suspended beyond the end of its lease must find it expired on
 * resume.  Deadlines and idempotency keys are compared between machines, so
 * they use the wall clock, with a tolerance of CC_SKEW_MAX. */
#include "clock.h"

#include <time.h>
#include <unistd.h>

static struct
{
  gboolean paused; /* set by tests only */
  gint64 now;      /* value of cc_clock_now while paused, us */
  gint64 wall;     /* value of cc_clock_wall while paused, us */
} test_clock;

static gint64
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (gint64) ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Returns the microseconds since boot, including suspended time.  Monotonic. */
gint64
cc_clock_now (void)
{
  return test_clock.paused ? test_clock.now : read_clock (CLOCK_BOOTTIME);
}

/* Returns the monotonic clock that the main loop uses for its timeouts, in
 * microseconds.  Unlike cc_clock_now it may exclude suspended time. */
gint64
cc_clock_steady (void)
{
  return test_clock.paused ? test_clock.now : g_get_monotonic_time ();
}

/* Returns the microseconds since the Unix epoch.  May differ by CC_SKEW_MAX
 * from the clock of a peer. */
gint64
cc_clock_wall (void)
{
  return test_clock.paused ? test_clock.wall : read_clock (CLOCK_REALTIME);
}

/* Pauses the clocks at NOW and WALL, in microseconds.  For tests. */
void
cc_clock_pause (gint64 now, gint64 wall)
{
  test_clock.paused = TRUE;
  test_clock.now = now;
  test_clock.wall = wall;
}

/* Advances the paused clocks by SPAN microseconds.  For tests. */
void
cc_clock_advance (gint64 span)
{
  test_clock.now += span;
  test_clock.wall += span;
}

/* Resumes the clocks.  For tests. */
void
cc_clock_resume (void)
{
  test_clock.paused = FALSE;
}

/* Returns a number for this run of the process that no other run has had: the
 * wall clock with the process id and 12 random bits mixed into its low bits. */
guint64
cc_clock_incarnation (void)
{
  guint64 wall = (guint64) read_clock (CLOCK_REALTIME);
  guint64 random_bits = g_random_int () & 0xfff;

  return (wall << 12) ^ random_bits ^ ((guint64) getpid () & 0xfff);
}
