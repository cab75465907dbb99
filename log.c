/* Writes lines to standard error, plain or JSON, with wall-clock time, level,
 * program, instance and event.  Frequent events are counted (metrics.h), not
 * logged: a line is for a change of state that matters to a person on call. */
#include "log.h"

#include <stdio.h>

#include <json-glib/json-glib.h>

static struct
{
  char *program;     /* name of the program */
  char *instance;    /* instance on which it runs */
  CcLogLevel lowest; /* lines of a lower level are dropped */
  gboolean json;     /* JSON lines in place of plain ones */
} logger = { .lowest = CC_LOG_INFO };

static const char *const level_names[] = { "debug", "info", "warning",
                                           "error" };

/* Sets the program and instance that the lines name, the LOWEST level to print,
 * and JSON or plain format.  Copies the strings. */
void
cc_log_setup (const char *program, const char *instance, CcLogLevel lowest,
              gboolean json)
{
  g_free (logger.program);
  g_free (logger.instance);
  logger.program = g_strdup (program);
  logger.instance = g_strdup (instance);
  logger.lowest = lowest;
  logger.json = json;
}

/* Parses the name of a level.  Returns FALSE if NAME is not one. */
gboolean
cc_log_parse_level (const char *name, CcLogLevel *level)
{
  for (guint i = 0; i < G_N_ELEMENTS (level_names); i++)
    if (g_str_equal (name, level_names[i]))
      {
        *level = (CcLogLevel) i;
        return TRUE;
      }
  return FALSE;
}

static void
print_json (const char *time_text, CcLogLevel level, const char *event,
            const char *text)
{
  g_autoptr (JsonBuilder) b = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  g_autofree char *line = NULL;
  const char *fields[][2] = { { "time", time_text },
                              { "level", level_names[level] },
                              { "program", logger.program },
                              { "instance", logger.instance },
                              { "event", event },
                              { "message", text } };

  json_builder_begin_object (b);
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      json_builder_set_member_name (b, fields[i][0]);
      json_builder_add_string_value (b, fields[i][1] ? fields[i][1] : "");
    }
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  line = json_to_string (root, FALSE);
  fprintf (stderr, "%s\n", line);
}

/* Writes one line for a change of state named EVENT, with a printf-style
 * message, unless LEVEL is below the lowest one set. */
void
cc_log (CcLogLevel level, const char *event, const char *format, ...)
{
  g_autoptr (GDateTime) now = NULL;
  g_autofree char *time_text = NULL;
  g_autofree char *text = NULL;
  va_list args;

  if (level < logger.lowest)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  now = g_date_time_new_now_utc ();
  time_text = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  if (logger.json)
    print_json (time_text, level, event, text);
  else
    fprintf (stderr, "%s %-7s %s %s %s: %s\n", time_text, level_names[level],
             logger.program ? logger.program : "-",
             logger.instance ? logger.instance : "-", event, text);
}
