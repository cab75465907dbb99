/* Finds out whether an upstream that owns no keys of this granter answers. */
#ifndef CC_OWNER_PROBE_H
#define CC_OWNER_PROBE_H

#include "range_grant.h"

void cc_owner_probe (CcGrantShared *shared, const CcTarget *t, gint64 now);

#endif
