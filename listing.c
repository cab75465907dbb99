/* Load pattern: the platform is slow, and each answer takes longer than the
 * period in which the list is read.  Asked for one at a time, the list is as
 * old as two answers take before a change of it is seen, and a server that
 * leaves is emptied that much later.
 *
 * So questions keep their period, whether or not earlier ones are answered;
 * the timeout of a call bounds how many are under way.  An answer counts unless
 * a later question was answered before it. */
#include "listing.h"

/* Returns the number of the question to ask at NOW, us, or 0 if none is due. */
guint64
cc_listing_request (CcListing *l, gint64 now)
{
  if (now < l->due)
    return 0;
  l->due = now + CC_LISTING_PERIOD;
  return ++l->asked;
}

/* Whether the answer to question NUMBER is the newest list. */
gboolean
cc_listing_answered (CcListing *l, guint64 number)
{
  if (number <= l->taken)
    return FALSE;
  l->taken = number;
  return TRUE;
}
