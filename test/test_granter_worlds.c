/* Granters in worlds where many kinds of things go wrong, several at once:
 * beside those of test_granter, processes resign and are started again at their
 * address, writes of a slow table are carried out seconds after they were given
 * up, the lease's holder is left alone with a part of the servers, servers
 * start again under their ids, unlisted for some, half of them at once, and a
 * pool is configured later. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "clock.h"
#include "granter_world.h"

#define SEEDS 60
#define SEEDS_LARGE 15 /* of large pools, which take ten times as long */

static void
play (const WorldKind *kind, guint seed)
{
  WorldKind k = *kind;

  k.seed = seed;
  world_play (&k);
  if (world.failure[0] != '\0')
    fail_msg ("seed %u, at %.2f s: %s", seed,
              (double) (cc_clock_now () - 1000 * CC_SECOND) / 1e6,
              world.failure);
  world_clear ();
}

/* Plays the seeds up to COUNT, and those in FOUND, which end with 0. */
static void
play_all (const WorldKind *kind, guint count, const guint *found)
{
  for (; *found != 0; found++)
    play (kind, *found);
  for (guint seed = 1; seed <= count; seed++)
    play (kind, seed);
}

/* Guards against a slot that is sold twice as processes and servers are lost
 * and few calls are. */
static void
one_owner_where_calls_arrive (void **state)
{
  const WorldKind kind = {
    .faults = 0.02, .many = TRUE, .often = 0.3, .notifies = TRUE
  };
  const guint found[] = { 78, 163, 0 };

  (void) state;
  play_all (&kind, SEEDS, found);
}

/* Guards against the same where many calls are lost or carried out late. */
static void
one_owner_where_calls_are_lost (void **state)
{
  const WorldKind kind = {
    .faults = 0.2, .many = TRUE, .often = 0.5, .notifies = TRUE
  };
  const guint found[] = { 25, 40, 73, 113, 125, 0 };

  (void) state;
  play_all (&kind, SEEDS, found);
}

/* Guards against the same in a pool so small that a granter that is cut off
 * from most owners does not give up. */
static void
one_owner_in_a_small_pool (void **state)
{
  const WorldKind kind = { .faults = 0.1,
                           .servers = 3,
                           .many = TRUE,
                           .often = 0.4,
                           .notifies = TRUE,
                           .table_takes = 100 * CC_MS };
  const guint found[] = { 12, 20, 25, 100, 137, 0 };

  (void) state;
  play_all (&kind, SEEDS, found);
}

/* Guards against the same as another pool is configured. */
static void
one_owner_as_a_pool_is_added (void **state)
{
  const WorldKind kind = { .faults = 0.1,
                           .servers = 11,
                           .later = 5,
                           .many = TRUE,
                           .often = 0.5,
                           .notifies = TRUE,
                           .table_takes = 60 * CC_MS };
  const guint found[] = { 13, 35, 86, 104, 162, 164, 191, 0 };

  (void) state;
  play_all (&kind, SEEDS, found);
}

/* Guards against the same as another pool is configured, with a slow table and
 * nobody told of renewals. */
static void
one_owner_with_a_slow_table (void **state)
{
  const WorldKind kind = { .faults = 0.1,
                           .servers = 11,
                           .later = 5,
                           .many = TRUE,
                           .often = 0.3,
                           .table_takes = 600 * CC_MS };
  const guint found[] = { 5, 8, 41, 74, 109, 135, 0 };

  (void) state;
  play_all (&kind, SEEDS, found);
}

/* Guards against the same in a pool of more ranges than fit into a write. */
static void
one_owner_in_a_large_pool (void **state)
{
  const WorldKind kind = { .faults = 0.05,
                           .servers = 110,
                           .many = TRUE,
                           .often = 0.4,
                           .notifies = TRUE,
                           .table_takes = 600 * CC_MS };
  const guint found[] = { 15, 24, 58, 146, 0 };

  (void) state;
  play_all (&kind, SEEDS_LARGE, found);
}

/* Guards against the same as others come to the addresses of servers that have
 * ended, and their rows stay when those are back. */
static void
one_owner_beside_rows_of_others_at_an_address (void **state)
{
  const WorldKind kind = { .faults = 0.1,
                           .servers = 11,
                           .later = 5,
                           .many = TRUE,
                           .often = 0.5,
                           .notifies = TRUE,
                           .replaces = TRUE,
                           .table_takes = 60 * CC_MS };
  const WorldKind large = { .faults = 0.05,
                            .servers = 110,
                            .many = TRUE,
                            .often = 0.4,
                            .notifies = TRUE,
                            .replaces = TRUE,
                            .table_takes = 600 * CC_MS };
  const guint found[] = { 80130, 0 };
  const guint found_large[] = { 80012, 0 };

  (void) state;
  play_all (&large, 3, found_large);
  play_all (&kind, SEEDS, found);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (one_owner_where_calls_arrive),
    cmocka_unit_test (one_owner_where_calls_are_lost),
    cmocka_unit_test (one_owner_in_a_small_pool),
    cmocka_unit_test (one_owner_as_a_pool_is_added),
    cmocka_unit_test (one_owner_with_a_slow_table),
    cmocka_unit_test (one_owner_in_a_large_pool),
    cmocka_unit_test (one_owner_beside_rows_of_others_at_an_address),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
