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
  gint64 trouble_ms;  /* the keeper last failed so long before; -1: never */
  guint back;         /* of them are listed again at 11 s */
  guint usable_at_11; /* upstreams that may be used just then, */
  guint usable_at_13; /* and later */
} Case;

static const Case cases[] = {
  { "one leaves without a word", 1, -1, 0, 7, 7 },
  { "one leaves, trouble long ago", 1, 5000, 0, 7, 7 },
  { "one is missing after trouble", 1, 100, 0, 8, 7 },
  { "all lapsed after trouble, all return", 8, 100, 8, 8, 8 },
  { "all lapsed after trouble, one does not return", 8, 100, 7, 8, 7 },
  { "half vanish at once, nothing known of trouble", 4, -1, 0, 8, 4 },
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

static void
update (CcTargets *t, CcView *v, gint64 trouble, gint64 now)
{
  cc_targets_update (t, v, decode, trouble, now, count_change, NULL);
}

static void
missing_ones_are_used_as_long_as_the_cases_say (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      gint64 at = 10 * CC_SECOND;
      gint64 trouble = c->trouble_ms < 0 ? 0 : at - c->trouble_ms * CC_MS;
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
      update (&t, &v, trouble, at);
      for (guint k = 0; k < c->back; k++)
        list (&v, k, "80 1 0");
      update (&t, &v, trouble, at + CC_SECOND);
      at_11 = usable (&t);
      update (&t, &v, trouble, at + 3 * CC_SECOND);
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

/* Requests for the keys of one that leaves go there for a while, not longer. */
static void
one_that_leaves_serves_its_keys_for_a_while (void **state)
{
  CcTargets t;
  CcView v;
  gint64 now = 10 * CC_SECOND;

  (void) state;
  cc_targets_init (&t);
  cc_view_init (&v);
  list (&v, 0, "80 1 0");
  update (&t, &v, 0, CC_SECOND);
  list (&v, 0, "80 1 1");
  update (&t, &v, 0, now);
  assert_true (cc_target_serves_keys (cc_targets_find (&t, "u0"), now));
  assert_true (cc_target_serves_keys (cc_targets_find (&t, "u0"),
                                      now + CC_LEAVING_SERVES - 1));
  assert_false (cc_target_serves_keys (cc_targets_find (&t, "u0"),
                                       now + CC_LEAVING_SERVES));
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
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
