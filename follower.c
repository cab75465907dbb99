/* Polls the platform for changed rows, and exchanges rows with peers by SYNC
 * and ROWS messages; the view keeps whichever version is newer.  So a process
 * that starts in a zone that is cut off from the platform gets the newest rows
 * that its peers hold.
 *
 * Load: one small read for each poll.  Entries poll their own instance's
 * dispatcher and never the platform, so the platform has one reader per
 * instance. */
#include "follower.h"

#include <json-glib/json-glib.h>

#include "clock.h"
#include "json_tree.h"
#include "log.h"
#include "metrics.h"

#define TICK_MS 100    /* period of the timer */
#define POLL_TICKS 2   /* platform polled every 200 ms: 5 reads/s per process */
#define GOSSIP_TICKS 5 /* random member polled every 500 ms */
#define PLATFORM_OUTAGE_AFTER                                                  \
  (2 * CC_SECOND) /* longer than the timeout of one lost answer */
#define SUBSCRIBER_TIMEOUT                                                     \
  (2 * CC_SECOND) /* removed without a SYNC for this time */

/* A peer that polls this process, and that is sent new rows at once. */
typedef struct
{
  guint64 incarnation; /* of the peer */
  guint64 upto;        /* version up to which rows were sent to it */
  gint64 last_sync;    /* when its last SYNC arrived, us */
} Subscriber;

static void
member_free (gpointer data)
{
  CcMember *m = data;

  g_free (m->id);
  g_free (m->instance);
  g_free (m->address);
  g_free (m->zone);
  g_free (m);
}

static void
map_free (gpointer data)
{
  cc_slicemap_free (data);
}

/* Creates a follower that exchanges messages through BOX.  SEEDS are copied;
 * SKIP must outlive the follower.  CHANGED is called after each change of the
 * view. */
CcFollower *
cc_follower_new (CcMailbox *box, CcPlatform *platform, const char *skip,
                 char **seeds, gboolean gossips, CcFollowerChanged changed,
                 gpointer data)
{
  CcFollower *f = g_new0 (CcFollower, 1);

  cc_view_init (&f->view);
  f->maps = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, map_free);
  f->members =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, member_free);
  f->subscribers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->mailbox = box;
  f->platform = platform;
  f->skip = skip;
  f->seeds = g_strdupv (seeds);
  f->gossips = gossips;
  f->changed = changed;
  f->data = data;
  f->logged_reachable = TRUE;
  return f;
}

/* Puts the configuration in ROW in force; a damaged one is logged and ignored.
 * */
static void
apply_document (CcFollower *f, const CcRow *row)
{
  CcFindings findings;
  CcDocument *d;

  cc_findings_init (&findings);
  d = cc_document_parse (row->value, -1, &findings);
  if (d != NULL)
    {
      cc_document_free (f->document);
      f->document = d;
      f->document_version = row->version;
      cc_log (CC_LOG_INFO, "configuration",
              "version %" G_GUINT64_FORMAT " is in force", row->version);
      cc_metrics_gauge ("capercrank_configuration_version", "",
                        (double) row->version);
    }
  else
    cc_log (CC_LOG_ERROR, "configuration",
            "row with version %" G_GUINT64_FORMAT
            " is damaged, the configuration in force stays",
            row->version);
  cc_findings_clear (&findings);
}

/* Parses the map in ROW unless the held one is as new; a damaged one is
 * ignored. */
static void
apply_map (CcFollower *f, const CcRow *row)
{
  const char *pool = row->key + strlen ("map/");
  CcSliceMap *old = g_hash_table_lookup (f->maps, pool);
  CcSliceMap *m;

  if (old != NULL && old->version >= row->version)
    return;
  m = cc_slicemap_parse (pool, row->version, row->value);
  if (m != NULL)
    g_hash_table_insert (f->maps, g_strdup (pool), m);
}

/* Parses the member in ROW and connects to its mailbox; a damaged row is
 * ignored. */
static void
apply_member (CcFollower *f, const CcRow *row)
{
  g_autoptr (JsonNode) root = cc_json_parse (row->value, -1, NULL);
  JsonObject *o = cc_json_object (root);
  CcMember *m;

  if (o == NULL)
    return;
  m = g_new0 (CcMember, 1);
  m->id = g_strdup (row->key + strlen ("member/"));
  m->instance = g_strdup (cc_json_text_member (o, "instance", ""));
  m->address = g_strdup (cc_json_text_member (o, "address", ""));
  m->zone = g_strdup (cc_json_text_member (o, "zone", ""));
  m->incarnation =
      (guint64) cc_json_whole_member (o, "incarnation", 0, G_MAXINT64, 0);
  m->draining = cc_json_flag_member (o, "draining");
  g_hash_table_replace (f->members, m->id, m);
  if (m->address[0] != '\0')
    cc_mailbox_connect (f->mailbox, m->address);
}

