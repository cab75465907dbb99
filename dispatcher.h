/* State shared by the modules of capercrank-dispatch. */
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
  CcTransfer *transfer; /* attempt records, between dispatchers */
  GHashTable *servers;  /* "pool/server" to CcServer */
  gint64 stop_at;       /* latest exit when draining, us; 0: not draining */
  CcCounter *rejected;  /* requests rejected before they were queued */
  CcCounter *repeats;   /* once-only requests answered from the records */
  CcCounter *cancelled;
  CcCounter *outcomes_received; /* record chunks from previous holders */
  CcCounter *outcomes_sent;     /* record chunks sent to next holders */
} CcDispatcher;

CcServer *cc_dispatcher_server (CcDispatcher *d, const char *pool,
                                const char *name);
void cc_intake_request (CcDispatcher *d, const CcMessage *m);
void cc_intake_cancel (CcDispatcher *d, const CcMessage *m);
void cc_report_if_due (CcDispatcher *d, CcServer *s, gint64 now);

#endif
