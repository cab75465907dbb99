/* Guards against a copy that does not keep up over a slow link: the transfer of
 * a large row takes longer than the timeout of a small one, is aborted and
 * restarted from each source, and requests use a replaced configuration. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "clock.h"
#include "edge.h"
#include "free_net.h"
#include "mirror_state.h"

/* Bound for the time until a configuration is in force. */
#define IN_FORCE_WITHIN (2 * CC_SECOND)
#define RANDOM_NAME 300 /* letters */
#define REQUEST_AGE (800 * CC_MS)
#define APPLY_TIME (450 * CC_MS)
#define TICK_MS 10
#define PORT 7300
#define DAMAGED_MIN 10000 /* bytes */

/* An instance's link of 10 Mbit/s. */
#define SLOW_LINK 1250000 /* bytes a second */

/* Returns the answer to REQUEST, which was held for HELD us, or NULL while it
 * is to be held longer. */
typedef GBytes *(*Respond) (const char *request, gint64 held);

/* A link, shared by the answers of several servers to one process. */
typedef struct
{
  guint rate; /* bytes a second */
  guint busy; /* answers in transit */
} Link;

typedef struct
{
  GSocketService *service;
  char *address;
  Link *link; /* NULL: no limit */
  Respond respond;
  GPtrArray *calls; /* of Call */
  guint tick;       /* source of the main loop */
  gint64 ticked;    /* time of the last tick, us */
} Server;

typedef struct
{
  GSocketConnection *connection;
  GString *request;
  gint64 since; /* when REQUEST was complete, us; 0: it is not */
  GBytes *answer;
  gsize written;
  Link *link;
} Call;

static struct
{
  GString *configuration;
  guint64 version; /* of the configuration's row */
  CcMirror *source;
  GPtrArray *servers; /* of Server: those that listen */
  gint64
      apply_time; /* time that the leaf takes to apply the configuration, us */
  gboolean damage_answers; /* large answers of the peer are damaged */
  gboolean hold_requests;  /* requests to the peer are held */
  guint64 upstream;        /* version of the upstream's row; 0: there is none */
  guint64 deleted;         /* version of that row's deletion; 0: never */
} world;

/* ---- servers ---- */

static void
call_free (gpointer data)
{
  Call *c = data;

  if (c->link != NULL && c->answer != NULL)
    c->link->busy--;
  g_object_unref (c->connection);
  g_string_free (c->request, TRUE);
  g_clear_pointer (&c->answer, g_bytes_unref);
  g_free (c);
}

/* Returns how long REQUEST may wait for an update, ms. */
static gint64
wait_of (const char *request)
{
  const char *at = strstr (request, "waitMs=");

  if (at == NULL)
    at = strstr (request, "wait=");
  return at != NULL ? g_ascii_strtoll (strchr (at, '=') + 1, NULL, 10) : 0;
}

static void
write_answer (Call *c, gsize size_max)
{
  GSocket *s = g_socket_connection_get_socket (c->connection);
  gsize size;
  const char *bytes = g_bytes_get_data (c->answer, &size);
  gssize put = g_socket_send (s, bytes + c->written,
                              MIN (size_max, size - c->written), NULL, NULL);

  c->written += put > 0 ? (gsize) put : 0;
  if (c->written < size)
    return;
  g_clear_pointer (&c->answer, g_bytes_unref);
  c->written = 0;
  g_string_truncate (c->request, 0);
  c->since = 0;
}

/* Returns FALSE if the connection of C has ended. */
static gboolean
read_request (Call *c)
{
  GSocket *s = g_socket_connection_get_socket (c->connection);
  char buffer[4096];
  gssize got = g_socket_receive (s, buffer, sizeof buffer, NULL, NULL);

  if (got == 0)
    return FALSE;
  if (got > 0)
    g_string_append_len (c->request, buffer, got);
  if (c->since == 0 && strstr (c->request->str, "\r\n\r\n") != NULL)
    c->since = cc_clock_now ();
  return TRUE;
}

