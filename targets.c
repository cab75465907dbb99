/* Keeps the upstreams by id and by pool.
 *
 * The failure: the list's keeper is down for some seconds and upstreams that
 * are alive lapse from the list together.  The symptom: every upstream is taken
 * as gone, and nothing is served although all of them work.  So after an outage
 * with the keeper, or when a quarter of a pool vanishes at one moment, missing
 * ones are used for CC_VANISH_GRACE on.  That is enough, since those that live
 * are listed again by then, and those that don't answer lose their requests to
 * others by their failures.
 *
 * Times are counted from when a row was written at the earliest, and not from
 * when it was heard of: a peer's copy may have been old (version_clock.h). */
#include "targets.h"

/* A pool's upstreams that vanish within one update and are taken for an outage
 * of the list's keeper: at least so many, and this share of the pool. */
#define OUTAGE_LEAST 3
#define OUTAGE_SHARE 0.25

/* Frees what L holds, not L. */
void
cc_listing_clear (CcListing *l)
{
  g_free (l->id);
  g_free (l->pool);
  g_free (l->address);
  g_free (l->zone);
  *l = (CcListing){ 0 };
}

static void
target_free (gpointer data)
{
  CcTarget *t = data;

  cc_listing_clear (&t->listing);
  g_free (t);
}

static void
list_free (gpointer data)
{
  g_ptr_array_unref (data);
}

/* Makes T empty. */
void
cc_targets_init (CcTargets *t)
{
  t->by_id =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, target_free);
  t->by_pool =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, list_free);
}

/* Frees what T holds. */
void
cc_targets_clear (CcTargets *t)
{
  g_hash_table_unref (t->by_pool);
  g_hash_table_unref (t->by_id);
}

static GPtrArray *
pool_list (CcTargets *t, const char *pool)
{
  GPtrArray *list = g_hash_table_lookup (t->by_pool, pool);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (t->by_pool, g_strdup (pool), list);
    }
  return list;
}

static gboolean
same_life (const CcListing *a, const CcListing *b)
{
  return a->born == b->born && g_str_equal (a->address, b->address) &&
         g_str_equal (a->pool, b->pool);
}

static void
set_state (CcTarget *t, CcTargetState state, gint64 at)
{
  if (t->state != state)
    t->since = at;
  t->state = state;
}

/* Takes over the strings of L, from a row that was WRITTEN at the earliest, us.
 * Returns TRUE if something changed that others need to know. */
static gboolean
take_listing (CcTargets *all, CcListing *l, guint64 version, gint64 written,
              gint64 now)
{
  CcTarget *t = g_hash_table_lookup (all->by_id, l->id);
  CcTargetState state = l->leaving ? CC_TARGET_LEAVING : CC_TARGET_READY;
  gboolean changed;

  if (t == NULL)
    {
      t = g_new0 (CcTarget, 1);
      t->state = CC_TARGET_GONE;
      g_hash_table_insert (all->by_id, g_strdup (l->id), t);
      g_ptr_array_add (pool_list (all, l->pool), t);
    }
  else if (!same_life (&t->listing, l))
    {
      guint mine = t->load.mine;

      if (!g_str_equal (t->listing.pool, l->pool))
        {
          g_ptr_array_remove (pool_list (all, t->listing.pool), t);
          g_ptr_array_add (pool_list (all, l->pool), t);
        }
      t->load = (CcTargetLoad){ .mine = mine };
      t->since = written;
    }
  changed =
      t->state != state || t->listing.id == NULL || !same_life (&t->listing, l);
  cc_listing_clear (&t->listing);
  t->listing = *l;
  *l = (CcListing){ 0 };
  t->version = version;
  t->vanished = FALSE;
  t->load.slots = MAX (t->listing.slots, 1);
  if (t->listing.cold_for > 0)
    t->load.cold_until = now + t->listing.cold_for;
  set_state (t, state, written);
  return changed;
}

typedef struct
{
  CcTargets *all;
  const CcListed *listed;
  CcListingDecode decode;
  gint64 now;
  CcTargetChanged changed;
  gpointer data;
} Update;

/* When the row with VERSION was written at the earliest, us. */
static gint64
written_after (const Update *u, guint64 version)
{
  return MIN (cc_version_clock_written_after (u->listed->clock, version),
              u->now);
}

static void
note_vanished (const Update *u, CcTarget *t, guint64 version)
{
  if (t->vanished)
    return;
  t->vanished = TRUE;
  t->vanished_at = written_after (u, version);
  t->missed_at = u->now;
}

static void
take_row (Update *u, const CcRow *row)
{
  CcTarget *t = g_hash_table_lookup (u->all->by_id, row->key);
  CcListing l = { 0 };

  if (t != NULL && t->version >= row->version)
    {
      t->vanished = FALSE;
      return;
    }
  if (row->value == NULL || !u->decode (row->key, row->value, &l))
    {
      /* A row that was deleted or can't be read names nobody. */
      if (t != NULL)
        note_vanished (u, t, row->version);
      return;
    }
  if (take_listing (u->all, &l, row->version, written_after (u, row->version),
                    u->now))
    u->changed (g_hash_table_lookup (u->all->by_id, row->key), u->data);
}

