/* A demonstration of the path through entry, dispatcher and assigner: starts a
 * deployment, sends its load, prints latencies and the audit, and stops it.
 *   demo_path DEPLOYMENT [SECONDS [PERCENT]]
 * Exits with 0 if the audit found no fault. */
#include <stdio.h>
#include <stdlib.h>

#include "harness.h"

/* Returns argument AT as a number, FALLBACK if there is none. */
static guint
number (int argc, char **argv, int at, guint fallback)
{
  return argc > at ? (guint) atoi (argv[at]) : fallback;
}

int
main (int argc, char **argv)
{
  g_autofree char *tests = g_path_get_dirname (argv[0]);
  g_autofree char *bin = g_path_get_dirname (tests);
  Cluster *c;
  int code = 1;

  if (argc < 2)
    {
      fprintf (stderr, "usage: demo_path DEPLOYMENT [SECONDS [PERCENT]]\n");
      return 2;
    }
  c = cluster_start (bin, argv[1], FALSE);
  fprintf (stderr, "%u processes, logs and records in %s\n", c->processes->len,
           c->folder);
  if (cluster_wait_ready (c, 30))
    code = cluster_wait (cluster_load (c, number (argc, argv, 2, 20),
                                       number (argc, argv, 3, 100), 1, 1));
  cluster_stop (c);
  return code;
}
