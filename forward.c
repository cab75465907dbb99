/* Queues a request until an upstream of its pool has capacity, then sends it.
 * The end of an attempt and retries are handled in exchange.c. */
#include "forward.h"

#include <string.h>

#include "choose.h"
#include "clock.h"
#include "exchange_state.h"
#include "metrics.h"

/* Within a region a connection is established in 3 ms.  One that takes much
 * longer was lost or its peer is silent, and another upstream answers sooner
 * than a retransmitted SYN. */
#define CONNECT_TIMEOUT (200 * CC_MS)
/* Longest idle time of a connection that is reused.  The longer it was idle,
 * the likelier the peer is closing it.  A once-only request that hits such a
 * close can be neither repeated nor refused, so its limit is lower. */
#define IDLE_MAX_IDEMPOTENT (8 * CC_SECOND)
#define IDLE_MAX_ONCE_ONLY (4 * CC_SECOND)
/* Longest wait of a request whose key is being moved to another owner, as a
 * fraction of the route's target time.  A move takes as long as the work in
 * progress, which is less than the time until the caller would retry. */
#define KEYS_MOVING_WAIT_RATIO 0.6
/* Longest wait for capacity at a key's owner, as a fraction of the route's
 * target time.  A longer wait only delays the caller's retry, which may find
 * the key moved or the queue drained. */
#define OWNER_WAIT_RATIO 0.125
/* Least Retry-After of a request for which a limited upstream has no room. */
#define LIMITED_RETRY (200 * CC_MS)
/* Least Retry-After of a request that no upstream may get because of its zone.
 * Retries are spread over the same time again. */
#define EXCLUDED_RETRY (1 * CC_SECOND)
/* Callers that are refused during a rest are told to return within this part of
 * it after its end, spread evenly. */
#define REST_SPREAD 0.25
/* Hard limit on a pool's backlog, requests; admission control refuses long
 * before it is reached. */
#define BACKLOG_MAX 2000
/* Time after which a probe of an upstream has ended (forward_probe.c). */
#define PROBE_TIME (200 * CC_MS)
/* Period at which waiting requests are retried even if no attempt has ended:
 * load reports lose weight with age, which also frees capacity. */
#define PUMP_PERIOD (20 * CC_MS)

/* Returns a forwarder without requests.  SETUP is copied; the strings and
 * objects that it refers to must outlive the forwarder. */
CcForwarder *
cc_forwarder_new (const CcForwarderSetup *setup)
{
  CcForwarder *f = g_new0 (CcForwarder, 1);

  f->setup = *setup;
  f->entries = 1;
  f->permit_due = G_MAXINT64;
  f->peers = cc_peers_new ();
  f->lost = g_ptr_array_new ();
  f->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    cc_forward_pool_free);
  return f;
}

/* Returns the pool NAME, which is created if needed. */
CcForwardPool *
cc_forwarder_find_pool (CcForwarder *f, const char *name)
{
  CcForwardPool *p = g_hash_table_lookup (f->pools, name);

  if (p != NULL)
    return p;
  p = cc_forward_pool_new (name, f->state);
  g_hash_table_insert (f->pools, p->name, p);
  return p;
}

/* Sets the number of gateways (entries) in the fleet, which share the retry
 * budget and the limits on connections. */
void
cc_forwarder_set_entries (CcForwarder *f, guint entries)
{
  f->entries = MAX (entries, 1);
}

/* Sets the other gateways of the fleet, PEERS (of CcPeer), which F takes
 * over. */
void
cc_forwarder_set_peers (CcForwarder *f, GPtrArray *peers)
{
  g_ptr_array_unref (f->peers);
  f->peers = peers;
}

/* Limits the connections to each upstream of POOL to this gateway's share of
 * CONNECTIONS, the limit for the whole fleet; 0: no limit. */
void
cc_forwarder_limit_connections (CcForwarder *f, const char *pool,
                                guint connections)
{
  cc_forwarder_find_pool (f, pool)->connections_max =
      connections == 0 ? 0 : MAX (connections / f->entries, 2);
}

