/* Guards against keys that have no owner while the table responds late: the
 * active assigner's lease lapses, and no process completes the moves in
 * progress. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "clock.h"
#include "leader.h"

#define ROW "lease/assign"
#define OWN_ROW "{\"id\":\"me\",\"sequence\":1}"
#define OTHER_ROW "{\"id\":\"you\",\"sequence\":1}"
#define START (100 * CC_SECOND)

typedef struct
{
  const char *name;
  const char *row;    /* in the view; NULL: none */
  gint64 expired_for; /* us since the lease expired; negative: it is valid */
  gboolean resigned;
  gboolean active;
  gboolean may_plan;
} Case;

static const Case cases[] = {
  { "the lease is valid", OWN_ROW, -CC_SECOND, FALSE, TRUE, TRUE },
  { "its renewals are late", OWN_ROW, CC_SECOND, FALSE, FALSE, TRUE },
  { "another process has taken over", OTHER_ROW, CC_SECOND, FALSE, FALSE,
    FALSE },
  { "it has no row", NULL, CC_SECOND, FALSE, FALSE, FALSE },
  { "it has resigned, the view still shows its row", OWN_ROW, -CC_SECOND, TRUE,
    FALSE, FALSE },
};

/* Moves must go on while a slow table lets the lease of the active assigner
 * lapse. */
static void
moves_go_on_until_another_is_active (void **state)
{
  (void) state;
  cc_clock_pause (START, START);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      CcPlatform *p = cc_platform_new ("127.0.0.1:1", "127.0.0.1:1", CC_SECOND);
      CcLeader l;
      CcView v;

      cc_view_init (&v);
      cc_leader_init (&l, p, "me", "127.0.0.1:2", 1);
      if (c->row != NULL)
        cc_view_put (&v, ROW, 7, c->row);
      l.lease.valid_until = START - c->expired_for;
      if (c->resigned)
        cc_leader_resign (&l);
      l.calling = TRUE; /* a renewal is in flight, so none is sent */
      cc_leader_tick (&l, &v, START);
      if (cc_leader_is_active (&l, START) != c->active ||
          cc_leader_may_plan (&l, START) != c->may_plan)
        fail_msg ("%s", c->name);
      cc_view_clear (&v);
    }
  cc_clock_resume ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (moves_go_on_until_another_is_active),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
