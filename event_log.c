/* One JSON object per line, written without blocking.
 *
 * Load pattern: under overload every request fails and would produce a line.
 * Without a limit, logging takes CPU time from requests, and a reader that
 * stops reading blocks the process.  So each kind of line has a token bucket;
 * the file is non-blocking, and what the pipe does not accept is kept in a
 * bounded buffer and dropped when that is full.  Dropped lines are counted, and
 * the count is logged once there is capacity.  Failed requests have a budget of
 * their own, so that lines on successful ones can't displace them. */
#include "event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "capercrank.h"
#include "clock.h"
#include "metrics.h"

/* Token bucket of each kind: lines per second, and burst.  A line costs about
 * 10 us, so 20 lines per second take 0.02% of a core. */
static const struct
{
  double rate, burst;
} budgets[CC_EVENT_KINDS] = {
  [CC_EVENT_STATE] = { 50, 300 },
  [CC_EVENT_FAILED] = { 60, 200 },
  [CC_EVENT_SERVED] = { 10, 40 },
};

/* Minimum time between two reports of dropped lines of a kind, us. */
#define DROPPED_REPORT_PERIOD (1 * CC_SECOND)
#define PENDING_MAX (64 * 1024) /* bytes buffered for the reader */
#define NUMBERS 16              /* maximum number of integers in one line */

static struct
{
  char *program;
  char *instance;
  int file;
  GString *pending; /* whole lines; the first may be partly written */
  struct
  {
    double tokens;
    gint64 updated; /* when tokens were added last, us */
    guint64 dropped;
    guint64 reported;   /* part of dropped that has been logged */
    gint64 reported_at; /* us */
    CcCounter *counter;
  } kinds[CC_EVENT_KINDS];
} events = { .file = -1 };

static const char *const kind_names[CC_EVENT_KINDS] = { "state", "failed",
                                                        "served" };

/* Opens the event log of PROGRAM on INSTANCE; FILE is its file descriptor,
 * which is made non-blocking.  Call it once, before the first cc_event. */
void
cc_event_setup (const char *program, const char *instance, int file)
{
  int flags = fcntl (file, F_GETFL);

  events.program = g_strdup (program);
  events.instance = g_strdup (instance);
  events.file = file;
  events.pending = g_string_new (NULL);
  if (flags >= 0)
    (void) fcntl (file, F_SETFL, flags | O_NONBLOCK);
  for (guint i = 0; i < CC_EVENT_KINDS; i++)
    {
      g_autofree char *labels = g_strdup_printf ("kind=\"%s\"", kind_names[i]);

      events.kinds[i].tokens = budgets[i].burst;
      events.kinds[i].counter =
          cc_metrics_counter ("capercrank_log_lines_dropped", labels);
    }
}

/* Writes as much of the buffered lines as FILE accepts without blocking. */
void
cc_event_flush (void)
{
  while (events.pending != NULL && events.pending->len > 0)
    {
      gssize n = write (events.file, events.pending->str, events.pending->len);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return;
      g_string_erase (events.pending, 0, n);
    }
}

static void
append_text (GString *line, const char *text)
{
  g_string_append_c (line, '"');
  for (; *text != '\0'; text++)
    {
      guchar c = (guchar) *text;

      if (c == '"' || c == '\\')
        g_string_append_printf (line, "\\%c", c);
      else if (c < 0x20 || c == 0x7f)
        g_string_append_printf (line, "\\u%04x", c);
      else
        g_string_append_c (line, (char) c);
    }
  g_string_append_c (line, '"');
}

static void
append_field (GString *line, const char *name, const char *value)
{
  append_text (line, name);
  g_string_append_c (line, ':');
  append_text (line, value);
}

