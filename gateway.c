/* capercrank-gateway: accepts callers' requests and forwards them directly to
 * upstreams, for pools whose upstreams check key ownership themselves or own no
 * keys.  Each instance runs one process; one process of the fleet is the
 * granter, which gives keys to upstreams (granter.c).
 *
 * This file connects the modules of the process and handles its start, its
 * readiness and its drain. */
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "admin.h"
#include "callers.h"
#include "clock.h"
#include "edge.h"
#include "evacuation.h"
#include "event_log.h"
#include "forward_server.h"
#include "granter.h"
#include "guard_link.h"
#include "health_link.h"
#include "load_reporter.h"
#include "isolation.h"
#include "limit_link.h"
#include "members.h"
#include "metrics.h"
#include "mirror.h"
#include "peer_server.h"
#include "process.h"
#include "settings.h"
#include "stall.h"
#include "timers.h"
#include "upstream_notices.h"
#include "zones.h"

/* Time until the load balancer stops sending new connections to a draining
 * process: it polls readiness once a second and acts after two failures. */
#define DRAIN_QUIET (2600 * CC_MS)
/* Requests without an answer are ended this long before the end of the stop
 * grace period, and one part in DRAIN_RESERVE_PART of a short one.  Half of
 * that is for writing their answers; the rest is left unused, so that the
 * process exits before the platform kills it. */
#define DRAIN_RESERVE_MAX (400 * CC_MS)
#define DRAIN_RESERVE_PART 10
#define DRAIN_POLL (50 * CC_MS)
#define TARGETS_RECHECK (250 * CC_MS) /* period while upstreams are missing */
#define LOG_FLUSH_PERIOD (1 * CC_SECOND) /* for buffered log lines */
/* A leaving upstream gets no requests in this last part of the time for which
 * it still serves: connecting may take 200 ms (forward.c), and writing and
 * delivering the request 50 ms. */
#define LEAVING_RESERVE (250 * CC_MS)
/* The granter needs a twentieth of a core per hundred key ranges.  When a fleet
 * starts for the first time, processes with fewer cores than this delay taking
 * the lease, so that a larger one gets it; no callers are connected yet. */
#define GRANTER_CORES 0.3
#define SMALL_PROCESS_LEASE_DELAY (1500 * CC_MS)
/* Delay of the first table read when a fleet starts for the first time.
 * Processes with GRANTER_CORES or more read when most members have registered,
 * smaller ones when one of the larger ones grants keys. */
#define FIRST_START_PAUSE (700 * CC_MS)
#define FIRST_START_PAUSE_SMALL (2 * CC_SECOND)
/* Largest settings; what is above can't be meant. */
#define DAY_MS ((gint64) 24 * 3600 * 1000)
#define COUNT_MAX 1000000000

typedef struct
{
  const CcSetting *settings;
  const char *instance;
  char *address;        /* for peers, IP:PORT */
  gboolean first_start; /* of the whole fleet */
  CcHttp *http;
  CcHttp *grants_http; /* separate from HTTP, so that failed requests never
                          close the connections of grants */
  CcTable *table;
  CcMirror *mirror;
  CcTargets targets;
  CcZones *zones;
  CcEvacuation *evacuation;
  CcUpstreamNotices *notices;
  gboolean evacuation_changed; /* by the update in progress */
  gboolean targets_changed;    /* since the granter was last notified */
  gboolean cut_off;            /* result of the last check (isolation.h) */
  CcForwarder *forwarder;
  CcForwardServer *forward_server;
  CcMemoryBudget *budget;
  CcCallers *callers;
  CcGranter *granter;
  SoupServer *readiness;
  CcPeerServer *peers;
  guint64 routes_version;   /* of the last configuration row read */
  gint64 routes_applied_at; /* us */
  CcMembers *members;
  CcTimer recheck;
  CcTimer flush;
  CcStall stall;
  CcTimer stall_timer;
  CcTimer report_timer;
  CcPeerDatagrams *datagrams;
  CcLoadReporter *reporter;
  CcGuardLink *guard;
  CcLimitLink *limits;
  CcHealthLink *health;
  CcTimer drain;
  gint64 stop_at;  /* all requests have ended by then, us; 0: not draining */
  gint64 exit_at;  /* exits by then, us */
  gint64 quiet_at; /* no new connections are expected after this, us */
} Gateway;

static void update_targets (gpointer data);

/* ---- configuration ---- */

/* Applies the configured limits on connections to the pools of the forwarder.
 */
