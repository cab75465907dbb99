/* Load pattern: long jobs among short ones.  A booking for one coach takes 12
 * ms, its list of 60 kB ten times as long.  With one mean for all kinds, the
 * wait predicted for short jobs is wrong and the long ones take every slot.
 *
 * A kind of work is a class, a method and the size of the body in powers of
 * four: all that is known before it runs.  Mean and deviation are tracked as
 * TCP tracks its round-trip time (RFC 6298, gains 1/8 and 1/4): within eight
 * responses the estimate follows a server that became slow, and one outlier
 * moves it by an eighth. */
#include "cost.h"

#include <string.h>

/* Upper bound on the kinds tracked, since methods come from callers; beyond it
 * the estimate over all kinds is used.  A deployment has tens of kinds. */
#define TRACKED_KINDS_MAX 256

#define MEAN_GAIN 8      /* RFC 6298: 1/8 */
#define DEVIATION_GAIN 4 /* RFC 6298: 1/4 */

/* Returns the kind of work of a request with a body of BODY bytes. */
guint
cc_cost_kind (const char *class_name, const char *method, gsize body)
{
  guint size = 0;

  for (; body > 0; body >>= 2)
    size++;
  return (g_str_hash (class_name) * 31 + g_str_hash (method)) * 31 + size;
}

/* Initialises C without any measurement. */
void
cc_costs_init (CcCosts *c)
{
  *c = (CcCosts){ 0 };
  c->kinds = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

/* Frees the memory of C. */
void
cc_costs_clear (CcCosts *c)
{
  g_clear_pointer (&c->kinds, g_hash_table_unref);
}

/* Adds a measurement of TOOK us to COST. */
static void
update_estimate (CcCost *cost, gint64 took)
{
  gint64 error = took - cost->mean;

  if (cost->mean == 0)
    {
      cost->mean = MAX (took, 1);
      cost->deviation = took / 2;
      return;
    }
  cost->mean = MAX (cost->mean + error / MEAN_GAIN, 1);
  cost->deviation += (ABS (error) - cost->deviation) / DEVIATION_GAIN;
}

/* Records that work of KIND was answered after TOOK us. */
void
cc_costs_add (CcCosts *c, guint kind, gint64 took)
{
  CcCost *cost = g_hash_table_lookup (c->kinds, GUINT_TO_POINTER (kind));

  update_estimate (&c->all, took);
  if (cost == NULL && g_hash_table_size (c->kinds) < TRACKED_KINDS_MAX)
    {
      cost = g_new0 (CcCost, 1);
      g_hash_table_insert (c->kinds, GUINT_TO_POINTER (kind), cost);
    }
  if (cost != NULL)
    update_estimate (cost, took);
}

/* Returns whether work of KIND was ever measured. */
gboolean
cc_costs_known (const CcCosts *c, guint kind)
{
  return g_hash_table_contains (c->kinds, GUINT_TO_POINTER (kind));
}

/* Returns the estimate for KIND, or that over all kinds if KIND was never
 * measured. */
CcCost
cc_costs_of (const CcCosts *c, guint kind)
{
  const CcCost *cost = g_hash_table_lookup (c->kinds, GUINT_TO_POINTER (kind));

  return cost != NULL ? *cost : c->all;
}
