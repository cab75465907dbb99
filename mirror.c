/* Keeps a local copy of the replicated tables.  Each table is read whole once
 * and then watched by long polls, which the table service answers as soon as a
 * row changes.  If the service has discarded the history that a watch needs,
 * the table is read whole again.  mirror_peers.c follows the copies of other
 * processes.
 *
 * Load pattern: the service is down for the whole fleet, and every process
 * retries each table, which makes thousands of calls in a few seconds.  So
 * during an outage only the configuration is queried, and in a large fleet most
 * processes retry rarely: they learn of the recovery from the processes that
 * retry often. */
#include "mirror.h"

#include "clock.h"
#include "event_log.h"
#include "mirror_state.h"
#include "row_version.h"

/* Longest wait of a watch of ranges and members.
 * Failure: the answer to one watch is lost and its connection delivers nothing
 * more; until the call times out, this copy and all copies that follow it miss
 * every change.  A request that is routed by a stale range is rejected by the
 * upstream and rerouted, so this watch may be slower than the others. */
#define WATCH_WAIT (2 * CC_SECOND)
/* Pause after a failed call, doubled with each failure.  The maximum bounds the
 * delay of a change after the service has recovered. */
#define RETRY_MIN (60 * CC_MS)
#define RETRY_MAX (350 * CC_MS)
/* In a fleet of more than SMALL_FLEET processes, the maximum pause of those
 * that nobody follows grows with the size of the fleet, so that the whole fleet
 * makes as many calls as a small one. */
#define SMALL_FLEET 12
#define RETRY_MAX_LARGE (10 * CC_SECOND)
#define RETRY_FIRST_PART 0.125 /* first pause, as a fraction of the maximum */
/* During an outage the other tables are queried when an answer for the
 * configuration shows that the service has recovered, or after this pause. */
#define RETRY_OTHER_TABLES (3 * CC_SECOND)
/* Longest wait of a watch of the configuration and of upstreams.  Both have a
 * bound: a change of the configuration must be in force everywhere within 2 s,
 * and an upstream that leaves serves for no longer than that.
 *
 * Failure: the watch of upstreams is lost while that of the configuration is
 * answered.  Symptom: this copy and all copies that follow it count as fresh,
 * and requests are sent to upstreams that have exited.  So a copy is as old as
 * the older of the two tables, and a lost watch is detected like a lost
 * granter.  Only the few processes that watch directly make the extra calls. */
#define FRESHNESS_WAIT (600 * CC_MS)
/* Right after the start all processes of a fleet register at once.  Nothing is
 * served yet, so updates may be taken in larger batches. */
#define STARTUP_SPAN (5 * CC_SECOND)
#define STARTUP_PAUSE (600 * CC_MS)
/* Pause after an update of STATE at the granter, which writes most of its rows
 * itself. */
#define OWN_ROWS_PAUSE (300 * CC_MS)
/* A process that starts reads the members and receives all other rows from the
 * peer that it follows.  It reads them itself if there is no such peer, or if
 * the peer has not delivered them within this time. */
#define PEER_ROWS_TIMEOUT (1 * CC_SECOND)

/* A call to the service about one table. */
typedef struct
{
  CcMirrorTable *table;
  guint number;   /* value of TABLE's call counter */
  gint64 sent_at; /* when it was sent, us */
  gint64 wait;    /* longest wait for a change, us */
} Call;

/* Pause between an answer that brought changes and the next watch.  Without it,
 * rows that change one after the other, as when many upstreams start together,
 * would cost each watching process a call each.  The pause for STATE is short
 * because requests wait for changes of key ranges. */
static const gint64 update_pause[CC_TABLE_FOLLOWED] = {
  [CC_TABLE_CONFIG] = 200 * CC_MS,
  [CC_TABLE_UPSTREAMS] = 250 * CC_MS,
  [CC_TABLE_STATE] = 15 * CC_MS,
};

static const char *const table_names[] = { "configuration", "upstreams",
                                           "state" };

static void watch (CcMirrorTable *t);

/* Creates a mirror.  The objects that SETUP points to must outlive it. */
CcMirror *
cc_mirror_new (const CcMirrorSetup *setup)
{
  CcMirror *m = g_new0 (CcMirror, 1);

  m->setup = *setup;
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      m->tables[i].mirror = m;
      m->tables[i].name = (CcTableName) i;
      m->tables[i].pause = RETRY_MIN;
      cc_view_init (&m->tables[i].view);
      m->tables[i].changed = g_ptr_array_new ();
    }
  return m;
}

