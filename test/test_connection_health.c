/* Guards against requests that time out on connections whose state a device on
 * the path has lost, and against useless second attempts at a server that is
 * slow or stalled.  Times in ms; the attempt was sent at 1000. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "connection_health.h"

static void
attempts_are_classified (void **state)
{
  static const struct
  {
    const char *what;
    gint64 expected, probed_at, now;
    CcConnectionAction action;
  } cases[] = {
    { "in time", 4, 1050, 1100, CC_CONNECTION_KEEP },
    { "long work in time", 50, 1050, 1500, CC_CONNECTION_KEEP },
    { "overdue, not probed", 4, 950, 1140, CC_CONNECTION_PROBE },
    { "stalled: no probe answered", 4, 950, 3000, CC_CONNECTION_PROBE },
    { "probe of the same moment", 4, 1000, 1140, CC_CONNECTION_PROBE },
    { "silent", 4, 1135, 1140, CC_CONNECTION_SUSPECT },
  };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcConnectionHealth h = { .probed_at = cases[i].probed_at * CC_MS };
      CcConnectionAction got = cc_connection_classify (
          &h, 1000 * CC_MS, cases[i].expected * CC_MS, cases[i].now * CC_MS);

      if (got != cases[i].action)
        print_error ("%s: %d\n", cases[i].what, got);
      assert_int_equal (got, cases[i].action);
    }
}

static void
pool_dropped_once (void **state)
{
  CcConnectionHealth h = { 0 };

  (void) state;
  assert_true (cc_connection_drop_due (&h, 5 * CC_SECOND));
  assert_false (cc_connection_drop_due (&h, 6 * CC_SECOND - 1));
  assert_true (cc_connection_drop_due (&h, 6 * CC_SECOND));
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (
                                          attempts_are_classified),
                                      cmocka_unit_test (pool_dropped_once) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
