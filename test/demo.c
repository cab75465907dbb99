/* The gateways as they are run: three processes on loopback, the platform's
 * table, servers of two pools and callers.  A key grows hot, a server is lost,
 * another joins, one leaves, and the gateway that grants keys is killed and
 * started again.  Prints a line each second and an audit at the end.
 *
 *   demo --keep 120
 * goes on for 120 s after the audit.  Ends with 0 if the audit found nothing.
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

#define PER_SECOND 200
#define TARGET (400 * CC_MS) /* of the routes */
#define HOT_KEY 4711
#define HOT_PERCENT 50
#define LOOK_MS 100
#define START_MAX (6 * CC_SECOND)
/* After the last question: callers wait 2.5 s for an answer at most. */
#define SETTLE_MS 2600
/* If the main loop hangs, the run ends all the same, as failed. */
#define ALARM_SECONDS 90
#define SAMPLE "demo-1"

static struct
{
  char *folder;
  guint keep; /* s */
  GMainLoop *loop;
  DemoCallers callers;
  gint64 began;
  guint second;
  guint in_time, late, refused, failed; /* in this second */
  guint answered;                       /* in all */
  char *done;                           /* since the last line */
  int code;
} demo;

/* ---- what happens when ---- */

static char *
begin_callers (void)
{
  demo_callers_start (&demo.callers, demo_fleet_callers_ip (), PER_SECOND);
  return g_strdup_printf ("%u requests a second begin", PER_SECOND);
}

static char *
heat_key (void)
{
  demo.callers.hot_key = HOT_KEY;
  demo.callers.hot_percent = HOT_PERCENT;
  return g_strdup_printf ("%u%% of requests with a key are for key %d",
                          HOT_PERCENT, HOT_KEY);
}

static char *
cool_key (void)
{
  demo.callers.hot_percent = 0;
  return g_strdup ("no key is hot any more");
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
  return g_strdup_printf ("server %s says that it leaves",
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
  return g_strdup_printf ("gateway %s is started again", demo_fleet_restart ());
}

typedef struct
{
  guint second;
  char *(*act) (void); /* returns what was done */
} Step;

static const Step steps[] = {
  { 0, begin_callers },    { 1, heat_key },      { 3, lose_server },
  { 8, add_server },       { 9, cool_key },      { 12, kill_granter },
  { 14, restart_gateway }, { 16, drain_server },
};

#define SECONDS 18

/* ---- lines ---- */

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

static void
print_second (void)
{
  guint owners, held = soak_audit_held (&owners);

  printf ("%3u %8u %5u %8u %7u %7u %8.1f%%%s%s\n", demo.second, demo.in_time,
          demo.late, demo.refused, demo.failed, owners,
          100.0 * (SOAK_KEYS - held) / SOAK_KEYS, demo.done != NULL ? "  " : "",
          demo.done != NULL ? demo.done : "");
  fflush (stdout);
  demo.in_time = demo.late = demo.refused = demo.failed = 0;
  g_clear_pointer (&demo.done, g_free);
}

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
  demo.code = soak_audit_faults () > 0 || demo.answered == 0;
  printf ("%s\n", demo.code == 0 ? "passed" : "FAILED");
}

/* ---- the end ---- */

static void
on_stopped (void)
{
  g_main_loop_quit (demo.loop);
}

static gboolean
on_keep_over (gpointer unused)
{
  demo_fleet_stop (on_stopped);
  return G_SOURCE_REMOVE;
}