static void
serve (Server *v, Call *c, gsize size_max)
{
  if (c->since == 0)
    return;
  if (c->answer == NULL)
    c->answer = v->respond (c->request->str, cc_clock_now () - c->since);
  if (c->answer != NULL)
    write_answer (c, size_max);
}

static gboolean
on_tick (gpointer data)
{
  Server *v = data;
  gint64 now = cc_clock_now (), span = now - v->ticked;
  gsize size_max = G_MAXSSIZE;

  v->ticked = now;
  if (v->link != NULL)
    size_max = (gsize) ((gint64) v->link->rate * span / CC_SECOND) /
               MAX (v->link->busy, 1);
  for (guint i = v->calls->len; i > 0; i--)
    if (!read_request (v->calls->pdata[i - 1]))
      g_ptr_array_remove_index_fast (v->calls, i - 1);
  for (guint i = 0; i < v->calls->len; i++)
    {
      Call *c = v->calls->pdata[i];
      gboolean was_busy = c->answer != NULL;

      serve (v, c, size_max);
      if (v->link != NULL)
        v->link->busy += (c->answer != NULL) - was_busy;
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *connection,
               GObject *source, gpointer data)
{
  Server *v = data;
  Call *c = g_new0 (Call, 1);

  (void) service, (void) source;
  c->connection = g_object_ref (connection);
  c->request = g_string_new (NULL);
  c->link = v->link;
  g_socket_set_blocking (g_socket_connection_get_socket (connection), FALSE);
  g_ptr_array_add (v->calls, c);
  return TRUE;
}

static Server *
server_new (guint port, Link *link, Respond respond)
{
  Server *v = g_new0 (Server, 1);
  static guint net;
  g_autofree char *ip = NULL;
  g_autoptr (GSocketAddress) at = NULL;

  if (net == 0)
    net = free_net ();
  ip = g_strdup_printf ("127.%u.0.1", net);
  at = g_inet_socket_address_new_from_string (ip, port);
  v->address = g_strdup_printf ("%s:%u", ip, port);
  v->link = link;
  v->respond = respond;
  v->calls = g_ptr_array_new_with_free_func (call_free);
  v->service = g_socket_service_new ();
  assert_true (g_socket_listener_add_address (
      G_SOCKET_LISTENER (v->service), at, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, NULL, NULL, NULL));
  g_signal_connect (v->service, "incoming", G_CALLBACK (on_connection), v);
  v->ticked = cc_clock_now ();
  v->tick = g_timeout_add (TICK_MS, on_tick, v);
  g_ptr_array_add (world.servers, v);
  return v;
}

/* Stops all servers, so that copies of earlier tests reach none. */
static void
stop_servers (void)
{
  for (guint i = 0; i < world.servers->len; i++)
    {
      Server *v = world.servers->pdata[i];

      g_source_remove (v->tick);
      g_socket_listener_close (G_SOCKET_LISTENER (v->service));
      g_ptr_array_set_size (v->calls, 0);
    }
  g_ptr_array_set_size (world.servers, 0);
}

static GBytes *
http_answer (GBytes *body)
{
  gsize size;
  const char *bytes = g_bytes_get_data (body, &size);
  GString *s = g_string_new (NULL);

  g_string_printf (
      s, "HTTP/1.1 200 OK\r\nContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
      size);
  g_string_append_len (s, bytes, (gssize) size);
  return g_string_free_to_bytes (s);
}

/* Appends the row of the upstream if REQUEST reads its table and the row has
 * changed after SINCE; a deleted row is sent to watches only. */
static void
append_upstream (GString *s, const char *request, guint64 since)
{
  if (strstr (request, "table=servers") == NULL)
    return;
  if (world.upstream > since)
    g_string_append_printf (
        s,
        "{\"table\":\"servers\",\"part\":\"\",\"key\":\"u\","
        "\"value\":\"dQ==\",\"rowVersion\":%" G_GUINT64_FORMAT "}",
        world.upstream);
  else if (world.deleted > since && since > 0)
    g_string_append_printf (
        s,
        "{\"table\":\"servers\",\"part\":\"\",\"key\":\"u\","
        "\"tombstone\":true,\"rowVersion\":%" G_GUINT64_FORMAT "}",
        world.deleted);
}

/* Answers as the table service, with the configuration and an upstream. */
static GBytes *
respond_as_table (const char *request, gint64 held)
{
  gboolean in_time = held < wait_of (request) * CC_MS;
  gboolean of_config = strstr (request, "table=op") != NULL;
  const char *after = strstr (request, "after=");
  guint64 since = after != NULL
                      ? g_ascii_strtoull (after + strlen ("after="), NULL, 10)
                      : 0;
  g_autofree char *value = NULL;
  g_autoptr (GBytes) body = NULL;
  GString *s = g_string_new ("{\"rows\":[");

  if (after != NULL && in_time &&
      ((!of_config && MAX (world.upstream, world.deleted) <= since) ||
       since >= world.version))
    {
      g_string_free (s, TRUE);
      return NULL;
    }
  value = g_base64_encode ((const guchar *) world.configuration->str,
                           world.configuration->len);
  if (of_config && since < world.version)
    g_string_append_printf (s,
                            "{\"table\":\"op\",\"part\":\"\",\"key\":\"%s\","
                            "\"value\":\"%s\",\"rowVersion\":%" G_GUINT64_FORMAT
                            "}",
                            cc_edge_routes_key (), value, world.version);
  append_upstream (s, request, since);
  g_string_append_printf (
      s,
      "],\"hasMore\":false,\"rowVersion\":%" G_GUINT64_FORMAT ",\"nowMs\":1}",
      world.version);
  body = g_string_free_to_bytes (s);
  return http_answer (body);
}

/* Returns BODY with a byte in its rows changed if it is large. */
static GBytes *
damage (GBytes *body)
{
  GByteArray *a = g_bytes_unref_to_array (body);

  if (a->len > DAMAGED_MIN)
    a->data[a->len / 2] ^= 0x55;
  return g_byte_array_free_to_bytes (a);
}

/* Answers as a peer with the copy of the source. */
static GBytes *
respond_as_peer (const char *request, gint64 held)
{
  gboolean in_time = held < wait_of (request) * CC_MS;
  const char *at = strstr (request, "since=");
  guint64 since[CC_MIRROR_VERSIONS] = { 0 };
  g_autoptr (GBytes) body = NULL;
  g_auto (GStrv) parts = NULL;

  assert_non_null (at);
  parts = g_strsplit_set (at + strlen ("since="), ",&", -1);
  for (guint i = 0; i < CC_MIRROR_VERSIONS && parts[i] != NULL; i++)
    since[i] = g_ascii_strtoull (parts[i], NULL, 10);
  if (world.hold_requests ||
      (in_time && !cc_mirror_has_updates (world.source, since)))
    return NULL;
  body = cc_mirror_rows_since (world.source, since, held);
  if (world.damage_answers)
    body = damage (g_steal_pointer (&body));
  return http_answer (body);
}

/* ---- the copies ---- */

static void
on_rows (CcTableName name, gpointer data)
{
  if (name == CC_TABLE_CONFIG && data != NULL)
    g_usleep ((gulong) world.apply_time);
}

static char *
no_peer (CcPeerKind kind, gpointer data)
{
  (void) kind, (void) data;
  return NULL;
}

static char *
choose_peer (CcPeerKind kind, gpointer data)
{
  (void) kind;
  return g_strdup (((Server *) data)->address);
}

static void
on_peer_result (const char *address, gboolean answered, gpointer data)
{
  (void) address, (void) answered, (void) data;
}

static CcMirror *
mirror_new (const Server *table, Server *peer, guint distance)
{
  static CcHttp *http;
  CcMirror *m;

  if (http == NULL)
    http = cc_http_new ("127.0.0.1");
  m = cc_mirror_new (
      &(CcMirrorSetup){ .table = cc_table_new (http, table->address),
                        .http = http,
                        .changed = on_rows,
                        .peer = peer != NULL ? choose_peer : no_peer,
                        .peer_result = on_peer_result,
                        .data = peer });
  cc_mirror_set_role (m, &(CcMirrorRole){ .is_followed = distance == 0,
                                          .reads_all = distance == 0,
                                          .distance = distance,
                                          .fleet = 100 });
  cc_mirror_start (m, 0);
  return m;
}

static guint64
version_of (CcMirror *m)
{
  const CcRow *row =
      cc_view_get (cc_mirror_view (m, CC_TABLE_CONFIG), cc_edge_routes_key ());

  return row != NULL ? row->version : 0;
}

/* Runs until M has VERSION or for SPAN us; returns FALSE if it has not. */
static gboolean
wait_for_version (CcMirror *m, guint64 version, gint64 span)
{
  gint64 end = cc_clock_now () + span;

  while (version_of (m) < version && cc_clock_now () < end)
    g_main_context_iteration (NULL, TRUE);
  return version_of (m) >= version;
}

/* Valid until the next call. */
static const char *
random_name (void)
{
  static const char letters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
  static char name[RANDOM_NAME + 1];

  for (guint i = 0; i < RANDOM_NAME; i++)
    name[i] = letters[g_random_int () % 64];
  return name;
}

/* Writes a configuration of COUNT routes, with typical prefixes or with long
 * random ones. */
static void
write_configuration (guint count, gboolean random)
{
  GString *s = world.configuration;

  world.version++;
  g_string_printf (s, "{\"version\":\"%08x\",\"routes\":{",
                   (guint) world.version);
  for (guint i = 0; i < count; i++)
    g_string_append_printf (
        s,
        "%s\"r-%07x\":{\"host\":\"h%u.example\",\"prefix\":\"/p%x%s/\","
        "\"kind\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":800,"
        "\"priority\":2,\"service\":\"s%u\",\"maxAttempts\":2}",
        i > 0 ? "," : "", i * 40503 % 0xfffffff, i % 7, i * 2654435761U,
        random ? random_name () : "", i % 4);
  g_string_append (s, "},\"services\":{},\"limits\":{}}");
}

typedef struct
{
  const char *name;
  gboolean by_peer;
  guint peer_rate; /* of the peer's link, bytes a second; 0: the leaf's */
  guint routes;
  gboolean random; /* names that can't be compressed */
} Case;

static const Case cases[] = {
  { "from a peer, a few routes", TRUE, 0, 5, FALSE },
  { "from a peer, 2,800 routes", TRUE, 0, 2800, FALSE },
  { "from a peer, 5,600 routes", TRUE, 0, 5600, FALSE },
  { "from a peer, 2,800 routes with random names", TRUE, 0, 2800, TRUE },
  { "from the table service, 2,800 routes", FALSE, 0, 2800, FALSE },
  { "from the table service, 5,600 routes", FALSE, 0, 5600, FALSE },
  { "from a peer that is much slower than the table service", TRUE, 5000, 2800,
    FALSE },
};

/* Returns a leaf that has the first configuration and follows as in case C; its
 * servers use PORT and the next two. */
static CcMirror *
leaf_new (const Case *c, guint port)
{
  Link *own = g_memdup2 (&(Link){ .rate = SLOW_LINK }, sizeof (Link));
  Link *peers = g_memdup2 (&(Link){ .rate = c->peer_rate }, sizeof (Link));
  Server *table, *slow_table, *peer;
  CcMirror *leaf;

  stop_servers ();
  world.damage_answers = FALSE;
  world.apply_time = 0;
  table = server_new (port, NULL, respond_as_table);
  slow_table = server_new (port + 1, own, respond_as_table);
  peer = server_new (port + 2, c->peer_rate > 0 ? peers : own, respond_as_peer);
  write_configuration (5, FALSE);
  world.source = mirror_new (table, NULL, 0);
  assert_true (wait_for_version (world.source, world.version, CC_SECOND));
  leaf = mirror_new (slow_table, c->by_peer ? peer : NULL, c->by_peer ? 2 : 0);
  assert_true (wait_for_version (leaf, world.version, CC_SECOND));
  /* An update that occurs late in the wait of a request leaves the least time
   * for the transfer of its answer. */
  wait_for_version (leaf, world.version + 1, REQUEST_AGE);
  return leaf;
}

/* Guards against a configuration that never arrives because its transfer takes
 * longer than the timeout of a small answer, or waits for a slow peer. */
static void
a_large_configuration_arrives_over_a_slow_link (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      CcMirror *leaf = leaf_new (c, PORT + 3 * i);

      write_configuration (c->routes, c->random);
      if (!wait_for_version (leaf, world.version, IN_FORCE_WITHIN))
        fail_msg ("%s: not received within %d ms", c->name,
                  (int) (IN_FORCE_WITHIN / CC_MS));
    }
}

