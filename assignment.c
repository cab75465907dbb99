/* One step of assignment for one pool: what is known goes in, the next map
 * comes out.  No network, no clock.
 *
 * Safety stands in ownership_moves.c; which unit goes where, in balance.c;
 * here stands when anything moves at all.
 *
 *  - A unit without a server that may own it moves now.  From a leaving server
 *    units move a part at a time, so that the next ones are not flooded.  While
 *    writes are slow, units on their way to one are sent elsewhere.
 *  - A server that joins is filled up to its share as it warms up
 *    (server_shares.c).
 *  - Otherwise load is evened out only when the imbalance has stood above a
 *    trigger for a time, then down to a goal below the trigger, and within a
 *    budget of moves.  Without the gap between the two, and without the time,
 *    noise in the measured loads moves keys for ever; without the budget a
 *    load that jumps about does.  A unit that moved rests for a while.
 *
 * The operator's `prefer` sets these figures.  The budget of churn follows
 * Slicer (OSDI 2016), the paced emptying of a server Shard Manager (SOSP 2021).
 */
#include "assignment.h"

#include <string.h>

#include "balance.h"
#include "log.h"
#include "server_shares.h"

typedef struct
{
  double trigger;  /* imbalance that is worth moves */
  double goal;     /* imbalance down to which units then move */
  gint64 patience; /* for which it has to stand above the trigger, us */
  gint64 rest;     /* of a unit after a move, us */
  double burst;    /* share of the units that may move one after another */
  double hourly;   /* share of the units that the budget regains in an hour */
  CcHotPolicy hot;
} Policy;

/* A server's measured load wanders by 3% (CC_METER_TIME at 30 requests a
 * second), the largest of 18 by 6%: triggers stand well above, and below the
 * 1.25 that the users aim at.  Rests are long against the time a moved unit
 * takes to be measured anew (CC_METER_TIME).  A hot key is split out before
 * patience for evening out ends, or its neighbours would use up the budget. */
static const Policy policies[] = {
  [CC_PREFER_AVAILABILITY] = { 1.15,
                               1.05,
                               5 * CC_SECOND,
                               60 * CC_SECOND,
                               0.10,
                               1.0,
                               { 1.15, 1 * CC_SECOND, 120 * CC_SECOND } },
  [CC_PREFER_STABILITY] = { 1.20,
                            1.10,
                            15 * CC_SECOND,
                            300 * CC_SECOND,
                            0.05,
                            0.2,
                            { 1.20, 5 * CC_SECOND, 900 * CC_SECOND } },
};

/* Units that move at one time: at least, and as a part of all. */
#define MOVING_LEAST 8
#define MOVING_PART 32
/* A leaving server is emptied at the rate that takes so long, also when each
 * move takes long, since its process ends whatever it still owns. */
#define EMPTIED_WITHIN CC_SECOND
#define MOVES_SMOOTHED 8 /* weight of a move's time is 1 in so many */

#define MOVE_SLOW (500 * CC_MS) /* worth a line in the log */
#define HOUR (3600 * CC_SECOND)

/* A planner that knows nothing yet. */
CcPlanner *
cc_planner_new (void)
{
  CcPlanner *p = g_new0 (CcPlanner, 1);

  p->loads = cc_unit_loads_new ();
  p->hot = cc_hot_units_new ();
  p->standings = cc_server_shares_new ();
  p->stamps = cc_move_versions_new ();
  p->moved_at = g_array_new (FALSE, TRUE, sizeof (gint64));
  p->began = g_array_new (FALSE, TRUE, sizeof (gint64));
  return p;
}

/* Frees P. */
void
cc_planner_free (CcPlanner *p)
{
  cc_unit_loads_free (p->loads);
  cc_hot_units_free (p->hot);
  cc_server_shares_free (p->standings);
  cc_move_versions_free (p->stamps);
  g_array_unref (p->moved_at);
  g_array_unref (p->began);
  g_free (p);
}

/* The table's answers, and so the writes of maps, take USUAL us at present. */
void
cc_planner_set_write_time (CcPlanner *p, gint64 usual)
{
  p->write_usual = usual;
}

static gint64 *
time_at (GArray *times, guint unit)
{
  if (unit >= times->len)
    g_array_set_size (times, unit + 1);
  return &g_array_index (times, gint64, unit);
}

