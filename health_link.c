#include "health_link.h"

#include "clock.h"
#include "edge.h"
#include "eligibility.h"
#include "event_log.h"
#include "metrics.h"
#include "timers.h"

/* Period at which it is decided which upstreams are probed. */
#define PERIOD (250 * CC_MS)
/* Within a region a connection is established in 3 ms. */
#define CONNECT_TIMEOUT (200 * CC_MS)
/* A later response tells less than the row does. */
#define ANSWER_TIMEOUT (800 * CC_MS)
#define IDLE_MAX (4 * CC_SECOND)

struct CcHealthLink
{
  CcHealthLinkSetup setup;
  CcHealthProbe *probe;
  CcProbeFleet fleet;
  CcTimer timer;
  GHashTable *damaged; /* ids whose last response could not be read */
};

/* A probe on its way. */
typedef struct
{
  CcHealthLink *link;
  char *id;
  guint64 born;
  gint64 sent; /* us */
} Probe;

/* Counts a probe for the reason WHY. */
static void
count_probe (CcProbeReason why)
{
  static CcCounter *cold, *limited;

  if (cold == NULL)
    {
      cold = cc_metrics_counter ("capercrank_health_probes", "why=\"cold\"");
      limited =
          cc_metrics_counter ("capercrank_health_probes", "why=\"limited\"");
    }
  ++*(why == CC_PROBE_COLD ? cold : limited);
}

/* Logs that the response to P can't be read because of its HEADER, NULL: it
 * can, unless that is known of the upstream. */
static void
log_damaged (const Probe *p, const char *header)
{
  if (header == NULL)
    {
      g_hash_table_remove (p->link->damaged, p->id);
      return;
    }
  if (!g_hash_table_add (p->link->damaged, g_strdup (p->id)))
    return;
  cc_event (CC_EVENT_STATE, "health-response-damaged", "target", p->id,
            "header", header, NULL);
}

/* Applies the limit that REPLY to P names, or its end. */
static void
apply_limit (const Probe *p, const CcHealthReply *reply, gint64 now)
{
  CcFleetLimits *limits = p->link->setup.limits;

  switch (reply->limit.kind)
    {
    case CC_LIMIT_NONE:
      if (reply->healthy)
        cc_fleet_limits_answer_unlimited (limits, p->id, p->born, p->sent, now);
      break;
    case CC_LIMIT_NAMED:
      cc_fleet_limits_answer_named (limits, p->id, p->born, reply->limit.rate,
                                    p->sent, now);
      break;
    case CC_LIMIT_DAMAGED:
      break;
    }
}

/* Applies the cold time in REPLY to P. */
static void
apply_cold_time (const Probe *p, const CcHealthReply *reply, gint64 now)
{
  switch (reply->cold)
    {
    case CC_COLD_TIME_NONE:
      break;
    case CC_COLD_TIME_STATED:
      if (reply->cold_for > 0)
        cc_fleet_limits_probed_cold (p->link->setup.limits, p->id, p->born,
                                     reply->cold_for, now);
      break;
    case CC_COLD_TIME_DAMAGED:
      break;
    }
}

/* Returns which part of REPLY can't be read, or NULL. */
static const char *
damage_of (const CcHealthReply *reply)
{
  if (reply->cold == CC_COLD_TIME_DAMAGED)
    return "cold-time";
  return reply->limit.kind == CC_LIMIT_DAMAGED ? "limit" : NULL;
}

static void
on_result (const CcHttpResult *r, gpointer data)
{
  Probe *p = data;
  gint64 now = cc_clock_now ();
  CcHealthReply reply;
  CcServerNotice notice;

  cc_edge_read_notice (r, &notice);
  cc_upstream_notices_receive (p->link->setup.notices, p->id, p->born, &notice,
                               now);
  if (r->end == CC_HTTP_ANSWERED && cc_edge_read_health (r, &reply))
    {
      log_damaged (p, damage_of (&reply));
      apply_limit (p, &reply, now);
      apply_cold_time (p, &reply, now);
    }
  g_free (p->id);
  g_free (p);
}

