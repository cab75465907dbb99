/* One request at a time per connection, without pipelining; answers are parsed
 * by http_parser.
 *
 * A server may send a second answer to a request, which must not be taken for
 * the answer to the next one on the connection.  So an answer that echoes
 * another request's id is skipped.  A connection on which surplus bytes came is
 * closed after the call.  An idle connection that becomes readable is closed at
 * once.
 *
 * Callers may send a request again under its id, and so may peers and exchanges
 * that were refused.  A surplus answer to the first one bears the id of the
 * second, so a connection carries an id once: what it has carried is kept
 * (carried_ids.h), and a connection that can keep no more carries no more.
 *
 * Requests that a gateway makes on its own behalf carry an id of the client
 * (id_header).  Not all servers echo it.  An answer that names no request is
 * taken for the answer to such a request only if no earlier request was sent on
 * the connection, and no such request follows on that.  Otherwise a late answer
 * to a grant counts as that to a release, and keys get a second owner while the
 * first is at work on them.  Renewals of grants are exempt if they succeed: one
 * that counts once too often is made up for by the next, and with a connection
 * for each they would be most connections of a large pool.
 *
 * A server may answer before it has read the request.  The answer is delivered,
 * and the connection is closed: the rest of the body is not sent, and no other
 * request in its place. */
#include "http_state.h"

#include <string.h>

#include "answer_rule.h"
#include "clock.h"
#include "headers.h"
#include "timers.h"

#define READ_SIZE 16384 /* bytes */
/* Longest timeout of an idle connection that a peer may state, s: a day.  No
 * connection is kept for that long. */
#define KEEP_ALIVE_MAX 86400
/* A request whose first byte is not sent within this time was decided upon
 * before a pause of the process: connections are established in 200 ms. */
#define BEGIN_TIMEOUT (1 * CC_SECOND)
/* Reads of one connection in a row.  A server that sends faster than its bytes
 * are parsed would otherwise hold the main loop, timers included. */
#define READS_MAX 8
/* Largest body of an answer, bytes, so that a faulty server can't exhaust the
 * memory. */
#define ANSWER_MAX (16 * 1024 * 1024)
/* Bytes of the answers in progress, of all calls together, beyond which those
 * with more than LARGE_ANSWER fail: a few faulty servers exhaust the memory
 * that one can't. */
#define BUFFERED_MAX (24 * 1024 * 1024)
#define LARGE_ANSWER (1024 * 1024)
/* The same, beyond which all long ones fail: many that are read in turn are all
 * of some size below LARGE_ANSWER. */
#define BUFFERED_HARD_MAX (64 * 1024 * 1024)
/* Bytes of an answer, and of what is beside its body, from which on it counts
 * as a long one.  Sound heads and frames of chunks are a few kB. */
#define LONG_ANSWER (64 * 1024)
#define LONG_OVERHEAD (16 * 1024)
/* Bytes of an answer beside its body: heads, interim answers, those to other
 * requests, and for each byte of the body the frame of a chunk. */
#define OVERHEAD_MAX (256 * 1024)
#define OVERHEAD_PER_BYTE 8
/* A body up to this size is copied, so that it leaves with the head in one
 * packet, bytes. */
#define COPIED_MAX 16384
/* A connection is not used again after a larger body, bytes.
 *
 * Failure: a server answers before it has read the body, which is in its
 * receive buffer, and reads on seconds later.  Symptom: the next request on the
 * connection is not read before its deadline. */
#define REUSED_BODY_MAX 8192

