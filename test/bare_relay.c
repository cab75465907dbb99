/* A minimal HTTP relay on libsoup: forwards each request and returns the
 * answer, without any decision.  bench_path uses it as the baseline. */
#include <stdio.h>

#include "admin.h"
#include "settings.h"

typedef struct
{
  SoupSession *session;
  const char *to; /* IP:PORT */
} Relay;

typedef struct
{
  SoupServerMessage *caller;
  SoupMessage *message;
} Exchange;

/* Copies end-to-end headers; libsoup sets the others itself. */
static void
copy_header (const char *name, const char *value, gpointer to)
{
  if (g_ascii_strcasecmp (name, "Connection") != 0 &&
      g_ascii_strcasecmp (name, "Content-Length") != 0 &&
      g_ascii_strcasecmp (name, "Host") != 0)
    soup_message_headers_append (to, name, value);
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  Exchange *x = data;
  SoupServerMessage *m = x->caller;
  g_autoptr (GBytes) body =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  soup_server_message_set_status (
      m, body != NULL ? soup_message_get_status (x->message) : 502, NULL);
  if (body != NULL)
    {
      soup_message_headers_foreach (
          soup_message_get_response_headers (x->message), copy_header,
          soup_server_message_get_response_headers (m));
      soup_message_body_append_bytes (soup_server_message_get_response_body (m),
                                      body);
    }
  soup_server_message_unpause (m);
  g_object_unref (m);
  g_object_unref (x->message);
  g_free (x);
}

/* Forwards a request and pauses it until the answer. */
static void
on_request (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  Relay *r = data;
  Exchange *x = g_new0 (Exchange, 1);
  g_autofree char *url = g_strconcat ("http://", r->to, path, NULL);
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));

  x->caller = g_object_ref (m);
  x->message = soup_message_new (soup_server_message_get_method (m), url);
  soup_message_headers_foreach (soup_server_message_get_request_headers (m),
                                copy_header,
                                soup_message_get_request_headers (x->message));
  if (g_bytes_get_size (body) > 0)
    soup_message_set_request_body_from_bytes (x->message, NULL, body);
  soup_server_message_pause (m);
  soup_session_send_and_read_async (r->session, x->message, G_PRIORITY_DEFAULT,
                                    NULL, on_answer, x);
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_ADDRESS, "listen", NULL, "address for callers", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "to", NULL, "address of the server", 0, 0, NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autofree char *message = NULL;
  Relay r = { 0 };

  if (cc_settings_read (settings, "bare_relay", "Minimal libsoup relay.", argc,
                        argv) != CC_START_RUN)
    return 2;
  r.session = cc_http_client (cc_setting (settings, "listen"), 130);
  r.to = cc_setting (settings, "to");
  soup_server_add_handler (server, NULL, on_request, &r, NULL);
  if (!cc_http_listen (server, cc_setting (settings, "listen"), &message))
    {
      fprintf (stderr, "bare_relay: %s\n", message);
      return 1;
    }
  g_main_loop_run (loop);
  return 0;
}
