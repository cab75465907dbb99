/* A held server at work: its queue, its limit, its grants. */
#ifndef CC_SERVER_H
#define CC_SERVER_H

#include "connection_health.h"
#include "document.h"
#include "histograms.h"
#include "holding.h"
#include "job.h"
#include "load.h"
#include "unit_meter.h"
#include "metrics.h"
#include "outcome.h"
#include "tenure.h"
#include "upstream.h"
#include "waiters.h"

/* What all servers of a dispatcher share. */
typedef struct
{
  CcMailbox *mailbox;
  CcUpstream *upstream;
  CcTenure *tenure;
  CcOutcomes *outcomes;
  GHashTable *first_attempts; /* "pool/slice/idempotency key" to CcJob */
  GHashTable *waiters;        /* CcWaiter to the CcJob that will answer it */
  CcCounter *hedged;          /* attempts given up for a fresh one */
  CcCounter *retried;         /* attempts made again */
  CcCounter *pools_dropped;   /* silent kept connections to a server */
  CcHistograms wait;          /* in the queue, by class and by tenant */
  CcHistograms service;       /* in the server, the same */
} CcServerShared;

typedef struct
{
  CcServerShared *shared;
  CcHolding *holding;
  CcUnitMeter *meter; /* loads of its units, for the assigner */
  CcLoad load;        /* jobs in state QUEUED, and what may be sent */
  GHashTable *sent;   /* set of CcJob in state SENT */
  gboolean granting;  /* a grant or probe is in progress */
  gint64 grant_due;   /* when the next is to be sent, us */
  CcConnectionHealth connections;
  gint64 ticked;     /* last look at it, us; 0: none */
  gboolean asked;    /* the lease stood then, so the server is asked */
  gboolean closed;   /* freed when the grant's callback has run */
  guint64 reported;  /* applied version last reported */
  guint64 taking;    /* newest map version that takes units away; 0: none */
  gint64 taking_at;  /* when it was read, us */
  gint64 report_due; /* when the next report is to be sent, us */
} CcServer;

gboolean cc_server_may_serve (const CcServer *s, gint64 now);
CcServer *cc_server_new (CcServerShared *shared, CcHolding *h);
void cc_server_free (CcServer *s);
void cc_server_submit (CcServer *s, CcJob *j, const CcClass *class);
void cc_server_pump (CcServer *s);
void cc_server_renew_grant (CcServer *s, gint64 now);
void cc_server_check_connections (CcServer *s, gint64 now);
void cc_server_tick (CcServer *s, gint64 now);
void cc_server_updated (CcServer *s);
void cc_server_shared_init (CcServerShared *shared);
void cc_server_join (CcServerShared *shared, CcJob *j, const CcMessage *m);
void cc_server_cancel (CcServerShared *shared, guint64 incarnation, guint64 id);
char *cc_first_attempt_name (const char *pool, guint slice,
                             const char *idempotency);

#endif
