/* capercrank-assign: assigns slices of keys to servers and servers to
 * dispatchers, and accepts operators' documents.
 *
 * Each instance runs one; a lease row elects the active one.  Serving never
 * depends on it: while none is active, ownership stays unchanged.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "assignment.h"
#include "clock.h"
#include "config_api.h"
#include "drain_api.h"
#include "follower.h"
#include "leader.h"
#include "listing.h"
#include "log.h"
#include "map_change.h"
#include "metrics.h"
#include "settings.h"
#include "takeover.h"

#define TICK_MS 50
#define PLATFORM_TIMEOUT (700 * CC_MS)

typedef struct
{
  CcMailbox *mailbox;
  CcPlatform *platform;
  CcFollower *follower;
  CcLeader leader;
  CcVoting *voting;
  CcTakeover *takeover;
  GHashTable *reports;       /* pool to (server to CcServerReport) */
  GHashTable *planners;      /* pool to CcPlanner */
  GHashTable *writing;       /* pools with a map write in progress */
  GPtrArray *listed_servers; /* CcInstance: servers listed by the platform */
  CcListing listing;
  CcCounter *steps;
  gboolean stopping;
} Assign;

typedef struct
{
  Assign *assign;
  char *name;     /* name of the pool */
  char *key;      /* key of the row */
  char *value;    /* value to write */
  guint64 before; /* version that it replaces */
  gint64 began;   /* start of the write, us */
  guint moving;   /* units moving in the written map */
} Write;

typedef struct
{
  Assign *assign;
  guint64 number; /* number of the request for the list of instances */
} ListRequest;

static void
report_free (gpointer data)
{
  g_free (((CcServerReport *) data)->dispatcher);
  g_free (data);
}

/* The reports on the servers of POOL; an empty table if there are none. */
static GHashTable *
reports_of (Assign *a, const char *pool)
{
  GHashTable *table = g_hash_table_lookup (a->reports, pool);

  if (table != NULL)
    return table;
  table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, report_free);
  g_hash_table_insert (a->reports, g_strdup (pool), table);
  return table;
}

/* The planner of POOL, created at its first use. */
static CcPlanner *
planner_of (Assign *a, const char *pool)
{
  CcPlanner *p = g_hash_table_lookup (a->planners, pool);

  if (p != NULL)
    return p;
  p = cc_planner_new ();
  g_hash_table_insert (a->planners, g_strdup (pool), p);
  return p;
}

/* Stores a dispatcher's report on a server and passes its loads to the
 * planner. */
static void
receive_report (Assign *a, const CcMsgReport *r)
{
  const CcSliceMap *m = cc_follower_map (a->follower, r->pool);
  CcServerReport *report = g_new0 (CcServerReport, 1);

  report->applied = r->applied;
  report->lost = r->state != 0;
  report->dispatcher = g_strdup (r->instance);
  g_hash_table_insert (reports_of (a, r->pool), g_strdup (r->server), report);
  if (m == NULL)
    return;
  cc_unit_loads_update (planner_of (a, r->pool)->loads, m, r->server, r->loads,
                        cc_clock_now ());
  cc_hot_units_update (planner_of (a, r->pool)->hot, r->hot, cc_clock_now ());
}

static void
on_message (const CcMessage *m, gpointer data)
{
  Assign *a = data;

  if (m->kind == CC_MSG_REPORT)
    receive_report (a, &m->u.report);
  else if (m->kind == CC_MSG_ROWS)
    cc_follower_receive (a->follower, m);
  else if (m->kind == CC_MSG_VOTE)
    cc_voting_receive (a->voting, m);
}

static void
on_link (const char *address, gboolean up, gpointer data)
{
  (void) address, (void) up, (void) data;
}

