/* Guards against callers who wait for each upstream of a pool in turn after the
 * gateway has lost its links to all of them, and against a gateway that takes a
 * few lost upstreams for that. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "pool_reach.h"

#define UPSTREAMS_MAX 20
#define SECOND_STEP (100 * CC_MS)

/* Steps of 100 ms: "-3" a connection to upstream 3 fails, "+3" it responds,
 * "." nothing, "_" a second passes. */
typedef struct
{
  const char *name;
  const char *steps;
  guint upstreams;
  gboolean partitioned;
} Case;

static const Case cases[] = {
  { "nothing happened", "", 18, FALSE },
  { "two upstreams fail", "-0 -1", 18, FALSE },
  { "three fail, none responds", "-0 -1 -2", 18, TRUE },
  { "one fails again and again", "-0 -0 -0 -0", 18, FALSE },
  { "three fail, others respond", "-0 +5 -1 +6 -2 +7", 18, FALSE },
  { "all fail but one", "-0 -1 -2 +9 -3 -4 +9 -5 +9", 18, TRUE },
  { "all fail but a third", "-0 -1 +9 -2 +8 -3 +7", 18, FALSE },
  { "all of two fail", "-0 -1", 2, TRUE },
  { "the only one fails", "-0", 1, TRUE },
  { "the links are restored", "-0 -1 -2 -3 +0 +1 +2", 18, FALSE },
  { "... one has responded yet", "-0 -1 -2 -3 +0", 18, TRUE },
  { "... and fail again", "-0 -1 -2 +0 +1 +2 -0 -1 -2", 18, TRUE },
  { "no failure for a while", "-0 -1 -2 _ _ _ _ _", 18, FALSE },
  { "failures go on", "-0 -1 -2 _ _ _ -0 _ _", 18, TRUE },
  { "responses of an earlier episode", "-0 +0 +5 +6 _ -1 -2 -3", 18, TRUE },
};

static void
partitions_are_told_from_lost_upstreams (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      g_auto (GStrv) steps = g_strsplit (c->steps, " ", -1);
      CcReachMark marks[UPSTREAMS_MAX] = { 0 };
      CcPoolReach r = { 0 };
      gint64 now = 1000 * CC_SECOND;

      for (guint k = 0; steps[k] != NULL; k++)
        {
          int upstream = atoi (steps[k] + (steps[k][0] != '\0'));

          if (steps[k][0] == '-')
            cc_pool_reach_failed (&r, &marks[upstream], now);
          if (steps[k][0] == '+')
            cc_pool_reach_succeeded (&r, &marks[upstream], now);
          now += steps[k][0] == '_' ? CC_SECOND : SECOND_STEP;
        }
      if (cc_pool_reach_is_partitioned (&r, c->upstreams, now) !=
          c->partitioned)
        fail_msg ("%s", c->name);
    }
}

/* An upstream that responds while others fail is used directly. */
static void
an_upstream_that_responds_counts_as_reached (void **state)
{
  CcReachMark marks[4] = { 0 };
  CcPoolReach r = { 0 };

  (void) state;
  cc_pool_reach_failed (&r, &marks[0], 1);
  cc_pool_reach_succeeded (&r, &marks[1], 2);
  assert_false (cc_pool_reach_is_reached (&r, &marks[0]));
  assert_true (cc_pool_reach_is_reached (&r, &marks[1]));
  assert_false (cc_pool_reach_is_reached (&r, &marks[2]));
  cc_pool_reach_failed (&r, &marks[1], 3);
  assert_false (cc_pool_reach_is_reached (&r, &marks[1]));
}

typedef struct
{
  const char *name;
  guint sent_since;  /* attempts sent since the pool's last response */
  gint64 silence_ms; /* since that response, when the attempt is sent */
  gboolean silent;
} SilenceCase;

static const SilenceCase silence_cases[] = {
  { "the pool responds", 5, -10, FALSE },
  { "a single request waits", 1, 10, FALSE },
  { "several wait", 3, 10, TRUE },
};

/* Requests on connections that hang are noticed if the whole pool is silent,
 * without a connection for each request that takes long. */
static void
a_silent_pool_is_told_from_a_slow_upstream (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (silence_cases); i++)
    {
      const SilenceCase *c = &silence_cases[i];
      CcReachMark mark = { 0 };
      CcPoolReach r = { 0 };
      gint64 answered = 100 * CC_SECOND;

      cc_pool_reach_succeeded (&r, &mark, answered);
      for (guint k = 0; k < c->sent_since; k++)
        cc_pool_reach_sent (&r);
      if (cc_pool_reach_is_silent (&r, answered + c->silence_ms * CC_MS) !=
          c->silent)
        fail_msg ("%s", c->name);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (partitions_are_told_from_lost_upstreams),
    cmocka_unit_test (an_upstream_that_responds_counts_as_reached),
    cmocka_unit_test (a_silent_pool_is_told_from_a_slow_upstream),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
