/* Order of the queue: earliest deadline first.
 *
 * Load pattern: a gate opening at nine, bookings with seconds to spare among
 * payments with a fraction of one.  First in, first out lets the patient ones
 * delay the urgent past their deadlines while they themselves had time left.
 */
#include "queue.h"

static gint
by_deadline (gconstpointer a, gconstpointer b, gpointer unused)
{
  const CcWaiting *x = a, *y = b;

  (void) unused;
  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  return x->arrived < y->arrived ? -1 : 1;
}

/* Makes Q empty. */
void
cc_queue_init (CcQueue *q)
{
  q->order = g_sequence_new (g_free);
}

/* Frees Q, not the items in it. */
void
cc_queue_clear (CcQueue *q)
{
  g_clear_pointer (&q->order, g_sequence_free);
}

/* Adds a copy of W. */
void
cc_queue_push (CcQueue *q, const CcWaiting *w)
{
  g_sequence_insert_sorted (q->order, g_memdup2 (w, sizeof *w), by_deadline,
                            NULL);
}

/* Takes out the item to be sent next, or NULL if Q is empty. */
gpointer
cc_queue_pop (CcQueue *q)
{
  GSequenceIter *first = g_sequence_get_begin_iter (q->order);
  gpointer item;

  if (g_sequence_iter_is_end (first))
    return NULL;
  item = ((CcWaiting *) g_sequence_get (first))->item;
  g_sequence_remove (first);
  return item;
}

/* Takes ITEM out.  Returns FALSE if it is not in Q. */
gboolean
cc_queue_remove (CcQueue *q, gpointer item)
{
  GSequenceIter *i = g_sequence_get_begin_iter (q->order);

  for (; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    if (((CcWaiting *) g_sequence_get (i))->item == item)
      {
        g_sequence_remove (i);
        return TRUE;
      }
  return FALSE;
}

/* How many items wait. */
guint
cc_queue_length (const CcQueue *q)
{
  return (guint) g_sequence_get_length (q->order);
}

/* All items in order.  The caller unrefs the array. */
GPtrArray *
cc_queue_items (const CcQueue *q)
{
  GPtrArray *items = g_ptr_array_new ();
  GSequenceIter *i = g_sequence_get_begin_iter (q->order);

  for (; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    g_ptr_array_add (items, ((CcWaiting *) g_sequence_get (i))->item);
  return items;
}
