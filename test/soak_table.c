/* The platform's store by its published protocol, as far as the gateways use
 * it: rows, transactions with conditions, a feed of changes. */
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "capercrank.h"
#include "clock.h"
#include "soak.h"

#define SLOW_MS 300
#define LATE_LEAST_MS 800
#define LATE_MOST_MS 3000

typedef struct
{
  char *table, *key, *value; /* VALUE in base64; NULL: dropped */
  guint64 version;
} Row;

/* A feed that waits for changes. */
typedef struct
{
  SoupServerMessage *message;
  char *table;
  guint64 after;
  guint timeout;
} Waiter;

static GTree *rows; /* "table/key" to Row */
static GList *waiters;
static guint64 newest;
static guint64 forgotten; /* changes up to this one are not known any more */
static SoakTableMode mode;

static gint
compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  return strcmp (a, b);
}

static char *
id_of (const char *table, const char *key)
{
  return g_strconcat (table, "/", key, NULL);
}

static Row *
find_row (const char *table, const char *key)
{
  g_autofree char *id = id_of (table, key);

  return g_tree_lookup (rows, id);
}

static void
write_row (const char *table, const char *key, const char *value)
{
  Row *r = find_row (table, key);

  if (r == NULL)
    {
      r = g_new0 (Row, 1);
      r->table = g_strdup (table);
      r->key = g_strdup (key);
      g_tree_insert (rows, id_of (table, key), r);
    }
  g_free (r->value);
  r->value = g_strdup (value);
  r->version = newest;
}

/* What the rows are selected by. */
typedef struct
{
  const char *table;
  const char *from;
  guint64 after;    /* only newer ones */
  gboolean dropped; /* dropped ones too */
  JsonArray *out;
} Selection;

static gboolean
add_selected (gpointer id, gpointer value, gpointer data)
{
  Selection *s = data;
  const Row *r = value;
  JsonObject *o;

  (void) id;
  if (!g_str_equal (r->table, s->table) || strcmp (r->key, s->from) < 0 ||
      r->version <= s->after || (r->value == NULL && !s->dropped))
    return FALSE;
  o = json_object_new ();
  json_object_set_string_member (o, "table", r->table);
  json_object_set_string_member (o, "part", "");
  json_object_set_string_member (o, "key", r->key);
  json_object_set_string_member (o, "value", r->value != NULL ? r->value : "");
  json_object_set_int_member (o, "rowVersion", (gint64) r->version);
  if (r->value == NULL)
    json_object_set_boolean_member (o, "tombstone", TRUE);
  json_array_add_object_element (s->out, o);
  return FALSE;
}

static void
answer_rows (SoupServerMessage *m, guint status, Selection *s)
{
  g_autoptr (JsonNode) root = json_node_new (JSON_NODE_OBJECT);
  JsonObject *o = json_object_new ();
  g_autofree char *text = NULL;

  s->out = json_array_new ();
  g_tree_foreach (rows, add_selected, s);
  json_object_set_array_member (o, "rows", s->out);
  json_object_set_int_member (o, "rowVersion", (gint64) newest);
  json_object_set_int_member (o, "nowMs", cc_clock_now () / CC_MS);
  json_object_set_boolean_member (o, "hasMore", FALSE);
  json_node_take_object (root, o);
  text = json_to_string (root, FALSE);
  cc_http_answer (m, status, "application/json", text);
}

static void
waiter_end (Waiter *w)
{
  Selection s = {
    .table = w->table, .from = "", .after = w->after, .dropped = TRUE
  };

  waiters = g_list_remove (waiters, w);
  if (w->timeout != 0)
    g_source_remove (w->timeout);
  answer_rows (w->message, 200, &s);
  soup_server_message_unpause (w->message);
  g_object_unref (w->message);
  g_free (w->table);
  g_free (w);
}

static gboolean
on_wait_over (gpointer data)
{
  Waiter *w = data;

  w->timeout = 0;
  waiter_end (w);
  return G_SOURCE_REMOVE;
}

static void
wake (const char *table)
{
  for (GList *l = waiters; l != NULL;)
    {
      Waiter *w = l->data;

      l = l->next;
      if (g_str_equal (w->table, table))
        waiter_end (w);
    }
}

static const char *
text_of (JsonObject *o, const char *name)
{
  return json_object_get_string_member_with_default (o, name, "");
}

static gboolean
conditions_hold (JsonArray *list)
{
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonObject *o = json_array_get_object_element (list, i);
      const Row *r = find_row (text_of (o, "table"), text_of (o, "key"));
      guint64 version = r != NULL && r->value != NULL ? r->version : 0;

      if ((gint64) version != json_object_get_int_member (o, "rowVersion"))
        return FALSE;
    }
  return TRUE;
}

static void
write_all (JsonArray *list, gboolean drop, GPtrArray *tables)
{
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonObject *o = json_array_get_object_element (list, i);

      write_row (text_of (o, "table"), text_of (o, "key"),
                 drop ? NULL : text_of (o, "value"));
      g_ptr_array_add (tables, g_strdup (text_of (o, "table")));
    }
}

