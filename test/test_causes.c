/* Guards against a failed request whose id leads to no log line, or to one
 * without the cause.  Each case provokes one cause against the real program and
 * searches its log by the request's id alone. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "capercrank.h"
#include "clock.h"
#include "free_net.h"
#include "gateway_process.h"
#include "http_link.h"
#include "soak.h"

#define STOP_GRACE_MS 1300 /* a request on "silent" may take 1200 */
#define LONG_GRACE_MS 6000
#define LOG "causes.log"
#define POLL_MS 20

/* How an upstream reacts to a request for work. */
typedef enum
{
  CLOSES,
  IS_SILENT,
  ANSWERS_UNSIGNED,
  SHEDS,
  SENDS_NOISE,
  OWNS_NO_KEY,
  IS_DOWN /* nothing listens at its address */
} Behaviour;

typedef struct
{
  const char *pool;
  const char *id;
  guint host; /* in its address */
  Behaviour behaviour;
  gboolean keyed;
} Upstream;

static const Upstream upstreams[] = {
  { "closing", "u1", 1, CLOSES, FALSE },
  { "silent", "u2", 2, IS_SILENT, FALSE },
  { "unsigned", "u3", 3, ANSWERS_UNSIGNED, FALSE },
  { "shedding", "u4", 4, SHEDS, FALSE },
  { "noisy", "u5", 5, SENDS_NOISE, FALSE },
  { "away", "u6", 6, IS_DOWN, FALSE },
  { "keyless", "u7", 7, OWNS_NO_KEY, TRUE },
  { "busy", "u8", 8, IS_SILENT, TRUE },
  { "leaving", "u9", 9, IS_SILENT, TRUE },
  { "crowded", "u10", 10, IS_SILENT, FALSE },
};

static const char *const empty_pool = "empty";

typedef struct
{
  const char *path;   /* begins with the name of a pool */
  int key;            /* -1: none */
  guint deadline;     /* ms */
  guint count;        /* requests at once; the last one is checked */
  const char *event;  /* logged with the id */
  const char *reason; /* expected with it; NULL: any */
} Case;

static const Case cases[] = {
  { "/nowhere/", -1, 500, 1, "request-refused", "no-route" },
  { "/empty/", -1, 500, 1, "request-ended", "no-upstream" },
  { "/keyless/", -1, 500, 1, "request-ended", "no-owner" },
  { "/keyless/", 7, 500, 1, "request-ended", "keys-moved" },
  { "/away/", -1, 500, 1, "request-ended", "unreachable" },
  { "/closing/", -1, 500, 1, "request-ended", "closed" },
  { "/silent/", -1, 300, 1, "request-ended", "deadline" },
  { "/unsigned/", -1, 500, 1, "request-ended", "not-its-answer" },
  { "/shedding/", -1, 500, 1, "request-ended", "shed" },
  { "/noisy/", -1, 500, 1, "request-ended", "not-http" },
  { "/busy/", 9, 1000, 12, "request-ended", "owner-full" },
  { "/crowded/", -1, 1000, 40, "request-ended", "full" },
};

static struct
{
  guint net;
  GSubprocess *gateway;
  char *folder, *log;
  CcHttp *http;
  GMainLoop *loop;
  guint open; /* requests without an answer */
} w;

/* ---- upstreams ---- */

static void
send_text (GSocketConnection *c, const char *text)
{
  g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (c)),
                             text, strlen (text), NULL, NULL, NULL);
}

/* The header line by which the answer identifies REQUEST. */
static char *
echo_of (const char *request)
{
  const char *id = strstr (request, "X-Request-Id: ");

  return id == NULL ? g_strdup ("") : g_strndup (id, strcspn (id, "\r") + 2);
}

static void
answer_work (const Upstream *u, GSocketConnection *c, const char *request)
{
  g_autofree char *echo = echo_of (request);
  g_autofree char *refusal = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n",
      u->behaviour == SHEDS ? "503 Full" : "421 Other", echo);

  switch (u->behaviour)
    {
    case CLOSES:
      g_io_stream_close (G_IO_STREAM (c), NULL, NULL);
      break;
    case ANSWERS_UNSIGNED:
      send_text (c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      break;
    case SHEDS:
    case OWNS_NO_KEY:
      send_text (c, refusal);
      break;
    case SENDS_NOISE:
      send_text (c, "noise without an end\r\n\r\n");
      break;
    case IS_SILENT:
    case IS_DOWN:
      break;
    }
}

