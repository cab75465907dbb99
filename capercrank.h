/* capercrank: a router for servers that own keys exclusively.
 *
 * Definitions shared by all programs: names on the wire, status codes, and
 * global constants.  The decision logic is in modules of its own (lease.h,
 * outcome.h, queue.h, ...), which use neither the network nor a clock: they
 * take the time as an argument, in microseconds.
 *
 * Path of a request: a caller sends an HTTP request to capercrank-entry, which
 * looks up the slice of the key, the server that owns the slice and the
 * dispatcher that holds the server, and sends the request to that dispatcher in
 * one message.  capercrank-dispatch queues it, sends it to the server and
 * returns the response the same way. */
#ifndef CAPERCRANK_H
#define CAPERCRANK_H

#include <glib.h>

#define CC_VERSION "0.1.0"

/* Status of a call.  The object that was called holds an error message. */
typedef enum
{
  CC_OK = 0,           /* done */
  CC_INVALID = -1,     /* the input is malformed or out of range */
  CC_CONFLICT = -2,    /* a version or an epoch has changed */
  CC_UNREACHABLE = -3, /* the peer is unreachable; nothing was sent */
  CC_FULL = -4,        /* a limit is reached; nothing was done */
  CC_UNKNOWN = -5,     /* the response was lost; it may have taken effect */
  CC_GONE = -6         /* the requested object does not exist */
} CcStatus;

/* Outcome of a request.  NOT_RUN guarantees that no server ran it. */
typedef enum
{
  CC_OUTCOME_RUN = 0,
  CC_OUTCOME_NOT_RUN = 1,
  CC_OUTCOME_UNKNOWN = 2
} CcOutcome;

/* Times are in microseconds everywhere. */
#define CC_MS ((gint64) 1000)
#define CC_SECOND ((gint64) 1000000)

/* Headers of requests by callers. */
#define CC_HDR_CLASS "X-Class"             /* class of the request, required */
#define CC_HDR_KEY "X-Key"                 /* routing key, required */
#define CC_HDR_TENANT "X-Tenant"           /* the caller; "anonymous" if none */
#define CC_HDR_TIMEOUT "X-Request-Timeout" /* time left, ms */
/* UUID version 7, see outcome.h */
#define CC_HDR_IDEMPOTENCY "Idempotency-Key"

/* Headers of responses to callers. */
#define CC_HDR_OUTCOME "X-Outcome"         /* run, not-run or unknown */
#define CC_HDR_RETRY_MS "X-Retry-After-Ms" /* Retry-After in ms */
#define CC_HDR_REASON "X-Reason" /* one word, documented for operators */

/* Headers between a dispatcher and a server. */
#define CC_HDR_TERM "X-Grant-Term"   /* counts the holders of the server */
#define CC_HDR_SLICE "X-Grant-Slice" /* slice of the key */
#define CC_HDR_EPOCH "X-Grant-Epoch" /* counts the owners of the slice */
#define CC_HDR_DEADLINE "X-Deadline" /* Unix time in ms, absolute */
#define CC_HDR_RUN_ID "X-Run-Id"     /* unique per attempt, and in its answer */

/* Limits on untrusted input. */
#define CC_KEY_MAX 1024 /* bytes of a key */
#define CC_NAME_MAX 128 /* bytes of a class, tenant or pool name */
#define CC_BODY_MAX (8 * 1024 * 1024) /* bytes, request or response */
#define CC_HEADERS_MAX (32 * 1024)    /* bytes of all headers of a request */
#define CC_TIMEOUT_MAX_MS 60000       /* longest deadline of any class */

/* Maximum time by which a caller's clock may be ahead of that of an instance.
 * Large, since callers are tills and phones.  The first once-only request after
 * a takeover is delayed by the same time, see outcome.h. */
#define CC_SKEW_MAX (500 * CC_MS)

/* Maximum difference between the wall clocks of two instances, which NTP keeps
 * within a few ms. */
#define CC_INSTANCE_SKEW_MAX (100 * CC_MS)

/* Returns the name of OUTCOME, as in the header CC_HDR_OUTCOME. */
const char *cc_outcome_name (CcOutcome outcome);

#endif
