/* Guards against requests that run and are told "not run", or run twice, since
 * the copy of an earlier refusal bears their id.  Runs the real program: three
 * gateways, whose upstreams refuse a part of the requests and send each refusal
 * once more as the next request arrives on its connection.  The callers send a
 * refused request again under its id. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "clock.h"
#include "fleet_test.h"
#include "gateway_process.h"
#include "partition.h"

#define CALLERS 12
#define PLAY_MS 4000
#define PLAYS_MAX 8 /* in a row, until there are enough requests */
#define REFUSED 0.5
#define AGAIN_MS 3
#define TRIES_MAX 12
/* From then on after the start of a partition requests go through peers. */
#define DETECTION_MS 3000
#define REPEATS_MIN 100 /* in each case */
#define COPIES_MIN 100

typedef struct
{
  const char *name;
  guint kind;           /* in fleet_test_kinds */
  gboolean partitioned; /* gateway 0 reaches no upstream, and gets all requests
                         */
} Case;

static const Case cases[] = {
  { "without keys", 1, FALSE },
  { "with keys", 2, FALSE },
  { "without keys, through a peer", 1, TRUE },
  { "with keys, through a peer", 2, TRUE },
};

typedef struct
{
  guint gateway;
  char id[32];
  guint tries; /* of the request */
} Caller;

static const char *program; /* of this test */

static struct
{
  const Case *playing;
  gboolean ending;
  Caller callers[CALLERS];
  guint ids, active, served, repeats;
} w;

static gboolean on_send (gpointer data);

static void
on_response (const CcHttpResult *r, gpointer data)
{
  Caller *c = data;
  guint status = r->end == CC_HTTP_ANSWERED ? r->status : 0;

  w.served += status == 200;
  if ((status != 503 && status != 429) || c->tries >= TRIES_MAX)
    c->tries = 0;
  g_timeout_add (AGAIN_MS, on_send, c);
}

/* Sends the next request of DATA, a caller, or its last one again. */
static gboolean
on_send (gpointer data)
{
  Caller *c = data;
  const FleetTestKind *kind = &fleet_test_kinds[w.playing->kind];
  gboolean again = c->tries > 0;
  g_autofree char *path = NULL;
  g_autofree char *key = NULL;
  FleetTestRequest r = { .gateway = c->gateway,
                         .method = kind->method,
                         .once = kind->once,
                         .done = on_response,
                         .data = c };

  if (w.ending)
    {
      w.active--;
      return G_SOURCE_REMOVE;
    }
  w.repeats += again;
  if (!again)
    g_snprintf (c->id, sizeof c->id, "r%u", w.ids++);
  c->tries++;
  path = g_strconcat (kind->prefix, c->id, NULL);
  key = g_strdup_printf ("%u", g_str_hash (c->id) % SOAK_KEYS);
  r.path = path;
  r.key = key;
  fleet_test_send_as (&r, c->id, again);
  return G_SOURCE_REMOVE;
}

/* Makes all upstreams refuse SHARE of the requests. */
static void
set_refusals (double share)
{
  for (guint i = 0; i < DEMO_SERVERS; i++)
    if (soak_server_is_up (demo_fleet_server (i)))
      soak_server_set_refusals (demo_fleet_server (i), share);
}

/* Runs the callers for MS, and waits for their last answers. */
static void
run_callers (guint ms)
{
  w.ending = FALSE;
  for (guint i = 0; i < CALLERS; i++)
    {
      w.callers[i].gateway = w.playing->partitioned ? 0 : i % DEMO_GATEWAYS;
      w.callers[i].tries = 0;
      w.active++;
      on_send (&w.callers[i]);
    }
  fleet_test_run_for (ms);
  w.ending = TRUE;
  while (w.active > 0)
    fleet_test_run_for (20);
}

/* Whether enough was sent since COPIES refusals had been sent twice. */
static gboolean
has_enough (guint copies)
{
  guint met;

  return w.repeats >= REPEATS_MIN && w.served > 0 &&
         soak_copies_sent (&met) >= copies + COPIES_MIN;
}

static void
play (const Case *c)
{
  guint met, met_before, before = soak_copies_sent (&met_before), copies;
  guint broken = soak_audit_violations ();

  w.playing = c;
  if (c->partitioned)
    run_callers (DETECTION_MS);
  w.served = w.repeats = 0;
  set_refusals (REFUSED);
  for (guint i = 0; i < PLAYS_MAX && !has_enough (before); i++)
    run_callers (PLAY_MS);
  set_refusals (0);
  copies = soak_copies_sent (&met) - before;
  soak_audit_log ("%s: %u served, %u sent again; %u refusals were sent twice, "
                  "%u of them as their request had come again",
                  c->name, w.served, w.repeats, copies, met - met_before);
  if (soak_audit_violations () > broken)
    fail_msg ("%s: %u promises broken", c->name,
              soak_audit_violations () - broken);
  if (!has_enough (before))
    fail_msg ("%s: too few to tell", c->name);
}

static void
play_all (gboolean partitioned)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    if (cases[i].partitioned == partitioned)
      play (&cases[i]);
}

/* Failure: a caller sends a refused request again under its id, and the gateway
 * takes the copy of the refusal for its answer. */
static void
copies_of_refusals_refuse_nothing (void **state)
{
  (void) state;
  play_all (FALSE);
}

/* Failure: the same at the gateway through which a request goes again. */
static void
copies_of_refusals_refuse_nothing_behind_peers (void **state)
{
  g_autofree char *address = demo_fleet_address (0, GATEWAY_LISTEN);
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  g_auto (GStrv) bytes = g_strsplit (parts[0], ".", 4);
  g_autofree char *prefix = g_strdup_printf ("127.%s.3.", bytes[1]);
  const Partition p = { { partition_peer (parts[0]) }, 1 };

  (void) state;
  partition_begin (&p, prefix);
  play_all (TRUE);
  partition_end (prefix);
}

static int
start (void **state)
{
  (void) state;
  return fleet_test_start (program, "copies") ? 0 : 1;
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (copies_of_refusals_refuse_nothing),
    cmocka_unit_test (copies_of_refusals_refuse_nothing_behind_peers),
  };

  (void) argc;
  program = argv[0];
  return cmocka_run_group_tests (tests, start, NULL);
}
