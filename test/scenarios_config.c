/* Distribution of configuration documents: an accepted one is in force at every
 * process within IN_FORCE_MS, and no process returns to an older version, also
 * when submissions race, answers are lost or a zone is partitioned. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "prove.h"

#define IN_FORCE_MS 5000
#define POLL_MS 100
#define PROCESSES_MAX 64

/* One submission of a document by an operator. */
typedef struct
{
  Cluster *cluster;
  guint instance; /* whose assigner gets it */
  char *document;
  char *base;   /* If-Match: the version that it replaces */
  guint status; /* HTTP status; 0: no response */
  char *answer;
} Submission;

/* The last version that each process reported to be in force. */
typedef struct
{
  guint64 last[PROCESSES_MAX];
  guint backwards; /* times that a process reported an older one */
} VersionWatch;

/* Returns the admin address of P, to be freed; NULL for processes other than
 * entries, dispatchers and assigners. */
static char *
admin_of (Cluster *c, const Process *p)
{
  g_auto (GStrv) parts = g_strsplit (p->name, "-", 2);

  if (p->pool != NULL || g_strv_length (parts) != 2)
    return NULL;
  return cluster_admin (c, parts[0], (guint) atoi (parts[1]));
}

/* Returns the version in force at P; 0 if it has none or does not respond. */
static guint64
version_at (Cluster *c, const Process *p)
{
  static const char *const name = "capercrank_configuration_version{} ";
  g_autofree char *admin = admin_of (c, p);
  g_autofree char *url = g_strconcat ("http://", admin, "/metrics", NULL);
  g_autofree char *answer = NULL;
  const char *at;

  cluster_http ("GET", url, NULL, NULL, &answer);
  at = strstr (answer, name);
  return at != NULL ? (guint64) g_ascii_strtod (at + strlen (name), NULL) : 0;
}

static gboolean
is_watched (const Process *p, const char *except_zone)
{
  return p->pool == NULL && p->zone[0] != '\0' && p->pid != 0 &&
         g_strcmp0 (p->zone, except_zone) != 0;
}

/* Polls the version of every process outside EXCEPT_ZONE (NULL: of all).
 * Returns how many have another version than EXPECTED. */
static guint
poll_versions (Cluster *c, VersionWatch *w, guint64 expected,
               const char *except_zone)
{
  guint lacking = 0;

  for (guint i = 0; i < c->processes->len && i < PROCESSES_MAX; i++)
    {
      const Process *p = c->processes->pdata[i];
      guint64 v;

      if (!is_watched (p, except_zone))
        continue;
      v = version_at (c, p);
      if (v < w->last[i])
        {
          fprintf (stderr,
                   "%s returned from version %" G_GUINT64_FORMAT
                   " to %" G_GUINT64_FORMAT "\n",
                   p->name, w->last[i], v);
          w->backwards++;
        }
      w->last[i] = v;
      lacking += v != expected ? 1 : 0;
    }
  return lacking;
}

/* Waits until EXPECTED is in force outside EXCEPT_ZONE.  Returns the time it
 * took, in ms, or -1 if it took longer than IN_FORCE_MS. */
static gint64
wait_in_force (Cluster *c, VersionWatch *w, guint64 expected,
               const char *except_zone)
{
  gint64 start = g_get_monotonic_time ();

  for (;;)
    {
      guint lacking = poll_versions (c, w, expected, except_zone);
      gint64 took = (g_get_monotonic_time () - start) / 1000;

      if (lacking == 0)
        {
          fprintf (stderr,
                   "version %" G_GUINT64_FORMAT " in force after %d ms\n",
                   expected, (int) took);
          return took;
        }
      if (took > IN_FORCE_MS)
        {
          fprintf (stderr, "%u processes lack version %" G_GUINT64_FORMAT "\n",
                   lacking, expected);
          return -1;
        }
      pause_ms (POLL_MS);
    }
}

/* Thread function: submits a document and keeps the response. */
static gpointer
submit (gpointer data)
{
  Submission *a = data;
  g_autofree char *admin = cluster_admin (a->cluster, "assign", a->instance);
  g_autofree char *url = g_strconcat ("http://", admin, "/v1/config", NULL);

  a->status = cluster_http ("PUT", url, a->document, a->base, &a->answer);
  return NULL;
}

