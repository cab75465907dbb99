/* What the metrics say of requests, by class. */
#ifndef CC_REQUEST_STATS_H
#define CC_REQUEST_STATS_H

#include "capercrank.h"

/* How a request ended, as it is counted. */
typedef enum
{
  CC_COUNT_ANSWERED, /* a server's answer was handed on */
  CC_COUNT_NOT_RUN,
  CC_COUNT_UNKNOWN, /* it may have run */
  CC_COUNT_GONE,    /* its caller left */
  CC_COUNT_ENDS
} CcCountedEnd;

/* One request that has ended. */
typedef struct
{
  CcCountedEnd end;
  const char *cause; /* one word; "": none, or the status tells */
  guint attempts;    /* that reached an upstream */
  gint64 took;       /* from its arrival, us */
  gint64 waited;     /* in the queue of its pool, us */
  gint64 served;     /* at upstreams, us */
  gint64 leaving;    /* its upstream had been leaving so long at most when it
                        was sent there, us; -1: it was not leaving */
  gint64 left;       /* of the time that its caller gave, us; -1: not said */
} CcRequestRecord;

typedef struct CcRequestStats CcRequestStats;

CcRequestStats *cc_request_stats_new (void);
void cc_request_stats_free (CcRequestStats *s);
void cc_request_stats_count (CcRequestStats *s, const char *class_name,
                             const CcRequestRecord *r);

#endif
