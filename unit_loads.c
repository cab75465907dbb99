/* Records the load reports of the dispatchers, each for the units that a
 * server owns, without network or clock. */
#include "unit_loads.h"

#include <math.h>

#define MAX_UNITS (65536 + CC_HOT_MAX) /* the limit of a document */

typedef struct
{
  double load;    /* slots kept busy */
  gint64 updated; /* last reported or decayed, us */
} UnitLoad;

struct CcUnitLoads
{
  GArray *units; /* of UnitLoad */
  gint64 first;  /* start of uninterrupted reports, us; 0: none yet */
  gint64 last;   /* latest report, us */
};

/* Returns a table without any loads. */
CcUnitLoads *
cc_unit_loads_new (void)
{
  CcUnitLoads *l = g_new0 (CcUnitLoads, 1);

  l->units = g_array_new (FALSE, TRUE, sizeof (UnitLoad));
  return l;
}

/* Frees L. */
void
cc_unit_loads_free (CcUnitLoads *l)
{
  g_array_unref (l->units);
  g_free (l);
}

static UnitLoad *
load_at (CcUnitLoads *l, guint unit)
{
  if (unit >= l->units->len)
    g_array_set_size (l->units, unit + 1);
  return &g_array_index (l->units, UnitLoad, unit);
}

/* Decays U up to NOW. */
static void
decay (UnitLoad *u, gint64 now)
{
  if (u->updated > 0 && now > u->updated)
    u->load *=
        exp (-(double) (now - u->updated) / (double) CC_UNIT_LOADS_DECAY);
  u->updated = now;
}

/* Starts the history at NOW, unless it has started. */
void
cc_unit_loads_start (CcUnitLoads *l, gint64 now)
{
  if (l->first == 0)
    l->first = now;
}

/* Records the report LOADS, a(ud) of unit and load, received at NOW for
 * SERVER.  Units that SERVER does not own in M are ignored: the report predates
 * their move. */
void
cc_unit_loads_update (CcUnitLoads *l, const CcSliceMap *m, const char *server,
                      GVariant *loads, gint64 now)
{
  gint32 index = cc_slicemap_find (m, server);
  GVariantIter iter;
  guint32 unit;
  double load;

  if (index < 0)
    return;
  if (now - l->last > CC_UNIT_LOADS_MIN_HISTORY)
    l->first = 0; /* this assigner was inactive for some time */
  l->last = now;
  cc_unit_loads_start (l, now);
  g_variant_iter_init (&iter, loads);
  while (g_variant_iter_next (&iter, "(ud)", &unit, &load))
    {
      if (unit >= MIN (cc_slicemap_units (m), MAX_UNITS) || !isfinite (load) ||
          load < 0 || cc_slicemap_at (m, unit)->server != index)
        continue;
      load_at (l, unit)->load = load;
      load_at (l, unit)->updated = now;
    }
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    if (cc_slicemap_at (m, i)->server == index && load_at (l, i)->updated < now)
      decay (load_at (l, i), now);
}

/* The last known load of UNIT, in slots kept busy. */
double
cc_unit_loads_of (const CcUnitLoads *l, guint unit)
{
  if (unit >= l->units->len)
    return 0;
  return g_array_index (l->units, UnitLoad, unit).load;
}

/* Sets an estimated LOAD for UNIT, which was just split or folded, until its
 * dispatcher has measured it. */
void
cc_unit_loads_set (CcUnitLoads *l, guint unit, double load)
{
  load_at (l, unit)->load = MAX (load, 0);
}

/* Whether the history is long enough for loads to be used. */
gboolean
cc_unit_loads_known (const CcUnitLoads *l, gint64 now)
{
  return l->first > 0 && now - l->first >= CC_UNIT_LOADS_MIN_HISTORY;
}
