/* Whether requests are handled by a configuration that may be in force: sent to
 * a pool that one allows, refused for want of a route by one that has none, and
 * ended by their route's timeout.  The target that a server sees must be the
 * one that the caller wrote. */
#include <string.h>

#include "capercrank.h"
#include "clock.h"
#include "soak.h"

/* Answers that come later than this after their route's timeout are late. */
#define LATE_AFTER (500 * CC_MS)
#define LATE_ALLOWED 8

typedef struct
{
  guint gateway, run;
  guint low; /* the oldest configuration that may be in force */
  gint64 sent;
  char *host;   /* in lower case, without port */
  char *target; /* path and query */
  char *path;
} Probe;

static GHashTable *probes; /* id to Probe */
static guint ended_late, past_timeout;

static void
probe_free (gpointer data)
{
  Probe *p = data;

  g_free (p->host);
  g_free (p->target);
  g_free (p->path);
  g_free (p);
}

/* A caller sends the request ID for HOST and TARGET to GATEWAY. */
void
soak_probe_sent (guint gateway, const char *id, const char *host,
                 const char *target)
{
  Probe *p = g_new0 (Probe, 1);

  if (probes == NULL)
    probes =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, probe_free);
  p->gateway = gateway;
  p->run = soak_watch_run (gateway);
  p->low = soak_watch_oldest_entry (gateway);
  p->sent = cc_clock_now ();
  p->host = g_strdup (host);
  p->target = g_strdup (target);
  p->path = g_strndup (target, strcspn (target, "?"));
  g_hash_table_insert (probes, g_strdup (id), p);
}

/* Asks for P; another run than the one that it was sent to may know less. */
static guint
ask (const Probe *p, SoakAllowed *out)
{
  guint low = p->run == soak_watch_run (p->gateway) ? p->low : 0;

  soak_config_query (low, p->host, p->path, out);
  return low;
}

/* A server of POOL runs the request ID, which came for TARGET. */
void
soak_probe_ran (const char *id, const char *pool, const char *target)
{
  const Probe *p = probes != NULL ? g_hash_table_lookup (probes, id) : NULL;
  SoakAllowed a;
  guint low;

  if (p == NULL)
    {
      soak_audit_fail ("request %s ran, and nobody sent it", id);
      return;
    }
  if (!g_str_equal (p->target, target))
    soak_audit_fail ("request %s for %s ran as %s", id, p->target, target);
  low = ask (p, &a);
  if (!soak_config_allows (&a, pool))
    soak_audit_fail ("request %s by gw%u for %s%s ran at %s, which no "
                     "configuration from %08x on allows",
                     id, p->gateway + 1, p->host, p->target, pool,
                     soak_config_version (low));
  else
    soak_watch_applied (p->gateway, p->run,
                        soak_config_first_match (low, p->host, p->path, pool));
}

static gboolean
is_refusal (guint status)
{
  return status >= 300 && status < 500 && status != 408 && status != 421 &&
         status != 429;
}

static void
check_time (const char *id, const Probe *p, const SoakAllowed *a, guint status)
{
  gint64 over = cc_clock_now () - p->sent - (gint64) a->timeout * CC_MS;

  if (a->timeout == 0 || over < 0 ||
      !soak_watch_fault_free_since (p->gateway, p->sent))
    return;
  past_timeout++;
  if (over <= LATE_AFTER)
    return;
  ended_late++;
  soak_audit_log ("request %s by gw%u ended late with %u: %.3f s beyond %u ms",
                  id, p->gateway + 1, status, (double) over / 1e6, a->timeout);
}

/* The caller of ID got STATUS; 0: no answer. */
void
soak_probe_answered (const char *id, guint status)
{
  const Probe *p = g_hash_table_lookup (probes, id);
  SoakAllowed a;
  guint low = ask (p, &a);

  check_time (id, p, &a, status);
  if (!is_refusal (status))
    return;
  if (a.always || status != 404)
    soak_audit_fail ("request %s by gw%u for %s%s was answered %u, and each "
                     "configuration from %08x on allows it",
                     id, p->gateway + 1, p->host, p->target, status,
                     soak_config_version (low));
  else
    soak_watch_applied (p->gateway, p->run,
                        soak_config_first_match (low, p->host, p->path, NULL));
}

/* Judges what is counted over the whole run. */
void
soak_probe_summary (void)
{
  if (ended_late > LATE_ALLOWED && ended_late * 4 > past_timeout)
    soak_audit_fail ("%u of %u requests that outlasted their route's timeout "
                     "ended over half a second after it",
                     ended_late, past_timeout);
}
