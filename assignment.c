/* Assignment planner: one step computes the next slice map of a pool from the
 * current map, the roster and the reports of dispatchers.  No network access
 * and no clock; time is passed in.
 *
 * ownership_moves.c keeps moves safe and balance.c chooses the destination of
 * each unit.  This file decides when units move:
 *
 *  - A unit whose server may not own it moves at once.  A leaving server's
 *    units move in batches, so that their new servers are not overloaded.
 *    While table writes are slow, units already moving to a server that leaves
 *    or is lost are redirected.
 *  - A joining server is filled in steps up to its full share
 *    (server_shares.c).
 *  - Otherwise units move only after the imbalance has exceeded a trigger for
 *    a minimum time, until it falls below a lower goal, within a budget of
 *    moves.  Without that hysteresis and minimum time, noise in the measured
 *    loads would cause endless moves; without the budget, rapidly changing
 *    load would.  A unit that has moved is not moved again for a cooldown.
 *
 * The pool's `prefer` setting selects these values.  The move budget follows
 * Slicer (OSDI 2016), the paced draining of a server follows Shard Manager
 * (SOSP 2021).
 */
#include "assignment.h"

#include <string.h>

#include "balance.h"
#include "log.h"
#include "server_shares.h"

typedef struct
{
  double trigger;      /* imbalance above which units move */
  double goal;         /* imbalance at which they stop */
  gint64 min_duration; /* above the trigger before units move, us */
  gint64 cooldown;     /* before a unit may move again, us */
  double burst;        /* largest budget, as a fraction of the units */
  double hourly; /* budget regained per hour, as a fraction of the units */
  CcHotPolicy hot;
} Policy;

/* The measured load of a server varies by 3% (CC_METER_TIME at 30 requests a
 * second), and the largest of 18 by 6%: triggers are well above that and below
 * 1.25, the imbalance that users aim for.  Cooldowns are long compared with
 * CC_METER_TIME, the time to measure a moved unit again.  A hot key is
 * split out before rebalancing starts, since moving its neighbours instead
 * would use up the budget. */
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

/* Units that may move concurrently: 1/MOVING_DIVISOR of all, at least
 * MIN_MOVING. */
#define MIN_MOVING 8
#define MOVING_DIVISOR 32
/* A leaving server is drained within this time even if each move is slow: its
 * process exits regardless of what it still owns. */
#define DRAIN_TIME CC_SECOND
#define MOVE_TIME_SMOOTHING 8 /* the newest move counts 1/8 */

#define SLOW_MOVE (500 * CC_MS) /* logged as a warning */
#define HOUR (3600 * CC_SECOND)

/* Returns a planner without any history. */
CcPlanner *
cc_planner_new (void)
{
  CcPlanner *p = g_new0 (CcPlanner, 1);

  p->loads = cc_unit_loads_new ();
  p->hot = cc_hot_units_new ();
  p->shares = cc_server_shares_new ();
  p->move_versions = cc_move_versions_new ();
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
  cc_server_shares_free (p->shares);
  cc_move_versions_free (p->move_versions);
  g_array_unref (p->moved_at);
  g_array_unref (p->began);
  g_free (p);
}

/* Sets the typical time of a table write to TYPICAL us. */
void
cc_planner_set_write_time (CcPlanner *p, gint64 typical)
{
  p->typical_write = typical;
}

/* Returns the entry of UNIT in TIMES, which grows as needed. */
static gint64 *
time_at (GArray *times, guint unit)
{
  if (unit >= times->len)
    g_array_set_size (times, unit + 1);
  return &g_array_index (times, gint64, unit);
}

/* Adds a completed move of SPAN us to the statistics. */
static void
record_move (CcPlanner *p, gint64 span)
{
  p->move_time += span;
  p->ended++;
  p->typical_move =
      p->typical_move == 0
          ? span
          : p->typical_move + (span - p->typical_move) / MOVE_TIME_SMOOTHING;
}

/* Measures how long moving units have been without an owner. */
static void
measure_moves (CcPlanner *p, const CcSliceMap *m, gint64 now)
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
      slow += now - *began > SLOW_MOVE;
      longest = MAX (longest, now - *began);
      record_move (p, now - *began);
      *began = 0;
    }
  if (slow > 0)
    cc_log (CC_LOG_WARNING, "move",
            "%u units of %s were without an owner for up to %" G_GINT64_FORMAT
            " ms",
            slow, m->pool, longest / CC_MS);
}

/* Whether any unit of M has an owner. */
static gboolean
is_owned (const CcSliceMap *m)
{
  for (guint i = 0; i < m->slices->len; i++)
    if (cc_slicemap_at (m, i)->server >= 0)
      return TRUE;
  return FALSE;
}

/* The first servers of a pool count as warm.  If they were filled like joining
 * servers, each to its exact share at every step, noise in the loads would
 * keep units moving between them. */
