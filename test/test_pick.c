/* Guards against requests that queue at slow or full servers while others
 * idle, and queues that yield only late responses.  Simulates servers, and
 * entries that know only their own requests and the servers' reports. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <math.h>

#include <cmocka.h>

#include "backlog.h"
#include "pick.h"
#include "pool_load.h"

#define SERVERS 10
#define ENTRIES 11
#define SLOTS 4
#define TICK (2 * CC_MS)

static const CcTypicalWork typical = { .kind = 100.0 * CC_MS,
                                       .any = 100.0 * CC_MS };

typedef struct
{
  gint64 ends; /* 0: waiting in the server */
  gint64 work;
  gint64 began; /* at the entry */
  guint entry;
  guint server;
  double share;
  gint64 sent;
} Job;

typedef struct
{
  double rate;    /* requests per second of all entries */
  double factor;  /* factor on server 0's work times */
  double failing; /* share that server 0 refuses */
  gboolean naive;
  gint64 target;
} Load;

typedef struct
{
  guint requests;
  guint in_target;
  guint ended;
  guint refused;
  guint sent_to_first; /* attempts at server 0 */
  guint sent;
} Result;

typedef struct
{
  GRand *rand;
  const Load *load;
  GPtrArray *inside[SERVERS]; /* of Job, in order */
  CcTargetLoad targets[ENTRIES][SERVERS];
  CcPoolLoad loads[ENTRIES];
  CcBacklog backlogs[ENTRIES];
  guint turn[ENTRIES];
  Result result;
} World;

static gint64
draw_work (World *w, guint server)
{
  double work = -100.0 * log (1.0 - g_rand_double (w->rand));

  return (gint64) (MIN (work, 600.0) * CC_MS *
                   (server == 0 ? w->load->factor : 1.0));
}

static guint
running (const World *w, guint s)
{
  guint n = 0;

  for (guint i = 0; i < w->inside[s]->len; i++)
    n += ((Job *) w->inside[s]->pdata[i])->ends != 0;
  return n;
}

static CcLoadReport
report_of (const World *w, guint s)
{
  return (CcLoadReport){ .received = TRUE,
                         .running = running (w, s),
                         .waiting = w->inside[s]->len - running (w, s) };
}

static CcTypicalWork
typical_at (const World *w, guint entry, gint64 now)
{
  CcTypicalWork t = typical;

  t.inside = cc_pool_load_typical (&w->loads[entry], now);
  return t;
}

/* Gives the result R of J, with the server's report, to its entry. */
static void
record_result (World *w, const Job *j, const CcPickResult *r, gint64 now)
{
  cc_pick_ended (&w->targets[j->entry][j->server], r, now);
  cc_pool_load_add (&w->loads[j->entry],
                    &w->targets[j->entry][j->server].in_pool,
                    (double) (r->report.running + r->report.waiting) / SLOTS,
                    typical.any, now);
}

static gint
choose (World *w, guint entry, gint64 now)
{
  CcTypicalWork t = typical_at (w, entry, now);
  gint best = -1;
  double least = 0;

  if (w->load->naive)
    return (gint) (w->turn[entry]++ % SERVERS);
  for (guint s = 0; s < SERVERS; s++)
    {
      const CcTargetLoad *l = &w->targets[entry][s];
      double cost;

      if (!cc_pick_has_capacity (l, &t, now))
        continue;
      cost =
          cc_pick_cost (l, &t, 0, now) * (1.0 + 0.02 * g_rand_double (w->rand));
      if (best < 0 || cost < least)
        {
          best = (gint) s;
          least = cost;
        }
    }
  return best;
}

static void
send_job (World *w, Job *j, guint server, gint64 now)
{
  CcTargetLoad *l = &w->targets[j->entry][server];
  CcTypicalWork t = typical_at (w, j->entry, now);
  CcLoadReport report = report_of (w, server);

  j->server = server;
  j->sent = now;
  j->share = cc_pick_sent (l, &t, cc_pick_inside (l, &t, now));
  j->work = draw_work (w, server);
  w->result.sent++;
  w->result.sent_to_first += server == 0;
  if (server == 0 && g_rand_double (w->rand) < w->load->failing)
    {
      CcPickResult shed = { .end = CC_PICK_SHED,
                            .work_share = j->share,
                            .typical = typical.kind,
                            .report = report };

      record_result (w, j, &shed, now);
      w->result.refused++;
      g_free (j);
      return;
    }
  g_ptr_array_add (w->inside[server], j);
}

