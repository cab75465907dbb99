/* Each table is read whole once and then watched: the table service answers a
 * watch as soon as something has changed.  Where the service forgets its
 * history, the table is read whole again.  How the copies of other processes
 * are followed stands in mirror_peers.c.
 *
 * Load pattern: the service is down for all, and every process asks it again
 * and again for each table, thousands of calls in a few seconds.  So in an
 * outage only the configuration is asked for, and in a large fleet most
 * processes ask rarely: they hear from those that ask often. */
#include "mirror.h"

#include "clock.h"
#include "event_log.h"
#include "mirror_state.h"

/* The watch of ranges and members is asked anew after so long without a change.
 * Failure: the answer of one is lost, alone, and its connection delivers
 * nothing more; until it is given up this copy, and all that go by it, lack
 * what has changed.  A request that goes by an old range is turned away by the
 * upstream and sent on, so that this watch may be slower than the others. */
#define WATCH_WAIT (2 * CC_SECOND)
/* Pause after a failed call; doubled each time up to the longest.  The longest
 * bounds how late a change is seen when the service is back. */
#define PAUSE_FIRST (60 * CC_MS)
#define PAUSE_MAX (350 * CC_MS)
/* In a fleet of more than FLEET_SMALL the pause of those that nobody follows
 * grows with the fleet, so that all together ask as often as a small one. */
#define FLEET_SMALL 12
#define PAUSE_LONGEST (10 * CC_SECOND)
#define PAUSE_FIRST_PART 0.125 /* ... of that, for the first */
/* In an outage the other tables are asked for when the configuration's answer
 * shows that the service is back, or after this long. */
#define PAUSE_OTHERS (3 * CC_SECOND)
/* Who watches hears from the service this often, by each of the watches of what
 * has a bound: a change of the configuration has to be in force everywhere
 * within 2 s, and an upstream that leaves serves for no longer.
 *
 * Failure: one watch is lost, of upstreams, while the other is answered.
 * Symptom: the copy passes for new, here and at all that go by it, and requests
 * are sent to upstreams that have ended.  So it is as old as the older of the
 * two, and a lost watch shows like a lost granter.  Only the few processes that
 * watch pay for it. */
#define WATCH_FRESH (600 * CC_MS)
/* All processes of a fleet start together and register; nothing is served yet,
 * and news may come in larger pieces. */
#define STARTING (5 * CC_SECOND)
#define STARTING_PAUSE (600 * CC_MS)
#define OWN_ROWS_PAUSE                                                         \
  (300 * CC_MS) /* ... where the process writes most rows */
/* A process that starts reads who is there, and has all other rows from the one
 * that it follows.  If that one can't give them within this time, or there is
 * none, it reads them itself. */
#define START_TIMEOUT (1 * CC_SECOND)

/* A call to the service about one table. */
typedef struct
{
  CcMirrorTable *table;
  guint number; /* among its calls */
  gint64 asked; /* us */
  gint64 wait;  /* for news, us */
} Call;

/* Pause between an answer with news and the next watch.  When many rows change
 * one after the other, as upstreams do that start together, each would else
 * cost every process of the fleet a call.  Ranges of keys are short of time:
 * requests wait for them. */
static const gint64 news_pause[CC_TABLE_FOLLOWED] = {
  [CC_TABLE_CONFIG] = 200 * CC_MS,
  [CC_TABLE_UPSTREAMS] = 250 * CC_MS,
  [CC_TABLE_STATE] = 15 * CC_MS,
};

static const char *const table_names[] = { "configuration", "upstreams",
                                           "state" };

static void watch (CcMirrorTable *t);

/* A mirror that goes by SETUP, whose objects must last. */
CcMirror *
cc_mirror_new (const CcMirrorSetup *setup)
{
  CcMirror *m = g_new0 (CcMirror, 1);

  m->setup = *setup;
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      m->tables[i].mirror = m;
      m->tables[i].name = (CcTableName) i;
      m->tables[i].pause = PAUSE_FIRST;
      cc_view_init (&m->tables[i].view);
      m->tables[i].changed = g_ptr_array_new ();
    }
  return m;
}

static void
on_pause_over (gpointer data)
{
  watch (data);
}

/* The service is back.  Failure: it swallowed a watch of another table while it
 * was silent, and this entry would wait for its end in vain for seconds.  So
 * each other table is asked for anew, and the older call's answer is not waited
 * for. */
