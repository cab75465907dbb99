/* Guards against requests to upstreams that have said in an answer that they
 * leave, and to ones that have asked for rest.  Runs the real program: three
 * gateways with as many callers each. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "clock.h"
#include "fleet_test.h"

#define TICK_MS 8
#define DOWN_MS 7000
#define REST_MS 9000
#define REST_S 3
/* The bounds, see the rules of the platform: a request that was sent later than
 * DRAIN_TIME after its gateway has passed on an answer that tells of leaving;
 * REST_MOST requests from REST_BEGINS after a refusal on. */
#define DRAIN_TIME (2 * CC_SECOND)
#define REST_MOST 2
#define REST_BEGINS (500 * CC_MS)
/* Share of the requests without a key that are served, whose other upstreams
 * have room. */
#define SERVED_MIN 0.9
/* Servers that leave or rest: one that owns keys, one that does not. */
static const guint chosen[] = { 1, DEMO_KEYED_SERVERS + 1 };

typedef struct
{
  gint64 at;     /* us */
  gint64 caller; /* when the caller sent it, us */
  guint gateway;
  guint rest_s; /* it was refused with so many seconds of rest; 0: it was not */
} Arrival;

typedef struct
{
  guint kind, gateway;
  gboolean counted;
} Request;

static const char *program; /* of this test */

static struct
{
  gboolean counted;
  GHashTable *sent_at;                      /* id to gint64 */
  GArray *arrivals[DEMO_SERVERS];           /* of Arrival */
  gint64 told[DEMO_SERVERS][DEMO_GATEWAYS]; /* of leaving; 0: never */
  guint asked[FLEET_TEST_KINDS], served[FLEET_TEST_KINDS];
  guint impolite; /* refusals without a time to come back */
} w;

static void
on_response (const CcHttpResult *r, gpointer data)
{
  g_autofree Request *q = data;
  const char *from;

  if (r->end != CC_HTTP_ANSWERED)
    return;
  w.served[q->kind] += q->counted && r->status == 200;
  w.impolite += r->status == 503 && cc_http_header (r, "Retry-After") == NULL;
  from = cc_http_header (r, "X-Response-Signature");
  if (from == NULL || cc_http_header (r, "Server-Leaving") == NULL)
    return;
  for (guint i = 0; i < DEMO_SERVERS; i++)
    if (w.told[i][q->gateway] == 0 &&
        g_strcmp0 (soak_server_id (demo_fleet_server (i)), from) == 0)
      w.told[i][q->gateway] = cc_clock_now ();
}

/* Sends a request of the next kind to the next gateway. */
static gboolean
on_tick (gpointer unused)
{
  guint64 n = fleet_test_next_id ();
  guint kind = (guint) (n / DEMO_GATEWAYS % FLEET_TEST_KINDS);
  const FleetTestKind *k = &fleet_test_kinds[kind];
  gint64 now = cc_clock_now ();
  g_autofree char *path =
      g_strdup_printf ("%sq%" G_GUINT64_FORMAT, k->prefix, n);
  g_autofree char *key =
      g_strdup_printf ("%d", g_random_int_range (0, SOAK_KEYS));
  Request *q = g_new0 (Request, 1);
  FleetTestRequest r = {
    (guint) (n % DEMO_GATEWAYS), k->method, path, key, k->once, on_response, q
  };

  (void) unused;
  q->kind = kind;
  q->gateway = r.gateway;
  q->counted = w.counted;
  w.asked[kind] += q->counted;
  g_hash_table_insert (w.sent_at, g_strdup_printf ("q%" G_GUINT64_FORMAT, n),
                       g_memdup2 (&now, sizeof now));
  fleet_test_send (&r);
  return G_SOURCE_CONTINUE;
}

/* Returns the index of the gateway at PEER; DEMO_GATEWAYS if PEER is NULL, as
 * for a connection that was reset before it was accepted. */
