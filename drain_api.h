/* HTTP interface by which operators drain a server and undo it. */
#ifndef CC_DRAIN_API_H
#define CC_DRAIN_API_H

#include <libsoup/soup.h>

#include "follower.h"
#include "platform.h"

void cc_drain_api_add (SoupServer *admin, CcFollower *f, CcPlatform *p,
                       const char *token);
gboolean cc_drain_is_requested (const CcView *v, const char *pool,
                                const char *server);

#endif
