/* Guards against requests that take the wrong route, shares of pools that are
 * missed, and a fleet that exceeds its retry budget. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "retry_budget.h"
#include "routes.h"

typedef struct
{
  const char *host;
  const char *path;
  const char *route; /* NULL: none */
} Find;

static const Find finds[] = {
  { "a.example", "/x/", "x" },      { "a.example", "/x/1", "x" },
  { "a.example", "/x/y/1", "xy" },  { "a.example", "/x", NULL },
  { "a.example", "/xy/1", NULL },   { "a.example", "/", NULL },
  { "A.Example", "/x/1", "x" },     { "a.example:8080", "/x/1", "x" },
  { "b.example", "/x/1", "other" }, { "b.example", "/y/1", "all" },
  { "c.example", "/x/1", NULL },    { "", "/x/1", NULL },
};

static void
the_longest_prefix_of_the_host_wins (void **state)
{
  CcRoutes *r = cc_routes_new (1);

  (void) state;
  cc_routes_add (r, "x", "a.example", "/x/");
  cc_routes_add (r, "xy", "a.example", "/x/y/");
  cc_routes_add (r, "all", "b.example", "/");
  cc_routes_add (r, "other", "b.example", "/x/");
  for (guint i = 0; i < G_N_ELEMENTS (finds); i++)
    {
      const CcRoute *found = cc_routes_find (r, finds[i].host, finds[i].path);
      const char *name = found != NULL ? found->name : NULL;

      if (g_strcmp0 (name, finds[i].route) != 0)
        fail_msg ("%s%s: %s", finds[i].host, finds[i].path, name);
    }
  cc_routes_free (r);
}

/* If two routes have the same host and prefix, the last one applies. */
static void
a_route_with_the_same_prefix_replaces_the_first (void **state)
{
  CcRoutes *r = cc_routes_new (1);

  (void) state;
  cc_routes_add (r, "first", "a.example", "/x/");
  cc_routes_add (r, "second", "A.Example", "/x/");
  assert_int_equal (r->count, 1);
  assert_string_equal (cc_routes_find (r, "a.example", "/x/1")->name, "second");
  cc_routes_free (r);
}

/* Guards against a share of a tenth that is missed when eleven gateways serve a
 * few requests each. */
static void
shares_hold_over_few_requests_of_many_entries (void **state)
{
  guint second = 0, all = 0;

  (void) state;
  for (guint entry = 0; entry < 11; entry++)
    {
      CcRoutes *r = cc_routes_new (1);
      CcRoute *route = cc_routes_add (r, "x", "a", "/");

      cc_route_add_part (route, "first", 90);
      cc_route_add_part (route, "second", 10);
      cc_route_add_part (route, "none", 0);
      for (guint i = 0; i < 18 + entry; i++, all++)
        {
          const char *pool = cc_route_next_pool (route);

          assert_string_not_equal (pool, "none");
          second += strcmp (pool, "second") == 0;
        }
      cc_routes_free (r);
    }
  assert_true (second > 0.05 * all && second < 0.15 * all);
}

static void
a_route_without_weight_has_no_pool (void **state)
{
  CcRoutes *r = cc_routes_new (1);
  CcRoute *route = cc_routes_add (r, "x", "a", "/");

  (void) state;
  cc_route_add_part (route, "none", 0);
  assert_null (cc_route_next_pool (route));
  cc_routes_free (r);
}

#define ENTRIES 11
#define SECONDS 60 /* of simulated time */

static const CcRetryBound bound = { 0.2, 62, 10 * CC_SECOND };

/* Simulates the requests of gateway E, which has BUDGET, in the tenth of a
 * second before NOW; each failure is repeated as often as the budget allows. */
static void
simulate_entry (CcRetryBudget *budget, guint e, GRand *rand, gint64 now,
                guint *requests, guint *repeats)
{
  guint n = (guint) g_rand_int_range (rand, 0, (gint32) e + 2);

  if (g_rand_int_range (rand, 0, 2000) == 0)
    *budget = (CcRetryBudget){ 0 };
  *requests += n;
  for (guint i = 0; i < n; i++)
    cc_retry_budget_earn (budget, &bound);
  while (cc_retry_budget_take (budget, &bound, ENTRIES, now))
    ++*repeats;
}

/* Guards against a fleet that exceeds the retry budget in any window: for a
 * minute all requests fail, every gateway repeats as often as it may, and some
 * restart with an empty budget. */
static void
the_fleet_keeps_the_bound_in_every_window (void **state)
{
  (void) state;
  for (guint seed = 0; seed < 200; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      CcRetryBudget budgets[ENTRIES] = { 0 };
      guint requests[SECONDS * 10] = { 0 }, repeats[SECONDS * 10] = { 0 };

      for (guint t = 0; t < SECONDS * 10; t++)
        for (guint e = 0; e < ENTRIES; e++)
          simulate_entry (&budgets[e], e, rand, (t + 1) * CC_SECOND / 10,
                          &requests[t], &repeats[t]);
      for (guint from = 0; from + 100 <= SECONDS * 10; from++)
        {
          guint total = 0, again = 0;

          for (guint t = from; t < from + 100; t++)
            {
              total += requests[t];
              again += repeats[t];
            }
          if (again > bound.ratio * total + bound.slack)
            fail_msg ("seed %u: %u repeats of %u requests", seed, again, total);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_longest_prefix_of_the_host_wins),
    cmocka_unit_test (a_route_with_the_same_prefix_replaces_the_first),
    cmocka_unit_test (shares_hold_over_few_requests_of_many_entries),
    cmocka_unit_test (a_route_without_weight_has_no_pool),
    cmocka_unit_test (the_fleet_keeps_the_bound_in_every_window),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
