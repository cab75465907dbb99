/* capercrank-gateway: takes callers' requests and sends them straight to the
 * upstreams, for pools whose upstreams check who owns a key or own none.  One
 * process an instance; one of them all grants the keys (granter.c). */
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "admin.h"
#include "callers.h"
#include "clock.h"
#include "edge.h"
#include "event_log.h"
#include "granter.h"
#include "load_reporter.h"
#include "isolation.h"
#include "members.h"
#include "metrics.h"
#include "mirror.h"
#include "peer_server.h"
#include "process.h"
#include "settings.h"
#include "timers.h"

/* Until the balancer sends no new connections: it asks once a second and goes
 * by two answers. */
#define DRAIN_QUIET (2600 * CC_MS)
/* Part of the time until the platform kills the process that is used. */
#define DRAIN_RESERVE (400 * CC_MS)
#define DRAIN_POLL (50 * CC_MS)
#define RECHECK (250 * CC_MS) /* of upstreams that are missing */
#define FLUSH (1 * CC_SECOND) /* of log lines that found no room */
/* Part of the time for which an upstream that leaves still serves that is not
 * used: a connection to it may take 200 ms to stand (forward.c), and the
 * request 50 ms to be written and to arrive. */
#define LEAVING_RESERVE (250 * CC_MS)
/* Granting takes a twentieth of a core for each hundred ranges.  When a fleet
 * starts for the first time, processes with less than STRONG cores leave the
 * lease to others for a while; callers come later. */
#define STRONG 0.3
#define PATIENCE (1500 * CC_MS)
/* When a fleet starts for the first time, the strong ones read who is there
 * once most have registered, the others once one of those grants keys. */
#define FIRST_START_PAUSE (700 * CC_MS)
#define FIRST_START_PAUSE_WEAK (2 * CC_SECOND)

typedef struct
{
  const CcSetting *settings;
  const char *instance;
  char *address;        /* for peers */
  gboolean first_start; /* of the whole fleet */
  CcHttp *http;
  CcHttp *grants_http; /* its connections last as long as their peers do,
                          whatever becomes of requests */
  CcTable *table;
  CcMirror *mirror;
  CcTargets targets;
  gboolean targets_changed; /* since the granter was last told */
  gboolean cut_off;         /* by the last check (isolation.h) */
  CcForwarder *forwarder;
  CcCallers *callers;
  CcGranter *granter;
  SoupServer *readiness;
  CcPeerServer *peers;
  guint64 routes_version; /* of the row in force */
  gint64 routes_since;    /* when that was taken, us */
  CcMembers *members;
  CcTimer recheck;
  CcTimer flush;
  CcTimer report_due;
  CcLoadReporter *reporter;
  CcTimer drain;
  gint64 stop_at; /* 0: not stopping */
  gint64 quiet_at;
} Gateway;

static void update_targets (gpointer data);

/* ---- configuration ---- */

