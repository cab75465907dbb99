/* Answers and messages that arrive where they are not meant for, on real nng
 * sockets on loopback: an entry's router on one mailbox, a dispatcher's mailbox
 * and a stranger's, all in this process. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "router.h"
#include "headers.h"
#include "clock.h"
#include "timers.h"

#define POOL "catalogue"
#define ENTRY 11      /* incarnations */
#define DISPATCHER 22 /* of the dispatcher */
#define STRANGER 33
#define MISSED 44 /* of a process that is no more */
#define SETTLE_MS 50
#define PARKED_LOOK_MS 10 /* parked asks are looked at so often */
#define PORT 7100

typedef struct
{
  char *address;
  CcMailbox *box;
  guint received; /* messages handed over by the mailbox */
  guint64 last;   /* id of the last request */
  guint64 former; /* and of the one before */
  CcRouter *router;
} Peer;

typedef struct
{
  guint calls;
  CcOutcome outcome;
  guint32 retry_after; /* ms */
  char reason[20];
  char body[20];
} Answer;

static Peer entry, dispatcher, stranger;
static CcFollower *view; /* the entry's */

static void
on_message (const CcMessage *m, gpointer data)
{
  Peer *p = data;

  p->received++;
  if (m->kind == CC_MSG_REQUEST)
    {
      p->former = p->last;
      p->last = m->id;
    }
  if (m->kind == CC_MSG_REPLY && p->router != NULL)
    cc_router_reply (p->router, m);
}

static void
on_link (const char *address, gboolean up, gpointer data)
{
  Peer *p = data;

  if (p->router != NULL)
    cc_router_link (p->router, address, up);
}

/* An address of its own in 127/8 for each peer of each process of this test, so
 * that no other connection of the machine holds its port. */
static char *
free_address (void)
{
  static guint last;
  guint pid = (guint) getpid ();

  return g_strdup_printf ("127.%u.%u.%u:%u", 1 + pid / 250 % 250, pid % 250,
                          ++last, PORT);
}

static void
open_peer (Peer *p, guint64 incarnation)
{
  char *message = NULL;

  if (p->address == NULL)
    p->address = free_address ();
  p->box = cc_mailbox_new (p->address, p->address, incarnation, on_message,
                           on_link, p, &message);
  assert_non_null (p->box);
}

/* Ends P's mailbox.  nng_close of a PULL socket can wait forever if a message
 * arrives meanwhile.  All peers send from this thread, so a pause empties the
 * connections. */
static void
close_peer (Peer *p)
{
  g_usleep (SETTLE_MS * 1000);
  cc_mailbox_free (p->box);
  p->box = NULL;
}

static gboolean
on_timer (gpointer data)
{
  *(gboolean *) data = TRUE;
  return G_SOURCE_REMOVE;
}

