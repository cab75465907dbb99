/* Keeps the set of evacuated zones, as read from the rows of the orders.
 *
 * Load pattern: an operator takes a zone out of use while all of it works, and
 * all gateways stop at different moments, some of them late: they were paused,
 * have just started, or got the row through peers.  If each counted the time
 * for which owners of keys are still served from its own reading, a late one
 * would send to the zone long after the order.  So that time also ends at a
 * fixed distance from the earliest moment at which the row may have been
 * written (version_clock.h), and a row of unknown age allows none. */
#include "evacuation.h"

typedef struct
{
  char *zone;
  gint64 owners_until; /* requests with a key go to the zone until then, us */
  gboolean known;      /* the settings or an upstream name the zone */
  gboolean reported;   /* as unknown */
  gboolean listed;     /* its row was found by the update in progress */
} Zone;

struct CcEvacuation
{
  GHashTable *zones; /* name to Zone */
};

static void
zone_free (gpointer data)
{
  Zone *z = data;

  g_free (z->zone);
  g_free (z);
}

/* Returns a set without zones. */
CcEvacuation *
cc_evacuation_new (void)
{
  CcEvacuation *e = g_new0 (CcEvacuation, 1);

  e->zones = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, zone_free);
  return e;
}

/* Frees E. */
void
cc_evacuation_free (CcEvacuation *e)
{
  g_hash_table_unref (e->zones);
  g_free (e);
}

/* Returns the longest time since ROW may have been written, us; -1: unknown. */
static gint64
row_age (const CcEvacuationSource *s, const CcRow *row, gint64 now)
{
  gint64 written = cc_version_clock_written_after (s->clock, row->version);

  return written == CC_TIME_UNKNOWN ? -1 : now - MIN (written, now);
}

/* Whether an upstream of ZONE is listed. */
static gboolean
has_upstreams (const CcTargets *targets, const char *zone)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, targets->by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const CcTarget *t = value;

      if (t->state != CC_TARGET_GONE && g_str_equal (t->listing.zone, zone))
        return TRUE;
    }
  return FALSE;
}

/* An update of E. */
typedef struct
{
  CcEvacuation *evacuation;
  const CcEvacuationSource *source;
  gint64 now;
  CcEvacuationChanged changed;
  gpointer data;
} Update;

/* Returns the entry of ZONE, which ROW evacuates.  A new one lets owners serve
 * for a while, less if the row may be old. */
static Zone *
find_or_add (const Update *u, const char *zone, const CcRow *row)
{
  Zone *z = g_hash_table_lookup (u->evacuation->zones, zone);
  gint64 age;

  if (z != NULL)
    return z;
  z = g_new0 (Zone, 1);
  z->zone = g_strdup (zone);
  age = row_age (u->source, row, u->now);
  if (age >= 0)
    z->owners_until = u->now + MIN (CC_EVACUATION_OWNERS_SERVE,
                                    CC_EVACUATION_OWNERS_LATEST - age);
  g_hash_table_insert (u->evacuation->zones, z->zone, z);
  return z;
}

/* Records that ROW evacuates ZONE.  Unknown zones are reported once, but not
 * before the list of upstreams was read. */
static void
apply_order (const Update *u, const char *zone, const CcRow *row)
{
  const CcEvacuationSource *s = u->source;
  Zone *z = find_or_add (u, zone, row);

  z->listed = TRUE;
  if (z->known)
    return;
  z->known =
      cc_zones_contains (s->zones, zone) || has_upstreams (s->targets, zone);
  if (z->known)
    u->changed (zone, CC_EVACUATION_BEGAN, row_age (s, row, u->now), u->data);
  else if (!z->reported && g_hash_table_size (s->targets->by_id) > 0)
    {
      z->reported = TRUE;
      u->changed (zone, CC_EVACUATION_UNKNOWN, row_age (s, row, u->now),
                  u->data);
    }
}

/* Removes the zones whose rows are gone. */
static void
remove_withdrawn (const Update *u)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, u->evacuation->zones);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Zone *z = value;
      g_autofree char *zone = NULL;

      if (z->listed)
        {
          z->listed = FALSE;
          continue;
        }
      zone = z->known ? g_strdup (z->zone) : NULL;
      g_hash_table_iter_remove (&i);
      if (zone != NULL)
        u->changed (zone, CC_EVACUATION_ENDED, -1, u->data);
    }
}

/* Updates E from SOURCE at NOW, us, and calls CHANGED with DATA for each
 * change.  Called after the rows or the list of upstreams have changed. */
void
cc_evacuation_update (CcEvacuation *e, const CcEvacuationSource *source,
                      gint64 now, CcEvacuationChanged changed, gpointer data)
{
  Update u = { e, source, now, changed, data };
  g_autoptr (GPtrArray) rows = cc_view_rows (source->view);

  for (guint i = 0; i < rows->len; i++)
    {
      const CcRow *row = rows->pdata[i];
      const char *zone = source->decode (row->key);

      if (zone != NULL && row->value != NULL)
        apply_order (&u, zone, row);
    }
  remove_withdrawn (&u);
}

/* Whether ZONE is evacuated. */
gboolean
cc_evacuation_covers (const CcEvacuation *e, const char *zone)
{
  return g_hash_table_contains (e->zones, zone);
}

/* Returns until when owners of keys in ZONE get requests, us; G_MAXINT64 if it
 * is not evacuated. */
gint64
cc_evacuation_owners_until (const CcEvacuation *e, const char *zone)
{
  const Zone *z = g_hash_table_lookup (e->zones, zone);

  return z != NULL ? z->owners_until : G_MAXINT64;
}

/* Whether any zone is evacuated, be it a known one or not. */
gboolean
cc_evacuation_is_active (const CcEvacuation *e)
{
  return g_hash_table_size (e->zones) > 0;
}

/* Returns the number of known zones that are evacuated. */
guint
cc_evacuation_count (const CcEvacuation *e)
{
  GHashTableIter i;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&i, e->zones);
  while (g_hash_table_iter_next (&i, NULL, &value))
    count += ((const Zone *) value)->known;
  return count;
}
