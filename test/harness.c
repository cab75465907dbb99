/* Each process gets its own address in 127.NET.0.0/16, with a NET that no other
 * run uses, so that runs can be concurrent.  Children are killed when this
 * process exits, also by a signal (PR_SET_PDEATHSIG). */
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

/* Runs in a child after fork: ties its lifetime to that of PARENT and sets its
 * standard error to LOG. */
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

/* Waits until PID exits.  Returns its exit code, or 128 plus the number of the
 * signal that killed it. */
int
cluster_wait (int pid)
{
  int status = 0;

  while (waitpid (pid, &status, 0) < 0 && errno == EINTR)
    ;
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

/* Adds a process, which is started later. */
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

/* Appends --NAME=VALUE to the arguments of P, with VALUE by printf FORMAT. */
static void
add_flag (Process *p, const char *name, const char *format, ...)
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

/* Returns the address at which other processes connect to IP:PORT, to be freed.
 * In a relayed run the relay listens there: the same with 100 added to the
 * third number. */
static char *
reachable_address (const Cluster *c, const char *ip, guint port)
{
  guint a = 0, b = 0, d = 0, e = 0;

  if (!c->relayed || sscanf (ip, "%u.%u.%u.%u", &a, &b, &d, &e) != 4)
    return g_strdup_printf ("%s:%u", ip, port);
  return g_strdup_printf ("%u.%u.%u.%u:%u", a, b, d + 100, e, port);
}

/* Adds the entry, dispatcher and assigner of instance I. */
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
  g_autofree char *platform = reachable_address (c, platform_ip, PLATFORM_PORT);
  g_autofree char *entry_address = reachable_address (c, ip, 7001);
  g_autofree char *dispatch_address = reachable_address (c, ip, 7002);
  g_autofree char *assign_address = reachable_address (c, ip, 7003);
  const char *addresses[] = { entry_address, dispatch_address, assign_address };

  for (guint k = 0; k < 3; k++)
    {
      add_flag (all[k], "instance", "i%u", i);
      add_flag (all[k], "zone", "%s", zone);
      add_flag (all[k], "listen", "%s:%u", ip, 7001 + k);
      add_flag (all[k], "advertise", "%s", addresses[k]);
      add_flag (all[k], "admin", "%s:%u", ip, 8081 + k);
    }
  add_flag (e, "callers", "%s:8080", ip);
  add_flag (e, "dispatchers", "%s,%s", dispatch_address, seeds);
  add_flag (d, "peers", "%s", seeds);
  add_flag (d, "platform", "%s", platform);
  add_flag (a, "platform", "%s", platform);
  add_flag (a, "peers", "%s,%s", dispatch_address, seeds);
}

/* Adds the servers of pool O, round-robin over ZONES; *NEXT numbers the
 * addresses over all pools. */
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

      add_flag (p, "instance", "%s", name);
      add_flag (p, "pool", "%s", pool);
      add_flag (p, "listen", "%s:%u", ip, SERVER_PORT);
      add_flag (p, "records", "%s/%s.records", c->folder, name);
      add_flag (p, "work-us", "%" G_GINT64_FORMAT,
                json_object_get_int_member (o, "work_us"));
      add_flag (p, "checks", "%d",
                json_object_get_boolean_member (o, "checks_grants"));
    }
}

/* Adds all processes of the deployment ROOT, the platform first. */
static void
add_all (Cluster *c, JsonObject *root)
{
  JsonArray *zones = json_object_get_array_member (root, "zones");
  JsonArray *servers = json_object_get_array_member (root, "servers");
  g_autofree char *ip = g_strdup_printf ("127.%u.0.2", c->net);
  guint seed_net = c->relayed ? 101 : 1;
  g_autofree char *seeds =
      g_strdup_printf ("127.%u.%u.1:7002,127.%u.%u.2:7002,127.%u.%u.3:7002",
                       c->net, seed_net, c->net, seed_net, c->net, seed_net);
  Process *platform =
      add_process (c, "platform", "", NULL, ip, "test/platform");
  guint next = 0;

  add_flag (platform, "listen", "%s:%u", ip, PLATFORM_PORT);
  for (guint i = 0; i < json_array_get_length (servers); i++)
    add_servers (c, json_array_get_object_element (servers, i), zones, &next);
  for (guint i = 1; i <= c->instances; i++)
    add_instance (c, i,
                  json_array_get_string_element (
                      zones, i % json_array_get_length (zones)),
                  seeds);
}

