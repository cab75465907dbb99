/* Log for operators: one structured line for each change of state. */
#ifndef CC_LOG_H
#define CC_LOG_H

#include <glib.h>

typedef enum
{
  CC_LOG_DEBUG,
  CC_LOG_INFO,
  CC_LOG_WARNING,
  CC_LOG_ERROR
} CcLogLevel;

void cc_log_setup (const char *program, const char *instance, CcLogLevel lowest,
                   gboolean json);
gboolean cc_log_parse_level (const char *name, CcLogLevel *level);
void cc_log (CcLogLevel level, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#endif
