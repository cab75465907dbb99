/* Concurrency limit: the number of attempts that may be inside a server at
 * once. */
#ifndef CC_LIMIT_H
#define CC_LIMIT_H

#include "capercrank.h"

typedef enum
{
  CC_LIMIT_STEADY,
  CC_LIMIT_TRIAL /* this round measures a limit other than `baseline` */
} CcLimitState;

typedef struct
{
  CcLimitState state;
  guint limit;         /* attempts that may be inside at once */
  guint baseline;      /* limit to return to if a trial brings no gain */
  guint warm_answers;  /* responses since the last rise while warming up */
  gboolean warming;    /* new server, limit still below the usual slots */
  gint64 paused_until; /* nothing is sent until then, us; after a refusal */
  gint64 last_cut;     /* when a refusal last lowered the limit, us */
  guint answers;       /* responses in this round, with the server saturated */
  gint64 round_began;  /* start of this round, us; 0: no round */
  double rate;       /* responses per second in the last round at `baseline` */
  gint64 next_trial; /* earliest start of the next trial, us */
  gboolean upwards;  /* direction of the next trial */
} CcLimit;

void cc_limit_init (CcLimit *l);
gboolean cc_limit_may_send (const CcLimit *l, guint running, gint64 now);
void cc_limit_answered (CcLimit *l, gboolean saturated, gint64 now);
void cc_limit_shed (CcLimit *l, gint64 service, gint64 now);
void cc_limit_lost (CcLimit *l, gint64 now);

#endif