static void
begin_line (GString *line, const char *event)
{
  gint64 wall = cc_clock_wall ();

  g_string_append_printf (line, "{\"time\":%" G_GINT64_FORMAT ".%06d,",
                          wall / G_USEC_PER_SEC, (int) (wall % G_USEC_PER_SEC));
  append_field (line, "instance", events.instance);
  g_string_append_c (line, ',');
  append_field (line, "event", event);
}

static gboolean
append_line (GString *line)
{
  g_string_append (line, "}\n");
  if (events.pending->len + line->len > PENDING_MAX)
    return FALSE;
  g_string_append_len (events.pending, line->str, (gssize) line->len);
  cc_event_flush ();
  return TRUE;
}

static void
count_dropped (CcEventKind kind)
{
  events.kinds[kind].dropped++;
  ++*events.kinds[kind].counter;
}

static void
refill (CcEventKind kind)
{
  gint64 now = cc_clock_now ();

  if (events.kinds[kind].updated != 0)
    events.kinds[kind].tokens =
        MIN (budgets[kind].burst,
             events.kinds[kind].tokens +
                 budgets[kind].rate *
                     (double) (now - events.kinds[kind].updated) / 1e6);
  events.kinds[kind].updated = now;
}

/* Logs how many lines of KIND were dropped since the last report. */
static void
report_dropped (CcEventKind kind)
{
  g_autoptr (GString) line = g_string_new (NULL);
  guint64 dropped = events.kinds[kind].dropped;

  begin_line (line, "log-lines-dropped");
  g_string_append_printf (line, ",\"kind\":\"%s\",\"count\":%" G_GUINT64_FORMAT,
                          kind_names[kind],
                          dropped - events.kinds[kind].reported);
  events.kinds[kind].reported_at = events.kinds[kind].updated;
  if (append_line (line))
    events.kinds[kind].reported = dropped;
}

/* Returns TRUE if the budget of KIND permits a line now; otherwise counts a
 * dropped line.  A caller uses it to save the cost of formatting a line. */
gboolean
cc_event_allowed (CcEventKind kind)
{
  if (events.file < 0)
    return FALSE;
  refill (kind);
  if (events.kinds[kind].tokens >= 1.0)
    return TRUE;
  count_dropped (kind);
  return FALSE;
}

/* Writes a line for EVENT with the fields given as pairs of name and text,
 * ended by NULL.  A text made by cc_event_int is written as a number, without
 * quotes.  The line is dropped and counted if the budget or the buffer is
 * exhausted. */
void
cc_event (CcEventKind kind, const char *event, ...)
{
  g_autoptr (GString) line = NULL;
  const char *name;
  va_list args;

  if (!cc_event_allowed (kind))
    return;
  events.kinds[kind].tokens -= 1.0;
  if (events.kinds[kind].dropped > events.kinds[kind].reported &&
      events.kinds[kind].updated >=
          events.kinds[kind].reported_at + DROPPED_REPORT_PERIOD)
    report_dropped (kind);
  line = g_string_new (NULL);
  begin_line (line, event);
  va_start (args, event);
  while ((name = va_arg (args, const char *)) != NULL)
    {
      const char *value = va_arg (args, const char *);

      g_string_append_c (line, ',');
      if (value != NULL && value[0] == '\001')
        {
          append_text (line, name);
          g_string_append_printf (line, ":%s", value + 1);
        }
      else
        append_field (line, name, value != NULL ? value : "");
    }
  va_end (args);
  if (!append_line (line))
    count_dropped (kind);
}

/* Formats NUMBER as the value of a field.  The result is valid until NUMBERS
 * further calls. */
const char *
cc_event_int (gint64 number)
{
  static char texts[NUMBERS][24];
  static guint next;
  char *text = texts[next++ % NUMBERS];

  g_snprintf (text, sizeof texts[0], "\001%" G_GINT64_FORMAT, number);
  return text;
}

/* Returns the number of lines of KIND dropped since the start. */
guint64
cc_event_dropped (CcEventKind kind)
{
  return events.kinds[kind].dropped;
}
