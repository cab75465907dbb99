/* Failures of connections, repeats and drains. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "capercrank.h"
#include "prove.h"

static guint
repeats (Cluster *c, GRand *rand)
{
  (void) rand;
  pause_ms (5000);
  return sum_metric (c, "dispatch", "capercrank_repeats_answered");
}

/* The dispatcher that remembers most: its loss is the one that counts. */
static guint
fullest_dispatcher (Cluster *c, guint *outcomes)
{
  guint best = 1;

  *outcomes = 0;
  for (guint i = 1; i <= c->instances; i++)
    {
      guint n = read_metric (c, "dispatch", i, "capercrank_outcomes");

      if (n <= *outcomes)
        continue;
      *outcomes = n;
      best = i;
    }
  return best;
}

static guint
repeats_after_kill (Cluster *c, GRand *rand)
{
  g_autofree char *name = NULL;
  guint outcomes;

  (void) rand;
  pause_ms (1500);
  name = g_strdup_printf ("dispatch-%u", fullest_dispatcher (c, &outcomes));
  cluster_signal (c, name, SIGKILL);
  pause_ms (5000);
  cluster_restart (c, name);
  fprintf (stderr, "%s lost %u outcomes\n", name, outcomes);
  return outcomes;
}

static guint
drain_dispatcher (Cluster *c, GRand *rand)
{
  g_autofree char *name = NULL;
  guint outcomes, before, passed;

  (void) rand;
  pause_ms (1500);
  name = g_strdup_printf ("dispatch-%u", fullest_dispatcher (c, &outcomes));
  before = sum_metric (c, "dispatch", "capercrank_outcomes_received");
  cluster_signal (c, name, SIGTERM);
  if (!cluster_wait_exit (c, name, 15))
    return 0;
  passed = sum_metric (c, "dispatch", "capercrank_outcomes_received") - before;
  fprintf (stderr, "%s with %u outcomes left, %u chunks came\n", name, outcomes,
           passed);
  cluster_restart (c, name);
  pause_ms (2000);
  return MIN (outcomes, passed);
}

static guint
drain_entry (Cluster *c, GRand *rand)
{
  guint asked;

  (void) rand;
  asked = read_metric (c, "entry", 2, "capercrank_requests");
  cluster_signal (c, "entry-2", SIGTERM);
  if (!cluster_wait_exit (c, "entry-2", 30))
    return 0;
  cluster_restart (c, "entry-2");
  return asked;
}

/* Each of the four kinds of link goes silent in turn, in use; counted are the
 * connections that were swallowed between our own processes, and it fails
 * unless they were found to be silent. */
static guint
silence_links (Cluster *c, GRand *rand)
{
  guint ours, found, dropped, theirs;

  (void) rand;
  ours = cluster_set_relay_rule (c, "silence", "instance-1", "dispatch-2");
  pause_ms (1500);
  ours += cluster_set_relay_rule (c, "silence", "instance-2", "entry-3");
  pause_ms (1500);
  theirs = cluster_set_relay_rule (c, "silence", "b", "catalogue-1") +
           cluster_set_relay_rule (c, "silence", "c", "catalogue-2");
  pause_ms (1500);
  dropped = sum_metric (c, "dispatch", "capercrank_pools_dropped");
  found = sum_metric (c, "entry", "capercrank_links_silent") +
          sum_metric (c, "dispatch", "capercrank_links_silent");
  fprintf (stderr,
           "\n%u links of ours swallowed, %u found silent; %u connections to "
           "servers swallowed, %u pools dropped\n",
           ours, found, theirs, dropped);
  return found >= 2 && dropped >= 1 ? MIN (ours, theirs) : 0;
}

/* A frozen process keeps its connections open and accepts new ones. */
static guint
freeze_and_ask (Cluster *c, GRand *rand)
{
  guint before = sum_metric (c, "entry", "capercrank_links_silent");
  guint outcomes, found, frozen = fullest_dispatcher (c, &outcomes);
  g_autofree char *name = g_strdup_printf ("dispatch-%u", frozen);

  (void) rand;
  cluster_signal (c, name, SIGSTOP);
  pause_ms (1500);
  found = sum_metric (c, "entry", "capercrank_links_silent") - before;
  pause_ms (4000);
  cluster_signal (c, name, SIGCONT);
  fprintf (stderr, "%u entries found %s silent\n", found, name);
  return found;
}

