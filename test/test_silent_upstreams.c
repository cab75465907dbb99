/* Guards against keys that nobody serves because they are planned for an
 * upstream that is listed and does not answer, and against keys that are taken
 * from their owners because the granter itself is cut off.  Simulates the
 * granter and the upstreams of one pool without network. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "clock.h"
#include "granter_world.h"

#define SETTLED (6 * CC_SECOND)
/* After the keys have gone to others, no more may be lost for this long. */
#define WATCHED (60 * CC_SECOND)
#define ALL 0.9999
#define ALONE_FOR (2 * CC_SECOND)

/* When the silent upstream is listed and becomes silent. */
typedef enum
{
  FROM_THE_START,
  JOINS,         /* it is listed when the others own all keys */
  STOPS,         /* it owns keys and stops answering */
  BEFORE_HOLDER, /* as FROM_THE_START, and the granter is replaced at once */
  ALONE, /* it is the only one listed at the start; the others join 2 s later */
} When;

typedef struct
{
  const char *name;
  LinkKind link;
  When when;
  gint64 lost_max; /* keys without an owner are held again by then, us */
} Case;

/* A grant that may have arrived binds for 4.2 s, and its call takes 0.8 s. */
static const Case cases[] = {
  { "refuses", LINK_REFUSES, FROM_THE_START, 3 * CC_SECOND },
  { "refuses, joins", LINK_REFUSES, JOINS, 0 },
  { "refuses, stops", LINK_REFUSES, STOPS, 7 * CC_SECOND },
  { "swallows", LINK_SWALLOWS, FROM_THE_START, 9 * CC_SECOND },
  { "swallows, joins", LINK_SWALLOWS, JOINS, 9 * CC_SECOND },
  { "swallows, stops", LINK_SWALLOWS, STOPS, 16 * CC_SECOND },
  { "refuses, the granter is replaced", LINK_REFUSES, BEFORE_HOLDER,
    20 * CC_SECOND },
  { "swallows, the granter is replaced", LINK_SWALLOWS, BEFORE_HOLDER,
    30 * CC_SECOND },
  { "refuses, alone at first", LINK_REFUSES, ALONE, 3 * CC_SECOND },
  { "swallows, alone at first", LINK_SWALLOWS, ALONE, 9 * CC_SECOND },
};

static const guint good[] = { 1, 2, 5 };

static void
run_for (gint64 span)
{
  for (gint64 i = 0; i < span / STEP; i++)
    world_step ((guint) (cc_clock_now () / STEP));
}

static void
list_at_all (void)
{
  for (guint i = 0; i < GRANTERS; i++)
    world_list_servers (&world.processes[i], cc_clock_now ());
}

/* Begins a world of OTHERS upstreams that answer and one, the last, that does
 * as C says; all keys of the others are granted.  Returns the last one. */
static Server *
begin (const Case *c, guint others)
{
  Server *s;

  world_begin_kind (&(WorldKind){ .seed = 1, .servers = others + 1 });
  s = &world.servers[others];
  s->up = c->when != JOINS;
  if (c->when != STOPS)
    s->link = c->link;
  for (guint i = 0; i < others; i++)
    world.servers[i].up = c->when != ALONE;
  list_at_all ();
  switch (c->when)
    {
    case FROM_THE_START:
    case BEFORE_HOLDER:
      for (guint i = 0; i < 500 && world_share_held () < 0.2; i++)
        run_for (STEP);
      break;
    case JOINS:
    case STOPS:
      run_for (SETTLED);
      assert_true (world_share_held () > ALL);
      break;
    case ALONE:
      run_for (ALONE_FOR);
      break;
    }
  for (guint i = 0; i < others; i++)
    world.servers[i].up = TRUE;
  s->up = TRUE;
  s->link = c->link;
  list_at_all ();
  if (c->when == BEFORE_HOLDER)
    {
      assert_true (world_holder () >= 0);
      world.processes[world_holder ()].paused_until = G_MAXINT64;
    }
  return s;
}

/* Runs until C's time is over and then for WATCHED, and fails if keys have no
 * owner. */
static void
check_case (const Case *c, guint others)
{
  gint64 began = cc_clock_now ();

  run_for (c->lost_max);
  while (cc_clock_now () < began + c->lost_max + WATCHED)
    {
      run_for (STEP);
      if (world_share_held () < ALL)
        fail_msg ("%s, %u others: %.3f of the keys are held after %.1f s",
                  c->name, others, world_share_held (),
                  (double) (cc_clock_now () - began) / CC_SECOND);
    }
  assert_string_equal (world.failure, "");
}

static void
keys_of_a_silent_upstream_go_to_others (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    for (guint k = 0; k < G_N_ELEMENTS (good); k++)
      {
        begin (&cases[i], good[k]);
        check_case (&cases[i], good[k]);
        world_clear ();
      }
}

