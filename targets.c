/* Keeps the upstreams by id and by pool.
 *
 * Failure: the table service is down for some seconds, and rows of upstreams
 * that are alive lapse together.  Without a grace period every upstream counts
 * as gone, and nothing is served although all of them work.  So after an
 * outage of the table service, or when a quarter of a pool goes missing at
 * once, missing upstreams are used for another CC_MISSING_GRACE.  That is long
 * enough, since those that are alive are listed again by then; those that do
 * not respond lose their requests to others because of their failures.
 *
 * Times are counted from the earliest moment at which a row may have been
 * written, not from its arrival: a peer's copy may have been old
 * (version_clock.h). */
#include "targets.h"

#include <string.h>

#include "event_log.h"
#include "metrics.h"

/* Upstreams of a pool that go missing within one update and are taken as an
 * outage of the table service: at least this number, and at least this share
 * of the pool. */
#define OUTAGE_LEAST 3
#define OUTAGE_SHARE 0.25

/* Within a region an upstream turns a request away in 10 ms. */
#define TRIAL_TIME (30 * CC_MS)

/* Frees the memory of L, not L itself. */
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

/* Initialises T without upstreams. */
void
cc_targets_init (CcTargets *t)
{
  t->by_id =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, target_free);
  t->by_pool =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, list_free);
  t->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the memory of T. */
