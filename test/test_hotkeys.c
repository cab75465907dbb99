/* Guards against hot keys that are missed, mismeasured or left to overload a
 * server: counts are compared with exact ones, loads with known rates, and the
 * assigner splits, places and folds hot keys. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>

#include "hotkeys.h"
#include "unit_meter.h"
#include "world.h"

#define STREAM 20000
#define KEYS 5000

static guint64
zipf_key (GRand *rand)
{
  return (guint64) pow (KEYS, g_rand_double (rand));
}

static void
check_bounds (const CcHotKeys *h, const double *exact, guint32 seed)
{
  double total = 0;

  for (guint i = 0; i < KEYS + 1; i++)
    total += exact[i];
  for (guint i = 0; i < h->used; i++)
    {
      const CcHotKey *k = &h->keys[i];

      if (k->count < exact[k->hash] - 1e-6 ||
          k->count - k->error > exact[k->hash] + 1e-6)
        fail_msg ("seed %u: key %u counted %.1f, error %.1f, exact %.1f", seed,
                  (guint) k->hash, k->count, k->error, exact[k->hash]);
    }
  for (guint i = 0; i < KEYS + 1; i++)
    {
      gboolean found = exact[i] <= total / CC_HOTKEYS_COUNTERS;

      for (guint j = 0; j < h->used; j++)
        found |= h->keys[j].hash == i;
      if (!found)
        fail_msg ("seed %u: key %u with %.1f of %.1f is missing", seed, i,
                  exact[i], total);
    }
}

/* The hot key of a stream changes, and counts are decayed periodically: counts
 * are never below the exact ones, guaranteed counts never above, and no key
 * with more than 1/64 of the stream is missing. */
static void
test_against_exact (void **state)
{
  (void) state;
  for (guint32 seed = 1; seed <= 200; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autofree double *exact = g_new0 (double, KEYS + 1);
      CcHotKeys h;

      cc_hotkeys_init (&h);
      for (guint i = 0; i < STREAM; i++)
        {
          guint64 hot = i < STREAM / 2 ? 4000 : 3000;
          guint64 key =
              g_rand_int_range (rand, 0, 10) == 0 ? hot : zipf_key (rand);

          cc_hotkeys_add (&h, key, 0);
          exact[key] += 1;
          if (i % 5000 != 4999)
            continue;
          check_bounds (&h, exact, seed);
          cc_hotkeys_decay (&h, 0.5);
          for (guint k = 0; k < KEYS + 1; k++)
            exact[k] *= 0.5;
        }
    }
}

typedef struct
{
  const char *name;
  double rate;    /* requests a second */
  gint64 service; /* us */
  double load;    /* expected, slots kept busy */
} MeterCase;

static const MeterCase meter_cases[] = {
  { "busy", 100, 10 * CC_MS, 1.0 },
  { "quick ones", 400, 1 * CC_MS, 0.4 },
  { "long ones", 5, 200 * CC_MS, 1.0 },
};

/* The load reported for unit 3 and for its hottest key after a minute. */
static void
test_meter (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (meter_cases); i++)
    {
      const MeterCase *c = &meter_cases[i];
      CcUnitMeter *m = cc_unit_meter_new (CC_SECOND);
      g_autoptr (GVariant) loads = NULL;
      g_autoptr (GVariant) hot = NULL;
      gint64 now = CC_SECOND;
      guint32 unit, hot_unit;
      guint64 hash;
      double load, hot_load;

      for (guint k = 0; now < 61 * CC_SECOND; k++)
        {
          now += (gint64) (1e6 / c->rate);
          cc_unit_meter_arrived (m, 3, k % 2 == 0 ? 7 : 1000 + k, now);
          cc_unit_meter_served (m, 3, c->service, now);
        }
      loads = g_variant_ref_sink (cc_unit_meter_loads (m, now));
      hot = g_variant_ref_sink (cc_unit_meter_hot (m, now));
      assert_int_equal (g_variant_n_children (loads), 1);
      g_variant_get_child (loads, 0, "(ud)", &unit, &load);
      g_variant_get_child (hot, 0, "(tud)", &hash, &hot_unit, &hot_load);
      assert_int_equal (unit, 3);
      assert_int_equal (hash, 7);
      if (fabs (load / c->load - 1) > 0.1 ||
          fabs (hot_load / c->load - 0.5) > 0.1)
        fail_msg ("%s: load %.3f, hot %.3f, expected %.3f", c->name, load,
                  hot_load, c->load);
      cc_unit_meter_free (m);
    }
}

static WorldKey *
set_key_load (World *w, guint i, guint64 hash, double load)
{
  WorldKey *k;

  if (w->keys->len <= i)
    g_array_set_size (w->keys, i + 1);
  k = &g_array_index (w->keys, WorldKey, i);
  k->hash = hash;
  k->load = load;
  return k;
}

/* Two keys of one slice become hot, each with most of a server's load.
 * Without units of their own they stay together, and their server carries
 * twice its share.  They are split, imbalance falls below 1.25, and they are
 * folded when cool. */
