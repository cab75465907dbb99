/* The assigner's knowledge of the load of each unit of a pool. */
#ifndef CC_UNIT_LOADS_H
#define CC_UNIT_LOADS_H

#include "slicemap.h"

/* How long reports must have come before loads are acted on.  A dispatcher
 * reports a unit after CC_METER_MIN_AGE, and an assigner that starts must not
 * take what it does not know yet for idle. */
#define CC_UNIT_LOADS_MIN_HISTORY (6 * CC_SECOND)

/* A unit that its dispatcher says nothing of fades over this time.  It covers
 * the time a unit takes, after a move, to be measured at its new server. */
#define CC_UNIT_LOADS_DECAY (30 * CC_SECOND)

typedef struct CcUnitLoads CcUnitLoads;

CcUnitLoads *cc_unit_loads_new (void);
void cc_unit_loads_free (CcUnitLoads *l);
void cc_unit_loads_start (CcUnitLoads *l, gint64 now);
void cc_unit_loads_update (CcUnitLoads *l, const CcSliceMap *m,
                           const char *server, GVariant *loads, gint64 now);
double cc_unit_loads_of (const CcUnitLoads *l, guint unit);
void cc_unit_loads_set (CcUnitLoads *l, guint unit, double load);
gboolean cc_unit_loads_known (const CcUnitLoads *l, gint64 now);

#endif
