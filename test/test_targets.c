/* Which upstreams may be used while their list changes, lies or is away.
 *
 * What callers would see if it failed: everything refused because the list's
 * keeper was down for some seconds, or requests sent to an upstream that left
 * long ago. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "targets.h"

#define UPSTREAMS 8

typedef struct
{
  const char *name;
  guint missing;      /* upstreams that vanish at 10 s, from the first on */
  gint64 outage_ms;   /* the keeper last failed so long before; -1: never */
  guint back;         /* of them are listed again at 11 s */
  guint usable_at_11; /* upstreams that may be used just then, */
  guint usable_at_13; /* and later */
} Case;

static const Case cases[] = {
  { "one leaves without a word", 1, -1, 0, 7, 7 },
  { "one leaves, outage long ago", 1, 5000, 0, 7, 7 },
  { "one is missing after an outage", 1, 100, 0, 8, 7 },
  { "all lapsed after an outage, all return", 8, 100, 8, 8, 8 },
  { "all lapsed after an outage, one does not return", 8, 100, 7, 8, 7 },
  { "half vanish at once, nothing known of an outage", 4, -1, 0, 8, 4 },
  { "two vanish at once", 2, -1, 0, 6, 6 },
};

static gboolean
decode (const char *key, const char *value, CcListing *l)
{
  guint port, leaving;
  gulong born;

  if (sscanf (value, "%u %lu %u", &port, &born, &leaving) != 3)
    return FALSE;
  *l = (CcListing){ .id = g_strdup (key),
                    .pool = g_strdup ("p"),
                    .address = g_strdup_printf ("10.0.0.1:%u", port),
                    .zone = g_strdup ("a"),
                    .slots = 4,
                    .born = born,
                    .leaving = leaving != 0 };
  return TRUE;
}

static guint changes;

static void
count_change (const CcTarget *t, gpointer data)
{
  (void) t, (void) data;
  changes++;
}

static void
list (CcView *v, guint i, const char *value)
{
  static guint64 version;
  g_autofree char *id = g_strdup_printf ("u%u", i);

  cc_view_put (v, id, ++version, value);
}

static guint
usable (const CcTargets *t)
{
  GPtrArray *all = cc_targets_of_pool (t, "p");
  guint n = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    n += ((CcTarget *) all->pdata[i])->state == CC_TARGET_READY;
  return n;
}

/* Updates T as of NOW; CLOCK tells when the rows were written, NULL: lately. */
static void
update_by (CcTargets *t, CcView *v, const CcVersionClock *clock, gint64 outage,
           gint64 now)
{
  CcVersionClock lately = { .marks = { { 0, now - 200 * CC_MS } }, .count = 1 };
  CcListed listed = { .view = v,
                      .clock = clock != NULL ? clock : &lately,
                      .outage = outage };

  cc_targets_update (t, &listed, decode, now, count_change, NULL);
}

static void
update (CcTargets *t, CcView *v, gint64 outage, gint64 now)
{
  update_by (t, v, NULL, outage, now);
}

static void
missing_ones_are_used_as_long_as_the_cases_say (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      gint64 at = 10 * CC_SECOND;
      gint64 outage = c->outage_ms < 0 ? 0 : at - c->outage_ms * CC_MS;
      CcTargets t;
      CcView v;
      guint at_11;

      cc_targets_init (&t);
      cc_view_init (&v);
      for (guint k = 0; k < UPSTREAMS; k++)
        list (&v, k, "80 1 0");
      update (&t, &v, 0, 5 * CC_SECOND);
      for (guint k = 0; k < c->missing; k++)
        list (&v, k, NULL);
      update (&t, &v, outage, at);
      for (guint k = 0; k < c->back; k++)
        list (&v, k, "80 1 0");
      update (&t, &v, outage, at + CC_SECOND);
      at_11 = usable (&t);
      update (&t, &v, outage, at + 3 * CC_SECOND);
      if (at_11 != c->usable_at_11 || usable (&t) != c->usable_at_13)
        fail_msg ("%s: %u, then %u", c->name, at_11, usable (&t));
      cc_view_clear (&v);
      cc_targets_clear (&t);
    }
}

/* One started again under its id has a load of its own, and is told of. */
static void
a_new_life_is_a_change (void **state)
{
  CcTargets t;
  CcView v;
  CcTarget *one;

  (void) state;
  cc_targets_init (&t);
  cc_view_init (&v);
  list (&v, 0, "80 1 0");
  update (&t, &v, 0, CC_SECOND);
  one = cc_targets_find (&t, "u0");
  one->load.failures = 1;
  changes = 0;
  list (&v, 0, "80 1 0");
  update (&t, &v, 0, 2 * CC_SECOND);
  assert_int_equal (changes, 0);
  list (&v, 0, "80 2 0");
  update (&t, &v, 0, 3 * CC_SECOND);
  assert_int_equal (changes, 1);
  assert_true (one->load.failures == 0);
  assert_int_equal (one->listing.born, 2);
  list (&v, 0, "not readable");
  update (&t, &v, 0, 4 * CC_SECOND);
  assert_int_equal (one->state, CC_TARGET_GONE);
  cc_view_clear (&v);
  cc_targets_clear (&t);
}

#define LEAVING_SERVES (1750 * CC_MS)

