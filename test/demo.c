/* A demonstration on loopback: three gateway processes as in production, with
 * the platform's table, the servers of two pools and the callers simulated by
 * this process.  A key becomes hot, a server crashes, another joins, one
 * leaves, and the gateway that grants keys is killed and restarted.  Prints a
 * line each second and an audit at the end; exits with 0 if the audit found no
 * fault.
 *
 *   demo --keep 120
 * keeps the gateways running for 120 s after the audit.
 */
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "capercrank.h"
#include "clock.h"
#include "demo_caller.h"
#include "demo_fleet.h"
#include "gateway_process.h"
#include "settings.h"
#include "soak.h"

#define PER_SECOND 200       /* requests */
#define TARGET (400 * CC_MS) /* targetLatencyMs of the routes */
#define HOT_KEY 4711
#define HOT_PERCENT 50
#define POLL_MS 100
#define START_MAX (6 * CC_SECOND)
/* From the last request to the audit: callers time out after 2.5 s. */
#define SETTLE_MS 2600
/* SIGALRM ends the run as failed if the main loop hangs. */
#define ALARM_SECONDS 90
#define SAMPLE_ID "demo-1"

static struct
{
  char *folder;
  guint keep; /* s */
  GMainLoop *loop;
  DemoCallers callers;
  gint64 started;
  guint second;
  guint in_time, late, refused, failed; /* in the present second */
  guint answered;                       /* since the start */
  char *actions; /* since the last line printed; NULL: none */
  int code;
} demo;

/* ---- steps ---- */

static char *
start_callers (void)
{
  demo_callers_start (&demo.callers, demo_fleet_callers_ip (), PER_SECOND);
  return g_strdup_printf ("callers start, %u requests a second", PER_SECOND);
}

static char *
make_key_hot (void)
{
  demo.callers.hot_key = HOT_KEY;
  demo.callers.hot_percent = HOT_PERCENT;
  return g_strdup_printf ("%u%% of requests with a key are for key %d",
                          HOT_PERCENT, HOT_KEY);
}

static char *
end_hot_key (void)
{
  demo.callers.hot_percent = 0;
  return g_strdup ("no key is hot");
}

static char *
lose_server (void)
{
  return g_strdup_printf ("server %s is lost", demo_fleet_lose_server ());
}

static char *
add_server (void)
{
  return g_strdup_printf ("server %s joins", demo_fleet_add_server ());
}

static char *
drain_server (void)
{
  return g_strdup_printf ("server %s announces that it leaves",
                          demo_fleet_drain_server ());
}

static char *
kill_granter (void)
{
  return g_strdup_printf ("gateway %s, which grants keys, is killed",
                          demo_fleet_kill_granter ());
}

static char *
restart_gateway (void)
{
  return g_strdup_printf ("gateway %s is restarted", demo_fleet_restart ());
}

typedef struct
{
  guint second;
  char *(*run) (void); /* returns a description, to be freed */
} Step;

static const Step steps[] = {
  { 0, start_callers },    { 1, make_key_hot },  { 3, lose_server },
  { 8, add_server },       { 9, end_hot_key },   { 12, kill_granter },
  { 14, restart_gateway }, { 16, drain_server },
};

#define SECONDS 18

/* ---- output ---- */

/* Counts an answer for the line of the present second. */
static void
on_answer (guint status, gint64 took)
{
  demo.answered += status == 200;
  if (status == 200 && took <= TARGET)
    demo.in_time++;
  else if (status == 200)
    demo.late++;
  else if (status == 503 || status == 429 || status == 408 || status == 421)
    demo.refused++;
  else
    demo.failed++;
}

static void
print_head (void)
{
  printf ("%3s %8s %5s %8s %7s %7s %9s  %s\n", "s", "in time", "late",
          "refused", "failed", "owners", "unowned", "what was done");
}

