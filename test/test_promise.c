/* Guards against a holder that sends after its lease row was deleted, and
 * against voter sets without a common majority: messages are late or lost,
 * processes are paused, voters restart and the table is unreachable. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "promise.h"
#include "voters.h"

#define VOTERS 5
#define TICK (10 * CC_MS)
#define LENGTH (60 * CC_SECOND)
#define SEEDS 3000

typedef enum
{
  OMIT_NOTHING,
  OMIT_QUIET,    /* a voter that restarts votes at once */
  OMIT_LIVE,     /* a voter releases despite a promise in force */
  OMIT_MAJORITY, /* two voters of five are enough */
  OMIT_REVIVAL,  /* an extension is accepted after the lease has lapsed */
  OMIT_ROW_CHECK /* the deletion doesn't check the row's version */
} Omission;

typedef enum
{
  TO_VOTER,
  TO_HOLDER,
  TO_ASSIGNER,
  TO_TABLE,
  FROM_TABLE
} Recipient;

typedef struct
{
  Recipient recipient;
  CcVoteKind what;
  gint64 due;
  guint voter;
  guint64 number, version;
  guint registration; /* the number of the one that it is about */
} Message;

typedef struct
{
  GRand *rand;
  Omission omit;
  gint64 now, down_until, cut_until, holder_paused_until, assigner_paused_until;
  gint64 stale_until;      /* the assigner's view is not updated */
  gint64 write_lost_until; /* the holder's writes don't reach the table */
  GArray *messages;
  CcVoter voters[VOTERS];
  CcLease lease;
  CcBallot promise_request, release_request;
  gint64 renew_due, promise_due, release_due;
  guint64 row, last; /* version of the lease row, 0: deleted; transactions */
  guint64 seen;
  guint registration; /* counts registrations */
  gint64 row_seen_at;
  CcLeaseWatch watch;
  gint32 loss; /* one message in this number is lost */
  guint faults, extended, deleted;
} World;

static gint64
random_span (World *w, gint64 low, gint64 high)
{
  return low + (gint64) (g_rand_double (w->rand) * (double) (high - low));
}

static gboolean
once_in (World *w, gint32 n)
{
  return g_rand_int_range (w->rand, 0, n) == 0;
}

static void
send_message (World *w, Message m)
{
  if (m.registration == 0)
    m.registration = w->registration;
  m.due = w->now + random_span (w, CC_MS, 20 * CC_MS);
  if (once_in (w, 12))
    m.due += random_span (w, 0, 5 * CC_SECOND);
  if (!once_in (w, w->loss))
    g_array_append_val (w->messages, m);
}

static void
send_to_voters (World *w, CcBallot *b, CcVoteKind what, guint64 version)
{
  cc_ballot_begin (b, version, 1, VOTERS, w->now);
  if (w->omit == OMIT_MAJORITY)
    b->needed = 2;
  for (guint i = 0; i < VOTERS; i++)
    send_message (w, (Message){ TO_VOTER, what, 0, i, b->number, version, 0 });
}

static void
tick_holder (World *w)
{
  if (w->now >= w->renew_due)
    {
      w->renew_due = w->now + CC_LEASE_PERIOD;
      w->lease.sent_at = 0;
      cc_lease_begin (&w->lease, w->now);
      if (w->now >= w->write_lost_until)
        send_message (w, (Message){ TO_TABLE, CC_VOTE_REQUEST, 0, 0,
                                    w->lease.sequence, w->lease.version, 0 });
    }
  if (w->now >= w->promise_due)
    {
      w->promise_due = w->now + CC_LEASE_PERIOD;
      send_to_voters (w, &w->promise_request, CC_VOTE_REQUEST,
                      w->lease.version);
    }
}

static void
tick_assigner (World *w)
{
  if (w->now >= w->stale_until && w->now >= w->down_until)
    w->seen = w->row;
  if (w->seen == 0)
    return;
  cc_lease_watch (&w->watch, w->seen, w->now);
  if (!cc_lease_watch_lapsed (&w->watch, w->now) || w->now < w->release_due)
    return;
  w->release_due = w->now + random_span (w, CC_LEASE_PERIOD, 4 * CC_SECOND);
  send_to_voters (w, &w->release_request, CC_VOTE_RELEASE, w->seen);
}

static gboolean
apply_vote (World *w, CcVoter *v, const Message *m)
{
  gint64 now = w->now;
  char id[] = { (char) m->registration, 0 };

  if (w->omit == OMIT_QUIET)
    v->reject_until = 0;
  if (m->what == CC_VOTE_REQUEST)
    return cc_voter_promise (v, id, m->version, now);
  if (w->omit == OMIT_LIVE)
    now += 10 * CC_PROMISE_TERM;
  return cc_voter_release (v, id, m->version, now);
}