static void
on_watch_timer (gpointer data)
{
  watch (data);
}

/* Restarts the queries of all other tables after the service has recovered.
 * Failure: the service dropped a watch of another table during the outage, and
 * this process waits seconds for an answer that never comes.  So each other
 * table is queried again, and the answer to the older call is ignored. */
static void
query_other_tables (CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      CcMirrorTable *t = &m->tables[i];

      if (i == CC_TABLE_CONFIG || (!t->running && !t->unavailable))
        continue;
      t->unconfirmed = TRUE;
      cc_timer_start (&t->timer, 0, on_watch_timer, t);
    }
}

/* Finishes the Call DATA, whose answer is STATUS, ROWS and UPTO, and frees it.
 * Returns its table, or NULL if a later call replaced it. */
static CcMirrorTable *
finish_call (gpointer data, CcStatus status, GVariant *rows, guint64 upto)
{
  Call *c = data;
  CcMirrorTable *t = c->table;
  gboolean is_last = c->number == t->calls;
  /* An answer without changes was given when the wait was over. */
  gint64 answered =
      c->sent_at + (g_variant_n_children (rows) == 0 ? c->wait : 0);

  if (status == CC_OK)
    {
      cc_version_clock_record (&t->mirror->clock, upto, answered);
      t->answered = answered;
    }
  g_free (c);
  return is_last ? t : NULL;
}

/* Records that the service answered this process or a peer between EARLIEST
 * and LATEST, us.
 *
 * Failure: the service stalls for a moment, and the call that it dropped times
 * out seconds later, while other calls are answered.  Symptom: the outage
 * appears to have lasted until that timeout, so recent deletions are treated as
 * uncertain, and requests are sent to upstreams that exited without notice.
 * The outage ended at the first answer after it at the latest, whichever
 * process received that; later answers don't move its end. */
void
cc_mirror_service_answered (CcMirror *m, gint64 earliest, gint64 latest)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      CcMirrorTable *t = &m->tables[i];

      if (!t->unavailable || t->recovered || earliest <= t->failed_call_at)
        continue;
      t->outage_at = latest;
      t->recovered = TRUE;
    }
}

/* Records an answer of the service about T: updates freshness and outage times,
 * and ends an outage of T. */
static void
record_answer (CcMirrorTable *t)
{
  CcMirror *m = t->mirror;
  gint64 now = cc_clock_now ();

  m->last_answer_at = m->answered_at = now;
  /* Freshness counts from when the answer was given, not from its arrival:
   * otherwise an answer that was delayed in transit, or while this process was
   * paused, would count as fresh here and at all that follow this copy. */
  t->fresh_at = MAX (t->fresh_at, t->answered);
  m->fresh_at = MAX (m->fresh_at, MIN (m->tables[CC_TABLE_CONFIG].fresh_at,
                                       m->tables[CC_TABLE_UPSTREAMS].fresh_at));
  t->unconfirmed = FALSE;
  t->pause = RETRY_MIN;
  cc_mirror_service_answered (m, t->answered, now);
  if (m->refreshing && t->name == CC_TABLE_CONFIG)
    cc_mirror_query_all (m);
  if (!t->unavailable)
    return;
  t->unavailable = FALSE;
  cc_event (CC_EVENT_STATE, "table-regained", "table", table_names[t->name],
            "gone_ms", cc_event_int ((now - t->outage_from) / CC_MS), NULL);
  if (t->name == CC_TABLE_CONFIG)
    query_other_tables (m);
}

/* Returns the maximum of the pause after failed calls, us. */
static gint64
retry_pause_max (const CcMirror *m)
{
  if (m->role.is_followed || m->role.fleet <= SMALL_FLEET)
    return RETRY_MAX;
  return MIN (RETRY_MAX * m->role.fleet / SMALL_FLEET, RETRY_MAX_LARGE);
}

/* Returns the minimum of the first pause after a failure, us; 0 where RETRY_MIN
 * applies. */
static gint64
retry_pause_first (const CcMirror *m)
{
  gint64 longest = retry_pause_max (m);

  return longest > RETRY_MAX ? (gint64) (RETRY_FIRST_PART * (double) longest)
                             : 0;
}

/* Returns the pause after a failed call about T, with jitter, us.
 *
 * Load pattern: the service is down for some seconds, and hundreds of processes
 * retry.  Those that nobody follows may retry rarely, since they learn of the
 * recovery from the peers that they follow. */
