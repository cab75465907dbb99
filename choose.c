/* Requests without a key go to the upstream from which an answer is to be
 * expected soonest (pick.h); those with one only to the key's owner. */
#include "choose.h"

/* Part of its target that the way to another zone is worth: an answer within
 * the target is as good late as early, and bytes between zones are dear.  Half
 * of it is left to chance, as times vary by about their mean.  Measured over a
 * dozen days against 0.3: 7% fewer bytes between zones, as many answers in
 * time. */
#define CROSS_ZONE_PART 0.5
/* A request for a key is sent to its owner while an answer is to be expected
 * within this many targets: the estimate is off by a third either way, and who
 * is refused comes back late more often than who is sent. */
#define OWNER_LATE 1.3

/* What the way to T is worth avoiding, us.  An answer within the target is as
 * good late as early, so one from near is preferred as long as the difference
 * is a small part of the target; bytes between zones are dear. */
static double
cross_zone_cost (const CcChoice *c, const CcTarget *t)
{
  return g_str_equal (t->listing.zone, c->zone)
             ? 0.0
             : CROSS_ZONE_PART * (double) c->target_time;
}

/* Until when T counts as unreachable, us; 0: it does not, even if it has no
 * room now. */
static gint64
unreachable_until (const CcTarget *t, gint64 now)
{
  return t->load.avoid_span > 0 && now < t->load.avoid_until
             ? t->load.avoid_until
             : 0;
}

/* The upstream with room that answers soonest; one that was tried only if there
 * is no other. */
CcChosen
cc_choose_any (const CcChoice *c, gint64 now)
{
  GPtrArray *all = cc_targets_of_pool (c->targets, c->pool);
  CcChosen chosen = { 0 };
  double least = 0;
  gboolean untried = FALSE;
  gint64 soonest = G_MAXINT64; /* at which one may be reached */

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      CcTarget *t = all->pdata[i];
      gboolean tried = g_ptr_array_find ((GPtrArray *) c->tried, t, NULL);
      double cost;

      if (t->state != CC_TARGET_READY)
        continue;
      chosen.considered = t;
      soonest = MIN (soonest, unreachable_until (t, now));
      if ((tried && untried) ||
          !cc_pick_has_capacity (&t->load, &c->typical, now))
        continue;
      cost = cc_pick_cost (&t->load, &c->typical, cross_zone_cost (c, t), now);
      /* Equal ones are told apart by lot, or all entries take the first. */
      cost *= 1.0 + 0.02 * g_random_double ();
      if (chosen.target == NULL || cost < least || (!tried && !untried))
        {
          chosen.target = t;
          least = cost;
        }
      untried |= !tried;
    }
  if (chosen.considered != NULL)
    chosen.reachable_at = soonest;
  return chosen;
}

/* The owner of KEY by RANGES, whether or not it has room. */
CcChosen
cc_choose_owner (const CcChoice *c, const CcKeyRanges *ranges, gint32 key,
                 gint64 now)
{
  CcKeyRange *r = key < 0 ? NULL : cc_key_ranges_find (ranges, (guint) key);
  CcChosen chosen = { 0 };
  CcTarget *t;

  if (r == NULL)
    return chosen;
  chosen.moving = r->previous != NULL;
  if (chosen.moving)
    return chosen;
  t = cc_targets_find (c->targets, r->owner);
  if (t == NULL || !cc_targets_serves_keys (c->targets, t, now))
    return chosen;
  chosen.considered = t;
  /* It was started again: its keys are on their way to it. */
  chosen.moving = t->listing.born != r->born;
  if (!chosen.moving)
    chosen.target = t;
  return chosen;
}

/* How many requests are inside OWNER. */
static double
owner_inside (const CcChoice *c, const CcTarget *owner, gint64 now)
{
  return cc_pick_owner_inside (&owner->load, &c->typical, now);
}

/* The time after which an answer from OWNER is to be expected, us. */
static double
owner_time (const CcChoice *c, const CcTarget *owner, gint64 now)
{
  return cc_pick_time (&owner->load, &c->typical, owner_inside (c, owner, now),
                       now);
}

/* Whether OWNER, which alone can serve the request, is to be sent to it now: as
 * long as the answer is to be expected in time, however many wait inside; with
 * a free slot, in any case. */
gboolean
cc_choose_has_capacity (const CcChoice *c, const CcTarget *owner, gint64 now)
{
  if (now < owner->load.avoid_until ||
      cc_pick_is_full (&owner->load, owner_inside (c, owner, now), now))
    return FALSE;
  return owner_inside (c, owner, now) < owner->load.slots ||
         owner_time (c, owner, now) <= OWNER_LATE * (double) c->target_time;
}

/* When OWNER, which is full, has room again if nothing else is sent to it, us:
 * its queue has shrunk by what is too much of it, and by one request at least.
 */
gint64
cc_choose_capacity_at (const CcChoice *c, const CcTarget *owner, gint64 now)
{
  double excess =
      owner_time (c, owner, now) - OWNER_LATE * (double) c->target_time;
  double one = c->typical.any * cc_pick_slowness (&owner->load, now) /
               MAX (owner->load.slots, 1);

  return now + (gint64) MAX (excess, one);
}
