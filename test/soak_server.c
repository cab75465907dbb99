/* A server by the platform's published protocol: a few slots and a short queue,
 * keys that it runs requests for only while they are granted to it, an entry in
 * the store that it renews while it lives. */
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "capercrank.h"
#include "clock.h"
#include "soak.h"

#define SLOTS 4
#define QUEUE 8
#define HEARTBEAT_MS 600
#define WORK_LEAST_MS 10
#define WORK_MOST_MS 60
#define SLOW_FACTOR 5
#define LATE_LEAST_MS 800
#define LATE_MOST_MS 4000
/* A server that leaves serves on for this long. */
#define DRAIN_MS 2300

typedef struct
{
  SoakServer *server;
  SoupServerMessage *message;
  char *id;
  gint32 key; /* -1: none */
  gint64 deadline;
  guint source; /* of the end of its work; 0: waits for a slot */
} Job;

/* A release that waits for work to end. */
typedef struct
{
  SoupServerMessage *message;
  guint from, to;
} Release;

struct SoakServer
{
  char *pool;
  gboolean keyed;
  char *zone;
  char *real;  /* where it listens */
  char *front; /* where others find it */
  guint index;
  SoupServer *http; /* NULL: down */
  char *id;
  char *life; /* ID and start, for the audit */
  gint64 born;
  guint lives;
  guint beats;
  gboolean draining;
  SoakServerMode mode;
  guint heartbeat, leaving; /* sources */
  GPtrArray *jobs;          /* of Job, in order */
  GPtrArray *releases;      /* of Release */
  gint64 until[SOAK_KEYS];  /* its grants, us */
  guint64 fence[SOAK_KEYS]; /* the highest that it saw */
};

static void (*tell_ran) (const char *id, const char *pool, const char *target);

static void serve_next (SoakServer *s);

void
soak_servers_set_run_callback (void (*ran) (const char *id, const char *pool,
                                            const char *target))
{
  tell_ran = ran;
}

/* A server of POOL that is down. */
SoakServer *
soak_server_new (const char *pool, gboolean keyed, const char *zone,
                 const char *real, const char *front, guint index)
{
  SoakServer *s = g_new0 (SoakServer, 1);

  s->pool = g_strdup (pool);
  s->keyed = keyed;
  s->zone = g_strdup (zone);
  s->real = g_strdup (real);
  s->front = g_strdup (front);
  s->index = index;
  s->jobs = g_ptr_array_new ();
  s->releases = g_ptr_array_new ();
  return s;
}

static void
report (SoakServer *s)
{
  g_autofree char *value = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":%" G_GINT64_FORMAT
      ",\"info\":{\"service\":\"%s\",\"zone\":\"%s\",\"slots\":%d,"
      "\"version\":\"1\"},\"status\":{\"state\":\"%s\",\"sequence\":%u,"
      "\"warmupLeftMs\":0}}",
      s->front, s->born, s->pool, s->zone, SLOTS,
      s->draining ? "draining" : "ready", s->beats++);

  soak_table_put ("servers", s->id, value);
}

static gboolean
on_heartbeat (gpointer data)
{
  report (data);
  return G_SOURCE_CONTINUE;
}

static gboolean
is_running (const Job *j)
{
  return j->source != 0;
}

static guint
running (const SoakServer *s)
{
  guint n = 0;

  for (guint i = 0; i < s->jobs->len; i++)
    n += is_running (s->jobs->pdata[i]);
  return n;
}

static void
answer (SoakServer *s, SoupServerMessage *m, guint status, const char *body)
{
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);
  const char *id = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), "X-Request-Id");
  g_autofree char *load = g_strdup_printf ("%u,%u,%d", running (s),
                                           s->jobs->len - running (s), SLOTS);

  if (id != NULL)
    soup_message_headers_replace (h, "X-Request-Id", id);
  soup_message_headers_replace (h, "X-Server-Load", load);
  soup_message_headers_replace (h, "X-Response-Signature", s->id);
  cc_http_answer (m, status, "text/plain", body);
}

