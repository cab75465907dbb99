/* Calls over HTTP/1.1 on connections whose bytes are seen one by one.
 *
 * A session that hides its connections can't say whether a request has left
 * the process, nor whether an answer came where none was due.  Both decide
 * whether work may be sent again, so calls to servers and to the table service
 * go through this client. */
#ifndef CC_HTTP_LINK_H
#define CC_HTTP_LINK_H

#include "capercrank.h"

typedef struct CcHttp CcHttp;
typedef struct CcHttpCall CcHttpCall;

typedef enum
{
  CC_HTTP_ANSWERED, /* a whole answer came */
  CC_HTTP_UNSENT,   /* no byte of the request left: it has not run */
  CC_HTTP_LOST,     /* sent, then the connection failed or sent nonsense */
  CC_HTTP_TIMED_OUT /* sent, no whole answer within the time allowed */
} CcHttpOutcome;

/* What is to be sent; everything is copied. */
typedef struct
{
  const char *address; /* IP:PORT of the peer */
  const char *head;    /* request line and headers, each line with CRLF, but
                          the length of the body and the empty line */
  GBytes *body;        /* NULL: none */
  gboolean bodiless;   /* the answer to this method has no body (HEAD) */
  const char *echo;    /* header that bears ECHO_VALUE in the answer; NULL */
  const char *echo_value;
  gint64 connect_timeout; /* us until a new connection must stand */
  gint64 answer_timeout;  /* us until the whole answer must be here ... */
  gint64 stall_timeout; /* ... unless it goes on arriving, with no pause longer
                          than this, us; 0: no exception */
  gint64 extend_max;    /* ... and for so much longer in all, us */
  gint64 idle_max;      /* reuse a connection idle no longer, us; 0: new one */
  gint64 connected_by; /* use only a kept one that was open at this time, us, so
                          that the peer is the process that it was then; 0: any
                        */
  gboolean closes;     /* the peer is told that nothing follows on it */
  guint connections_max; /* open connections to this address; 0: no bound */
} CcHttpRequest;

typedef struct
{
  CcHttpOutcome end;
  const char *why;     /* of an end without answer, one word */
  gboolean reused;     /* it went out on a kept connection */
  gint64 connected_at; /* when its connection was opened, us; 0: it was not */
  gsize received;      /* bytes that came, of an incomplete answer too */
  guint status;        /* of an answer */
  GVariant *headers;   /* packed, see headers.h */
  GBytes *body;
} CcHttpResult;

/* R is valid during the call. */
typedef void (*CcHttpDone) (const CcHttpResult *r, gpointer data);

CcHttp *cc_http_new (const char *local_ip);
void cc_http_free (CcHttp *h);
CcHttpCall *cc_http_send (CcHttp *h, const CcHttpRequest *o, CcHttpDone done,
                          gpointer data);
void cc_http_cancel (CcHttpCall *c);
void cc_http_close_idle (CcHttp *h, const char *address);
guint cc_http_open_connections (const CcHttp *h);
guint64 cc_http_connections_opened (const CcHttp *h);
const char *cc_http_header (const CcHttpResult *r, const char *name);

#endif
