/* Follows the copy of another process, and serves this process's copy to the
 * processes that follow it.
 *
 * Load pattern: each changed row costs each process that watches it a call, and
 * calls are expensive: a fleet of hundreds would make thousands for one move of
 * keys.  So one process watches for the whole fleet, the granter, which calls
 * the service regularly anyway to renew its lease.  The other processes follow
 * its copy, or that of a relay which follows it (members.h), by long polls that
 * are answered on an update.  Answers also carry the version of the lease, so
 * that a lost granter is detected without a call.
 *
 * Failure: the followed process is cut off from the service or exits.  Symptom:
 * this process routes by stale rows.  Each answer says how long ago its rows
 * were known to be fresh; a follower that finds them older than MAX_AGE, or
 * gets no answer, queries the service for all newer rows.  If it follows the
 * granter and got no answer, it then watches the service directly for
 * DIRECT_WATCH.  That is soon enough for a change of configuration, which must
 * be in force everywhere within 2 s.
 *
 * Failure: the service rejects this machine while it serves others.  So while a
 * watch fails, the same rows are requested from a peer, a random one each time.
 * Rows carry versions, so the order in which updates arrive does not matter
 * (view.h). */
#include "clock.h"
#include "event_log.h"
#include "mirror_state.h"
#include "row_codec.h"
#include "row_version.h"

#define PEER_POLL_PERIOD (400 * CC_MS) /* between polls of peers */
#define PEER_TIMEOUT (300 * CC_MS)     /* a reachable peer answers in 10 ms */
/* Oldest acceptable copy of the granter, and of a relay.  Rows have an age of
 * at most FRESHNESS_WAIT at the granter, and little more at a relay, which
 * forwards at once what it receives with each renewal of the lease.  A relay
 * finds its source stale before its followers find the relay stale, and has
 * fresh rows again before they abandon it. */
#define MAX_AGE (1100 * CC_MS)
#define MAX_AGE_RELAYED (1600 * CC_MS)
/* Longest wait of a request for an update.  The granter renews its lease more
 * often, so that most requests are answered by a renewal.  FOLLOW_TIMEOUT is
 * added to the wait; a peer answers in 10 ms. */
#define FOLLOW_WAIT (900 * CC_MS)
#define FOLLOW_TIMEOUT (250 * CC_MS)
/* The timeout is extended while an answer keeps arriving, up to a limit, so
 * that a relay with a slow link does not keep its followers without updates. */
#define FOLLOW_STALL_TIMEOUT (500 * CC_MS)
#define FOLLOW_EXTEND_MAX (700 * CC_MS)
/* The wait is shorter if this copy would be stale before its end, but not below
 * this: otherwise a peer with a stale copy would be polled in a busy loop. */
#define FOLLOW_WAIT_MIN (200 * CC_MS)
/* After a failure of the followed peer the service is watched directly for this
 * time, which covers a typical network partition, or until the peer answers
 * again; the peer is polled at LOST_RETRY_PERIOD. */
#define DIRECT_WATCH (5 * CC_SECOND)
#define LOST_RETRY_PERIOD (1 * CC_SECOND)
/* For processes that follow relays: how often the service is queried for all
 * tables while every relay has a stale copy, and the pause after a relay that
 * did not answer. */
#define REFRESH_PERIOD (800 * CC_MS)
#define FOLLOW_RETRY_PAUSE (60 * CC_MS)

/* A peer's answer, with all times in us: how long it held the request; the age
 * of its rows; the time since its last outage of the service (-1: none); the
 * newest version of the lease's row that it knows, and the time since that was
 * first seen; the newest mark of its version clock, and its age; and for each
 * table, the version after which and the version up to which the rows are
 * complete, and the rows. */
#define PEER_TABLES "a(tt" CC_ROWS_TYPE ")"
#define PEER_TYPE "(xxxtxtx" PEER_TABLES ")"