static gint64
retry_pause (const CcMirrorTable *t)
{
  const CcMirror *m = t->mirror;
  gint64 pause = MAX (t->pause, 20 * CC_MS);

  if (t->name != CC_TABLE_CONFIG && m->tables[CC_TABLE_CONFIG].unavailable &&
      m->tables[CC_TABLE_CONFIG].complete && t->complete)
    pause = MAX (RETRY_OTHER_TABLES, retry_pause_max (m));
  else
    pause = MAX (pause, retry_pause_first (m));
  return pause + (gint64) (g_random_double () * (double) pause / 2);
}

/* Returns TRUE if the last call about any table failed. */
gboolean
cc_mirror_is_cut_off (const CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    if (m->tables[i].unavailable)
      return TRUE;
  return FALSE;
}

/* Returns the latest time at which the last outage that this process observed
 * can have ended, us; 0 if there was none. */
gint64
cc_mirror_last_outage (const CcMirror *m)
{
  gint64 last = 0;

  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    last = MAX (last, m->tables[i].outage_at);
  return last;
}

/* Records that the last call about T failed for the reason WHY, schedules the
 * retry, and polls peers meanwhile. */
static void
record_failure (CcMirrorTable *t, const char *why)
{
  CcMirror *m = t->mirror;
  gint64 now = cc_clock_now ();

  /* A call that was dropped long ago is no sign of a present outage if this
   * process or a peer got an answer to a later call. */
  t->failed_call_at = t->sent_at;
  t->recovered = MAX (m->answered_at, m->peers_fresh_at) > t->sent_at;
  t->outage_at = t->recovered ? MAX (t->sent_at, t->outage_at) : now;
  if (!t->unavailable)
    {
      t->outage_from = now;
      cc_event (CC_EVENT_STATE, "table-lost", "table", table_names[t->name],
                "why", why, "version", cc_event_int ((gint64) t->view.upto),
                NULL);
    }
  t->unavailable = TRUE;
  cc_timer_start (&t->timer, retry_pause (t), on_watch_timer, t);
  t->pause = MIN (2 * t->pause, retry_pause_max (m));
  if (m->shared_outage)
    t->pause =
        MAX (t->pause, MIN (2 * retry_pause_first (m), retry_pause_max (m)));
  cc_mirror_poll_peers (m);
}

/* Stores a row in T and adds it to the changed rows.  Returns FALSE if it is
 * not newer than the one held. */
static gboolean
put_row (CcMirrorTable *t, const char *key, guint64 version, const char *value)
{
  if (!cc_view_put (&t->view, key, version, value))
    return FALSE;
  g_ptr_array_add (t->changed, (gpointer) cc_view_find (&t->view, key));
  return TRUE;
}

/* Notifies the owner that the rows in T->changed have changed. */
void
cc_mirror_notify (CcMirrorTable *t)
{
  t->mirror->setup.changed (t->name, t->mirror->setup.data);
  g_ptr_array_set_size (t->changed, 0);
}

/* Merges ROWS into T.  Returns TRUE if any row was newer than the one held.
 *
 * Failure: this process was restarted and read the table; a peer with an older
 * copy then sends it a row that had been deleted before the read.  Symptom:
 * requests go indefinitely to an upstream that no longer exists, since the
 * deletion is not reported a second time.  So a row with a version up to which
 * this copy is complete is ignored: it is either held already or deleted. */
gboolean
cc_mirror_put_rows (CcMirrorTable *t, GVariant *rows)
{
  guint64 known = t->complete ? t->view.upto : 0;
  GVariantIter i;
  const char *key, *value;
  guint64 version;
  gboolean changed = FALSE;

  g_variant_iter_init (&i, rows);
  while (g_variant_iter_next (&i, "(&st&s)", &key, &version, &value))
    if (version > known)
      changed |= put_row (t, key, version, value);
  return changed;
}

/* Marks the held rows that are missing in ROWS, the whole table at UPTO, as
 * deleted, unless they are newer.
 *
 * Failure: a deletion that is detected by a full read gets the version of that
 * read, so processes that follow this copy assume that the row was deleted only
 * then.  Symptom: they send to an upstream for longer than it serves.  All that
 * is known is that the row was deleted after it was written, so the deletion
 * gets the version that follows the row's. */
