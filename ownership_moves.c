/* Safety of ownership, independent of balance.
 *
 * A server changes dispatchers, and a unit changes servers, in two versions of
 * the map.  The first names the new owner and, in `from`, the old one, which
 * stops and drains when it reads it.  The second, without `from`, is written
 * only after the old owner's dispatcher has reported that it applied the
 * first.  A dispatcher that is not in the roster has lost its lease and
 * therefore has stopped, so its servers go to another one at once, under a
 * higher term.
 *
 * A hot key is split out of its slice, and folded back into it, in the same
 * two versions.  The whole slice takes part, moving to its own server: its
 * attempts may be for the hot key, grants do not distinguish the keys of a
 * slice, and the key has stopped only when the slice has.  Other keys of the
 * slice pause for one move; splits are rare.
 *
 * Epochs across splits: whether in its slice or in a unit of its own, a key's
 * epoch only increases, since each change starts above both.  A unit's number
 * is reused for other hot keys, so its epoch also starts above its last one,
 * by two: a dispatcher takes an epoch one above the last that it held as the
 * next owner of the same keys, keeps its attempt records, and would run a
 * repeat for the new key twice (outcome_transfer.c).  For the same reason a
 * fold increases the slice's epoch by two.
 */
#include "ownership_moves.h"

#include "cut_off.h"

/* An epoch one above the last would count as a continuation. */
#define EPOCH_GAP 2

/* The last report on S if DISPATCHER sent it, else NULL. */
static const CcServerReport *
report_of (GHashTable *reports, const CcMapServer *s, const char *dispatcher)
{
  const CcServerReport *r = g_hash_table_lookup (reports, s->name);

  return r != NULL && g_str_equal (r->dispatcher, dispatcher) ? r : NULL;
}

static guint
set_state (CcMapServer *s, CcServerState state)
{
  if (s->state == state)
    return 0;
  s->state = state;
  return 1;
}

/* Adds servers that joined; marks those that leave, are lost or are gone. */
static guint
update_servers (CcSliceMap *m, const CcRoster *roster, GHashTable *reports)
{
  guint changes = 0;

  for (guint i = 0; i < roster->servers->len; i++)
    {
      const CcRosterServer *l = roster->servers->pdata[i];

      if (cc_slicemap_find (m, l->name) >= 0 || l->leaving)
        continue;
      cc_slicemap_add (m, l->name, l->address, l->zone);
      changes++;
    }
  for (guint i = 0; i < m->servers->len; i++)
    {
      CcMapServer *s = m->servers->pdata[i];
      const CcRosterServer *l = cc_roster_server (roster, s->name);
      const CcServerReport *r = report_of (reports, s, s->dispatcher);

      if (l == NULL)
        changes += set_state (s, CC_SERVER_GONE);
      else if (r != NULL && r->lost)
        changes += set_state (s, CC_SERVER_LOST);
      else if (l->leaving)
        changes += set_state (s, CC_SERVER_LEAVING);
      else if (r != NULL && !r->lost)
        changes += set_state (s, CC_SERVER_LIVE);
    }
  return changes;
}

/* The number of servers that dispatcher ID holds. */
static guint
servers_held (const CcSliceMap *m, const char *id)
{
  guint n = 0;

  for (guint i = 0; i < m->servers->len; i++)
    n += g_str_equal (((CcMapServer *) m->servers->pdata[i])->dispatcher, id);
  return n;
}

/* Chooses the dispatcher for a server in ZONE: one of the same zone if there
 * is any, since other zones may be partitioned from it, and among those the
 * one that holds the fewest servers. */
static const CcRosterDispatcher *
choose_dispatcher (const CcSliceMap *m, const CcRoster *r, const char *zone)
{
  const CcRosterDispatcher *best = NULL;
  guint best_cost = G_MAXUINT;

  for (guint i = 0; i < r->dispatchers->len; i++)
    {
      const CcRosterDispatcher *d = r->dispatchers->pdata[i];
      guint cost = servers_held (m, d->id);

      cost += g_str_equal (d->zone, zone) ? 0 : 100000;
      if (d->draining || cost >= best_cost)
        continue;
      best = d;
      best_cost = cost;
    }
  return best;
}

