/* Records the map version in which each move and handover in progress started.
 */
#ifndef CC_MOVE_VERSIONS_H
#define CC_MOVE_VERSIONS_H

#include "slicemap.h"

typedef struct CcMoveVersions CcMoveVersions;

CcMoveVersions *cc_move_versions_new (void);
void cc_move_versions_free (CcMoveVersions *t);
void cc_move_versions_update (CcMoveVersions *t, const CcSliceMap *m);
guint64 cc_move_versions_unit (const CcMoveVersions *t, const CcSliceMap *m,
                               guint unit);
guint64 cc_move_versions_server (const CcMoveVersions *t, const CcSliceMap *m,
                                 const char *server);

#endif
