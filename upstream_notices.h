/* What upstreams state about themselves in their answers. */
#ifndef CC_UPSTREAM_NOTICES_H
#define CC_UPSTREAM_NOTICES_H

#include "edge.h"
#include "targets.h"

typedef struct CcUpstreamNotices CcUpstreamNotices;

CcUpstreamNotices *cc_upstream_notices_new (CcTargets *targets,
                                            CcTargetChanged changed,
                                            gpointer data);
void cc_upstream_notices_receive (CcUpstreamNotices *n, const char *id,
                                  guint64 born, const CcServerNotice *notice,
                                  gint64 now);

#endif
