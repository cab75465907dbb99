/* Guards against two owners of a slice and against unserved slices, in seeded
 * schedules checked by the model of ownership.c.  With all safeguards no fault
 * may occur; without any one of them a fault must be detected. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "assignment.h"
#include "holding.h"
#include "ownership.h"
#include "view.h"

#define SEEDS 300
#define OMISSION_SEEDS 3000 /* a missing safeguard must show within these */

static guint
seed_count (guint standard)
{
  const char *text = g_getenv ("SEEDS");

  return text != NULL ? (guint) atoi (text) : standard;
}

/* Processes are paused and lost, messages and writes are late or lost, the
 * table is down.  At no server may a key run while another server runs it, or
 * in an older epoch, and after the faults end every slice is served again. */
static void
test_schedules (void **state)
{
  guint faulty = 0, unserved = 0, effects = 0, moves = 0, delayed = 0,
        taken = 0;

  (void) state;
  for (guint seed = 1; seed <= seed_count (SEEDS); seed++)
    {
      RunResult v = ownership_run (seed, OMIT_NOTHING);

      if (v.faults > 0 && ++faulty <= 5)
        print_message ("# seed %u: %u faults, %s\n", seed, v.faults, v.first);
      if (v.unserved > 0 && ++unserved <= 5)
        print_message ("# seed %u: %u slices unserved\n", seed, v.unserved);
      effects += v.effects;
      moves += v.moves;
      delayed += v.delayed;
      taken += v.takeover;
      g_free (v.first);
    }
  print_message ("# %u seeds, %u faulty, %u unserved; %u effects, %u maps, "
                 "%u takeovers, %u messages delayed\n",
                 seed_count (SEEDS), faulty, unserved, effects, moves, taken,
                 delayed);
  assert_int_equal (faulty, 0);
  assert_int_equal (unserved, 0);
  assert_true (delayed > 0 && taken > 0);
}

/* Guards against slices that two assigners move back and forth after the
 * faults, which shows when moves are short. */
static void
test_assigners_that_alternate (void **state)
{
  static const guint32 seeds[] = { 808, 854, 1078 };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (seeds); i++)
    {
      RunResult v = ownership_run (seeds[i], OMIT_NOTHING);

      if (v.faults > 0 || v.unserved > 0)
        fail_msg ("seed %u: %u faults, %u slices unserved", seeds[i], v.faults,
                  v.unserved);
      g_free (v.first);
    }
}

static const struct
{
  Omission omit;
  const char *name;
} omissions[] = {
  { OMIT_TWO_STEPS, "two steps of a move" },
  { OMIT_SENT_TIME, "renewal counted from its sending" },
  { OMIT_WATCH_TERM, "waiting for the whole lease term" },
  { OMIT_ROW_CHECK, "version check of a takeover" },
  { OMIT_MAP_CHECK, "version check of a map" },
  { OMIT_GRANT_CHECK, "servers' check of grants" },
  { OMIT_GRANT_EXPIRY, "absolute end of a grant" },
  { OMIT_APPLIED, "waiting for what still runs" },
  { OMIT_UNANSWERED, "waiting for unanswered attempts" },
  { OMIT_LEASE_CHECK, "lease check before a send" },
};

/* Omits each safeguard in turn: some schedule must then fail, or else the
 * safeguard is unnecessary or the model does not detect its absence. */
static void
test_omissions (void **state)
{
  guint undetected = 0;

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (omissions); i++)
    {
      RunResult v = { 0 };
      guint seed = 0;

      while (v.faults == 0 && seed < seed_count (OMISSION_SEEDS))
        v = ownership_run (++seed, omissions[i].omit);
      undetected += v.faults == 0;
      print_message ("# without %s: seed %u, %s\n", omissions[i].name, seed,
                     v.first != NULL ? v.first : "NO FAULT FOUND");
      g_free (v.first);
    }
  assert_int_equal (undetected, 0);
}

static const CcPool pool = { .name = (char *) "p", .slices = 4 };

static CcSliceMap *
map_held_by (const char *dispatcher)
{
  CcSliceMap *m = cc_slicemap_new ("p", 2);
  CcMapServer *s = cc_slicemap_server (m, cc_slicemap_add (m, "x", "a", "z"));

  g_free (s->dispatcher);
  s->dispatcher = g_strdup (dispatcher);
  return m;
}

static GVariant *
one_row (const char *key, guint64 version, const char *value)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  g_variant_builder_add (&b, "(sts)", key, version, value);
  return g_variant_ref_sink (g_variant_builder_end (&b));
}

/* D2 registers (row 6) and is given server x (row 7).  A peer's message with
 * row 6 is lost, the one with row 7 arrives.  An assigner that applied it
 * would see a holder without a member row, consider it lost and give x to D1
 * at once, while D2 still sends. */
