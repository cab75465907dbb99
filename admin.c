/* /metrics, /livez (the main loop turns) and /readyz (work may be sent here),
 * and what programs share in opening and closing. */
#include "admin.h"

#include <glib-unix.h>

#include "caller_connection.h"
#include "metrics.h"
#include "settings.h"

/* Connections that may wait to be accepted.  GLib's 10 overflow when callers
 * connect together; the kernel then drops their SYN, and the caller's next one
 * comes after a whole second. */
#define LISTEN_BACKLOG 1024

typedef struct
{
  CcAdminReady ready;
  gpointer data;
} Admin;

/* Answers M with STATUS and a copy of BODY. */
void
cc_http_answer (SoupServerMessage *m, guint status, const char *type,
                const char *body)
{
  soup_server_message_set_status (m, status, NULL);
  soup_server_message_set_response (m, type, SOUP_MEMORY_COPY, body,
                                    strlen (body));
}

/* Set on servers for callers. */
#define FOR_CALLERS_KEY "capercrank-for-callers"

/* A server for callers; it listens nowhere yet.  The library would decode
 * paths, and refuse those in which that makes a segment "..". */
SoupServer *
cc_http_server_new (void)
{
  SoupServer *server = soup_server_new ("raw-paths", TRUE, NULL);

  g_object_set_data (G_OBJECT (server), FOR_CALLERS_KEY, server);
  return server;
}

/* The path of M's request with its query, as the caller sent it.  The caller
 * frees it. */
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
  const char *why_not = a->ready (a->data);

  (void) server, (void) path, (void) query;
  cc_http_answer (
      m, why_not == NULL ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
      "text/plain", why_not == NULL ? "ready\n" : why_not);
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

/* Makes SERVER listen at ADDRESS (IP:PORT).  Returns FALSE with *MESSAGE set,
 * to be freed, if it can't. */
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
  if (g_object_get_data (G_OBJECT (server), FOR_CALLERS_KEY) != NULL)
    cc_caller_targets_keep (server, port);
  s = listen_socket (at, &error);
  if (s != NULL && soup_server_listen_socket (server, s, 0, &error))
    return TRUE;
  *message =
      g_strdup_printf ("can't listen at %s: %s", address, error->message);
  return FALSE;
}

/* Opens the port at ADDRESS.  Returns NULL with *MESSAGE set if it can't.
 * Handlers for operators may be added to the result. */
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

/* An HTTP client whose connections come from the IP of SOURCE (IP:PORT), with
 * at most PER_HOST to one server, and that passes bodies on as they are. */
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

/* M gets a connection of its own, closed after its answer.  libsoup would keep
 * it, and looks at every kept connection for every new one: at 500 new ones a
 * second that took a whole core. */
void
cc_http_use_new_connection (SoupMessage *m)
{
  soup_message_add_flags (m, SOUP_MESSAGE_NEW_CONNECTION |
                                 SOUP_MESSAGE_NO_REDIRECT);
  soup_message_headers_replace (soup_message_get_request_headers (m),
                                "Connection", "close");
}

/* Runs the main loop.  STOP is called at SIGTERM or SIGINT; it ends the
 * process when it is done. */
void
cc_run_until_signal (GSourceFunc stop, gpointer data)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  g_unix_signal_add (SIGTERM, stop, data);
  g_unix_signal_add (SIGINT, stop, data);
  g_main_loop_run (loop);
}
