/* Splits and folds hot keys, without network or clock.
 *
 * For hours, one key alone may cause a large part of the load that a server
 * can carry; then another one does.  Left in its slice, it can be relieved
 * only by moving other slices away, and two hot keys of one slice stay
 * together.  But splitting every warm key would pause its slice each time and
 * fill the map.
 *
 * So a key is split out once dispatchers have reported it as hot for some
 * time, and only if its server is above its target.  It stays on its server if
 * that relieves it enough, else it moves to the least loaded one, and it is
 * folded back after it has been cool for some time.  Isolating hot keys
 * follows Slicer (OSDI 2016).
 */
#include "hot_units.h"

#include <math.h>

#include "ownership_moves.h"

/* A key is hot from this fraction of a server's mean target on: about the load
 * of 3 of its 14 slices. */
#define HOT_SHARE 0.2
/* It is cool below this fraction: a quarter, as hysteresis. */
#define COOL_SHARE 0.05

#define MAX_CANDIDATES 512            /* reported keys that are not split yet */
#define CANDIDATE_TTL (2 * CC_SECOND) /* ten missed reports */

typedef struct
{
  guint64 hash;
  double load;     /* slots kept busy */
  gint64 since;    /* start of uninterrupted reports, us */
  gint64 reported; /* latest report, us */
} Candidate;

struct CcHotUnits
{
  GArray *candidates;            /* of Candidate */
  gint64 cool_since[CC_HOT_MAX]; /* by place in the map, us; 0: not cool */
};

/* Returns a table without any hot keys. */
CcHotUnits *
cc_hot_units_new (void)
{
  CcHotUnits *h = g_new0 (CcHotUnits, 1);

  h->candidates = g_array_new (FALSE, TRUE, sizeof (Candidate));
  return h;
}

/* Frees H. */
void
cc_hot_units_free (CcHotUnits *h)
{
  g_array_unref (h->candidates);
  g_free (h);
}

static Candidate *
find_candidate (CcHotUnits *h, guint64 hash)
{
  for (guint i = 0; i < h->candidates->len; i++)
    if (g_array_index (h->candidates, Candidate, i).hash == hash)
      return &g_array_index (h->candidates, Candidate, i);
  return NULL;
}

/* Drops candidates without a report for CANDIDATE_TTL. */
static void
drop_expired (CcHotUnits *h, gint64 now)
{
  for (guint i = h->candidates->len; i > 0; i--)
    if (now - g_array_index (h->candidates, Candidate, i - 1).reported >
        CANDIDATE_TTL)
      g_array_remove_index_fast (h->candidates, i - 1);
}

/* Records the report HOT, a(tud) of hash, unit and load, received at NOW. */
void
cc_hot_units_update (CcHotUnits *h, GVariant *hot, gint64 now)
{
  GVariantIter iter;
  Candidate c = { .since = now, .reported = now };
  guint32 unit;

  drop_expired (h, now);
  g_variant_iter_init (&iter, hot);
  while (g_variant_iter_next (&iter, "(tud)", &c.hash, &unit, &c.load))
    {
      Candidate *old = find_candidate (h, c.hash);

      if (!isfinite (c.load) || c.load <= 0)
        continue;
      if (old != NULL)
        {
          old->load = c.load;
          old->reported = now;
        }
      else if (h->candidates->len < MAX_CANDIDATES)
        g_array_append_val (h->candidates, c);
    }
}

/* The target of a server with a full share. */
static double
mean_target (const CcBalance *b)
{
  return b->shares > 0 ? b->total / b->shares : 0;
}

/* SERVER's load relative to its target. */
static double
server_load (const CcBalance *b, gint32 server)
{
  double target = cc_balance_target (b, server);

  return target > 0
             ? g_array_index (b->servers, CcBalanceServer, server).held / target
             : 0;
}

/* Whether C should get a unit of its own: it has been hot for long enough, its
 * slice is not moving, and its server is overloaded and can confirm soon that
 * it has stopped serving the slice. */
