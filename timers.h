/* Many timers on one source of the main loop. */
#ifndef CC_TIMERS_H
#define CC_TIMERS_H

#include <glib.h>

/* One timer, embedded in the struct that owns it.  All zero means stopped. */
typedef struct
{
  gint64 at;            /* expiry, us of cc_clock_steady */
  GSequenceIter *place; /* in the sequence of running timers; NULL: stopped */
  void (*due) (gpointer data);
  gpointer data; /* passed to due */
} CcTimer;

void cc_timer_start (CcTimer *t, gint64 span, void (*due) (gpointer data),
                     gpointer data);
void cc_timer_stop (CcTimer *t);
void cc_timers_run (void);

#endif
