/* What an entry keeps of one pool of upstreams. */
#ifndef CC_FORWARD_POOL_H
#define CC_FORWARD_POOL_H

#include "backlog.h"
#include "key_ranges.h"
#include "pool_load.h"
#include "retry_budget.h"
#include "work_times.h"

typedef struct
{
  char *name;
  CcBacklog backlog;     /* requests that wait for room */
  CcKeyRanges ranges;    /* of its keys, if they are owned */
  CcRetryBudget budget;  /* for repeats */
  CcWorkTimes times;     /* that work takes at its upstreams */
  CcPoolLoad load;       /* of its upstreams */
  guint connections_max; /* to one upstream, of this entry; 0: no bound */
} CcForwardPool;

CcForwardPool *cc_forward_pool_new (const char *name, const CcView *state);
void cc_forward_pool_free (gpointer pool);
CcTypicalWork cc_forward_pool_typical (const CcForwardPool *p, const char *kind,
                                       gint64 now);
void cc_forward_pool_write_gauges (const CcForwardPool *p);

#endif
