/* The lease of the active assigner.
 *
 * Electing a single one is an optimisation, not a safeguard: every write is
 * checked against the version that it was computed from, and a takeover
 * against the writer's own watch of the lease.  Two active assigners only
 * cause write conflicts.
 */
#include "leader.h"

#include <string.h>

#include "clock.h"
#include "log.h"

#define ROW "lease/assign"
#define ACTIVE_ROW "assign/active"

/* Other candidates check every 50 ms a view that is at most 200 ms old. */
#define RESIGN_HOLD (3 * CC_SECOND)
#define UNCERTAIN_TIME (300 * CC_MS) /* a poll shows the write by then */

/* Initialises L as a candidate with ID, reachable by dispatchers at ADDRESS.
 */
void
cc_leader_init (CcLeader *l, CcPlatform *platform, const char *id,
                const char *address, guint64 incarnation)
{
  *l = (CcLeader){ .platform = platform };
  l->id = g_strdup (id);
  l->active_row = g_strdup_printf (
      "{\"id\":\"%s\",\"address\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT
      "}",
      id, address, incarnation);
  cc_lease_init (&l->lease);
}

/* Whether this process is the active assigner at NOW. */
gboolean
cc_leader_is_active (const CcLeader *l, gint64 now)
{
  return cc_lease_is_valid (&l->lease, now);
}

/* Whether this process may continue moves at NOW.  The active assigner may
 * continue after its lease has lapsed, since responses of the table may only
 * be late, until the table shows another holder: until then no other process
 * would complete them. */
gboolean
cc_leader_may_plan (const CcLeader *l, gint64 now)
{
  return cc_leader_is_active (l, now) || (l->owns_row && now >= l->hold_until);
}

/* The content of the lease row at SEQUENCE. */
static char *
value_of (const CcLeader *l, guint64 sequence)
{
  return g_strdup_printf ("{\"id\":\"%s\",\"sequence\":%" G_GUINT64_FORMAT "}",
                          l->id, sequence);
}

static void
on_written (CcStatus status, guint64 version, gpointer data)
{
  CcLeader *l = data;

  l->calling = FALSE;
  if (status == CC_OK)
    {
      cc_lease_renewed (&l->lease, version);
      l->row_version = version;
    }
  else if (status == CC_UNKNOWN)
    l->uncertain_until = cc_clock_now () + UNCERTAIN_TIME;
  else
    cc_lease_failed (&l->lease);
}

/* Accepts a renewal whose response was lost once the view shows its write.
 * Otherwise, while the table accepts writes but loses responses, no assigner
 * would be active and nothing would be taken over. */
static void
resolve_uncertain (CcLeader *l, const CcRow *row, gint64 now)
{
  g_autofree char *written = value_of (l, l->lease.sequence);

  if (l->uncertain_until == 0)
    return;
  if (row != NULL && g_str_equal (row->value, written))
    cc_lease_found (&l->lease, row->version, l->lease.sequence);
  else if (now >= l->uncertain_until)
    cc_lease_failed (&l->lease);
  else
    return;
  l->uncertain_until = 0;
}

/* Renews the lease or, if FIRST, takes it and publishes this process as
 * active. */
static void
write_row (CcLeader *l, gint64 now, gboolean first)
{
  CcTransaction *x = cc_transaction_new ();
  guint64 sequence = cc_lease_begin (&l->lease, now);
  g_autofree char *value = value_of (l, sequence);

  cc_transaction_check (x, ROW, l->row_version);
  cc_transaction_put (x, ROW, value);
  if (first)
    cc_transaction_put (x, ACTIVE_ROW, l->active_row);
  l->calling = TRUE;
  cc_platform_commit (l->platform, x, on_written, l);
}

/* Logs when the process becomes active or stops being so. */
static void
log_change (CcLeader *l, gboolean active)
{
  if (active == l->logged_active)
    return;
  l->logged_active = active;
  cc_log (CC_LOG_INFO, "leader", "%s is %s", l->id,
          active ? "active" : "standing by");
}

/* Renews or takes the lease as VIEW allows at NOW. */
void
cc_leader_tick (CcLeader *l, const CcView *view, gint64 now)
{
  const CcRow *row = cc_view_get (view, ROW);

  l->owns_row = row != NULL && strstr (row->value, l->id) != NULL;
  log_change (l, cc_leader_is_active (l, now));
  if (row != NULL && row->version > l->row_version)
    l->row_version = row->version;
  if (row == NULL && !cc_leader_is_active (l, now))
    l->row_version = 0;
  cc_lease_watch (&l->watch, l->row_version, now);
  if (!l->calling)
    resolve_uncertain (l, row, now);
  if (l->calling || l->uncertain_until != 0 || now < l->hold_until)
    return;
  if (l->owns_row || cc_leader_is_active (l, now))
    {
      if (cc_lease_is_due (&l->lease, now))
        write_row (l, now, FALSE);
    }
  else if (row == NULL || cc_lease_watch_lapsed (&l->watch, now))
    write_row (l, now, TRUE);
}

static void
on_resigned (CcStatus status, guint64 version, gpointer data)
{
  CcLeader *l = data;

  (void) status, (void) version;
  l->calling = FALSE;
}

/* Releases the lease, so that another process can take it at once.  This one
 * waits for RESIGN_HOLD, since it would otherwise be the first to find the row
 * missing. */
void
cc_leader_resign (CcLeader *l)
{
  CcTransaction *x;

  if (!cc_leader_is_active (l, cc_clock_now ()))
    return;
  x = cc_transaction_new ();
  cc_transaction_check (x, ROW, l->row_version);
  cc_transaction_put (x, ROW, NULL);
  cc_lease_revoked (&l->lease);
  l->hold_until = cc_clock_now () + RESIGN_HOLD;
  l->calling = TRUE;
  cc_platform_commit (l->platform, x, on_resigned, l);
}
