/* Each failure in a row doubles the time in which no attempt is made.  Attempts
 * that were in progress together often fail together, for one cause, so only
 * the first of their failures counts. */
#include "backoff.h"

/* Records a failure at NOW: the backoff is FIRST after the first one in a row,
 * and doubles with each further one up to MAX.  All in us.  Returns FALSE, with
 * nothing changed, if a backoff is active: the attempt began before it. */
gboolean
cc_backoff_fail (CcBackoff *b, gint64 first, gint64 max, gint64 now)
{
  if (cc_backoff_is_active (b, now))
    return FALSE;
  b->span = CLAMP (2 * b->span, first, max);
  b->until = now + b->span;
  return TRUE;
}

/* Records a success. */
void
cc_backoff_clear (CcBackoff *b)
{
  *b = (CcBackoff){ 0 };
}

/* Returns whether no attempt is to be made at NOW, us. */
gboolean
cc_backoff_is_active (const CcBackoff *b, gint64 now)
{
  return now < b->until;
}
