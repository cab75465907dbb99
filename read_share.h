/* Bounds the part of the main loop's time that reading long answers takes. */
#ifndef CC_READ_SHARE_H
#define CC_READ_SHARE_H

#include "capercrank.h"

/* All zero: nothing was read yet. */
typedef struct
{
  gint64 credit;     /* time that may be spent now, us; negative: overspent */
  gint64 updated_at; /* us; 0: never */
} CcReadShare;

gint64 cc_read_share_wait (CcReadShare *s, gint64 now);
void cc_read_share_spend (CcReadShare *s, gint64 spent);

#endif
