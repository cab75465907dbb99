/* Load pattern: many failures at once, as when a server sheds or its
 * connections break together.
 *
 * Failure: with three tries each, a server at capacity gets three times its
 * capacity, for as long as attempts fail, and under that load they fail
 * indefinitely.
 *
 * Each class has a budget, as in the SRE book (2016): in the long run retries
 * are a tenth of first attempts, and up to BURST retries may be saved, so that
 * the loss of a single connection is recovered on a quiet server, too.  An
 * attempt that may have run is made again only if the class is idempotent; no
 * budget allows it otherwise.  There are at most two tries: the second goes to
 * the same server, since a key has one owner, and if that fails as well the
 * decision is left to the caller. */
#include "retry.h"

#define COST 10  /* first attempts that earn one retry: a tenth */
#define BURST 10 /* most retries saved: connections in use at a server */
#define TRIES_MAX 2

/* Initialises R; every class starts with a full budget. */
void
cc_retries_init (CcRetries *r)
{
  r->budgets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

/* Frees the memory of R. */
void
cc_retries_clear (CcRetries *r)
{
  g_clear_pointer (&r->budgets, g_hash_table_unref);
}

/* Returns the budget of CLASS_ID; a new class starts with a full one. */
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

/* Adds to the budget of CLASS_ID for a first attempt. */
void
cc_retries_earn (CcRetries *r, guint class_id)
{
  guint *b = find_budget (r, class_id);

  *b = MIN (*b + 1, COST * BURST);
}

/* Returns whether an attempt that ended in FAILURE after TRIES may be made
 * again. */
gboolean
cc_retries_allowed (CcRetries *r, guint class_id, gboolean once_only,
                    CcFailure failure, guint tries)
{
  if (failure == CC_FAIL_UNKNOWN && once_only)
    return FALSE;
  return tries < TRIES_MAX && *find_budget (r, class_id) >= COST;
}

/* Same as cc_retries_allowed, and takes the retry from the budget if it is
 * allowed. */
gboolean
cc_retries_take (CcRetries *r, guint class_id, gboolean once_only,
                 CcFailure failure, guint tries)
{
  if (!cc_retries_allowed (r, class_id, once_only, failure, tries))
    return FALSE;
  *find_budget (r, class_id) -= COST;
  return TRUE;
}
