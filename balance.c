/* Balance of measured load against churn, for one pool, without network or
 * clock.  When anything may move at all is asked elsewhere (assignment.c).
 *
 * Load pattern: keys are as uneven as castles are popular, and the unevenness
 * moves.  Evened out by count, a server with two popular slices is full while
 * others idle; hashed anew modulo the servers, a join or leave moves nearly
 * every key.
 *
 * So units are weighed by the work they bring, and each step takes the one
 * move that helps most: from the server that is furthest above its target to
 * the one furthest below, the largest unit that fits.  Large first is what
 * keeps the number of moves small.  The weighted moves under a budget of churn
 * are Slicer's (OSDI 2016).  A unit that is heavier than a server's whole
 * target is never passed around: it stays, and its neighbours move away.
 */
#include "balance.h"

/* A unit without measured load counts as this part of the mean, so that cold
 * units spread too: nobody knows which of them is the next to be hot.  Small,
 * so that evening them out never outweighs measured load. */
#define FLOOR_SHARE 0.05

/* A server that gives units to a joining one may fall this far below its
 * target.  It has little more than its target, so without it only its lightest
 * units would fit, and more of them would have to move. */
#define FILL_SLACK 0.1

/* An empty pool. */
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

static gboolean
is_fit (const CcBalance *b, gint32 server)
{
  return server >= 0 && server_at (b, server)->fit &&
         server_at (b, server)->share > 0;
}

/* Whether SERVER's dispatcher can't say yet that what it takes from it stops;
 * -1: there is no server. */
gboolean
cc_balance_is_unconfirmed (const CcBalance *b, gint32 server)
{
  return server >= 0 &&
         g_array_index (b->servers, CcBalanceServer, server).in_doubt;
}

/* Adds the server with the next index. */
void
cc_balance_add_server (CcBalance *b, gboolean fit, double share)
{
  CcBalanceServer s = { .fit = fit, .share = fit ? share : 0 };

  b->shares += s.share;
  g_array_append_val (b->servers, s);
}

/* Adds the unit with the next index. */
void
cc_balance_add_unit (CcBalance *b, const CcBalanceUnit *unit)
{
  g_array_append_val (b->units, *unit);
}

/* To be called once all are added: weighs them. */
void
cc_balance_prepare (CcBalance *b)
{
  double total = 0, least;

  for (guint i = 0; i < b->units->len; i++)
    total += unit_at (b, i)->load;
  least = total > 0 ? FLOOR_SHARE * total / b->units->len : 1;
  for (guint i = 0; i < b->units->len; i++)
    {
      CcBalanceUnit *u = unit_at (b, i);

      if (u->server < 0 && u->fixed)
        continue; /* a place for a hot key that none has */
      u->weight = u->load + least;
      b->total += u->weight;
      if (u->server >= 0)
        server_at (b, u->server)->held += u->weight;
    }
}

/* The weight that SERVER is to have: its share of all. */
double
cc_balance_target (const CcBalance *b, gint32 server)
{
  if (b->shares <= 0)
    return 0;
  return b->total * server_at (b, server)->share / b->shares;
}

/* Peak over mean: the greatest load of a server, relative to its target; 1 is
 * even.  0 if no server is fit. */
double
cc_balance_imbalance (const CcBalance *b)
{
  double worst = 0;

  for (gint32 i = 0; i < (gint32) b->servers->len; i++)
    if (is_fit (b, i))
      worst = MAX (worst, server_at (b, i)->held / cc_balance_target (b, i));
  return worst;
}

/* The server whose load, with WEIGHT more, is lowest for its share; -1 if none
 * is fit. */
gint32
cc_balance_least_loaded (const CcBalance *b, double weight)
{
  gint32 best = -1;
  double best_load = 0;

  for (gint32 i = 0; i < (gint32) b->servers->len; i++)
    {
      const CcBalanceServer *s = server_at (b, i);
      double load = is_fit (b, i) ? (s->held + weight) / s->share : 0;

      if (!is_fit (b, i) || (best >= 0 && load >= best_load))
        continue;
      best = i;
      best_load = load;
    }
  return best;
}

static void
move (CcBalance *b, guint unit, gint32 to)
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
} Homeless;

static gint
heavy_first (gconstpointer a, gconstpointer b)
{
  const Homeless *x = a, *y = b;

  if (x->urgent != y->urgent)
    return x->urgent ? -1 : 1;
  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return x->unit < y->unit ? -1 : 1;
}

static gboolean
is_homeless (const CcBalance *b, const CcBalanceUnit *u)
{
  return !u->fixed && (u->urgent || !is_fit (b, u->server));
}

/* How many units wait for another server, since theirs may not own them. */
guint
cc_balance_unassigned (const CcBalance *b)
{
  guint n = 0;

  for (guint i = 0; i < b->units->len; i++)
    n += is_homeless (b, &g_array_index (b->units, CcBalanceUnit, i));
  return n;
}