static void
turn_for (guint ms)
{
  gboolean over = FALSE;

  g_timeout_add (ms, on_timer, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

static guint64
counter (const char *name)
{
  return *cc_metrics_counter (name, "");
}

/* Messages pass through threads of the library, which may have to wait for a
 * processor, so tests wait for events.  The clock of the runtime stands
 * meanwhile: what happens then does not happen since time has passed.  A test
 * that waits longer than this hangs. */
#define HANGS_AFTER_MS 10000

static void
pause_clock (void)
{
  cc_clock_pause (cc_clock_now (), cc_clock_wall ());
}

/* Lets MS pass on the paused clock, and what is due happen. */
static void
advance (guint ms)
{
  cc_clock_advance (ms * CC_MS);
  cc_timers_run ();
  turn_for (2 * PARKED_LOOK_MS);
}

/* The clock never goes back. */
static void
resume_clock (void)
{
  gint64 paused = cc_clock_now ();

  cc_clock_resume ();
  if (paused > cc_clock_now ())
    g_usleep ((gulong) (paused - cc_clock_now ()));
}

/* Until the dispatcher has received COUNT messages since it had RECEIVED. */
static void
await_requests (guint received, guint count)
{
  for (guint i = 0;
       i < HANGS_AFTER_MS && dispatcher.received < received + count; i++)
    turn_for (1);
  assert_int_equal (dispatcher.received, received + count);
}

/* Until the counter NAME has VALUE. */
static void
await_count (const char *name, guint64 value)
{
  for (guint i = 0; i < HANGS_AFTER_MS && counter (name) != value; i++)
    turn_for (1);
  assert_int_equal (counter (name), value);
}

static void
await_answer (const Answer *a)
{
  for (guint i = 0; i < HANGS_AFTER_MS && a->calls == 0; i++)
    turn_for (1);
  assert_int_equal (a->calls, 1);
}

static CcFollower *
knowing_follower (void)
{
  static char *none[] = { NULL };
  CcFollower *f =
      cc_follower_new (entry.box, NULL, "", none, FALSE, NULL, NULL);
  CcSliceMap *m = cc_slicemap_new (POOL, 1);
  CcMember *d = g_new0 (CcMember, 1);
  CcMapServer *s;

  cc_slicemap_add (m, "catalogue-1", "127.0.0.1:1", "a");
  s = cc_slicemap_server (m, 0);
  g_free (s->dispatcher);
  s->dispatcher = g_strdup ("d");
  cc_slicemap_at (m, 0)->server = 0;
  cc_slicemap_at (m, 0)->from = -1;
  g_hash_table_insert (f->maps, g_strdup (POOL), m);
  d->id = g_strdup ("d");
  d->address = g_strdup (dispatcher.address);
  d->incarnation = DISPATCHER;
  g_hash_table_insert (f->members, d->id, d);
  return f;
}

static int
start (void **state)
{
  (void) state;
  open_peer (&entry, ENTRY);
  open_peer (&dispatcher, DISPATCHER);
  open_peer (&stranger, STRANGER);
  view = knowing_follower ();
  entry.router = cc_router_new (view, entry.box);
  cc_mailbox_connect (entry.box, dispatcher.address);
  for (guint i = 0;
       i < HANGS_AFTER_MS && !cc_mailbox_is_up (entry.box, dispatcher.address);
       i++)
    turn_for (1);
  return cc_mailbox_is_up (entry.box, dispatcher.address) ? 0 : -1;
}

static void
on_answer (const CcMsgReply *r, gpointer data)
{
  Answer *a = data;
  gsize size = 0;
  gconstpointer body = r->body ? g_bytes_get_data (r->body, &size) : NULL;

  a->calls++;
  a->outcome = r->outcome;
  a->retry_after = r->retry_after;
  g_strlcpy (a->reason, r->reason != NULL ? r->reason : "", sizeof a->reason);
  memcpy (a->body, body != NULL ? body : "", MIN (size, sizeof a->body - 1));
}

static char *asked_key; /* Idempotency-Key of the next ask */

static void
ask (Answer *a, gboolean once_only, guint ms)
{
  CcClass class = { .name = (char *) "browse",
                    .pool = (char *) POOL,
                    .once_only = once_only };
  g_autoptr (GVariant) headers = cc_headers_take (g_string_new (NULL));
  g_autoptr (GBytes) key = g_bytes_new_static ("k", 1);
  g_autoptr (GBytes) body = g_bytes_new_static ("", 0);
  CcCallerRequest w = { .class = &class,
                        .tenant = "t",
                        .idempotency = asked_key != NULL ? asked_key : "",
                        .method = "GET",
                        .path = "/",
                        .headers = headers,
                        .key = key,
                        .body = body,
                        .deadline = cc_clock_wall () + ms * CC_MS };

  *a = (Answer){ 0 };
  cc_router_submit (entry.router, &w, on_answer, a);
}

static void
reply (Peer *from, guint64 id, const char *text)
{
  CcMessage m = { .kind = CC_MSG_REPLY, .to = ENTRY, .id = id };
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));

  m.u.reply.outcome = CC_OUTCOME_RUN;
  m.u.reply.status = 200;
  m.u.reply.reason = "";
  m.u.reply.body = body;
  cc_mailbox_send (from->box, entry.address, &m);
}

/* The caller gets its own answer, although one with the same number came first
 * from a process that was not asked. */
static void
crossed_answer_is_dropped (void **state)
{
  guint64 before = counter ("capercrank_answers_crossed");
  guint received = dispatcher.received;
  Answer a;

  (void) state;
  pause_clock ();
  ask (&a, TRUE, 2000);
  await_requests (received, 1);
  reply (&stranger, dispatcher.last, "stranger's");
  await_count ("capercrank_answers_crossed", before + 1);
  assert_int_equal (a.calls, 0);
  reply (&dispatcher, dispatcher.last, "own");
  await_answer (&a);
  assert_string_equal (a.body, "own");
  resume_clock ();
}

/* The deadline passes, the caller is told unknown, then the answer comes. */
static void
late_answer_is_dropped (void **state)
{
  guint64 before = counter ("capercrank_answers_late");
  guint received = dispatcher.received;
  Answer a;

  (void) state;
  pause_clock ();
  ask (&a, TRUE, 100);
  await_requests (received, 1);
  assert_int_equal (a.calls, 0);
  advance (250);
  assert_int_equal (a.calls, 1);
  assert_int_equal (a.outcome, CC_OUTCOME_UNKNOWN);
  reply (&dispatcher, dispatcher.last, "late");
  await_count ("capercrank_answers_late", before + 1);
  assert_int_equal (a.calls, 1);
  resume_clock ();
}

