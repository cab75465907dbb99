/* A unit's load is its arrival rate times its mean service time: the number of
 * slots that it keeps busy.  Arrivals are counted before the queue rather than
 * completed work, since an overloaded server completes the same work whatever
 * its demand, and its units would all look alike.  Both are exponentially
 * decaying averages, without network or clock. */
#include "unit_meter.h"

#include <math.h>
#include <stdlib.h>

#include "hotkeys.h"

#define MIN_ARRIVALS 0.01   /* units decayed below this are dropped */
#define MAX_HOT_REPORTED 16 /* no more keys can be hot at one server */
#define MIN_HOT_SHARE 0.02  /* minimum share of the server's load */

#define HOT_DECAY_PERIOD CC_SECOND /* 5% of CC_METER_TIME */

/* Used until a first request has been served. */
#define DEFAULT_SERVICE_TIME (5 * CC_MS)

typedef struct
{
  double arrivals; /* decayed, without the first one */
  double served;   /* decayed count of service times */
  double service;  /* decayed sum of service times, us */
  gint64 first;    /* first arrival, us */
  gint64 at;       /* time of the last decay, us */
} UnitMeter;

struct CcUnitMeter
{
  GHashTable *units; /* unit to UnitMeter */
  UnitMeter all;     /* all units together */
  CcHotKeys hot;
  gint64 hot_at; /* last decay of the hot keys, us */
};

/* Returns a meter that starts at NOW. */
CcUnitMeter *
cc_unit_meter_new (gint64 now)
{
  CcUnitMeter *m = g_new0 (CcUnitMeter, 1);

  m->units = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  m->all.first = m->all.at = m->hot_at = now;
  cc_hotkeys_init (&m->hot);
  return m;
}

/* Frees M. */
void
cc_unit_meter_free (CcUnitMeter *m)
{
  g_hash_table_unref (m->units);
  g_free (m);
}

/* The factor by which counts decay from SINCE to NOW. */
static double
decay_of (gint64 since, gint64 now)
{
  return exp (-(double) MAX (now - since, 0) / (double) CC_METER_TIME);
}

static void
decay (UnitMeter *u, gint64 now)
{
  double f = decay_of (u->at, now);

  u->arrivals *= f;
  u->served *= f;
  u->service *= f;
  u->at = now;
}

static void
decay_hot (CcUnitMeter *m, gint64 now)
{
  cc_hotkeys_decay (&m->hot, decay_of (m->hot_at, now));
  m->hot_at = now;
}

/* Records a request for the key with HASH in UNIT that arrived at NOW. */
void
cc_unit_meter_arrived (CcUnitMeter *m, guint unit, guint64 hash, gint64 now)
{
  UnitMeter *u = g_hash_table_lookup (m->units, GUINT_TO_POINTER (unit));

  decay (&m->all, now);
  m->all.arrivals += 1;
  if (now - m->hot_at > HOT_DECAY_PERIOD)
    decay_hot (m, now);
  cc_hotkeys_add (&m->hot, hash, unit);
  if (u == NULL)
    {
      u = g_new0 (UnitMeter, 1);
      u->first = u->at = now;
      g_hash_table_insert (m->units, GUINT_TO_POINTER (unit), u);
      return;
    }
  decay (u, now);
  u->arrivals += 1;
}

static void
add_service (UnitMeter *u, gint64 service, gint64 now)
{
  decay (u, now);
  u->served += 1;
  u->service += (double) service;
}

/* Records that at NOW the server completed a request in UNIT after SERVICE us.
 */
void
cc_unit_meter_served (CcUnitMeter *m, guint unit, gint64 service, gint64 now)
{
  UnitMeter *u = g_hash_table_lookup (m->units, GUINT_TO_POINTER (unit));

  add_service (&m->all, service, now);
  if (u != NULL)
    add_service (u, service, now);
}

/* Effective averaging time of U's decayed count, in seconds. */
static double
window (const UnitMeter *u, gint64 now)
{
  return (1 - decay_of (u->first, now)) * CC_METER_TIME / CC_SECOND;
}

/* The mean service time of U in seconds; until one is known that of ALL, or
 * the default. */
static double
mean_service (const UnitMeter *u, const UnitMeter *all)
{
  if (u->served >= 1)
    return u->service / u->served / CC_SECOND;
  if (all->served > 0)
    return all->service / all->served / CC_SECOND;
  return (double) DEFAULT_SERVICE_TIME / CC_SECOND;
}

/* Returns the loads at NOW as a floating a(ud): unit, slots kept busy. */
GVariant *
cc_unit_meter_loads (CcUnitMeter *m, gint64 now)
{
  GVariantBuilder b;
  GHashTableIter iter;
  gpointer unit, value;

  decay (&m->all, now);
  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(ud)"));
  g_hash_table_iter_init (&iter, m->units);
  while (g_hash_table_iter_next (&iter, &unit, &value))
    {
      UnitMeter *u = value;

      decay (u, now);
      if (now - u->first < CC_METER_MIN_AGE)
        continue;
      g_variant_builder_add (&b, "(ud)", GPOINTER_TO_UINT (unit),
                             u->arrivals / window (u, now) *
                                 mean_service (u, &m->all));
      if (u->arrivals < MIN_ARRIVALS)
        g_hash_table_iter_remove (&iter);
    }
  return g_variant_builder_end (&b);
}

/* Orders keys by guaranteed count, highest first. */
static gint
by_guaranteed_count (gconstpointer a, gconstpointer b)
{
  const CcHotKey *x = a, *y = b;
  double d = (y->count - y->error) - (x->count - x->error);

  return d > 0 ? 1 : d < 0 ? -1 : 0;
}

/* Returns the hot keys at NOW as a floating a(tud): hash, unit, guaranteed
 * lower bound of the slots kept busy. */
GVariant *
cc_unit_meter_hot (CcUnitMeter *m, gint64 now)
{
  CcHotKeys sorted;
  GVariantBuilder b;
  guint n;

  decay (&m->all, now);
  decay_hot (m, now);
  sorted = m->hot;
  qsort (sorted.keys, sorted.used, sizeof (CcHotKey), by_guaranteed_count);
  n = now - m->all.first < CC_METER_MIN_AGE
          ? 0
          : MIN (sorted.used, MAX_HOT_REPORTED);
  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(tud)"));
  for (guint i = 0; i < n; i++)
    {
      const CcHotKey *k = &sorted.keys[i];
      double guaranteed = k->count - k->error;
      const UnitMeter *u =
          g_hash_table_lookup (m->units, GUINT_TO_POINTER (k->unit));

      if (u == NULL || guaranteed < MIN_HOT_SHARE * m->all.arrivals)
        break;
      g_variant_builder_add (&b, "(tud)", k->hash, k->unit,
                             guaranteed / window (&m->all, now) *
                                 mean_service (u, &m->all));
    }
  return g_variant_builder_end (&b);
}
