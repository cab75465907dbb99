/* Guards against two owners of a key with all kinds of faults at once: those of
 * test_granter, and resignations, restarts, writes executed after their
 * timeout, partitions around the lease's holder, and a pool added later. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "clock.h"
#include "granter_world.h"

#define SEEDS 60
#define SEEDS_LARGE 15 /* for large pools, which take ten times as long */

static void
run_seed (const WorldKind *kind, guint seed)
{
  WorldKind k = *kind;

  k.seed = seed;
  world_run_kind (&k);
  if (world.failure[0] != '\0')
    fail_msg ("seed %u, at %.2f s: %s", seed,
              (double) (cc_clock_now () - 1000 * CC_SECOND) / 1e6,
              world.failure);
  world_clear ();
}

/* Runs the seeds of FOUND, which ends with 0 and lists earlier failures, and
 * the seeds from 1 to COUNT. */
static void
run_seeds (const WorldKind *kind, guint count, const guint *found)
{
  for (; *found != 0; found++)
    run_seed (kind, *found);
  for (guint seed = 1; seed <= count; seed++)
    run_seed (kind, seed);
}

/* Guards against two owners of a key while processes and servers are lost and
 * few calls fail. */
static void
one_owner_where_calls_arrive (void **state)
{
  const WorldKind kind = {
    .faults = 0.02, .all_faults = TRUE, .fault_rate = 0.3, .notifies = TRUE
  };
  const guint found[] = { 78, 163, 0 };

  (void) state;
  run_seeds (&kind, SEEDS, found);
}

/* Guards against the same while many calls are lost or executed late. */
static void
one_owner_where_calls_are_lost (void **state)
{
  const WorldKind kind = {
    .faults = 0.2, .all_faults = TRUE, .fault_rate = 0.5, .notifies = TRUE
  };
  const guint found[] = { 25, 40, 73, 113, 125, 0 };

  (void) state;
  run_seeds (&kind, SEEDS, found);
}

/* Guards against the same while granters are partitioned from all servers, give
 * the lease up and take it again. */
static void
one_owner_while_granters_are_partitioned (void **state)
{
  const WorldKind kind = { .faults = 0.05,
                           .all_faults = TRUE,
                           .fault_rate = 0.4,
                           .notifies = TRUE,
                           .partitions = TRUE,
                           .table_delay_max = 100 * CC_MS };
  const guint found[] = { 0 };

  (void) state;
  run_seeds (&kind, SEEDS, found);
}

/* Guards against the same while only announced departures are planned, after
 * outages of the table. */
static void
one_owner_after_outages (void **state)
{
  const WorldKind kind = { .faults = 0.1,
                           .all_faults = TRUE,
                           .fault_rate = 0.5,
                           .notifies = TRUE,
                           .outages = TRUE };
  const guint found[] = { 0 };

  (void) state;
  run_seeds (&kind, SEEDS, found);
}

/* Guards against the same in a pool so small that a granter which is cut off
 * from most owners does not give up the lease. */
static void
one_owner_in_a_small_pool (void **state)
{
  const WorldKind kind = { .faults = 0.1,
                           .servers = 3,
                           .all_faults = TRUE,
                           .fault_rate = 0.4,
                           .notifies = TRUE,
                           .table_delay_max = 100 * CC_MS };
  const guint found[] = { 12, 20, 25, 100, 137, 0 };

  (void) state;
  run_seeds (&kind, SEEDS, found);
}

/* Guards against the same while another pool is configured. */
static void
one_owner_as_a_pool_is_added (void **state)
{
  const WorldKind kind = { .faults = 0.1,
                           .servers = 11,
                           .later_servers = 5,
                           .all_faults = TRUE,
                           .fault_rate = 0.5,
                           .notifies = TRUE,
                           .table_delay_max = 60 * CC_MS };
  const guint found[] = { 13, 35, 86, 104, 162, 164, 191, 0 };

  (void) state;
  run_seeds (&kind, SEEDS, found);
}

/* Guards against the same while another pool is configured, with a slow table
 * and without notification of renewals. */
static void
one_owner_with_a_slow_table (void **state)
{
  const WorldKind kind = { .faults = 0.1,
                           .servers = 11,
                           .later_servers = 5,
                           .all_faults = TRUE,
                           .fault_rate = 0.3,
                           .table_delay_max = 600 * CC_MS };
  const guint found[] = { 5, 8, 41, 74, 109, 135, 0 };

  (void) state;
  run_seeds (&kind, SEEDS, found);
}

/* Guards against the same in a pool with more ranges than fit into a
 * transaction. */
static void
one_owner_in_a_large_pool (void **state)
{
  const WorldKind kind = { .faults = 0.05,
                           .servers = 110,
                           .all_faults = TRUE,
                           .fault_rate = 0.4,
                           .notifies = TRUE,
                           .table_delay_max = 600 * CC_MS };
  const guint found[] = { 15, 24, 58, 146, 0 };

  (void) state;
  run_seeds (&kind, SEEDS_LARGE, found);
}