static void
limit_connections (Gateway *g)
{
  const CcRoutes *routes = cc_callers_routes (g->callers);
  GHashTableIter i;
  gpointer value;

  if (routes == NULL)
    return;
  g_hash_table_iter_init (&i, routes->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_forwarder_limit_connections (g->forwarder, ((CcRoutePool *) value)->name,
                                    ((CcRoutePool *) value)->connections_max);
}

/* Applies cold times of upstreams and cold rates of their pools. */
static void
update_cold (Gateway *g)
{
  cc_limit_link_update_cold (
      g->limits, cc_callers_routes (g->callers),
      cc_mirror_is_complete (g->mirror, CC_TABLE_UPSTREAMS));
}

/* Upper bound on the age of ROW, us; -1: unknown. */
static gint64
row_age (const Gateway *g, const CcRow *row)
{
  gint64 written = cc_version_clock_written_after (cc_mirror_clock (g->mirror),
                                                   row->version);

  return written == CC_TIME_UNKNOWN ? -1 : cc_clock_now () - written;
}

/* Logs that ROUTES, parsed from ROW in READ_TIME us, were applied, and records
 * the delay since ROW was written. */
static void
log_configuration (const Gateway *g, const CcRow *row, const CcRoutes *routes,
                   gint64 read_time)
{
  gint64 age = row_age (g, row);

  cc_event (CC_EVENT_STATE, "configuration-taken", "version",
            cc_event_int (routes->version), "row_version",
            cc_event_int ((gint64) row->version), "routes",
            cc_event_int (routes->count), "bytes",
            cc_event_int ((gint64) strlen (row->value)), "age_ms",
            cc_event_int (age < 0 ? -1 : age / CC_MS), "read_ms",
            cc_event_int (read_time / CC_MS), NULL);
  if (age >= 0)
    cc_histogram_add (
        cc_metrics_histogram ("capercrank_configuration_delay_seconds", ""),
        age);
}

/* Parses and applies the configuration row if it is newer than the last one
 * read.  A row that is invalid, or whose version is lower than the current
 * one, is logged and ignored. */
static void
apply_configuration (Gateway *g)
{
  const CcRow *row = cc_view_get (cc_mirror_view (g->mirror, CC_TABLE_CONFIG),
                                  cc_edge_routes_key ());
  const CcRoutes *old = cc_callers_routes (g->callers);
  gint64 begun = cc_clock_now ();
  const char *why = NULL;
  CcRoutes *routes;

  /* No configuration is read at the end of a drain: parsing a large one takes
   * half a second on a small machine, which delays the answers to requests in
   * progress and the exit. */
  if (row == NULL || row->version <= g->routes_version ||
      cc_callers_rejects_all (g->callers))
    return;
  g->routes_version = row->version;
  routes = cc_edge_read_routes (row->value, &why);
  if (routes == NULL || (old != NULL && routes->version < old->version))
    {
      cc_event (CC_EVENT_STATE, "configuration-refused", "why",
                routes == NULL ? why : "older", "row_version",
                cc_event_int ((gint64) row->version), NULL);
      cc_routes_free (routes);
      return;
    }
  g->routes_applied_at = cc_clock_now ();
  cc_callers_configure (g->callers, routes);
  cc_granter_configure (g->granter, routes);
  limit_connections (g);
  update_cold (g);
  log_configuration (g, row, routes, g->routes_applied_at - begun);
}

/* ---- evacuated zones ---- */

static const char *const evacuation_states[] = { "evacuated", "withdrawn",
                                                 "unknown-zone" };

static void
on_evacuation_changed (const char *zone, CcEvacuationChange change, gint64 age,
                       gpointer data)
{
  Gateway *g = data;

  g->evacuation_changed |= change != CC_EVACUATION_UNKNOWN;
  if (change == CC_EVACUATION_BEGAN && age >= 0)
    cc_histogram_add (
        cc_metrics_histogram ("capercrank_evacuation_delay_seconds", ""), age);
  cc_event (CC_EVENT_STATE, "evacuation", "zone", zone, "state",
            evacuation_states[change], "age_ms",
            cc_event_int (age < 0 ? -1 : age / CC_MS), NULL);
}

/* Applies the rows that evacuate zones to waiting requests and to the plan of
 * keys. */
static void
update_evacuation (Gateway *g)
{
  CcEvacuationSource source = { .view =
                                    cc_mirror_view (g->mirror, CC_TABLE_CONFIG),
                                .clock = cc_mirror_clock (g->mirror),
                                .targets = &g->targets,
                                .zones = g->zones,
                                .decode = cc_edge_evacuated_zone };

  g->evacuation_changed = FALSE;
  cc_evacuation_update (g->evacuation, &source, cc_clock_now (),
                        on_evacuation_changed, g);
  if (!g->evacuation_changed)
    return;
  cc_granter_plan_again (g->granter);
  cc_forwarder_pump (g->forwarder);
}

/* ---- upstreams ---- */

static const char *const state_names[] = { "ready", "leaving", "gone" };

/* Records that an upstream began to leave or is gone, by an update that is AGE
 * us old; -1: unknown. */
static void
record_departure (gint64 age)
{
  if (age >= 0)
    cc_histogram_add (
        cc_metrics_histogram ("capercrank_departure_news_age_seconds", ""),
        age);
}

/* Logs the new state of T and closes idle connections to it unless it is
 * ready. */
static void
on_target_changed (const CcTarget *t, gpointer data)
{
  Gateway *g = data;
  gint64 age = cc_target_state_age (t, cc_clock_now ());

  g->targets_changed = TRUE;
  cc_limit_link_target_changed (g->limits, t->listing.id);
  cc_event (CC_EVENT_STATE, "upstream", "target", t->listing.id, "pool",
            t->listing.pool, "address", t->listing.address, "state",
            state_names[t->state], "born",
            cc_event_int ((gint64) t->listing.born), "row_version",
            cc_event_int ((gint64) t->version), "age_ms",
            cc_event_int (age < 0 ? -1 : age / CC_MS), NULL);
  if (t->state == CC_TARGET_READY)
    return;
  record_departure (age);
  cc_http_close_idle (g->http, t->listing.address);
}

/* Applies changed rows of upstreams, and checks again after TARGETS_RECHECK
 * while any is missing. */
static void
update_targets (gpointer data)
{
  Gateway *g = data;
  CcTargetsSource listed = { .view =
                                 cc_mirror_view (g->mirror, CC_TABLE_UPSTREAMS),
                             .clock = cc_mirror_clock (g->mirror),
                             .outage = cc_mirror_outage (g->mirror),
                             .own_outage = cc_mirror_own_outage (g->mirror) };

  if (cc_targets_update (&g->targets, &listed, cc_edge_read_listing,
                         cc_clock_now (), on_target_changed, g))
    cc_timer_start (&g->recheck, TARGETS_RECHECK, update_targets, g);
  if (g->targets_changed)
    update_evacuation (g);
  if (g->targets_changed)
    cc_granter_targets_changed (g->granter, cc_mirror_outage (g->mirror));
  g->targets_changed = FALSE;
  update_cold (g);
  cc_forwarder_pump (g->forwarder);
}

/* T has said in an answer that it leaves.  The answer is still being handled,
 * so requests that wait are decided anew afterwards. */
static void
on_target_says_leaving (const CcTarget *t, gpointer data)
{
  Gateway *g = data;

  on_target_changed (t, g);
  cc_timer_start (&g->recheck, 0, update_targets, g);
}

/* ---- peers ---- */

static char *
pick_peer (CcPeerKind kind, gpointer data)
{
  return cc_members_peer (((Gateway *) data)->members, kind);
}

static void
on_peer_ended (const char *address, gboolean answered, gpointer data)
{
  cc_members_peer_result (((Gateway *) data)->members, address, answered);
}

/* Whether any of ROWS describes a member of the fleet. */
static gboolean
include_member_rows (const GPtrArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    if (cc_members_reads_row (((const CcRow *) rows->pdata[i])->key))
      return TRUE;
  return FALSE;
}

/* Applies changed member rows to all modules that depend on the size of the
 * fleet or on this process's place in it. */
static void
update_members (Gateway *g)
{
  CcMirrorRole role;
  guint count;

  cc_members_update (g->members, cc_mirror_view (g->mirror, CC_TABLE_STATE));
  count = cc_members_count (g->members);
  role = (CcMirrorRole){ .is_followed = cc_members_is_followed (g->members),
                         .reads_all = cc_members_reads_all (g->members),
                         .distance = cc_members_distance (g->members),
                         .fleet = count };
  cc_granter_set_rank (g->granter, cc_members_rank (g->members), count);
  if (role.distance == 0)
    cc_granter_named_in_table (g->granter);
  cc_forwarder_set_entries (g->forwarder, count);
  cc_forwarder_set_peers (g->forwarder, cc_members_others (g->members));
  cc_guard_link_set_peers (g->guard, cc_members_others (g->members),
                           cc_members_rank (g->members));
  cc_limit_link_set_peers (g->limits, cc_members_others (g->members),
                           cc_members_granter (g->members));
  cc_health_link_set_fleet (
      g->health, &(CcProbeFleet){ .gateways = count,
                                  .rank = cc_members_rank (g->members) });
  cc_load_reporter_set_relay (g->reporter, cc_members_is_relay (g->members));
  limit_connections (g);
  cc_mirror_set_role (g->mirror, &role);
}

/* ---- reports to the granter ---- */

static void
on_key_count (const char *pool, guint key, guint count, gpointer data)
{
  cc_granter_add_load (((Gateway *) data)->granter, pool, key, count);
}

static void
on_work_report (const char *target, double work, guint answers, gpointer data)
{
  cc_granter_add_work (((Gateway *) data)->granter, target, work, answers);
}

/* Adds the work observed at each key owner since the last report to the next
 * one. */
static void
report_work (Gateway *g)
{
  const CcRoutes *routes = cc_callers_routes (g->callers);
  GHashTableIter i;
  gpointer value;

  if (routes == NULL)
    return;
  g_hash_table_iter_init (&i, g->targets.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcTarget *t = value;
      const CcRoutePool *pool;

      if (t->load.answers_unreported == 0)
        continue;
      pool = cc_routes_pool (routes, t->listing.pool);
      if (pool == NULL || !pool->keyed)
        continue;
      cc_load_reporter_work (g->reporter, t->listing.id,
                             t->load.work_unreported,
                             t->load.answers_unreported);
      t->load.work_unreported = 0;
      t->load.answers_unreported = 0;
    }
}

/* Sends the load report to the granter or a relay, if one is known. */
static void
on_report_timer (gpointer data)
{
  Gateway *g = data;
  g_autofree char *address = cc_members_report_address (g->members);
  gint64 period = cc_members_is_relay (g->members) ? CC_LOAD_RELAY_PERIOD
                                                   : CC_LOAD_REPORT_PERIOD;

  cc_timer_start (&g->report_timer, period, on_report_timer, g);
  if (address == NULL)
    return;
  report_work (g);
  cc_load_reporter_send (g->reporter, address);
}

/* ---- datagrams of other gateways ---- */

static void
on_tokens (gpointer forwarder)
{
  cc_forwarder_pump (forwarder);
}

static void
on_datagram (GBytes *datagram, gpointer data)
{
  Gateway *g = data;
  gint64 now = cc_clock_now ();

  if (!cc_crash_guard_receive (cc_guard_link_guard (g->guard), datagram, now) &&
      !cc_limit_link_receive (g->limits, datagram, now) &&
      !cc_load_reporter_receive (g->reporter, datagram))
    cc_event (CC_EVENT_STATE, "load-report-damaged", NULL);
}

/* ---- changed rows ---- */

static void
on_lease_renewed (guint64 version, gint64 sent, GVariant *rows, gpointer data)
{
  cc_mirror_lease_written (((Gateway *) data)->mirror, version, sent, rows);
}

static void
update_lease_version (Gateway *g)
{
  gint64 received_at;
  guint64 version = cc_mirror_lease (g->mirror, &received_at);

  cc_granter_lease_received (g->granter, version, received_at);
}

static CcReach
check_reach (const char *pool, gboolean probe, gpointer data)
{
  return cc_forwarder_check_reach (((Gateway *) data)->forwarder, pool, probe);
}

/* Passes ROWS, which have changed, to the granter: they may tell that the lease
 * was given up, or be those of ranges. */
static void
notify_granter (Gateway *g, const GPtrArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const CcRow *row = rows->pdata[i];

      if (g_str_equal (row->key, CC_GRANTER_VACANT_KEY))
        cc_granter_lease_vacated (g->granter, row->version);
      else
        cc_granter_row_received (g->granter, row);
    }
}

