/* Silent connections, repeats of once-only requests, and drains.  Guards
 * against a repeat that runs twice and against answers that are lost in a
 * drain. */
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

/* Returns the instance of the dispatcher that holds most outcomes, and their
 * number: the one whose loss or drain affects most repeats. */
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
  guint outcomes, before, chunks;

  (void) rand;
  pause_ms (1500);
  name = g_strdup_printf ("dispatch-%u", fullest_dispatcher (c, &outcomes));
  before = sum_metric (c, "dispatch", "capercrank_outcomes_received");
  cluster_signal (c, name, SIGTERM);
  if (!cluster_wait_exit (c, name, 15))
    return 0;
  chunks = sum_metric (c, "dispatch", "capercrank_outcomes_received") - before;
  fprintf (stderr, "%s exited with %u outcomes, %u chunks were received\n",
           name, outcomes, chunks);
  cluster_restart (c, name);
  pause_ms (2000);
  return MIN (outcomes, chunks);
}

/* Returns the requests that entry 2 had received when it was stopped. */
static guint
drain_entry (Cluster *c, GRand *rand)
{
  guint requests;

  (void) rand;
  requests = read_metric (c, "entry", 2, "capercrank_requests");
  cluster_signal (c, "entry-2", SIGTERM);
  if (!cluster_wait_exit (c, "entry-2", 30))
    return 0;
  cluster_restart (c, "entry-2");
  return requests;
}

/* Connections of each of the four kinds of link turn silent while in use: the
 * relay discards what they carry.  Returns the smaller number of those between
 * the processes of the deployment and of those to servers; 0 unless the
 * processes detected both. */
static guint
silence_links (Cluster *c, GRand *rand)
{
  guint own, found, dropped, to_servers;

  (void) rand;
  own = cluster_set_relay_rule (c, "silence", "instance-1", "dispatch-2");
  pause_ms (1500);
  own += cluster_set_relay_rule (c, "silence", "instance-2", "entry-3");
  pause_ms (1500);
  to_servers = cluster_set_relay_rule (c, "silence", "b", "catalogue-1") +
               cluster_set_relay_rule (c, "silence", "c", "catalogue-2");
  pause_ms (1500);
  dropped = sum_metric (c, "dispatch", "capercrank_pools_dropped");
  found = sum_metric (c, "entry", "capercrank_links_silent") +
          sum_metric (c, "dispatch", "capercrank_links_silent");
  fprintf (
      stderr,
      "\n%u internal links silenced, %u detected; %u connections to servers "
      "silenced, %u pools dropped\n",
      own, found, to_servers, dropped);
  return found >= 2 && dropped >= 1 ? MIN (own, to_servers) : 0;
}

/* The kernel keeps the connections of a paused process open and accepts new
 * ones, so entries have to detect it by the missing responses. */
static guint
freeze_dispatcher (Cluster *c, GRand *rand)
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
  fprintf (stderr, "%u entries detected that %s is silent\n", found, name);
  return found;
}

#define LAST_WORK_WITHIN (3 * CC_SECOND) /* of being listed as leaving */

/* Returns when SERVER began its last request, by its records, in us of the wall
 * clock; 0 if there are none. */
static gint64
last_work_start (Cluster *c, const char *server)
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

/* Lists two servers as leaving and kills the process LOST, unless NULL, at that
 * moment.  Returns 2 if both got requests until then and began none later than
 * LAST_WORK_WITHIN after it, or else 0. */
static guint
list_as_leaving (Cluster *c, const char *lost)
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
      gint64 last = last_work_start (c, servers[i]);

      fprintf (stderr,
               "%s began its last work %" G_GINT64_FORMAT
               " ms after it was listed as leaving\n",
               servers[i], (last - since) / CC_MS);
      left += last > since - CC_SECOND && last < since + LAST_WORK_WITHIN;
    }
  return left == G_N_ELEMENTS (servers) ? left : 0;
}

static guint
server_leaves (Cluster *c, GRand *rand)
{
  (void) rand;
  return list_as_leaving (c, NULL);
}

static guint
server_leaves_entry_lost (Cluster *c, GRand *rand)
{
  g_autofree char *entry = g_strdup_printf (
      "entry-%d", g_rand_int_range (rand, 1, (gint32) c->instances + 1));
  guint left = list_as_leaving (c, entry);

  cluster_restart (c, entry);
  return left;
}

/* Latency of the platform while the servers leave. */
#define SLOW_MS 900

/* The moves of leaving servers must complete although each of the platform's
 * answers is slow. */
static guint
server_leaves_platform_late (Cluster *c, GRand *rand)
{
  guint left;

  (void) rand;
  cluster_set_platform_fault (c, "slow", SLOW_MS);
  pause_ms (2000);
  left = list_as_leaving (c, NULL);
  cluster_set_platform_fault (c, "up", 0);
  return left;
}

const Scenario outcome_scenarios[] = {
  { "silent-links", "Open connections lose all data while new ones work.", 10,
    3, silence_links, TRUE },
  { "frozen-dispatcher-told",
    "A dispatcher is paused with its connections open: callers get unknown "
    "once its lease must have expired; new requests are refused with a retry "
    "time.",
    12, 1, freeze_dispatcher, FALSE },
  { "repeats",
    "The same key through another entry, during the first attempt, after it "
    "and seconds later: it runs once and has one outcome.",
    10, 1, repeats, FALSE },
  { "repeats-after-kill",
    "The dispatcher that ran them is killed; late repeats are unknown, never "
    "run again.",
    14, 3, repeats_after_kill, TRUE },
  { "drain-dispatcher",
    "SIGTERM: its servers and outcomes go to peers; no answer is unknown.", 14,
    3, drain_dispatcher, FALSE },
  { "drain-entry",
    "SIGTERM: readiness fails, the balancer leaves it, no request is cut off.",
    10, 1, drain_entry, FALSE },
  { "server-leaves",
    "A server is listed as leaving: no request is cut off, none new after 3 s.",
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
