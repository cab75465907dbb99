/* capercrank-dispatch: the only process that sends work to the servers that it
 * holds under its lease.
 *
 * There is one per instance.  It follows the platform's table, renews its
 * lease, takes over the servers that the slice maps assign to it, and runs
 * requests from entries on them.  All state belongs to one main loop; the
 * modules call each other within it and exchange messages with other processes.
 */
#include <stdio.h>
#include <stdlib.h>

#include <json-glib/json-glib.h>

#include "admin.h"
#include "clock.h"
#include "dispatcher.h"
#include "log.h"
#include "metrics.h"
#include "process.h"

#define TICK_MS 20
/* Three calls start within a lease term. */
#define PLATFORM_TIMEOUT (700 * CC_MS)
#define DRAIN_MAX (20 * CC_SECOND) /* then exits, even with servers held */

static void
on_message (const CcMessage *m, gpointer data)
{
  CcDispatcher *d = data;

  switch (m->kind)
    {
    case CC_MSG_SYNC:
    case CC_MSG_ROWS:
      cc_follower_receive (d->follower, m);
      break;
    case CC_MSG_REQUEST:
      cc_intake_request (d, m);
      break;
    case CC_MSG_CANCEL:
      cc_intake_cancel (d, m);
      break;
    case CC_MSG_OUTCOMES:
      ++*d->outcomes_received;
      cc_transfer_receive (d->transfer, &m->u.outcomes, m->from);
      break;
    case CC_MSG_REPLY:
    case CC_MSG_REPORT:
    case CC_MSG_VOTE:
      cc_voting_receive (d->voting, m);
      break;
    case CC_MSG_RELAY:
    case CC_MSG_PING:
      break;
    }
}

static void
on_link (const char *address, gboolean up, gpointer data)
{
  (void) address, (void) up, (void) data;
}

/* Notifies the transfer of attempt records of the slices that M assigns to this
 * dispatcher. */
static void
update_transfers (CcDispatcher *d, const CcSliceMap *m)
{
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      const CcMapServer *owner = cc_slicemap_owner (m, i);

      if (owner != NULL && owner->from[0] == '\0' &&
          g_str_equal (owner->dispatcher, d->tenure->id))
        cc_transfer_held (d->transfer, m, i, cc_clock_wall ());
    }
}

/* Starts to hold the server MAP_SERVER of M.  Unless this is its first term, a
 * previous holder's work may still run until QUIET_AT. */
static CcServer *
add_server (CcDispatcher *d, const CcSliceMap *m, const CcMapServer *map_server)
{
  const CcPool *pool = d->follower->document != NULL
                           ? cc_document_pool (d->follower->document, m->pool)
                           : NULL;
  gboolean checks_grants = pool != NULL && pool->checks_grants;
  gint64 quiet_at = map_server->term == 1 ? 0 : cc_clock_wall () + CC_SKEW_MAX;
  CcServer *s;

  if (map_server->term > 1 && pool != NULL)
    quiet_at += cc_document_longest_timeout (d->follower->document, m->pool);
  s = cc_server_new (&d->shared,
                     cc_holding_new (m->pool, map_server, checks_grants,
                                     cc_clock_now (), quiet_at));
  g_hash_table_insert (d->servers,
                       g_strconcat (m->pool, "/", map_server->name, NULL), s);
  cc_log (CC_LOG_INFO, "server", "%s/%s is held here, term %" G_GUINT64_FORMAT,
          m->pool, map_server->name, map_server->term);
  return s;
}

static void
remove_server (CcDispatcher *d, CcServer *s)
{
  g_autofree char *key =
      g_strconcat (s->holding->pool, "/", s->holding->name, NULL);

  cc_log (CC_LOG_INFO, "server", "%s is no longer held here", key);
  g_hash_table_remove (d->servers, key);
}

/* Whether the pool NAME is configured to be served without a lease, see
 * cut_off.c. */
static gboolean
serves_without_lease (const CcDispatcher *d, const char *name)
{
  const CcPool *pool = cc_document_pool (d->follower->document, name);

  return pool != NULL && pool->cut_off == CC_CUT_OFF_KEEP;
}

/* Records and logs that M removes units from server INDEX, so that reports.c
 * logs when their work has stopped. */
static void
track_removed_units (CcServer *s, const CcSliceMap *m, gint32 index)
{
  guint leaving = cc_slicemap_leaving (m, index);

  if (leaving == 0)
    return;
  s->removal_version = m->version;
  s->removal_read_at = cc_clock_now ();
  cc_log (CC_LOG_INFO, "server",
          "%s/%s: version %" G_GUINT64_FORMAT " removes %u units", m->pool,
          s->holding->name, m->version, leaving);
}

