/* Balances measured load against churn within one pool, without network or
 * clock.  assignment.c decides when units may move at all.
 *
 * Load is unevenly distributed over keys, and the distribution shifts.
 * Balanced by count, a server with two popular slices is full while others
 * idle; rehashed modulo the number of servers, a join or leave moves nearly
 * every key.
 *
 * Units are therefore weighted by the work they cause, and each step makes the
 * most effective move: from the server furthest above its target to the one
 * furthest below, the largest unit that fits.  Moving large units first keeps
 * the number of moves small.  Weighted moves under a churn budget follow
 * Slicer (OSDI 2016).  A unit heavier than a server's whole target is never
 * moved; its neighbours move away instead.
 */
#include "balance.h"

/* A unit without measured load counts as this fraction of the mean, so that
 * cold units are spread too: any of them may become hot.  It is small enough
 * that measured load always dominates. */
#define MIN_LOAD_SHARE 0.05

/* A server that gives units to a joining one may fall below its target by this
 * fraction.  A typical server is barely above its target, so without slack
 * only its lightest units would fit, and more of them would have to move. */
#define FILL_SLACK 0.1

/* Returns an empty pool. */
CcBalance *
cc_balance_new (void)
{
  CcBalance *b = g_new0 (CcBalance, 1);

  b->servers = g_array_new (FALSE, TRUE, sizeof (CcBalanceServer));
  b->units = g_array_new (FALSE, TRUE, sizeof (CcBalanceUnit));
  b->moves = g_array_new (FALSE, TRUE, sizeof (CcBalanceMove));
  return b;
}

/* Frees B. */
void
cc_balance_free (CcBalance *b)
{
  g_array_unref (b->servers);
  g_array_unref (b->units);
  g_array_unref (b->moves);
  g_free (b);
}

static CcBalanceServer *
server_at (const CcBalance *b, gint32 i)
{
  return &g_array_index (b->servers, CcBalanceServer, i);
}

static CcBalanceUnit *
unit_at (const CcBalance *b, guint i)
{
  return &g_array_index (b->units, CcBalanceUnit, i);
}

/* Whether SERVER may get units. */
static gboolean
is_eligible (const CcBalance *b, gint32 server)
{
  return server >= 0 && server_at (b, server)->eligible &&
         server_at (b, server)->share > 0;
}

/* Whether SERVER's dispatcher cannot yet confirm that units taken from it have
 * stopped.  SERVER may be -1 for none. */
gboolean
cc_balance_is_unconfirmed (const CcBalance *b, gint32 server)
{
  return server >= 0 &&
         g_array_index (b->servers, CcBalanceServer, server).unconfirmed;
}

/* Adds the server with the next index. */
void
cc_balance_add_server (CcBalance *b, gboolean eligible, double share)
{
  CcBalanceServer s = { .eligible = eligible, .share = eligible ? share : 0 };

  b->shares += s.share;
  g_array_append_val (b->servers, s);
}

/* Adds the unit with the next index. */
void
cc_balance_add_unit (CcBalance *b, const CcBalanceUnit *unit)
{
  g_array_append_val (b->units, *unit);
}

/* Computes the weights.  Call it once after all servers and units are added.
 */
void
cc_balance_prepare (CcBalance *b)
{
  double total = 0, least;

  for (guint i = 0; i < b->units->len; i++)
    total += unit_at (b, i)->load;
  least = total > 0 ? MIN_LOAD_SHARE * total / b->units->len : 1;
  for (guint i = 0; i < b->units->len; i++)
    {
      CcBalanceUnit *u = unit_at (b, i);

      if (u->server < 0 && u->fixed)
        continue; /* an unused place for a hot key */
      u->weight = u->load + least;
      b->total += u->weight;
      if (u->server >= 0)
        server_at (b, u->server)->held += u->weight;
    }
}

