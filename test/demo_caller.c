/* Sends requests at a constant rate, each with a unique id and to a random
 * gateway, over keep-alive connections, and passes the answers to the audit. */
#include "demo_caller.h"

#include "clock.h"
#include "http_link.h"
#include "soak.h"

#define DEADLINE_MS 1500
#define ANSWER_WITHIN (2500 * CC_MS)
#define CONNECT_WITHIN (1000 * CC_MS)
#define IDLE_MAX (6 * CC_SECOND)
#define TICK_MS 10

/* The requests, drawn with equal probability; routes of the demo's
 * configuration. */
static const struct
{
  const char *method, *prefix;
  gboolean once, keyed;
} kinds[] = { { "GET", "/look/", FALSE, TRUE },
              { "POST", "/book/", TRUE, FALSE },
              { "PUT", "/change/", TRUE, TRUE },
              { "GET", "/list/", FALSE, FALSE } };

typedef struct
{
  char *id;
  gint64 asked;
} Call;

static DemoCallers *callers;
static CcHttp *http;
static guint per_tick_permille;
static guint timer;

static void
on_done (const CcHttpResult *r, gpointer data)
{
  Call *c = data;
  gboolean answered = r->end == CC_HTTP_ANSWERED;
  g_autofree char *body = answered
                              ? g_strndup (g_bytes_get_data (r->body, NULL),
                                           g_bytes_get_size (r->body))
                              : g_strdup ("");
  guint status = answered ? r->status : 0;

  soak_audit_answered (c->id, status, body);
  callers->ended (status, cc_clock_now () - c->asked);
  g_free (c->id);
  g_free (c);
}

/* No connection could be opened, as to a killed gateway. */
static gboolean
on_not_connected (gpointer call)
{
  CcHttpResult r = { .end = CC_HTTP_UNSENT };

  on_done (&r, call);
  return G_SOURCE_REMOVE;
}

/* Returns the hot key with the probability of the caller settings, or else any
 * key. */
static gint32
draw_key (void)
{
  if (g_random_int_range (0, 100) < (gint32) callers->hot_percent)
    return callers->hot_key;
  return g_random_int_range (0, SOAK_KEYS);
}

/* Sends one random request to a random gateway. */
static void
send_request (void)
{
  static guint64 next_id;
  guint k = (guint) g_random_int_range (0, G_N_ELEMENTS (kinds));
  guint n = g_strv_length (callers->gateways);
  g_autoptr (GString) head = g_string_new (NULL);
  g_autoptr (GBytes) body = g_bytes_new_static ("x", 1);
  Call *c = g_new0 (Call, 1);
  CcHttpRequest o = { .connect_timeout = CONNECT_WITHIN,
                      .answer_timeout = ANSWER_WITHIN,
                      .idle_max = IDLE_MAX };

  c->id = g_strdup_printf ("q%" G_GUINT64_FORMAT, next_id++);
  c->asked = cc_clock_now ();
  g_string_append_printf (head,
                          "%s %s%s HTTP/1.1\r\nHost: a.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n",
                          kinds[k].method, kinds[k].prefix, c->id, c->id,
                          DEADLINE_MS);
  if (kinds[k].keyed)
    g_string_append_printf (head, "X-Shard-Key: %d\r\n", draw_key ());
  o.address = callers->gateways[g_random_int_range (0, (gint32) n)];
  o.head = head->str;
  o.body = kinds[k].once ? body : NULL;
  soak_audit_sent (c->id, kinds[k].once);
  if (cc_http_send (http, &o, on_done, c) == NULL)
    g_idle_add (on_not_connected, c);
}

static gboolean
on_tick (gpointer unused)
{
  static guint due;

  for (due += per_tick_permille; due >= 1000; due -= 1000)
    send_request ();
  return G_SOURCE_CONTINUE;
}

/* Starts to send PER_SECOND requests a second for C, from the address IP. */
void
demo_callers_start (DemoCallers *c, const char *ip, guint per_second)
{
  callers = c;
  http = cc_http_new (ip);
  per_tick_permille = per_second * TICK_MS;
  timer = g_timeout_add (TICK_MS, on_tick, NULL);
}

/* Sends no further requests; those in flight complete. */
void
demo_callers_stop (void)
{
  g_source_remove (timer);
}
