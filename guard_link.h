/* Connects the crash guard of a gateway to the other gateways and to the
 * table. */
#ifndef CC_GUARD_LINK_H
#define CC_GUARD_LINK_H

#include "crash_guard.h"
#include "peer_datagrams.h"
#include "table.h"
#include "targets.h"
#include "view.h"

typedef struct CcGuardLink CcGuardLink;

CcGuardLink *cc_guard_link_new (CcTable *table, CcPeerDatagrams *datagrams,
                                const CcTargets *targets);
CcCrashGuard *cc_guard_link_guard (const CcGuardLink *l);
void cc_guard_link_set_peers (CcGuardLink *l, GPtrArray *peers, guint rank);
void cc_guard_link_apply_rows (CcGuardLink *l, const CcView *view,
                               const GPtrArray *rows);

#endif
