/* Measures the throughput and latency of one entry with one dispatcher, and of
 * one gateway, each against a minimal libsoup relay and the server itself in
 * the same run.  bench_path [SECONDS [GATEWAY-ONLY]]: any second argument skips
 * the entry and dispatcher. */
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

/* Returns the resident memory of PID in MiB, 0 if there is no such process. */
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

/* Starts the bare relay from LISTEN to TO.  Returns its process id. */
static int
start_bare_relay (Cluster *c, const char *listen, const char *to)
{
  g_autofree char *binary = g_strconcat (c->bin, "/test/bare_relay", NULL);
  g_autofree char *at = g_strconcat ("--listen=", listen, NULL);
  g_autofree char *server = g_strconcat ("--to=", to, NULL);
  char *argv[] = { binary, at, server, NULL };

  return cluster_spawn (c, argv, "bare");
}

/* Prints the resident memory of the processes of instance 1. */
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

/* Compares entry and dispatcher with the bare relay, both in front of the same
 * server. */
static void
bench_router (Cluster *c, double seconds)
{
  g_autofree char *server = g_strdup_printf ("127.%u.2.1:9000", c->net);
  g_autofree char *bare = g_strdup_printf ("127.%u.3.1:8080", c->net);
  g_autofree char *entry = g_strdup_printf ("127.%u.1.1:8080", c->net);
  int bare_pid = start_bare_relay (c, bare, server);
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

/* The request to the gateway, with an id and a deadline as callers set them. */
static const char gateway_request[] =
    "GET /slots/7 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c41d07be2a35f68\r\n"
    "X-Deadline-Ms: 2000\r\n\r\n";

/* Starts test program NAME, which is killed when this process exits. */
static GSubprocess *
start_program (const char *bin, const char *name, const char *const *arguments)
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

/* Compares the gateway, with SERVERS servers in its table, with the bare relay
 * in front of the first of them. */
static void
bench_gateway (const char *bin, double seconds, const char *servers)
{
  guint net = free_net ();
  g_autofree char *table = g_strdup_printf ("127.%u.0.2:7000", net);
  g_autofree char *server = g_strdup_printf ("127.%u.2.1:9000", net);
  g_autofree char *bare = g_strdup_printf ("127.%u.3.1:8080", net);
  g_autofree char *ip = g_strdup_printf ("127.%u.1.1", net);
  g_autofree char *gateway = g_strdup_printf ("%s:%d", ip, GATEWAY_LISTEN);
  g_autofree char *program = g_build_filename (bin, "capercrank-gateway", NULL);
  g_autofree char *net_text = g_strdup_printf ("%u", net);
  const char *server_arguments[] = { "--table",   table,   "--net", net_text,
                                     "--servers", servers, NULL };
  const char *relay_arguments[] = { "--listen", bare, "--to", server, NULL };
  GatewayOptions place = { .program = program,
                           .instance = "i1",
                           .zone = "a",
                           .ip = ip,
                           .table = table,
                           .grace = 500,
                           .log = "/dev/null" };
  GSubprocess *all[] = { start_program (bin, "direct_stand", server_arguments),
                         start_program (bin, "bare_relay", relay_arguments),
                         gateway_spawn (&place, NULL) };
  Side sides[] = {
    { .name = "direct", .address = server, .request = gateway_request },
    { .name = "bare",
      .address = bare,
      .request = gateway_request,
      .pids = { pid_of (all[1]), 0 } },
    { .name = "gateway",
      .address = gateway,
      .request = gateway_request,
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
  gboolean gateway_only = argc > 2;
  Cluster *c;
  gboolean ready;

  bench_gateway (bin, seconds, "1");
  bench_gateway (bin, seconds, "200");
  if (gateway_only)
    return 0;
  c = cluster_start (bin, "test/path.json", FALSE);
  ready = cluster_wait_ready (c, 30);
  if (ready)
    bench_router (c, seconds);
  cluster_stop (c);
  return ready ? 0 : 1;
}
