/* Guards against requests that are admitted and then miss their target, and
 * against a server that refuses although it could serve: a table of single
 * decisions, and a simulated server under overload. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "load.h"

typedef struct
{
  const char *name;
  CcAdmissionRequest request;
  CcAdmission verdict;
} Case;

/* within, left, service, deviation, ahead, slots, tenant, slice; ms */
static const Case cases[] = {
  { "idle", { 100, 2000, 4, 1, 0, 4, 0, 0 }, CC_ADMIT },
  { "wait within target", { 100, 2000, 4, 1, 170, 4, 0, 0 }, CC_ADMIT },
  { "wait past target", { 100, 2000, 4, 1, 190, 4, 0, 0 }, CC_REFUSE_LATE },
  { "deadline nearer", { 100, 20, 4, 1, 80, 4, 0, 0 }, CC_REFUSE_LATE },
  { "deadline past", { 100, 3, 4, 1, 0, 4, 0, 0 }, CC_REFUSE_LATE },
  { "slow but idle", { 100, 2000, 150, 10, 0, 4, 0, 0 }, CC_ADMIT },
  { "slow and busy", { 100, 2000, 150, 10, 900, 4, 0, 0 }, CC_REFUSE_LATE },
  { "hot tenant", { 100, 2000, 4, 1, 100, 4, 80, 0 }, CC_REFUSE_SHARE },
  { "hot key", { 100, 2000, 4, 1, 100, 4, 0, 80 }, CC_REFUSE_SHARE },
  { "other tenant", { 100, 2000, 4, 1, 100, 4, 4, 4 }, CC_ADMIT },
  { "never measured", { 100, 2000, 0, 0, 0, 1, 0, 0 }, CC_ADMIT },
  { "one slot", { 100, 2000, 4, 1, 80, 1, 0, 0 }, CC_REFUSE_LATE },
};

static void
test_cases (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    if (cc_admission_decide (&cases[i].request) != cases[i].verdict)
      fail_msg ("%s", cases[i].name);
}

/* A thousand requests that are refused together with the same Retry-After would
 * return together.  Their times are spread at the rate at which the server
 * drains, 1 ms each here, and the spread starts anew once it is idle. */
static void
test_returns_are_paced (void **state)
{
  CcAdmissionRequest a = { 100000, 2000000, 4000, 0, 400000, 4, 0, 0 };
  CcRetryPacer c = { 0 };
  guint32 first = cc_admission_retry_after (&c, &a, CC_REFUSE_LATE, 0);
  guint32 last = 0;

  for (guint i = 1; i < 1000; i++)
    last = cc_admission_retry_after (&c, &a, CC_REFUSE_LATE, 0);
  assert_in_range (first, 100, 110);
  assert_in_range (last - first, 990, 1010);
  assert_in_range (
      cc_admission_retry_after (&c, &a, CC_REFUSE_LATE, 5 * CC_SECOND), 100,
      110);
}

#define JOBS 400
#define SLOTS 4
#define WORK (4 * CC_MS)
#define WITHIN (100 * CC_MS)

/* A simple server: the time at which each slot becomes free. */
typedef struct
{
  gint64 ends[SLOTS];
  CcQueueEntry *runs[SLOTS];
  guint late;
} Server;

static void
advance (CcLoad *l, Server *s, gint64 until)
{
  for (;;)
    {
      CcQueueEntry *w;
      gint first = -1;

      for (gint i = 0; i < SLOTS; i++)
        if (s->runs[i] != NULL && s->ends[i] <= until &&
            (first < 0 || s->ends[i] < s->ends[first]))
          first = i;
      if (first < 0)
        return;
      w = s->runs[first];
      s->runs[first] = NULL;
      s->late += s->ends[first] > w->due;
      cc_load_done (l, w, CC_LOAD_ANSWERED, s->ends[first]);
      for (gint i = 0; i < SLOTS; i++)
        if (s->runs[i] == NULL)
          {
            s->runs[i] = cc_load_next (l, NULL, NULL, s->ends[first]);
            s->ends[i] = s->ends[first] + WORK;
          }
    }
}

