/* Guards against work for disconnected callers, malformed input that affects
 * other callers, and wrong outcomes when a dispatcher pauses.  Runs the real
 * entry process; this test acts as its dispatcher and its callers. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "clock.h"
#include "mailbox.h"
#include "slicemap.h"

#define POOL "catalogue"
#define DISPATCHER 22
#define SUCCESSOR 23
#define HEAD                                                                   \
  "X-Class: browse\r\nX-Key: k\r\nHost: entry\r\nX-Request-Timeout: 1500\r\n"

typedef struct
{
  char *program;
  GPid pid;
  char *callers;
  char *listen;
  char *admin;
  char *mailbox;
  CcMailbox *box;
  char *successor; /* address of the dispatcher that takes over the server */
  CcMailbox *successor_box; /* NULL: no takeover yet */
  char *document;
  char *map;
  char *member;
  gboolean answers; /* whether requests are answered immediately */
  guint requests;   /* received from the entry */
  guint cancels;
} Fixture;

static Fixture fixture;

/* Returns a slice map in which the server of DISPATCHER owns all keys. */
static char *
map_row (const char *dispatcher)
{
  CcSliceMap *m = cc_slicemap_new (POOL, 1);
  CcMapServer *s;
  char *text;

  cc_slicemap_add (m, "catalogue-1", "127.0.0.1:1", "a");
  s = cc_slicemap_server (m, 0);
  g_free (s->dispatcher);
  s->dispatcher = g_strdup (dispatcher);
  cc_slicemap_at (m, 0)->server = 0;
  cc_slicemap_at (m, 0)->from = -1;
  text = cc_slicemap_print (m);
  cc_slicemap_free (m);
  return text;
}

static char *
member_row (const char *address, int incarnation)
{
  return g_strdup_printf (
      "{\"instance\":\"i1\",\"zone\":\"a\",\"address\":\"%s\","
      "\"incarnation\":%d,\"draining\":false}",
      address, incarnation);
}

static void
make_rows (void)
{
  fixture.map = map_row ("d");
  fixture.member = member_row (fixture.mailbox, DISPATCHER);
  fixture.document = g_strdup (
      "{\"description\":\"\",\"pools\":[{\"name\":\"" POOL "\",\"prefer\":"
      "\"availability\",\"checks_grants\":true,\"slices\":1}],\"classes\":[{"
      "\"name\":\"browse\",\"pool\":\"" POOL "\",\"once_only\":false,"
      "\"timeout_ms\":2000,\"target\":{\"within_ms\":100,\"share\":0.99,"
      "\"reliability\":0.99}},{"
      "\"name\":\"book\",\"pool\":\"" POOL "\",\"once_only\":true,"
      "\"timeout_ms\":2000,\"target\":{\"within_ms\":100,\"share\":0.99,"
      "\"reliability\":0.99}}]}");
}

static void
send_rows (const CcMessage *request)
{
  CcMessage m = { .kind = CC_MSG_ROWS, .to = request->from };
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  g_variant_builder_add (&b, "(sts)", "config/head", (guint64) 1,
                         fixture.document);
  g_variant_builder_add (&b, "(sts)", "map/" POOL, (guint64) 2, fixture.map);
  g_variant_builder_add (&b, "(sts)", "member/d", (guint64) 3, fixture.member);
  m.u.rows.since = 0;
  m.u.rows.upto = 3;
  m.u.rows.rows = g_variant_ref_sink (g_variant_builder_end (&b));
  cc_mailbox_send (fixture.box, request->reply_to, &m);
  g_variant_unref (m.u.rows.rows);
}

/* Sends the rows that apply after the takeover. */
static void
send_successor_rows (const CcMessage *request)
{
  CcMessage m = { .kind = CC_MSG_ROWS, .to = request->from };
  g_autofree char *map = map_row ("e");
  g_autofree char *member = member_row (fixture.successor, SUCCESSOR);
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  g_variant_builder_add (&b, "(sts)", "map/" POOL, (guint64) 4, map);
  g_variant_builder_add (&b, "(sts)", "member/e", (guint64) 5, member);
  m.u.rows.since = 3;
  m.u.rows.upto = 5;
  m.u.rows.rows = g_variant_ref_sink (g_variant_builder_end (&b));
  cc_mailbox_send (fixture.box, request->reply_to, &m);
  g_variant_unref (m.u.rows.rows);
}