static void
ask_for_others (CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      CcMirrorTable *t = &m->tables[i];

      if (i == CC_TABLE_CONFIG || (!t->running && !t->unavailable))
        continue;
      t->unproven = TRUE;
      cc_timer_start (&t->timer, 0, on_pause_over, t);
    }
}

/* Takes the Call DATA and frees it.  STATUS, ROWS and UPTO are its answer.
 * NULL: a later one was made since. */
static CcMirrorTable *
end_call (gpointer data, CcStatus status, GVariant *rows, guint64 upto)
{
  Call *c = data;
  CcMirrorTable *t = c->table;
  gboolean is_last = c->number == t->calls;
  /* Without news it was answered when its wait was over. */
  gint64 answered = c->asked + (g_variant_n_children (rows) == 0 ? c->wait : 0);

  if (status == CC_OK)
    {
      cc_version_clock_note (&t->mirror->clock, upto, answered);
      t->answered = answered;
    }
  g_free (c);
  return is_last ? t : NULL;
}

/* The service answered this process or a peer between EARLIEST and LATEST, us.
 *
 * Failure: it was silent for a moment, and the call that it swallowed is given
 * up seconds later, while other calls are answered all the time.  Symptom: the
 * outage is taken to have lasted until then, so deletions of just now are
 * doubted, and upstreams that left without a word are sent to after they have
 * ended.  The service was silent until its first answer after the outage at
 * the latest, whoever got that; what comes later moves nothing. */
void
cc_mirror_service_well (CcMirror *m, gint64 earliest, gint64 latest)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      CcMirrorTable *t = &m->tables[i];

      if (!t->unavailable || t->relieved || earliest <= t->failed_asked)
        continue;
      t->outage_at = latest;
      t->relieved = TRUE;
    }
}

static void
note_answer (CcMirrorTable *t)
{
  CcMirror *m = t->mirror;
  gint64 now = cc_clock_now ();

  m->heard_at = m->answered_at = now;
  /* By when the answer was given and not by when it came, or what was on its
   * way for a while, or waited for a process that stood still, would pass for
   * new at all that go by this copy. */
  t->fresh_at = MAX (t->fresh_at, t->answered);
  m->fresh_at = MAX (m->fresh_at, MIN (m->tables[CC_TABLE_CONFIG].fresh_at,
                                       m->tables[CC_TABLE_UPSTREAMS].fresh_at));
  t->unproven = FALSE;
  t->pause = PAUSE_FIRST;
  cc_mirror_service_well (m, t->answered, now);
  if (m->refreshing && t->name == CC_TABLE_CONFIG)
    cc_mirror_ask_all (m);
  if (!t->unavailable)
    return;
  t->unavailable = FALSE;
  cc_event (CC_EVENT_STATE, "table-regained", "table", table_names[t->name],
            "gone_ms", cc_event_int ((now - t->outage_from) / CC_MS), NULL);
  if (t->name == CC_TABLE_CONFIG)
    ask_for_others (m);
}

static gint64
longest_pause (const CcMirror *m)
{
  if (m->role.is_followed || m->role.fleet <= FLEET_SMALL)
    return PAUSE_MAX;
  return MIN (PAUSE_MAX * m->role.fleet / FLEET_SMALL, PAUSE_LONGEST);
}

static gint64
first_pause (const CcMirror *m)
{
  gint64 longest = longest_pause (m);

  return longest > PAUSE_MAX ? (gint64) (PAUSE_FIRST_PART * (double) longest)
                             : 0;
}

/* Load pattern: the service is down for some seconds, and hundreds of processes
 * ask it again.  Nobody goes by their copies, and they hear of its return from
 * those that they follow. */
static gint64
pause_after_failure (const CcMirrorTable *t)
{
  const CcMirror *m = t->mirror;
  gint64 pause = MAX (t->pause, 20 * CC_MS);

  if (t->name != CC_TABLE_CONFIG && m->tables[CC_TABLE_CONFIG].unavailable &&
      m->tables[CC_TABLE_CONFIG].complete && t->complete)
    pause = MAX (PAUSE_OTHERS, longest_pause (m));
  else
    pause = MAX (pause, first_pause (m));
  return pause + (gint64) (g_random_double () * (double) pause / 2);
}

/* Whether the last call about some table failed. */
gboolean
cc_mirror_is_cut_off (const CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    if (m->tables[i].unavailable)
      return TRUE;
  return FALSE;
}