/* Prints the line of the present second and resets its counts. */
static void
print_second (void)
{
  guint owners, held = soak_audit_held (&owners);

  printf ("%3u %8u %5u %8u %7u %7u %8.1f%%%s%s\n", demo.second, demo.in_time,
          demo.late, demo.refused, demo.failed, owners,
          100.0 * (SOAK_KEYS - held) / SOAK_KEYS,
          demo.actions != NULL ? "  " : "",
          demo.actions != NULL ? demo.actions : "");
  fflush (stdout);
  demo.in_time = demo.late = demo.refused = demo.failed = 0;
  g_clear_pointer (&demo.actions, g_free);
}

/* Prints the audit's counts and sets the exit code. */
static void
print_audit (void)
{
  SoakAuditCounts c;

  soak_audit_count (&c);
  printf ("\naudit: %u asked, %u answered, %u refused\n", c.asked, c.answered,
          c.refused);
  printf ("  %u were to run at most once: %u ran twice\n", c.once, c.ran_twice);
  printf ("  %u were told \"not run\": %u ran\n", c.refused, c.refused_ran);
  printf ("  %u got an answer: %u got another's\n", c.answered,
          c.wrong_answers);
  printf ("  grants of a key that was another's: %u\n", c.owner_faults);
  demo.code = soak_audit_violations () > 0 || demo.answered == 0;
  printf ("%s\n", demo.code == 0 ? "passed" : "FAILED");
}

/* ---- after the run ---- */

static void
on_stopped (void)
{
  g_main_loop_quit (demo.loop);
}

static gboolean
on_keep_elapsed (gpointer unused)
{
  demo_fleet_stop (on_stopped);
  return G_SOURCE_REMOVE;
}

/* Prints commands by which a reader can follow the sample request. */
static void
print_hints (guint status, const char *body)
{
  g_autofree char *listen = demo_fleet_address (0, GATEWAY_LISTEN);
  g_autofree char *admin = demo_fleet_address (0, GATEWAY_ADMIN);

  printf ("\nTo try%s:\n",
          demo.keep > 0 ? ""
                        : ", with `make demo KEEP=120`, which goes on for "
                          "120 s and says where");
  printf ("  curl -i -H 'Host: a.example' -H 'X-Request-Id: " SAMPLE_ID
          "' -H 'X-Deadline-Ms: 1000' \\\n    -H 'X-Shard-Key: %d' "
          "http://%s/look/1\n    # %u, %s\n",
          HOT_KEY, listen, status, body);
  printf ("  grep -h '\"" SAMPLE_ID "\"' %s/*.log   # the decisions about it\n",
          demo.folder);
  printf ("  grep -h '\"outcome\":\"not-run\"' %s/*.log   # who was refused, "
          "and why\n",
          demo.folder);
  printf ("  curl -s http://%s/metrics\n", admin);
  printf ("docs/OPERATIONS.md explains the fields.\n");
  fflush (stdout);
}

static void
on_sample (guint status, const char *body, gpointer unused)
{
  print_audit ();
  print_hints (status, body);
  g_timeout_add (demo.keep * 1000, on_keep_elapsed, NULL);
}

/* All answers have arrived.  Sends one more request, whose log lines the hints
 * show how to find. */
static gboolean
on_settled (gpointer unused)
{
  g_autofree char *listen = demo_fleet_address (0, GATEWAY_LISTEN);
  g_autofree char *head = g_strdup_printf (
      "GET /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " SAMPLE_ID
      "\r\nX-Deadline-Ms: 1000\r\nX-Shard-Key: %d\r\n",
      HOT_KEY);

  demo_fleet_get (listen, head, on_sample, NULL);
  return G_SOURCE_REMOVE;
}

/* ---- stalls of this process, which simulates table, servers and callers ----
 */

#define STALL_CHECK_MS 20
#define STALL_MIN (300 * CC_MS)

/* Scheduler statistics of this thread, us. */
typedef struct
{
  gint64 at;
  gint64 worked; /* running on a processor */
  gint64 waited; /* runnable, in the run queue */
} ThreadTimes;