/* Encodes the rows that were written after SINCE[table] for a peer whose
 * request was HELD for that long, us.
 *
 * Failure: a row is deleted, this process reads the whole table after that, and
 * a peer with an older copy begins to follow it.  Symptom: no row reports the
 * deletion to that peer, and it keeps sending requests to an upstream that no
 * longer exists.  So a peer whose version is older than the known history
 * gets the whole table, and deletes what that lacks. */
GBytes *
cc_mirror_rows_since (CcMirror *m, const guint64 *since, gint64 held)
{
  GVariantBuilder b;
  g_autoptr (GVariant) all = NULL;
  gint64 now = cc_clock_now ();
  gint64 outage = MAX (cc_mirror_last_outage (m), m->followed_outage);
  CcVersionMark mark = cc_version_clock_newest (&m->clock);

  g_variant_builder_init (&b, G_VARIANT_TYPE (PEER_TABLES));
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      CcMirrorTable *t = &m->tables[i];
      guint64 from = since[i] < t->history_from ? 0 : since[i];

      g_variant_builder_add (&b, "(tt@" CC_ROWS_TYPE ")", from,
                             t->complete ? t->view.upto : 0,
                             cc_rows_encode (&t->view, from));
    }
  all = g_variant_ref_sink (g_variant_new (
      "(xxxtxtx@" PEER_TABLES ")", held, now - m->fresh_at,
      outage != 0 ? now - outage : -1, m->lease, now - m->lease_seen_at,
      mark.version, now - mark.at, g_variant_builder_end (&b)));
  return g_variant_get_data_as_bytes (all);
}

/* Returns TRUE if this copy has anything newer than SINCE. */
gboolean
cc_mirror_has_updates (const CcMirror *m, const guint64 *since)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    if (m->tables[i].complete && m->tables[i].view.upto > since[i])
      return TRUE;
  return m->lease > since[CC_TABLE_LEASE];
}

/* One table of a peer's answer. */
typedef struct
{
  guint64 since;
  guint64 upto;
  GVariant *rows; /* a(sts) */
} PeerTable;

/* Applies one table of a peer's answer to T.  An answer from version 0 on holds
 * the whole table. */
static void
apply_peer_table (CcMirrorTable *t, const PeerTable *p)
{
  gboolean is_whole = p->since == 0 && p->upto > 0;
  gboolean changed = is_whole ? cc_mirror_put_snapshot (t, p->rows, p->upto)
                              : cc_mirror_put_rows (t, p->rows);

  if (t->complete)
    cc_view_advance (&t->view, p->since, p->upto);
  if (changed)
    cc_mirror_notify (t);
}

static void
peer_tables_clear (PeerTable *all)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    g_clear_pointer (&all[i].rows, g_variant_unref);
}

/* Decodes TABLES into ALL, which is empty.  Returns FALSE, with nothing
 * allocated, if any of their rows is damaged. */
static gboolean
read_peer_tables (GVariant *tables, PeerTable *all)
{
  if (g_variant_n_children (tables) != CC_TABLE_FOLLOWED)
    return FALSE;
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      g_autoptr (GVariant) encoded = NULL;
      GVariant *rows;

      g_variant_get_child (tables, i, "(tt@" CC_ROWS_TYPE ")", &all[i].since,
                           &all[i].upto, &encoded);
      rows = cc_rows_decode (encoded);
      if (rows == NULL)
        {
          peer_tables_clear (all);
          return FALSE;
        }
      all[i].rows = g_variant_ref_sink (rows);
    }
  return TRUE;
}

/* Whether the tables ALL of a peer are of an era that has ended: it has not
 * read the service since, or its build knows no eras. */
static gboolean
is_of_older_era (const CcMirror *m, const PeerTable *all)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    if (all[i].upto != 0 && cc_row_era (all[i].upto) < m->tables[i].era)
      return TRUE;
  return FALSE;
}

/* Records that a peer's rows were fresh AGE us before it gave its answer, which
 * arrived at NOW after at most TRANSIT us, and that its last outage of the
 * service was OUTAGE us ago (-1: none).
 *
 * Failure: this process alone loses its connection to the service, or learns
 * late that an outage is over.  Symptom: it treats upstreams that left
 * meanwhile as ones whose rows expired in the outage, and sends to them after
 * they have exited.  A peer that received an answer of the service after this
 * process's own outage knows when the service's last outage was. */