struct CcHttpCall
{
  CcHttpConnection *connection;
  GByteArray *out;     /* the head of the request, and a short body */
  GBytes *rest;        /* a longer body; NULL: none */
  gsize body_out;      /* size of the request's body, bytes */
  gsize written;       /* bytes of the request that were sent */
  gboolean unsendable; /* the rest of the request can't be sent */
  gsize received;      /* bytes of the answer */
  gsize body_size;     /* bytes of its body so far */
  gboolean too_large;  /* its body exceeds ANSWER_MAX */
  CcHttp *http;
  CcTimer timer;        /* for connecting, then for the complete answer */
  gint64 answer_by;     /* us of cc_clock_now */
  gint64 begin_by;      /* the first byte is sent by then, us */
  gint64 stall_timeout; /* see CcHttpRequest */
  gint64 latest; /* limit of extensions of ANSWER_BY, us of cc_clock_now */
  gboolean bodiless;
  gboolean needs_existing;              /* it required an existing connection */
  gboolean (*may_send) (gpointer data); /* NULL: always */
  char *echo;
  char *echo_value;
  gboolean is_foreign; /* ECHO_VALUE is a caller's id, which may come again */
  guint64 id_hash;     /* of that */
  gboolean same_id;    /* see CcHttpResult */
  gboolean has_id;     /* ECHO_VALUE is an id of the client */
  gboolean repeats;    /* see CcHttpRequest */
  gboolean echoed;     /* the answer being parsed names this request */
  gboolean unmatched;  /* an answer arrived that may be to another request */
  GString *name;       /* of the header being parsed */
  GString *value;
  gboolean in_value;
  gboolean has_head; /* of the answer, which is not an interim one */
  gboolean after_head;
  GString *headers; /* packed */
  GByteArray *body;
  CcHttpDone done;           /* NULL: the call only connects */
  CcHttpConnected connected; /* of a call that only connects */
  gpointer data;
};

/* Sets the length of the body that CALL has received to SIZE. */
static void
set_buffered (CcHttpCall *call, gsize size)
{
  CcHttp *h = call->http;

  h->buffered += size - call->body_size;
  if (h->budget != NULL)
    {
      cc_memory_budget_release (h->budget, CC_MEMORY_ARRIVING, call->body_size);
      cc_memory_budget_add (h->budget, CC_MEMORY_ARRIVING, size);
    }
  call->body_size = size;
}

/* The body of an answer that was received. */
typedef struct
{
  GByteArray *bytes;
  CcMemoryBudget *budget;
} Received;

static void
received_free (gpointer data)
{
  Received *r = data;

  cc_memory_budget_release (r->budget, CC_MEMORY_UNREAD, r->bytes->len);
  g_byte_array_unref (r->bytes);
  g_free (r);
}

/* Takes the body of the answer to CALL, which is complete.  It counts as unread
 * until its last user drops it, which for an answer to a caller is when it was
 * written to that. */
static GBytes *
take_body (CcHttpCall *call)
{
  GByteArray *bytes = g_steal_pointer (&call->body);
  Received *r;

  call->body = g_byte_array_new ();
  set_buffered (call, 0);
  if (call->http->budget == NULL)
    return g_byte_array_free_to_bytes (bytes);
  r = g_new0 (Received, 1);
  r->bytes = bytes;
  r->budget = call->http->budget;
  cc_memory_budget_add (r->budget, CC_MEMORY_UNREAD, bytes->len);
  return g_bytes_new_with_free_func (bytes->data, bytes->len, received_free, r);
}

static void
call_free (CcHttpCall *c)
{
  cc_timer_stop (&c->timer);
  set_buffered (c, 0);
  g_byte_array_unref (c->out);
  g_clear_pointer (&c->rest, g_bytes_unref);
  g_byte_array_unref (c->body);
  g_string_free (c->name, TRUE);
  g_string_free (c->value, TRUE);
  g_string_free (c->headers, TRUE);
  g_free (c->echo);
  g_free (c->echo_value);
  g_free (c);
}

/* Returns the connection of a finished call to the pool, or closes it. */
static void
release_connection (CcHttpConnection *c)
{
  const CcHttpCall *call = c->call;

  c->carried |= call->written > 0;
  if (call->written > 0 && call->is_foreign)
    cc_carried_ids_add (&c->ids, call->id_hash);
  c->call = NULL;
  /* An id that could not be kept might come again. */
  if (c->close_after_call || cc_carried_ids_is_full (&c->ids))
    {
      cc_http_connection_close (c);
      return;
    }
  cc_http_connection_keep (c);
}

/* Ends CALL with the outcome END.  Unless it was answered, its connection is
 * reset; if that was a reused one, the idle connections to the peer are closed
 * as well, except after a call that required an existing connection, and after
 * an answer, which shows that the peer is alive. */