typedef struct
{
  const Upstream *upstream;
  GSocketConnection *connection;
  char bytes[4096];
} Peer;

static void
on_read (GObject *stream, GAsyncResult *result, gpointer data)
{
  Peer *p = data;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (stream), result, NULL);

  if (n <= 0)
    {
      g_object_unref (p->connection);
      g_free (p);
      return;
    }
  p->bytes[n] = '\0';
  /* All upstreams accept grants, and none answers a release. */
  if (strstr (p->bytes, "/v1/grant") != NULL)
    send_text (p->connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  else if (strstr (p->bytes, "/v1/release") == NULL &&
           strstr (p->bytes, "HTTP/1.1") != NULL)
    answer_work (p->upstream, p->connection, p->bytes);
  g_input_stream_read_async (G_INPUT_STREAM (stream), p->bytes,
                             sizeof p->bytes - 1, 0, NULL, on_read, p);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *c, GObject *source,
             gpointer data)
{
  Peer *p = g_new0 (Peer, 1);

  (void) service, (void) source;
  p->upstream = data;
  p->connection = g_object_ref (c);
  g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (c)),
                             p->bytes, sizeof p->bytes - 1, 0, NULL, on_read,
                             p);
  return TRUE;
}

static char *
address_of (guint group, guint host, guint port)
{
  return g_strdup_printf ("127.%u.%u.%u:%u", w.net, group, host, port);
}

static void
list_upstream (const Upstream *u, const char *state)
{
  g_autofree char *address = address_of (3, u->host, 7200);
  g_autofree char *row = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":1,\"info\":{\"service\":\"%s\",\"zone\":"
      "\"a\",\"slots\":1},\"status\":{\"state\":\"%s\"}}",
      address, u->pool, state);

  soak_table_put ("servers", u->id, row);
}

static void
start_upstream (const Upstream *u)
{
  g_autofree char *text = address_of (3, u->host, 7200);
  g_autoptr (GSocketAddress) at = NULL;
  GSocketService *service;

  list_upstream (u, "ready");
  if (u->behaviour == IS_DOWN)
    return;
  *strchr (text, ':') = '\0';
  at = g_inet_socket_address_new_from_string (text, 7200);
  service = g_socket_service_new ();
  assert_true (g_socket_listener_add_address (
      G_SOCKET_LISTENER (service), at, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, NULL, NULL, NULL));
  g_signal_connect (service, "incoming", G_CALLBACK (on_incoming),
                    (gpointer) u);
}

/* ---- configuration and program ---- */

static void
add_pool (GString *services, GString *routes, const char *pool, gboolean keyed)
{
  g_string_append_printf (services, "%s\"%s\":{\"sharding\":%s}",
                          services->len > 0 ? "," : "", pool,
                          keyed ? "true" : "false");
  g_string_append_printf (
      routes,
      "%s\"%s\":{\"host\":\"a.example\",\"prefix\":\"/%s/\",\"kind\":"
      "\"unsafe\",\"service\":\"%s\",\"timeoutMs\":1200,"
      "\"targetLatencyMs\":400,\"maxAttempts\":2}",
      routes->len > 0 ? "," : "", pool, pool, pool);
}

static void
configure (void)
{
  g_autoptr (GString) services = g_string_new (NULL);
  g_autoptr (GString) routes = g_string_new (NULL);
  g_autofree char *text = NULL;

  for (guint i = 0; i < G_N_ELEMENTS (upstreams); i++)
    add_pool (services, routes, upstreams[i].pool, upstreams[i].keyed);
  add_pool (services, routes, empty_pool, FALSE);
  text = g_strdup_printf (
      "{\"version\":\"00000001\",\"services\":{%s},\"routes\":{%s}}",
      services->str, routes->str);
  soak_table_put ("op", "config", text);
}

