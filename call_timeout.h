/* How long the answer to a call is waited for, by what answers took. */
#ifndef CC_CALL_TIMEOUT_H
#define CC_CALL_TIMEOUT_H

#include "capercrank.h"

typedef struct
{
  gint64 least; /* bounds of the timeout, us */
  gint64 most;
  gint64 smoothed;  /* of the time that answers take, us; 0: none came */
  gint64 deviation; /* mean of what answers took beyond it, us */
  gint64 current;   /* of the next call, us */
} CcCallTimeout;

void cc_call_timeout_init (CcCallTimeout *t, gint64 least, gint64 most);
void cc_call_timeout_answered (CcCallTimeout *t, gint64 took);
void cc_call_timeout_expired (CcCallTimeout *t, gint64 allowed);

#endif
