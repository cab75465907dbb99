/* Load pattern: an upstream under load turns cold without notice.  Its row
 * tells so two seconds later, when the fleet has sent it two seconds of its
 * usual requests.  And an upstream that names a limit, and is sent nothing,
 * tells in no response that the limit has ended.
 *
 * Probes cost the deployment, so only upstreams are probed that can get more
 * than they survive, by one gateway of the fleet.  All gateways compute from
 * the id and the time which one that is; it changes, since it may have lost its
 * link to the upstream.  No probe is due around a change, when two gateways may
 * both take themselves for that one, as their clocks differ. */
#include "health_probe.h"

#include <string.h>

#include <xxhash.h>

/* Period of probes of an upstream that may turn cold; for one second it is too
 * short if timers are late. */
#define COLD_PERIOD (1050 * CC_MS)
/* How long one gateway probes an upstream. */
#define TURN (15 * CC_SECOND)
/* Part of its turn at either end in which it does not.  With clocks that differ
 * by a second, the last probe of one and the first of the next are a second
 * apart. */
#define TURN_MARGIN (1 * CC_SECOND)
/* Traffic is known from a sample, so upstreams are probed from this part of the
 * bound on. */
#define BOUND_PART 0.7
/* Upstreams that were not probed for this long are forgotten. */
#define KEPT_FOR (60 * CC_SECOND)
#define CLEAN_PERIOD (30 * CC_SECOND)

struct CcHealthProbe
{
  GHashTable *probed; /* id to the time of the last probe, us (gint64) */
  gint64 cleaned_at;  /* us */
};

/* Returns a decision without upstreams. */
CcHealthProbe *
cc_health_probe_new (void)
{
  CcHealthProbe *p = g_new0 (CcHealthProbe, 1);

  p->probed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return p;
}

/* Frees P. */
void
cc_health_probe_free (CcHealthProbe *p)
{
  g_hash_table_unref (p->probed);
  g_free (p);
}

/* Forgets upstreams that are no longer probed. */
static void
clean (CcHealthProbe *p, gint64 now)
{
  GHashTableIter i;
  gpointer value;

  if (now - p->cleaned_at < CLEAN_PERIOD)
    return;
  p->cleaned_at = now;
  g_hash_table_iter_init (&i, p->probed);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (now - *(gint64 *) value >= KEPT_FOR)
      g_hash_table_iter_remove (&i);
}

/* Returns whether it is this gateway's turn at WALL, us, to probe the upstream
 * ID. */
static gboolean
has_turn (const char *id, const CcProbeFleet *fleet, gint64 wall)
{
  gint64 within = wall % TURN;
  XXH64_hash_t hash = XXH64 (id, strlen (id), (XXH64_hash_t) (wall / TURN));

  return within >= TURN_MARGIN && within < TURN - TURN_MARGIN &&
         hash % MAX (fleet->gateways, 1) == fleet->rank;
}

/* Returns whether C gets more from the fleet than it survives when cold. */
static gboolean
is_above_bound (const CcProbeCandidate *c, const CcProbeFleet *fleet)
{
  double traffic = c->traffic * fleet->gateways;

  if (c->limit > 0)
    traffic = MIN (traffic, c->limit);
  return c->cold_bound > 0 && traffic > BOUND_PART * c->cold_bound;
}

/* Returns why C is to be probed at NOW, us, which is WALL by the wall clock,
 * and counts the probe. */
CcProbeReason
cc_health_probe_due (CcHealthProbe *p, const CcProbeCandidate *c,
                     const CcProbeFleet *fleet, gint64 now, gint64 wall)
{
  const gint64 *last = g_hash_table_lookup (p->probed, c->id);
  gint64 since = last != NULL ? now - *last : G_MAXINT64;
  CcProbeReason why = CC_PROBE_NONE;

  if (since >= COLD_PERIOD && is_above_bound (c, fleet) &&
      has_turn (c->id, fleet, wall))
    why = CC_PROBE_COLD;
  else if (c->idle && since >= CC_HEALTH_PROBE_IDLE)
    why = CC_PROBE_LIMITED;
  if (why == CC_PROBE_NONE)
    return why;
  clean (p, now);
  g_hash_table_replace (p->probed, g_strdup (c->id),
                        g_memdup2 (&now, sizeof now));
  return why;
}
