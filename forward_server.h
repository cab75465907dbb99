/* Accepts requests that peers forward through this gateway. */
#ifndef CC_FORWARD_SERVER_H
#define CC_FORWARD_SERVER_H

#include <libsoup/soup.h>

#include "forward.h"

typedef struct CcForwardServer CcForwardServer;

CcForwardServer *cc_forward_server_new (CcForwarder *f, CcMemoryBudget *budget);
void cc_forward_server_add_to (CcForwardServer *s, SoupServer *server);
void cc_forward_server_drain (CcForwardServer *s);
guint cc_forward_server_pending (const CcForwardServer *s);

#endif
