/* The admin port of a process (metrics, health, operators), and the HTTP
 * server and client that the programs share. */
#ifndef CC_ADMIN_H
#define CC_ADMIN_H

#include <libsoup/soup.h>

#include "connection_table.h"

/* Returns the reason why the process is not ready, or NULL if it is. */
typedef const char *(*CcAdminReady) (gpointer data);

SoupServer *cc_admin_listen (const char *address, CcAdminReady ready,
                             gpointer data, char **message);
SoupServer *cc_http_server_new (void);
CcConnectionTable *cc_http_server_connections (SoupServer *server);
char *cc_http_target (SoupServerMessage *m);
gboolean cc_http_listen (SoupServer *server, const char *address,
                         char **message);
void cc_http_answer (SoupServerMessage *m, guint status, const char *type,
                     const char *body);
SoupSession *cc_http_client (const char *source, guint per_host);
void cc_run_until_signal (GSourceFunc stop, GSourceFunc reload, gpointer data);

#endif