static void
finish (CcHttpCall *call, CcHttpOutcome end, const char *why)
{
  CcHttpConnection *c = call->connection;
  CcHttpResult r = { .end = end,
                     .why = why,
                     .reused = c->used,
                     .connection = c->number,
                     .same_id = call->same_id,
                     .connected_at = c->opened_at,
                     .received = call->received };
  g_autoptr (GVariant) headers = NULL;
  g_autoptr (GBytes) body = NULL;

  if (call->has_head)
    {
      r.head_status = c->parser.status_code;
      headers = cc_headers_take (g_steal_pointer (&call->headers));
      call->headers = g_string_new (NULL);
      r.head = headers;
    }
  if (end == CC_HTTP_ANSWERED)
    {
      r.status = r.head_status;
      r.headers = r.head;
      body = take_body (call);
      r.body = body;
    }
  else
    {
      c->close_after_call = TRUE;
      cc_http_connection_reset_on_close (c);
      if (c->used && !call->needs_existing && !call->unmatched)
        cc_http_peer_close_idle (c->peer);
    }
  cc_timer_stop (&call->timer);
  release_connection (c);
  if (call->done != NULL)
    call->done (&r, call->data);
  else
    call->connected (g_str_equal (why, "refused") ? CC_HTTP_REFUSED
                                                  : CC_HTTP_NOT_CONNECTED,
                     call->data);
  call_free (call);
}

/* Ends CALL, which only connects and has succeeded; its connection is kept. */
static void
finish_connect (CcHttpCall *call)
{
  cc_timer_stop (&call->timer);
  release_connection (call->connection);
  call->connected (CC_HTTP_CONNECTED, call->data);
  call_free (call);
}

/* Ends CALL after a failure of its connection. */
static void
fail (CcHttpCall *call, const char *why)
{
  finish (call, call->written > 0 ? CC_HTTP_LOST : CC_HTTP_UNSENT, why);
}

static void on_timeout (gpointer data);

/* Extends the timeout of CALL, of whose answer more was received or is
 * readable.
 *
 * Failure: a large answer times out while it arrives over a slow link, and is
 * requested again from its beginning, endlessly. */
static void
extend_timeout (CcHttpCall *call)
{
  gint64 now = cc_clock_now ();
  gint64 by =
      MAX (call->answer_by, MIN (now + call->stall_timeout, call->latest));

  cc_timer_start (&call->timer, by - now, on_timeout, call);
}

/* Whether the answer can be read although its timer has expired: then this
 * process was stalled, and not the peer. */
static gboolean
has_unread_answer (const CcHttpCall *call)
{
  return call->written > 0 && call->stall_timeout > 0 &&
         cc_clock_now () < call->latest &&
         g_socket_condition_check (call->connection->socket, G_IO_IN) != 0;
}

/* Ends CALL after a timeout. */
static void
end_timed_out (CcHttpCall *call)
{
  if (call->written > 0)
    finish (call, CC_HTTP_TIMED_OUT, "late");
  else if (call->connection->unconnectable)
    finish (call, CC_HTTP_UNSENT, "unreachable");
  else
    finish (call, CC_HTTP_UNSENT, "connect-timeout");
}

static void
on_timeout (gpointer data)
{
  CcHttpCall *call = data;

  if (has_unread_answer (call))
    extend_timeout (call);
  else
    end_timed_out (call);
}

/* Whether CALL has timed out, so that no more of it may be sent.
 *
 * Failure: this process is slow and handles a connection before an expired
 * timer.  Symptom: a request is sent after its timeout and takes effect when
 * other processes rely on it having ended: keys are granted that another server
 * holds by then.  The same holds for one that was paused between the choice of
 * the peer and the first byte: the peer may not get requests any more. */
static gboolean
must_not_send (const CcHttpCall *call)
{
  gint64 now = cc_clock_now ();

  if (call->written == 0 && now >= call->begin_by)
    return TRUE;
  return call->received == 0 && now >= call->answer_by &&
         !has_unread_answer (call);
}

/* Returns the timeout that VALUE, of a Keep-Alive header, states, us; 0: none.
 */
static gint64
parse_keep_alive (const char *value)
{
  const char *at = strstr (value, "timeout=");
  gint64 seconds =
      at != NULL ? g_ascii_strtoll (at + strlen ("timeout="), NULL, 10) : 0;

  return CLAMP (seconds, 0, KEEP_ALIVE_MAX) * CC_SECOND;
}

/* Adds the header that was just parsed to the answer.  One that echoes
 * another request marks the answer to be skipped. */
