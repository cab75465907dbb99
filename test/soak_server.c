/* Simulates a server that speaks the platform's published protocol: it has a
 * few slots and a short queue, runs requests for a key only while that is
 * granted to it, and renews its row in the store while it runs.  Its modes
 * inject faults of real servers: slow work, lost or mixed-up responses, late
 * grants. */
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "capercrank.h"
#include "clock.h"
#include "soak.h"

#define SLOTS 4
#define QUEUE_MAX 8
#define HEARTBEAT_MS 600
#define WORK_MIN_MS 10
#define WORK_MAX_MS 60
#define SLOW_FACTOR 5
#define FATAL_MS 35 /* until a request that crashes its server does */
#define LATE_GRANT_MIN_MS 800
#define LATE_GRANT_MAX_MS 4000
/* Time for which a draining server goes on serving. */
#define DRAIN_MS 2300

typedef struct
{
  SoakServer *server;
  SoupServerMessage *message;
  char *id;
  gint32 key; /* -1: none */
  gint64 deadline;
  guint timer; /* ends its work; 0: waits for a slot */
} Job;

/* A release of keys that waits for the work on them to end. */
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
  char *real;  /* address that it listens on */
  char *front; /* address for gateways, at the relay */
  guint index;
  SoupServer *http; /* NULL: down */
  char *id;
  char *incarnation;     /* "ID.START", for the audit */
  gint64 started_at_ms;  /* ms of the wall clock */
  guint starts;          /* number of starts */
  guint heartbeats_sent; /* number of rows written */
  gboolean draining;
  SoakServerMode mode;
  SoakAnswerFault answer_fault;
  double limit;      /* that it names, requests a second; 0: none */
  gint64 cold_until; /* us; 0: never cold */
  double refusals;   /* share of the requests that it refuses, each twice */
  guint rest_s;      /* it refuses all requests, for so long each; 0: none */
  gboolean leaving;  /* says in answers that it leaves */
  guint probes;      /* of its health */
  guint heartbeat_timer, exit_timer; /* 0: none */
  GPtrArray *jobs;                   /* of Job, in order of arrival */
  GPtrArray *releases;               /* of Release */
  gint64 until[SOAK_KEYS];           /* end of the grant of each key, us */
  guint64 fence[SOAK_KEYS];          /* highest fence received for each key */
};

static void (*on_run) (const char *id, const char *pool, const char *target);

/* Requests that crash the servers that run them. */
static struct
{
  char *path; /* end of their paths; NULL: none */
  guint back_ms;
  gboolean same_id;
  guint crashed; /* servers */
  guint back;    /* of these */
  guint started; /* requests */
} fatal;

static void (*on_arrival) (SoakServer *s, const char *id, const char *peer);
static void (*on_rest) (SoakServer *s, const char *peer, guint rest_s);

/* Paths that begin with PREFIX (NULL: none) get answers of SIZE bytes. */
static struct
{
  const char *prefix;
  gsize size;
} large;

/* Servers that drain do not say so in answers. */
static gboolean quiet;

static void run_queued (SoakServer *s);

/* Sets the function that is called for each request that arrives. */
void
soak_servers_set_arrival_callback (void (*arrived) (SoakServer *s,
                                                    const char *id,
                                                    const char *peer))
{
  on_arrival = arrived;
}

/* Sets the function that is called when a server asks for a rest. */
void
soak_servers_set_rest_callback (void (*rest) (SoakServer *s, const char *peer,
                                              guint rest_s))
{
  on_rest = rest;
}

/* Sets the function that is called when a server starts to run a request. */
void
soak_servers_set_run_callback (void (*ran) (const char *id, const char *pool,
                                            const char *target))
{
  on_run = ran;
}

/* Returns a server of POOL that is not started.  It owns keys if KEYED, listens
 * on REAL and announces the address FRONT. */
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

/* Returns the time for which S is still cold, ms. */
static gint64
cold_ms_left (const SoakServer *s)
{
  return MAX (s->cold_until - cc_clock_now (), 0) / CC_MS;
}

