/* Guards against an orderly stop that loses requests: a request that was passed
 * on and whose connection ends without the upstream's complete answer, a
 * request that was read whole and whose connection ends later without any
 * answer, a request told "not run" that ran, and a process that is not gone
 * when its grace period is over.  Real processes are stopped while callers send
 * and read in unfavourable ways. */
#define _GNU_SOURCE /* strcasestr */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <libsoup/soup.h>

#include "capercrank.h"
#include "clock.h"
#include "free_net.h"
#include "gateway_process.h"
#include "soak.h"

#define CALLERS_MAX 12
#define REQUESTS_MAX 4
#define SIGNALS_MAX 4
#define GRACE_MS 3500
#define SHORT_GRACE_MS 2000
/* A request that was sent so shortly before its connection ends may have
 * crossed the close. */
#define CROSSING_MS 200
#define LEAD_MS 400  /* from the start of a case to SIGTERM */
#define KEYS_MS 2000 /* until all keys are granted */
#define GIVE_UP_MS 8000
#define SOCKET_BUFFER 8192 /* of callers that read late, bytes */

/* Flags of a caller. */
#define KEPT 1u    /* the connection has served a request before */
#define KEYED 2u   /* the requests are for keys, which the upstream owns */
#define CHUNKED 4u /* the body has no length in advance */
#define QUEUED 8u  /* for an upstream that serves two at once, in up to 12 s */
#define HANGS 16u  /* the upstream does not answer in time */

/* Times are ms since SIGTERM. */
typedef struct
{
  gint at;        /* when the first bytes are sent */
  guint requests; /* sent at once on the connection */
  guint delay;    /* ms for which the upstream works on each */
  guint size;     /* of the answer, bytes */
  guint body;     /* bytes of each request's body; 0: none */
  gint body_at;   /* when the second half of the body is sent, if there is only
                     one request */
  gint read_from; /* when the answer is read; 0: at once */
  guint flags;
} Caller;

typedef struct
{
  const char *name;
  gboolean configures; /* a configuration is written 100 ms after SIGTERM */
  guint lead; /* ms from the "started" line to SIGTERM; 0: it is ready before */
  struct
  {
    gint at;
    int number;
  } signals[SIGNALS_MAX]; /* besides SIGTERM at 0 */
  Caller callers[CALLERS_MAX];
} Case;

