/* Safe transitions by which servers change dispatchers and keys change
 * servers. */
#ifndef CC_OWNERSHIP_MOVES_H
#define CC_OWNERSHIP_MOVES_H

#include "move_versions.h"
#include "roster.h"
#include "slicemap.h"

/* The last report of the server's dispatcher. */
typedef struct
{
  guint64 applied;  /* map version up to which everything that must stop has
                       stopped; 0: unconfirmed */
  gboolean lost;    /* the server is unreachable */
  char *dispatcher; /* id of the reporting dispatcher */
} CcServerReport;

guint cc_moves_update (CcSliceMap *m, const CcRoster *roster,
                       GHashTable *reports,
                       const CcMoveVersions *move_versions);
gboolean cc_moves_can_own (const CcSliceMap *m, gint32 server);
gboolean cc_moves_is_unconfirmed (const CcSliceMap *m, gint32 server,
                                  GHashTable *reports);
gboolean cc_moves_is_folded_into (const CcSliceMap *m, guint slice);
gboolean cc_moves_may_redirect (const CcSliceMap *m, guint unit);
void cc_moves_redirect (CcSliceMap *m, guint unit, gint32 to);
void cc_moves_start (CcSliceMap *m, guint unit, gint32 to);
gint32 cc_moves_split (CcSliceMap *m, guint64 hash, gint32 to);
gboolean cc_moves_fold (CcSliceMap *m, guint unit);

#endif
