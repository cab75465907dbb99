/* Guards against a load program that never ends, or uses a whole core and so
 * reads no answers, when an entry accepts connections and never answers.  Each
 * request in progress must be bounded in time and inexpensive to track. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <signal.h>
#include <stdint.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "capercrank.h"
#include "clock.h"
#include "free_net.h"
#include "gateway_process.h"

#define PORT 7001
#define SECONDS "2"
/* 2 s of arrivals, 10 s until the last request times out, 1.5 s for servers to
 * exit, and as much again for a busy machine. */
#define END_WITHIN (27 * CC_SECOND)
#define PROCESSOR_MAX_S 1.0 /* CPU time for about 800 requests */
#define BACKLOG 2000

static const char deployment[] =
    "{\"document\":{\"pools\":[{\"name\":\"p\",\"checks_grants\":false}],"
    "\"classes\":[{\"name\":\"browse\",\"pool\":\"p\",\"once_only\":false,"
    "\"timeout_ms\":2000,\"target\":{\"within_ms\":100}},"
    "{\"name\":\"book\",\"pool\":\"p\",\"once_only\":true,"
    "\"timeout_ms\":2000,\"target\":{\"within_ms\":100}}]},"
    "\"requests\":[{\"class\":\"browse\",\"rate\":200,\"method\":\"GET\","
    "\"path\":\"/k/%u\",\"key\":\"k%u\",\"keys\":100},"
    "{\"class\":\"book\",\"rate\":200,\"method\":\"POST\","
    "\"path\":\"/k/%u\",\"key\":\"k%u\",\"keys\":100,\"body\":100}]}";

static char *program;

static GSocket *
listen_without_answering (const char *ip)
{
  g_autoptr (GSocketAddress) at =
      g_inet_socket_address_new_from_string (ip, PORT);
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  g_socket_set_listen_backlog (s, BACKLOG);
  assert_true (g_socket_bind (s, at, TRUE, NULL));
  assert_true (g_socket_listen (s, NULL));
  return s;
}

static GSubprocess *
start_load (const char *ip, const char *folder, const char *file)
{
  g_autoptr (GSubprocessLauncher) l = g_subprocess_launcher_new (
      G_SUBPROCESS_FLAGS_STDOUT_SILENCE | G_SUBPROCESS_FLAGS_STDERR_SILENCE);
  g_autofree char *entries = g_strdup_printf ("%s:%u", ip, PORT);

  g_subprocess_launcher_set_child_setup (l, exit_with_parent, NULL, NULL);
  return g_subprocess_launcher_spawn (l, NULL, program, "--entries", entries,
                                      "--deployment", file, "--records", folder,
                                      "--seconds", SECONDS, NULL);
}

static double
cpu_time_of_children (void)
{
  struct rusage u;

  getrusage (RUSAGE_CHILDREN, &u);
  return (double) (u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
         (double) (u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}

static void
a_run_ends_beside_a_silent_entry (void **state)
{
  g_autofree char *ip = g_strdup_printf ("127.%u.0.9", free_net ());
  g_autofree char *folder = g_dir_make_tmp ("load-XXXXXX", NULL);
  g_autofree char *file = g_build_filename (folder, "deployment.json", NULL);
  g_autoptr (GSocket) silent = listen_without_answering (ip);
  g_autoptr (GSubprocess) load = NULL;
  gint64 began = cc_clock_now (), took;

  (void) state;
  assert_true (g_file_set_contents (file, deployment, -1, NULL));
  load = start_load (ip, folder, file);
  assert_non_null (load);
  while (g_subprocess_get_identifier (load) != NULL &&
         cc_clock_now () - began < END_WITHIN)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (20000);
    }
  took = cc_clock_now () - began;
  g_subprocess_force_exit (load);
  g_subprocess_wait (load, NULL, NULL);
  print_message ("%.1f s, %.2f s of processor\n", (double) took / CC_SECOND,
                 cpu_time_of_children ());
  assert_true (took < END_WITHIN);
  assert_true (cpu_time_of_children () < PROCESSOR_MAX_S);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_run_ends_beside_a_silent_entry),
  };
  g_autofree char *here = g_path_get_dirname (argv[0]);

  (void) argc;
  program = g_build_filename (here, "load", NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
