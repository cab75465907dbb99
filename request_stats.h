/* Metrics of requests, by class of work. */
#ifndef CC_REQUEST_STATS_H
#define CC_REQUEST_STATS_H

#include "capercrank.h"

/* The result of a request, by which it is counted. */
typedef enum
{
  CC_COUNT_ANSWERED, /* a server's answer was returned to the caller */
  CC_COUNT_NOT_RUN,
  CC_COUNT_UNKNOWN, /* it may have run */
  CC_COUNT_GONE,    /* its caller disconnected */
  CC_COUNT_ENDS     /* number of results */
} CcCountedEnd;

/* A finished request. */
typedef struct
{
  CcCountedEnd end;
  const char *cause; /* one word; "": none, or implied by the status */
  guint attempts;    /* attempts that reached an upstream */
  gint64 took;       /* time since its arrival, us */
  gint64 waited;     /* time in the pool's queue, us */
  gint64 served;     /* time at upstreams, us */
  gint64 leaving;    /* upper bound on how long its upstream had been leaving
                        when it was sent, us; -1: it was not leaving */
  gint64 left;       /* time left of the caller's timeout, us; -1: none given */
} CcRequestRecord;

typedef struct CcRequestStats CcRequestStats;

CcRequestStats *cc_request_stats_new (void);
void cc_request_stats_free (CcRequestStats *s);
void cc_request_stats_count (CcRequestStats *s, const char *class_name,
                             const CcRequestRecord *r);

#endif
