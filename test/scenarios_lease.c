/* Failures of leases, ownership and the platform. */
#include <signal.h>

#include "prove.h"

static char *
pick (GRand *rand, Cluster *c, const char *program)
{
  return g_strdup_printf (
      "%s-%d", program, g_rand_int_range (rand, 1, (gint32) c->instances + 1));
}

static guint
kill_dispatcher (Cluster *c, GRand *rand)
{
  g_autofree char *name = pick (rand, c, "dispatch");

  cluster_signal (c, name, SIGKILL);
  pause_ms (6000);
  cluster_restart (c, name);
  return 1;
}

static guint
freeze_dispatcher (Cluster *c, GRand *rand)
{
  g_autofree char *name = pick (rand, c, "dispatch");

  cluster_signal (c, name, SIGSTOP);
  pause_ms (5000);
  cluster_signal (c, name, SIGCONT);
  return 1;
}

static guint
freeze_server (Cluster *c, GRand *rand)
{
  (void) rand;
  cluster_signal (c, "catalogue-1", SIGSTOP);
  cluster_signal (c, "gate-payment-1", SIGSTOP);
  pause_ms (6000);
  cluster_signal (c, "catalogue-1", SIGCONT);
  cluster_signal (c, "gate-payment-1", SIGCONT);
  return 1;
}

static guint
platform_down (Cluster *c, GRand *rand)
{
  (void) rand;
  cluster_platform (c, "down", 0);
  pause_ms (6000);
  cluster_platform (c, "up", 0);
  return 1;
}

static guint
cut_zone_from_platform (Cluster *c, GRand *rand)
{
  (void) rand;
  cluster_relay (c, "cut", "a", "platform");
  pause_ms (6000);
  return cluster_relay (c, "heal", "", "");
}

static guint
cut_zone_from_all (Cluster *c, GRand *rand)
{
  guint touched = 0;

  (void) rand;
  touched += cluster_relay (c, "cut", "a", "b");
  touched += cluster_relay (c, "cut", "a", "c");
  cluster_relay (c, "cut", "a", "platform");
  pause_ms (6000);
  cluster_relay (c, "heal", "", "");
  return touched;
}

const Scenario lease_scenarios[] = {
  { "kill-dispatcher",
    "Callers get unknown for what was in flight and not-run until its servers "
    "are taken over.",
    14, 1, kill_dispatcher, TRUE },
  { "freeze-dispatcher",
    "It is paused past its lease and comes back unaware; it must send nothing.",
    14, 1, freeze_dispatcher, FALSE },
  { "freeze-server",
    "Servers freeze with work inside and come back; their slices have moved.",
    14, 1, freeze_server, FALSE },
  { "platform-down",
    "The table is down for longer than any lease; serving goes on.", 14, 1,
    platform_down, FALSE },
  { "cut-zone-from-platform",
    "A zone loses the platform, other zones are reachable.", 14, 1,
    cut_zone_from_platform, FALSE },
  { "cut-zone-from-all", "A zone loses the others and the platform.", 14, 1,
    cut_zone_from_all, FALSE },
  { NULL, NULL, 0, 0, NULL, FALSE }
};
