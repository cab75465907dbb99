/* Measures the load of each unit of a held server. */
#ifndef CC_UNIT_METER_H
#define CC_UNIT_METER_H

#include "capercrank.h"

/* Averaging time of loads.  At 30 requests a second per server the noise in a
 * server's load is 3%, and a key that becomes hot is detected within 10 s. */
#define CC_METER_TIME (20 * CC_SECOND)

/* Units are reported from this age on; before, the estimated rate is
 * unreliable. */
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
