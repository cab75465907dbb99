/* What the parts of capercrank-dispatch share. */
#ifndef CC_DISPATCHER_H
#define CC_DISPATCHER_H

#include "follower.h"
#include "outcome_transfer.h"
#include "server.h"
#include "settings.h"
#include "voting.h"

typedef struct
{
  CcSetting *settings;
  CcMailbox *mailbox;
  CcFollower *follower;
  CcTenure *tenure;
  CcVoting *voting;
  CcServerShared shared;
  CcTransfer *transfer; /* memory of outcomes, between dispatchers */
  GHashTable *servers;  /* "pool/server" to CcServer */
  gint64 stop_at;       /* while stopping: when to leave at the latest, us */
  CcCounter *refused;   /* requests for what is not held here */
  CcCounter *repeats;   /* once-only requests answered from memory */
  CcCounter *cancelled;
  CcCounter *received;  /* chunks of outcomes from earlier holders */
  CcCounter *passed_on; /* chunks of outcomes sent to next holders */
} CcDispatcher;

CcServer *cc_dispatcher_server (CcDispatcher *d, const char *pool,
                                const char *name);
void cc_intake_request (CcDispatcher *d, const CcMessage *m);
void cc_intake_cancel (CcDispatcher *d, const CcMessage *m);
void cc_report_if_due (CcDispatcher *d, CcServer *s, gint64 now);

#endif
