/* Headers are packed as "name\0value\0name\0value\0" into a GVariant of type
 * ay.  An array of pairs costs about six allocations per header on both sides
 * of each hop; this costs one for all headers. */
#include "headers.h"

#include <string.h>

/* Appends NAME and VALUE to PACKED. */
void
cc_headers_add (GString *packed, const char *name, const char *value)
{
  g_string_append_len (packed, name, (gssize) strlen (name) + 1);
  g_string_append_len (packed, value, (gssize) strlen (value) + 1);
}

/* Returns PACKED as a GVariant, to be unreferenced by the caller, and frees
 * PACKED. */
GVariant *
cc_headers_take (GString *packed)
{
  g_autoptr (GBytes) bytes = g_string_free_to_bytes (packed);

  return g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE_BYTESTRING, bytes, TRUE));
}

/* Starts an iteration over PACKED, which must outlive I; NULL is an empty list.
 */
void
cc_headers_iter (CcHeadersIter *i, GVariant *packed)
{
  *i = (CcHeadersIter){ 0 };
  if (packed == NULL)
    return;
  i->at = g_variant_get_data (packed);
  i->end = i->at + g_variant_get_size (packed);
}

/* Returns the next string, or NULL if there is none.  A damaged message may
 * lack the last zero byte. */
static const char *
next_string (CcHeadersIter *i)
{
  const char *start = i->at;
  const char *zero =
      start < i->end ? memchr (start, '\0', (gsize) (i->end - start)) : NULL;

  if (zero == NULL)
    return NULL;
  i->at = zero + 1;
  return start;
}

/* Gets the next pair, valid as long as the packed headers.  Returns FALSE at
 * the end. */
gboolean
cc_headers_next (CcHeadersIter *i, const char **name, const char **value)
{
  *name = next_string (i);
  *value = *name != NULL ? next_string (i) : NULL;
  return *value != NULL;
}

/* Whether NAME can be the name of a header: a token (RFC 9110, 5.6.2). */
gboolean
cc_header_name_is_valid (const char *name)
{
  for (const char *c = name; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr ("!#$%&'*+-.^_`|~", *c) == NULL)
      return FALSE;
  return name[0] != '\0';
}
