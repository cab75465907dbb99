/* Maps availability zones to regions.  A zone that is not listed belongs to no
 * region, so that an incomplete setting never sends a request to a region that
 * its route excludes. */
#include "zones.h"

#include "event_log.h"

struct CcZones
{
  GHashTable *regions; /* zone to region */
};

/* Adds the entry TEXT, "ZONE=REGION", to Z.  One of another form is logged and
 * ignored. */
static void
add_entry (CcZones *z, const char *text)
{
  g_auto (GStrv) words = g_strsplit (text, "=", 2);

  if (words[0] == NULL)
    return;
  g_strstrip (words[0]);
  if (words[1] != NULL)
    g_strstrip (words[1]);
  if (words[0][0] == '\0' || words[1] == NULL || words[1][0] == '\0')
    {
      cc_event (CC_EVENT_STATE, "zone-setting-invalid", "entry", text, NULL);
      return;
    }
  g_hash_table_insert (z->regions, g_strdup (words[0]), g_strdup (words[1]));
}

/* Returns the zones of TEXT, "ZONE=REGION,...", which may be empty. */
CcZones *
cc_zones_new (const char *text)
{
  CcZones *z = g_new0 (CcZones, 1);
  g_auto (GStrv) entries = g_strsplit (text, ",", -1);

  z->regions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (char **entry = entries; *entry != NULL; entry++)
    add_entry (z, *entry);
  return z;
}

/* Frees Z. */
void
cc_zones_free (CcZones *z)
{
  g_hash_table_unref (z->regions);
  g_free (z);
}

/* Whether the settings name ZONE. */
gboolean
cc_zones_contains (const CcZones *z, const char *zone)
{
  return g_hash_table_contains (z->regions, zone);
}

/* Returns the region of ZONE, or NULL if it is unknown. */
const char *
cc_zones_region (const CcZones *z, const char *zone)
{
  return g_hash_table_lookup (z->regions, zone);
}
