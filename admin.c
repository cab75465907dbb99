/* Admin port: /metrics, /livez (200 while the main loop runs) and /readyz (200
 * while requests may be sent to this process).  Also the HTTP listeners, the
 * HTTP client and the signal handling that the programs share. */
#include "admin.h"

#include <glib-unix.h>

#include "caller_connection.h"
#include "capercrank.h"
#include "metrics.h"
#include "server_connection.h"
#include "settings.h"
#include "start_signals.h"

/* Connections that may wait to be accepted.  GLib's default of 10 overflows
 * when many callers connect at once; the kernel then drops their SYN, which a
 * caller retransmits only after one second. */
#define LISTEN_BACKLOG 1024

/* Idle time of connections of peers, probes and scrapers.  Gateways reuse those
 * to their peers within 8 s (forward_peer.c). */
#define INTERNAL_IDLE_MAX (30 * CC_SECOND)

typedef struct
{
  CcAdminReady ready;
  gpointer data;
} Admin;

/* Sets the response of M to STATUS and a copy of BODY, of content type TYPE. */
void
cc_http_answer (SoupServerMessage *m, guint status, const char *type,
                const char *body)
{
  soup_server_message_set_status (m, status, NULL);
  soup_server_message_set_response (m, type, SOUP_MEMORY_COPY, body,
                                    strlen (body));
}

/* Object data of servers that accept requests of callers: the table of their
 * connections. */
#define CALLERS_KEY "capercrank-callers"

/* Returns a new server for callers, which does not listen yet.  It uses raw
 * paths: libsoup would otherwise decode them and refuse a path in which
 * decoding produces a ".." segment. */
SoupServer *
cc_http_server_new (void)
{
  SoupServer *server = soup_server_new ("raw-paths", TRUE, NULL);

  g_object_set_data (
      G_OBJECT (server), CALLERS_KEY,
      cc_connection_table_new ("capercrank_caller_connections_closed"));
  return server;
}

/* The connections of SERVER; NULL: it is not for callers. */
CcConnectionTable *
cc_http_server_connections (SoupServer *server)
{
  return g_object_get_data (G_OBJECT (server), CALLERS_KEY);
}

/* Returns the request target of M, path and query, as the client sent it.  Free
 * it with g_free. */
char *
cc_http_target (SoupServerMessage *m)
{
  GUri *uri = soup_server_message_get_uri (m);
  const char *query = g_uri_get_query (uri);
  const char *target = cc_caller_target (m);

  if (target != NULL)
    return g_strdup (target);
  if (query == NULL)
    return g_strdup (g_uri_get_path (uri));
  return g_strconcat (g_uri_get_path (uri), "?", query, NULL);
}

static void
on_metrics (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  g_autofree char *text = cc_metrics_text ();

  (void) server, (void) path, (void) query, (void) data;
  cc_http_answer (m, SOUP_STATUS_OK, "text/plain; version=0.0.4", text);
}

static void
on_live (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  (void) server, (void) path, (void) query, (void) data;
  cc_http_answer (m, SOUP_STATUS_OK, "text/plain", "live\n");
}

static void
on_ready (SoupServer *server, SoupServerMessage *m, const char *path,
          GHashTable *query, gpointer data)
{
  Admin *a = data;
  const char *not_ready = a->ready (a->data);

  (void) server, (void) path, (void) query;
  cc_http_answer (
      m, not_ready == NULL ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
      "text/plain", not_ready == NULL ? "ready\n" : not_ready);
}

static GSocket *
listen_socket (GSocketAddress *at, GError **error)
{
  g_autoptr (GSocket) s =
      g_socket_new (g_socket_address_get_family (at), G_SOCKET_TYPE_STREAM,
                    G_SOCKET_PROTOCOL_TCP, error);

  if (s == NULL)
    return NULL;
  g_socket_set_blocking (s, FALSE);
  g_socket_set_listen_backlog (s, LISTEN_BACKLOG);
  if (!g_socket_bind (s, at, TRUE, error) || !g_socket_listen (s, error))
    return NULL;
  return g_steal_pointer (&s);
}

