/* The connections that the HTTP servers of the process have accepted. */
#ifndef CC_SERVER_CONNECTION_H
#define CC_SERVER_CONNECTION_H

#include <libsoup/soup.h>

#include "connection_table.h"

void cc_server_connections_track (SoupServer *server, guint port,
                                  CcConnectionTable *table,
                                  gboolean for_callers);
gboolean cc_server_connections_listen (SoupServer *server, GSocket *socket,
                                       GError **error);
gboolean cc_server_connection_has_next (SoupServerMessage *m);
CcConnection *cc_server_connection_of (SoupServerMessage *m);

#endif