static gboolean
delete_missing (CcMirrorTable *t, GVariant *rows, guint64 upto)
{
  g_autoptr (GHashTable) present = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) held = cc_view_list (&t->view, "");
  GVariantIter i;
  const char *key, *value;
  guint64 version;
  gboolean changed = FALSE;

  g_variant_iter_init (&i, rows);
  while (g_variant_iter_next (&i, "(&st&s)", &key, &version, &value))
    if (value[0] != '\0')
      g_hash_table_add (present, (gpointer) key);
  for (guint k = 0; k < held->len; k++)
    {
      const CcRow *row = held->pdata[k];

      if (row->version <= upto && !g_hash_table_contains (present, row->key))
        changed |= put_row (t, row->key, row->version + 1, NULL);
    }
  return changed;
}

/* The whole table of T is of ERA.  If that is a new one, the service has lost
 * writes, and their authors write again what is missing, as after an outage. */
static void
note_era (CcMirrorTable *t, guint64 era)
{
  gint64 now = cc_clock_now ();

  if (era <= t->era)
    return;
  if (t->complete)
    {
      t->outage_at = now;
      cc_event (CC_EVENT_STATE, "table-lost-writes", "table",
                table_names[t->name], "era", cc_event_int ((gint64) era), NULL);
    }
  t->era = era;
}

/* Replaces the contents of T by ROWS, the whole table at UPTO; newer rows stay.
 * Returns TRUE if T has changed. */
gboolean
cc_mirror_put_snapshot (CcMirrorTable *t, GVariant *rows, guint64 upto)
{
  gboolean changed = cc_mirror_put_rows (t, rows);

  note_era (t, cc_row_era (upto));
  changed |= delete_missing (t, rows, upto);
  changed |= !t->complete;
  t->complete = TRUE;
  t->history_from = MAX (t->history_from, upto);
  cc_view_advance (&t->view, 0, upto);
  return changed;
}

/* Returns the pause between an answer with changes of T and the next watch, us.
 *
 * Load pattern: ranges move, and the granter writes rows ten to twenty times a
 * second.  It applies its own writes at once, so its watch only has to report
 * the few rows that other processes write. */
static gint64
pause_after_update (const CcMirrorTable *t)
{
  const CcMirror *m = t->mirror;

  if (cc_clock_now () - m->started_at < STARTUP_SPAN)
    return MAX (update_pause[t->name], STARTUP_PAUSE);
  if (t->name == CC_TABLE_STATE && m->role.distance == 0)
    return OWN_ROWS_PAUSE;
  return update_pause[t->name];
}

/* A watch has ended: applies its rows and continues, or reads the table whole
 * if the service has discarded the history. */
static void
on_watch_done (CcStatus status, GVariant *rows, guint64 upto, const char *why,
               gpointer data)
{
  CcMirrorTable *t = finish_call (data, status, rows, upto);

  if (t == NULL)
    return;
  if (status == CC_GONE)
    {
      cc_event (CC_EVENT_STATE, "history-forgotten", "table",
                table_names[t->name], "version",
                cc_event_int ((gint64) t->view.upto), "why", why, NULL);
      /* The followed peer may lack the same changes, so the table is read from
       * the service. */
      t->view.upto = 0;
      cc_mirror_query_service (t);
      return;
    }
  else if (status != CC_OK)
    {
      record_failure (t, why);
      return;
    }
  else
    {
      gboolean changed = cc_mirror_put_rows (t, rows);

      if (upto < t->view.upto && g_variant_n_children (rows) > 0)
        cc_event (CC_EVENT_STATE, "rows-ignored", "table", table_names[t->name],
                  "rows", cc_event_int ((gint64) g_variant_n_children (rows)),
                  "upto", cc_event_int ((gint64) upto), "held",
                  cc_event_int ((gint64) t->view.upto), NULL);
      record_answer (t);
      cc_view_advance (&t->view, t->view.upto, upto);
      if (changed)
        cc_mirror_notify (t);
      if (g_variant_n_children (rows) > 0)
        {
          cc_timer_start (&t->timer, pause_after_update (t), on_watch_timer, t);
          return;
        }
    }
  watch (t);
}

/* A read of the whole table has ended: applies it and begins to watch. */
static void
on_read_done (CcStatus status, GVariant *rows, guint64 upto, const char *why,
              gpointer data)
{
  CcMirrorTable *t = finish_call (data, status, rows, upto);

  if (t == NULL)
    return;
  if (status != CC_OK)
    {
      record_failure (t, why);
      return;
    }
  record_answer (t);
  if (cc_mirror_put_snapshot (t, rows, upto))
    cc_mirror_notify (t);
  watch (t);
}

