/* Checks how fast and how exactly the rate of a sudden hot region is measured.
 * Guards against ranges that are split into pieces with too much load, because
 * the measured rate rises too slowly. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "key_load.h"

#define PERIOD (400 * CC_MS) /* of load reports */
#define SEEDS 200

typedef struct
{
  const char *name;
  double all;    /* requests a second for all keys */
  double hot;    /* further requests a second for the hot region */
  guint buckets; /* size of the region */
  gint64 after;  /* time since the region became hot, us */
  double least;  /* bounds of the measured part of the true rate, on average */
  double most;
} Case;

static const Case cases[] = {
  /* A mean over two seconds alone would measure 0.18, 0.33 and 0.63. */
  { "small fleet, 0.4 s", 100, 70, 13, 400 * CC_MS, 0.30, 0.8 },
  { "small fleet, 0.8 s", 100, 70, 13, 800 * CC_MS, 0.50, 1.0 },
  { "small fleet, 2 s", 100, 70, 13, 2000 * CC_MS, 0.65, 1.2 },
  { "large fleet, 0.4 s", 1000, 380, 13, 400 * CC_MS, 0.40, 0.7 },
  { "large fleet, 0.8 s", 1000, 380, 13, 800 * CC_MS, 0.62, 0.9 },
  { "one bucket, 0.4 s", 1000, 280, 1, 400 * CC_MS, 0.35, 0.65 },
  /* Under constant load the measured rate is close to the true one. */
  { "steady and even", 1000, 0, 0, 8 * CC_SECOND, 0.9, 1.25 },
  { "steady and busy", 1000, 380, 13, 8 * CC_SECOND, 0.9, 1.2 },
};

/* Adds the requests of one period: RATE a second, spread over the keys of
 * BUCKETS buckets from FROM on. */
static void
add (CcKeyLoad *h, GRand *rand, double rate, guint from, guint buckets)
{
  double due = rate * PERIOD / CC_SECOND;

  for (; due >= 1 || g_rand_double (rand) < due; due -= 1)
    cc_key_load_add (h,
                     from * CC_LOAD_BUCKET +
                         (guint) g_rand_int_range (
                             rand, 0, (gint32) buckets * CC_LOAD_BUCKET),
                     1);
}

/* Returns the measured part of the true rate, of the region or, without one, of
 * all keys. */
static double
measured_part (const Case *c, guint seed)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  g_autofree CcKeyLoad *h = g_new0 (CcKeyLoad, 1);
  gint64 now = 1;
  double even = c->all * c->buckets / CC_LOAD_BUCKETS;

  for (gint64 elapsed = 0; elapsed < 8 * CC_SECOND; elapsed += PERIOD)
    {
      cc_key_load_decay (h, now += PERIOD);
      add (h, rand, c->all, 0, CC_LOAD_BUCKETS);
    }
  for (gint64 elapsed = 0; elapsed < c->after; elapsed += PERIOD)
    {
      cc_key_load_decay (h, now += PERIOD);
      add (h, rand, c->all, 0, CC_LOAD_BUCKETS);
      if (c->hot > 0)
        add (h, rand, c->hot, 500, c->buckets);
    }
  cc_key_load_decay (h, now);
  if (c->hot == 0)
    return cc_key_load_rate (h, 0, 65535) / c->all;
  return cc_key_load_rate (h, 500 * CC_LOAD_BUCKET,
                           (500 + c->buckets) * CC_LOAD_BUCKET - 1) /
         (c->hot + even);
}

static void
a_hot_region_is_detected_soon_and_noise_is_not (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      double sum = 0;

      for (guint seed = 0; seed < SEEDS; seed++)
        sum += measured_part (&cases[i], seed);
      sum /= SEEDS;
      if (sum < cases[i].least || sum > cases[i].most)
        fail_msg ("%s: %.2f of the true rate", cases[i].name, sum);
    }
}

/* Guards against splits whose rate is not the requested one, at either end. */
static void
a_split_has_the_requested_rate (void **state)
{
  static const struct
  {
    guint from, to;
    gboolean at_head;
    double rate;
    guint keys;
  } table[] = {
    /* 100 requests a second, evenly on 1600 keys */
    { 0, 1599, FALSE, 50.01, 800 },
    { 0, 1599, TRUE, 25.01, 400 },
    { 0, 1599, FALSE, 1000, 1599 },
    { 0, 1599, FALSE, 0, 1 },
    { 0, 15, FALSE, 0.51, 8 },
    { 8, 9, FALSE, 5, 1 },
    /* 90 requests a second on key 2005, and 1 on the other keys of its
     * bucket */
    { 2000, 2015, FALSE, 5, 10 },
    { 2000, 2015, TRUE, 5, 5 },
    { 2005, 2015, TRUE, 5, 1 },
  };
  g_autofree CcKeyLoad *h = g_new0 (CcKeyLoad, 1);

  (void) state;
  for (guint k = 0; k < 1600; k++)
    cc_key_load_add (h, k, 2 * 100.0 / 1600);
  for (guint k = 2000; k < 2016; k++)
    cc_key_load_add (h, k, k == 2005 ? 180 : 2.0 / 15);
  memset (h->recent, 0, sizeof h->recent);
  cc_key_load_decay (h, 1);
  for (guint i = 0; i < G_N_ELEMENTS (table); i++)
    {
      guint keys = cc_key_load_split (h, table[i].from, table[i].to,
                                      table[i].at_head, table[i].rate, 0);

      if (keys != table[i].keys)
        fail_msg ("case %u: %u keys", i, keys);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_hot_region_is_detected_soon_and_noise_is_not),
    cmocka_unit_test (a_split_has_the_requested_rate),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