/* Returns the present times; zero where the kernel has no schedstat. */
static ThreadTimes
read_thread_times (void)
{
  ThreadTimes p = { .at = cc_clock_now () };
  g_autofree char *text = NULL;
  guint64 worked = 0, waited = 0;

  if (g_file_get_contents ("/proc/thread-self/schedstat", &text, NULL, NULL) &&
      sscanf (text, "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT, &worked,
              &waited) == 2)
    {
      p.worked = (gint64) (worked / 1000);
      p.waited = (gint64) (waited / 1000);
    }
  return p;
}

/* Reports a stall of the main loop: the table, the servers and the callers do
 * not respond during it, whatever the gateways do. */
static gboolean
check_stall (gpointer unused)
{
  static ThreadTimes previous;
  ThreadTimes now = read_thread_times ();

  if (previous.at != 0 && now.at - previous.at > STALL_MIN)
    printf ("this process stalled for %d ms: %d ms running, %d ms waiting "
            "for a processor\n",
            (int) ((now.at - previous.at) / CC_MS),
            (int) ((now.worked - previous.worked) / CC_MS),
            (int) ((now.waited - previous.waited) / CC_MS));
  previous = now;
  return G_SOURCE_CONTINUE;
}

/* ---- timeline ---- */

/* Runs the step of the present second, if there is one. */
static void
run_steps (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (steps); i++)
    if (steps[i].second == demo.second)
      demo.actions = steps[i].run ();
}

static gboolean
on_second (gpointer unused)
{
  demo.second++;
  print_second ();
  demo_fleet_poll ();
  demo_fleet_balance (demo.callers.gateways);
  if (demo.second < SECONDS)
    {
      run_steps ();
      return G_SOURCE_CONTINUE;
    }
  demo_callers_stop ();
  g_timeout_add (SETTLE_MS, on_settled, NULL);
  return G_SOURCE_REMOVE;
}

/* Waits until the gateways are ready, then starts the timeline; stops the run
 * after START_MAX. */
static gboolean
on_poll (gpointer unused)
{
  gint64 took = cc_clock_now () - demo.started;

  demo_fleet_poll ();
  if (demo_fleet_is_ready ())
    {
      printf ("ready after %.1f s; gateway %s grants the keys\n\n",
              (double) took / CC_SECOND, demo_fleet_granter ());
      print_head ();
      demo_fleet_balance (demo.callers.gateways);
      run_steps ();
      g_timeout_add (1000, on_second, NULL);
      return G_SOURCE_REMOVE;
    }
  if (took < START_MAX)
    return G_SOURCE_CONTINUE;
  printf ("not ready after %d s; see the logs\n",
          (int) (START_MAX / CC_SECOND));
  demo.code = 1;
  demo_fleet_stop (on_stopped);
  return G_SOURCE_REMOVE;
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", "demo", "name in logs", 0, 0, NULL },
    { CC_SETTING_STRING, "bin", "build", "folder of the programs", 0, 0, NULL },
    { CC_SETTING_NUMBER, "keep", "0",
      "seconds that the gateways run on after the audit", 0, 3600, NULL },
    { 0 }
  };

  if (cc_settings_read (settings, "demo", "Demonstrates gateways on loopback.",
                        argc, argv) != CC_START_RUN)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  demo.keep = (guint) cc_setting_number (settings, "keep");
  alarm (ALARM_SECONDS + demo.keep);
  demo.folder = g_strdup_printf ("%s/run/demo-%u", cc_setting (settings, "bin"),
                                 (guint) getpid ());
  g_mkdir_with_parents (demo.folder, 0755);
  demo.loop = g_main_loop_new (NULL, FALSE);
  demo.started = cc_clock_now ();
  printf ("%d gateways, %d servers; logs in %s\n", DEMO_GATEWAYS,
          DEMO_SERVERS - 1, demo.folder);
  demo_fleet_start (cc_setting (settings, "bin"), demo.folder);
  demo.callers.gateways = g_new0 (char *, DEMO_GATEWAYS + 1);
  demo.callers.ended = on_answer;
  g_timeout_add (POLL_MS, on_poll, NULL);
  g_timeout_add (STALL_CHECK_MS, check_stall, NULL);
  g_main_loop_run (demo.loop);
  return demo.code;
}