static void
refuse (SoakServer *s, SoupServerMessage *m, guint status)
{
  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                "X-Not-Executed", "1");
  answer (s, m, status, "");
}

/* The caller of M sees its connection end without an answer. */
static void
cut_off (SoupServerMessage *m)
{
  g_socket_shutdown (soup_server_message_get_socket (m), TRUE, TRUE, NULL);
  cc_http_answer (m, 500, "text/plain", "");
}

static void
job_free (Job *j)
{
  g_ptr_array_remove (j->server->jobs, j);
  g_object_unref (j->message);
  g_free (j->id);
  g_free (j);
}

static gboolean
has_work (const SoakServer *s, guint from, guint to)
{
  for (guint i = 0; i < s->jobs->len; i++)
    {
      const Job *j = s->jobs->pdata[i];

      if (is_running (j) && j->key >= (gint32) from && j->key <= (gint32) to)
        return TRUE;
    }
  return FALSE;
}

static void
end_releases (SoakServer *s)
{
  for (guint i = s->releases->len; i-- > 0;)
    {
      Release *r = s->releases->pdata[i];

      if (has_work (s, r->from, r->to))
        continue;
      soup_message_headers_replace (
          soup_server_message_get_response_headers (r->message), "X-Handoff",
          "h0");
      cc_http_answer (r->message, 200, "application/json", "{}");
      soup_server_message_unpause (r->message);
      g_object_unref (r->message);
      g_ptr_array_remove_index (s->releases, i);
      g_free (r);
    }
}

/* The answer to J, which has run, as the server's mode spoils it.  FALSE: it
 * does not. */
static gboolean
spoil (Job *j)
{
  SoakServer *s = j->server;

  if ((s->mode != SOAK_SERVER_DROPS_RESPONSES &&
       s->mode != SOAK_SERVER_MIXES_RESPONSES) ||
      g_random_boolean ())
    return FALSE;
  if (s->mode == SOAK_SERVER_DROPS_RESPONSES)
    {
      cut_off (j->message);
      return TRUE;
    }
  answer (s, j->message, 200, "done another");
  soup_message_headers_replace (
      soup_server_message_get_response_headers (j->message), "X-Request-Id",
      "another");
  return TRUE;
}

static gboolean
on_work_done (gpointer data)
{
  Job *j = data;
  SoakServer *s = j->server;
  g_autofree char *body = g_strconcat ("done ", j->id, NULL);
  gboolean lapsed = s->keyed && s->until[j->key] <= cc_clock_now ();

  if (!spoil (j))
    answer (s, j->message, lapsed ? 500 : 200, lapsed ? "" : body);
  soup_server_message_unpause (j->message);
  job_free (j);
  end_releases (s);
  serve_next (s);
  return G_SOURCE_REMOVE;
}

static gboolean
holds (const SoakServer *s, gint32 key)
{
  return !s->keyed || (key >= 0 && s->until[key] > cc_clock_now ());
}

static void
start (SoakServer *s, Job *j)
{
  guint work = (guint) g_random_int_range (WORK_LEAST_MS, WORK_MOST_MS);

  g_autofree char *target = cc_http_target (j->message);

  soak_audit_started (j->id, s->pool, s->life);
  if (tell_ran != NULL)
    tell_ran (j->id, s->pool, target);
  if (s->mode == SOAK_SERVER_SLOW)
    work *= SLOW_FACTOR;
  j->source = g_timeout_add (work, on_work_done, j);
}

static void
serve_next (SoakServer *s)
{
  for (guint i = 0; i < s->jobs->len && running (s) < SLOTS; i++)
    {
      Job *j = s->jobs->pdata[i];

      if (is_running (j))
        continue;
      if (holds (s, j->key) && cc_clock_now () < j->deadline)
        {
          start (s, j);
          continue;
        }
      refuse (s, j->message, holds (s, j->key) ? 503 : 421);
      soup_server_message_unpause (j->message);
      job_free (j);
      i--;
    }
}

