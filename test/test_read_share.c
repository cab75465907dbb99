/* Guards against a main loop that reads long answers all the time, and against
 * large answers of sound upstreams that are slowed down. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "read_share.h"

#define PLAYED (10 * CC_SECOND)

/* Bytes arrive all the time in EVERY of each PERIOD, and a piece of them takes
 * PIECE; all us. */
typedef struct
{
  const char *name;
  gint64 piece;
  gint64 every, period;
  double share_min, share_max; /* of the time that is spent on reading */
} Case;

static const Case cases[] = {
  { "without end, short pieces", 3, 1, 1, 0.24, 0.26 },
  { "without end, long pieces", 2000, 1, 1, 0.24, 0.26 },
  { "a large answer of 8 ms each second", 100, 8 * CC_MS, CC_SECOND, 0.008,
    0.0082 },
  { "a larger one of 40 ms each second", 100, 40 * CC_MS, CC_SECOND, 0.016,
    0.02 },
};

static void
reading_takes_its_share (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      CcReadShare s = { 0 };
      gint64 from = 50 * CC_SECOND, now = from, spent = 0;
      double share;

      while (now < from + PLAYED)
        {
          gint64 into = (now - from) % c->period;
          gint64 wait = cc_read_share_wait (&s, now);

          if (into >= c->every)
            now += c->period - into;
          else if (wait > 0)
            now += wait;
          else
            {
              cc_read_share_spend (&s, c->piece);
              now += c->piece;
              spent += c->piece;
            }
        }
      share = (double) spent / PLAYED;
      if (share < c->share_min || share > c->share_max)
        fail_msg ("%s: %.4f of the time", c->name, share);
    }
}

/* Guards against a wait after which nothing may be read, which would turn the
 * timer for it into a loop. */
static void
after_the_wait_a_piece_may_be_read (void **state)
{
  (void) state;
  for (gint64 piece = 1; piece < 100 * CC_MS; piece = 2 * piece + 1)
    {
      CcReadShare s = { 0 };
      gint64 now = 50 * CC_SECOND, wait;

      for (guint i = 0; i < 200; i++)
        {
          wait = cc_read_share_wait (&s, now);
          now += wait;
          assert_int_equal (cc_read_share_wait (&s, now), 0);
          cc_read_share_spend (&s, piece);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (reading_takes_its_share),
    cmocka_unit_test (after_the_wait_a_piece_may_be_read),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
