/* capercrank: a router for servers that own keys exclusively.
 *
 * This header is the manual of the library that the programs share: the words
 * on the wire, the status codes, and the constants that hold everywhere.  The
 * decisions stand in headers of their own (lease.h, outcome.h, queue.h, ...),
 * each free of network and of clocks: time comes in as an argument, in
 * microseconds.
 *
 * A request's path: a caller speaks HTTP to capercrank-entry, which finds the
 * slice of the key, the server that owns the slice and the dispatcher that
 * holds the server, and passes the request to that dispatcher by one message.
 * capercrank-dispatch queues it, sends it to the server and returns the answer
 * the same way.
 */
#ifndef CAPERCRANK_H
#define CAPERCRANK_H

#include <glib.h>

#define CC_VERSION "0.1.0"

/* Status of a call.  The object that was called holds a message in words. */
typedef enum
{
  CC_OK = 0,           /* done */
  CC_INVALID = -1,     /* the input is malformed or out of bounds */
  CC_CONFLICT = -2,    /* a version or an epoch has moved on */
  CC_UNREACHABLE = -3, /* the peer can't be reached; nothing was sent */
  CC_FULL = -4,        /* a bound is reached; nothing was done */
  CC_UNKNOWN = -5,     /* the answer was lost; it may have taken effect */
  CC_GONE = -6         /* the thing asked for is not there */
} CcStatus;

/* What became of a request.  NOT_RUN is a promise: no server ran it. */
typedef enum
{
  CC_OUTCOME_RUN = 0,
  CC_OUTCOME_NOT_RUN = 1,
  CC_OUTCOME_UNKNOWN = 2
} CcOutcome;

/* Microseconds, the unit of every time in the code. */
#define CC_MS ((gint64) 1000)
#define CC_SECOND ((gint64) 1000000)

/* Callers' request headers. */
#define CC_HDR_CLASS "X-Class"             /* class of work, required */
#define CC_HDR_KEY "X-Key"                 /* routing key, required */
#define CC_HDR_TENANT "X-Tenant"           /* the caller; "anonymous" if none */
#define CC_HDR_TIMEOUT "X-Request-Timeout" /* milliseconds left */
/* UUID version 7, see outcome.h */
#define CC_HDR_IDEMPOTENCY "Idempotency-Key"

/* Answer headers. */
#define CC_HDR_OUTCOME "X-Outcome"         /* run, not-run or unknown */
#define CC_HDR_RETRY_MS "X-Retry-After-Ms" /* Retry-After, finer */
#define CC_HDR_REASON "X-Reason" /* one word, see the operators' page */

/* Headers between a dispatcher and a server. */
#define CC_HDR_TERM "X-Grant-Term"   /* counts the holders of the server */
#define CC_HDR_SLICE "X-Grant-Slice" /* slice of the key */
#define CC_HDR_EPOCH "X-Grant-Epoch" /* counts the owners of the slice */
#define CC_HDR_DEADLINE "X-Deadline" /* Unix time in ms, absolute */
#define CC_HDR_RUN_ID "X-Run-Id"     /* this one attempt */

/* Bounds on all that comes from outside. */
#define CC_KEY_MAX 1024 /* bytes of a key */
#define CC_NAME_MAX 128 /* bytes of a class, tenant or pool name */
#define CC_BODY_MAX (8 * 1024 * 1024) /* bytes of a body, either way */
#define CC_HEADERS_MAX (32 * 1024)    /* bytes of all headers of a request */
#define CC_TIMEOUT_MAX_MS 60000       /* longest deadline of any class */

/* How far a caller's clock may be ahead of ours.  Callers are tills and
 * phones, so the bound is generous.  It delays the first once-only request
 * after a takeover by as much, see outcome.h. */
#define CC_SKEW_MAX (500 * CC_MS)

/* Greatest difference between two instances' wall clocks, which are kept by
 * NTP within a few ms. */
#define CC_INSTANCE_SKEW_MAX (100 * CC_MS)

/* Returns the name of OUTCOME as it stands in the answer's header. */
const char *cc_outcome_name (CcOutcome outcome);

#endif
