/* The lease of the active assigner.
 *
 * Being active is for economy, not for safety: every write of the assigner
 * is checked against the version it was computed from, and a takeover against
 * the writer's own watch of the lease.  Two active assigners would cost
 * conflicts and nothing else. */
#include "leader.h"

#include <string.h>

#include "clock.h"
#include "log.h"

#define ROW "lease/assign"
#define ACTIVE_ROW "assign/active"

/* Others look every 50 ms at a view that is 200 ms old at the most. */
#define RESIGN_HOLD (3 * CC_SECOND)
#define DOUBT (300 * CC_MS) /* by then a poll shows what was written */

/* Makes L a candidate with ID, which dispatchers reach at ADDRESS. */
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

/* Whether this process goes on with moves at NOW.  The active assigner does so
 * after its lease has lapsed, since answers of the table may just be late,
 * until the table shows another's: before that nobody else would end them. */
gboolean
cc_leader_may_plan (const CcLeader *l, gint64 now)
{
  return cc_leader_is_active (l, now) || (l->mine && now >= l->hold_until);
}

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
      l->seen = version;
    }
  else if (status == CC_UNKNOWN)
    l->doubt_until = cc_clock_now () + DOUBT;
  else
    cc_lease_failed (&l->lease);
}

/* A renewal whose answer was lost counts if the view shows what it wrote.
 * Without this a table that takes writes and loses its answers had no active
 * assigner for as long, and nothing was taken over. */
static void
settle_doubt (CcLeader *l, const CcRow *row, gint64 now)
{
  g_autofree char *wanted = value_of (l, l->lease.sequence);

  if (l->doubt_until == 0)
    return;
  if (row != NULL && g_str_equal (row->value, wanted))
    cc_lease_found (&l->lease, row->version, l->lease.sequence);
  else if (now >= l->doubt_until)
    cc_lease_failed (&l->lease);
  else
    return;
  l->doubt_until = 0;
}

static void
write_row (CcLeader *l, gint64 now, gboolean first)
{
  CcTransaction *x = cc_transaction_new ();
  guint64 sequence = cc_lease_begin (&l->lease, now);
  g_autofree char *value = value_of (l, sequence);

  cc_transaction_check (x, ROW, l->seen);
  cc_transaction_put (x, ROW, value);
  if (first)
    cc_transaction_put (x, ACTIVE_ROW, l->active_row);
  l->calling = TRUE;
  cc_platform_commit (l->platform, x, on_written, l);
}

static void
tell (CcLeader *l, gboolean active)
{
  if (active == l->told)
    return;
  l->told = active;
  cc_log (CC_LOG_INFO, "leader", "%s is %s", l->id,
          active ? "active" : "standing by");
}

/* Renews or takes the lease as the VIEW of NOW allows. */
void
cc_leader_tick (CcLeader *l, const CcView *view, gint64 now)
{
  const CcRow *row = cc_view_get (view, ROW);

  l->mine = row != NULL && strstr (row->value, l->id) != NULL;
  tell (l, cc_leader_is_active (l, now));
  if (row != NULL && row->version > l->seen)
    l->seen = row->version;
  if (row == NULL && !cc_leader_is_active (l, now))
    l->seen = 0;
  cc_lease_watch (&l->watch, l->seen, now);
  if (!l->calling)
    settle_doubt (l, row, now);
  if (l->calling || l->doubt_until != 0 || now < l->hold_until)
    return;
  if (l->mine || cc_leader_is_active (l, now))
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

/* Gives the lease up, so that another can take it at once; this one waits for
 * RESIGN_HOLD, or it would be the first to find the place free. */
void
cc_leader_resign (CcLeader *l)
{
  CcTransaction *x;

  if (!cc_leader_is_active (l, cc_clock_now ()))
    return;
  x = cc_transaction_new ();
  cc_transaction_check (x, ROW, l->seen);
  cc_transaction_put (x, ROW, NULL);
  cc_lease_revoked (&l->lease);
  l->hold_until = cc_clock_now () + RESIGN_HOLD;
  l->calling = TRUE;
  cc_platform_commit (l->platform, x, on_resigned, l);
}
