/* Ways in which two upstreams came to hold the same keys, one by one, in a
 * world where nothing else goes wrong. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "clock.h"
#include "granter_world.h"
#include "metrics.h"

#define NOBODY GRANTERS

static void
run_for (gint64 time)
{
  for (gint64 t = 0; t < time && world.failure[0] == '\0'; t += STEP)
    world_step ((guint) (cc_clock_now () / STEP));
}

/* Changes of ranges that were planned so far. */
static guint64
moves (void)
{
  return *cc_metrics_counter ("capercrank_key_ranges_moved", "");
}

/* Runs until a change of ranges was planned. */
static void
run_until_planned (void)
{
  guint64 before = moves ();

  for (guint i = 0; i < 5 * CC_SECOND / STEP && moves () == before; i++)
    run_for (STEP);
  assert_int_not_equal (moves (), before);
}

static guint
holder_but (guint other)
{
  for (guint i = 0; i < GRANTERS; i++)
    if (i != other && cc_granter_holds_lease (world.processes[i].granter))
      return i;
  return NOBODY;
}

/* Runs until a process but OTHER holds the lease, and returns it. */
static guint
run_until_held_by_another (guint other)
{
  for (guint i = 0; i < 5 * CC_SECOND / STEP && holder_but (other) == NOBODY;
       i++)
    run_for (STEP);
  assert_int_not_equal (holder_but (other), NOBODY);
  return holder_but (other);
}

/* A world of SERVERS_COUNT servers in which one process has granted all keys.
 * Returns that process. */
static guint
begin (guint servers_count)
{
  world_begin_kind (
      &(WorldKind){ .seed = 1, .servers = servers_count, .many = TRUE });
  run_for (6 * CC_SECOND);
  assert_true (world_share_held () > 0.9999);
  return holder_but (NOBODY);
}

/* Servers below COUNT are reached by process ONLY alone, and the others don't
 * see server 0 listed. */
static void
hide_servers (guint count, guint only)
{
  for (guint i = 0; i < GRANTERS; i++)
    if (i != only)
      {
        world.processes[i].unlisted[0] = TRUE;
        for (guint s = 0; s < count; s++)
          world.processes[i].cut_from[s] = TRUE;
      }
}

/* ---- a granter before the last one ---- */

/* The first granter is cut off from the table together with half of the
 * servers, and goes on renewing.  Returns it. */
static guint
begin_chain (void)
{
  guint first = begin (6);

  world.processes[first].cut_from_table = TRUE;
  hide_servers (3, first);
  return first;
}

static void
end_chain (void)
{
  run_for (16 * CC_SECOND);
  assert_string_equal (world.failure, "");
  world_clear ();
}

/* Guards against two upstreams that hold the same keys: the second granter ends
 * and is started again at its address, and forgets that the first one may still
 * renew. */
static void
a_granter_before_one_that_is_started_again_is_waited_for (void **state)
{
  guint first = begin_chain ();

  (void) state;
  world_start_again (run_until_held_by_another (first));
  end_chain ();
}

/* Guards against two upstreams that hold the same keys: the second granter
 * resigns, and whoever follows takes the lease for vacant, although the first
 * one may still renew. */
static void
a_granter_before_one_that_resigns_is_waited_for (void **state)
{
  guint first = begin_chain ();

  (void) state;
  cc_granter_resign (
      world.processes[run_until_held_by_another (first)].granter);
  end_chain ();
}

static gboolean
a_write_is_on_its_way (void)
{
  for (guint i = 0; i < world.answers->len; i++)
    if (((StoreAnswer *) world.answers->pdata[i])->change != NULL)
      return TRUE;
  return FALSE;
}

/* Guards against two upstreams that hold the same keys: the second granter's
 * claim is given up and carried out while its next one is on its way, which is
 * refused for that; it takes its own claim for a vacancy, although the first
 * granter may still renew. */
static void
a_granter_before_a_late_claim_is_waited_for (void **state)
{
  guint first = begin_chain ();
  guint second = (first + 1) % GRANTERS;
  Process *p = &world.processes[second];

  (void) state;
  world.processes[(first + 2) % GRANTERS].cut_from_table = TRUE;
  p->write_takes = TABLE_WITHIN + 400 * CC_MS;
  for (guint i = 0; i < 5 * CC_SECOND / STEP && !a_write_is_on_its_way (); i++)
    run_for (STEP);
  assert_true (a_write_is_on_its_way ());
  p->write_takes = 600 * CC_MS;
  run_for (CC_SECOND);
  p->write_takes = 0;
  assert_int_equal (run_until_held_by_another (first), second);
  end_chain ();
}

