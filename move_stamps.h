/* Since which version of a map its moves and handovers have been on. */
#ifndef CC_MOVE_STAMPS_H
#define CC_MOVE_STAMPS_H

#include "slicemap.h"

typedef struct CcMoveStamps CcMoveStamps;

CcMoveStamps *cc_move_stamps_new (void);
void cc_move_stamps_free (CcMoveStamps *t);
void cc_move_stamps_note (CcMoveStamps *t, const CcSliceMap *m);
guint64 cc_move_stamps_unit (const CcMoveStamps *t, const CcSliceMap *m,
                             guint unit);
guint64 cc_move_stamps_server (const CcMoveStamps *t, const CcSliceMap *m,
                               const char *server);

#endif
