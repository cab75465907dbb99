/* The requests of one entry that wait for capacity at a pool, and the decision
 * whether another one may wait. */
#ifndef CC_BACKLOG_H
#define CC_BACKLOG_H

#include "capercrank.h"

/* The backlog's record of a request; embedded in the request. */
typedef struct
{
  guint priority;       /* 0 goes first */
  gint64 due;           /* by when its response is due, us */
  GSequenceIter *place; /* NULL: not waiting */
  gpointer item;        /* the request */
} CcBacklogEntry;

typedef struct
{
  GSequence *order; /* of CcBacklogEntry, most urgent first */
  double ended;     /* decayed number of attempts that ended */
  gint64 ended_at;  /* when that was last updated, us */
} CcBacklog;

void cc_backlog_init (CcBacklog *b);
void cc_backlog_clear (CcBacklog *b);
void cc_backlog_push (CcBacklog *b, CcBacklogEntry *e);
void cc_backlog_remove (CcBacklog *b, CcBacklogEntry *e);
guint cc_backlog_length (const CcBacklog *b);
void cc_backlog_ended (CcBacklog *b, gint64 now);
gint64 cc_backlog_wait (const CcBacklog *b, guint priority, gint64 now);
gboolean cc_backlog_admits (gint64 wait, gint64 service, gint64 target,
                            gint64 left);
gboolean cc_backlog_is_hopeless (const CcBacklog *b, guint ahead,
                                 gint64 service, gint64 left, gint64 now);
gint64 cc_backlog_retry_after (gint64 wait, gint64 left, double draw);

#endif
