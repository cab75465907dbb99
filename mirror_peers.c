/* How a process goes by the copy of another, and what it tells those that go by
 * its own.
 *
 * Load pattern: each row that changes costs each process that watches it a
 * call, and calls are dear; a fleet of hundreds would spend thousands on one
 * move of keys.  So one process watches for all, the one that grants keys: it
 * hears from the service all the time anyway, since it renews its lease there.
 * The others follow its copy, or that of another which follows it (members.h),
 * by a question that is answered when there is news.  Answers also tell the
 * version of the lease, so that a lost granter is noticed without a call.
 *
 * Failure: the process that is followed is cut off from the service or dies.
 * Symptom: this entry routes by old rows.  Each answer says how long ago its
 * rows were known to be fresh; who finds that longer than TOO_OLD, or gets no
 * answer, watches by itself for a while, and a watch begins with a question for
 * all that is newer.  That is soon enough for a change of configuration, which
 * has to be in force everywhere within 2 s.
 *
 * Failure: the service turns this machine away while it serves others.  So
 * while a watch fails, the same rows are asked of a peer, another each time.
 * Rows carry their versions, so it doesn't matter whose word comes first
 * (view.h). */
#include "clock.h"
#include "event_log.h"
#include "mirror_state.h"
#include "row_codec.h"

#define PEER_PERIOD (400 * CC_MS) /* between questions to peers */
#define PEER_WITHIN (300 * CC_MS) /* a peer in reach answers in 10 ms */
/* Rows come with an age of at most WATCH_FRESH from the granter, and hardly
 * more from a relay, which hands on at once what it hears with each renewal of
 * the lease.  A relay finds its source too old before its followers do, and has
 * fresh rows again before they leave it. */
#define TOO_OLD (1100 * CC_MS)
#define TOO_OLD_RELAYED (1600 * CC_MS)
/* A question waits so long for news.  The granter renews its lease more often,
 * so that most are answered by that. */
#define FOLLOW_WAIT (900 * CC_MS)
#define FOLLOW_WITHIN (250 * CC_MS) /* beyond that; a peer answers in 10 ms */
/* An answer that goes on arriving is waited for, but not for so long that a
 * relay whose link is slow leaves its followers without news. */
#define FOLLOW_STALL (500 * CC_MS)
#define FOLLOW_EXTEND (700 * CC_MS)
/* ... and less if this copy would be too old by then; at least this, or a peer
 * whose copy is old would be asked without a pause. */
#define FOLLOW_WAIT_LEAST (200 * CC_MS)
/* After the one that was followed failed: as long as a cut lasts usually, or
 * until it answers again, for which it is asked this often. */
#define SELF_WATCH (5 * CC_SECOND)
#define LOST_PERIOD (1 * CC_SECOND)
/* Where relays are followed: how often the service is asked for all while they
 * all have old copies, and the pause after one that did not answer. */
#define REFRESH_PERIOD (800 * CC_MS)
#define FOLLOW_PAUSE (60 * CC_MS)

/* What a peer sends: for how long, in us, it held the question; how long ago
 * its rows were fresh and it last had an outage of the service (-1: never); the
 * version of the lease's row that it knows, and since how long; the newest mark
 * of its version clock, with its age; for each table, since and up to which
 * version, and the rows. */
#define PEER_TABLES "a(tt" CC_ROWS_TYPE ")"
#define PEER_TYPE "(xxxtxtx" PEER_TABLES ")"

/* The rows that were written after SINCE[table], for a peer whose question was
 * HELD for so long, us, as it reads them.
 *
 * Failure: a row is deleted, this process reads the table whole after that, and
 * a peer with an older copy begins to follow it.  Symptom: no row tells that
 * peer of the deletion, and it sends requests to an upstream that is gone, for
 * ever.  So who asks for more than this process knows the history of gets all
 * rows, and drops what they lack. */
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
      outage != 0 ? now - outage : -1, m->lease, now - m->lease_at,
      mark.version, now - mark.at, g_variant_builder_end (&b)));
  return g_variant_get_data_as_bytes (all);
}

/* Whether this copy has anything newer than SINCE. */
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