static void
two_hot_keys (CcPreference prefer, guint32 seed)
{
  World *w = world_new (256, 10, prefer, seed);
  guint64 hash = (guint64) g_rand_int (w->rand) << 32;
  guint splits;

  world_spread (w, 20);
  world_run (w, 60);
  set_key_load (w, 0, hash | 1, 1.7);
  set_key_load (w, 1, hash | 2, 1.7);
  world_run (w, 240);
  splits = (guint) w->planner->splits;
  if (splits == 0 || world_imbalance (w) > 1.25)
    fail_msg ("seed %u: %u splits, imbalance %.3f", seed, splits,
              world_imbalance (w));
  assert_int_not_equal (cc_slicemap_unit (w->map, hash | 1),
                        cc_slicemap_unit (w->map, hash | 2));
  set_key_load (w, 0, hash | 1, 0.01);
  set_key_load (w, 1, hash | 2, 0.01);
  world_run (w, 1200);
  assert_int_equal (w->planner->folds, splits);
  assert_true (world_imbalance (w) < 1.25);
  world_free (w);
}

static void
test_two_hot_keys (void **state)
{
  (void) state;
  for (guint32 seed = 1; seed <= 10; seed++)
    two_hot_keys (seed % 2 != 0 ? CC_PREFER_STABILITY : CC_PREFER_AVAILABILITY,
                  seed);
}

/* The 110 hottest keys change every few minutes.  Places in the map are
 * bounded and are freed by keys that have cooled. */
static void
test_keys_that_change (void **state)
{
  World *w = world_new (256, 18, CC_PREFER_AVAILABILITY, 1);
  guint rounds = 6;

  (void) state;
  world_spread (w, 20);
  world_run (w, 60);
  for (guint r = 0; r < rounds; r++)
    {
      for (guint i = 0; i < 110; i++)
        set_key_load (w, i, ((guint64) g_rand_int (w->rand) << 32) | 1,
                      8.0 / (i + 4));
      world_run (w, 240);
      print_message ("round %u: imbalance %.3f, %u splits, %u folds\n", r,
                     world_imbalance (w), (guint) w->planner->splits,
                     (guint) w->planner->folds);
    }
  assert_true (w->map->hot->len <= CC_HOT_MAX);
  assert_true (world_imbalance (w) < 1.4);
  world_free (w);
}

/* Guards against a leaving server that is drained late, because moves are slow
 * and each split of a hot key delays them: one second and two moves are
 * allowed. */
static void
a_leaving_server_is_emptied_in_time (void **state)
{
  static const struct
  {
    guint servers;
    gint64 lag; /* delay until a map is applied, us */
  } cases[] = {
    { 4, 0 },           { 4, 200 * CC_MS }, { 4, 400 * CC_MS },
    { 4, 600 * CC_MS }, { 6, 600 * CC_MS }, { 18, 600 * CC_MS },
  };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      World *w = world_new (256, cases[i].servers, CC_PREFER_AVAILABILITY, 1);

      world_spread (w, 20);
      world_run (w, 60);
      w->lag = cases[i].lag;
      for (guint k = 0; k < 8; k++)
        set_key_load (w, k, ((guint64) g_rand_int (w->rand) << 32) | 1, 3);
      world_run (w, 4);
      world_find (w, "s1")->leaving = TRUE;
      for (gint64 end = w->now + CC_SECOND + 2 * (w->lag + WORLD_TICK);
           w->now < end;)
        world_tick (w);
      if (world_owned (w, "s1") > 0)
        fail_msg ("%u servers, maps applied after %u ms: %u units still owned",
                  cases[i].servers, (guint) (cases[i].lag / CC_MS),
                  world_owned (w, "s1"));
      world_free (w);
    }
}

/* Guards against a leaving server that is drained late, because each batch of
 * units waits for a write and the first batches were sized for quick writes:
 * no write may start that would complete later than two seconds after. */
static void
a_leaving_server_is_emptied_by_slow_writes (void **state)
{
  static const gint64 writes[] = { 200 * CC_MS, 400 * CC_MS, 600 * CC_MS,
                                   800 * CC_MS, 1000 * CC_MS };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (writes); i++)
    {
      World *w = world_new (256, 4, CC_PREFER_AVAILABILITY, 1);

      world_spread (w, 20);
      world_run (w, 60);
      w->write = writes[i];
      w->lag = writes[i];
      world_run (w, 4);
      world_find (w, "s1")->leaving = TRUE;
      for (gint64 end = w->now + 2 * CC_SECOND - w->write; w->now < end;)
        world_tick (w);
      if (world_owned (w, "s1") > 0)
        fail_msg ("writes of %u ms: %u units still owned",
                  (guint) (w->write / CC_MS), world_owned (w, "s1"));
      world_free (w);
    }
}

static guint
moving_to (const World *w, const char *name)
{
  gint32 server = cc_slicemap_find (w->map, name);
  guint n = 0;

  for (guint i = 0; i < cc_slicemap_units (w->map); i++)
    n += cc_slicemap_at (w->map, i)->from >= 0 &&
         cc_slicemap_at (w->map, i)->server == server;
  return n;
}