/* The number of requests that have no result yet. */
guint
cc_forwarder_pending (const CcForwarder *f)
{
  return f->pending;
}

/* The service time that few requests on ROUTE exceed at POOL, us; G_MAXINT64 if
 * it is unknown. */
gint64
cc_forwarder_longest_time (CcForwarder *f, const char *pool,
                           const CcRoute *route)
{
  return cc_work_estimate_longest (&cc_forwarder_find_pool (f, pool)->work,
                                   route->name);
}

/* Returns the number of keys of P that belong to upstreams in evacuated zones.
 */
static guint
count_evacuated_keys (const CcForwarder *f, const CcForwardPool *p)
{
  guint keys = 0;

  for (guint i = 0; i < p->ranges.list->len; i++)
    {
      const CcKeyRange *r = p->ranges.list->pdata[i];
      const CcTarget *t = cc_targets_find (f->setup.targets, r->owner);

      if (t != NULL &&
          cc_evacuation_covers (f->setup.evacuation, t->listing.zone))
        keys += r->to - r->from + 1;
    }
  return keys;
}

/* Returns the number of requests of this gateway that are in progress at
 * upstreams of P in evacuated zones. */
static guint
count_evacuated_requests (const CcForwarder *f, const CcForwardPool *p)
{
  GPtrArray *all = cc_targets_of_pool (f->setup.targets, p->name);
  guint requests = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const CcTarget *t = all->pdata[i];

      if (cc_evacuation_covers (f->setup.evacuation, t->listing.zone))
        requests += t->load.in_flight;
    }
  return requests;
}

/* Updates the gauges by which an evacuation of P is followed. */
static void
write_evacuation_gauges (const CcForwarder *f, const CcForwardPool *p)
{
  g_autofree char *label = cc_metrics_label ("pool", p->name);

  if (f->setup.evacuation == NULL)
    return;
  cc_metrics_gauge ("capercrank_evacuated_keys", label,
                    count_evacuated_keys (f, p));
  cc_metrics_gauge ("capercrank_evacuated_requests", label,
                    count_evacuated_requests (f, p));
}

/* Updates the metric gauges of all pools. */
void
cc_forwarder_write_gauges (const CcForwarder *f)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, f->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      cc_forward_pool_write_gauges (value);
      write_evacuation_gauges (f, value);
    }
}

/* Returns the typical work times for E at NOW. */
static CcTypicalWork
typical_of (const CcExchange *e, gint64 now)
{
  CcWorkFeatures f = cc_exchange_features (e);

  return cc_forward_pool_typical (e->pool, &f, now);
}

/* The input for the choice of an upstream for E. */
static CcChoice
choice_for (const CcExchange *e)
{
  const CcForwarderSetup *setup = &e->forwarder->setup;

  return (CcChoice){ .targets = setup->targets,
                     .pool = e->pool->name,
                     .zone = setup->zone,
                     .tried = e->tried,
                     .target_time = e->target_time,
                     .typical = e->typical,
                     .limits = setup->limits,
                     .priority = e->entry.priority,
                     .evacuation = setup->evacuation,
                     .zones = setup->zones,
                     .homes = e->homes };
}

/* Whether the attempt of DATA, an exchange, may be sent now. */
static gboolean
may_send (gpointer data)
{
  const CcExchange *e = data;
  CcChoice c = choice_for (e);
  gint64 now = cc_clock_now ();

  if (!cc_choose_may_send (&c, e->target, e->keyed, now))
    return FALSE;
  cc_target_sent (e->target, now);
  return TRUE;
}

/* Sends E to T.  Returns FALSE, with E back in the backlog, if no connection to
 * T is available.  After an attempt that may have run, an upstream that E has
 * tried before gets a new connection: the others may be as dead as the one of
 * that attempt. */