static void
note_move (CcPlanner *p, gint64 span)
{
  p->move_time += span;
  p->ended++;
  p->move_usual = p->move_usual == 0
                      ? span
                      : p->move_usual + (span - p->move_usual) / MOVES_SMOOTHED;
}

/* Measures how long units are without an owner, which is what a move costs. */
static void
time_moves (CcPlanner *p, const CcSliceMap *m, gint64 now)
{
  gint64 longest = 0;
  guint slow = 0;

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      gint64 *began = time_at (p->began, i);
      gboolean moves = cc_slicemap_at (m, i)->from >= 0;

      if (moves && *began == 0)
        *began = now;
      if (moves || *began == 0)
        continue;
      slow += now - *began > MOVE_SLOW;
      longest = MAX (longest, now - *began);
      note_move (p, now - *began);
      *began = 0;
    }
  if (slow > 0)
    cc_log (CC_LOG_WARNING, "move",
            "%u units of %s were without an owner for up to %" G_GINT64_FORMAT
            " ms",
            slow, m->pool, longest / CC_MS);
}

static gboolean
is_owned (const CcSliceMap *m)
{
  for (guint i = 0; i < m->slices->len; i++)
    if (cc_slicemap_at (m, i)->server >= 0)
      return TRUE;
  return FALSE;
}

/* The servers that a pool starts with have nobody to be compared with: they
 * count as warm.  Filled up like joining ones, each to its exact share at every
 * step, they pass units round and round after the noise in their loads. */
static void
note_standings (CcPlanner *p, const CcSliceMap *m, gint64 now)
{
  gboolean starts = !is_owned (m);

  for (gint32 i = 0; i < (gint32) m->servers->len; i++)
    {
      const CcMapServer *s = cc_slicemap_server (m, i);

      cc_server_shares_update (p->standings, s->name, s->state,
                               starts || cc_slicemap_owned (m, i) > 0, now);
    }
}

static double
total_load (const CcPlanner *p, const CcSliceMap *m)
{
  double total = 0;

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    total += cc_unit_loads_of (p->loads, i);
  return total;
}

/* A pool without load has nothing to warm up for: shares are full.  Neither
 * may standing leave keys without any owner: if no server has a share, all
 * that are live do. */
static void
add_servers (CcBalance *b, CcPlanner *p, const CcSliceMap *m, gboolean idle,
             gint64 now)
{
  gboolean any = FALSE;

  for (guint i = 0; i < m->servers->len; i++)
    any |= cc_moves_can_own (m, (gint32) i) &&
           cc_server_shares_of (
               p->standings, cc_slicemap_server (m, (gint32) i)->name, now) > 0;
  for (guint i = 0; i < m->servers->len; i++)
    {
      const CcMapServer *s = cc_slicemap_server (m, (gint32) i);
      double share = cc_server_shares_of (p->standings, s->name, now);

      if (!any || (idle && share > 0))
        share = 1;
      cc_balance_add_server (b, cc_moves_can_own (m, (gint32) i), share);
    }
}

static gboolean
is_served (const CcSliceMap *m, const CcMapSlice *s)
{
  const CcMapServer *server = cc_slicemap_server (m, s->server);

  return server != NULL && (server->state == CC_SERVER_LIVE ||
                            server->state == CC_SERVER_LEAVING);
}

/* Which units of M, as it was read, are on their way, alone or with their
 * server: they may not begin another move in the step that ends this one.  The
 * next holder has to see itself as the owner in a map that was written, or it
 * does not pass the memory of outcomes on. */
static GByteArray *
units_on_their_way (const CcSliceMap *m)
{
  GByteArray *on_way = g_byte_array_new ();

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      const CcMapSlice *s = cc_slicemap_at (m, i);
      const CcMapServer *owner = cc_slicemap_server (m, s->server);
      guint8 moves = s->from >= 0 || (owner != NULL && owner->from[0] != '\0');

      g_byte_array_append (on_way, &moves, 1);
    }
  return on_way;
}

static void
note_doubt (CcBalance *b, const CcSliceMap *m, GHashTable *reports)
{
  for (guint i = 0; i < m->servers->len; i++)
    g_array_index (b->servers, CcBalanceServer, i).in_doubt =
        cc_moves_is_unconfirmed (m, (gint32) i, reports);
}

