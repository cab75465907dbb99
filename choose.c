/* Requests without a key go to the upstream with the shortest expected
 * response time (pick.h), requests with a key only to the key's owner. */
#include "choose.h"

/* Penalty for another zone, as a part of the latency target: bytes between
 * zones are expensive, and any response within the target is equally good.  The
 * other half of the target is left for variance, since the deviation of
 * response times is about their mean.  0.5 sends 7% fewer bytes between zones
 * than 0.3 and answers as many requests in time. */
#define CROSS_ZONE_PENALTY 0.5
/* A request for a key is sent to its owner while the expected response time is
 * within this many latency targets.  The bound is above 1 because the estimate
 * errs by a third in either direction, and a refused request that its caller
 * sends again is late more often than one that is sent now. */
#define OWNER_TARGETS_MAX 1.3

/* No request is sent to the owner of its key for this long after it has reset
 * one because it was full.  Each gateway sees few of the requests that fill an
 * owner, and each reset of a once-only request is an unknown outcome, so all
 * together would have dozens before the keys are moved. */
#define OWNER_FULL_PAUSE (300 * CC_MS)

/* Returns the penalty for sending to T's zone, us; 0 in the same zone. */
static double
cross_zone_cost (const CcChoice *c, const CcTarget *t)
{
  return g_str_equal (t->listing.zone, c->zone)
             ? 0.0
             : CROSS_ZONE_PENALTY * (double) c->target_time;
}

/* Returns the rules by which upstreams are eligible for C. */
static CcEligibilityRules
rules_of (const CcChoice *c)
{
  return (CcEligibilityRules){ .targets = c->targets,
                               .evacuation = c->evacuation,
                               .zones = c->zones,
                               .homes = c->homes,
                               .limits = c->limits,
                               .priority = c->priority };
}

/* Whether the request of C, for which T was chosen before, may be sent to it
 * now. */
gboolean
cc_choose_may_send (const CcChoice *c, const CcTarget *t, gboolean keyed,
                    gint64 now)
{
  CcEligibilityRules rules = rules_of (c);

  return cc_eligibility_may_send (&rules, t, keyed, now);
}

/* The best upstream of some, so far. */
typedef struct
{
  CcTarget *target; /* NULL: none */
  double cost;      /* us */
  gboolean untried; /* it was not tried before */
} Best;

/* Makes T, which was TRIED before or not, the best of B if it is better.  One
 * that was tried before is chosen only if there is no other. */
static void
consider (Best *b, const CcChoice *c, CcTarget *t, gboolean tried, gint64 now)
{
  double cost;

  if (tried && b->untried)
    return;
  cost = cc_pick_cost (&t->load, &c->typical, cross_zone_cost (c, t), now);
  /* Random factor: without it, all entries pick the first of several equal
   * ones. */
  cost *= 1.0 + 0.02 * g_random_double ();
  if (b->target == NULL || cost < b->cost || (!tried && !b->untried))
    {
      b->target = t;
      b->cost = cost;
    }
  b->untried |= !tried;
}

/* Candidates of a choice, so far. */
typedef struct
{
  Best best;           /* among those without a limit */
  Best limited;        /* among those that name one and may give a token */
  Best cold;           /* the same among cold ones */
  gint64 reachable_at; /* of the first one, us; 0: now */
} Candidates;

/* Adds T, which its zone and state allow, to K and CHOSEN by its VERDICT. */
static void
add_candidate (const CcChoice *c, Candidates *k, CcChosen *chosen, CcTarget *t,
               const CcEligibility *verdict, gint64 now)
{
  gboolean is_limited = t->load.limit > 0;
  gboolean unreachable = verdict->reason == CC_INELIGIBLE_UNREACHABLE;

  if (chosen->considered == NULL)
    chosen->unreachable = TRUE;
  chosen->unreachable &= cc_pick_is_unreachable (&t->load);
  chosen->all_limited &= is_limited;
  chosen->considered = t;
  k->reachable_at = MIN (k->reachable_at, unreachable ? verdict->until : 0);
  if (!cc_pick_has_capacity (&t->load, &c->typical, now))
    return;
  if (verdict->reason == CC_INELIGIBLE_LIMITED)
    chosen->token_at = MIN (chosen->token_at, verdict->until);
  else
    consider (t->load.cold_rate > 0 ? &k->cold
              : is_limited          ? &k->limited
                                    : &k->best,
              c, t, g_ptr_array_find ((GPtrArray *) c->tried, t, NULL), now);
}

/* Chooses the upstream of the pool that has the lowest cost among those with
 * capacity. */
