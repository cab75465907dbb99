/* Guards against timers that expire out of order, or after they were stopped by
 * the callback of another one. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "timers.h"

#define TIMERS 40

static CcTimer timers[TIMERS];
static gboolean stopped[TIMERS];
static gint64 last;
static guint fired;

/* Each timer that expires stops the next, which may have expired already. */
static void
on_due (gpointer data)
{
  CcTimer *t = data;
  guint next = (guint) (t - timers + 1) % TIMERS;

  assert_false (stopped[t - timers]);
  assert_true (t->at >= last);
  last = t->at;
  fired++;
  stopped[next] = timers[next].place != NULL;
  cc_timer_stop (&timers[next]);
}

static void
test_order_and_stop (void **state)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      guint halted = 0;

      last = fired = 0;
      for (guint i = 0; i < TIMERS; i++)
        {
          stopped[i] = FALSE;
          cc_timer_start (&timers[i], g_rand_int_range (rand, -5, 3000), on_due,
                          &timers[i]);
        }
      while (fired + halted < TIMERS)
        {
          g_main_context_iteration (NULL, TRUE);
          halted = 0;
          for (guint i = 0; i < TIMERS; i++)
            halted += stopped[i] ? 1 : 0;
        }
      g_rand_free (rand);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_order_and_stop) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