/* Rows of the table NAME have changed: passes them to the modules that use
 * it. */
static void
on_rows (CcTableName name, gpointer data)
{
  Gateway *g = data;
  const GPtrArray *rows;

  switch (name)
    {
    case CC_TABLE_CONFIG:
      /* First, so that no request is served by the configuration alone. */
      update_evacuation (g);
      apply_configuration (g);
      break;
    case CC_TABLE_UPSTREAMS:
      update_targets (g);
      break;
    case CC_TABLE_STATE:
      rows = cc_mirror_changed (g->mirror, CC_TABLE_STATE);
      cc_members_join (g->members, cc_mirror_view (g->mirror, CC_TABLE_STATE));
      if (include_member_rows (rows))
        update_members (g);
      notify_granter (g, rows);
      cc_guard_link_apply_rows (
          g->guard, cc_mirror_view (g->mirror, CC_TABLE_STATE), rows);
      cc_forwarder_ranges_changed (
          g->forwarder, cc_mirror_view (g->mirror, CC_TABLE_STATE), rows);
      break;
    case CC_TABLE_LEASE:
      update_lease_version (g);
      break;
    }
  cc_peer_server_notify (g->peers);
}

/* ---- readiness, metrics and other ports ---- */

/* Checks whether this process is cut off from its peers.  While it is, callers'
 * connections are closed after each answer. */
