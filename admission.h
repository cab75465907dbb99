/* Admission control: whether a request enters a server's queue or is refused
 * at once. */
#ifndef CC_ADMISSION_H
#define CC_ADMISSION_H

#include "capercrank.h"

typedef enum
{
  CC_ADMIT,
  CC_REFUSE_LATE, /* its latency target or deadline cannot be met */
  CC_REFUSE_SHARE /* its tenant or key already has its share of the queue */
} CcAdmission;

/* Input of the decision; costs and times in us. */
typedef struct
{
  gint64 within;    /* latency target of the class */
  gint64 left;      /* time to the deadline */
  gint64 service;   /* expected time in the server */
  gint64 deviation; /* mean deviation of that time */
  gint64 ahead;     /* cost of what is served before it */
  double slots;     /* requests that are served at once */
  gint64 tenant;    /* cost of its tenant's waiting requests */
  gint64 slice;     /* cost of the requests waiting for its slice */
} CcAdmissionRequest;

/* Spreads the returns of refused requests: their work is counted as a queue
 * that drains at the server's rate. */
typedef struct
{
  gint64 cost;  /* cost of refused requests that are not due back yet, us */
  gint64 since; /* when cost was last updated, us */
} CcRetryPacer;

CcAdmission cc_admission_decide (const CcAdmissionRequest *a);
guint32 cc_admission_retry_after (CcRetryPacer *c, const CcAdmissionRequest *a,
                                  CcAdmission verdict, gint64 now);

#endif
