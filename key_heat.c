/* Faded counts by bucket; see key_heat.h for the sizes. */
#include "key_heat.h"

#include <math.h>

/* Fades all counts to NOW, us. */
void
cc_key_heat_fade (CcKeyHeat *h, gint64 now)
{
  double factor = exp (-(double) (now - h->faded_at) / CC_HEAT_TIME);

  if (h->faded_at != 0)
    for (guint i = 0; i < CC_HEAT_BUCKETS; i++)
      h->count[i] *= factor;
  h->faded_at = now;
}

/* COUNT requests came for keys of BUCKET just now. */
void
cc_key_heat_add (CcKeyHeat *h, guint bucket, double count)
{
  if (bucket < CC_HEAT_BUCKETS)
    h->count[bucket] += count;
}

/* The part of BUCKET's keys that lie in FROM to TO. */
static double
overlap (guint bucket, guint from, guint to)
{
  guint first = bucket * CC_HEAT_BUCKET;
  guint last = first + CC_HEAT_BUCKET - 1;
  guint low = MAX (first, from), high = MIN (last, to);

  return high < low ? 0.0 : (double) (high - low + 1) / CC_HEAT_BUCKET;
}

/* Requests a second for the keys FROM to TO, both included. */
double
cc_key_heat_rate (const CcKeyHeat *h, guint from, guint to)
{
  double sum = 0;

  for (guint b = from / CC_HEAT_BUCKET; b <= to / CC_HEAT_BUCKET; b++)
    sum += h->count[b] * overlap (b, from, to);
  return sum * (double) CC_SECOND / CC_HEAT_TIME;
}

/* How many keys at the end of FROM to TO get RATE requests a second, where each
 * key counts for PER_KEY more.  At least one and not all. */
guint
cc_key_heat_cut (const CcKeyHeat *h, guint from, guint to, double rate,
                 double per_key)
{
  double sum = 0;
  guint at = to;

  while (at > from + 1)
    {
      double one = h->count[at / CC_HEAT_BUCKET] / CC_HEAT_BUCKET *
                       (double) CC_SECOND / CC_HEAT_TIME +
                   per_key;

      if (sum + one > rate && at < to)
        break;
      sum += one;
      at--;
    }
  return MAX (to - at, 1);
}
