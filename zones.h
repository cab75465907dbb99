/* Regions of the availability zones, from the settings. */
#ifndef CC_ZONES_H
#define CC_ZONES_H

#include <glib.h>

typedef struct CcZones CcZones;

CcZones *cc_zones_new (const char *text);
void cc_zones_free (CcZones *z);
gboolean cc_zones_contains (const CcZones *z, const char *zone);
const char *cc_zones_region (const CcZones *z, const char *zone);

#endif
