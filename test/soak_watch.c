/* Which version of the configuration each gateway has, by its own metrics, and
 * which it must have at least.
 *
 * A gateway is in touch while, for STABLE, it ran, its link to the store was
 * not harmed and the store was well.  Then it has each version within APPLY of
 * its writing, also if it started or healed at the beginning of STABLE.  In one
 * run it never goes back. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capercrank.h"
#include "clock.h"
#include "http_link.h"
#include "soak.h"

#define APPLY (2000 * CC_MS)
#define STABLE (3000 * CC_MS)
#define POLL_MS 100
#define POLL_WITHIN (1000 * CC_MS)
#define GATEWAYS_MOST 8
/* A process that waited so long for a processor between two looks did not run,
 * as if it had been paused. */
#define STARVED (200 * CC_MS)
#define NONE G_MAXUINT

/* What may keep a gateway from its configuration. */
typedef struct
{
  guint now;         /* disturbances that go on */
  gint64 last_ended; /* us */
} Faults;

typedef struct
{
  char *admin;
  Faults faults;
  Faults callers; /* of its link to them */
  guint run;
  char *schedule;  /* file with the time that it waited for a processor */
  gint64 starved;  /* of that by the last look, us */
  gboolean polled; /* an answer is waited for */
  guint seen;      /* the entry that this run has at least */
  guint version;   /* by its last answer; 0: none */
  gint64 since;    /* when that version was first seen, us */
  guint told;      /* the last entry that was told to be overdue; NONE */
  gint64 slowest;  /* time to take an entry while in touch, us */
  guint slowest_entry;
} Watched;

/* A question for the metrics of a gateway. */
typedef struct
{
  guint gateway, run;
  guint due; /* the entry that it must have, or NONE */
} Poll;

static Watched watched[GATEWAYS_MOST];
static guint count;
static Faults table;
static guint starved;
static CcHttp *http;
static guint timer;

static gint64
calm_from (const Watched *w)
{
  if (w->faults.now > 0 || table.now > 0)
    return G_MAXINT64;
  return MAX (w->faults.last_ended, table.last_ended);
}

/* Whether since AT GATEWAY had no fault, and no caller's link to it
 * was harmed. */
gboolean
soak_watch_fault_free_since (guint gateway, gint64 at)
{
  const Watched *w = &watched[gateway];

  return calm_from (w) <= at && w->callers.now == 0 &&
         w->callers.last_ended <= at;
}

/* The first stray row after entry I, or the number of entries. */
static guint
stray_after (guint i)
{
  while (++i < soak_config_count () && soak_config_is_applicable (i))
    continue;
  return i;
}

/* The entry that W must have now, or NONE. */
static guint
due (const Watched *w)
{
  gint64 now = cc_clock_now (), from = calm_from (w);

  if (from > now - STABLE)
    return NONE;
  for (guint i = soak_config_count (); i-- > 0;)
    {
      gint64 written = soak_config_written (i);
      guint stray = stray_after (i);

      if (!soak_config_is_applicable (i) || written > now - APPLY)
        continue;
      /* Who was not in touch before the stray row can't know the one that
       * stood there before. */
      if (stray < soak_config_count () &&
          soak_config_written (stray) - MAX (from, written) < STABLE)
        return NONE;
      return i;
    }
  return NONE;
}

/* The run of GATEWAY, from 1. */
guint
soak_watch_run (guint gateway)
{
  return watched[gateway].run;
}

/* The oldest entry by which GATEWAY may act on what is sent now. */
guint
soak_watch_oldest_entry (guint gateway)
{
  const Watched *w = &watched[gateway];
  guint least = due (w);

  return least == NONE ? w->seen : MAX (least, w->seen);
}

/* GATEWAY has acted by ENTRY or a later one in RUN. */
void
soak_watch_applied (guint gateway, guint run, guint entry)
{
  Watched *w = &watched[gateway];

  if (run == w->run)
    w->seen = MAX (w->seen, entry);
}

static void
note_fault (Faults *t, gboolean begins)
{
  t->now = begins ? t->now + 1 : t->now - 1;
  t->last_ended = cc_clock_now ();
}

/* A fault of GATEWAY, or of all if it is SOAK_ALL, begins or ends. */
void
soak_watch_gateway_fault (guint gateway, gboolean begins)
{
  note_fault (gateway == SOAK_ALL ? &table : &watched[gateway].faults, begins);
}

/* The same of the link to callers. */
void
soak_watch_caller_fault (guint gateway, gboolean begins)
{
  for (guint i = 0; i < count; i++)
    if (gateway == SOAK_ALL || gateway == i)
      note_fault (&watched[i].callers, begins);
}

/* A fault of GATEWAY that is over at once. */
void
soak_watch_brief_fault (guint gateway)
{
  soak_watch_gateway_fault (gateway, TRUE);
  soak_watch_gateway_fault (gateway, FALSE);
}

/* A new run of GATEWAY, the process PID, which knows nothing. */
void
soak_watch_started (guint gateway, const char *pid)
{
  Watched *w = &watched[gateway];

  g_free (w->schedule);
  w->schedule = g_strdup_printf ("/proc/%s/schedstat", pid);
  w->starved = 0;
  w->run++;
  w->seen = w->version = 0;
  w->told = NONE;
  w->faults.last_ended = cc_clock_now ();
}

