/* One request at a time on a connection; the parser is http_parser's.
 *
 * Bytes that no request asked for belong to nobody.  A server's second answer
 * may come late, where the next one is due, and be taken for it; so an answer
 * that bears another request's echo is passed over, and a connection that ever
 * showed surplus bytes, or an answer before its request was written, is closed
 * after the call.  An idle connection that becomes readable is closed at once.
 *
 * Connections can go silent for good with nobody telling.  TCP's own probes
 * show it within KEEPALIVE_* and cost a packet a second on idle ones only. */
#include "http_link.h"

#include <errno.h>
#include <gio/gio.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "clock.h"
#include "fd_watch.h"
#include "headers.h"
#include "settings.h"
#include "timers.h"

#define READ_SIZE 16384      /* bytes; answers are 0.2 to 9 kB today */
#define KEEPALIVE_IDLE_S 1   /* seconds without a byte before a probe */
#define KEEPALIVE_PERIOD_S 1 /* seconds between probes */
#define KEEPALIVE_PROBES 2   /* unanswered ones that end a connection */
#define USER_TIMEOUT_MS                                                        \
  2500 /* bytes unacknowledged for so long: it is dead                         \
        */
/* Bounds on one answer, so that a broken server can't fill the memory, nor hold
 * a call for ever with a byte now and then. */
#define ANSWER_MAX (16 * 1024 * 1024)
#define ANSWER_TIME_MAX (10 * CC_SECOND)

/* The connections to one address. */
typedef struct
{
  GSocketAddress *where;
  GPtrArray *idle; /* of Connection, the one used last at the end */
  guint open;      /* connections, idle ones included */
} Peer;

struct CcHttp
{
  GInetAddress *local; /* calls come from it */
  GHashTable *peers;   /* address to Peer */
  guint open;          /* connections of all peers */
  guint64 opened;      /* connections ever opened */
};

typedef struct
{
  CcHttp *http;
  Peer *peer;
  GSocket *socket;
  CcFdWatch watch;  /* of SOCKET */
  CcHttpCall *call; /* in progress; NULL: idle */
  http_parser parser;
  gint64 idle_since; /* us */
  gint64 idle_limit; /* us that the peer keeps it idle; 0: not said */
  gboolean connected;
  gboolean used;     /* has carried a request before this one */
  gboolean tainted;  /* to be closed after this call */
  gboolean finished; /* the parser saw the whole answer */
  gboolean skipping; /* the answer is another request's */
} Connection;

struct CcHttpCall
{
  Connection *connection;
  GByteArray *out;     /* the request */
  gsize written;       /* bytes of it */
  gsize received;      /* bytes of the answer */
  CcTimer timer;       /* connecting, then the whole answer */
  gint64 answer_by;    /* us of cc_clock_now */
  gint64 stall_within; /* see CcHttpOrder */
  gint64 end_by;       /* however the answer goes on, us of cc_clock_now */
  gboolean bodiless;
  char *echo;
  char *echo_value;
  GString *name; /* of the header being read */
  GString *value;
  gboolean in_value;
  GString *headers; /* packed */
  GByteArray *body;
  CcHttpDone done;
  gpointer data;
};

