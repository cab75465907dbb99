/* prove SCENARIO [SEED]: starts a relayed deployment, drives it, provokes the
 * failure and judges by the audit.  prove list names the scenarios; prove
 * check runs the few that belong to make check. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "prove.h"

#define DEPLOYMENT "test/small.json"
#define LOAD_PERCENT 100
#define TWINS_PERCENT "20" /* of once-only requests come twice */

static const Scenario *const groups[] = { config_scenarios, lease_scenarios,
                                          operator_scenarios, outcome_scenarios,
                                          assignment_scenarios };

/* Waits while the deployment runs. */
void
pause_ms (guint ms)
{
  g_usleep ((gulong) ms * 1000);
}

/* The load generator takes these settings from the environment. */
static void
set_load_options (const Scenario *s)
{
  gboolean calm = g_strv_contains (no_unknown_scenarios, s->name);

  g_setenv ("CAPERCRANK_TWINS", TWINS_PERCENT, TRUE);
  g_setenv ("CAPERCRANK_CALM", calm ? "1" : "0", TRUE);
  g_setenv ("CAPERCRANK_HEALTH_PORT", calm ? "8081" : "0", TRUE);
}

/* A counter or gauge of one process, all its labels together; 0 if it doesn't
 * answer. */
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

/* The same over all of PROGRAM's processes. */
guint
sum_metric (Cluster *c, const char *program, const char *name)
{
  guint sum = 0;

  for (guint i = 1; i <= c->instances; i++)
    sum += read_metric (c, program, i, name);
  return sum;
}

static gboolean
prove (const char *bin, const Scenario *s, guint seed)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  Cluster *c = cluster_start (bin, DEPLOYMENT, TRUE);
  gboolean good = cluster_wait_ready (c, 30);
  guint hits = 0;
  int load = 0;

  set_load_options (s);
  fprintf (stderr, "%s, seed %u, in %s\n", s->name, seed, c->folder);
  if (good)
    {
      load = cluster_load (c, s->seconds, LOAD_PERCENT, s->repeats, seed);
      pause_ms (2000);
      hits = s->run (c, rand);
      good = cluster_wait (load) == 0;
    }
  cluster_stop (c);
  if (hits == 0)
    fprintf (stderr, "the fault did not fall inside its window\n");
  printf ("%s 1 - prove_%s\n", good && hits > 0 ? "ok" : "not ok", s->name);
  fflush (stdout);
  return good && hits > 0;
}

int
main (int argc, char **argv)
{
  g_autofree char *tests = g_path_get_dirname (argv[0]);
  g_autofree char *bin = g_path_get_dirname (tests);
  const char *wanted = argc > 1 ? argv[1] : "list";
  guint seed = argc > 2 ? (guint) atoi (argv[2]) : 1;
  guint matched = 0, failed = 0;

  for (guint g = 0; g < G_N_ELEMENTS (groups); g++)
    for (const Scenario *s = groups[g]; s->name != NULL; s++)
      {
        if (g_str_equal (wanted, "list"))
          printf ("%-26s %s\n", s->name, s->tells);
        else if (g_str_equal (wanted, s->name) || g_str_equal (wanted, "all") ||
                 (g_str_equal (wanted, "check") && s->in_check))
          {
            matched++;
            failed += prove (bin, s, seed) ? 0 : 1;
          }
      }
  if (matched == 0 && !g_str_equal (wanted, "list"))
    fprintf (stderr, "no scenario \"%s\"\n", wanted);
  return failed > 0 || (matched == 0 && !g_str_equal (wanted, "list"));
}