/* Writes the row of S to the store: its address, state and capacity. */
static void
write_server_row (SoakServer *s)
{
  g_autofree char *value = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":%" G_GINT64_FORMAT
      ",\"info\":{\"service\":\"%s\",\"zone\":\"%s\",\"slots\":%d,"
      "\"version\":\"1\"},\"status\":{\"state\":\"%s\",\"sequence\":%u,"
      "\"warmupLeftMs\":%" G_GINT64_FORMAT "}}",
      s->front, s->started_at_ms, s->pool, s->zone, SLOTS,
      s->draining ? "draining" : "ready", s->heartbeats_sent++,
      cold_ms_left (s));

  soak_table_put ("servers", s->id, value);
}

/* Renews the row of a server. */
static gboolean
on_heartbeat (gpointer data)
{
  write_server_row (data);
  return G_SOURCE_CONTINUE;
}

/* Whether J has a slot. */
static gboolean
is_running (const Job *j)
{
  return j->timer != 0;
}

/* Returns the number of jobs that run. */
static guint
running_count (const SoakServer *s)
{
  guint n = 0;

  for (guint i = 0; i < s->jobs->len; i++)
    n += is_running (s->jobs->pdata[i]);
  return n;
}

/* Makes S name a limit of RATE requests a second. */
void
soak_server_set_limit (SoakServer *s, double rate)
{
  s->limit = rate;
}

/* Makes S state that it is cold for MS from now on: in its responses to probes
 * at once, and in its row with the next heartbeat. */
void
soak_server_set_cold (SoakServer *s, guint ms)
{
  s->cold_until = cc_clock_now () + ms * CC_MS;
}

/* Makes S refuse all requests, and ask each gateway for none for REST_S
 * seconds; 0: it takes requests. */
void
soak_server_set_rest (SoakServer *s, guint rest_s)
{
  s->rest_s = rest_s;
}

/* Makes S refuse SHARE of the requests that it could run, each twice. */
void
soak_server_set_refusals (SoakServer *s, double share)
{
  s->refusals = share;
}

/* Makes S say in its answers that it leaves, as one does whose row the store
 * does not take. */
void
soak_server_say_leaving (SoakServer *s)
{
  s->leaving = TRUE;
}

/* Makes servers that drain tell that by their rows alone. */
void
soak_servers_set_quiet (gboolean is_quiet)
{
  quiet = is_quiet;
}

/* Returns the id of S. */
const char *
soak_server_id (const SoakServer *s)
{
  return s->id;
}

/* Returns the address of S at the relay. */
const char *
soak_server_front (const SoakServer *s)
{
  return s->front;
}

/* Returns the id of S and the number of its start. */
const char *
soak_server_incarnation (const SoakServer *s)
{
  return s->incarnation;
}

/* Whether S names a limit. */
gboolean
soak_server_has_limit (const SoakServer *s)
{
  return s->limit > 0;
}

/* Names the request of M in its response. */
static void
echo_id (SoupServerMessage *m)
{
  const char *id = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), "X-Request-Id");

  if (id != NULL)
    soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                  "X-Request-Id", id);
}

/* Responds to M with the headers of the protocol: the request's id, the load of
 * S and its signature. */
static void
respond (SoakServer *s, SoupServerMessage *m, guint status, const char *body)
{
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);
  g_autofree char *load = g_strdup_printf (
      "%u,%u,%d", running_count (s), s->jobs->len - running_count (s), SLOTS);

  echo_id (m);
  soup_message_headers_replace (h, "X-Server-Load", load);
  soup_message_headers_replace (h, "X-Response-Signature", s->id);
  if ((s->draining && !quiet) || s->leaving)
    soup_message_headers_replace (h, "Server-Leaving", "1");
  if (s->limit > 0)
    {
      char rate[G_ASCII_DTOSTR_BUF_SIZE];

      g_ascii_formatd (rate, sizeof rate, "%.2f", s->limit);
      soup_message_headers_replace (h, "Server-Limit", rate);
    }
  cc_http_answer (m, status, "text/plain", body);
}

/* Returns how many probes S has responded to since it started. */
guint
soak_server_probes (const SoakServer *s)
{
  return s->probes;
}

/* Responds to M, a probe of the health of S. */
static void
respond_health (SoakServer *s, SoupServerMessage *m)
{
  g_autofree char *left =
      g_strdup_printf ("%" G_GINT64_FORMAT, cold_ms_left (s));

  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                "X-Warmup-Ms", left);
  s->probes++;
  respond (s, m, 200, "healthy");
}

