/* HTTP interface for operators on the admin port: the document in force, its
 * replacement, and the rows of the view. */
#ifndef CC_CONFIG_API_H
#define CC_CONFIG_API_H

#include <libsoup/soup.h>

#include "follower.h"
#include "platform.h"

void cc_config_api_add (SoupServer *admin, CcFollower *f, CcPlatform *p,
                        const char *token);

#endif
