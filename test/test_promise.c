/* A holder, an assigner, five voters and a table.  The model: when a lease row
 * is deleted, its holder's lease has run out, and doesn't come back. */
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
  OMIT_QUIET,    /* a voter that restarts answers at once */
  OMIT_LIVE,     /* a voter releases despite a live promise */
  OMIT_MAJORITY, /* two voters of five are enough */
  OMIT_REVIVAL,  /* an extension may come after the lease ran out */
  OMIT_ROW_CHECK /* the deletion doesn't check the row's version */
} Omission;

typedef enum
{
  TO_VOTER,
  TO_HOLDER,
  TO_ASSIGNER,
  TO_TABLE,
  FROM_TABLE
} Where;

typedef struct
{
  Where where;
  CcVoteKind what;
  gint64 due;
  guint voter;
  guint64 number, version;
  guint life; /* which registration it is about */
} Wire;

typedef struct
{
  GRand *rand;
  Omission omit;
  gint64 now, down_until, cut_until, asleep_until, assigner_asleep;
  gint64 deaf_until;  /* the assigner's view is old */
  gint64 apart_until; /* the holder doesn't reach the table */
  GArray *wires;
  CcVoter voters[VOTERS];
  CcLease lease;
  CcBallot asking, releasing;
  gint64 renew_due, ask_due, release_due;
  guint64 row, last; /* version of the lease row, 0: deleted; transactions */
  guint64 seen;
  guint life; /* counts registrations */
  gint64 gone_at;
  CcLeaseWatch watch;
  gint32 loss; /* one message in so many is lost */
  guint faults, extended, deleted;
} World;

static gint64
span (World *w, gint64 low, gint64 high)
{
  return low + (gint64) (g_rand_double (w->rand) * (double) (high - low));
}

static gboolean
once_in (World *w, gint32 n)
{
  return g_rand_int_range (w->rand, 0, n) == 0;
}

static void
post (World *w, Wire m)
{
  if (m.life == 0)
    m.life = w->life;
  m.due = w->now + span (w, CC_MS, 20 * CC_MS);
  if (once_in (w, 12))
    m.due += span (w, 0, 5 * CC_SECOND);
  if (!once_in (w, w->loss))
    g_array_append_val (w->wires, m);
}

static void
ask_all (World *w, CcBallot *b, CcVoteKind what, guint64 version)
{
  cc_ballot_begin (b, version, 1, VOTERS, w->now);
  if (w->omit == OMIT_MAJORITY)
    b->needed = 2;
  for (guint i = 0; i < VOTERS; i++)
    post (w, (Wire){ TO_VOTER, what, 0, i, b->number, version, 0 });
}

static void
tick_holder (World *w)
{
  if (w->now >= w->renew_due)
    {
      w->renew_due = w->now + CC_LEASE_PERIOD;
      w->lease.sent_at = 0;
      cc_lease_begin (&w->lease, w->now);
      if (w->now >= w->apart_until)
        post (w, (Wire){ TO_TABLE, CC_VOTE_REQUEST, 0, 0, w->lease.sequence,
                         w->lease.version, 0 });
    }
  if (w->now >= w->ask_due)
    {
      w->ask_due = w->now + CC_LEASE_PERIOD;
      ask_all (w, &w->asking, CC_VOTE_REQUEST, w->lease.version);
    }
}

static void
tick_assigner (World *w)
{
  if (w->now >= w->deaf_until && w->now >= w->down_until)
    w->seen = w->row;
  if (w->seen == 0)
    return;
  cc_lease_watch (&w->watch, w->seen, w->now);
  if (!cc_lease_watch_lapsed (&w->watch, w->now) || w->now < w->release_due)
    return;
  w->release_due = w->now + span (w, CC_LEASE_PERIOD, 4 * CC_SECOND);
  ask_all (w, &w->releasing, CC_VOTE_RELEASE, w->seen);
}

static gboolean
judge_voter (World *w, CcVoter *v, const Wire *m)
{
  gint64 now = w->now;
  char id[] = { (char) m->life, 0 };

  if (w->omit == OMIT_QUIET)
    v->quiet_until = 0;
  if (m->what == CC_VOTE_REQUEST)
    return cc_voter_promise (v, id, m->version, now);
  if (w->omit == OMIT_LIVE)
    now += 10 * CC_PROMISE_TERM;
  return cc_voter_release (v, id, m->version, now);
}

