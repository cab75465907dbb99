/* Callers: each request has an id of its own, goes to a gateway drawn by lot,
 * on a new connection or on one kept open, and what comes back is audited.
 * Host and path are written in all forms that HTTP allows. */
#include "clock.h"
#include "http_link.h"
#include "soak.h"

#define DEADLINE_MS 1500
#define ANSWER_WITHIN (2500 * CC_MS)
#define CONNECT_WITHIN (1000 * CC_MS)
#define KEEP (6 * CC_SECOND)
#define TICK_MS 10
#define PROBE_EACH 4 /* a probe in one tick of so many */

/* What callers ask for. */
static const struct
{
  const char *method, *prefix;
  gboolean once;
} kinds[] = { { "GET", "/look/", FALSE },
              { "POST", "/book/", TRUE },
              { "PUT", "/change/", TRUE },
              { "GET", "/list/", FALSE } };

/* Ways to write a port and the rest of a path, which mean the same route. */
static const char *const ports[] = { "", "", ":80", ":7100", ":" };
static const char *const tails[] = { "%s",      "%s?q=/n1/a/&x=%%2F",
                                     "%s?",     "%s/a//b",
                                     "a%%2F%s", "~%s;v=1,@:$!'()*+" };

static char **gateways; /* addresses */
static CcHttp *http;
static guint per_tick_permille;
static guint factor = 1;
static guint timer;
static guint64 next_id;
static guint waiting;

static void
on_done (const CcHttpResult *r, gpointer data)
{
  g_autofree char *id = data;
  guint status = r->end == CC_HTTP_ANSWERED ? r->status : 0;
  g_autofree char *body = r->end == CC_HTTP_ANSWERED
                              ? g_strndup (g_bytes_get_data (r->body, NULL),
                                           g_bytes_get_size (r->body))
                              : g_strdup ("");

  waiting--;
  soak_probe_answered (id, status);
  soak_audit_answered (id, status, body);
}

/* HOST in some of the forms that mean the same. */
static char *
write_host (const char *host)
{
  g_autofree char *name =
      g_random_boolean () ? g_ascii_strup (host, -1) : g_strdup (host);

  if (g_random_boolean ())
    name[0] = g_ascii_toupper (name[0]);
  return g_strconcat (name, ports[g_random_int_range (0, G_N_ELEMENTS (ports))],
                      NULL);
}

/* The request line and headers of METHOD for HOST and TARGET. */
static GString *
write_head (const char *method, const char *host, const char *target)
{
  GString *head = g_string_new (NULL);
  g_autofree char *name = write_host (host);
  gboolean whole = g_random_int_range (0, 10) == 0;

  g_string_append_printf (head, "%s %s%s%s HTTP/1.1\r\n", method,
                          whole ? "http://" : "", whole ? name : "", target);
  g_string_append_printf (head, "%s%s%s\r\n",
                          g_random_boolean () ? "Host:" : "hOST: \t", name,
                          g_random_boolean () ? "" : " ");
  return head;
}

static void
send_call (const char *method, const char *host, const char *target,
           gboolean once, gint32 key, const char *id)
{
  guint n = g_strv_length (gateways);
  guint gateway = (guint) g_random_int_range (0, (gint32) n);
  GString *head = write_head (method, host, target);
  g_autoptr (GBytes) body = g_bytes_new_static ("x", 1);
  CcHttpOrder o = { .address = gateways[gateway],
                    .connect_within = CONNECT_WITHIN,
                    .answer_within = ANSWER_WITHIN,
                    .idle_max = g_random_boolean () ? KEEP : 0 };

  g_string_append_printf (head,
                          "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                          "X-Shard-Key: %d\r\n",
                          id, DEADLINE_MS, key);
  o.head = head->str;
  o.body = once ? body : NULL;
  soak_probe_sent (gateway, id, host, target);
  waiting += cc_http_send (http, &o, on_done, g_strdup (id)) != NULL;
  g_string_free (head, TRUE);
}

/* A request of a kind that is always served. */
static void
send_usual (void)
{
  guint k = (guint) g_random_int_range (0, G_N_ELEMENTS (kinds));
  /* Half of the keys asked for lie in a sixteenth of them. */
  gint32 key =
      g_random_int_range (0, g_random_boolean () ? SOAK_KEYS : SOAK_KEYS / 16);
  g_autofree char *id = g_strdup_printf ("q%" G_GUINT64_FORMAT, next_id++);
  g_autofree char *target = g_strconcat (kinds[k].prefix, id, NULL);

  soak_audit_sent (id, kinds[k].once);
  send_call (kinds[k].method, "a.example", target, kinds[k].once, key, id);
}

/* A request that some configurations may allow. */
static void
send_probe (void)
{
  g_autofree char *id = g_strdup_printf ("p%" G_GUINT64_FORMAT, next_id++);
  g_autoptr (GString) target = g_string_new (NULL);
  g_autofree char *path = NULL;
  const char *host;

  soak_config_draw_target (&host, &path);
  g_string_append (target, path);
  g_string_append_printf (
      target, tails[g_random_int_range (0, G_N_ELEMENTS (tails))], id);
  send_call ("GET", host, target->str, FALSE, g_random_int_range (0, SOAK_KEYS),
             id);
}

static gboolean
on_tick (gpointer unused)
{
  static guint due;

  (void) unused;
  for (due += per_tick_permille * factor; due >= 1000; due -= 1000)
    send_usual ();
  if (g_random_int_range (0, PROBE_EACH) == 0)
    send_probe ();
  return G_SOURCE_CONTINUE;
}

/* Asks ADDRESSES, of the gateways, from now on, PER_SECOND times, from IP. */
void
soak_callers_start (char **addresses, const char *ip, guint per_second)
{
  gateways = addresses;
  http = cc_http_new (ip);
  per_tick_permille = per_second * TICK_MS;
  timer = g_timeout_add (TICK_MS, on_tick, NULL);
}

/* From now on FACTOR times as many. */
void
soak_callers_burst (guint now)
{
  factor = now;
}

/* Nothing more is asked. */
void
soak_callers_stop (void)
{
  g_source_remove (timer);
}

/* Requests without an answer. */
guint
soak_callers_pending (void)
{
  return waiting;
}
