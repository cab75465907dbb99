/* The assigner's knowledge of the load of each unit of a pool. */
#ifndef CC_LOADS_H
#define CC_LOADS_H

#include "slicemap.h"

/* How long reports must have come before loads are acted on.  A dispatcher
 * reports a unit after CC_METER_MATURE, and an assigner that starts must not
 * take what it does not know yet for idle. */
#define CC_LOADS_MATURE (6 * CC_SECOND)

/* A unit that its dispatcher says nothing of fades over this time.  It covers
 * the time a unit takes, after a move, to be measured at its new server. */
#define CC_LOADS_FADE (30 * CC_SECOND)

typedef struct CcLoads CcLoads;

CcLoads *cc_loads_new (void);
void cc_loads_free (CcLoads *l);
void cc_loads_start (CcLoads *l, gint64 now);
void cc_loads_take (CcLoads *l, const CcSliceMap *m, const char *server,
                    GVariant *loads, gint64 now);
double cc_loads_of (const CcLoads *l, guint unit);
void cc_loads_set (CcLoads *l, guint unit, double load);
gboolean cc_loads_known (const CcLoads *l, gint64 now);

#endif
