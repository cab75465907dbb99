/* Many file descriptors on one source of the main loop. */
#ifndef CC_FD_WATCH_H
#define CC_FD_WATCH_H

#include <glib.h>

/* One watch, embedded in what it belongs to; all zero is a stopped one. */
typedef struct
{
  int fd;
  GIOCondition wants; /* 0: stopped */
  void (*ready) (GIOCondition seen, gpointer data);
  gpointer data; /* of ready */
} CcFdWatch;

void cc_fd_watch_start (CcFdWatch *w, int fd, GIOCondition wants,
                        void (*ready) (GIOCondition seen, gpointer data),
                        gpointer data);
void cc_fd_watch_set_conditions (CcFdWatch *w, GIOCondition wants);
void cc_fd_watch_stop (CcFdWatch *w);

#endif