/* Carries the transaction TEXT out.  FALSE: a condition does not hold. */
static gboolean
transact (const char *text)
{
  g_autoptr (JsonNode) root = json_from_string (text, NULL);
  JsonObject *o = json_node_get_object (root);
  g_autoptr (GPtrArray) tables = g_ptr_array_new_with_free_func (g_free);

  if (!conditions_hold (json_object_get_array_member (o, "precondition")))
    return FALSE;
  newest++;
  write_all (json_object_get_array_member (o, "puts"), FALSE, tables);
  write_all (json_object_get_array_member (o, "deletes"), TRUE, tables);
  for (guint i = 0; i < tables->len; i++)
    wake (tables->pdata[i]);
  return TRUE;
}

static gboolean
on_late (gpointer text)
{
  (void) transact (text);
  g_free (text);
  return G_SOURCE_REMOVE;
}

static void
cut_off (SoupServerMessage *m)
{
  g_socket_shutdown (soup_server_message_get_socket (m), TRUE, TRUE, NULL);
}

static gboolean
on_unpause (gpointer m)
{
  soup_server_message_unpause (m);
  g_object_unref (m);
  return G_SOURCE_REMOVE;
}

static void
on_transaction (SoupServerMessage *m)
{
  SoupMessageBody *b = soup_server_message_get_request_body (m);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (b);
  g_autofree char *text =
      g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  Selection s = { .table = "lease", .from = "" };

  if (mode == SOAK_TABLE_LATE_WRITE)
    {
      g_timeout_add ((guint) g_random_int_range (LATE_LEAST_MS, LATE_MOST_MS),
                     on_late, g_steal_pointer (&text));
      cut_off (m);
      return;
    }
  answer_rows (m, transact (text) ? 200 : 412, &s);
  if (mode == SOAK_TABLE_RESPONSE_LOST)
    cut_off (m);
}

static void
on_get (SoupServerMessage *m, GHashTable *query)
{
  const char *from = g_hash_table_lookup (query, "from");
  Selection s = { .table = g_hash_table_lookup (query, "table"),
                  .from = from != NULL ? from : "" };

  answer_rows (m, 200, &s);
}

static void
on_feed (SoupServerMessage *m, GHashTable *query)
{
  Waiter *w = g_new0 (Waiter, 1);
  Selection s = { .from = "", .out = NULL };
  g_autoptr (JsonArray) found = json_array_new ();

  w->message = g_object_ref (m);
  w->table = g_strdup (g_hash_table_lookup (query, "table"));
  w->after = g_ascii_strtoull (g_hash_table_lookup (query, "after"), NULL, 10);
  s.table = w->table;
  s.after = w->after;
  s.dropped = TRUE;
  s.out = found;
  g_tree_foreach (rows, add_selected, &s);
  soup_server_message_pause (m);
  waiters = g_list_prepend (waiters, w);
  if (json_array_get_length (found) > 0)
    waiter_end (w);
  else
    w->timeout = g_timeout_add (
        (guint) atoi (g_hash_table_lookup (query, "waitMs")), on_wait_over, w);
}

static void
on_call (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  const char *after =
      query != NULL ? g_hash_table_lookup (query, "after") : NULL;

  (void) server, (void) data;
  if (mode == SOAK_TABLE_DOWN)
    {
      cc_http_answer (m, 503, "text/plain", "");
      return;
    }
  if (g_str_equal (path, "/v1/rows-tx"))
    on_transaction (m);
  else if (g_str_equal (path, "/v1/rows-get"))
    on_get (m, query);
  else if (after != NULL && g_ascii_strtoull (after, NULL, 10) < forgotten)
    cc_http_answer (m, 410, "text/plain", "");
  else
    {
      on_feed (m, query);
      return;
    }
  if (mode == SOAK_TABLE_SLOW)
    {
      soup_server_message_pause (m);
      g_timeout_add (SLOW_MS, on_unpause, g_object_ref (m));
    }
}

/* The store answers at ADDRESS (IP:PORT) from now on. */
void
soak_table_listen (const char *address)
{
  SoupServer *server = soup_server_new (NULL, NULL);
  g_autofree char *message = NULL;

  rows = g_tree_new_full (compare, NULL, g_free, NULL);
  soup_server_add_handler (server, NULL, on_call, NULL, NULL);
  if (!cc_http_listen (server, address, &message))
    g_error ("soak: %s", message);
}

/* How calls are answered from now on. */
void
soak_table_set_mode (SoakTableMode now)
{
  mode = now;
}

/* The history is dropped, and feeds end. */
void
soak_table_truncate_history (void)
{
  forgotten = newest;
  while (waiters != NULL)
    waiter_end (waiters->data);
}

/* Writes as the operator or a server. */
void
soak_table_put (const char *table, const char *key, const char *value)
{
  g_autofree char *base64 =
      value == NULL ? NULL
                    : g_base64_encode ((const guchar *) value, strlen (value));

  newest++;
  write_row (table, key, base64);
  wake (table);
}

/* Drops a row as its writer. */
void
soak_table_delete (const char *table, const char *key)
{
  soak_table_put (table, key, NULL);
}
