/* Starts a deployment, drives its workloads, prints the table and the audit,
 * and ends everything.  demo DEPLOYMENT [SECONDS [PERCENT]] */
#include <stdio.h>
#include <stdlib.h>

#include "harness.h"

static int
run_load (Cluster *c, const char *seconds, const char *percent)
{
  g_autofree char *binary = g_strconcat (c->bin, "/test/load", NULL);
  g_autofree char *list = cluster_entries (c);
  g_autofree char *entries = g_strconcat ("--entries=", list, NULL);
  g_autofree char *records = g_strconcat ("--records=", c->folder, NULL);
  g_autofree char *file = g_strconcat ("--deployment=", c->file, NULL);
  g_autofree char *length = g_strconcat ("--seconds=", seconds, NULL);
  g_autofree char *rate = g_strconcat ("--percent=", percent, NULL);
  char *argv[] = { binary, entries, records, file, length, rate, NULL };

  return cluster_wait (cluster_spawn (c, argv, NULL));
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
      fprintf (stderr, "usage: demo DEPLOYMENT [SECONDS [PERCENT]]\n");
      return 2;
    }
  c = cluster_start (bin, argv[1]);
  fprintf (stderr, "%u processes, logs and records in %s\n", c->processes->len,
           c->folder);
  if (cluster_wait_ready (c, 30))
    code = run_load (c, argc > 2 ? argv[2] : "20", argc > 3 ? argv[3] : "100");
  cluster_stop (c);
  return code;
}
