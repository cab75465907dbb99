/* Load pattern: a fleet grows with its pools.  All entries together send an
 * upstream as much as before, but a single one hears of it only every few
 * seconds.  Its last report is of no use then; taken for idle, upstreams get
 * more than they have room for, from entries of which none sees that.
 *
 * What one upstream says tells of the others as well: they get their load from
 * the same callers.  An entry hears of all of them together as often as it
 * sends to the pool, so the mean of these reports, weighted by their age, is
 * what it believes of an upstream of which it has no fresh report. */
#include "pool_load.h"

#include <math.h>

/* How often the sums of P fade by half from its last report until NOW. */
static double
halvings (const CcPoolLoad *p, gint64 now)
{
  return p->at == 0 ? 0.0 : (double) MAX (now - p->at, 0) / (double) p->half;
}

static void
fade (CcPoolLoad *p, gint64 now)
{
  double n = halvings (p, now);

  p->faded += n;
  p->inside *= exp2 (-n);
  p->reports *= exp2 (-n);
  p->at = now;
}

/* An upstream of P was seen to have INSIDE requests for each of its slots; one
 * takes WORK us.  LAST is its last report: each counts once, or the mean would
 * be that of the few which get most requests. */
void
cc_pool_load_add (CcPoolLoad *p, CcPoolReport *last, double inside, double work,
                  gint64 now)
{
  double kept;

  fade (p, now);
  kept = last->said ? exp2 (last->faded - p->faded) : 0.0;
  p->inside = MAX (p->inside - kept * last->inside, 0.0) + inside;
  p->reports = MAX (p->reports - kept, 0.0) + 1.0;
  p->most = MAX (p->most, inside);
  /* In that time an upstream serves what it has inside. */
  p->half = (gint64) (work * (1.0 + p->inside / p->reports)) + 1;
  *last = (CcPoolReport){ TRUE, inside, p->faded };
}

/* An upstream of P reset a request.  It does so when it is full, but also when
 * it breaks; the first is believed while others say that requests wait. */
void
cc_pool_load_add_reset (CcPoolLoad *p, CcPoolReport *last, double work,
                        gint64 now)
{
  if (p->reports > 0 && p->inside > p->reports)
    cc_pool_load_add (p, last, p->most, work, now);
}

/* How many requests an upstream of P has inside for each of its slots, in the
 * mean.  The report of an idle upstream is added, which outweighs few or old
 * ones, so that who refuses all requests by them sends again. */
double
cc_pool_load_typical (const CcPoolLoad *p, gint64 now)
{
  double k = exp2 (-halvings (p, now));

  return k * p->inside / (k * p->reports + 1.0);
}
