/* Load pattern: from one second to the next a small region of keys gets half of
 * all requests, for five seconds.  A mean over two seconds shows a third of
 * that after 0.8 s; keys that are spread by it are cut into pieces three times
 * as busy as they seem, and those pieces may not move again at once.
 *
 * So two means are kept, and a bucket's rate is the higher of the slow one and
 * of what the fast one shows for sure: less CERTAINTY times the deviation that
 * chance gives it, by its own count or by that of its neighbourhood, since busy
 * keys lie side by side. */
#include "key_load.h"

#include <math.h>

/* Deviations below the fast mean that count as sure: of 15 buckets one may seem
 * busier than it is. */
#define CERTAINTY 1.5
/* Buckets on each side that tell about one between them. */
#define NEIGHBOURS 4
/* Requests that each key of a bucket is credited with beside its own: below
 * some four, one key's count says nothing. */
#define KEY_CREDIT 0.25
/* A bucket with less than this lately is no part of a busy region. */
#define RECENT_LEAST 0.5

static double
per_second (double count, gint64 time)
{
  return count * (double) CC_SECOND / (double) time;
}

/* The part of COUNT, faded, that chance does not explain: its variance is half
 * of it. */
static double
sure (double count)
{
  return MAX (count - CERTAINTY * sqrt (count / 2), 0.0);
}

static double
around (const CcKeyLoad *h, guint bucket)
{
  guint from = bucket > NEIGHBOURS ? bucket - NEIGHBOURS : 0;
  guint to = MIN (bucket + NEIGHBOURS, CC_LOAD_BUCKETS - 1);
  double sum = 0;

  for (guint b = from; b <= to; b++)
    sum += h->recent[b];
  return sure (sum) / (to - from + 1);
}

static double
rate_of (const CcKeyLoad *h, guint bucket)
{
  double recent = sure (h->recent[bucket]);

  if (h->recent[bucket] >= RECENT_LEAST)
    recent = MAX (recent, around (h, bucket));
  return MAX (per_second (h->count[bucket], CC_LOAD_DECAY_TIME),
              per_second (recent, CC_LOAD_RECENT_DECAY_TIME));
}

/* Fades all counts to NOW, us, and draws the rates from them. */
void
cc_key_load_decay (CcKeyLoad *h, gint64 now)
{
  double passed = h->faded_at == 0 ? 0.0 : (double) (now - h->faded_at);
  double slow = exp (-passed / CC_LOAD_DECAY_TIME);
  double fast = exp (-passed / CC_LOAD_RECENT_DECAY_TIME);

  for (guint b = 0; b < CC_LOAD_BUCKETS; b++)
    {
      h->count[b] *= slow;
      h->recent[b] *= fast;
    }
  for (guint k = 0; k < CC_LOAD_KEYS; k++)
    h->keys[k] *= (float) slow;
  for (guint b = 0; b < CC_LOAD_BUCKETS; b++)
    h->sums[b + 1] = h->sums[b] + rate_of (h, b);
  h->faded_at = now;
}

/* COUNT requests came for KEY just now. */
void
cc_key_load_add (CcKeyLoad *h, guint key, double count)
{
  if (key >= CC_LOAD_KEYS)
    return;
  h->count[key / CC_LOAD_BUCKET] += count;
  h->recent[key / CC_LOAD_BUCKET] += count;
  h->keys[key] += (float) count;
}

/* The part of its bucket's requests that come for the keys before KEY. */
static double
part_below (const CcKeyLoad *h, guint key)
{
  guint first = key - key % CC_LOAD_BUCKET;
  double below = 0, all = 0;

  for (guint k = first; k < first + CC_LOAD_BUCKET; k++)
    {
      double one = (double) h->keys[k] + KEY_CREDIT;

      all += one;
      below += k < key ? one : 0;
    }
  return below / all;
}

/* Requests a second for the keys below KEY. */
static double
rate_below (const CcKeyLoad *h, guint key)
{
  guint b = key / CC_LOAD_BUCKET;

  if (key >= CC_LOAD_KEYS)
    return h->sums[CC_LOAD_BUCKETS];
  if (key % CC_LOAD_BUCKET == 0)
    return h->sums[b];
  return h->sums[b] + part_below (h, key) * (h->sums[b + 1] - h->sums[b]);
}

/* Requests a second for the keys FROM to TO, both included. */
double
cc_key_load_rate (const CcKeyLoad *h, guint from, guint to)
{
  return rate_below (h, to + 1) - rate_below (h, from);
}

/* How many keys at one end of FROM to TO, at its beginning if AT_HEAD, get RATE
 * requests a second at most, where each key counts for PER_KEY more.  At least
 * one and not all. */
guint
cc_key_load_split (const CcKeyLoad *h, guint from, guint to, gboolean at_head,
                   double rate, double per_key)
{
  guint low = 1, high = to - from; /* keys */

  while (low < high)
    {
      guint keys = low + (high - low + 1) / 2;
      double found = at_head ? cc_key_load_rate (h, from, from + keys - 1)
                             : cc_key_load_rate (h, to - keys + 1, to);

      if (found + per_key * keys > rate)
        high = keys - 1;
      else
        low = keys;
    }
  return MAX (low, 1);
}
