/* HTTP headers packed into one byte string. */
#ifndef CC_HEADERS_H
#define CC_HEADERS_H

#include <glib.h>

/* Iterates over packed headers. */
typedef struct
{
  const char *at;  /* the next name */
  const char *end; /* of the packed bytes */
} CcHeadersIter;

void cc_headers_add (GString *packed, const char *name, const char *value);
GVariant *cc_headers_take (GString *packed);
void cc_headers_iter (CcHeadersIter *i, GVariant *packed);
gboolean cc_headers_next (CcHeadersIter *i, const char **name,
                          const char **value);
gboolean cc_header_name_is_valid (const char *name);

#endif
