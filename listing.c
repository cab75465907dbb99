/* Reads the platform's list of instances at a fixed period.
 *
 * Load pattern: the platform is slow, and each answer takes longer than the
 * period.  With one request at a time, a change of the list is seen only after
 * the time of two answers, and a server that leaves is drained that much later.
 *
 * So requests keep their period even while earlier ones are pending; the
 * timeout of a call bounds how many are pending.  An answer is used unless a
 * later request was answered before it. */
#include "listing.h"

/* Returns the number of the request to send at NOW, us, or 0 if none is due. */
guint64
cc_listing_request (CcListing *l, gint64 now)
{
  if (now < l->due)
    return 0;
  l->due = now + CC_LISTING_PERIOD;
  return ++l->requested;
}

/* Returns TRUE if the answer to request NUMBER is newer than the list in use,
 * and records it as used. */
gboolean
cc_listing_answered (CcListing *l, guint64 number)
{
  if (number <= l->taken)
    return FALSE;
  l->taken = number;
  return TRUE;
}