static gboolean
send_to (CcExchange *e, CcTarget *t)
{
  gint64 now = cc_clock_now ();
  gint64 left = cc_exchange_left (e, now);
  g_autoptr (GString) head = g_string_new (NULL);
  gboolean tried_before = g_ptr_array_find (e->tried, t, NULL);
  CcTarget *before = e->target;
  CcHttpRequest request = { .address = t->listing.address,
                            .body = e->body,
                            .bodiless = g_str_equal (e->method, "HEAD"),
                            .echo = cc_edge_echo_header (),
                            .echo_value = e->caller.id,
                            .connect_timeout = CONNECT_TIMEOUT,
                            .answer_timeout = left + CC_ANSWER_GRACE,
                            .idle_max = e->idempotent ? IDLE_MAX_IDEMPOTENT
                                                      : IDLE_MAX_ONCE_ONLY,
                            .connections_max = e->pool->connections_max,
                            .may_send = may_send };

  if (tried_before && e->may_have_run)
    request.idle_max = 0;
  g_string_append_printf (head, "%s %s HTTP/1.1\r\n%s", e->method, e->path,
                          e->headers);
  cc_edge_write_headers (head, &e->caller, left, t->listing.id);
  request.head = head->str;
  cc_backlog_remove (&e->pool->backlog, &e->entry);
  e->target = t;
  e->born = t->listing.born;
  e->call = cc_http_send (e->forwarder->setup.http, &request,
                          cc_exchange_on_result, e);
  if (e->call == NULL)
    {
      e->target = before;
      cc_backlog_push (&e->pool->backlog, &e->entry);
      return FALSE;
    }
  e->state = STATE_SENT;
  e->connection = 0;
  e->same_id = FALSE;
  e->moving = FALSE;
  e->sent = now;
  e->leaving = cc_target_leaving_age (t, now);
  e->attempts++;
  if (!tried_before)
    g_ptr_array_add (e->tried, t);
  e->work_share =
      cc_pick_sent (&t->load, &e->typical, cc_exchange_inside (e, t, now));
  cc_pick_add_own (&t->load, &e->own, &e->typical, e->work_share, now);
  cc_pool_reach_sent (&e->pool->reach);
  if (e->forwarder->setup.limits != NULL)
    cc_fleet_limits_sent (e->forwarder->setup.limits, t->listing.id, now);
  if (e->has_fingerprints && e->forwarder->setup.guard != NULL)
    e->suspect_runs =
        cc_crash_guard_begin_run (e->forwarder->setup.guard, &e->fingerprints);
  cc_exchange_start_timer (e, now);
  return TRUE;
}

typedef enum
{
  SEND_DONE,   /* sent to an upstream */
  SEND_WAITS,  /* no capacity yet */
  SEND_REFUSED /* refused; the exchange is freed */
} SendResult;

/* Whether E, if it were sent now, might still be at work when this process has
 * to be gone.  Its outcome would be unknown then; refused, it is served by
 * another process.
 *
 * Failure: only arriving requests are checked.  Symptom: one that has waited is
 * sent late in the grace period and gets no answer. */
static gboolean
is_too_late (CcExchange *e, gint64 now)
{
  const CcForwarder *f = e->forwarder;

  return f->stop_at != 0 &&
         now + MIN (cc_exchange_left (e, now),
                    cc_work_estimate_longest (&e->pool->work, e->kind)) >
             f->stop_at;
}

/* Handles E if CHOSEN, the upstreams that may serve it, are unreachable from
 * here: forwards it through a peer, or refuses it if trying them is in vain.
 * Their links are probed meanwhile.  SEND_WAITS: an upstream may be tried. */
static SendResult
try_around (CcExchange *e, const CcChosen *chosen, gint64 now)
{
  CcForwarder *f = e->forwarder;
  CcTarget *t = chosen->target != NULL ? chosen->target : chosen->considered;
  gboolean partitioned = cc_forwarder_is_partitioned (f, e->pool, now);

  if (t == NULL || !(chosen->unreachable ||
                     (partitioned && !cc_pool_reach_is_reached (
                                         &e->pool->reach, &t->load.reach))))
    return SEND_WAITS;
  if (cc_exchange_forward (e, now))
    {
      cc_forwarder_probe (f, e->pool, t);
      return SEND_DONE;
    }
  if (!e->from_peer && !partitioned)
    return SEND_WAITS;
  cc_forwarder_probe (f, e->pool, t);
  e->unreachable = TRUE;
  cc_exchange_end_not_run_until (e,
                                 e->keyed ? "owner-unreachable" : "unreachable",
                                 MAX (t->load.avoid_until, now + PROBE_TIME));
  return SEND_REFUSED;
}

