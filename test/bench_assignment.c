/* Compares the assignment planner with a naive one over simulated hours of the
 * same seeded load: imbalance, churn against the fewest moves that suffice, and
 * the time that keys are unavailable.  bench_assignment [SEED [MOVE_MS]]
 *
 * The naive one assigns slice numbers modulo the number of live servers and
 * ignores hot keys.  A move takes one period of the model, 200 ms; MOVE_MS sets
 * another duration for the unavailable time, which is the number of moves times
 * the duration. */
#include <stdio.h>
#include <stdlib.h>

#include "world.h"

#define SLICES 256
#define LOAD_PER_SERVER 2.0 /* busy slots, of 4 */
#define SETTLE 120 /* s from an event until imbalance counts as settled */
#define NOISE 0.03

typedef struct
{
  guint moves;
  guint event_moves; /* caused by joins and leaves */
  double imbalance;  /* sum of samples */
  double worst;      /* of samples after settling */
  guint samples;
} Tally;

typedef struct
{
  const char *name;
  CcPreference prefer;
  guint servers;
} Deployment;

typedef struct
{
  World *w;
  GPtrArray *modulo_owners; /* their names, by slice */
  Tally planned, modulo;
  guint fewest_moves; /* that all joins and leaves need */
  guint events;
  guint second;
  guint settled_at;
} Bench;

typedef struct
{
  const char *name;
  guint minutes;
  void (*minute) (Bench *b, guint minute); /* runs one minute */
} Pattern;

/* Returns the names of the servers that can own slices. */
static GPtrArray *
live_servers (const World *w)
{
  GPtrArray *live = g_ptr_array_new ();

  for (guint i = 0; i < w->servers->len; i++)
    {
      const WorldServer *s = w->servers->pdata[i];

      if (s->listed && !s->leaving && !s->silent)
        g_ptr_array_add (live, s->name);
    }
  return live;
}

/* Recomputes the naive assignment and counts the moves. */
static void
step_modulo (Bench *b)
{
  g_autoptr (GPtrArray) live = live_servers (b->w);

  for (guint i = 0; i < SLICES; i++)
    {
      char *owner = live->pdata[i % live->len];

      b->modulo.moves += b->modulo_owners->pdata[i] != NULL &&
                         b->modulo_owners->pdata[i] != owner;
      b->modulo_owners->pdata[i] = owner;
    }
}

/* Returns the load of the busiest server over the mean, in the naive
 * assignment. */
static double
modulo_imbalance (const Bench *b)
{
  g_autoptr (GPtrArray) live = live_servers (b->w);
  double total = 0, peak = 0;

  for (guint s = 0; s < live->len; s++)
    {
      double held = 0;

      for (guint i = 0; i < SLICES; i++)
        if (b->modulo_owners->pdata[i] == live->pdata[s])
          {
            held += b->w->base[i];
            for (guint k = 0; k < b->w->keys->len; k++)
              {
                const WorldKey *key = &g_array_index (b->w->keys, WorldKey, k);

                held += cc_slicemap_slice (b->w->map, key->hash) == i
                            ? key->load
                            : 0;
              }
          }
      total += held;
      peak = MAX (peak, held);
    }
  return peak * live->len / total;
}

/* Adds a sample; the worst one counts only after settling. */
static void
add_sample (Bench *b, Tally *t, double imbalance)
{
  t->imbalance += imbalance;
  t->samples++;
  if (b->second >= b->settled_at)
    t->worst = MAX (t->worst, imbalance);
}

/* Runs both assignments for SECONDS and samples their imbalance every ten
 * seconds. */
static void
run_seconds (Bench *b, guint seconds)
{
  for (guint i = 0; i < seconds; i++)
    {
      b->w->moves = 0;
      world_run (b->w, 1);
      b->planned.moves += b->w->moves;
      step_modulo (b);
      b->second++;
      if (b->second % 10 != 0)
        continue;
      add_sample (b, &b->planned, world_imbalance (b->w));
      add_sample (b, &b->modulo, modulo_imbalance (b));
    }
}

/* Runs the minute after a join or leave, which needs at least FEWEST_MOVES, and
 * counts its moves. */
static void
run_event (Bench *b, guint fewest_moves)
{
  guint planned = b->planned.moves, modulo = b->modulo.moves;

  b->fewest_moves += fewest_moves;
  b->events++;
  b->settled_at = b->second + SETTLE;
  run_seconds (b, 60);
  b->planned.event_moves += b->planned.moves - planned;
  b->modulo.event_moves += b->modulo.moves - modulo;
}

/* Every ten minutes a server joins or leaves, alternately. */
static void
joins_and_leaves (Bench *b, guint minute)
{
  g_autofree char *joins = g_strdup_printf ("new%u", minute / 20);
  g_autofree char *leaves = g_strdup_printf ("s%u", minute / 20);
  guint n = 0;

  if (minute % 10 != 5)
    {
      run_seconds (b, 60);
      return;
    }
  for (guint i = 0; i < b->w->servers->len; i++)
    n += ((WorldServer *) b->w->servers->pdata[i])->listed &&
         !((WorldServer *) b->w->servers->pdata[i])->leaving;
  if (minute % 20 == 5)
    {
      world_join (b->w, joins);
      run_event (b, SLICES / (n + 1));
      return;
    }
  world_find (b->w, leaves)->leaving = TRUE;
  run_event (b, world_owned (b->w, leaves));
}

