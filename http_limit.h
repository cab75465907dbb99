/* Bounds on requests' bodies while they are being received. */
#ifndef CC_HTTP_LIMIT_H
#define CC_HTTP_LIMIT_H

#include <libsoup/soup.h>

gboolean cc_http_limit_body (SoupServerMessage *m, guint64 most);

#endif
