/* Simulates one upstream server: 4 slots, a bounded queue, deadlines, fenced
 * grants (checked or not), and a record file of everything that it ran.
 *
 * Record lines, each written by one write call:
 *   B run_id marker key_hash slice epoch term wall_us pool  work began
 *   E run_id marker key_hash slice epoch term wall_us pool  work took effect
 * If the grant is not valid any more at the end of the work, the server rejects
 * the request and writes R in place of E: nothing took effect.
 *
 * PUT /test/behave?work_us=N&shed=0|1&lie=0|1 sets the mean work time, whether
 * the server sheds all requests, and whether it reports no load. */
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "admin.h"
#include "clock.h"
#include "settings.h"
#include "slicemap.h"

#define QUEUE_MAX 120 /* with 4 slots, below the limit of 130 connections */

typedef struct
{
  char *name;
  char *pool;
  gboolean checks_grants;
  guint slots;
  guint work_us;
  gboolean shed;
  gboolean hides_load; /* reports no load */
  int record_file;     /* file descriptor */
  guint64 term;        /* highest term received */
  gint64 expires;      /* end of the grant, us */
  GHashTable *epochs;  /* slice to epoch, of the grant */
  GQueue queued;       /* of Work */
  guint running;
} Upstream;

/* A request, queued or running. */
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
  gboolean disconnected; /* the caller closed the connection */
} Work;

/* Returns the request header NAME of M, or "" if it is missing. */
static const char *
request_header (SoupServerMessage *m, const char *name)
{
  const char *v = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), name);

  return v != NULL ? v : "";
}

/* Appends the line of EVENT (B, E or R) for W to the record file. */
static void
write_record (Work *w, char event)
{
  g_autofree char *line =
      g_strdup_printf ("%c %s %s %" G_GUINT64_FORMAT " %u %" G_GUINT64_FORMAT
                       " %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT " %s\n",
                       event, w->run_id, w->marker, w->key, w->slice, w->epoch,
                       w->term, cc_clock_wall (), w->upstream->pool);

  if (write (w->upstream->record_file, line, strlen (line)) < 0)
    fprintf (stderr, "%s: can't write to the record file\n", w->upstream->name);
}

/* Rejects M with the outcome not-run. */
static void
refuse (SoupServerMessage *m, guint status, const char *text)
{
  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                CC_HDR_OUTCOME, "not-run");
  cc_http_answer (m, status, "text/plain", text);
}

/* Whether the grant of U is in force and covers the slice of W with the same
 * term and epoch.  Always TRUE if U does not check grants. */
static gboolean
is_granted (Upstream *u, const Work *w)
{
  gpointer epoch = g_hash_table_lookup (u->epochs, GUINT_TO_POINTER (w->slice));

  if (!u->checks_grants)
    return TRUE;
  return w->term == u->term && cc_clock_now () < u->expires &&
         GPOINTER_TO_SIZE (epoch) == w->epoch;
}

/* Sends the response to W and frees W. */
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

static void run_queued (Upstream *u);

/* Sets the response to W, which took effect: the marker, the server's name, the
 * method and the request body. */
static void
respond_run (Work *w)
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

/* Checks the grant again at the end of the work, records the result and starts
 * queued work. */
static gboolean
on_work_done (gpointer data)
{
  Work *w = data;
  Upstream *u = w->upstream;

  u->running--;
  if (is_granted (u, w))
    {
      write_record (w, 'E');
      respond_run (w);
    }
  else
    {
      write_record (w, 'R');
      refuse (w->message, SOUP_STATUS_PRECONDITION_FAILED, "grant\n");
    }
  work_free (w);
  run_queued (u);
  return G_SOURCE_REMOVE;
}

/* Schedules the end of W.  Work time 0 uses an idle source, as a timer takes at
 * least 1 ms. */
static void
schedule_end (Work *w)
{
  if (w->work_us > 0)
    g_timeout_add (MAX (w->work_us / 1000, 1), on_work_done, w);
  else
    g_idle_add_full (G_PRIORITY_DEFAULT, on_work_done, w, NULL);
}

/* Starts W, or rejects it if its caller has disconnected, its deadline is over
 * or its slice is not granted. */
static void
start_work (Upstream *u, Work *w)
{
  if (w->disconnected || cc_clock_wall () / CC_MS > w->deadline)
    refuse (w->message, SOUP_STATUS_SERVICE_UNAVAILABLE, "deadline\n");
  else if (!is_granted (u, w))
    refuse (w->message, SOUP_STATUS_PRECONDITION_FAILED, "grant\n");
  else
    {
      u->running++;
      write_record (w, 'B');
      schedule_end (w);
      return;
    }
  work_free (w);
}

/* Starts queued work while slots are free. */
static void
run_queued (Upstream *u)
{
  while (u->running < u->slots && !g_queue_is_empty (&u->queued))
    start_work (u, g_queue_pop_head (&u->queued));
}

/* Marks work whose caller has disconnected, so that it is not started. */
static void
on_disconnected (SoupServerMessage *m, gpointer data)
{
  ((Work *) data)->disconnected = TRUE;
}

/* Queues a request, or sheds it if that is set or the queue is full.  Without
 * X-Work-Us the work time is random, 0.5 to 1.5 of the mean. */
