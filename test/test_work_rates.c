/* Guards against requests for the keys of slow owners that are refused or late
 * while fast owners idle.  Owners have constant speeds; twelve entries each
 * see a few responses of each, whose times deviate by about their mean. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>

#include <math.h>

#include <cmocka.h>

#include "work_rates.h"

#define SEEDS 200
#define OWNERS 13
#define WORK 220000.0
#define PERIOD (400 * CC_MS)

typedef struct
{
  const char *name;
  double speeds[3];  /* assigned to the owners in turn */
  double rate;       /* responses per second of each owner */
  gint64 after;      /* s; duration of the reports */
  double error_most; /* largest mean relative error of the estimates */
} Case;

static const Case cases[] = {
  /* By chance alone, 200 responses in all give a mean with an error of a
   * twelfth. */
  { "all alike, after 2 s", { 1, 1, 1 }, 8, 2, 0.2 },
  { "unlike, after 5 s", { 0.6, 1, 1.4 }, 8, 5, 0.2 },
  { "unlike, after 15 s", { 0.6, 1, 1.4 }, 8, 15, 0.13 },
  { "very unlike, after 15 s", { 0.3, 1, 2 }, 8, 15, 0.2 },
  { "few answers, after 15 s", { 0.6, 1, 1.4 }, 1, 15, 0.3 },
};

static double
draw (GRand *rand, double mean)
{
  return -mean * log (1.0 - g_rand_double (rand));
}

static double
error_of (const Case *c, guint seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  CcWorkRates r;
  double error = 0;
  gint64 now;

  cc_work_rates_init (&r);
  for (now = PERIOD; now <= c->after * CC_SECOND; now += PERIOD)
    for (guint i = 0; i < OWNERS; i++)
      {
        g_autofree char *id = g_strdup_printf ("u%u", i);
        double due = c->rate * PERIOD / CC_SECOND;
        double work = 0;
        guint answers = 0;

        for (; due > 0; due -= 1)
          if (g_rand_double (rand) < due)
            {
              work += draw (rand, WORK / c->speeds[i % 3]);
              answers++;
            }
        cc_work_rates_add (&r, "p", id, work, answers, now);
      }
  for (guint i = 0; i < OWNERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("u%u", i);
      double truth = WORK / c->speeds[i % 3];

      error += fabs (cc_work_rates_of (&r, "p", id, now) / truth - 1.0);
    }
  cc_work_rates_clear (&r);
  g_rand_free (rand);
  return error / OWNERS;
}

static void
lasting_speeds_are_known_within_seconds (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      double error = 0;

      for (guint seed = 1; seed <= SEEDS; seed++)
        error += error_of (&cases[i], seed) / SEEDS;
      if (error > cases[i].error_most)
        fail_msg ("%s: off by %.3f", cases[i].name, error);
    }
}

/* An upstream without reports is estimated like its pool, and a pool without
 * reports by the default. */
static void
the_estimate_without_reports_is_the_pools (void **state)
{
  CcWorkRates r;

  (void) state;
  cc_work_rates_init (&r);
  assert_true (cc_work_rates_of (&r, "p", "u", 0) > 0);
  cc_work_rates_add (&r, "p", "u0", 10 * WORK, 10, CC_SECOND);
  assert_true (fabs (cc_work_rates_of (&r, "p", "u1", CC_SECOND) - WORK) < 1);
  /* An old response counts for little. */
  cc_work_rates_add (&r, "p", "u2", 10 * WORK, 2, CC_SECOND);
  assert_true (cc_work_rates_of (&r, "p", "u2", CC_SECOND) >
               1.05 * cc_work_rates_of (&r, "p", "u2", 60 * CC_SECOND));
  cc_work_rates_clear (&r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lasting_speeds_are_known_within_seconds),
    cmocka_unit_test (the_estimate_without_reports_is_the_pools),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
