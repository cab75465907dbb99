/* Limits the requests that peers forward through this gateway to what its
 * processor can serve. */
#ifndef CC_FORWARD_LIMIT_H
#define CC_FORWARD_LIMIT_H

#include "capercrank.h"

/* Period of cc_forward_limit_update. */
#define CC_FORWARD_LIMIT_PERIOD (50 * CC_MS)

/* All zero: no request yet. */
typedef struct
{
  double rate;        /* requests per second that are accepted */
  double tokens;      /* requests that may be accepted now */
  gint64 refilled_at; /* us; 0: never */
  guint accepted;     /* since the last update */
  gboolean refused;   /* some since the last update */
  gboolean reduced;   /* the rate has been reduced before */
} CcForwardLimit;

gboolean cc_forward_limit_accept (CcForwardLimit *l, guint priority,
                                  gint64 now);
void cc_forward_limit_update (CcForwardLimit *l, gint64 late);

#endif