static void
receive_at_voter (World *w, const Message *m)
{
  gboolean is_request = m->what == CC_VOTE_REQUEST;

  if (apply_vote (w, &w->voters[m->voter], m))
    send_message (w, (Message){ is_request ? TO_HOLDER : TO_ASSIGNER, m->what,
                                0, m->voter, m->number, m->version,
                                m->registration });
}

static gboolean
count (World *w, CcBallot *b, const Message *m)
{
  char name[2] = { (char) ('0' + m->voter), 0 };

  return cc_ballot_count (b, m->number, name);
}

static void
receive_at_holder (World *w, const Message *m)
{
  gint64 before = w->lease.valid_until;

  if (!count (w, &w->promise_request, m))
    return;
  if (w->omit == OMIT_REVIVAL)
    w->lease.valid_until =
        MAX (before, w->promise_request.requested_at + CC_LEASE_TERM);
  else
    cc_lease_extend (&w->lease, w->promise_request.requested_at, w->now);
  w->extended += w->lease.valid_until > before;
}

/* A renewal, or a deletion by the assigner. */
static void
receive_at_table (World *w, const Message *m)
{
  gboolean deletes = m->what == CC_VOTE_RELEASE;

  if (w->now < w->down_until || w->row == 0)
    return;
  if (m->version != w->row && !(deletes && w->omit == OMIT_ROW_CHECK))
    {
      if (!deletes) /* the holder reads the present row */
        send_message (w, (Message){ FROM_TABLE, 0, 0, 0, 0, w->row, 0 });
      return;
    }
  w->last++;
  w->row = deletes ? 0 : w->last;
  w->deleted += deletes;
  if (!deletes)
    send_message (w, (Message){ FROM_TABLE, 0, 0, 0, m->number, w->last, 0 });
}

static void
deliver (World *w, const Message *m)
{
  if (m->recipient != TO_VOTER && m->registration != w->registration)
    return;
  switch (m->recipient)
    {
    case TO_VOTER:
      receive_at_voter (w, m);
      break;
    case TO_HOLDER:
      receive_at_holder (w, m);
      break;
    case TO_ASSIGNER:
      if (count (w, &w->release_request, m))
        send_message (w, (Message){ TO_TABLE, CC_VOTE_RELEASE, 0, 0, 0,
                                    w->release_request.version, 0 });
      break;
    case TO_TABLE:
      receive_at_table (w, m);
      break;
    case FROM_TABLE:
      if (m->number == w->lease.sequence)
        cc_lease_renewed (&w->lease, m->version);
      else
        w->lease.version = MAX (w->lease.version, m->version);
      break;
    }
}

static void
deliver_due (World *w)
{
  for (guint i = w->messages->len; i-- > 0;)
    {
      Message m = g_array_index (w->messages, Message, i);
      gboolean holder = m.recipient == TO_HOLDER || m.recipient == FROM_TABLE;

      if (m.due > w->now || (holder && w->now < w->holder_paused_until))
        continue;
      g_array_remove_index_fast (w->messages, i);
      if (!(holder && w->now < w->cut_until))
        deliver (w, &m);
    }
}

static void
inject_failures (World *w)
{
  CcVoter *v = &w->voters[g_rand_int_range (w->rand, 0, VOTERS)];

  if (once_in (w, 1000))
    w->down_until = w->now + random_span (w, 0, 8 * CC_SECOND);
  if (once_in (w, 700))
    w->write_lost_until = w->now + random_span (w, 0, 15 * CC_SECOND);
  if (once_in (w, 1500))
    w->cut_until = w->now + random_span (w, 0, 4 * CC_SECOND);
  if (once_in (w, 1500))
    w->holder_paused_until = w->now + random_span (w, 0, 4 * CC_SECOND);
  if (once_in (w, 1000))
    w->assigner_paused_until = w->now + random_span (w, 0, 4 * CC_SECOND);
  if (once_in (w, 1000))
    w->stale_until = w->now + random_span (w, 0, 6 * CC_SECOND);
  if (once_in (w, 100))
    {
      cc_voter_clear (v);
      cc_voter_init (v, w->now);
    }
}

static void
register_again (World *w)
{
  w->registration++;
  w->row = ++w->last;
  cc_lease_init (&w->lease);
  w->lease.version = w->row;
  w->lease.valid_until = w->now + CC_LEASE_TERM;
  w->seen = 0;
}

