/* strcmp ends at the first byte that differs, so how long it takes tells a
 * caller how many bytes of a guess were right, and a token can be found byte
 * by byte.  Here the time depends on the length of what was given alone. */
#include "secret.h"

#include <string.h>

/* Whether GIVEN, from outside, equals WANTED, which must not be empty. */
gboolean
cc_secret_equal (const char *given, const char *wanted)
{
  gsize length = strlen (given), most = strlen (wanted);
  volatile guint differences = length == most && most > 0 ? 0 : 1;

  for (gsize i = 0; i < length; i++)
    differences |= (guint) (guchar) given[i] ^
                   (guint) (guchar) wanted[most > 0 ? i % most : 0];
  return differences == 0;
}
