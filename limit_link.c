/* The holder of the granter's lease hands out the tokens.  One that
 * has lost the table service does so for as long as it may renew grants;
 * gateways that know of a successor ask that one. */
#include "limit_link.h"

#include "clock.h"
#include "peer_pick.h"
#include "timers.h"

struct CcLimitLink
{
  CcFleetLimits *limits;
  CcOwnerPermits *permits;
  CcPeerDatagrams *datagrams;
  const CcTargets *targets;
  CcGranter *granter;
  CcLimitReady ready;
  gpointer data;
  GPtrArray *peers; /* of CcPeer */
  CcTimer timer;
  CcTimer cold_timer; /* until the next upstream is warm */
  CcTimer permit_timer;
};

static void
send (const char *address, GBytes *datagram, gpointer data)
{
  cc_peer_datagrams_send (((CcLimitLink *) data)->datagrams, address,
                          g_bytes_get_data (datagram, NULL),
                          g_bytes_get_size (datagram));
}

static void
broadcast (GBytes *datagram, gpointer data)
{
  CcLimitLink *l = data;

  for (guint i = 0; i < l->peers->len; i++)
    send (((const CcPeer *) l->peers->pdata[i])->address, datagram, l);
}

static gboolean
is_source (gpointer data)
{
  return cc_granter_has_recent_lease (((CcLimitLink *) data)->granter);
}

static gboolean
is_sole_source (gpointer data)
{
  return cc_granter_is_only_holder (((CcLimitLink *) data)->granter);
}

/* Sets the limit of T to RATE requests a second; 0: none. */
static void
set_limit (const CcLimitLink *l, CcTarget *t, double rate)
{
  gint64 now = cc_clock_now ();
  double cold = cc_fleet_limits_cold_rate (l->limits, t->listing.id,
                                           t->listing.born, now);

  if (cold > 0)
    t->load.cold_until = cc_fleet_limits_cold_until (l->limits, t->listing.id);
  else if (t->load.cold_rate > 0)
    t->load.cold_until = MIN (t->load.cold_until, now);
  t->load.limit = rate;
  t->load.cold_rate = cold;
  t->load.cold_burst =
      cold > 0 ? cc_fleet_limits_cold_burst (l->limits, cold) : 0.0;
}

static void
on_changed (const char *id, guint64 born, double rate, gpointer data)
{
  CcLimitLink *l = data;
  CcTarget *t = cc_targets_find (l->targets, id);

  if (t == NULL || t->listing.born != born)
    return;
  set_limit (l, t, rate);
  cc_granter_capacity_changed (l->granter);
}

static void
on_ready (gpointer data)
{
  CcLimitLink *l = data;

  l->ready (l->data);
}

static void wake (gpointer data);

static void
on_timer (gpointer data)
{
  if (cc_fleet_limits_tick (((CcLimitLink *) data)->limits))
    wake (data);
}

static void
wake (gpointer data)
{
  CcLimitLink *l = data;

  if (l->timer.place == NULL)
    cc_timer_start (&l->timer, CC_FLEET_LIMITS_PERIOD, on_timer, l);
}

static void wake_permits (gpointer data);

static void
on_permit_timer (gpointer data)
{
  if (cc_owner_permits_tick (((CcLimitLink *) data)->permits, cc_clock_now ()))
    wake_permits (data);
}

static void
wake_permits (gpointer data)
{
  CcLimitLink *l = data;

  if (l->permit_timer.place == NULL)
    cc_timer_start (&l->permit_timer, CC_OWNER_PERMITS_PERIOD, on_permit_timer,
                    l);
}

/* Returns the limits and permits of the gateway at ADDRESS in ZONE, which uses
 * DATAGRAMS.  TARGETS are the upstreams as it knows them; cold ones take
 * COLD_SLACK requests in any second beyond their rate.  The granter and the
 * function to call with tokens must be set before anything is received. */