/* The weight that SERVER should carry: its share of the total. */
double
cc_balance_target (const CcBalance *b, gint32 server)
{
  if (b->shares <= 0)
    return 0;
  return b->total * server_at (b, server)->share / b->shares;
}

/* Peak over mean: the highest load of a server relative to its target; 1 is
 * even, 0 if no server is eligible. */
double
cc_balance_imbalance (const CcBalance *b)
{
  double worst = 0;

  for (gint32 i = 0; i < (gint32) b->servers->len; i++)
    if (is_eligible (b, i))
      worst = MAX (worst, server_at (b, i)->held / cc_balance_target (b, i));
  return worst;
}

/* The server whose load per share, with WEIGHT added, is lowest; -1 if none is
 * eligible. */
gint32
cc_balance_least_loaded (const CcBalance *b, double weight)
{
  gint32 best = -1;
  double best_load = 0;

  for (gint32 i = 0; i < (gint32) b->servers->len; i++)
    {
      const CcBalanceServer *s = server_at (b, i);
      double load = is_eligible (b, i) ? (s->held + weight) / s->share : 0;

      if (!is_eligible (b, i) || (best >= 0 && load >= best_load))
        continue;
      best = i;
      best_load = load;
    }
  return best;
}

static void
apply_move (CcBalance *b, guint unit, gint32 to)
{
  CcBalanceUnit *u = unit_at (b, unit);
  CcBalanceMove m = { unit, to };

  if (u->server >= 0)
    server_at (b, u->server)->held -= u->weight;
  server_at (b, to)->held += u->weight;
  u->server = to;
  u->fixed = TRUE;
  g_array_append_val (b->moves, m);
}

typedef struct
{
  guint unit;
  double weight;
  gboolean urgent;
} Unassigned;

/* Orders urgent units first, then heavier ones. */
static gint
compare_unassigned (gconstpointer a, gconstpointer b)
{
  const Unassigned *x = a, *y = b;

  if (x->urgent != y->urgent)
    return x->urgent ? -1 : 1;
  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return x->unit < y->unit ? -1 : 1;
}

/* Whether U needs another server and may move. */
static gboolean
is_unassigned (const CcBalance *b, const CcBalanceUnit *u)
{
  return !u->fixed && (u->urgent || !is_eligible (b, u->server));
}

/* Counts the units that need another server since theirs may not own them. */
guint
cc_balance_unassigned (const CcBalance *b)
{
  guint n = 0;

  for (guint i = 0; i < b->units->len; i++)
    n += is_unassigned (b, &g_array_index (b->units, CcBalanceUnit, i));
  return n;
}

/* Moves units whose server may not own them to the least loaded servers,
 * heaviest first.  All urgent units move at once, since no server serves them;
 * at most LIMIT of the others, whose server still serves them, so that the new
 * servers are not overloaded by keys that they have to load.  Returns the
 * number of moves. */
guint
cc_balance_place (CcBalance *b, guint limit)
{
  g_autoptr (GArray) unassigned =
      g_array_new (FALSE, FALSE, sizeof (Unassigned));
  guint before = b->moves->len;

  for (guint i = 0; i < b->units->len; i++)
    {
      const CcBalanceUnit *u = unit_at (b, i);
      Unassigned h = { i, u->weight, u->urgent };

      if (is_unassigned (b, u))
        g_array_append_val (unassigned, h);
    }
  g_array_sort (unassigned, compare_unassigned);
  for (guint i = 0; i < unassigned->len; i++)
    {
      const Unassigned *h = &g_array_index (unassigned, Unassigned, i);
      gint32 to = cc_balance_least_loaded (b, h->weight);

      if (to < 0 || (!h->urgent && limit == 0))
        break;
      limit -= h->urgent ? 0 : 1;
      apply_move (b, h->unit, to);
    }
  return b->moves->len - before;
}

/* How far FROM is above its target and TO below its own. */
typedef struct
{
  double above;
  double below;
  double slack;             /* how far FROM may fall below its target */
  gboolean ignore_cooldown; /* units on cooldown may move too */
} LoadGap;

