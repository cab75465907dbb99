/* The state of an HTTP client and its connections, private to http_link.c and
 * http_pool.c. */
#ifndef CC_HTTP_STATE_H
#define CC_HTTP_STATE_H

#include <gio/gio.h>
#include <http_parser.h>

#include "carried_ids.h"
#include "fd_watch.h"
#include "http_link.h"
#include "read_share.h"
#include "timers.h"

/* The connections to one address. */
typedef struct
{
  GSocketAddress *socket_address;
  GPtrArray *idle; /* of CcHttpConnection, the most recently used last */
  guint open;      /* connections, idle ones included */
} CcHttpPeer;

struct CcHttp
{
  GInetAddress *local_address; /* source address of connections */
  GHashTable *peers;           /* address to CcHttpPeer */
  guint open;                  /* connections of all peers */
  guint64 opened;              /* connections opened since the start */
  guint64 start;               /* part of its ids; 0: none was sent yet */
  guint64 ids;                 /* ids sent since the start */
  CcTimer sweep;               /* closes connections that stay idle */
  gsize buffered;              /* bytes of bodies of calls in progress */
  CcReadShare long_share;      /* of the time, for reading long answers */
  gint64 long_time;            /* spent on that, us */
  GQueue long_waiting;         /* of CcHttpConnection, for their share */
  CcTimer long_timer;          /* until the first of these may be read */
  CcMemoryBudget *budget;      /* that counts answers; NULL: none */
};

typedef struct
{
  CcHttp *http;
  CcHttpPeer *peer;
  GSocket *socket;
  CcFdWatch watch;  /* of SOCKET; stopped while it waits to be read */
  GList waiting;    /* in the client's LONG_WAITING; no data: it is not */
  CcHttpCall *call; /* in progress; NULL: idle */
  http_parser parser;
  guint64 number;    /* counts the connections of the client from 1 */
  CcCarriedIds ids;  /* of callers' requests */
  gint64 opened_at;  /* when it was established, us; 0: not yet */
  gint64 idle_since; /* us */
  gint64 idle_limit; /* the peer's Keep-Alive timeout, us; 0: unknown */
  gboolean connected;
  gboolean unconnectable;    /* the attempt to connect failed at once */
  gboolean used;             /* was idle before */
  gboolean carried;          /* has carried an earlier request, or an answer to
                                one */
  gboolean unidentified;     /* an answer on it named no request, so that later
                                ones can't be told apart */
  gboolean close_after_call; /* must not be reused */
  gboolean finished;         /* the complete answer was parsed */
  gboolean skipping;         /* the answer being parsed is to another request */
} CcHttpConnection;

/* Which idle connections a request may use. */
typedef struct
{
  gint64 idle_max;     /* that have been idle for at most this, us */
  gint64 opened_by;    /* that were open at this time, us of cc_clock_now; 0: of
                          any age */
  gboolean identified; /* on which every answer has named its request */
  gboolean has_id;     /* that have not carried the id with the hash ID */
  guint64 id;
} CcHttpIdleRule;

/* DATA, a CcHttpConnection, is readable or writable, or has failed, according
 * to CONDITION. */
typedef void (*CcHttpReady) (GIOCondition condition, gpointer data);

CcHttpPeer *cc_http_find_peer (CcHttp *h, const char *address);
CcHttpConnection *cc_http_connection_take_idle (CcHttpPeer *p,
                                                const CcHttpIdleRule *rule,
                                                gboolean *same_id);
CcHttpConnection *cc_http_connection_open (CcHttp *h, CcHttpPeer *p,
                                           CcHttpReady ready);
void cc_http_connection_keep (CcHttpConnection *c);
void cc_http_connection_wait_no_more (CcHttpConnection *c);
void cc_http_connection_close (CcHttpConnection *c);
void cc_http_connection_reset_on_close (CcHttpConnection *c);
void cc_http_peer_close_idle (CcHttpPeer *p);

#endif