/* Rejects M, marked as not executed. */
static void
refuse (SoakServer *s, SoupServerMessage *m, guint status)
{
  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                "X-Not-Executed", "1");
  if (s->refusals > 0)
    soak_copy_keep (m, status);
  respond (s, m, status, "");
}

/* Rejects M, and asks its sender for a rest. */
static void
refuse_for_rest (SoakServer *s, SoupServerMessage *m)
{
  g_autofree char *rest = g_strdup_printf ("%u", s->rest_s);

  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                "Retry-After", rest);
  refuse (s, m, 503);
  if (on_rest != NULL)
    on_rest (s, soup_server_message_get_remote_host (m), s->rest_s);
}

/* Closes the connection of M without a response. */
static void
close_connection (SoupServerMessage *m)
{
  g_socket_shutdown (soup_server_message_get_socket (m), TRUE, TRUE, NULL);
  cc_http_answer (m, 500, "text/plain", "");
}

/* Removes J from its server and frees it; the response must be set. */
static void
job_free (Job *j)
{
  g_ptr_array_remove (j->server->jobs, j);
  g_object_unref (j->message);
  g_free (j->id);
  g_free (j);
}

/* Whether a job for a key from FROM to TO runs. */
static gboolean
has_running_work (const SoakServer *s, guint from, guint to)
{
  for (guint i = 0; i < s->jobs->len; i++)
    {
      const Job *j = s->jobs->pdata[i];

      if (is_running (j) && j->key >= (gint32) from && j->key <= (gint32) to)
        return TRUE;
    }
  return FALSE;
}

/* Responds to each release whose keys have no running work left. */
static void
finish_releases (SoakServer *s)
{
  for (guint i = s->releases->len; i-- > 0;)
    {
      Release *r = s->releases->pdata[i];

      if (has_running_work (s, r->from, r->to))
        continue;
      soup_message_headers_replace (
          soup_server_message_get_response_headers (r->message), "X-Handoff",
          "h0");
      echo_id (r->message);
      cc_http_answer (r->message, 200, "application/json", "{}");
      soup_server_message_unpause (r->message);
      g_object_unref (r->message);
      g_ptr_array_remove_index (s->releases, i);
      g_free (r);
    }
}

/* In the modes that affect responses, gives half of the jobs that ran no
 * response or that of another request.  Returns FALSE if J must get its own. */
static gboolean
respond_wrongly (Job *j)
{
  SoakServer *s = j->server;

  if ((s->mode != SOAK_SERVER_DROPS_RESPONSES &&
       s->mode != SOAK_SERVER_MIXES_RESPONSES) ||
      g_random_boolean ())
    return FALSE;
  if (s->mode == SOAK_SERVER_DROPS_RESPONSES)
    {
      close_connection (j->message);
      return TRUE;
    }
  respond (s, j->message, 200, "done another");
  soup_message_headers_replace (
      soup_server_message_get_response_headers (j->message), "X-Request-Id",
      "another");
  return TRUE;
}

/* Makes answers to requests for paths that begin with PREFIX, which is kept,
 * SIZE bytes long. */
void
soak_servers_set_large_answers (const char *prefix, gsize size)
{
  large.prefix = prefix;
  large.size = size;
}

/* Returns the body of the answer to J, to be freed. */
static char *
answer_body (const Job *j)
{
  g_autofree char *target = cc_http_target (j->message);
  g_autofree char *body = g_strconcat ("done ", j->id, NULL);
  g_autofree char *filler = NULL;

  if (large.prefix == NULL || !g_str_has_prefix (target, large.prefix))
    return g_steal_pointer (&body);
  filler = g_strnfill (large.size, 'd');
  return g_strconcat (body, " ", filler, NULL);
}

/* Responds to a job whose work is done, with status 500 if the grant of its key
 * has expired meanwhile, and runs the next ones. */
static gboolean
on_work_done (gpointer data)
{
  Job *j = data;
  SoakServer *s = j->server;
  g_autofree char *body = answer_body (j);
  gboolean expired = s->keyed && s->until[j->key] <= cc_clock_now ();
  gboolean is_gone = FALSE;

  if (!respond_wrongly (j))
    {
      respond (s, j->message, expired ? 500 : 200, expired ? "" : body);
      is_gone = soak_answer_spoil (j->message, &s->answer_fault);
    }
  if (!is_gone)
    soup_server_message_unpause (j->message);
  job_free (j);
  finish_releases (s);
  run_queued (s);
  return G_SOURCE_REMOVE;
}