static gboolean
vanished_lately (const CcTarget *t, gint64 now)
{
  return t->vanished && now - t->vanished_at < CC_VANISH_GRACE;
}

/* Whether so much of a pool vanished lately that the list's keeper is to be
 * doubted. */
static gboolean
looks_like_outage (const GPtrArray *pool, gint64 now)
{
  guint vanished = 0, listed = 0;

  for (guint i = 0; i < pool->len; i++)
    {
      const CcTarget *t = pool->pdata[i];

      if (t->state == CC_TARGET_GONE)
        continue;
      listed++;
      if (vanished_lately (t, now))
        vanished++;
    }
  return vanished >= OUTAGE_LEAST && vanished >= OUTAGE_SHARE * listed;
}

/* Whether T, which is missing, may have lapsed because the list's keeper was in
 * outage, and be back yet.
 *
 * Failure: this process, or the peer that it follows, alone does not reach
 * the keeper, second after second, while the keeper is well and
 * upstreams leave.  Symptom: requests go to them long after.  So such an outage
 * does not count beyond the time for which one that has left still serves, nor
 * does one of any kind that comes after T was missed; what lapsed in an
 * outage is missed when the outage ends. */
static gboolean
may_have_lapsed (const Update *u, const CcTarget *t)
{
  const CcListed *l = u->listed;
  gint64 outage = MIN (l->outage, t->missed_at);

  if (l->outage != 0 && t->vanished_at < outage &&
      u->now - outage < CC_VANISH_GRACE)
    return TRUE;
  return l->own_outage != 0 && t->vanished_at < l->own_outage &&
         u->now - t->vanished_at < CC_VANISH_GRACE;
}

/* Returns TRUE if some upstream of POOL is missing but not yet gone. */
static gboolean
judge_missing (Update *u, GPtrArray *pool)
{
  gboolean outage = looks_like_outage (pool, u->now);
  gboolean open = FALSE;

  for (guint i = 0; i < pool->len; i++)
    {
      CcTarget *t = pool->pdata[i];

      if (!t->vanished || t->state == CC_TARGET_GONE)
        continue;
      if (t->state == CC_TARGET_READY &&
          ((outage && vanished_lately (t, u->now)) || may_have_lapsed (u, t)))
        {
          open = TRUE;
          continue;
        }
      t->version = 0;
      set_state (t, CC_TARGET_GONE, t->vanished_at);
      u->changed (t, u->data);
    }
  return open;
}

/* Brings T up to LISTED.  Returns TRUE if it is to be called again soon, for
 * upstreams that are missing and may come back. */
gboolean
cc_targets_update (CcTargets *t, const CcListed *listed, CcListingDecode decode,
                   gint64 now, CcTargetChanged changed, gpointer data)
{
  Update u = { t, listed, decode, now, changed, data };
  g_autoptr (GPtrArray) rows = cc_view_rows (listed->view);
  gboolean open = FALSE;
  GHashTableIter i;
  gpointer value;

  for (guint r = 0; r < rows->len; r++)
    take_row (&u, rows->pdata[r]);
  g_hash_table_iter_init (&i, t->by_pool);
  while (g_hash_table_iter_next (&i, NULL, &value))
    open |= judge_missing (&u, value);
  return open;
}

/* The upstream ID, or NULL. */
CcTarget *
cc_targets_find (const CcTargets *t, const char *id)
{
  return g_hash_table_lookup (t->by_id, id);
}

/* The upstreams of POOL that were ever listed (CcTarget), or NULL. */
GPtrArray *
cc_targets_of_pool (const CcTargets *t, const char *pool)
{
  return g_hash_table_lookup (t->by_pool, pool);
}

/* Whether requests for keys that T, one of ALL, owns may be sent to it at NOW.
 */
gboolean
cc_targets_serves_keys (const CcTargets *all, const CcTarget *t, gint64 now)
{
  return t->state == CC_TARGET_READY || now - t->since < all->leaving_serves;
}

/* How long T has been in its state at NOW, at most, us; -1: nothing is known of
 * when that began. */
gint64
cc_target_state_age (const CcTarget *t, gint64 now)
{
  return t->since == CC_TIME_UNKNOWN ? -1 : now - t->since;
}

/* Whether T, one of ALL, is listed no more and another upstream is listed at
 * its address.  So T has likely ended; but the other's row may be of one that
 * was there before T, written late. */
gboolean
cc_targets_is_replaced (const CcTargets *all, const CcTarget *t)
{
  GHashTableIter i;
  gpointer value;

  if (t->state != CC_TARGET_GONE)
    return FALSE;
  g_hash_table_iter_init (&i, all->by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const CcTarget *other = value;

      if (other != t && other->state != CC_TARGET_GONE && !other->vanished &&
          g_str_equal (other->listing.address, t->listing.address))
        return TRUE;
    }
  return FALSE;
}
