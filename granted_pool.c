/* Connects planning and granting for one pool: builds the input of a plan
 * (key_plan.c) from the list of upstreams, the load and the state of each grant
 * (range_grant.c), and turns the planned changes into grants. */
#include "granted_pool.h"

#include <string.h>

#include "clock.h"
#include "eligibility.h"
#include "event_log.h"
#include "key_plan.h"
#include "metrics.h"
#include "owner_capacity.h"
#include "owner_probe.h"

/* Largest number of ranges that one plan changes. */
#define PLAN_MAX_CHANGES 80
/* A range is not moved again for load within this time, so that the effect of a
 * move is measured before the next one.  A move takes up to half of it.  The
 * first moves of a hot set are made by rates that are measured too low by up to
 * a half; with 2 s their receivers stay overloaded for that long. */
#define MOVE_COOLDOWN (1 * CC_SECOND)
/* An owner without a response for this long counts as silent. */
#define SILENT_AFTER (1800 * CC_MS)

/* Creates the pool NAME without ranges. */
CcGrantedPool *
cc_granted_pool_new (const char *name, CcGrantShared *shared)
{
  CcGrantedPool *p = g_new0 (CcGrantedPool, 1);

  p->name = g_strdup (name);
  p->shared = shared;
  cc_key_ranges_init (&p->ranges);
  p->grants = g_ptr_array_new_with_free_func (cc_range_grant_free);
  return p;
}

/* Frees a CcGrantedPool. */
void
cc_granted_pool_free (gpointer pool)
{
  CcGrantedPool *p = pool;

  g_ptr_array_unref (p->grants);
  cc_key_ranges_clear (&p->ranges);
  g_free (p->name);
  g_free (p);
}

/* Drops all ranges and grants of P, but not its load counts. */
void
cc_granted_pool_reset (CcGrantedPool *p)
{
  g_ptr_array_set_size (p->grants, 0);
  g_ptr_array_set_size (p->ranges.list, 0);
  p->loaded = FALSE;
}

/* Creates the grant of RANGE and adds it to P. */
static CcRangeGrant *
grant_new (CcGrantedPool *p, CcKeyRange *range)
{
  CcRangeGrant *x = cc_range_grant_new (p->shared, p->name, &p->ranges, range);

  g_ptr_array_add (p->grants, x);
  return x;
}

/* Returns the grant of RANGE, or NULL. */
static CcRangeGrant *
grant_of (const CcGrantedPool *p, const CcKeyRange *range)
{
  for (guint i = 0; i < p->grants->len; i++)
    if (((CcRangeGrant *) p->grants->pdata[i])->range == range)
      return p->grants->pdata[i];
  return NULL;
}

/* Loads P's ranges from ROWS, a(sts) of key, version and value.  PREDECESSOR
 * limits what the previous granter may still do. */
void
cc_granted_pool_load (CcGrantedPool *p, GVariant *rows,
                      const CcPredecessor *predecessor)
{
  CcView view;
  GVariantIter i;
  const char *key, *value;
  guint64 version, fence;

  cc_view_init (&view);
  g_variant_iter_init (&i, rows);
  while (g_variant_iter_next (&i, "(&st&s)", &key, &version, &value))
    cc_view_put (&view, key, version, value);
  cc_key_ranges_read (&p->ranges, &view, p->name);
  cc_view_clear (&view);
  cc_key_ranges_fill_gaps (&p->ranges);
  p->ranges.fence_min = predecessor->fence_min;
  p->unnamed_until = predecessor->unnamed_until;
  fence = cc_key_ranges_top_fence (&p->ranges);
  for (guint k = 0; k < p->ranges.list->len; k++)
    {
      CcRangeGrant *x = grant_new (p, p->ranges.list->pdata[k]);

      cc_range_grant_load (x, &fence, predecessor);
    }
  p->loaded = TRUE;
}

/* The table service may have lost the rows of P, which are written again.  New
 * fences are above FENCE_MIN.  If another process is SUSPECT of having granted
 * keys meanwhile, ranges that nobody holds from this one get such fences. */
