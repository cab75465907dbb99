/* When the platform's list of instances is asked for, and which answer counts.
 */
#ifndef CC_LISTING_H
#define CC_LISTING_H

#include "capercrank.h"

#define CC_LISTING_PERIOD (500 * CC_MS)

typedef struct
{
  gint64 due;    /* next question, us */
  guint64 asked; /* number of the last question; 0: none */
  guint64 taken; /* number of the one whose answer counts; 0: none came */
} CcListing;

guint64 cc_listing_request (CcListing *l, gint64 now);
gboolean cc_listing_answered (CcListing *l, guint64 number);

#endif
