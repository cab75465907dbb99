/* The guard has no network, clock or timer of its own (crash_guard.h). */
#include "guard_link.h"

#include "clock.h"
#include "peer_pick.h"
#include "quarantine.h"
#include "timers.h"

/* An answer that was on the way when an upstream crashed is received within
 * this time. */
#define ON_THE_WAY (100 * CC_MS)

struct CcGuardLink
{
  CcCrashGuard *guard;
  CcTable *table;
  CcPeerDatagrams *datagrams;
  const CcTargets *targets;
  GPtrArray *peers; /* of CcPeer */
  CcTimer timer;
};

static void
broadcast (GBytes *datagram, gpointer data)
{
  CcGuardLink *l = data;

  for (guint i = 0; i < l->peers->len; i++)
    cc_peer_datagrams_send (
        l->datagrams, ((const CcPeer *) l->peers->pdata[i])->address,
        g_bytes_get_data (datagram, NULL), g_bytes_get_size (datagram));
}

static void
on_written (CcStatus status, guint64 version, gpointer data)
{
  cc_crash_guard_written (((CcGuardLink *) data)->guard, status, version,
                          cc_clock_now ());
}

static void
write_row (const char *value, guint64 expected, gpointer data)
{
  CcGuardLink *l = data;
  CcTableChange *c = cc_table_change_new ();

  cc_table_expect (c, CC_TABLE_STATE, CC_QUARANTINE_KEY, expected);
  cc_table_put (c, CC_TABLE_STATE, CC_QUARANTINE_KEY, value);
  cc_table_commit (l->table, c, on_written, l);
}

static gboolean
has_responded (const CcCrash *crash, gpointer data)
{
  const CcTarget *t =
      cc_targets_find (((CcGuardLink *) data)->targets, crash->target);

  return t != NULL && t->listing.born == crash->born &&
         t->load.reached_at > crash->at + ON_THE_WAY;
}

static void wake (gpointer data);

static void
on_timer (gpointer data)
{
  if (cc_crash_guard_tick (((CcGuardLink *) data)->guard, cc_clock_now ()))
    wake (data);
}

static void
wake (gpointer data)
{
  CcGuardLink *l = data;

  if (l->timer.place == NULL)
    cc_timer_start (&l->timer, CC_CRASH_GUARD_PERIOD, on_timer, l);
}

/* Returns a guard that reports by DATAGRAMS and writes to TABLE.  TARGETS are
 * the upstreams as this gateway knows them. */
CcGuardLink *
cc_guard_link_new (CcTable *table, CcPeerDatagrams *datagrams,
                   const CcTargets *targets)
{
  CcGuardLink *l = g_new0 (CcGuardLink, 1);
  CcCrashGuardSetup setup = { .broadcast = broadcast,
                              .write = write_row,
                              .has_responded = has_responded,
                              .wake = wake,
                              .data = l };

  l->table = table;
  l->datagrams = datagrams;
  l->targets = targets;
  l->peers = cc_peers_new ();
  l->guard = cc_crash_guard_new (&setup);
  return l;
}

/* The guard of L. */
CcCrashGuard *
cc_guard_link_guard (const CcGuardLink *l)
{
  return l->guard;
}

/* Sets the other gateways of the fleet, PEERS (of CcPeer), which L takes over,
 * and the place of this one among all. */
void
cc_guard_link_set_peers (CcGuardLink *l, GPtrArray *peers, guint rank)
{
  g_ptr_array_unref (l->peers);
  l->peers = peers;
  cc_crash_guard_set_rank (l->guard, rank);
}

/* Applies the row of the quarantine if it is among ROWS (of CcRow), which have
 * changed in VIEW. */
void
cc_guard_link_apply_rows (CcGuardLink *l, const CcView *view,
                          const GPtrArray *rows)
{
  gint64 now = cc_clock_now ();

  for (guint i = 0; i < rows->len; i++)
    {
      const CcRow *row = rows->pdata[i];

      if (g_str_equal (row->key, CC_QUARANTINE_KEY) && row->value != NULL)
        cc_crash_guard_row (l->guard, row->value, row->version, now);
    }
  if (cc_view_get (view, CC_QUARANTINE_KEY) == NULL)
    cc_crash_guard_row_missing (l->guard, view->upto, now);
}
