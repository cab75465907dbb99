/* Event log: rate-limited JSON lines about decisions on requests and about the
 * state of the process. */
#ifndef CC_EVENT_LOG_H
#define CC_EVENT_LOG_H

#include <glib.h>

/* Kind of a line; each has a rate limit of its own. */
typedef enum
{
  CC_EVENT_STATE,  /* state of the process: start, stop, dependencies */
  CC_EVENT_FAILED, /* a request that was rejected or failed */
  CC_EVENT_SERVED, /* a request that succeeded, and steps of its processing */
  CC_EVENT_KINDS
} CcEventKind;

void cc_event_setup (const char *program, const char *instance, int file);
void cc_event (CcEventKind kind, const char *event, ...) G_GNUC_NULL_TERMINATED;
void cc_event_flush (void);
const char *cc_event_int (gint64 number);
guint64 cc_event_dropped (CcEventKind kind);
gboolean cc_event_allowed (CcEventKind kind);

#endif
