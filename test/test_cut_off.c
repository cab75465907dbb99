/* Guards against two owners of a key: a dispatcher in a zone that is cut off
 * has lost its lease but goes on serving when its servers are given away. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cut_off.h"

typedef struct
{
  gboolean serves_without_lease;
  const char *listed;     /* instance in the platform's list, or NULL */
  const char *registered; /* a registered dispatcher, or NULL */
  gboolean stopped;       /* expected for "i1.a0.1" */
} Case;

/* The zone of i1 is cut off and its lease row is gone.  In a pool with "keep",
 * i1 goes on serving, and whoever took its servers would be a second owner. */
static const Case cases[] = {
  { FALSE, "i1", NULL, TRUE },       /* released with its lease */
  { TRUE, "i1", NULL, FALSE },       /* may only be cut off */
  { TRUE, "i1", "i2.b0.1", FALSE },  /* another instance is no evidence */
  { TRUE, "i11", "i11.a0.1", TRUE }, /* another one is listed, i1 is gone */
  { TRUE, "i1", "i11.a0.1", FALSE }, /* a longer name is another instance */
  { TRUE, "i2", NULL, TRUE },        /* gone from the list */
  { TRUE, NULL, NULL, FALSE },       /* an empty list is not trusted */
  { TRUE, "i1", "i1.a0.2", TRUE },   /* the same process, a new id */
  { TRUE, "i1", "i1.c0.1", TRUE },   /* another process at its address */
};

static void
test_stopped (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      CcRoster *r = cc_roster_new ();

      r->serves_without_lease = c->serves_without_lease;
      if (c->listed != NULL)
        cc_roster_add_instance (r, c->listed);
      if (c->registered != NULL)
        cc_roster_add_dispatcher (r, c->registered, "z", FALSE);
      if (cc_cut_off_has_stopped (r, "i1.a0.1") != c->stopped)
        fail_msg ("case %u", i);
      cc_roster_free (r);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_stopped) };

  return cmocka_run_group_tests_name ("cut_off", tests, NULL, NULL);
}