static const Case cases[] = {
  { "requests in progress and on kept connections",
    FALSE,
    0,
    { { 0 } },
    { { -300, 1, 1500, 10, 0, 0, 0, 0 },
      { -100, 1, 1000, 10, 0, 0, 0, KEPT },
      { -5, 1, 300, 10, 0, 0, 0, KEPT },
      { 0, 1, 300, 10, 0, 0, 0, KEPT },
      { 5, 1, 300, 10, 0, 0, 0, KEPT },
      { 500, 1, 300, 10, 0, 0, 0, KEPT },
      { 1500, 1, 300, 10, 0, 0, 0, KEPT },
      { 2550, 1, 50, 10, 0, 0, 0, KEPT },
      { 2600, 1, 50, 10, 0, 0, 0, KEPT },
      { 2640, 1, 50, 10, 0, 0, 0, 0 } } },
  { "bodies that are still arriving",
    FALSE,
    0,
    { { 0 } },
    { { -100, 1, 100, 10, 100000, 200, 0, 0 },
      { -100, 1, 100, 10, 100000, 1500, 0, KEPT },
      { -100, 1, 600, 10, 100000, 1500, 0, 0 },
      { 100, 1, 100, 10, 100000, 2000, 0, KEPT },
      { 100, 1, 100, 10, 100000, 2580, 0, KEPT },
      { 100, 1, 100, 10, 100000, 2640, 0, KEPT },
      /* keeps the process until this upload is over */
      { 2400, 1, 50, 4000000, 0, 0, 3000, KEPT } } },
  { "answers to callers that read late",
    FALSE,
    0,
    { { 0 } },
    { { -100, 1, 50, 4000000, 0, 0, 1500, 0 },
      { -100, 1, 50, 4000000, 0, 0, 2500, KEPT },
      { 500, 1, 50, 4000000, 0, 0, 2000, KEPT },
      { -100, 1, 50, 200000, 0, 0, 3300, 0 } } },
  { "signals during the drain",
    FALSE,
    0,
    { { 20, SIGTERM }, { 200, SIGHUP }, { 400, SIGTERM }, { 450, SIGINT } },
    { { -100, 1, 1500, 10, 0, 0, 0, 0 },
      { 450, 1, 300, 10, 0, 0, 0, KEPT },
      { 1000, 1, 300, 10, 0, 0, 0, KEPT } } },
  { "a configuration while requests are in progress",
    TRUE,
    0,
    { { -50, SIGHUP }, { 0 } },
    { { -300, 1, 1000, 10, 0, 0, 0, 0 },
      { -300, 1, 1000, 10, 0, 0, 0, KEPT },
      { -10, 1, 500, 10, 0, 0, 0, KEPT },
      { 95, 1, 500, 10, 100000, 400, 0, 0 },
      { 600, 1, 300, 10, 0, 0, 0, KEPT } } },
  { "requests sent at once on one connection",
    FALSE,
    0,
    { { 0 } },
    { { -50, 3, 400, 10, 0, 0, 0, 0 },
      { -50, 2, 400, 10, 0, 0, 0, KEPT },
      { 2000, 4, 300, 10, 0, 0, 0, KEPT },
      { 2580, 4, 100, 10, 0, 0, 0, KEPT },
      { 2640, 4, 100, 10, 0, 0, 0, 0 },
      { -50, 3, 400, 10, 20000, 0, 0, 0 },
      { -50, 2, 400, 10, 100, 0, 0, KEPT },
      { 500, 3, 300, 10, 20000, 0, 0, CHUNKED | KEPT },
      { 500, 2, 400, 10, 0, 0, 0, KEPT },
      { -50, 2, 300, 4000000, 0, 0, 1500, 0 } } },
  { "requests for keys and bodies in chunks",
    FALSE,
    0,
    { { 0 } },
    { { -300, 1, 1500, 10, 0, 0, 0, KEYED },
      { -100, 1, 500, 10, 0, 0, 0, KEYED | KEPT },
      { 0, 1, 300, 10, 0, 0, 0, KEYED | KEPT },
      { 300, 1, 300, 10, 0, 0, 0, KEYED | KEPT },
      { 1500, 1, 300, 10, 0, 0, 0, KEYED },
      { 2590, 1, 50, 10, 0, 0, 0, KEYED | KEPT },
      { -100, 1, 100, 10, 100000, 300, 0, CHUNKED },
      { -100, 1, 100, 10, 100000, 1500, 0, CHUNKED | KEPT },
      { 100, 1, 100, 10, 100000, 2580, 0, CHUNKED | KEPT } } },
  { "1 ms after the start",
    FALSE,
    1,
    { { 0 } },
    { { -1, 1, 300, 10, 0, 0, 0, 0 },
      { 0, 1, 300, 10, 0, 0, 0, KEYED },
      { 5, 1, 300, 10, 0, 0, 0, 0 },
      { 100, 1, 300, 10, 100000, 400, 0, 0 },
      { 600, 3, 100, 10, 0, 0, 0, 0 },
      { 1000, 1, 300, 10, 0, 0, 0, KEYED } } },
  { "300 ms after the start",
    FALSE,
    300,
    { { 0 } },
    { { -1, 1, 300, 10, 0, 0, 0, 0 },
      { 0, 1, 300, 10, 0, 0, 0, KEYED },
      { 5, 1, 300, 10, 0, 0, 0, 0 },
      { 100, 1, 300, 10, 100000, 400, 0, 0 },
      { 600, 3, 100, 10, 0, 0, 0, 0 },
      { 1000, 1, 300, 10, 0, 0, 0, KEYED } } },
  { "700 ms after the start",
    FALSE,
    700,
    { { 0 } },
    { { -1, 1, 300, 10, 0, 0, 0, 0 },
      { 0, 1, 300, 10, 0, 0, 0, KEYED },
      { 5, 1, 300, 10, 0, 0, 0, 0 },
      { 100, 1, 300, 10, 100000, 400, 0, 0 },
      { 600, 3, 100, 10, 0, 0, 0, 0 },
      { 1000, 1, 300, 10, 0, 0, 0, KEYED } } },
};

