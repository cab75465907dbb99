/* Load pattern: owners of keys turn cold for some seconds, and take a few
 * requests a second meanwhile.
 *
 * Failure: a plan by the cold rate alone moves nearly all keys off an owner
 * that is cold for three seconds, and back again.  Each move makes requests
 * wait, and takes two seconds until its effect is measured, so the keys arrive
 * when the owner is warm.  The capacity is therefore the mean over the time for
 * which a plan holds at least, of which the rest of the cold time is a part. */
#include "owner_capacity.h"

/* Lower bound of the work time of a request, us, which keeps capacities
 * finite. */
#define MIN_WORK 1000.0
/* Work takes so many times longer at a cold upstream. */
#define COLD_SLOWNESS 2.0
/* A moved key that returns earlier has cost more than it gained: both moves
 * take up to two seconds each, and each is measured for as long. */
#define PLAN_HOLDS (10 * CC_SECOND)

/* Returns the capacity of T, which is cold and serves WARM requests a second
 * later. */
static CcOwnerCapacity
cold_capacity (const CcTarget *t, double warm, gint64 now)
{
  double left = (double) (t->load.cold_until - now) / 1e6;
  double all = MAX (left, (double) PLAN_HOLDS / 1e6);
  double served = MIN (t->load.cold_rate * left + t->load.cold_burst,
                       warm / COLD_SLOWNESS * left);

  return (CcOwnerCapacity){ (served + warm * (all - left)) / all, left >= all };
}

/* Returns the capacity at NOW, us, of T, where a request takes WORK us: what
 * its slots serve, what it takes over the rest of its cold time, burst
 * included, or the limit that it names. */
CcOwnerCapacity
cc_owner_capacity (const CcTarget *t, double work, gint64 now)
{
  const CcTargetLoad *l = &t->load;
  double warm = MAX (t->listing.slots, 1) * 1e6 / MAX (work, MIN_WORK);
  gboolean named =
      l->limit > 0 && (l->cold_rate <= 0 || l->limit < l->cold_rate);
  CcOwnerCapacity c = { warm, FALSE };

  if (l->cold_rate > 0 && now < l->cold_until)
    c = cold_capacity (t, warm, now);
  if (named)
    c = (CcOwnerCapacity){ MIN (c.rate, l->limit), TRUE };
  return c;
}