/* ---- a server that is started again ---- */

/* Whether server S took a fence above FENCE. */
static gboolean
has_higher_fence (guint s, guint64 fence)
{
  const GArray *held = world.servers[s].held;

  for (guint i = 0; i < held->len; i++)
    if (g_array_index (held, Held, i).fence > fence)
      return TRUE;
  return FALSE;
}

/* Server 0 of OWNERS_COUNT answers the second granter's fence and ends.  It
 * comes back 2.5 s later where only the first granter, which is cut off from
 * the table, reaches it, as it does the servers whose bits are set in HIDDEN.
 * If FROZEN, that one stands still until then. */
static void
start_again_below_a_fence (guint owners_count, guint32 hidden, gboolean frozen)
{
  guint first = begin (owners_count);
  Process *p = &world.processes[first];
  Server *s = &world.servers[0];
  guint64 fence = g_array_index (s->held, Held, 0).fence;

  p->cut_from_table = TRUE;
  p->frozen_until = frozen ? G_MAXINT64 : 0;
  for (guint i = 0; i < GRANTERS; i++)
    for (guint k = 1; k < owners_count; k++)
      world.processes[i].cut_from[k] = i != first && (hidden >> k & 1) != 0;
  run_until_held_by_another (first);
  for (guint i = 0; i < 300 && !has_higher_fence (0, fence); i++)
    run_for (STEP);
  assert_true (has_higher_fence (0, fence));
  s->up = FALSE;
  g_array_set_size (s->held, 0);
  hide_servers (1, first);
  run_for (2500 * CC_MS);
  s->up = TRUE;
  s->born++;
  p->frozen_until = 0;
  run_for (12 * CC_SECOND);
  assert_string_equal (world.failure, "");
  world_clear ();
}

/* Guards against two upstreams that hold the same keys: one that is started
 * again has forgotten the fence that shut the granter of before out, and takes
 * its renewal. */
static void
one_started_again_takes_no_renewal_by_the_granter_before (void **state)
{
  (void) state;
  start_again_below_a_fence (3, 0, FALSE);
}

/* Guards against the same in a pool so large that a granter gives up when most
 * owners are silent. */
static void
one_started_again_of_many_takes_no_renewal_by_the_granter_before (void **state)
{
  (void) state;
  start_again_below_a_fence (6, 0x34, FALSE);
}

/* Guards against the same: the granter of before stood still, and renews as it
 * wakes. */
static void
one_started_again_takes_no_renewal_by_a_granter_that_wakes (void **state)
{
  (void) state;
  start_again_below_a_fence (6, 0, TRUE);
}

/* Guards against two upstreams that hold the same keys: one starts again and
 * takes a renewal before its new life is listed; it is to get its keys back,
 * but goes before that, and the renewal's end is not waited for. */
static void
one_renewed_before_its_new_life_was_known_is_waited_for (void **state)
{
  guint first = begin (6);
  Process *p = &world.processes[first];
  Server *s = &world.servers[0];

  (void) state;
  p->cut_from_table = TRUE;
  s->born++;
  g_array_set_size (s->held, 0);
  run_for (1300 * CC_MS);
  assert_int_equal (s->held->len, 1);
  p->cut_from_table = FALSE;
  p->write_takes = 600 * CC_MS;
  run_until_planned ();
  p->unlisted[0] = TRUE;
  run_for (8 * CC_SECOND);
  assert_string_equal (world.failure, "");
  world_clear ();
}

/* ---- an owner of a moment ---- */

/* The server that the row of the keys from 0 on names as owner. */
static guint
owner_of_first_keys (void)
{
  g_autofree char *key =
      g_strdup_printf ("%d/range/%s/00000", CC_TABLE_STATE, POOL);
  const StoreRow *row = g_hash_table_lookup (world.store, key);
  guint server = 0;

  assert_non_null (row);
  assert_non_null (strstr (row->value, "\"owner\":\"s"));
  assert_int_equal (
      sscanf (strstr (row->value, "\"owner\""), "\"owner\":\"s%u", &server), 1);
  return server;
}