static LoadGap
gap_between (const CcBalance *b, gint32 from, gint32 to)
{
  LoadGap g = { .above =
                    server_at (b, from)->held - cc_balance_target (b, from),
                .below = cc_balance_target (b, to) - server_at (b, to)->held };

  return g;
}

/* Chooses the unit to move across gap G: the heaviest that fits both sides,
 * else the lightest that still lowers the higher side.  Returns -1 if there is
 * none. */
static gint64
choose_unit (const CcBalance *b, gint32 from, LoadGap g)
{
  double max_weight = MIN (g.above + g.slack, g.below);
  double best_fit = 0, best_over = g.above + g.below;
  gint64 fit = -1, over = -1;

  for (guint i = 0; i < b->units->len; i++)
    {
      const CcBalanceUnit *u = unit_at (b, i);

      if (u->server != from || u->fixed ||
          (u->on_cooldown && !g.ignore_cooldown))
        continue;
      if (u->weight <= max_weight && u->weight > best_fit)
        {
          best_fit = u->weight;
          fit = i;
        }
      else if (u->weight > max_weight && u->weight < best_over * (1 - 1e-9))
        {
          best_over = u->weight;
          over = i;
        }
    }
  return fit >= 0 ? fit : over;
}

/* Moves one unit across gap G. Returns FALSE if none fits. */
static gboolean
move_between (CcBalance *b, gint32 from, gint32 to, LoadGap g)
{
  gint64 unit = from != to ? choose_unit (b, from, g) : -1;

  if (unit < 0)
    return FALSE;
  apply_move (b, (guint) unit, to);
  return TRUE;
}

/* The server not in SKIP that is furthest above GOAL times its target; -1 if
 * there is none. */
static gint32
most_overloaded (const CcBalance *b, double goal, const gboolean *skip)
{
  gint32 best = -1;
  double worst = goal;

  for (gint32 i = 0; i < (gint32) b->servers->len; i++)
    {
      double load;

      if (!is_eligible (b, i) || skip[i])
        continue;
      load = server_at (b, i)->held / cc_balance_target (b, i);
      if (load <= worst)
        continue;
      worst = load;
      best = i;
    }
  return best;
}

/* Moves at most LIMIT units to SERVER until it is within half a mean unit of
 * its target, each from the server furthest above its own.  The rest is left
 * to the next warm-up step: topping up with light units at each step would
 * take more moves in total.  Returns the number of moves. */
guint
cc_balance_fill (CcBalance *b, gint32 server, guint limit)
{
  g_autofree gboolean *skip = g_new0 (gboolean, b->servers->len + 1);
  double min_gap = b->total / MAX (b->units->len, 1) / 2;
  guint n = 0;

  skip[server] = TRUE;
  while (n < limit)
    {
      gint32 from = most_overloaded (b, 1, skip);
      LoadGap g;

      if (from < 0)
        break;
      g = gap_between (b, from, server);
      g.slack = FILL_SLACK * cc_balance_target (b, from);
      g.ignore_cooldown = TRUE;
      if (g.below < min_gap)
        break;
      if (move_between (b, from, server, g))
        n++;
      else
        skip[from] = TRUE;
    }
  return n;
}

/* Moves at most LIMIT units, until no server that can give units away carries
 * more than GOAL times its target.  Returns the number of moves. */
guint
cc_balance_rebalance (CcBalance *b, double goal, guint limit)
{
  g_autofree gboolean *skip = g_new0 (gboolean, b->servers->len + 1);
  guint n = 0;

  while (n < limit)
    {
      gint32 from = most_overloaded (b, goal, skip);
      gint32 to = cc_balance_least_loaded (b, 0);

      if (from < 0)
        break;
      if (move_between (b, from, to, gap_between (b, from, to)))
        n++;
      else
        skip[from] = TRUE;
    }
  return n;
}
