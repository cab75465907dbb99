/* A request inside a dispatcher, from its arrival to its answer. */
#ifndef CC_JOB_H
#define CC_JOB_H

#include "holding.h"
#include "mailbox.h"
#include "queue.h"
#include "timers.h"
#include "upstream.h"

typedef enum
{
  CC_JOB_QUEUED, /* in the server's queue */
  CC_JOB_SENT,   /* an attempt is at the server */
  CC_JOB_ENDED   /* all waiters have been answered */
} CcJobState;

/* A request of an entry that awaits the answer of a job. */
typedef struct
{
  char *reply_to;
  guint64 incarnation;
  guint64 id;
} CcWaiter;

typedef struct
{
  CcJobState state;
  GPtrArray *waiters; /* of CcWaiter: the first request and its repeats */
  char *class_name;
  gboolean once_only;
  gboolean may_have_run; /* an attempt was lost and the job is queued again */
  char *tenant;
  char *idempotency; /* "" if none */
  char *method;
  char *path;
  GVariant *headers; /* packed, see headers.h */
  GBytes *body;
  char *pool;
  guint slice;
  gint64 deadline; /* wall clock, us */
  gint64 arrived;  /* us */
  gint64 sent;     /* start of the last attempt, us */
  CcTimer timer;   /* fires at the deadline */
  CcHolding *holding;
  CcAttempt *attempt;   /* in state SENT */
  gpointer owner;       /* data for the callbacks of TIMER and ATTEMPT */
  CcQueueEntry waiting; /* its place in the queue */
} CcJob;

CcJob *cc_job_new (const CcMessage *m, const char *pool, gboolean once_only,
                   guint slice);
void cc_job_add_waiter (CcJob *j, const CcMessage *m);
gboolean cc_job_drop_waiter (CcJob *j, guint64 incarnation, guint64 id);
void cc_job_answer (CcJob *j, CcMailbox *box, const CcMsgReply *r);
void cc_job_free (CcJob *j);
void cc_reply_send (CcMailbox *box, const char *to, guint64 incarnation,
                    guint64 id, const CcMsgReply *r);

#endif
