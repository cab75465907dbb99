/* Stand-in for one upstream server: 4 slots, a bounded queue, deadlines,
 * fenced grants (checked or not), and a record of everything it ran.
 *
 * Record lines, one write each:
 *   B run_id marker key_hash slice epoch term wall_us       work begins
 *   E run_id marker key_hash slice epoch term wall_us       work took effect
 * A refusal for its grant at the moment of effect leaves a line R in place of
 * E: nothing took effect.
 *
 * PUT /test/behave?work_us=N&shed=0|1&lie=0|1 changes its behaviour. */
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "admin.h"
#include "clock.h"
#include "settings.h"
#include "slicemap.h"

#define QUEUE_MAX 120 /* with 4 slots, below its 130 connections */

typedef struct
{
  char *name;
  char *pool;
  gboolean checks;
  guint slots;
  guint work_us;
  gboolean shed;
  gboolean lie;       /* reports no load */
  int records;        /* file */
  guint64 term;       /* highest seen */
  gint64 lapses;      /* when the grant lapses, us */
  GHashTable *epochs; /* slice to epoch, of the grant */
  GQueue waiting;     /* of Work */
  guint running;
} Upstream;

typedef struct
{
  Upstream *upstream;
  SoupServerMessage *message;
  char *run_id;
  char *marker;
  guint64 key;
  guint slice;
  guint64 epoch;
  guint64 term;
  gint64 deadline; /* wall clock, ms */
  guint work_us;
  gboolean gone; /* the caller closed the connection */
} Work;

static const char *
header (SoupServerMessage *m, const char *name)
{
  const char *v = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), name);

  return v != NULL ? v : "";
}

static void
record (Work *w, char what)
{
  g_autofree char *line =
      g_strdup_printf ("%c %s %s %" G_GUINT64_FORMAT " %u %" G_GUINT64_FORMAT
                       " %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT " %s\n",
                       what, w->run_id, w->marker, w->key, w->slice, w->epoch,
                       w->term, cc_clock_wall (), w->upstream->pool);

  if (write (w->upstream->records, line, strlen (line)) < 0)
    fprintf (stderr, "%s: can't record\n", w->upstream->name);
}

static void
refuse (SoupServerMessage *m, guint status, const char *text)
{
  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                CC_HDR_OUTCOME, "not-run");
  cc_http_answer (m, status, "text/plain", text);
}

static gboolean
is_granted (Upstream *u, const Work *w)
{
  gpointer epoch = g_hash_table_lookup (u->epochs, GUINT_TO_POINTER (w->slice));

  if (!u->checks)
    return TRUE;
  return w->term == u->term && cc_clock_now () < u->lapses &&
         GPOINTER_TO_SIZE (epoch) == w->epoch;
}

static void
work_free (Work *w)
{
  g_signal_handlers_disconnect_by_data (w->message, w);
  soup_server_message_unpause (w->message);
  g_object_unref (w->message);
  g_free (w->run_id);
  g_free (w->marker);
  g_free (w);
}

static void pump (Upstream *u);

static void
answer_work (Work *w)
{
  g_autoptr (GBytes) body = soup_message_body_flatten (
      soup_server_message_get_request_body (w->message));
  SoupMessageHeaders *h = soup_server_message_get_response_headers (w->message);

  soup_server_message_set_status (w->message, SOUP_STATUS_OK, NULL);
  soup_message_headers_replace (h, "X-Marker", w->marker);
  soup_message_headers_replace (h, "X-Server", w->upstream->name);
  soup_message_headers_replace (h, "X-Method",
                                soup_server_message_get_method (w->message));
  if (g_bytes_get_size (body) > 0)
    soup_message_body_append_bytes (
        soup_server_message_get_response_body (w->message), body);
}

static gboolean
on_work_done (gpointer data)
{
  Work *w = data;
  Upstream *u = w->upstream;

  u->running--;
  if (is_granted (u, w))
    {
      record (w, 'E');
      answer_work (w);
    }
  else
    {
      record (w, 'R');
      refuse (w->message, SOUP_STATUS_PRECONDITION_FAILED, "grant\n");
    }
  work_free (w);
  pump (u);
  return G_SOURCE_REMOVE;
}

/* Work of no length is done at once: a timer's least is 1 ms. */
static void
schedule (Work *w)
{
  if (w->work_us > 0)
    g_timeout_add (MAX (w->work_us / 1000, 1), on_work_done, w);
  else
    g_idle_add_full (G_PRIORITY_DEFAULT, on_work_done, w, NULL);
}

static void
start (Upstream *u, Work *w)
{
  if (w->gone || cc_clock_wall () / CC_MS > w->deadline)
    refuse (w->message, SOUP_STATUS_SERVICE_UNAVAILABLE, "deadline\n");
  else if (!is_granted (u, w))
    refuse (w->message, SOUP_STATUS_PRECONDITION_FAILED, "grant\n");
  else
    {
      u->running++;
      record (w, 'B');
      schedule (w);
      return;
    }
  work_free (w);
}

static void
pump (Upstream *u)
{
  while (u->running < u->slots && !g_queue_is_empty (&u->waiting))
    start (u, g_queue_pop_head (&u->waiting));
}

static void
on_gone (SoupServerMessage *m, gpointer data)
{
  ((Work *) data)->gone = TRUE;
}