/* Runs until that row names another than SERVER. */
static void
run_while_owned_by (guint server)
{
  for (guint i = 0;
       i < 8 * CC_SECOND / STEP && owner_of_first_keys () == server; i++)
    run_for (STEP);
  assert_int_not_equal (owner_of_first_keys (), server);
}

/* Whether a grant of the keys from 0 on is to be carried out late. */
static gboolean
a_grant_is_to_be_carried_out (void)
{
  for (guint i = 0; i < world.events->len; i++)
    {
      const Event *e = world.events->pdata[i];

      if (e->kind == EVENT_CARRIED && e->what.from == 0)
        return TRUE;
    }
  return FALSE;
}

/* A range moves from an owner that is lost to one that does not answer its
 * grant, and on to a third; another upstream answers in the place of the first.
 * If RESIGNS, the granter resigns once the row names the third. */
static void
move_by_an_owner_of_a_moment (gboolean resigns)
{
  guint first = begin (6);
  guint second;

  world.servers[0].up = FALSE;
  g_array_set_size (world.servers[0].held, 0);
  run_while_owned_by (0);
  second = owner_of_first_keys ();
  world.servers[second].carries_after = 3 * CC_SECOND;
  for (guint i = 0; i < 800 && !a_grant_is_to_be_carried_out (); i++)
    run_for (STEP);
  assert_true (a_grant_is_to_be_carried_out ());
  for (guint i = 0; i < GRANTERS; i++)
    world.processes[i].unlisted[second] = TRUE;
  run_while_owned_by (second);
  world.servers[0].replaced = TRUE;
  for (guint i = 0; i < GRANTERS; i++)
    cc_view_put (&world.processes[i].view, "another", ++world.version, "0 1 1");
  if (resigns)
    cc_granter_resign (world.processes[first].granter);
  run_for (8 * CC_SECOND);
  assert_string_equal (world.failure, "");
  world_clear ();
}

/* Guards against two upstreams that hold the same keys: that the first owner
 * has ended is taken for the end of what the one in between may hold. */
static void
an_owner_of_a_moment_is_waited_for (void **state)
{
  (void) state;
  move_by_an_owner_of_a_moment (FALSE);
}

/* Guards against the same by the next granter, whose rows name the one in
 * between no more. */
static void
an_owner_of_a_moment_is_waited_for_by_the_next_granter (void **state)
{
  (void) state;
  move_by_an_owner_of_a_moment (TRUE);
}

/* Guards against two upstreams that hold the same keys: one is missing from the
 * list for a moment, while the old row of another that was at its address
 * before is listed again; that is taken for the proof that it has ended. */
static void
one_beside_an_old_row_at_its_address_is_waited_for (void **state)
{
  Process *p = &world.processes[begin (6)];

  (void) state;
  for (guint i = 0; i < GRANTERS; i++)
    world.processes[i].cut_from[0] = TRUE;
  cc_view_put (&p->view, "another", ++world.version, "0 1 1");
  p->unlisted[0] = TRUE;
  run_for (8 * CC_SECOND);
  assert_string_equal (world.failure, "");
  world_clear ();
}

/* Guards against two upstreams that hold the same keys: while the first granter
 * may still renew an owner, the second one plans to move its keys, since an old
 * row at its address is listed; the next granter takes a range on the move for
 * one that the first granter renews no more. */
static void
one_that_moves_beside_an_old_row_is_waited_for (void **state)
{
  guint first = begin_chain ();

  (void) state;
  for (guint i = 0; i < GRANTERS; i++)
    cc_view_put (&world.processes[i].view, "another", ++world.version, "0 1 1");
  run_until_held_by_another (first);
  run_while_owned_by (0);
  world_start_again (holder_but (first));
  end_chain ();
}

/* ---- a configuration with another pool ---- */

/* Guards against two upstreams that hold the same keys: another keyed pool is
 * configured while a range waits for the hold of its previous owner, and the
 * granter reads its rows again and waits no more. */