static void
voter_takes (World *w, const Wire *m)
{
  gboolean ask = m->what == CC_VOTE_REQUEST;

  if (judge_voter (w, &w->voters[m->voter], m))
    post (w, (Wire){ ask ? TO_HOLDER : TO_ASSIGNER, m->what, 0, m->voter,
                     m->number, m->version, m->life });
}

static gboolean
count (World *w, CcBallot *b, const Wire *m)
{
  char name[2] = { (char) ('0' + m->voter), 0 };

  return cc_ballot_count (b, m->number, name);
}

static void
holder_takes (World *w, const Wire *m)
{
  gint64 before = w->lease.valid_until;

  if (!count (w, &w->asking, m))
    return;
  if (w->omit == OMIT_REVIVAL)
    w->lease.valid_until = MAX (before, w->asking.requested_at + CC_LEASE_TERM);
  else
    cc_lease_extend (&w->lease, w->asking.requested_at, w->now);
  w->extended += w->lease.valid_until > before;
}

/* A renewal, or a deletion by the assigner. */
static void
table_takes (World *w, const Wire *m)
{
  gboolean deletes = m->what == CC_VOTE_RELEASE;

  if (w->now < w->down_until || w->row == 0)
    return;
  if (m->version != w->row && !(deletes && w->omit == OMIT_ROW_CHECK))
    {
      if (!deletes) /* the holder reads what stands there */
        post (w, (Wire){ FROM_TABLE, 0, 0, 0, 0, w->row, 0 });
      return;
    }
  w->last++;
  w->row = deletes ? 0 : w->last;
  w->deleted += deletes;
  if (!deletes)
    post (w, (Wire){ FROM_TABLE, 0, 0, 0, m->number, w->last, 0 });
}

static void
deliver (World *w, const Wire *m)
{
  if (m->where != TO_VOTER && m->life != w->life)
    return;
  switch (m->where)
    {
    case TO_VOTER:
      voter_takes (w, m);
      break;
    case TO_HOLDER:
      holder_takes (w, m);
      break;
    case TO_ASSIGNER:
      if (count (w, &w->releasing, m))
        post (w, (Wire){ TO_TABLE, CC_VOTE_RELEASE, 0, 0, 0,
                         w->releasing.version, 0 });
      break;
    case TO_TABLE:
      table_takes (w, m);
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
  for (guint i = w->wires->len; i-- > 0;)
    {
      Wire m = g_array_index (w->wires, Wire, i);
      gboolean holder = m.where == TO_HOLDER || m.where == FROM_TABLE;

      if (m.due > w->now || (holder && w->now < w->asleep_until))
        continue;
      g_array_remove_index_fast (w->wires, i);
      if (!(holder && w->now < w->cut_until))
        deliver (w, &m);
    }
}

static void
harm (World *w)
{
  CcVoter *v = &w->voters[g_rand_int_range (w->rand, 0, VOTERS)];

  if (once_in (w, 1000))
    w->down_until = w->now + span (w, 0, 8 * CC_SECOND);
  if (once_in (w, 700))
    w->apart_until = w->now + span (w, 0, 15 * CC_SECOND);
  if (once_in (w, 1500))
    w->cut_until = w->now + span (w, 0, 4 * CC_SECOND);
  if (once_in (w, 1500))
    w->asleep_until = w->now + span (w, 0, 4 * CC_SECOND);
  if (once_in (w, 1000))
    w->assigner_asleep = w->now + span (w, 0, 4 * CC_SECOND);
  if (once_in (w, 1000))
    w->deaf_until = w->now + span (w, 0, 6 * CC_SECOND);
  if (once_in (w, 100))
    {
      cc_voter_clear (v);
      cc_voter_init (v, w->now);
    }
}

static void
register_again (World *w)
{
  w->life++;
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
  harm (w);
  deliver_due (w);
  if (w->now >= w->asleep_until)
    tick_holder (w);
  if (w->now >= w->assigner_asleep)
    tick_assigner (w);
  w->faults += w->row == 0 && cc_lease_is_valid (&w->lease, w->now);
  if (w->row != 0)
    w->gone_at = w->now;
  else if (w->now > w->gone_at + CC_SECOND)
    register_again (w);
}

static World
run (guint32 seed, Omission omit)
{
  World w = { .rand = g_rand_new_with_seed (seed), .omit = omit };

  w.now = 10 * CC_SECOND;
  w.loss = seed % 2 == 0 ? 12 : 4;
  w.wires = g_array_new (FALSE, FALSE, sizeof (Wire));
  for (guint i = 0; i < VOTERS; i++)
    cc_voter_init (&w.voters[i], 0);
  register_again (&w);
  while (w.now < LENGTH && w.faults == 0)
    step (&w);
  for (guint i = 0; i < VOTERS; i++)
    cc_voter_clear (&w.voters[i]);
  cc_ballot_clear (&w.asking);
  cc_ballot_clear (&w.releasing);
  g_array_unref (w.wires);
  g_rand_free (w.rand);
  return w;
}

/* The table comes and goes, the holder is cut off and sleeps, voters restart.
 * A takeover and an extension that still lives never stand together. */
static void
test_schedules (void **state)
{
  guint faulty = 0, extended = 0, deleted = 0;

  (void) state;
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World w = run (seed, OMIT_NOTHING);

      if (w.faults > 0 && ++faulty <= 5)
        print_message ("# seed %u: sends after the takeover\n", seed);
      extended += w.extended;
      deleted += w.deleted;
    }
  print_message ("# %d seeds, %u faulty; %u extensions, %u takeovers\n", SEEDS,
                 faulty, extended, deleted);
  assert_int_equal (faulty, 0);
  assert_true (extended > SEEDS && deleted > 100);
}