/* Whether a move takes longer than a leaving server may be emptied in.  Only
 * then is a unit sent elsewhere on its way: it is without an owner until one
 * more map is applied, but need not move a second time. */
static gboolean
writes_are_slow (const CcPlanner *p)
{
  return 2 * p->write_usual > EMPTIED_WITHIN;
}

static void
add_units (CcBalance *b, CcPlanner *p, const CcSliceMap *m,
           const GByteArray *on_way, const Policy *y, gint64 now)
{
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      const CcMapSlice *s = cc_slicemap_at (m, i);
      const CcMapHot *h = cc_slicemap_hot (m, i);
      gint64 moved = *time_at (p->moved_at, i);
      gboolean is_unit = h == NULL || h->state == CC_HOT_SPLIT;
      gboolean redirect = writes_are_slow (p) && cc_moves_may_redirect (m, i);
      CcBalanceUnit u = {
        .load = cc_unit_loads_of (p->loads, i),
        .server = s->server,
        .fixed = !redirect && (s->from >= 0 || !is_unit || on_way->data[i] ||
                               cc_balance_is_unconfirmed (b, s->server)),
        .rests = moved > 0 && now - moved < y->rest,
        .urgent = redirect || (is_unit && !is_served (m, s))
      };

      cc_balance_add_unit (b, &u);
    }
}

static guint
fill_joining (CcBalance *b, const CcPlanner *p, const CcSliceMap *m,
              guint limit, gint64 now)
{
  guint n = 0;

  for (gint32 i = 0; i < (gint32) m->servers->len; i++)
    if (cc_moves_can_own (m, i) &&
        cc_server_shares_of (p->standings, cc_slicemap_server (m, i)->name,
                             now) > 0 &&
        cc_server_shares_is_warming (p->standings,
                                     cc_slicemap_server (m, i)->name, now))
      n += cc_balance_fill (b, i, limit - n);
  return n;
}

static void
renew_budget (CcPlanner *p, const Policy *y, guint units, gint64 now)
{
  double full = y->burst * units;

  if (p->budget_at == 0)
    p->budget = full;
  else
    p->budget += y->hourly * units * (double) (now - p->budget_at) / HOUR;
  p->budget = MIN (p->budget, full);
  p->budget_at = now;
}

static gboolean
is_worth_moves (CcPlanner *p, const Policy *y, gint64 now)
{
  if (p->imbalance <= y->trigger)
    {
      p->over_since = 0;
      return FALSE;
    }
  if (p->over_since == 0)
    p->over_since = now;
  return now - p->over_since >= y->patience;
}

static void
even_out (CcBalance *b, CcPlanner *p, const Policy *y, guint limit, gint64 now)
{
  renew_budget (p, y, b->units->len, now);
  if (!is_worth_moves (p, y, now))
    return;
  limit = MIN (limit, (guint) p->budget);
  p->budget -= cc_balance_rebalance (b, y->goal, limit);
}

static guint
apply_moves (CcPlanner *p, CcSliceMap *m, const CcBalance *b, gint64 now)
{
  for (guint i = 0; i < b->moves->len; i++)
    {
      const CcBalanceMove *one = &g_array_index (b->moves, CcBalanceMove, i);

      if (cc_slicemap_at (m, one->unit)->server >= 0)
        *time_at (p->moved_at, one->unit) = now;
      if (cc_slicemap_at (m, one->unit)->from >= 0)
        cc_moves_redirect (m, one->unit, one->to);
      else
        cc_moves_start (m, one->unit, one->to);
    }
  p->moves += b->moves->len;
  return b->moves->len;
}

/* One key at a time is split or folded: each pauses a slice. */
static guint
plan_hot (CcPlanner *p, CcSliceMap *m, const CcBalance *b, const Policy *y,
          gint64 now)
{
  gint32 unit = cc_hot_units_split (p->hot, m, p->loads, b, &y->hot, now);

  if (unit < 0 && !cc_hot_units_fold (p->hot, m, p->loads, b, &y->hot, now))
    return 0;
  if (unit < 0)
    {
      p->folds++;
      return 1;
    }
  p->splits++;
  *time_at (p->moved_at, (guint) unit) = now;
  return 1;
}

/* How long a move that begins now will take, us; 0: not known.  A move is two
 * writes, one after the other, and past moves tell nothing of a table that has
 * become slow since. */
static gint64
move_expected (const CcPlanner *p)
{
  return MAX (p->move_usual, 2 * p->write_usual);
}