static void
on_request (SoakServer *s, SoupServerMessage *m)
{
  SoupMessageHeaders *h = soup_server_message_get_request_headers (m);
  const char *id = soup_message_headers_get_one (h, "X-Request-Id");
  const char *key = soup_message_headers_get_one (h, "X-Shard-Key");
  const char *left = soup_message_headers_get_one (h, "X-Deadline-Ms");
  gint32 number = key != NULL ? atoi (key) : -1;
  Job *j;

  if (id == NULL || left == NULL)
    {
      refuse (s, m, 400);
      return;
    }
  if (!holds (s, number) || s->jobs->len >= SLOTS + QUEUE)
    {
      refuse (s, m, holds (s, number) ? 503 : 421);
      return;
    }
  j = g_new0 (Job, 1);
  j->server = s;
  j->message = g_object_ref (m);
  j->id = g_strdup (id);
  j->key = number;
  j->deadline = cc_clock_now () + (gint64) atoi (left) * CC_MS;
  g_ptr_array_add (s->jobs, j);
  soup_server_message_pause (m);
  serve_next (s);
}

/* A call of the one who grants keys. */
typedef struct
{
  SoakServer *server;
  char *life; /* of the server when the call came */
  guint from, to;
  guint64 fence;
  gint64 until; /* us */
} Grant;

static Grant *
read_grant (SoakServer *s, SoupServerMessage *m)
{
  g_autoptr (GBytes) b =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  g_autofree char *text =
      g_strndup (g_bytes_get_data (b, NULL), g_bytes_get_size (b));
  g_autoptr (JsonNode) root = json_from_string (text, NULL);
  JsonObject *o = json_node_get_object (root);
  Grant *g = g_new0 (Grant, 1);

  g->server = s;
  g->life = g_strdup (s->life);
  g->from = (guint) json_object_get_int_member (o, "from");
  g->to = (guint) json_object_get_int_member (o, "target");
  g->fence = (guint64) json_object_get_int_member (o, "fence");
  g->until = cc_clock_now () +
             json_object_get_int_member_with_default (o, "holdMs", 0) * CC_MS;
  return g;
}

static void
grant_free (Grant *g)
{
  g_free (g->life);
  g_free (g);
}

/* Carries G out.  FALSE: a higher fence was seen. */
static gboolean
take_grant (const Grant *g)
{
  SoakServer *s = g->server;

  for (guint k = g->from; k <= g->to; k++)
    if (s->fence[k] > g->fence)
      return FALSE;
  for (guint k = g->from; k <= g->to; k++)
    {
      s->fence[k] = g->fence;
      s->until[k] = MAX (s->until[k], g->until);
    }
  if (g->until > cc_clock_now ())
    soak_audit_granted (g->from, g->to, s->life, g->fence, g->until);
  return TRUE;
}

static gboolean
on_late_grant (gpointer data)
{
  Grant *g = data;

  if (g->server->http != NULL && g_str_equal (g->life, g->server->life))
    (void) take_grant (g);
  grant_free (g);
  return G_SOURCE_REMOVE;
}

static void
on_grant (SoakServer *s, SoupServerMessage *m)
{
  Grant *g = read_grant (s, m);

  if (s->mode == SOAK_SERVER_LATE_GRANTS && g_random_boolean ())
    {
      g_timeout_add ((guint) g_random_int_range (LATE_LEAST_MS, LATE_MOST_MS),
                     on_late_grant, g);
      soup_server_message_pause (m); /* for good */
      return;
    }
  cc_http_answer (m, take_grant (g) ? 200 : 409, "application/json", "{}");
  grant_free (g);
}

static void
on_release (SoakServer *s, SoupServerMessage *m)
{
  Grant *g = read_grant (s, m);
  Release *r = g_new0 (Release, 1);

  for (guint k = g->from; k <= g->to; k++)
    s->until[k] = 0;
  soak_audit_released (g->from, g->to, s->life);
  r->message = g_object_ref (m);
  r->from = g->from;
  r->to = g->to;
  g_ptr_array_add (s->releases, r);
  soup_server_message_pause (m);
  end_releases (s);
  grant_free (g);
}