/* Requests that a process can't answer before it has to be gone. */
static const Case late_cases[] = {
  { "requests that wait for an upstream",
    FALSE,
    0,
    { { 0 } },
    { { -200, 1, 1400, 10, 0, 0, 0, QUEUED },
      { -200, 1, 1400, 10, 0, 0, 0, QUEUED },
      { -100, 1, 1400, 10, 0, 0, 0, QUEUED },
      { -100, 1, 1400, 10, 0, 0, 0, QUEUED },
      { -100, 1, 1400, 10, 0, 0, 0, QUEUED },
      { -100, 1, 1400, 10, 0, 0, 0, QUEUED },
      { -100, 1, 1400, 10, 0, 0, 0, QUEUED },
      { -100, 1, 1400, 10, 0, 0, 0, QUEUED },
      { -100, 1, 1400, 10, 0, 0, 0, QUEUED },
      { -100, 1, 1400, 10, 0, 0, 0, QUEUED },
      { 300, 1, 1400, 10, 0, 0, 0, QUEUED } } },
  { "an upstream that does not answer",
    FALSE,
    0,
    { { 0 } },
    { { -100, 1, 60000, 10, 0, 0, 0, QUEUED | HANGS },
      { -100, 1, 60000, 10, 0, 0, 0, QUEUED | HANGS },
      { -50, 1, 300, 10, 0, 0, 0, QUEUED },
      { -50, 1, 300, 10, 0, 0, 0, KEPT } } },
  { "a request that takes longer than usual",
    FALSE,
    0,
    { { 0 } },
    { { 1000, 1, 1, 10, 0, 0, 0, KEPT },
      { 2400, 1, 2000, 10, 0, 0, 0, KEPT | HANGS } } },
  { "a process that is paused before the signal",
    FALSE,
    0,
    { { -50, SIGSTOP }, { 1500, SIGCONT } },
    { { -300, 1, 1000, 10, 0, 0, 0, 0 },
      { -100, 1, 300, 10, 0, 0, 0, KEPT },
      { 100, 1, 300, 10, 0, 0, 0, KEPT } } },
};

/* Played with SHORT_GRACE_MS. */
static const Case short_grace_cases[] = {
  { "a short grace period",
    FALSE,
    0,
    { { 0 } },
    { { -300, 1, 1000, 10, 0, 0, 0, 0 },
      { 500, 1, 300, 10, 0, 0, 0, KEPT },
      { 1000, 1, 300, 10, 0, 0, 0, KEPT },
      { 1300, 1, 300, 10, 0, 0, 0, KEPT },
      { 1450, 1, 300, 10, 0, 0, 0, KEPT },
      { 1550, 1, 300, 10, 0, 0, 0, KEPT } } },
  { "a short grace period, a request that takes longer than usual",
    FALSE,
    0,
    { { 0 } },
    { { 500, 1, 1, 10, 0, 0, 0, KEPT }, { 1200, 1, 440, 10, 0, 0, 0, KEPT } } },
};

/* What one caller has seen. */
typedef struct
{
  const Caller *setup;
  char *ids[REQUESTS_MAX];
  guint answers;              /* complete ones */
  guint status[REQUESTS_MAX]; /* of each answer */
  gint64 sent_at;             /* last byte, us */
  gint64 closed_at;           /* us */
  GThread *thread;
} Seen;

static struct
{
  guint net;
  char *folder, *log;
  GMainLoop *loop;
  GHashTable *ran; /* ids of requests that the upstream took */
  gint64 stop_at;  /* when SIGTERM is sent, us */
  GSubprocess *gateway;
  guint version;
  guint grace; /* of the processes, ms */
  guint cases;
  gint left; /* callers that run, atomic */
} w;

static char *
address_of (guint group, guint host, guint port)
{
  return g_strdup_printf ("127.%u.%u.%u:%u", w.net, group, host, port);
}

/* ---- upstream ---- */

typedef struct
{
  SoupServerMessage *message;
  guint size;
} Work;

