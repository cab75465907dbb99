/* Order of the queue.
 *
 * Load patterns: a sudden rush of requests, reads beside work that must not be
 * repeated, long jobs among short ones.  First in, first out lets a class with
 * seconds to spare delay an urgent one past its target, lets a flood of one
 * class starve all others, and lets a few long jobs occupy every slot.
 *
 * Between classes: start-time fair queuing (Goyal, SIGCOMM 1996).  Each class
 * is entitled to an equal share of the server's time, measured in expected
 * cost, and what one leaves unused goes to the others.  Shares are equal since
 * nothing justifies other ones: the operator states targets, not weights.
 *
 * Within a class: earliest due time first.  The class's requests have one
 * target, so no request is overtaken for long, and the wait of an admitted
 * request is predictable at its arrival.  Fairness among tenants and keys is
 * therefore enforced at admission (admission.c), which bounds what each may
 * have waiting here.
 *
 * Long jobs are kept in a sequence of their own, so one that has to wait for a
 * slot that it may use is passed over in constant time.
 *
 * Push, pop and remove take O(log n) in the number of jobs, and O(classes) in
 * addition. */
#include "queue.h"

static void
lane_free (gpointer data)
{
  CcLane *lane = data;

  g_sequence_free (lane->order[0]);
  g_sequence_free (lane->order[1]);
  g_free (lane);
}

/* Initialises Q as an empty queue. */
void
cc_queue_init (CcQueue *q)
{
  *q = (CcQueue){ 0 };
  q->lanes = g_ptr_array_new_with_free_func (lane_free);
  q->tenants = g_hash_table_new (NULL, NULL);
  q->slices = g_hash_table_new (NULL, NULL);
}

/* Frees the memory of Q, not the items in it. */
void
cc_queue_clear (CcQueue *q)
{
  g_clear_pointer (&q->lanes, g_ptr_array_unref);
  g_clear_pointer (&q->tenants, g_hash_table_unref);
  g_clear_pointer (&q->slices, g_hash_table_unref);
}

/* Orders jobs by due time, then by arrival. */
static gint
compare_due (gconstpointer a, gconstpointer b, gpointer unused)
{
  const CcQueueEntry *x = a, *y = b;

  (void) unused;
  if (x->due != y->due)
    return x->due < y->due ? -1 : 1;
  return (x->arrived > y->arrived) - (x->arrived < y->arrived);
}

static CcLane *
find_lane (const CcQueue *q, guint class_id)
{
  for (guint i = 0; i < q->lanes->len; i++)
    {
      CcLane *lane = q->lanes->pdata[i];

      if (lane->class_id == class_id)
        return lane;
    }
  return NULL;
}

static CcLane *
add_lane (CcQueue *q, guint class_id)
{
  CcLane *lane = g_new0 (CcLane, 1);

  lane->class_id = class_id;
  lane->order[0] = g_sequence_new (NULL);
  lane->order[1] = g_sequence_new (NULL);
  g_ptr_array_add (q->lanes, lane);
  return lane;
}

static gboolean
lane_is_empty (const CcLane *lane)
{
  return g_sequence_is_empty (lane->order[0]) &&
         g_sequence_is_empty (lane->order[1]);
}

/* Returns the sum of costs recorded for ID in SUMS, us. */
static gint64
cost_of (GHashTable *sums, guint id)
{
  gpointer sum = g_hash_table_lookup (sums, GUINT_TO_POINTER (id));

  return (gint64) GPOINTER_TO_SIZE (sum);
}

/* Adds COST, us, to the sum of ID; one that is not positive is removed. */
static void
add_cost (GHashTable *sums, guint id, gint64 cost)
{
  gint64 sum = cost_of (sums, id) + cost;

  if (sum > 0)
    g_hash_table_insert (sums, GUINT_TO_POINTER (id),
                         GSIZE_TO_POINTER ((gsize) sum));
  else
    g_hash_table_remove (sums, GUINT_TO_POINTER (id));
}

/* Adds (SIGN 1) or subtracts (SIGN -1) W in all sums of Q and its LANE. */
static void
add_to_sums (CcQueue *q, CcLane *lane, const CcQueueEntry *w, int sign)
{
  gint64 cost = sign * w->cost;

  lane->backlog[w->is_long] += cost;
  add_cost (q->tenants, w->tenant, cost);
  add_cost (q->slices, w->slice, cost);
  q->length = (guint) ((gint) q->length + sign);
}

/* Adds W to Q.  W stays owned by the caller and must not change while it
 * waits. */