static gboolean
on_quit (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

static void
run_loop (guint ms)
{
  g_timeout_add (ms, on_quit, w.loop);
  g_main_loop_run (w.loop);
}

static void
start_gateway (guint grace)
{
  g_autofree char *here = g_path_get_dirname (g_get_prgname ());
  g_autofree char *program =
      g_build_filename (here, "..", "capercrank-gateway", NULL);
  g_autofree char *ip = g_strdup_printf ("127.%u.1.1", w.net);
  g_autofree char *table = address_of (0, 2, 7000);
  GatewayOptions place = { .program = program,
                           .instance = "i1",
                           .zone = "a",
                           .ip = ip,
                           .table = table,
                           .grace = grace,
                           .log = w.log };

  w.gateway = gateway_spawn (&place, NULL);
}

/* ---- callers ---- */

static void
on_done (const CcHttpResult *r, gpointer unused)
{
  (void) r, (void) unused;
  w.open--;
}

static CcHttpCall *
send_request (const char *path, const char *id, int key, guint deadline)
{
  g_autofree char *address = address_of (1, 1, GATEWAY_LISTEN);
  g_autoptr (GBytes) body = g_bytes_new_static ("x", 1);
  g_autoptr (GString) head = g_string_new (NULL);
  CcHttpRequest o = { .address = address,
                      .body = body,
                      .connect_timeout = CC_SECOND,
                      .answer_timeout = 5 * CC_SECOND };

  g_string_append_printf (head,
                          "POST %s HTTP/1.1\r\nHost: a.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: %u\r\n",
                          path, id, deadline);
  if (key >= 0)
    g_string_append_printf (head, "X-Shard-Key: %d\r\n", key);
  o.head = head->str;
  w.open++;
  return cc_http_send (w.http, &o, on_done, NULL);
}

static void
wait_for_answers (void)
{
  for (guint i = 0; i < 300 && w.open > 0; i++)
    run_loop (POLL_MS);
  assert_int_equal (w.open, 0);
}

/* The line of EVENT and REASON about the request ID, or NULL. */
static char *
find_line (const char *id, const char *event, const char *reason)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (w.log, &text, NULL, NULL))
    return NULL;
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_autoptr (JsonNode) n = json_from_string (lines[i], NULL);
      JsonObject *o = n != NULL && JSON_NODE_HOLDS_OBJECT (n)
                          ? json_node_get_object (n)
                          : NULL;
      const char *why;

      if (o == NULL ||
          g_strcmp0 (
              json_object_get_string_member_with_default (o, "request", NULL),
              id) != 0 ||
          g_strcmp0 (
              json_object_get_string_member_with_default (o, "event", NULL),
              event) != 0)
        continue;
      why = json_object_get_string_member_with_default (o, "reason", "");
      if (reason == NULL || g_str_equal (why, reason))
        return g_strdup (lines[i]);
    }
  return NULL;
}

static void
expect_line (const char *id, const char *event, const char *reason)
{
  for (guint i = 0; i < 100; i++)
    {
      g_autofree char *line = find_line (id, event, reason);

      if (line != NULL)
        return;
      run_loop (POLL_MS);
    }
  fail_msg ("%s: no line %s with %s", id, event,
            reason != NULL ? reason : "any reason");
}

/* When the gateway first logged EVENT after SINCE; wall clock, us. */
static gint64
time_of (const char *event, gint64 since)
{
  for (guint i = 0; i < 100; i++)
    {
      g_autofree char *text = NULL;
      g_auto (GStrv) lines = NULL;

      if (g_file_get_contents (w.log, &text, NULL, NULL))
        lines = g_strsplit (text, "\n", -1);
      for (guint k = 0; lines != NULL && lines[k] != NULL; k++)
        {
          g_autoptr (JsonNode) n = json_from_string (lines[k], NULL);
          JsonObject *o = n != NULL && JSON_NODE_HOLDS_OBJECT (n)
                              ? json_node_get_object (n)
                              : NULL;
          gint64 at;

          if (o == NULL ||
              g_strcmp0 (
                  json_object_get_string_member_with_default (o, "event", NULL),
                  event) != 0)
            continue;
          at = (gint64) (1e6 * json_object_get_double_member_with_default (
                                   o, "time", 0));
          if (at > since)
            return at;
        }
      run_loop (POLL_MS);
    }
  fail_msg ("no line %s", event);
  return 0;
}

static void
run_loop_until (gint64 wall)
{
  gint64 now = cc_clock_wall ();

  if (wall > now)
    run_loop ((guint) ((wall - now) / CC_MS) + 1);
}

/* ---- tests ---- */

