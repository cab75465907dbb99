/* Differences between two documents, for display to operators. */
#ifndef CC_DOCUMENT_DIFF_H
#define CC_DOCUMENT_DIFF_H

#include <glib.h>

typedef struct
{
  char *place;  /* "classes[pay once].timeout_ms" */
  char *before; /* value as JSON; NULL: added */
  char *after;  /* value as JSON; NULL: removed */
} CcChange;

GPtrArray *cc_document_diff (const char *before, const char *after);

#endif