void
cc_targets_clear (CcTargets *t)
{
  g_hash_table_unref (t->refused);
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

/* Returns whether A and B describe the same start of an upstream, with the
 * same address and pool. */
static gboolean
same_incarnation (const CcListing *a, const CcListing *b)
{
  return a->born == b->born && g_str_equal (a->address, b->address) &&
         g_str_equal (a->pool, b->pool);
}

/* Sets the state of T, which began at AT if it is a new one, and not later than
 * that otherwise. */
static void
set_state (CcTarget *t, CcTargetState state, gint64 at)
{
  if (t->state != state || state != CC_TARGET_READY)
    t->since = t->state != state ? at : MIN (t->since, at);
  t->state = state;
  t->leaves_since =
      state == CC_TARGET_READY ? G_MAXINT64 : MIN (t->leaves_since, at);
}

/* T, which is another start than the one known, has said nothing yet. */
static void
forget_notices (CcTarget *t)
{
  t->leaves_since = G_MAXINT64;
  t->said_leaving = FALSE;
  t->rest_until = t->trial_until = 0;
}

/* Takes ownership of the strings of L, from a row that was written no earlier
 * than WRITTEN, us.  Returns TRUE if the upstream changed in a way that others
 * are to be notified of. */
static gboolean
apply_listing (CcTargets *all, CcListing *l, guint64 version, gint64 written,
               gint64 now)
{
  CcTarget *t = g_hash_table_lookup (all->by_id, l->id);
  CcTargetState state;
  gboolean changed;

  if (t == NULL)
    {
      t = g_new0 (CcTarget, 1);
      t->state = CC_TARGET_GONE;
      forget_notices (t);
      g_hash_table_insert (all->by_id, g_strdup (l->id), t);
      g_ptr_array_add (pool_list (all, l->pool), t);
    }
  else if (!same_incarnation (&t->listing, l))
    {
      guint in_flight = t->load.in_flight;

      if (!g_str_equal (t->listing.pool, l->pool))
        {
          g_ptr_array_remove (pool_list (all, t->listing.pool), t);
          g_ptr_array_add (pool_list (all, l->pool), t);
        }
      t->load = (CcTargetLoad){ .in_flight = in_flight };
      t->since = written;
      forget_notices (t);
    }
  /* One that leaves does not stay after all: a row that says so is older than
   * the announcement. */
  t->said_leaving |= l->leaving;
  l->leaving = t->said_leaving;
  state = l->leaving ? CC_TARGET_LEAVING : CC_TARGET_READY;
  changed = t->state != state || t->listing.id == NULL ||
            !same_incarnation (&t->listing, l);
  cc_listing_clear (&t->listing);
  t->listing = *l;
  *l = (CcListing){ 0 };
  t->version = version;
  t->missing = FALSE;
  t->load.slots = MAX (t->listing.slots, 1);
  if (t->listing.cold_for > 0)
    t->load.cold_until = now + t->listing.cold_for;
  set_state (t, state, written);
  return changed;
}

typedef struct
{
  CcTargets *all;
  const CcTargetsSource *source;
  CcListingDecode decode;
  gint64 now;
  CcTargetChanged changed;
  gpointer data;
} Update;

/* Returns the earliest time at which the row with VERSION may have been
 * written, us. */
static gint64
written_after (const Update *u, guint64 version)
{
  return MIN (cc_version_clock_written_after (u->source->clock, version),
              u->now);
}

/* Marks T as missing since the row with VERSION. */
static void
mark_missing (const Update *u, CcTarget *t, guint64 version)
{
  if (t->missing)
    return;
  t->missing = TRUE;
  t->missing_since = written_after (u, version);
  t->missing_found_at = u->now;
}

/* Whether ROW was refused before.  All rows are applied at each change of the
 * table, and decoding a row that can't be read may cost as much as any. */
static gboolean
was_refused (const Update *u, const CcRow *row)
{
  const guint64 *version = g_hash_table_lookup (u->all->refused, row->key);

  return version != NULL && *version >= row->version;
}

/* Logs that ROW names no usable upstream, once for each version of it. */
static void
record_refused (const Update *u, const CcRow *row)
{
  g_hash_table_replace (u->all->refused, g_strdup (row->key),
                        g_memdup2 (&row->version, sizeof row->version));
  ++*cc_metrics_counter ("capercrank_rows_refused", "table=\"upstreams\"");
  cc_event (CC_EVENT_STATE, "row-refused", "row", row->key, "row_version",
            cc_event_int ((gint64) row->version), "bytes",
            cc_event_int ((gint64) strlen (row->value)), NULL);
}

/* Decodes ROW into L.  Returns FALSE if it names no usable upstream. */
static gboolean
decode_row (const Update *u, const CcRow *row, CcListing *l)
{
  if (row->value == NULL)
    {
      g_hash_table_remove (u->all->refused, row->key);
      return FALSE;
    }
  if (was_refused (u, row))
    return FALSE;
  if (!u->decode (row->key, row->value, l))
    {
      record_refused (u, row);
      return FALSE;
    }
  g_hash_table_remove (u->all->refused, row->key);
  return TRUE;
}

/* Updates the upstream of ROW. */
static void
apply_row (Update *u, const CcRow *row)
{
  CcTarget *t = g_hash_table_lookup (u->all->by_id, row->key);
  CcListing l = { 0 };

  if (t != NULL && t->version >= row->version)
    {
      t->missing = FALSE;
      return;
    }
  if (!decode_row (u, row, &l))
    {
      /* A row that was deleted or cannot be decoded names no upstream. */
      if (t != NULL)
        mark_missing (u, t, row->version);
      return;
    }
  if (apply_listing (u->all, &l, row->version, written_after (u, row->version),
                     u->now))
    u->changed (g_hash_table_lookup (u->all->by_id, row->key), u->data);
}

/* Returns whether T is missing and still within its grace period. */
static gboolean
recently_missing (const CcTarget *t, gint64 now)
{
  return t->missing && now - t->missing_since < CC_MISSING_GRACE;
}

/* Returns whether enough upstreams of POOL went missing recently to indicate an
 * outage of the table service. */
static gboolean
looks_like_outage (const GPtrArray *pool, gint64 now)
{
  guint missing = 0, listed = 0;

  for (guint i = 0; i < pool->len; i++)
    {
      const CcTarget *t = pool->pdata[i];

      if (t->state == CC_TARGET_GONE)
        continue;
      listed++;
      if (recently_missing (t, now))
        missing++;
    }
  return missing >= OUTAGE_LEAST && missing >= OUTAGE_SHARE * listed;
}

/* Returns whether T, which is missing, may have lapsed in an outage of the
 * table service and may still return.
 *
 * Failure: only this process, or the peer that it follows, repeatedly fails to
 * reach the table service, while the service works and upstreams leave.
 * Requests are then sent to them long after.  So an outage of that kind does
 * not count beyond the time for which an upstream that has left still serves.
 * An outage of either kind that comes after T was found missing does not
 * count; rows that lapse in an outage are found missing when it ends. */
static gboolean
may_have_lapsed (const Update *u, const CcTarget *t)
{
  const CcTargetsSource *l = u->source;
  gint64 outage = MIN (l->outage, t->missing_found_at);

  if (l->outage != 0 && t->missing_since < outage &&
      u->now - outage < CC_MISSING_GRACE)
    return TRUE;
  return l->own_outage != 0 && t->missing_since < l->own_outage &&
         u->now - t->missing_since < CC_MISSING_GRACE;
}

/* Marks the missing upstreams of POOL as gone unless they may return.  Returns
 * TRUE if some upstream is missing but not yet gone. */
static gboolean
evaluate_missing (Update *u, GPtrArray *pool)
{
  gboolean outage = looks_like_outage (pool, u->now);
  gboolean pending = FALSE;

  for (guint i = 0; i < pool->len; i++)
    {
      CcTarget *t = pool->pdata[i];

      if (!t->missing || t->state == CC_TARGET_GONE)
        continue;
      if (t->state == CC_TARGET_READY &&
          ((outage && recently_missing (t, u->now)) || may_have_lapsed (u, t)))
        {
          pending = TRUE;
          continue;
        }
      t->version = 0;
      set_state (t, CC_TARGET_GONE, t->missing_since);
      u->changed (t, u->data);
    }
  return pending;
}

/* Updates T from SOURCE at NOW and calls CHANGED with DATA for each change.
 * Returns TRUE if it is to be called again soon, for missing upstreams that
 * may return. */
gboolean
cc_targets_update (CcTargets *t, const CcTargetsSource *source,
                   CcListingDecode decode, gint64 now, CcTargetChanged changed,
                   gpointer data)
{
  Update u = { t, source, decode, now, changed, data };
  g_autoptr (GPtrArray) rows = cc_view_rows (source->view);
  gboolean pending = FALSE;
  GHashTableIter i;
  gpointer value;

  for (guint r = 0; r < rows->len; r++)
    apply_row (&u, rows->pdata[r]);
  g_hash_table_iter_init (&i, t->by_pool);
  while (g_hash_table_iter_next (&i, NULL, &value))
    pending |= evaluate_missing (&u, value);
  return pending;
}

/* Returns the upstream ID, or NULL. */
CcTarget *
cc_targets_find (const CcTargets *t, const char *id)
{
  return g_hash_table_lookup (t->by_id, id);
}

/* Returns the upstreams of POOL that were ever listed (CcTarget), or NULL. */
GPtrArray *
cc_targets_of_pool (const CcTargets *t, const char *pool)
{
  return g_hash_table_lookup (t->by_pool, pool);
}

/* Returns whether T, one of ALL, may be sent requests for its keys at NOW. */
gboolean
cc_targets_serves_keys (const CcTargets *all, const CcTarget *t, gint64 now)
{
  return t->state == CC_TARGET_READY ||
         now - t->leaves_since < all->leaving_serves;
}

/* Returns the longest time for which T can have been in its state at NOW, us;
 * -1 if the start of that state is unknown. */
gint64
cc_target_state_age (const CcTarget *t, gint64 now)
{
  return t->since == CC_TIME_UNKNOWN ? -1 : now - t->since;
}

/* Returns the longest time for which T can have been leaving or gone at NOW,
 * us; -1 if it is neither, or that is unknown. */
gint64
cc_target_leaving_age (const CcTarget *t, gint64 now)
{
  return t->state == CC_TARGET_READY || t->leaves_since == CC_TIME_UNKNOWN
             ? -1
             : now - t->leaves_since;
}

/* T asks this gateway, in an answer received at NOW, for no requests for REST
 * us.  Returns TRUE if that is later than what it asked for before. */
gboolean
cc_target_asks_rest (CcTarget *t, gint64 rest, gint64 now)
{
  if (now + rest <= t->rest_until)
    return FALSE;
  t->rest_until = now + rest;
  return TRUE;
}

/* A request is sent to T at NOW, us.
 *
 * Load pattern: a rest ends, and all requests of the last seconds come back at
 * that moment, although the upstream may still have no room.  So the first
 * request after a rest is a trial: the others are held back until it would have
 * been turned away. */
void
cc_target_sent (CcTarget *t, gint64 now)
{
  if (t->rest_until == 0)
    return;
  t->rest_until = 0;
  t->trial_until = now + TRIAL_TIME;
}

/* T has said in an answer, received at NOW, us, that it leaves.  Returns TRUE
 * if that is new, so that others are to be notified of T. */
gboolean
cc_target_says_leaving (CcTarget *t, gint64 now)
{
  t->said_leaving = t->listing.leaving = TRUE;
  if (t->state != CC_TARGET_READY)
    return FALSE;
  set_state (t, CC_TARGET_LEAVING, now);
  return TRUE;
}

/* Returns whether T, one of ALL, is no longer listed and another upstream is
 * listed at its address.  T has then likely exited, but the row may belong to
 * an upstream that had the address before T and be written late. */
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

      if (other != t && other->state != CC_TARGET_GONE && !other->missing &&
          g_str_equal (other->listing.address, t->listing.address))
        return TRUE;
    }
  return FALSE;
}
