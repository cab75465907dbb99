/* Guards against a row that is already old on receipt and is treated as new:
 * requests would be sent to an upstream that has exited. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "version_clock.h"

#define RECORDS_MAX 4

typedef struct
{
  const char *name;
  struct
  {
    guint64 version;
    gint64 at_ms;
  } records[RECORDS_MAX]; /* up to the first version of 0 */
  guint64 version;
  gint64 after_ms; /* -1: unknown */
} Case;

static const Case cases[] = {
  { "nothing recorded", { { 0 } }, 5, -1 },
  { "newer than all", { { 3, 100 }, { 7, 300 } }, 9, 300 },
  { "between two", { { 3, 100 }, { 7, 300 } }, 5, 100 },
  { "the version that a response named", { { 3, 100 }, { 7, 300 } }, 7, 100 },
  { "older than all", { { 3, 100 }, { 7, 300 } }, 3, -1 },
  { "a response that was overtaken", { { 7, 300 }, { 3, 100 } }, 9, 300 },
  { "no change for a while", { { 3, 100 }, { 3, 300 }, { 3, 500 } }, 4, 500 },
  { "marks close together", { { 3, 100 }, { 4, 120 }, { 5, 140 } }, 5, 100 },
  { "a peer that is behind", { { 7, 300 }, { 5, 400 } }, 9, 300 },
};

static void
a_row_is_younger_than_each_answer_without_it (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      CcVersionClock clock = { 0 };
      gint64 after;

      for (guint n = 0; n < RECORDS_MAX && c->records[n].version != 0; n++)
        cc_version_clock_record (&clock, c->records[n].version,
                                 c->records[n].at_ms * CC_MS);
      after = cc_version_clock_written_after (&clock, c->version);
      if (after != (c->after_ms < 0 ? CC_TIME_UNKNOWN : c->after_ms * CC_MS))
        fail_msg ("%s: %" G_GINT64_FORMAT " us", c->name, after);
    }
}

/* Responses arrive for hours.  The number of marks is bounded, and they cover
 * enough time for an update that is delayed by two seconds. */
static void
marks_reach_back_three_seconds (void **state)
{
  CcVersionClock clock = { 0 };
  guint64 version = 1;

  (void) state;
  for (gint64 at = 0; at < 60 * CC_SECOND; at += 20 * CC_MS)
    cc_version_clock_record (&clock, version++, at);
  assert_true (clock.count <= CC_VERSION_MARKS);
  assert_true (clock.marks[0].at < 57 * CC_SECOND);
  assert_int_equal (cc_version_clock_newest (&clock).version, version - 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_row_is_younger_than_each_answer_without_it),
    cmocka_unit_test (marks_reach_back_three_seconds),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
