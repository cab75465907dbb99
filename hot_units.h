/* Which hot keys get a unit of their own, and when they lose it again. */
#ifndef CC_HOT_UNITS_H
#define CC_HOT_UNITS_H

#include "balance.h"
#include "unit_loads.h"

/* When hot keys are split and folded; after the pool's `prefer`. */
typedef struct
{
  double trigger;  /* load of its server over the target that justifies it */
  gint64 patience; /* for which a key has to be hot first, us */
  gint64 cool;     /* for which it has to be cool before it is folded, us */
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
