/* Faults that expire leases or cut processes off from the platform: killed and
 * paused processes, partitions, platform outages.  Each run returns how often
 * the fault took effect, by the metrics of the processes. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "prove.h"

#define PAST_LEASE_MS 6000 /* longer than any lease and its takeover */

static guint
pick_instance (GRand *rand, Cluster *c)
{
  return (guint) g_rand_int_range (rand, 1, (gint32) c->instances + 1);
}

/* Sends SIG to the process; SIG 0 starts it again. */
static void
signal_or_restart (Cluster *c, const char *program, guint instance, int sig)
{
  g_autofree char *name = g_strdup_printf ("%s-%u", program, instance);

  if (sig != 0)
    cluster_signal (c, name, sig);
  else
    cluster_restart (c, name);
}

/* Returns the takeovers that all assigners have counted. */
static guint
takeovers (Cluster *c)
{
  return sum_metric (c, "assign", "capercrank_takeovers");
}

static guint
kill_dispatcher (Cluster *c, GRand *rand)
{
  guint before = takeovers (c), i = pick_instance (rand, c);

  signal_or_restart (c, "dispatch", i, SIGKILL);
  pause_ms (PAST_LEASE_MS);
  signal_or_restart (c, "dispatch", i, 0);
  return takeovers (c) - before;
}

static guint
kill_two_dispatchers (Cluster *c, GRand *rand)
{
  guint before = takeovers (c), i = pick_instance (rand, c);
  guint j = i % c->instances + 1;

  signal_or_restart (c, "dispatch", i, SIGKILL);
  signal_or_restart (c, "dispatch", j, SIGKILL);
  pause_ms (PAST_LEASE_MS);
  signal_or_restart (c, "dispatch", i, 0);
  signal_or_restart (c, "dispatch", j, 0);
  return takeovers (c) - before >= 2 ? 2 : 0;
}

static guint
freeze_dispatcher (Cluster *c, GRand *rand)
{
  guint before = takeovers (c), i = pick_instance (rand, c);

  signal_or_restart (c, "dispatch", i, SIGSTOP);
  pause_ms (5000);
  signal_or_restart (c, "dispatch", i, SIGCONT);
  return takeovers (c) - before;
}

/* Returns the instance whose assigner is active, 0 if none is. */
static guint
active_assigner (Cluster *c)
{
  for (guint i = 1; i <= c->instances; i++)
    if (read_metric (c, "assign", i, "capercrank_assigner_active") == 1)
      return i;
  return 0;
}

/* A dispatcher is killed too, so that the next assigner has to reassign its
 * servers. */
static guint
kill_assigner (Cluster *c, GRand *rand)
{
  guint active = active_assigner (c), i = pick_instance (rand, c), next;

  if (active == 0)
    return 0;
  signal_or_restart (c, "assign", active, SIGKILL);
  signal_or_restart (c, "dispatch", i, SIGKILL);
  pause_ms (PAST_LEASE_MS);
  next = active_assigner (c);
  signal_or_restart (c, "assign", active, 0);
  signal_or_restart (c, "dispatch", i, 0);
  return next != 0 && next != active ? takeovers (c) : 0;
}

/* Sends SIG to all processes of the instances in ZONE; SIG 0 starts them again.
 * Returns how many there are. */
static guint
signal_zone (Cluster *c, const char *zone, int sig)
{
  guint n = 0;

  for (guint i = 0; i < c->processes->len; i++)
    {
      const Process *p = c->processes->pdata[i];

      if (p->pool != NULL || !g_str_equal (p->zone, zone))
        continue;
      if (sig != 0)
        cluster_signal (c, p->name, sig);
      else
        cluster_restart (c, p->name);
      n++;
    }
  return n;
}

static guint
kill_zone (Cluster *c, GRand *rand)
{
  (void) rand;
  signal_zone (c, "a", SIGKILL);
  pause_ms (PAST_LEASE_MS);
  signal_zone (c, "a", 0);
  return takeovers (c);
}

