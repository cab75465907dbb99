/* Guards against a request that runs twice, a not-run for one that ran, and an
 * outcome that differs from the first: holders are lost with their records,
 * records are evicted, and the clocks of callers and instances differ. */
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "outcome.h"

#define SEEDS 3000
#define STEPS 400
#define START (1750000000 * CC_SECOND) /* wall clock */
#define POOL "gate-payment"
#define SLICES 3

typedef enum
{
  KEY_IDLE,    /* no attempt, or only attempts reported as not-run */
  KEY_RUNNING, /* an attempt is in progress */
  KEY_ENDED,   /* it ran, or may have run */
} KeyState;

typedef struct
{
  char id[37];
  gint64 made;
  guint slice;
  KeyState state;
  CcOutcome outcome; /* if ENDED */
  guint status;
  guint holder; /* number of the one that made the attempt */
} Key;

typedef struct
{
  guint32 seed;
  GRand *rand;
  gint64 now;            /* true time */
  gint64 offset;         /* of the holder's clock */
  guint holder;          /* counts holders; the number of the present one */
  gint64 took_over_at;   /* by the holder's clock */
  gint64 newest[SLICES]; /* latest time in any key that was run */
  CcOutcomes *outcomes;
  GPtrArray *keys;
  guint results[CC_REPEAT_MALFORMED + 1];
} World;

static gint64
wall (const World *w)
{
  return w->now + w->offset;
}

static void
write_uuid (char *id, gint64 made, guint32 a, guint32 b)
{
  guint64 ms = (guint64) (made / CC_MS);

  g_snprintf (id, 37, "%08x-%04x-7%03x-8%03x-%08x%04x", (guint) (ms >> 16),
              (guint) (ms & 0xffff), a & 0xfff, (a >> 12) & 0xfff, b, a >> 20);
}

/* Begins a holder without records, whose clock is anywhere within the bound on
 * the skew of instances. */
static void
new_holder (World *w)
{
  gint64 half = CC_INSTANCE_SKEW_MAX / 2;

  if (w->outcomes != NULL)
    cc_outcomes_free (w->outcomes);
  w->outcomes = cc_outcomes_new ();
  cc_outcomes_set_limits (w->outcomes, 40, 4000);
  w->holder++;
  w->offset = g_rand_int_range (w->rand, (gint32) -half, (gint32) half + 1);
  w->took_over_at = wall (w);
  for (guint s = 0; s < SLICES; s++)
    cc_outcomes_take_over (w->outcomes, POOL, s, wall (w), w->holder == 1);
}

static Key *
new_key (World *w)
{
  Key *k = g_new0 (Key, 1);
  gint64 ahead = g_rand_int_range (w->rand, -900, 1100) * CC_MS;
  guint32 first, second;

  if (g_rand_boolean (w->rand))
    ahead = 0;
  k->made = (w->now + ahead) / CC_MS * CC_MS;
  if (g_rand_int_range (w->rand, 0, 4) == 0 && w->keys->len > 0)
    k->made = ((Key *) w->keys->pdata[w->keys->len - 1])->made;
  k->slice = (guint) g_rand_int_range (w->rand, 0, SLICES);
  first = g_rand_int (w->rand);
  second = g_rand_int (w->rand);
  write_uuid (k->id, k->made, first, second);
  g_ptr_array_add (w->keys, k);
  return k;
}

static void
fault (const World *w, const Key *k, const char *what)
{
  print_error ("seed %u: %s (key %s, state %d, holder %u of %u)\n", w->seed,
               what, k->id, k->state, k->holder, w->holder);
  fail ();
}

/* A key that is newer than all keys that ran here and than the takeover must
 * not be refused; answering "unknown" to everything would be safe but useless.
 */
static gboolean
must_be_new (const World *w, const Key *k)
{
  return k->state == KEY_IDLE && k->made > w->newest[k->slice] + CC_MS &&
         k->made <= wall (w) + CC_SKEW_MAX &&
         (w->holder == 1 ||
          k->made >= w->took_over_at + CC_SKEW_MAX + CC_INSTANCE_SKEW_MAX);
}

static void
begin (World *w, Key *k)
{
  if (k->state != KEY_IDLE)
    fault (w, k, "run again");
  cc_outcomes_start (w->outcomes, POOL, k->slice, k->id, wall (w));
  k->state = KEY_RUNNING;
  k->holder = w->holder;
  w->newest[k->slice] = MAX (w->newest[k->slice], k->made);
}

