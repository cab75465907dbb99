/* How often the keys of a pool are asked for. */
#ifndef CC_KEY_LOAD_H
#define CC_KEY_LOAD_H

#include "capercrank.h"

/* Neighbouring keys are counted together: a dozen requests tell how busy a
 * region is long before they tell it of each key.  Within a bucket keys are
 * told apart as far as their own counts go, since one may be busier than all
 * others. */
#define CC_LOAD_KEYS 65536
#define CC_LOAD_BUCKET 16
#define CC_LOAD_BUCKETS 4096 /* CC_LOAD_KEYS by CC_LOAD_BUCKET */

/* Rates fade with this time.  Shorter, chance looks like load: at 10 requests a
 * second an upstream's count of 2 s is off by a fifth. */
#define CC_LOAD_DECAY_TIME (2 * CC_SECOND)
/* What came lately is counted for itself, faded with this time, and taken only
 * as far as chance does not explain it. */
#define CC_LOAD_RECENT_DECAY_TIME (600 * CC_MS)

typedef struct
{
  double count[CC_LOAD_BUCKETS];  /* requests, faded with CC_LOAD_DECAY_TIME */
  double recent[CC_LOAD_BUCKETS]; /* requests, faded with
                                     CC_LOAD_RECENT_DECAY_TIME */
  double sums[CC_LOAD_BUCKETS + 1]; /* requests a second for the keys below each
                                       bucket, as of the last fade */
  float keys[CC_LOAD_KEYS];         /* as COUNT, of each key */
  gint64 faded_at;                  /* us; 0: nothing counted yet */
} CcKeyLoad;

void cc_key_load_decay (CcKeyLoad *h, gint64 now);
void cc_key_load_add (CcKeyLoad *h, guint key, double count);
double cc_key_load_rate (const CcKeyLoad *h, guint from, guint to);
guint cc_key_load_split (const CcKeyLoad *h, guint from, guint to,
                         gboolean at_head, double rate, double per_key);

#endif