static gboolean
on_work_done (gpointer data)
{
  Work *work = data;
  char *body = g_malloc (work->size);

  memset (body, 'x', work->size);
  soup_server_message_set_status (work->message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (work->message, "text/plain",
                                    SOUP_MEMORY_TAKE, body, work->size);
  soup_server_message_unpause (work->message);
  g_object_unref (work->message);
  g_free (work);
  return G_SOURCE_REMOVE;
}

/* Accepts grants and releases of keys. */
static void
on_grant (SoupServer *server, SoupServerMessage *m, const char *path,
          GHashTable *query, gpointer data)
{
  (void) server, (void) path, (void) query, (void) data;
  soup_server_message_set_status (m, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (m, "application/json", SOUP_MEMORY_STATIC,
                                    "{}", 2);
}

/* Serves /POOL/DELAY/SIZE/ID. */
static void
on_work (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  g_auto (GStrv) parts = g_strsplit (path, "/", -1);
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);
  Work *work = g_new0 (Work, 1);

  (void) server, (void) query, (void) data;
  assert_int_equal (g_strv_length (parts), 5);
  g_hash_table_add (w.ran, g_strdup (parts[4]));
  soup_message_headers_replace (h, "X-Response-Signature", "s");
  soup_message_headers_replace (
      h, "X-Request-Id",
      soup_message_headers_get_one (soup_server_message_get_request_headers (m),
                                    "X-Request-Id"));
  work->message = g_object_ref (m);
  work->size = (guint) g_ascii_strtoull (parts[3], NULL, 10);
  soup_server_message_pause (m);
  g_timeout_add ((guint) g_ascii_strtoull (parts[2], NULL, 10), on_work_done,
                 work);
}

static void
start_upstream (const char *pool, guint host, guint slots)
{
  SoupServer *server = soup_server_new (NULL, NULL);
  g_autofree char *address = address_of (3, host, 7200);
  g_autofree char *ip = g_strndup (address, strcspn (address, ":"));
  g_autoptr (GSocketAddress) at =
      g_inet_socket_address_new_from_string (ip, 7200);
  g_autofree char *row = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":1,\"info\":{\"service\":\"%s\",\"zone\":"
      "\"a\",\"slots\":%u},\"status\":{\"state\":\"ready\"}}",
      address, pool, slots);
  g_autofree char *path = g_strconcat ("/", pool, NULL);

  soup_server_add_handler (server, path, on_work, NULL, NULL);
  soup_server_add_handler (server, "/v1", on_grant, NULL, NULL);
  assert_true (soup_server_listen (server, at, 0, NULL));
  soak_table_put ("servers", pool, row);
}

/* ---- gateway ---- */

static gboolean
configure (gpointer data)
{
  g_autofree char *text = g_strdup_printf (
      "{\"version\":\"%08x\",\"services\":{\"free\":{\"sharding\":false},"
      "\"queue\":{\"sharding\":false},\"keys\":{\"sharding\":true}},"
      "\"routes\":{"
      "\"queue\":{\"host\":\"a.example\",\"prefix\":\"/queue/\","
      "\"kind\":\"unsafe\",\"service\":\"queue\",\"timeoutMs\":12000,"
      "\"targetLatencyMs\":8000,\"maxAttempts\":2},"
      "\"free\":{\"host\":\"a.example\",\"prefix\":\"/free/\","
      "\"kind\":\"unsafe\",\"service\":\"free\",\"timeoutMs\":2500,"
      "\"targetLatencyMs\":1000,\"maxAttempts\":2},"
      "\"keys\":{\"host\":\"a.example\",\"prefix\":\"/keys/\","
      "\"kind\":\"unsafe\",\"service\":\"keys\",\"timeoutMs\":2500,"
      "\"targetLatencyMs\":1000,\"maxAttempts\":2}}}",
      ++w.version);

  (void) data;
  soak_table_put ("op", "config", text);
  return G_SOURCE_REMOVE;
}

