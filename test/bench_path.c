/* Measures what one entry and one dispatcher carry, and what a gateway does
 * that calls servers itself, each beside a bare relay by libsoup and the
 * server, all in one run.  bench_path [SECONDS] */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench_side.h"
#include "free_net.h"
#include "gateway_process.h"
#include "harness.h"

static const char request[] =
    "GET /slots/7 HTTP/1.1\r\nHost: h\r\nX-Class: browse\r\nX-Key: castle-7\r\n"
    "X-Tenant: planner-3\r\nX-Deadline: 9999999999999\r\n\r\n";

static double
resident_mb (int pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", pid);
  g_autofree char *text = NULL;
  const char *line;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  line = strstr (text, "VmRSS:");
  return line != NULL ? (double) atol (line + 6) / 1024 : 0;
}

static int
start_bare (Cluster *c, const char *listen, const char *to)
{
  g_autofree char *binary = g_strconcat (c->bin, "/test/bare_relay", NULL);
  g_autofree char *at = g_strconcat ("--listen=", listen, NULL);
  g_autofree char *server = g_strconcat ("--to=", to, NULL);
  char *argv[] = { binary, at, server, NULL };

  return cluster_spawn (c, argv, "bare");
}

static void
print_memory (Cluster *c)
{
  static const char *const names[] = { "entry-1", "dispatch-1", "assign-1" };
  double sum = 0;

  printf ("resident:");
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      double mb = resident_mb (cluster_find (c, names[i])->pid);

      printf (" %s %.1f MB", names[i], mb);
      sum += mb;
    }
  printf (", %.1f MB in all\n", sum);
}

static void
bench (Cluster *c, double seconds)
{
  g_autofree char *server = g_strdup_printf ("127.%u.2.1:9000", c->net);
  g_autofree char *bare = g_strdup_printf ("127.%u.3.1:8080", c->net);
  g_autofree char *entry = g_strdup_printf ("127.%u.1.1:8080", c->net);
  int bare_pid = start_bare (c, bare, server);
  Side sides[] = {
    { .name = "direct", .address = server, .request = request },
    { .name = "bare",
      .address = bare,
      .request = request,
      .pids = { bare_pid, 0 } },
    { .name = "router",
      .address = entry,
      .request = request,
      .pids = { cluster_find (c, "entry-1")->pid,
                cluster_find (c, "dispatch-1")->pid } },
  };

  g_usleep (500000);
  side_compare (sides, G_N_ELEMENTS (sides), seconds);
  print_memory (c);
  kill (bare_pid, SIGKILL);
  cluster_wait (bare_pid);
}

/* What the gateway is asked for: with an id and a time, as callers give it. */
static const char direct_request[] =
    "GET /slots/7 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c41d07be2a35f68\r\n"
    "X-Deadline-Ms: 2000\r\n\r\n";

static GSubprocess *
start (const char *bin, const char *name, const char *const *arguments)
{
  g_autofree char *program = g_build_filename (bin, "test", name, NULL);
  g_autoptr (GSubprocessLauncher) l =
      g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();

  g_ptr_array_add (argv, program);
  for (guint i = 0; arguments[i] != NULL; i++)
    g_ptr_array_add (argv, (gpointer) arguments[i]);
  g_ptr_array_add (argv, NULL);
  g_subprocess_launcher_set_child_setup (l, exit_with_parent, NULL, NULL);
  return g_subprocess_launcher_spawnv (l, (const char *const *) argv->pdata,
                                       NULL);
}

static int
pid_of (GSubprocess *p)
{
  return atoi (g_subprocess_get_identifier (p));
}

/* The gateway beside the same relay, both in front of one server. */
static void
bench_direct (const char *bin, double seconds, const char *servers)
{
  guint net = free_net ();
  g_autofree char *table = g_strdup_printf ("127.%u.0.2:7000", net);
  g_autofree char *server = g_strdup_printf ("127.%u.2.1:9000", net);
  g_autofree char *bare = g_strdup_printf ("127.%u.3.1:8080", net);
  g_autofree char *ip = g_strdup_printf ("127.%u.1.1", net);
  g_autofree char *gateway = g_strdup_printf ("%s:%d", ip, GATEWAY_LISTEN);
  g_autofree char *program = g_build_filename (bin, "capercrank-gateway", NULL);
  g_autofree char *number = g_strdup_printf ("%u", net);
  const char *stand[] = { "--table",   table,   "--net", number,
                          "--servers", servers, NULL };
  const char *relay[] = { "--listen", bare, "--to", server, NULL };
  GatewayOptions place = { .program = program,
                           .instance = "i1",
                           .zone = "a",
                           .ip = ip,
                           .table = table,
                           .grace = 500,
                           .log = "/dev/null" };
  GSubprocess *all[] = { start (bin, "direct_stand", stand),
                         start (bin, "bare_relay", relay),
                         gateway_spawn (&place, NULL) };
  Side sides[] = {
    { .name = "direct", .address = server, .request = direct_request },
    { .name = "bare",
      .address = bare,
      .request = direct_request,
      .pids = { pid_of (all[1]), 0 } },
    { .name = "gateway",
      .address = gateway,
      .request = direct_request,
      .pids = { pid_of (all[2]), 0 } },
  };

  g_usleep (3000000);
  side_compare (sides, G_N_ELEMENTS (sides), seconds);
  printf ("resident: gateway %.1f MB\n", resident_mb (pid_of (all[2])));
  for (guint i = 0; i < G_N_ELEMENTS (all); i++)
    {
      g_subprocess_force_exit (all[i]);
      g_subprocess_wait (all[i], NULL, NULL);
    }
}

int
main (int argc, char **argv)
{
  g_autofree char *tests = g_path_get_dirname (argv[0]);
  g_autofree char *bin = g_path_get_dirname (tests);
  double seconds = argc > 1 ? atof (argv[1]) : 3;
  gboolean direct_only = argc > 2;
  Cluster *c;
  gboolean ready;

  bench_direct (bin, seconds, "1");
  bench_direct (bin, seconds, "200");
  if (direct_only)
    return 0;
  c = cluster_start (bin, "test/path.json", FALSE);
  ready = cluster_wait_ready (c, 30);
  if (ready)
    bench (c, seconds);
  cluster_stop (c);
  return ready ? 0 : 1;
}
