/* Guards against uneven load and against needless moves: fixed cases, and
 * seeded runs compared with an assigner that rehashes slices modulo the number
 * of servers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "balance.h"
#include "server_shares.h"
#include "world.h"

#define SLICES 256

typedef struct
{
  const char *name;
  double loads[6];   /* of units; negative: end of the list */
  gint32 servers[6]; /* of units */
  double shares[3];  /* of servers; negative: not eligible */
  guint moves;       /* expected of place and rebalance together */
  double imbalance;  /* expected upper bound */
} Case;

static const Case cases[] = {
  { "even: nothing moves", { 1, 1, 1, -1 }, { 0, 1, 2 }, { 1, 1, 1 }, 0, 1.01 },
  { "one move evens out",
    { 3, 3, 3, 3, -1 },
    { 0, 0, 1, -1 },
    { 1, 1, -1 },
    1,
    1.01 },
  { "an unassigned unit goes to the idle server",
    { 3, 1, 2, -1 },
    { 0, 1, -1 },
    { 1, 1, -1 },
    1,
    1.02 },
  { "a leaving server's units go, the others stay",
    { 2, 2, 2, 2, -1 },
    { 0, 1, 2, 2 },
    { 1, 1, -1 },
    2,
    1.01 },
  { "a unit above every target stays, its neighbour goes",
    { 9, 1, 1, -1 },
    { 0, 0, 1 },
    { 1, 1, -1 },
    1,
    1.65 },
  { "half a share gets half the load",
    { 1, 1, 1, 1, 1, 1 },
    { 0, 0, 0, 0, 0, 0 },
    { 1, 0.5, -1 },
    2,
    1.01 },
  { "no server is eligible: nothing moves",
    { 1, 1, -1 },
    { 0, -1 },
    { -1, -1, -1 },
    0,
    0.01 },
};

static CcBalance *
balance_of (const Case *c)
{
  CcBalance *b = cc_balance_new ();

  for (guint i = 0; i < 3; i++)
    cc_balance_add_server (b, c->shares[i] >= 0, c->shares[i]);
  for (guint i = 0; i < 6 && c->loads[i] >= 0; i++)
    {
      CcBalanceUnit u = { .load = c->loads[i], .server = c->servers[i] };

      cc_balance_add_unit (b, &u);
    }
  cc_balance_prepare (b);
  return b;
}

static void
test_cases (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcBalance *b = balance_of (&cases[i]);
      guint moves = cc_balance_place (b, 100);

      moves += cc_balance_rebalance (b, 1.02, 100);
      if (moves != cases[i].moves ||
          cc_balance_imbalance (b) > cases[i].imbalance)
        print_message ("%s: %u moves, imbalance %.3f\n", cases[i].name, moves,
                       cc_balance_imbalance (b));
      assert_int_equal (moves, cases[i].moves);
      assert_true (cc_balance_imbalance (b) <= cases[i].imbalance);
      cc_balance_free (b);
    }
}

/* Units that rehashing moves when the number of servers goes from BEFORE to
 * AFTER. */
static guint
naive_moves (guint before, guint after)
{
  guint n = 0;

  for (guint i = 0; i < SLICES; i++)
    n += i % before != i % after;
  return n;
}

/* A server joins and later another leaves under uneven load.  Each move pauses
 * a key for its callers, so at most 1.1 times the minimum number of units may
 * move; rehashing moves nearly all of them. */
static void
join_and_leave (guint32 seed)
{
  CcPreference prefer = seed % 2 != 0 ? CC_PREFER_STABILITY : 0;
  guint n = 4 + seed % 15;
  World *w = world_new (SLICES, n, prefer, seed);
  guint fewest, joined;

  world_spread (w, n * 2.0);
  world_run (w, 200);
  w->moves = 0;
  world_join (w, "new");
  world_run (w, 40);
  joined = w->moves;
  fewest = SLICES / (n + 1) + 1;
  if (joined > fewest * 11 / 10 || joined >= naive_moves (n, n + 1) ||
      world_imbalance (w) > 1.25)
    fail_msg ("seed %u: join moved %u, fewest %u, imbalance %.3f", seed, joined,
              fewest, world_imbalance (w));
  fewest = world_owned (w, "s0");
  w->moves = 0;
  world_find (w, "s0")->leaving = TRUE;
  world_run (w, 20);
  assert_int_equal (world_owned (w, "s0"), 0);
  if (w->moves > fewest * 11 / 10 || world_imbalance (w) > 1.25)
    fail_msg ("seed %u: leave moved %u, fewest %u, imbalance %.3f", seed,
              w->moves, fewest, world_imbalance (w));
  world_free (w);
}

static void
test_join_and_leave (void **state)
{
  (void) state;
  for (guint32 seed = 1; seed <= 20; seed++)
    join_and_leave (seed);
}

/* Measured loads vary by 3% around constant true loads: nothing may move for
 * hours, whatever the weights of the units. */
static void
test_noise_moves_nothing (void **state)
{
  (void) state;
  for (guint32 seed = 1; seed <= 2; seed++)
    {
      World *w = world_new (SLICES, 18, (CcPreference) (seed - 1), seed);

      world_spread (w, 36);
      world_run (w, 600);
      w->moves = 0;
      w->noise = 0.03;
      world_run (w, 1200);
      if (w->moves != 0)
        fail_msg ("seed %u: %u moves for noise", seed, w->moves);
      world_free (w);
    }
}

