/* Load pattern: a fleet grows with its pools.  All entries together send an
 * upstream as much as before, but a single entry receives a report of it only
 * every few seconds, too old to be of use.  Upstreams that are assumed idle
 * then get more than their capacity from entries none of which observes that.
 *
 * The upstreams of a pool get their load from the same callers, so the report
 * of one is information on the others as well.  An entry receives reports of
 * all of them together as often as it sends to the pool.  The mean of these
 * reports, weighted by age, is its estimate for an upstream without a recent
 * report. */
#include "pool_load.h"

#include <math.h>

/* Returns the number of half-lives from the last report of P until NOW. */
static double
halvings (const CcPoolLoad *p, gint64 now)
{
  return p->at == 0 ? 0.0
                    : (double) MAX (now - p->at, 0) / (double) p->half_life;
}

/* Decays the sums of P from its last report until NOW. */
static void
decay_sums (CcPoolLoad *p, gint64 now)
{
  double n = halvings (p, now);

  p->halvings += n;
  p->inside *= exp2 (-n);
  p->reports *= exp2 (-n);
  p->at = now;
}

/* Adds the report that an upstream of P has INSIDE requests for each of its
 * slots; one takes WORK us.  LAST is its last report, which is replaced: each
 * upstream counts once, or the mean would be that of the few which get most
 * requests. */
void
cc_pool_load_add (CcPoolLoad *p, CcPoolReport *last, double inside, double work,
                  gint64 now)
{
  double kept;

  decay_sums (p, now);
  kept = last->valid ? exp2 (last->halvings - p->halvings) : 0.0;
  p->inside = MAX (p->inside - kept * last->inside, 0.0) + inside;
  p->reports = MAX (p->reports - kept, 0.0) + 1.0;
  p->max_inside = MAX (p->max_inside, inside);
  /* The time in which an upstream serves what it has inside. */
  p->half_life = (gint64) (work * (1.0 + p->inside / p->reports)) + 1;
  *last = (CcPoolReport){ TRUE, inside, p->halvings };
}

/* Records that an upstream of P reset a request.  An upstream does so when it
 * is full, but also when it fails; it counts as full while other reports say
 * that requests wait. */
void
cc_pool_load_add_reset (CcPoolLoad *p, CcPoolReport *last, double work,
                        gint64 now)
{
  if (p->reports > 0 && p->inside > p->reports)
    cc_pool_load_add (p, last, p->max_inside, work, now);
}

/* Returns the mean number of requests inside an upstream of P per slot.  One
 * report of an idle upstream is added; it outweighs few or old reports, so
 * that an entry that refuses all requests because of them sends again. */
double
cc_pool_load_typical (const CcPoolLoad *p, gint64 now)
{
  double k = exp2 (-halvings (p, now));

  return k * p->inside / (k * p->reports + 1.0);
}