static void
end_header (CcHttpCall *call)
{
  if (call->name->len == 0)
    return;
  if (g_ascii_strcasecmp (call->name->str, "Keep-Alive") == 0)
    call->connection->idle_limit = parse_keep_alive (call->value->str);
  if (call->echo != NULL &&
      g_ascii_strcasecmp (call->name->str, call->echo) == 0)
    {
      if (strcmp (call->value->str, call->echo_value) == 0)
        call->echoed = TRUE;
      else
        call->connection->skipping = TRUE;
    }
  cc_headers_add (call->headers, call->name->str, call->value->str);
  g_string_truncate (call->name, 0);
  g_string_truncate (call->value, 0);
}

/* An answer begins.  A second one after the complete answer only closes the
 * connection. */
static int
on_begin (http_parser *p)
{
  CcHttpConnection *c = p->data;

  if (c->finished)
    {
      c->close_after_call = TRUE;
      http_parser_pause (p, 1);
      return 0;
    }
  c->skipping = FALSE;
  c->call->has_head = FALSE;
  c->call->echoed = FALSE;
  g_string_truncate (c->call->headers, 0);
  g_byte_array_set_size (c->call->body, 0);
  set_buffered (c->call, 0);
  c->call->in_value = FALSE;
  c->call->after_head = FALSE;
  return 0;
}

/* Fields after the body are ignored: RFC 9110 forbids to take them for headers,
 * and one could name another request. */
static int
on_field (http_parser *p, const char *at, size_t length)
{
  CcHttpCall *call = ((CcHttpConnection *) p->data)->call;

  if (call->after_head)
    return 0;
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

  if (call->after_head)
    return 0;
  call->in_value = TRUE;
  g_string_append_len (call->value, at, (gssize) length);
  return 0;
}

/* Whether an answer with STATUS precedes the final one. */
static gboolean
is_interim (guint status)
{
  return status >= HTTP_STATUS_CONTINUE && status < HTTP_STATUS_OK;
}

/* Whether an answer with STATUS ends with its head whatever that says of a
 * length: http_parser would wait for the body that a 304 tells the length of.
 */
static gboolean
is_bodiless (guint status)
{
  return is_interim (status) || status == HTTP_STATUS_NO_CONTENT ||
         status == HTTP_STATUS_NOT_MODIFIED;
}

/* Whether an answer to CALL with STATUS that names no request, as the one that
 * is being parsed, may belong to an earlier request on its connection. */
static gboolean
may_be_of_another (const CcHttpCall *call, guint status)
{
  const CcHttpConnection *c = call->connection;

  if (!call->has_id || call->echoed || !c->carried)
    return FALSE;
  return !(call->repeats && c->unidentified && status < 300);
}

static int
on_headers_complete (http_parser *p)
{
  CcHttpCall *call = ((CcHttpConnection *) p->data)->call;

  end_header (call);
  call->after_head = TRUE;
  /* Where such an answer ends is not known either. */
  if (!is_interim (p->status_code) && !cc_status_is_final (p->status_code))
    return -1;
  if (!is_interim (p->status_code) && !call->connection->skipping &&
      may_be_of_another (call, p->status_code))
    {
      call->unmatched = TRUE;
      return -1;
    }
  call->has_head = !is_interim (p->status_code) && !call->connection->skipping;
  return call->bodiless || is_bodiless (p->status_code) ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t length)
{
  CcHttpCall *call = ((CcHttpConnection *) p->data)->call;
  gsize buffered = call->http->buffered + length;

  call->too_large = call->body->len + length > ANSWER_MAX;
  if (call->too_large ||
      (buffered > BUFFERED_MAX && call->body->len > LARGE_ANSWER) ||
      (buffered > BUFFERED_HARD_MAX && call->body->len > LONG_ANSWER))
    return -1;
  g_byte_array_append (call->body, (const guint8 *) at, (guint) length);
  set_buffered (call, call->body->len);
  return 0;
}

/* An answer is complete.  Interim (1xx) answers are ignored.  After an
 * answer to another request the parser goes on with the next one, and the
 * connection is closed after the call. */
