/* Kept connections to a server that were forgotten by something between, beside
 * a server with long work and a frozen one, to which a second attempt would do
 * no good.  Times in ms; the attempt was sent at 1000. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "connection_health.h"

static void
judgements (void **state)
{
  static const struct
  {
    const char *what;
    gint64 expected, proven, now;
    CcConnectionAction action;
  } cases[] = {
    { "in time", 4, 1050, 1100, CC_CONNECTION_KEEP },
    { "long work in time", 50, 1050, 1500, CC_CONNECTION_KEEP },
    { "overdue, not probed", 4, 950, 1140, CC_CONNECTION_PROBE },
    { "frozen: no probe answered", 4, 950, 3000, CC_CONNECTION_PROBE },
    { "probe of the same moment", 4, 1000, 1140, CC_CONNECTION_PROBE },
    { "silent", 4, 1135, 1140, CC_CONNECTION_SUSPECT },
  };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcConnectionHealth h = { .proven = cases[i].proven * CC_MS };
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
  const struct CMUnitTest tests[] = { cmocka_unit_test (judgements),
                                      cmocka_unit_test (pool_dropped_once) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
