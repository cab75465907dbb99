/* Load pattern: long jobs among short ones.  A booking for one coach takes
 * 12 ms, its list of 60 kB ten times as long.  With one mean for all, the wait
 * told to the short ones is wrong and the long ones take every slot.
 *
 * A kind of work is a class, a method and the size of the body by powers of
 * four: all that is known before it runs.  Mean and deviation are tracked as
 * TCP does with its round trip (RFC 6298, gains 1/8 and 1/4): in eight answers
 * the estimate follows a server that turned slow, and one odd answer moves it
 * by an eighth.
 */
#include "cost.h"

#include <string.h>

/* Methods come from callers: past this many kinds the server's own mean is
 * used.  A deployment has tens. */
#define KINDS_MAX 256

#define MEAN_GAIN 8      /* RFC 6298: 1/8 */
#define DEVIATION_GAIN 4 /* RFC 6298: 1/4 */

/* The kind of a request of BODY bytes. */
guint
cc_cost_kind (const char *class_name, const char *method, gsize body)
{
  guint size = 0;

  for (; body > 0; body >>= 2)
    size++;
  return (g_str_hash (class_name) * 31 + g_str_hash (method)) * 31 + size;
}

/* Makes C empty. */
void
cc_costs_init (CcCosts *c)
{
  *c = (CcCosts){ 0 };
  c->kinds = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

/* Frees what C holds. */
void
cc_costs_clear (CcCosts *c)
{
  g_clear_pointer (&c->kinds, g_hash_table_unref);
}

static void
adjust (CcCost *cost, gint64 took)
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

/* Work of KIND was answered after TOOK us. */
void
cc_costs_add (CcCosts *c, guint kind, gint64 took)
{
  CcCost *cost = g_hash_table_lookup (c->kinds, GUINT_TO_POINTER (kind));

  adjust (&c->all, took);
  if (cost == NULL && g_hash_table_size (c->kinds) < KINDS_MAX)
    {
      cost = g_new0 (CcCost, 1);
      g_hash_table_insert (c->kinds, GUINT_TO_POINTER (kind), cost);
    }
  if (cost != NULL)
    adjust (cost, took);
}

/* Whether work of KIND was ever answered. */
gboolean
cc_costs_known (const CcCosts *c, guint kind)
{
  return g_hash_table_contains (c->kinds, GUINT_TO_POINTER (kind));
}

/* The estimate for KIND; the server's whole work if KIND was never seen. */
CcCost
cc_costs_of (const CcCosts *c, guint kind)
{
  const CcCost *cost = g_hash_table_lookup (c->kinds, GUINT_TO_POINTER (kind));

  return cost != NULL ? *cost : c->all;
}
