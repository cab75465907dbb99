/* The path of entry, dispatcher and assigner: starts a deployment, drives its
 * workloads, prints the table and the audit, and ends everything.
 *   demo_path DEPLOYMENT [SECONDS [PERCENT]] */
#include <stdio.h>
#include <stdlib.h>

#include "harness.h"

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
