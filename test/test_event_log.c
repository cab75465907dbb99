/* Guards against event log lines with wrong fields or beyond their budget, and
 * against a reader that stops reading, which must neither block the process nor
 * cause a truncated line. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <json-glib/json-glib.h>

#include "capercrank.h"
#include "clock.h"
#include "event_log.h"

static int reader, writer;

static int
open_pipe (void **state)
{
  int ends[2];

  (void) state;
  if (pipe (ends) != 0)
    return -1;
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  reader = ends[0];
  writer = ends[1];
  cc_clock_pause (CC_SECOND, 1700000000 * CC_SECOND);
  cc_event_setup ("program", "i1", writer);
  return 0;
}

static char *
read_all (void)
{
  GString *s = g_string_new (NULL);
  char buffer[65536];
  gssize n;

  cc_event_flush ();
  while ((n = read (reader, buffer, sizeof buffer)) > 0)
    {
      g_string_append_len (s, buffer, n);
      cc_event_flush ();
    }
  return g_string_free (s, FALSE);
}

static void
fields_are_read_back_as_written (void **state)
{
  static const char *const texts[] = { "plain", "", "a \"quoted\" \\ one",
                                       "two\nlines\ttab", "\xc3\xa9" };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autofree char *line = NULL;
      g_autoptr (JsonNode) root = NULL;
      JsonObject *o;

      cc_event (CC_EVENT_FAILED, "refused", "request", texts[i], "left_ms",
                cc_event_int (-7), NULL);
      line = read_all ();
      root = json_from_string (line, NULL);
      assert_non_null (root);
      o = json_node_get_object (root);
      assert_string_equal (json_object_get_string_member (o, "request"),
                           texts[i]);
      assert_string_equal (json_object_get_string_member (o, "event"),
                           "refused");
      assert_int_equal (json_object_get_int_member (o, "left_ms"), -7);
    }
}

/* Overload: 5000 lines in one second.  Those beyond the budget are counted, and
 * the count is logged once there is capacity. */
static void
lines_beyond_the_budget_are_counted (void **state)
{
  guint64 before = cc_event_dropped (CC_EVENT_SERVED);
  g_autofree char *text = NULL;
  guint lines = 0;

  (void) state;
  cc_clock_advance (10 * CC_SECOND);
  for (guint i = 0; i < 5000; i++)
    cc_event (CC_EVENT_SERVED, "ended", "request", "r", NULL);
  cc_clock_advance (CC_SECOND);
  cc_event (CC_EVENT_SERVED, "ended", "request", "last", NULL);
  text = read_all ();
  for (const char *c = text; *c != '\0'; c++)
    lines += *c == '\n';
  assert_true (lines < 100);
  assert_true (cc_event_dropped (CC_EVENT_SERVED) - before > 4900);
  assert_non_null (strstr (text, "log-lines-dropped"));
}

static void
a_reader_that_stops_blocks_nothing (void **state)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  guint64 before = cc_event_dropped (CC_EVENT_FAILED);

  (void) state;
  for (guint i = 0; i < 5000; i++)
    {
      cc_clock_advance (CC_SECOND / 10);
      cc_event (CC_EVENT_FAILED, "refused", "request", "0123456789abcdef",
                NULL);
    }
  assert_true (cc_event_dropped (CC_EVENT_FAILED) > before);
  text = read_all ();
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
    {
      g_autoptr (JsonNode) root = json_from_string (lines[i], NULL);

      if (root == NULL)
        fail_msg ("a truncated line: %s", lines[i]);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (fields_are_read_back_as_written),
    cmocka_unit_test (lines_beyond_the_budget_are_counted),
    cmocka_unit_test (a_reader_that_stops_blocks_nothing),
  };

  return cmocka_run_group_tests (tests, open_pipe, NULL);
}
