/* Encoding of rows that processes send to each other. */
#ifndef CC_ROW_CODEC_H
#define CC_ROW_CODEC_H

#include "view.h"

/* For each row: key, version, whether the value is deflated, and the value's
 * bytes (empty: the row was deleted). */
#define CC_ROWS_TYPE "a(stbay)"

GVariant *cc_rows_encode (const CcView *v, guint64 since);
GVariant *cc_rows_decode (GVariant *encoded);

#endif
