/* Stand-in for the platform: a transactional table and an instance list.
 *
 * POST /v1/transaction  {"checks":[[key,version]],"writes":[[key,value]]}
 * GET  /v1/changes?since=N[&skip=PREFIX][&prefix=PREFIX]
 * GET  /v1/instances    lags by --lag-ms behind PUT /test/instances
 * PUT  /test/fault      {"mode":"up|down|slow|lose","ms":N}
 *
 * "down" answers 503, "slow" waits ms before it acts, "lose" acts and then
 * never answers. */
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
  FAULT_LOSE
} Fault;

typedef struct
{
  CcView table;
  guint64 last;    /* number of the newest transaction */
  char *instances; /* JSON as served */
  guint lag_ms;
  Fault fault;
  guint fault_ms;
  guint64 reads, writes;
} Platform;

typedef struct
{
  Platform *platform;
  SoupServerMessage *message;
  GHashTable *query;
  SoupServerCallback then;
} Delayed;

static gboolean
holds (Platform *p, JsonArray *checks)
{
  for (guint i = 0; i < json_array_get_length (checks); i++)
    {
      JsonArray *one = json_array_get_array_element (checks, i);
      const CcRow *row =
          cc_view_get (&p->table, json_array_get_string_element (one, 0));
      gint64 wanted = json_array_get_int_element (one, 1);

      if ((row != NULL ? (gint64) row->version : 0) != wanted)
        return FALSE;
    }
  return TRUE;
}

static void
apply (Platform *p, JsonArray *writes)
{
  p->last++;
  for (guint i = 0; i < json_array_get_length (writes); i++)
    {
      JsonArray *one = json_array_get_array_element (writes, i);

      cc_view_put (&p->table, json_array_get_string_element (one, 0), p->last,
                   json_array_get_null_element (one, 1)
                       ? NULL
                       : json_array_get_string_element (one, 1));
    }
}

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
  else if (!holds (p, json_object_get_array_member (o, "checks")))
    cc_http_answer (m, SOUP_STATUS_CONFLICT, "application/json", "{}");
  else
    {
      apply (p, json_object_get_array_member (o, "writes"));
      answer = g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT "}", p->last);
      cc_http_answer (m, SOUP_STATUS_OK, "application/json", answer);
    }
  if (p->fault == FAULT_LOSE)
    soup_server_message_pause (m);
}

static guint64
query_number (GHashTable *query, const char *name)
{
  const char *text = query != NULL ? g_hash_table_lookup (query, name) : NULL;

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

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
  json_builder_add_int_value (b, (gint64) p->last);
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

typedef struct
{
  Platform *platform;
  char *instances;
} Lagging;

static gboolean
on_lag_over (gpointer data)
{
  Lagging *l = data;

  g_free (l->platform->instances);
  l->platform->instances = l->instances;
  g_free (l);
  return G_SOURCE_REMOVE;
}

static void
on_instances (SoupServer *server, SoupServerMessage *m, const char *path,
              GHashTable *query, gpointer data)
{
  Platform *p = data;

  p->reads++;
  cc_http_answer (m, SOUP_STATUS_OK, "application/json", p->instances);
}

static void
on_set_instances (SoupServer *server, SoupServerMessage *m, const char *path,
                  GHashTable *query, gpointer data)
{
  Platform *p = data;
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  Lagging *l = g_new0 (Lagging, 1);

  l->platform = p;
  l->instances =
      g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  g_timeout_add (p->lag_ms, on_lag_over, l);
  cc_http_answer (m, SOUP_STATUS_OK, "application/json", "{}");
}

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

static void
on_stats (SoupServer *server, SoupServerMessage *m, const char *path,
          GHashTable *query, gpointer data)
{
  Platform *p = data;
  g_autofree char *text = g_strdup_printf (
      "{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
      ",\"version\":%" G_GUINT64_FORMAT "}",
      p->reads, p->writes, p->last);

  cc_http_answer (m, SOUP_STATUS_OK, "application/json", text);
}

static gboolean
on_delay_over (gpointer data)
{
  Delayed *d = data;

  d->then (NULL, d->message, "", d->query, d->platform);
  soup_server_message_unpause (d->message);
  g_object_unref (d->message);
  if (d->query != NULL)
    g_hash_table_unref (d->query);
  g_free (d);
  return G_SOURCE_REMOVE;
}

static void
with_fault (SoupServer *server, SoupServerMessage *m, GHashTable *query,
            Platform *p, SoupServerCallback then)
{
  Delayed *d;

  if (p->fault == FAULT_DOWN)
    {
      cc_http_answer (m, SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain",
                      "down\n");
      return;
    }
  if (p->fault != FAULT_SLOW)
    {
      then (server, m, "", query, p);
      return;
    }
  d = g_new0 (Delayed, 1);
  d->platform = p;
  d->message = g_object_ref (m);
  d->query = query != NULL ? g_hash_table_ref (query) : NULL;
  d->then = then;
  soup_server_message_pause (m);
  g_timeout_add (p->fault_ms, on_delay_over, d);
}

#define FAULTY(name)                                                           \
  static void faulty_##name (SoupServer *server, SoupServerMessage *m,         \
                             const char *path, GHashTable *query,              \
                             gpointer data)                                    \
  {                                                                            \
    with_fault (server, m, query, data, on_##name);                            \
  }

FAULTY (transaction)
FAULTY (changes)
FAULTY (instances)

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

  if (cc_settings_read (settings, "platform", "Stand-in for the platform.",
                        argc, argv) != CC_START_RUN)
    return 2;
  cc_view_init (&p.table);
  p.lag_ms = (guint) cc_setting_number (settings, "lag-ms");
  p.instances = g_strdup ("{\"instances\":[]}");
  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, "/v1/transaction", faulty_transaction, &p,
                           NULL);
  soup_server_add_handler (server, "/v1/changes", faulty_changes, &p, NULL);
  soup_server_add_handler (server, "/v1/instances", faulty_instances, &p, NULL);
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
