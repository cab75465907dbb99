/* A table service with one pool, and its server, which answers at once: what
 * bench_path measures the gateway against.
 *   direct_stand --table IP:PORT --server IP:PORT */
#include <stdio.h>

#include "admin.h"
#include "settings.h"
#include "soak.h"

#define SLOTS 64 /* more than the bench has connections */

static const char *const names[] = { "X-Request-Id" };

static void
on_request (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  SoupMessageHeaders *asked = soup_server_message_get_request_headers (m);
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);

  (void) server, (void) path, (void) query, (void) data;
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (soup_message_headers_get_one (asked, names[i]) != NULL)
      soup_message_headers_replace (
          h, names[i], soup_message_headers_get_one (asked, names[i]));
  soup_message_headers_replace (h, "X-Response-Signature", "s1");
  soup_message_headers_replace (h, "X-Server-Load", "1,0,64");
  cc_http_answer (m, SOUP_STATUS_OK, "text/plain", "castle 7: 12 places\n");
}

static void
publish (const char *server)
{
  g_autofree char *row = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":1,\"info\":{\"service\":\"slots\",\"zone\":"
      "\"a\",\"slots\":%d},\"status\":{\"state\":\"ready\"}}",
      server, SLOTS);

  soak_table_put ("op", "config",
                  "{\"version\":\"00000001\",\"services\":{\"slots\":{}},"
                  "\"routes\":{\"browse\":{\"host\":\"h\",\"prefix\":\"/\","
                  "\"kind\":\"safe\",\"service\":\"slots\",\"timeoutMs\":2000,"
                  "\"targetLatencyMs\":500,\"maxAttempts\":1}}}");
  soak_table_put ("servers", "s1", row);
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_ADDRESS, "table", NULL, "the table service", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "server", NULL, "the server", 0, 0, NULL },
    { 0 }
  };
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autofree char *message = NULL;

  if (cc_settings_read (settings, "direct_stand", "Stand-ins for a bench.",
                        argc, argv) != CC_START_RUN)
    return 2;
  soak_table_listen (cc_setting (settings, "table"));
  publish (cc_setting (settings, "server"));
  soup_server_add_handler (server, NULL, on_request, NULL, NULL);
  if (!cc_http_listen (server, cc_setting (settings, "server"), &message))
    {
      fprintf (stderr, "direct_stand: %s\n", message);
      return 1;
    }
  g_main_loop_run (loop);
  return 0;
}
