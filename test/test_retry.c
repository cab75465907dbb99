/* Guards against retries that multiply the load of a failing server, and
 * against retries of work that must not run twice. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "retry.h"

typedef struct
{
  const char *name;
  gboolean once_only;
  CcFailure failure;
  guint tries;
  gboolean again;
} Case;

static const Case cases[] = {
  { "read refused", FALSE, CC_FAIL_NOT_RUN, 1, TRUE },
  { "read lost", FALSE, CC_FAIL_UNKNOWN, 1, TRUE },
  { "booking refused", TRUE, CC_FAIL_NOT_RUN, 1, TRUE },
  { "booking lost", TRUE, CC_FAIL_UNKNOWN, 1, FALSE },
  { "second try failed", FALSE, CC_FAIL_NOT_RUN, 2, FALSE },
};

static void
test_cases (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcRetries r;

      cc_retries_init (&r);
      if (cc_retries_take (&r, 1, cases[i].once_only, cases[i].failure,
                           cases[i].tries) != cases[i].again)
        fail_msg ("%s", cases[i].name);
      cc_retries_clear (&r);
    }
}

/* With three tries for each request, failures would triple the load.  Each
 * seed draws a failure rate; retries stay within a tenth of the first attempts
 * plus the burst, and another class's budget is not affected. */
static void
test_wave_of_failures (void **state)
{
  for (guint32 seed = 1; seed <= 2000; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      double failing = g_rand_double (rand);
      guint retries = 0;
      CcRetries r;

      cc_retries_init (&r);
      for (guint i = 1; i <= 1000; i++)
        {
          cc_retries_earn (&r, 1);
          if (g_rand_double (rand) < failing)
            retries += cc_retries_take (&r, 1, FALSE, CC_FAIL_UNKNOWN, 1);
          if (retries > i / 10 + 10)
            fail_msg ("seed %u: %u retries of %u", seed, retries, i);
        }
      assert_true (cc_retries_take (&r, 2, FALSE, CC_FAIL_UNKNOWN, 1));
      cc_retries_clear (&r);
      g_rand_free (rand);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_wave_of_failures),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
