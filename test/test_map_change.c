/* Guards against a wrong reason of a map's last change, as shown to operators,
 * and against a change that is sent to the wrong dispatchers. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "map_change.h"

/* A settled map of two servers with a dispatcher each. */
static CcSliceMap *
settled (void)
{
  CcSliceMap *m = cc_slicemap_new ("gate", 4);

  for (gint32 i = 0; i < 2; i++)
    {
      CcMapServer *s;

      cc_slicemap_add (m, i == 0 ? "gate-1" : "gate-2", "127.0.0.1:1", "a");
      s = cc_slicemap_server (m, i);
      g_free (s->dispatcher);
      s->dispatcher = g_strdup (i == 0 ? "d1" : "d2");
      s->term = 1;
    }
  for (guint i = 0; i < 4; i++)
    *cc_slicemap_at (m, i) = (CcMapSlice){ (gint32) (i % 2), -1, 1 };
  g_free (m->reason);
  m->reason = g_strdup ("earlier");
  return m;
}

static void
no_change (CcSliceMap *m)
{
  (void) m;
}

static void
move_one (CcSliceMap *m)
{
  *cc_slicemap_at (m, 0) = (CcMapSlice){ 1, 0, 2 };
}

static void
join (CcSliceMap *m)
{
  cc_slicemap_add (m, "gate-3", "127.0.0.1:3", "a");
}

static void
leave (CcSliceMap *m)
{
  cc_slicemap_server (m, 0)->state = CC_SERVER_LEAVING;
  move_one (m);
}

static void
lose (CcSliceMap *m)
{
  cc_slicemap_server (m, 1)->state = CC_SERVER_LOST;
}

static void
take_over (CcSliceMap *m)
{
  CcMapServer *s = cc_slicemap_server (m, 0);

  g_free (s->dispatcher);
  s->dispatcher = g_strdup ("d9");
}

static void
hand_over (CcSliceMap *m)
{
  CcMapServer *s = cc_slicemap_server (m, 0);

  g_free (s->from);
  s->from = g_strdup ("d1");
  take_over (m);
}

static void
test_reasons (void **state)
{
  static const struct
  {
    void (*change) (CcSliceMap *m);
    const char *reason; /* expected substring */
  } cases[] = {
    { no_change, "earlier" },
    { move_one, "balance of load: 1 slices move" },
    { join, "gate-3 joined" },
    { leave, "gate-1 is leaving or drained: 1 slices move" },
    { lose, "gate-2 is silent" },
    { take_over, "gate-1 was taken over" },
    { hand_over, "gate-1 is handed over" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcSliceMap *before = settled (), *m = settled ();

      cases[i].change (m);
      cc_slicemap_update_reason (m, before);
      if (strstr (m->reason, cases[i].reason) == NULL)
        fail_msg ("case %u: \"%s\"", i, m->reason);
      cc_slicemap_free (before);
      cc_slicemap_free (m);
    }
}

/* The second version of a move completes it and keeps the first one's reason.
 */
static void
test_completion_keeps_reason (void **state)
{
  CcSliceMap *before = settled (), *m = settled ();

  leave (before);
  leave (m);
  cc_slicemap_at (m, 0)->from = -1;
  cc_slicemap_update_reason (m, before);
  assert_string_equal (m->reason, "earlier");
  cc_slicemap_free (before);
  cc_slicemap_free (m);
}

/* A map is sent at once to the dispatchers that must act on it, and to no
 * others. */
static void
test_affected_dispatchers (void **state)
{
  static const struct
  {
    void (*change) (CcSliceMap *m);
    gboolean d1, d2, d9;
  } cases[] = {
    { no_change, FALSE, FALSE, FALSE }, { move_one, TRUE, TRUE, FALSE },
    { join, FALSE, FALSE, FALSE },      { leave, TRUE, TRUE, FALSE },
    { lose, FALSE, FALSE, FALSE },      { take_over, FALSE, FALSE, TRUE },
    { hand_over, TRUE, FALSE, TRUE },
  };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcSliceMap *before = settled (), *m = settled ();
      g_autoptr (GHashTable) ids = NULL;

      cases[i].change (m);
      ids = cc_slicemap_affected_dispatchers (m, before);
      if (g_hash_table_contains (ids, "d1") != cases[i].d1 ||
          g_hash_table_contains (ids, "d2") != cases[i].d2 ||
          g_hash_table_contains (ids, "d9") != cases[i].d9)
        fail_msg ("case %u", i);
      cc_slicemap_free (before);
      cc_slicemap_free (m);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_reasons),
    cmocka_unit_test (test_completion_keeps_reason),
    cmocka_unit_test (test_affected_dispatchers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
