/* Serves this process's copy of the tables to the peers that follow it. */
#ifndef CC_PEER_SERVER_H
#define CC_PEER_SERVER_H

#include <libsoup/soup.h>

#include "mirror.h"

typedef struct CcPeerServer CcPeerServer;

CcPeerServer *cc_peer_server_new (CcMirror *mirror, const char *address,
                                  char **message);
SoupServer *cc_peer_server_http (CcPeerServer *p);
void cc_peer_server_notify (CcPeerServer *p);

#endif
