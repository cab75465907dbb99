/* Constant-time comparison of secrets.  strcmp returns at the first byte that
 * differs, so its duration reveals how many bytes of a guess are right, and a
 * token could be found byte by byte.  Here the duration depends only on the
 * length of the input. */
#include "secret.h"

#include <string.h>

/* Returns TRUE if GIVEN, an untrusted input, equals the secret EXPECTED.  An
 * empty EXPECTED equals nothing. */
gboolean
cc_secret_equal (const char *given, const char *expected)
{
  gsize length = strlen (given), expected_length = strlen (expected);
  volatile guint differences =
      length == expected_length && expected_length > 0 ? 0 : 1;

  for (gsize i = 0; i < length; i++)
    differences |= (guint) (guchar) given[i] ^
                   (guint) (guchar)
                       expected[expected_length > 0 ? i % expected_length : 0];
  return differences == 0;
}
