/* The load of one server: its queue, the attempts in progress, and which
 * request may be sent next. */
#ifndef CC_LOAD_H
#define CC_LOAD_H

#include "admission.h"
#include "cost.h"
#include "hedge.h"
#include "limit.h"
#include "queue.h"
#include "retry.h"

typedef struct
{
  CcQueue queue;
  CcCosts costs;
  CcLimit limit;
  CcRetries retries;
  CcRetryPacer comeback;
  guint running;          /* attempts in progress at the server */
  guint running_long;     /* of these, long ones */
  gint64 running_cost[2]; /* expected time of short and of long ones, us */
  guint64 answers;        /* received from the server in all */
  gint64 progress;        /* time of the last answer, or of the last send to the
                             idle server, us */
} CcLoad;

/* The result of cc_load_offer. */
typedef struct
{
  gboolean admitted;
  const char *reason;  /* if refused, one word */
  guint32 retry_after; /* if refused, ms */
} CcOfferResult;

typedef enum
{
  CC_LOAD_ANSWERED, /* the server ran it */
  CC_LOAD_SHED,     /* the server refused it for its load */
  CC_LOAD_UNSENT,   /* it was not sent, or was refused for its grant */
  CC_LOAD_LOST,     /* the connection ended without an answer */
  CC_LOAD_CANCELLED /* cancelled here: deadline, or the caller disconnected */
} CcLoadEnd;

void cc_load_init (CcLoad *l);
void cc_load_clear (CcLoad *l);
CcOfferResult cc_load_offer (CcLoad *l, CcQueueEntry *w, gint64 now);
CcQueueEntry *cc_load_next (CcLoad *l, CcMaySend may, gpointer data,
                            gint64 now);
void cc_load_done (CcLoad *l, const CcQueueEntry *w, CcLoadEnd end, gint64 now);
gboolean cc_load_retry (CcLoad *l, CcQueueEntry *w, CcFailure f, gint64 now);
gboolean cc_load_hedge (const CcLoad *l, const CcQueueEntry *w, gint64 now);
void cc_load_process_paused (CcLoad *l, gint64 span);
gboolean cc_load_stalled (const CcLoad *l, gint64 now);
guint32 cc_load_wait_ms (const CcLoad *l, gint64 now);

#endif
