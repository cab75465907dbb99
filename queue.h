/* The requests that wait for one server, in the order in which they are sent.
 */
#ifndef CC_QUEUE_H
#define CC_QUEUE_H

#include "capercrank.h"

/* The queue's record of a request.  The user embeds it in its own structure
 * and sets all fields but the last before a push. */
typedef struct
{
  gint64 due;       /* by when its response is due, by its class's target, us */
  gint64 arrived;   /* arrival, us of the same clock */
  gint64 cost;      /* expected service time, us */
  gboolean is_long; /* cost far above the server's mean */
  guint class_id;   /* hash of the class's name */
  guint kind;       /* kind of work, see cost.h */
  guint tenant;     /* hash of the tenant's name */
  guint slice;      /* slice of its key */
  gint64 within;    /* latency target of its class, us */
  gint64 left;      /* time to the deadline at arrival, us */
  gboolean once_only;   /* not idempotent */
  gint64 sent;          /* when its attempt was sent, us */
  guint64 answers;      /* responses of the server before it was sent */
  guint tries;          /* attempts so far */
  gpointer item;        /* of the queue's user */
  GSequenceIter *place; /* position in the queue; NULL: not queued */
} CcQueueEntry;

/* The waiting requests of one class of a queue. */
typedef struct
{
  guint class_id;
  GSequence *order[2]; /* of CcQueueEntry by due time: usual jobs, long jobs */
  gint64 backlog[2];   /* sum of their costs, us */
  gint64 tag;          /* virtual time at which its next job starts, us */
  gint64 last_push;    /* when a job was last pushed, us */
} CcLane;

typedef struct
{
  GPtrArray *lanes;    /* of CcLane, one for each class ever pushed */
  GHashTable *tenants; /* tenant to the cost of its waiting jobs, us */
  GHashTable *slices;  /* slice to the cost of its waiting jobs, us */
  gint64 virtual_time; /* tag of the lane that was served last, us */
  guint length;        /* number of waiting jobs */
} CcQueue;

/* Returns whether W may be sent now. */
typedef gboolean (*CcMaySend) (const CcQueueEntry *w, gpointer data);

void cc_queue_init (CcQueue *q);
void cc_queue_clear (CcQueue *q);
void cc_queue_push (CcQueue *q, CcQueueEntry *w);
CcQueueEntry *cc_queue_pop (CcQueue *q, gboolean long_too, CcMaySend may,
                            gpointer data);
void cc_queue_remove (CcQueue *q, CcQueueEntry *w);
guint cc_queue_length (const CcQueue *q);
const CcLane *cc_queue_lane (const CcQueue *q, guint class_id);
guint cc_queue_active (const CcQueue *q, guint class_id, gint64 since);
gint64 cc_queue_tenant_cost (const CcQueue *q, guint tenant);
gint64 cc_queue_slice_cost (const CcQueue *q, guint slice);
GPtrArray *cc_queue_items (const CcQueue *q);

#endif