static void
set_string (char **field, const char *value)
{
  g_free (*field);
  *field = g_strdup (value);
}

/* First step of a handover, or the whole of it if the old dispatcher has lost
 * its lease. */
static guint
start_handover (CcSliceMap *m, CcMapServer *s, const CcRoster *roster)
{
  const CcRosterDispatcher *now = cc_roster_dispatcher (roster, s->dispatcher);
  const CcRosterDispatcher *next;

  if (now != NULL ? !now->draining
                  : !cc_cut_off_has_stopped (roster, s->dispatcher))
    return 0;
  next = choose_dispatcher (m, roster, s->zone);
  if (next == NULL)
    return 0;
  set_string (&s->from, now != NULL ? s->dispatcher : "");
  set_string (&s->dispatcher, next->id);
  s->term++;
  return 1;
}

/* Second step: the old dispatcher has stopped, or has lost its lease. */
static guint
finish_handover (CcSliceMap *m, CcMapServer *s, const CcRoster *roster,
                 GHashTable *reports, const CcMoveVersions *move_versions)
{
  const CcServerReport *r = report_of (reports, s, s->from);

  if ((cc_roster_dispatcher (roster, s->from) != NULL ||
       !cc_cut_off_has_stopped (roster, s->from)) &&
      (r == NULL ||
       r->applied < cc_move_versions_server (move_versions, m, s->name)))
    return 0;
  set_string (&s->from, "");
  return 1;
}

static guint
update_dispatchers (CcSliceMap *m, const CcRoster *roster, GHashTable *reports,
                    const CcMoveVersions *move_versions)
{
  guint changes = 0;

  for (guint i = 0; i < m->servers->len; i++)
    {
      CcMapServer *s = m->servers->pdata[i];

      if (s->from[0] != '\0')
        changes += finish_handover (m, s, roster, reports, move_versions);
      else
        changes += start_handover (m, s, roster);
    }
  return changes;
}

/* Whether the server that UNIT moves away from has stopped serving it. */
static gboolean
has_stopped (const CcSliceMap *m, guint unit, GHashTable *reports,
             const CcMoveVersions *move_versions)
{
  const CcMapServer *from =
      cc_slicemap_server (m, cc_slicemap_at (m, unit)->from);
  const CcServerReport *r =
      from != NULL ? report_of (reports, from, from->dispatcher) : NULL;

  return from != NULL && from->from[0] == '\0' && r != NULL &&
         r->applied >= cc_move_versions_unit (move_versions, m, unit);
}

/* Whether a hot key is moving back into SLICE. */
gboolean
cc_moves_is_folded_into (const CcSliceMap *m, guint slice)
{
  for (guint i = 0; i < m->hot->len; i++)
    {
      const CcMapHot *h = &g_array_index (m->hot, CcMapHot, i);

      if (h->state == CC_HOT_FOLDING && cc_slicemap_slice (m, h->hash) == slice)
        return TRUE;
    }
  return FALSE;
}

/* Completes splits and folds of hot keys.  The slice itself completes later,
 * so that the key has no owner in between. */
static guint
finish_hot (CcSliceMap *m, GHashTable *reports,
            const CcMoveVersions *move_versions)
{
  guint changes = 0;

  for (guint i = 0; i < m->hot->len; i++)
    {
      CcMapHot *h = &g_array_index (m->hot, CcMapHot, i);

      if (h->unit.from < 0 ||
          !has_stopped (m, m->slices->len + i, reports, move_versions))
        continue;
      h->unit.from = -1;
      h->state = h->state == CC_HOT_FOLDING ? CC_HOT_FREE : CC_HOT_SPLIT;
      changes++;
    }
  return changes;
}

/* Completes moves of slices whose old server has stopped serving them. */
static guint
finish_slices (CcSliceMap *m, GHashTable *reports,
               const CcMoveVersions *move_versions)
{
  guint changes = 0;

  for (guint i = 0; i < m->slices->len; i++)
    {
      CcMapSlice *s = cc_slicemap_at (m, i);

      if (s->from < 0 || !has_stopped (m, i, reports, move_versions) ||
          cc_moves_is_folded_into (m, i))
        continue;
      s->from = -1;
      changes++;
    }
  return changes;
}