static gboolean
on_quit (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

static void
run_loop (guint ms)
{
  g_timeout_add (ms, on_quit, w.loop);
  g_main_loop_run (w.loop);
}

static gboolean
has_line (const char *event)
{
  g_autofree char *text = NULL;
  g_autofree char *name = g_strdup_printf ("\"%s\"", event);

  return g_file_get_contents (w.log, &text, NULL, NULL) &&
         strstr (text, name) != NULL;
}

/* Starts a gateway with an IP of its own for each case and waits until it knows
 * configuration and upstreams, or has only just started, as C demands. */
static void
start_gateway (const Case *c)
{
  g_autofree char *here = g_path_get_dirname (g_get_prgname ());
  g_autofree char *program =
      g_build_filename (here, "..", "capercrank-gateway", NULL);
  g_autofree char *instance = g_strdup_printf ("i%u", ++w.cases);
  g_autofree char *ip = g_strdup_printf ("127.%u.1.%u", w.net, w.cases);
  g_autofree char *table = address_of (0, 2, 7000);
  GatewayOptions options = { .program = program,
                             .instance = instance,
                             .zone = "a",
                             .ip = ip,
                             .table = table,
                             .grace = w.grace,
                             .log = w.log };

  (void) unlink (w.log);
  w.gateway = gateway_spawn (&options, NULL);
  for (guint i = 0; i < 5000; i++)
    {
      if (c->lead > 0
              ? has_line ("started")
              : has_line ("upstream") && has_line ("configuration-taken"))
        break;
      run_loop (c->lead > 0 ? 1 : 20);
    }
  assert_true (has_line ("started"));
  for (guint i = 0; i < G_N_ELEMENTS (c->callers); i++)
    if (c->lead == 0 && (c->callers[i].flags & KEYED) != 0)
      {
        run_loop (KEYS_MS);
        break;
      }
}

/* ---- callers ---- */

static void
sleep_until (gint64 at)
{
  gint64 now = cc_clock_now ();

  if (at > now)
    g_usleep ((gulong) (at - now));
}

static GSocket *
connect_gateway (const Caller *c)
{
  g_autofree char *address = address_of (1, w.cases, GATEWAY_LISTEN);
  g_autofree char *ip = g_strndup (address, strcspn (address, ":"));
  g_autoptr (GSocketAddress) at =
      g_inet_socket_address_new_from_string (ip, GATEWAY_LISTEN);
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  g_socket_set_timeout (s, GIVE_UP_MS / 1000);
  if (c->read_from > 0)
    g_socket_set_option (s, SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER, NULL);
  if (!g_socket_connect (s, at, NULL, NULL))
    g_clear_object (&s);
  return s;
}

static gboolean
send_bytes (GSocket *s, const char *bytes, gsize size)
{
  while (size > 0)
    {
      gssize n = g_socket_send (s, bytes, size, NULL, NULL);

      if (n <= 0)
        return FALSE;
      bytes += n;
      size -= (gsize) n;
    }
  return TRUE;
}

/* Reads one answer from S, after what BUFFER holds.  Returns its status, 0 if
 * the connection ends before it is complete. */
static guint
read_answer (GSocket *s, GString *buffer)
{
  char bytes[65536];

  for (;;)
    {
      const char *end = strstr (buffer->str, "\r\n\r\n");
      const char *length = strcasestr (buffer->str, "Content-Length: ");
      gssize n;

      if (end != NULL && length != NULL && length < end)
        {
          gsize whole = (gsize) (end + 4 - buffer->str) +
                        g_ascii_strtoull (length + 16, NULL, 10);

          if (buffer->len >= whole)
            {
              guint status =
                  (guint) g_ascii_strtoull (buffer->str + 9, NULL, 10);

              g_string_erase (buffer, 0, (gssize) whole);
              return status;
            }
        }
      n = g_socket_receive (s, bytes, sizeof bytes, NULL, NULL);
      if (n <= 0)
        return 0;
      g_string_append_len (buffer, bytes, n);
    }
}

static void
append_head (GString *out, const char *id, const Caller *c)
{
  gboolean keyed = (c->flags & KEYED) != 0, queued = (c->flags & QUEUED) != 0;

  g_string_append_printf (out,
                          "%s /%s/%u/%u/%s HTTP/1.1\r\nHost: a.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: %u\r\n",
                          c->body > 0 ? "POST" : "GET",
                          keyed    ? "keys"
                          : queued ? "queue"
                                   : "free",
                          c->delay, c->size, id, id, queued ? 12000 : 3000);
  if (keyed)
    g_string_append (out, "X-Shard-Key: 7\r\n");
  if (c->body > 0 && (c->flags & CHUNKED) != 0)
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
  else if (c->body > 0)
    g_string_append_printf (out, "Content-Length: %u\r\n", c->body);
  g_string_append (out, "\r\n");
}

/* Appends SIZE bytes of the body of a request of C. */
static void
append_body (GString *out, const Caller *c, gsize size)
{
  g_autofree char *body = g_strnfill (size, 'b');

  if ((c->flags & CHUNKED) != 0)
    g_string_append_printf (out, "%zx\r\n%s\r\n", size, body);
  else
    g_string_append (out, body);
}

/* Sends the requests of SEEN on S.  Returns FALSE if the connection ends. */
static gboolean
send_requests (GSocket *s, Seen *seen)
{
  const Caller *c = seen->setup;
  g_autoptr (GString) out = g_string_new (NULL);
  gsize half = c->requests == 1 ? c->body / 2 : 0;

  sleep_until (w.stop_at + c->at * CC_MS);
  for (guint i = 0; i < c->requests; i++)
    {
      append_head (out, seen->ids[i], c);
      if (c->requests > 1 && c->body > 0)
        append_body (out, c, c->body);
      if (c->requests > 1 && (c->flags & CHUNKED) != 0)
        g_string_append (out, "0\r\n\r\n");
    }
  if (half > 0)
    append_body (out, c, half);
  if (!send_bytes (s, out->str, out->len))
    return FALSE;
  if (half > 0)
    {
      sleep_until (w.stop_at + c->body_at * CC_MS);
      g_string_truncate (out, 0);
      append_body (out, c, c->body - half);
      if ((c->flags & CHUNKED) != 0)
        g_string_append (out, "0\r\n\r\n");
      if (!send_bytes (s, out->str, out->len))
        return FALSE;
    }
  seen->sent_at = cc_clock_now ();
  return TRUE;
}

static gpointer
run_caller (gpointer data)
{
  static const Caller first = { .delay = 1, .size = 1 };
  Seen *seen = data;
  const Caller *c = seen->setup;
  GSocket *s = NULL;
  g_autoptr (GString) buffer = g_string_new (NULL);
  guint status;

  if ((c->flags & KEPT) == 0)
    sleep_until (w.stop_at + c->at * CC_MS);
  s = connect_gateway (c);
  if (s != NULL && (c->flags & KEPT) != 0)
    {
      g_autoptr (GString) out = g_string_new (NULL);

      append_head (out, "first", &first);
      if (!send_bytes (s, out->str, out->len) || read_answer (s, buffer) != 200)
        g_clear_object (&s);
    }
  if (s != NULL && send_requests (s, seen))
    {
      if (c->read_from > 0)
        sleep_until (w.stop_at + c->read_from * CC_MS);
      while (seen->answers < c->requests &&
             (status = read_answer (s, buffer)) != 0)
        seen->status[seen->answers++] = status;
    }
  seen->closed_at = cc_clock_now ();
  g_clear_object (&s);
  g_atomic_int_add (&w.left, -1);
  return NULL;
}

/* ---- tests ---- */

static gboolean
on_signal (gpointer number)
{
  g_subprocess_send_signal (w.gateway, GPOINTER_TO_INT (number));
  return G_SOURCE_REMOVE;
}

/* Returns what is wrong with request I of SEEN, or NULL. */
static const char *
fault_of (const Seen *seen, guint i)
{
  gboolean ran = g_hash_table_contains (w.ran, seen->ids[i]);
  guint status = i < seen->answers ? seen->status[i] : 0;

  if (ran && status == 0)
    return "passed on, and no complete answer";
  if (ran && (seen->setup->flags & HANGS) != 0)
    return status == 502 || status == 504 ? NULL
                                          : "passed on, and a wrong answer";
  if (ran && status != 200)
    return "passed on, and an answer that is not the upstream's";
  if (!ran && status == 200)
    return "not run, and answered";
  if (!ran && status == 0 && seen->sent_at > 0 &&
      seen->closed_at > seen->sent_at + CROSSING_MS * CC_MS)
    return "sent whole, and no answer";
  return NULL;
}

static guint
check_caller (const Case *c, const Seen *seen, guint number)
{
  guint failed = 0;

  for (guint i = 0; i < seen->setup->requests; i++)
    {
      const char *fault = fault_of (seen, i);
      guint status = i < seen->answers ? seen->status[i] : 0;

      if (g_getenv ("VERBOSE") != NULL || fault != NULL)
        print_message ("# %s: caller %u, request %u: status %u, sent at %d, "
                       "closed at %d ms%s%s\n",
                       c->name, number, i, status,
                       seen->sent_at == 0
                           ? -1
                           : (int) ((seen->sent_at - w.stop_at) / CC_MS),
                       (int) ((seen->closed_at - w.stop_at) / CC_MS),
                       fault != NULL ? ": " : "", fault != NULL ? fault : "");
      failed += fault != NULL;
    }
  return failed;
}

/* Runs the callers and signals of C and waits until the callers have ended. */
static void
play (const Case *c, Seen *seen, guint count)
{
  guint lead = c->lead > 0 ? c->lead : LEAD_MS;

  w.stop_at = cc_clock_now () + lead * CC_MS;
  g_atomic_int_set (&w.left, (gint) count);
  g_timeout_add (lead, on_signal, GINT_TO_POINTER (SIGTERM));
  for (guint i = 0; i < SIGNALS_MAX && c->signals[i].number != 0; i++)
    g_timeout_add ((guint) ((gint) lead + c->signals[i].at), on_signal,
                   GINT_TO_POINTER (c->signals[i].number));
  if (c->configures)
    g_timeout_add (lead + 100, configure, NULL);
  for (guint i = 0; i < count; i++)
    {
      seen[i].setup = &c->callers[i];
      for (guint k = 0; k < c->callers[i].requests; k++)
        seen[i].ids[k] = g_strdup_printf ("c%u-%u-%u", w.cases, i, k);
      seen[i].thread = g_thread_new ("caller", run_caller, &seen[i]);
    }
  while (g_atomic_int_get (&w.left) > 0)
    run_loop (10);
  for (guint i = 0; i < count; i++)
    g_thread_join (seen[i].thread);
}

static guint
run_case (const Case *c)
{
  Seen seen[CALLERS_MAX] = { 0 };
  guint count = 0, failed = 0;

  while (count < CALLERS_MAX && c->callers[count].requests > 0)
    count++;
  start_gateway (c);
  play (c, seen, count);
  for (guint i = 0; i < count; i++)
    failed += check_caller (c, &seen[i], i);
  while (g_subprocess_get_identifier (w.gateway) != NULL &&
         cc_clock_now () < w.stop_at + w.grace * CC_MS)
    run_loop (10);
  if (g_subprocess_get_identifier (w.gateway) != NULL)
    {
      print_message ("# %s: not gone when the grace period is over\n", c->name);
      failed++;
    }
  g_subprocess_force_exit (w.gateway);
  g_subprocess_wait (w.gateway, NULL, NULL);
  if (!g_subprocess_get_if_exited (w.gateway) ||
      g_subprocess_get_exit_status (w.gateway) != 0)
    {
      print_message ("# %s: it ended by itself\n", c->name);
      failed++;
    }
  g_clear_object (&w.gateway);
  for (guint i = 0; i < count; i++)
    for (guint k = 0; k < REQUESTS_MAX; k++)
      g_free (seen[i].ids[k]);
  return failed;
}

static int
set_up (void **state)
{
  g_autofree char *table = NULL;

  (void) state;
  signal (SIGPIPE, SIG_IGN);
  w.net = free_net ();
  w.folder = g_dir_make_tmp ("stop-XXXXXX", NULL);
  w.log = g_build_filename (w.folder, "log", NULL);
  w.loop = g_main_loop_new (NULL, FALSE);
  w.ran = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  table = address_of (0, 2, 7000);
  soak_table_listen (table);
  configure (NULL);
  start_upstream ("free", 1, 50);
  start_upstream ("keys", 2, 50);
  start_upstream ("queue", 3, 2);
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  if (w.gateway != NULL)
    g_subprocess_force_exit (w.gateway);
  (void) unlink (w.log);
  (void) rmdir (w.folder);
  return 0;
}

/* Plays COUNT cases with processes whose grace period is GRACE, ms. */
static void
run_cases (const Case *all, guint count, guint grace)
{
  guint failed = 0;

  w.grace = grace;
  for (guint i = 0; i < count; i++)
    failed += run_case (&all[i]);
  assert_int_equal (failed, 0);
}

static void
a_stop_loses_no_request (void **state)
{
  (void) state;
  run_cases (cases, G_N_ELEMENTS (cases), GRACE_MS);
}

/* Guards against requests that are passed on although the process has to be
 * gone before their answers, and against callers that get no answer then. */
static void
requests_late_in_the_grace_are_answered (void **state)
{
  (void) state;
  run_cases (late_cases, G_N_ELEMENTS (late_cases), GRACE_MS);
}

/* Guards against a reserve before the end of the grace period that is fit only
 * for a long one. */
static void
a_stop_with_a_short_grace_loses_no_request (void **state)
{
  (void) state;
  run_cases (short_grace_cases, G_N_ELEMENTS (short_grace_cases),
             SHORT_GRACE_MS);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_stop_loses_no_request),
    cmocka_unit_test (requests_late_in_the_grace_are_answered),
    cmocka_unit_test (a_stop_with_a_short_grace_loses_no_request),
  };

  (void) argc;
  g_set_prgname (argv[0]);
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
