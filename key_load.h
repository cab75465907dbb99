/* Request rates of the keys of a pool. */
#ifndef CC_KEY_LOAD_H
#define CC_KEY_LOAD_H

#include "capercrank.h"

/* Adjacent keys are counted in a bucket together, since about twelve requests
 * show the rate of a region long before they show the rate of each key.  The
 * rate of a bucket is divided among its keys in proportion to their own counts,
 * since one key may have more requests than all others. */
#define CC_LOAD_KEYS 65536
#define CC_LOAD_BUCKET 16
#define CC_LOAD_BUCKETS 4096 /* CC_LOAD_KEYS / CC_LOAD_BUCKET */

/* Time constant of the decay of COUNT.  With a shorter one, random variation
 * looks like load: at 10 requests a second the count of 2 s at one upstream is
 * off by a fifth. */
#define CC_LOAD_DECAY_TIME (2 * CC_SECOND)
/* Time constant of the decay of RECENT, which counts only as far as random
 * variation does not explain it. */
#define CC_LOAD_RECENT_DECAY_TIME (600 * CC_MS)

/* Decayed request counts of a pool's keys. */
typedef struct
{
  double count[CC_LOAD_BUCKETS]; /* requests, decayed with CC_LOAD_DECAY_TIME */
  double recent[CC_LOAD_BUCKETS];   /* requests, decayed with
                                       CC_LOAD_RECENT_DECAY_TIME */
  double sums[CC_LOAD_BUCKETS + 1]; /* requests a second for the keys below each
                                       bucket, as of DECAYED_AT */
  float keys[CC_LOAD_KEYS]; /* requests for each key, decayed as COUNT */
  gint64 decayed_at;        /* last decay, us; 0: none yet */
} CcKeyLoad;

void cc_key_load_decay (CcKeyLoad *l, gint64 now);
void cc_key_load_add (CcKeyLoad *l, guint key, double count);
double cc_key_load_rate (const CcKeyLoad *l, guint from, guint to);
guint cc_key_load_split (const CcKeyLoad *l, guint from, guint to,
                         gboolean at_head, double rate, double per_key);

#endif
