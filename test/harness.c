/* Each process gets an address of its own in 127.NET.0.0/16, NET being one
 * that no other run uses.  Children die with this process, however it ends
 * (PR_SET_PDEATHSIG). */
#include "harness.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "free_net.h"

#define PLATFORM_PORT 7900
#define SERVER_PORT 9000
#define RELAY_PORT 7901

static void
child_setup (int parent, int log)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (1);
  dup2 (log, 2);
}

/* Starts ARGV with its standard error appended to LOG in the run's folder
 * (NULL: inherited).  Returns its process id. */
int
cluster_spawn (Cluster *c, char **argv, const char *log)
{
  g_autofree char *path =
      log != NULL ? g_strconcat (c->folder, "/", log, ".log", NULL) : NULL;
  int parent = getpid ();
  int fd = path != NULL ? open (path, O_WRONLY | O_CREAT | O_APPEND, 0644) : 2;
  int pid = fork ();

  if (pid == 0)
    {
      child_setup (parent, fd);
      execv (argv[0], argv);
      _exit (127);
    }
  if (path != NULL)
    close (fd);
  return pid;
}

/* Waits for PID to end.  Returns its exit code, or 128 and its signal. */
int
cluster_wait (int pid)
{
  int status = 0;

  while (waitpid (pid, &status, 0) < 0 && errno == EINTR)
    ;
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

static Process *
add_process (Cluster *c, const char *name, const char *zone, const char *pool,
             const char *ip, const char *binary)
{
  Process *p = g_new0 (Process, 1);

  p->name = g_strdup (name);
  p->zone = g_strdup (zone);
  p->pool = g_strdup (pool);
  p->ip = g_strdup (ip);
  p->argv = g_ptr_array_new ();
  g_ptr_array_add (p->argv, g_strconcat (c->bin, "/", binary, NULL));
  g_ptr_array_add (c->processes, p);
  return p;
}

static void
flag (Process *p, const char *name, const char *format, ...)
{
  va_list args;
  char *value;

  va_start (args, format);
  value = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (p->argv, g_strdup_printf ("--%s=%s", name, value));
  g_free (value);
}

static void
start_process (Cluster *c, Process *p)
{
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();

  for (guint i = 0; i < p->argv->len; i++)
    g_ptr_array_add (argv, p->argv->pdata[i]);
  g_ptr_array_add (argv, NULL);
  p->pid = cluster_spawn (c, (char **) argv->pdata, p->name);
}

/* The address by which others reach IP:PORT: in a relayed run its front, the
 * same with 100 added to the third number. */
static char *
front (const Cluster *c, const char *ip, guint port)
{
  guint a = 0, b = 0, d = 0, e = 0;

  if (!c->relayed || sscanf (ip, "%u.%u.%u.%u", &a, &b, &d, &e) != 4)
    return g_strdup_printf ("%s:%u", ip, port);
  return g_strdup_printf ("%u.%u.%u.%u:%u", a, b, d + 100, e, port);
}

static void
add_instance (Cluster *c, guint i, const char *zone, const char *seeds)
{
  g_autofree char *ip = g_strdup_printf ("127.%u.1.%u", c->net, i);
  g_autofree char *entry = g_strdup_printf ("entry-%u", i);
  g_autofree char *dispatch = g_strdup_printf ("dispatch-%u", i);
  g_autofree char *assign = g_strdup_printf ("assign-%u", i);
  Process *e = add_process (c, entry, zone, NULL, ip, "capercrank-entry");
  Process *d = add_process (c, dispatch, zone, NULL, ip, "capercrank-dispatch");
  Process *a = add_process (c, assign, zone, NULL, ip, "capercrank-assign");
  Process *all[] = { e, d, a };
  g_autofree char *platform_ip = g_strdup_printf ("127.%u.0.2", c->net);
  g_autofree char *platform = front (c, platform_ip, PLATFORM_PORT);
  g_autofree char *front_e = front (c, ip, 7001);
  g_autofree char *front_d = front (c, ip, 7002);
  g_autofree char *front_a = front (c, ip, 7003);
  const char *fronts[] = { front_e, front_d, front_a };

  for (guint k = 0; k < 3; k++)
    {
      flag (all[k], "instance", "i%u", i);
      flag (all[k], "zone", "%s", zone);
      flag (all[k], "listen", "%s:%u", ip, 7001 + k);
      flag (all[k], "advertise", "%s", fronts[k]);
      flag (all[k], "admin", "%s:%u", ip, 8081 + k);
    }
  flag (e, "callers", "%s:8080", ip);
  flag (e, "dispatchers", "%s,%s", front_d, seeds);
  flag (d, "peers", "%s", seeds);
  flag (d, "platform", "%s", platform);
  flag (a, "platform", "%s", platform);
  flag (a, "peers", "%s,%s", front_d, seeds);
}

static void
add_servers (Cluster *c, JsonObject *o, JsonArray *zones, guint *next)
{
  const char *pool = json_object_get_string_member (o, "pool");
  gint64 count = json_object_get_int_member (o, "count");

  for (gint64 i = 1; i <= count; i++)
    {
      const char *zone = json_array_get_string_element (
          zones, (guint) i % json_array_get_length (zones));
      g_autofree char *name = g_strdup_printf ("%s-%" G_GINT64_FORMAT, pool, i);
      g_autofree char *ip = g_strdup_printf ("127.%u.2.%u", c->net, ++*next);
      Process *p = add_process (c, name, zone, pool, ip, "test/upstream");

      flag (p, "instance", "%s", name);
      flag (p, "pool", "%s", pool);
      flag (p, "listen", "%s:%u", ip, SERVER_PORT);
      flag (p, "records", "%s/%s.records", c->folder, name);
      flag (p, "work-us", "%" G_GINT64_FORMAT,
            json_object_get_int_member (o, "work_us"));
      flag (p, "checks", "%d",
            json_object_get_boolean_member (o, "checks_grants"));
    }
}

static void
add_all (Cluster *c, JsonObject *root)
{
  JsonArray *zones = json_object_get_array_member (root, "zones");
  JsonArray *servers = json_object_get_array_member (root, "servers");
  g_autofree char *ip = g_strdup_printf ("127.%u.0.2", c->net);
  guint third = c->relayed ? 101 : 1;
  g_autofree char *seeds =
      g_strdup_printf ("127.%u.%u.1:7002,127.%u.%u.2:7002,127.%u.%u.3:7002",
                       c->net, third, c->net, third, c->net, third);
  Process *platform =
      add_process (c, "platform", "", NULL, ip, "test/platform");
  guint next = 0;

  flag (platform, "listen", "%s:%u", ip, PLATFORM_PORT);
  for (guint i = 0; i < json_array_get_length (servers); i++)
    add_servers (c, json_array_get_object_element (servers, i), zones, &next);
  for (guint i = 1; i <= c->instances; i++)
    add_instance (c, i,
                  json_array_get_string_element (
                      zones, i % json_array_get_length (zones)),
                  seeds);
}

static char *
list_servers (Cluster *c)
{
  GString *s = g_string_new ("{\"instances\":[");
  const char *comma = "";

  for (guint i = 0; i < c->processes->len; i++)
    {
      const Process *p = c->processes->pdata[i];
      gboolean ours = g_str_has_prefix (p->name, "dispatch-");
      g_autofree char *name =
          ours ? g_strconcat ("i", p->name + strlen ("dispatch-"), NULL)
               : g_strdup (p->name);
      const char *state = g_hash_table_lookup (c->states, name);
      g_autofree char *address = front (c, p->ip, ours ? 7002 : SERVER_PORT);

      if (state == NULL)
        state = "live";
      if (g_str_equal (state, "gone") || (p->pool == NULL && !ours))
        continue;
      g_string_append_printf (s,
                              "%s{\"name\":\"%s\",\"role\":\"%s\",\"zone\":"
                              "\"%s\",\"address\":\"%s\",\"state\":\"%s\"}",
                              comma, name, ours ? "entry" : p->pool, p->zone,
                              address, state);
      comma = ",";
    }
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

/* One HTTP call.  Returns the status, 0 if there was no answer. */
guint
cluster_http (const char *method, const char *url, const char *body,
              const char *if_match, char **answer)
{
  g_autoptr (SoupSession) s =
      soup_session_new_with_options ("timeout", 5, NULL);
  g_autoptr (SoupMessage) m = soup_message_new (method, url);
  g_autoptr (GBytes) got = NULL;

  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (m, "application/json", bytes);
    }
  if (if_match != NULL)
    soup_message_headers_append (soup_message_get_request_headers (m),
                                 "If-Match", if_match);
  got = soup_session_send_and_read (s, m, NULL, NULL);
  if (answer != NULL)
    *answer = got != NULL ? g_strndup (g_bytes_get_data (got, NULL),
                                       g_bytes_get_size (got))
                          : g_strdup ("");
  return got != NULL ? soup_message_get_status (m) : 0;
}

static gboolean
submit_until_accepted (Cluster *c)
{
  g_autofree char *admin = cluster_admin (c, "assign", 1);
  g_autofree char *url = g_strconcat ("http://", admin, "/v1/config", NULL);

  for (guint i = 0; i < 100; i++)
    {
      g_autofree char *answer = NULL;
      guint status = cluster_http ("PUT", url, c->document, "0", &answer);

      if (status == 200)
        return TRUE;
      if (status == 422)
        g_error ("%s", answer);
      g_usleep (100000);
    }
  return FALSE;
}

static void
write_relay_map (Cluster *c, const char *file)
{
  GString *s = g_string_new (NULL);

  for (guint i = 0; i < c->processes->len; i++)
    {
      const Process *p = c->processes->pdata[i];
      guint port = p->pool != NULL                          ? SERVER_PORT
                   : g_str_has_prefix (p->name, "entry")    ? 7001
                   : g_str_has_prefix (p->name, "dispatch") ? 7002
                   : g_str_has_prefix (p->name, "assign")   ? 7003
                                                            : PLATFORM_PORT;
      g_autofree char *at = front (c, p->ip, port);
      const char *zone = p->zone[0] != '\0' ? p->zone : "platform";

      g_string_append_printf (s, "front %s %s:%u %s %s\n", at, p->ip, port,
                              zone, p->name);
      if (port == 7002)
        g_string_append_printf (s, "from %s %s instance-%s\n", p->ip, zone,
                                p->name + strlen ("dispatch-"));
    }
  g_file_set_contents (file, s->str, -1, NULL);
  g_string_free (s, TRUE);
}

static void
add_relay (Cluster *c)
{
  g_autofree char *map = g_strconcat (c->folder, "/relay.map", NULL);
  g_autofree char *ip = g_strdup_printf ("127.%u.0.3", c->net);
  Process *p;

  write_relay_map (c, map);
  p = add_process (c, "relay", "", NULL, ip, "test/relay");
  flag (p, "control", "%s:%u", ip, RELAY_PORT);
  flag (p, "map", "%s", map);
}

static void
publish_servers (Cluster *c)
{
  g_autofree char *servers = list_servers (c);
  g_autofree char *url = g_strdup_printf ("http://127.%u.0.2:%u/test/instances",
                                          c->net, PLATFORM_PORT);

  for (guint i = 0; i < 50; i++)
    {
      if (cluster_http ("PUT", url, servers, NULL, NULL) == 200)
        break;
      g_usleep (100000);
    }
}

/* Starts all of DEPLOYMENT (a file), programs taken from BIN, and submits its
 * document.  If RELAYED, every link can be cut by cluster_set_relay_rule. */
Cluster *
cluster_start (const char *bin, const char *deployment, gboolean relayed)
{
  static guint runs;
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonObject *root;
  Cluster *c = g_new0 (Cluster, 1);

  if (!json_parser_load_from_file (parser, deployment, NULL))
    g_error ("can't read %s", deployment);
  root = json_node_get_object (json_parser_get_root (parser));
  c->file = g_strdup (deployment);
  c->bin = g_strdup (bin);
  c->relayed = relayed;
  c->states = g_hash_table_new (g_str_hash, g_str_equal);
  c->document =
      json_to_string (json_object_get_member (root, "document"), TRUE);
  c->net = free_net ();
  c->instances = (guint) json_object_get_int_member (root, "instances");
  /* Counted: a network is free again a minute after a run; the next run in it
   * would append to the first one's records, and the audit find epochs that go
   * back. */
  c->folder = g_strdup_printf ("%s/run/%u-%u-%u", bin, c->net,
                               (guint) getpid (), ++runs);
  g_mkdir_with_parents (c->folder, 0755);
  c->processes = g_ptr_array_new ();
  add_all (c, root);
  if (relayed)
    add_relay (c);
  for (guint i = 0; i < c->processes->len; i++)
    start_process (c, c->processes->pdata[i]);
  publish_servers (c);
  if (!submit_until_accepted (c))
    fprintf (stderr, "the document was not accepted\n");
  return c;
}

/* Sets a rule of the relay: "cut", "heal" or "silence" between A and B, each a
 * zone, "platform", "instance-3", or a process ("*": any).  Returns how many
 * open connections, or rules, it touched. */
guint
cluster_set_relay_rule (Cluster *c, const char *verb, const char *a,
                        const char *b)
{
  g_autofree char *url = g_strdup_printf ("http://127.%u.0.3:%u/%s?a=%s&b=%s",
                                          c->net, RELAY_PORT, verb, a, b);
  g_autofree char *answer = NULL;

  cluster_http ("PUT", url, "", NULL, &answer);
  return (guint) g_ascii_strtoull (answer, NULL, 10);
}

/* Sets the platform's fault: "up", "down", "slow" or "lose". */
void
cluster_set_platform_fault (Cluster *c, const char *mode, guint ms)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.%u.0.2:%u/test/fault?mode=%s&ms=%u", c->net,
                       PLATFORM_PORT, mode, ms);

  cluster_http ("PUT", url, "", NULL, NULL);
}

