/* Load pattern: an availability zone is cut off from the others while callers
 * still reach it.  Its entries reach only part of the upstreams and refuse
 * most of their callers, who return to the same zone until the partition ends.
 *
 * An entry that reports itself not ready gets no new callers, and when all of
 * a zone do, the load balancer sends the callers to the nearest zones.  But an
 * entry must not become unready because the table service is down, since that
 * affects all entries at once while upstreams go on serving; nor because a few
 * upstreams have exited.  So it counts as cut off if for some time it has
 * received no update from the table service or from the peer that it follows,
 * and it reaches fewer upstreams of other zones than it fails to reach.  The
 * first update from either ends that state. */
#include "isolation.h"

#include "eligibility.h"

/* Updates arrive at least each second, from the followed peer or the table
 * service; if two are missing, that is more than a delay. */
#define UPDATE_TIMEOUT (1500 * CC_MS)
/* An upstream counts as reached if it answered within this time: one entry of
 * twelve sends to each about once a second. */
#define REACHED_WITHIN (1500 * CC_MS)
/* A smaller number of unreachable upstreams may simply be down. */
#define UNREACHED_MIN 3

/* Returns whether the process in ZONE is cut off from the upstreams of other
 * zones at NOW.  UPDATED_AT is the time of the last update from the table
 * service or its peer, us.
 *
 * Failure: a zone whose upstreams fail is evacuated, and the table service goes
 * down later.  Nothing is sent to the zone, so its upstreams count as
 * unreachable for good, and all gateways of the other zone become unready.  So
 * upstreams of zones in EVACUATION, which may be NULL, do not count. */
gboolean
cc_isolation_is_cut_off (const CcTargets *targets,
                         const CcEvacuation *evacuation, const char *zone,
                         gint64 updated_at, gint64 now)
{
  guint reached = 0, unreached = 0;
  GHashTableIter i;
  gpointer value;

  if (now - updated_at < UPDATE_TIMEOUT)
    return FALSE;
  g_hash_table_iter_init (&i, targets->by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const CcTarget *t = value;

      if (!cc_eligibility_may_own (evacuation, t) ||
          g_str_equal (t->listing.zone, zone))
        continue;
      unreached += t->load.avoid_span > 0;
      reached += t->load.avoid_span == 0 && t->load.reached_at > 0 &&
                 now - t->load.reached_at < REACHED_WITHIN;
    }
  return unreached >= UNREACHED_MIN && unreached > reached;
}