/* Whether S may run requests for KEY now. */
static gboolean
may_run (const SoakServer *s, gint32 key)
{
  return !s->keyed || (key >= 0 && s->until[key] > cc_clock_now ());
}

/* A server that was crashed by a request, until it starts again. */
typedef struct
{
  SoakServer *server;
  gboolean same_id;
} Restart;

static gboolean
on_restart (gpointer data)
{
  Restart *r = data;

  fatal.back++;
  soak_server_start (r->server, r->same_id);
  g_free (r);
  return G_SOURCE_REMOVE;
}

/* A request that crashes DATA, a server, has run long enough. */
static gboolean
on_fatal (gpointer data)
{
  SoakServer *s = data;
  Restart *r;

  if (s->http == NULL)
    return G_SOURCE_REMOVE;
  r = g_new0 (Restart, 1);
  r->server = s;
  r->same_id = fatal.same_id;
  fatal.crashed++;
  soak_audit_log ("%s is crashed by a request", s->incarnation);
  soak_server_crash (s);
  g_timeout_add (fatal.back_ms, on_restart, r);
  return G_SOURCE_REMOVE;
}

/* Returns how many servers requests have crashed. */
guint
soak_servers_crashed (guint *started, guint *back)
{
  *started = fatal.started;
  *back = fatal.back;
  return fatal.crashed;
}

/* Makes requests for paths that end in PATH crash the servers that start to run
 * them; NULL: no request does. */
void
soak_servers_set_fatal_path (const char *path, guint back_ms, gboolean same_id)
{
  g_free (fatal.path);
  fatal.path = g_strdup (path);
  fatal.back_ms = back_ms;
  fatal.same_id = same_id;
}

/* Starts to run J and reports that to the checks. */
static void
start_work (SoakServer *s, Job *j)
{
  guint work_ms = (guint) g_random_int_range (WORK_MIN_MS, WORK_MAX_MS);

  g_autofree char *target = cc_http_target (j->message);

  soak_audit_started (j->id, s->pool, s->incarnation);
  if (on_run != NULL)
    on_run (j->id, s->pool, target);
  if (s->mode == SOAK_SERVER_SLOW)
    work_ms *= SLOW_FACTOR;
  if (fatal.path != NULL && g_str_has_suffix (target, fatal.path))
    {
      fatal.started++;
      work_ms = 2 * FATAL_MS;
      g_timeout_add (FATAL_MS, on_fatal, s);
    }
  j->timer = g_timeout_add (work_ms, on_work_done, j);
}

/* Starts queued jobs while slots are free.  Rejects those whose key has been
 * released (421) or whose deadline is over (503). */
static void
run_queued (SoakServer *s)
{
  for (guint i = 0; i < s->jobs->len && running_count (s) < SLOTS; i++)
    {
      Job *j = s->jobs->pdata[i];

      if (is_running (j))
        continue;
      if (may_run (s, j->key) && cc_clock_now () < j->deadline)
        {
          start_work (s, j);
          continue;
        }
      refuse (s, j->message, may_run (s, j->key) ? 503 : 421);
      soup_server_message_unpause (j->message);
      job_free (j);
      i--;
    }
}

/* Queues a request, or rejects it if it is malformed (400), for a key that is
 * not granted (421), or if the queue is full (503). */