static int
on_complete (http_parser *p)
{
  CcHttpConnection *c = p->data;

  if (is_interim (p->status_code))
    return 0;
  if (c->skipping)
    {
      c->close_after_call = TRUE;
      c->carried = TRUE;
      return 0;
    }
  c->finished = TRUE;
  if (!c->call->echoed)
    c->unidentified = TRUE;
  if (!http_should_keep_alive (p) ||
      (c->call->has_id && !c->call->repeats && c->unidentified))
    c->close_after_call = TRUE;
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

/* Returns the size of the request of CALL, bytes. */
static gsize
request_size (const CcHttpCall *call)
{
  return call->out->len +
         (call->rest != NULL ? g_bytes_get_size (call->rest) : 0);
}

/* Whether the server of CALL, which has answered, may not have read the whole
 * request, so that its connection must not be used again. */
static gboolean
may_be_unread (const CcHttpCall *call)
{
  return call->written < request_size (call) ||
         call->body_out > REUSED_BODY_MAX;
}

/* Returns why the answer to CALL was refused by its parser. */
static const char *
parse_failure (const CcHttpCall *call)
{
  if (call->too_large)
    return CC_HTTP_TOO_LARGE;
  return call->unmatched ? "unidentified" : "not-http";
}

/* Parses COUNT bytes received on C.  Returns FALSE if its call has ended and C
 * may be freed. */
static gboolean
parse_bytes (CcHttpConnection *c, const char *bytes, gsize count)
{
  CcHttpCall *call = c->call;
  gsize parsed = http_parser_execute (&c->parser, &callbacks, bytes, count);

  call->received += count;
  if (c->finished)
    {
      if (parsed < count || may_be_unread (call))
        c->close_after_call = TRUE;
      finish (call, CC_HTTP_ANSWERED, "");
      return FALSE;
    }
  /* The parser drops what follows a change of protocol, which no request asks
   * for: a part of it could be taken for an answer. */
  if (HTTP_PARSER_ERRNO (&c->parser) != HPE_OK || c->parser.upgrade ||
      call->received - call->body_size >
          OVERHEAD_MAX + OVERHEAD_PER_BYTE * call->body_size)
    {
      fail (call, parse_failure (call));
      return FALSE;
    }
  if (call->stall_timeout > 0)
    extend_timeout (call);
  return TRUE;
}

/* The peer closed the connection, which completes an answer without a length.
 */
static void
handle_close (CcHttpConnection *c)
{
  CcHttpCall *call = c->call;

  /* The peer has reset the connection, although the socket reports a close
   * after an error that the write has reported. */
  if (call->unsendable)
    {
      fail (call, "write-failed");
      return;
    }
  http_parser_execute (&c->parser, &callbacks, NULL, 0);
  if (c->finished)
    {
      c->close_after_call = TRUE;
      finish (call, CC_HTTP_ANSWERED, "");
      return;
    }
  fail (call, "closed");
}

/* Whether C receives a long answer, which is read in its share of the time. */
static gboolean
is_long (const CcHttpConnection *c)
{
  const CcHttpCall *call = c->call;

  return call != NULL && (call->received >= LONG_ANSWER ||
                          call->received - call->body_size >= LONG_OVERHEAD);
}

/* Reads until the socket has no more data, or READS_MAX times, or until the
 * answer has become a long one; the rest is read later.  Data or a close
 * without a call closes the connection. */
static void
read_available (CcHttpConnection *c)
{
  char buffer[READ_SIZE];
  gboolean was_long = is_long (c);

  for (guint reads = 0; reads < READS_MAX; reads++)
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
          if (!parse_bytes (c, buffer, (gsize) got))
            return;
          if (got < READ_SIZE || is_long (c) != was_long)
            return;
          continue;
        }
      if (got < 0 &&
          g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return;
      if (c->call == NULL)
        cc_http_connection_close (c);
      else if (got == 0)
        handle_close (c);
      else
        fail (c->call, c->call->unsendable ? "write-failed" : "reset");
      return;
    }
}

/* Reads the next piece of the long answer on C, which may be freed. */
static void
read_long (CcHttpConnection *c)
{
  CcHttp *h = c->http;
  gint64 from = cc_clock_steady ();
  gint64 spent;

  read_available (c);
  spent = cc_clock_steady () - from;
  cc_read_share_spend (&h->long_share, spent);
  h->long_time += spent;
}

static void on_socket (GIOCondition condition, gpointer data);

/* Watches C, which has waited to be read, again. */
static gboolean
watch_again (CcHttpConnection *c)
{
  GIOCondition conditions = G_IO_IN;

  if (c->call->written < request_size (c->call) && !c->call->unsendable)
    conditions |= G_IO_OUT;
  return cc_fd_watch_start (&c->watch, g_socket_get_fd (c->socket), conditions,
                            on_socket, c);
}

