/* One request at a time on a connection; the parser is http_parser's.
 *
 * Bytes that no request asked for belong to nobody.  A server's second answer
 * may come late, where the next one is due, and be taken for it; so an answer
 * that bears another request's echo is passed over, and a connection that ever
 * showed surplus bytes, or an answer before its request was written, is closed
 * after the call.  An idle connection that becomes readable is closed at once.
 */
#include "http_state.h"

#include <string.h>

#include "clock.h"
#include "headers.h"
#include "timers.h"

#define READ_SIZE 16384 /* bytes */
/* Bound on one answer, so that a broken server can't fill the memory. */
#define ANSWER_MAX (16 * 1024 * 1024)

struct CcHttpCall
{
  CcHttpConnection *connection;
  GByteArray *out;     /* the request */
  gsize written;       /* bytes of it */
  gsize received;      /* bytes of the answer */
  CcTimer timer;       /* connecting, then the whole answer */
  gint64 answer_by;    /* us of cc_clock_now */
  gint64 stall_within; /* see CcHttpOrder */
  gint64 end_by;       /* however the answer goes on, us of cc_clock_now */
  gboolean bodiless;
  gboolean lasting; /* it asked for an old connection */
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
retire (CcHttpConnection *c)
{
  c->call = NULL;
  if (c->tainted)
    {
      cc_http_connection_close (c);
      return;
    }
  cc_http_connection_keep (c);
}

static void
finish (CcHttpCall *call, CcHttpEnd end, const char *why)
{
  CcHttpConnection *c = call->connection;
  CcHttpResult r = { .end = end,
                     .why = why,
                     .reused = c->used,
                     .connected_at = c->opened_at,
                     .received = call->received };
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
      cc_http_connection_drop_unsent (c);
      if (c->used && !call->lasting)
        cc_http_peer_close_idle (c->peer);
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
  return call->written > 0 && call->stall_within > 0 &&
         cc_clock_now () < call->end_by &&
         g_socket_condition_check (call->connection->socket, G_IO_IN) != 0;
}

static void
give_up (CcHttpCall *call)
{
  if (call->written > 0)
    finish (call, CC_HTTP_LATE, "late");
  else
    finish (call, CC_HTTP_UNSENT, "connect-timeout");
}

static void
on_time (gpointer data)
{
  CcHttpCall *call = data;

  if (has_unread_answer (call))
    extend_time (call);
  else
    give_up (call);
}

/* Whether nothing of CALL may leave any more.
 *
 * Failure: this process is slow, and handles a connection before the timer that
 * is due.  Symptom: a request leaves after its time, and takes effect when
 * others count on its end: keys are granted that another holds by then. */
static gboolean
is_over (const CcHttpCall *call)
{
  return call->received == 0 && cc_clock_now () >= call->answer_by &&
         !has_unread_answer (call);
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
  CcHttpConnection *c = p->data;

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
  CcHttpCall *call = ((CcHttpConnection *) p->data)->call;

  if (call->in_value)
    end_header (call);
  call->in_value = FALSE;
  g_string_append_len (call->name, at, (gssize) length);
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t length)
{
  CcHttpCall *call = ((CcHttpConnection *) p->data)->call;

  call->in_value = TRUE;
  g_string_append_len (call->value, at, (gssize) length);
  return 0;
}

static int
on_headers_complete (http_parser *p)
{
  CcHttpCall *call = ((CcHttpConnection *) p->data)->call;

  end_header (call);
  return call->bodiless ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t length)
{
  CcHttpCall *call = ((CcHttpConnection *) p->data)->call;

  if (call->body->len + length > ANSWER_MAX)
    return -1;
  g_byte_array_append (call->body, (const guint8 *) at, (guint) length);
  return 0;
}

static int
on_complete (http_parser *p)
{
  CcHttpConnection *c = p->data;

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
take_bytes (CcHttpConnection *c, const char *bytes, gsize count)
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
take_end (CcHttpConnection *c)
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
read_some (CcHttpConnection *c)
{
  char buffer[READ_SIZE];

  for (;;)
    {
      g_autoptr (GError) error = NULL;
      gssize got =
          g_socket_receive (c->socket, buffer, sizeof buffer, NULL, &error);

      if (got > 0 && c->call == NULL)
        {
          cc_http_connection_close (c);
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
        cc_http_connection_close (c);
      else if (got == 0)
        take_end (c);
      else
        fail (c->call, "reset");
      return;
    }
}

/* Returns FALSE if C and its call are gone. */
static gboolean
write_some (CcHttpConnection *c)
{
  CcHttpCall *call = c->call;

  if (call->written < call->out->len && is_over (call))
    {
      give_up (call);
      return FALSE;
    }
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
          cc_fd_watch_set_conditions (&c->watch, G_IO_IN | G_IO_OUT);
          return TRUE;
        }
      /* A write that the kernel refused may follow bytes of an earlier one. */
      fail (call, "write-failed");
      return FALSE;
    }
  cc_fd_watch_set_conditions (&c->watch, G_IO_IN);
  return TRUE;
}

static gboolean
begin_request (CcHttpConnection *c)
{
  CcHttpCall *call = c->call;

  c->connected = TRUE;
  c->opened_at = cc_clock_now ();
  cc_timer_start (&call->timer, call->answer_by - cc_clock_now (), on_time,
                  call);
  return write_some (c);
}

static void
on_connected (CcHttpConnection *c)
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
  CcHttpConnection *c = data;

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

static CcHttpCall *
call_new (const CcHttpOrder *o, CcHttpDone done, gpointer data)
{
  CcHttpCall *call = g_new0 (CcHttpCall, 1);
  gsize size = 0;
  gconstpointer body =
      o->body != NULL ? g_bytes_get_data (o->body, &size) : NULL;
  const char *head_end = o->closes ? "Connection: close\r\n\r\n" : "\r\n";

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
  g_byte_array_append (call->out, (const guint8 *) head_end, strlen (head_end));
  if (size > 0)
    g_byte_array_append (call->out, body, (guint) size);
  call->bodiless = o->bodiless;
  call->lasting = o->connected_by > 0;
  call->echo = g_strdup (o->echo);
  call->echo_value = g_strdup (o->echo_value);
  call->answer_by = cc_clock_now () + o->answer_within;
  call->stall_within = o->stall_within;
  call->end_by = call->answer_by + o->extend_most;
  call->name = g_string_new (NULL);
  call->value = g_string_new (NULL);
  call->headers = g_string_new (NULL);
  call->body = g_byte_array_new ();
  call->done = done;
  call->data = data;
  return call;
}

/* The connection to P for O, or NULL. */
static CcHttpConnection *
take_connection (CcHttp *h, CcHttpPeer *p, const CcHttpOrder *o)
{
  CcHttpConnection *c;

  if (o->connected_by > 0)
    return cc_http_connection_take_older (p, o->idle_max, o->connected_by);
  c = cc_http_connection_take_idle (p, o->idle_max);
  if (c != NULL)
    return c;
  if (o->connections_max > 0 && p->open >= o->connections_max &&
      p->idle->len == 0)
    return NULL;
  return cc_http_connection_open (h, p, on_socket);
}

/* Sends O.  DONE is called once, from the main loop, unless the call is
 * cancelled before.  Returns NULL, and DONE is not called, if there is no such
 * connection as O asks for: nothing was sent then. */
CcHttpCall *
cc_http_send (CcHttp *h, const CcHttpOrder *o, CcHttpDone done, gpointer data)
{
  CcHttpPeer *p = cc_http_peer (h, o->address);
  CcHttpConnection *c;
  CcHttpCall *call;

  if (p == NULL)
    return NULL;
  c = take_connection (h, p, o);
  if (c == NULL)
    return NULL;
  call = call_new (o, done, data);
  call->connection = c;
  c->call = call;
  c->finished = FALSE;
  c->skipping = FALSE;
  /* Failure: the peer closes it as it was told, without saying so in its
   * answer.  Symptom: the next request is lost in that close. */
  c->tainted = o->closes;
  http_parser_init (&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  if (c->connected)
    {
      /* The first write is left to the main loop, so that DONE is never called
       * before this returns. */
      cc_timer_start (&call->timer, o->answer_within, on_time, call);
      cc_fd_watch_set_conditions (&c->watch, G_IO_IN | G_IO_OUT);
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
  cc_http_connection_drop_unsent (c->connection);
  retire (c->connection);
  call_free (c);
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
