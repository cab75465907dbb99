/* Index of the requests that wait inside a dispatcher, by request id. */
#ifndef CC_WAITERS_H
#define CC_WAITERS_H

#include "job.h"

GHashTable *cc_waiters_new (void);
void cc_waiters_add (GHashTable *table, CcJob *j);
void cc_waiters_remove (GHashTable *table, const CcJob *j);
CcJob *cc_waiters_take (GHashTable *table, guint64 incarnation, guint64 id);

#endif
