/* The real entry process, with this test as its dispatcher and its callers:
 * callers that go away, and bad input, which must harm nobody else. */
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
#define HEIR 23
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
  char *heir;          /* address of the dispatcher that takes over */
  CcMailbox *heir_box; /* NULL: none has */
  char *document;
  char *map;
  char *member;
  gboolean answers; /* requests are answered at once */
  guint requests;   /* received from the entry */
  guint cancels;
} Rig;

static Rig rig;

/* The map in which DISPATCHER's server owns all keys. */
static char *
map_of (const char *dispatcher)
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
member_of (const char *address, int incarnation)
{
  return g_strdup_printf (
      "{\"instance\":\"i1\",\"zone\":\"a\",\"address\":\"%s\","
      "\"incarnation\":%d,\"draining\":false}",
      address, incarnation);
}

static void
make_rows (void)
{
  rig.map = map_of ("d");
  rig.member = member_of (rig.mailbox, DISPATCHER);
  rig.document = g_strdup (
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
send_rows (const CcMessage *asked)
{
  CcMessage m = { .kind = CC_MSG_ROWS, .to = asked->from };
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  g_variant_builder_add (&b, "(sts)", "config/head", (guint64) 1, rig.document);
  g_variant_builder_add (&b, "(sts)", "map/" POOL, (guint64) 2, rig.map);
  g_variant_builder_add (&b, "(sts)", "member/d", (guint64) 3, rig.member);
  m.u.rows.since = 0;
  m.u.rows.upto = 3;
  m.u.rows.rows = g_variant_ref_sink (g_variant_builder_end (&b));
  cc_mailbox_send (rig.box, asked->reply_to, &m);
  g_variant_unref (m.u.rows.rows);
}

/* The rows after the heir has taken over. */
static void
send_heirs_rows (const CcMessage *asked)
{
  CcMessage m = { .kind = CC_MSG_ROWS, .to = asked->from };
  g_autofree char *map = map_of ("e");
  g_autofree char *member = member_of (rig.heir, HEIR);
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  g_variant_builder_add (&b, "(sts)", "map/" POOL, (guint64) 4, map);
  g_variant_builder_add (&b, "(sts)", "member/e", (guint64) 5, member);
  m.u.rows.since = 3;
  m.u.rows.upto = 5;
  m.u.rows.rows = g_variant_ref_sink (g_variant_builder_end (&b));
  cc_mailbox_send (rig.box, asked->reply_to, &m);
  g_variant_unref (m.u.rows.rows);
}

static void
answer (const CcMessage *asked)
{
  CcMessage m = { .kind = CC_MSG_REPLY, .to = asked->from, .id = asked->id };
  g_autoptr (GBytes) body = g_bytes_new_static ("answer", 6);

  m.u.reply.outcome = CC_OUTCOME_RUN;
  m.u.reply.status = 200;
  m.u.reply.body = body;
  cc_mailbox_send (rig.box, asked->reply_to, &m);
}

static void
on_message (const CcMessage *m, gpointer data)
{
  (void) data;
  if (m->kind == CC_MSG_SYNC && m->u.sync.upto < 3)
    send_rows (m);
  else if (m->kind == CC_MSG_SYNC && m->u.sync.upto < 5 && rig.heir_box != NULL)
    send_heirs_rows (m);
  else if (m->kind == CC_MSG_CANCEL)
    rig.cancels++;
  else if (m->kind == CC_MSG_REQUEST)
    {
      rig.requests++;
      if (rig.answers)
        answer (m);
    }
}

/* The heir does not know what became of any request. */
static void
on_heirs_message (const CcMessage *asked, gpointer data)
{
  CcMessage m = { .kind = CC_MSG_REPLY, .to = asked->from, .id = asked->id };

  (void) data;
  if (asked->kind != CC_MSG_REQUEST)
    return;
  m.u.reply.outcome = CC_OUTCOME_UNKNOWN;
  m.u.reply.reason = "forgotten";
  cc_mailbox_send (rig.heir_box, asked->reply_to, &m);
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
turn (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_usleep (1000);
}

static void
spawn_entry (void)
{
  g_autofree char *callers = g_strconcat ("--callers=", rig.callers, NULL);
  g_autofree char *listen = g_strconcat ("--listen=", rig.listen, NULL);
  g_autofree char *admin = g_strconcat ("--admin=", rig.admin, NULL);
  g_autofree char *seeds = g_strconcat ("--dispatchers=", rig.mailbox, NULL);
  char *argv[] = { rig.program,
                   (char *) "--instance=i1",
                   (char *) "--zone=a",
                   callers,
                   listen,
                   admin,
                   seeds,
                   NULL };

  assert_true (g_spawn_async (
      NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDERR_TO_DEV_NULL,
      NULL, NULL, &rig.pid, NULL));
}

static GSocketConnection *
call (const char *data, gsize length)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  GSocketConnection *c =
      g_socket_client_connect_to_host (client, rig.callers, 80, NULL, NULL);

  if (c == NULL)
    return NULL;
  g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (c)),
                             data, length, NULL, NULL, NULL);
  return c;
}