static void
take_peer_table (CcMirrorTable *t, const PeerTable *p)
{
  gboolean is_whole = p->since == 0 && p->upto > 0;
  gboolean changed = is_whole ? cc_mirror_put_whole (t, p->rows, p->upto)
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

/* Reads TABLES into ALL, which is empty.  FALSE, with nothing held, if any row
 * of them is damaged. */
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

/* A peer's rows were fresh AGE us before its answer, which came at NOW and was
 * WAY us on its way at most, and it last had an outage of the service OUTAGE us
 * ago, -1: never.
 *
 * Failure: this process alone loses its connection to the service, or hears
 * late that an outage is over.  Symptom: it takes upstreams that leave
 * meanwhile for ones that lapsed in the outage, and sends to them after they
 * have ended.  A peer that heard from the service after this process's own
 * outage knows when its last outage was. */
static void
note_peer (CcMirror *m, gint64 age, gint64 way, gint64 outage, gint64 now)
{
  if (now - way - age <= m->others_fresh)
    return;
  m->others_fresh = now - way - age;
  m->others_outage = outage < 0 ? 0 : now - outage;
  cc_mirror_service_well (m, m->others_fresh, now - age);
}

/* How long ago a peer, which was ASKED and HELD the question for so long, gave
 * its answer at most, us.
 *
 * Failure: the answer is a while on its way, since a lost segment is sent again
 * or the peer's processor is short, and the ages in it are counted from its
 * arrival.  Symptom: an upstream is sent to after it has ended, since its word
 * that it leaves is taken for younger than it is; and an old copy passes for a
 * new one.  What was asked after ASKED and held for HELD was not answered
 * before both had passed, and that compares no clocks of two machines. */
static gint64
longest_on_its_way (gint64 asked, gint64 held, gint64 now)
{
  return now - asked - CLAMP (held, 0, now - asked);
}

/* Takes the rows in R, the answer to a question that was ASKED then, which came
 * at NOW, us.  Returns how long before NOW, in us, they were fresh at most, or
 * -1 if there is nothing to take; and in *OUTAGE how long before the peer had
 * an outage of the service, -1: never.
 *
 * The times of the lease and of outages count from the answer's arrival: the
 * later a lease is taken to have been renewed, the later it is taken over, and
 * the later an outage, the longer deletions are doubted.  NOW is read before
 * the rows are taken: what they change may occupy this process for a while, and
 * the copy would pass for newer than it is. */
static gint64
take_peer_answer (CcMirror *m, const CcHttpResult *r, gint64 asked, gint64 now,
                  gint64 *outage)
{
  g_autoptr (GVariant) all = NULL;
  g_autoptr (GVariant) tables = NULL;
  PeerTable read[CC_TABLE_FOLLOWED] = { 0 };
  gint64 held, age, lease_age, mark_age, way;
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
  age = MAX (age, 0);
  way = longest_on_its_way (asked, held, now);
  if (mark > 0)
    cc_version_clock_note (&m->clock, mark, now - way - mark_age);
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    take_peer_table (&m->tables[i], &read[i]);
  peer_tables_clear (read);
  cc_mirror_lease_renewed (m, lease, now - MAX (lease_age, 0));
  note_peer (m, age, way, *outage, now);
  return age + way;
}

static void
on_peer_answer (const CcHttpResult *r, gpointer data)
{
  CcMirror *m = data;
  gint64 outage;

  m->asking = FALSE;
  take_peer_answer (m, r, m->asked_any, cc_clock_now (), &outage);
}

/* Asks the peer at ADDRESS for what is newer than this copy, for which it may
 * wait WAIT us.  Returns FALSE if it can't be asked. */
static gboolean
ask (CcMirror *m, const char *address, gint64 wait, CcHttpDone done)
{
  g_autofree char *head = g_strdup_printf (
      "GET " CC_MIRROR_PATH "?since=%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
      ",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT "&wait=%" G_GINT64_FORMAT
      " HTTP/1.1\r\nHost: %s\r\n",
      m->tables[0].view.upto, m->tables[1].view.upto, m->tables[2].view.upto,
      m->lease, wait / CC_MS, address);
  CcHttpOrder o = { .address = address,
                    .head = head,
                    .connect_within = PEER_WITHIN,
                    .answer_within =
                        wait + (wait > 0 ? FOLLOW_WITHIN : PEER_WITHIN),
                    .stall_within = FOLLOW_STALL,
                    .extend_most = FOLLOW_EXTEND,
                    .idle_max = 2 * CC_SECOND };

  return cc_http_send (m->setup.http, &o, done, m) != NULL;
}

/* Asks the service for the tables that it is not asked for, to be answered at
 * once. */
void
cc_mirror_ask_all (CcMirror *m)
{
  m->refreshing = FALSE;
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    if (!m->tables[i].running && !cc_mirror_awaits_peer (&m->tables[i]))
      {
        m->tables[i].unproven = TRUE;
        cc_mirror_ask_service (&m->tables[i]);
      }
}

/* Load pattern: the service is down for all, every copy grows old, and hundreds
 * of processes ask for three tables each.  If the one that is followed has an
 * outage too, those that nobody follows ask for the configuration, and for the
 * others once that was answered. */
static void
refresh (CcMirror *m)
{
  if (m->role.distance < 2 || !m->shared_outage)
    {
      cc_mirror_ask_all (m);
      return;
    }
  m->refreshing = TRUE;
  if (m->tables[CC_TABLE_CONFIG].running)
    return;
  m->tables[CC_TABLE_CONFIG].unproven = TRUE;
  cc_mirror_ask_service (&m->tables[CC_TABLE_CONFIG]);
}

static void
on_follow_again (gpointer data)
{
  CcMirror *m = data;

  if (!cc_mirror_follow (m))
    cc_mirror_ask_all (m);
}

static gboolean
awaits_rows (const CcMirror *m)
{
  for (guint i = 0; i < CC_TABLE_FOLLOWED; i++)
    if (cc_mirror_awaits_peer (&m->tables[i]))
      return TRUE;
  return FALSE;
}

/* How old, in us, the copy of the one that is followed may be. */
static gint64
too_old (const CcMirror *m)
{
  return m->role.distance < 2 ? TOO_OLD : TOO_OLD_RELAYED;
}

/* The one that is followed did not answer, or has an old copy; AGE is -1 or
 * that copy's, OUTAGE how long ago its last outage was, -1: none.  It may have
 * started just now, like this process.
 *
 * One that others follow, or one of a small fleet, watches by itself for a
 * while if it got no answer.  In a large fleet that would cost ten calls a
 * second for each process, so there the others go on with another relay, and
 * ask the service once if their copy is old.  If even a relay's copy is, the
 * service may be away, and the first answer about the configuration tells.
 *
 * Failure: the service swallows one watch of the granter, whose copy grows old
 * for a moment.  Symptom: all relays watch by themselves, and each change of a
 * range costs each of them a call.  So who gets an old copy asks the service
 * once too, and goes on to follow. */
static void
lose_followed (CcMirror *m, gint64 age, gint64 outage)
{
  gint64 now = cc_clock_now ();

  m->shared_outage = outage >= 0 && outage <= age;
  /* ... before another could be given up as well */
  gboolean gets_old =
      now - m->fresh_at + FOLLOW_WAIT_LEAST + FOLLOW_WITHIN > too_old (m);

  if (awaits_rows (m))
    {
      cc_timer_start (&m->again, FOLLOW_PAUSE, on_follow_again, m);
      return;
    }
  if (age < 0 && m->role.distance < 2)
    {
      m->self_until = now + SELF_WATCH;
      g_free (m->lost_address);
      m->lost_address = g_strdup (m->followed);
      cc_mirror_ask_all (m);
      cc_timer_start (&m->again, LOST_PERIOD, on_follow_again, m);
      return;
    }
  if (gets_old && now >= m->refresh_at)
    {
      m->refresh_at = now + REFRESH_PERIOD;
      refresh (m);
    }
  if (age < 0)
    cc_timer_start (&m->again, FOLLOW_PAUSE, on_follow_again, m);
  else
    on_follow_again (m);
}

/* One that nobody follows hears from the service through others again: it has
 * no need to go on asking. */
static void
leave_to_followed (CcMirror *m)
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

static void
on_followed_answer (const CcHttpResult *r, gpointer data)
{
  CcMirror *m = data;
  gint64 outage = -1;
  gint64 now = cc_clock_now ();
  gint64 age = take_peer_answer (m, r, m->asked_followed, now, &outage);

  m->following = FALSE;
  m->setup.peer_result (m->followed, age >= 0, m->setup.data);
  if (age >= 0 && age <= too_old (m))
    {
      m->lost = m->shared_outage = FALSE;
      m->self_until = 0;
      if (m->role.distance == 2)
        leave_to_followed (m);
      /* The outages of one with an old copy are its own: it may be cut off
       * alone, and who doubts deletions for as long as that one does goes on
       * sending to servers that have left. */
      if (outage >= 0)
        m->followed_outage = MAX (m->followed_outage, now - outage);
      m->heard_at = now;
      m->fresh_at = MAX (m->fresh_at, now - age);
      on_follow_again (m);
      return;
    }
  if (!m->lost)
    cc_event (CC_EVENT_STATE, "followed-lost", "why", r->why, "age_ms",
              cc_event_int (age / CC_MS), "received_bytes",
              cc_event_int ((gint64) r->received), NULL);
  m->lost = TRUE;
  lose_followed (m, age, outage);
}

/* How long the one that is followed may wait for news, so that this process
 * watches by itself as soon as its copy is too old if no answer comes. */
static gint64
follow_wait (const CcMirror *m)
{
  gint64 left = too_old (m) - (cc_clock_now () - m->fresh_at) - FOLLOW_WITHIN;

  return CLAMP (left, FOLLOW_WAIT_LEAST, FOLLOW_WAIT);
}

/* Asks the one that is followed for news, unless it is being asked.  FALSE:
 * there is none to follow. */
gboolean
cc_mirror_follow (CcMirror *m)
{
  if (m->following)
    return TRUE;
  g_free (m->followed);
  m->followed = m->setup.peer (CC_PEER_FOLLOWED, m->setup.data);
  m->asked_followed = cc_clock_now ();
  m->following = m->followed != NULL &&
                 ask (m, m->followed, follow_wait (m), on_followed_answer);
  return m->following;
}

static void
on_peer_time (gpointer data)
{
  CcMirror *m = data;
  g_autofree char *address = NULL;

  if (m->asks.place != NULL || !cc_mirror_is_cut_off (m))
    return;
  cc_timer_start (&m->asks, PEER_PERIOD, on_peer_time, m);
  if (m->asking)
    return;
  address = m->setup.peer (CC_PEER_ANY, m->setup.data);
  m->asked_any = cc_clock_now ();
  m->asking = address != NULL && ask (m, address, 0, on_peer_answer);
}

/* The service does not answer this process: asks peers for what is new until
 * that is over. */
void
cc_mirror_ask_anyone (CcMirror *m)
{
  on_peer_time (m);
}