/* Returns the deployment's document with another description, so that two
 * submissions differ.  To be freed. */
static char *
document_with (Cluster *c, const char *description)
{
  const char *at = strstr (c->document, "\"description\"");
  const char *end = strchr (at, '\n'); /* the document is printed in lines */
  g_autofree char *head = g_strndup (c->document, (gsize) (at - c->document));

  return g_strdup_printf ("%s\"description\" : \"%s\",%s", head, description,
                          end);
}

/* Returns the version that an accepted submission got, 0 if it was rejected. */
static guint64
accepted_version (const Submission *a)
{
  const char *at = strstr (a->answer, "\"version\"");

  return a->status == 200 && at != NULL
             ? g_ascii_strtoull (strchr (at, ':') + 1, NULL, 10)
             : 0;
}

static void
submission_init (Submission *a, Cluster *c, guint instance, const char *text,
                 guint64 base)
{
  *a = (Submission){ .cluster = c, .instance = instance };
  a->document = document_with (c, text);
  a->base = g_strdup_printf ("%" G_GUINT64_FORMAT, base);
}

static void
submission_clear (Submission *a)
{
  g_free (a->document);
  g_free (a->base);
  g_free (a->answer);
}

/* Two operators submit concurrently through the assigners of instances X and Y,
 * both to replace BASE.  Returns the version of the accepted document; 0 if not
 * exactly one was accepted, or the other one's 409 does not give the reason. */
static guint64
race (Cluster *c, guint x, guint y, guint64 base)
{
  Submission a, b;
  GThread *other;
  guint64 version = 0;

  submission_init (&a, c, x, "first operator", base);
  submission_init (&b, c, y, "second operator", base);
  other = g_thread_new ("operator", submit, &b);
  submit (&a);
  g_thread_join (other);
  fprintf (stderr, "first: %u %s\nsecond: %u %s\n", a.status, a.answer,
           b.status, b.answer);
  if (a.status == 200 && b.status == 409)
    version = accepted_version (&a);
  else if (a.status == 409 && b.status == 200)
    version = accepted_version (&b);
  if (strstr (a.status == 409 ? a.answer : b.answer, "accepted meanwhile") ==
      NULL)
    version = 0;
  submission_clear (&a);
  submission_clear (&b);
  return version;
}

/* Returns the version in force at assigner 1. */
static guint64
version_now (Cluster *c)
{
  return version_at (c, cluster_find (c, "assign-1"));
}

/* Returns an instance in another zone than INSTANCE, and not EXCEPT.  Instances
 * are assigned to the zones round-robin. */
static guint
pick_in_other_zone (Cluster *c, GRand *rand, guint instance, guint except)
{
  guint zones = 3;
  guint i;

  do
    i = (guint) g_rand_int_range (rand, 1, (gint32) c->instances + 1);
  while (i == except || i % zones == instance % zones);
  return i;
}

/* Runs four races, each on the version that the last one left. */
static guint
race_of_operators (Cluster *c, GRand *rand)
{
  VersionWatch w = { 0 };
  guint races = 0;

  for (guint i = 0; i < 4; i++)
    {
      guint x = (guint) g_rand_int_range (rand, 1, (gint32) c->instances + 1);
      guint64 version = race (c, x, x % c->instances + 1, version_now (c));

      if (version == 0 || wait_in_force (c, &w, version, NULL) < 0)
        return 0;
      races++;
    }
  return w.backwards == 0 ? races : 0;
}

/* The platform executes requests and sends no response while both submit. */
static guint
race_with_lost_answers (Cluster *c, GRand *rand)
{
  VersionWatch w = { 0 };
  guint64 version;

  guint x = (guint) g_rand_int_range (rand, 1, (gint32) c->instances + 1);

  poll_versions (c, &w, 0, NULL);
  cluster_set_platform_fault (c, "lose", 0);
  version = race (c, x, x % c->instances + 1, version_now (c));
  cluster_set_platform_fault (c, "up", 0);
  if (version == 0 || wait_in_force (c, &w, version, NULL) < 0)
    return 0;
  return w.backwards == 0 ? 1 : 0;
}

