/* The connections of a client, by peer: opened, kept while idle, closed.
 *
 * Connections can go silent for good with nobody telling.  TCP's own probes
 * show it within KEEPALIVE_* and cost a packet a second on idle ones only. */
#include "http_state.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "clock.h"
#include "settings.h"

#define KEEPALIVE_IDLE_S 1   /* seconds without a byte before a probe */
#define KEEPALIVE_PERIOD_S 1 /* seconds between probes */
#define KEEPALIVE_PROBES 2   /* unanswered ones that end a connection */
#define USER_TIMEOUT_MS 2500 /* bytes unacknowledged that end a connection */

static void
peer_free (gpointer data)
{
  CcHttpPeer *p = data;

  g_ptr_array_unref (p->idle);
  g_object_unref (p->where);
  g_free (p);
}

/* A client whose connections come from LOCAL_IP. */
CcHttp *
cc_http_new (const char *local_ip)
{
  CcHttp *h = g_new0 (CcHttp, 1);

  h->local = g_inet_address_new_from_string (local_ip);
  h->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, peer_free);
  return h;
}

/* Makes the close of C a reset.
 *
 * The failure: the peer is cut off, a call to it is given up, and its bytes
 * wait in the kernel.  After a plain close they are still delivered when the
 * link heals.  The symptom: a grant of keys that were given to another long ago
 * arrives and is honoured, or work begins whose caller was told that it failed.
 * A reset drops what has not been delivered. */
void
cc_http_connection_drop_unsent (CcHttpConnection *c)
{
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  (void) setsockopt (g_socket_get_fd (c->socket), SOL_SOCKET, SO_LINGER,
                     &at_once, sizeof at_once);
}

/* Closes C, whose call has ended, and frees it. */
void
cc_http_connection_close (CcHttpConnection *c)
{
  cc_fd_watch_stop (&c->watch);
  g_ptr_array_remove (c->peer->idle, c);
  c->peer->open--;
  c->http->open--;
  g_socket_close (c->socket, NULL);
  g_object_unref (c->socket);
  g_free (c);
}

/* C, whose call has ended, may carry another. */
void
cc_http_connection_keep (CcHttpConnection *c)
{
  c->used = TRUE;
  c->idle_since = cc_clock_now ();
  g_ptr_array_add (c->peer->idle, c);
  cc_fd_watch_set_conditions (&c->watch, G_IO_IN);
}

/* A kept connection was silent or dead: so may be all that are kept from the
 * same time.  Tried one after the other, each would cost a call its whole
 * time-out. */
void
cc_http_peer_close_idle (CcHttpPeer *p)
{
  while (p->idle->len > 0)
    cc_http_connection_close (p->idle->pdata[0]);
}

/* Ends what is idle.  Calls must have ended before. */
void
cc_http_free (CcHttp *h)
{
  GHashTableIter i;
  gpointer peer;

  g_hash_table_iter_init (&i, h->peers);
  while (g_hash_table_iter_next (&i, NULL, &peer))
    while (((CcHttpPeer *) peer)->idle->len > 0)
      cc_http_connection_close (((CcHttpPeer *) peer)->idle->pdata[0]);
  g_hash_table_unref (h->peers);
  g_object_unref (h->local);
  g_free (h);
}

static void
set_options (GSocket *s)
{
  int fd = g_socket_get_fd (s);
  const struct
  {
    int level, name, value;
  } options[] = {
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_PERIOD_S },
    { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
    { IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS },
  };

  /* A kernel without one of them still carries requests; each call has a
   * time-out of its own. */
  for (guint i = 0; i < G_N_ELEMENTS (options); i++)
    (void) setsockopt (fd, options[i].level, options[i].name, &options[i].value,
                       sizeof options[i].value);
}