/* A pool starts under load that is measured inaccurately at first.  Its servers
 * are all new, and none may be filled like a server that joins a running pool,
 * which moves 700 units in 20 s. */
static void
test_start_under_load (void **state)
{
  World *w = world_new (SLICES, 0, CC_PREFER_AVAILABILITY, 1);

  (void) state;
  for (guint i = 0; i < 10; i++)
    {
      g_autofree char *name = g_strdup_printf ("s%u", i);

      world_join (w, name);
    }
  world_spread (w, 20);
  w->noise = 0.2;
  world_run (w, 60);
  print_message ("start: %u moves\n", w->moves);
  assert_true (w->moves <= SLICES * 12 / 100);
  world_free (w);
}

/* A server is lost and returns every 15 s for an hour.  Each loss has to move
 * its units, but they may not all move back after each return. */
static void
test_flapping_server (void **state)
{
  World *w = world_new (SLICES, 10, CC_PREFER_STABILITY, 1);
  guint turns = 240;

  (void) state;
  world_spread (w, 20);
  world_run (w, 200);
  w->moves = 0;
  for (guint i = 0; i < turns; i++)
    {
      world_find (w, "s3")->silent = i % 2 == 0;
      world_run (w, 15);
    }
  print_message ("flapping: %u units moved in an hour, %u if each turn did\n",
                 w->moves, turns * SLICES / 10);
  assert_true (w->moves < 4 * SLICES / 10);
  world_free (w);
}

/* A server that is unreachable but still listed keeps its place in the map.
 * Treated as new at each step, it would be given slices, lose them a second
 * later, and restart its term at 1. */
static void
test_lost_server_stays_lost (void **state)
{
  World *w = world_new (SLICES, 6, CC_PREFER_AVAILABILITY, 1);
  guint owned = world_owned (w, "s2");
  guint64 term;

  (void) state;
  term = cc_slicemap_server (w->map, cc_slicemap_find (w->map, "s2"))->term;
  world_find (w, "s2")->silent = TRUE;
  world_run (w, 60);
  assert_int_equal (w->moves, owned);
  assert_true (cc_slicemap_find (w->map, "s2") >= 0);
  world_find (w, "s2")->listed = FALSE;
  world_run (w, 5);
  assert_int_equal (cc_slicemap_find (w->map, "s2"), -1);
  world_join (w, "s2");
  world_run (w, 30);
  assert_true (
      cc_slicemap_server (w->map, cc_slicemap_find (w->map, "s2"))->term >
      term);
  assert_true (world_owned (w, "s2") > 0);
  world_free (w);
}

/* A joining server gets a fifth of its share at first. */
static void
test_warm_up (void **state)
{
  World *w = world_new (SLICES, 9, CC_PREFER_AVAILABILITY, 1);
  guint early;

  (void) state;
  world_spread (w, 18);
  world_run (w, 300);
  world_join (w, "new");
  world_run (w, 2);
  early = world_owned (w, "new");
  world_run (w, 30);
  assert_in_range (early, 1, world_owned (w, "new") / 3);
  world_free (w);
}

#define LOSSES 6  /* of one server; it then gets no units for 160 s */
#define TURNS 200 /* steps of two alternating assigners, 40 s */

/* Swaps the active planner with OTHER. */
static void
swap_planners (World *w, CcPlanner **other)
{
  CcPlanner *now = w->planner;

  w->planner = *other;
  *other = now;
}

static void
lose_repeatedly (World *w, const char *name)
{
  for (guint i = 0; i < LOSSES; i++)
    {
      world_find (w, name)->silent = TRUE;
      world_run (w, 3);
      world_find (w, name)->silent = FALSE;
      world_run (w, 3);
    }
}

/* Guards against unserved units: two assigners plan at the same time, each has
 * recorded losses of a different server, and each takes from that server what
 * the other has just assigned to it. */
static void
two_assigners_do_not_undo_each_other (void **state)
{
  static const guint sizes[] = { 4, 6, 18 };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      World *w = world_new (64, sizes[i], CC_PREFER_AVAILABILITY, 1);
      CcPlanner *other = cc_planner_new ();

      world_spread (w, 8);
      lose_repeatedly (w, "s1");
      swap_planners (w, &other);
      lose_repeatedly (w, "s3");
      for (guint k = 0; k < TURNS; k++)
        {
          w->moves = k < TURNS / 2 ? 0 : w->moves;
          swap_planners (w, &other);
          world_tick (w);
        }
      if (w->moves > 0)
        fail_msg ("%u servers: %u moves after %u turns", sizes[i], w->moves,
                  TURNS / 2);
      cc_planner_free (other);
      world_free (w);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_join_and_leave),
    cmocka_unit_test (test_noise_moves_nothing),
    cmocka_unit_test (test_start_under_load),
    cmocka_unit_test (test_flapping_server),
    cmocka_unit_test (test_lost_server_stays_lost),
    cmocka_unit_test (test_warm_up),
    cmocka_unit_test (two_assigners_do_not_undo_each_other),
  };

  return cmocka_run_group_tests_name ("balance", tests, NULL, NULL);
}