#define LEAVES_WITHIN (3 * CC_SECOND) /* then no new work */

/* When SERVER began its last work, by its own record, wall clock in us. */
static gint64
last_begin (Cluster *c, const char *server)
{
  g_autofree char *path = g_strdup_printf ("%s/%s.records", c->folder, server);
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  gint64 last = 0;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) f = g_strsplit (lines[i], " ", -1);

      if (g_strv_length (f) == 9 && f[0][0] == 'B')
        last = MAX (last, g_ascii_strtoll (f[7], NULL, 10));
    }
  return last;
}

/* How many of two servers worked until they were listed as leaving, and began
 * nothing later than LEAVES_WITHIN after.  LOST is killed at that moment. */
static guint
leave (Cluster *c, const char *lost)
{
  static const char *const servers[] = { "catalogue-2", "group-booking-2" };
  gint64 since = g_get_real_time ();
  guint left = 0;

  for (guint i = 0; i < G_N_ELEMENTS (servers); i++)
    cluster_set_state (c, servers[i], "leaving");
  if (lost != NULL)
    cluster_signal (c, lost, SIGKILL);
  pause_ms (6000);
  for (guint i = 0; i < G_N_ELEMENTS (servers); i++)
    {
      gint64 last = last_begin (c, servers[i]);

      fprintf (stderr,
               "%s began its last work %" G_GINT64_FORMAT
               " ms after it was listed as leaving\n",
               servers[i], (last - since) / CC_MS);
      left += last > since - CC_SECOND && last < since + LEAVES_WITHIN;
    }
  return left == G_N_ELEMENTS (servers) ? left : 0;
}

static guint
server_leaves (Cluster *c, GRand *rand)
{
  (void) rand;
  return leave (c, NULL);
}

static guint
server_leaves_entry_lost (Cluster *c, GRand *rand)
{
  g_autofree char *entry = g_strdup_printf (
      "entry-%d", g_rand_int_range (rand, 1, (gint32) c->instances + 1));
  guint left = leave (c, entry);

  cluster_restart (c, entry);
  return left;
}

/* Slower than usual for the whole time of the move. */
#define LATE_MS 900

/* The moves of leaving servers end although each answer is late. */
static guint
server_leaves_platform_late (Cluster *c, GRand *rand)
{
  guint left;

  (void) rand;
  cluster_set_platform_fault (c, "slow", LATE_MS);
  pause_ms (2000);
  left = leave (c, NULL);
  cluster_set_platform_fault (c, "up", 0);
  return left;
}

const Scenario outcome_scenarios[] = {
  { "silent-links",
    "Open connections swallow everything for good while new ones work.", 10, 3,
    silence_links, TRUE },
  { "frozen-dispatcher-told",
    "A dispatcher freezes with its connections open: unknown is said when its "
    "lease must have lapsed, new requests are refused with a time to come "
    "back.",
    12, 1, freeze_and_ask, FALSE },
  { "repeats",
    "The same key through another entry, during the first attempt, after it "
    "and seconds later; one run, one outcome.",
    10, 1, repeats, FALSE },
  { "repeats-after-kill",
    "The dispatcher that ran them is killed; late repeats are unknown, never "
    "run again.",
    14, 3, repeats_after_kill, TRUE },
  { "drain-dispatcher",
    "SIGTERM: its servers and its memory go to others; nobody is told unknown.",
    14, 3, drain_dispatcher, FALSE },
  { "drain-entry",
    "SIGTERM: readiness fails, the balancer turns away, nothing is cut off.",
    10, 1, drain_entry, FALSE },
  { "server-leaves",
    "A server is listed as leaving; nothing is cut off, no new work after 3 s.",
    10, 1, server_leaves, TRUE },
  { "server-leaves-platform-late",
    "As server-leaves, while each answer of the platform takes 0.9 s.", 12, 1,
    server_leaves_platform_late, FALSE },
  { "server-leaves-entry-lost",
    "As server-leaves, and an entry is killed at that moment.", 10, 1,
    server_leaves_entry_lost, FALSE },
  { NULL, NULL, 0, 0, NULL, FALSE }
};

const char *const no_unknown_scenarios[] = { "repeats",
                                             "drain-dispatcher",
                                             "drain-entry",
                                             "server-leaves",
                                             "server-leaves-platform-late",
                                             NULL };