/* Returns the share of the keys that S holds. */
static double
share_of (const Server *s)
{
  guint keys = 0;

  for (guint i = 0; i < s->held->len; i++)
    {
      const Held *h = &g_array_index (s->held, Held, i);

      if (h->until > cc_clock_now ())
        keys += h->to - h->from + 1;
    }
  return (double) keys / CC_KEYS;
}

/* Guards against an upstream that stays without keys after it has begun to
 * answer, be it that its row was written early or that it was unreachable. */
static void
an_upstream_that_answers_again_gets_keys (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    for (guint k = 0; k < G_N_ELEMENTS (good); k++)
      {
        Server *s = begin (&cases[i], good[k]);

        run_for (30 * CC_SECOND);
        s->link = LINK_WORKS;
        run_for (14 * CC_SECOND);
        if (share_of (s) < 0.05 || world_share_held () < ALL)
          fail_msg ("%s, %u others: it holds %.3f of the keys, all %.3f",
                    cases[i].name, good[k], share_of (s), world_share_held ());
        assert_string_equal (world.failure, "");
        world_clear ();
      }
}

/* Guards against a first share that comes late, since an upstream without keys
 * has to be reached before. */
static void
an_upstream_that_joins_gets_keys_at_once (void **state)
{
  const Case joins = { "joins", LINK_WORKS, JOINS, 0 };

  (void) state;
  for (guint k = 0; k < G_N_ELEMENTS (good); k++)
    {
      const Server *s = begin (&joins, good[k]);

      run_for (1500 * CC_MS);
      if (share_of (s) < 0.05)
        fail_msg ("%u others: it holds %.3f of the keys", good[k],
                  share_of (s));
      world_clear ();
    }
}

/* Guards against keys that are planned for others while no upstream answers, as
 * the granter itself is cut off: when it is back, each owner has the keys that
 * it had. */
static void
a_granter_that_is_cut_off_moves_no_keys (void **state)
{
  static const LinkKind links[] = { LINK_REFUSES, LINK_SWALLOWS };
  static const gint64 spans[] = { 2 * CC_SECOND, 6 * CC_SECOND,
                                  20 * CC_SECOND };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (links) * G_N_ELEMENTS (spans); i++)
    for (guint k = 0; k < G_N_ELEMENTS (good); k++)
      {
        double share[SERVERS];

        world_begin_kind (&(WorldKind){ .seed = 1, .servers = good[k] });
        run_for (SETTLED);
        for (guint s = 0; s < good[k]; s++)
          {
            share[s] = share_of (&world.servers[s]);
            world.servers[s].link = links[i % G_N_ELEMENTS (links)];
          }
        run_for (spans[i / G_N_ELEMENTS (links)]);
        for (guint s = 0; s < good[k]; s++)
          world.servers[s].link = LINK_WORKS;
        run_for (16 * CC_SECOND);
        for (guint s = 0; s < good[k]; s++)
          if (share_of (&world.servers[s]) < share[s] - 0.0001 ||
              share_of (&world.servers[s]) > share[s] + 0.0001)
            fail_msg ("%u upstreams, link %u, %d s: %.3f of the keys, not %.3f",
                      good[k], links[i % G_N_ELEMENTS (links)],
                      (int) (spans[i / G_N_ELEMENTS (links)] / CC_SECOND),
                      share_of (&world.servers[s]), share[s]);
        assert_string_equal (world.failure, "");
        world_clear ();
      }
}

/* Guards against keys that are taken from an owner that fails to answer for
 * less time than its keys are granted for. */
static void
an_owner_that_pauses_keeps_its_keys (void **state)
{
  static const LinkKind links[] = { LINK_REFUSES, LINK_SWALLOWS };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (links); i++)
    for (guint k = 0; k < G_N_ELEMENTS (good); k++)
      {
        const Case works = { "pauses", LINK_WORKS, STOPS, 0 };
        Server *s = begin (&works, good[k]);
        double share = share_of (s);

        s->link = links[i];
        run_for (2800 * CC_MS);
        s->link = LINK_WORKS;
        run_for (10 * CC_SECOND);
        if (share_of (s) < share - 0.0001)
          fail_msg ("%u others, link %u: %.3f of the keys, not %.3f", good[k],
                    links[i], share_of (s), share);
        assert_string_equal (world.failure, "");
        world_clear ();
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (keys_of_a_silent_upstream_go_to_others),
    cmocka_unit_test (an_upstream_that_answers_again_gets_keys),
    cmocka_unit_test (an_upstream_that_joins_gets_keys_at_once),
    cmocka_unit_test (a_granter_that_is_cut_off_moves_no_keys),
    cmocka_unit_test (an_owner_that_pauses_keeps_its_keys),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