static void
arrive (World *w, gint64 now)
{
  guint entry = (guint) g_rand_int_range (w->rand, 0, ENTRIES);
  Job *j = g_new0 (Job, 1);
  gint s = choose (w, entry, now);

  w->result.requests++;
  j->entry = entry;
  j->began = now;
  if (s < 0)
    {
      w->result.refused++;
      g_free (j);
      return;
    }
  send_job (w, j, (guint) s, now);
}

static void
serve (World *w, guint s, gint64 now)
{
  GPtrArray *inside = w->inside[s];

  for (guint i = 0; i < inside->len; i++)
    {
      Job *j = inside->pdata[i];
      CcPickResult answered = { .end = CC_PICK_ANSWERED,
                                .took = now - j->sent,
                                .work_share = j->share,
                                .typical = typical.kind };

      if (j->ends == 0 || j->ends > now)
        continue;
      g_ptr_array_steal_index (inside, i--);
      answered.report = report_of (w, s);
      record_result (w, j, &answered, now);
      w->result.ended++;
      w->result.in_target += now - j->began <= w->load->target;
      g_free (j);
    }
  for (guint i = 0; i < inside->len && running (w, s) < SLOTS; i++)
    {
      Job *j = inside->pdata[i];

      if (j->ends == 0)
        j->ends = now + j->work;
    }
}

static Result
simulate (const Load *load, guint seed, gint64 span)
{
  World w = { .rand = g_rand_new_with_seed (seed), .load = load };
  gint64 start = 1000 * CC_SECOND;

  for (guint s = 0; s < SERVERS; s++)
    w.inside[s] = g_ptr_array_new_with_free_func (g_free);
  for (guint e = 0; e < ENTRIES; e++)
    for (guint s = 0; s < SERVERS; s++)
      w.targets[e][s].slots = SLOTS;
  for (guint e = 0; e < ENTRIES; e++)
    w.turn[e] = (guint) g_rand_int_range (w.rand, 0, SERVERS);
  for (gint64 now = start; now < start + span; now += TICK)
    {
      double expected = load->rate * TICK / CC_SECOND;

      for (guint s = 0; s < SERVERS; s++)
        serve (&w, s, now);
      while (expected > 0)
        {
          if (g_rand_double (w.rand) < expected)
            arrive (&w, now);
          expected -= 1.0;
        }
    }
  for (guint s = 0; s < SERVERS; s++)
    g_ptr_array_unref (w.inside[s]);
  g_rand_free (w.rand);
  return w.result;
}

static double
in_target (const Result *r)
{
  return (double) r->in_target / r->requests;
}

typedef struct
{
  const char *name;
  Load load;
  double least; /* required share in target */
  double over;  /* required difference to the naive policy */
  double first; /* largest share of the attempts at server 0 */
} Case;

static const Case cases[] = {
  /* 250 a second of 400 that can be served.  Round robin is as good as
   * possible here: 95 in 100 take less than the target when nothing waits. */
  { "busy", { 250, 1, 0, FALSE, 300 * CC_MS }, 0.92, -0.02, 0.2 },
  /* One server is five times slower; with an equal share it would get a tenth
   * of all requests. */
  { "slow server", { 200, 5, 0, FALSE, 300 * CC_MS }, 0.92, 0.05, 0.03 },
  /* One server refuses half of its requests although it is healthy. */
  { "shedding server", { 200, 1, 0.5, FALSE, 300 * CC_MS }, 0.91, 0.02, 0.04 },
  /* More load than can be served. */
  { "overload", { 460, 1, 0, FALSE, 300 * CC_MS }, 0.6, 0.4, 0.2 },
};

static void
requests_go_where_they_are_answered_in_time (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    for (guint seed = 0; seed < 5; seed++)
      {
        const Case *c = &cases[i];
        Load naive = c->load;
        Result result = simulate (&c->load, seed, 20 * CC_SECOND), naive_result;

        naive.naive = TRUE;
        naive_result = simulate (&naive, seed, 20 * CC_SECOND);
        if (in_target (&result) < c->least ||
            in_target (&result) < in_target (&naive_result) + c->over ||
            (double) result.sent_to_first / result.sent > c->first)
          fail_msg ("%s, seed %u: %.3f in target, naive %.3f, first %.3f",
                    c->name, seed, in_target (&result),
                    in_target (&naive_result),
                    (double) result.sent_to_first / result.sent);
      }
}

/* An unreachable server gets no attempts for a backoff that doubles, and
 * counts as healthy again after its first response. */
