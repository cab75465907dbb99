/* Whether an upstream or a peer may get a request now, and if not, why and
 * until when. */
#ifndef CC_ELIGIBILITY_H
#define CC_ELIGIBILITY_H

#include "evacuation.h"
#include "fleet_limits.h"
#include "targets.h"
#include "zones.h"

/* In the order in which they are checked. */
typedef enum
{
  CC_ELIGIBLE,
  CC_INELIGIBLE_GONE,        /* it leaves or is gone */
  CC_INELIGIBLE_REGION,      /* outside the home regions of the request */
  CC_INELIGIBLE_EVACUATED,   /* its zone is evacuated */
  CC_INELIGIBLE_RESTING,     /* it has asked this gateway for rest */
  CC_INELIGIBLE_UNREACHABLE, /* connections to it fail */
  CC_INELIGIBLE_LIMITED      /* it names a limit and gives no token */
} CcEligibilityReason;

typedef struct
{
  CcEligibilityReason reason;
  gint64 until; /* us; 0: unknown */
} CcEligibility;

/* What decides, apart from the upstream itself. */
typedef struct
{
  const CcTargets *targets;
  const CcEvacuation *evacuation; /* NULL: no zone is evacuated */
  const CcZones *zones;           /* NULL: no region is known */
  char *const *homes;             /* regions that may serve; NULL: all */
  const CcFleetLimits *limits;    /* NULL: no upstream names limits */
  guint priority;                 /* of the request */
} CcEligibilityRules;

CcEligibility cc_eligibility_any (const CcEligibilityRules *r,
                                  const CcTarget *t, gint64 now);
CcEligibility cc_eligibility_owner (const CcEligibilityRules *r,
                                    const CcTarget *t, gint64 now);
gboolean cc_eligibility_may_send (const CcEligibilityRules *r,
                                  const CcTarget *t, gboolean keyed,
                                  gint64 now);
gboolean cc_eligibility_may_own (const CcEvacuation *evacuation,
                                 const CcTarget *t);
gboolean cc_eligibility_pool_is_evacuated (const CcEligibilityRules *r,
                                           const char *pool);
gboolean cc_eligibility_peer (const CcEligibilityRules *r, const char *zone,
                              const char *own_zone);
const char *cc_eligibility_name (CcEligibilityReason reason);

#endif
