/* The request targets that callers sent, before normalization, and
 * whether requests were read ahead. */
#ifndef CC_CALLER_CONNECTION_H
#define CC_CALLER_CONNECTION_H

#include <libsoup/soup.h>

/* Records the request targets of one connection. */
typedef struct CcCallerTargets CcCallerTargets;

CcCallerTargets *cc_caller_targets_new (void);
void cc_caller_targets_free (CcCallerTargets *t);
void cc_caller_targets_parse (CcCallerTargets *t, const char *bytes,
                              gsize count);
gboolean cc_caller_targets_is_reading (const CcCallerTargets *t);
gboolean cc_caller_targets_has_next (const CcCallerTargets *t);
void cc_caller_targets_assign (CcCallerTargets *t, SoupServerMessage *m);
const char *cc_caller_target (SoupServerMessage *m);

#endif
