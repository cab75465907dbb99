/* The messages between capercrank's own processes, and their codec. */
#ifndef CC_WIRE_H
#define CC_WIRE_H

#include <glib.h>

#include "capercrank.h"

#define CC_WIRE_VERSION 1
#define CC_WIRE_MAX (CC_BODY_MAX + CC_HEADERS_MAX + 65536) /* bytes */

typedef enum
{
  CC_MSG_SYNC = 1, /* "I hold rows up to this version; send what is newer" */
  CC_MSG_ROWS,     /* rows of the view, in answer to SYNC or unasked */
  CC_MSG_REQUEST,  /* entry to dispatcher: a caller's request */
  CC_MSG_REPLY,    /* dispatcher to entry: its outcome */
  CC_MSG_CANCEL,   /* entry to dispatcher: the caller went away */
  CC_MSG_REPORT,   /* dispatcher to assigner: state of one server */
  CC_MSG_OUTCOMES, /* dispatcher to dispatcher: memory of a moved slice */
  CC_MSG_VOTE,     /* lease promises, see promise.h */
  CC_MSG_RELAY,    /* a table write done for a peer cut off from the platform */
  CC_MSG_PING      /* is the link alive? and the answer, see link_health.h */
} CcMessageKind;

typedef struct
{
  guint64 upto; /* version of the table the sender is complete up to */
} CcMsgSync;

typedef struct
{
  guint64 since; /* complete only for who holds rows up to here */
  guint64 upto;
  GVariant *rows; /* a(sts): key, version, value; "" is a deleted row */
} CcMsgRows;

typedef struct
{
  const char *class_name;
  const char *tenant;
  const char *idempotency; /* "" if none */
  const char *method;
  const char *path; /* with the query */
  gint64 deadline;  /* wall clock, us */
  guint64 epoch;    /* of the slice, as the entry knows it */
  GBytes *key;
  GVariant *headers; /* packed, see headers.h */
  GBytes *body;
} CcMsgRequest;

typedef struct
{
  CcOutcome outcome;
  gboolean reroute;    /* not run here: ask the owner in a newer map */
  const char *reason;  /* one word for the answer's header */
  guint32 retry_after; /* ms; with not-run */
  guint32 status;      /* HTTP status of the server's answer; 0 if none */
  GVariant *headers;   /* packed, see headers.h */
  GBytes *body;
} CcMsgReply;

typedef struct
{
  guint64 request; /* id of the request no longer wanted */
} CcMsgCancel;

typedef struct
{
  const char *instance; /* the dispatcher */
  const char *pool;
  const char *server;
  guint64 applied; /* all that this map version ended here has stopped */
  guint32 state;   /* CcServerHealth */
  guint32 running; /* requests in the server */
  guint32 queued;  /* requests waiting */
  GVariant *loads; /* a(ud): unit, slots it keeps busy */
  GVariant *hot;   /* a(tud): key hash, its unit, slots */
} CcMsgReport;

typedef struct
{
  const char *pool;
  guint32 slice;
  guint64 epoch;     /* of the slice in the hold that this is for */
  guint64 term;      /* of the server in that hold */
  gint64 horizon;    /* wall clock, us: older keys are not remembered */
  guint32 index;     /* of this chunk, from 0 */
  gboolean last;     /* the memory of the slice is complete with this */
  GVariant *entries; /* a(syuayay): key, outcome, status, headers, body */
} CcMsgOutcomes;

typedef struct
{
  guint32 what;         /* CcVoteKind of promise.h */
  const char *instance; /* whose lease */
  guint64 term;         /* of that lease */
  guint64 ballot;       /* matches an answer to its question */
} CcMsgVote;

typedef struct
{
  gboolean answer;  /* FALSE: please write; TRUE: this came of it */
  guint32 status;   /* HTTP status of the platform; 0: not reached */
  const char *body; /* the transaction, or its answer, JSON */
} CcMsgRelay;

typedef struct
{
  gboolean answer;
  guint64 sequence; /* counts the asker's pings on the link */
} CcMsgPing;

/* A typed message.  from, to, id, expires and reply_to are its envelope. */
typedef struct
{
  CcMessageKind kind;
  guint64 from;         /* sender's incarnation */
  guint64 to;           /* receiver's incarnation it is meant for; 0: any */
  guint64 id;           /* never reused by a sender within its incarnation */
  gint64 expires;       /* wall clock, us; dropped after; 0: never */
  const char *reply_to; /* the sender's address, IP:PORT */
  union
  {
    CcMsgSync sync;
    CcMsgRows rows;
    CcMsgRequest request;
    CcMsgReply reply;
    CcMsgCancel cancel;
    CcMsgReport report;
    CcMsgOutcomes outcomes;
    CcMsgVote vote;
    CcMsgRelay relay;
    CcMsgPing ping;
  } u;
  GVariant *backing; /* owns all strings of a decoded message */
} CcMessage;

GBytes *cc_wire_encode (const CcMessage *m);
CcStatus cc_wire_decode (GBytes *bytes, CcMessage *m);
void cc_message_clear (CcMessage *m);

#endif