/* Guards against an answer with a damaged row that is treated as a valid one:
 * the copy would count as fresh, and the same rows be requested without end. */
static void
a_damaged_answer_is_rejected (void **state)
{
  static const Case by_peer = { "", TRUE, 0, 2800, FALSE };
  CcMirror *leaf = leaf_new (&by_peer, PORT + 50);

  (void) state;
  world.damage_answers = TRUE;
  write_configuration (by_peer.routes, FALSE);
  assert_true (wait_for_version (leaf, world.version, IN_FORCE_WITHIN));
}

/* Guards against a copy that counts as fresher than it is by the time in which
 * its process parses a configuration. */
static void
a_copy_ages_while_it_is_applied (void **state)
{
  static const Case by_peer = { "", TRUE, 0, 2800, FALSE };
  CcMirror *leaf = leaf_new (&by_peer, PORT + 60);

  (void) state;
  world.apply_time = APPLY_TIME;
  write_configuration (by_peer.routes, FALSE);
  assert_true (wait_for_version (leaf, world.version, IN_FORCE_WITHIN));
  if (leaf->fresh_at > world.source->fresh_at + APPLY_TIME / 4)
    fail_msg ("the copy counts as %d ms fresher than its source's",
              (int) ((leaf->fresh_at - world.source->fresh_at) / CC_MS));
}