void
cc_granted_pool_rows_lost (CcGrantedPool *p, guint64 fence_min,
                           gboolean suspect)
{
  gint64 now = cc_clock_now ();
  guint64 fence;

  p->ranges.fence_min = fence_min;
  fence = cc_key_ranges_top_fence (&p->ranges);
  for (guint i = 0; i < p->grants->len; i++)
    {
      CcRangeGrant *x = p->grants->pdata[i];

      x->unverified_at = suspect && cc_range_grant_is_settled (x) ? now : 0;
      if (suspect && x->unverified_at == 0)
        x->range->fence = ++fence;
      x->unwritten = !x->written;
      x->lost = x->dirty = TRUE;
      x->written = FALSE;
    }
}

/* Returns the grant of P whose row has KEY, or NULL. */
static CcRangeGrant *
find_by_row (const CcGrantedPool *p, const char *key)
{
  const char *number;
  guint from;

  if (!cc_key_range_is_of (key, p->name))
    return NULL;
  number = strrchr (key, '/') + 1;
  from = (guint) g_ascii_strtoull (number, NULL, 10);
  for (guint i = 0; i < p->grants->len; i++)
    {
      CcRangeGrant *x = p->grants->pdata[i];
      g_autofree char *own = NULL;

      if (x->range->from != from)
        continue;
      own = cc_key_range_key (p->name, x->range);
      return g_str_equal (own, key) ? x : NULL;
    }
  return NULL;
}

/* Handles ROW, which the table service has now.  If it is that of one of P's
 * ranges and another program has written or removed it, it is written again.
 *
 * Failure: the row names no owner, or none that can be read, and requests for
 * its keys are refused for as long as this process holds the lease. */
void
cc_granted_pool_row_received (CcGrantedPool *p, const CcRow *row)
{
  CcRangeGrant *x = find_by_row (p, row->key);
  g_autofree char *text = NULL;

  if (x == NULL || x->dirty || row->version <= x->row_version)
    return;
  text = cc_key_range_text (x->range);
  if (g_strcmp0 (row->value, text) == 0)
    return;
  x->dirty = TRUE;
  cc_event (CC_EVENT_STATE, "range-row-replaced", "row", row->key,
            "row_version", cc_event_int ((gint64) row->version), "removed",
            row->value == NULL ? "yes" : "no", NULL);
}

/* Whether rows of P that the table service may have lost were not written
 * since. */
gboolean
cc_granted_pool_has_lost_rows (const CcGrantedPool *p)
{
  for (guint i = 0; i < p->grants->len; i++)
    if (((const CcRangeGrant *) p->grants->pdata[i])->lost)
      return TRUE;
  return FALSE;
}

/* Whether owners hold ranges of P from this process, and each of them has
 * accepted its grant again after SINCE, us. */
gboolean
cc_granted_pool_is_answered (const CcGrantedPool *p, gint64 since)
{
  guint held = 0;

  for (guint i = 0; i < p->grants->len; i++)
    {
      const CcRangeGrant *x = p->grants->pdata[i];

      if (!cc_range_grant_is_settled (x))
        continue;
      if (x->answered_at <= since || x->unverified_at != 0)
        return FALSE;
      held++;
    }
  return held > 0;
}

/* Makes ranges of P that no owner holds wait until UNTIL, since another process
 * may have granted them: ALL of them, or those whose rows were not written
 * before the service lost rows. */
void
cc_granted_pool_hold_back (CcGrantedPool *p, gint64 until, gboolean all)
{
  guint ranges = 0, keys = 0;

  for (guint i = 0; i < p->grants->len; i++)
    {
      CcRangeGrant *x = p->grants->pdata[i];

      if (cc_range_grant_is_settled (x) || !(all || x->unwritten))
        continue;
      x->unnamed_until = MAX (x->unnamed_until, until);
      ranges++;
      keys += x->range->to - x->range->from + 1;
    }
  if (ranges > 0)
    cc_event (CC_EVENT_STATE, "keys-held-back", "pool", p->name, "ranges",
              cc_event_int (ranges), "keys", cc_event_int (keys), "ms",
              cc_event_int ((until - cc_clock_now ()) / CC_MS), NULL);
}

/* Capacity of T, an upstream that may be given keys. */
static CcOwnerCapacity
capacity_of (const CcPoolPlanning *params, const CcTarget *t)
{
  double work = cc_work_rates_of (params->rates, t->listing.pool, t->listing.id,
                                  params->now);

  return cc_owner_capacity (t, work, params->now);
}

