/* A held server at work: its queue, its limit, its grants. */
#ifndef CC_SERVER_H
#define CC_SERVER_H

#include "holding.h"
#include "job.h"
#include "load_meter.h"
#include "outcome.h"
#include "queue.h"
#include "tenure.h"
#include "upstream.h"

/* What all servers of a dispatcher share. */
typedef struct
{
  CcMailbox *mailbox;
  CcUpstream *upstream;
  CcTenure *tenure;
  CcOutcomes *outcomes;
  GHashTable *first_attempts; /* "pool/slice/idempotency key" to CcJob */
} CcServerShared;

typedef struct
{
  CcServerShared *shared;
  CcHolding *holding;
  CcLoadMeter *meter; /* loads of its units, for the assigner */
  CcQueue queue;      /* of CcJob in state QUEUED */
  GHashTable *sent;   /* set of CcJob in state SENT */
  guint limit;        /* attempts at the server at once */
  gboolean granting;  /* a grant or probe is in progress */
  gint64 grant_due;   /* when the next is to be sent, us */
  gboolean closed;    /* freed when the grant's callback has run */
  guint64 reported;   /* applied version last reported */
  gint64 report_due;  /* when the next report is to be sent, us */
} CcServer;

CcServer *cc_server_new (CcServerShared *shared, CcHolding *h);
void cc_server_free (CcServer *s);
void cc_server_take (CcServer *s, CcJob *j);
void cc_server_pump (CcServer *s);
void cc_server_tick (CcServer *s, gint64 now);
void cc_server_updated (CcServer *s);
gboolean cc_server_cancel (CcServer *s, guint64 incarnation, guint64 id);
char *cc_first_attempt_name (const char *pool, guint slice,
                             const char *idempotency);

#endif