static void
bound_connections (Gateway *g)
{
  const CcRoutes *routes = cc_callers_routes (g->callers);
  GHashTableIter i;
  gpointer value;

  if (routes == NULL)
    return;
  g_hash_table_iter_init (&i, routes->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_forwarder_bound (g->forwarder, ((CcRoutePool *) value)->name,
                        ((CcRoutePool *) value)->connections_max);
}

/* How long ago ROW was written at most, us; -1: not known. */
static gint64
row_age (const Gateway *g, const CcRow *row)
{
  gint64 written = cc_version_clock_written_after (cc_mirror_clock (g->mirror),
                                                   row->version);

  return written == CC_LONG_AGO ? -1 : cc_clock_now () - written;
}

/* ROUTES, read from ROW in READ_TIME us, are in force. */
static void
note_configuration (const Gateway *g, const CcRow *row, const CcRoutes *routes,
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

static void
take_configuration (Gateway *g)
{
  const CcRow *row = cc_view_get (cc_mirror_view (g->mirror, CC_TABLE_CONFIG),
                                  cc_edge_routes_key ());
  const CcRoutes *old = cc_callers_routes (g->callers);
  gint64 begun = cc_clock_now ();
  char *why = NULL;
  CcRoutes *routes;

  /* Reading a large one takes a weak machine half a second, in which what is
   * still running is not answered and the stop is late. */
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
  g->routes_since = cc_clock_now ();
  cc_callers_configure (g->callers, routes);
  cc_granter_configure (g->granter, routes);
  bound_connections (g);
  note_configuration (g, row, routes, g->routes_since - begun);
}

/* ---- upstreams ---- */

static const char *const state_names[] = { "ready", "leaving", "gone" };

/* An upstream leaves or is gone, by news of AGE us; -1: not known. */
static void
note_departure (gint64 age)
{
  if (age >= 0)
    cc_histogram_add (
        cc_metrics_histogram ("capercrank_departure_news_age_seconds", ""),
        age);
}

static void
on_target_changed (const CcTarget *t, gpointer data)
{
  Gateway *g = data;
  gint64 age = cc_target_state_age (t, cc_clock_now ());

  g->targets_changed = TRUE;
  cc_event (CC_EVENT_STATE, "upstream", "target", t->listing.id, "pool",
            t->listing.pool, "address", t->listing.address, "state",
            state_names[t->state], "born",
            cc_event_int ((gint64) t->listing.born), "row_version",
            cc_event_int ((gint64) t->version), "age_ms",
            cc_event_int (age < 0 ? -1 : age / CC_MS), NULL);
  if (t->state == CC_TARGET_READY)
    return;
  note_departure (age);
  cc_http_forget (g->http, t->listing.address);
}

static void
update_targets (gpointer data)
{
  Gateway *g = data;
  CcListed listed = { .view = cc_mirror_view (g->mirror, CC_TABLE_UPSTREAMS),
                      .clock = cc_mirror_clock (g->mirror),
                      .outage = cc_mirror_outage (g->mirror),
                      .own_outage = cc_mirror_own_outage (g->mirror) };

  if (cc_targets_update (&g->targets, &listed, cc_edge_read_listing,
                         cc_clock_now (), on_target_changed, g))
    cc_timer_start (&g->recheck, RECHECK, update_targets, g);
  if (g->targets_changed)
    cc_granter_targets_changed (g->granter, cc_mirror_outage (g->mirror));
  g->targets_changed = FALSE;
  cc_forwarder_pump (g->forwarder);
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

static gboolean
are_of_members (const GPtrArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    if (cc_members_reads_row (((const CcRow *) rows->pdata[i])->key))
      return TRUE;
  return FALSE;
}

static void
take_members (Gateway *g)
{
  CcMirrorRole role;
  guint count;

  cc_members_update (g->members, cc_mirror_view (g->mirror, CC_TABLE_STATE));
  count = cc_members_count (g->members);
  role = (CcMirrorRole){ .is_followed = cc_members_is_followed (g->members),
                         .reads_all = cc_members_reads_all (g->members),
                         .distance = cc_members_distance (g->members),
                         .fleet = count };
  cc_granter_rank (g->granter, cc_members_rank (g->members), count);
  if (role.distance == 0)
    cc_granter_named (g->granter);
  cc_forwarder_entries (g->forwarder, count);
  cc_load_reporter_relay (g->reporter, cc_members_is_relay (g->members));
  bound_connections (g);
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
  cc_granter_work (((Gateway *) data)->granter, target, work, answers);
}

/* Adds what this entry saw each owner of keys work to its next report. */
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

static void
on_report_due (gpointer data)
{
  Gateway *g = data;
  g_autofree char *address = cc_members_report_address (g->members);
  gint64 period = cc_members_is_relay (g->members) ? CC_LOAD_RELAY_PERIOD
                                                   : CC_LOAD_REPORT_PERIOD;

  cc_timer_start (&g->report_due, period, on_report_due, g);
  if (address == NULL)
    return;
  report_work (g);
  cc_load_reporter_send (g->reporter, address);
}

/* ---- rows that changed ---- */

static void
on_lease_renewed (guint64 version, gint64 sent, GVariant *rows, gpointer data)
{
  cc_mirror_lease_written (((Gateway *) data)->mirror, version, sent, rows);
}

static void
take_lease_version (Gateway *g)
{
  gint64 seen_at;
  guint64 version = cc_mirror_lease (g->mirror, &seen_at);

  cc_granter_lease_received (g->granter, version, seen_at);
}

static void
on_rows (CcTableName name, gpointer data)
{
  Gateway *g = data;
  const GPtrArray *rows;

  switch (name)
    {
    case CC_TABLE_CONFIG:
      take_configuration (g);
      break;
    case CC_TABLE_UPSTREAMS:
      update_targets (g);
      break;
    case CC_TABLE_STATE:
      rows = cc_mirror_changed (g->mirror, CC_TABLE_STATE);
      cc_members_join (g->members, cc_mirror_view (g->mirror, CC_TABLE_STATE));
      if (are_of_members (rows))
        take_members (g);
      cc_forwarder_ranges_changed (
          g->forwarder, cc_mirror_view (g->mirror, CC_TABLE_STATE), rows);
      break;
    case CC_TABLE_LEASE:
      take_lease_version (g);
      break;
    }
  cc_peer_server_notify (g->peers);
}

/* ---- the ports beside the callers' ---- */

/* Checks whether this process is cut off, and tells callers so. */
static void
check_isolation (Gateway *g)
{
  gint64 now = cc_clock_now (), heard_at = cc_mirror_answered_at (g->mirror);
  gboolean cut_off =
      heard_at > 0 &&
      cc_isolation_is_cut_off (&g->targets, cc_setting (g->settings, "zone"),
                               heard_at, now);

  if (cut_off != g->cut_off)
    cc_event (CC_EVENT_STATE, "isolation", "cut_off", cut_off ? "yes" : "no",
              "silence_ms", cc_event_int ((now - heard_at) / CC_MS), NULL);
  g->cut_off = cut_off;
  cc_callers_send_away (g->callers, cut_off);
}

static const char *
why_not_ready (gpointer data)
{
  Gateway *g = data;

  if (g->stop_at != 0)
    return "draining\n";
  check_isolation (g);
  if (g->cut_off)
    return "cut off\n";
  if (cc_callers_routes (g->callers) == NULL)
    return "no configuration yet\n";
  return cc_mirror_is_complete (g->mirror, CC_TABLE_UPSTREAMS)
             ? NULL
             : "no upstreams yet\n";
}

static void
on_readiness (SoupServer *server, SoupServerMessage *m, const char *path,
              GHashTable *query, gpointer data)
{
  const char *why = why_not_ready (data);

  (void) server, (void) path, (void) query;
  cc_http_answer (
      m, why == NULL ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
      "text/plain", why == NULL ? "ready\n" : why);
}

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
  if (cc_admin_listen (cc_setting (g->settings, "admin"), why_not_ready, g,
                       message) == NULL)
    return FALSE;
  return cc_callers_listen (g->callers, cc_setting (g->settings, "listen"),
                            message);
}

/* Called when somebody reads the metrics. */
static void
on_metrics (gpointer data)
{
  Gateway *g = data;
  const CcRoutes *routes = cc_callers_routes (g->callers);
  gint64 now = cc_clock_now ();
  gint64 resident = cc_process_resident ();

  cc_metrics_gauge ("capercrank_requests_pending", "",
                    cc_callers_pending (g->callers));
  cc_metrics_gauge ("capercrank_upstream_connections", "",
                    cc_http_open (g->http) + cc_http_open (g->grants_http));
  cc_metrics_gauge (
      "capercrank_upstream_connections_opened", "",
      (double) (cc_http_opened (g->http) + cc_http_opened (g->grants_http)));
  cc_metrics_gauge ("capercrank_table_age_seconds", "",
                    (double) cc_mirror_age (g->mirror, now) / 1e6);
  cc_metrics_gauge ("capercrank_members", "", cc_members_count (g->members));
  cc_metrics_gauge ("capercrank_grants_keys", "",
                    cc_granter_holds_lease (g->granter));
  if (routes != NULL)
    {
      cc_metrics_gauge ("capercrank_configuration_version", "",
                        (double) routes->version);
      cc_metrics_gauge ("capercrank_configuration_age_seconds", "",
                        (double) (now - g->routes_since) / 1e6);
    }
  if (resident > 0)
    cc_metrics_gauge ("capercrank_resident_bytes", "", (double) resident);
  cc_forwarder_gauges (g->forwarder);
}

static void
on_flush (gpointer data)
{
  Gateway *g = data;

  cc_timer_start (&g->flush, FLUSH, on_flush, g);
  cc_event_flush ();
}

/* ---- start and end ---- */

static void
leave (Gateway *g)
{
  cc_event (CC_EVENT_STATE, "stopped", "unanswered",
            cc_event_int (cc_callers_pending (g->callers)), NULL);
  cc_event_flush ();
  exit (0);
}

static void
on_draining (gpointer data)
{
  Gateway *g = data;
  gint64 now = cc_clock_now ();

  if (now >= g->stop_at ||
      (now >= g->quiet_at && cc_callers_pending (g->callers) == 0 &&
       cc_granter_has_resigned (g->granter)))
    leave (g);
  cc_timer_start (&g->drain, DRAIN_POLL, on_draining, g);
}

static gboolean
on_stop (gpointer data)
{
  Gateway *g = data;
  gint64 grace = cc_setting_number (g->settings, "stop-grace") * CC_MS;

  if (g->stop_at != 0)
    return G_SOURCE_CONTINUE;
  g->stop_at = cc_clock_now () + MAX (grace - DRAIN_RESERVE, 0);
  g->quiet_at = MIN (cc_clock_now () + DRAIN_QUIET, g->stop_at);
  cc_event (CC_EVENT_STATE, "stopping", "unanswered",
            cc_event_int (cc_callers_pending (g->callers)), NULL);
  cc_callers_drain (g->callers, g->quiet_at, g->stop_at);
  cc_granter_resign (g->granter);
  cc_timer_start (&g->drain, DRAIN_POLL, on_draining, g);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_reload (gpointer data)
{
  (void) data;
  /* All settings are of the machine and fixed for a run; what changes while a
   * process runs comes through the table. */
  cc_event (CC_EVENT_STATE, "reload", "changed", "none", NULL);
  return G_SOURCE_CONTINUE;
}

static double
cores_of (const Gateway *g)
{
  return g_ascii_strtod (cc_setting (g->settings, "cores"), NULL);
}

/* Reads the setting NAME, which is "true" or "false", into *VALUE.  FALSE with
 * *MESSAGE, to be freed, if it is neither. */
static gboolean
read_switch (const Gateway *g, const char *name, gboolean *value,
             char **message)
{
  const char *text = cc_setting (g->settings, name);

  *value = g_str_equal (text, "true");
  if (*value || g_str_equal (text, "false"))
    return TRUE;
  *message =
      g_strdup_printf ("--%s is \"%s\", neither true nor false", name, text);
  return FALSE;
}

static gboolean
build (Gateway *g, char **message)
{
  double cores = cores_of (g);
  CcForwarderSetup forwarding = {
    .targets = &g->targets,
    .zone = cc_setting (g->settings, "zone"),
    .retry_bound = { .ratio = g_ascii_strtod (
                         cc_setting (g->settings, "retry-ratio"), NULL),
                     .slack = g_ascii_strtod (
                         cc_setting (g->settings, "retry-slack"), NULL),
                     .window = cc_setting_number (g->settings, "retry-window") *
                               CC_SECOND }
  };
  CcGranterSetup granting = { .targets = &g->targets,
                              .instance = g->instance,
                              .address = g->address,
                              .renewed = on_lease_renewed,
                              .data = g,
                              .patience = cores < STRONG ? PATIENCE : 0 };
  CcMembersSetup joining = { .instance = g->instance,
                             .address = g->address,
                             .zone = cc_setting (g->settings, "zone"),
                             .cores = cores,
                             .seeds = cc_setting_list (g->settings, "seeds") };
  CcMirrorSetup following = { .changed = on_rows,
                              .peer = pick_peer,
                              .peer_result = on_peer_ended,
                              .data = g,
                              /* At a first start there are no others. */
                              .members_from =
                                  g->first_start ? NULL : CC_MEMBERS_FROM,
                              .members_to = CC_MEMBERS_TO };
  g_autofree char *ip = NULL;

  cc_address_parse (g->address, &ip, NULL);
  g->http = cc_http_new (ip);
  g->grants_http = cc_http_new (ip);
  g->table = cc_table_new (g->http, cc_setting (g->settings, "table"));
  cc_targets_init (&g->targets);
  g->targets.leaving_serves =
      MAX (cc_setting_number (g->settings, "leaving-serves") * CC_MS -
               LEAVING_RESERVE,
           0);
  g->reporter = cc_load_reporter_new (g->address, on_key_count, on_work_report,
                                      g, message);
  if (g->reporter == NULL)
    return FALSE;
  forwarding.reporter = g->reporter;
  forwarding.http = g->http;
  granting.http = g->grants_http;
  granting.table = g->table;
  g->forwarder = cc_forwarder_new (&forwarding);
  g->callers = cc_callers_new (g->forwarder);
  g->granter = cc_granter_new (&granting);
  following.table = g->table;
  following.http = g->http;
  g->mirror = cc_mirror_new (&following);
  joining.table = g->table;
  g->members = cc_members_new (&joining);
  cc_metrics_collect (on_metrics, g);
  return TRUE;
}

static gint64
start_pause (const Gateway *g)
{
  if (!g->first_start)
    return 0;
  return cores_of (g) < STRONG ? FIRST_START_PAUSE_WEAK : FIRST_START_PAUSE;
}

static int
run (Gateway *g)
{
  g_autofree char *message = NULL;

  cc_event_setup ("capercrank-gateway", g->instance, STDOUT_FILENO);
  if (!read_switch (g, "first-start", &g->first_start, &message) ||
      !build (g, &message) || !listen_all (g, &message))
    {
      fprintf (stderr, "capercrank-gateway: %s\n", message);
      return 1;
    }
  cc_event (CC_EVENT_STATE, "started", "address", g->address, "zone",
            cc_setting (g->settings, "zone"), "table",
            cc_setting (g->settings, "table"), NULL);
  cc_mirror_start (g->mirror, start_pause (g));
  on_report_due (g);
  if (g->first_start)
    cc_members_register (g->members);
  on_flush (g);
  g_unix_signal_add (SIGHUP, on_reload, g);
  cc_run_until_signal (on_stop, g);
  return 0;
}

int
main (int argc, char **argv)
{
  static CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", NULL, "name of this instance", 0, 0,
      NULL },
    { CC_SETTING_STRING, "zone", NULL, "its availability zone", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "listen", NULL, "for callers", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "readiness", NULL, "for the balancer", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "internal", NULL, "for peers", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "admin", NULL, "metrics and health", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "table", NULL, "the table service", 0, 0, NULL },
    { CC_SETTING_STRING, "seeds", "", "addresses of peers to ask first", 0, 0,
      NULL },
    { CC_SETTING_STRING, "retry-ratio", "0.2",
      "repeats at a pool, as a part of its requests", 0, 0, NULL },
    { CC_SETTING_STRING, "retry-slack", "10", "repeats beyond that part", 0, 0,
      NULL },
    { CC_SETTING_NUMBER, "retry-window", "10",
      "seconds over which repeats are counted", 1, 3600, NULL },
    { CC_SETTING_STRING, "cores", "1",
      "processor that this process may use, in cores", 0, 0, NULL },
    { CC_SETTING_STRING, "first-start", "false",
      "\"true\": the whole fleet starts for the first time", 0, 0, NULL },
    { CC_SETTING_NUMBER, "leaving-serves", "2000",
      "ms for which an upstream serves after it said that it leaves", 0, 600000,
      NULL },
    { CC_SETTING_NUMBER, "stop-grace", "6000",
      "ms from SIGTERM to the end at the latest", 0, 600000, NULL },
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
  g.instance = cc_setting (settings, "instance");
  g.address = g_strdup (cc_setting (settings, "internal"));
  return run (&g);
}