static void
answer (const CcMessage *request)
{
  CcMessage m = { .kind = CC_MSG_REPLY,
                  .to = request->from,
                  .id = request->id };
  g_autoptr (GBytes) body = g_bytes_new_static ("answer", 6);

  m.u.reply.outcome = CC_OUTCOME_RUN;
  m.u.reply.status = 200;
  m.u.reply.body = body;
  cc_mailbox_send (fixture.box, request->reply_to, &m);
}

static void
on_message (const CcMessage *m, gpointer data)
{
  (void) data;
  if (m->kind == CC_MSG_SYNC && m->u.sync.upto < 3)
    send_rows (m);
  else if (m->kind == CC_MSG_SYNC && m->u.sync.upto < 5 &&
           fixture.successor_box != NULL)
    send_successor_rows (m);
  else if (m->kind == CC_MSG_CANCEL)
    fixture.cancels++;
  else if (m->kind == CC_MSG_REQUEST)
    {
      fixture.requests++;
      if (fixture.answers)
        answer (m);
    }
}

/* The successor has no record of any request and answers unknown. */
static void
on_successor_message (const CcMessage *request, gpointer data)
{
  CcMessage m = { .kind = CC_MSG_REPLY,
                  .to = request->from,
                  .id = request->id };

  (void) data;
  if (request->kind != CC_MSG_REQUEST)
    return;
  m.u.reply.outcome = CC_OUTCOME_UNKNOWN;
  m.u.reply.reason = "forgotten";
  cc_mailbox_send (fixture.successor_box, request->reply_to, &m);
}

static void
on_link (const char *address, gboolean up, gpointer data)
{
  (void) address, (void) up, (void) data;
}

static char *
free_address (void)
{
  g_autoptr (GSocketListener) l = g_socket_listener_new ();
  guint port = g_socket_listener_add_any_inet_port (l, NULL, NULL);

  g_socket_listener_close (l);
  return g_strdup_printf ("127.0.0.1:%u", port);
}

static void
run_main_loop (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_usleep (1000);
}

static void
spawn_entry (void)
{
  g_autofree char *callers = g_strconcat ("--callers=", fixture.callers, NULL);
  g_autofree char *listen = g_strconcat ("--listen=", fixture.listen, NULL);
  g_autofree char *admin = g_strconcat ("--admin=", fixture.admin, NULL);
  g_autofree char *seeds =
      g_strconcat ("--dispatchers=", fixture.mailbox, NULL);
  char *argv[] = { fixture.program,
                   (char *) "--instance=i1",
                   (char *) "--zone=a",
                   callers,
                   listen,
                   admin,
                   seeds,
                   NULL };

  assert_true (g_spawn_async (
      NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDERR_TO_DEV_NULL,
      NULL, NULL, &fixture.pid, NULL));
}

static GSocketConnection *
connect_and_send (const char *data, gsize length)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  GSocketConnection *c =
      g_socket_client_connect_to_host (client, fixture.callers, 80, NULL, NULL);

  if (c == NULL)
    return NULL;
  g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (c)),
                             data, length, NULL, NULL, NULL);
  return c;
}

/* Reads from C until TEXT arrives, the connection closes or MS have passed.
 * Returns whether TEXT arrived. */
static gboolean
receives (GSocketConnection *c, const char *text, guint ms)
{
  GSocket *s = g_socket_connection_get_socket (c);
  g_autoptr (GString) got = g_string_new (NULL);
  char buffer[4096];

  g_socket_set_blocking (s, FALSE);
  for (guint i = 0; i < ms; i++)
    {
      gssize n = g_socket_receive (s, buffer, sizeof buffer, NULL, NULL);

      if (n == 0)
        break;
      if (n > 0)
        g_string_append_len (got, buffer, n);
      if (strstr (got->str, text) != NULL)
        return TRUE;
      run_main_loop ();
    }
  if (got->len > 0)
    print_message ("# received: %.60s\n", got->str);
  return strstr (got->str, text) != NULL;
}