/* Reads for at most MS, or until TEXT has come or the connection is closed.
 * Returns whether TEXT came. */
static gboolean
hears (GSocketConnection *c, const char *text, guint ms)
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
      turn ();
    }
  if (got->len > 0)
    print_message ("# heard: %.60s\n", got->str);
  return strstr (got->str, text) != NULL;
}

static gboolean
others_are_served (void)
{
  static const char request[] = "GET /a HTTP/1.1\r\n" HEAD "\r\n";
  g_autoptr (GSocketConnection) c = NULL;

  rig.answers = TRUE;
  c = call (request, strlen (request));
  return c != NULL && hears (c, "answer", 2000);
}

/* Waits until the entry's link to its dispatcher carries requests. */
static gboolean
becomes_served (void)
{
  for (guint i = 0; i < 50; i++)
    {
      for (guint k = 0; k < 100; k++)
        turn ();
      if (others_are_served ())
        return TRUE;
    }
  return FALSE;
}

static int
start (void **state)
{
  char *message = NULL;

  (void) state;
  rig.callers = free_address ();
  rig.listen = free_address ();
  rig.admin = free_address ();
  rig.mailbox = free_address ();
  make_rows ();
  rig.box = cc_mailbox_new (rig.mailbox, rig.mailbox, DISPATCHER, on_message,
                            on_link, NULL, &message);
  spawn_entry ();
  return becomes_served () ? 0 : -1;
}

static int
stop (void **state)
{
  (void) state;
  kill (rig.pid, SIGKILL);
  return 0;
}

/* A caller closes while its request waits: the dispatcher has to be told, or
 * servers work for nobody until the deadline. */
static void
gone_caller_is_cancelled (void **state)
{
  static const char request[] = "GET /a HTTP/1.1\r\n" HEAD "\r\n";
  GSocketConnection *c;
  guint before = rig.requests;
  gint64 closed;

  (void) state;
  rig.answers = FALSE;
  rig.cancels = 0;
  c = call (request, strlen (request));
  for (guint i = 0; i < 500 && rig.requests == before; i++)
    turn ();
  assert_int_equal (rig.requests, before + 1);
  g_io_stream_close (G_IO_STREAM (c), NULL, NULL);
  g_object_unref (c);
  closed = cc_clock_now ();
  for (guint i = 0; i < 500 && rig.cancels == 0; i++)
    turn ();
  print_message ("# cancelled after %d ms\n",
                 (int) ((cc_clock_now () - closed) / CC_MS));
  assert_int_equal (rig.cancels, 1);
  assert_true (others_are_served ());
}

static guint
resident_kb (void)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", rig.pid);
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
} Flood;

/* In a thread, since it blocks: this process must go on answering pings. */
static gpointer
run_flood (gpointer data)
{
  Flood *f = data;
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

/* A body in chunks that goes on and on: refused at the bound, not gathered. */
static void
endless_body_is_refused (void **state)
{
  static const char request[] =
      "POST /a HTTP/1.1\r\n" HEAD "Transfer-Encoding: chunked\r\n\r\n";
  Flood f = { .connection = call (request, strlen (request)) };
  guint before = rig.requests, start_kb = resident_kb (), most_kb = 0;
  GThread *thread = g_thread_new ("flood", run_flood, &f);

  (void) state;
  while (g_atomic_int_get (&f.finished) == 0)
    {
      turn ();
      most_kb = MAX (most_kb, resident_kb ());
    }
  g_thread_join (thread);
  print_message ("# %u MB taken, resident %u to %u KB\n", f.sent, start_kb,
                 most_kb);
  assert_true (f.sent < 24); /* the bound, and what the kernel buffers */
  assert_true (most_kb < start_kb + 3 * CC_BODY_MAX / 1024);
  assert_int_equal (rig.requests, before);
  g_object_unref (f.connection);
  assert_true (others_are_served ());
}

/* Requests that must not reach a dispatcher, and after each of them another
 * caller is served. */
static void
bad_input_harms_nobody (void **state)
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
    const char *answer; /* NULL: none is expected, only no harm */
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
      guint before = rig.requests;
      GSocketConnection *c = call (cases[i].request, strlen (cases[i].request));

      if (cases[i].answer != NULL && !hears (c, cases[i].answer, 1000))
        fail_msg ("case %u was not refused", i);
      for (guint k = 0; k < 30; k++)
        turn ();
      if (rig.requests != before)
        fail_msg ("case %u reached the dispatcher", i);
      assert_true (others_are_served ());
      g_object_unref (c);
    }
}

