/* Guards against an id that counts as new on a connection that has carried it,
 * and against memory that grows with what callers write into ids. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "carried_ids.h"

#define LONG_ID 100000 /* bytes */

static const char *const ids[] = {
  "", "a", "A", "a ", "9c41d07be2a35f68", "9c41d07be2a35f69"
};

/* Failure: an id is found that was not carried, or is not found that was. */
static void
carried_ids_are_found (void **state)
{
  g_autofree char *longest = g_strnfill (LONG_ID, 'x');
  CcCarriedIds all = { 0 };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      assert_false (cc_carried_ids_has (&all, cc_carried_ids_hash (ids[i])));
      cc_carried_ids_add (&all, cc_carried_ids_hash (ids[i]));
    }
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    assert_true (cc_carried_ids_has (&all, cc_carried_ids_hash (ids[i])));
  assert_false (cc_carried_ids_has (&all, cc_carried_ids_hash (longest)));
  cc_carried_ids_add (&all, cc_carried_ids_hash (longest));
  assert_true (cc_carried_ids_has (&all, cc_carried_ids_hash (longest)));
  longest[LONG_ID - 1] = 'y';
  assert_false (cc_carried_ids_has (&all, cc_carried_ids_hash (longest)));
  cc_carried_ids_clear (&all);
  assert_false (cc_carried_ids_has (&all, cc_carried_ids_hash (ids[0])));
}

/* Failure: the first ids of a connection are forgotten for later ones. */
static void
all_ids_are_kept_until_full (void **state)
{
  CcCarriedIds all = { 0 };

  (void) state;
  for (guint i = 0; i < CC_CARRIED_IDS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("q%u", i);

      assert_false (cc_carried_ids_is_full (&all));
      cc_carried_ids_add (&all, cc_carried_ids_hash (id));
    }
  assert_true (cc_carried_ids_is_full (&all));
  assert_true (cc_carried_ids_has (&all, cc_carried_ids_hash ("q0")));
  cc_carried_ids_clear (&all);
  assert_false (cc_carried_ids_is_full (&all));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (carried_ids_are_found),
    cmocka_unit_test (all_ids_are_kept_until_full),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