static void
record_peer_freshness (CcMirror *m, gint64 age, gint64 transit, gint64 outage,
                       gint64 now)
{
  if (now - transit - age <= m->peers_fresh_at)
    return;
  m->peers_fresh_at = now - transit - age;
  m->peers_outage_at = outage < 0 ? 0 : now - outage;
  cc_mirror_service_answered (m, m->peers_fresh_at, now - age);
}

/* Returns the longest time that a peer's answer can have been in transit, us:
 * it arrived at NOW, the request was sent at SENT_AT, and the peer held it for
 * HELD us.
 *
 * Failure: the answer is delayed, because a lost segment is retransmitted or
 * the peer is short of processor time, and the ages in it are counted from its
 * arrival.  Symptom: requests go to an upstream that has exited, since its
 * notice that it leaves appears younger than it is; and a stale copy counts as
 * fresh.  The answer cannot have been given before SENT_AT + HELD, and this
 * bound needs no comparison of clocks of two machines. */
static gint64
max_transit_time (gint64 sent_at, gint64 held, gint64 now)
{
  return now - sent_at - CLAMP (held, 0, now - sent_at);
}

/* Applies R, a peer's answer that arrived at NOW to a request sent at SENT_AT,
 * us.  Returns the greatest possible age of its rows at NOW, us, or -1 if R is
 * no valid answer; and in *OUTAGE the time since the peer's last outage of the
 * service, us, -1 if it had none.
 *
 * The times of the lease and of outages count from the arrival, which is the
 * safe side: the later a lease appears to have been renewed, the later it is
 * taken over, and the later an outage appears to have ended, the longer
 * deletions are treated as uncertain.  The caller reads NOW before the rows are
 * applied: that may take long, and the copy would count as fresher than it is.
 */
static gint64
apply_peer_answer (CcMirror *m, const CcHttpResult *r, gint64 sent_at,
                   gint64 now, gint64 *outage)
{
  g_autoptr (GVariant) all = NULL;
  g_autoptr (GVariant) tables = NULL;
  PeerTable read[CC_TABLE_FOLLOWED] = { 0 };
  gint64 held, age, lease_age, mark_age, transit;
  guint64 lease, mark;

  if (r->end != CC_HTTP_ANSWERED || r->status != 200)
    return -1;
  all = g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE (PEER_TYPE), r->body, FALSE));
  g_variant_get (all, "(xxxtxtx@" PEER_TABLES ")", &held, &age, outage, &lease,
                 &lease_age, &mark, &mark_age, &tables);
  if (!g_variant_is_normal_form (all) || !read_peer_tables (tables, read))
    {
      cc_event (CC_EVENT_STATE, "peer-answer-damaged", NULL);
      return -1;
    }
  if (is_of_older_era (m, read))
    {
      peer_tables_clear (read);
      return -1;
    }
  age = MAX (age, 0);
  transit = max_transit_time (sent_at, held, now);
  if (mark > 0)
    cc_version_clock_record (&m->clock, mark, now - transit - mark_age);
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    apply_peer_table (&m->tables[i], &read[i]);
  peer_tables_clear (read);
  cc_mirror_lease_renewed (m, lease, now - MAX (lease_age, 0));
  record_peer_freshness (m, age, transit, *outage, now);
  return age + transit;
}

static void
on_peer_answer (const CcHttpResult *r, gpointer data)
{
  CcMirror *m = data;
  gint64 outage;

  m->polling = FALSE;
  apply_peer_answer (m, r, m->polled_at, cc_clock_now (), &outage);
}

/* Requests from the peer at ADDRESS whatever is newer than this copy; the peer
 * may hold the request for WAIT us.  Returns FALSE if it can't be sent. */