/* The connections to ADDRESS (IP:PORT); NULL: it can't be read. */
CcHttpPeer *
cc_http_peer (CcHttp *h, const char *address)
{
  CcHttpPeer *p = g_hash_table_lookup (h->peers, address);
  g_autofree char *ip = NULL;
  guint16 port = 0;

  if (p != NULL)
    return p;
  if (!cc_address_parse (address, &ip, &port))
    return NULL;
  p = g_new0 (CcHttpPeer, 1);
  p->where = g_inet_socket_address_new_from_string (ip, port);
  p->idle = g_ptr_array_new ();
  g_hash_table_insert (h->peers, g_strdup (address), p);
  return p;
}

/* Whether C has nothing to read: a server's close or stray bytes. */
static gboolean
is_quiet (CcHttpConnection *c)
{
  return g_socket_condition_check (c->socket, G_IO_IN | G_IO_HUP | G_IO_ERR) ==
         0;
}

/* An idle connection that was used not longer than IDLE_MAX ago, or NULL.  The
 * one used last is at the end, so if it is too old, all are. */
CcHttpConnection *
cc_http_connection_take_idle (CcHttpPeer *p, gint64 idle_max)
{
  gint64 now = cc_clock_now ();

  while (p->idle->len > 0)
    {
      CcHttpConnection *c = p->idle->pdata[p->idle->len - 1];
      /* The peer's own limit may strike while the request is on its way, and
       * then nobody knows whether it ran: half of it is safe on any link. */
      gint64 limit =
          c->idle_limit > 0 ? MIN (idle_max, c->idle_limit / 2) : idle_max;

      if (now - c->idle_since > limit)
        return NULL;
      if (is_quiet (c))
        {
          g_ptr_array_set_size (p->idle, (gint) p->idle->len - 1);
          return c;
        }
      cc_http_connection_close (c);
    }
  return NULL;
}

/* An idle connection that was open at OPENED_BY and was used not longer than
 * IDLE_MAX ago, or NULL.  The peer's own limit is not observed: who asks for an
 * old one can do without an answer. */
CcHttpConnection *
cc_http_connection_take_older (CcHttpPeer *p, gint64 idle_max, gint64 opened_by)
{
  gint64 now = cc_clock_now ();

  for (guint i = p->idle->len; i > 0; i--)
    {
      CcHttpConnection *c = p->idle->pdata[i - 1];

      if (c->opened_at > opened_by || now - c->idle_since > idle_max ||
          !is_quiet (c))
        continue;
      g_ptr_array_remove_index (p->idle, i - 1);
      return c;
    }
  return NULL;
}

/* A new connection to P, which is being opened; NULL: none can be.  READY is
 * called from then on. */
CcHttpConnection *
cc_http_connection_open (CcHttp *h, CcHttpPeer *p, CcHttpReady ready)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) from = NULL;
  CcHttpConnection *c;
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  if (s == NULL)
    return NULL;
  g_socket_set_blocking (s, FALSE);
  set_options (s);
  from = g_inet_socket_address_new (h->local, 0);
  if (!g_socket_bind (s, from, FALSE, NULL) ||
      (!g_socket_connect (s, p->where, NULL, &error) &&
       !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING)))
    {
      g_object_unref (s);
      return NULL;
    }
  c = g_new0 (CcHttpConnection, 1);
  c->http = h;
  c->peer = p;
  c->socket = s;
  cc_fd_watch_start (&c->watch, g_socket_get_fd (s), G_IO_OUT, ready, c);
  p->open++;
  h->open++;
  h->opened++;
  return c;
}

/* Closes the idle connections to ADDRESS. */
void
cc_http_forget (CcHttp *h, const char *address)
{
  CcHttpPeer *p = g_hash_table_lookup (h->peers, address);

  if (p != NULL)
    cc_http_peer_close_idle (p);
}

/* Connections that are open now. */
guint
cc_http_open (const CcHttp *h)
{
  return h->open;
}

/* Connections that were opened since the start. */
guint64
cc_http_opened (const CcHttp *h)
{
  return h->opened;
}
