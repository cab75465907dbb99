/* Watches many file descriptors through one source of the main loop. */
#ifndef CC_FD_WATCH_H
#define CC_FD_WATCH_H

#include <glib.h>

/* One watch, embedded in the struct that owns it.  All zero means stopped. */
typedef struct
{
  int fd;
  GIOCondition conditions; /* watched for; 0: stopped */
  void (*ready) (GIOCondition occurred, gpointer data);
  gpointer data; /* passed to ready */
} CcFdWatch;

gboolean cc_fd_watch_start (CcFdWatch *w, int fd, GIOCondition conditions,
                            void (*ready) (GIOCondition occurred,
                                           gpointer data),
                            gpointer data);
void cc_fd_watch_set_conditions (CcFdWatch *w, GIOCondition conditions);
void cc_fd_watch_stop (CcFdWatch *w);

#endif