/* Updates the configuration, the maps and the members from the view. */
static void
apply_view (CcFollower *f)
{
  const CcRow *head = cc_view_get (&f->view, "config/head");
  g_autoptr (GPtrArray) maps = cc_view_list (&f->view, "map/");
  g_autoptr (GPtrArray) members = cc_view_list (&f->view, "member/");

  if (head != NULL && head->version > f->document_version)
    apply_document (f, head);
  for (guint i = 0; i < maps->len; i++)
    apply_map (f, maps->pdata[i]);
  g_hash_table_remove_all (f->members);
  for (guint i = 0; i < members->len; i++)
    apply_member (f, members->pdata[i]);
}

/* Sends the peer at ADDRESS the rows that it has not been sent yet. */
static void
send_rows (CcFollower *f, const char *address, Subscriber *s)
{
  CcMessage m = { .kind = CC_MSG_ROWS };

  m.to = s->incarnation;
  m.id = cc_mailbox_next_id (f->mailbox);
  m.expires = cc_clock_wall () + CC_SECOND + CC_SKEW_MAX;
  m.u.rows.since = s->upto;
  m.u.rows.upto = f->view.upto;
  m.u.rows.rows = cc_view_since (&f->view, s->upto);
  if (cc_mailbox_send (f->mailbox, address, &m) == CC_OK)
    s->upto = f->view.upto;
}

/* Sends new rows to all subscribers and removes those that have stopped
 * polling. */
static void
send_rows_to_subscribers (CcFollower *f)
{
  GHashTableIter iter;
  gpointer address, subscriber;
  gint64 now = cc_clock_now ();

  g_hash_table_iter_init (&iter, f->subscribers);
  while (g_hash_table_iter_next (&iter, &address, &subscriber))
    {
      if (((Subscriber *) subscriber)->last_sync < now - SUBSCRIBER_TIMEOUT)
        g_hash_table_iter_remove (&iter);
      else
        send_rows (f, address, subscriber);
    }
}

static void
notify_changed (CcFollower *f)
{
  apply_view (f);
  f->changed (f, f->data);
  send_rows_to_subscribers (f);
}

static void
apply_rows (CcFollower *f, guint64 since, guint64 upto, GVariant *rows)
{
  if (cc_view_apply (&f->view, since, upto, rows) > 0)
    notify_changed (f);
}

/* Adds the row KEY, which this process has just written as VERSION, to the
 * view. */
void
cc_follower_wrote (CcFollower *f, const char *key, guint64 version,
                   const char *value)
{
  if (cc_view_put (&f->view, key, version, value))
    notify_changed (f);
}

/* Sends the single row ROW to the member TO, which applies it if its view is
 * complete up to SINCE. */
static void
send_row (CcFollower *f, const CcMember *to, const CcRow *row, guint64 since)
{
  CcMessage m = { .kind = CC_MSG_ROWS };

  m.to = to->incarnation;
  m.id = cc_mailbox_next_id (f->mailbox);
  m.expires = cc_clock_wall () + CC_SECOND + CC_SKEW_MAX;
  m.u.rows.since = m.u.rows.upto = since;
  m.u.rows.rows = g_variant_new_parsed ("[(%s, %t, %s)]", row->key,
                                        row->version, row->value);
  cc_mailbox_send (f->mailbox, to->address, &m);
}

/* Returns the highest version of the rows of V whose keys start with PREFIX,
 * including deleted ones. */
static guint64
newest_of (const CcView *v, const char *prefix)
{
  g_autoptr (GPtrArray) rows = cc_view_rows (v);
  guint64 newest = 0;

  for (guint i = 0; i < rows->len; i++)
    {
      const CcRow *row = rows->pdata[i];

      if (g_str_has_prefix (row->key, prefix))
        newest = MAX (newest, row->version);
    }
  return newest;
}

/* Sends the row KEY, a map, to the dispatchers IDS.  A dispatcher whose view
 * lacks the configuration or the members that the map depends on rejects it. */
void
cc_follower_send_map (CcFollower *f, const char *key, GHashTable *ids)
{
  const CcRow *row = cc_view_get (&f->view, key);
  guint64 since = MAX (newest_of (&f->view, "config/head"),
                       newest_of (&f->view, "member/"));
  GHashTableIter iter;
  gpointer id;

  g_hash_table_iter_init (&iter, ids);
  while (row != NULL && g_hash_table_iter_next (&iter, &id, NULL))
    {
      const CcMember *member = cc_follower_member (f, id);

      if (member != NULL)
        send_row (f, member, row, since);
    }
}

/* Logs when the platform becomes unreachable and when it answers again.  One
 * lost poll is not logged: polls end by the platform's timeout at the latest
 * and are sent five times a second. */
static void
record_platform_state (CcFollower *f, gboolean answered)
{
  gint64 now = cc_clock_now ();
  gboolean is_outage =
      !answered && now - f->platform_answered_at > PLATFORM_OUTAGE_AFTER;

  if (answered)
    f->platform_answered_at = now;
  if (answered != f->logged_reachable && (answered || is_outage))
    {
      f->logged_reachable = answered;
      cc_log (answered ? CC_LOG_INFO : CC_LOG_WARNING, "platform",
              answered
                  ? "reachable again"
                  : "no response; retrying, rows come from peers meanwhile");
    }
  cc_metrics_gauge ("capercrank_platform_reachable", "", f->logged_reachable);
}

