/* Constant-time comparison of secrets. */
#ifndef CC_SECRET_H
#define CC_SECRET_H

#include <glib.h>

gboolean cc_secret_equal (const char *given, const char *expected);

#endif
