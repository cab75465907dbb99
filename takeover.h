/* Deletes lapsed leases and maintains the set of voters, in the assigner. */
#ifndef CC_TAKEOVER_H
#define CC_TAKEOVER_H

#include "follower.h"
#include "platform.h"
#include "voting.h"

typedef struct CcTakeover CcTakeover;

CcTakeover *cc_takeover_new (CcPlatform *platform, CcFollower *f,
                             CcVoting *voting);
void cc_takeover_tick (CcTakeover *t, gboolean active, gint64 now);

#endif