static void
on_work (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  Upstream *u = data;
  const char *key = request_header (m, CC_HDR_KEY);
  const char *work_text = request_header (m, "X-Work-Us");
  Work *w;

  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                CC_HDR_RUN_ID,
                                request_header (m, CC_HDR_RUN_ID));
  if (u->shed || u->queued.length >= QUEUE_MAX)
    {
      refuse (m, SOUP_STATUS_SERVICE_UNAVAILABLE, "shed\n");
      return;
    }
  w = g_new0 (Work, 1);
  w->upstream = u;
  w->message = g_object_ref (m);
  w->run_id = g_strdup (request_header (m, CC_HDR_RUN_ID));
  w->marker = g_strdup (request_header (m, "X-Marker"));
  w->key = cc_key_hash (key, strlen (key));
  w->slice =
      (guint) g_ascii_strtoull (request_header (m, CC_HDR_SLICE), NULL, 10);
  w->epoch = g_ascii_strtoull (request_header (m, CC_HDR_EPOCH), NULL, 10);
  w->term = g_ascii_strtoull (request_header (m, CC_HDR_TERM), NULL, 10);
  w->deadline = g_ascii_strtoll (request_header (m, CC_HDR_DEADLINE), NULL, 10);
  w->work_us = work_text[0] != '\0'
                   ? (guint) g_ascii_strtoull (work_text, NULL, 10)
                   : (guint) (u->work_us * g_random_double_range (0.5, 1.5));
  g_signal_connect (m, "disconnected", G_CALLBACK (on_disconnected), w);
  soup_server_message_pause (m);
  g_queue_push_tail (&u->queued, w);
  run_queued (u);
}

/* Replaces the granted slices by SLICES, of [slice, epoch]. */
static void
set_slices (Upstream *u, JsonArray *slices)
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

/* Returns how long the grant O is valid from now, us: its duration, or the time
 * to its expiry by the wall clock if that is shorter. */
static gint64
grant_duration (JsonObject *o)
{
  gint64 life = json_object_get_int_member (o, "ttl_ms") * CC_MS;
  gint64 left =
      json_object_get_int_member (o, "expires_ms") * CC_MS - cc_clock_wall ();

  return MIN (life, left);
}

/* Applies a grant, unless a later term was received (409). */
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
  u->expires = cc_clock_now () + grant_duration (o);
  set_slices (u, json_object_get_array_member (o, "slices"));
  cc_http_answer (m, SOUP_STATUS_OK, "application/json", "{}");
}

/* Reports the load; none at all if that is set. */
static void
on_load (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  Upstream *u = data;
  g_autofree char *text = g_strdup_printf (
      "{\"running\":%u,\"waiting\":%u}", u->hides_load ? 0 : u->running,
      u->hides_load ? 0 : u->queued.length);

  cc_http_answer (m, SOUP_STATUS_OK, "application/json", text);
}

/* Sets FIELD to the parameter NAME of QUERY if it is present. */
static void
set_number (GHashTable *query, const char *name, guint *field)
{
  const char *text = query ? g_hash_table_lookup (query, name) : NULL;

  if (text != NULL)
    *field = (guint) g_ascii_strtoull (text, NULL, 10);
}

/* Sets the behaviours given in the query. */
static void
on_set_behaviour (SoupServer *server, SoupServerMessage *m, const char *path,
                  GHashTable *query, gpointer data)
{
  Upstream *u = data;

  set_number (query, "work_us", &u->work_us);
  set_number (query, "shed", (guint *) &u->shed);
  set_number (query, "lie", (guint *) &u->hides_load);
  cc_http_answer (m, SOUP_STATUS_OK, "text/plain", "ok\n");
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", NULL, "name of the server", 0, 0, NULL },
    { CC_SETTING_STRING, "pool", NULL, "pool of the server", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "listen", NULL, "address", 0, 0, NULL },
    { CC_SETTING_STRING, "records", NULL, "record file", 0, 0, NULL },
    { CC_SETTING_NUMBER, "work-us", "4000", "mean work time", 0, 10000000,
      NULL },
    { CC_SETTING_NUMBER, "checks", "1", "whether it checks grants", 0, 1,
      NULL },
    { CC_SETTING_NUMBER, "slots", "4", "requests run at once", 1, 1000, NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  Upstream u = { 0 };
  g_autoptr (SoupServer) server = NULL;
  g_autofree char *message = NULL;
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  if (cc_settings_read (settings, "upstream",
                        "Simulated upstream server for tests.", argc,
                        argv) != CC_START_RUN)
    return 2;
  u.name = g_strdup (cc_setting (settings, "instance"));
  u.pool = g_strdup (cc_setting (settings, "pool"));
  u.checks_grants = cc_setting_number (settings, "checks") != 0;
  u.slots = (guint) cc_setting_number (settings, "slots");
  u.work_us = (guint) cc_setting_number (settings, "work-us");
  u.epochs = g_hash_table_new (NULL, NULL);
  u.record_file = open (cc_setting (settings, "records"),
                        O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, "/capercrank/grant", on_grant, &u, NULL);
  soup_server_add_handler (server, "/capercrank/load", on_load, &u, NULL);
  soup_server_add_handler (server, "/test/behave", on_set_behaviour, &u, NULL);
  soup_server_add_handler (server, NULL, on_work, &u, NULL);
  if (!cc_http_listen (server, cc_setting (settings, "listen"), &message))
    {
      fprintf (stderr, "upstream: %s\n", message);
      return 1;
    }
  g_main_loop_run (loop);
  return 0;
}
