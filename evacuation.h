/* The availability zones that operators have evacuated. */
#ifndef CC_EVACUATION_H
#define CC_EVACUATION_H

#include "targets.h"
#include "version_clock.h"
#include "view.h"
#include "zones.h"

typedef struct CcEvacuation CcEvacuation;

/* For so long after the row was read, requests with a key are still sent to an
 * owner in the zone, us.  None may arrive later than 1 s after that; connecting
 * takes up to 200 ms and delivery 50 ms. */
#define CC_EVACUATION_OWNERS_SERVE (750 * CC_MS)
/* The same, counted from the earliest time at which the row may have been
 * written, us: no request may arrive later than 5 s after the order, and a
 * gateway may read the row late. */
#define CC_EVACUATION_OWNERS_LATEST (4500 * CC_MS)

typedef enum
{
  CC_EVACUATION_BEGAN,
  CC_EVACUATION_ENDED,
  CC_EVACUATION_UNKNOWN /* neither the settings nor an upstream name the zone */
} CcEvacuationChange;

/* Input of an update. */
typedef struct
{
  const CcView *view;          /* with the rows of the orders */
  const CcVersionClock *clock; /* when they were written */
  const CcTargets *targets;
  const CcZones *zones;
  /* Returns the zone, a part of KEY, that the row KEY evacuates; NULL: it is
   * another row. */
  const char *(*decode) (const char *key);
} CcEvacuationSource;

/* Called for each change.  AGE is the longest time since ZONE's row may have
 * been written, us; -1: unknown. */
typedef void (*CcEvacuationChanged) (const char *zone,
                                     CcEvacuationChange change, gint64 age,
                                     gpointer data);

CcEvacuation *cc_evacuation_new (void);
void cc_evacuation_free (CcEvacuation *e);
void cc_evacuation_update (CcEvacuation *e, const CcEvacuationSource *source,
                           gint64 now, CcEvacuationChanged changed,
                           gpointer data);
gboolean cc_evacuation_covers (const CcEvacuation *e, const char *zone);
gint64 cc_evacuation_owners_until (const CcEvacuation *e, const char *zone);
gboolean cc_evacuation_is_active (const CcEvacuation *e);
guint cc_evacuation_count (const CcEvacuation *e);

#endif
