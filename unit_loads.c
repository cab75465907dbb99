/* Loads come in with the reports of the servers' dispatchers, each for the
 * units its server owns.  Without network or clock. */
#include "unit_loads.h"

#include <math.h>

#define UNITS_MAX (65536 + CC_HOT_MAX) /* as many as a document allows */

typedef struct
{
  double load;  /* slots kept busy */
  gint64 taken; /* report that named it, or faded it, last, us */
} UnitLoad;

struct CcUnitLoads
{
  GArray *units; /* of UnitLoad */
  gint64 first;  /* reports have come since then, us; 0: none yet */
  gint64 last;   /* latest report, us */
};

/* No loads known. */
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

static void
fade (UnitLoad *u, gint64 now)
{
  if (u->taken > 0 && now > u->taken)
    u->load *= exp (-(double) (now - u->taken) / (double) CC_UNIT_LOADS_DECAY);
  u->taken = now;
}

/* Reports come in from NOW on, if they did not before. */
void
cc_unit_loads_start (CcUnitLoads *l, gint64 now)
{
  if (l->first == 0)
    l->first = now;
}

/* Takes in LOADS, a(ud) of unit and load, reported at NOW for SERVER.  Units
 * that are not the server's in M are passed over: the report is older than
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
    l->first = 0; /* this assigner was not the active one for a while */
  l->last = now;
  cc_unit_loads_start (l, now);
  g_variant_iter_init (&iter, loads);
  while (g_variant_iter_next (&iter, "(ud)", &unit, &load))
    {
      if (unit >= MIN (cc_slicemap_units (m), UNITS_MAX) || !isfinite (load) ||
          load < 0 || cc_slicemap_at (m, unit)->server != index)
        continue;
      load_at (l, unit)->load = load;
      load_at (l, unit)->taken = now;
    }
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    if (cc_slicemap_at (m, i)->server == index && load_at (l, i)->taken < now)
      fade (load_at (l, i), now);
}

/* The load of UNIT as known, in slots kept busy. */
double
cc_unit_loads_of (const CcUnitLoads *l, guint unit)
{
  if (unit >= l->units->len)
    return 0;
  return g_array_index (l->units, UnitLoad, unit).load;
}

/* Puts down LOAD for UNIT, which was just split or folded, until its
 * dispatcher has measured it. */
void
cc_unit_loads_set (CcUnitLoads *l, guint unit, double load)
{
  load_at (l, unit)->load = MAX (load, 0);
}

/* Whether loads have come in for long enough to be acted on. */
gboolean
cc_unit_loads_known (const CcUnitLoads *l, gint64 now)
{
  return l->first > 0 && now - l->first >= CC_UNIT_LOADS_MIN_HISTORY;
}
