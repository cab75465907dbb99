/* Finds the job of a request by the request's id.  Without this index, a burst
 * of cancelled requests costs a search of every queue for each. */
#include "waiters.h"

static guint
waiter_hash (gconstpointer key)
{
  const CcWaiter *w = key;

  return g_int64_hash (&w->id) ^ g_int64_hash (&w->incarnation);
}

static gboolean
waiter_equal (gconstpointer a, gconstpointer b)
{
  const CcWaiter *x = a, *y = b;

  return x->id == y->id && x->incarnation == y->incarnation;
}

/* Returns an empty table of CcWaiter to CcJob. */
GHashTable *
cc_waiters_new (void)
{
  return g_hash_table_new (waiter_hash, waiter_equal);
}

/* Adds the newest of J's waiters to TABLE. */
void
cc_waiters_add (GHashTable *table, CcJob *j)
{
  g_hash_table_insert (table, j->waiters->pdata[j->waiters->len - 1], j);
}

/* Removes all of J's waiters from TABLE; to be called before they are freed. */
void
cc_waiters_remove (GHashTable *table, const CcJob *j)
{
  for (guint i = 0; i < j->waiters->len; i++)
    g_hash_table_remove (table, j->waiters->pdata[i]);
}

/* Removes the request ID of the entry INCARNATION and returns its job, or NULL
 * if there is no such request. */
CcJob *
cc_waiters_take (GHashTable *table, guint64 incarnation, guint64 id)
{
  CcWaiter key = { .incarnation = incarnation, .id = id };
  CcJob *j = g_hash_table_lookup (table, &key);

  if (j != NULL)
    g_hash_table_remove (table, &key);
  return j;
}
