/* Compares the router's load control with a naive version in a discrete-event
 * simulation without network, both with the same seeded arrivals, and prints
 * goodput, latencies and refusals.  bench [SEED [SCENARIO]] runs the scenarios
 * whose names contain SCENARIO. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench_run.h"

#define LONG_JOB_FACTOR 20 /* times the usual work */

static const Class classes[] = {
  { "browse", 18, 4000, 100000, 2000000, FALSE },
  { "book once", 10, 12000, 250000, 5000000, TRUE },
  { "pay once", 6, 8000, 150000, 3000000, TRUE },
  { "look up", 16, 4000, 80000, 1500000, FALSE },
  { "authorise once", 12, 12000, 250000, 5000000, TRUE },
  { "invoice once", 6, 8000, 200000, 5000000, TRUE },
};

static const Scenario scenarios[] = {
  { "healthy", 0.6, 0, 0, 0, 0, 0, 0, FALSE },
  { "burst x10", 0.3, 3.0, 0, 0, 0, 0, 0, FALSE },
  { "hot caller", 1.5, 0, 0.7, 0, 0, 0, 0, FALSE },
  { "hot key", 0.6, 0, 0, 0.25, 0, 0, 0, FALSE },
  { "slow server", 0.6, 0, 0, 0, 0, 0, 3.0, FALSE },
  { "frozen server", 0.6, 0, 0, 0, 0, 0, 0, TRUE },
  { "long jobs", 0.6, 0, 0, 0, 0.02, 0, 0, FALSE },
  { "long jobs 0.9", 0.9, 0, 0, 0, 0.02, 0, 0, FALSE },
  { "long jobs 1.5", 1.5, 0, 0, 0, 0.02, 0, 0, FALSE },
  { "silent links", 0.6, 0, 0, 0, 0, 0.005, 0, FALSE },
  { "overload x1.5", 1.5, 0, 0, 0, 0, 0, 0, FALSE },
  { "overload x3", 3.0, 0, 0, 0, 0, 0, 0, FALSE },
};

/* Returns the load offered at AT, in multiples of the capacity. */
static double
load_at (const Scenario *s, gint64 at)
{
  return s->burst > 0 && at >= 2 * CC_SECOND && at < 3 * CC_SECOND ? s->burst
                                                                   : s->load;
}

/* Returns the mean work time in us, with the long jobs of S. */
static double
mean_work (const Class *c, const Scenario *s)
{
  return (double) c->work * (1 + s->long_jobs * (LONG_JOB_FACTOR - 1));
}

/* Returns the requests a second that all servers together can process. */
static double
capacity (const Class *c, const Scenario *s)
{
  double slow = s->slow > 0 ? 1 - 1 / s->slow : 0;
  double lost = s->frozen ? 1 : slow;

  return ((double) c->servers - lost) * SLOTS * 1e6 / mean_work (c, s);
}

/* Draws the Poisson arrivals of SECONDS. */
static GArray *
draw_arrivals (const Class *c, const Scenario *s, guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  GArray *all = g_array_new (FALSE, TRUE, sizeof (Request));
  double full = (double) c->servers * SLOTS * 1e6 / mean_work (c, s);
  double at = 0;

  for (;;)
    {
      Request q = { 0 };

      at += -log (1 - g_rand_double (rand)) * 1e6 /
            (full * load_at (s, (gint64) at));
      q.at = (gint64) at;
      if (q.at >= SECONDS * CC_SECOND)
        break;
      q.tenant = g_rand_double (rand) < s->hot_tenant
                     ? 0
                     : (guint) g_rand_int_range (rand, 0, TENANTS);
      q.key = g_rand_double (rand) < s->hot_key
                  ? hot_key_at (q.at)
                  : (guint) g_rand_int_range (rand, 0, KEYS);
      q.is_long = g_rand_double (rand) < s->long_jobs;
      q.work = (gint64) ((double) c->work * (q.is_long ? LONG_JOB_FACTOR : 1) *
                         g_rand_double_range (rand, 0.5, 1.5));
      q.is_silent =
          !c->once_only && s->silent > 0 && g_rand_double (rand) < s->silent;
      g_array_append_val (all, q);
    }
  g_rand_free (rand);
  return all;
}

/* Returns Jain's fairness index of the tenants' requests answered within the
 * latency target, without the hot tenant if HOT. */
static double
fairness (const Result *r, gboolean hot)
{
  double sum = 0, squares = 0;
  guint from = hot ? 1 : 0;

  for (guint i = from; i < TENANTS; i++)
    {
      sum += r->tenant[i];
      squares += r->tenant[i] * r->tenant[i];
    }
  return squares > 0 ? sum * sum / ((TENANTS - from) * squares) : 0;
}

/* Returns the quantile SHARE of H in ms. */
static double
quantile_ms (const CcHistogram *h, double share)
{
  return (double) cc_histogram_quantile (h, share) / 1000;
}

/* Prints one line in the columns and units that main prints. */
static void
print_result (const Run *run)
{
  const Result *r = &run->r;
  double seconds = SECONDS - (double) WARM_UP / 1e6;
  double all = (double) MAX (r->counted, 1);

  printf ("%-14s %-14s %-5s %6.1f %6.1f %7.1f %7.1f %7.1f %6.1f %6.1f %6.1f "
          "%5.2f %6.1f\n",
          run->scenario->name, run->class->name,
          run->controlled ? "ours" : "naive",
          100 * (double) r->in_target / seconds /
              capacity (run->class, run->scenario),
          100 * (double) r->in_target / all, quantile_ms (&r->answered, 0.5),
          quantile_ms (&r->answered, 0.99), quantile_ms (&r->answered, 0.999),
          100 * (double) r->refused / all, quantile_ms (&r->refusal, 0.99),
          100 * (double) r->unknown / all,
          fairness (r, run->scenario->hot_tenant > 0),
          100 * (double) r->regular_in_target / (double) MAX (r->regular, 1));
}

/* Runs both versions with the same arrivals and prints their results. */
static void
run_both (const Class *c, const Scenario *s, guint32 seed)
{
  g_autoptr (GArray) arrivals = draw_arrivals (c, s, seed);

  for (guint controlled = 0; controlled < 2; controlled++)
    {
      g_autofree Run *run = g_new0 (Run, 1);

      run->class = c;
      run->scenario = s;
      run->controlled = controlled != 0;
      run_model (run, arrivals);
      print_result (run);
    }
}

int
main (int argc, char **argv)
{
  guint32 seed = argc > 1 ? (guint32) atoi (argv[1]) : 1;
  const char *only = argc > 2 ? argv[2] : "";

  printf ("seed %u; goodput: answered within target, %% of capacity and of "
          "offered; p50, p99, p99.9 of answers, ms;\nrefused %%, told after ms "
          "(p99), unknown %%; Jain's index of tenants, others' in-target %%\n",
          seed);
  printf ("%-14s %-14s %-5s %6s %6s %7s %7s %7s %6s %6s %6s %5s %6s\n",
          "scenario", "class", "", "good", "of off", "p50", "p99", "p99.9",
          "refuse", "told", "unkn", "jain", "others");
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    for (guint k = 0; k < G_N_ELEMENTS (classes); k++)
      if (strstr (scenarios[i].name, only) != NULL)
        run_both (&classes[k], &scenarios[i], seed);
  return 0;
}