static void
set_handed_over_from (const char *from)
{
  CcMapServer *s = cc_slicemap_server (cc_follower_map (view, POOL), 0);

  g_free (s->from);
  s->from = g_strdup (from);
}

/* Guards against "unknown" for once-only work that was sent to nobody, while
 * the platform is slow and its key is on its way for longer than usual. */
static void
a_slow_move_is_waited_for (void **state)
{
  guint received = dispatcher.received;
  Answer once, again;

  (void) state;
  pause_clock ();
  set_handed_over_from ("before");
  ask (&once, TRUE, 5000);
  ask (&again, FALSE, 5000);
  advance (2000);
  assert_int_equal (once.calls, 0);
  assert_int_equal (again.calls, 1);
  assert_int_equal (again.outcome, CC_OUTCOME_NOT_RUN);
  set_handed_over_from ("");
  cc_router_view_changed (entry.router);
  await_requests (received, 1);
  reply (&dispatcher, dispatcher.last, "own");
  await_answer (&once);
  assert_string_equal (once.body, "own");
  resume_clock ();
}

/* nng keeps a message while its receiver is absent and hands it to the next
 * process at that address.  Two of three must be dropped there: one for the
 * process that is no more, one that has expired. */
static void
kept_messages_are_dropped (void **state)
{
  Peer later = { 0 };
  guint64 before = counter ("capercrank_messages_stale");
  const struct
  {
    guint64 to;
    gint64 lasts;
  } sent[] = { { MISSED, 60 * CC_SECOND },
               { 0, 50 * CC_MS },
               { STRANGER + 1, 60 * CC_SECOND } };

  (void) state;
  later.address = free_address ();
  for (guint i = 0; i < G_N_ELEMENTS (sent); i++)
    {
      CcMessage m = { .kind = CC_MSG_CANCEL, .to = sent[i].to };

      m.expires = cc_clock_wall () + sent[i].lasts;
      assert_int_equal (cc_mailbox_send (entry.box, later.address, &m), CC_OK);
    }
  turn_for (150);
  open_peer (&later, STRANGER + 1);
  turn_for (600);
  assert_int_equal (later.received, 1);
  assert_int_equal (counter ("capercrank_messages_stale"), before + 2);
  close_peer (&later);
}

/* A request is not kept: the caller is told at once that nothing left. */
static void
request_to_absent_is_refused (void **state)
{
  CcMessage m = { .kind = CC_MSG_REQUEST };
  g_autofree char *nobody = free_address ();

  (void) state;
  assert_int_equal (cc_mailbox_send (entry.box, nobody, &m), CC_UNREACHABLE);
}

/* The dispatcher ends: once-only work is unknown at once, and idempotent work
 * that may have run is never said to be not-run, whatever follows.  A link that
 * does not come back soon means a takeover, which takes longer than the
 * request may be held: it is answered then, seconds before its deadline, and
 * told when to come back. */
static void
lost_link_tells_the_truth (void **state)
{
  guint received = dispatcher.received;
  Answer once, again;

  (void) state;
  pause_clock ();
  ask (&once, TRUE, 2000);
  ask (&again, FALSE, 5000);
  await_requests (received, 2);
  close_peer (&dispatcher);
  await_answer (&once);
  assert_int_equal (once.outcome, CC_OUTCOME_UNKNOWN);
  assert_string_equal (once.reason, "link");
  advance (200);
  assert_int_equal (again.calls, 0);
  advance (600);
  assert_int_equal (again.calls, 1);
  assert_int_equal (again.outcome, CC_OUTCOME_UNKNOWN);
  assert_true (again.retry_after > 0);
  resume_clock ();
}

/* A UUID of version 7 made AGE_MS ago. */
static char *
key_made (gint64 age_ms)
{
  guint64 ms = (guint64) (cc_clock_wall () / CC_MS - age_ms);

  return g_strdup_printf ("%08x-%04x-7000-8000-000000000001",
                          (guint) (ms >> 16), (guint) (ms & 0xffff));
}

/* Guards against "not-run" for once-only work that another attempt with the
 * same key, made a moment ago through another entry, runs. */
