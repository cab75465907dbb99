/* Links that go silent, links whose peer is frozen, and a process that was
 * itself paused: told by a script of one letter for each look, 100 ms apart.
 *
 *   c  a connection is made        l  it is lost
 *   a  the last ping is answered   o  an answer to a ping of an earlier
 *   .  nothing                        connection comes
 *   P  this process was paused for 5 s before the look
 *   I  3 s go by with looks, all answered, none used (idle)
 *
 * The caller sees requests refused while a link is not proven, and "unknown"
 * at once when it is silent. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "link_health.h"

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
    gint silent_at; /* look, from 0; -1: never */
    gboolean proven;
  } cases[] = {
    { "......", -1, FALSE },     /* no connection: nothing to judge */
    { "c", -1, FALSE },          /* connected is not proven */
    { "caaaaaaaaaa", -1, TRUE }, /* healthy */
    { "ca.....", 6, FALSE },     /* goes silent: 500 ms after its last ping */
    { "ca....aaaa", -1, TRUE },  /* an answer in time */
    { "c.....", 5, FALSE },      /* the fresh one is silent, too: frozen */
    { "co....", 5, FALSE },      /* an old connection's answer is no proof */
    { "ca...Paaa", -1, TRUE },   /* our own pause is not its silence */
    { "ca...P.....", 7, FALSE }, /* but a silence after it is */
    { "ca..lca", -1, TRUE },     /* the old silence is forgotten */
    { "caIa", -1, TRUE },        /* idle and healthy */
    { "caI................", 14, FALSE } /* idle: found, up to a second later */
  };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcLinkHealth h = { 0 };
      gint64 now = 1000 * CC_SECOND;
      gint silent = -1;
      gint look = 0;

      for (const char *s = cases[i].script; *s != '\0'; s++, look++)
        {
          act (&h, *s, &now);
          if (cc_link_poll (&h, now) == CC_LINK_SILENT && silent < 0)
            {
              silent = look;
              cc_link_lost (&h);
            }
          now += CC_PING_PERIOD;
        }
      if (silent != cases[i].silent_at || h.proven != cases[i].proven)
        print_error ("%s: silent at %d, proven %d\n", cases[i].script, silent,
                     h.proven);
      assert_int_equal (silent, cases[i].silent_at);
      assert_int_equal (h.proven, cases[i].proven);
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