static gboolean
send_request (CcMirror *m, const char *address, gint64 wait, CcHttpDone done)
{
  g_autofree char *head = g_strdup_printf (
      "GET " CC_MIRROR_PATH "?since=%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
      ",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT "&wait=%" G_GINT64_FORMAT
      " HTTP/1.1\r\nHost: %s\r\n",
      m->tables[0].view.upto, m->tables[1].view.upto, m->tables[2].view.upto,
      m->lease, wait / CC_MS, address);
  CcHttpRequest o = { .address = address,
                      .head = head,
                      .connect_timeout = PEER_TIMEOUT,
                      .answer_timeout =
                          wait + (wait > 0 ? FOLLOW_TIMEOUT : PEER_TIMEOUT),
                      .stall_timeout = FOLLOW_STALL_TIMEOUT,
                      .extend_max = FOLLOW_EXTEND_MAX,
                      .idle_max = 2 * CC_SECOND };

  return cc_http_send (m->setup.http, &o, done, m) != NULL;
}

/* Queries the service, for an immediate answer, about each table that has no
 * pending call and is not expected from a peer. */
void
cc_mirror_query_all (CcMirror *m)
{
  m->refreshing = FALSE;
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    if (!m->tables[i].running && !cc_mirror_awaits_peer (&m->tables[i]))
      {
        m->tables[i].unconfirmed = TRUE;
        cc_mirror_query_service (&m->tables[i]);
      }
}

/* Queries the service after the followed peers had only stale copies.
 *
 * Load pattern: the service is down for the whole fleet, every copy becomes
 * stale, and hundreds of processes query three tables each.  If the followed
 * peer reports an outage too, the processes that nobody follows query the
 * configuration first, and the other tables once that is answered. */
static void
refresh (CcMirror *m)
{
  if (m->role.distance < 2 || !m->shared_outage)
    {
      cc_mirror_query_all (m);
      return;
    }
  m->refreshing = TRUE;
  if (m->tables[CC_TABLE_CONFIG].running)
    return;
  m->tables[CC_TABLE_CONFIG].unconfirmed = TRUE;
  cc_mirror_query_service (&m->tables[CC_TABLE_CONFIG]);
}

static void
on_follow_timer (gpointer data)
{
  CcMirror *m = data;

  if (!cc_mirror_follow (m))
    cc_mirror_query_all (m);
}

static gboolean
awaits_rows (const CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    if (cc_mirror_awaits_peer (&m->tables[i]))
      return TRUE;
  return FALSE;
}

/* Returns the greatest acceptable age of the followed peer's copy, us. */
static gint64
max_age (const CcMirror *m)
{
  return m->role.distance < 2 ? MAX_AGE : MAX_AGE_RELAYED;
}

/* Handles a followed peer that did not answer (AGE is -1) or whose copy is
 * stale (AGE us old).  OUTAGE is the time since that peer's last outage of the
 * service, us, -1 if it had none.  While this process still waits for its first
 * rows, the peer may have just started too, so the request is only repeated.
 *
 * After no answer, a process that follows the granter directly watches the
 * service for a while.  In a large fleet that would cost ten calls a second for
 * each process, so there the followers of relays try another relay, and query
 * the service once if their own copy is becoming stale.  If even a relay's copy
 * is stale, the service may be unreachable; the first answer about the
 * configuration shows whether it is.
 *
 * Failure: the service drops one watch of the granter, whose copy is stale for
 * a moment.  Symptom: all relays watch the service directly, and each change of
 * a range costs each of them a call.  So a process that gets a stale copy also
 * queries the service only once and continues to follow. */
static void
handle_lost_source (CcMirror *m, gint64 age, gint64 outage)
{
  gint64 now = cc_clock_now ();

  m->shared_outage = outage >= 0 && outage <= age;
  /* Whether the copy would be stale before another request timed out. */
  gboolean will_be_stale =
      now - m->fresh_at + FOLLOW_WAIT_MIN + FOLLOW_TIMEOUT > max_age (m);

  if (awaits_rows (m))
    {
      cc_timer_start (&m->follow_timer, FOLLOW_RETRY_PAUSE, on_follow_timer, m);
      return;
    }
  if (age < 0 && m->role.distance < 2)
    {
      m->direct_until = now + DIRECT_WATCH;
      g_free (m->lost_address);
      m->lost_address = g_strdup (m->followed);
      cc_mirror_query_all (m);
      cc_timer_start (&m->follow_timer, LOST_RETRY_PERIOD, on_follow_timer, m);
      return;
    }
  if (will_be_stale && now >= m->next_refresh)
    {
      m->next_refresh = now + REFRESH_PERIOD;
      refresh (m);
    }
  if (age < 0)
    cc_timer_start (&m->follow_timer, FOLLOW_RETRY_PAUSE, on_follow_timer, m);
  else
    on_follow_timer (m);
}