CcChosen
cc_choose_any (const CcChoice *c, gint64 now)
{
  GPtrArray *all = cc_targets_of_pool (c->targets, c->pool);
  CcEligibilityRules rules = rules_of (c);
  CcChosen chosen = { .all_limited = TRUE,
                      .token_at = G_MAXINT64,
                      .rest_until = G_MAXINT64 };
  Candidates k = { .reachable_at = G_MAXINT64 };

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      CcEligibility verdict = cc_eligibility_any (&rules, all->pdata[i], now);

      switch (verdict.reason)
        {
        case CC_INELIGIBLE_GONE:
          break;
        case CC_INELIGIBLE_RESTING:
          chosen.rest_until = MIN (chosen.rest_until, verdict.until);
          chosen.excluded = MAX (chosen.excluded, verdict.reason);
          break;
        case CC_INELIGIBLE_REGION:
        case CC_INELIGIBLE_EVACUATED:
          chosen.excluded = MAX (chosen.excluded, verdict.reason);
          break;
        case CC_ELIGIBLE:
        case CC_INELIGIBLE_UNREACHABLE:
        case CC_INELIGIBLE_LIMITED:
          add_candidate (c, &k, &chosen, all->pdata[i], &verdict, now);
          break;
        }
    }
  chosen.target = k.best.target;
  if (k.best.target == NULL || k.limited.cost < k.best.cost)
    chosen.limited = k.limited.target;
  /* Warm upstreams come first, as long as they have capacity. */
  if (k.best.target == NULL && k.limited.target == NULL)
    chosen.limited = k.cold.target;
  if (chosen.considered != NULL)
    {
      chosen.reachable_at = k.reachable_at;
      chosen.excluded = CC_ELIGIBLE;
    }
  return chosen;
}

/* Sets CHOSEN by the VERDICT on T, which owns the key. */
static void
choose_known_owner (CcChosen *chosen, CcTarget *t, const CcEligibility *verdict,
                    guint64 born)
{
  switch (verdict->reason)
    {
    case CC_INELIGIBLE_GONE:
      return;
    case CC_INELIGIBLE_REGION:
      chosen->excluded = CC_INELIGIBLE_REGION;
      return;
    case CC_INELIGIBLE_RESTING:
      chosen->excluded = CC_INELIGIBLE_RESTING;
      chosen->rest_until = verdict->until;
      chosen->considered = t;
      return;
    case CC_INELIGIBLE_EVACUATED:
      /* The granter moves its keys out of the zone. */
      chosen->moving = TRUE;
      return;
    case CC_ELIGIBLE:
    case CC_INELIGIBLE_UNREACHABLE:
    case CC_INELIGIBLE_LIMITED:
      break;
    }
  chosen->considered = t;
  /* The owner was restarted and has not been given its keys again yet. */
  chosen->moving = t->listing.born != born;
  chosen->unreachable = cc_pick_is_unreachable (&t->load);
  if (!chosen->moving)
    chosen->target = t;
}

/* Chooses the owner of KEY by RANGES, whether or not it has capacity.  No
 * upstream is chosen while the key moves to another owner. */
CcChosen
cc_choose_owner (const CcChoice *c, const CcKeyRanges *ranges, gint32 key,
                 gint64 now)
{
  CcKeyRange *r = key < 0 ? NULL : cc_key_ranges_find (ranges, (guint) key);
  CcEligibilityRules rules = rules_of (c);
  CcChosen chosen = { 0 };
  CcEligibility verdict;
  CcTarget *t;

  /* No move is coming that would be worth waiting for. */
  if (cc_eligibility_pool_is_evacuated (&rules, c->pool))
    {
      chosen.excluded = CC_INELIGIBLE_EVACUATED;
      return chosen;
    }
  if (r == NULL)
    return chosen;
  chosen.moving = r->previous != NULL;
  if (chosen.moving)
    return chosen;
  t = cc_targets_find (c->targets, r->owner);
  if (t == NULL)
    return chosen;
  verdict = cc_eligibility_owner (&rules, t, now);
  choose_known_owner (&chosen, t, &verdict, r->born);
  return chosen;
}

/* Returns the estimated number of requests inside OWNER. */
static double
owner_inside (const CcChoice *c, const CcTarget *owner, gint64 now)
{
  return cc_pick_owner_inside (&owner->load, &c->typical, now);
}

/* Returns the expected response time of OWNER, us. */
static double
owner_time (const CcChoice *c, const CcTarget *owner, gint64 now)
{
  return cc_pick_time (&owner->load, &c->typical, owner_inside (c, owner, now),
                       now);
}

/* Returns until when OWNER counts as full after its last reset of a request,
 * us. */
static gint64
full_until (const CcTarget *owner)
{
  return owner->load.reject_from > 0
             ? owner->load.rejected_at + OWNER_FULL_PAUSE
             : 0;
}

/* Returns whether a request that only OWNER can serve is sent to it now: with
 * a free slot always, otherwise while the expected response time is within the
 * bound, however many wait inside. */
gboolean
cc_choose_has_capacity (const CcChoice *c, const CcTarget *owner, gint64 now)
{
  if (now < owner->load.avoid_until || now < full_until (owner) ||
      cc_pick_is_full (&owner->load, owner_inside (c, owner, now), now))
    return FALSE;
  return owner_inside (c, owner, now) < owner->load.slots ||
         owner_time (c, owner, now) <=
             OWNER_TARGETS_MAX * (double) c->target_time;
}

/* Returns when OWNER, which is full, has capacity again, us, if nothing else
 * is sent to it: when the excess part of its queue has been served, or one
 * request at least. */
gint64
cc_choose_capacity_at (const CcChoice *c, const CcTarget *owner, gint64 now)
{
  double excess =
      owner_time (c, owner, now) - OWNER_TARGETS_MAX * (double) c->target_time;
  double one = c->typical.any * cc_pick_slowness (&owner->load, now) /
               MAX (owner->load.slots, 1);

  return now + (gint64) MAX (excess, one);
}