static void
lookup (World *w, Key *k)
{
  const CcOutcomeRecord *kept = NULL;
  CcRepeat r =
      cc_outcomes_lookup (w->outcomes, POOL, k->slice, k->id, wall (w), &kept);

  w->results[r]++;
  if (must_be_new (w, k) && r != CC_REPEAT_NEW)
    fault (w, k, "refused for no reason");
  switch (r)
    {
    case CC_REPEAT_NEW:
      begin (w, k);
      break;
    case CC_REPEAT_RUNNING:
      if (k->state != KEY_RUNNING || k->holder != w->holder)
        fault (w, k, "joins an attempt that is not in progress");
      break;
    case CC_REPEAT_DONE:
      if (k->state != KEY_ENDED || kept->outcome != k->outcome ||
          kept->status != k->status)
        fault (w, k, "an outcome other than the first");
      break;
    case CC_REPEAT_TOO_OLD:
      if (k->state == KEY_RUNNING && k->holder == w->holder)
        fault (w, k, "no record of an attempt in progress");
      break;
    case CC_REPEAT_AHEAD:
    case CC_REPEAT_MALFORMED:
      if (k->state != KEY_IDLE)
        fault (w, k, "not-run for a request that may have run");
      break;
    }
}

static void
end (World *w, Key *k)
{
  guint size = (guint) g_rand_int_range (w->rand, 0, 900);
  g_autoptr (GBytes) body = g_bytes_new_take (g_malloc0 (size), size);
  CcOutcomeRecord r = { CC_OUTCOME_RUN, 200 + size, NULL, body };

  if (k->holder != w->holder)
    {
      k->state = KEY_ENDED; /* at the server, after its holder was lost */
      return;
    }
  if (g_rand_int_range (w->rand, 0, 4) == 0)
    {
      cc_outcomes_remove (w->outcomes, POOL, k->slice, k->id);
      k->state = KEY_IDLE;
      return;
    }
  r.outcome = g_rand_boolean (w->rand) ? CC_OUTCOME_RUN : CC_OUTCOME_UNKNOWN;
  cc_outcomes_finish (w->outcomes, POOL, k->slice, k->id, &r);
  k->state = KEY_ENDED;
  k->outcome = r.outcome;
  k->status = r.status;
}

static Key *
pick (World *w)
{
  gint32 n = (gint32) w->keys->len;
  gint32 from = g_rand_boolean (w->rand) ? MAX (n - 12, 0) : 0;

  return w->keys->pdata[g_rand_int_range (w->rand, from, n)];
}

static void
step (World *w)
{
  gint32 what = g_rand_int_range (w->rand, 0, 100);
  Key *k = w->keys->len > 0 ? pick (w) : new_key (w);

  if (what < 35)
    lookup (w, new_key (w));
  else if (what < 65)
    lookup (w, k);
  else if (what < 85 && k->state == KEY_RUNNING)
    end (w, k);
  else if (what < 98)
    w->now += g_rand_int_range (w->rand, 0, 200) * CC_MS;
  else if (what == 98)
    w->now += g_rand_boolean (w->rand) ? CC_OUTCOME_RETENTION : CC_SECOND;
  else
    new_holder (w);
}

static void
run_seed (guint32 seed, guint *results)
{
  World w = { .seed = seed, .now = START };

  w.rand = g_rand_new_with_seed (seed);
  w.keys = g_ptr_array_new_with_free_func (g_free);
  new_holder (&w);
  for (guint i = 0; i < STEPS; i++)
    step (&w);
  for (guint i = 0; i < G_N_ELEMENTS (w.results); i++)
    results[i] += w.results[i];
  cc_outcomes_free (w.outcomes);
  g_ptr_array_unref (w.keys);
  g_rand_free (w.rand);
}

static void
outcome_schedules (void **state)
{
  guint results[CC_REPEAT_MALFORMED + 1] = { 0 };

  (void) state;
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, results);
  print_message ("# new %u, running %u, done %u, too old %u, ahead %u\n",
                 results[0], results[1], results[2], results[3], results[4]);
  for (guint i = CC_REPEAT_NEW; i <= CC_REPEAT_AHEAD; i++)
    assert_true (results[i] > SEEDS); /* each answer occurred */
}

static void
key_shapes (void **state)
{
  static const struct
  {
    const char *key;
    gboolean good;
  } cases[] = {
    { "01970000-0000-7000-8000-000000000000", TRUE },
    { "01970000-0000-4000-8000-000000000000", FALSE },
    { "01970000-0000-7000-8000-00000000000", FALSE },
    { "01970000-0000-7000-8000-0000000000000", FALSE },
    { "0197000g-0000-7000-8000-000000000000", FALSE },
    { "01970000 0000-7000-8000-000000000000", FALSE },
    { "", FALSE },
  };
  gint64 at;

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    assert_int_equal (cc_idempotency_time (cases[i].key, &at), cases[i].good);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (outcome_schedules),
    cmocka_unit_test (key_shapes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
