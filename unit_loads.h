/* Load of each unit of a pool, as reported to the assigner. */
#ifndef CC_UNIT_LOADS_H
#define CC_UNIT_LOADS_H

#include "slicemap.h"

/* Loads are used only after reports have been received for this long.  A
 * dispatcher reports a unit after CC_METER_MIN_AGE, and a newly started
 * assigner must not treat units that were not reported yet as idle. */
#define CC_UNIT_LOADS_MIN_HISTORY (6 * CC_SECOND)

/* Time constant by which the load of an unreported unit decays.  It covers the
 * time that a moved unit takes to be measured at its new server. */
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