/* When the service was last silent to this process, as far as that can be told,
 * us; 0: never. */
gint64
cc_mirror_last_outage (const CcMirror *m)
{
  gint64 last = 0;

  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    last = MAX (last, m->tables[i].outage_at);
  return last;
}

static void
note_failure (CcMirrorTable *t, const char *why)
{
  CcMirror *m = t->mirror;
  gint64 now = cc_clock_now ();

  /* A call that was swallowed long ago is no sign of an outage after an answer
   * to a later one, whoever got that. */
  t->failed_asked = t->asked;
  t->relieved = MAX (m->answered_at, m->others_fresh) > t->asked;
  t->outage_at = t->relieved ? MAX (t->asked, t->outage_at) : now;
  if (!t->unavailable)
    {
      t->outage_from = now;
      cc_event (CC_EVENT_STATE, "table-lost", "table", table_names[t->name],
                "why", why, "version", cc_event_int ((gint64) t->view.upto),
                NULL);
    }
  t->unavailable = TRUE;
  cc_timer_start (&t->timer, pause_after_failure (t), on_pause_over, t);
  t->pause = MIN (2 * t->pause, longest_pause (m));
  if (m->shared_outage)
    t->pause = MAX (t->pause, MIN (2 * first_pause (m), longest_pause (m)));
  cc_mirror_ask_anyone (m);
}

static gboolean
put_row (CcMirrorTable *t, const char *key, guint64 version, const char *value)
{
  if (!cc_view_put (&t->view, key, version, value))
    return FALSE;
  g_ptr_array_add (t->changed, (gpointer) cc_view_find (&t->view, key));
  return TRUE;
}

/* Notifies the owner that rows of T have changed. */
void
cc_mirror_notify (CcMirrorTable *t)
{
  t->mirror->setup.changed (t->name, t->mirror->setup.data);
  g_ptr_array_set_size (t->changed, 0);
}

/* Takes ROWS of T.  Returns TRUE if any was news.
 *
 * Failure: this process was started again and read the table; a peer with an
 * older copy gives it a row that was deleted before that.  Symptom: requests go
 * to an upstream that is gone, for ever, since nothing tells of the deletion a
 * second time.  So a row from before what this copy is complete up to is not
 * taken: it is either held or deleted. */
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

/* Rows that are held and that ROWS, all of the table at UPTO, do not have were
 * deleted, unless they are newer.
 *
 * Failure: a deletion that is found by a whole reading bears the version of
 * that reading, and those who have it from here take it for no older.  Symptom:
 * they send to an upstream for longer than it serves.  All that is known is
 * that the row was deleted after it was written, so it bears the next version.
 */
static gboolean
drop_missing (CcMirrorTable *t, GVariant *rows, guint64 upto)
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

/* Takes ROWS, all of T at UPTO.  Returns TRUE if T has changed. */
gboolean
cc_mirror_put_whole (CcMirrorTable *t, GVariant *rows, guint64 upto)
{
  gboolean changed = cc_mirror_put_rows (t, rows);

  changed |= drop_missing (t, rows, upto);
  changed |= !t->complete;
  t->complete = TRUE;
  t->history_from = MAX (t->history_from, upto);
  cc_view_advance (&t->view, 0, upto);
  return changed;
}

/* Load pattern: ranges move, and the process that grants them writes rows ten
 * to twenty times a second.  It knows these rows, and need not be told of each;
 * its watch is for the few that others write. */
static gint64
pause_after_rows (const CcMirrorTable *t)
{
  const CcMirror *m = t->mirror;

  if (cc_clock_now () - m->started_at < STARTING)
    return MAX (news_pause[t->name], STARTING_PAUSE);
  if (t->name == CC_TABLE_STATE && m->role.distance == 0)
    return OWN_ROWS_PAUSE;
  return news_pause[t->name];
}

static void
on_watched (CcStatus status, GVariant *rows, guint64 upto, const char *why,
            gpointer data)
{
  CcMirrorTable *t = end_call (data, status, rows, upto);

  if (t == NULL)
    return;
  if (status == CC_GONE)
    {
      cc_event (CC_EVENT_STATE, "history-forgotten", "table",
                table_names[t->name], "version",
                cc_event_int ((gint64) t->view.upto), NULL);
      /* Whoever is followed may lack what this question was about. */
      t->view.upto = 0;
      cc_mirror_ask_service (t);
      return;
    }
  else if (status != CC_OK)
    {
      note_failure (t, why);
      return;
    }
  else
    {
      gboolean news = cc_mirror_put_rows (t, rows);

      note_answer (t);
      cc_view_advance (&t->view, t->view.upto, upto);
      if (news)
        cc_mirror_notify (t);
      if (g_variant_n_children (rows) > 0)
        {
          cc_timer_start (&t->timer, pause_after_rows (t), on_pause_over, t);
          return;
        }
    }
  watch (t);
}