/* Returns until when E may wait for capacity at a single upstream, us. */
static gint64
wait_until (const CcExchange *e)
{
  return e->began + (gint64) (OWNER_WAIT_RATIO * (double) e->target_time);
}

/* Refuses E, which gets no token of T, a limited upstream, before AT, or lets
 * it wait if that is soon. */
static SendResult
wait_for_token (CcExchange *e, const CcTarget *t, gint64 at, gint64 now)
{
  gboolean cold = t->load.cold_rate > 0 && t->load.limit >= t->load.cold_rate;

  if (at <= wait_until (e))
    return SEND_WAITS;
  cc_exchange_end_not_run_after (e, cold ? "cold" : "limited",
                                 MAX (at - now, LIMITED_RETRY));
  return SEND_REFUSED;
}

/* Sends E to T, which names a limit, if it gets a token.  Otherwise sets *AT to
 * when there is one, us; 0: the answer comes shortly. */
static SendResult
try_limited (CcExchange *e, CcTarget *t, gint64 now, gint64 *at)
{
  CcFleetLimits *limits = e->forwarder->setup.limits;

  if (!e->limited)
    cc_fleet_limits_count (limits, t->listing.id, e->entry.priority);
  e->limited = TRUE;
  *at = 0;
  if (cc_fleet_limits_take (limits, t->listing.id, t->listing.born,
                            e->entry.priority, now, at) != CC_LIMIT_PASSES)
    return SEND_WAITS;
  return send_to (e, t) ? SEND_DONE : SEND_WAITS;
}

/* Sends E, which no other upstream serves sooner, to one that names a limit, as
 * CHOSEN; or lets it wait or refuses it, if there are no others. */
static SendResult
try_any_limited (CcExchange *e, const CcChosen *chosen, gint64 now)
{
  gint64 at = 0;

  if (chosen->limited != NULL &&
      try_limited (e, chosen->limited, now, &at) == SEND_DONE)
    return SEND_DONE;
  if (chosen->target != NULL)
    return send_to (e, chosen->target) ? SEND_DONE : SEND_WAITS;
  if (!chosen->all_limited)
    return SEND_WAITS;
  if (chosen->limited == NULL)
    at = chosen->token_at;
  if (at == 0 || at == G_MAXINT64)
    return SEND_WAITS;
  return wait_for_token (
      e, chosen->limited != NULL ? chosen->limited : chosen->considered, at,
      now);
}

/* Sends E to T, the owner of its key, which has capacity. */
static SendResult
send_to_owner (CcExchange *e, CcTarget *t, gint64 now)
{
  gint64 at;

  if (t->load.limit <= 0)
    return send_to (e, t) ? SEND_DONE : SEND_WAITS;
  if (try_limited (e, t, now, &at) == SEND_DONE)
    return SEND_DONE;
  return at != 0 ? wait_for_token (e, t, at, now) : SEND_WAITS;
}

/* Returns whether requests to T, an owner, need permits now. */
static gboolean
needs_permit (const CcExchange *e, const CcTarget *t, gint64 now)
{
  const CcOwnerPermits *permits = e->forwarder->setup.permits;

  return permits != NULL && cc_owner_permits_are_needed (permits, t->listing.id,
                                                         t->listing.born, now);
}

/* Sends E to T, the overloaded owner of its key, if it gets a permit.
 * Otherwise lets it wait for the answer, or refuses it. */
