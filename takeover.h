/* The assigner's care for leases: lapsed ones are deleted, voters kept. */
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