/* In the tenth minute the load of 16 slices, the claims of one region, grows to
 * five times; an hour later it returns to normal. */
static void
surge_of_slices (Bench *b, guint minute)
{
  double factor = minute == 10 ? 5 : minute == 70 ? 0.2 : 1;

  for (guint i = 0; i < 16; i++)
    b->w->base[i * 3] *= factor;
  if (factor != 1)
    b->settled_at = b->second + SETTLE;
  run_seconds (b, 60);
}

/* Makes HASH the only hot key, with LOAD in busy slots. */
static void
set_hot_key (Bench *b, guint64 hash, double load)
{
  WorldKey k = { hash, load };

  g_array_set_size (b->w->keys, 0);
  g_array_append_val (b->w->keys, k);
}

/* The load of one key grows over ten minutes to most of a server's capacity,
 * and ends after an hour. */
static void
growing_hot_key (Bench *b, guint minute)
{
  double load = 0.01;

  if (minute >= 10 && minute < 70)
    load = 0.17 * MIN (minute - 9, 10);
  if (minute == 10)
    b->settled_at = b->second + 10 * 60 + SETTLE; /* after the growth */
  if (minute == 70)
    b->settled_at = b->second + SETTLE;
  set_hot_key (b, 0x123456789abcdef, load);
  run_seconds (b, 60);
}

/* One key has most of a server's load at once; every ten minutes it is another
 * one. */
static void
moving_hot_key (Bench *b, guint minute)
{
  if (minute % 10 == 0)
    {
      set_hot_key (b, ((guint64) g_rand_int (b->w->rand) << 32) | 1, 1.7);
      b->settled_at = b->second + SETTLE;
    }
  run_seconds (b, 60);
}

static const Pattern patterns[] = {
  { "joins and leaves", 120, joins_and_leaves },
  { "hailstorm", 100, surge_of_slices },
  { "popular castle", 100, growing_hot_key },
  { "moving hot key", 90, moving_hot_key },
};

static const Deployment deployments[] = {
  { "hradna catalogue", CC_PREFER_AVAILABILITY, 18 },
  { "stakloservis claim-status", CC_PREFER_STABILITY, 16 },
};

/* Prints imbalance, churn and unavailable time per hour, and the moves per join
 * or leave against the fewest possible. */
static void
print_row (const char *who, const Bench *b, const Tally *t, guint minutes,
           guint move_ms)
{
  double hours = minutes / 60.0;

  printf ("  %-6s imbalance mean %5.2f settled peak %5.2f   churn %6.1f%% an "
          "hour, unavailable %7.1f slice-s an hour",
          who, t->imbalance / t->samples, t->worst,
          100.0 * t->moves / SLICES / hours, t->moves * move_ms / 1e3 / hours);
  if (b->events > 0)
    printf (", per event %5.1f%% (fewest %4.1f%%, ratio %.2f)",
            100.0 * t->event_moves / SLICES / b->events,
            100.0 * b->fewest_moves / SLICES / b->events,
            (double) t->event_moves / b->fewest_moves);
  printf ("\n");
}

/* Runs pattern P on deployment D and prints a row for each assignment. */
static void
run (const Pattern *p, const Deployment *d, guint32 seed, guint move_ms)
{
  Bench b = { .w = world_new (SLICES, d->servers, d->prefer, seed) };

  b.modulo_owners = g_ptr_array_new ();
  g_ptr_array_set_size (b.modulo_owners, SLICES);
  b.settled_at = 10 * 60;
  world_spread (b.w, LOAD_PER_SERVER * d->servers);
  b.w->noise = NOISE;
  for (guint i = 0; i < p->minutes; i++)
    p->minute (&b, i);
  printf ("%s, %s, seed %u\n", d->name, p->name, seed);
  print_row ("ours", &b, &b.planned, p->minutes, move_ms);
  print_row ("naive", &b, &b.modulo, p->minutes, move_ms);
  printf ("         splits %u, folds %u\n", (guint) b.w->planner->splits,
          (guint) b.w->planner->folds);
  fflush (stdout);
  g_ptr_array_unref (b.modulo_owners);
  world_free (b.w);
}

int
main (int argc, char **argv)
{
  guint32 seed = argc > 1 ? (guint32) atoi (argv[1]) : 1;
  guint move_ms = argc > 2 ? (guint) atoi (argv[2]) : 200;

  for (guint d = 0; d < G_N_ELEMENTS (deployments); d++)
    for (guint p = 0; p < G_N_ELEMENTS (patterns); p++)
      run (&patterns[p], &deployments[d], seed, move_ms);
  return 0;
}
