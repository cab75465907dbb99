/* Simulates the table service and the servers of one pool for bench_path.  The
 * servers respond at once, so that the benchmark measures the gateway alone.
 * They listen on 127.N.2.1, 127.N.2.2 and so on.
 *   direct_stand --table IP:PORT --net N --servers COUNT */
#include <stdio.h>

#include "admin.h"
#include "settings.h"
#include "soak.h"

#define SLOTS 64 /* more than the connections of the benchmark */
#define REQUEST_ID_HEADER "X-Request-Id"
#define SERVER_PORT 9000

/* Responds at once, with the headers that the protocol requires. */
static void
on_request (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  SoupMessageHeaders *request_headers =
      soup_server_message_get_request_headers (m);
  SoupMessageHeaders *response_headers =
      soup_server_message_get_response_headers (m);

  (void) server, (void) path, (void) query, (void) data;
  if (soup_message_headers_get_one (request_headers, REQUEST_ID_HEADER) != NULL)
    soup_message_headers_replace (
        response_headers, REQUEST_ID_HEADER,
        soup_message_headers_get_one (request_headers, REQUEST_ID_HEADER));
  soup_message_headers_replace (response_headers, "X-Response-Signature", "s1");
  soup_message_headers_replace (response_headers, "X-Server-Load", "1,0,64");
  cc_http_answer (m, SOUP_STATUS_OK, "text/plain", "castle 7: 12 places\n");
}

/* Writes the row of a server to the table. */
static void
write_server_row (guint index, const char *address)
{
  g_autofree char *key = g_strdup_printf ("s%u", index);
  g_autofree char *row = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":1,\"info\":{\"service\":\"slots\",\"zone\":"
      "\"a\",\"slots\":%d},\"status\":{\"state\":\"ready\"}}",
      address, SLOTS);

  soak_table_put ("servers", key, row);
}

/* Writes a configuration with one route. */
static void
write_configuration (void)
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
    { CC_SETTING_NUMBER, "net", NULL, "network of the servers, N in 127.N", 1,
      254, NULL },
    { CC_SETTING_NUMBER, "servers", "1", "number of servers", 1, 250, NULL },
    { 0 }
  };
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autofree char *message = NULL;

  if (cc_settings_read (settings, "direct_stand",
                        "Simulated table and servers for bench_path.", argc,
                        argv) != CC_START_RUN)
    return 2;
  soak_table_listen (cc_setting (settings, "table"));
  write_configuration ();
  soup_server_add_handler (server, NULL, on_request, NULL, NULL);
  for (gint64 i = 1; i <= cc_setting_number (settings, "servers"); i++)
    {
      g_autofree char *address = g_strdup_printf (
          "127.%s.2.%d:%d", cc_setting (settings, "net"), (int) i, SERVER_PORT);

      if (!cc_http_listen (server, address, &message))
        {
          fprintf (stderr, "direct_stand: %s\n", message);
          return 1;
        }
      write_server_row ((guint) i, address);
    }
  g_main_loop_run (loop);
  return 0;
}