/* Changes the state of a server, or of instance "i3", in the platform's list:
 * "live", "leaving", "gone".
 */
void
cluster_set_state (Cluster *c, const char *server, const char *state)
{
  g_hash_table_insert (c->states, g_strdup (server), g_strdup (state));
  publish_servers (c);
}

/* Changes how a server behaves, "work_us=50000" or "shed=1". */
void
cluster_set_server_behaviour (Cluster *c, const char *server, const char *query)
{
  Process *p = cluster_find (c, server);
  g_autofree char *url = g_strdup_printf ("http://%s:%u/test/behave?%s", p->ip,
                                          SERVER_PORT, query);

  cluster_http ("PUT", url, "", NULL, NULL);
}

/* Starts the load generator; cluster_wait gives the audit's verdict. */
int
cluster_load (Cluster *c, guint seconds, guint percent, guint repeats,
              guint seed)
{
  g_autofree char *binary = g_strconcat (c->bin, "/test/load", NULL);
  g_autofree char *list = cluster_entries (c);
  g_autofree char *entries = g_strconcat ("--entries=", list, NULL);
  g_autofree char *records = g_strconcat ("--records=", c->folder, NULL);
  g_autofree char *file = g_strconcat ("--deployment=", c->file, NULL);
  g_autofree char *length = g_strdup_printf ("--seconds=%u", seconds);
  g_autofree char *rate = g_strdup_printf ("--percent=%u", percent);
  g_autofree char *tries = g_strdup_printf ("--repeats=%u", repeats);
  g_autofree char *start = g_strdup_printf ("--seed=%u", seed);
  char *argv[] = { binary, entries, records, file, length,
                   rate,   tries,   start,   NULL };

  return cluster_spawn (c, argv, NULL);
}