/* Prepares the write of M over the version that it was read from. */
static Write *
write_new (Assign *a, const CcSliceMap *m)
{
  Write *w = g_new0 (Write, 1);

  w->assign = a;
  w->name = g_strdup (m->pool);
  w->key = g_strconcat ("map/", m->pool, NULL);
  w->value = cc_slicemap_print (m);
  w->before = m->version;
  w->began = cc_clock_now ();
  w->moving = cc_slicemap_moving (m);
  return w;
}

static void
write_free (Write *w)
{
  g_free (w->name);
  g_free (w->key);
  g_free (w->value);
  g_free (w);
}

/* The roster of POOL: dispatchers by their member rows, servers and entries by
 * the platform's list. */
static CcRoster *
roster_of (Assign *a, const CcPool *pool)
{
  CcRoster *r = cc_roster_new ();
  GHashTableIter iter;
  gpointer value;

  r->serves_without_lease = pool->cut_off == CC_CUT_OFF_KEEP;
  g_hash_table_iter_init (&iter, a->follower->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CcMember *m = value;

      cc_roster_add_dispatcher (r, m->id, m->zone, m->draining);
    }
  for (guint i = 0; i < a->listed_servers->len; i++)
    {
      const CcInstance *instance = a->listed_servers->pdata[i];

      if (g_str_equal (instance->role, pool->name))
        cc_roster_add_server (
            r, instance->name, instance->address, instance->zone,
            instance->leaving ||
                cc_drain_is_requested (&a->follower->view, pool->name,
                                       instance->name));
      else if (g_str_equal (instance->role, "entry"))
        cc_roster_add_instance (r, instance->name);
    }
  return r;
}

static void
log_write (const Write *w, CcStatus status, guint64 version)
{
  gint64 took = (cc_clock_now () - w->began) / CC_MS;

  if (status == CC_OK)
    cc_log (CC_LOG_INFO, "map",
            "%s: version %" G_GUINT64_FORMAT " written over %" G_GUINT64_FORMAT
            " in %" G_GINT64_FORMAT " ms, %u units moving",
            w->name, version, w->before, took, w->moving);
  else
    cc_log (CC_LOG_WARNING, "map",
            "%s: not written over %" G_GUINT64_FORMAT ", status %d after "
            "%" G_GINT64_FORMAT " ms",
            w->name, w->before, (int) status, took);
}

/* Applies the written map locally and sends it to the dispatchers that must
 * act on it, without waiting for the next poll of the table. */
static void
publish (const Write *w, guint64 version)
{
  CcFollower *f = w->assign->follower;
  CcSliceMap *m = cc_slicemap_parse (w->name, version, w->value);
  const CcSliceMap *before = cc_follower_map (f, w->name);
  GHashTable *ids;

  if (m != NULL && before != NULL && before->version == w->before)
    {
      ids = cc_slicemap_affected_dispatchers (m, before);
      cc_follower_wrote (f, w->key, version, w->value);
      cc_follower_send_map (f, w->key, ids);
      g_hash_table_unref (ids);
    }
  cc_slicemap_free (m);
}

static void
on_map_written (CcStatus status, guint64 version, gpointer data)
{
  Write *w = data;

  log_write (w, status, version);
  if (status == CC_OK)
    {
      planner_of (w->assign, w->name)->written = version;
      publish (w, version);
    }
  g_hash_table_remove (w->assign->writing, w->name);
  cc_follower_poll (w->assign->follower);
  write_free (w);
}

/* Writes M, provided that neither its row nor the document has changed since.
 */
static void
write_map (Assign *a, CcSliceMap *m)
{
  CcTransaction *x = cc_transaction_new ();
  Write *w;

  cc_slicemap_update_reason (m, cc_follower_map (a->follower, m->pool));
  w = write_new (a, m);
  ++*a->steps;
  g_hash_table_add (a->writing, g_strdup (m->pool));
  cc_transaction_check (x, w->key, m->version);
  /* Conflicts if a newer document exists: a dispatcher may already use one
   * that sets cut-off to "keep". */
  cc_transaction_check (x, "config/head", a->follower->document_version);
  cc_transaction_put (x, w->key, w->value);
  cc_platform_commit (a->platform, x, on_map_written, w);
}