static guint
freeze_server (Cluster *c, GRand *rand)
{
  guint before = sum_metric (c, "assign", "capercrank_assignment_steps");

  (void) rand;
  cluster_signal (c, "catalogue-1", SIGSTOP);
  cluster_signal (c, "gate-payment-1", SIGSTOP);
  pause_ms (PAST_LEASE_MS);
  cluster_signal (c, "catalogue-1", SIGCONT);
  cluster_signal (c, "gate-payment-1", SIGCONT);
  return sum_metric (c, "assign", "capercrank_assignment_steps") - before;
}

/* The servers are paused with requests in progress and fail their health
 * checks.  Once resumed, that work could take effect concurrently with the new
 * owner's. */
static guint
freeze_server_inside (Cluster *c, GRand *rand)
{
  guint steps = sum_metric (c, "assign", "capercrank_assignment_steps");

  (void) rand;
  cluster_set_server_behaviour (c, "group-booking-1", "work_us=300000");
  cluster_set_server_behaviour (c, "gate-payment-1", "work_us=300000");
  pause_ms (1000);
  cluster_signal (c, "group-booking-1", SIGSTOP);
  cluster_signal (c, "gate-payment-1", SIGSTOP);
  pause_ms (PAST_LEASE_MS);
  cluster_signal (c, "group-booking-1", SIGCONT);
  cluster_signal (c, "gate-payment-1", SIGCONT);
  cluster_set_server_behaviour (c, "group-booking-1", "work_us=12000");
  cluster_set_server_behaviour (c, "gate-payment-1", "work_us=8000");
  return sum_metric (c, "assign", "capercrank_assignment_steps") - steps;
}

static guint
freeze_entry (Cluster *c, GRand *rand)
{
  guint i = pick_instance (rand, c);
  guint before = read_metric (c, "entry", i, "capercrank_messages_received");

  signal_or_restart (c, "entry", i, SIGSTOP);
  pause_ms (4000);
  signal_or_restart (c, "entry", i, SIGCONT);
  pause_ms (500);
  return read_metric (c, "entry", i, "capercrank_messages_received") > before;
}

/* Returns how often leases were extended by votes instead of the platform. */
static guint
extensions (Cluster *c)
{
  return sum_metric (c, "dispatch", "capercrank_lease_extensions");
}

/* Puts the platform into MODE for PAST_LEASE_MS.  Returns how many times leases
 * were extended by votes instead. */
static guint
platform_fault (Cluster *c, const char *mode, guint ms)
{
  guint before = extensions (c);

  cluster_set_platform_fault (c, mode, ms);
  pause_ms (PAST_LEASE_MS);
  cluster_set_platform_fault (c, "up", 0);
  return extensions (c) - before;
}

static guint
platform_down (Cluster *c, GRand *rand)
{
  (void) rand;
  return platform_fault (c, "down", 0);
}

/* Slower than the timeout of the calls: every write takes effect after its
 * caller has timed out. */
static guint
platform_slow (Cluster *c, GRand *rand)
{
  (void) rand;
  return platform_fault (c, "slow", 1800);
}

/* Every write takes effect and its answer is lost, while a server leaves and a
 * dispatcher is killed: lease renewals, a move and a takeover at once. */
static guint
platform_loses_answers (Cluster *c, GRand *rand)
{
  guint i = pick_instance (rand, c);
  guint before = sum_metric (c, "dispatch", "capercrank_platform_failures");

  cluster_set_state (c, "catalogue-2", "leaving");
  signal_or_restart (c, "dispatch", i, SIGKILL);
  platform_fault (c, "lose", 0);
  signal_or_restart (c, "dispatch", i, 0);
  return sum_metric (c, "dispatch", "capercrank_platform_failures") > before;
}

