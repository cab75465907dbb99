/* Refuses requests whose body is too large, before it is read. */
#ifndef CC_BODY_LIMIT_H
#define CC_BODY_LIMIT_H

#include <libsoup/soup.h>

void cc_body_limit (SoupServerMessage *m, gsize max);
gboolean cc_body_is_refused (SoupServerMessage *m);

#endif