/* Guards against units that move twice, because the server to which they were
 * moving was lost or began to leave. */
static void
a_moving_unit_is_redirected (void **state)
{
  static const struct
  {
    gboolean leaving, silent;
  } cases[] = { { TRUE, FALSE }, { FALSE, TRUE } };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      World *w = world_new (256, 4, CC_PREFER_AVAILABILITY, 1);

      world_spread (w, 20);
      world_run (w, 60);
      w->write = 800 * CC_MS;
      w->lag = 800 * CC_MS;
      world_find (w, "s0")->leaving = TRUE;
      for (guint k = 0; k < 5 && moving_to (w, "s1") == 0; k++)
        world_tick (w);
      assert_true (moving_to (w, "s1") > 0);
      world_find (w, "s1")->leaving = cases[i].leaving;
      world_find (w, "s1")->silent = cases[i].silent;
      for (gint64 end = w->now + w->write; w->now < end;)
        world_tick (w);
      if (moving_to (w, "s1") > 0)
        fail_msg ("case %u: %u units moving to s1", i, moving_to (w, "s1"));
      world_run (w, 10);
      assert_int_equal (world_owned (w, "s1"), 0);
      world_free (w);
    }
}

/* Guards against lost attempt records: a unit whose next dispatcher never
 * owned it in any map, because it moved again in the step that ended the move
 * before. */
static void
a_move_is_settled_before_the_next (void **state)
{
  (void) state;
  for (guint32 seed = 1; seed <= 10; seed++)
    {
      World *w = world_new (256, 6, CC_PREFER_AVAILABILITY, seed);

      world_spread (w, 12);
      for (guint k = 0; k < 20; k++)
        {
          g_autofree char *name =
              g_strdup_printf ("s%d", g_rand_int_range (w->rand, 0, 6));

          set_key_load (w, k % 4, ((guint64) g_rand_int (w->rand) << 32) | 1,
                        2);
          w->lag = g_rand_int_range (w->rand, 0, 3) * WORLD_TICK;
          world_find (w, name)->leaving = !world_find (w, name)->leaving;
          world_run (w, (guint) g_rand_int_range (w->rand, 1, 6));
        }
      if (w->unsettled > 0)
        fail_msg ("seed %u: %u moves began before the last was settled", seed,
                  w->unsettled);
      world_free (w);
    }
}

/* Guards against moves that wait for each other: each completes once the map
 * in which it started is applied, though others start and complete meanwhile.
 */
static void
a_move_does_not_wait_for_later_ones (void **state)
{
  (void) state;
  for (guint lag = 1; lag <= 4; lag++)
    {
      World *w = world_new (256, 18, CC_PREFER_AVAILABILITY, lag);

      world_spread (w, 20);
      world_run (w, 60);
      w->lag = lag * WORLD_TICK;
      w->longest = 0;
      for (guint k = 0; k < 9; k++)
        {
          g_autofree char *name = g_strdup_printf ("s%u", k);

          world_find (w, name)->leaving = TRUE;
          world_tick (w);
        }
      world_run (w, 20);
      if (w->longest > w->lag + 2 * WORLD_TICK)
        fail_msg ("maps applied after %u ms: a unit had no owner for %u ms",
                  (guint) (w->lag / CC_MS), (guint) (w->longest / CC_MS));
      world_free (w);
    }
}

/* Guards against a hot key that is unserved for seconds: it is split out just
 * after its server moved to another dispatcher, which cannot confirm before
 * the longest request deadline has passed that earlier attempts have stopped.
 */
static void
a_hot_key_stays_while_its_server_is_unconfirmed (void **state)
{
  World *w = world_new (256, 10, CC_PREFER_AVAILABILITY, 1);
  guint64 hash = (guint64) 7 << 60 | 1;
  WorldServer *s;

  (void) state;
  world_spread (w, 20);
  world_run (w, 60);
  w->longest = 0;
  s = world_find (
      w, cc_slicemap_owner (w->map, cc_slicemap_unit (w->map, hash))->name);
  s->unconfirmed_until = w->now + 10 * CC_SECOND;
  set_key_load (w, 0, hash, 1.7);
  world_run (w, 60);
  assert_true (w->planner->splits > 0);
  if (w->longest > CC_SECOND)
    fail_msg ("without an owner for %d ms", (gint) (w->longest / CC_MS));
  world_free (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_against_exact),
    cmocka_unit_test (test_meter),
    cmocka_unit_test (test_two_hot_keys),
    cmocka_unit_test (test_keys_that_change),
    cmocka_unit_test (a_leaving_server_is_emptied_in_time),
    cmocka_unit_test (a_leaving_server_is_emptied_by_slow_writes),
    cmocka_unit_test (a_moving_unit_is_redirected),
    cmocka_unit_test (a_move_is_settled_before_the_next),
    cmocka_unit_test (a_move_does_not_wait_for_later_ones),
    cmocka_unit_test (a_hot_key_stays_while_its_server_is_unconfirmed),
  };

  return cmocka_run_group_tests_name ("hotkeys", tests, NULL, NULL);
}