/* Applies M to the server INDEX of it.  A server that this process is to hand
 * over is added even if it never held it, having missed the map that assigned
 * it, because the next holder waits for its report. */
static void
update_server (CcDispatcher *d, const CcSliceMap *m, gint32 index)
{
  const CcMapServer *map_server = cc_slicemap_server (m, index);
  const char *own_id = d->tenure->id;
  gboolean owned = g_str_equal (map_server->dispatcher, own_id) &&
                   map_server->from[0] == '\0';
  gboolean leaving = g_str_equal (map_server->from, own_id);
  CcServer *s = cc_dispatcher_server (d, m->pool, map_server->name);

  if (s == NULL && (owned || leaving))
    s = add_server (d, m, map_server);
  if (s == NULL)
    return;
  if (!owned && !leaving)
    {
      remove_server (d, s);
      return;
    }
  s->holding->serves_without_lease = serves_without_lease (d, m->pool);
  if (m->version <= s->holding->map_version)
    return;
  track_removed_units (s, m, index);
  cc_holding_update (s->holding, m, index, own_id);
  cc_server_updated (s);
}

/* Removes the servers of M's pool that M does not list. */
static void
remove_unlisted (CcDispatcher *d, const CcSliceMap *m)
{
  GList *servers = g_hash_table_get_values (d->servers);

  for (GList *l = servers; l != NULL; l = l->next)
    {
      CcServer *s = l->data;

      if (g_str_equal (s->holding->pool, m->pool) &&
          cc_slicemap_find (m, s->holding->name) < 0)
        remove_server (d, s);
    }
  g_list_free (servers);
}

static void
on_view_changed (CcFollower *f, gpointer data)
{
  CcDispatcher *d = data;
  GHashTableIter iter;
  gpointer map;

  if (f->document == NULL)
    return;
  g_hash_table_iter_init (&iter, f->maps);
  while (g_hash_table_iter_next (&iter, NULL, &map))
    {
      const CcSliceMap *m = map;

      remove_unlisted (d, m);
      for (guint i = 0; i < m->servers->len; i++)
        update_server (d, m, (gint32) i);
      update_transfers (d, m);
    }
}

/* Handles a gained or lost lease or a change of the id.  Servers held under the
 * previous id are released before the new one is registered (cut_off.c). */
static void
on_tenure (CcTenure *t, gboolean held, gpointer data)
{
  CcDispatcher *d = data;

  (void) t, (void) held;
  on_view_changed (d->follower, d);
}

/* While draining: closes the tenure once all servers are handed over, and exits
 * when it is closed or after DRAIN_MAX. */
static void
continue_shutdown (CcDispatcher *d, gint64 now)
{
  if (d->stop_at == 0)
    return;
  if (g_hash_table_size (d->servers) == 0 && !d->tenure->closing)
    cc_tenure_close (d->tenure);
  if (!d->tenure->closed && now < d->stop_at)
    return;
  cc_log (CC_LOG_INFO, "stopped", "%u servers still held",
          g_hash_table_size (d->servers));
  exit (0);
}

/* Passes the state of the view to the tenure and runs the lease's voting. */
static void
update_lease (CcDispatcher *d, gint64 now)
{
  const CcRow *voters = cc_view_get (&d->follower->view, "voters");

  d->tenure->may_register = d->follower->platform_answered_at > 0;
  d->tenure->voters_version = voters != NULL ? voters->version : 0;
  cc_voting_tick (d->voting, now);
}

