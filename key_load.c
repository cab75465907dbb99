/* Request rates that follow a sudden hot region of keys quickly without
 * mistaking random variation for load.
 *
 * Load pattern: from one second to the next a small region of keys gets half of
 * all requests, for five seconds.  A mean over two seconds shows only a third
 * of that rate after 0.8 s.  Ranges split by such a rate would have three times
 * the expected load, and could not be moved again at once.
 *
 * So two decaying counts are kept for each bucket, a slow and a fast one.  The
 * rate of a bucket is the higher of the slow rate and the lower confidence
 * bound of the fast one: the fast count less CONFIDENCE standard deviations.
 * The bound is computed from the bucket's own count or from that of its
 * neighbourhood, since hot keys are adjacent. */
#include "key_load.h"

#include <math.h>

/* Standard deviations that are subtracted from a fast count.  With 1.5 about
 * one bucket in 15 shows more than its true rate. */
#define CONFIDENCE 1.5
/* Buckets on each side that form the neighbourhood of a bucket. */
#define NEIGHBOUR_BUCKETS 4
/* Requests that are added to each key's count when the rate of a bucket is
 * divided among its keys, since counts below about four say nothing of a single
 * key. */
#define KEY_CREDIT 0.25
/* Least fast count of a bucket in a hot region. */
#define HOT_REGION_MIN 0.5

/* Converts COUNT in TIME, us, to a rate a second. */
static double
per_second (double count, gint64 time)
{
  return count * (double) CC_SECOND / (double) time;
}

/* Returns the lower confidence bound of COUNT, a decayed count.  Its variance
 * is half of it. */
static double
lower_bound (double count)
{
  return MAX (count - CONFIDENCE * sqrt (count / 2), 0.0);
}

/* Returns the lower bound of the mean fast count of the buckets around
 * BUCKET. */
static double
neighbourhood_count (const CcKeyLoad *l, guint bucket)
{
  guint from = bucket > NEIGHBOUR_BUCKETS ? bucket - NEIGHBOUR_BUCKETS : 0;
  guint to = MIN (bucket + NEIGHBOUR_BUCKETS, CC_LOAD_BUCKETS - 1);
  double sum = 0;

  for (guint b = from; b <= to; b++)
    sum += l->recent[b];
  return lower_bound (sum) / (to - from + 1);
}

/* Returns the rate of BUCKET, requests a second. */
static double
rate_of (const CcKeyLoad *l, guint bucket)
{
  double recent = lower_bound (l->recent[bucket]);

  if (l->recent[bucket] >= HOT_REGION_MIN)
    recent = MAX (recent, neighbourhood_count (l, bucket));
  return MAX (per_second (l->count[bucket], CC_LOAD_DECAY_TIME),
              per_second (recent, CC_LOAD_RECENT_DECAY_TIME));
}

/* Decays all counts to NOW, us, and updates the rates.  To be called before
 * rates are read. */
void
cc_key_load_decay (CcKeyLoad *l, gint64 now)
{
  double passed = l->decayed_at == 0 ? 0.0 : (double) (now - l->decayed_at);
  double slow = exp (-passed / CC_LOAD_DECAY_TIME);
  double fast = exp (-passed / CC_LOAD_RECENT_DECAY_TIME);

  for (guint b = 0; b < CC_LOAD_BUCKETS; b++)
    {
      l->count[b] *= slow;
      l->recent[b] *= fast;
    }
  for (guint k = 0; k < CC_LOAD_KEYS; k++)
    l->keys[k] *= (float) slow;
  for (guint b = 0; b < CC_LOAD_BUCKETS; b++)
    l->sums[b + 1] = l->sums[b] + rate_of (l, b);
  l->decayed_at = now;
}

/* Adds COUNT requests for KEY, received just now. */
void
cc_key_load_add (CcKeyLoad *l, guint key, double count)
{
  if (key >= CC_LOAD_KEYS)
    return;
  l->count[key / CC_LOAD_BUCKET] += count;
  l->recent[key / CC_LOAD_BUCKET] += count;
  l->keys[key] += (float) count;
}

/* Returns which part of the differences between the counts of the keys from
 * FIRST on, a bucket with SUM requests, is random variation: the variance of
 * counts of keys with equal rates is at most their mean. */
static double
random_part (const CcKeyLoad *l, guint first, double sum)
{
  double mean = sum / CC_LOAD_BUCKET, squares = 0;

  for (guint k = first; k < first + CC_LOAD_BUCKET; k++)
    squares += (l->keys[k] - mean) * (l->keys[k] - mean);
  return squares > 0 ? MIN (mean * (CC_LOAD_BUCKET - 1) / squares, 1.0) : 1.0;
}

/* Returns the share of the requests for KEY's bucket that are for keys before
 * KEY.  Counts that differ no more than at random are taken for equal: divided
 * by the counts of a second, pieces of a hot set would differ by half. */
static double
share_below (const CcKeyLoad *l, guint key)
{
  guint first = key - key % CC_LOAD_BUCKET;
  double below = 0, sum = 0, credit, part;

  for (guint k = first; k < first + CC_LOAD_BUCKET; k++)
    {
      sum += l->keys[k];
      below += k < key ? l->keys[k] : 0;
    }
  part = random_part (l, first, sum);
  credit = KEY_CREDIT + part * sum / CC_LOAD_BUCKET;
  return ((1.0 - part) * below + credit * (key - first)) /
         ((1.0 - part) * sum + credit * CC_LOAD_BUCKET);
}

/* Returns the rate of the keys below KEY, requests a second. */
static double
rate_below (const CcKeyLoad *l, guint key)
{
  guint b = key / CC_LOAD_BUCKET;

  if (key >= CC_LOAD_KEYS)
    return l->sums[CC_LOAD_BUCKETS];
  if (key % CC_LOAD_BUCKET == 0)
    return l->sums[b];
  return l->sums[b] + share_below (l, key) * (l->sums[b + 1] - l->sums[b]);
}

/* Returns the rate of the keys FROM to TO inclusive, requests a second. */
double
cc_key_load_rate (const CcKeyLoad *l, guint from, guint to)
{
  return rate_below (l, to + 1) - rate_below (l, from);
}

/* Returns how many keys at one end of the range FROM to TO, at its beginning if
 * AT_HEAD, together have a rate of at most RATE, requests a second.  PER_KEY is
 * added to the rate of each key.  The result is at least 1 and less than the
 * number of keys. */
guint
cc_key_load_split (const CcKeyLoad *l, guint from, guint to, gboolean at_head,
                   double rate, double per_key)
{
  guint low = 1, high = to - from; /* keys */

  while (low < high)
    {
      guint keys = low + (high - low + 1) / 2;
      double rate_of_part = at_head
                                ? cc_key_load_rate (l, from, from + keys - 1)
                                : cc_key_load_rate (l, to - keys + 1, to);

      if (rate_of_part + per_key * keys > rate)
        high = keys - 1;
      else
        low = keys;
    }
  return MAX (low, 1);
}
