/* Space-Saving (Metwally, Agrawal, El Abbadi 2005), with decay.
 *
 * Load pattern: a castle becomes popular before a holiday weekend, one region's
 * claims after a hailstorm.  Among billions of keys exact counting would need
 * memory for each, and a sample sees the hot key late.
 *
 * Each key seen is counted if it has a counter; otherwise it takes over the
 * counter with the least count and inherits that count as its error.  So a
 * count is never below the true one, and above it by the least count at most,
 * which is at most the stream's length over the number of counters: a key with
 * a larger part of the stream can't be missing, and `count - error` never
 * makes a cold key hot.  Decay multiplies counts and errors alike, which keeps
 * both bounds with respect to the decayed stream.
 */
#include "hotkeys.h"

#define FORGOTTEN 0.01 /* a decayed count that frees its counter */

/* Empties H. */
void
cc_hotkeys_init (CcHotKeys *h)
{
  h->used = 0;
}

static CcHotKey *
find (CcHotKeys *h, guint64 hash)
{
  for (guint i = 0; i < h->used; i++)
    if (h->keys[i].hash == hash)
      return &h->keys[i];
  return NULL;
}

static CcHotKey *
least (CcHotKeys *h)
{
  CcHotKey *best = &h->keys[0];

  for (guint i = 1; i < h->used; i++)
    if (h->keys[i].count < best->count)
      best = &h->keys[i];
  return best;
}

/* Counts one request for the key with HASH, now in UNIT. */
void
cc_hotkeys_add (CcHotKeys *h, guint64 hash, guint unit)
{
  CcHotKey *k = find (h, hash);

  if (k == NULL && h->used < CC_HOTKEYS_COUNTERS)
    {
      k = &h->keys[h->used++];
      *k = (CcHotKey){ .hash = hash };
    }
  else if (k == NULL)
    {
      k = least (h);
      *k = (CcHotKey){ .hash = hash, .count = k->count, .error = k->count };
    }
  k->unit = unit;
  k->count += 1;
}

/* Multiplies all counts by FACTOR, 0 to 1, and frees those that are gone. */
void
cc_hotkeys_decay (CcHotKeys *h, double factor)
{
  guint kept = 0;

  for (guint i = 0; i < h->used; i++)
    {
      CcHotKey k = h->keys[i];

      k.count *= factor;
      k.error *= factor;
      if (k.count >= FORGOTTEN)
        h->keys[kept++] = k;
    }
  h->used = kept;
}