static void
check_isolation (Gateway *g)
{
  gint64 now = cc_clock_now (), received_at = cc_mirror_answered_at (g->mirror);
  gboolean cut_off = received_at > 0 &&
                     cc_isolation_is_cut_off (&g->targets, g->evacuation,
                                              cc_setting (g->settings, "zone"),
                                              received_at, now);

  if (cut_off != g->cut_off)
    cc_event (CC_EVENT_STATE, "isolation", "cut_off", cut_off ? "yes" : "no",
              "silence_ms", cc_event_int ((now - received_at) / CC_MS), NULL);
  g->cut_off = cut_off;
  cc_callers_set_closing (g->callers, cut_off);
}

/* Why this process is not ready, or NULL if it is. */
static const char *
not_ready_reason (gpointer data)
{
  Gateway *g = data;

  if (g->stop_at != 0)
    return "draining\n";
  check_isolation (g);
  if (g->cut_off)
    return "cut off\n";
  if (cc_callers_routes (g->callers) == NULL)
    return "no configuration yet\n";
  if (cc_connection_table_is_full (cc_callers_connections (g->callers)))
    return "no connections left\n";
  return cc_mirror_is_complete (g->mirror, CC_TABLE_UPSTREAMS)
             ? NULL
             : "no upstreams yet\n";
}

