/* Load pattern: failures in a wave, as when a server sheds or its connections
 * break together.
 *
 * What happens without it: three tries each turn a server at capacity into one
 * at three times capacity, for as long as the failures last, which they then
 * do for ever.
 *
 * A budget for each class, as in the SRE book (2016): retries are a tenth of
 * first attempts, in the long run; a burst of BURST may be saved up, so that
 * a single connection's loss is mended also on a quiet server.  An attempt
 * that may have run is made again only if the class is idempotent; no budget
 * allows it otherwise.  Two tries in all: the second meets the same server,
 * since a key has one owner, and if that fails, too, the caller knows best.
 */
#include "retry.h"

#define COST 10  /* first attempts that pay for a retry: a tenth */
#define BURST 10 /* retries saved up at most; a server's connections in use */
#define TRIES_MAX 2

/* Makes R empty: every class begins with a full budget. */
void
cc_retries_init (CcRetries *r)
{
  r->budgets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

/* Frees what R holds. */
void
cc_retries_clear (CcRetries *r)
{
  g_clear_pointer (&r->budgets, g_hash_table_unref);
}

static guint *
find_budget (CcRetries *r, guint class_id)
{
  guint *b = g_hash_table_lookup (r->budgets, GUINT_TO_POINTER (class_id));

  if (b != NULL)
    return b;
  b = g_new (guint, 1);
  *b = COST * BURST;
  g_hash_table_insert (r->budgets, GUINT_TO_POINTER (class_id), b);
  return b;
}

/* A first attempt of the class was made. */
void
cc_retries_earn (CcRetries *r, guint class_id)
{
  guint *b = find_budget (r, class_id);

  *b = MIN (*b + 1, COST * BURST);
}

/* Whether an attempt that ended in FAILURE after TRIES could be made again. */
gboolean
cc_retries_allowed (CcRetries *r, guint class_id, gboolean once_only,
                    CcFailure failure, guint tries)
{
  if (failure == CC_FAIL_UNKNOWN && once_only)
    return FALSE;
  return tries < TRIES_MAX && *find_budget (r, class_id) >= COST;
}

/* As cc_retries_allowed, and pays for it if so. */
gboolean
cc_retries_take (CcRetries *r, guint class_id, gboolean once_only,
                 CcFailure failure, guint tries)
{
  if (!cc_retries_allowed (r, class_id, once_only, failure, tries))
    return FALSE;
  *find_budget (r, class_id) -= COST;
  return TRUE;
}
