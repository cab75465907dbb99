/* capercrank-gateway: takes callers' requests and sends them straight to the
 * upstreams, for pools whose upstreams check who owns a key or own none.  One
 * process an instance; one of them all grants the keys (granter.c). */
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "admin.h"
#include "callers.h"
#include "clock.h"
#include "edge.h"
#include "event_log.h"
#include "granter.h"
#include "heat_link.h"
#include "metrics.h"
#include "mirror.h"
#include "peer_server.h"
#include "settings.h"
#include "timers.h"

#define MEMBER_PREFIX "member/"
#define MEMBER_RETRY (500 * CC_MS)
/* Until the balancer sends no new connections: it asks once a second and goes
 * by two answers. */
#define DRAIN_QUIET (2600 * CC_MS)
/* Part of the time until the platform kills the process that is used. */
#define DRAIN_RESERVE (400 * CC_MS)
#define DRAIN_LOOK (50 * CC_MS)
#define RECHECK (250 * CC_MS) /* of upstreams that are missing */
#define GAUGES (1 * CC_SECOND)
/* Processes from which on a few watch the table for the others: below, each
 * watch of 10 s and each change cost less than the watchers' heartbeat. */
#define LARGE_FLEET 24
#define WATCHERS 3 /* of each zone: two may be lost at once */