static void
on_readiness (SoupServer *server, SoupServerMessage *m, const char *path,
              GHashTable *query, gpointer data)
{
  const char *why = not_ready_reason (data);

  (void) server, (void) path, (void) query;
  cc_http_answer (
      m, why == NULL ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
      "text/plain", why == NULL ? "ready\n" : why);
}

/* Opens all ports, the one for callers last.  On failure returns FALSE and
 * sets *MESSAGE, to be freed by the caller. */
static gboolean
listen_all (Gateway *g, char **message)
{
  g->readiness = soup_server_new (NULL, NULL);
  soup_server_add_handler (g->readiness, cc_edge_ready_path (), on_readiness, g,
                           NULL);
  g->peers = cc_peer_server_new (g->mirror, g->address, message);
  if (g->peers == NULL ||
      !cc_http_listen (g->readiness, cc_setting (g->settings, "readiness"),
                       message))
    return FALSE;
  cc_forward_server_add_to (g->forward_server, cc_peer_server_http (g->peers));
  if (cc_admin_listen (cc_setting (g->settings, "admin"), not_ready_reason, g,
                       message) == NULL)
    return FALSE;
  return cc_callers_listen (g->callers, cc_setting (g->settings, "listen"),
                            message);
}

/* Updates the gauges; called before each read of the metrics. */
static void
on_metrics (gpointer data)
{
  Gateway *g = data;
  const CcRoutes *routes = cc_callers_routes (g->callers);
  gint64 now = cc_clock_now ();
  gint64 resident = cc_process_resident_bytes ();

  cc_metrics_gauge ("capercrank_requests_pending", "",
                    cc_callers_pending (g->callers));
  cc_connection_table_write_gauges (cc_callers_connections (g->callers));
  cc_metrics_gauge ("capercrank_upstream_connections", "",
                    cc_http_open_connections (g->http) +
                        cc_http_open_connections (g->grants_http));
  cc_metrics_gauge ("capercrank_upstream_connections_opened", "",
                    (double) (cc_http_connections_opened (g->http) +
                              cc_http_connections_opened (g->grants_http)));
  cc_metrics_gauge ("capercrank_long_answer_seconds", "",
                    (double) (cc_http_long_answer_time (g->http) +
                              cc_http_long_answer_time (g->grants_http)) /
                        1e6);
  cc_metrics_gauge ("capercrank_table_age_seconds", "",
                    (double) cc_mirror_age (g->mirror, now) / 1e6);
  cc_metrics_gauge ("capercrank_evacuated_zones", "",
                    cc_evacuation_count (g->evacuation));
  cc_metrics_gauge ("capercrank_members", "", cc_members_count (g->members));
  cc_metrics_gauge ("capercrank_grants_keys", "",
                    cc_granter_holds_lease (g->granter));
  if (routes != NULL)
    {
      cc_metrics_gauge ("capercrank_configuration_version", "",
                        (double) routes->version);
      cc_metrics_gauge ("capercrank_configuration_age_seconds", "",
                        (double) (now - g->routes_applied_at) / 1e6);
    }
  if (resident > 0)
    cc_metrics_gauge ("capercrank_resident_bytes", "", (double) resident);
  cc_forwarder_write_gauges (g->forwarder);
  cc_crash_guard_write_gauges (cc_guard_link_guard (g->guard));
  cc_memory_budget_write_gauges (g->budget);
}

