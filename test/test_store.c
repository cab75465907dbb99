/* Guards against damaged answers of the table service that are treated as rows;
 * against a server that sends given bodies. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "table.h"

typedef struct
{
  const char *name;
  const char *body;
  CcStatus status;
  guint rows; /* of a successful read */
} Case;

#define TAIL ",\"hasMore\":false,\"rowVersion\":5,\"nowMs\":1}"
#define ROW "{\"key\":\"k\",\"value\":\"dQ==\",\"rowVersion\":3}"

static const Case cases[] = {
  { "no row", "{\"rows\":[]" TAIL, CC_OK, 0 },
  { "a row", "{\"rows\":[" ROW "]" TAIL, CC_OK, 1 },
  { "a deleted row",
    "{\"rows\":[{\"key\":\"k\",\"tombstone\":true,\"rowVersion\":4}]" TAIL,
    CC_OK, 1 },
  { "no rows member", "{\"hasMore\":false,\"rowVersion\":5,\"nowMs\":1}",
    CC_UNREACHABLE, 0 },
  { "rows are null", "{\"rows\":null" TAIL, CC_UNREACHABLE, 0 },
  { "rows are an object", "{\"rows\":{}" TAIL, CC_UNREACHABLE, 0 },
  { "a row that is a number", "{\"rows\":[" ROW ",7]" TAIL, CC_UNREACHABLE, 0 },
  { "a row without a key",
    "{\"rows\":[{\"value\":\"dQ==\",\"rowVersion\":3}]" TAIL, CC_UNREACHABLE,
    0 },
  { "more rows after an empty page",
    "{\"rows\":[],\"hasMore\":true,\"rowVersion\":5,\"nowMs\":1}",
    CC_UNREACHABLE, 0 },
};

static struct
{
  GSocketService *service;
  char *address;
  const char *body;
} server;

static gboolean
on_request (GSocket *socket, GIOCondition seen, gpointer data)
{
  char buffer[4096];
  gssize n = g_socket_receive (socket, buffer, sizeof buffer, NULL, NULL);
  g_autofree char *answer = NULL;

  (void) seen;
  if (n <= 0)
    {
      g_object_unref (data);
      return G_SOURCE_REMOVE;
    }
  answer = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
                            (int) strlen (server.body), server.body);
  g_socket_send (socket, answer, strlen (answer), NULL, NULL);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *c, GObject *source,
               gpointer data)
{
  GSocket *socket = g_socket_connection_get_socket (c);
  GSource *watch = g_socket_create_source (socket, G_IO_IN, NULL);

  (void) service, (void) source, (void) data;
  g_source_set_callback (watch, G_SOURCE_FUNC (on_request), g_object_ref (c),
                         NULL);
  g_source_attach (watch, NULL);
  g_source_unref (watch);
  return TRUE;
}

static int
start_server (void **state)
{
  g_autoptr (GInetAddress) ip =
      g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) at = g_inet_socket_address_new (ip, 0);
  g_autoptr (GSocketAddress) got = NULL;

  (void) state;
  server.service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (server.service), at,
                                      G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &got, NULL))
    return -1;
  server.address = g_strdup_printf (
      "127.0.0.1:%u",
      g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (got)));
  g_signal_connect (server.service, "incoming", G_CALLBACK (on_connection),
                    NULL);
  return 0;
}

typedef struct
{
  gboolean ended;
  CcStatus status;
  guint rows;
} Outcome;

static void
on_rows (CcStatus status, GVariant *rows, guint64 upto, const char *why,
         gpointer data)
{
  Outcome *o = data;

  (void) upto, (void) why;
  o->ended = TRUE;
  o->status = status;
  o->rows = (guint) g_variant_n_children (rows);
}

/* Guards against an answer without rows, or with a damaged row, that is treated
 * as a whole table: keys whose rows are missing are granted as unassigned. */
static void
a_damaged_answer_is_rejected (void **state)
{
  CcTable *t = cc_table_new (cc_http_new ("127.0.0.1"), server.address);

  (void) state;
  for (guint i = 0; i < 2 * G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i / 2];
      gboolean watches = i % 2 == 1;
      Outcome o = { 0 };

      server.body = c->body;
      if (watches)
        cc_table_watch (t, CC_TABLE_STATE, 4, 0, on_rows, &o);
      else
        cc_table_read (t, CC_TABLE_STATE, NULL, on_rows, &o);
      while (!o.ended)
        g_main_context_iteration (NULL, TRUE);
      if (o.status != c->status || (o.status == CC_OK && o.rows != c->rows))
        fail_msg ("%s, %s: status %d, %u rows", c->name,
                  watches ? "watched" : "read", o.status, o.rows);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_damaged_answer_is_rejected),
  };

  return cmocka_run_group_tests (tests, start_server, NULL);
}