static guint
cut_zone_from_platform (Cluster *c, GRand *rand)
{
  guint before = extensions (c);

  (void) rand;
  cluster_set_relay_rule (c, "cut", "a", "platform");
  pause_ms (PAST_LEASE_MS);
  cluster_set_relay_rule (c, "heal", "", "");
  return extensions (c) - before;
}

static guint
cut_zone_from_others (Cluster *c, GRand *rand)
{
  guint cut = 0;

  (void) rand;
  cut += cluster_set_relay_rule (c, "cut", "a", "b");
  cut += cluster_set_relay_rule (c, "cut", "a", "c");
  pause_ms (PAST_LEASE_MS);
  cluster_set_relay_rule (c, "heal", "", "");
  return cut;
}

static void
cut_zone (Cluster *c, gboolean from_platform)
{
  cluster_set_relay_rule (c, "cut", "a", "b");
  cluster_set_relay_rule (c, "cut", "a", "c");
  if (from_platform)
    cluster_set_relay_rule (c, "cut", "a", "platform");
}

static guint
cut_zone_from_all (Cluster *c, GRand *rand)
{
  guint before = takeovers (c);

  (void) rand;
  cut_zone (c, TRUE);
  pause_ms (PAST_LEASE_MS);
  cluster_set_relay_rule (c, "heal", "", "");
  return takeovers (c) - before;
}

/* Returns the zone of a process. */
static const char *
zone_of (Cluster *c, const char *program, guint instance)
{
  g_autofree char *name = g_strdup_printf ("%s-%u", program, instance);

  return cluster_find (c, name)->zone;
}

/* The active assigner's zone is cut off from the other zones and still reaches
 * the platform; a dispatcher elsewhere is killed.  The assigner cannot reach a
 * majority of the voters and has to let another one become active. */
static guint
cut_off_assigner (Cluster *c, GRand *rand)
{
  static const char *const zones[] = { "a", "b", "c" };
  guint active = active_assigner (c), lost = 0, before = takeovers (c), next;
  const char *zone = active != 0 ? zone_of (c, "assign", active) : "";

  (void) rand;
  for (guint i = 0; active != 0 && i < G_N_ELEMENTS (zones); i++)
    if (!g_str_equal (zones[i], zone))
      cluster_set_relay_rule (c, "cut", zone, zones[i]);
  for (guint i = 1; i <= c->instances; i++)
    if (!g_str_equal (zone_of (c, "dispatch", i), zone))
      lost = i;
  signal_or_restart (c, "dispatch", lost, SIGKILL);
  pause_ms (PAST_LEASE_MS);
  next = active_assigner (c);
  cluster_set_relay_rule (c, "heal", "", "");
  signal_or_restart (c, "dispatch", lost, 0);
  pause_ms (1000);
  return next != active ? takeovers (c) - before : 0;
}

/* Submits the document with "cut_off": "keep" in each pool that has
 * "checks_grants", against successive versions until one matches. */
static gboolean
submit_cut_off_keep (Cluster *c)
{
  g_auto (GStrv) parts = g_strsplit (c->document, "\"checks_grants\"", -1);
  g_autofree char *text =
      g_strjoinv ("\"cut_off\" : \"keep\", \"checks_grants\"", parts);
  g_autofree char *admin = cluster_admin (c, "assign", 1);
  g_autofree char *url = g_strconcat ("http://", admin, "/v1/config", NULL);

  for (guint version = 1; version < 200; version++)
    {
      g_autofree char *match = g_strdup_printf ("%u", version);

      if (cluster_http ("PUT", url, text, match, NULL) == 200)
        return TRUE;
    }
  return FALSE;
}

/* Pools with "cut_off": "keep".  A zone is isolated; its dispatchers go on
 * serving the callers of the zone without a lease, and their servers are not
 * taken over.  Then one of its instances is killed and listed as gone; only
 * after that are its servers taken over. */