static void
update_shares (CcPlanner *p, const CcSliceMap *m, gint64 now)
{
  gboolean starts = !is_owned (m);

  for (gint32 i = 0; i < (gint32) m->servers->len; i++)
    {
      const CcMapServer *s = cc_slicemap_server (m, i);

      cc_server_shares_update (p->shares, s->name, s->state,
                               starts || cc_slicemap_owned (m, i) > 0, now);
    }
}

/* The measured load of all units, in slots kept busy. */
static double
total_load (const CcPlanner *p, const CcSliceMap *m)
{
  double total = 0;

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    total += cc_unit_loads_of (p->loads, i);
  return total;
}

/* In a pool without load servers need no warm-up and get their full shares.  If
 * no server has a share, all live servers get a full one, so that every key
 * has an owner. */
static void
add_servers (CcBalance *b, CcPlanner *p, const CcSliceMap *m, gboolean idle,
             gint64 now)
{
  gboolean any = FALSE;

  for (guint i = 0; i < m->servers->len; i++)
    any |= cc_moves_can_own (m, (gint32) i) &&
           cc_server_shares_of (
               p->shares, cc_slicemap_server (m, (gint32) i)->name, now) > 0;
  for (guint i = 0; i < m->servers->len; i++)
    {
      const CcMapServer *s = cc_slicemap_server (m, (gint32) i);
      double share = cc_server_shares_of (p->shares, s->name, now);

      if (!any || (idle && share > 0))
        share = 1;
      cc_balance_add_server (b, cc_moves_can_own (m, (gint32) i), share);
    }
}

/* Whether the server of S serves it: it is live, or leaving. */
static gboolean
is_served (const CcSliceMap *m, const CcMapSlice *s)
{
  const CcMapServer *server = cc_slicemap_server (m, s->server);

  return server != NULL && (server->state == CC_SERVER_LIVE ||
                            server->state == CC_SERVER_LEAVING);
}

/* Returns a flag for each unit of M, as read: whether it is moving, alone or
 * with its server.  Such a unit may not start another move in the step that
 * ends this one: its next dispatcher passes its outcomes on only after it has
 * been the owner in a map that was written. */
static GByteArray *
units_in_move (const CcSliceMap *m)
{
  GByteArray *in_move = g_byte_array_new ();

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      const CcMapSlice *s = cc_slicemap_at (m, i);
      const CcMapServer *owner = cc_slicemap_server (m, s->server);
      guint8 moves = s->from >= 0 || (owner != NULL && owner->from[0] != '\0');

      g_byte_array_append (in_move, &moves, 1);
    }
  return in_move;
}

/* Marks servers whose dispatcher cannot confirm that anything has stopped. */
static void
mark_unconfirmed (CcBalance *b, const CcSliceMap *m, GHashTable *reports)
{
  for (guint i = 0; i < m->servers->len; i++)
    g_array_index (b->servers, CcBalanceServer, i).unconfirmed =
        cc_moves_is_unconfirmed (m, (gint32) i, reports);
}

/* Whether a move takes longer than DRAIN_TIME.  Only then are moving units
 * redirected: a redirected unit stays without an owner until one more map is
 * applied, but needs no second move. */
static gboolean
writes_are_slow (const CcPlanner *p)
{
  return 2 * p->typical_write > DRAIN_TIME;
}

/* Adds the units of M to B, with the restrictions on their moves. */
static void
add_units (CcBalance *b, CcPlanner *p, const CcSliceMap *m,
           const GByteArray *in_move, const Policy *y, gint64 now)
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
        .fixed = !redirect && (s->from >= 0 || !is_unit || in_move->data[i] ||
                               cc_balance_is_unconfirmed (b, s->server)),
        .on_cooldown = moved > 0 && now - moved < y->cooldown,
        .urgent = redirect || (is_unit && !is_served (m, s))
      };

      cc_balance_add_unit (b, &u);
    }
}

/* Fills servers that are warming up, by at most LIMIT moves.  Returns the
 * number of moves. */
static guint
fill_joining (CcBalance *b, const CcPlanner *p, const CcSliceMap *m,
              guint limit, gint64 now)
{
  guint n = 0;

  for (gint32 i = 0; i < (gint32) m->servers->len; i++)
    if (cc_moves_can_own (m, i) &&
        cc_server_shares_of (p->shares, cc_slicemap_server (m, i)->name, now) >
            0 &&
        cc_server_shares_is_warming (p->shares, cc_slicemap_server (m, i)->name,
                                     now))
      n += cc_balance_fill (b, i, limit - n);
  return n;
}

/* Adds the budget regained since the last call, up to its maximum. */
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

/* Whether the imbalance has exceeded the trigger for long enough. */
static gboolean
needs_rebalance (CcPlanner *p, const Policy *y, gint64 now)
{
  if (p->imbalance <= y->trigger)
    {
      p->above_trigger_since = 0;
      return FALSE;
    }
  if (p->above_trigger_since == 0)
    p->above_trigger_since = now;
  return now - p->above_trigger_since >= y->min_duration;
}