static guint
gateway_of (const char *peer)
{
  return peer == NULL
             ? DEMO_GATEWAYS
             : (guint) g_ascii_strtoull (strrchr (peer, '.') + 1, NULL, 10) - 1;
}

/* Returns the index of S; DEMO_SERVERS: it is none of the fleet's. */
static guint
index_of (const SoakServer *s)
{
  guint i = 0;

  while (i < DEMO_SERVERS && demo_fleet_server (i) != s)
    i++;
  return i;
}

static void
on_arrival (SoakServer *s, const char *id, const char *peer)
{
  const gint64 *sent = g_hash_table_lookup (w.sent_at, id);
  Arrival a = { .at = cc_clock_now (),
                .caller = sent != NULL ? *sent : 0,
                .gateway = gateway_of (peer) };
  guint i = index_of (s);

  if (i < DEMO_SERVERS && a.gateway < DEMO_GATEWAYS)
    g_array_append_val (w.arrivals[i], a);
}

/* The last request that has arrived at S is refused with a rest. */
static void
on_rest (SoakServer *s, const char *peer, guint rest_s)
{
  guint i = index_of (s);

  (void) peer;
  if (i < DEMO_SERVERS && w.arrivals[i]->len > 0)
    g_array_index (w.arrivals[i], Arrival, w.arrivals[i]->len - 1).rest_s =
        rest_s;
}

static void
begin (void)
{
  for (guint i = 0; i < DEMO_SERVERS; i++)
    g_array_set_size (w.arrivals[i], 0);
  memset (w.told, 0, sizeof w.told);
  memset (w.asked, 0, sizeof w.asked);
  memset (w.served, 0, sizeof w.served);
  w.impolite = 0;
  w.counted = TRUE;
}

/* Checks that callers without a key were served by the other upstreams. */
static void
check_callers (void)
{
  w.counted = FALSE;
  for (guint k = 0; k < FLEET_TEST_KINDS; k++)
    {
      double served = (double) w.served[k] / MAX (w.asked[k], 1);

      soak_audit_log ("%s %.3f of %u served", fleet_test_kinds[k].prefix,
                      served, w.asked[k]);
      if (!fleet_test_kinds[k].keyed && served < SERVED_MIN)
        fail_msg ("%.3f of %s served", served, fleet_test_kinds[k].prefix);
    }
  if (w.impolite > 0)
    fail_msg ("%u refusals without a time to come back", w.impolite);
  assert_int_equal (soak_audit_violations (), 0);
}

/* Returns the number of requests to server I that were sent later than allowed
 * after it had said that it leaves. */
static guint
count_late (guint i)
{
  guint late = 0;

  for (guint a = 0; a < w.arrivals[i]->len; a++)
    {
      const Arrival *x = &g_array_index (w.arrivals[i], Arrival, a);
      gint64 told = w.told[i][x->gateway];

      late += told != 0 && x->caller > told + DRAIN_TIME;
    }
  return late;
}

/* Guards against requests to an upstream that leaves while the table service is
 * down, so that only its answers tell. */
static void
leaving_is_learned_from_answers (void **state)
{
  guint late = 0;

  (void) state;
  begin ();
  soak_table_set_mode (SOAK_TABLE_DOWN);
  for (guint i = 0; i < G_N_ELEMENTS (chosen); i++)
    soak_server_say_leaving (demo_fleet_server (chosen[i]));
  fleet_test_run_for (DOWN_MS);
  soak_table_set_mode (SOAK_TABLE_HEALTHY);
  for (guint i = 0; i < G_N_ELEMENTS (chosen); i++)
    {
      guint n = count_late (chosen[i]);

      soak_audit_log ("server %u: %u of %u requests too late", chosen[i] + 1, n,
                      w.arrivals[chosen[i]]->len);
      late += n;
    }
  if (late > 0)
    fail_msg ("%u requests too late", late);
  check_callers ();
  /* They leave, now that the table takes their rows. */
  for (guint i = 0; i < G_N_ELEMENTS (chosen); i++)
    soak_server_drain (demo_fleet_server (chosen[i]));
  fleet_test_run_for (4000);
  for (guint i = 0; i < G_N_ELEMENTS (chosen); i++)
    soak_server_start (demo_fleet_server (chosen[i]), FALSE);
  fleet_test_run_for (4000);
}