static gboolean
should_split (const Candidate *c, const CcSliceMap *m, const CcBalance *b,
              const CcHotPolicy *y, gint64 now)
{
  guint unit = cc_slicemap_unit (m, c->hash);
  const CcMapSlice *s = cc_slicemap_at (m, unit);

  return unit < m->slices->len && s->from < 0 && s->server >= 0 &&
         cc_moves_can_own (m, s->server) &&
         !cc_balance_is_unconfirmed (b, s->server) &&
         c->load >= HOT_SHARE * mean_target (b) &&
         now - c->since >= y->min_hot &&
         server_load (b, s->server) > y->trigger;
}

/* The candidate with the highest load that should be split, or NULL. */
static const Candidate *
hottest_to_split (const CcHotUnits *h, const CcSliceMap *m, const CcBalance *b,
                  const CcHotPolicy *y, gint64 now)
{
  const Candidate *best = NULL;

  for (guint i = 0; i < h->candidates->len; i++)
    {
      const Candidate *c = &g_array_index (h->candidates, Candidate, i);

      if (should_split (c, m, b, y, now) &&
          (best == NULL || c->load > best->load))
        best = c;
    }
  return best;
}

/* The server for C: the least loaded one if C leaves it below the load of the
 * present one, else the present one. */
static gint32
choose_server (const Candidate *c, const CcSliceMap *m, const CcBalance *b)
{
  gint32 here = cc_slicemap_at (m, cc_slicemap_unit (m, c->hash))->server;
  gint32 least = cc_balance_least_loaded (b, c->load);
  double there;

  if (least < 0 || least == here)
    return here;
  there = g_array_index (b->servers, CcBalanceServer, least).held + c->load;
  return there < g_array_index (b->servers, CcBalanceServer, here).held ? least
                                                                        : here;
}

/* Splits the hottest key that qualifies.  Returns its unit, or -1. */
gint32
cc_hot_units_split (CcHotUnits *h, CcSliceMap *m, CcUnitLoads *loads,
                    const CcBalance *b, const CcHotPolicy *y, gint64 now)
{
  const Candidate *c;
  guint slice;
  gint32 unit;

  drop_expired (h, now);
  c = hottest_to_split (h, m, b, y, now);
  if (c == NULL)
    return -1;
  slice = cc_slicemap_unit (m, c->hash);
  unit = cc_moves_split (m, c->hash, choose_server (c, m, b));
  if (unit < 0)
    return -1;
  cc_unit_loads_set (loads, (guint) unit, c->load);
  cc_unit_loads_set (loads, slice, cc_unit_loads_of (loads, slice) - c->load);
  h->cool_since[(guint) unit - m->slices->len] = 0;
  return unit;
}

/* Whether UNIT has been cool for long enough.  Updates since when it is cool.
 */
static gboolean
has_cooled (CcHotUnits *h, const CcSliceMap *m, guint unit, double load,
            const CcBalance *b, const CcHotPolicy *y, gint64 now)
{
  gint64 *since = &h->cool_since[unit - m->slices->len];

  if (cc_slicemap_hot (m, unit)->state != CC_HOT_SPLIT ||
      load >= COOL_SHARE * mean_target (b))
    {
      *since = 0;
      return FALSE;
    }
  if (*since == 0)
    *since = now;
  return now - *since >= y->min_cool;
}

/* Folds back one key that has been cool for long enough.  Returns whether
 * there was one. */
gboolean
cc_hot_units_fold (CcHotUnits *h, CcSliceMap *m, CcUnitLoads *loads,
                   const CcBalance *b, const CcHotPolicy *y, gint64 now)
{
  for (guint i = m->slices->len; i < cc_slicemap_units (m); i++)
    {
      double load = cc_unit_loads_of (loads, i);
      guint slice = cc_slicemap_slice (m, cc_slicemap_hot (m, i)->hash);

      if (!has_cooled (h, m, i, load, b, y, now) ||
          cc_balance_is_unconfirmed (b, cc_slicemap_at (m, i)->server) ||
          cc_balance_is_unconfirmed (b, cc_slicemap_at (m, slice)->server) ||
          !cc_moves_fold (m, i))
        continue;
      cc_unit_loads_set (loads, i, 0);
      cc_unit_loads_set (loads, slice, cc_unit_loads_of (loads, slice) + load);
      return TRUE;
    }
  return FALSE;
}