static void
step (World *w)
{
  w->now += TICK;
  inject_failures (w);
  deliver_due (w);
  if (w->now >= w->holder_paused_until)
    tick_holder (w);
  if (w->now >= w->assigner_paused_until)
    tick_assigner (w);
  w->faults += w->row == 0 && cc_lease_is_valid (&w->lease, w->now);
  if (w->row != 0)
    w->row_seen_at = w->now;
  else if (w->now > w->row_seen_at + CC_SECOND)
    register_again (w);
}

static World
run (guint32 seed, Omission omit)
{
  World w = { .rand = g_rand_new_with_seed (seed), .omit = omit };

  w.now = 10 * CC_SECOND;
  w.loss = seed % 2 == 0 ? 12 : 4;
  w.messages = g_array_new (FALSE, FALSE, sizeof (Message));
  for (guint i = 0; i < VOTERS; i++)
    cc_voter_init (&w.voters[i], 0);
  register_again (&w);
  while (w.now < LENGTH && w.faults == 0)
    step (&w);
  for (guint i = 0; i < VOTERS; i++)
    cc_voter_clear (&w.voters[i]);
  cc_ballot_clear (&w.promise_request);
  cc_ballot_clear (&w.release_request);
  g_array_unref (w.messages);
  g_rand_free (w.rand);
  return w;
}

/* The table is down at times, the holder is cut off and paused, and voters
 * restart.  No lease is valid after a takeover has deleted it. */
static void
test_schedules (void **state)
{
  guint failed_seeds = 0, extended = 0, deleted = 0;

  (void) state;
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World w = run (seed, OMIT_NOTHING);

      if (w.faults > 0 && ++failed_seeds <= 5)
        print_message ("# seed %u: sends after the takeover\n", seed);
      extended += w.extended;
      deleted += w.deleted;
    }
  print_message ("# %d seeds, %u faulty; %u extensions, %u takeovers\n", SEEDS,
                 failed_seeds, extended, deleted);
  assert_int_equal (failed_seeds, 0);
  assert_true (extended > SEEDS && deleted > 100);
}

/* Each rule that a case leaves out is necessary: without it, some seed shows a
 * fault. */
static void
test_omissions (void **state)
{
  static const struct
  {
    Omission omit;
    const char *name;
  } cases[] = { { OMIT_QUIET, "quiet after a restart" },
                { OMIT_LIVE, "waiting for a promise in force" },
                { OMIT_MAJORITY, "a majority" },
                { OMIT_REVIVAL, "extending only a valid lease" },
                { OMIT_ROW_CHECK, "check of the row's version" } };
  guint undetected = 0;

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      guint32 seed = 0;
      World w = { 0 };

      while (w.faults == 0 && seed < SEEDS)
        w = run (++seed, cases[i].omit);
      undetected += w.faults == 0;
      print_message ("# without %s: %s at seed %u\n", cases[i].name,
                     w.faults > 0 ? "a fault" : "NO FAULT", seed);
    }
  assert_int_equal (undetected, 0);
}

/* Guards against a promise for a version that was released: B, C and D promise,
 * A releases, the holder's next request reaches only A, D and E, then B and C
 * release after their promises expired.  A promise by A would let the holder
 * send for a term after the takeover. */
static void
test_released_is_refused (void **state)
{
  enum
  {
    A,
    B,
    C,
    D,
    E
  };
  CcVoter v[VOTERS];
  CcBallot holder = { 0 }, assigner = { 0 };
  gint64 t = 10 * CC_SECOND, later = t + 1950 * CC_MS;
  gint64 expired = t + CC_PROMISE_TERM + CC_MS;

  (void) state;
  for (guint i = 0; i < VOTERS; i++)
    cc_voter_init (&v[i], 0);
  for (guint i = B; i <= D; i++)
    assert_true (cc_voter_promise (&v[i], "id", 5, t));
  cc_ballot_begin (&assigner, 5, 1, VOTERS, later - CC_MS);
  assert_true (cc_voter_release (&v[A], "id", 5, later - CC_MS));
  assert_false (cc_ballot_count (&assigner, 1, "A"));

  cc_ballot_begin (&holder, 5, 1, VOTERS, later);
  assert_false (cc_voter_promise (&v[A], "id", 5, later));
  assert_true (cc_voter_promise (&v[D], "id", 5, later));
  assert_false (cc_ballot_count (&holder, 1, "D"));
  assert_true (cc_voter_promise (&v[E], "id", 5, later));
  assert_false (cc_ballot_count (&holder, 1, "E"));

  assert_true (cc_voter_release (&v[B], "id", 5, expired));
  assert_false (cc_ballot_count (&assigner, 1, "B"));
  assert_true (cc_voter_release (&v[C], "id", 5, expired));
  assert_true (cc_ballot_count (&assigner, 1, "C"));
  assert_true (cc_voter_promise (&v[A], "id", 6, expired));
  for (guint i = 0; i < VOTERS; i++)
    cc_voter_clear (&v[i]);
  cc_ballot_clear (&holder);
  cc_ballot_clear (&assigner);
}

