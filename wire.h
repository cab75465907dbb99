/* The messages between capercrank's processes and their codec. */
#ifndef CC_WIRE_H
#define CC_WIRE_H

#include <glib.h>

#include "capercrank.h"

#define CC_WIRE_VERSION 1
#define CC_WIRE_MAX (CC_BODY_MAX + CC_HEADERS_MAX + 65536) /* bytes */

typedef enum
{
  CC_MSG_SYNC = 1, /* request for rows newer than a version */
  CC_MSG_ROWS,     /* rows of the view, in reply to SYNC or pushed */
  CC_MSG_REQUEST,  /* entry to dispatcher: a caller's request */
  CC_MSG_REPLY,    /* dispatcher to entry: its outcome */
  CC_MSG_CANCEL,   /* entry to dispatcher: the caller disconnected */
  CC_MSG_REPORT,   /* dispatcher to assigner: state of one server */
  CC_MSG_OUTCOMES, /* dispatcher to dispatcher: records of a moved slice */
  CC_MSG_VOTE,     /* lease promises, see promise.h */
  CC_MSG_RELAY, /* table write on behalf of a peer cut off from the platform */
  CC_MSG_PING   /* link check and its answer, see link_health.h */
} CcMessageKind;

typedef struct
{
  guint64 upto; /* the sender has all rows up to this table version */
} CcMsgSync;

typedef struct
{
  guint64 since;  /* for receivers that have all rows up to this version */
  guint64 upto;   /* receivers then have all rows up to this version */
  GVariant *rows; /* a(sts): key, version, value ("": deleted) */
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
  gboolean reroute;    /* not run here: retry at the owner in a newer map */
  const char *reason;  /* one word, for CC_HDR_REASON */
  guint32 retry_after; /* ms; with not-run */
  guint32 status;      /* HTTP status of the server's answer; 0 if none */
  GVariant *headers;   /* packed, see headers.h */
  GBytes *body;
} CcMsgReply;

typedef struct
{
  guint64 request; /* id of the request to cancel */
} CcMsgCancel;

typedef struct
{
  const char *instance; /* the dispatcher */
  const char *pool;
  const char *server;
  guint64 applied; /* all work that this map version moved away has stopped */
  guint32 state;   /* CcServerHealth */
  guint32 running; /* requests in the server */
  guint32 queued;  /* requests waiting */
  GVariant *loads; /* a(ud): unit, slots that it occupies */
  GVariant *hot;   /* a(tud): key hash, its unit, slots */
} CcMsgReport;

typedef struct
{
  const char *pool;
  guint32 slice;
  guint64 epoch;     /* of the slice in the receiver's hold */
  guint64 term;      /* of the server in that hold */
  gint64 horizon;    /* wall clock, us: there are no records of older keys */
  guint32 index;     /* of this chunk, from 0 */
  gboolean last;     /* the last chunk of the slice */
  GVariant *entries; /* a(syuayay): key, outcome, status, headers, body */
} CcMsgOutcomes;

typedef struct
{
  guint32 what;         /* CcVoteKind of promise.h */
  const char *instance; /* whose lease */
  guint64 row_version;  /* version of that lease's row */
  guint64 ballot;       /* matches a reply to its request */
} CcMsgVote;

typedef struct
{
  gboolean answer;  /* FALSE: request to write; TRUE: its result */
  guint32 status;   /* HTTP status of the platform; 0: not reached */
  const char *body; /* the transaction or the platform's response, JSON */
} CcMsgRelay;

typedef struct
{
  gboolean answer;
  guint64 sequence; /* number of the ping on the link, counted by its sender */
} CcMsgPing;

/* A message.  from, to, id, expires and reply_to form its envelope. */
typedef struct
{
  CcMessageKind kind;
  guint64 from;         /* sender's incarnation */
  guint64 to;           /* incarnation of the recipient; 0: any */
  guint64 id;           /* never reused by a sender within its incarnation */
  gint64 expires;       /* wall clock, us: dropped afterwards; 0: never */
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
