/* Messages between dispatchers and assigners for votes on leases. */
#ifndef CC_VOTING_H
#define CC_VOTING_H

#include "follower.h"
#include "mailbox.h"
#include "promise.h"
#include "tenure.h"

typedef struct CcVoting CcVoting;

CcVoting *cc_voting_new (CcMailbox *box, CcFollower *f, CcTenure *tenure);
void cc_voting_tick (CcVoting *v, gint64 now);
void cc_voting_receive (CcVoting *v, const CcMessage *m);
gboolean cc_voting_is_isolated (const CcVoting *v, gint64 now);
gboolean cc_voting_release (CcVoting *v, const char *id, guint64 version,
                            gint64 now, guint64 *voters_version);

#endif
