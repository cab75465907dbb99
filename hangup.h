/* Detects that the peer has closed a connection. */
#ifndef CC_HANGUP_H
#define CC_HANGUP_H

#include <gio/gio.h>

typedef void (*CcHangupCallback) (gpointer data);

/* One watched connection, embedded in the struct that owns it. */
typedef struct
{
  gboolean watched;
  guint index; /* in the array of all watches, if watched */
  int fd;
  CcHangupCallback gone;
  gpointer data;
} CcHangup;

gboolean cc_hangup_detected (GSocket *socket);
void cc_hangup_watch (CcHangup *h, GSocket *socket, CcHangupCallback gone,
                      gpointer data);
void cc_hangup_stop (CcHangup *h);

#endif
