/* Structured lines on standard output: decisions about requests, and changes
 * of what the process believes. */
#ifndef CC_EVENT_LOG_H
#define CC_EVENT_LOG_H

#include <glib.h>

/* Which budget a line is taken from. */
typedef enum
{
  CC_EVENT_STATE,  /* what the process believes, start, stop, dependencies */
  CC_EVENT_FAILED, /* a request that was refused or failed */
  CC_EVENT_SERVED, /* a request that went well, and steps on its way */
  CC_EVENT_KINDS
} CcEventKind;

void cc_event_setup (const char *program, const char *instance, int file);
void cc_event (CcEventKind kind, const char *event, ...) G_GNUC_NULL_TERMINATED;
void cc_event_flush (void);
const char *cc_event_int (gint64 number);
guint64 cc_event_dropped (CcEventKind kind);
gboolean cc_event_allowed (CcEventKind kind);

#endif
