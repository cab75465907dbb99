/* How many attempts may be in a server at once. */
#ifndef CC_LIMIT_H
#define CC_LIMIT_H

#include "capercrank.h"

typedef enum
{
  CC_LIMIT_STEADY,
  CC_LIMIT_TRYING /* this round runs with another limit than `kept` */
} CcLimitState;

typedef struct
{
  CcLimitState state;
  guint limit;        /* attempts at once */
  guint kept;         /* what to return to if a trial does not pay */
  guint warm;         /* answers since the limit last rose in warm-up */
  gboolean warming;   /* below the configured slots for being new */
  gint64 paused;      /* nothing is sent before, us; after a refusal */
  gint64 last_cut;    /* when a refusal last lowered the limit, us */
  guint answers;      /* in this round, with the server saturated */
  gint64 round_began; /* us; 0: no round */
  double rate;        /* answers a second in the last round at `kept` */
  gint64 next_trial;  /* us */
  gboolean upwards;   /* direction of the next trial */
} CcLimit;

void cc_limit_init (CcLimit *l);
gboolean cc_limit_may_send (const CcLimit *l, guint running, gint64 now);
void cc_limit_answered (CcLimit *l, gboolean saturated, gint64 now);
void cc_limit_shed (CcLimit *l, gint64 service, gint64 now);
void cc_limit_lost (CcLimit *l, gint64 now);

#endif