static void
repeat_is_not_denied_without_memory (void **state)
{
  static const struct
  {
    gint64 age_ms;
    CcOutcome told;
    gboolean once_only;
  } cases[] = { { 0, CC_OUTCOME_UNKNOWN, TRUE },
                { 2000, CC_OUTCOME_UNKNOWN, TRUE },
                { 0, CC_OUTCOME_NOT_RUN, FALSE } };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Answer a;

      asked_key = key_made (cases[i].age_ms);
      ask (&a, cases[i].once_only, 2000);
      turn_for (50);
      assert_int_equal (a.calls, 1);
      assert_int_equal (a.outcome, cases[i].told);
      g_free (asked_key);
      asked_key = NULL;
    }
}

static void
await_link (const char *address)
{
  cc_mailbox_connect (entry.box, address);
  for (guint i = 0;
       i < HANGS_AFTER_MS && !cc_mailbox_is_up (entry.box, address); i++)
    turn_for (1);
  assert_true (cc_mailbox_is_up (entry.box, address));
}

/* The stranger has taken the dispatcher's server over. */
static void
set_owner_stranger (void)
{
  CcMapServer *s = cc_slicemap_server (cc_follower_map (view, POOL), 0);
  CcMember *d = g_new0 (CcMember, 1);

  d->id = g_strdup ("s");
  d->address = g_strdup (stranger.address);
  d->incarnation = STRANGER;
  g_hash_table_insert (view->members, d->id, d);
  g_free (s->dispatcher);
  s->dispatcher = g_strdup ("s");
}

/* Guards against "unknown" for once-only work as a drained dispatcher ends,
 * while the entry is yet to read the map that names its heir: one request was
 * under way to it, one comes after. */
static void
asks_of_a_drained_dispatcher_go_to_its_heir (void **state)
{
  guint64 lost = counter ("capercrank_links_lost");
  guint received = dispatcher.received, inherited = stranger.received;
  Answer sent, later;

  (void) state;
  open_peer (&dispatcher, DISPATCHER);
  await_link (dispatcher.address);
  await_link (stranger.address);
  ((CcMember *) cc_follower_member (view, "d"))->draining = TRUE;
  pause_clock ();
  ask (&sent, TRUE, 5000);
  await_requests (received, 1);
  close_peer (&dispatcher);
  await_count ("capercrank_links_lost", lost + 1);
  ask (&later, TRUE, 5000);
  advance (1000);
  assert_int_equal (sent.calls, 0);
  assert_int_equal (later.calls, 0);
  set_owner_stranger ();
  cc_router_view_changed (entry.router);
  for (guint i = 0; i < HANGS_AFTER_MS && stranger.received < inherited + 2;
       i++)
    turn_for (1);
  assert_int_equal (stranger.received, inherited + 2);
  reply (&stranger, stranger.former, "heir's");
  reply (&stranger, stranger.last, "heir's");
  await_answer (&sent);
  await_answer (&later);
  assert_string_equal (sent.body, "heir's");
  assert_string_equal (later.body, "heir's");
  resume_clock ();
}

/* Guards against once-only work told unknown at its deadline, since its request
 * went to a process that had started anew at the address of the one that it was
 * for, which drops it: nothing is sent, and the map that names an owner is
 * waited for. */
static void
ask_for_a_former_process_is_not_sent (void **state)
{
  guint64 refused = counter ("capercrank_messages_refused");
  guint received = dispatcher.received;
  CcMember *d = (CcMember *) cc_follower_member (view, "d");
  CcMapServer *s = cc_slicemap_server (cc_follower_map (view, POOL), 0);
  Answer a;

  (void) state;
  g_free (s->dispatcher);
  s->dispatcher = g_strdup ("d");
  d->draining = TRUE;
  open_peer (&dispatcher, DISPATCHER + 1);
  await_link (dispatcher.address);
  pause_clock ();
  ask (&a, TRUE, 5000);
  advance (1000);
  assert_true (counter ("capercrank_messages_refused") > refused);
  assert_int_equal (dispatcher.received, received);
  assert_int_equal (a.calls, 0);
  d->incarnation = DISPATCHER + 1;
  cc_router_view_changed (entry.router);
  await_requests (received, 1);
  reply (&dispatcher, dispatcher.last, "new");
  await_answer (&a);
  assert_string_equal (a.body, "new");
  resume_clock ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (crossed_answer_is_dropped),
    cmocka_unit_test (late_answer_is_dropped),
    cmocka_unit_test (a_slow_move_is_waited_for),
    cmocka_unit_test (kept_messages_are_dropped),
    cmocka_unit_test (request_to_absent_is_refused),
    cmocka_unit_test (lost_link_tells_the_truth),
    cmocka_unit_test (repeat_is_not_denied_without_memory),
    cmocka_unit_test (asks_of_a_drained_dispatcher_go_to_its_heir),
    cmocka_unit_test (ask_for_a_former_process_is_not_sent),
  };

  return cmocka_run_group_tests (tests, start, NULL);
}