static gboolean
other_callers_are_served (void)
{
  static const char request[] = "GET /a HTTP/1.1\r\n" HEAD "\r\n";
  g_autoptr (GSocketConnection) c = NULL;

  fixture.answers = TRUE;
  c = connect_and_send (request, strlen (request));
  return c != NULL && receives (c, "answer", 2000);
}

/* Waits until the entry forwards requests to its dispatcher.  Returns whether
 * it does. */
static gboolean
await_service (void)
{
  for (guint i = 0; i < 50; i++)
    {
      for (guint k = 0; k < 100; k++)
        run_main_loop ();
      if (other_callers_are_served ())
        return TRUE;
    }
  return FALSE;
}

static int
start (void **state)
{
  char *message = NULL;

  (void) state;
  fixture.callers = free_address ();
  fixture.listen = free_address ();
  fixture.admin = free_address ();
  fixture.mailbox = free_address ();
  make_rows ();
  fixture.box = cc_mailbox_new (fixture.mailbox, fixture.mailbox, DISPATCHER,
                                on_message, on_link, NULL, &message);
  spawn_entry ();
  return await_service () ? 0 : -1;
}

static int
stop (void **state)
{
  (void) state;
  kill (fixture.pid, SIGKILL);
  return 0;
}

/* Guards against work for a caller that closed its connection: without a cancel
 * message the dispatcher works on the request until its deadline. */
static void
disconnected_caller_is_cancelled (void **state)
{
  static const char request[] = "GET /a HTTP/1.1\r\n" HEAD "\r\n";
  GSocketConnection *c;
  guint before = fixture.requests;
  gint64 closed;

  (void) state;
  fixture.answers = FALSE;
  fixture.cancels = 0;
  c = connect_and_send (request, strlen (request));
  for (guint i = 0; i < 500 && fixture.requests == before; i++)
    run_main_loop ();
  assert_int_equal (fixture.requests, before + 1);
  g_io_stream_close (G_IO_STREAM (c), NULL, NULL);
  g_object_unref (c);
  closed = cc_clock_now ();
  for (guint i = 0; i < 500 && fixture.cancels == 0; i++)
    run_main_loop ();
  print_message ("# cancelled after %d ms\n",
                 (int) ((cc_clock_now () - closed) / CC_MS));
  assert_int_equal (fixture.cancels, 1);
  assert_true (other_callers_are_served ());
}

static guint
resident_kb (void)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", fixture.pid);
  g_autofree char *text = NULL;
  const char *line;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  line = strstr (text, "VmRSS:");
  return line != NULL ? (guint) g_ascii_strtoull (line + 6, NULL, 10) : 0;
}

typedef struct
{
  GSocketConnection *connection;
  guint sent;    /* MB */
  gint finished; /* atomic */
} ChunkFlood;

/* Runs in a thread, since writes block and this process must keep answering
 * pings. */
static gpointer
run_flood (gpointer data)
{
  ChunkFlood *f = data;
  GOutputStream *out =
      g_io_stream_get_output_stream (G_IO_STREAM (f->connection));
  g_autofree char *chunk = g_malloc (1 << 20);

  memset (chunk, 'x', 1 << 20);
  for (; f->sent < 64; f->sent++)
    if (!g_output_stream_write_all (out, "100000\r\n", 8, NULL, NULL, NULL) ||
        !g_output_stream_write_all (out, chunk, 1 << 20, NULL, NULL, NULL) ||
        !g_output_stream_write_all (out, "\r\n", 2, NULL, NULL, NULL))
      break;
  g_atomic_int_set (&f->finished, 1);
  return NULL;
}

/* Guards against an endless chunked body that is collected in memory instead of
 * being rejected at the limit. */
