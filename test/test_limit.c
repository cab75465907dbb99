/* Guards against a limit that overfills a cold or shedding server or leaves
 * slots unused.  The slots of the simulated server are not known to the limit.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "limit.h"

#define SERVICE (4 * CC_MS)

/* Records responses for SECONDS at the rate of a server of SLOTS under L. */
static gint64
run_saturated (CcLimit *l, guint slots, gint64 now, guint seconds)
{
  gint64 end = now + seconds * CC_SECOND;

  while (now < end)
    {
      now += SERVICE / MIN (l->limit, slots);
      cc_limit_answered (l, TRUE, now);
    }
  return now;
}

typedef struct
{
  const char *name;
  guint slots;       /* of the server */
  guint seconds;     /* duration of the saturation */
  guint least, most; /* bounds of the resulting limit */
} Case;

static const Case cases[] = {
  { "four slots", 4, 120, 4, 4 },
  { "eight slots", 8, 240, 8, 8 },
  { "two slots", 2, 240, 2, 2 },
  { "one slot", 1, 240, 1, 1 },
};

static void
test_finds_the_slots (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcLimit l;

      cc_limit_init (&l);
      run_saturated (&l, cases[i].slots, 0, cases[i].seconds);
      if (l.baseline < cases[i].least || l.baseline > cases[i].most)
        fail_msg ("%s: %u", cases[i].name, l.baseline);
    }
}

/* A cold server gets its first requests one at a time. */
static void
test_warms_up (void **state)
{
  static const guint limits[] = { 1, 2, 2, 3, 3, 3, 4, 4 };
  CcLimit l;

  cc_limit_init (&l);
  for (guint i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      assert_int_equal (l.limit, limits[i]);
      cc_limit_answered (&l, FALSE, i * SERVICE);
    }
}

/* Four attempts sent together are refused together: the limit is cut once, and
 * sending pauses for one service time; a refusal after that is the next cut. */
static void
test_refusal_cuts_limit (void **state)
{
  gint64 now = CC_SECOND;
  CcLimit l;

  cc_limit_init (&l);
  run_saturated (&l, 4, 0, 1);
  for (guint i = 0; i < 4; i++)
    cc_limit_shed (&l, SERVICE, now + i);
  assert_int_equal (l.limit, 2);
  assert_false (cc_limit_may_send (&l, 0, now + SERVICE));
  now += SERVICE + 10;
  assert_true (cc_limit_may_send (&l, 1, now));
  assert_false (cc_limit_may_send (&l, 2, now));
  cc_limit_shed (&l, SERVICE, now);
  assert_int_equal (l.limit, 1);
}

static void
test_lost_attempt_resets_limit (void **state)
{
  CcLimit l;

  cc_limit_init (&l);
  run_saturated (&l, 4, 0, 1);
  cc_limit_lost (&l, CC_SECOND);
  assert_int_equal (l.limit, 1);
  run_saturated (&l, 4, CC_SECOND, 1);
  assert_int_equal (l.limit, 4);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_finds_the_slots),
    cmocka_unit_test (test_warms_up),
    cmocka_unit_test (test_refusal_cuts_limit),
    cmocka_unit_test (test_lost_attempt_resets_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
