/* Callers: each request has an id of its own, goes to a gateway drawn by lot,
 * on a new connection or on one kept open, and what comes back is audited. */
#include <string.h>

#include "clock.h"
#include "headers.h"
#include "http_link.h"
#include "soak.h"

#define DEADLINE_MS 1500
#define ANSWER_WITHIN (2500 * CC_MS)
#define CONNECT_WITHIN (1000 * CC_MS)
#define KEEP (6 * CC_SECOND)
#define TICK_MS 10

/* What callers ask for. */
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
  char *gateway;
  int route; /* that was probed; -1: none */
  gint64 asked;
} Call;

static SoakCallers *callers;
static CcHttp *http;
static GHashTable *seen_routes; /* gateway to the newest route that it served */
static guint per_tick_permille;
static guint factor = 1;
static guint timer;
static guint64 next_id;
static guint waiting;
static gboolean strict;

static void
call_free (Call *c)
{
  g_free (c->id);
  g_free (c->gateway);
  g_free (c);
}

/* A run of a gateway that served a route goes on serving it. */
static void
check_route (const Call *c, guint status)
{
  gpointer seen;

  if (status == 0 || status == 503)
    return;
  if (status != 404)
    {
      g_hash_table_replace (seen_routes, g_strdup (c->gateway),
                            GINT_TO_POINTER (c->route));
      return;
    }
  if (strict)
    soak_audit_fail ("gateway %s does not know route %d", c->gateway, c->route);
  if (g_hash_table_lookup_extended (seen_routes, c->gateway, NULL, &seen) &&
      GPOINTER_TO_INT (seen) >= c->route)
    soak_audit_fail ("gateway %s served route %d and forgot it", c->gateway,
                     c->route);
}

static void
on_done (const CcHttpResult *r, gpointer data)
{
  Call *c = data;
  guint status = r->end == CC_HTTP_ANSWERED ? r->status : 0;
  g_autofree char *body = r->end == CC_HTTP_ANSWERED
                              ? g_strndup (g_bytes_get_data (r->body, NULL),
                                           g_bytes_get_size (r->body))
                              : g_strdup ("");

  waiting--;
  if (c->route >= 0)
    check_route (c, status);
  else
    soak_audit_answered (c->id, status, body);
  if (c->route < 0 && callers->ended != NULL)
    callers->ended (status, cc_clock_now () - c->asked, callers->data);
  call_free (c);
}

static void
send_call (const char *method, const char *path, gboolean once, gint32 key,
           int route)
{
  guint n = g_strv_length (callers->gateways);
  g_autoptr (GString) head = g_string_new (NULL);
  g_autoptr (GBytes) body = g_bytes_new_static ("x", 1);
  Call *c = g_new0 (Call, 1);
  CcHttpOrder o = { .connect_within = CONNECT_WITHIN,
                    .answer_within = ANSWER_WITHIN,
                    .idle_max = g_random_boolean () ? KEEP : 0 };

  c->id = g_strdup_printf ("q%" G_GUINT64_FORMAT, next_id++);
  c->gateway = g_strdup (callers->gateways[g_random_int_range (0, (gint32) n)]);
  c->route = route;
  c->asked = cc_clock_now ();
  g_string_append_printf (head,
                          "%s %s%s HTTP/1.1\r\nHost: a.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n",
                          method, path, c->id, c->id, DEADLINE_MS);
  if (key >= 0)
    g_string_append_printf (head, "X-Shard-Key: %d\r\n", key);
  o.address = c->gateway;
  o.head = head->str;
  o.body = once ? body : NULL;
  if (route < 0)
    soak_audit_asked (c->id, once);
  if (cc_http_send (http, &o, on_done, c) != NULL)
    waiting++;
  else
    call_free (c);
}

/* Half of the keys asked for lie in a sixteenth of them. */
static gint32
draw_key (void)
{
  if (callers->hot_percent > 0 &&
      g_random_int_range (0, 100) < (gint32) callers->hot_percent)
    return callers->hot_key;
  return g_random_int_range (0,
                             g_random_boolean () ? SOAK_KEYS : SOAK_KEYS / 16);
}

static gboolean
on_tick (gpointer data)
{
  static guint due;

  (void) data;
  for (due += per_tick_permille * factor; due >= 1000; due -= 1000)
    {
      guint k = (guint) g_random_int_range (0, G_N_ELEMENTS (kinds));
      gint32 key = draw_key ();

      send_call (kinds[k].method, kinds[k].prefix, kinds[k].once,
                 kinds[k].keyed ? key : -1, -1);
    }
  if (callers->routes > 0 && g_random_int_range (0, 10) == 0)
    {
      int route = g_random_int_range (0, (gint32) callers->routes);
      g_autofree char *path = g_strdup_printf ("/r%d/", route);

      send_call ("GET", path, FALSE, -1, route);
    }
  return G_SOURCE_CONTINUE;
}

/* C asks from now on, PER_SECOND times, from the address IP. */
void
soak_callers_start (SoakCallers *c, const char *ip, guint per_second)
{
  callers = c;
  http = cc_http_new (ip);
  seen_routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  per_tick_permille = per_second * TICK_MS;
  timer = g_timeout_add (TICK_MS, on_tick, NULL);
}

/* From now on FACTOR times as many. */
void
soak_callers_burst (guint now)
{
  factor = now;
}

/* The gateway at ADDRESS was ended: the next one knows nothing. */
void
soak_callers_forget (const char *address)
{
  g_hash_table_remove (seen_routes, address);
}

void
soak_callers_strict (void)
{
  strict = TRUE;
}

/* Nothing more is asked. */
void
soak_callers_stop (void)
{
  g_source_remove (timer);
}

/* Requests without an answer. */
guint
soak_callers_waiting (void)
{
  return waiting;
}
