/* The requests that wait for one server, in the order they are to be sent. */
#ifndef CC_QUEUE_H
#define CC_QUEUE_H

#include "capercrank.h"

/* What the queue knows of a request.  The user embeds it in its own and sets
 * all but the last field before a push. */
typedef struct
{
  gint64 due;         /* when its answer is wanted by its class's target, us */
  gint64 arrived;     /* us of the same clock */
  gint64 cost;        /* expected time in the server, us */
  gboolean is_long;   /* its cost is far above the server's mean */
  guint class_id;     /* hash of the class's name */
  guint kind;         /* of work, see cost.h */
  guint tenant;       /* hash of the tenant's name */
  guint slice;        /* of its key */
  gint64 within;      /* the class's target, us */
  gint64 left;        /* to the deadline at arrival, us */
  gboolean once_only; /* not idempotent */
  gint64 sent;        /* when its attempt left, us */
  guint64 answers;    /* of the server when it was sent */
  guint tries;        /* attempts so far */
  gpointer item;      /* the queue's user's own */
  GSequenceIter *place; /* in the queue; NULL: not in it */
} CcQueueEntry;

/* The waiting requests of one class. */
typedef struct
{
  guint class_id;
  GSequence *order[2]; /* of CcQueueEntry by due: usual jobs, long jobs */
  gint64 backlog[2];   /* sum of their costs, us */
  gint64 tag;          /* virtual time at which its next job starts, us */
  gint64 last_push;    /* us */
} CcLane;

typedef struct
{
  GPtrArray *lanes;    /* of CcLane, one for each class seen */
  GHashTable *tenants; /* tenant to the cost of its waiting jobs, us */
  GHashTable *slices;  /* slice to the same */
  gint64 virtual_time; /* tag of the lane served last, us */
  guint length;        /* waiting jobs */
} CcQueue;

/* Whether W may be sent now. */
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
