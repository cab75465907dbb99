/* Guards against callers of a gateway that has lost its links to the upstreams
 * being refused, although other gateways reach the upstreams.  Runs the real
 * program: three gateways, of which some are partitioned from all servers while
 * callers, the table service and the other gateways reach them. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "capercrank.h"
#include "clock.h"
#include "demo_fleet.h"
#include "gateway_process.h"
#include "partition.h"
#include "soak.h"

#define START_TIMEOUT_MS 20000
#define POLL_MS 200
#define TICK_MS 15
/* From then on after the start of a partition callers must be served. */
#define DETECTION_MS 3000
#define MEASURED_MS 3000
/* Between two partitions; keys that have lapsed are granted again by then. */
#define CALM_MS 5000
#define DEADLINE_MS 1500
#define ANSWER_TIMEOUT (2 * CC_SECOND)
/* Failures allowed at partitioned gateways: some, and a part of the requests
 * to all gateways. */
#define FAILURES_MAX 10
#define FAILURES_SHARE 0.02

typedef enum
{
  HANGS, /* connections hang */
  RESETS /* open connections are reset, new ones hang */
} Kind;

typedef struct
{
  const char *name;
  Kind kind;
  gboolean granter;  /* the granter is among them */
  guint partitioned; /* number of gateways */
} Case;

static const Case cases[] = {
  { "one gateway", HANGS, FALSE, 1 },
  { "all but one", HANGS, FALSE, 2 },
  { "all but one, reset", RESETS, FALSE, 2 },
  { "all but one, the granter among them", HANGS, TRUE, 2 },
};

/* Kinds of requests in the configuration of the fleet. */
static const struct
{
  const char *method, *prefix;
  gboolean once;
} kinds[] = { { "GET", "/look/", FALSE },
              { "POST", "/book/", TRUE },
              { "PUT", "/change/", TRUE },
              { "GET", "/list/", FALSE } };

static struct
{
  char *bin;    /* folder of the programs */
  char *folder; /* for the logs of this run */
  char *prefix; /* of the servers' addresses */
  CcHttp *http;
  GMainLoop *loop;
  guint64 next_id;
  gboolean cut[DEMO_GATEWAYS];
  gboolean measures;
  guint asked[2], failed[2]; /* at gateways in touch, and partitioned ones */
} w;

typedef struct
{
  char *id;
  gboolean measured, cut;
} Request;

static gboolean
on_over (gpointer unused)
{
  (void) unused;
  g_main_loop_quit (w.loop);
  return G_SOURCE_REMOVE;
}

static void
run_for (guint ms)
{
  g_timeout_add (ms, on_over, NULL);
  g_main_loop_run (w.loop);
}

static void
on_response (const CcHttpResult *r, gpointer data)
{
  Request *q = data;
  guint status = r->end == CC_HTTP_ANSWERED ? r->status : 0;
  g_autofree char *body = r->end == CC_HTTP_ANSWERED
                              ? g_strndup (g_bytes_get_data (r->body, NULL),
                                           g_bytes_get_size (r->body))
                              : g_strdup ("");

  soak_audit_answered (q->id, status, body);
  if (q->measured)
    w.failed[q->cut] += status != 200;
  g_free (q->id);
  g_free (q);
}

/* Sends a request of the next kind to the next gateway. */
static gboolean
on_tick (gpointer unused)
{
  guint gateway = (guint) (w.next_id % DEMO_GATEWAYS);
  guint kind = (guint) (w.next_id / DEMO_GATEWAYS % G_N_ELEMENTS (kinds));
  g_autofree char *address = demo_fleet_address (gateway, GATEWAY_LISTEN);
  g_autofree char *head = NULL;
  g_autoptr (GBytes) body = g_bytes_new_static ("x", 1);
  Request *q = g_new0 (Request, 1);
  CcHttpRequest o = { .address = address,
                      .connect_timeout = ANSWER_TIMEOUT,
                      .answer_timeout = ANSWER_TIMEOUT,
                      .body = kinds[kind].once ? body : NULL };

  (void) unused;
  q->id = g_strdup_printf ("q%" G_GUINT64_FORMAT, w.next_id++);
  q->measured = w.measures;
  q->cut = w.cut[gateway];
  w.asked[q->cut] += q->measured;
  head = g_strdup_printf ("%s %s%s HTTP/1.1\r\nHost: a.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                          "X-Shard-Key: %d\r\n",
                          kinds[kind].method, kinds[kind].prefix, q->id, q->id,
                          DEADLINE_MS, g_random_int_range (0, SOAK_KEYS));
  o.head = head;
  soak_audit_sent (q->id, kinds[kind].once);
  assert_non_null (cc_http_send (w.http, &o, on_response, q));
  return G_SOURCE_CONTINUE;
}