static void
test_gap (void **state)
{
  CcSliceMap *m = map_held_by ("d2");
  g_autofree char *text = cc_slicemap_print (m);
  g_autoptr (GVariant) late = one_row ("map/p", 7, text);
  GHashTable *reports = g_hash_table_new (g_str_hash, g_str_equal);
  CcRoster *r = cc_roster_new ();
  CcView v;

  (void) state;
  cc_roster_add_dispatcher (r, "d1", "z", FALSE);
  cc_roster_add_server (r, "x", "a", "z", FALSE);
  assert_true (cc_assignment_step (m, &pool, r, reports) > 0);
  assert_string_equal (cc_slicemap_server (m, 0)->dispatcher, "d1");
  assert_string_equal (cc_slicemap_server (m, 0)->from, "");

  cc_view_init (&v);
  assert_true (cc_view_advance (&v, 0, 5));
  assert_int_equal (cc_view_apply (&v, 6, 7, late), 0);
  assert_null (cc_view_get (&v, "map/p"));
  assert_int_equal (cc_view_apply (&v, 5, 7, late), 1);
  cc_view_clear (&v);
  cc_roster_free (r);
  cc_slicemap_free (m);
  g_hash_table_unref (reports);
}

/* Guards against a second owner: a server that does not check grants is paused
 * just after a response, with an attempt inside that takes effect when it
 * resumes.  That response must not confirm that the attempt has ended. */
static void
an_old_answer_ends_no_attempt (void **state)
{
  static const gint64 frozen_at = 10 * CC_SECOND, tick = 20 * CC_MS;
  static const gint64 left[] = { 0,           50 * CC_MS,  100 * CC_MS,
                                 150 * CC_MS, 300 * CC_MS, CC_SECOND };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (left); i++)
    {
      CcSliceMap *m = map_held_by ("d1");
      CcHolding *h;
      gint64 now;

      m->version = 1;
      cc_slicemap_at (m, 0)->server = 0;
      h = cc_holding_new ("p", cc_slicemap_server (m, 0), FALSE, 0, 0);
      cc_holding_update (h, m, 0, "d1");
      for (now = 0; now <= frozen_at; now += tick)
        cc_holding_answered (h, now);
      cc_holding_sent (h, 0);
      cc_holding_done (h, 0, frozen_at + left[i], FALSE);
      for (now = frozen_at; now < frozen_at + 10 * CC_SECOND; now += tick)
        if (cc_holding_applied (h, now, now) != 0)
          fail_msg ("deadline after %u ms: reported as stopped after %u ms",
                    (guint) (left[i] / CC_MS),
                    (guint) ((now - frozen_at) / CC_MS));
      for (gint64 end = now + CC_SERVER_SETTLE + 2 * tick; now < end;
           now += tick)
        {
          cc_holding_answered (h, now);
          cc_holding_applied (h, now, now);
        }
      assert_int_equal (cc_holding_applied (h, now, now), 1);
      cc_holding_unref (h);
      cc_slicemap_free (m);
    }
}

/* Server x is unreachable, as its dispatcher reports, but stays in the
 * platform's list.  Its slices move away once, and it stays in the map until
 * it responds again: if it were removed, it would be added as new and given
 * slices, unserved until it is found unreachable again, and so on. */
static void
test_lost_server_waits (void **state)
{
  CcSliceMap *m = cc_slicemap_new ("p", 4);
  GHashTable *reports = g_hash_table_new (g_str_hash, g_str_equal);
  CcServerReport lost = { 0, TRUE, (char *) "d1" };
  CcServerReport reachable = { 0, FALSE, (char *) "d1" };
  CcRoster *r = cc_roster_new ();

  (void) state;
  cc_roster_add_dispatcher (r, "d1", "z", FALSE);
  cc_roster_add_server (r, "x", "a", "z", FALSE);
  cc_roster_add_server (r, "y", "b", "z", FALSE);
  g_hash_table_insert (reports, (char *) "x", &lost);
  g_hash_table_insert (reports, (char *) "y", &reachable);
  for (guint64 i = 1; i <= 20; i++)
    {
      m->version = lost.applied = reachable.applied = i;
      cc_assignment_step (m, &pool, r, reports);
    }
  assert_true (cc_slicemap_find (m, "x") >= 0);
  assert_int_equal (cc_slicemap_owned (m, cc_slicemap_find (m, "x")), 0);
  assert_int_equal (cc_slicemap_owned (m, cc_slicemap_find (m, "y")), 4);
  assert_int_equal (cc_assignment_step (m, &pool, r, reports), 0);
  cc_roster_free (r);
  cc_slicemap_free (m);
  g_hash_table_unref (reports);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_schedules),
    cmocka_unit_test (test_assigners_that_alternate),
    cmocka_unit_test (test_omissions),
    cmocka_unit_test (test_gap),
    cmocka_unit_test (an_old_answer_ends_no_attempt),
    cmocka_unit_test (test_lost_server_waits),
  };

  return cmocka_run_group_tests_name ("ownership", tests, NULL, NULL);
}