static SendResult
try_permitted (CcExchange *e, CcTarget *t, gint64 now)
{
  CcOwnerPermits *permits = e->forwarder->setup.permits;
  CcPermitRequest r = { e->entry.priority, e->target_time };
  gint64 at = now;

  if (!e->permit_counted)
    cc_owner_permits_count (permits, t->listing.id);
  e->permit_counted = TRUE;
  switch (cc_owner_permits_take (permits, t->listing.id, &r, now, &at))
    {
    case CC_PERMIT_GRANTED:
      return send_to_owner (e, t, now);
    case CC_PERMIT_PENDING:
      at = now + CC_PERMIT_ASK_TIMEOUT;
      break;
    case CC_PERMIT_REFUSED:
      break;
    }
  if (at <= wait_until (e))
    {
      e->forwarder->permit_due = MIN (e->forwarder->permit_due, at);
      return SEND_WAITS;
    }
  cc_exchange_end_not_run_until (e, "owner-full", at);
  return SEND_REFUSED;
}

/* Refuses E, all of whose upstreams rest until UNTIL, or lets it wait if that
 * is soon. */
static SendResult
wait_for_rest (CcExchange *e, gint64 until, gint64 now)
{
  gint64 rest = until - now;

  if (until <= wait_until (e))
    return SEND_WAITS;
  cc_exchange_end_not_run_after (
      e, cc_eligibility_name (CC_INELIGIBLE_RESTING),
      rest + (gint64) (REST_SPREAD * (double) rest * g_random_double ()));
  return SEND_REFUSED;
}

/* Handles E, all of whose upstreams are excluded, as CHOSEN: refuses it, or
 * lets it wait for the end of a rest. */
static SendResult
handle_excluded (CcExchange *e, const CcChosen *chosen, gint64 now)
{
  if (chosen->excluded == CC_INELIGIBLE_RESTING)
    return wait_for_rest (e, chosen->rest_until, now);
  cc_exchange_end_not_run_after (
      e, cc_eligibility_name (chosen->excluded),
      EXCLUDED_RETRY + (gint64) (EXCLUDED_RETRY * g_random_double ()));
  return SEND_REFUSED;
}

/* Sends E to the owner of its key, lets it wait, or refuses it with a reason.
 */
static SendResult
try_send_to_owner (CcExchange *e, gint64 now)
{
  CcChoice c = choice_for (e);
  CcChosen chosen = cc_choose_owner (&c, &e->pool->ranges, e->caller.key, now);
  CcTarget *t = chosen.target;
  SendResult around;

  e->considered = chosen.considered;
  if (chosen.excluded != CC_ELIGIBLE)
    return handle_excluded (e, &chosen, now);
  around = t != NULL ? try_around (e, &chosen, now) : SEND_WAITS;
  if (around != SEND_WAITS)
    return around;
  if (t != NULL && now >= t->load.avoid_until && needs_permit (e, t, now))
    return try_permitted (e, t, now);
  if (t != NULL && cc_choose_has_capacity (&c, t, now))
    return send_to_owner (e, t, now);
  /* An owner that shed work has capacity again shortly; an unreachable one may
   * not. */
  if (t != NULL && (now >= t->load.avoid_until || t->load.avoid_span == 0))
    {
      gint64 capacity_at = cc_choose_capacity_at (&c, t, now);

      if (capacity_at <= wait_until (e))
        return SEND_WAITS;
      cc_exchange_end_not_run_until (e, "owner-full", capacity_at);
      return SEND_REFUSED;
    }
  e->moving |= chosen.moving;
  if (chosen.moving && now - e->began < (gint64) (KEYS_MOVING_WAIT_RATIO *
                                                  (double) e->target_time))
    return SEND_WAITS;
  /* The owner is not tried before avoid_until, by when its keys may have moved,
   * so an earlier retry by the caller cannot succeed. */
  if (t != NULL)
    {
      e->unreachable = TRUE;
      cc_exchange_end_not_run_until (e, "owner-unreachable",
                                     t->load.avoid_until);
    }
  else
    cc_exchange_end_not_run (e, chosen.moving ? "keys-moving" : "no-owner");
  return SEND_REFUSED;
}