static void
on_flush (gpointer data)
{
  Gateway *g = data;

  cc_timer_start (&g->flush, LOG_FLUSH_PERIOD, on_flush, g);
  cc_event_flush ();
}

static void
on_stall_timer (gpointer data)
{
  Gateway *g = data;

  cc_timer_start (&g->stall_timer, CC_STALL_PERIOD, on_stall_timer, g);
  cc_stall_tick (&g->stall, cc_clock_now ());
}

/* ---- start and stop ---- */

static void
exit_process (Gateway *g)
{
  cc_event (CC_EVENT_STATE, "stopped", "unanswered",
            cc_event_int (cc_callers_pending (g->callers)), NULL);
  cc_event_flush ();
  exit (0);
}

/* Exits when no new requests are expected, all are answered and the lease was
 * released, or when the stop grace period is over.
 *
 * Failure: the process exits while upstreams are at work.  Symptom: callers
 * whose requests must not be repeated get no answer at all. */
static void
on_drain_poll (gpointer data)
{
  Gateway *g = data;
  gint64 now = cc_clock_now ();

  if (now >= g->stop_at)
    cc_forwarder_end_all (g->forwarder);
  if (now >= g->exit_at ||
      (now >= g->quiet_at && cc_callers_pending (g->callers) == 0 &&
       cc_forward_server_pending (g->forward_server) == 0 &&
       cc_granter_has_resigned (g->granter)))
    exit_process (g);
  cc_timer_start (&g->drain, DRAIN_POLL, on_drain_poll, g);
}

/* Starts to drain on SIGTERM; further signals are ignored.
 *
 * Failure: a process that was paused, or waited for a processor, counts the
 * grace period from when it handles the signal.  Symptom: it is killed with
 * requests in progress. */
