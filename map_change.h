/* Describes a change of a slice map, and whom it affects. */
#ifndef CC_MAP_CHANGE_H
#define CC_MAP_CHANGE_H

#include "slicemap.h"

GHashTable *cc_slicemap_affected_dispatchers (const CcSliceMap *m,
                                              const CcSliceMap *before);
void cc_slicemap_update_reason (CcSliceMap *m, const CcSliceMap *before);

#endif
