/* Detects that this process is cut off from the rest of the deployment. */
#ifndef CC_ISOLATION_H
#define CC_ISOLATION_H

#include "evacuation.h"
#include "targets.h"

gboolean cc_isolation_is_cut_off (const CcTargets *targets,
                                  const CcEvacuation *evacuation,
                                  const char *zone, gint64 updated_at,
                                  gint64 now);

#endif
