/* Measures the load of each unit of one held server. */
#ifndef CC_LOAD_METER_H
#define CC_LOAD_METER_H

#include "capercrank.h"

/* Time over which loads are averaged.  At the 30 requests a second that a
 * server gets today it leaves a noise of 3% in a server's load, and a key that
 * becomes hot is seen within 10 s. */
#define CC_METER_TIME (20 * CC_SECOND)

/* A unit is reported from this age on; before, its rate is a guess. */
#define CC_METER_MATURE (4 * CC_SECOND)

typedef struct CcLoadMeter CcLoadMeter;

CcLoadMeter *cc_load_meter_new (gint64 now);
void cc_load_meter_free (CcLoadMeter *m);
void cc_load_meter_arrived (CcLoadMeter *m, guint unit, guint64 hash,
                            gint64 now);
void cc_load_meter_served (CcLoadMeter *m, guint unit, gint64 service,
                           gint64 now);
GVariant *cc_load_meter_loads (CcLoadMeter *m, gint64 now);
GVariant *cc_load_meter_hot (CcLoadMeter *m, gint64 now);

#endif
