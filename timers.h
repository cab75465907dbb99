/* Many timers on one source of the main loop. */
#ifndef CC_TIMERS_H
#define CC_TIMERS_H

#include <glib.h>

/* One timer, embedded in what it belongs to; all zero is a stopped one. */
typedef struct
{
  gint64 at;            /* us of cc_clock_steady */
  GSequenceIter *place; /* among the running ones; NULL: stopped */
  void (*due) (gpointer data);
  gpointer data; /* of due */
} CcTimer;

void cc_timer_start (CcTimer *t, gint64 span, void (*due) (gpointer data),
                     gpointer data);
void cc_timer_stop (CcTimer *t);
void cc_timers_run (void);

#endif