/* Cuts ZONE off from the other zones and the platform. */
static void
isolate_zone (Cluster *c, const char *zone)
{
  static const char *const others[] = { "a", "b", "c", "platform" };

  for (guint i = 0; i < G_N_ELEMENTS (others); i++)
    if (!g_str_equal (others[i], zone))
      cluster_set_relay_rule (c, "cut", zone, others[i]);
}

/* Kills and restarts the three processes of instance I. */
static void
restart_instance (Cluster *c, guint i)
{
  static const char *const programs[] = { "dispatch", "entry", "assign" };

  for (guint k = 0; k < G_N_ELEMENTS (programs); k++)
    {
      g_autofree char *name = g_strdup_printf ("%s-%u", programs[k], i);

      cluster_signal (c, name, SIGKILL);
      cluster_restart (c, name);
    }
}

/* Returns whether the three processes of instance I have EXPECTED in force
 * within IN_FORCE_MS. */
static gboolean
instance_has (Cluster *c, guint i, guint64 expected)
{
  static const char *const programs[] = { "dispatch", "entry", "assign" };
  guint have = 0;

  for (guint t = 0; t < IN_FORCE_MS && have < 3; t += POLL_MS)
    {
      have = 0;
      pause_ms (POLL_MS);
      for (guint k = 0; k < G_N_ELEMENTS (programs); k++)
        {
          g_autofree char *name = g_strdup_printf ("%s-%u", programs[k], i);

          have += version_at (c, cluster_find (c, name)) == expected ? 1 : 0;
        }
    }
  if (have < 3)
    fprintf (stderr, "%u of 3 processes of instance %u have the version\n",
             have, i);
  return have == 3;
}

/* Drops the last versions of a restarted instance: it may start with an older
 * one. */
static void
reset_instance (Cluster *c, VersionWatch *w, guint instance)
{
  g_autofree char *end = g_strdup_printf ("-%u", instance);

  for (guint i = 0; i < c->processes->len && i < PROCESSES_MAX; i++)
    if (g_str_has_suffix (((Process *) c->processes->pdata[i])->name, end))
      w->last[i] = 0;
}

/* Restarts one of instances 4 to 6 in an isolated zone.  There is one of them
 * in each zone, and one of 1 to 3, the seeds from which a starting process gets
 * the configuration. */
static guint
start_in_cut_zone (Cluster *c, GRand *rand)
{
  VersionWatch w = { 0 };
  guint restarted = (guint) g_rand_int_range (rand, 4, 7);
  guint x = pick_in_other_zone (c, rand, restarted, 0);
  guint y = pick_in_other_zone (c, rand, restarted, x);
  g_autofree char *name = g_strdup_printf ("entry-%u", restarted);
  const char *zone = cluster_find (c, name)->zone;
  guint64 before = race (c, x, y, version_now (c)), after;

  if (before == 0 || wait_in_force (c, &w, before, NULL) < 0)
    return 0;
  isolate_zone (c, zone);
  after = race (c, x, y, before);
  restart_instance (c, restarted);
  reset_instance (c, &w, restarted);
  if (after == 0 || wait_in_force (c, &w, after, zone) < 0 ||
      !instance_has (c, restarted, before))
    return 0;
  cluster_set_relay_rule (c, "heal", "", "");
  return wait_in_force (c, &w, after, NULL) >= 0 && w.backwards == 0 ? 1 : 0;
}

const Scenario config_scenarios[] = {
  /* Two operators read the same version and submit in the same second, through
   * two assigners.  One is accepted, the other gets 409 with the reason; the
   * accepted one is in force at every process within 5 s. */
  { "config-race", "Two operators submit conflicting documents at once.", 12, 1,
    race_of_operators, TRUE },
  /* The same while the platform's writes take effect and its answers are lost:
   * an assigner reads the row to find out which document it holds. */
  { "config-race-lost-answers",
    "Two operators submit while the platform's answers are lost.", 14, 1,
    race_with_lost_answers, FALSE },
  /* A zone is isolated while a newer document is accepted elsewhere.  An
   * instance that starts in the zone takes the newest document of its zone's
   * other instance, and after the partition no process returns to it. */
  { "config-start-in-cut-zone",
    "An instance starts in a zone cut off from all.", 22, 1, start_in_cut_zone,
    FALSE },
  { NULL, NULL, 0, 0, NULL, FALSE }
};
