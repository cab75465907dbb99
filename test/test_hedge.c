/* Guards against reads that wait on a silent connection until their deadline,
 * and against second attempts that only add work to a slow server. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "load.h"

typedef struct
{
  const char *name;
  CcHedgeAttempt attempt;
  gboolean again;
} Case;

/* once-only, age in us, later answers, mean and deviation of the cost in us */
static const Case cases[] = {
  { "silent connection", { FALSE, 40000, 4, { 4000, 1000 } }, TRUE },
  { "slow server: slow for all", { FALSE, 40000, 3, { 4000, 1000 } }, FALSE },
  { "stalled server", { FALSE, 900000, 0, { 4000, 1000 } }, FALSE },
  { "once-only", { TRUE, 900000, 900, { 4000, 1000 } }, FALSE },
  { "long kind of work", { FALSE, 90000, 90, { 80000, 20000 } }, FALSE },
  { "a lost packet", { FALSE, 15000, 99, { 1000, 100 } }, FALSE },
};

static void
test_cases (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    if (cc_hedge_decide (&cases[i].attempt) != cases[i].again)
      fail_msg ("%s", cases[i].name);
}

static void
answer (CcLoad *l, CcQueueEntry *w, gint64 now)
{
  *w = (CcQueueEntry){ .within = 100 * CC_MS, .left = CC_SECOND, .kind = 1 };
  assert_true (cc_load_offer (l, w, now).admitted);
  assert_ptr_equal (cc_load_next (l, NULL, NULL, now), w);
  cc_load_done (l, w, CC_LOAD_ANSWERED, now + 4 * CC_MS);
}

/* A read is sent on a connection that has gone silent, and later requests are
 * answered.  Instead of an unknown outcome at the deadline, the attempt is
 * abandoned and sent again; the limit stays, since the server is healthy.  The
 * second attempt is never abandoned. */
static void
test_silent_connection (void **state)
{
  CcQueueEntry silent = { .within = 100 * CC_MS, .left = CC_SECOND, .kind = 1 };
  CcQueueEntry other;
  guint limit;
  CcLoad l;

  cc_load_init (&l);
  for (guint i = 0; i < 20; i++)
    answer (&l, &other, i * 10 * CC_MS);
  silent.arrived = 200 * CC_MS;
  assert_true (cc_load_offer (&l, &silent, silent.arrived).admitted);
  assert_non_null (cc_load_next (&l, NULL, NULL, silent.arrived));
  for (guint i = 0; i < 4; i++)
    {
      assert_false (cc_load_hedge (&l, &silent, 230 * CC_MS));
      answer (&l, &other, (201 + i) * CC_MS);
    }
  assert_true (cc_load_hedge (&l, &silent, 230 * CC_MS));
  limit = l.limit.limit;
  cc_load_done (&l, &silent, CC_LOAD_LOST, 230 * CC_MS);
  assert_int_equal (l.limit.limit, limit);
  assert_true (cc_load_retry (&l, &silent, CC_FAIL_UNKNOWN, 230 * CC_MS));
  assert_ptr_equal (cc_load_next (&l, NULL, NULL, 230 * CC_MS), &silent);
  for (guint i = 0; i < 12; i++)
    answer (&l, &other, (231 + i) * CC_MS);
  assert_false (cc_load_hedge (&l, &silent, 400 * CC_MS));
  cc_load_clear (&l);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_silent_connection),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