/* Runs one planning step for POOL, unless a write is in progress or the view
 * predates the last one. */
static void
plan_pool (Assign *a, const CcPool *pool)
{
  g_autofree char *key = g_strconcat ("map/", pool->name, NULL);
  const CcRow *row = cc_view_get (&a->follower->view, key);
  CcPlanner *p = planner_of (a, pool->name);
  g_autofree char *labels = NULL;
  CcRoster *roster;
  CcSliceMap *m;

  if (g_hash_table_contains (a->writing, pool->name) ||
      (row != NULL && row->version < p->written))
    return;
  m = row != NULL ? cc_slicemap_parse (pool->name, row->version, row->value)
                  : cc_slicemap_new (pool->name, pool->slices);
  roster = roster_of (a, pool);
  cc_planner_set_write_time (p, cc_platform_answer_time (a->platform));
  if (m != NULL &&
      cc_planner_step (p, m, pool, roster, reports_of (a, pool->name),
                       cc_clock_now ()) > 0)
    write_map (a, m);
  labels = cc_metrics_label ("pool", pool->name);
  cc_metrics_gauge ("capercrank_imbalance", labels, p->imbalance);
  cc_metrics_gauge ("capercrank_units_moved", labels, (double) p->moves);
  cc_metrics_gauge ("capercrank_move_seconds_sum", labels,
                    (double) p->move_time / CC_SECOND);
  cc_metrics_gauge ("capercrank_move_seconds_count", labels, (double) p->ended);
  cc_metrics_gauge ("capercrank_hot_splits", labels, (double) p->splits);
  cc_metrics_gauge ("capercrank_hot_folds", labels, (double) p->folds);
  cc_roster_free (roster);
  cc_slicemap_free (m);
}

static void
plan (Assign *a)
{
  const CcDocument *d = a->follower->document;

  for (guint i = 0; d != NULL && i < d->pools->len; i++)
    plan_pool (a, d->pools->pdata[i]);
}

static void
on_instances (CcStatus status, GPtrArray *instances, gpointer data)
{
  g_autofree ListRequest *q = data;
  Assign *a = q->assign;

  if (status != CC_OK || !cc_listing_answered (&a->listing, q->number))
    return;
  g_ptr_array_unref (a->listed_servers);
  a->listed_servers = g_ptr_array_ref (instances);
}

static void
request_instances (Assign *a, gint64 now)
{
  guint64 number = cc_listing_request (&a->listing, now);
  ListRequest *q;

  if (number == 0)
    return;
  q = g_new0 (ListRequest, 1);
  q->assign = a;
  q->number = number;
  cc_platform_instances (a->platform, on_instances, q);
}

/* Renews the lease, takes over from lost dispatchers, and plans while it may.
 */
static gboolean
on_tick (gpointer data)
{
  Assign *a = data;
  gint64 now = cc_clock_now ();
  gboolean active, may_plan;

  cc_leader_tick (&a->leader, &a->follower->view, now);
  active = cc_leader_is_active (&a->leader, now);
  may_plan = cc_leader_may_plan (&a->leader, now);
  cc_metrics_gauge ("capercrank_assigner_active", "", active);
  cc_takeover_tick (a->takeover, active, now);
  if (active && cc_voting_is_isolated (a->voting, now))
    cc_leader_resign (&a->leader);
  if (may_plan)
    request_instances (a, now);
  if (may_plan && a->listing.taken > 0)
    plan (a);
  return G_SOURCE_CONTINUE;
}

static void
on_view_changed (CcFollower *f, gpointer data)
{
  (void) f, (void) data;
}

static gboolean
on_exit_timer (gpointer data)
{
  (void) data;
  exit (0);
}

