/* Guards against upstreams of a large fleet that are overfilled because each
 * entry has only old reports of them. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <math.h>

#include <cmocka.h>

#include "pool_load.h"

#define WORK (100.0 * CC_MS)
#define START (10 * CC_SECOND)
#define UPSTREAMS 20

/* Reports of UPSTREAMS at one time, then the mean some time later. */
typedef struct
{
  const char *name;
  guint idle; /* upstreams that report no requests inside */
  guint busy; /* upstreams that report LOAD per slot */
  double load;
  guint repeated; /* further reports of one of the busy ones */
  guint resets;   /* upstreams that then reset a request */
  gint64 after;   /* us */
  double least;   /* lower bound of the mean */
  double most;    /* upper bound of the mean */
} Case;

static const Case cases[] = {
  { "no report", 0, 0, 0, 0, 0, 0, 0, 0 },
  { "all alike", 0, 20, 3, 0, 0, 0, 2.8, 3 },
  { "half of them", 10, 10, 3, 0, 0, 0, 1.4, 1.5 },
  { "few reports", 0, 1, 3, 0, 0, 0, 1.4, 1.5 },
  /* Weighted by the number of reports the mean would be 3. */
  { "one that reports often", 19, 1, 4, 60, 0, 0, 0.15, 0.25 },
  { "resets while others wait", 0, 10, 3, 0, 10, 0, 2.7, 3 },
  { "resets while others idle", 10, 0, 0, 0, 10, 0, 0, 0 },
  /* Sixteen half-lives of the reports of twenty upstreams. */
  { "long ago", 0, 20, 3, 0, 0, 16 * 400 * CC_MS, 0, 0.01 },
};

static double
run_case (const Case *c)
{
  CcPoolReport reports[UPSTREAMS] = { 0 };
  CcPoolLoad p = { 0 };
  guint u = 0;

  for (guint i = 0; i < c->idle; i++)
    cc_pool_load_add (&p, &reports[u++], 0, WORK, START);
  for (guint i = 0; i < c->busy; i++)
    cc_pool_load_add (&p, &reports[u++], c->load, WORK, START);
  for (guint i = 0; i < c->repeated; i++)
    cc_pool_load_add (&p, &reports[u - 1], c->load, WORK, START);
  for (guint i = 0; i < c->resets; i++)
    cc_pool_load_add_reset (&p, &reports[u++], WORK, START);
  return cc_pool_load_typical (&p, START + c->after);
}

static void
the_typical_load_follows_the_reports (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      double mean = run_case (&cases[i]);

      if (mean < cases[i].least || mean > cases[i].most)
        fail_msg ("%s: %.3f", cases[i].name, mean);
    }
}

/* A report of a longer queue decays more slowly, since it takes longer to
 * serve. */
static void
the_report_of_a_long_queue_decays_slowly (void **state)
{
  CcPoolReport reports[2] = { 0 };
  CcPoolLoad pools[2] = { 0 };
  double kept[2];

  (void) state;
  for (guint i = 0; i < 2; i++)
    {
      cc_pool_load_add (&pools[i], &reports[i], i == 0 ? 1 : 5, WORK, START);
      kept[i] = cc_pool_load_typical (&pools[i], START + 300 * CC_MS) /
                cc_pool_load_typical (&pools[i], START);
    }
  assert_true (kept[1] > 1.5 * kept[0]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_typical_load_follows_the_reports),
    cmocka_unit_test (the_report_of_a_long_queue_decays_slowly),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