typedef struct
{
  const CcSetting *settings;
  const char *instance;
  char *address; /* for peers */
  CcHttp *http;
  CcTable *table;
  CcMirror *mirror;
  CcTargets targets;
  gboolean targets_changed; /* since the granter was last told */
  CcForwarder *forwarder;
  CcCallers *callers;
  CcGranter *granter;
  SoupServer *readiness;
  CcPeerServer *peers;
  guint64 routes_version; /* of the row in force */
  char **seeds;
  GPtrArray *watchers; /* addresses of those that watch for this process */
  gboolean registered;
  CcTimer registering;
  CcTimer recheck;
  CcTimer gauges;
  CcTimer heat_due;
  CcHeatLink *heat;
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

static void
take_configuration (Gateway *g)
{
  const CcRow *row = cc_view_get (cc_mirror_view (g->mirror, CC_TABLE_CONFIG),
                                  cc_edge_routes_key ());
  const CcRoutes *old = cc_callers_routes (g->callers);
  char *why = NULL;
  CcRoutes *routes;

  if (row == NULL || row->version <= g->routes_version)
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
  cc_event (CC_EVENT_STATE, "configuration-taken", "version",
            cc_event_int (routes->version), "row_version",
            cc_event_int ((gint64) row->version), "routes",
            cc_event_int (routes->count), NULL);
  cc_callers_configure (g->callers, routes);
  cc_granter_configure (g->granter, routes);
  bound_connections (g);
}

/* ---- upstreams ---- */

static const char *const state_names[] = { "ready", "leaving", "gone" };

static void
on_target_changed (const CcTarget *t, gpointer data)
{
  Gateway *g = data;

  g->targets_changed = TRUE;
  cc_event (CC_EVENT_STATE, "upstream", "target", t->listing.id, "pool",
            t->listing.pool, "address", t->listing.address, "state",
            state_names[t->state], "born",
            cc_event_int ((gint64) t->listing.born), "row_version",
            cc_event_int ((gint64) t->version), NULL);
  if (t->state != CC_TARGET_READY)
    cc_http_forget (g->http, t->listing.address);
}

static void
update_targets (gpointer data)
{
  Gateway *g = data;

  if (cc_targets_update (&g->targets,
                         cc_mirror_view (g->mirror, CC_TABLE_UPSTREAMS),
                         cc_edge_read_listing, cc_mirror_trouble (g->mirror),
                         cc_clock_now (), on_target_changed, g))
    cc_timer_start (&g->recheck, RECHECK, update_targets, g);
  if (g->targets_changed)
    cc_granter_targets_changed (g->granter, cc_mirror_trouble (g->mirror));
  g->targets_changed = FALSE;
  cc_forwarder_pump (g->forwarder);
}

/* ---- peers ---- */

/* A process of the fleet, from its row. */
typedef struct
{
  char *address;
  char *zone;
} Member;

static void
member_clear (Member *m)
{
  g_free (m->address);
  g_free (m->zone);
}

static Member
read_member (const CcRow *row)
{
  g_autoptr (JsonNode) root = json_from_string (row->value, NULL);
  JsonObject *o = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
                      ? json_node_get_object (root)
                      : NULL;

  if (o == NULL)
    return (Member){ g_strdup (""), g_strdup ("") };
  return (Member){
    g_strdup (json_object_get_string_member_with_default (o, "address", "")),
    g_strdup (json_object_get_string_member_with_default (o, "zone", ""))
  };
}

static GPtrArray *
list_members (Gateway *g)
{
  return cc_view_list (cc_mirror_view (g->mirror, CC_TABLE_STATE),
                       MEMBER_PREFIX);
}

/* Any other process of the fleet; a seed, while none is known. */
static char *
any_peer (Gateway *g)
{
  g_autoptr (GPtrArray) rows = list_members (g);
  guint seeds = g_strv_length (g->seeds);

  for (guint tries = 0; rows->len > 0 && tries < 4; tries++)
    {
      Member m =
          read_member (rows->pdata[g_random_int_range (0, (gint32) rows->len)]);
      g_autofree char *address = g_steal_pointer (&m.address);

      member_clear (&m);
      if (address != NULL && address[0] != '\0' &&
          !g_str_equal (address, g->address))
        return g_steal_pointer (&address);
    }
  return seeds > 0 && g->seeds[0][0] != '\0'
             ? g_strdup (g->seeds[g_random_int_range (0, (gint32) seeds)])
             : NULL;
}

static char *
pick_peer (CcPeerKind kind, gpointer data)
{
  Gateway *g = data;

  switch (kind)
    {
    case CC_PEER_ANY:
      return any_peer (g);
    case CC_PEER_WATCHER:
      return g->watchers->len == 0
                 ? NULL
                 : g_strdup (g->watchers->pdata[g_random_int_range (
                       0, (gint32) g->watchers->len)]);
    }
  return NULL;
}

/* In a large fleet the first WATCHERS processes of each zone watch the table
 * for the others. */
static void
choose_watchers (Gateway *g, const GPtrArray *rows)
{
  const char *zone = cc_setting (g->settings, "zone");
  gboolean is_watcher = FALSE;
  guint found = 0;

  g_ptr_array_set_size (g->watchers, 0);
  for (guint i = 0;
       rows->len >= LARGE_FLEET && i < rows->len && found < WATCHERS; i++)
    {
      Member m = read_member (rows->pdata[i]);

      if (g_strcmp0 (m.zone, zone) == 0)
        {
          found++;
          if (g_strcmp0 (m.address, g->address) == 0)
            is_watcher = TRUE;
          else
            g_ptr_array_add (g->watchers, g_strdup (m.address));
        }
      member_clear (&m);
    }
  cc_mirror_watch_for_others (g->mirror, is_watcher);
}

static void
take_members (Gateway *g)
{
  g_autoptr (GPtrArray) rows = list_members (g);
  g_autofree char *own = g_strconcat (MEMBER_PREFIX, g->instance, NULL);
  guint rank = 0;

  while (rank < rows->len &&
         !g_str_equal (((CcRow *) rows->pdata[rank])->key, own))
    rank++;
  cc_granter_rank (g->granter, rank, rows->len);
  cc_forwarder_entries (g->forwarder, rows->len);
  bound_connections (g);
  choose_watchers (g, rows);
}

static void registration (gpointer data);

static void
on_registered (CcStatus status, guint64 version, gpointer data)
{
  Gateway *g = data;

  (void) version;
  g->registered = status == CC_OK;
  if (!g->registered)
    cc_timer_start (&g->registering, MEMBER_RETRY, registration, g);
}

static void
registration (gpointer data)
{
  Gateway *g = data;
  CcTableChange *c = cc_table_change_new ();
  g_autofree char *key = g_strconcat (MEMBER_PREFIX, g->instance, NULL);
  g_autofree char *value =
      g_strdup_printf ("{\"address\":\"%s\",\"zone\":\"%s\"}", g->address,
                       cc_setting (g->settings, "zone"));

  cc_table_put (c, CC_TABLE_STATE, key, value);
  cc_table_commit (g->table, c, on_registered, g);
}

/* ---- reports to the granter ---- */

static void
on_heat_count (const char *pool, guint bucket, guint count, gpointer data)
{
  cc_granter_heat (((Gateway *) data)->granter, pool, bucket, count);
}

static void
on_heat_service (const char *target, double service, gpointer data)
{
  cc_granter_service (((Gateway *) data)->granter, target, service);
}

/* Whether the time of T was measured since the last report. */
static gboolean
is_measured (const CcTarget *t, gint64 now)
{
  return t->load.service > 0 && now - t->load.service_at < CC_HEAT_PERIOD;
}

static void
on_heat_due (gpointer data)
{
  Gateway *g = data;
  const CcRow *row =
      cc_view_get (cc_mirror_view (g->mirror, CC_TABLE_STATE), CC_GRANTER_KEY);
  gint64 now = cc_clock_now ();
  GVariantBuilder services;
  GHashTableIter i;
  gpointer value;

  cc_timer_start (&g->heat_due, CC_HEAT_PERIOD, on_heat_due, g);
  if (row == NULL)
    return;
  g_variant_builder_init (&services, G_VARIANT_TYPE ("a(sd)"));
  g_hash_table_iter_init (&i, g->targets.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const CcTarget *t = value;
      const CcRoutes *routes = cc_callers_routes (g->callers);
      const CcRoutePool *pool =
          routes != NULL ? cc_routes_pool (routes, t->listing.pool) : NULL;

      if (pool != NULL && pool->keyed && is_measured (t, now))
        g_variant_builder_add (&services, "(sd)", t->listing.id,
                               t->load.service);
    }
  cc_heat_link_report (g->heat, row->value, g_variant_builder_end (&services));
}

/* ---- rows that changed ---- */

static void
on_rows (CcTableName name, gpointer data)
{
  Gateway *g = data;

  switch (name)
    {
    case CC_TABLE_CONFIG:
      take_configuration (g);
      break;
    case CC_TABLE_UPSTREAMS:
      update_targets (g);
      break;
    case CC_TABLE_STATE:
      take_members (g);
      cc_forwarder_ranges_changed (g->forwarder,
                                   cc_mirror_view (g->mirror, CC_TABLE_STATE));
      break;
    case CC_TABLE_LEASE:
      break;
    }
  cc_peer_server_tell (g->peers);
}

/* ---- the ports beside the callers' ---- */

static const char *
why_not_ready (gpointer data)
{
  Gateway *g = data;

  if (g->stop_at != 0)
    return "draining\n";
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

static void
on_gauges (gpointer data)
{
  Gateway *g = data;

  cc_timer_start (&g->gauges, GAUGES, on_gauges, g);
  cc_metrics_gauge ("capercrank_requests_pending", "",
                    cc_callers_pending (g->callers));
  cc_metrics_gauge ("capercrank_upstream_connections", "",
                    cc_http_open (g->http));
  cc_metrics_gauge ("capercrank_upstream_connections_opened", "",
                    (double) cc_http_opened (g->http));
  cc_metrics_gauge ("capercrank_table_age_seconds", "",
                    (double) cc_mirror_age (g->mirror, cc_clock_now ()) / 1e6);
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
  cc_timer_start (&g->drain, DRAIN_LOOK, on_draining, g);
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
  cc_callers_drain (g->callers, g->stop_at);
  cc_granter_resign (g->granter);
  cc_timer_start (&g->drain, DRAIN_LOOK, on_draining, g);
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

static gboolean
build (Gateway *g, char **message)
{
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
                              .address = g->address };
  g_autofree char *ip = NULL;

  cc_address_parse (g->address, &ip, NULL);
  g->http = cc_http_new (ip);
  g->table = cc_table_new (g->http, cc_setting (g->settings, "table"));
  cc_targets_init (&g->targets);
  g->heat =
      cc_heat_link_new (g->address, on_heat_count, on_heat_service, g, message);
  if (g->heat == NULL)
    return FALSE;
  forwarding.heat = g->heat;
  forwarding.http = g->http;
  granting.http = g->http;
  granting.table = g->table;
  g->forwarder = cc_forwarder_new (&forwarding);
  g->callers = cc_callers_new (g->forwarder);
  g->granter = cc_granter_new (&granting);
  g->mirror = cc_mirror_new (g->table, g->http, on_rows, pick_peer, g);
  g->watchers = g_ptr_array_new_with_free_func (g_free);
  g->seeds = cc_setting_list (g->settings, "seeds");
  return TRUE;
}

static int
run (Gateway *g)
{
  g_autofree char *message = NULL;

  cc_event_setup ("capercrank-gateway", g->instance, STDOUT_FILENO);
  if (!build (g, &message) || !listen_all (g, &message))
    {
      fprintf (stderr, "capercrank-gateway: %s\n", message);
      return 1;
    }
  cc_event (CC_EVENT_STATE, "started", "address", g->address, "zone",
            cc_setting (g->settings, "zone"), "table",
            cc_setting (g->settings, "table"), NULL);
  cc_mirror_start (g->mirror);
  on_heat_due (g);
  registration (g);
  on_gauges (g);
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
