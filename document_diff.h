/* What differs between two documents, for operators. */
#ifndef CC_DOCUMENT_DIFF_H
#define CC_DOCUMENT_DIFF_H

#include <glib.h>

typedef struct
{
  char *place;  /* "classes[pay once].timeout_ms" */
  char *before; /* JSON; NULL: was not there */
  char *after;  /* JSON; NULL: is there no more */
} CcChange;

GPtrArray *cc_document_diff (const char *before, const char *after);

#endif