static gboolean
entry_serves (Cluster *c, guint i)
{
  g_autofree char *admin = cluster_admin (c, "entry", i);
  g_autofree char *url = g_strconcat ("http://", admin, "/readyz", NULL);

  return cluster_http ("GET", url, NULL, NULL, NULL) == 200;
}

/* Waits until all entries are ready.  Returns FALSE after SECONDS. */
gboolean
cluster_wait_ready (Cluster *c, guint seconds)
{
  guint ready = 0;

  for (guint t = 0; t < seconds * 10; t++)
    {
      ready = 0;
      for (guint i = 1; i <= c->instances; i++)
        ready += entry_serves (c, i) ? 1 : 0;
      if (ready == c->instances)
        {
          g_usleep (1500000); /* grants settle */
          return TRUE;
        }
      g_usleep (100000);
    }
  fprintf (stderr, "%u of %u entries are ready\n", ready, c->instances);
  return FALSE;
}

/* Ends all that was started. */
void
cluster_stop (Cluster *c)
{
  for (guint i = 0; i < c->processes->len; i++)
    {
      Process *p = c->processes->pdata[i];

      if (p->pid == 0)
        continue;
      kill (p->pid, SIGKILL);
      waitpid (p->pid, NULL, 0);
      p->pid = 0;
    }
}

