/* Tells when the other end of a connection has gone. */
#ifndef CC_HANGUP_H
#define CC_HANGUP_H

#include <gio/gio.h>

typedef void (*CcHangupCallback) (gpointer data);

/* One watched connection; lies inside its owner. */
typedef struct
{
  gboolean watched;
  guint index; /* in the list of all, if watched */
  int file;
  CcHangupCallback gone;
  gpointer data;
} CcHangup;

gboolean cc_hangup_detected (GSocket *socket);
void cc_hangup_watch (CcHangup *h, GSocket *socket, CcHangupCallback gone,
                      gpointer data);
void cc_hangup_stop (CcHangup *h);

#endif