/* Returns the platform's list of instances and servers, JSON, without those
 * that are gone. */
static char *
list_servers (Cluster *c)
{
  GString *s = g_string_new ("{\"instances\":[");
  const char *comma = "";

  for (guint i = 0; i < c->processes->len; i++)
    {
      const Process *p = c->processes->pdata[i];
      gboolean is_dispatcher = g_str_has_prefix (p->name, "dispatch-");
      g_autofree char *name =
          is_dispatcher
              ? g_strconcat ("i", p->name + strlen ("dispatch-"), NULL)
              : g_strdup (p->name);
      const char *state = g_hash_table_lookup (c->states, name);
      g_autofree char *address =
          reachable_address (c, p->ip, is_dispatcher ? 7002 : SERVER_PORT);

      if (state == NULL)
        state = "live";
      if (g_str_equal (state, "gone") || (p->pool == NULL && !is_dispatcher))
        continue;
      g_string_append_printf (s,
                              "%s{\"name\":\"%s\",\"role\":\"%s\",\"zone\":"
                              "\"%s\",\"address\":\"%s\",\"state\":\"%s\"}",
                              comma, name, is_dispatcher ? "entry" : p->pool,
                              p->zone, address, state);
      comma = ",";
    }
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

/* Makes one HTTP request, with BODY and If-Match unless NULL, and waits for the
 * response for at most 5 s.  Returns the status, 0 if there was none.  Stores
 * the body in *ANSWER, to be freed, unless NULL; "" without a response. */
guint
cluster_http (const char *method, const char *url, const char *body,
              const char *if_match, char **answer)
{
  g_autoptr (SoupSession) s =
      soup_session_new_with_options ("timeout", 5, NULL);
  g_autoptr (SoupMessage) m = soup_message_new (method, url);
  g_autoptr (GBytes) body_bytes = NULL;

  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (m, "application/json", bytes);
    }
  if (if_match != NULL)
    soup_message_headers_append (soup_message_get_request_headers (m),
                                 "If-Match", if_match);
  body_bytes = soup_session_send_and_read (s, m, NULL, NULL);
  if (answer != NULL)
    *answer = body_bytes != NULL
                  ? g_strndup (g_bytes_get_data (body_bytes, NULL),
                               g_bytes_get_size (body_bytes))
                  : g_strdup ("");
  return body_bytes != NULL ? soup_message_get_status (m) : 0;
}

/* Submits the first document, up to 100 times until the assigner is ready.  A
 * 422, an invalid document, ends the program. */
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

/* Writes the relay's map: a "front" line for each address that it listens on
 * and a "from" line for each source address of an instance. */
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
      g_autofree char *at = reachable_address (c, p->ip, port);
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

/* Adds the relay, which needs the addresses of all other processes. */
static void
add_relay (Cluster *c)
{
  g_autofree char *map = g_strconcat (c->folder, "/relay.map", NULL);
  g_autofree char *ip = g_strdup_printf ("127.%u.0.3", c->net);
  Process *p;

  write_relay_map (c, map);
  p = add_process (c, "relay", "", NULL, ip, "test/relay");
  add_flag (p, "control", "%s:%u", ip, RELAY_PORT);
  add_flag (p, "map", "%s", map);
}

/* Sends the platform the present list, up to 50 times until it accepts it. */
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

/* Starts all processes of DEPLOYMENT, a file, with the programs in the folder
 * BIN, and submits its document.  If RELAYED, all links pass through the relay
 * and cluster_set_relay_rule can cut them.  An unreadable file or a rejected
 * document ends the program. */
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
  /* RUNS keeps the folders apart.  A network can be reused a minute after a
   * run; with the same folder the next run would append to the records of the
   * first, and the audit would report epochs that decrease. */
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

