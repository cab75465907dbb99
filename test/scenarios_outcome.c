/* Failures of connections, repeats and drains. */
#include "prove.h"

static guint
silence_links (Cluster *c, GRand *rand)
{
  (void) rand;
  return cluster_relay (c, "silence", "instance-1", "dispatch-2") +
         cluster_relay (c, "silence", "instance-2", "group-booking-1") +
         cluster_relay (c, "silence", "b", "catalogue-1");
}

static guint
server_leaves (Cluster *c, GRand *rand)
{
  (void) rand;
  cluster_list (c, "catalogue-2", "leaving");
  cluster_list (c, "group-booking-2", "leaving");
  pause_ms (6000);
  return 1;
}

const Scenario outcome_scenarios[] = {
  { "silent-links",
    "Open connections swallow everything for good while new ones work.", 10, 3,
    silence_links, FALSE },
  { "server-leaves",
    "A server is listed as leaving; nothing is cut off, no new work after 3 s.",
    10, 1, server_leaves, TRUE },
  { NULL, NULL, 0, 0, NULL, FALSE }
};
