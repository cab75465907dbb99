/* Exponential backoff after failures. */
#ifndef CC_BACKOFF_H
#define CC_BACKOFF_H

#include "capercrank.h"

/* All zero: no failure. */
typedef struct
{
  gint64 until; /* no attempt before, us */
  gint64 span;  /* length of the last backoff, us; 0: no failure */
} CcBackoff;

gboolean cc_backoff_fail (CcBackoff *b, gint64 first, gint64 max, gint64 now);
void cc_backoff_clear (CcBackoff *b);
gboolean cc_backoff_is_active (const CcBackoff *b, gint64 now);

#endif
