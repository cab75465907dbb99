/* Selects hot keys to split into units of their own, and to fold back. */
#ifndef CC_HOT_UNITS_H
#define CC_HOT_UNITS_H

#include "balance.h"
#include "unit_loads.h"

/* Conditions for splitting and folding, given by the pool's `prefer` setting.
 */
typedef struct
{
  double trigger;  /* load of its server over the target above which a key is
                      split */
  gint64 min_hot;  /* time for which a key must be hot before it is split, us */
  gint64 min_cool; /* time for which it must be cool before it is folded, us */
} CcHotPolicy;

typedef struct CcHotUnits CcHotUnits;

CcHotUnits *cc_hot_units_new (void);
void cc_hot_units_free (CcHotUnits *h);
void cc_hot_units_update (CcHotUnits *h, GVariant *hot, gint64 now);
gint32 cc_hot_units_split (CcHotUnits *h, CcSliceMap *m, CcUnitLoads *loads,
                           const CcBalance *b, const CcHotPolicy *y,
                           gint64 now);
gboolean cc_hot_units_fold (CcHotUnits *h, CcSliceMap *m, CcUnitLoads *loads,
                            const CcBalance *b, const CcHotPolicy *y,
                            gint64 now);

#endif
