/* Guards against keys that have no owner as long as the table service is slow,
 * since a fixed timeout ends every lease renewal and owner change before its
 * response.  The cases are sequences of fast, slow and lost responses. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "call_timeout.h"

#define LEAST (700 * CC_MS)
#define MOST (1600 * CC_MS)
#define LOST 0

typedef struct
{
  const char *name;
  guint answers[12]; /* response time of each call, ms */
  guint count;
  guint expired_most; /* most calls that may expire */
  guint left_most;    /* longest timeout after them, ms */
} Case;

static const Case cases[] = {
  { "quick answers", { 5, 5, 5, 5, 5, 5 }, 6, 0, 700 },
  { "one lost call among quick ones", { 5, 5, 5, LOST, 5, 5 }, 6, 1, 700 },
  { "each response takes longer than the lower bound",
    { 900, 900, 900, 900, 900, 900, 900, 900 },
    8,
    1,
    1600 },
  { "answers become slow",
    { 5, 5, 5, 5, 900, 900, 900, 900, 900, 900 },
    10,
    1,
    1600 },
  { "the service is silent for a while",
    { 5, 5, LOST, LOST, LOST, 5 },
    6,
    3,
    700 },
  { "was slow", { 900, 900, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5 }, 12, 1, 1100 },
};

/* Guards against a slow service of which no call ever succeeds. */
static void
slow_answers_are_waited_for (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      CcCallTimeout t;
      guint expired = 0;

      cc_call_timeout_init (&t, LEAST, MOST);
      for (guint k = 0; k < c->count; k++)
        {
          gint64 takes = c->answers[k] * CC_MS;

          assert_in_range (t.current, LEAST, MOST);
          if (takes != LOST && takes <= t.current)
            cc_call_timeout_answered (&t, takes);
          else
            {
              cc_call_timeout_expired (&t, t.current);
              expired++;
            }
        }
      if (expired > c->expired_most || t.current > c->left_most * CC_MS)
        fail_msg ("%s: %u calls expired, then a timeout of %u ms", c->name,
                  expired, (guint) (t.current / CC_MS));
    }
}

/* Guards against one outage that doubles the timeout once per pending call. */
static void
calls_under_way_count_once (void **state)
{
  CcCallTimeout t;

  (void) state;
  cc_call_timeout_init (&t, LEAST, 8 * LEAST);
  for (guint i = 0; i < 4; i++)
    cc_call_timeout_expired (&t, LEAST);
  assert_int_equal (t.current, 2 * LEAST);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (slow_answers_are_waited_for),
    cmocka_unit_test (calls_under_way_count_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