/* W has VERSION for the first time. */
static void
note_version (Watched *w, guint version)
{
  gint64 now = cc_clock_now ();

  for (guint i = w->seen; i < soak_config_count (); i++)
    {
      gint64 took = now - soak_config_written (i);

      if (!soak_config_is_applicable (i) || soak_config_version (i) > version ||
          soak_config_version (i) <= w->version || took <= w->slowest ||
          calm_from (w) > soak_config_written (i))
        continue;
      w->slowest = took;
      w->slowest_entry = i;
    }
  w->version = version;
  w->since = now;
}

static void
check_version (guint gateway, guint version, guint must)
{
  Watched *w = &watched[gateway];
  guint found = version > 0 ? soak_config_find (version) : NONE;

  if (version > 0 && found == NONE)
    soak_audit_fail ("gw%u has version %08x, which nobody wrote", gateway + 1,
                     version);
  if (version < w->version)
    soak_audit_fail ("gw%u went back from version %08x to %08x", gateway + 1,
                     w->version, version);
  if (must != NONE && must != w->told && version < soak_config_version (must))
    {
      w->told = must;
      soak_audit_fail (
          "gw%u has version %08x, %08x is due for %.3f s", gateway + 1, version,
          soak_config_version (must),
          (double) (cc_clock_now () - soak_config_written (must) - APPLY) /
              1e6);
    }
  if (version > w->version)
    note_version (w, version);
  if (found != NONE)
    w->seen = MAX (w->seen, found);
}

/* The value of the gauge NAME in TEXT; 0: it is not there. */
static guint
read_gauge (const char *text, const char *name)
{
  const char *at = strstr (text, name);

  /* The first match may be a comment on it. */
  while (at != NULL && at > text && at[-1] != '\n')
    at = strstr (at + 1, name);
  return at != NULL ? (guint) strtod (at + strlen (name), NULL) : 0;
}

static void
on_metrics (const CcHttpResult *r, gpointer data)
{
  g_autofree Poll *p = data;
  Watched *w = &watched[p->gateway];

  w->polled = FALSE;
  if (r->end != CC_HTTP_ANSWERED || p->run != w->run)
    return;
  g_autofree char *text =
      g_strndup (g_bytes_get_data (r->body, NULL), g_bytes_get_size (r->body));

  check_version (p->gateway,
                 read_gauge (text, "capercrank_configuration_version{} "),
                 p->due);
}

/* Whether the machine kept W from running since the last look. */
static gboolean
was_starved (Watched *w)
{
  g_autofree char *text = NULL;
  gint64 waited, before = w->starved;
  char *end;

  if (!g_file_get_contents (w->schedule, &text, NULL, NULL))
    return FALSE;
  (void) g_ascii_strtoll (text, &end, 10); /* ran, ns */
  waited = g_ascii_strtoll (end, NULL, 10) / 1000;
  w->starved = waited;
  return waited - before > STARVED;
}

static void
look_for_starved (void)
{
  for (guint i = 0; i < count; i++)
    if (watched[i].run > 0 && was_starved (&watched[i]))
      {
        soak_watch_brief_fault (i);
        soak_watch_caller_fault (i, TRUE);
        soak_watch_caller_fault (i, FALSE);
        starved++;
        soak_audit_log ("gw%u waited for a processor", i + 1);
      }
}

/* How often a gateway was kept from running by the machine. */
guint
soak_watch_starved (void)
{
  return starved;
}

static gboolean
on_poll (gpointer unused)
{
  (void) unused;
  look_for_starved ();
  for (guint i = 0; i < count; i++)
    {
      Watched *w = &watched[i];
      CcHttpOrder o = { .address = w->admin,
                        .head = "GET /metrics HTTP/1.1\r\nHost: admin\r\n",
                        .connect_within = POLL_WITHIN,
                        .answer_within = POLL_WITHIN };
      Poll *p;

      if (w->run == 0 || w->polled)
        continue;
      p = g_new0 (Poll, 1);
      p->gateway = i;
      p->run = w->run;
      p->due = due (w);
      w->polled = TRUE;
      if (cc_http_send (http, &o, on_metrics, p) == NULL)
        {
          w->polled = FALSE;
          g_free (p);
        }
    }
  return G_SOURCE_CONTINUE;
}

/* Asks the gateways at the addresses ADMIN (to NULL) from IP. */
void
soak_watch_begin (const char *ip, char **admin)
{
  http = cc_http_new (ip);
  for (count = 0; admin[count] != NULL && count < GATEWAYS_MOST; count++)
    watched[count].admin = admin[count];
  timer = g_timeout_add (POLL_MS, on_poll, NULL);
}

/* Asks no more. */
void
soak_watch_stop (void)
{
  g_source_remove (timer);
}

/* Prints what each gateway has, and how long it took at most. */
void
soak_watch_report (void)
{
  for (guint i = 0; i < count; i++)
    {
      const Watched *w = &watched[i];

      printf (
          "gw%u: run %u, version %08x for %.1f s; in touch, the slowest was "
          "%08x after %.3f s\n",
          i + 1, w->run, w->version,
          (double) (cc_clock_now () - w->since) / 1e6,
          soak_config_version (w->slowest_entry), (double) w->slowest / 1e6);
    }
}
