/* Measures the load of each unit of one held server. */
#ifndef CC_UNIT_METER_H
#define CC_UNIT_METER_H

#include "capercrank.h"

/* Time over which loads are averaged.  At the 30 requests a second that a
 * server gets today it leaves a noise of 3% in a server's load, and a key that
 * becomes hot is seen within 10 s. */
#define CC_METER_TIME (20 * CC_SECOND)

/* A unit is reported from this age on; before, its rate is a guess. */
#define CC_METER_MIN_AGE (4 * CC_SECOND)

typedef struct CcUnitMeter CcUnitMeter;

CcUnitMeter *cc_unit_meter_new (gint64 now);
void cc_unit_meter_free (CcUnitMeter *m);
void cc_unit_meter_arrived (CcUnitMeter *m, guint unit, guint64 hash,
                            gint64 now);
void cc_unit_meter_served (CcUnitMeter *m, guint unit, gint64 service,
                           gint64 now);
GVariant *cc_unit_meter_loads (CcUnitMeter *m, gint64 now);
GVariant *cc_unit_meter_hot (CcUnitMeter *m, gint64 now);

#endif