/* How many of the homeless units are to move now, so that the last one has
 * moved EMPTIED_WITHIN after the first if moves take as long as expected. */
static guint
homeless_due (CcPlanner *p, guint homeless, gint64 now)
{
  gint64 expected = move_expected (p);
  gint64 left;

  if (homeless == 0)
    p->homeless_since = 0;
  else if (p->homeless_since == 0)
    p->homeless_since = now;
  if (homeless == 0 || expected == 0)
    return 0;
  left = p->homeless_since + EMPTIED_WITHIN - now;
  if (left <= expected)
    return homeless;
  return (guint) ((gint64) homeless * expected / left);
}

/* Moves units away from servers that may not own them, a part at a time.
 * Returns how many. */
static guint
place_homeless (CcBalance *b, CcPlanner *p, guint most, guint moving,
                gint64 now)
{
  guint due = homeless_due (p, cc_balance_unassigned (b), now);

  return cc_balance_place (b, MAX (due, most - MIN (moving, most)));
}

static void
even_loads (CcBalance *b, CcPlanner *p, const CcSliceMap *m, const Policy *y,
            guint limit, gint64 now)
{
  limit -= MIN (limit, fill_joining (b, p, m, limit, now));
  even_out (b, p, y, limit, now);
}

/* Chooses what moves.  Units without a home go first: a hot key is split only
 * in a CALM map, in which no unit was on its way when it was read, or each
 * split would hold up a server that leaves.  Returns how many changes were made
 * to M itself. */
static guint
choose_moves (CcBalance *b, CcPlanner *p, CcSliceMap *m, gboolean calm,
              const Policy *y, gboolean idle, gint64 now)
{
  guint most = MAX (MOVING_LEAST, cc_slicemap_units (m) / MOVING_PART);
  guint moving = cc_slicemap_moving (m);
  guint placed = place_homeless (b, p, most, moving, now);
  guint limit = most - MIN (most, moving + placed);

  if (!cc_unit_loads_known (p->loads, now))
    return 0;
  if (idle)
    {
      cc_balance_rebalance (b, 1, limit);
      return 0;
    }
  if (calm && placed == 0 && plan_hot (p, m, b, y, now) > 0)
    return 1;
  even_loads (b, p, m, y, limit, now);
  return 0;
}

/* Changes M, read at m->version, by one step at NOW.  REPORTS maps a server's
 * name to its CcServerReport.  Returns how many changes were made; with none
 * there is nothing to write. */
guint
cc_planner_step (CcPlanner *p, CcSliceMap *m, const CcPool *pool,
                 const CcRoster *roster, GHashTable *reports, gint64 now)
{
  const Policy *y = &policies[pool->prefer];
  g_autoptr (GByteArray) on_way = units_on_their_way (m);
  gboolean calm = memchr (on_way->data, TRUE, on_way->len) == NULL;
  gboolean idle = total_load (p, m) <= 0;
  CcBalance *b = cc_balance_new ();
  guint changes;

  cc_move_versions_update (p->stamps, m);
  changes = cc_moves_update (m, roster, reports, p->stamps);
  time_moves (p, m, now);
  note_standings (p, m, now);
  add_servers (b, p, m, idle, now);
  note_doubt (b, m, reports);
  add_units (b, p, m, on_way, y, now);
  cc_balance_prepare (b);
  p->imbalance = idle ? 0 : cc_balance_imbalance (b);
  changes += choose_moves (b, p, m, calm, y, idle, now);
  changes += apply_moves (p, m, b, now);
  time_moves (p, m, now);
  cc_balance_free (b);
  cc_slicemap_compact (m);
  return changes;
}

/* A step that knows no loads and no past: counts of units are evened out.  POOL
 * may be NULL. */
guint
cc_assignment_step (CcSliceMap *m, const CcPool *pool, const CcRoster *roster,
                    GHashTable *reports)
{
  const CcPool any = { .prefer = CC_PREFER_AVAILABILITY };
  CcPlanner *p = cc_planner_new ();
  guint changes;

  cc_unit_loads_start (p->loads, 1);
  changes = cc_planner_step (p, m, pool != NULL ? pool : &any, roster, reports,
                             1 + CC_UNIT_LOADS_MIN_HISTORY);
  cc_planner_free (p);
  return changes;
}