/* Whether E waits since this process was paused a moment ago and may not have
 * read yet which upstreams may get requests. */
static gboolean
is_held_back (CcExchange *e, gint64 now)
{
  CcStall *stall = e->forwarder->setup.stall;
  gint64 until = stall != NULL ? cc_stall_hold_until (stall, now) : 0;

  if (until == 0)
    return FALSE;
  e->not_before = until;
  return TRUE;
}

/* Sends E to an upstream of its pool, lets it wait, or refuses it with a
 * reason. */
static SendResult
try_send (CcExchange *e, gint64 now)
{
  CcChoice c;
  CcChosen chosen;
  SendResult around;

  if (now < e->not_before || is_held_back (e, now))
    return SEND_WAITS;
  switch (cc_exchange_check_crashes (e, now))
    {
    case CC_GUARD_PASSES:
      break;
    case CC_GUARD_WAITS:
      e->not_before = now + PUMP_PERIOD;
      return SEND_WAITS;
    case CC_GUARD_REFUSED:
      return SEND_REFUSED;
    }
  e->typical = typical_of (e, now);
  c = choice_for (e);
  if (e->keyed)
    return try_send_to_owner (e, now);
  chosen = cc_choose_any (&c, now);
  e->considered = chosen.considered;
  around = try_around (e, &chosen, now);
  if (around != SEND_WAITS)
    return around;
  if (chosen.target != NULL || chosen.limited != NULL ||
      chosen.token_at != G_MAXINT64)
    return try_any_limited (e, &chosen, now);
  /* No upstream is reachable from here for a while, nor through a peer. */
  if (chosen.reachable_at > now)
    {
      e->unreachable = TRUE;
      cc_exchange_end_not_run_until (e, "unreachable", chosen.reachable_at);
      return SEND_REFUSED;
    }
  if (chosen.considered != NULL)
    return SEND_WAITS;
  if (chosen.excluded != CC_ELIGIBLE)
    return handle_excluded (e, &chosen, now);
  cc_exchange_end_not_run (e, "no-upstream");
  return SEND_REFUSED;
}

/* Sends the requests in P's backlog, in their order, as far as there is
 * capacity.  A request without a key that has to wait for capacity stops the
 * scan, since those after it wait for the same upstreams.  One that waits for
 * its key's owner, or for its next attempt to be due, does not. */
static void
pump_pool (CcForwardPool *p, gint64 now)
{
  GSequenceIter *i = g_sequence_get_begin_iter (p->backlog.order);

  while (!g_sequence_iter_is_end (i))
    {
      CcBacklogEntry *entry = g_sequence_get (i);
      CcExchange *e = entry->item;
      gboolean keyed = e->keyed;

      i = g_sequence_iter_next (i);
      if (try_send (e, now) == SEND_WAITS && !keyed && now >= e->not_before)
        return;
    }
}

/* Refuses the requests in P's backlog that can't be answered before this
 * process has to be gone. */
static void
refuse_late (CcForwardPool *p, gint64 now)
{
  GSequenceIter *i = g_sequence_get_begin_iter (p->backlog.order);

  while (!g_sequence_iter_is_end (i))
    {
      CcExchange *e = ((CcBacklogEntry *) g_sequence_get (i))->item;

      i = g_sequence_iter_next (i);
      if (is_too_late (e, now))
        cc_exchange_end_not_run_after (e, "stopping", CC_STOPPING_RETRY);
    }
}

/* Refuses the requests in P's backlog that can't be answered before their
 * deadlines.  Each request with a key waits for its own owner, not for those
 * before it. */
static void
refuse_hopeless (CcForwardPool *p, gint64 now)
{
  GSequenceIter *i = g_sequence_get_begin_iter (p->backlog.order);
  guint ahead = 0;

  while (!g_sequence_iter_is_end (i))
    {
      CcExchange *e = ((CcBacklogEntry *) g_sequence_get (i))->item;

      i = g_sequence_iter_next (i);
      if (e->keyed)
        continue;
      if (cc_backlog_is_hopeless (&p->backlog, ahead, (gint64) e->typical.kind,
                                  cc_exchange_left (e, now), now))
        cc_exchange_end_not_run (e, "full");
      else
        ahead++;
    }
}

