/* Decides which ranges of keys change their owner. */
#ifndef CC_KEY_PLAN_H
#define CC_KEY_PLAN_H

#include "key_ranges.h"

/* An upstream that may own keys. */
typedef struct
{
  const char *id;
  guint64 born;
  guint slots;
  double keys; /* that it owns; kept by this module */
} CcKeyOwner;

/* Plans for one pool: RANGES are changed in place, and each changed one is
 * added to CHANGED once.  OWNERS is of CcKeyOwner, those that may get keys.
 * LIMIT bounds the changes of one call. */
void cc_key_plan (CcKeyRanges *ranges, GArray *owners, GPtrArray *changed,
                  guint limit);

#endif