static void
print_next (guint status, const char *body)
{
  g_autofree char *listen = demo_fleet_address (0, GATEWAY_LISTEN);
  g_autofree char *admin = demo_fleet_address (0, GATEWAY_ADMIN);

  printf ("\nTo try%s:\n",
          demo.keep > 0 ? ""
                        : ", with `make demo KEEP=120`, which goes on for "
                          "120 s and says where");
  printf ("  curl -i -H 'Host: a.example' -H 'X-Request-Id: " SAMPLE
          "' -H 'X-Deadline-Ms: 1000' \\\n    -H 'X-Shard-Key: %d' "
          "http://%s/look/1\n    # %u, %s\n",
          HOT_KEY, listen, status, body);
  printf ("  grep -h '\"" SAMPLE "\"' %s/*.log   # the decisions about it\n",
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
  print_next (status, body);
  g_timeout_add (demo.keep * 1000, on_keep_over, NULL);
}

/* All answers are here; one request more, for the reader to follow. */
static gboolean
on_settled (gpointer unused)
{
  g_autofree char *listen = demo_fleet_address (0, GATEWAY_LISTEN);
  g_autofree char *head = g_strdup_printf (
      "GET /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " SAMPLE
      "\r\nX-Deadline-Ms: 1000\r\nX-Shard-Key: %d\r\n",
      HOT_KEY);

  demo_fleet_get (listen, head, on_sample, NULL);
  return G_SOURCE_REMOVE;
}

/* ---- standstills of this process, which plays table, servers and callers ----
 */

#define PULSE_MS 20
#define STANDSTILL (300 * CC_MS)

/* What the kernel counts of this thread, us. */
typedef struct
{
  gint64 at;
  gint64 worked; /* on a processor */
  gint64 waited; /* ready to run, for one */
} Pulse;

static Pulse
take_pulse (void)
{
  Pulse p = { .at = cc_clock_now () };
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

static gboolean
on_pulse (gpointer unused)
{
  static Pulse last;
  Pulse now = take_pulse ();

  if (last.at != 0 && now.at - last.at > STANDSTILL)
    printf ("this process stood still for %d ms: %d ms at work, %d ms waiting "
            "for a processor\n",
            (int) ((now.at - last.at) / CC_MS),
            (int) ((now.worked - last.worked) / CC_MS),
            (int) ((now.waited - last.waited) / CC_MS));
  last = now;
  return G_SOURCE_CONTINUE;
}

/* ---- the run ---- */

static void
act (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (steps); i++)
    if (steps[i].second == demo.second)
      demo.done = steps[i].act ();
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
      act ();
      return G_SOURCE_CONTINUE;
    }
  demo_callers_stop ();
  g_timeout_add (SETTLE_MS, on_settled, NULL);
  return G_SOURCE_REMOVE;
}

static gboolean
on_look (gpointer unused)
{
  gint64 took = cc_clock_now () - demo.began;

  demo_fleet_poll ();
  if (demo_fleet_is_ready ())
    {
      printf ("ready after %.1f s; gateway %s grants the keys\n\n",
              (double) took / CC_SECOND, demo_fleet_granter ());
      print_head ();
      demo_fleet_balance (demo.callers.gateways);
      act ();
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
    { CC_SETTING_NUMBER, "keep", "0", "seconds to go on after the audit", 0,
      3600, NULL },
    { 0 }
  };

  if (cc_settings_read (settings, "demo", "Gateways on loopback, to look at.",
                        argc, argv) != CC_START_RUN)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  demo.keep = (guint) cc_setting_number (settings, "keep");
  alarm (ALARM_SECONDS + demo.keep);
  demo.folder = g_strdup_printf ("%s/run/demo-%u", cc_setting (settings, "bin"),
                                 (guint) getpid ());
  g_mkdir_with_parents (demo.folder, 0755);
  demo.loop = g_main_loop_new (NULL, FALSE);
  demo.began = cc_clock_now ();
  printf ("%d gateways, %d servers; logs in %s\n", DEMO_GATEWAYS,
          DEMO_SERVERS - 1, demo.folder);
  demo_fleet_start (cc_setting (settings, "bin"), demo.folder);
  demo.callers.gateways = g_new0 (char *, DEMO_GATEWAYS + 1);
  demo.callers.ended = on_answer;
  g_timeout_add (LOOK_MS, on_look, NULL);
  g_timeout_add (PULSE_MS, on_pulse, NULL);
  g_main_loop_run (demo.loop);
  return demo.code;
}
