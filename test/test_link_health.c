/* Guards against requests lost on links that have gone silent or whose peer is
 * stalled, and against links closed since this process itself was paused. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "link_health.h"

/* Performs one step WHAT of a script.  A script has one letter per poll, polls
 * are 100 ms apart:
 *
 *   c  a connection is made        l  it is lost
 *   a  the last ping is answered   o  a ping of an earlier connection
 *   .  nothing                        is answered
 *   P  this process was paused for 5 s before the poll
 *   I  3 s with polls, all answered, link not used (idle) */
static void
act (CcLinkHealth *h, char what, gint64 *now)
{
  switch (what)
    {
    case 'c':
      cc_link_connected (h, *now);
      break;
    case 'l':
      cc_link_lost (h);
      break;
    case 'a':
      cc_link_answered (h, h->sequence, *now);
      break;
    case 'o':
      cc_link_answered (h, h->first - 1, *now);
      break;
    case 'P':
      *now += 5 * CC_SECOND;
      break;
    case 'I':
      for (guint i = 0; i < 30; i++, *now += CC_PING_PERIOD)
        if (cc_link_poll (h, *now) == CC_LINK_PING)
          cc_link_answered (h, h->sequence, *now);
      break;
    default:
      break;
    }
}

static void
link_scripts (void **state)
{
  static const struct
  {
    const char *script;
    gint silent_at; /* poll, from 0; -1: never */
    gboolean pings_answered;
  } cases[] = {
    { "......", -1, FALSE },     /* no connection: nothing to check */
    { "c", -1, FALSE },          /* connected is not proven */
    { "caaaaaaaaaa", -1, TRUE }, /* healthy */
    { "ca.....", 6, FALSE },     /* silent: 500 ms after its last ping */
    { "ca....aaaa", -1, TRUE },  /* a response in time */
    { "c.....", 5, FALSE },      /* the new one is silent, too: stalled */
    { "co....", 5, FALSE },      /* an old connection's ping does not count */
    { "ca...Paaa", -1, TRUE },   /* a local pause does not count as silence */
    { "ca...P.....", 7, FALSE }, /* but silence after it does */
    { "ca..lca", -1, TRUE },     /* silence of the old connection is not kept */
    { "caIa", -1, TRUE },        /* idle and healthy */
    { "caI................", 14, FALSE } /* idle: detected within 1 s more */
  };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcLinkHealth h = { 0 };
      gint64 now = 1000 * CC_SECOND;
      gint silent = -1;
      gint poll = 0;

      for (const char *s = cases[i].script; *s != '\0'; s++, poll++)
        {
          act (&h, *s, &now);
          if (cc_link_poll (&h, now) == CC_LINK_SILENT && silent < 0)
            {
              silent = poll;
              cc_link_lost (&h);
            }
          now += CC_PING_PERIOD;
        }
      if (silent != cases[i].silent_at ||
          h.pings_answered != cases[i].pings_answered)
        print_error ("%s: silent at %d, proven %d\n", cases[i].script, silent,
                     h.pings_answered);
      assert_int_equal (silent, cases[i].silent_at);
      assert_int_equal (h.pings_answered, cases[i].pings_answered);
    }
}

static void
idle_links_cost_little (void **state)
{
  CcLinkHealth h = { 0 };
  guint pings = 0;

  (void) state;
  cc_link_connected (&h, 0);
  for (gint64 now = 0; now < 62 * CC_SECOND; now += CC_PING_PERIOD)
    if (cc_link_poll (&h, now) == CC_LINK_PING)
      {
        pings += now >= 2 * CC_SECOND;
        cc_link_answered (&h, h.sequence, now);
      }
  assert_true (pings <= 61);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (link_scripts),
    cmocka_unit_test (idle_links_cost_little),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
