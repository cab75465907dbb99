/* Guards against wrong outcomes when answers come late or from another process,
 * messages reach a later process, or links are lost.  The router, a dispatcher
 * and a third mailbox run in this process over loopback. */
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
#define GONE 44 /* of a process that has exited */
#define SETTLE_MS 50
#define PARK_RETRY_MS 10 /* recheck interval of parked requests */
#define PORT 7100

typedef struct
{
  char *address;
  CcMailbox *box;
  guint received;   /* messages delivered by the mailbox */
  guint64 last;     /* id of the last request */
  guint64 previous; /* id of the request before it */
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
      p->previous = p->last;
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

/* Returns an address in 127/8 that is unique to this peer and process, so that
 * no other connection on the machine uses its port. */
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

/* Closes P's mailbox.  nng_close of a PULL socket can block forever if a
 * message arrives during the call.  All peers send from this thread, so a pause
 * drains the connections. */
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
run_main_loop (guint ms)
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

/* Messages pass through nng's threads, which may wait for a processor, so tests
 * wait for events rather than for fixed times.  The runtime's clock is paused
 * meanwhile, so that no timeout causes an event.  Waiting longer than this
 * fails the test. */
#define HANGS_AFTER_MS 10000

static void
pause_clock (void)
{
  cc_clock_pause (cc_clock_now (), cc_clock_wall ());
}

/* Advances the paused clock by MS and runs the timers that are due. */
static void
advance (guint ms)
{
  cc_clock_advance (ms * CC_MS);
  cc_timers_run ();
  run_main_loop (2 * PARK_RETRY_MS);
}

/* Resumes the clock, waiting first if it would go back. */
static void
resume_clock (void)
{
  gint64 paused = cc_clock_now ();

  cc_clock_resume ();
  if (paused > cc_clock_now ())
    g_usleep ((gulong) (paused - cc_clock_now ()));
}

/* Waits until the dispatcher has received RECEIVED + COUNT messages. */
static void
await_requests (guint received, guint count)
{
  for (guint i = 0;
       i < HANGS_AFTER_MS && dispatcher.received < received + count; i++)
    run_main_loop (1);
  assert_int_equal (dispatcher.received, received + count);
}

/* Waits until the counter NAME has VALUE. */
static void
await_count (const char *name, guint64 value)
{
  for (guint i = 0; i < HANGS_AFTER_MS && counter (name) != value; i++)
    run_main_loop (1);
  assert_int_equal (counter (name), value);
}

static void
await_answer (const Answer *a)
{
  for (guint i = 0; i < HANGS_AFTER_MS && a->calls == 0; i++)
    run_main_loop (1);
  assert_int_equal (a->calls, 1);
}

static CcFollower *
follower_new_with_map (void)
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
  view = follower_new_with_map ();
  entry.router = cc_router_new (view, entry.box);
  cc_mailbox_connect (entry.box, dispatcher.address);
  for (guint i = 0;
       i < HANGS_AFTER_MS && !cc_mailbox_is_up (entry.box, dispatcher.address);
       i++)
    run_main_loop (1);
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

static char *next_idempotency_key; /* of the next request; NULL: none */

static void
submit (Answer *a, gboolean once_only, guint ms)
{
  CcClass class = { .name = (char *) "browse",
                    .pool = (char *) POOL,
                    .once_only = once_only };
  g_autoptr (GVariant) headers = cc_headers_take (g_string_new (NULL));
  g_autoptr (GBytes) key = g_bytes_new_static ("k", 1);
  g_autoptr (GBytes) body = g_bytes_new_static ("", 0);
  CcCallerRequest spec = { .class = &class,
                           .tenant = "t",
                           .idempotency = next_idempotency_key != NULL
                                              ? next_idempotency_key
                                              : "",
                           .method = "GET",
                           .path = "/",
                           .headers = headers,
                           .key = key,
                           .body = body,
                           .deadline = cc_clock_wall () + ms * CC_MS };

  *a = (Answer){ 0 };
  cc_router_submit (entry.router, &spec, on_answer, a);
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

/* Guards against an answer being accepted from a process that the request was
 * not sent to, since it carries the same id. */
static void
crossed_answer_is_dropped (void **state)
{
  guint64 before = counter ("capercrank_answers_crossed");
  guint received = dispatcher.received;
  Answer a;

  (void) state;
  pause_clock ();
  submit (&a, TRUE, 2000);
  await_requests (received, 1);
  reply (&stranger, dispatcher.last, "stranger's");
  await_count ("capercrank_answers_crossed", before + 1);
  assert_int_equal (a.calls, 0);
  reply (&dispatcher, dispatcher.last, "own");
  await_answer (&a);
  assert_string_equal (a.body, "own");
  resume_clock ();
}

/* Guards against a second outcome when the answer arrives after the deadline,
 * at which the caller received unknown. */
static void
late_answer_is_dropped (void **state)
{
  guint64 before = counter ("capercrank_answers_late");
  guint received = dispatcher.received;
  Answer a;

  (void) state;
  pause_clock ();
  submit (&a, TRUE, 100);
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
set_previous_holder (const char *from)
{
  CcMapServer *s = cc_slicemap_server (cc_follower_map (view, POOL), 0);

  g_free (s->from);
  s->from = g_strdup (from);
}

/* Guards against outcome unknown for a once-only request that was not sent
 * anywhere, since a slow platform delayed the move of its key. */
static void
once_only_waits_for_slow_move (void **state)
{
  guint received = dispatcher.received;
  Answer once_only_answer, idempotent;

  (void) state;
  pause_clock ();
  set_previous_holder ("before");
  submit (&once_only_answer, TRUE, 5000);
  submit (&idempotent, FALSE, 5000);
  advance (2000);
  assert_int_equal (once_only_answer.calls, 0);
  assert_int_equal (idempotent.calls, 1);
  assert_int_equal (idempotent.outcome, CC_OUTCOME_NOT_RUN);
  set_previous_holder ("");
  cc_router_view_changed (entry.router);
  await_requests (received, 1);
  reply (&dispatcher, dispatcher.last, "own");
  await_answer (&once_only_answer);
  assert_string_equal (once_only_answer.body, "own");
  resume_clock ();
}

/* Guards against delivery of stale messages: nng keeps a message while its
 * receiver is absent and delivers it to the next process at that address.  Of
 * the three, one is for the process that has exited and one has expired. */
static void
stale_messages_are_dropped (void **state)
{
  Peer later = { 0 };
  guint64 before = counter ("capercrank_messages_stale");
  const struct
  {
    guint64 to;
    gint64 lasts;
  } sent[] = { { GONE, 60 * CC_SECOND },
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
  run_main_loop (150);
  open_peer (&later, STRANGER + 1);
  run_main_loop (600);
  assert_int_equal (later.received, 1);
  assert_int_equal (counter ("capercrank_messages_stale"), before + 2);
  close_peer (&later);
}

/* Guards against a request that is queued for an absent dispatcher instead of
 * being rejected immediately as not sent. */
static void
request_to_absent_is_refused (void **state)
{
  CcMessage m = { .kind = CC_MSG_REQUEST };
  g_autofree char *nobody = free_address ();

  (void) state;
  assert_int_equal (cc_mailbox_send (entry.box, nobody, &m), CC_UNREACHABLE);
}

/* Guards against not-run for requests that may have run when the dispatcher
 * exits.  Once-only requests get unknown immediately.  Idempotent ones wait
 * briefly for the link, then get unknown with a retry time, since a takeover
 * takes longer than a request may be parked. */
static void
lost_link_outcomes (void **state)
{
  guint received = dispatcher.received;
  Answer once_only_answer, idempotent;

  (void) state;
  pause_clock ();
  submit (&once_only_answer, TRUE, 2000);
  submit (&idempotent, FALSE, 5000);
  await_requests (received, 2);
  close_peer (&dispatcher);
  await_answer (&once_only_answer);
  assert_int_equal (once_only_answer.outcome, CC_OUTCOME_UNKNOWN);
  assert_string_equal (once_only_answer.reason, "link");
  advance (200);
  assert_int_equal (idempotent.calls, 0);
  advance (600);
  assert_int_equal (idempotent.calls, 1);
  assert_int_equal (idempotent.outcome, CC_OUTCOME_UNKNOWN);
  assert_true (idempotent.retry_after > 0);
  resume_clock ();
}

/* Returns a version 7 UUID with a timestamp AGE_MS ago. */
static char *
idempotency_key (gint64 age_ms)
{
  guint64 ms = (guint64) (cc_clock_wall () / CC_MS - age_ms);

  return g_strdup_printf ("%08x-%04x-7000-8000-000000000001",
                          (guint) (ms >> 16), (guint) (ms & 0xffff));
}

/* Guards against not-run for a rejected once-only request while another attempt
 * with the same key may be running through another entry. */
static void
rejected_once_only_is_unknown (void **state)
{
  static const struct
  {
    gint64 age_ms;
    CcOutcome outcome;
    gboolean once_only;
  } cases[] = { { 0, CC_OUTCOME_UNKNOWN, TRUE },
                { 2000, CC_OUTCOME_UNKNOWN, TRUE },
                { 0, CC_OUTCOME_NOT_RUN, FALSE } };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Answer a;

      next_idempotency_key = idempotency_key (cases[i].age_ms);
      submit (&a, cases[i].once_only, 2000);
      run_main_loop (50);
      assert_int_equal (a.calls, 1);
      assert_int_equal (a.outcome, cases[i].outcome);
      g_free (next_idempotency_key);
      next_idempotency_key = NULL;
    }
}

static void
await_link (const char *address)
{
  cc_mailbox_connect (entry.box, address);
  for (guint i = 0;
       i < HANGS_AFTER_MS && !cc_mailbox_is_up (entry.box, address); i++)
    run_main_loop (1);
  assert_true (cc_mailbox_is_up (entry.box, address));
}

/* Makes the stranger the owner of the dispatcher's server. */
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

/* Guards against outcome unknown for once-only requests when a drained
 * dispatcher exits before the entry has read the map with its successor: one
 * request was sent before the exit, one is submitted after it. */
static void
requests_of_drained_dispatcher_go_to_successor (void **state)
{
  guint64 lost = counter ("capercrank_links_lost");
  guint received = dispatcher.received, before_takeover = stranger.received;
  Answer sent, later;

  (void) state;
  open_peer (&dispatcher, DISPATCHER);
  await_link (dispatcher.address);
  await_link (stranger.address);
  ((CcMember *) cc_follower_member (view, "d"))->draining = TRUE;
  pause_clock ();
  submit (&sent, TRUE, 5000);
  await_requests (received, 1);
  close_peer (&dispatcher);
  await_count ("capercrank_links_lost", lost + 1);
  submit (&later, TRUE, 5000);
  advance (1000);
  assert_int_equal (sent.calls, 0);
  assert_int_equal (later.calls, 0);
  set_owner_stranger ();
  cc_router_view_changed (entry.router);
  for (guint i = 0;
       i < HANGS_AFTER_MS && stranger.received < before_takeover + 2; i++)
    run_main_loop (1);
  assert_int_equal (stranger.received, before_takeover + 2);
  reply (&stranger, stranger.previous, "successor's");
  reply (&stranger, stranger.last, "successor's");
  await_answer (&sent);
  await_answer (&later);
  assert_string_equal (sent.body, "successor's");
  assert_string_equal (later.body, "successor's");
  resume_clock ();
}

/* Guards against unknown at the deadline for a once-only request that was sent
 * to a restarted process at the address of its dispatcher, which drops it.  The
 * request must wait for a map with a current owner. */
static void
request_for_earlier_incarnation_is_not_sent (void **state)
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
  submit (&a, TRUE, 5000);
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
    cmocka_unit_test (once_only_waits_for_slow_move),
    cmocka_unit_test (stale_messages_are_dropped),
    cmocka_unit_test (request_to_absent_is_refused),
    cmocka_unit_test (lost_link_outcomes),
    cmocka_unit_test (rejected_once_only_is_unknown),
    cmocka_unit_test (requests_of_drained_dispatcher_go_to_successor),
    cmocka_unit_test (request_for_earlier_incarnation_is_not_sent),
  };

  return cmocka_run_group_tests (tests, start, NULL);
}