typedef struct
{
  const char *name;
  const char *row;  /* as the upstream left it; NULL: it is gone */
  gint64 news_ms;   /* when they came, after the row was written */
  gint64 known_ms;  /* the copy of before was known to be new so long before
                       the row was written; -1: not known at all */
  gint64 serves_ms; /* its keys are sent to it so long after the row was
                       written; 0: not any more when the news came */
} Leaving;

static const Leaving leavings[] = {
  { "heard of at once", "80 1 1", 0, 0, 1750 },
  { "heard of at once, the copy's age less sure", "80 1 1", 0, 500, 1250 },
  { "the one that was followed was lost", "80 1 1", 1569, 400, 0 },
  { "heard of late", "80 1 1", 1200, 300, 1450 },
  { "heard of after all that", "80 1 1", 1800, 0, 0 },
  { "nothing is known of when", "80 1 1", 0, -1, 0 },
  { "gone at once", NULL, 0, 0, 1750 },
  { "gone, heard of late", NULL, 1200, 300, 1450 },
  { "another life that leaves", "80 2 1", 1200, 300, 1450 },
};

/* The caller sees a request for a key fail at its owner, which has ended.  The
 * owner said that it leaves; the entry's copy of the list was old then, since
 * the one that it followed was lost, and when it had the news it counted the
 * time for which the owner still serves from that moment on.  It is counted
 * from when the copy was last known to be new. */
static void
one_that_leaves_serves_its_keys_for_a_while (void **state)
{
  gint64 written = 10 * CC_SECOND;

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (leavings); i++)
    {
      const Leaving *c = &leavings[i];
      gint64 heard = written + c->news_ms * CC_MS;
      gint64 end = written + c->serves_ms * CC_MS;
      CcVersionClock clock = { 0 };
      CcTargets t;
      CcTarget *one;
      CcView v;

      cc_targets_init (&t);
      t.leaving_serves = LEAVING_SERVES;
      cc_view_init (&v);
      list (&v, 0, "80 1 0");
      update (&t, &v, 0, CC_SECOND);
      one = cc_targets_find (&t, "u0");
      if (c->known_ms >= 0)
        cc_version_clock_record (&clock, one->version,
                                 written - c->known_ms * CC_MS);
      list (&v, 0, c->row);
      /* The newest answer names the row's version, and says nothing of it. */
      cc_version_clock_record (&clock, one->version + 1, heard);
      update_by (&t, &v, &clock, 0, heard);
      if ((c->serves_ms > 0 && !cc_targets_serves_keys (&t, one, end - 1)) ||
          cc_targets_serves_keys (&t, one, MAX (end, heard)))
        fail_msg ("%s: since %" G_GINT64_FORMAT " ms", c->name,
                  (one->since - written) / CC_MS);
      cc_view_clear (&v);
      cc_targets_clear (&t);
    }
}

/* Some vanish at once, the list's keeper is doubted and they are used on; then
 * they are gone.  The time for which they serve has passed meanwhile. */
static void
doubt_is_part_of_the_time_for_which_one_serves (void **state)
{
  gint64 at = 10 * CC_SECOND;
  CcTargets t;
  CcView v;

  (void) state;
  cc_targets_init (&t);
  t.leaving_serves = LEAVING_SERVES;
  cc_view_init (&v);
  for (guint k = 0; k < UPSTREAMS; k++)
    list (&v, k, "80 1 0");
  update (&t, &v, 0, 5 * CC_SECOND);
  for (guint k = 0; k < UPSTREAMS / 2; k++)
    list (&v, k, NULL);
  update (&t, &v, 0, at);
  assert_int_equal (usable (&t), UPSTREAMS);
  update (&t, &v, 0, at + CC_VANISH_GRACE);
  assert_int_equal (usable (&t), UPSTREAMS / 2);
  assert_false (cc_targets_serves_keys (&t, cc_targets_find (&t, "u0"),
                                        at + CC_VANISH_GRACE));
  cc_view_clear (&v);
  cc_targets_clear (&t);
}

/* Guards against an upstream that is sent to for seconds after it vanished,
 * since others of its pool vanish together later. */
static void
a_later_outage_does_not_bring_one_back (void **state)
{
  gint64 missed = 10 * CC_SECOND, later = missed + CC_SECOND;
  CcTargets t;
  CcView v;

  (void) state;
  cc_targets_init (&t);
  cc_view_init (&v);
  for (guint k = 0; k < UPSTREAMS; k++)
    list (&v, k, "80 1 0");
  update (&t, &v, 0, 5 * CC_SECOND);
  list (&v, 0, NULL);
  update (&t, &v, missed, missed);
  assert_int_equal (usable (&t), UPSTREAMS);
  for (guint k = 1; k <= UPSTREAMS / 2; k++)
    list (&v, k, NULL);
  update (&t, &v, missed, later);
  update (&t, &v, missed, missed + CC_VANISH_GRACE);
  assert_int_equal (cc_targets_find (&t, "u0")->state, CC_TARGET_GONE);
  assert_int_equal (usable (&t), UPSTREAMS - 1);
  cc_view_clear (&v);
  cc_targets_clear (&t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (missing_ones_are_used_as_long_as_the_cases_say),
    cmocka_unit_test (a_new_life_is_a_change),
    cmocka_unit_test (one_that_leaves_serves_its_keys_for_a_while),
    cmocka_unit_test (doubt_is_part_of_the_time_for_which_one_serves),
    cmocka_unit_test (a_later_outage_does_not_bring_one_back),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