/* Cancels the retries to the service of a process that nobody follows, once it
 * receives fresh rows through a peer again. */
static void
stop_own_queries (CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    {
      CcMirrorTable *t = &m->tables[i];

      if (!t->unavailable || t->timer.place == NULL)
        continue;
      cc_timer_stop (&t->timer);
      t->unavailable = t->running = FALSE;
      m->refreshing = FALSE;
    }
}

/* The request to the followed peer has ended: continues to follow, or handles
 * the loss of the peer. */
static void
on_followed_answer (const CcHttpResult *r, gpointer data)
{
  CcMirror *m = data;
  gint64 outage = -1;
  gint64 now = cc_clock_now ();
  gint64 age = apply_peer_answer (m, r, m->follow_sent_at, now, &outage);

  m->following = FALSE;
  m->setup.peer_result (m->followed, age >= 0, m->setup.data);
  if (age >= 0 && age <= max_age (m))
    {
      m->lost = m->shared_outage = FALSE;
      m->direct_until = 0;
      if (m->role.distance == 2)
        stop_own_queries (m);
      /* Only outages of a peer with a fresh copy count.  A peer with a stale
       * copy may be cut off alone, and a follower that adopted its outage would
       * treat deletions as uncertain and go on sending to servers that have
       * left. */
      if (outage >= 0)
        m->followed_outage = MAX (m->followed_outage, now - outage);
      m->last_answer_at = now;
      m->fresh_at = MAX (m->fresh_at, now - age);
      on_follow_timer (m);
      return;
    }
  if (!m->lost)
    cc_event (CC_EVENT_STATE, "followed-lost", "why", r->why, "age_ms",
              cc_event_int (age / CC_MS), "received_bytes",
              cc_event_int ((gint64) r->received), NULL);
  m->lost = TRUE;
  handle_lost_source (m, age, outage);
}

/* Returns how long the followed peer may hold a request, us, such that the
 * request times out when this copy becomes stale. */
static gint64
follow_wait (const CcMirror *m)
{
  gint64 left = max_age (m) - (cc_clock_now () - m->fresh_at) - FOLLOW_TIMEOUT;

  return CLAMP (left, FOLLOW_WAIT_MIN, FOLLOW_WAIT);
}

/* Requests updates from the peer to follow, unless a request is pending.
 * Returns FALSE if there is no such peer. */
gboolean
cc_mirror_follow (CcMirror *m)
{
  if (m->following)
    return TRUE;
  g_free (m->followed);
  m->followed = m->setup.peer (CC_PEER_FOLLOWED, m->setup.data);
  m->follow_sent_at = cc_clock_now ();
  m->following =
      m->followed != NULL &&
      send_request (m, m->followed, follow_wait (m), on_followed_answer);
  return m->following;
}

/* Polls any peer, again each PEER_POLL_PERIOD, while a call to the service
 * fails. */
static void
on_poll_timer (gpointer data)
{
  CcMirror *m = data;
  g_autofree char *address = NULL;

  if (m->poll_timer.place != NULL || !cc_mirror_is_cut_off (m))
    return;
  cc_timer_start (&m->poll_timer, PEER_POLL_PERIOD, on_poll_timer, m);
  if (m->polling)
    return;
  address = m->setup.peer (CC_PEER_ANY, m->setup.data);
  m->polled_at = cc_clock_now ();
  m->polling = address != NULL && send_request (m, address, 0, on_peer_answer);
}

/* The service is unreachable for this process: polls peers until it answers
 * again. */
void
cc_mirror_poll_peers (CcMirror *m)
{
  on_poll_timer (m);
}
