/* Whether a request is taken into a server's queue, or refused at once. */
#ifndef CC_ADMISSION_H
#define CC_ADMISSION_H

#include "capercrank.h"

typedef enum
{
  CC_ADMIT,
  CC_REFUSE_LATE, /* its target or deadline can't be met */
  CC_REFUSE_SHARE /* its tenant or key has its share of the queue already */
} CcAdmission;

/* All that the decision looks at; costs and times in us. */
typedef struct
{
  gint64 within;    /* the class's target */
  gint64 left;      /* to the deadline */
  gint64 service;   /* expected time in the server */
  gint64 deviation; /* of that */
  gint64 ahead;     /* cost of what is served before it */
  double slots;     /* how many work on that at once */
  gint64 tenant;    /* cost of what its tenant has waiting */
  gint64 slice;     /* cost of what waits for its slice */
} CcAdmissionRequest;

/* Refused work that was told to come back, as a queue that drains at the
 * server's rate. */
typedef struct
{
  gint64 cost;  /* of the refused not yet due back, us */
  gint64 since; /* when cost was brought up to date, us */
} CcRetryPacer;

CcAdmission cc_admission_decide (const CcAdmissionRequest *a);
guint32 cc_admission_retry_after (CcRetryPacer *c, const CcAdmissionRequest *a,
                                  CcAdmission verdict, gint64 now);

#endif
