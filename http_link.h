/* An HTTP/1.1 client that reports how far each request got.
 *
 * Whether a request may be sent again depends on whether any of its bytes left
 * the process, and on whether an answer belongs to it.  Client libraries that
 * hide their connections report neither, so calls to servers and to the table
 * service go through this client. */
#ifndef CC_HTTP_LINK_H
#define CC_HTTP_LINK_H

#include "capercrank.h"
#include "memory_budget.h"

typedef struct CcHttp CcHttp;
typedef struct CcHttpCall CcHttpCall;

typedef enum
{
  CC_HTTP_ANSWERED,  /* a complete answer was received */
  CC_HTTP_UNSENT,    /* no byte of the request was sent: it has not run */
  CC_HTTP_WITHDRAWN, /* the same, because MAY_SEND forbade it */
  CC_HTTP_LOST, /* sent, then the connection failed or the answer was invalid */
  CC_HTTP_TIMED_OUT /* sent, no complete answer within the timeout */
} CcHttpOutcome;

/* The cause of a lost answer whose body is larger than any that is accepted. */
#define CC_HTTP_TOO_LARGE "too-large"

/* A request; cc_http_send copies all of it. */
typedef struct
{
  const char *address; /* IP:PORT of the peer */
  const char *head;    /* request line and headers, each line with CRLF, without
                          Content-Length and the final empty line */
  GBytes *body;        /* NULL: none */
  gboolean bodiless;   /* the answer to this method has no body (HEAD) */
  const char *echo;    /* header whose value in the answer must be ECHO_VALUE,
                          if present; NULL: not checked */
  const char *echo_value; /* sent on no connection that has carried it before */
  const char *id_header;  /* sends a unique id in this header, which the peer
                             copies to its answer; used in place of ECHO.  An
                             answer without it counts only as the first one on a
                             connection, which is then closed; NULL: no id */
  gboolean repeats; /* with ID_HEADER: a request that repeats an earlier one, so
                       that its success does no harm if it is that of another;
                       one without an id counts if the peer sends no ids */
  gint64 connect_timeout; /* for a new connection, us */
  gint64 answer_timeout;  /* for the complete answer, connecting included, us */
  gint64 stall_timeout; /* the answer timeout is extended while bytes arrive at
                            intervals up to this, us; 0: never extended */
  gint64 extend_max;    /* limit of all extensions together, us */
  gint64 idle_max;     /* reuse connections idle for at most this, us; 0: always
                           open a new one */
  gint64 connected_by; /* use only an idle connection that was open at this
                          time, us of cc_clock_now, which proves that the peer
                          is the same process as then; 0: any connection */
  gboolean closes; /* sends "Connection: close", and closes the connection */
  guint connections_max; /* open connections to this address; 0: no limit */
  gboolean (*may_send) (gpointer data); /* decides, with the DATA of the call,
                          right before the first byte is sent; NULL: always */
} CcHttpRequest;

typedef struct
{
  CcHttpOutcome end;
  const char *why;     /* cause, if there is no answer; one word */
  gboolean reused;     /* sent on a reused connection */
  guint64 connection;  /* its number since the start of the client, from 1 */
  gboolean same_id;    /* an idle connection was passed over, since it had
                          carried a request with the same ECHO_VALUE */
  gint64 connected_at; /* when its connection was established, us; 0: never */
  gsize received;      /* bytes received, also of an incomplete answer */
  guint status;        /* of an answer */
  GVariant *headers;   /* of an answer, packed (headers.h) */
  GBytes *body;        /* of an answer */
  guint head_status;   /* of the head of an answer, whether or not the rest of
                          that arrived; 0: none */
  GVariant *head;      /* its headers, packed; NULL: none */
} CcHttpResult;

/* Called once, with the result of a call; R is valid during it. */
typedef void (*CcHttpDone) (const CcHttpResult *r, gpointer data);

/* How an attempt to connect without a request ended. */
typedef enum
{
  CC_HTTP_CONNECTED,
  CC_HTTP_REFUSED,      /* nothing listens at the address */
  CC_HTTP_NOT_CONNECTED /* no response, or another failure */
} CcHttpConnectEnd;

/* Called once, with the end of an attempt to connect. */
typedef void (*CcHttpConnected) (CcHttpConnectEnd end, gpointer data);

CcHttp *cc_http_new (const char *local_ip);
void cc_http_set_budget (CcHttp *h, CcMemoryBudget *budget);
void cc_http_free (CcHttp *h);
CcHttpCall *cc_http_send (CcHttp *h, const CcHttpRequest *request,
                          CcHttpDone done, gpointer data);
gboolean cc_http_connect (CcHttp *h, const char *address, gint64 timeout,
                          CcHttpConnected done, gpointer data);
gboolean cc_http_is_sent (const CcHttpCall *c);
void cc_http_cancel (CcHttpCall *c);
void cc_http_close_idle (CcHttp *h, const char *address);
guint cc_http_open_connections (const CcHttp *h);
guint64 cc_http_connections_opened (const CcHttp *h);
gint64 cc_http_long_answer_time (const CcHttp *h);
const char *cc_http_header (const CcHttpResult *r, const char *name);

#endif