/* Whether a range of P belongs to the upstream ID. */
static gboolean
owns_any (const CcGrantedPool *p, const char *id)
{
  for (guint i = 0; i < p->ranges.list->len; i++)
    if (g_strcmp0 (((const CcKeyRange *) p->ranges.list->pdata[i])->owner,
                   id) == 0)
      return TRUE;
  return FALSE;
}

/* Whether nothing is known against T, of P, as an owner.  One that has no keys
 * must have been reached before keys of others are moved to it. */
static gboolean
is_in_contact (const CcGrantedPool *p, const CcTarget *t)
{
  switch (cc_grant_contact (p->shared, t->listing.id)->state)
    {
    case CC_CONTACT_REACHED:
      return TRUE;
    case CC_CONTACT_UNKNOWN:
      return p->ranges.list->len == 0 || owns_any (p, t->listing.id);
    case CC_CONTACT_SILENT:
      return FALSE;
    }
  return FALSE;
}

/* Which upstreams may be given keys. */
typedef enum
{
  OWNERS_ELIGIBLE, /* the ready ones in contact outside evacuated zones */
  OWNERS_PRESENT,  /* the ready ones in contact that own keys, whatever their
                      zone */
  OWNERS_READY     /* all that are ready */
} OwnerSet;

/* Whether T, of P, is one of SET. */
static gboolean
is_in_set (const CcGrantedPool *p, const CcTarget *t, OwnerSet set)
{
  switch (set)
    {
    case OWNERS_ELIGIBLE:
      return cc_eligibility_may_own (p->shared->evacuation, t) &&
             is_in_contact (p, t);
    case OWNERS_PRESENT:
      return t->state == CC_TARGET_READY && owns_any (p, t->listing.id) &&
             is_in_contact (p, t);
    case OWNERS_READY:
      return t->state == CC_TARGET_READY;
    }
  return FALSE;
}

/* Whether the owner of R has announced to leave, whether or not it has ended
 * since. */
static gboolean
has_announced (const CcGrantedPool *p, const CcKeyRange *r)
{
  const CcTarget *t =
      r->owner != NULL ? cc_targets_find (p->shared->targets, r->owner) : NULL;

  return t != NULL && t->listing.born == r->born && t->listing.leaving;
}

/* Lists the upstreams of P in SET. */
static GArray *
list_owners (const CcGrantedPool *p, const CcPoolPlanning *params, OwnerSet set)
{
  GArray *owners = g_array_new (FALSE, TRUE, sizeof (CcKeyOwner));
  GPtrArray *all = cc_targets_of_pool (p->shared->targets, p->name);

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const CcTarget *t = all->pdata[i];
      CcOwnerCapacity capacity = capacity_of (params, t);
      CcKeyOwner o = { .id = t->listing.id,
                       .born = t->listing.born,
                       .capacity = capacity.rate,
                       .limited = capacity.limited };

      if (is_in_set (p, t, set) && !(params->announced_only && t->missing))
        g_array_append_val (owners, o);
    }
  return owners;
}

/* Lists the upstreams of P that may be given keys, and sets *MOVABLE to whether
 * ranges may be moved between them for their load.  While every one is in an
 * evacuated zone, those that own keys keep them: a move would help no request,
 * and the keys would have to move back. */
static GArray *
owners_of (const CcGrantedPool *p, const CcPoolPlanning *params,
           gboolean *movable)
{
  GArray *owners = list_owners (p, params, OWNERS_ELIGIBLE);

  *movable = owners->len > 0;
  if (owners->len > 0)
    return owners;
  g_array_unref (owners);
  owners = list_owners (p, params, OWNERS_PRESENT);
  if (owners->len > 0)
    return owners;
  g_array_unref (owners);
  return list_owners (p, params, OWNERS_READY);
}

/* Returns the grant that RANGE was split from: the one of the keys directly
 * before it. */
static CcRangeGrant *
source_of (const CcGrantedPool *p, const CcKeyRange *range)
{
  CcRangeGrant *best = NULL;

  for (guint i = 0; i < p->grants->len; i++)
    {
      CcRangeGrant *x = p->grants->pdata[i];

      if (x->range->from < range->from &&
          (best == NULL || x->range->from > best->range->from))
        best = x;
    }
  return best;
}

/* Whether X's range belongs to the process of OWNER that started at BORN. */
static gboolean
has_owner (const CcRangeGrant *x, const char *owner, guint64 born)
{
  return g_strcmp0 (x->range->owner, owner) == 0 && x->range->born == born;
}

