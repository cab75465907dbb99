/* Space-Saving algorithm (Metwally, Agrawal, El Abbadi 2005) with decay.
 *
 * Outside events, such as a holiday or a storm, make single keys hot.  Among
 * billions of keys, exact counting would need memory for each key, and sampling
 * would detect the hot key late.
 *
 * A key that arrives is counted if it has a counter; otherwise it takes over
 * the counter with the least count and inherits that count as its error.  So a
 * count is never below the true one and exceeds it by at most the least count,
 * which is at most the stream's length over the number of counters: a key with
 * a larger part of the stream is never missing, and `count - error` never
 * overestimates a key.  Decay scales counts and errors alike, so both bounds
 * hold for the decayed stream.
 */
#include "hotkeys.h"

#define MIN_COUNT 0.01 /* counters decayed below this are freed */

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
least_counted (CcHotKeys *h)
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
      k = least_counted (h);
      *k = (CcHotKey){ .hash = hash, .count = k->count, .error = k->count };
    }
  k->unit = unit;
  k->count += 1;
}

/* Multiplies all counts by FACTOR, 0 to 1, and frees counters below MIN_COUNT.
 */
void
cc_hotkeys_decay (CcHotKeys *h, double factor)
{
  guint kept = 0;

  for (guint i = 0; i < h->used; i++)
    {
      CcHotKey k = h->keys[i];

      k.count *= factor;
      k.error *= factor;
      if (k.count >= MIN_COUNT)
        h->keys[kept++] = k;
    }
  h->used = kept;
}
