/* Guards against a list of instances that becomes stale while the platform's
 * answers are slow. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "listing.h"

#define TICK (50 * CC_MS)
#define TICKS 400

typedef struct
{
  guint64 number;
  gint64 answered; /* us */
} Call;

/* Guards against a change of the list that is seen only after the time of two
 * answers; a period and one answer are enough. */
static void
a_slow_list_is_not_older_than_its_answer (void **state)
{
  static const gint64 answers[] = { 0, 200 * CC_MS, 500 * CC_MS, 900 * CC_MS,
                                    1600 * CC_MS };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      CcListing l = { 0 };
      g_autoptr (GArray) calls = g_array_new (FALSE, FALSE, sizeof (Call));
      gint64 changed = 4 * CC_LISTING_PERIOD + TICK;
      gint64 seen = 0;

      for (gint64 now = TICK; now < TICKS * TICK && seen == 0; now += TICK)
        {
          Call c = { cc_listing_request (&l, now), now + answers[i] };

          if (c.number != 0)
            g_array_append_val (calls, c);
          while (calls->len > 0 &&
                 g_array_index (calls, Call, 0).answered <= now)
            {
              Call *first = &g_array_index (calls, Call, 0);

              if (cc_listing_answered (&l, first->number) &&
                  first->answered - answers[i] >= changed)
                seen = now;
              g_array_remove_index (calls, 0);
            }
        }
      if (seen == 0 ||
          seen > changed + CC_LISTING_PERIOD + answers[i] + 2 * TICK)
        fail_msg ("answers of %u ms: a change is seen after %u ms",
                  (guint) (answers[i] / CC_MS),
                  (guint) ((seen - changed) / CC_MS));
    }
}

/* Guards against a list that goes back because one answer overtook another. */
static void
an_overtaken_list_is_dropped (void **state)
{
  CcListing l = { 0 };
  guint64 first = cc_listing_request (&l, 0);
  guint64 second = cc_listing_request (&l, CC_LISTING_PERIOD);

  (void) state;
  assert_true (cc_listing_answered (&l, second));
  assert_false (cc_listing_answered (&l, first));
  assert_true (
      cc_listing_answered (&l, cc_listing_request (&l, 2 * CC_LISTING_PERIOD)));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_slow_list_is_not_older_than_its_answer),
    cmocka_unit_test (an_overtaken_list_is_dropped),
  };

  return cmocka_run_group_tests_name ("listing", tests, NULL, NULL);
}