/* Has the connections that SERVER accepts on PORT closed when they are unused.
 * Those of a server for callers have the timeouts of the configuration. */
static void
track_connections (SoupServer *server, guint port)
{
  CcConnectionTable *table = cc_http_server_connections (server);
  gboolean for_callers = table != NULL;

  if (!for_callers)
    {
      table = cc_connection_table_new (NULL);
      cc_connection_table_set_timeouts (table, INTERNAL_IDLE_MAX,
                                        INTERNAL_IDLE_MAX);
    }
  cc_server_connections_track (server, port, table, for_callers);
}

/* Makes SERVER listen at ADDRESS (IP:PORT).  On failure returns FALSE and sets
 * *MESSAGE, to be freed with g_free. */
gboolean
cc_http_listen (SoupServer *server, const char *address, char **message)
{
  g_autofree char *ip = NULL;
  g_autoptr (GSocketAddress) at = NULL;
  g_autoptr (GSocket) s = NULL;
  g_autoptr (GError) error = NULL;
  guint16 port = 0;

  cc_address_parse (address, &ip, &port);
  at = g_inet_socket_address_new_from_string (ip, port);
  track_connections (server, port);
  s = listen_socket (at, &error);
  if (s != NULL && cc_server_connections_listen (server, s, &error))
    return TRUE;
  *message =
      g_strdup_printf ("can't listen on %s: %s", address, error->message);
  return FALSE;
}

/* Opens the admin port at ADDRESS (IP:PORT).  READY is called with DATA for
 * each request for /readyz.  The caller may add handlers to the result.  On
 * failure returns NULL and sets *MESSAGE, to be freed with g_free. */
SoupServer *
cc_admin_listen (const char *address, CcAdminReady ready, gpointer data,
                 char **message)
{
  SoupServer *server = soup_server_new ("server-header", "capercrank", NULL);
  Admin *a = g_new0 (Admin, 1);

  a->ready = ready;
  a->data = data;
  soup_server_add_handler (server, "/metrics", on_metrics, a, NULL);
  soup_server_add_handler (server, "/livez", on_live, a, NULL);
  soup_server_add_handler (server, "/readyz", on_ready, a, g_free);
  if (cc_http_listen (server, address, message))
    return server;
  g_object_unref (server);
  return NULL;
}

/* Returns an HTTP client that connects from the IP of SOURCE (IP:PORT), keeps
 * at most PER_HOST connections to one server, and does not decode bodies. */
SoupSession *
cc_http_client (const char *source, guint per_host)
{
  g_autofree char *ip = NULL;
  g_autoptr (GSocketAddress) local = NULL;
  SoupSession *s;

  cc_address_parse (source, &ip, NULL);
  local = g_inet_socket_address_new_from_string (ip, 0);
  s = soup_session_new_with_options ("max-conns", 65536, "max-conns-per-host",
                                     per_host, "idle-timeout", 10,
                                     "local-address", local, NULL);
  soup_session_remove_feature_by_type (s, SOUP_TYPE_CONTENT_DECODER);
  return s;
}

static gboolean
ignore_signal (gpointer data)
{
  (void) data;
  return G_SOURCE_CONTINUE;
}

/* Runs the main loop.  STOP is called with DATA on SIGTERM or SIGINT, and exits
 * the process when it has finished.  RELOAD is called with DATA on SIGHUP;
 * NULL: nothing is done.  Signals that were held since the start are handled
 * first. */
void
cc_run_until_signal (GSourceFunc stop, GSourceFunc reload, gpointer data)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  g_unix_signal_add (SIGTERM, stop, data);
  g_unix_signal_add (SIGINT, stop, data);
  g_unix_signal_add (SIGHUP, reload != NULL ? reload : ignore_signal, data);
  cc_start_signals_release ();
  g_main_loop_run (loop);
}
