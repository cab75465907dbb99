/* Who may get keys is what the list of upstreams says; what may change is what
 * the grants have proved (range_grant.c); where load goes is key_plan.c's. */
#include "granted_pool.h"

#include "clock.h"
#include "event_log.h"
#include "key_plan.h"

/* Changes of ranges that one plan makes. */
#define PLAN_MAX 80
/* A range that moved rests for a while, so that a move is judged by what it
 * changed. */
#define RANGE_REST (2 * CC_SECOND)
/* Work that takes less, us, is taken for this: a capacity must be finite. */
#define WORK_LEAST 1000.0
/* An owner that has not answered for so long counts as silent. */
#define SILENT_AFTER (1800 * CC_MS)

/* The pool NAME without ranges. */
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

/* P has no ranges any more; its load is still known. */
void
cc_granted_pool_reset (CcGrantedPool *p)
{
  g_ptr_array_set_size (p->grants, 0);
  g_ptr_array_set_size (p->ranges.list, 0);
  p->loaded = FALSE;
}

static CcRangeGrant *
grant_new (CcGrantedPool *p, CcKeyRange *range)
{
  CcRangeGrant *x = cc_range_grant_new (p->shared, p->name, &p->ranges, range);

  g_ptr_array_add (p->grants, x);
  return x;
}

static CcRangeGrant *
grant_of (const CcGrantedPool *p, const CcKeyRange *range)
{
  for (guint i = 0; i < p->grants->len; i++)
    if (((CcRangeGrant *) p->grants->pdata[i])->range == range)
      return p->grants->pdata[i];
  return NULL;
}

/* Reads P's ranges from ROWS, a(sts) of key, version and value, which the
 * granter BEFORE has left. */
void
cc_granted_pool_load (CcGrantedPool *p, GVariant *rows,
                      const CcPredecessor *before)
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
  fence = cc_key_ranges_top_fence (&p->ranges);
  for (guint k = 0; k < p->ranges.list->len; k++)
    {
      CcRangeGrant *x = grant_new (p, p->ranges.list->pdata[k]);

      cc_range_grant_load (x, &fence, before);
    }
  p->loaded = TRUE;
}

/* Requests a second that T can serve. */
static double
capacity_of (const CcPoolPlanning *how, const CcTarget *t)
{
  double work =
      cc_work_rates_of (how->rates, t->listing.pool, t->listing.id, how->now);

  return MAX (t->listing.slots, 1) * 1e6 / MAX (work, WORK_LEAST);
}

/* The upstreams of P that may get keys. */
static GArray *
owners_of (const CcGrantedPool *p, const CcPoolPlanning *how)
{
  GArray *owners = g_array_new (FALSE, TRUE, sizeof (CcKeyOwner));
  GPtrArray *all = cc_targets_of_pool (p->shared->targets, p->name);

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const CcTarget *t = all->pdata[i];
      CcKeyOwner o = { .id = t->listing.id,
                       .born = t->listing.born,
                       .capacity = capacity_of (how, t) };

      if (t->state == CC_TARGET_READY)
        g_array_append_val (owners, o);
    }
  return owners;
}

/* The grant from which the range of a new one was cut: that of the keys before
 * it. */
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

static gboolean
is_for (const CcRangeGrant *x, const char *owner, guint64 born)
{
  return g_strcmp0 (x->range->owner, owner) == 0 && x->range->born == born;
}

/* What was known of each grant's owner before a plan. */
typedef struct
{
  CcRangeGrant *grant;
  char *owner;
  guint64 born;
} Before;

static void
before_clear (gpointer data)
{
  g_free (((Before *) data)->owner);
}

static GArray *
note_before (const CcGrantedPool *p)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (Before));

  g_array_set_clear_func (list, before_clear);
  for (guint i = 0; i < p->grants->len; i++)
    {
      CcRangeGrant *x = p->grants->pdata[i];
      Before b = { x, g_strdup (x->range->owner), x->range->born };

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

/* Ranges that a plan cut from others get grants of their own.  That goes before
 * any change of owners: what may be held of the new range is what could be held
 * of the one that it was cut from before the plan. */
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
    }
}

static void
apply_change (CcGrantedPool *p, CcKeyRange *r, const GArray *before)
{
  CcRangeGrant *x = grant_of (p, r);

  for (guint i = 0; i < before->len; i++)
    {
      const Before *b = &g_array_index (before, Before, i);

      if (b->grant == x && !is_for (x, b->owner, b->born))
        cc_range_grant_owner_changed (x, cc_clock_now ());
    }
  x->moving = r->previous != NULL;
  x->dirty = TRUE;
  x->written = FALSE;
  log_move (p, r);
}

/* Plans P's keys anew, as HOW says.  Returns how many ranges have changed;
 * another plan is due at once if they are as many as one may change. */
guint
cc_granted_pool_plan (CcGrantedPool *p, const CcPoolPlanning *how)
{
  g_autoptr (GArray) owners = owners_of (p, how);
  g_autoptr (GPtrArray) changed = g_ptr_array_new ();
  g_autoptr (GArray) before = note_before (p);
  CcKeyPlan plan = { .ranges = &p->ranges,
                     .owners = owners,
                     .load = &p->load,
                     .limit = PLAN_MAX,
                     .rebalance = how->rebalance,
                     .changed = changed };

  cc_key_load_decay (&p->load, how->now);
  for (guint i = 0; i < p->grants->len; i++)
    {
      CcRangeGrant *x = p->grants->pdata[i];

      x->range->rests = !x->held || how->now - x->moved_at < RANGE_REST;
      /* The answer of a call in progress is about the owner and the keys that
       * it was sent for.  Taken for another's, it let a new owner begin while
       * the old one still held the keys; and a renewal that overtakes a release
       * gives the keys back to who had released them. */
      x->range->busy =
          x->calling || cc_range_grant_is_unconfirmed (x, how->now);
    }
  cc_key_plan (&plan);
  add_grants (p, changed);
  for (guint i = 0; i < changed->len; i++)
    apply_change (p, changed->pdata[i], before);
  p->shared->replan |= changed->len >= PLAN_MAX;
  return changed->len;
}

/* Does what is due for each range at NOW.  Returns how many owners have been
 * silent for a while. */
guint
cc_granted_pool_step (CcGrantedPool *p, gint64 now)
{
  guint silent = 0;

  for (guint i = 0; i < p->grants->len; i++)
    {
      CcRangeGrant *x = p->grants->pdata[i];

      cc_range_grant_step (x);
      silent +=
          x->answered != 0 && !x->withheld && now - x->answered > SILENT_AFTER;
    }
  return silent;
}

/* Adds the grants whose rows are to be written to DIRTY, up to MOST there. */
void
cc_granted_pool_add_dirty (const CcGrantedPool *p, guint most, GPtrArray *dirty)
{
  for (guint i = 0; i < p->grants->len && dirty->len < most; i++)
    if (((CcRangeGrant *) p->grants->pdata[i])->dirty)
      g_ptr_array_add (dirty, p->grants->pdata[i]);
}
