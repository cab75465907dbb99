/* The clocks of the process; tests can pause and advance them. */
#ifndef CC_CLOCK_H
#define CC_CLOCK_H

#include <glib.h>

gint64 cc_clock_now (void);
gint64 cc_clock_wall (void);
gint64 cc_clock_steady (void);
void cc_clock_pause (gint64 now, gint64 wall);
void cc_clock_advance (gint64 span);
void cc_clock_resume (void);
guint64 cc_clock_incarnation (void);

#endif