static gboolean
on_stop (gpointer data)
{
  Gateway *g = data;
  gint64 grace = cc_setting_time (g->settings, "stop-grace");
  gint64 reserve = MIN (grace / DRAIN_RESERVE_PART, DRAIN_RESERVE_MAX);
  gint64 sent = cc_stall_arrived_after (&g->stall, cc_clock_now ());

  if (g->stop_at != 0)
    return G_SOURCE_CONTINUE;
  g->stop_at = sent + grace - reserve;
  g->exit_at = sent + grace - reserve / 2;
  g->quiet_at = MIN (sent + DRAIN_QUIET, g->stop_at);
  cc_event (CC_EVENT_STATE, "stopping", "unanswered",
            cc_event_int (cc_callers_pending (g->callers)), NULL);
  cc_callers_drain (g->callers, g->quiet_at, g->stop_at);
  cc_forward_server_drain (g->forward_server);
  cc_forwarder_drain (g->forwarder, g->stop_at);
  cc_granter_resign (g->granter);
  cc_timer_start (&g->drain, DRAIN_POLL, on_drain_poll, g);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_reload (gpointer data)
{
  (void) data;
  /* All settings describe the machine and are fixed while the process runs;
   * what can change comes through the table. */
  cc_event (CC_EVENT_STATE, "reload", "changed", "none", NULL);
  return G_SOURCE_CONTINUE;
}

static double
cores_of (const Gateway *g)
{
  return cc_setting_real (g->settings, "cores");
}

static const CcRoutes *
current_routes (gpointer data)
{
  return cc_callers_routes (((Gateway *) data)->callers);
}

/* Creates the part that probes the health of upstreams. */
static void
create_health_link (Gateway *g)
{
  CcHealthLinkSetup setup = { .http = g->http,
                              .targets = &g->targets,
                              .limits = cc_limit_link_limits (g->limits),
                              .notices = g->notices,
                              .routes = current_routes,
                              .data = g };

  g->health = cc_health_link_new (&setup);
}

/* Creates the modules that speak to the other gateways by datagram.  On failure
 * returns FALSE and sets *MESSAGE, to be freed by the caller. */
static gboolean
create_datagrams (Gateway *g, char **message)
{
  g->datagrams = cc_peer_datagrams_new (g->address, on_datagram, g, message);
  if (g->datagrams == NULL)
    return FALSE;
  g->reporter =
      cc_load_reporter_new (g->datagrams, on_key_count, on_work_report, g);
  g->guard = cc_guard_link_new (g->table, g->datagrams, &g->targets);
  g->limits = cc_limit_link_new (g->datagrams, &g->targets, g->address,
                                 cc_setting (g->settings, "zone"),
                                 cc_setting_real (g->settings, "cold-slack"));
  return TRUE;
}

/* Initialises what is known of upstreams and their zones. */
static void
create_targets (Gateway *g)
{
  cc_targets_init (&g->targets);
  g->targets.leaving_serves = MAX (
      cc_setting_time (g->settings, "leaving-serves") - LEAVING_RESERVE, 0);
  g->zones = cc_zones_new (cc_setting (g->settings, "zones"));
  g->evacuation = cc_evacuation_new ();
  g->notices = cc_upstream_notices_new (&g->targets, on_target_says_leaving, g);
}

/* Sets the modules in SETUP that the forwarder uses. */
static void
connect_forwarder (Gateway *g, CcForwarderSetup *setup)
{
  setup->reporter = g->reporter;
  setup->guard = cc_guard_link_guard (g->guard);
  setup->limits = cc_limit_link_limits (g->limits);
  setup->permits = cc_limit_link_permits (g->limits);
  setup->evacuation = g->evacuation;
  setup->zones = g->zones;
  setup->stall = &g->stall;
  setup->notices = g->notices;
  setup->http = g->http;
}

/* Returns the budget that the setting "memory" gives.  A setting that is no
 * valid number is logged, and means no bound. */
static CcMemoryBudget *
create_budget (const Gateway *g)
{
  const char *memory = cc_setting (g->settings, "memory");
  gsize bound;

  if (!cc_memory_bound_parse (memory, &bound))
    cc_event (CC_EVENT_STATE, "memory-invalid", "memory", memory, NULL);
  return cc_memory_budget_new (bound);
}

/* Creates all modules from the settings.  On failure returns FALSE and sets
 * *MESSAGE, to be freed by the caller. */
static gboolean
create_modules (Gateway *g, char **message)
{
  double cores = cores_of (g);
  CcForwarderSetup forwarder_setup = {
    .targets = &g->targets,
    .zone = cc_setting (g->settings, "zone"),
    .retry_bound = { .ratio = cc_setting_real (g->settings, "retry-ratio"),
                     .slack = cc_setting_real (g->settings, "retry-slack"),
                     .window =
                         cc_setting_time (g->settings, "retry-window") }
  };
  CcGranterSetup granter_setup = {
    .targets = &g->targets,
    .instance = g->instance,
    .address = g->address,
    .renewed = on_lease_renewed,
    .reach = check_reach,
    .data = g,
    .claim_delay = cores < GRANTER_CORES ? SMALL_PROCESS_LEASE_DELAY : 0
  };
  CcMembersSetup members_setup = { .instance = g->instance,
                                   .address = g->address,
                                   .zone = cc_setting (g->settings, "zone"),
                                   .cores = cores,
                                   .seeds =
                                       cc_setting_list (g->settings, "seeds") };
  CcMirrorSetup mirror_setup = { .changed = on_rows,
                                 .peer = pick_peer,
                                 .peer_result = on_peer_ended,
                                 .data = g,
                                 /* At a first start there are no peers. */
                                 .members_from =
                                     g->first_start ? NULL : CC_MEMBERS_FROM,
                                 .members_to = CC_MEMBERS_TO };
  g_autofree char *ip = NULL;

  cc_address_parse (g->address, &ip, NULL);
  g->budget = create_budget (g);
  g->http = cc_http_new (ip);
  cc_http_set_budget (g->http, g->budget);
  g->grants_http = cc_http_new (ip);
  g->table = cc_table_new (g->http, cc_setting (g->settings, "table"));
  create_targets (g);
  if (!create_datagrams (g, message))
    return FALSE;
  connect_forwarder (g, &forwarder_setup);
  granter_setup.http = g->grants_http;
  granter_setup.table = g->table;
  granter_setup.evacuation = g->evacuation;
  g->forwarder = cc_forwarder_new (&forwarder_setup);
  g->callers = cc_callers_new (g->forwarder, g->budget);
  g->forward_server = cc_forward_server_new (g->forwarder, g->budget);
  g->granter = cc_granter_new (&granter_setup);
  cc_limit_link_set_granter (g->limits, g->granter);
  cc_limit_link_set_ready (g->limits, on_tokens, g->forwarder);
  create_health_link (g);
  mirror_setup.table = g->table;
  mirror_setup.http = g->http;
  g->mirror = cc_mirror_new (&mirror_setup);
  members_setup.table = g->table;
  g->members = cc_members_new (&members_setup);
  cc_metrics_set_collector (on_metrics, g);
  return TRUE;
}

/* The delay of the first table read after the start, us. */
static gint64
start_pause (const Gateway *g)
{
  if (!g->first_start)
    return 0;
  return cores_of (g) < GRANTER_CORES ? FIRST_START_PAUSE_SMALL
                                      : FIRST_START_PAUSE;
}

static int
run (Gateway *g)
{
  g_autofree char *message = NULL;

  cc_event_setup ("capercrank-gateway", g->instance, STDOUT_FILENO);
  g->first_start = cc_setting_boolean (g->settings, "first-start");
  if (!create_modules (g, &message) || !listen_all (g, &message))
    {
      fprintf (stderr, "capercrank-gateway: %s\n", message);
      return 1;
    }
  cc_event (CC_EVENT_STATE, "started", "address", g->address, "zone",
            cc_setting (g->settings, "zone"), "table",
            cc_setting (g->settings, "table"), NULL);
  cc_mirror_start (g->mirror, start_pause (g));
  on_report_timer (g);
  if (g->first_start)
    cc_members_register (g->members);
  on_flush (g);
  on_stall_timer (g);
  cc_run_until_signal (on_stop, on_reload, g);
  return 0;
}

int
main (int argc, char **argv)
{
  static CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", NULL, "name of this instance", 0, 0,
      NULL },
    { CC_SETTING_STRING, "zone", NULL, "availability zone of this instance", 0,
      0, NULL },
    { CC_SETTING_ADDRESS, "listen", NULL, "address for callers' requests", 0, 0,
      NULL },
    { CC_SETTING_ADDRESS, "readiness", NULL,
      "address for readiness checks by the load balancer", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "internal", NULL, "address for peers", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "admin", NULL,
      "address for metrics and health checks", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "table", NULL, "address of the table service", 0, 0,
      NULL },
    { CC_SETTING_STRING, "seeds", "", "addresses of the peers to contact first",
      0, 0, NULL },
    { CC_SETTING_REAL, "retry-ratio", "0.2",
      "repeated attempts at a pool, as a fraction of its requests", 0,
      COUNT_MAX, NULL },
    { CC_SETTING_REAL, "retry-slack", "10",
      "repeated attempts allowed beyond that fraction", 0, COUNT_MAX, NULL },
    { CC_SETTING_SECONDS, "retry-window", "10",
      "seconds over which repeated attempts are counted", 1000, DAY_MS, NULL },
    { CC_SETTING_REAL, "cores", "1", "CPU cores that this process may use", 0,
      COUNT_MAX, NULL },
    { CC_SETTING_BOOLEAN, "first-start", "false",
      "\"true\" if the whole fleet starts for the first time", 0, 0, NULL },
    { CC_SETTING_STRING, "zones", "",
      "regions of all availability zones: ZONE=REGION,...", 0, 0, NULL },
    { CC_SETTING_REAL, "cold-slack", "0",
      "requests that a cold upstream takes at once, beyond its rate", 0,
      COUNT_MAX, NULL },
    { CC_SETTING_STRING, "memory", "0",
      "MB that this process may use; 0: not limited", 0, 0, NULL },
    { CC_SETTING_MILLISECONDS, "leaving-serves", "2000",
      "ms for which an upstream serves after it reports that it is leaving", 0,
      DAY_MS, NULL },
    { CC_SETTING_MILLISECONDS, "stop-grace", "6000",
      "ms from SIGTERM until the process exits at the latest", 0, DAY_MS,
      NULL },
    { 0 }
  };
  Gateway g = { .settings = settings };

  switch (cc_settings_read (settings, "capercrank-gateway",
                            "Routes callers' requests to upstreams.", argc,
                            argv))
    {
    case CC_START_RUN:
      break;
    case CC_START_STOP:
      return 0;
    case CC_START_FAIL:
      return 2;
    }
  cc_process_map_large_blocks ();
  g.instance = cc_setting (settings, "instance");
  g.address = g_strdup (cc_setting (settings, "internal"));
  return run (&g);
}
