/* Each request has an id of its own and goes to a gateway drawn by lot, on a
 * connection that is kept; what comes back is audited. */
#include "demo_caller.h"

#include "clock.h"
#include "http_link.h"
#include "soak.h"

#define DEADLINE_MS 1500
#define ANSWER_WITHIN (2500 * CC_MS)
#define CONNECT_WITHIN (1000 * CC_MS)
#define KEEP (6 * CC_SECOND)
#define TICK_MS 10

/* What callers ask for; routes of the demo's configuration. */
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

/* No connection could be opened, as to a gateway that was killed. */
static gboolean
on_unsent (gpointer call)
{
  CcHttpResult r = { .end = CC_HTTP_UNSENT };

  on_done (&r, call);
  return G_SOURCE_REMOVE;
}

static gint32
draw_key (void)
{
  if (g_random_int_range (0, 100) < (gint32) callers->hot_percent)
    return callers->hot_key;
  return g_random_int_range (0, SOAK_KEYS);
}

static void
ask (void)
{
  static guint64 next_id;
  guint k = (guint) g_random_int_range (0, G_N_ELEMENTS (kinds));
  guint n = g_strv_length (callers->gateways);
  g_autoptr (GString) head = g_string_new (NULL);
  g_autoptr (GBytes) body = g_bytes_new_static ("x", 1);
  Call *c = g_new0 (Call, 1);
  CcHttpRequest o = { .connect_timeout = CONNECT_WITHIN,
                      .answer_timeout = ANSWER_WITHIN,
                      .idle_max = KEEP };

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
    g_idle_add (on_unsent, c);
}

static gboolean
on_tick (gpointer unused)
{
  static guint due;

  for (due += per_tick_permille; due >= 1000; due -= 1000)
    ask ();
  return G_SOURCE_CONTINUE;
}

/* C asks from now on, PER_SECOND times, from the address IP. */
void
demo_callers_start (DemoCallers *c, const char *ip, guint per_second)
{
  callers = c;
  http = cc_http_new (ip);
  per_tick_permille = per_second * TICK_MS;
  timer = g_timeout_add (TICK_MS, on_tick, NULL);
}

/* Nothing more is asked. */
void
demo_callers_stop (void)
{
  g_source_remove (timer);
}