/* Reads from the connections of DATA, a client, that wait for that, in turn. */
static void
on_long_timer (gpointer data)
{
  CcHttp *h = data;
  gint64 wait;

  while (h->long_waiting.length > 0)
    {
      CcHttpConnection *c = g_queue_peek_head (&h->long_waiting);

      wait = cc_read_share_wait (&h->long_share, cc_clock_steady ());
      if (wait > 0)
        {
          cc_timer_start (&h->long_timer, wait, on_long_timer, h);
          return;
        }
      cc_http_connection_wait_no_more (c);
      if (watch_again (c))
        read_long (c);
      else
        fail (c->call, "unwatched");
    }
}

/* Reads the next piece of the long answer on C if the time for that is not used
 * up and no other connection waits for it; otherwise C waits. */
static void
read_long_in_turn (CcHttpConnection *c)
{
  CcHttp *h = c->http;
  gint64 wait = cc_read_share_wait (&h->long_share, cc_clock_steady ());

  if (wait == 0 && h->long_waiting.length == 0)
    {
      read_long (c);
      return;
    }
  cc_fd_watch_stop (&c->watch);
  c->waiting.data = c;
  g_queue_push_tail_link (&h->long_waiting, &c->waiting);
  if (h->long_timer.place == NULL)
    cc_timer_start (&h->long_timer, wait, on_long_timer, h);
}

/* Sends the next part of the request of CALL, which is not complete.  Returns
 * the number of bytes sent, or -1 with ERROR set. */
static gssize
send_next (CcHttpCall *call, GError **error)
{
  const char *at = (const char *) call->out->data;
  gsize size = call->out->len, from = call->written;

  if (from >= size)
    {
      from -= size;
      at = g_bytes_get_data (call->rest, &size);
    }
  return g_socket_send (call->connection->socket, at + from, size - from, NULL,
                        error);
}

/* The rest of the request can't be written.  The server may have answered
 * before it closed the connection, so what has arrived is read. */
static gboolean
read_after_failed_write (CcHttpConnection *c)
{
  c->call->unsendable = TRUE;
  c->close_after_call = TRUE;
  cc_fd_watch_set_conditions (&c->watch, G_IO_IN);
  read_available (c);
  return FALSE;
}

/* Ends CALL, nothing of which was sent.  Its connection is kept. */
static void
withdraw (CcHttpCall *call)
{
  CcHttpConnection *c = call->connection;
  CcHttpResult r = { .end = CC_HTTP_WITHDRAWN,
                     .why = "withdrawn",
                     .connected_at = c->opened_at };

  cc_timer_stop (&call->timer);
  release_connection (c);
  call->done (&r, call->data);
  call_free (call);
}

/* Writes as much of the request as the socket accepts.  Returns FALSE if the
 * call may have ended and C may be freed. */
static gboolean
write_pending (CcHttpConnection *c)
{
  CcHttpCall *call = c->call;

  if (call->written < request_size (call) && must_not_send (call))
    {
      end_timed_out (call);
      return FALSE;
    }
  if (call->written == 0 && call->may_send != NULL &&
      !call->may_send (call->data))
    {
      withdraw (call);
      return FALSE;
    }
  while (call->written < request_size (call) && !call->unsendable)
    {
      g_autoptr (GError) error = NULL;
      gssize put = send_next (call, &error);

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
      /* Earlier writes of this request may have succeeded, which fail() takes
       * into account. */
      if (call->written > 0)
        return read_after_failed_write (c);
      fail (call, "write-failed");
      return FALSE;
    }
  cc_fd_watch_set_conditions (&c->watch, G_IO_IN);
  return TRUE;
}

/* The connection of C is established: starts the timer of the answer and
 * sends the request. */
