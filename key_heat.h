/* How often the keys of a pool are asked for. */
#ifndef CC_KEY_HEAT_H
#define CC_KEY_HEAT_H

#include "capercrank.h"

/* Neighbouring keys are counted together.  Busy keys lie close to each other,
 * and a busy region of 200 keys still shows as a dozen buckets, enough to be
 * cut between several upstreams. */
#define CC_HEAT_BUCKET 16
#define CC_HEAT_BUCKETS 4096 /* of CC_HEAT_BUCKET keys, 65536 in all */

/* Rates fade with this time.  Shorter, chance looks like heat: at 10 requests a
 * second an upstream's count of 2 s is off by a fifth.  Longer, a region that
 * turns busy is served badly for longer than it takes to move it. */
#define CC_HEAT_TIME (2 * CC_SECOND)

typedef struct
{
  double count[CC_HEAT_BUCKETS]; /* requests, faded */
  gint64 faded_at;               /* us; 0: nothing counted yet */
} CcKeyHeat;

void cc_key_heat_fade (CcKeyHeat *h, gint64 now);
void cc_key_heat_add (CcKeyHeat *h, guint bucket, double count);
double cc_key_heat_rate (const CcKeyHeat *h, guint from, guint to);
guint cc_key_heat_cut (const CcKeyHeat *h, guint from, guint to, double rate,
                       double per_key);

#endif