static void
on_call (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  SoakServer *s = data;
  const char *meant = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), "X-Target-Instance");

  (void) server, (void) query;
  /* A connection of the life before. */
  if (s->http != server)
    cut_off (m);
  else if (meant != NULL && !g_str_equal (meant, s->id))
    refuse (s, m, 421);
  else if (g_str_equal (path, "/v1/grant"))
    on_grant (s, m);
  else if (g_str_equal (path, "/v1/release"))
    on_release (s, m);
  else
    on_request (s, m);
}

/* Starts S, under the id of before if SAME_ID.  It knows nothing of before. */
void
soak_server_start (SoakServer *s, gboolean same_id)
{
  g_autofree char *message = NULL;

  if (s->http != NULL)
    return;
  s->lives++;
  s->born = cc_clock_wall () / CC_MS;
  if (s->id == NULL || !same_id)
    {
      g_free (s->id);
      s->id = g_strdup_printf ("s%u-%u", s->index, s->lives);
    }
  g_free (s->life);
  s->life = g_strdup_printf ("%s.%u", s->id, s->lives);
  s->mode = SOAK_SERVER_HEALTHY;
  s->draining = FALSE;
  memset (s->until, 0, sizeof s->until);
  memset (s->fence, 0, sizeof s->fence);
  s->http = cc_http_server_new ();
  soup_server_add_handler (s->http, NULL, on_call, s, NULL);
  if (!cc_http_listen (s->http, s->real, &message))
    g_error ("soak: %s", message);
  report (s);
  s->heartbeat = g_timeout_add (HEARTBEAT_MS, on_heartbeat, s);
}

static void
stop (SoakServer *s)
{
  g_source_remove (s->heartbeat);
  if (s->leaving != 0)
    g_source_remove (s->leaving);
  s->heartbeat = s->leaving = 0;
  while (s->jobs->len > 0)
    {
      Job *j = s->jobs->pdata[0];

      if (is_running (j))
        g_source_remove (j->source);
      cut_off (j->message);
      soup_server_message_unpause (j->message);
      job_free (j);
    }
  while (s->releases->len > 0)
    {
      Release *r = g_ptr_array_remove_index (s->releases, 0);

      cut_off (r->message);
      soup_server_message_unpause (r->message);
      g_object_unref (r->message);
      g_free (r);
    }
  soup_server_disconnect (s->http);
  g_clear_object (&s->http);
  soak_audit_server_exited (s->life);
}

/* An entry that nobody renews any more. */
typedef struct
{
  SoakServer *server;
  char *id;
} Lapse;

static gboolean
on_lapsed (gpointer data)
{
  Lapse *l = data;

  if (l->server->http == NULL || !g_str_equal (l->server->id, l->id))
    soak_table_delete ("servers", l->id);
  g_free (l->id);
  g_free (l);
  return G_SOURCE_REMOVE;
}

static void
lapse_after (SoakServer *s, guint ms)
{
  Lapse *l = g_new0 (Lapse, 1);

  l->server = s;
  l->id = g_strdup (s->id);
  g_timeout_add (ms, on_lapsed, l);
}

/* S ends without a word; its entry lapses, unless it is back before. */
void
soak_server_crash (SoakServer *s)
{
  if (s->http == NULL)
    return;
  lapse_after (s, 3 * HEARTBEAT_MS);
  stop (s);
}

static gboolean
on_left (gpointer data)
{
  SoakServer *s = data;

  s->leaving = 0;
  lapse_after (s, 1);
  stop (s);
  return G_SOURCE_REMOVE;
}

/* S says that it leaves, serves on for a while, and ends. */
void
soak_server_drain (SoakServer *s)
{
  if (s->http == NULL || s->draining)
    return;
  s->draining = TRUE;
  report (s);
  s->leaving = g_timeout_add (DRAIN_MS, on_left, s);
}

void
soak_server_set_mode (SoakServer *s, SoakServerMode mode)
{
  s->mode = mode;
}

gboolean
soak_server_is_up (const SoakServer *s)
{
  return s->http != NULL;
}