/* Guards against the same while other servers appear at the addresses of
 * stopped ones, and their stale rows remain when those are back. */
static void
one_owner_beside_rows_of_others_at_an_address (void **state)
{
  const WorldKind kind = { .faults = 0.1,
                           .servers = 11,
                           .later_servers = 5,
                           .all_faults = TRUE,
                           .fault_rate = 0.5,
                           .notifies = TRUE,
                           .replaces_servers = TRUE,
                           .table_delay_max = 60 * CC_MS };
  const WorldKind large = { .faults = 0.05,
                            .servers = 110,
                            .all_faults = TRUE,
                            .fault_rate = 0.4,
                            .notifies = TRUE,
                            .replaces_servers = TRUE,
                            .table_delay_max = 600 * CC_MS };
  const guint found[] = { 80130, 0 };
  const guint found_large[] = { 80012, 0 };

  (void) state;
  run_seeds (&large, 3, found_large);
  run_seeds (&kind, SEEDS, found);
}

/* Guards against two owners of a key, and against a fence below one that a
 * server has seen, after the table came back without its last writes. */
static void
one_owner_after_lost_writes (void **state)
{
  const WorldKind kind = { .faults = 0.02,
                           .all_faults = TRUE,
                           .fault_rate = 0.2,
                           .notifies = TRUE,
                           .loses_writes = TRUE };
  const guint found[] = { 348, 0 };

  (void) state;
  run_seeds (&kind, SEEDS, found);
}

/* Failure: the table comes back from a copy that has no row of the lease yet, a
 * process that was started since takes it for a new one, and two servers hold
 * the same keys. */
static void
one_owner_after_a_copy_without_the_lease (void **state)
{
  const WorldKind few = { .faults = 0.1,
                          .servers = 3,
                          .all_faults = TRUE,
                          .fault_rate = 0.4,
                          .loses_writes = TRUE,
                          .table_delay_max = 600 * CC_MS };
  const WorldKind replaced = { .faults = 0.1,
                               .servers = 11,
                               .later_servers = 5,
                               .all_faults = TRUE,
                               .fault_rate = 0.5,
                               .notifies = TRUE,
                               .replaces_servers = TRUE,
                               .loses_writes = TRUE,
                               .table_delay_max = 60 * CC_MS };
  const guint found_few[] = { 332, 596, 992, 1883, 1933, 1998, 0 };
  const guint found_replaced[] = { 1853, 0 };

  (void) state;
  run_seeds (&few, SEEDS, found_few);
  run_seeds (&replaced, SEEDS, found_replaced);
}

/* Whether the row of a range in the table names the owner it is moved from. */
static gboolean
is_move_written (void)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, world.store);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (strstr (((StoreRow *) value)->value, "\"previous\"") != NULL)
      return TRUE;
  return FALSE;
}

#define LOAD_STEP 600 /* keys are moved for their load from then on */

/* Copies the table, which is lost later and comes back from the copy.  Returns
 * when it is lost, us. */
static gint64
copy_table (void)
{
  gint64 lost = g_rand_int_range (world.rand, 500, 6000) * CC_MS;

  world_lose_writes (lost, g_rand_int_range (world.rand, 0, 2000) * CC_MS);
  return cc_clock_now () + lost;
}

/* Ends the process HOLDER, which is started again a while later. */
static void
end_process (guint holder)
{
  world_restart_process (holder);
  world.processes[holder].paused_until =
      cc_clock_now () + g_rand_int_range (world.rand, 100, 5000) * CC_MS;
}

/* Plays KIND while keys are moved for their load.  The table is copied during a
 * move, and as it is lost the process that holds the lease ends. */
static void
play_copy_of_a_move (const WorldKind *kind)
{
  gint64 lost_at = 0; /* 0: there is no copy yet */
  gboolean ended = FALSE;

  world_begin_kind (kind);
  for (guint i = 0; i < 3000 && world.failure[0] == '\0'; i++)
    {
      if (i >= LOAD_STEP && i % 30 == 0)
        for (guint k = 0; k < GRANTERS; k++)
          cc_granter_add_load (world.processes[k].granter, POOL,
                               i * 37 % CC_KEYS, 5000);
      if (i > LOAD_STEP && lost_at == 0 && is_move_written ())
        lost_at = copy_table ();
      if (lost_at != 0 && !ended && cc_clock_now () >= lost_at &&
          world_holder () >= 0)
        {
          end_process ((guint) world_holder ());
          ended = TRUE;
        }
      world_step (i);
    }
}

/* Failure: the table comes back from a copy that was made during a move, and
 * the new owner by the copy is granted the keys with a fence below that of an
 * owner after it. */
