/* The state of a client and of its connections, for http_link.c and http_pool.c
 * only. */
#ifndef CC_HTTP_STATE_H
#define CC_HTTP_STATE_H

#include <gio/gio.h>
#include <http_parser.h>

#include "fd_watch.h"
#include "http_link.h"

/* The connections to one address. */
typedef struct
{
  GSocketAddress *where;
  GPtrArray *idle; /* of CcHttpConnection, the one used last at the end */
  guint open;      /* connections, idle ones included */
} CcHttpPeer;

struct CcHttp
{
  GInetAddress *local; /* calls come from it */
  GHashTable *peers;   /* address to CcHttpPeer */
  guint open;          /* connections of all peers */
  guint64 opened;      /* connections ever opened */
};

typedef struct
{
  CcHttp *http;
  CcHttpPeer *peer;
  GSocket *socket;
  CcFdWatch watch;  /* of SOCKET */
  CcHttpCall *call; /* in progress; NULL: idle */
  http_parser parser;
  gint64 opened_at;  /* us; 0: not yet */
  gint64 idle_since; /* us */
  gint64 idle_limit; /* us that the peer keeps it idle; 0: not said */
  gboolean connected;
  gboolean used;     /* has carried a request before this one */
  gboolean tainted;  /* to be closed after this call */
  gboolean finished; /* the parser saw the whole answer */
  gboolean skipping; /* the answer is another request's */
} CcHttpConnection;

/* C, which is DATA, can be read or written, or has failed: SEEN. */
typedef void (*CcHttpReady) (GIOCondition seen, gpointer data);

CcHttpPeer *cc_http_find_peer (CcHttp *h, const char *address);
CcHttpConnection *cc_http_connection_take_idle (CcHttpPeer *p, gint64 idle_max);
CcHttpConnection *cc_http_connection_take_older (CcHttpPeer *p, gint64 idle_max,
                                                 gint64 opened_by);
CcHttpConnection *cc_http_connection_open (CcHttp *h, CcHttpPeer *p,
                                           CcHttpReady ready);
void cc_http_connection_keep (CcHttpConnection *c);
void cc_http_connection_close (CcHttpConnection *c);
void cc_http_connection_reset_on_close (CcHttpConnection *c);
void cc_http_peer_close_idle (CcHttpPeer *p);

#endif
