/* Guards against processes and tools beside the gateway that keep all of an
 * answer without end: grants and probes of the dispatcher, calls to the
 * platform, and capercrankctl. */
#define _GNU_SOURCE /* wait4 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "clock.h"
#include "endless_server.h"
#include "platform.h"
#include "process.h"
#include "timers.h"
#include "upstream.h"

#define SOURCE "127.0.0.1:1" /* of calls; the port is not used */
#define CALLS 12             /* at once, of each kind */
#define ENDS_WITHIN (2 * CC_SECOND)
#define MEMORY_MAX (64 * 1024 * 1024) /* for all calls together */
#define CALL_TIMEOUT (700 * CC_MS)
#define TICK (10 * CC_MS)
/* Of one command of the tool; its call may take 10 s. */
#define TOOL_ENDS_WITHIN (12 * CC_SECOND)
#define TOOL_MEMORY_MAX (96 * 1024) /* kB */

static struct
{
  GSocketService *service;
  char *address;
  guint ended, answered;
  gint64 memory; /* most, bytes */
  CcTimer timer;
} w;

static void
on_tick (gpointer data)
{
  (void) data;
  w.memory = MAX (w.memory, cc_process_resident_bytes ());
  cc_timer_start (&w.timer, TICK, on_tick, NULL);
}

static void
on_control_end (CcStatus status, guint64 serial, gint64 sent, gpointer data)
{
  (void) serial, (void) sent, (void) data;
  w.ended++;
  w.answered += status == CC_OK;
}

static void
on_rows (CcStatus status, guint64 since, guint64 upto, GVariant *rows,
         gpointer data)
{
  (void) since, (void) upto, (void) rows, (void) data;
  w.ended++;
  w.answered += status == CC_OK;
}

static void
begin_grant (gpointer client, const CcHolding *h)
{
  cc_upstream_grant (client, h, "d0", on_control_end, NULL);
}

static void
begin_probe (gpointer client, const CcHolding *h)
{
  cc_upstream_probe (client, h, on_control_end, NULL);
}

static void
begin_platform_call (gpointer client, const CcHolding *h)
{
  (void) h;
  cc_platform_rows (client, "map/", on_rows, NULL);
}

typedef struct
{
  const char *name;
  void (*begin) (gpointer client, const CcHolding *h);
} Reader;

/* Makes CALLS calls of READER, which are answered by KIND.  Returns whether
 * they keep the bounds. */
static gboolean
play (const Reader *reader, gpointer client, const CcHolding *h,
      const EndlessKind *kind)
{
  gint64 from = cc_clock_now (), before = cc_process_resident_bytes ();
  gboolean good;

  endless_playing = kind;
  w.ended = w.answered = 0;
  w.memory = before;
  on_tick (NULL);
  for (guint i = 0; i < CALLS; i++)
    reader->begin (client, h);
  while (w.ended < CALLS && cc_clock_now () - from < 4 * ENDS_WITHIN)
    g_main_context_iteration (NULL, TRUE);
  cc_timer_stop (&w.timer);
  good = w.ended == CALLS && cc_clock_now () - from < ENDS_WITHIN &&
         w.memory - before <= MEMORY_MAX;
  print_message ("%s, %s: %u of %u ended after %.2f s, %.1f MB%s\n",
                 reader->name, kind->name, w.ended, CALLS,
                 (double) (cc_clock_now () - from) / 1e6,
                 (double) (w.memory - before) / (1024 * 1024),
                 good ? "" : ": beyond its bound");
  return good;
}

/* Plays all kinds with calls of READER by CLIENT. */
static void
play_all (const Reader *reader, gpointer client)
{
  CcMapServer server = { .name = "server", .address = w.address };
  CcHolding *h = cc_holding_new ("pool", &server, TRUE, cc_clock_now (), 0);
  guint failed = 0;

  for (guint i = 0; i < ENDLESS_KINDS; i++)
    failed += !play (reader, client, h, &endless_kinds[i]);
  cc_holding_unref (h);
  assert_int_equal (failed, 0);
}

static void
endless_answers_to_grants_are_cut_off (void **state)
{
  const Reader grants = { "grants", begin_grant };

  (void) state;
  play_all (&grants, cc_upstream_new (SOURCE));
}

static void
endless_answers_to_probes_are_cut_off (void **state)
{
  const Reader probes = { "probes", begin_probe };

  (void) state;
  play_all (&probes, cc_upstream_new (SOURCE));
}

static void
endless_answers_of_the_platform_are_cut_off (void **state)
{
  const Reader calls = { "calls to the platform", begin_platform_call };

  (void) state;
  play_all (&calls, cc_platform_new (w.address, SOURCE, CALL_TIMEOUT));
}

/* Runs one command of the tool against KIND.  Returns whether it keeps the
 * bounds. */
static gboolean
run_tool (const char *program, const EndlessKind *kind)
{
  const char *argv[] = {
    program, "--control", w.address, "show", "config", NULL
  };
  gint64 from = cc_clock_now ();
  struct rusage usage = { 0 };
  g_autoptr (GError) error = NULL;
  gboolean ended, good;
  int status = 0;
  GPid pid;

  endless_playing = kind;
  if (!g_spawn_async (NULL, (char **) argv, NULL,
                      G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL |
                          G_SPAWN_STDERR_TO_DEV_NULL,
                      NULL, NULL, &pid, &error))
    fail_msg ("%s", error->message);
  while (!(ended = wait4 (pid, &status, WNOHANG, &usage) == pid) &&
         cc_clock_now () - from < TOOL_ENDS_WITHIN)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  if (!ended)
    {
      kill (pid, SIGKILL);
      wait4 (pid, &status, 0, &usage);
    }
  good = ended && WIFEXITED (status) && usage.ru_maxrss <= TOOL_MEMORY_MAX;
  print_message ("capercrankctl, %s: %.2f s, %ld MB%s\n", kind->name,
                 (double) (cc_clock_now () - from) / 1e6,
                 usage.ru_maxrss / 1024, good ? "" : ": beyond its bound");
  return good;
}

static void
endless_answers_to_the_tool_are_cut_off (void **state)
{
  g_autofree char *here = g_path_get_dirname (g_get_prgname ());
  g_autofree char *program =
      g_build_filename (here, "..", "capercrankctl", NULL);
  guint failed = 0;

  (void) state;
  for (guint i = 0; i < ENDLESS_KINDS; i++)
    failed += !run_tool (program, &endless_kinds[i]);
  assert_int_equal (failed, 0);
}

static int
set_up (void **state)
{
  (void) state;
  w.address = endless_server_start (CALLS, endless_serve, &w.service);
  return 0;
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (endless_answers_to_grants_are_cut_off),
    cmocka_unit_test (endless_answers_to_probes_are_cut_off),
    cmocka_unit_test (endless_answers_of_the_platform_are_cut_off),
    cmocka_unit_test (endless_answers_to_the_tool_are_cut_off),
  };

  (void) argc;
  g_set_prgname (argv[0]);
  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, set_up, NULL);
}
