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
  else
    cc_lease_failed (&l->lease);
}

static void
write_row (CcLeader *l, gint64 now, gboolean first)
{
  CcTransaction *x = cc_transaction_new ();
  guint64 sequence = cc_lease_begin (&l->lease, now);
  g_autofree char *value = g_strdup_printf (
      "{\"id\":\"%s\",\"sequence\":%" G_GUINT64_FORMAT "}", l->id, sequence);

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
  gboolean mine = row != NULL && strstr (row->value, l->id) != NULL;

  tell (l, cc_leader_is_active (l, now));
  if (row != NULL && row->version > l->seen)
    l->seen = row->version;
  if (row == NULL && !cc_leader_is_active (l, now))
    l->seen = 0;
  cc_lease_watch (&l->watch, l->seen, now);
  if (l->calling || now < l->hold_until)
    return;
  if (mine || cc_leader_is_active (l, now))
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
