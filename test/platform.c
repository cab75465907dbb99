/* Simulates the platform for tests: a transactional table and an instance list.
 *
 * POST /v1/transaction  {"checks":[[key,version]],"writes":[[key,value]]}
 * GET  /v1/changes?since=N[&skip=PREFIX][&prefix=PREFIX]
 * GET  /v1/instances    lags by --lag-ms behind PUT /test/instances
 * PUT  /test/fault?mode=up|down|slow|lose&ms=N
 * GET  /test/stats      counts of reads and writes, and the newest version
 *
 * The fault "down" answers all requests under /v1/ with status 503, "slow"
 * delays their execution by ms, "lose" executes a transaction but never
 * responds to it. */
#include <stdio.h>
#include <string.h>

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "admin.h"
#include "settings.h"
#include "view.h"

typedef enum
{
  FAULT_NONE,
  FAULT_DOWN,
  FAULT_SLOW,
  FAULT_LOSE_RESPONSES
} Fault;

typedef struct
{
  CcView table;
  guint64 last_version; /* version of the newest transaction */
  char *instances;      /* the instance list, in JSON */
  guint lag_ms;
  Fault fault;
  guint fault_ms;
  guint64 reads, writes;
} Platform;

/* A request that waits for its delay to be over. */
typedef struct
{
  Platform *platform;
  SoupServerMessage *message;
  GHashTable *query;
  SoupServerCallback handler;
} DelayedRequest;

/* Whether each row in CHECKS has the version given; 0: it must not exist. */
static gboolean
checks_hold (Platform *p, JsonArray *checks)
{
  for (guint i = 0; i < json_array_get_length (checks); i++)
    {
      JsonArray *one = json_array_get_array_element (checks, i);
      const CcRow *row =
          cc_view_get (&p->table, json_array_get_string_element (one, 0));
      gint64 expected = json_array_get_int_element (one, 1);

      if ((row != NULL ? (gint64) row->version : 0) != expected)
        return FALSE;
    }
  return TRUE;
}

/* Writes the rows in WRITES as one new version; value null deletes a row. */
static void
apply (Platform *p, JsonArray *writes)
{
  p->last_version++;
  for (guint i = 0; i < json_array_get_length (writes); i++)
    {
      JsonArray *one = json_array_get_array_element (writes, i);

      cc_view_put (&p->table, json_array_get_string_element (one, 0),
                   p->last_version,
                   json_array_get_null_element (one, 1)
                       ? NULL
                       : json_array_get_string_element (one, 1));
    }
}

/* Applies a transaction if its checks hold, else responds with 409. */
static void
on_transaction (SoupServer *server, SoupServerMessage *m, const char *path,
                GHashTable *query, gpointer data)
{
  Platform *p = data;
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  g_autofree char *text =
      g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  g_autoptr (JsonNode) root = json_from_string (text, NULL);
  g_autofree char *answer = NULL;
  JsonObject *o = root != NULL ? json_node_get_object (root) : NULL;

  p->writes++;
  if (o == NULL)
    cc_http_answer (m, SOUP_STATUS_BAD_REQUEST, "text/plain", "not JSON\n");
  else if (!checks_hold (p, json_object_get_array_member (o, "checks")))
    cc_http_answer (m, SOUP_STATUS_CONFLICT, "application/json", "{}");
  else
    {
      apply (p, json_object_get_array_member (o, "writes"));
      answer = g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT "}",
                                p->last_version);
      cc_http_answer (m, SOUP_STATUS_OK, "application/json", answer);
    }
  if (p->fault == FAULT_LOSE_RESPONSES)
    soup_server_message_pause (m);
}

/* Returns the parameter NAME of QUERY as a number, or 0 if it is missing. */
static guint64
query_number (GHashTable *query, const char *name)
{
  const char *text = query != NULL ? g_hash_table_lookup (query, name) : NULL;

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

/* Responds with the rows that changed after the version "since", deleted ones
 * with value null.  Rows that start with "skip" and those that don't start with
 * "prefix" are left out. */
static void
on_changes (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  Platform *p = data;
  const char *skip = query ? g_hash_table_lookup (query, "skip") : NULL;
  const char *prefix = query ? g_hash_table_lookup (query, "prefix") : NULL;
  g_autoptr (GVariant) rows = g_variant_ref_sink (
      cc_view_since (&p->table, query_number (query, "since")));
  g_autoptr (JsonBuilder) b = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  g_autofree char *text = NULL;
  GVariantIter iter;
  const char *key, *value;
  guint64 version;

  p->reads++;
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "upto");
  json_builder_add_int_value (b, (gint64) p->last_version);
  json_builder_set_member_name (b, "rows");
  json_builder_begin_array (b);
  g_variant_iter_init (&iter, rows);
  while (g_variant_iter_next (&iter, "(&st&s)", &key, &version, &value))
    {
      if ((skip != NULL && skip[0] && g_str_has_prefix (key, skip)) ||
          (prefix != NULL && !g_str_has_prefix (key, prefix)))
        continue;
      json_builder_begin_array (b);
      json_builder_add_string_value (b, key);
      json_builder_add_int_value (b, (gint64) version);
      if (value[0] != '\0')
        json_builder_add_string_value (b, value);
      else
        json_builder_add_null_value (b);
      json_builder_end_array (b);
    }
  json_builder_end_array (b);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  cc_http_answer (m, SOUP_STATUS_OK, "application/json", text);
}