static gboolean
on_tick (gpointer data)
{
  CcDispatcher *d = data;
  gint64 now = cc_clock_now ();
  GHashTableIter iter;
  gpointer server;

  update_lease (d, now);

  g_hash_table_iter_init (&iter, d->servers);
  while (g_hash_table_iter_next (&iter, NULL, &server))
    {
      cc_server_tick (server, now);
      cc_report_if_due (d, server, now);
    }
  cc_metrics_gauge ("capercrank_servers_held", "",
                    g_hash_table_size (d->servers));
  cc_metrics_gauge ("capercrank_outcomes", "",
                    cc_outcomes_count (d->shared.outcomes));
  continue_shutdown (d, now);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_stop (gpointer data)
{
  CcDispatcher *d = data;

  if (d->stop_at != 0)
    return G_SOURCE_CONTINUE;
  cc_log (CC_LOG_INFO, "draining", "handing over %u servers",
          g_hash_table_size (d->servers));
  d->stop_at = cc_clock_now () + DRAIN_MAX;
  cc_tenure_drain (d->tenure);
  return G_SOURCE_CONTINUE;
}

/* Returns why this dispatcher is not ready, or NULL if it is. */
static const char *
why_not_ready (gpointer data)
{
  CcDispatcher *d = data;

  if (d->stop_at != 0)
    return "draining\n";
  if (d->follower->document == NULL)
    return "no configuration yet\n";
  return cc_tenure_is_valid (d->tenure, cc_clock_now ()) ? NULL : "no lease\n";
}

static void
server_free (gpointer data)
{
  cc_server_free (data);
}

static void
init_shared (CcDispatcher *d)
{
  d->shared.mailbox = d->mailbox;
  d->shared.upstream = cc_upstream_new (cc_setting (d->settings, "listen"));
  d->shared.tenure = d->tenure;
  d->shared.outcomes = cc_outcomes_new ();
  d->transfer = cc_transfer_new (d->shared.outcomes);
  cc_server_shared_init (&d->shared);
  d->shared.first_attempts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  d->servers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, server_free);
  d->rejected = cc_metrics_counter ("capercrank_requests_refused", "");
  d->repeats = cc_metrics_counter ("capercrank_repeats_answered", "");
  d->outcomes_received =
      cc_metrics_counter ("capercrank_outcomes_received", "");
  d->outcomes_sent = cc_metrics_counter ("capercrank_outcomes_passed_on", "");
  d->cancelled = cc_metrics_counter ("capercrank_requests_cancelled", "");
}

static gboolean
open_ports (CcDispatcher *d, guint64 incarnation)
{
  g_autofree char *message = NULL;

  d->mailbox = cc_mailbox_new (cc_setting (d->settings, "listen"),
                               cc_setting_advertised (d->settings), incarnation,
                               on_message, on_link, d, &message);
  if (d->mailbox != NULL &&
      cc_admin_listen (cc_setting (d->settings, "admin"), why_not_ready, d,
                       &message) != NULL)
    return TRUE;
  fprintf (stderr, "capercrank-dispatch: %s\n", message);
  return FALSE;
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", NULL, "name of this instance", 0, 0,
      NULL },
    { CC_SETTING_STRING, "zone", NULL, "its availability zone", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "listen", NULL, "mailbox address for other processes",
      0, 0, NULL },
    { CC_SETTING_ADDRESSES, "advertise", "",
      "mailbox address as other processes reach it, if it differs", 0, 0,
      NULL },
    { CC_SETTING_ADDRESS, "admin", NULL, "address of metrics and readiness", 0,
      0, NULL },
    { CC_SETTING_ADDRESS, "platform", NULL, "address of the platform's service",
      0, 0, NULL },
    { CC_SETTING_ADDRESSES, "peers", "",
      "mailboxes of peers to contact at the start", 0, 0, NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  CcDispatcher d = { .settings = settings };
  guint64 incarnation = cc_clock_incarnation ();
  CcPlatform *platform;
  g_auto (GStrv) peers = NULL;

  switch (cc_settings_read (
      settings, "capercrank-dispatch",
      "Runs entries' requests on the servers that it holds.", argc, argv))
    {
    case CC_START_STOP:
      return 0;
    case CC_START_FAIL:
      return 2;
    case CC_START_RUN:
      break;
    }
  cc_process_map_large_blocks ();
  if (!open_ports (&d, incarnation))
    return 1;
  platform =
      cc_platform_new (cc_setting (settings, "platform"),
                       cc_setting (settings, "listen"), PLATFORM_TIMEOUT);
  peers = cc_setting_list (settings, "peers");
  d.follower = cc_follower_new (d.mailbox, platform, "lease/", peers, TRUE,
                                on_view_changed, &d);
  d.tenure = cc_tenure_new (platform, cc_setting (settings, "instance"),
                            cc_setting (settings, "zone"),
                            cc_setting_advertised (settings), incarnation,
                            on_tenure, &d);
  d.voting = cc_voting_new (d.mailbox, d.follower, d.tenure);
  init_shared (&d);
  cc_follower_start (d.follower);
  cc_tenure_start (d.tenure);
  g_timeout_add (TICK_MS, on_tick, &d);
  cc_run_until_signal (on_stop, NULL, &d);
  return 0;
}
