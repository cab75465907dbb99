/* Guards against rates far below or above those of any upstream, of a row or of
 * another gateway's message: times and tokens computed from them exceed their
 * integer types, and the result of such a conversion depends on the machine. */
#include <float.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "clock.h"
#include "fleet_limits.h"
#include "limit_tokens.h"

#define UPSTREAM "u"
#define WANTED 3
#define BEGIN (100 * CC_SECOND)
/* A gateway asks again within these bounds. */
#define WAIT_MIN (50 * CC_MS)
#define WAIT_MAX (3 * CC_SECOND)

typedef struct
{
  const char *name;
  double rate; /* requests a second */
  guint granted;
  gint64 wait; /* us */
} TokenCase;

/* Of two questions, the second is asked after WAIT_MAX. */
static const TokenCase token_cases[] = {
  { "one in an age", 1e-300, 0, WAIT_MAX },
  { "the smallest that is above 0", DBL_MIN, 0, WAIT_MAX },
  { "one in a year", 3e-8, 0, WAIT_MAX },
  { "none", 0.0, 0, WAIT_MAX },
  { "2^40", 0x1p40, WANTED, 0 },
  { "1e300", 1e300, WANTED, 0 },
  { "the largest", DBL_MAX, WANTED, 0 },
};

/* Failure: an upstream with a huge limit gets no requests, and gateways ask for
 * tokens of one with a tiny limit as often as they may. */
static void
tokens_of_odd_rates_are_bounded (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (token_cases); i++)
    {
      const TokenCase *c = &token_cases[i];
      CcLimitTokens *t = cc_limit_tokens_new ();
      CcLimitAsk ask = { .gateway = "g",
                         .id = UPSTREAM,
                         .born = 1,
                         .rate = c->rate,
                         .wanted = WANTED };
      CcLimitGrant got;

      cc_limit_tokens_ask (t, &ask, BEGIN);
      got = cc_limit_tokens_ask (t, &ask, BEGIN + WAIT_MAX);
      if (got.granted != c->granted || got.wait != c->wait)
        fail_msg ("%s: %u tokens, wait %" G_GINT64_FORMAT " us", c->name,
                  got.granted, got.wait);
      cc_limit_tokens_free (t);
    }
}

static void
ignore_datagram (const char *address, GBytes *datagram, gpointer data)
{
  (void) address;
  (void) datagram;
  (void) data;
}

static void
ignore_broadcast (GBytes *datagram, gpointer data)
{
  (void) datagram;
  (void) data;
}

static void
ignore_change (const char *id, guint64 born, double rate, gpointer data)
{
  (void) id;
  (void) born;
  (void) rate;
  (void) data;
}

static void
ignore (gpointer data)
{
  (void) data;
}

static gboolean
is_no_source (gpointer data)
{
  (void) data;
  return FALSE;
}

static const struct
{
  const char *name;
  double rate; /* requests a second of a cold upstream */
} cold_cases[] = {
  { "one in an age", 1e-300 },
  { "the smallest that is above 0", DBL_MIN },
  { "one in a year", 3e-8 },
};

/* Failure: a gateway that knows no source of tokens tries a request to a cold
 * upstream again each millisecond, or at a time that is past. */
static void
a_share_of_a_tiny_rate_is_awaited (void **state)
{
  const CcFleetLimitsSetup setup = { .address = "127.0.0.1:1",
                                     .send = ignore_datagram,
                                     .broadcast = ignore_broadcast,
                                     .is_source = is_no_source,
                                     .changed = ignore_change,
                                     .ready = ignore,
                                     .wake = ignore,
                                     .cold_slack = 2.0 };
  const gint64 cold_for = 60 * CC_SECOND;

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cold_cases); i++)
    {
      CcFleetLimits *f = cc_fleet_limits_new (&setup);
      gint64 now = cc_clock_now ();
      CcColdState cold = { .id = UPSTREAM,
                           .born = 1,
                           .rate = cold_cases[i].rate,
                           .left = cold_for,
                           .version = 1 };
      gint64 at = 0;

      cc_fleet_limits_set_gateways (f, 3);
      cc_fleet_limits_row (f, &cold, now);
      if (cc_fleet_limits_take (f, UPSTREAM, 1, 0, now, &at) !=
              CC_LIMIT_REFUSED ||
          at != cc_fleet_limits_cold_until (f, UPSTREAM))
        fail_msg ("%s: again after %" G_GINT64_FORMAT " us", cold_cases[i].name,
                  at - now);
      cc_fleet_limits_free (f);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (tokens_of_odd_rates_are_bounded),
    cmocka_unit_test (a_share_of_a_tiny_rate_is_awaited),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