static void
on_read (CcStatus status, GVariant *rows, guint64 upto, const char *why,
         gpointer data)
{
  CcMirrorTable *t = end_call (data, status, rows, upto);

  if (t == NULL)
    return;
  if (status != CC_OK)
    {
      note_failure (t, why);
      return;
    }
  note_answer (t);
  if (cc_mirror_put_whole (t, rows, upto))
    cc_mirror_notify (t);
  watch (t);
}

/* Goes on by the rows of the one that is to be followed, or reads them where
 * there is none. */
static void
on_members_read (CcStatus status, GVariant *rows, guint64 upto, const char *why,
                 gpointer data)
{
  CcMirrorTable *t = end_call (data, status, rows, upto);

  if (t == NULL)
    return;
  if (status != CC_OK)
    {
      note_failure (t, why);
      return;
    }
  note_answer (t);
  t->mirror->knows_members = TRUE;
  if (cc_mirror_put_rows (t, rows))
    cc_mirror_notify (t);
  t->running = FALSE;
  if (!cc_mirror_awaits_peer (t) || !cc_mirror_follow (t->mirror))
    cc_mirror_ask_service (t);
}

/* The watches of the configuration and of upstreams are the heartbeat by which
 * this process knows that it hears from the service, and others how fresh its
 * copy is; after a pause they wait for less. */
static gint64
watch_wait (const CcMirrorTable *t)
{
  /* After an outage the first answer is wanted at once, whether or not anything
   * has changed: until then deletions are doubted (targets.h).  And the service
   * may have swallowed a question that began while it was silent: one that is
   * to be answered at once shows that soon. */
  if (t->unavailable || t->unproven)
    return 0;
  if (t->name == CC_TABLE_STATE)
    return WATCH_WAIT;
  /* In whole milliseconds, as the service counts them. */
  return CLAMP (t->fresh_at + WATCH_FRESH - cc_clock_now (), 0, WATCH_FRESH) /
         CC_MS * CC_MS;
}

static Call *
new_call (CcMirrorTable *t, gint64 wait)
{
  Call *c = g_new0 (Call, 1);

  c->table = t;
  c->number = ++t->calls;
  c->asked = t->asked = cc_clock_now ();
  c->wait = wait;
  return c;
}

/* Asks the service for T. */
void
cc_mirror_ask_service (CcMirrorTable *t)
{
  CcMirror *m = t->mirror;
  gint64 wait = watch_wait (t);

  t->running = TRUE;
  if (t->name == CC_TABLE_STATE && !m->knows_members &&
      m->setup.members_from != NULL)
    cc_table_read_span (m->setup.table, t->name, m->setup.members_from,
                        m->setup.members_to, on_members_read, new_call (t, 0));
  else if (t->view.upto == 0 || !t->complete)
    cc_table_read (m->setup.table, t->name, NULL, on_read, new_call (t, 0));
  else
    cc_table_watch (m->setup.table, t->name, t->view.upto, wait, on_watched,
                    new_call (t, wait));
}

/* Whether the rows of T, which is not complete, are expected of a peer.
 *
 * Load pattern: hundreds of processes start together, and each reads every
 * table from the service, page by page: a dozen calls each within two seconds.
 */
gboolean
cc_mirror_awaits_peer (const CcMirrorTable *t)
{
  const CcMirror *m = t->mirror;

  return !t->complete && (t->name != CC_TABLE_STATE || m->knows_members) &&
         !m->role.reads_all && cc_clock_now () < m->start_until;
}

/* Whether this process watches by itself: while the one that it lost is still
 * the one to be followed. */
static gboolean
watches_itself (CcMirror *m)
{
  g_autofree char *address = NULL;

  if (cc_clock_now () >= m->self_until)
    return FALSE;
  address = m->setup.peer (CC_PEER_FOLLOWED, m->setup.data);
  if (g_strcmp0 (address, m->lost_address) != 0)
    m->self_until = 0;
  return m->self_until != 0;
}