static void
on_request (SoakServer *s, SoupServerMessage *m)
{
  SoupMessageHeaders *h = soup_server_message_get_request_headers (m);
  const char *id = soup_message_headers_get_one (h, "X-Request-Id");
  const char *key = soup_message_headers_get_one (h, "X-Shard-Key");
  const char *time_left = soup_message_headers_get_one (h, "X-Deadline-Ms");
  gint32 number = key != NULL ? atoi (key) : -1;
  Job *j;

  if (on_arrival != NULL && id != NULL)
    on_arrival (s, id, soup_server_message_get_remote_host (m));
  if (id == NULL || time_left == NULL)
    {
      refuse (s, m, 400);
      return;
    }
  if (may_run (s, number) && g_random_double () < s->refusals)
    {
      static const guint statuses[] = { 503, 503, 429, 421 };

      refuse (s, m, statuses[g_random_int_range (0, G_N_ELEMENTS (statuses))]);
      return;
    }
  if (may_run (s, number) && s->rest_s > 0)
    {
      refuse_for_rest (s, m);
      return;
    }
  if (!may_run (s, number) || s->jobs->len >= SLOTS + QUEUE_MAX)
    {
      refuse (s, m, may_run (s, number) ? 503 : 421);
      return;
    }
  j = g_new0 (Job, 1);
  j->server = s;
  j->message = g_object_ref (m);
  j->id = g_strdup (id);
  j->key = number;
  j->deadline = cc_clock_now () + (gint64) atoi (time_left) * CC_MS;
  g_ptr_array_add (s->jobs, j);
  soup_server_message_pause (m);
  run_queued (s);
}

/* A request of the granter, to grant or to release keys. */
typedef struct
{
  SoakServer *server;
  char *incarnation; /* of the server when the request arrived */
  guint from, to;
  guint64 fence;
  gint64 until; /* us */
} Grant;

/* Parses the body of a grant or release. */
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
  g->incarnation = g_strdup (s->incarnation);
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
  g_free (g->incarnation);
  g_free (g);
}

/* Applies G.  Returns FALSE if a higher fence was received for one of its
 * keys. */
static gboolean
apply_grant (const Grant *g)
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
    soak_audit_granted (g->from, g->to, s->incarnation, g->fence, g->until);
  return TRUE;
}

/* Applies a delayed grant unless the server has exited since. */
static gboolean
on_late_grant (gpointer data)
{
  Grant *g = data;

  if (g->server->http != NULL &&
      g_str_equal (g->incarnation, g->server->incarnation))
    (void) apply_grant (g);
  grant_free (g);
  return G_SOURCE_REMOVE;
}

/* Handles a grant.  In the mode for late grants, half of them are applied later
 * and get no response. */
static void
on_grant (SoakServer *s, SoupServerMessage *m)
{
  Grant *g = read_grant (s, m);

  if (s->mode == SOAK_SERVER_LATE_GRANTS && g_random_boolean ())
    {
      g_timeout_add (
          (guint) g_random_int_range (LATE_GRANT_MIN_MS, LATE_GRANT_MAX_MS),
          on_late_grant, g);
      soup_server_message_pause (m); /* never resumed */
      return;
    }
  echo_id (m);
  cc_http_answer (m, apply_grant (g) ? 200 : 409, "application/json", "{}");
  grant_free (g);
}

/* Handles a release: ends the grants at once, and responds when the running
 * work for the keys is done. */
static void
on_release (SoakServer *s, SoupServerMessage *m)
{
  Grant *g = read_grant (s, m);
  Release *r = g_new0 (Release, 1);

  for (guint k = g->from; k <= g->to; k++)
    s->until[k] = 0;
  soak_audit_released (g->from, g->to, s->incarnation);
  r->message = g_object_ref (m);
  r->from = g->from;
  r->to = g->to;
  g_ptr_array_add (s->releases, r);
  soup_server_message_pause (m);
  finish_releases (s);
  grant_free (g);
}

/* Dispatches a request.  One meant for another instance gets status 421. */
static void
on_http_request (SoupServer *server, SoupServerMessage *m, const char *path,
                 GHashTable *query, gpointer data)
{
  SoakServer *s = data;
  const char *target_instance = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), "X-Target-Instance");

  (void) server, (void) query;
  soak_copy_send (m);
  /* The connection was opened to the previous incarnation. */
  if (s->http != server)
    close_connection (m);
  else if (target_instance != NULL && !g_str_equal (target_instance, s->id))
    refuse (s, m, 421);
  else if (g_str_equal (path, "/v1/grant"))
    on_grant (s, m);
  else if (g_str_equal (path, "/v1/release"))
    on_release (s, m);
  else if (g_str_equal (path, SOAK_SERVER_HEALTH_PATH))
    respond_health (s, m);
  else
    on_request (s, m);
}

/* Starts S unless it runs, with its previous id if SAME_ID.  It has no state
 * from before: neither grants nor fences. */
