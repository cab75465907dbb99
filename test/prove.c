/* prove SCENARIO [SEED]: starts a deployment whose links pass through the
 * relay, sends load, injects the faults of a scenario and passes if they took
 * effect and the audit of the load generator found no violation.  "prove list"
 * prints the scenarios, "prove check" runs those of make check, "prove all"
 * runs all. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "prove.h"

#define DEPLOYMENT "test/small.json"
#define LOAD_PERCENT 100
#define DUPLICATE_PERCENT "20" /* of once-only requests are sent twice */

static const Scenario *const groups[] = { config_scenarios, lease_scenarios,
                                          operator_scenarios, outcome_scenarios,
                                          assignment_scenarios };

/* Blocks for MS milliseconds; the processes of the deployment run on. */
void
pause_ms (guint ms)
{
  g_usleep ((gulong) ms * 1000);
}

/* Sets the options that the load generator reads from the environment. */
static void
set_load_options (const Scenario *s)
{
  gboolean no_unknown = g_strv_contains (no_unknown_scenarios, s->name);

  g_setenv ("CAPERCRANK_TWINS", DUPLICATE_PERCENT, TRUE);
  g_setenv ("CAPERCRANK_CALM", no_unknown ? "1" : "0", TRUE);
  g_setenv ("CAPERCRANK_HEALTH_PORT", no_unknown ? "8081" : "0", TRUE);
}

/* Returns a counter or gauge of one process, summed over all its label sets; 0
 * if the process does not respond. */
guint
read_metric (Cluster *c, const char *program, guint instance, const char *name)
{
  g_autofree char *admin = cluster_admin (c, program, instance);
  g_autofree char *url = g_strconcat ("http://", admin, "/metrics", NULL);
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  double sum = 0;

  cluster_http ("GET", url, NULL, NULL, &text);
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    if (g_str_has_prefix (lines[i], name) &&
        (lines[i][strlen (name)] == ' ' || lines[i][strlen (name)] == '{'))
      sum += g_ascii_strtod (strrchr (lines[i], ' '), NULL);
  return (guint) sum;
}

/* Returns read_metric summed over all processes of PROGRAM. */
guint
sum_metric (Cluster *c, const char *program, const char *name)
{
  guint sum = 0;

  for (guint i = 1; i <= c->instances; i++)
    sum += read_metric (c, program, i, name);
  return sum;
}

/* Runs S with SEED and prints its result as a TAP line. */
static gboolean
prove (const char *bin, const Scenario *s, guint seed)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  Cluster *c = cluster_start (bin, DEPLOYMENT, TRUE);
  gboolean passed = cluster_wait_ready (c, 30);
  guint hits = 0;
  int load = 0;

  set_load_options (s);
  fprintf (stderr, "%s, seed %u, in %s\n", s->name, seed, c->folder);
  if (passed)
    {
      load = cluster_load (c, s->seconds, LOAD_PERCENT, s->repeats, seed);
      pause_ms (2000);
      hits = s->run (c, rand);
      passed = cluster_wait (load) == 0;
    }
  cluster_stop (c);
  if (hits == 0)
    fprintf (stderr, "the fault did not fall inside its window\n");
  printf ("%s 1 - prove_%s\n", passed && hits > 0 ? "ok" : "not ok", s->name);
  fflush (stdout);
  return passed && hits > 0;
}

int
main (int argc, char **argv)
{
  g_autofree char *test_folder = g_path_get_dirname (argv[0]);
  g_autofree char *bin = g_path_get_dirname (test_folder);
  const char *requested = argc > 1 ? argv[1] : "list";
  guint seed = argc > 2 ? (guint) atoi (argv[2]) : 1;
  guint matched = 0, failed = 0;

  for (guint g = 0; g < G_N_ELEMENTS (groups); g++)
    for (const Scenario *s = groups[g]; s->name != NULL; s++)
      {
        if (g_str_equal (requested, "list"))
          printf ("%-26s %s\n", s->name, s->description);
        else if (g_str_equal (requested, s->name) ||
                 g_str_equal (requested, "all") ||
                 (g_str_equal (requested, "check") && s->in_check))
          {
            matched++;
            failed += prove (bin, s, seed) ? 0 : 1;
          }
      }
  if (matched == 0 && !g_str_equal (requested, "list"))
    fprintf (stderr, "no scenario \"%s\"\n", requested);
  return failed > 0 || (matched == 0 && !g_str_equal (requested, "list"));
}