/* Returns the most requests of one gateway that reached server I in a rest that
 * it had asked that gateway for. */
static guint
most_in_rest (guint i)
{
  const GArray *all = w.arrivals[i];
  guint most = 0;

  for (guint a = 0; a < all->len; a++)
    {
      const Arrival *x = &g_array_index (all, Arrival, a);
      guint n = 0;

      if (x->rest_s == 0)
        continue;
      for (guint b = a + 1; b < all->len; b++)
        {
          const Arrival *y = &g_array_index (all, Arrival, b);

          n += y->gateway == x->gateway && y->at >= x->at + REST_BEGINS &&
               y->at < x->at + x->rest_s * CC_SECOND;
        }
      most = MAX (most, n);
    }
  return most;
}

/* Checks that the servers which rested before serve again: the one with keys as
 * their owner, the other while all of its pool but it rest. */
static void
check_serves_again (void)
{
  begin ();
  for (guint i = DEMO_KEYED_SERVERS; i < DEMO_SERVERS; i++)
    if (i != chosen[1] && soak_server_is_up (demo_fleet_server (i)))
      soak_server_set_rest (demo_fleet_server (i), REST_S);
  fleet_test_run_for (2000);
  for (guint i = 0; i < G_N_ELEMENTS (chosen); i++)
    {
      guint n = w.arrivals[chosen[i]]->len;

      soak_audit_log ("server %u: %u requests after its rest", chosen[i] + 1,
                      n);
      if (n == 0)
        fail_msg ("server %u gets nothing after its rest", chosen[i] + 1);
    }
}

/* Guards against requests to an upstream that has asked for rest. */
static void
a_rest_is_kept (void **state)
{
  guint most = 0;

  (void) state;
  begin ();
  for (guint i = 0; i < G_N_ELEMENTS (chosen); i++)
    soak_server_set_rest (demo_fleet_server (chosen[i]), REST_S);
  fleet_test_run_for (REST_MS);
  for (guint i = 0; i < G_N_ELEMENTS (chosen); i++)
    {
      guint n = most_in_rest (chosen[i]);

      soak_audit_log ("server %u: %u requests, at most %u in a rest",
                      chosen[i] + 1, w.arrivals[chosen[i]]->len, n);
      most = MAX (most, n);
      soak_server_set_rest (demo_fleet_server (chosen[i]), 0);
    }
  if (most > REST_MOST)
    fail_msg ("%u requests in a rest", most);
  check_callers ();
  /* Both serve again soon after the end of the last rest. */
  fleet_test_run_for (REST_S * 1000 + 1000);
  begin ();
  fleet_test_run_for (2000);
  check_callers ();
  check_serves_again ();
}

static int
start (void **state)
{
  (void) state;
  w.sent_at = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (guint i = 0; i < DEMO_SERVERS; i++)
    w.arrivals[i] = g_array_new (FALSE, FALSE, sizeof (Arrival));
  if (!fleet_test_start (program, "notices"))
    return 1;
  soak_servers_set_arrival_callback (on_arrival);
  soak_servers_set_rest_callback (on_rest);
  g_timeout_add (TICK_MS, on_tick, NULL);
  fleet_test_run_for (4000);
  return 0;
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (leaving_is_learned_from_answers),
    cmocka_unit_test (a_rest_is_kept),
  };

  (void) argc;
  program = argv[0];
  return cmocka_run_group_tests (tests, start, NULL);
}