static void
on_pump_timer (gpointer data)
{
  cc_forwarder_pump (data);
}

/* Starts the timer for the next pump, unless it is running and ends in time. */
static void
schedule_pump (CcForwarder *f)
{
  gint64 now = cc_clock_now ();
  gint64 at = MIN (now + PUMP_PERIOD, MAX (f->permit_due, now + CC_MS));

  if (f->capacity_timer.place != NULL && f->pump_at <= at)
    return;
  f->pump_at = at;
  cc_timer_start (&f->capacity_timer, at - now, on_pump_timer, f);
}

/* Sends all waiting requests for which there is capacity now. */
void
cc_forwarder_pump (CcForwarder *f)
{
  gint64 now = cc_clock_now ();
  gboolean waiting = FALSE;
  GHashTableIter i;
  gpointer value;

  f->permit_due = G_MAXINT64;
  g_hash_table_iter_init (&i, f->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcForwardPool *p = value;

      if (f->stop_at != 0)
        refuse_late (p, now);
      if (cc_backlog_length (&p->backlog) > 0)
        pump_pool (p, now);
      if (cc_backlog_length (&p->backlog) > 0)
        refuse_hopeless (p, now);
      waiting |= cc_backlog_length (&p->backlog) > 0;
    }
  if (waiting)
    schedule_pump (f);
}

/* From now on refuses waiting requests that may not be answered by STOP_AT, us
 * of cc_clock_now, when all must have ended. */
void
cc_forwarder_drain (CcForwarder *f, gint64 stop_at)
{
  f->stop_at = stop_at;
  cc_forwarder_pump (f);
}

/* Ends all requests that have no answer, since the process has to be gone. */
void
cc_forwarder_end_all (CcForwarder *f)
{
  while (f->exchanges.length > 0)
    cc_exchange_end_stopping (g_queue_peek_head (&f->exchanges));
}

/* Applies those of ROWS that describe key ranges of P.  Returns FALSE if there
 * are none. */
static gboolean
update_ranges (CcForwardPool *p, const GPtrArray *rows)
{
  gboolean found = FALSE;

  for (guint i = 0; i < rows->len; i++)
    {
      const CcRow *row = rows->pdata[i];

      if (!cc_key_range_is_of (row->key, p->name))
        continue;
      cc_key_ranges_apply_row (&p->ranges, row);
      found = TRUE;
    }
  return found;
}

/* Applies changed key ranges.  ROWS (of CcRow) are the rows of STATE that
 * changed; STATE must outlive F.  Requests that wait for a moved key are sent
 * at once. */
void
cc_forwarder_ranges_changed (CcForwarder *f, const CcView *state,
                             const GPtrArray *rows)
{
  GHashTableIter i;
  gpointer value;

  f->state = state;
  g_hash_table_iter_init (&i, f->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcForwardPool *p = value;
      GSequenceIter *s = g_sequence_get_begin_iter (p->backlog.order);

      if (!update_ranges (p, rows))
        continue;
      for (; !g_sequence_iter_is_end (s); s = g_sequence_iter_next (s))
        ((CcExchange *) ((CcBacklogEntry *) g_sequence_get (s))->item)
            ->not_before = 0;
    }
  cc_forwarder_pump (f);
}

/* Returns a new exchange for S, which is not in the backlog yet.  Its timeout
 * is that of the route, or the rest of the caller's if that is shorter. */