static void
test_omissions (void **state)
{
  static const struct
  {
    Omission omit;
    const char *name;
  } cases[] = { { OMIT_QUIET, "quiet after a restart" },
                { OMIT_LIVE, "waiting for a live promise" },
                { OMIT_MAJORITY, "a majority" },
                { OMIT_REVIVAL, "extending only a valid lease" },
                { OMIT_ROW_CHECK, "check of the row's version" } };
  guint green = 0;

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      guint32 seed = 0;
      World w = { 0 };

      while (w.faults == 0 && seed < SEEDS)
        w = run (++seed, cases[i].omit);
      green += w.faults == 0;
      print_message ("# without %s: %s at seed %u\n", cases[i].name,
                     w.faults > 0 ? "a fault" : "NO FAULT", seed);
    }
  assert_int_equal (green, 0);
}

/* The holder lives on promises of B, C and D.  An assigner's question reaches A
 * first, which releases; then the holder asks again and reaches A, D and E
 * only; then the question reaches B and C, whose promises have run out.  A, B
 * and C have released: if A still promised, the holder would send on for a
 * term. */
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
  gint64 run_out = t + CC_PROMISE_TERM + CC_MS;

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

  assert_true (cc_voter_release (&v[B], "id", 5, run_out));
  assert_false (cc_ballot_count (&assigner, 1, "B"));
  assert_true (cc_voter_release (&v[C], "id", 5, run_out));
  assert_true (cc_ballot_count (&assigner, 1, "C"));
  assert_true (cc_voter_promise (&v[A], "id", 6, run_out));
  for (guint i = 0; i < VOTERS; i++)
    cc_voter_clear (&v[i]);
  cc_ballot_clear (&holder);
  cc_ballot_clear (&assigner);
}

/* B, C and D promise, but their answers are late.  The holder asks again; A and
 * E promise.  Then B's old answer comes: counted with the new question it would
 * make a majority, and extend the lease past the moment at which B, C and D may
 * release it. */
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
  gint64 run_out = t + CC_PROMISE_TERM + CC_MS;

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
    assert_true (cc_voter_release (&v[i], "id", 5, run_out));
  assert_true (run_out < later + CC_LEASE_TERM);
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

/* Members come and go at random.  Between two sets of voters one voter differs,
 * so any two majorities share one; the set never falls below three again. */
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