/* The members are read: goes on with the rows of the peer to follow, or reads
 * the rest of the table if there is none. */
static void
on_members_read (CcStatus status, GVariant *rows, guint64 upto, const char *why,
                 gpointer data)
{
  CcMirrorTable *t = finish_call (data, status, rows, upto);

  if (t == NULL)
    return;
  if (status != CC_OK)
    {
      record_failure (t, why);
      return;
    }
  record_answer (t);
  t->mirror->knows_members = TRUE;
  if (cc_mirror_put_rows (t, rows))
    cc_mirror_notify (t);
  t->running = FALSE;
  if (!cc_mirror_awaits_peer (t) || !cc_mirror_follow (t->mirror))
    cc_mirror_query_service (t);
}

/* Returns how long the next watch of T may wait for a change, us.
 *
 * The watches of the configuration and of upstreams are the heartbeat by which
 * this process knows that the service is reachable, and peers how fresh its
 * copy is.  The time since the last answer counts against the wait. */
static gint64
watch_wait (const CcMirrorTable *t)
{
  /* After an outage the first answer is needed at once, even without a change:
   * until it arrives, deletions are treated as uncertain (targets.h).  And if
   * the service drops a call that was sent during its outage, a call that
   * should be answered at once reveals that early. */
  if (t->unavailable || t->unconfirmed)
    return 0;
  if (t->name == CC_TABLE_STATE)
    return WATCH_WAIT;
  /* The service takes the wait in whole milliseconds. */
  return CLAMP (t->fresh_at + FRESHNESS_WAIT - cc_clock_now (), 0,
                FRESHNESS_WAIT) /
         CC_MS * CC_MS;
}

static Call *
new_call (CcMirrorTable *t, gint64 wait)
{
  Call *c = g_new0 (Call, 1);

  c->table = t;
  c->number = ++t->calls;
  c->sent_at = t->sent_at = cc_clock_now ();
  c->wait = wait;
  return c;
}

/* Sends the next call about T to the service: a read of the members, a read of
 * the whole table, or a watch. */
void
cc_mirror_query_service (CcMirrorTable *t)
{
  CcMirror *m = t->mirror;
  gint64 wait = watch_wait (t);

  t->running = TRUE;
  if (t->name == CC_TABLE_STATE && !m->knows_members &&
      m->setup.members_from != NULL)
    cc_table_read_span (m->setup.table, t->name, m->setup.members_from,
                        m->setup.members_to, on_members_read, new_call (t, 0));
  else if (t->view.upto == 0 || !t->complete)
    cc_table_read (m->setup.table, t->name, NULL, on_read_done,
                   new_call (t, 0));
  else
    cc_table_watch (m->setup.table, t->name, t->view.upto, wait, on_watch_done,
                    new_call (t, wait));
}

/* Returns TRUE if T is not complete and its rows are expected from a peer.
 *
 * Load pattern: hundreds of processes start together, and each reads every
 * table from the service page by page, which takes about twelve calls each
 * within two seconds. */
gboolean
cc_mirror_awaits_peer (const CcMirrorTable *t)
{
  const CcMirror *m = t->mirror;

  return !t->complete && (t->name != CC_TABLE_STATE || m->knows_members) &&
         !m->role.reads_all && cc_clock_now () < m->start_until;
}

/* Returns TRUE while this process watches the service directly because the peer
 * that it lost is still the one to follow. */
static gboolean
watches_directly (CcMirror *m)
{
  g_autofree char *address = NULL;

  if (cc_clock_now () >= m->direct_until)
    return FALSE;
  address = m->setup.peer (CC_PEER_FOLLOWED, m->setup.data);
  if (g_strcmp0 (address, m->lost_address) != 0)
    m->direct_until = 0;
  return m->direct_until != 0;
}

/* Continues to track T: through a peer's copy if there is a peer to follow,
 * otherwise through the service. */
static void
watch (CcMirrorTable *t)
{
  CcMirror *m = t->mirror;

  t->running = FALSE;
  if (cc_mirror_awaits_peer (t))
    return;
  if (!t->complete || t->unavailable || watches_directly (m) ||
      !cc_mirror_follow (m))
    cc_mirror_query_service (t);
}

