/* Load pattern: upstreams of a pool differ permanently in speed, by a factor
 * of two and more.  With keys divided as if all were equally fast, the slow
 * ones are overloaded while the fast ones idle, and each entry alone receives
 * too few responses of one upstream to measure its speed.
 *
 * Each entry reports the work that it observed since its last report, and the
 * number of responses; the sums over all entries are kept and decay.  An
 * upstream's mean is shrunk towards its pool's mean, the more the fewer
 * responses there are. */
#include "work_rates.h"

#include <math.h>

/* Half-life of responses: at ten per second, about 150 are in a mean, whose
 * error is then a twelfth, and an upstream that becomes slow is recognised
 * within seconds. */
#define ANSWERS_HALF_LIFE (10 * CC_SECOND)
/* Prior weight, in responses, of the pool's mean: the variance of work times,
 * about the square of their mean, divided by the variance of speeds, two
 * thirds of which lie within two fifths of the mean. */
#define PRIOR_ANSWERS 6.0
/* Work time of a request without any measurement, us. */
#define DEFAULT_WORK_TIME 200000.0

typedef struct
{
  double work;    /* decayed sum, us */
  double answers; /* decayed number */
  gint64 at;      /* last update, us */
} Sum;

/* Initialises R without any measurement. */
void
cc_work_rates_init (CcWorkRates *r)
{
  r->upstreams =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the memory of R. */
void
cc_work_rates_clear (CcWorkRates *r)
{
  g_hash_table_unref (r->upstreams);
  g_hash_table_unref (r->pools);
}

/* Returns the remaining weight of S at NOW. */
static double
decay_factor (const Sum *s, gint64 now)
{
  return exp2 (-(double) MAX (now - s->at, 0) / ANSWERS_HALF_LIFE);
}

/* Adds a report to the sum of NAME, which is created if needed. */
static void
add_to_sum (GHashTable *sums, const char *name, double work, guint answers,
            gint64 now)
{
  Sum *s = g_hash_table_lookup (sums, name);
  double part;

  if (s == NULL)
    {
      s = g_new0 (Sum, 1);
      g_hash_table_insert (sums, g_strdup (name), s);
    }
  part = decay_factor (s, now);
  s->work = part * s->work + work;
  s->answers = part * s->answers + answers;
  s->at = now;
}

/* Adds the report of an entry: UPSTREAM of POOL worked WORK us on ANSWERS
 * responses. */
void
cc_work_rates_add (CcWorkRates *r, const char *pool, const char *upstream,
                   double work, guint answers, gint64 now)
{
  if (answers == 0)
    return;
  add_to_sum (r->upstreams, upstream, work, answers, now);
  add_to_sum (r->pools, pool, work, answers, now);
}

/* Returns the estimated work time of a request at UPSTREAM of POOL, us. */
double
cc_work_rates_of (const CcWorkRates *r, const char *pool, const char *upstream,
                  gint64 now)
{
  const Sum *all = g_hash_table_lookup (r->pools, pool);
  const Sum *one = g_hash_table_lookup (r->upstreams, upstream);
  double mean = all != NULL ? all->work / all->answers : DEFAULT_WORK_TIME;
  double part = one != NULL ? decay_factor (one, now) : 0.0;

  if (one == NULL)
    return mean;
  return (PRIOR_ANSWERS * mean + part * one->work) /
         (PRIOR_ANSWERS + part * one->answers);
}