static guint
run_seed (guint32 seed, guint *admitted)
{
  GRand *rand = g_rand_new_with_seed (seed);
  static CcQueueEntry jobs[JOBS];
  Server s = { 0 };
  gint64 now = 0;
  CcLoad l;

  cc_load_init (&l);
  for (guint i = 0; i < JOBS; i++)
    {
      now += g_rand_int_range (rand, 0, 1000);
      advance (&l, &s, now);
      jobs[i] = (CcQueueEntry){ .due = now + WITHIN,
                                .arrived = now,
                                .tenant = (guint) g_rand_int_range (rand, 1, 9),
                                .slice = i + 1,
                                .within = WITHIN,
                                .left = CC_SECOND };
      *admitted += cc_load_offer (&l, &jobs[i], now).admitted;
      for (gint k = 0; k < SLOTS; k++)
        if (s.runs[k] == NULL &&
            (s.runs[k] = cc_load_next (&l, NULL, NULL, now)) != NULL)
          s.ends[k] = now + WORK;
    }
  advance (&l, &s, G_MAXINT64);
  cc_load_clear (&l);
  g_rand_free (rand);
  return s.late;
}

/* At twice the load that the server can serve, every admitted request is
 * answered within the target (except for the first few, before anything is
 * measured), and the slots are never idle. */
static void
test_admitted_meet_their_target (void **state)
{
  for (guint32 seed = 1; seed <= 1000; seed++)
    {
      guint admitted = 0;
      guint late = run_seed (seed, &admitted);

      if (late > 0 || admitted < JOBS / 2)
        fail_msg ("seed %u: %u late of %u admitted", seed, late, admitted);
    }
}

/* A server stalls: once its work is long overdue, every request is refused,
 * with a Retry-After as long as the stall has lasted. */
static void
test_stalled_server_refuses (void **state)
{
  CcQueueEntry a = { .due = WITHIN, .within = WITHIN, .left = CC_SECOND };
  CcQueueEntry b = a;
  CcOfferResult offer;
  CcLoad l;

  cc_load_init (&l);
  assert_true (cc_load_offer (&l, &a, 0).admitted);
  assert_non_null (cc_load_next (&l, NULL, NULL, 0));
  offer = cc_load_offer (&l, &b, 400 * CC_MS);
  assert_false (offer.admitted);
  assert_string_equal (offer.reason, "stalled");
  assert_int_equal (offer.retry_after, 400);
  cc_load_done (&l, &a, CC_LOAD_LOST, 500 * CC_MS);
  assert_true (cc_load_offer (&l, &b, 500 * CC_MS).admitted);
  cc_load_clear (&l);
}

/* A cold server's first request takes 150 ms of a target of 300.  Guards
 * against waiting requests that are refused as "stalled" up to 100 ms after
 * their arrival, because nothing is measured yet and work is expected to take
 * no time. */
static void
test_cold_server_is_not_stalled (void **state)
{
  CcQueueEntry a = { .due = 300 * CC_MS,
                     .within = 300 * CC_MS,
                     .left = CC_SECOND };
  CcQueueEntry b = a;
  CcQueueEntry c = a;
  CcLoad l;

  cc_load_init (&l);
  assert_true (cc_load_offer (&l, &a, 0).admitted);
  assert_non_null (cc_load_next (&l, NULL, NULL, 0));
  assert_true (cc_load_offer (&l, &b, 0).admitted);
  assert_false (cc_load_stalled (&l, 150 * CC_MS));
  assert_false (cc_load_offer (&l, &c, 0).admitted);
  cc_load_clear (&l);
}

/* A server, or this process, stalls for seconds and recovers.  Guards against
 * an estimate by which no later request can meet its deadline: all would be
 * refused, none would be sent, and so the estimate would never change. */
static void
test_recovers_from_a_stall (void **state)
{
  gint64 now = 0;
  CcLoad l;

  cc_load_init (&l);
  for (guint i = 0; i < 60; i++)
    {
      CcQueueEntry w = { .within = WITHIN,
                         .left = 2 * CC_SECOND,
                         .arrived = now };

      if (!cc_load_offer (&l, &w, now).admitted)
        fail_msg ("request %u was refused by an idle server", i);
      assert_non_null (cc_load_next (&l, NULL, NULL, now));
      now += i < 8 ? 3 * CC_SECOND : WORK;
      cc_load_done (&l, &w, CC_LOAD_ANSWERED, now);
    }
  assert_in_range (cc_costs_of (&l.costs, 0).mean, 1, 10 * CC_MS);
  cc_load_clear (&l);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_returns_are_paced),
    cmocka_unit_test (test_admitted_meet_their_target),
    cmocka_unit_test (test_stalled_server_refuses),
    cmocka_unit_test (test_cold_server_is_not_stalled),
    cmocka_unit_test (test_recovers_from_a_stall),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