static void
endless_body_is_refused (void **state)
{
  static const char request[] =
      "POST /a HTTP/1.1\r\n" HEAD "Transfer-Encoding: chunked\r\n\r\n";
  ChunkFlood f = { .connection = connect_and_send (request, strlen (request)) };
  guint before = fixture.requests, start_kb = resident_kb (), most_kb = 0;
  GThread *thread = g_thread_new ("flood", run_flood, &f);

  (void) state;
  while (g_atomic_int_get (&f.finished) == 0)
    {
      run_main_loop ();
      most_kb = MAX (most_kb, resident_kb ());
    }
  g_thread_join (thread);
  print_message ("# %u MB taken, resident %u to %u KB\n", f.sent, start_kb,
                 most_kb);
  assert_true (f.sent < 24); /* the limit and the kernel's buffers */
  assert_true (most_kb < start_kb + 3 * CC_BODY_MAX / 1024);
  assert_int_equal (fixture.requests, before);
  g_object_unref (f.connection);
  assert_true (other_callers_are_served ());
}

/* Guards against malformed requests that reach a dispatcher or that keep other
 * callers from being served. */
static void
bad_input_does_not_affect_others (void **state)
{
  g_autofree char *filler = g_strnfill (CC_HEADERS_MAX + 10, 'h');
  g_autofree char *many = g_strconcat (
      "GET /a HTTP/1.1\r\n" HEAD "X-Long: ", filler, "\r\n\r\n", NULL);
  g_autofree char *long_key = g_strnfill (CC_KEY_MAX + 1, 'k');
  g_autofree char *key = g_strconcat (
      "GET /a HTTP/1.1\r\nHost: e\r\nX-Class: browse\r\nX-Key: ", long_key,
      "\r\n\r\n", NULL);
  const struct
  {
    const char *request;
    const char *answer; /* NULL: any, or none */
  } cases[] = {
    { many, "not-run" },
    { key, "not-run" },
    { "GET /a HTTP/1.1\r\nHost: e\r\n\r\n", "not-run" },
    { "GET /a HTTP/1.1\r\nHost: e\r\nX-Class: nobody\r\nX-Key: k\r\n\r\n",
      "not-run" },
    { "GET /a HTTP/1.1\r\nHost: e\r\nX-Class: browse\r\nX-Key: k\r\n"
      "X-Request-Timeout: soon\r\n\r\n",
      "not-run" },
    { "GET /a HTTP/1.1\r\nHost: e\r\nX-Class: browse\r\nX-Key: k\r\n"
      "X-Tenant: a\"b\r\n\r\n",
      "not-run" },
    { "POST /a HTTP/1.1\r\n" HEAD "Content-Length: 99999999999\r\n\r\n",
      "not-run" },
    { "POST /a HTTP/1.1\r\n" HEAD "Content-Length: -5\r\n\r\n", "not-run" },
    { "POST /a HTTP/1.1\r\n" HEAD
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "not-run" },
    { "POST /a HTTP/1.1\r\n" HEAD
      "Content-Length: 0\r\nContent-Length: 4\r\n\r\nabcd",
      "not-run" },
    { "POST /a HTTP/1.1\r\n" HEAD "Content-Length: 1x\r\n\r\n", NULL },
    { "POST /a HTTP/1.1\r\n" HEAD "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
      NULL },
    { "\r\n\r\n\x01\x02 garbage\r\n\r\n", NULL },
    { "GET /a HTTP/9.9\r\n\r\n", NULL },
  };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      guint before = fixture.requests;
      GSocketConnection *c =
          connect_and_send (cases[i].request, strlen (cases[i].request));

      if (cases[i].answer != NULL && !receives (c, cases[i].answer, 1000))
        fail_msg ("case %u was not refused", i);
      for (guint k = 0; k < 30; k++)
        run_main_loop ();
      if (fixture.requests != before)
        fail_msg ("case %u reached the dispatcher", i);
      assert_true (other_callers_are_served ());
      g_object_unref (c);
    }
}

/* Guards against a truncated body, left by a caller that terminates while
 * sending, being forwarded as a complete request. */
