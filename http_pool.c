/* The connection pool of an HTTP client: opens connections, keeps idle ones for
 * each peer, and closes them.
 *
 * A connection can fail without either side being notified.  TCP keepalive
 * probes detect that within the times below, at a cost of one packet a second
 * on idle connections only. */
#include "http_state.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "clock.h"
#include "settings.h"

#define KEEPALIVE_IDLE_S 1   /* idle time before the first probe */
#define KEEPALIVE_PERIOD_S 1 /* time between probes */
#define KEEPALIVE_PROBES 2   /* unanswered probes that end a connection */
/* No call uses a connection that has been idle for so long (idle_max).  A newer
 * one takes its place, so without a limit they would add up. */
#define IDLE_CLOSED_AFTER (30 * CC_SECOND)
#define SWEEP_PERIOD (10 * CC_SECOND) /* between two searches for such ones */
#define USER_TIMEOUT_MS 2500          /* limit for unacknowledged data */

static void
peer_free (gpointer data)
{
  CcHttpPeer *p = data;

  g_ptr_array_unref (p->idle);
  g_object_unref (p->socket_address);
  g_free (p);
}

/* Closes the connections of H that have been idle for IDLE_CLOSED_AFTER. */
static void
on_sweep (gpointer data)
{
  CcHttp *h = data;
  gint64 from = cc_clock_now () - IDLE_CLOSED_AFTER;
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, h->peers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      GPtrArray *idle = ((CcHttpPeer *) value)->idle;

      while (idle->len > 0 &&
             ((CcHttpConnection *) idle->pdata[0])->idle_since <= from)
        cc_http_connection_close (idle->pdata[0]);
    }
  if (h->open > 0)
    cc_timer_start (&h->sweep, SWEEP_PERIOD, on_sweep, h);
}

/* Returns a client whose connections have the source address LOCAL_IP. */
CcHttp *
cc_http_new (const char *local_ip)
{
  CcHttp *h = g_new0 (CcHttp, 1);

  h->local_address = g_inet_address_new_from_string (local_ip);
  h->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, peer_free);
  return h;
}

/* Counts the answers of later calls in BUDGET, which must outlive them. */
void
cc_http_set_budget (CcHttp *h, CcMemoryBudget *budget)
{
  h->budget = budget;
}

/* Makes the close of C a reset, which discards data that was not delivered.
 *
 * Failure: the peer is cut off and a call to it times out while its bytes are
 * in the kernel's send buffer.  After a normal close they are still delivered
 * when the network recovers.  Symptom: the peer accepts a grant of keys that
 * have long been given to another server, or starts work that was reported to
 * its caller as failed. */
void
cc_http_connection_reset_on_close (CcHttpConnection *c)
{
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  (void) setsockopt (g_socket_get_fd (c->socket), SOL_SOCKET, SO_LINGER,
                     &at_once, sizeof at_once);
}

/* Removes C from those that wait to be read if it is one of them. */
void
cc_http_connection_wait_no_more (CcHttpConnection *c)
{
  if (c->waiting.data == NULL)
    return;
  g_queue_unlink (&c->http->long_waiting, &c->waiting);
  c->waiting.data = NULL;
}

/* Closes and frees C, which must have no call. */
void
cc_http_connection_close (CcHttpConnection *c)
{
  cc_http_connection_wait_no_more (c);
  cc_fd_watch_stop (&c->watch);
  g_ptr_array_remove (c->peer->idle, c);
  c->peer->open--;
  c->http->open--;
  cc_carried_ids_clear (&c->ids);
  g_socket_close (c->socket, NULL);
  g_object_unref (c->socket);
  g_free (c);
}

/* Keeps C, whose call has ended, as an idle connection. */
void
cc_http_connection_keep (CcHttpConnection *c)
{
  c->used = TRUE;
  c->idle_since = cc_clock_now ();
  g_ptr_array_add (c->peer->idle, c);
  if (c->http->sweep.place == NULL)
    cc_timer_start (&c->http->sweep, SWEEP_PERIOD, on_sweep, c->http);
  cc_fd_watch_set_conditions (&c->watch, G_IO_IN);
}

/* Closes all idle connections to P.  After a call on a reused connection failed
 * or timed out, the other idle connections are likely dead as well, and each
 * would cost another call its whole timeout. */
void
cc_http_peer_close_idle (CcHttpPeer *p)
{
  while (p->idle->len > 0)
    cc_http_connection_close (p->idle->pdata[0]);
}

/* Frees H and its idle connections.  All calls must have ended. */
void
cc_http_free (CcHttp *h)
{
  GHashTableIter i;
  gpointer peer;

  cc_timer_stop (&h->sweep);
  cc_timer_stop (&h->long_timer);
  g_hash_table_iter_init (&i, h->peers);
  while (g_hash_table_iter_next (&i, NULL, &peer))
    while (((CcHttpPeer *) peer)->idle->len > 0)
      cc_http_connection_close (((CcHttpPeer *) peer)->idle->pdata[0]);
  g_hash_table_unref (h->peers);
  g_object_unref (h->local_address);
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

  /* Errors are ignored: requests work without these options, since each call
   * has a timeout of its own. */
  for (guint i = 0; i < G_N_ELEMENTS (options); i++)
    (void) setsockopt (fd, options[i].level, options[i].name, &options[i].value,
                       sizeof options[i].value);
}