static void
peer_free (gpointer data)
{
  Peer *p = data;

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
static void
drop_unsent (Connection *c)
{
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  (void) setsockopt (g_socket_get_fd (c->socket), SOL_SOCKET, SO_LINGER,
                     &at_once, sizeof at_once);
}

static void
connection_close (Connection *c)
{
  cc_fd_watch_stop (&c->watch);
  g_ptr_array_remove (c->peer->idle, c);
  c->peer->open--;
  c->http->open--;
  g_socket_close (c->socket, NULL);
  g_object_unref (c->socket);
  g_free (c);
}

/* Ends what is idle.  Calls must have ended before. */
void
cc_http_free (CcHttp *h)
{
  GHashTableIter i;
  gpointer peer;

  g_hash_table_iter_init (&i, h->peers);
  while (g_hash_table_iter_next (&i, NULL, &peer))
    while (((Peer *) peer)->idle->len > 0)
      connection_close (((Peer *) peer)->idle->pdata[0]);
  g_hash_table_unref (h->peers);
  g_object_unref (h->local);
  g_free (h);
}

static void
call_free (CcHttpCall *c)
{
  cc_timer_stop (&c->timer);
  g_byte_array_unref (c->out);
  g_byte_array_unref (c->body);
  g_string_free (c->name, TRUE);
  g_string_free (c->value, TRUE);
  g_string_free (c->headers, TRUE);
  g_free (c->echo);
  g_free (c->echo_value);
  g_free (c);
}

/* Gives the connection of a finished call back, or closes it. */
static void
retire (Connection *c)
{
  c->call = NULL;
  if (c->tainted)
    {
      connection_close (c);
      return;
    }
  c->used = TRUE;
  c->idle_since = cc_clock_now ();
  g_ptr_array_add (c->peer->idle, c);
  cc_fd_watch_want (&c->watch, G_IO_IN);
}

/* A kept connection was silent or dead: so may be all that are kept from the
 * same time.  Tried one after the other, each would cost a call its whole
 * time-out. */
static void
doubt_idle (Peer *p)
{
  while (p->idle->len > 0)
    connection_close (p->idle->pdata[0]);
}

static void
finish (CcHttpCall *call, CcHttpEnd end, const char *why)
{
  Connection *c = call->connection;
  CcHttpResult r = {
    .end = end, .why = why, .reused = c->used, .received = call->received
  };
  g_autoptr (GVariant) headers = NULL;
  g_autoptr (GBytes) body = NULL;

  if (end == CC_HTTP_ANSWERED)
    {
      r.status = c->parser.status_code;
      headers = cc_headers_take (g_steal_pointer (&call->headers));
      body = g_byte_array_free_to_bytes (g_steal_pointer (&call->body));
      call->headers = g_string_new (NULL);
      call->body = g_byte_array_new ();
      r.headers = headers;
      r.body = body;
    }
  else
    {
      c->tainted = TRUE;
      drop_unsent (c);
      if (c->used)
        doubt_idle (c->peer);
    }
  cc_timer_stop (&call->timer);
  retire (c);
  call->done (&r, call->data);
  call_free (call);
}

static void
fail (CcHttpCall *call, const char *why)
{
  finish (call, call->written > 0 ? CC_HTTP_LOST : CC_HTTP_UNSENT, why);
}

static void on_time (gpointer data);

/* More of the answer has come, or is there to be read.
 *
 * Failure: a large answer is given up while it arrives over a slow link, and
 * asked for again from its beginning, without end. */
static void
extend_time (CcHttpCall *call)
{
  gint64 now = cc_clock_now ();
  gint64 by =
      MAX (call->answer_by, MIN (now + call->stall_within, call->end_by));

  cc_timer_start (&call->timer, by - now, on_time, call);
}

/* Whether a timer that is due tells of this process, which did not run, and not
 * of the peer. */
static gboolean
has_unread_answer (const CcHttpCall *call)
{
  return call->received > 0 && call->stall_within > 0 &&
         cc_clock_now () < call->end_by &&
         g_socket_condition_check (call->connection->socket, G_IO_IN) != 0;
}

static void
on_time (gpointer data)
{
  CcHttpCall *call = data;

  if (has_unread_answer (call))
    extend_time (call);
  else if (call->written > 0)
    finish (call, CC_HTTP_LATE, "late");
  else
    finish (call, CC_HTTP_UNSENT, "connect-timeout");
}

static gint64
keep_alive_of (const char *value)
{
  const char *at = strstr (value, "timeout=");

  return at == NULL
             ? 0
             : g_ascii_strtoll (at + strlen ("timeout="), NULL, 10) * CC_SECOND;
}

static void
end_header (CcHttpCall *call)
{
  if (call->name->len == 0)
    return;
  if (g_ascii_strcasecmp (call->name->str, "Keep-Alive") == 0)
    call->connection->idle_limit = keep_alive_of (call->value->str);
  if (call->echo != NULL &&
      g_ascii_strcasecmp (call->name->str, call->echo) == 0 &&
      strcmp (call->value->str, call->echo_value) != 0)
    call->connection->skipping = TRUE;
  cc_headers_add (call->headers, call->name->str, call->value->str);
  g_string_truncate (call->name, 0);
  g_string_truncate (call->value, 0);
}

static int
on_begin (http_parser *p)
{
  Connection *c = p->data;

  if (c->finished)
    {
      c->tainted = TRUE;
      http_parser_pause (p, 1);
      return 0;
    }
  c->skipping = FALSE;
  g_string_truncate (c->call->headers, 0);
  g_byte_array_set_size (c->call->body, 0);
  c->call->in_value = FALSE;
  return 0;
}

static int
on_field (http_parser *p, const char *at, size_t length)
{
  CcHttpCall *call = ((Connection *) p->data)->call;

  if (call->in_value)
    end_header (call);
  call->in_value = FALSE;
  g_string_append_len (call->name, at, (gssize) length);
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t length)
{
  CcHttpCall *call = ((Connection *) p->data)->call;

  call->in_value = TRUE;
  g_string_append_len (call->value, at, (gssize) length);
  return 0;
}

static int
on_headers_complete (http_parser *p)
{
  CcHttpCall *call = ((Connection *) p->data)->call;

  end_header (call);
  return call->bodiless ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t length)
{
  CcHttpCall *call = ((Connection *) p->data)->call;

  if (call->body->len + length > ANSWER_MAX)
    return -1;
  g_byte_array_append (call->body, (const guint8 *) at, (guint) length);
  return 0;
}

static int
on_complete (http_parser *p)
{
  Connection *c = p->data;

  if (p->status_code >= 100 && p->status_code < 200)
    return 0;
  if (c->skipping)
    {
      c->tainted = TRUE;
      return 0;
    }
  c->finished = TRUE;
  if (!http_should_keep_alive (p))
    c->tainted = TRUE;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

/* Returns FALSE if C and its call are gone. */
static gboolean
take_bytes (Connection *c, const char *bytes, gsize count)
{
  CcHttpCall *call = c->call;
  gsize parsed = http_parser_execute (&c->parser, &callbacks, bytes, count);

  call->received += count;
  if (c->finished)
    {
      if (parsed < count || call->written < call->out->len)
        c->tainted = TRUE;
      finish (call, CC_HTTP_ANSWERED, "");
      return FALSE;
    }
  if (HTTP_PARSER_ERRNO (&c->parser) != HPE_OK)
    {
      fail (call, "not-http");
      return FALSE;
    }
  if (call->stall_within > 0)
    extend_time (call);
  return TRUE;
}

/* The peer closed.  That completes an answer without a length. */
static void
take_end (Connection *c)
{
  CcHttpCall *call = c->call;

  http_parser_execute (&c->parser, &callbacks, NULL, 0);
  if (c->finished)
    {
      c->tainted = TRUE;
      finish (call, CC_HTTP_ANSWERED, "");
      return;
    }
  fail (call, "closed");
}

static void
read_some (Connection *c)
{
  char buffer[READ_SIZE];

  for (;;)
    {
      g_autoptr (GError) error = NULL;
      gssize got =
          g_socket_receive (c->socket, buffer, sizeof buffer, NULL, &error);

      if (got > 0 && c->call == NULL)
        {
          connection_close (c);
          return;
        }
      if (got > 0)
        {
          if (!take_bytes (c, buffer, (gsize) got))
            return;
          if (got < READ_SIZE)
            return;
          continue;
        }
      if (got < 0 &&
          g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return;
      if (c->call == NULL)
        connection_close (c);
      else if (got == 0)
        take_end (c);
      else
        fail (c->call, "reset");
      return;
    }
}

/* Returns FALSE if C and its call are gone. */
static gboolean
write_some (Connection *c)
{
  CcHttpCall *call = c->call;

  while (call->written < call->out->len)
    {
      g_autoptr (GError) error = NULL;
      gssize put = g_socket_send (
          c->socket, (const char *) call->out->data + call->written,
          call->out->len - call->written, NULL, &error);

      if (put > 0)
        {
          call->written += (gsize) put;
          continue;
        }
      if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          cc_fd_watch_want (&c->watch, G_IO_IN | G_IO_OUT);
          return TRUE;
        }
      /* A write that the kernel refused may follow bytes of an earlier one. */
      fail (call, "write-failed");
      return FALSE;
    }
  cc_fd_watch_want (&c->watch, G_IO_IN);
  return TRUE;
}

static gboolean
begin_request (Connection *c)
{
  CcHttpCall *call = c->call;

  c->connected = TRUE;
  cc_timer_start (&call->timer, call->answer_by - cc_clock_now (), on_time,
                  call);
  return write_some (c);
}

static void
on_connected (Connection *c)
{
  g_autoptr (GError) error = NULL;

  if (g_socket_check_connect_result (c->socket, &error))
    begin_request (c);
  else if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
    fail (c->call, "refused");
  else
    fail (c->call, "unreachable");
}

static void
on_socket (GIOCondition seen, gpointer data)
{
  Connection *c = data;

  if (!c->connected)
    {
      on_connected (c);
      return;
    }
  if (seen & G_IO_OUT)
    {
      if (c->call != NULL && !write_some (c))
        return;
      if (!(seen & (G_IO_IN | G_IO_HUP | G_IO_ERR)))
        return;
    }
  read_some (c);
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

static Peer *
find_peer (CcHttp *h, const char *address)
{
  Peer *p = g_hash_table_lookup (h->peers, address);
  g_autofree char *ip = NULL;
  guint16 port = 0;

  if (p != NULL)
    return p;
  if (!cc_address_parse (address, &ip, &port))
    return NULL;
  p = g_new0 (Peer, 1);
  p->where = g_inet_socket_address_new_from_string (ip, port);
  p->idle = g_ptr_array_new ();
  g_hash_table_insert (h->peers, g_strdup (address), p);
  return p;
}

/* Whether C has nothing to read: a server's close or stray bytes. */
static gboolean
is_quiet (Connection *c)
{
  return g_socket_condition_check (c->socket, G_IO_IN | G_IO_HUP | G_IO_ERR) ==
         0;
}

/* An idle connection that was used not longer than IDLE_MAX ago, or NULL.  The
 * one used last is at the end, so if it is too old, all are. */
static Connection *
take_idle (Peer *p, gint64 idle_max)
{
  gint64 now = cc_clock_now ();

  while (p->idle->len > 0)
    {
      Connection *c = p->idle->pdata[p->idle->len - 1];
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
      connection_close (c);
    }
  return NULL;
}

static Connection *
open_connection (CcHttp *h, Peer *p)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) from = NULL;
  Connection *c;
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
  c = g_new0 (Connection, 1);
  c->http = h;
  c->peer = p;
  c->socket = s;
  cc_fd_watch_start (&c->watch, g_socket_get_fd (s), G_IO_OUT, on_socket, c);
  p->open++;
  h->open++;
  h->opened++;
  return c;
}

static CcHttpCall *
call_new (const CcHttpOrder *o, CcHttpDone done, gpointer data)
{
  CcHttpCall *call = g_new0 (CcHttpCall, 1);
  gsize size = 0;
  gconstpointer body =
      o->body != NULL ? g_bytes_get_data (o->body, &size) : NULL;

  call->out = g_byte_array_sized_new ((guint) (strlen (o->head) + size + 64));
  g_byte_array_append (call->out, (const guint8 *) o->head,
                       (guint) strlen (o->head));
  if (size > 0 || !g_str_has_prefix (o->head, "GET "))
    {
      g_autofree char *length =
          g_strdup_printf ("Content-Length: %" G_GSIZE_FORMAT "\r\n", size);

      g_byte_array_append (call->out, (const guint8 *) length,
                           (guint) strlen (length));
    }
  g_byte_array_append (call->out, (const guint8 *) "\r\n", 2);
  if (size > 0)
    g_byte_array_append (call->out, body, (guint) size);
  call->bodiless = o->bodiless;
  call->echo = g_strdup (o->echo);
  call->echo_value = g_strdup (o->echo_value);
  call->answer_by = cc_clock_now () + o->answer_within;
  call->stall_within = o->stall_within;
  call->end_by = MAX (call->answer_by, cc_clock_now () + ANSWER_TIME_MAX);
  call->name = g_string_new (NULL);
  call->value = g_string_new (NULL);
  call->headers = g_string_new (NULL);
  call->body = g_byte_array_new ();
  call->done = done;
  call->data = data;
  return call;
}

/* Sends O.  DONE is called once, from the main loop, unless the call is
 * cancelled before.  Returns NULL, and DONE is not called, if no connection
 * can be opened: nothing was sent then. */
CcHttpCall *
cc_http_send (CcHttp *h, const CcHttpOrder *o, CcHttpDone done, gpointer data)
{
  Peer *p = find_peer (h, o->address);
  Connection *c;
  CcHttpCall *call;

  if (p == NULL)
    return NULL;
  c = take_idle (p, o->idle_max);
  if (c == NULL && o->connections_max > 0 && p->open >= o->connections_max &&
      p->idle->len == 0)
    return NULL;
  if (c == NULL && (c = open_connection (h, p)) == NULL)
    return NULL;
  call = call_new (o, done, data);
  call->connection = c;
  c->call = call;
  c->finished = FALSE;
  c->skipping = FALSE;
  http_parser_init (&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  if (c->connected)
    {
      /* The first write is left to the main loop, so that DONE is never called
       * before this returns. */
      cc_timer_start (&call->timer, o->answer_within, on_time, call);
      cc_fd_watch_want (&c->watch, G_IO_IN | G_IO_OUT);
    }
  else
    {
      cc_timer_start (&call->timer, MIN (o->connect_within, o->answer_within),
                      on_time, call);
    }
  return call;
}

/* Ends C without a call to its DONE.  Its connection is closed, by which most
 * servers stop the work. */
void
cc_http_cancel (CcHttpCall *c)
{
  c->connection->tainted = TRUE;
  drop_unsent (c->connection);
  retire (c->connection);
  call_free (c);
}

/* Closes the idle connections to ADDRESS. */
void
cc_http_forget (CcHttp *h, const char *address)
{
  Peer *p = g_hash_table_lookup (h->peers, address);

  if (p != NULL)
    doubt_idle (p);
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

/* The first header NAME of an answer, or NULL.  Valid as long as R. */
const char *
cc_http_header (const CcHttpResult *r, const char *name)
{
  CcHeadersIter i;
  const char *found, *value;

  cc_headers_iter (&i, r->headers);
  while (cc_headers_next (&i, &found, &value))
    if (g_ascii_strcasecmp (found, name) == 0)
      return value;
  return NULL;
}
