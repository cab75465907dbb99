/* Tells when the other end of a connection has gone. */
#ifndef CC_HANGUP_H
#define CC_HANGUP_H

#include <gio/gio.h>
#include <glib-unix.h>

gboolean cc_hangup_has (GSocket *socket);
guint cc_hangup_watch (GSocket *socket, GUnixFDSourceFunc gone, gpointer data);

#endif
