/* A server held by this dispatcher: its queue, attempts and grants. */
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

/* State shared by all servers of a dispatcher. */
typedef struct
{
  CcMailbox *mailbox;
  CcUpstream *upstream;
  CcTenure *tenure;
  CcOutcomes *outcomes;
  GHashTable *first_attempts; /* "pool/slice/idempotency key" to CcJob */
  GHashTable *waiters;        /* CcWaiter to the CcJob that will answer it */
  CcCounter *hedged;          /* attempts cancelled in favour of a new one */
  CcCounter *retried;         /* attempts retried */
  CcCounter *pools_dropped; /* drops of a server's silent pooled connections */
  CcHistograms wait;        /* time in the queue, by class and by tenant */
  CcHistograms service;     /* time in the server, by class and by tenant */
} CcServerShared;

typedef struct
{
  CcServerShared *shared;
  CcHolding *holding;
  CcUnitMeter *meter; /* load of its units, for the assigner */
  CcLoad load;        /* jobs in state QUEUED, and the concurrency limit */
  GHashTable *sent;   /* set of CcJob in state SENT */
  gboolean granting;  /* a grant or probe is in progress */
  gint64 grant_due;   /* time of the next one, us */
  CcConnectionHealth connections;
  gint64 last_tick;   /* last cc_server_tick, us; 0: none */
  gboolean contacted; /* whether the lease allowed grants or probes then */
  gboolean closed;    /* to be freed by the callback of the grant */
  guint64 applied_reported; /* applied map version last reported */
  guint64 removal_version;  /* newest map version that removes units; 0: none */
  gint64 removal_read_at;   /* when that was read, us */
  gint64 report_due;        /* time of the next report, us */
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