static void
on_polled (CcStatus status, guint64 since, guint64 upto, GVariant *rows,
           gpointer data)
{
  CcFollower *f = data;

  f->polling = FALSE;
  record_platform_state (f, status == CC_OK);
  if (status != CC_OK)
    return;
  apply_rows (f, since, upto, rows);
}

/* Polls the platform for changes now, unless a call is in progress. */
void
cc_follower_poll (CcFollower *f)
{
  if (f->platform == NULL || f->polling)
    return;
  f->polling = TRUE;
  cc_platform_changes (f->platform, f->view.upto, f->skip, on_polled, f);
}

/* Requests from the peer at ADDRESS the rows that are newer than the view, if
 * the peer is connected. */
static void
send_sync (CcFollower *f, const char *address)
{
  CcMessage m = { .kind = CC_MSG_SYNC };

  m.id = cc_mailbox_next_id (f->mailbox);
  m.expires = cc_clock_wall () + CC_SECOND + CC_SKEW_MAX;
  m.u.sync.upto = f->view.upto;
  if (cc_mailbox_is_up (f->mailbox, address))
    cc_mailbox_send (f->mailbox, address, &m);
}

static void
sync_with_random_member (CcFollower *f)
{
  guint n = g_hash_table_size (f->members);
  guint pick = n > 0 ? g_random_int_range (0, (gint32) n) : 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, f->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (pick-- == 0)
      send_sync (f, ((CcMember *) value)->address);
}

/* Sends a SYNC to the first seed that is connected, or to a random member if no
 * seed is. */
static void
sync_with_seed (CcFollower *f)
{
  for (guint i = 0; f->seeds[i] != NULL; i++)
    if (cc_mailbox_is_up (f->mailbox, f->seeds[i]))
      {
        send_sync (f, f->seeds[i]);
        return;
      }
  sync_with_random_member (f);
}

static gboolean
on_tick (gpointer data)
{
  CcFollower *f = data;

  f->ticks++;
  if (f->ticks % POLL_TICKS == 0)
    cc_follower_poll (f);
  if (!f->gossips)
    sync_with_seed (f);
  else if (f->ticks % GOSSIP_TICKS == 0)
    {
      sync_with_random_member (f);
      sync_with_seed (f);
    }
  cc_metrics_gauge ("capercrank_view_version", "", (double) f->view.upto);
  return G_SOURCE_CONTINUE;
}

/* Connects to the seeds and starts polling. */
void
cc_follower_start (CcFollower *f)
{
  for (guint i = 0; f->seeds[i] != NULL; i++)
    cc_mailbox_connect (f->mailbox, f->seeds[i]);
  cc_follower_poll (f);
  g_timeout_add (TICK_MS, on_tick, f);
}

/* Registers the sender of a SYNC as a subscriber and sends it the newer rows.
 * */
static void
answer_sync (CcFollower *f, const CcMessage *m)
{
  Subscriber *s = g_hash_table_lookup (f->subscribers, m->reply_to);

  if (s == NULL)
    {
      s = g_new0 (Subscriber, 1);
      g_hash_table_insert (f->subscribers, g_strdup (m->reply_to), s);
    }
  s->incarnation = m->from;
  s->last_sync = cc_clock_now ();
  s->upto = m->u.sync.upto;
  send_rows (f, m->reply_to, s);
}

/* Returns the version up to which a peer's rows, complete to UPTO, make the
 * view complete.  A peer's rows lack those that it skips when it polls.  A
 * process that skips none, an assigner, applies them but does not count them as
 * complete: it would never receive the last renewal of a lease, treat the lease
 * as older than it is, and have every takeover rejected. */
static guint64
complete_upto (const CcFollower *f, guint64 upto)
{
  gboolean needs_all_rows = f->platform != NULL && f->skip[0] == '\0';

  return needs_all_rows ? MIN (upto, f->view.upto) : upto;
}

/* Handles a SYNC or ROWS message. */
void
cc_follower_receive (CcFollower *f, const CcMessage *m)
{
  const CcMsgRows *r = &m->u.rows;

  if (m->kind == CC_MSG_SYNC)
    answer_sync (f, m);
  else if (m->kind == CC_MSG_ROWS)
    apply_rows (f, r->since, complete_upto (f, r->upto), r->rows);
}

/* Returns the newest map of POOL, or NULL; valid until the view changes. */
CcSliceMap *
cc_follower_map (const CcFollower *f, const char *pool)
{
  return g_hash_table_lookup (f->maps, pool);
}

/* Returns the registered dispatcher ID, or NULL; valid until a view change. */
const CcMember *
cc_follower_member (const CcFollower *f, const char *id)
{
  return g_hash_table_lookup (f->members, id);
}
