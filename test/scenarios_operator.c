/* capercrankctl against a running deployment: draining a server under load, and
 * the exit codes. */
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include <json-glib/json-glib.h>

#include "prove.h"

#define MOVED_MS 5000   /* within this a drained server has no keys */
#define SETTLED_MS 1500 /* its requests in flight are done */
#define QUIET_MS 2000   /* time in which no request may reach it */

/* Runs capercrankctl with the arguments WORDS, which end with NULL, against the
 * assigner of INSTANCE.  Returns its exit code, -1 if it was killed; stores its
 * output in *OUT, to be freed, unless OUT is NULL. */
static int
run_tool (Cluster *c, guint instance, const char *const *words, char **out)
{
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *admin = cluster_admin (c, "assign", instance);
  g_autofree char *output = NULL;
  int status = -1;

  g_ptr_array_add (argv, g_strconcat (c->bin, "/capercrankctl", NULL));
  g_ptr_array_add (argv, g_strconcat ("--control=", admin, NULL));
  for (guint i = 0; words[i] != NULL; i++)
    g_ptr_array_add (argv, g_strdup (words[i]));
  g_ptr_array_add (argv, NULL);
  g_spawn_sync (NULL, (char **) argv->pdata, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                &output, NULL, &status, NULL);
  if (out != NULL)
    *out = g_steal_pointer (&output);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

/* Returns the number of slices that SERVER owns or has to hand over, as
 * "capercrankctl show owners" prints it; -1 if the command fails or does not
 * list SERVER. */
static gint64
slices_of (Cluster *c, guint instance, const char *server)
{
  const char *const words[] = { "--json", "show", "owners", NULL };
  g_autofree char *out = NULL;
  g_autoptr (JsonNode) root = NULL;
  JsonArray *rows;

  if (run_tool (c, instance, words, &out) != 0)
    return -1;
  root = json_from_string (out, NULL);
  rows = json_node_get_array (root);
  for (guint i = 0; i < json_array_get_length (rows); i++)
    {
      JsonObject *o = json_array_get_object_element (rows, i);

      if (g_str_equal (json_object_get_string_member (o, "server"), server))
        return g_ascii_strtoll (json_object_get_string_member (o, "slices"),
                                NULL, 10) +
               g_ascii_strtoll (json_object_get_string_member (o, "moving"),
                                NULL, 10);
    }
  return -1;
}

/* Waits until SERVER has slices, if OWNING, or else has none.  Returns the time
 * it took in ms, or -1 after MOVED_MS. */
static gint64
wait_slices (Cluster *c, guint instance, const char *server, gboolean owning)
{
  gint64 start = g_get_monotonic_time ();

  for (;;)
    {
      gint64 n = slices_of (c, instance, server);
      gint64 took = (g_get_monotonic_time () - start) / 1000;

      if (n >= 0 && (n > 0) == owning)
        return took;
      if (took > MOVED_MS)
        {
          fprintf (stderr, "%s still has %d slices\n", server, (int) n);
          return -1;
        }
      pause_ms (100);
    }
}

/* Returns the size of SERVER's record file, which grows with each request that
 * reaches it; -1 if there is none. */
static gint64
records_size (Cluster *c, const char *server)
{
  g_autofree char *path = g_strdup_printf ("%s/%s.records", c->folder, server);
  struct stat s;

  return stat (path, &s) == 0 ? (gint64) s.st_size : -1;
}

/* Returns whether no request reaches SERVER for QUIET_MS, after SETTLED_MS. */
static gboolean
gets_no_requests (Cluster *c, const char *server)
{
  gint64 before;

  pause_ms (SETTLED_MS);
  before = records_size (c, server);
  pause_ms (QUIET_MS);
  if (before > 0 && records_size (c, server) == before)
    return TRUE;
  fprintf (stderr, "%s got requests after it was drained\n", server);
  return FALSE;
}

static guint
drain_and_back (Cluster *c, GRand *rand)
{
  guint at = (guint) g_rand_int_range (rand, 1, (gint32) c->instances + 1);
  guint other = at % c->instances + 1;
  g_autofree char *server =
      g_strdup_printf ("catalogue-%d", g_rand_int_range (rand, 1, 7));
  g_autofree char *name = g_strconcat ("catalogue/", server, NULL);
  const char *const drain[] = { "drain", name, NULL };
  const char *const undrain[] = { "undrain", name, NULL };
  gint64 out, back;

  if (slices_of (c, at, server) <= 0 || run_tool (c, at, drain, NULL) != 0 ||
      run_tool (c, other, drain, NULL) != 0)
    return 0;
  out = wait_slices (c, other, server, FALSE);
  if (out < 0 || !gets_no_requests (c, server) ||
      run_tool (c, other, undrain, NULL) != 0)
    return 0;
  back = wait_slices (c, at, server, TRUE);
  fprintf (stderr, "%s without keys after %d ms, with keys again after %d ms\n",
           server, (int) out, (int) back);
  return back >= 0 ? 1 : 0;
}

/* A command line and the exit code that it must have. */
typedef struct
{
  const char *words[5];
  int code;
} ExitCase;

static guint
exit_codes (Cluster *c, GRand *rand)
{
  static const ExitCase cases[] = {
    { { "show", "config" }, 0 },
    { { "show", "members" }, 0 },
    { { "--json", "show", "slices" }, 0 },
    { { "check", "examples/document.json" }, 1 }, /* other slices */
    { { "diff", "examples/document.json" }, 1 },
    { { "submit", "examples/document.json" }, 1 },
    { { "submit", "no-such-file" }, 2 },
    { { "drain", "catalogue/none" }, 1 },
    { { "drain", "none" }, 2 },
    { { "show", "nothing" }, 2 },
    { { "unheard-of" }, 2 },
    { { "show" }, 2 },
    { { "--wrong", "show", "config" }, 2 },
    { { "follow", "127.0.0.1:1" }, 1 },
    { { "version" }, 0 },
  };
  guint matched = 0;

  (void) rand;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int code = run_tool (c, 1, cases[i].words, NULL);

      matched += code == cases[i].code ? 1 : 0;
      if (code != cases[i].code)
        fprintf (stderr, "%s %s exited with %d, expected %d\n",
                 cases[i].words[0], cases[i].words[1], code, cases[i].code);
    }
  return matched == G_N_ELEMENTS (cases) ? matched : 0;
}

const Scenario operator_scenarios[] = {
  /* An operator drains a server through one assigner and repeats the command
   * through another, as after an unconfirmed answer.  Its keys move, requests
   * in flight complete, no new ones reach it; after undrain it gets keys
   * again. */
  { "operator-drain", "A server is drained by an operator and used again.", 18,
    1, drain_and_back, FALSE },
  { "operator-exit-codes", "The exit codes of capercrankctl.", 6, 1, exit_codes,
    TRUE },
  { NULL, NULL, 0, 0, NULL, FALSE }
};