/* Owner of a grant before a plan. */
typedef struct
{
  CcRangeGrant *grant;
  char *owner;
  guint64 born;
} OldOwner;

static void
old_owner_clear (gpointer data)
{
  g_free (((OldOwner *) data)->owner);
}

/* Returns the present owners of all grants, as a list of OldOwner. */
static GArray *
save_owners (const CcGrantedPool *p)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (OldOwner));

  g_array_set_clear_func (list, old_owner_clear);
  for (guint i = 0; i < p->grants->len; i++)
    {
      CcRangeGrant *x = p->grants->pdata[i];
      OldOwner b = { x, g_strdup (x->range->owner), x->range->born };

      g_array_append_val (list, b);
    }
  return list;
}

static void
log_move (const CcGrantedPool *p, const CcKeyRange *r)
{
  cc_event (CC_EVENT_STATE, "keys-planned", "pool", p->name, "from",
            cc_event_int (r->from), "to", cc_event_int (r->to), "owner",
            r->owner, "previous", r->previous != NULL ? r->previous : "",
            "fence", cc_event_int ((gint64) r->fence), "lease_version",
            cc_event_int ((gint64) p->shared->lease.version), NULL);
}

/* Logs and counts H, a set of hot keys that a plan of P has spread; does
 * nothing if it found none. */
static void
log_hot_set (const CcGrantedPool *p, const CcHotSet *h)
{
  if (h->owner == NULL)
    return;
  cc_event (CC_EVENT_STATE, "hot-keys-spread", "pool", p->name, "owner",
            h->owner, "load", cc_event_int ((gint64) h->load), "share",
            cc_event_int ((gint64) h->share), "pieces",
            cc_event_int (h->pieces), "keys", cc_event_int (h->keys), NULL);
  ++*cc_metrics_counter ("capercrank_hot_key_plans", "");
  *cc_metrics_counter ("capercrank_hot_keys_moved", "") += h->keys;
}

/* Creates grants for the ranges that a plan split from others.  This comes
 * before any owner is changed, since a new range inherits what could be held of
 * its source before the plan. */
static void
add_grants (CcGrantedPool *p, const GPtrArray *changed)
{
  for (guint i = 0; i < changed->len; i++)
    {
      CcKeyRange *r = changed->pdata[i];
      CcRangeGrant *source = source_of (p, r);
      CcRangeGrant *x;

      if (grant_of (p, r) != NULL)
        continue;
      x = grant_new (p, r);
      if (source != NULL)
        cc_range_grant_inherit (x, source, cc_clock_now ());
      else
        x->unnamed_until = p->unnamed_until;
    }
}

/* Updates the grant of R, which a plan has changed.  Its row is written before
 * the grant is sent. */
static void
apply_change (CcGrantedPool *p, CcKeyRange *r, const GArray *old_owners)
{
  CcRangeGrant *x = grant_of (p, r);

  for (guint i = 0; i < old_owners->len; i++)
    {
      const OldOwner *b = &g_array_index (old_owners, OldOwner, i);

      if (b->grant == x && !has_owner (x, b->owner, b->born))
        cc_range_grant_owner_changed (x, cc_clock_now ());
    }
  x->moving = r->previous != NULL;
  x->dirty = TRUE;
  x->written = FALSE;
  log_move (p, r);
}

/* Plans the owners of P's keys with PARAMS.  Returns the number of ranges that
 * changed.  If that is the largest number allowed, or a range without an owner
 * was locked by a call in progress, another plan is requested. */
guint
cc_granted_pool_plan (CcGrantedPool *p, const CcPoolPlanning *params)
{
  gboolean movable;
  g_autoptr (GArray) owners = owners_of (p, params, &movable);
  g_autoptr (GPtrArray) changed = g_ptr_array_new ();
  g_autoptr (GArray) old_owners = save_owners (p);
  CcKeyPlan plan = { .ranges = &p->ranges,
                     .owners = owners,
                     .load = &p->load,
                     .limit = PLAN_MAX_CHANGES,
                     .rebalance = params->rebalance && movable,
                     .changed = changed };

  cc_key_load_decay (&p->load, params->now);
  for (guint i = 0; i < p->grants->len; i++)
    {
      CcRangeGrant *x = p->grants->pdata[i];

      x->range->settling =
          !x->held || params->now - x->moved_at < MOVE_COOLDOWN;
      /* The response to a call in progress applies to the owner and the keys
       * that were sent with it.  If the range changed meanwhile, a new owner
       * could begin while the old one still holds the keys, and a renewal that
       * overtakes a release would give the keys back to an owner that has
       * released them. */
      x->range->locked =
          x->call_pending || cc_range_grant_is_unconfirmed (x, params->now) ||
          (params->announced_only && !has_announced (p, x->range));
    }
  cc_key_plan (&plan);
  log_hot_set (p, &plan.hot_set);
  add_grants (p, changed);
  for (guint i = 0; i < changed->len; i++)
    apply_change (p, changed->pdata[i], old_owners);
  p->shared->replan |= changed->len >= PLAN_MAX_CHANGES || plan.skipped;
  return changed->len;
}