static void
an_unreachable_server_is_tried_again_later (void **state)
{
  CcPickResult lost = { .end = CC_PICK_UNREACHABLE };
  CcPickResult answered = { .end = CC_PICK_ANSWERED,
                            .took = 50 * CC_MS,
                            .work_share = 1.0,
                            .typical = typical.kind };
  CcTargetLoad l = { .slots = 4 };
  gint64 now = CC_SECOND, first, second;

  (void) state;
  cc_pick_sent (&l, &typical, 0);
  cc_pick_ended (&l, &lost, now);
  first = l.avoid_until - now;
  assert_false (cc_pick_has_capacity (&l, &typical, now));
  assert_true (cc_pick_has_capacity (&l, &typical, l.avoid_until));
  now = l.avoid_until;
  cc_pick_sent (&l, &typical, 0);
  cc_pick_ended (&l, &lost, now);
  second = l.avoid_until - now;
  assert_int_equal (second, 2 * first);
  now = l.avoid_until;
  cc_pick_sent (&l, &typical, 0);
  cc_pick_ended (&l, &answered, now);
  assert_true (cc_pick_has_capacity (&l, &typical, now));
  assert_int_equal (l.avoid_span, 0);
}

/* Failure: a server is away for a moment, each of the attempts that find it so
 * together lengthens its backoff, and it is left alone long after its return.
 */
static void
attempts_that_fail_together_lengthen_a_backoff_once (void **state)
{
  CcPickResult lost = { .end = CC_PICK_UNREACHABLE };
  CcTargetLoad one = { .slots = 4 }, many = { .slots = 4 };

  (void) state;
  cc_pick_sent (&one, &typical, 0);
  cc_pick_ended (&one, &lost, CC_SECOND);
  for (guint i = 0; i < 20; i++)
    cc_pick_sent (&many, &typical, 0);
  for (guint i = 0; i < 20; i++)
    cc_pick_ended (&many, &lost, CC_SECOND + i);
  assert_int_equal (many.avoid_until, one.avoid_until);
}

/* Backlog. */

typedef struct
{
  const char *name;
  guint ahead[3]; /* waiting requests of priority 0, 1 and 2 */
  guint ended;    /* attempts that ended in the last 100 ms */
  guint priority; /* of the new one */
  gint64 target;
  gint64 left;
  gboolean admitted;
} Admission;

static const Admission admissions[] = {
  { "nothing waits", { 0, 0, 0 }, 0, 2, 300, 1000, TRUE },
  { "short queue", { 0, 0, 5 }, 20, 2, 300, 1000, TRUE },
  { "queue past the target", { 0, 0, 40 }, 20, 2, 300, 1000, FALSE },
  { "urgent goes before it", { 0, 0, 40 }, 20, 0, 300, 1000, TRUE },
  { "behind urgent ones", { 40, 0, 0 }, 20, 2, 300, 1000, FALSE },
  { "not enough time left", { 0, 0, 5 }, 20, 2, 300, 90, FALSE },
  { "no attempt ended recently", { 0, 0, 5 }, 0, 2, 300, 1000, FALSE },
};

static void
what_would_be_late_is_refused_at_once (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (admissions); i++)
    {
      const Admission *a = &admissions[i];
      CcBacklogEntry entries[120];
      CcBacklog b;
      guint n = 0;
      gint64 now = CC_SECOND;

      cc_backlog_init (&b);
      for (guint p = 0; p < 3; p++)
        for (guint k = 0; k < a->ahead[p]; k++, n++)
          {
            entries[n] = (CcBacklogEntry){ .priority = p, .due = now };
            cc_backlog_push (&b, &entries[n]);
          }
      for (guint k = 0; k < a->ended; k++)
        cc_backlog_ended (&b, now - 100 * CC_MS + k * 5 * CC_MS);
      if (cc_backlog_admits (cc_backlog_wait (&b, a->priority, now),
                             100 * CC_MS, a->target * CC_MS,
                             a->left * CC_MS) != a->admitted)
        fail_msg ("%s: wait %.0f ms", a->name,
                  (double) cc_backlog_wait (&b, a->priority, now) / CC_MS);
      cc_backlog_clear (&b);
    }
}

/* Callers that are refused together get different Retry-After times, none of
 * them above a third of the caller's remaining time. */
static void
returns_are_spread_and_in_time (void **state)
{
  gint64 wait = 200 * CC_MS, left = 1000 * CC_MS;

  (void) state;
  assert_true (cc_backlog_retry_after (wait, left, 0.9) >
               cc_backlog_retry_after (wait, left, 0.1) + 100 * CC_MS);
  for (guint i = 0; i <= 10; i++)
    assert_true (cc_backlog_retry_after (100 * wait, left, i / 10.0) <=
                 left / 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (requests_go_where_they_are_answered_in_time),
    cmocka_unit_test (an_unreachable_server_is_tried_again_later),
    cmocka_unit_test (attempts_that_fail_together_lengthen_a_backoff_once),
    cmocka_unit_test (what_would_be_late_is_refused_at_once),
    cmocka_unit_test (returns_are_spread_and_in_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
