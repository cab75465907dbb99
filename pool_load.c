/* Load pattern: a fleet grows with its pools.  All entries together send an
 * upstream as much as before, but a single one hears of it only every few
 * seconds.  What it heard last is of no use then; taken for idle, upstreams get
 * more than they have room for, from entries of which none sees that.
 *
 * What one upstream says tells of the others as well: they get their load from
 * the same callers.  An entry hears of all of them together as often as it
 * sends to the pool, so the mean of these reports, weighted by their age, is
 * what it believes of an upstream of which it has no fresh report. */
#include "pool_load.h"

#include <math.h>

static double
kept (const CcPoolLoad *p, gint64 now)
{
  if (p->at == 0)
    return 0.0;
  return exp2 (-(double) MAX (now - p->at, 0) / (double) p->half);
}

/* An upstream of P was seen to have INSIDE requests for each of its slots; one
 * takes WORK us. */
void
cc_pool_load_add (CcPoolLoad *p, double inside, double work, gint64 now)
{
  double k = kept (p, now);

  p->inside = k * p->inside + inside;
  p->reports = k * p->reports + 1.0;
  p->most = MAX (p->most, inside);
  p->at = now;
  /* In that time an upstream serves what it has inside. */
  p->half = (gint64) (work * (1.0 + p->inside / p->reports)) + 1;
}

/* An upstream of P reset a request.  It does so when it is full, but also when
 * it breaks; the first is believed while others say that requests wait. */
void
cc_pool_load_full (CcPoolLoad *p, double work, gint64 now)
{
  if (p->reports > 0 && p->inside > p->reports)
    cc_pool_load_add (p, p->most, work, now);
}

/* How many requests an upstream of P has inside for each of its slots, in the
 * mean.  One report of an idle upstream is added: with old or few reports it
 * outweighs them, and who refused all of its requests by them sends again. */
double
cc_pool_load_typical (const CcPoolLoad *p, gint64 now)
{
  double k = kept (p, now);

  return k * p->inside / (k * p->reports + 1.0);
}