static void
truncated_body_is_not_forwarded (void **state)
{
  static const char *const bodies[] = {
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0",
    "Transfer-Encoding: chunked\r\n\r\n10\r\nhel",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
    "Content-Length: 10\r\n\r\nhello",
  };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      g_autofree char *request =
          g_strconcat ("POST /a HTTP/1.1\r\n" HEAD, bodies[i], NULL);
      guint before = fixture.requests;
      GSocketConnection *c = connect_and_send (request, strlen (request));

      for (guint k = 0; k < 30; k++)
        run_main_loop ();
      g_object_unref (c);
      for (guint k = 0; k < 100; k++)
        run_main_loop ();
      if (fixture.requests != before)
        fail_msg ("body %u reached the dispatcher", i);
      assert_true (other_callers_are_served ());
    }
}

#define SILENCE_MS 800 /* a silent link has been closed by then */

typedef struct
{
  const char *name;
  gboolean once_only;
  guint before_ms; /* pause of the dispatcher before the request */
  guint after_ms;  /* and after it */
} PauseCase;

static const PauseCase pauses[] = {
  { "once-only, sent before the pause", TRUE, 0, 900 },
  { "once-only, sent during the pause", TRUE, 700, 300 },
  { "idempotent, sent before the pause", FALSE, 0, 900 },
};

/* Returns the text of a request for case C; freed by the caller. */
static char *
request_of (const PauseCase *c)
{
  guint64 ms = (guint64) (cc_clock_wall () / CC_MS);

  if (!c->once_only)
    return g_strdup ("GET /a HTTP/1.1\r\n" HEAD "\r\n");
  return g_strdup_printf (
      "GET /a HTTP/1.1\r\nX-Class: book\r\nX-Key: k\r\nHost: entry\r\n"
      "Idempotency-Key: %08x-%04x-7000-8000-000000000001\r\n\r\n",
      (guint) (ms >> 16), (guint) (ms & 0xffff));
}

/* Guards against outcome unknown for a request whose dispatcher pauses briefly
 * and then answers it before the deadline. */
static void
paused_dispatcher_is_awaited (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (pauses); i++)
    {
      const PauseCase *p = &pauses[i];
      g_autofree char *request = request_of (p);
      g_autoptr (GSocketConnection) c = NULL;

      assert_true (other_callers_are_served ());
      g_usleep (p->before_ms * 1000);
      c = connect_and_send (request, strlen (request));
      g_usleep (p->after_ms * 1000);
      if (!receives (c, "answer", 2000))
        fail_msg ("%s: no answer", p->name);
    }
}

/* Guards against a request held until its deadline by a paused dispatcher,
 * after the dispatcher that took over has answered that the outcome is unknown.
 */
static void
successor_unknown_is_returned (void **state)
{
  const PauseCase p = { .once_only = TRUE };
  g_autofree char *request = request_of (&p);
  g_autoptr (GSocketConnection) c = NULL;
  char *message = NULL;
  guint before;

  (void) state;
  assert_true (await_service ());
  fixture.answers = FALSE;
  before = fixture.requests;
  c = connect_and_send (request, strlen (request));
  for (guint i = 0; i < 500 && fixture.requests == before; i++)
    run_main_loop ();
  g_usleep (SILENCE_MS * 1000);
  fixture.successor = free_address ();
  fixture.successor_box =
      cc_mailbox_new (fixture.successor, fixture.successor, SUCCESSOR,
                      on_successor_message, on_link, NULL, &message);
  assert_non_null (fixture.successor_box);
  assert_true (receives (c, "forgotten", 2000));
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (disconnected_caller_is_cancelled),
    cmocka_unit_test (endless_body_is_refused),
    cmocka_unit_test (truncated_body_is_not_forwarded),
    cmocka_unit_test (bad_input_does_not_affect_others),
    cmocka_unit_test (paused_dispatcher_is_awaited),
    cmocka_unit_test (successor_unknown_is_returned),
  };
  g_autofree char *folder = g_path_get_dirname (argv[0]);

  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  fixture.program = g_build_filename (folder, "..", "capercrank-entry", NULL);
  return cmocka_run_group_tests (tests, start, stop);
}