/* The process NAME, or NULL. */
Process *
cluster_find (Cluster *c, const char *name)
{
  for (guint i = 0; i < c->processes->len; i++)
    {
      Process *p = c->processes->pdata[i];

      if (g_str_equal (p->name, name))
        return p;
    }
  return NULL;
}

/* Sends SIGNAL to NAME; after SIGKILL it can be restarted. */
void
cluster_signal (Cluster *c, const char *name, int sig)
{
  Process *p = cluster_find (c, name);

  if (p == NULL || p->pid == 0)
    return;
  kill (p->pid, sig);
  if (sig != SIGKILL)
    return;
  waitpid (p->pid, NULL, 0);
  p->pid = 0;
}

/* Waits until NAME has ended by itself.  Returns FALSE after SECONDS. */
gboolean
cluster_wait_exit (Cluster *c, const char *name, guint seconds)
{
  Process *p = cluster_find (c, name);

  for (guint i = 0; i < seconds * 20; i++)
    {
      if (waitpid (p->pid, NULL, WNOHANG) == p->pid)
        {
          p->pid = 0;
          return TRUE;
        }
      g_usleep (50000);
    }
  fprintf (stderr, "%s has not ended\n", name);
  return FALSE;
}

/* Starts NAME again after it ended. */
void
cluster_restart (Cluster *c, const char *name)
{
  Process *p = cluster_find (c, name);

  if (p != NULL && p->pid == 0)
    start_process (c, p);
}

/* Addresses of all entries, separated by commas. */
char *
cluster_entries (const Cluster *c)
{
  GString *s = g_string_new (NULL);

  for (guint i = 1; i <= c->instances; i++)
    g_string_append_printf (s, "%s127.%u.1.%u:8080", i > 1 ? "," : "", c->net,
                            i);
  return g_string_free (s, FALSE);
}

/* The admin address of PROGRAM ("entry", "dispatch", "assign"). */
char *
cluster_admin (const Cluster *c, const char *program, guint instance)
{
  guint port = g_str_equal (program, "entry")      ? 8081
               : g_str_equal (program, "dispatch") ? 8082
                                                   : 8083;

  return g_strdup_printf ("127.%u.1.%u:%u", c->net, instance, port);
}