static gboolean
has_upstream (CcMirror *m)
{
  return cc_view_get (cc_mirror_view (m, CC_TABLE_UPSTREAMS), "u") != NULL;
}

/* Guards against a row that is kept permanently: it is deleted, and the peer
 * that is followed from then on read the table after that and never had it. */
static void
a_copy_drops_what_its_new_peer_never_had (void **state)
{
  static const Case by_peer = { "", TRUE, 0, 5, FALSE };
  CcMirror *leaf;
  gint64 end;

  (void) state;
  world.upstream = world.version + 1; /* with the first configuration */
  leaf = leaf_new (&by_peer, PORT + 70);
  assert_true (has_upstream (leaf));
  world.hold_requests = TRUE;
  world.upstream = 0;
  write_configuration (5, FALSE);
  world.deleted = world.version;
  world.source = mirror_new (world.servers->pdata[0], NULL, 0);
  assert_true (wait_for_version (world.source, world.version, CC_SECOND));
  world.hold_requests = FALSE;
  assert_true (wait_for_version (leaf, world.version, IN_FORCE_WITHIN));
  end = cc_clock_now () + IN_FORCE_WITHIN;
  while (has_upstream (leaf) && cc_clock_now () < end)
    g_main_context_iteration (NULL, TRUE);
  assert_false (has_upstream (leaf));
}

static int
start (void **state)
{
  (void) state;
  world.configuration = g_string_new (NULL);
  world.servers = g_ptr_array_new ();
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_large_configuration_arrives_over_a_slow_link),
    cmocka_unit_test (a_damaged_answer_is_rejected),
    cmocka_unit_test (a_copy_ages_while_it_is_applied),
    cmocka_unit_test (a_copy_drops_what_its_new_peer_never_had),
  };

  return cmocka_run_group_tests (tests, start, NULL);
}
