/* Settings go in by environment, as the platform gives them. */
#include "gateway_process.h"

#include <signal.h>
#include <sys/prctl.h>

static void
set (GSubprocessLauncher *l, const char *name, const char *value)
{
  g_autofree char *whole = g_strconcat ("CAPERCRANK_", name, NULL);

  g_subprocess_launcher_setenv (l, whole, value, TRUE);
}

/* To be called in a child: it ends when the test that started it does, also if
 * that one is killed or aborts. */
void
exit_with_parent (gpointer unused)
{
  (void) unused;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* Starts a gateway as P says, with MORE settings, pairs of a name and a value
 * ended by NULL; MORE may be NULL. */
GSubprocess *
gateway_spawn (const GatewayOptions *p, const char *const *more)
{
  static const struct
  {
    const char *name;
    guint port;
  } ports[] = { { "LISTEN", GATEWAY_LISTEN },
                { "READINESS", GATEWAY_READINESS },
                { "INTERNAL", GATEWAY_INTERNAL },
                { "ADMIN", GATEWAY_ADMIN } };
  g_autoptr (GSubprocessLauncher) l =
      g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_autofree char *grace = g_strdup_printf ("%u", p->grace);
  GSubprocess *process;

  for (guint i = 0; i < G_N_ELEMENTS (ports); i++)
    {
      g_autofree char *address =
          g_strdup_printf ("%s:%u", p->ip, ports[i].port);

      set (l, ports[i].name, address);
    }
  set (l, "INSTANCE", p->instance);
  set (l, "ZONE", p->zone);
  set (l, "TABLE", p->table);
  set (l, "STOP_GRACE", grace);
  for (guint i = 0; more != NULL && more[i] != NULL; i += 2)
    set (l, more[i], more[i + 1]);
  g_subprocess_launcher_set_stdout_file_path (l, p->log);
  g_subprocess_launcher_set_child_setup (l, exit_with_parent, NULL, NULL);
  process = g_subprocess_launcher_spawn (l, NULL, p->program, NULL);
  if (process == NULL)
    g_error ("can't start %s", p->program);
  return process;
}