static guint
cut_off_keep (Cluster *c, GRand *rand)
{
  guint before, served, held;

  (void) rand;
  if (!submit_cut_off_keep (c))
    return 0;
  pause_ms (2000);
  cut_zone (c, TRUE);
  pause_ms (4000);
  before = read_metric (c, "entry", 3, "capercrank_requests_in_target");
  pause_ms (2000);
  served = read_metric (c, "entry", 3, "capercrank_requests_in_target");
  held = read_metric (c, "dispatch", 3, "capercrank_lease_held");
  cluster_set_relay_rule (c, "heal", "", "");
  pause_ms (3000);
  cluster_signal (c, "dispatch-3", SIGKILL);
  cluster_set_state (c, "i3", "gone");
  pause_ms (PAST_LEASE_MS);
  cluster_set_state (c, "i3", "live");
  cluster_restart (c, "dispatch-3");
  fprintf (stderr, "%u served in the cut zone without a lease (held %u)\n",
           served - before, held);
  return held == 0 ? served - before : 0;
}

/* A zone is isolated, then cut off from the platform only; then the platform is
 * down. */
static guint
cut_again (Cluster *c, GRand *rand)
{
  guint hits = cut_zone_from_all (c, rand);

  pause_ms (3000);
  hits = MIN (hits, cut_zone_from_platform (c, rand));
  pause_ms (1000);
  return MIN (hits, platform_down (c, rand));
}

const Scenario lease_scenarios[] = {
  { "kill-dispatcher",
    "Requests in flight get unknown, new ones not-run until its servers are "
    "taken over.",
    14, 1, kill_dispatcher, TRUE },
  { "kill-two-dispatchers", "Two dispatchers are killed at once.", 14, 1,
    kill_two_dispatchers, FALSE },
  { "kill-assigner",
    "The active assigner and a dispatcher are killed; another takes over.", 16,
    1, kill_assigner, FALSE },
  { "kill-zone", "All processes of a zone's instances are killed at once.", 14,
    1, kill_zone, FALSE },
  { "freeze-dispatcher",
    "A dispatcher is paused past its lease; once resumed it must send nothing.",
    14, 1, freeze_dispatcher, TRUE },
  { "freeze-server", "Servers are paused and resumed; their slices have moved.",
    14, 1, freeze_server, FALSE },
  { "freeze-server-inside",
    "Servers are paused with work in progress, and finish it after the move.",
    16, 1, freeze_server_inside, FALSE },
  { "freeze-entry",
    "An entry is paused; its callers wait, late answers are dropped.", 12, 1,
    freeze_entry, FALSE },
  { "platform-down",
    "The table is down for longer than any lease; requests are still served.",
    14, 1, platform_down, TRUE },
  { "platform-slow", "Every write takes effect after its caller has timed out.",
    14, 1, platform_slow, FALSE },
  { "platform-loses",
    "Writes take effect, their answers are lost: renewals, a move, a takeover.",
    16, 1, platform_loses_answers, FALSE },
  { "cut-zone-from-platform", "A zone is cut off from the platform only.", 14,
    1, cut_zone_from_platform, FALSE },
  { "cut-zone-from-others", "A zone is cut off from the other zones only.", 14,
    1, cut_zone_from_others, FALSE },
  { "cut-zone-from-all",
    "A zone is cut off from the other zones and the platform.", 14, 1,
    cut_zone_from_all, FALSE },
  { "cut-off-assigner",
    "The active assigner reaches the platform, but no majority of voters.", 16,
    1, cut_off_assigner, FALSE },
  { "cut-off-keep",
    "An isolated zone goes on serving without a lease; an instance is gone.",
    24, 1, cut_off_keep, FALSE },
  { "cut-again", "Partitions and a platform outage, one after another.", 32, 1,
    cut_again, FALSE },
  { NULL, NULL, 0, 0, NULL, FALSE }
};