/* Frees M.  None of its pending calls may end afterwards. */
void
cc_mirror_free (CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      cc_timer_stop (&m->tables[i].timer);
      cc_view_clear (&m->tables[i].view);
      g_ptr_array_unref (m->tables[i].changed);
    }
  cc_timer_stop (&m->poll_timer);
  cc_timer_stop (&m->follow_timer);
  cc_timer_stop (&m->start);
  g_free (m->followed);
  g_free (m->lost_address);
  g_free (m);
}

/* Starts to read the tables that are not complete yet. */
static void
read_missing (CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    if (!m->tables[i].complete && !m->tables[i].running)
      watch (&m->tables[i]);
}

static void
on_start_timeout (gpointer data)
{
  read_missing (data);
}

static void
on_start (gpointer data)
{
  CcMirror *m = data;

  m->start_until = cc_clock_now () + PEER_ROWS_TIMEOUT;
  cc_timer_start (&m->start, PEER_ROWS_TIMEOUT, on_start_timeout, m);
  read_missing (m);
}

/* Starts to read and follow the tables after PAUSE, us. */
void
cc_mirror_start (CcMirror *m, gint64 pause)
{
  m->started_at = cc_clock_now ();
  if (pause > 0)
    cc_timer_start (&m->start, pause, on_start, m);
  else
    on_start (m);
}

/* Sets the role of this process. */
void
cc_mirror_set_role (CcMirror *m, const CcMirrorRole *role)
{
  m->role = *role;
  if (role->reads_all)
    read_missing (m);
}

/* Records that the lease's row has had VERSION since SEEN_AT, us, by this
 * process's own write or a peer's update. */
void
cc_mirror_lease_renewed (CcMirror *m, guint64 version, gint64 seen_at)
{
  if (version <= m->lease)
    return;
  m->lease = version;
  m->lease_seen_at = seen_at;
  m->setup.changed (CC_TABLE_LEASE, m->setup.data);
}

/* Records that this process's own write to the lease's row, sent at SENT, us,
 * took effect as VERSION together with ROWS (a(sts)) of STATE. */
void
cc_mirror_lease_written (CcMirror *m, guint64 version, gint64 sent,
                         GVariant *rows)
{
  CcMirrorTable *t = &m->tables[CC_TABLE_STATE];

  cc_version_clock_record (&m->clock, version, sent);
  if (cc_mirror_put_rows (t, rows))
    cc_mirror_notify (t);
  if (t->complete)
    cc_view_advance (&t->view, version - 1, version);
  cc_mirror_lease_renewed (m, version, cc_clock_now ());
}

/* Returns the newest known version of the lease's row, 0 if none, and in
 * *SEEN_AT when it was first seen, us. */
guint64
cc_mirror_lease (const CcMirror *m, gint64 *seen_at)
{
  *seen_at = m->lease_seen_at;
  return m->lease;
}

/* Returns the rows of table NAME. */
CcView *
cc_mirror_view (CcMirror *m, CcTableName name)
{
  return &m->tables[name].view;
}

/* Returns the changed rows (CcRow) of table NAME; valid only during a call of
 * the CHANGED callback. */
const GPtrArray *
cc_mirror_changed (const CcMirror *m, CcTableName name)
{
  return m->tables[name].changed;
}

/* Returns TRUE if table NAME was read whole, so that a missing row does not
 * exist. */
gboolean
cc_mirror_is_complete (const CcMirror *m, CcTableName name)
{
  return m->tables[name].complete;
}

/* Returns the clock that relates versions of the service to the times at which
 * they were written. */
const CcVersionClock *
cc_mirror_clock (const CcMirror *m)
{
  return &m->clock;
}

/* Returns when a call to the table service last failed for this process or the
 * peer that it follows, us; 0 if never.  The service may have answered other
 * processes meanwhile. */
gint64
cc_mirror_own_outage (const CcMirror *m)
{
  return MAX (m->followed_outage, cc_mirror_last_outage (m));
}

/* Returns when the table service last failed, us; 0 if never.  An outage that a
 * peer with a fresher copy did not observe does not count. */
gint64
cc_mirror_outage (const CcMirror *m)
{
  gint64 last = cc_mirror_last_outage (m);

  return last <= m->peers_fresh_at ? MIN (last, m->peers_outage_at) : last;
}

/* Returns when the table service or the followed peer last answered, us; 0 if
 * never. */
gint64
cc_mirror_answered_at (const CcMirror *m)
{
  return m->last_answer_at;
}

/* Returns the time from the last answer of the table service or the followed
 * peer to NOW, us. */
gint64
cc_mirror_age (const CcMirror *m, gint64 now)
{
  return now - m->last_answer_at;
}