/* Sends a probe to T of POOL. */
static void
send_probe (CcHealthLink *l, const CcTarget *t, const CcRoutePool *pool)
{
  g_autofree char *head =
      cc_edge_probe_head (pool->health_path, t->listing.address, t->listing.id);
  CcHttpRequest request = { .address = t->listing.address,
                            .head = head,
                            .id_header = cc_edge_echo_header (),
                            .connect_timeout = CONNECT_TIMEOUT,
                            .answer_timeout = ANSWER_TIMEOUT,
                            .idle_max = IDLE_MAX };
  Probe *p = g_new0 (Probe, 1);

  if (pool->connections_max > 0)
    request.connections_max =
        MAX (pool->connections_max / MAX (l->fleet.gateways, 1), 1);
  p->link = l;
  p->id = g_strdup (t->listing.id);
  p->born = t->listing.born;
  p->sent = cc_clock_now ();
  if (cc_http_send (l->setup.http, &request, on_result, p) == NULL)
    {
      g_free (p->id);
      g_free (p);
    }
}

/* Returns the requests a second that this gateway sends to each upstream in ALL
 * in the mean. */
static double
mean_traffic (const CcHealthLink *l, const GPtrArray *all, gint64 now)
{
  double sum = 0;
  guint n = 0;

  for (guint i = 0; i < all->len; i++)
    {
      const CcTarget *t = all->pdata[i];

      if (t->state != CC_TARGET_READY)
        continue;
      sum += cc_fleet_limits_traffic (l->setup.limits, t->listing.id, now);
      n++;
    }
  return n > 0 ? sum / n : 0.0;
}

/* Probes the upstreams of POOL that are due. */
static void
probe_pool (CcHealthLink *l, const CcRoutePool *pool, gint64 now)
{
  GPtrArray *all = cc_targets_of_pool (l->setup.targets, pool->name);
  CcEligibilityRules rules = { .targets = l->setup.targets };
  double mean;

  if (pool->health_path == NULL || all == NULL)
    return;
  mean = pool->cold_rate > 0 ? mean_traffic (l, all, now) : 0.0;
  for (guint i = 0; i < all->len; i++)
    {
      const CcTarget *t = all->pdata[i];
      const CcListing *s = &t->listing;
      CcProbeCandidate c = {
        .id = s->id,
        .cold_bound =
            cc_fleet_limits_cold_bound (l->setup.limits, s->id, s->born, now),
        /* One gateway of many sends few requests to one upstream. */
        .traffic =
            MAX (cc_fleet_limits_traffic (l->setup.limits, s->id, now), mean),
        .limit = t->load.limit,
        .idle = cc_fleet_limits_is_idle (l->setup.limits, s->id, s->born,
                                         CC_HEALTH_PROBE_IDLE, now)
      };
      CcProbeReason why;

      if (!cc_eligibility_may_send (&rules, t, FALSE, now))
        continue;
      why =
          cc_health_probe_due (l->probe, &c, &l->fleet, now, cc_clock_wall ());
      if (why == CC_PROBE_NONE)
        continue;
      count_probe (why);
      send_probe (l, t, pool);
    }
}

static void
on_timer (gpointer data)
{
  CcHealthLink *l = data;
  const CcRoutes *routes = l->setup.routes (l->setup.data);
  gint64 now = cc_clock_now ();
  GHashTableIter i;
  gpointer value;

  cc_timer_start (&l->timer, PERIOD, on_timer, l);
  if (routes == NULL)
    return;
  g_hash_table_iter_init (&i, routes->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    probe_pool (l, value, now);
}

/* Returns a link that probes the upstreams of SETUP, which is copied, from now
 * on. */
CcHealthLink *
cc_health_link_new (const CcHealthLinkSetup *setup)
{
  CcHealthLink *l = g_new0 (CcHealthLink, 1);

  l->setup = *setup;
  l->probe = cc_health_probe_new ();
  l->damaged = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  l->fleet.gateways = 1;
  cc_timer_start (&l->timer, PERIOD, on_timer, l);
  return l;
}

/* Sets the FLEET among which the probes are divided. */
void
cc_health_link_set_fleet (CcHealthLink *l, const CcProbeFleet *fleet)
{
  l->fleet = *fleet;
}