static gboolean
begin_request (CcHttpConnection *c)
{
  CcHttpCall *call = c->call;

  c->connected = TRUE;
  c->opened_at = cc_clock_now ();
  if (call->done == NULL)
    {
      finish_connect (call);
      return FALSE;
    }
  cc_timer_start (&call->timer, call->answer_by - cc_clock_now (), on_timeout,
                  call);
  return write_pending (c);
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
on_socket (GIOCondition condition, gpointer data)
{
  CcHttpConnection *c = data;

  if (!c->connected)
    {
      on_connected (c);
      return;
    }
  if (condition & G_IO_OUT)
    {
      if (c->call != NULL && !write_pending (c))
        return;
      if (!(condition & (G_IO_IN | G_IO_HUP | G_IO_ERR)))
        return;
    }
  if (is_long (c))
    read_long_in_turn (c);
  else
    read_available (c);
}

/* Returns a call without a request. */
static CcHttpCall *
call_new_empty (CcHttp *h)
{
  CcHttpCall *call = g_new0 (CcHttpCall, 1);

  call->http = h;
  call->out = g_byte_array_new ();
  call->name = g_string_new (NULL);
  call->value = g_string_new (NULL);
  call->headers = g_string_new (NULL);
  call->body = g_byte_array_new ();
  return call;
}

/* Returns a new id of H: no other client, and no earlier run of this process,
 * has sent it.  The name of the program keeps it apart from ids of callers. */
static char *
next_id (CcHttp *h)
{
  g_autofree char *ip = g_inet_address_to_string (h->local_address);

  if (h->start == 0)
    h->start = cc_clock_incarnation ();
  return g_strdup_printf ("capercrank-%s-%" G_GINT64_MODIFIER
                          "x-%" G_GINT64_MODIFIER "x",
                          ip, h->start, ++h->ids);
}

/* Gives CALL an id, which is sent in HEADER. */
static void
add_id (CcHttpCall *call, const char *header)
{
  g_autofree char *line = NULL;

  call->has_id = TRUE;
  call->echo = g_strdup (header);
  call->echo_value = next_id (call->http);
  line = g_strdup_printf ("%s: %s\r\n", header, call->echo_value);
  g_byte_array_append (call->out, (const guint8 *) line, (guint) strlen (line));
}

static CcHttpCall *
call_new (CcHttp *h, const CcHttpRequest *request, CcHttpDone done,
          gpointer data)
{
  CcHttpCall *call = call_new_empty (h);
  gsize size = 0;
  gconstpointer body =
      request->body != NULL ? g_bytes_get_data (request->body, &size) : NULL;
  const char *head_end = request->closes ? "Connection: close\r\n\r\n" : "\r\n";

  g_byte_array_append (call->out, (const guint8 *) request->head,
                       (guint) strlen (request->head));
  if (request->id_header != NULL)
    add_id (call, request->id_header);
  else
    {
      call->echo = g_strdup (request->echo);
      call->echo_value = g_strdup (request->echo_value);
    }
  if (size > 0 || !g_str_has_prefix (request->head, "GET "))
    {
      g_autofree char *length =
          g_strdup_printf ("Content-Length: %" G_GSIZE_FORMAT "\r\n", size);

      g_byte_array_append (call->out, (const guint8 *) length,
                           (guint) strlen (length));
    }
  g_byte_array_append (call->out, (const guint8 *) head_end, strlen (head_end));
  if (size > COPIED_MAX)
    call->rest = g_bytes_ref (request->body);
  else if (size > 0)
    g_byte_array_append (call->out, body, (guint) size);
  call->body_out = size;
  call->bodiless = request->bodiless;
  call->needs_existing = request->connected_by > 0;
  call->may_send = request->may_send;
  call->repeats = request->repeats;
  call->answer_by = cc_clock_now () + request->answer_timeout;
  call->begin_by = cc_clock_now () + BEGIN_TIMEOUT;
  call->stall_timeout = request->stall_timeout;
  call->latest = call->answer_by + request->extend_max;
  call->done = done;
  call->data = data;
  return call;
}

/* Returns which idle connections REQUEST may use. */
static CcHttpIdleRule
idle_rule (const CcHttpRequest *request)
{
  CcHttpIdleRule rule = {
    .idle_max = request->idle_max,
    .opened_by = request->connected_by,
    .identified = request->id_header != NULL && !request->repeats,
    .has_id = request->id_header == NULL && request->echo_value != NULL,
  };

  if (rule.has_id)
    rule.id = cc_carried_ids_hash (request->echo_value);
  return rule;
}

/* Returns an idle connection to P that REQUEST may use by RULE, or a new one;
 * NULL if none is available.  At the limit of connections a new one replaces an
 * idle one.  SAME_ID: see CcHttpResult. */
static CcHttpConnection *
find_connection (CcHttp *h, CcHttpPeer *p, const CcHttpRequest *request,
                 const CcHttpIdleRule *rule, gboolean *same_id)
{
  CcHttpConnection *c = cc_http_connection_take_idle (p, rule, same_id);

  if (c != NULL || request->connected_by > 0)
    return c;
  if (request->connections_max > 0 && p->open >= request->connections_max)
    {
      if (p->idle->len == 0)
        return NULL;
      cc_http_connection_close (p->idle->pdata[0]);
    }
  return cc_http_connection_open (h, p, on_socket);
}

/* Starts the timer of CALL, whose connection is being established, for TIMEOUT
 * us.  One that has failed already ends in the next turn of the main loop.
 *
 * Failure: a failure at once is taken for a lack of connections.  Symptom: all
 * requests of a pool wait for an upstream that can't be connected to. */
static void
start_connect_timer (CcHttpCall *call, gint64 timeout)
{
  cc_timer_start (&call->timer, call->connection->unconnectable ? 0 : timeout,
                  on_timeout, call);
}

/* Sends REQUEST.  DONE is called once, from the main loop, unless the call is
 * cancelled before.  Returns NULL, without calling DONE, if the address is
 * invalid or no connection that REQUEST may use is available; nothing was sent
 * then. */
CcHttpCall *
cc_http_send (CcHttp *h, const CcHttpRequest *request, CcHttpDone done,
              gpointer data)
{
  CcHttpPeer *p = cc_http_find_peer (h, request->address);
  CcHttpIdleRule rule = idle_rule (request);
  gboolean same_id;
  CcHttpConnection *c;
  CcHttpCall *call;

  if (p == NULL)
    return NULL;
  c = find_connection (h, p, request, &rule, &same_id);
  if (c == NULL)
    return NULL;
  call = call_new (h, request, done, data);
  call->connection = c;
  call->is_foreign = rule.has_id;
  call->id_hash = rule.id;
  call->same_id = same_id;
  c->call = call;
  c->finished = FALSE;
  c->skipping = FALSE;
  /* Failure: the peer closes the connection as requested, without a Connection
   * header in its answer.  Symptom: the next request is lost in that close. */
  c->close_after_call = request->closes;
  http_parser_init (&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  if (c->connected)
    {
      /* The main loop does the first write, so that DONE is never called before
       * this function returns. */
      cc_timer_start (&call->timer, request->answer_timeout, on_timeout, call);
      cc_fd_watch_set_conditions (&c->watch, G_IO_IN | G_IO_OUT);
    }
  else
    {
      start_connect_timer (
          call, MIN (request->connect_timeout, request->answer_timeout));
    }
  return call;
}

/* Opens a new connection to ADDRESS (IP:PORT) and keeps it for later requests.
 * DONE is called once, from the main loop, when it is established or has
 * failed, which is after TIMEOUT us at the latest.  Returns FALSE, without
 * calling DONE, if ADDRESS is invalid or no connection can be opened. */
gboolean
cc_http_connect (CcHttp *h, const char *address, gint64 timeout,
                 CcHttpConnected done, gpointer data)
{
  CcHttpPeer *p = cc_http_find_peer (h, address);
  CcHttpConnection *c =
      p != NULL ? cc_http_connection_open (h, p, on_socket) : NULL;
  CcHttpCall *call;

  if (c == NULL)
    return FALSE;
  call = call_new_empty (h);
  call->connection = c;
  call->connected = done;
  call->data = data;
  c->call = call;
  start_connect_timer (call, timeout);
  return TRUE;
}

/* Whether any byte of the request of C was sent. */
gboolean
cc_http_is_sent (const CcHttpCall *c)
{
  return c->written > 0;
}

/* The time that was spent on reading long answers, us. */
gint64
cc_http_long_answer_time (const CcHttp *h)
{
  return h->long_time;
}

/* Cancels C without calling its DONE.  The connection is closed, which makes
 * most servers abort the work. */
void
cc_http_cancel (CcHttpCall *c)
{
  c->connection->close_after_call = TRUE;
  cc_http_connection_reset_on_close (c->connection);
  release_connection (c->connection);
  call_free (c);
}

/* The value of the first header NAME of the answer R, or NULL.  Valid as long
 * as R. */
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