CcLimitLink *
cc_limit_link_new (CcPeerDatagrams *datagrams, const CcTargets *targets,
                   const char *address, const char *zone, double cold_slack)
{
  CcLimitLink *l = g_new0 (CcLimitLink, 1);
  CcFleetLimitsSetup setup = { .address = address,
                               .send = send,
                               .broadcast = broadcast,
                               .is_source = is_source,
                               .changed = on_changed,
                               .ready = on_ready,
                               .wake = wake,
                               .data = l,
                               .is_sole_source = is_sole_source,
                               .cold_slack = cold_slack };
  CcOwnerPermitsSetup permits = { .address = address,
                                  .zone = zone,
                                  .send = send,
                                  .broadcast = broadcast,
                                  .ready = on_ready,
                                  .wake = wake_permits,
                                  .data = l };

  l->datagrams = datagrams;
  l->targets = targets;
  l->peers = cc_peers_new ();
  l->limits = cc_fleet_limits_new (&setup);
  l->permits = cc_owner_permits_new (&permits);
  return l;
}

/* The limits of L. */
CcFleetLimits *
cc_limit_link_limits (const CcLimitLink *l)
{
  return l->limits;
}

/* The permits of L. */
CcOwnerPermits *
cc_limit_link_permits (const CcLimitLink *l)
{
  return l->permits;
}

/* Handles DATAGRAM of another gateway.  Returns FALSE if it is about neither
 * limits nor permits. */
gboolean
cc_limit_link_receive (CcLimitLink *l, GBytes *datagram, gint64 now)
{
  return cc_fleet_limits_receive (l->limits, datagram, now) ||
         cc_owner_permits_receive (l->permits, datagram, now);
}

/* Sets the granter of this process, whose lease decides. */
void
cc_limit_link_set_granter (CcLimitLink *l, CcGranter *granter)
{
  l->granter = granter;
}

/* Sets the function READY that is called with DATA when tokens have arrived. */
void
cc_limit_link_set_ready (CcLimitLink *l, CcLimitReady ready, gpointer data)
{
  l->ready = ready;
  l->data = data;
}

/* Sets the other gateways of the fleet, PEERS (of CcPeer), which L takes over,
 * and the address of the one that GRANTER is, NULL: unknown. */
void
cc_limit_link_set_peers (CcLimitLink *l, GPtrArray *peers, const char *granter)
{
  g_ptr_array_unref (l->peers);
  l->peers = peers;
  cc_fleet_limits_set_gateways (l->limits, peers->len + 1);
  cc_fleet_limits_set_source (l->limits, granter);
  cc_owner_permits_clear_peers (l->permits);
  for (guint i = 0; i < peers->len; i++)
    {
      const CcPeer *peer = peers->pdata[i];

      cc_owner_permits_add_peer (l->permits, peer->address, peer->zone);
    }
}

/* The upstream ID is listed, perhaps for the first time: applies the limit that
 * is known of it. */
void
cc_limit_link_target_changed (CcLimitLink *l, const char *id)
{
  CcTarget *t = cc_targets_find (l->targets, id);

  if (t != NULL)
    set_limit (l, t, cc_fleet_limits_rate (l->limits, id, t->listing.born));
}

/* Ends the cold times that are over, and waits for the next one's end. */
static void
on_cold_timer (gpointer data)
{
  CcLimitLink *l = data;
  gint64 now = cc_clock_now ();
  gint64 next = cc_fleet_limits_end_cold (l->limits, now);

  if (next != 0)
    cc_timer_start (&l->cold_timer, MAX (next - now, CC_MS), on_cold_timer, l);
}

/* Reports the row of T, whose pool has the cold RATE, to the limits. */
static void
report_row (const CcLimitLink *l, const CcTarget *t, double rate, gint64 now)
{
  gboolean cold = t->state != CC_TARGET_GONE && t->listing.cold_for > 0;
  CcColdState state = { .id = t->listing.id,
                        .born = t->listing.born,
                        .rate = rate,
                        .left = cold ? MAX (t->load.cold_until - now, 0) : 0,
                        .version = t->version };

  cc_fleet_limits_row (l->limits, &state, now);
}

/* Rows of upstreams or the configuration ROUTES, NULL: none, have changed.
 * COMPLETE: the rows of all upstreams have been read. */
void
cc_limit_link_update_cold (CcLimitLink *l, const CcRoutes *routes,
                           gboolean complete)
{
  gint64 now = cc_clock_now ();
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, l->targets->by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const CcTarget *t = value;
      const CcRoutePool *pool =
          routes != NULL ? cc_routes_pool (routes, t->listing.pool) : NULL;

      report_row (l, t, pool != NULL ? pool->cold_rate : 0.0, now);
    }
  if (complete)
    cc_fleet_limits_rows_read (l->limits);
  on_cold_timer (l);
}
