/* Scheduling of reads of the platform's list of instances, and the choice of
 * the answer that is used. */
#ifndef CC_LISTING_H
#define CC_LISTING_H

#include "capercrank.h"

#define CC_LISTING_PERIOD (500 * CC_MS)

typedef struct
{
  gint64 due;        /* time of the next request, us */
  guint64 requested; /* number of the last request; 0: none */
  guint64 taken;     /* number of the request whose answer is used; 0: none */
} CcListing;

guint64 cc_listing_request (CcListing *l, gint64 now);
gboolean cc_listing_answered (CcListing *l, guint64 number);

#endif
