/* Small running deployments, every link through the relay, which counts bytes.
 *
 * Without load: what control costs a process, and the platform, as instances
 * or servers grow.  With load: what a request costs entry and dispatcher. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "capacity.h"
#include "harness.h"
#include "slopes.h"

#define BASE "test/small.json"
#define BASE_SERVERS 14 /* in it */
#define WINDOW_S 5      /* of each sample */
#define SETTLE_S 4      /* after a start, until moves and grants have settled */

typedef struct
{
  double cpu;     /* us, all processes of the program together */
  double rss;     /* kB, mean */
  double threads; /* mean */
  double bytes;   /* passed to its mailboxes, or to the platform */
  guint n;
} Usage;

typedef struct
{
  Usage entry, dispatch, assign;
  double reads, writes; /* of the platform's table */
  double platform_bytes;
  double requests; /* answered by all entries */
} Sample;

/* Writes the base deployment, with INSTANCES and TIMES its servers. */
static char *
write_deployment (const char *bin, guint instances, guint times)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  char *file =
      g_strdup_printf ("%s/run/capacity-%u-%u.json", bin, instances, times);
  g_autofree char *folder = g_path_get_dirname (file);
  g_autofree char *text = NULL;
  JsonObject *root;
  JsonArray *servers;

  g_mkdir_with_parents (folder, 0755);
  if (!json_parser_load_from_file (parser, BASE, NULL))
    g_error ("can't read " BASE);
  root = json_node_get_object (json_parser_get_root (parser));
  json_object_set_int_member (root, "instances", instances);
  servers = json_object_get_array_member (root, "servers");
  for (guint i = 0; i < json_array_get_length (servers); i++)
    {
      JsonObject *o = json_array_get_object_element (servers, i);

      json_object_set_int_member (
          o, "count", json_object_get_int_member (o, "count") * times);
    }
  text = json_to_string (json_parser_get_root (parser), FALSE);
  g_file_set_contents (file, text, -1, NULL);
  return file;
}

static char *
proc_file (int pid, const char *name)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/%s", pid, name);
  char *text = NULL;

  g_file_get_contents (path, &text, NULL, NULL);
  return text != NULL ? text : g_strdup ("");
}

static double
field_of (const char *text, const char *name)
{
  const char *at = strstr (text, name);

  return at != NULL ? g_ascii_strtod (at + strlen (name), NULL) : 0;
}

/* User and system time of PID in microseconds. */
static double
cpu_of (int pid)
{
  g_autofree char *text = proc_file (pid, "stat");
  const char *at = strrchr (text, ')');
  unsigned long user = 0, kernel = 0;

  if (at != NULL)
    sscanf (at + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
            &user, &kernel);
  return (double) (user + kernel) * 1e6 / (double) sysconf (_SC_CLK_TCK);
}

static void
add_usage (Usage *u, int pid)
{
  g_autofree char *status = proc_file (pid, "status");

  u->cpu += cpu_of (pid);
  u->rss += field_of (status, "VmRSS:");
  u->threads += field_of (status, "Threads:");
  u->n++;
}

static Usage *
usage_of (Sample *s, const char *name)
{
  if (g_str_has_prefix (name, "entry-"))
    return &s->entry;
  if (g_str_has_prefix (name, "dispatch-"))
    return &s->dispatch;
  return g_str_has_prefix (name, "assign-") ? &s->assign : NULL;
}

static void
read_traffic (Cluster *c, Sample *s)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.%u.0.3:7901/traffic", c->net);
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  cluster_http ("GET", url, NULL, NULL, &text);
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      const char *number = strchr (lines[i], ' ');
      Usage *u = usage_of (s, lines[i]);

      if (number != NULL && u != NULL)
        u->bytes += g_ascii_strtod (number, NULL);
      else if (number != NULL && g_str_has_prefix (lines[i], "platform "))
        s->platform_bytes = g_ascii_strtod (number, NULL);
    }
}

static void
read_platform (Cluster *c, Sample *s)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.%u.0.2:7900/test/stats", c->net);
  g_autofree char *text = NULL;

  cluster_http ("GET", url, NULL, NULL, &text);
  s->reads = field_of (text, "\"reads\":");
  s->writes = field_of (text, "\"writes\":");
}

static double
requests_of (Cluster *c, guint instance)
{
  g_autofree char *admin = cluster_admin (c, "entry", instance);
  g_autofree char *url = g_strconcat ("http://", admin, "/metrics", NULL);
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  double sum = 0;

  cluster_http ("GET", url, NULL, NULL, &text);
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    if (g_str_has_prefix (lines[i], "capercrank_requests{"))
      sum += g_ascii_strtod (strrchr (lines[i], ' '), NULL);
  return sum;
}

static Sample
take_sample (Cluster *c)
{
  Sample s = { 0 };

  for (guint i = 0; i < c->processes->len; i++)
    {
      const Process *p = c->processes->pdata[i];
      Usage *u = usage_of (&s, p->name);

      if (u != NULL)
        add_usage (u, p->pid);
    }
  read_traffic (c, &s);
  read_platform (c, &s);
  for (guint i = 1; i <= c->instances; i++)
    s.requests += requests_of (c, i);
  return s;
}

static void
per_second (Usage *u, const Usage *before, double seconds)
{
  u->cpu = (u->cpu - before->cpu) / seconds / u->n;
  u->bytes = (u->bytes - before->bytes) / seconds / u->n;
  u->rss /= u->n;
  u->threads /= u->n;
}