/* Updates M, read at version m->version and recorded in MOVE_VERSIONS, from
 * ROSTER and REPORTS (server name to CcServerReport), and completes the moves
 * that may complete.  Returns the number of changes. */
guint
cc_moves_update (CcSliceMap *m, const CcRoster *roster, GHashTable *reports,
                 const CcMoveVersions *move_versions)
{
  guint changes = update_servers (m, roster, reports);

  changes += update_dispatchers (m, roster, reports, move_versions);
  changes += finish_hot (m, reports, move_versions);
  return changes + finish_slices (m, reports, move_versions);
}

/* Whether SERVER may be given units. */
gboolean
cc_moves_can_own (const CcSliceMap *m, gint32 server)
{
  const CcMapServer *s = cc_slicemap_server (m, server);

  return s != NULL && s->state == CC_SERVER_LIVE && s->dispatcher[0] != '\0';
}

/* Whether SERVER is live and its dispatcher cannot confirm at present that
 * anything has stopped (holding.h): units taken from it would have no owner
 * until it can, for up to the longest duration of a request. */
gboolean
cc_moves_is_unconfirmed (const CcSliceMap *m, gint32 server,
                         GHashTable *reports)
{
  const CcMapServer *s = cc_slicemap_server (m, server);
  const CcServerReport *r;

  if (s == NULL || s->state != CC_SERVER_LIVE)
    return FALSE;
  r = report_of (reports, s, s->dispatcher);
  return r == NULL || r->applied == 0;
}

/* First step of a move of UNIT, which must be settled, to server TO. */
void
cc_moves_start (CcSliceMap *m, guint unit, gint32 to)
{
  CcMapSlice *s = cc_slicemap_at (m, unit);

  s->from = s->server;
  s->server = to;
  s->epoch++;
}

/* Whether UNIT is moving to a server that may not own it any more.  A slice
 * into which a hot key is folding depends on two servers and is not
 * redirected. */
gboolean
cc_moves_may_redirect (const CcSliceMap *m, guint unit)
{
  const CcMapSlice *s = cc_slicemap_at (m, unit);

  return s->from >= 0 && s->server >= 0 && !cc_moves_can_own (m, s->server) &&
         (unit >= m->slices->len || !cc_moves_is_folded_into (m, unit));
}

/* Changes the destination of UNIT, which is moving, to server TO.  It keeps its
 * epoch, under which no server has owned it yet. */
void
cc_moves_redirect (CcSliceMap *m, guint unit, gint32 to)
{
  cc_slicemap_at (m, unit)->server = to;
}

/* First step of splitting the key with HASH out of its slice, to be owned by
 * server TO.  Returns the new unit, or -1 if this is not possible now. */
gint32
cc_moves_split (CcSliceMap *m, guint64 hash, gint32 to)
{
  guint slice = cc_slicemap_unit (m, hash);
  CcMapSlice *s = cc_slicemap_at (m, slice);
  gint32 unit;
  CcMapHot *h;

  if (slice >= m->slices->len || s->from >= 0 || s->server < 0)
    return -1;
  unit = cc_slicemap_alloc_hot (m);
  if (unit < 0)
    return -1;
  h = cc_slicemap_hot (m, (guint) unit);
  h->hash = hash;
  h->state = CC_HOT_SPLITTING;
  h->unit.server = to;
  h->unit.from = s->server;
  h->unit.epoch = MAX (h->unit.epoch, s->epoch) + EPOCH_GAP;
  cc_moves_start (m, slice, s->server);
  return unit;
}

/* First step of folding the hot key UNIT back into its slice.  Returns FALSE
 * if this is not possible now. */
gboolean
cc_moves_fold (CcSliceMap *m, guint unit)
{
  CcMapHot *h = cc_slicemap_hot (m, unit);
  CcMapSlice *s = cc_slicemap_at (m, cc_slicemap_slice (m, h->hash));

  if (h->state != CC_HOT_SPLIT || h->unit.from >= 0 || s->from >= 0 ||
      h->unit.server < 0 || s->server < 0)
    return FALSE;
  h->state = CC_HOT_FOLDING;
  h->unit.from = h->unit.server;
  h->unit.server = -1;
  s->from = s->server;
  s->epoch = MAX (s->epoch, h->unit.epoch) + EPOCH_GAP;
  return TRUE;
}