static void
fences_rise_after_a_copy_of_a_move (void **state)
{
  guint failed = 0;

  (void) state;
  for (guint seed = 1; seed <= SEEDS; seed++)
    {
      const WorldKind kind = { .seed = seed,
                               .all_faults = TRUE,
                               .notifies = TRUE,
                               .faults = seed % 2 == 0 ? 0.1 : 0.0 };

      play_copy_of_a_move (&kind);
      if (world.failure[0] != '\0')
        {
          print_message ("seed %u: %s\n", seed, world.failure);
          failed++;
        }
      world_clear ();
    }
  assert_int_equal (failed, 0);
}

/* The users' bound: a key is served again within this time. */
#define KEYS_BACK (4 * CC_SECOND)
#define OUTAGE_STEP 1000 /* faults of the table begin about then */

/* A fault of the table that STEP of the play of SEED may begin or end. */
typedef void (*TableFault) (guint seed, guint step);

/* The table is away, and comes back without its last writes. */
static void
lose_writes (guint seed, guint step)
{
  if (step == OUTAGE_STEP)
    world_lose_writes (seed * 200 * CC_MS, (seed % 4) * 900 * CC_MS);
}

/* Nobody reaches the table, for less than the time for which grants are renewed
 * without it. */
static void
cut_all_from_table (guint seed, guint step)
{
  guint begin = OUTAGE_STEP + 7 * seed;

  for (guint k = 0; k < GRANTERS; k++)
    world.processes[k].cut_from_table = step >= begin && step < begin + 850;
}

/* Plays SEED with FAULT while ranges are to be moved.  Returns the longest time
 * for which keys were not held, us; G_MAXINT64 if they never were. */
static gint64
longest_without_owner (guint seed, TableFault fault)
{
  const WorldKind kind = { .seed = seed, .all_faults = TRUE, .notifies = TRUE };
  gint64 held_at = 0, longest = 0;

  world_begin_kind (&kind);
  for (guint i = 0; i < 2500 && world.failure[0] == '\0'; i++)
    {
      fault (seed, i);
      if (i >= OUTAGE_STEP && i < OUTAGE_STEP + 400 && i % 50 == 0)
        for (guint k = 0; k < GRANTERS; k++)
          cc_granter_add_load (world.processes[k].granter, POOL, i, 5000);
      if (world_share_held () > 0.999)
        held_at = cc_clock_now ();
      if (held_at != 0)
        longest = MAX (longest, cc_clock_now () - held_at);
      world_step (i);
    }
  return held_at == 0 ? G_MAXINT64 : longest;
}

static void
check_keys_are_held (TableFault fault)
{
  guint failed = 0;

  for (guint seed = 1; seed <= 20; seed++)
    {
      gint64 longest = longest_without_owner (seed, fault);

      if (world.failure[0] != '\0' || longest > KEYS_BACK)
        {
          print_message ("seed %u: %s, some keys are not held for %d ms\n",
                         seed, world.failure, (int) (longest / CC_MS));
          failed++;
        }
      world_clear ();
    }
  assert_int_equal (failed, 0);
}

/* Guards against keys that lapse after the table came back without its last
 * writes, although the process that grants them goes on. */
static void
keys_are_held_after_lost_writes (void **state)
{
  (void) state;
  check_keys_are_held (lose_writes);
}

/* Guards against keys that lapse while the table is down, although the process
 * that grants them and their owners are well. */
static void
keys_are_held_while_the_table_is_down (void **state)
{
  (void) state;
  check_keys_are_held (cut_all_from_table);
}

/* Guards against the same while upstreams are silent: their keys are planned
 * for others, and grants that they left unanswered are executed late. */
static void
one_owner_while_upstreams_are_silent (void **state)
{
  const WorldKind kind = { .faults = 0.05,
                           .all_faults = TRUE,
                           .fault_rate = 0.4,
                           .notifies = TRUE,
                           .silent_links = TRUE };
  const guint found[] = { 0 };

  (void) state;
  run_seeds (&kind, SEEDS, found);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (one_owner_while_granters_are_partitioned),
    cmocka_unit_test (one_owner_where_calls_arrive),
    cmocka_unit_test (one_owner_where_calls_are_lost),
    cmocka_unit_test (one_owner_after_outages),
    cmocka_unit_test (one_owner_in_a_small_pool),
    cmocka_unit_test (one_owner_as_a_pool_is_added),
    cmocka_unit_test (one_owner_with_a_slow_table),
    cmocka_unit_test (one_owner_in_a_large_pool),
    cmocka_unit_test (one_owner_after_lost_writes),
    cmocka_unit_test (one_owner_after_a_copy_without_the_lease),
    cmocka_unit_test (fences_rise_after_a_copy_of_a_move),
    cmocka_unit_test (keys_are_held_after_lost_writes),
    cmocka_unit_test (keys_are_held_while_the_table_is_down),
    cmocka_unit_test (one_owner_beside_rows_of_others_at_an_address),
    cmocka_unit_test (one_owner_while_upstreams_are_silent),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
