/* Guards against a queue that returns jobs in the wrong order or loses count
 * of them, and against starvation between classes.  Compares it with a naive
 * queue, an array that is searched whole each time. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "queue.h"

#define JOBS 60
#define CLASSES 3
#define SEEDS 3000

static guint32 current_seed;

typedef struct
{
  GPtrArray *all; /* of CcQueueEntry */
  gint64 tags[CLASSES];
  gint64 virtual_time;
} Naive;

static gboolean
goes_before (const Naive *n, const CcQueueEntry *a, const CcQueueEntry *b)
{
  if (a->class_id != b->class_id)
    return n->tags[a->class_id] < n->tags[b->class_id] ||
           (n->tags[a->class_id] == n->tags[b->class_id] &&
            a->class_id < b->class_id);
  if (a->due != b->due)
    return a->due < b->due;
  return a->arrived < b->arrived;
}

static CcQueueEntry *
naive_pop (Naive *n, gboolean long_too)
{
  CcQueueEntry *best = NULL;

  for (guint i = 0; i < n->all->len; i++)
    {
      CcQueueEntry *w = n->all->pdata[i];

      if ((long_too || !w->is_long) &&
          (best == NULL || goes_before (n, w, best)))
        best = w;
    }
  if (best == NULL)
    return NULL;
  g_ptr_array_remove (n->all, best);
  n->virtual_time = n->tags[best->class_id];
  n->tags[best->class_id] += best->cost;
  return best;
}

static void
naive_push (Naive *n, CcQueueEntry *w)
{
  gboolean waits = FALSE;

  for (guint i = 0; i < n->all->len; i++)
    waits |= ((CcQueueEntry *) n->all->pdata[i])->class_id == w->class_id;
  if (!waits)
    n->tags[w->class_id] = MAX (n->tags[w->class_id], n->virtual_time);
  g_ptr_array_add (n->all, w);
}

static gint64
naive_tenant (const Naive *n, guint tenant)
{
  gint64 sum = 0;

  for (guint i = 0; i < n->all->len; i++)
    if (((CcQueueEntry *) n->all->pdata[i])->tenant == tenant)
      sum += ((CcQueueEntry *) n->all->pdata[i])->cost;
  return sum;
}

static void
draw (GRand *rand, CcQueueEntry *w, gint64 arrived)
{
  *w = (CcQueueEntry){ .due = g_rand_int_range (rand, 0, 20),
                       .arrived = arrived,
                       .cost = g_rand_int_range (rand, 1, 9),
                       .is_long = g_rand_int_range (rand, 0, 4) == 0,
                       .class_id = (guint) g_rand_int_range (rand, 0, CLASSES),
                       .tenant = (guint) g_rand_int_range (rand, 1, 4) };
}

/* Fails the test with the current seed if the two queues differ. */
static void
expect_same (const CcQueueEntry *job, const CcQueueEntry *naive)
{
  if (job != naive)
    fail_msg ("seed %u: another job was taken", current_seed);
}

static void
step (GRand *rand, CcQueue *q, Naive *n, CcQueueEntry *jobs, guint *used)
{
  gint what = g_rand_int_range (rand, 0, 5);
  gboolean long_too = g_rand_boolean (rand);
  CcQueueEntry *w;

  if (what < 3 && *used < JOBS)
    {
      w = &jobs[(*used)++];
      draw (rand, w, *used);
      cc_queue_push (q, w);
      naive_push (n, w);
    }
  else if (what == 3 && *used > 0)
    {
      w = &jobs[g_rand_int_range (rand, 0, (gint) *used)];
      cc_queue_remove (q, w);
      g_ptr_array_remove (n->all, w);
    }
  else
    expect_same (cc_queue_pop (q, long_too, NULL, NULL),
                 naive_pop (n, long_too));
}

static void
run_seed (guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  Naive n = { .all = g_ptr_array_new () };
  CcQueueEntry jobs[JOBS];
  CcQueueEntry first[CLASSES];
  guint used = 0;
  CcQueue q;

  cc_queue_init (&q);
  for (guint i = 0; i < CLASSES; i++)
    {
      first[i] = (CcQueueEntry){ .class_id = i, .cost = 1 };
      cc_queue_push (&q, &first[i]);
      cc_queue_remove (&q, &first[i]);
    }
  for (guint i = 0; i < 4 * JOBS; i++)
    {
      step (rand, &q, &n, jobs, &used);
      assert_int_equal (cc_queue_length (&q), n.all->len);
      assert_int_equal (cc_queue_tenant_cost (&q, 1), naive_tenant (&n, 1));
    }
  cc_queue_clear (&q);
  g_ptr_array_unref (n.all);
  g_rand_free (rand);
}

static void
test_differential (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      current_seed = seed;
      run_seed (seed);
    }
}

/* A thousand reads wait when a booking for the same server arrives.  First in,
 * first out would make it wait for all of them. */
static void
test_flood_does_not_starve (void **state)
{
  static CcQueueEntry browse[1000];
  CcQueueEntry book = {
    .class_id = 1, .cost = 12, .due = 250, .arrived = 1000
  };
  guint before = 0;
  CcQueue q;

  cc_queue_init (&q);
  for (guint i = 0; i < 1000; i++)
    {
      browse[i] = (CcQueueEntry){ .cost = 4, .due = 100, .arrived = i };
      cc_queue_push (&q, &browse[i]);
    }
  cc_queue_pop (&q, TRUE, NULL, NULL);
  cc_queue_push (&q, &book);
  while (cc_queue_pop (&q, TRUE, NULL, NULL) != &book)
    before++;
  assert_in_range (before, 0, 3);
  cc_queue_clear (&q);
}

static gboolean
is_of_slice_2 (const CcQueueEntry *w, gpointer data)
{
  return w->slice == 2;
}

/* While the first job's slice is being moved, the next job is sent. */
static void
test_skips_jobs_that_may_not_be_sent (void **state)
{
  CcQueueEntry a = { .slice = 1, .due = 1, .cost = 1 };
  CcQueueEntry b = { .slice = 2, .due = 2, .cost = 1 };
  CcQueue q;

  cc_queue_init (&q);
  cc_queue_push (&q, &a);
  cc_queue_push (&q, &b);
  assert_ptr_equal (cc_queue_pop (&q, TRUE, is_of_slice_2, NULL), &b);
  assert_null (cc_queue_pop (&q, TRUE, is_of_slice_2, NULL));
  assert_int_equal (cc_queue_slice_cost (&q, 1), 1);
  cc_queue_clear (&q);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_differential),
    cmocka_unit_test (test_flood_does_not_starve),
    cmocka_unit_test (test_skips_jobs_that_may_not_be_sent),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
