/* Starts the fleet, and sends audited requests with ids of their own. */
#include "fleet_test.h"

#include <signal.h>
#include <unistd.h>

#include "gateway_process.h"
#include "soak.h"

#define START_TIMEOUT_MS 20000
#define POLL_MS 200
#define DEADLINE_MS 1500
#define ANSWER_TIMEOUT (2 * CC_SECOND)

const FleetTestKind fleet_test_kinds[FLEET_TEST_KINDS] = {
  { "GET", "/look/", FALSE, TRUE },
  { "POST", "/book/", TRUE, FALSE },
  { "PUT", "/change/", TRUE, TRUE },
  { "GET", "/list/", FALSE, FALSE }
};

typedef struct
{
  char *id;
  CcHttpDone done;
  gpointer data;
} Call;

static GMainLoop *loop;
static CcHttp *http;
static guint64 next_id;

static gboolean
on_over (gpointer unused)
{
  (void) unused;
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

/* Runs the main loop for MS. */
void
fleet_test_run_for (guint ms)
{
  g_timeout_add (ms, on_over, NULL);
  g_main_loop_run (loop);
}

static gboolean
on_poll (gpointer unused)
{
  (void) unused;
  demo_fleet_poll ();
  return G_SOURCE_CONTINUE;
}

/* Starts the fleet of the programs in the folder above PROGRAM, with the logs
 * of the test NAME, and waits until it serves.  Returns FALSE if it does not.
 */
gboolean
fleet_test_start (const char *program, const char *name)
{
  g_autofree char *here = g_path_get_dirname (program);
  /* The fleet keeps both. */
  char *bin = g_build_filename (here, "..", NULL);
  char *folder = g_strdup_printf ("%s/run/%s-%u", bin, name, (guint) getpid ());

  signal (SIGPIPE, SIG_IGN);
  loop = g_main_loop_new (NULL, FALSE);
  g_mkdir_with_parents (folder, 0755);
  demo_fleet_start (bin, folder);
  g_timeout_add (POLL_MS, on_poll, NULL);
  for (guint i = 0; i < START_TIMEOUT_MS / POLL_MS; i++)
    {
      fleet_test_run_for (POLL_MS);
      if (demo_fleet_is_ready ())
        break;
    }
  http = cc_http_new (demo_fleet_callers_ip ());
  return demo_fleet_is_ready ();
}

/* Returns the number of the id of the next request. */
guint64
fleet_test_next_id (void)
{
  return next_id;
}

static void
on_response (const CcHttpResult *r, gpointer data)
{
  Call *c = data;
  gboolean answered = r->end == CC_HTTP_ANSWERED;
  g_autofree char *body = answered
                              ? g_strndup (g_bytes_get_data (r->body, NULL),
                                           g_bytes_get_size (r->body))
                              : g_strdup ("");

  soak_audit_answered (c->id, answered ? r->status : 0, body);
  c->done (r, c->data);
  g_free (c->id);
  g_free (c);
}

/* Sends R with ID.  AGAIN: it was sent with that before, and its caller was
 * told that it has not run. */
void
fleet_test_send_as (const FleetTestRequest *r, const char *id, gboolean again)
{
  g_autofree char *address = demo_fleet_address (r->gateway, GATEWAY_LISTEN);
  g_autofree char *head = NULL;
  g_autoptr (GBytes) body = g_bytes_new_static ("x", 1);
  Call *c = g_new0 (Call, 1);
  CcHttpRequest o = { .address = address,
                      .connect_timeout = ANSWER_TIMEOUT,
                      .answer_timeout = ANSWER_TIMEOUT,
                      .body = r->once ? body : NULL };

  c->id = g_strdup (id);
  c->done = r->done;
  c->data = r->data;
  head = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: a.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                          "X-Shard-Key: %s\r\n",
                          r->method, r->path, c->id, DEADLINE_MS, r->key);
  o.head = head;
  if (again)
    soak_audit_repeated (id);
  else
    soak_audit_sent (id, r->once);
  if (cc_http_send (http, &o, on_response, c) == NULL)
    g_error ("can't send to %s", address);
}

/* Sends R with a new id. */
void
fleet_test_send (const FleetTestRequest *r)
{
  g_autofree char *id = g_strdup_printf ("q%" G_GUINT64_FORMAT, next_id++);

  fleet_test_send_as (r, id, FALSE);
}

/* Opens a connection to PORT of GATEWAY, which does not block.  The caller
 * unrefs it. */
GSocket *
fleet_test_connect (guint gateway, guint port)
{
  g_autofree char *address = demo_fleet_address (gateway, port);
  g_autoptr (GSocketAddress) from =
      g_inet_socket_address_new_from_string (demo_fleet_callers_ip (), 0);
  g_autoptr (GSocketAddress) to = NULL;
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  to = g_inet_socket_address_new_from_string (
      parts[0], (guint) g_ascii_strtoull (parts[1], NULL, 10));
  if (!g_socket_bind (s, from, FALSE, NULL) ||
      !g_socket_connect (s, to, NULL, NULL))
    g_error ("can't connect to %s", address);
  g_socket_set_blocking (s, FALSE);
  return s;
}