/* Sends the relay the rule VERB, "cut", "heal" or "silence", for links between
 * A and B, each a zone, "platform", "instance-3" or a process ("*": any).
 * Returns the number of open connections, or of rules, that it affected. */
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

/* Sets the fault of the platform: "up" (none), "down", "slow" (it waits MS
 * before it executes a request) or "lose" (requests take effect, answers are
 * lost). */
void
cluster_set_platform_fault (Cluster *c, const char *mode, guint ms)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.%u.0.2:%u/test/fault?mode=%s&ms=%u", c->net,
                       PLATFORM_PORT, mode, ms);

  cluster_http ("PUT", url, "", NULL, NULL);
}

/* Sets the state of a server, or of an instance such as "i3", in the platform's
 * list: "live", "leaving" or "gone". */
void
cluster_set_state (Cluster *c, const char *server, const char *state)
{
  g_hash_table_insert (c->states, g_strdup (server), g_strdup (state));
  publish_servers (c);
}

/* Changes the behaviour of a server, by a query such as "work_us=50000" or
 * "shed=1". */
void
cluster_set_server_behaviour (Cluster *c, const char *server, const char *query)
{
  Process *p = cluster_find (c, server);
  g_autofree char *url = g_strdup_printf ("http://%s:%u/test/behave?%s", p->ip,
                                          SERVER_PORT, query);

  cluster_http ("PUT", url, "", NULL, NULL);
}

/* Starts the load generator for SECONDS at PERCENT of the rates of the
 * deployment, with up to REPEATS attempts at each request.  Returns its process
 * id; cluster_wait returns 0 for it if the audit found no fault. */
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

/* Returns whether the entry of instance I is ready. */
static gboolean
entry_serves (Cluster *c, guint i)
{
  g_autofree char *admin = cluster_admin (c, "entry", i);
  g_autofree char *url = g_strconcat ("http://", admin, "/readyz", NULL);

  return cluster_http ("GET", url, NULL, NULL, NULL) == 200;
}

/* Waits until all entries are ready.  Returns FALSE if they are not within
 * SECONDS. */
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
          g_usleep (1500000); /* until all servers have their grants */
          return TRUE;
        }
      g_usleep (100000);
    }
  fprintf (stderr, "%u of %u entries are ready\n", ready, c->instances);
  return FALSE;
}

/* Kills all processes of C and waits for them. */
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

/* Returns the process NAME, or NULL. */
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

/* Sends SIG to the process NAME, if it runs.  After SIGKILL it waits for the
 * exit, so that cluster_restart can follow. */
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

/* Waits until NAME exits, as after SIGTERM.  Returns FALSE if it does not
 * within SECONDS. */
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
  fprintf (stderr, "%s has not exited\n", name);
  return FALSE;
}

/* Starts NAME again after its exit; does nothing if it runs. */
void
cluster_restart (Cluster *c, const char *name)
{
  Process *p = cluster_find (c, name);

  if (p != NULL && p->pid == 0)
    start_process (c, p);
}

/* Returns the addresses of all entries for callers, separated by commas, to be
 * freed. */
char *
cluster_entries (const Cluster *c)
{
  GString *s = g_string_new (NULL);

  for (guint i = 1; i <= c->instances; i++)
    g_string_append_printf (s, "%s127.%u.1.%u:8080", i > 1 ? "," : "", c->net,
                            i);
  return g_string_free (s, FALSE);
}

/* Returns the admin address of PROGRAM ("entry", "dispatch", "assign") of an
 * instance, to be freed. */
char *
cluster_admin (const Cluster *c, const char *program, guint instance)
{
  guint port = g_str_equal (program, "entry")      ? 8081
               : g_str_equal (program, "dispatch") ? 8082
                                                   : 8083;

  return g_strdup_printf ("127.%u.1.%u:%u", c->net, instance, port);
}