void
soak_server_start (SoakServer *s, gboolean same_id)
{
  g_autofree char *message = NULL;

  if (s->http != NULL)
    return;
  s->starts++;
  s->started_at_ms = cc_clock_wall () / CC_MS;
  if (s->id == NULL || !same_id)
    {
      g_free (s->id);
      s->id = g_strdup_printf ("s%u-%u", s->index, s->starts);
    }
  g_free (s->incarnation);
  s->incarnation = g_strdup_printf ("%s.%u", s->id, s->starts);
  s->mode = SOAK_SERVER_HEALTHY;
  s->answer_fault = (SoakAnswerFault){ 0 };
  s->limit = 0;
  s->cold_until = 0;
  s->refusals = 0;
  s->rest_s = 0;
  s->leaving = FALSE;
  s->probes = 0;
  s->draining = FALSE;
  memset (s->until, 0, sizeof s->until);
  memset (s->fence, 0, sizeof s->fence);
  s->http = cc_http_server_new ();
  soup_server_add_handler (s->http, NULL, on_http_request, s, NULL);
  if (!cc_http_listen (s->http, s->real, &message))
    g_error ("soak: %s", message);
  write_server_row (s);
  s->heartbeat_timer = g_timeout_add (HEARTBEAT_MS, on_heartbeat, s);
}

/* Closes the connections of S with all its jobs and releases, and ends its
 * incarnation. */
static void
shut_down (SoakServer *s)
{
  g_source_remove (s->heartbeat_timer);
  if (s->exit_timer != 0)
    g_source_remove (s->exit_timer);
  s->heartbeat_timer = s->exit_timer = 0;
  while (s->jobs->len > 0)
    {
      Job *j = s->jobs->pdata[0];

      if (is_running (j))
        g_source_remove (j->timer);
      close_connection (j->message);
      soup_server_message_unpause (j->message);
      job_free (j);
    }
  while (s->releases->len > 0)
    {
      Release *r = g_ptr_array_remove_index (s->releases, 0);

      close_connection (r->message);
      soup_server_message_unpause (r->message);
      g_object_unref (r->message);
      g_free (r);
    }
  soup_server_disconnect (s->http);
  g_clear_object (&s->http);
  soak_audit_server_exited (s->incarnation);
}

/* A row in the store that is not renewed any more. */
typedef struct
{
  SoakServer *server;
  char *id;
} StaleRow;

/* Deletes a row unless the server runs again with the same id. */
static gboolean
on_row_expired (gpointer data)
{
  StaleRow *row = data;

  if (row->server->http == NULL || !g_str_equal (row->server->id, row->id))
    soak_table_delete ("servers", row->id);
  g_free (row->id);
  g_free (row);
  return G_SOURCE_REMOVE;
}

/* Deletes the row of S after MS unless it runs again. */
static void
expire_row_after (SoakServer *s, guint ms)
{
  StaleRow *row = g_new0 (StaleRow, 1);

  row->server = s;
  row->id = g_strdup (s->id);
  g_timeout_add (ms, on_row_expired, row);
}

/* Terminates S without notice.  Its row expires after three heartbeats unless
 * it is back with the same id. */
void
soak_server_crash (SoakServer *s)
{
  if (s->http == NULL)
    return;
  expire_row_after (s, 3 * HEARTBEAT_MS);
  shut_down (s);
}

/* Ends a drained server, and deletes its row at once. */
static gboolean
on_drained (gpointer data)
{
  SoakServer *s = data;

  s->exit_timer = 0;
  expire_row_after (s, 1);
  shut_down (s);
  return G_SOURCE_REMOVE;
}

/* Lists S as draining.  It goes on serving for DRAIN_MS and exits. */
void
soak_server_drain (SoakServer *s)
{
  if (s->http == NULL || s->draining)
    return;
  s->draining = TRUE;
  write_server_row (s);
  s->exit_timer = g_timeout_add (DRAIN_MS, on_drained, s);
}

/* Sets the mode of S, until its next start. */
void
soak_server_set_mode (SoakServer *s, SoakServerMode mode)
{
  s->mode = mode;
}

/* Sets what S does to its answers, until its next start. */
void
soak_server_set_answer_fault (SoakServer *s, const SoakAnswerFault *f)
{
  s->answer_fault = *f;
}

/* Whether S runs; a draining server does. */
gboolean
soak_server_is_up (const SoakServer *s)
{
  return s->http != NULL;
}
