/* The version of a row of the table service. */
#ifndef CC_ROW_VERSION_H
#define CC_ROW_VERSION_H

#include <glib.h>

/* Largest era. */
#define CC_ROW_ERA_MAX 0xffffffu

guint64 cc_row_version (guint64 era, guint64 number);
guint64 cc_row_era (guint64 version);
guint64 cc_row_number (guint64 version);

#endif
