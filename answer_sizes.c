/* Load pattern: a burst of small requests whose answers are large.  Each is
 * admitted while hardly any memory is used, and their answers arrive together:
 * 500 answers of 200 kB exceed the memory of a process of 120 MB.  So the size
 * that an answer is likely to have is reserved with the request.
 *
 * The estimate follows larger answers at once by half, and smaller ones slowly:
 * too much reserved costs a few refusals near the bound, too little the
 * process.
 */
#include "answer_sizes.h"

/* Parts of the difference by which an estimate follows one answer. */
#define RISE 0.5
#define FALL 0.05

struct CcAnswerSizes
{
  GHashTable *routes; /* name to double, bytes */
};

/* Returns estimates that know no route. */
CcAnswerSizes *
cc_answer_sizes_new (void)
{
  CcAnswerSizes *s = g_new0 (CcAnswerSizes, 1);

  s->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return s;
}

/* Frees S. */
void
cc_answer_sizes_free (CcAnswerSizes *s)
{
  g_hash_table_unref (s->routes);
  g_free (s);
}

/* Adds an answer of SIZE bytes to a request of ROUTE.  When too many routes are
 * known, as after many configurations, all are forgotten and learned again. */
void
cc_answer_sizes_add (CcAnswerSizes *s, const char *route, gsize size)
{
  double *estimate = g_hash_table_lookup (s->routes, route);
  double bytes = (double) size;

  if (estimate == NULL)
    {
      if (g_hash_table_size (s->routes) >= CC_ANSWER_SIZES_MAX)
        g_hash_table_remove_all (s->routes);
      estimate = g_new (double, 1);
      *estimate = bytes;
      g_hash_table_insert (s->routes, g_strdup (route), estimate);
      return;
    }
  *estimate += (bytes > *estimate ? RISE : FALL) * (bytes - *estimate);
}

/* The size that the answer to a request of ROUTE is likely to have, bytes; 0 if
 * nothing is known of it. */
gsize
cc_answer_sizes_expected (const CcAnswerSizes *s, const char *route)
{
  const double *estimate = g_hash_table_lookup (s->routes, route);

  return estimate != NULL ? (gsize) *estimate : 0;
}