/* A list of instances that is served when the lag is over. */
typedef struct
{
  Platform *platform;
  char *instances;
} PendingInstances;

/* Serves a new instance list from now on. */
static gboolean
on_lag_over (gpointer data)
{
  PendingInstances *pending = data;

  g_free (pending->platform->instances);
  pending->platform->instances = pending->instances;
  g_free (pending);
  return G_SOURCE_REMOVE;
}

/* Responds with the instance list. */
static void
on_instances (SoupServer *server, SoupServerMessage *m, const char *path,
              GHashTable *query, gpointer data)
{
  Platform *p = data;

  p->reads++;
  cc_http_answer (m, SOUP_STATUS_OK, "application/json", p->instances);
}

/* Replaces the instance list after the lag. */
static void
on_set_instances (SoupServer *server, SoupServerMessage *m, const char *path,
                  GHashTable *query, gpointer data)
{
  Platform *p = data;
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  PendingInstances *pending = g_new0 (PendingInstances, 1);

  pending->platform = p;
  pending->instances =
      g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  g_timeout_add (p->lag_ms, on_lag_over, pending);
  cc_http_answer (m, SOUP_STATUS_OK, "application/json", "{}");
}

/* Sets the fault that later requests meet. */
static void
on_set_fault (SoupServer *server, SoupServerMessage *m, const char *path,
              GHashTable *query, gpointer data)
{
  static const char *const modes[] = { "up", "down", "slow", "lose", NULL };
  Platform *p = data;
  const char *mode = query ? g_hash_table_lookup (query, "mode") : NULL;

  p->fault_ms = (guint) query_number (query, "ms");
  for (guint i = 0; modes[i] != NULL; i++)
    if (mode != NULL && g_str_equal (mode, modes[i]))
      p->fault = (Fault) i;
  cc_http_answer (m, SOUP_STATUS_OK, "text/plain", "ok\n");
}

/* Responds with the counts of requests and the newest version. */
static void
on_stats (SoupServer *server, SoupServerMessage *m, const char *path,
          GHashTable *query, gpointer data)
{
  Platform *p = data;
  g_autofree char *text = g_strdup_printf (
      "{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
      ",\"version\":%" G_GUINT64_FORMAT "}",
      p->reads, p->writes, p->last_version);

  cc_http_answer (m, SOUP_STATUS_OK, "application/json", text);
}

/* Executes a delayed request. */
static gboolean
on_delay_over (gpointer data)
{
  DelayedRequest *d = data;

  d->handler (NULL, d->message, "", d->query, d->platform);
  soup_server_message_unpause (d->message);
  g_object_unref (d->message);
  if (d->query != NULL)
    g_hash_table_unref (d->query);
  g_free (d);
  return G_SOURCE_REMOVE;
}

/* Calls HANDLER for a request under the present fault: rejects it, delays it or
 * executes it at once. */
static void
handle_with_fault (SoupServer *server, SoupServerMessage *m, GHashTable *query,
                   Platform *p, SoupServerCallback handler)
{
  DelayedRequest *d;

  if (p->fault == FAULT_DOWN)
    {
      cc_http_answer (m, SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain",
                      "down\n");
      return;
    }
  if (p->fault != FAULT_SLOW)
    {
      handler (server, m, "", query, p);
      return;
    }
  d = g_new0 (DelayedRequest, 1);
  d->platform = p;
  d->message = g_object_ref (m);
  d->query = query != NULL ? g_hash_table_ref (query) : NULL;
  d->handler = handler;
  soup_server_message_pause (m);
  g_timeout_add (p->fault_ms, on_delay_over, d);
}

/* Defines the handler of a request that is subject to faults. */
#define WITH_FAULT(name)                                                       \
  static void name##_with_fault (SoupServer *server, SoupServerMessage *m,     \
                                 const char *path, GHashTable *query,          \
                                 gpointer data)                                \
  {                                                                            \
    handle_with_fault (server, m, query, data, on_##name);                     \
  }

WITH_FAULT (transaction)
WITH_FAULT (changes)
WITH_FAULT (instances)

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", "platform", "name in logs", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "listen", NULL, "address", 0, 0, NULL },
    { CC_SETTING_NUMBER, "lag-ms", "500", "lag of the instance list", 0, 600000,
      NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  Platform p = { 0 };
  g_autoptr (SoupServer) server = NULL;
  g_autofree char *message = NULL;
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  if (cc_settings_read (settings, "platform", "Simulated platform for tests.",
                        argc, argv) != CC_START_RUN)
    return 2;
  cc_view_init (&p.table);
  p.lag_ms = (guint) cc_setting_number (settings, "lag-ms");
  p.instances = g_strdup ("{\"instances\":[]}");
  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, "/v1/transaction", transaction_with_fault,
                           &p, NULL);
  soup_server_add_handler (server, "/v1/changes", changes_with_fault, &p, NULL);
  soup_server_add_handler (server, "/v1/instances", instances_with_fault, &p,
                           NULL);
  soup_server_add_handler (server, "/test/instances", on_set_instances, &p,
                           NULL);
  soup_server_add_handler (server, "/test/fault", on_set_fault, &p, NULL);
  soup_server_add_handler (server, "/test/stats", on_stats, &p, NULL);
  if (!cc_http_listen (server, cc_setting (settings, "listen"), &message))
    {
      fprintf (stderr, "platform: %s\n", message);
      return 1;
    }
  g_main_loop_run (loop);
  return 0;
}
