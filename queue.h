/* The requests that wait for one server, in the order they are to be sent. */
#ifndef CC_QUEUE_H
#define CC_QUEUE_H

#include "capercrank.h"

typedef struct
{
  gint64 deadline; /* wall clock, us */
  gint64 arrived;  /* us of cc_clock_now */
  gint64 cost;     /* expected time in the server, us */
  guint tenant;    /* hash of the tenant's name */
  guint slice;
  gpointer item; /* the queue's user's own */
} CcWaiting;

typedef struct
{
  GSequence *order; /* of CcWaiting, by deadline */
} CcQueue;

void cc_queue_init (CcQueue *q);
void cc_queue_clear (CcQueue *q);
void cc_queue_push (CcQueue *q, const CcWaiting *w);
gpointer cc_queue_pop (CcQueue *q);
gboolean cc_queue_remove (CcQueue *q, gpointer item);
guint cc_queue_length (const CcQueue *q);
GPtrArray *cc_queue_items (const CcQueue *q);

#endif
