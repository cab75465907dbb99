/* Adaptive timeout of calls to a service, derived from its response times. */
#ifndef CC_CALL_TIMEOUT_H
#define CC_CALL_TIMEOUT_H

#include "capercrank.h"

typedef struct
{
  gint64 least;     /* lower bound of the timeout, us */
  gint64 most;      /* upper bound of the timeout, us */
  gint64 smoothed;  /* smoothed response time, us; 0: no response yet */
  gint64 deviation; /* mean excess of response times over it, us */
  gint64 current;   /* timeout of the next call, us */
} CcCallTimeout;

void cc_call_timeout_init (CcCallTimeout *t, gint64 least, gint64 most);
void cc_call_timeout_answered (CcCallTimeout *t, gint64 took);
void cc_call_timeout_expired (CcCallTimeout *t, gint64 allowed);

#endif