/* Adds X, as of NOW, us, to S.  Neither a range that is being moved nor one
 * whose owner is gone counts: there is nobody who would answer.
 *
 * Failure: some owners leave, their keys wait for the expiry of their grants,
 * and a zone is cut off meanwhile.  Both together are more than half of the
 * ranges, so the granter takes itself for cut off and gives the lease up, and
 * all moves wait for as long again under its successor. */
static void
add_silence (const CcGrantedPool *p, const CcRangeGrant *x, gint64 now,
             CcOwnerSilence *s)
{
  const CcTarget *t =
      x->range->owner != NULL
          ? cc_targets_find (p->shared->targets, x->range->owner)
          : NULL;

  if (x->range->previous != NULL || t == NULL || t->state == CC_TARGET_GONE)
    return;
  s->all++;
  s->silent += x->answered_at != 0 && !x->withheld &&
               now - x->answered_at > SILENT_AFTER;
}

/* Returns when an upstream of P other than T was last reached, us; 0: never.
 * One without keys counts as well: the owner that fails may own all of them. */
static gint64
others_reached_at (const CcGrantedPool *p, const CcTarget *t)
{
  GPtrArray *all = cc_targets_of_pool (p->shared->targets, p->name);
  gint64 last = 0;

  for (guint i = 0; i < all->len; i++)
    {
      const CcTarget *other = all->pdata[i];

      if (other != t)
        last = MAX (
            last, cc_grant_contact (p->shared, other->listing.id)->reached_at);
    }
  return last;
}

/* Finds out at NOW, us, which upstreams of P have become silent, and probes
 * those that must be reached before they may be given keys. */
static void
step_contacts (CcGrantedPool *p, gint64 now)
{
  GPtrArray *all = cc_targets_of_pool (p->shared->targets, p->name);

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const CcTarget *t = all->pdata[i];
      CcOwnerContact *c = cc_grant_contact (p->shared, t->listing.id);

      if (t->state != CC_TARGET_READY)
        continue;
      cc_owner_contact_started (c, t->listing.born);
      if (c->failing_since != 0 &&
          cc_owner_contact_check (c, others_reached_at (p, t), now))
        {
          cc_event (CC_EVENT_STATE, "owner-silent", "pool", p->name, "owner",
                    t->listing.id, "failing_ms",
                    cc_event_int ((now - c->failing_since) / CC_MS), NULL);
          p->shared->replan = TRUE;
        }
      if (p->ranges.list->len > 0 && !is_in_contact (p, t) &&
          cc_granter_lease_may_change (&p->shared->lease, now))
        cc_owner_probe (p->shared, t, now);
    }
}

/* Advances all grants of P at NOW, us.  Returns how many are not answered. */
CcOwnerSilence
cc_granted_pool_step (CcGrantedPool *p, gint64 now)
{
  CcOwnerSilence s = { 0 };

  for (guint i = 0; i < p->grants->len; i++)
    {
      cc_range_grant_step (p->grants->pdata[i]);
      add_silence (p, p->grants->pdata[i], now, &s);
    }
  step_contacts (p, now);
  return s;
}

/* Appends to DIRTY the grants whose rows have to be written, until it has
 * MOST. */
void
cc_granted_pool_add_dirty (const CcGrantedPool *p, guint most, GPtrArray *dirty)
{
  for (guint i = 0; i < p->grants->len && dirty->len < most; i++)
    if (((CcRangeGrant *) p->grants->pdata[i])->dirty)
      g_ptr_array_add (dirty, p->grants->pdata[i]);
}