static gboolean
is_granter (guint gateway)
{
  g_autofree char *name = g_strdup_printf ("gw%u", gateway + 1);

  return g_str_equal (name, demo_fleet_granter ());
}

static gboolean
on_poll (gpointer unused)
{
  (void) unused;
  demo_fleet_poll ();
  return G_SOURCE_CONTINUE;
}

/* Adds gateway I to those of P. */
static void
cut_gateway (Partition *p, guint i)
{
  g_autofree char *address = demo_fleet_address (i, GATEWAY_LISTEN);
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);

  w.cut[i] = TRUE;
  p->peers[p->count++] = partition_peer (parts[0]);
}

/* Chooses the gateways that C partitions. */
static Partition
choose (const Case *c)
{
  Partition p = { .count = 0 };

  memset (w.cut, 0, sizeof w.cut);
  for (guint i = 0; i < DEMO_GATEWAYS; i++)
    if (c->granter && is_granter (i))
      cut_gateway (&p, i);
  for (guint i = 0; i < DEMO_GATEWAYS && p.count < c->partitioned; i++)
    if (!is_granter (i))
      cut_gateway (&p, i);
  return p;
}

static void
play (const Case *c)
{
  Partition p = choose (c);

  memset (w.asked, 0, sizeof w.asked);
  memset (w.failed, 0, sizeof w.failed);
  soak_audit_log ("%s: %u gateways", c->name, p.count);
  if (c->kind == RESETS)
    partition_reset (&p, w.prefix);
  else
    partition_begin (&p, w.prefix);
  run_for (DETECTION_MS);
  w.measures = TRUE;
  run_for (MEASURED_MS);
  w.measures = FALSE;
  partition_end (w.prefix);
  run_for (CALM_MS);
  soak_audit_log ("%s: %u of %u failed at partitioned gateways, %u of %u at "
                  "the others",
                  c->name, w.failed[1], w.asked[1], w.failed[0], w.asked[0]);
}

/* Fails unless the callers of partitioned gateways were served. */
static void
check (const Case *c)
{
  double allowed =
      FAILURES_MAX + FAILURES_SHARE * (double) (w.asked[0] + w.asked[1]);

  assert_true (w.asked[1] > 0);
  if (w.failed[1] > allowed)
    fail_msg ("%s: %u of %u failed at partitioned gateways, %u of %u at the "
              "others",
              c->name, w.failed[1], w.asked[1], w.failed[0], w.asked[0]);
}

/* Starts the fleet and waits until it serves. */
static int
start (void **state)
{
  g_auto (GStrv) parts = NULL;

  (void) state;
  g_mkdir_with_parents (w.folder, 0755);
  demo_fleet_start (w.bin, w.folder);
  g_timeout_add (POLL_MS, on_poll, NULL);
  for (guint i = 0; i < START_TIMEOUT_MS / POLL_MS; i++)
    {
      run_for (POLL_MS);
      if (demo_fleet_is_ready ())
        break;
    }
  w.http = cc_http_new (demo_fleet_callers_ip ());
  parts = g_strsplit (demo_fleet_callers_ip (), ".", -1);
  w.prefix = g_strdup_printf ("%s.%s.3.", parts[0], parts[1]);
  g_timeout_add (TICK_MS, on_tick, NULL);
  run_for (2000);
  return demo_fleet_is_ready () ? 0 : 1;
}

/* Guards against a gateway that refuses what other gateways could serve. */
static void
callers_of_partitioned_gateways_are_served (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      play (&cases[i]);
      check (&cases[i]);
    }
  assert_int_equal (soak_audit_violations (), 0);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (callers_of_partitioned_gateways_are_served),
  };
  g_autofree char *here = g_path_get_dirname (argv[0]);

  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  w.bin = g_build_filename (here, "..", NULL);
  w.folder = g_strdup_printf ("%s/run/partition-%u", w.bin, (guint) getpid ());
  w.loop = g_main_loop_new (NULL, FALSE);
  return cmocka_run_group_tests (tests, start, NULL);
}