/* Gives units whose server may not own them to the least loaded ones, heavy
 * ones first.  Urgent ones all at once, nobody serves them; of the others LIMIT
 * at most, since their server works on until they have left, and the next
 * ones would otherwise be flooded by keys that they have to load.  Returns how
 * many moves were chosen. */
guint
cc_balance_place (CcBalance *b, guint limit)
{
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (Homeless));
  guint before = b->moves->len;

  for (guint i = 0; i < b->units->len; i++)
    {
      const CcBalanceUnit *u = unit_at (b, i);
      Homeless h = { i, u->weight, u->urgent };

      if (is_homeless (b, u))
        g_array_append_val (all, h);
    }
  g_array_sort (all, heavy_first);
  for (guint i = 0; i < all->len; i++)
    {
      const Homeless *h = &g_array_index (all, Homeless, i);
      gint32 to = cc_balance_least_loaded (b, h->weight);

      if (to < 0 || (!h->urgent && limit == 0))
        break;
      limit -= h->urgent ? 0 : 1;
      move (b, h->unit, to);
    }
  return b->moves->len - before;
}

/* How much FROM is above its target, and TO below. */
typedef struct
{
  double above;
  double below;
  double slack;     /* by how much FROM may fall below its target */
  gboolean resting; /* whether units that rest may move too */
} Gap;

static Gap
gap_between (const CcBalance *b, gint32 from, gint32 to)
{
  Gap g = { .above = server_at (b, from)->held - cc_balance_target (b, from),
            .below = cc_balance_target (b, to) - server_at (b, to)->held };

  return g;
}

/* The unit to move over gap G: the heaviest that fits into both sides, else
 * the lightest that still lowers the higher side.  Returns -1 if none does. */
static gint64
choose_unit (const CcBalance *b, gint32 from, Gap g)
{
  double room = MIN (g.above + g.slack, g.below);
  double best_fit = 0, best_over = g.above + g.below;
  gint64 fit = -1, over = -1;

  for (guint i = 0; i < b->units->len; i++)
    {
      const CcBalanceUnit *u = unit_at (b, i);

      if (u->server != from || u->fixed || (u->rests && !g.resting))
        continue;
      if (u->weight <= room && u->weight > best_fit)
        {
          best_fit = u->weight;
          fit = i;
        }
      else if (u->weight > room && u->weight < best_over * (1 - 1e-9))
        {
          best_over = u->weight;
          over = i;
        }
    }
  return fit >= 0 ? fit : over;
}

static gboolean
move_over (CcBalance *b, gint32 from, gint32 to, Gap g)
{
  gint64 unit = from != to ? choose_unit (b, from, g) : -1;

  if (unit < 0)
    return FALSE;
  move (b, (guint) unit, to);
  return TRUE;
}

/* The server furthest above its target that is not in SKIP and above GOAL
 * times the target; -1 if there is none. */
static gint32
furthest_above (const CcBalance *b, double goal, const gboolean *skip)
{
  gint32 best = -1;
  double worst = goal;

  for (gint32 i = 0; i < (gint32) b->servers->len; i++)
    {
      double load;

      if (!is_fit (b, i) || skip[i])
        continue;
      load = server_at (b, i)->held / cc_balance_target (b, i);
      if (load <= worst)
        continue;
      worst = load;
      best = i;
    }
  return best;
}

/* Moves units to SERVER until it lacks less than half a mean unit of its
 * target, LIMIT at most; each from the server that is furthest above its own.
 * What it lacks then goes into its next step of warming up; topped up at each
 * one by light units, it would take more moves in all.  Returns how many were
 * chosen. */
guint
cc_balance_fill (CcBalance *b, gint32 server, guint limit)
{
  g_autofree gboolean *skip = g_new0 (gboolean, b->servers->len + 1);
  double enough = b->total / MAX (b->units->len, 1) / 2;
  guint n = 0;

  skip[server] = TRUE;
  while (n < limit)
    {
      gint32 from = furthest_above (b, 1, skip);
      Gap g;

      if (from < 0)
        break;
      g = gap_between (b, from, server);
      g.slack = FILL_SLACK * cc_balance_target (b, from);
      g.resting = TRUE;
      if (g.below < enough)
        break;
      if (move_over (b, from, server, g))
        n++;
      else
        skip[from] = TRUE;
    }
  return n;
}

/* Moves units, LIMIT at most, until no server that can be relieved has more
 * than GOAL times its target.  Returns how many were chosen. */
guint
cc_balance_rebalance (CcBalance *b, double goal, guint limit)
{
  g_autofree gboolean *skip = g_new0 (gboolean, b->servers->len + 1);
  guint n = 0;

  while (n < limit)
    {
      gint32 from = furthest_above (b, goal, skip);
      gint32 to = cc_balance_least_loaded (b, 0);

      if (from < 0)
        break;
      if (move_over (b, from, to, gap_between (b, from, to)))
        n++;
      else
        skip[from] = TRUE;
    }
  return n;
}