static CcExchange *
exchange_new (CcForwarder *f, const CcExchangeRequest *s, CcExchangeDone done,
              gpointer data)
{
  CcExchange *e = g_new0 (CcExchange, 1);
  gint64 allowed = s->route->timeout;

  if (s->caller->left >= 0)
    allowed = MIN (allowed, s->caller->left);
  e->forwarder = f;
  e->pool = cc_forwarder_find_pool (f, s->pool);
  e->keyed = s->keyed;
  e->from_peer = s->from_peer;
  e->earned = s->earns_budget;
  e->idempotent = cc_route_is_idempotent (s->route);
  e->began = cc_clock_now ();
  e->leaving = -1;
  e->target_time = s->route->target;
  e->deadline = e->began + allowed;
  e->attempts_max = MAX (s->route->attempts, 1);
  e->kind = g_strdup (s->route->name);
  e->method = g_strdup (s->method);
  e->path = g_strdup (s->path);
  e->work_path = cc_work_path (e->path);
  e->path_hash = cc_fingerprint_hash_path (e->path);
  e->headers = g_strdup (s->headers);
  e->homes = g_strdupv (s->route->homes);
  e->body = g_bytes_ref (s->body);
  e->typical = typical_of (e, e->began);
  e->caller = *s->caller;
  e->caller.id = g_strdup (s->caller->id);
  e->caller.address = g_strdup (s->caller->address);
  e->tried = g_ptr_array_new ();
  e->entry.priority = s->route->priority;
  e->entry.due = e->began + s->route->target;
  e->entry.item = e;
  e->done = done;
  e->data = data;
  e->link.data = e;
  g_queue_push_tail_link (&f->exchanges, &e->link);
  f->pending++;
  return e;
}

/* Whether E, which can't be sent at once, is expected to be served in time if
 * it waits. */
static gboolean
is_admitted (CcExchange *e)
{
  gint64 now = cc_clock_now ();
  gint64 wait = cc_backlog_wait (&e->pool->backlog, e->entry.priority, now);

  if (cc_backlog_length (&e->pool->backlog) >= BACKLOG_MAX)
    return FALSE;
  return cc_backlog_admits (wait, (gint64) e->typical.kind, e->target_time,
                            cc_exchange_left (e, now));
}

/* Starts to forward a request.  DONE is called once, from the main loop or
 * before this function returns; in the latter case it returns NULL. */
CcExchange *
cc_exchange_begin (CcForwarder *f, const CcExchangeRequest *s,
                   CcExchangeDone done, gpointer data)
{
  CcExchange *e = exchange_new (f, s, done, data);
  /* A key has a single owner, whose own queue decides, not the pool's. */
  gboolean admitted = e->keyed || is_admitted (e);

  if (e->keyed && e->caller.key >= 0 && !e->from_peer)
    cc_load_reporter_count (f->setup.reporter, e->pool->name,
                            (guint) e->caller.key);
  if (e->earned)
    cc_retry_budget_earn (&e->pool->budget, &f->setup.retry_bound);
  cc_backlog_push (&e->pool->backlog, &e->entry);
  cc_timer_start (&e->timer, cc_exchange_left (e, e->began),
                  cc_exchange_on_timeout, e);
  switch (try_send (e, e->began))
    {
    case SEND_REFUSED:
      return NULL;
    case SEND_DONE:
      return e;
    case SEND_WAITS:
      break;
    }
  if (admitted)
    {
      schedule_pump (f);
      return e;
    }
  cc_exchange_end_not_run (e, "full");
  return NULL;
}

/* Cancels E after its caller disconnected.  An idempotent request is aborted at
 * the server; so is the call to a peer, which does the same there.  A once-only
 * request that was sent continues, since after an abort its outcome would be
 * unknown.  DONE is not called. */
void
cc_exchange_cancel (CcExchange *e)
{
  CcForwarder *f = e->forwarder;

  switch (e->state)
    {
    case STATE_WAITING:
      break;
    case STATE_SENT:
      if (!e->idempotent)
        {
          e->done = NULL;
          return;
        }
      cc_exchange_cancel_call (e);
      break;
    case STATE_FORWARDED:
      cc_http_cancel (e->call);
      cc_exchange_end_forward (e, CC_PEER_ABANDONED);
      break;
    }
  cc_exchange_free (e);
  cc_forwarder_pump (f);
}