void
cc_queue_push (CcQueue *q, CcQueueEntry *w)
{
  CcLane *lane = find_lane (q, w->class_id);

  if (lane == NULL)
    lane = add_lane (q, w->class_id);
  if (lane_is_empty (lane))
    lane->tag = MAX (lane->tag, q->virtual_time);
  lane->last_push = w->arrived;
  w->place =
      g_sequence_insert_sorted (lane->order[w->is_long], w, compare_due, NULL);
  add_to_sums (q, lane, w, 1);
}

/* Removes W from Q; does nothing if it is not queued. */
void
cc_queue_remove (CcQueue *q, CcQueueEntry *w)
{
  if (w->place == NULL)
    return;
  g_sequence_remove (w->place);
  w->place = NULL;
  add_to_sums (q, find_lane (q, w->class_id), w, -1);
}

/* Returns the first job of ORDER that MAY allows, or NULL. */
static CcQueueEntry *
first_sendable (GSequence *order, CcMaySend may, gpointer data)
{
  GSequenceIter *i = g_sequence_get_begin_iter (order);

  for (; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    if (may == NULL || may (g_sequence_get (i), data))
      return g_sequence_get (i);
  return NULL;
}

/* Returns the job of LANE to be sent next, or NULL. */
static CcQueueEntry *
first_of_lane (const CcLane *lane, gboolean long_too, CcMaySend may,
               gpointer data)
{
  CcQueueEntry *usual = first_sendable (lane->order[0], may, data);
  CcQueueEntry *other =
      long_too ? first_sendable (lane->order[1], may, data) : NULL;

  if (usual == NULL || other == NULL)
    return usual != NULL ? usual : other;
  return compare_due (other, usual, NULL) < 0 ? other : usual;
}

/* Removes and returns the job to be sent next, or NULL.  LONG_TOO: a slot for
 * long jobs is free.  MAY returns whether a job may be sent at all (NULL: all
 * may); it refuses only jobs of a slice that is being moved, so the first one
 * tried is nearly always taken. */
CcQueueEntry *
cc_queue_pop (CcQueue *q, gboolean long_too, CcMaySend may, gpointer data)
{
  CcLane *best = NULL;
  CcQueueEntry *next = NULL;

  for (guint i = 0; i < q->lanes->len; i++)
    {
      CcLane *lane = q->lanes->pdata[i];
      CcQueueEntry *first;

      if (best != NULL && lane->tag >= best->tag)
        continue;
      first = first_of_lane (lane, long_too, may, data);
      if (first == NULL)
        continue;
      best = lane;
      next = first;
    }
  if (best == NULL)
    return NULL;
  cc_queue_remove (q, next);
  q->virtual_time = best->tag;
  best->tag += MAX (next->cost, 1);
  return next;
}

/* Returns the number of waiting items. */
guint
cc_queue_length (const CcQueue *q)
{
  return q->length;
}

/* Returns the lane of CLASS_ID, or NULL if no job of that class was ever
 * pushed. */
const CcLane *
cc_queue_lane (const CcQueue *q, guint class_id)
{
  return find_lane (q, class_id);
}

/* Returns the number of classes that share the server: CLASS_ID, and each
 * other class that has jobs waiting or had one pushed at SINCE or later. */
guint
cc_queue_active (const CcQueue *q, guint class_id, gint64 since)
{
  guint n = 1;

  for (guint i = 0; i < q->lanes->len; i++)
    {
      const CcLane *lane = q->lanes->pdata[i];

      if (lane->class_id != class_id &&
          (!lane_is_empty (lane) || lane->last_push >= since))
        n++;
    }
  return n;
}

/* Returns the cost of TENANT's waiting jobs, us. */
gint64
cc_queue_tenant_cost (const CcQueue *q, guint tenant)
{
  return cost_of (q->tenants, tenant);
}

/* Returns the cost of the jobs waiting for SLICE, us. */
gint64
cc_queue_slice_cost (const CcQueue *q, guint slice)
{
  return cost_of (q->slices, slice);
}

static void
collect (gpointer w, gpointer items)
{
  g_ptr_array_add (items, w);
}

/* Returns all items (CcQueueEntry), class by class.  The caller unrefs the
 * array. */
GPtrArray *
cc_queue_items (const CcQueue *q)
{
  GPtrArray *items = g_ptr_array_new ();

  for (guint i = 0; i < q->lanes->len; i++)
    {
      const CcLane *lane = q->lanes->pdata[i];

      g_sequence_foreach (lane->order[0], collect, items);
      g_sequence_foreach (lane->order[1], collect, items);
    }
  return items;
}