/* Goes on with T: by another's copy if there is one to follow. */
static void
watch (CcMirrorTable *t)
{
  CcMirror *m = t->mirror;

  t->running = FALSE;
  if (cc_mirror_awaits_peer (t))
    return;
  if (!t->complete || t->unavailable || watches_itself (m) ||
      !cc_mirror_follow (m))
    cc_mirror_ask_service (t);
}

/* Frees M; its calls must have ended or never end. */
void
cc_mirror_free (CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      cc_timer_stop (&m->tables[i].timer);
      cc_view_clear (&m->tables[i].view);
      g_ptr_array_unref (m->tables[i].changed);
    }
  cc_timer_stop (&m->asks);
  cc_timer_stop (&m->again);
  cc_timer_stop (&m->start);
  g_free (m->followed);
  g_free (m->lost_address);
  g_free (m);
}

/* Reads what is not read yet. */
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

  m->start_until = cc_clock_now () + START_TIMEOUT;
  cc_timer_start (&m->start, START_TIMEOUT, on_start_timeout, m);
  read_missing (m);
}

/* Begins to follow after PAUSE, us. */
void
cc_mirror_start (CcMirror *m, gint64 pause)
{
  m->started_at = cc_clock_now ();
  if (pause > 0)
    cc_timer_start (&m->start, pause, on_start, m);
  else
    on_start (m);
}

/* From now on this process has ROLE. */
void
cc_mirror_set_role (CcMirror *m, const CcMirrorRole *role)
{
  m->role = *role;
  if (role->reads_all)
    read_missing (m);
}

/* The lease's row has had VERSION since SEEN_AT, us, by this process's own
 * write or a peer's word. */
void
cc_mirror_lease_renewed (CcMirror *m, guint64 version, gint64 seen_at)
{
  if (version <= m->lease)
    return;
  m->lease = version;
  m->lease_at = seen_at;
  m->setup.changed (CC_TABLE_LEASE, m->setup.data);
}

/* This process's own write to the lease's row, SENT, took effect as VERSION,
 * with ROWS (a(sts)) of STATE. */
void
cc_mirror_lease_written (CcMirror *m, guint64 version, gint64 sent,
                         GVariant *rows)
{
  CcMirrorTable *t = &m->tables[CC_TABLE_STATE];

  cc_version_clock_note (&m->clock, version, sent);
  if (cc_mirror_put_rows (t, rows))
    cc_mirror_notify (t);
  if (t->complete)
    cc_view_advance (&t->view, version - 1, version);
  cc_mirror_lease_renewed (m, version, cc_clock_now ());
}

/* The newest version of the lease's row that was heard of, 0 if none, which was
 * first seen at *SEEN_AT, us. */
guint64
cc_mirror_lease (const CcMirror *m, gint64 *seen_at)
{
  *seen_at = m->lease_at;
  return m->lease;
}

/* The rows of table NAME. */
CcView *
cc_mirror_view (CcMirror *m, CcTableName name)
{
  return &m->tables[name].view;
}

/* The rows (CcRow) that a call of CHANGED about table NAME is about, during
 * that call. */
const GPtrArray *
cc_mirror_changed (const CcMirror *m, CcTableName name)
{
  return m->tables[name].changed;
}

/* Whether table NAME was read whole, so that what it lacks is not there. */
gboolean
cc_mirror_is_complete (const CcMirror *m, CcTableName name)
{
  return m->tables[name].complete;
}

/* When the service's versions were written. */
const CcVersionClock *
cc_mirror_clock (const CcMirror *m)
{
  return &m->clock;
}

/* When a call to the table service last failed this process or the one that it
 * follows, though it may have answered others all the while, us; 0: never. */
gint64
cc_mirror_own_outage (const CcMirror *m)
{
  return MAX (m->followed_outage, cc_mirror_last_outage (m));
}

/* When the table service last failed, as far as is known for all, us; 0: never.
 */
gint64
cc_mirror_outage (const CcMirror *m)
{
  gint64 last = cc_mirror_last_outage (m);

  return last <= m->others_fresh ? MIN (last, m->others_outage) : last;
}

/* When the table service or the peer that is followed last answered, us; 0:
 * never. */
gint64
cc_mirror_answered_at (const CcMirror *m)
{
  return m->heard_at;
}

/* How long the table service has not answered, us. */
gint64
cc_mirror_age (const CcMirror *m, gint64 now)
{
  return now - m->heard_at;
}