/* The caller dies in the middle of its body: half a booking must not be passed
 * on as a whole one. */
static void
truncated_body_is_not_passed_on (void **state)
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
      guint before = rig.requests;
      GSocketConnection *c = call (request, strlen (request));

      for (guint k = 0; k < 30; k++)
        turn ();
      g_object_unref (c);
      for (guint k = 0; k < 100; k++)
        turn ();
      if (rig.requests != before)
        fail_msg ("body %u reached the dispatcher", i);
      assert_true (others_are_served ());
    }
}

#define SILENCE_MS 800 /* a link is given up for silence by then */

typedef struct
{
  const char *name;
  gboolean once_only;
  guint before_ms; /* the dispatcher stands still so long before the request, */
  guint after_ms;  /* and so long after it */
} Pause;

static const Pause pauses[] = {
  { "once-only, passed on before", TRUE, 0, 900 },
  { "once-only, during", TRUE, 700, 300 },
  { "idempotent, passed on before", FALSE, 0, 900 },
};

/* A request of C's class; the caller frees it. */
static char *
request_of (const Pause *c)
{
  guint64 ms = (guint64) (cc_clock_wall () / CC_MS);

  if (!c->once_only)
    return g_strdup ("GET /a HTTP/1.1\r\n" HEAD "\r\n");
  return g_strdup_printf (
      "GET /a HTTP/1.1\r\nX-Class: book\r\nX-Key: k\r\nHost: entry\r\n"
      "Idempotency-Key: %08x-%04x-7000-8000-000000000001\r\n\r\n",
      (guint) (ms >> 16), (guint) (ms & 0xffff));
}

/* Guards against "unknown" for a request whose dispatcher stands still for a
 * moment, and answers it in time. */
static void
a_dispatcher_that_goes_on_is_waited_for (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (pauses); i++)
    {
      const Pause *p = &pauses[i];
      g_autofree char *request = request_of (p);
      g_autoptr (GSocketConnection) c = NULL;

      assert_true (others_are_served ());
      g_usleep (p->before_ms * 1000);
      c = call (request, strlen (request));
      g_usleep (p->after_ms * 1000);
      if (!hears (c, "answer", 2000))
        fail_msg ("%s: no answer", p->name);
    }
}

/* Guards against a caller that is held to its deadline by a dispatcher which
 * stands still, though the one that took over has said that nobody knows. */
static void
the_heirs_word_is_passed_on (void **state)
{
  const Pause p = { .once_only = TRUE };
  g_autofree char *request = request_of (&p);
  g_autoptr (GSocketConnection) c = NULL;
  char *message = NULL;
  guint before;

  (void) state;
  assert_true (becomes_served ());
  rig.answers = FALSE;
  before = rig.requests;
  c = call (request, strlen (request));
  for (guint i = 0; i < 500 && rig.requests == before; i++)
    turn ();
  g_usleep (SILENCE_MS * 1000);
  rig.heir = free_address ();
  rig.heir_box = cc_mailbox_new (rig.heir, rig.heir, HEIR, on_heirs_message,
                                 on_link, NULL, &message);
  assert_non_null (rig.heir_box);
  assert_true (hears (c, "forgotten", 2000));
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (gone_caller_is_cancelled),
    cmocka_unit_test (endless_body_is_refused),
    cmocka_unit_test (truncated_body_is_not_passed_on),
    cmocka_unit_test (bad_input_harms_nobody),
    cmocka_unit_test (a_dispatcher_that_goes_on_is_waited_for),
    cmocka_unit_test (the_heirs_word_is_passed_on),
  };
  g_autofree char *folder = g_path_get_dirname (argv[0]);

  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  rig.program = g_build_filename (folder, "..", "capercrank-entry", NULL);
  return cmocka_run_group_tests (tests, start, stop);
}