/* Moves units until the imbalance reaches the goal, within the budget and
 * LIMIT. */
static void
rebalance (CcBalance *b, CcPlanner *p, const Policy *y, guint limit, gint64 now)
{
  renew_budget (p, y, b->units->len, now);
  if (!needs_rebalance (p, y, now))
    return;
  limit = MIN (limit, (guint) p->budget);
  p->budget -= cc_balance_rebalance (b, y->goal, limit);
}

/* Applies the chosen moves to M. Returns their number. */
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

/* Splits or folds one key per step, since each pauses a slice. */
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

/* Expected duration of a move that starts now, us; 0: unknown.  A move takes
 * two consecutive writes; past moves don't show that the table has become slow
 * since. */
static gint64
move_expected (const CcPlanner *p)
{
  return MAX (p->typical_move, 2 * p->typical_write);
}

/* How many of the UNASSIGNED units have to move now so that the last one moves
 * within DRAIN_TIME of the first at the expected duration of a move. */
static guint
unassigned_due (CcPlanner *p, guint unassigned, gint64 now)
{
  gint64 expected = move_expected (p);
  gint64 left;

  if (unassigned == 0)
    p->unassigned_since = 0;
  else if (p->unassigned_since == 0)
    p->unassigned_since = now;
  if (unassigned == 0 || expected == 0)
    return 0;
  left = p->unassigned_since + DRAIN_TIME - now;
  if (left <= expected)
    return unassigned;
  return (guint) ((gint64) unassigned * expected / left);
}

/* Moves a batch of units away from servers that may not own them.  Returns
 * their number. */
static guint
place_unassigned (CcBalance *b, CcPlanner *p, guint most, guint moving,
                  gint64 now)
{
  guint due = unassigned_due (p, cc_balance_unassigned (b), now);

  return cc_balance_place (b, MAX (due, most - MIN (moving, most)));
}

/* Fills joining servers and then rebalances, by at most LIMIT moves. */
static void
balance_loads (CcBalance *b, CcPlanner *p, const CcSliceMap *m, const Policy *y,
               guint limit, gint64 now)
{
  limit -= MIN (limit, fill_joining (b, p, m, limit, now));
  rebalance (b, p, y, limit, now);
}

/* Chooses the moves of this step.  Unassigned units come first.  A hot key is
 * split only if SETTLED, that is if no unit was moving in the map as read;
 * otherwise each split would delay the draining of a leaving server.  Returns
 * the number of changes made to M directly. */
static guint
choose_moves (CcBalance *b, CcPlanner *p, CcSliceMap *m, gboolean settled,
              const Policy *y, gboolean idle, gint64 now)
{
  guint most = MAX (MIN_MOVING, cc_slicemap_units (m) / MOVING_DIVISOR);
  guint moving = cc_slicemap_moving (m);
  guint placed = place_unassigned (b, p, most, moving, now);
  guint limit = most - MIN (most, moving + placed);

  if (!cc_unit_loads_known (p->loads, now))
    return 0;
  if (idle)
    {
      cc_balance_rebalance (b, 1, limit);
      return 0;
    }
  if (settled && placed == 0 && plan_hot (p, m, b, y, now) > 0)
    return 1;
  balance_loads (b, p, m, y, limit, now);
  return 0;
}

/* Advances M, read at version m->version, by one step at NOW (us).  REPORTS
 * maps server names to CcServerReport.  Returns the number of changes; if 0,
 * there is nothing to write. */
guint
cc_planner_step (CcPlanner *p, CcSliceMap *m, const CcPool *pool,
                 const CcRoster *roster, GHashTable *reports, gint64 now)
{
  const Policy *y = &policies[pool->prefer];
  g_autoptr (GByteArray) in_move = units_in_move (m);
  gboolean settled = memchr (in_move->data, TRUE, in_move->len) == NULL;
  gboolean idle = total_load (p, m) <= 0;
  CcBalance *b = cc_balance_new ();
  guint changes;

  cc_move_versions_update (p->move_versions, m);
  changes = cc_moves_update (m, roster, reports, p->move_versions);
  measure_moves (p, m, now);
  update_shares (p, m, now);
  add_servers (b, p, m, idle, now);
  mark_unconfirmed (b, m, reports);
  add_units (b, p, m, in_move, y, now);
  cc_balance_prepare (b);
  p->imbalance = idle ? 0 : cc_balance_imbalance (b);
  changes += choose_moves (b, p, m, settled, y, idle, now);
  changes += apply_moves (p, m, b, now);
  measure_moves (p, m, now);
  cc_balance_free (b);
  cc_slicemap_compact (m);
  return changes;
}

/* Runs one step without load reports or history: units are balanced by count.
 * POOL may be NULL. */
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