/* What happened in a window: everything a second and a process. */
static Sample
sample_window (Cluster *c)
{
  gint64 start = g_get_monotonic_time ();
  Sample before = take_sample (c), s;
  double seconds;

  g_usleep (WINDOW_S * G_USEC_PER_SEC);
  seconds = (double) (g_get_monotonic_time () - start) / 1e6;
  s = take_sample (c);
  per_second (&s.entry, &before.entry, seconds);
  per_second (&s.dispatch, &before.dispatch, seconds);
  per_second (&s.assign, &before.assign, seconds);
  s.reads = (s.reads - before.reads) / seconds;
  s.writes = (s.writes - before.writes) / seconds;
  s.platform_bytes = (s.platform_bytes - before.platform_bytes) / seconds;
  s.requests = (s.requests - before.requests) / seconds;
  return s;
}

typedef struct
{
  Points cpu, rss, bytes;
} ProgramPoints;

typedef struct
{
  ProgramPoints entry, dispatch, assign;
  Points reads, writes, platform_bytes;
  double list; /* bytes a second for a server, in the list of instances that
                  the active assigner reads */
  Points platform_share; /* bytes a second without it, for one instance */
  Points by_held;        /* dispatcher's us a second, by servers it holds */
  double threads;        /* of a dispatcher, last sample */
} FleetPoints;

static void
add_program (ProgramPoints *p, double x, const Usage *u)
{
  points_add (&p->cpu, x, u->cpu);
  points_add (&p->rss, x, u->rss);
  points_add (&p->bytes, x, u->bytes);
}

static gboolean
idle_sample (const char *bin, guint instances, guint times, Sample *s)
{
  g_autofree char *file = write_deployment (bin, instances, times);
  Cluster *c = cluster_start (bin, file, TRUE);
  gboolean good = cluster_wait_ready (c, 30);

  g_usleep (SETTLE_S * G_USEC_PER_SEC);
  if (good)
    *s = sample_window (c);
  else
    printf ("%u instances, %u times the servers: NOT READY, no sample\n",
            instances, times);
  cluster_stop (c);
  return good;
}

static void
add_fleet (FleetPoints *f, double x, guint servers, const Sample *s)
{
  add_program (&f->entry, x, &s->entry);
  add_program (&f->dispatch, x, &s->dispatch);
  add_program (&f->assign, x, &s->assign);
  points_add (&f->reads, x, s->reads);
  points_add (&f->writes, x, s->writes);
  points_add (&f->platform_bytes, x, s->platform_bytes);
  points_add (&f->platform_share, x,
              (s->platform_bytes - f->list * servers) / s->dispatch.n);
  points_add (&f->by_held, (double) servers / s->dispatch.n, s->dispatch.cpu);
  f->threads = s->dispatch.threads;
}

static void
print_program (const char *name, const ProgramPoints *p, const char *per)
{
  g_autofree char *cpu = g_strconcat (name, ", processor, a second", NULL);
  g_autofree char *rss = g_strconcat (name, ", resident", NULL);
  g_autofree char *bytes = g_strconcat (name, ", to its mailbox/s", NULL);

  points_print (&p->cpu, cpu, "us", per);
  points_print (&p->rss, rss, "kB", per);
  points_print (&p->bytes, bytes, "B", per);
}

static void
print_fleet (const FleetPoints *f, const char *per)
{
  if (f->reads.n < 2)
    return;
  print_program ("entry", &f->entry, per);
  print_program ("dispatch", &f->dispatch, per);
  print_program ("assign", &f->assign, per);
  points_print (&f->reads, "platform, reads a second", "", per);
  points_print (&f->writes, "platform, writes a second", "", per);
  points_print (&f->platform_bytes, "platform, bytes a second", "B", per);
  points_print (&f->platform_share, "the same, no list, one instance", "B",
                per);
  points_print (&f->by_held, "dispatch, processor, a second", "us",
                "server it holds");
  printf ("a dispatcher had %g threads\n", f->threads);
}

/* Deployments without load. */
void
capacity_fleet (const char *bin)
{
  static const guint instances[] = { 3, 6, 9, 12, 18 };
  static const guint times[] = { 1, 2, 3, 4 };
  FleetPoints by_instance = { 0 }, by_server = { 0 };
  Sample s;

  for (guint i = 0; i < G_N_ELEMENTS (times); i++)
    if (idle_sample (bin, 6, times[i], &s))
      add_fleet (&by_server, BASE_SERVERS * times[i], BASE_SERVERS * times[i],
                 &s);
  print_fleet (&by_server, "server (6 instances)");
  by_instance.list = points_fit (&by_server.platform_bytes).slope;
  for (guint i = 0; i < G_N_ELEMENTS (instances); i++)
    if (idle_sample (bin, instances[i], 1, &s))
      add_fleet (&by_instance, instances[i], BASE_SERVERS, &s);
  print_fleet (&by_instance, "instance (14 servers)");
}

/* A deployment under rising load. */
void
capacity_request (const char *bin)
{
  static const guint percents[] = { 50, 100, 200, 300, 400 };
  g_autofree char *file = write_deployment (bin, 6, 1);
  Cluster *c = cluster_start (bin, file, TRUE);
  ProgramPoints entry = { 0 }, dispatch = { 0 };

  if (!cluster_wait_ready (c, 30))
    printf ("NOT READY, no sample\n");
  else
    for (guint i = 0; i < G_N_ELEMENTS (percents); i++)
      {
        int load = cluster_load (c, WINDOW_S + 3, percents[i], 1, 1);
        Sample s;

        g_usleep (1500000);
        s = sample_window (c);
        add_program (&entry, s.requests / 6, &s.entry);
        add_program (&dispatch, s.requests / 6, &s.dispatch);
        if (cluster_wait (load) != 0)
          printf ("at %u percent the audit FAILED\n", percents[i]);
      }
  cluster_stop (c);
  if (entry.cpu.n < 2)
    return;
  print_program ("entry", &entry, "request/s of an instance");
  print_program ("dispatch", &dispatch, "request/s of an instance");
}