static void
a_pool_that_is_added_ends_no_move_early (void **state)
{
  guint first = begin (6);

  (void) state;
  for (guint i = 0; i < GRANTERS; i++)
    world.processes[i].cut_from[0] = world.processes[i].unlisted[0] = TRUE;
  run_for (800 * CC_MS);
  world_add_pool (first);
  run_for (8 * CC_SECOND);
  assert_string_equal (world.failure, "");
  world_clear ();
}

/* ---- a range that is cut ---- */

/* More servers start again than rows fit into a write. */
#define STARTED_AGAIN 100
#define OWNERS (2 * STARTED_AGAIN + 20)

static gboolean
row_is_there (guint from, const char *part)
{
  g_autofree char *key =
      g_strdup_printf ("%d/range/%s/%05u", CC_TABLE_STATE, POOL, from);
  const StoreRow *row = g_hash_table_lookup (world.store, key);

  return row != NULL && strstr (row->value, part) != NULL;
}

/* Runs as long as a write is on its way, or none is. */
static void
run_while_writing (gboolean writing)
{
  for (guint i = 0;
       i < 2 * CC_SECOND / STEP && a_write_is_on_its_way () == writing; i++)
    run_for (STEP);
  assert_int_not_equal (a_write_is_on_its_way (), writing);
}

/* All but the hot key at its end goes from server 0 to another, while a write
 * is on its way; the rows of servers that start again come in between.  Returns
 * the hot key. */
static guint
cut_as_others_start_again (Process *p)
{
  guint hot = g_array_index (world.servers[0].held, Held, 0).to;

  p->write_takes = 600 * CC_MS;
  run_for (2 * CC_SECOND);
  /* The plan is made late in the write that goes on then, so that there are two
   * more renewals of what stays before the granter's term is over. */
  for (guint i = 0; i < 2; i++)
    {
      run_while_writing (TRUE);
      run_while_writing (FALSE);
    }
  cc_granter_add_load (p->granter, POOL, hot, 20000);
  run_until_planned ();
  for (guint i = 1; i <= STARTED_AGAIN; i++)
    {
      world.servers[i].born++;
      g_array_set_size (world.servers[i].held, 0);
    }
  world_list_servers (p, cc_clock_now ());
  return hot;
}

/* Guards against two upstreams that hold the same keys: the part of a cut range
 * that stays with its owner is renewed before its row is written, and whoever
 * takes over then reads that the whole range was on its way to another. */
static void
the_part_of_a_cut_that_stays_is_waited_for (void **state)
{
  guint first = begin (OWNERS);
  Process *p = &world.processes[first];
  guint hot = cut_as_others_start_again (p);

  (void) state;
  for (guint i = 0; i < 200 && !row_is_there (0, "previous"); i++)
    run_for (STEP);
  assert_true (row_is_there (0, "previous"));
  assert_false (row_is_there (hot, ""));
  p->cut_from_table = TRUE;
  for (guint i = 0; i < GRANTERS; i++)
    if (i != first)
      {
        world.processes[i].cut_from[0] = TRUE;
        cc_granter_lease_received (world.processes[i].granter, world.version,
                                   cc_clock_now ());
      }
  run_for (10 * CC_SECOND);
  assert_string_equal (world.failure, "");
  world_clear ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_granter_before_one_that_is_started_again_is_waited_for),
    cmocka_unit_test (a_granter_before_one_that_resigns_is_waited_for),
    cmocka_unit_test (a_granter_before_a_late_claim_is_waited_for),
    cmocka_unit_test (one_started_again_takes_no_renewal_by_the_granter_before),
    cmocka_unit_test (
        one_started_again_of_many_takes_no_renewal_by_the_granter_before),
    cmocka_unit_test (
        one_started_again_takes_no_renewal_by_a_granter_that_wakes),
    cmocka_unit_test (one_renewed_before_its_new_life_was_known_is_waited_for),
    cmocka_unit_test (an_owner_of_a_moment_is_waited_for),
    cmocka_unit_test (an_owner_of_a_moment_is_waited_for_by_the_next_granter),
    cmocka_unit_test (one_beside_an_old_row_at_its_address_is_waited_for),
    cmocka_unit_test (one_that_moves_beside_an_old_row_is_waited_for),
    cmocka_unit_test (a_pool_that_is_added_ends_no_move_early),
    cmocka_unit_test (the_part_of_a_cut_that_stays_is_waited_for),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