static void
on_work (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  Upstream *u = data;
  const char *key = header (m, CC_HDR_KEY);
  const char *asked = header (m, "X-Work-Us");
  Work *w;

  if (u->shed || u->waiting.length >= QUEUE_MAX)
    {
      refuse (m, SOUP_STATUS_SERVICE_UNAVAILABLE, "shed\n");
      return;
    }
  w = g_new0 (Work, 1);
  w->upstream = u;
  w->message = g_object_ref (m);
  w->run_id = g_strdup (header (m, CC_HDR_RUN_ID));
  w->marker = g_strdup (header (m, "X-Marker"));
  w->key = cc_key_hash (key, strlen (key));
  w->slice = (guint) g_ascii_strtoull (header (m, CC_HDR_SLICE), NULL, 10);
  w->epoch = g_ascii_strtoull (header (m, CC_HDR_EPOCH), NULL, 10);
  w->term = g_ascii_strtoull (header (m, CC_HDR_TERM), NULL, 10);
  w->deadline = g_ascii_strtoll (header (m, CC_HDR_DEADLINE), NULL, 10);
  w->work_us = asked[0] != '\0'
                   ? (guint) g_ascii_strtoull (asked, NULL, 10)
                   : (guint) (u->work_us * g_random_double_range (0.5, 1.5));
  g_signal_connect (m, "disconnected", G_CALLBACK (on_gone), w);
  soup_server_message_pause (m);
  g_queue_push_tail (&u->waiting, w);
  pump (u);
}

static void
take_slices (Upstream *u, JsonArray *slices)
{
  g_hash_table_remove_all (u->epochs);
  for (guint i = 0; i < json_array_get_length (slices); i++)
    {
      JsonArray *one = json_array_get_array_element (slices, i);

      g_hash_table_insert (
          u->epochs, GUINT_TO_POINTER (json_array_get_int_element (one, 0)),
          GSIZE_TO_POINTER (json_array_get_int_element (one, 1)));
    }
}

static void
on_grant (SoupServer *server, SoupServerMessage *m, const char *path,
          GHashTable *query, gpointer data)
{
  Upstream *u = data;
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  g_autofree char *text =
      g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  g_autoptr (JsonNode) root = json_from_string (text, NULL);
  JsonObject *o = root != NULL ? json_node_get_object (root) : NULL;
  guint64 term =
      o != NULL ? (guint64) json_object_get_int_member (o, "term") : 0;

  if (o == NULL || term < u->term)
    {
      cc_http_answer (m, SOUP_STATUS_CONFLICT, "text/plain", "older term\n");
      return;
    }
  u->term = term;
  u->lapses =
      cc_clock_now () + json_object_get_int_member (o, "ttl_ms") * CC_MS;
  take_slices (u, json_object_get_array_member (o, "slices"));
  cc_http_answer (m, SOUP_STATUS_OK, "application/json", "{}");
}

static void
on_load (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  Upstream *u = data;
  g_autofree char *text =
      g_strdup_printf ("{\"running\":%u,\"waiting\":%u}",
                       u->lie ? 0 : u->running, u->lie ? 0 : u->waiting.length);

  cc_http_answer (m, SOUP_STATUS_OK, "application/json", text);
}

static void
set_number (GHashTable *query, const char *name, guint *field)
{
  const char *text = query ? g_hash_table_lookup (query, name) : NULL;

  if (text != NULL)
    *field = (guint) g_ascii_strtoull (text, NULL, 10);
}

static void
on_behave (SoupServer *server, SoupServerMessage *m, const char *path,
           GHashTable *query, gpointer data)
{
  Upstream *u = data;

  set_number (query, "work_us", &u->work_us);
  set_number (query, "shed", (guint *) &u->shed);
  set_number (query, "lie", (guint *) &u->lie);
  cc_http_answer (m, SOUP_STATUS_OK, "text/plain", "ok\n");
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", NULL, "name of the server", 0, 0, NULL },
    { CC_SETTING_STRING, "pool", NULL, "its pool", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "listen", NULL, "address", 0, 0, NULL },
    { CC_SETTING_STRING, "records", NULL, "file of records", 0, 0, NULL },
    { CC_SETTING_NUMBER, "work-us", "4000", "mean work", 0, 10000000, NULL },
    { CC_SETTING_NUMBER, "checks", "1", "whether it checks grants", 0, 1,
      NULL },
    { CC_SETTING_NUMBER, "slots", "4", "work at once", 1, 1000, NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  Upstream u = { 0 };
  g_autoptr (SoupServer) server = NULL;
  g_autofree char *message = NULL;
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  if (cc_settings_read (settings, "upstream", "Stand-in for a server.", argc,
                        argv) != CC_START_RUN)
    return 2;
  u.name = g_strdup (cc_setting (settings, "instance"));
  u.pool = g_strdup (cc_setting (settings, "pool"));
  u.checks = cc_setting_number (settings, "checks") != 0;
  u.slots = (guint) cc_setting_number (settings, "slots");
  u.work_us = (guint) cc_setting_number (settings, "work-us");
  u.epochs = g_hash_table_new (NULL, NULL);
  u.records = open (cc_setting (settings, "records"),
                    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, "/capercrank/grant", on_grant, &u, NULL);
  soup_server_add_handler (server, "/capercrank/load", on_load, &u, NULL);
  soup_server_add_handler (server, "/test/behave", on_behave, &u, NULL);
  soup_server_add_handler (server, NULL, on_work, &u, NULL);
  if (!cc_http_listen (server, cc_setting (settings, "listen"), &message))
    {
      fprintf (stderr, "upstream: %s\n", message);
      return 1;
    }
  g_main_loop_run (loop);
  return 0;
}
