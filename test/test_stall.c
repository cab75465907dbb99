/* Guards against requests that a process sends after a pause by what it knew
 * before, and against ones that are held back without a pause. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "stall.h"

typedef struct
{
  const char *name;
  gint64 gap;     /* between the last tick and the next event, ms */
  gint64 later;   /* from that event to the request, ms */
  gboolean first; /* the event is the request itself, not a tick */
  gint64 held;    /* ms; 0: not held back */
} Case;

static const Case cases[] = {
  { "no pause", 200, 0, TRUE, 0 },
  { "a slow moment", 1900, 0, TRUE, 0 },
  { "the request is handled first", 2000, 0, TRUE, 250 },
  { "a tick is handled first", 9000, 0, FALSE, 250 },
  { "a moment after the pause", 9000, 100, FALSE, 150 },
  { "the hold is over", 9000, 250, FALSE, 0 },
};

static void
requests_are_held_back_after_a_pause (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      gint64 now = 50 * CC_SECOND, until;
      CcStall s = { 0 };

      /* Nothing is known before the first tick. */
      assert_int_equal (cc_stall_hold_until (&s, now), 0);
      for (guint k = 0; k < 20; k++)
        cc_stall_tick (&s, now += CC_STALL_PERIOD);
      now += c->gap * CC_MS;
      if (!c->first)
        cc_stall_tick (&s, now);
      now += c->later * CC_MS;
      until = cc_stall_hold_until (&s, now);
      if (until != (c->held == 0 ? 0 : now + c->held * CC_MS))
        fail_msg ("%s: %ld ms", c->name, (long) ((until - now) / CC_MS));
    }
}

typedef struct
{
  const char *name;
  gint64 gap;   /* between the last tick and the next event, ms */
  gint64 later; /* from that event to the signal's handler, ms */
  gint64 sent;  /* earliest time of the signal, ms before its handler */
} SignalCase;

static const SignalCase signal_cases[] = {
  { "no stall", 200, 0, 0 },
  { "a late tick", 390, 0, 0 },
  { "a pause, the signal is handled first", 1500, 0, 1500 },
  { "a pause, other events are handled first", 1500, 30, 1530 },
  { "long after a pause", 1500, 300, 0 },
};

/* Guards against a grace period that begins only when a paused process goes
 * on. */
static void
a_signal_may_be_as_old_as_the_stall (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (signal_cases); i++)
    {
      const SignalCase *c = &signal_cases[i];
      gint64 now = 50 * CC_SECOND;
      CcStall s = { 0 };

      for (guint k = 0; k < 20; k++)
        cc_stall_tick (&s, now += CC_STALL_PERIOD);
      now += c->gap * CC_MS;
      if (c->later > 0)
        cc_stall_tick (&s, now);
      now += c->later * CC_MS;
      assert_int_equal (now - cc_stall_arrived_after (&s, now),
                        c->sent * CC_MS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (requests_are_held_back_after_a_pause),
    cmocka_unit_test (a_signal_may_be_as_old_as_the_stall),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