/* The peer at ADDRESS (IP:PORT), which is created if needed; NULL: ADDRESS is
 * invalid. */
CcHttpPeer *
cc_http_find_peer (CcHttp *h, const char *address)
{
  CcHttpPeer *p = g_hash_table_lookup (h->peers, address);
  g_autofree char *ip = NULL;
  guint16 port = 0;

  if (p != NULL)
    return p;
  if (!cc_address_parse (address, &ip, &port))
    return NULL;
  p = g_new0 (CcHttpPeer, 1);
  p->socket_address = g_inet_socket_address_new_from_string (ip, port);
  p->idle = g_ptr_array_new ();
  g_hash_table_insert (h->peers, g_strdup (address), p);
  return p;
}

/* Whether C has nothing to read.  An idle connection with something to read was
 * closed by the peer or has received stray bytes. */
static gboolean
has_nothing_to_read (CcHttpConnection *c)
{
  return g_socket_condition_check (c->socket, G_IO_IN | G_IO_HUP | G_IO_ERR) ==
         0;
}

/* Whether C has been idle for longer than RULE allows at NOW.  The peer may
 * close a connection at its own limit while the request is in transit, which
 * leaves the outcome unknown; half of that limit is safe on any link.  Requests
 * that require an existing connection tolerate the loss of their answer. */
static gboolean
is_idle_too_long (const CcHttpConnection *c, const CcHttpIdleRule *rule,
                  gint64 now)
{
  gint64 limit = rule->idle_max;

  if (rule->opened_by == 0 && c->idle_limit > 0)
    limit = MIN (limit, c->idle_limit / 2);
  return limit <= 0 || now - c->idle_since > limit;
}

/* Whether C is one of those among which RULE lets a request choose. */
static gboolean
is_eligible (const CcHttpConnection *c, const CcHttpIdleRule *rule)
{
  return !(rule->identified && c->unidentified) &&
         (rule->opened_by == 0 || c->opened_at <= rule->opened_by);
}

/* Takes the most recently used idle connection to P that RULE allows out of the
 * pool; NULL: there is none.  Sets *SAME_ID to whether one was passed over
 * because it has carried the id of RULE. */
CcHttpConnection *
cc_http_connection_take_idle (CcHttpPeer *p, const CcHttpIdleRule *rule,
                              gboolean *same_id)
{
  gint64 now = cc_clock_now ();

  *same_id = FALSE;
  for (guint i = p->idle->len; i > 0; i--)
    {
      CcHttpConnection *c = p->idle->pdata[i - 1];

      if (!is_eligible (c, rule))
        continue;
      if (is_idle_too_long (c, rule, now))
        return NULL;
      if (rule->has_id && cc_carried_ids_has (&c->ids, rule->id))
        {
          *same_id = TRUE;
          continue;
        }
      if (has_nothing_to_read (c))
        {
          g_ptr_array_remove_index (p->idle, i - 1);
          return c;
        }
      cc_http_connection_close (c);
    }
  return NULL;
}

/* Starts to open a connection to P.  READY is called when it is established or
 * has failed, and for each later event.  If it fails at once, for want of a
 * route for example, it is returned as unconnectable and READY is not called.
 * Returns NULL if this process has no descriptor, port or watch for it. */
CcHttpConnection *
cc_http_connection_open (CcHttp *h, CcHttpPeer *p, CcHttpReady ready)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) from = NULL;
  gboolean begun;
  CcHttpConnection *c;
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  if (s == NULL)
    return NULL;
  g_socket_set_blocking (s, FALSE);
  set_options (s);
  from = g_inet_socket_address_new (h->local_address, 0);
  if (!g_socket_bind (s, from, FALSE, NULL))
    {
      g_object_unref (s);
      return NULL;
    }
  begun = g_socket_connect (s, p->socket_address, NULL, &error) ||
          g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING);
  /* All local ports are in use: the peer may well be reachable. */
  if (!begun && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE))
    {
      g_object_unref (s);
      return NULL;
    }
  c = g_new0 (CcHttpConnection, 1);
  c->http = h;
  c->peer = p;
  c->socket = s;
  c->unconnectable = !begun;
  if (begun &&
      !cc_fd_watch_start (&c->watch, g_socket_get_fd (s), G_IO_OUT, ready, c))
    {
      g_object_unref (s);
      g_free (c);
      return NULL;
    }
  p->open++;
  h->open++;
  c->number = ++h->opened;
  return c;
}

/* Closes the idle connections to ADDRESS. */
void
cc_http_close_idle (CcHttp *h, const char *address)
{
  CcHttpPeer *p = g_hash_table_lookup (h->peers, address);

  if (p != NULL)
    cc_http_peer_close_idle (p);
}

/* The number of connections that are open or being opened. */
guint
cc_http_open_connections (const CcHttp *h)
{
  return h->open;
}

/* The number of connections opened since the start. */
guint64
cc_http_connections_opened (const CcHttp *h)
{
  return h->opened;
}