static int
set_up (void **state)
{
  g_autofree char *table = NULL;

  (void) state;
  signal (SIGPIPE, SIG_IGN);
  w.net = free_net ();
  w.folder = g_dir_make_tmp ("causes-XXXXXX", NULL);
  w.log = g_build_filename (w.folder, LOG, NULL);
  w.loop = g_main_loop_new (NULL, FALSE);
  w.http = cc_http_new ("127.0.0.1");
  table = address_of (0, 2, 7000);
  soak_table_listen (table);
  start_gateway (STOP_GRACE_MS);
  for (guint i = 0; i < 100 && find_line ("", "", NULL) == NULL; i++)
    {
      g_autofree char *text = NULL;

      run_loop (POLL_MS);
      if (g_file_get_contents (w.log, &text, NULL, NULL) &&
          strstr (text, "\"registered\"") != NULL)
        break;
    }
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  if (w.gateway != NULL)
    g_subprocess_force_exit (w.gateway);
  if (g_getenv ("KEEP_LOG") == NULL)
    (void) unlink (w.log);
  (void) rmdir (w.folder);
  return 0;
}

static void
without_a_configuration (void **state)
{
  (void) state;
  send_request ("/empty/", "c0", -1, 500);
  wait_for_answers ();
  expect_line ("c0", "request-refused", "no-configuration");
  configure ();
  for (guint i = 0; i < G_N_ELEMENTS (upstreams); i++)
    start_upstream (&upstreams[i]);
  run_loop (5000); /* the keys are granted */
}

static void
each_cause_has_a_line (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      g_autofree char *id = NULL;

      for (guint k = 0; k < c->count; k++)
        {
          g_free (id);
          id = g_strdup_printf ("c%u-%u", i + 1, k);
          send_request (c->path, id, c->key, c->deadline);
        }
      wait_for_answers ();
      expect_line (id, c->event, c->reason);
    }
}

/* The owner is leaving and does not answer the release, so no other may serve
 * its keys until its last grant expires. */
static void
keys_that_are_moving (void **state)
{
  Upstream heir = { "leaving", "u19", 19, IS_SILENT, TRUE };

  (void) state;
  start_upstream (&heir);
  for (guint i = 0; i < G_N_ELEMENTS (upstreams); i++)
    if (g_str_equal (upstreams[i].id, "u9"))
      list_upstream (&upstreams[i], "draining");
  run_loop (800);
  send_request ("/leaving/", "moving", 65000, 1000);
  wait_for_answers ();
  expect_line ("moving", "request-ended", "keys-moving");
}

static void
a_caller_that_leaves (void **state)
{
  CcHttpCall *call;

  (void) state;
  call = send_request ("/silent/", "gone", -1, 1000);
  run_loop (100);
  cc_http_cancel (call);
  w.open--;
  expect_line ("gone", "caller-gone", NULL);
}

static void
a_process_that_ends (void **state)
{
  (void) state;
  g_subprocess_send_signal (w.gateway, SIGTERM);
  run_loop (50);
  send_request ("/silent/", "late", -1, 3000);
  wait_for_answers ();
  expect_line ("late", "request-refused", "stopping");
  g_subprocess_wait (w.gateway, NULL, NULL);
  g_clear_object (&w.gateway);
}

/* Guards against a connection that is closed without an answer: a caller sends
 * a request on an existing connection to a stopping process, and it waits in a
 * queue until the process exits.  So near the exit every request is refused. */
static void
a_process_that_nobody_is_sent_to (void **state)
{
  gint64 sent, stopping;

  (void) state;
  start_gateway (LONG_GRACE_MS);
  run_loop (3000);
  sent = cc_clock_wall ();
  g_subprocess_send_signal (w.gateway, SIGTERM);
  stopping = time_of ("stopping", sent);
  run_loop_until (stopping + 1600 * CC_MS);
  send_request ("/silent/", "taken", -1, 1500);
  run_loop_until (stopping + 2650 * CC_MS);
  send_request ("/silent/", "untaken", -1, 100);
  wait_for_answers ();
  expect_line ("taken", "request-ended", "deadline");
  expect_line ("untaken", "request-refused", "stopping");
  g_subprocess_wait (w.gateway, NULL, NULL);
  g_clear_object (&w.gateway);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (without_a_configuration),
    cmocka_unit_test (each_cause_has_a_line),
    cmocka_unit_test (keys_that_are_moving),
    cmocka_unit_test (a_caller_that_leaves),
    cmocka_unit_test (a_process_that_ends),
    cmocka_unit_test (a_process_that_nobody_is_sent_to),
  };

  (void) argc;
  g_set_prgname (argv[0]);
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
