/* Chooses the upstream that a request is sent to. */
#ifndef CC_CHOOSE_H
#define CC_CHOOSE_H

#include "eligibility.h"
#include "fleet_limits.h"
#include "key_ranges.h"
#include "targets.h"

/* Input of the choice for one request. */
typedef struct
{
  const CcTargets *targets;
  const char *pool;
  const char *zone;            /* of this instance */
  const GPtrArray *tried;      /* upstreams it was already sent to (CcTarget) */
  gint64 target_time;          /* latency target of the request, us */
  CcTypicalWork typical;       /* of the pool's upstreams */
  const CcFleetLimits *limits; /* tokens for limited upstreams; NULL: none */
  guint priority;              /* of the request */
  const CcEvacuation *evacuation; /* NULL: no zone is evacuated */
  const CcZones *zones;           /* NULL: no region is known */
  char *const *homes; /* regions that may serve the request; NULL: all */
} CcChoice;

/* Result of the choice: an upstream, or the reason why there is none. */
typedef struct
{
  CcTarget *target;     /* NULL: none can be sent to now */
  CcTarget *limited;    /* one that needs a token and would serve it sooner than
                           TARGET, if any, or a cold one if no other has
                           capacity; NULL: none */
  gboolean all_limited; /* all candidates name limits */
  gint64 token_at;      /* earliest time of a token, if that is known, us */
  CcTarget *considered; /* last candidate; NULL: there was none */
  gboolean moving;      /* the key's range is being moved between owners */
  gboolean unreachable; /* the last attempt to connect to each candidate failed
                         */
  gint64 reachable_at;  /* earliest time at which an upstream is reachable, us;
                           0: now */
  CcEligibilityReason excluded; /* why no upstream may get the request, if it is
                                   refused at once: CC_INELIGIBLE_REGION,
                                   _EVACUATED or _RESTING; otherwise CC_ELIGIBLE
                                 */
  gint64 rest_until;            /* RESTING: end of the first rest, us */
} CcChosen;

gboolean cc_choose_may_send (const CcChoice *c, const CcTarget *t,
                             gboolean keyed, gint64 now);
CcChosen cc_choose_any (const CcChoice *c, gint64 now);
CcChosen cc_choose_owner (const CcChoice *c, const CcKeyRanges *ranges,
                          gint32 key, gint64 now);
gboolean cc_choose_has_capacity (const CcChoice *c, const CcTarget *owner,
                                 gint64 now);
gint64 cc_choose_capacity_at (const CcChoice *c, const CcTarget *owner,
                              gint64 now);

#endif