/* Resigns, and exits 300 ms later so that the release can be written.  The
 * handler stays, since without one a further signal ends the process. */
static gboolean
on_stop (gpointer data)
{
  Assign *a = data;

  if (a->stopping)
    return G_SOURCE_CONTINUE;
  a->stopping = TRUE;
  cc_leader_resign (&a->leader);
  g_timeout_add (300, on_exit_timer, a);
  return G_SOURCE_CONTINUE;
}

/* Ready if the platform responded within the last 2 s. */
static const char *
readiness_error (gpointer data)
{
  Assign *a = data;
  gint64 now = cc_clock_now ();

  return a->follower->platform_answered_at > 0 &&
                 now - a->follower->platform_answered_at < 2 * CC_SECOND
             ? NULL
             : "the platform does not answer\n";
}

static gboolean
open_ports (Assign *a, const CcSetting *settings, guint64 incarnation)
{
  g_autofree char *message = NULL;
  g_auto (GStrv) peers = NULL;
  SoupServer *admin = NULL;

  a->mailbox = cc_mailbox_new (cc_setting (settings, "listen"),
                               cc_setting_advertised (settings), incarnation,
                               on_message, on_link, a, &message);
  if (a->mailbox != NULL)
    admin = cc_admin_listen (cc_setting (settings, "admin"), readiness_error, a,
                             &message);
  if (admin == NULL)
    {
      fprintf (stderr, "capercrank-assign: %s\n", message);
      return FALSE;
    }
  peers = cc_setting_list (settings, "peers");
  a->follower = cc_follower_new (a->mailbox, a->platform, "", peers, TRUE,
                                 on_view_changed, a);
  a->voting = cc_voting_new (a->mailbox, a->follower, NULL);
  a->takeover = cc_takeover_new (a->platform, a->follower, a->voting);
  cc_config_api_add (admin, a->follower, a->platform,
                     cc_setting (settings, "operator-token"));
  cc_drain_api_add (admin, a->follower, a->platform,
                    cc_setting (settings, "operator-token"));
  return TRUE;
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
      "mailbox address as other processes reach it, if different", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "admin", NULL,
      "address for operators, metrics and readiness", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "platform", NULL, "address of the platform's service",
      0, 0, NULL },
    { CC_SETTING_ADDRESSES, "peers", "",
      "mailboxes of the dispatchers to contact first", 0, 0, NULL },
    { CC_SETTING_STRING, "operator-token", "",
      "token that operators' requests must carry (preferably set in the "
      "environment)",
      0, 0, NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  Assign a = { 0 };
  guint64 incarnation = cc_clock_incarnation ();
  g_autofree char *id = NULL;

  switch (cc_settings_read (
      settings, "capercrank-assign",
      "Assigns ownership and accepts operators' documents.", argc, argv))
    {
    case CC_START_STOP:
      return 0;
    case CC_START_FAIL:
      return 2;
    case CC_START_RUN:
      break;
    }
  a.platform =
      cc_platform_new (cc_setting (settings, "platform"),
                       cc_setting (settings, "listen"), PLATFORM_TIMEOUT);
  a.reports = g_hash_table_new (g_str_hash, g_str_equal);
  a.planners = g_hash_table_new (g_str_hash, g_str_equal);
  a.writing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  a.listed_servers = g_ptr_array_new ();
  a.steps = cc_metrics_counter ("capercrank_assignment_steps", "");
  if (!open_ports (&a, settings, incarnation))
    return 1;
  id = g_strdup_printf ("%s.%" G_GINT64_MODIFIER "x",
                        cc_setting (settings, "instance"), incarnation);
  cc_leader_init (&a.leader, a.platform, id, cc_setting_advertised (settings),
                  incarnation);
  cc_follower_start (a.follower);
  g_timeout_add (TICK_MS, on_tick, &a);
  cc_run_until_signal (on_stop, NULL, &a);
  return 0;
}
