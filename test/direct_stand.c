/* A table service with one pool, and its servers, which answer at once: what
 * bench_path measures the gateway against.  Servers stand at 127.N.2.1, .2 and
 * so on.
 *   direct_stand --table IP:PORT --net N --servers COUNT */
#include <stdio.h>

#include "admin.h"
#include "settings.h"
#include "soak.h"

#define SLOTS 64 /* more than the bench has connections */
#define ID "X-Request-Id"
#define PORT 9000

static void
on_request (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  SoupMessageHeaders *asked = soup_server_message_get_request_headers (m);
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);

  (void) server, (void) path, (void) query, (void) data;
  if (soup_message_headers_get_one (asked, ID) != NULL)
    soup_message_headers_replace (h, ID,
                                  soup_message_headers_get_one (asked, ID));
  soup_message_headers_replace (h, "X-Response-Signature", "s1");
  soup_message_headers_replace (h, "X-Server-Load", "1,0,64");
  cc_http_answer (m, SOUP_STATUS_OK, "text/plain", "castle 7: 12 places\n");
}

static void
list_server (guint index, const char *address)
{
  g_autofree char *key = g_strdup_printf ("s%u", index);
  g_autofree char *row = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":1,\"info\":{\"service\":\"slots\",\"zone\":"
      "\"a\",\"slots\":%d},\"status\":{\"state\":\"ready\"}}",
      address, SLOTS);

  soak_table_put ("servers", key, row);
}

static void
publish (void)
{

  soak_table_put ("op", "config",
                  "{\"version\":\"00000001\",\"services\":{\"slots\":{}},"
                  "\"routes\":{\"browse\":{\"host\":\"h\",\"prefix\":\"/\","
                  "\"kind\":\"safe\",\"service\":\"slots\",\"timeoutMs\":2000,"
                  "\"targetLatencyMs\":500,\"maxAttempts\":1}}}");
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_ADDRESS, "table", NULL, "the table service", 0, 0, NULL },
    { CC_SETTING_NUMBER, "net", NULL, "of the servers, N in 127.N", 1, 254,
      NULL },
    { CC_SETTING_NUMBER, "servers", "1", "how many", 1, 250, NULL },
    { 0 }
  };
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autofree char *message = NULL;

  if (cc_settings_read (settings, "direct_stand", "Stand-ins for a bench.",
                        argc, argv) != CC_START_RUN)
    return 2;
  soak_table_listen (cc_setting (settings, "table"));
  publish ();
  soup_server_add_handler (server, NULL, on_request, NULL, NULL);
  for (gint64 i = 1; i <= cc_setting_number (settings, "servers"); i++)
    {
      g_autofree char *address = g_strdup_printf (
          "127.%s.2.%d:%d", cc_setting (settings, "net"), (int) i, PORT);

      if (!cc_http_listen (server, address, &message))
        {
          fprintf (stderr, "direct_stand: %s\n", message);
          return 1;
        }
      list_server ((guint) i, address);
    }
  g_main_loop_run (loop);
  return 0;
}