/* Guards against a late answer that is counted for the next request: B, C and D
 * promise late, and A and E promise on the second request.  With B's answer to
 * the first they would make a majority, which extends the lease past the time
 * at which B, C and D may release it. */
static void
test_late_answer_is_not_counted (void **state)
{
  enum
  {
    A,
    B,
    C,
    D,
    E
  };
  CcVoter v[VOTERS];
  CcBallot holder = { 0 };
  gint64 t = 10 * CC_SECOND, later = t + CC_LEASE_TERM - CC_MS;
  gint64 expired = t + CC_PROMISE_TERM + CC_MS;

  (void) state;
  for (guint i = 0; i < VOTERS; i++)
    cc_voter_init (&v[i], 0);
  cc_ballot_begin (&holder, 5, 1, VOTERS, t);
  for (guint i = B; i <= D; i++)
    assert_true (cc_voter_promise (&v[i], "id", 5, t));
  cc_ballot_begin (&holder, 5, 1, VOTERS, later);
  assert_true (cc_voter_promise (&v[A], "id", 5, later));
  assert_false (cc_ballot_count (&holder, 2, "A"));
  assert_true (cc_voter_promise (&v[E], "id", 5, later));
  assert_false (cc_ballot_count (&holder, 2, "E"));
  assert_false (cc_ballot_count (&holder, 1, "B"));
  for (guint i = B; i <= D; i++)
    assert_true (cc_voter_release (&v[i], "id", 5, expired));
  assert_true (expired < later + CC_LEASE_TERM);
  for (guint i = 0; i < VOTERS; i++)
    cc_voter_clear (&v[i]);
  cc_ballot_clear (&holder);
}

static guint
missing_in (const GPtrArray *a, const GPtrArray *b)
{
  guint n = 0;

  for (guint i = 0; i < a->len; i++)
    n += !cc_voters_contain (b, ((CcVoterInfo *) a->pdata[i])->address);
  return n;
}

/* Members join and leave at random.  Successive sets of voters differ by one
 * voter, so that any two majorities share one; once there are three voters, the
 * set never has fewer. */
static void
test_voters_change_by_one (void **state)
{
  CcVoterInfo all[15];
  char addresses[15][2] = { { 0 } };
  GPtrArray *voters = cc_voters_parse (NULL);
  GRand *rand = g_rand_new_with_seed (1);
  guint changes = 0;

  (void) state;
  for (guint i = 0; i < 15; i++)
    {
      addresses[i][0] = (char) ('a' + i);
      all[i] =
          (CcVoterInfo){ addresses[i], (char *[]){ "x", "y", "z" }[i % 3], 0 };
    }
  for (guint t = 1; t < 20000; t++)
    {
      g_autoptr (GPtrArray) members = g_ptr_array_new ();
      g_autofree char *text = cc_voters_print (voters);
      g_autoptr (GPtrArray) before = cc_voters_parse (text);

      for (guint i = 0; i < 15; i++)
        if (g_rand_int_range (rand, 0, 1 + (gint32) (t / 100 + i) % 7) == 0)
          g_ptr_array_add (members, &all[i]);
      changes += cc_voters_update (voters, members, (gint64) t * CC_SECOND);
      if (before->len > 0)
        assert_true (
            missing_in (before, voters) + missing_in (voters, before) <= 1);
      assert_true (before->len == 0 || voters->len >= CC_VOTERS_MIN);
      assert_true (voters->len <= CC_VOTERS_MAX);
    }
  assert_true (changes > 20);
  g_ptr_array_unref (voters);
  g_rand_free (rand);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_schedules),
    cmocka_unit_test (test_omissions),
    cmocka_unit_test (test_released_is_refused),
    cmocka_unit_test (test_late_answer_is_not_counted),
    cmocka_unit_test (test_voters_change_by_one),
  };

  return cmocka_run_group_tests_name ("promise", tests, NULL, NULL);
}
