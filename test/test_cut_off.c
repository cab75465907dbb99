/* When a dispatcher without a lease has stopped, and what the assigner does. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cut_off.h"

typedef struct
{
  gboolean keeps;
  const char *listed;     /* instance in the platform's list, or NULL */
  const char *registered; /* a dispatcher that stands, or NULL */
  gboolean stopped;       /* wanted of "i1.a0.1" */
} Case;

/* The zone of i1 is cut off; its lease row is gone.  In a pool that keeps, i1
 * serves on, and whoever took its servers would be a second owner. */
static const Case cases[] = {
  { FALSE, "i1", NULL, TRUE },       /* released with its lease */
  { TRUE, "i1", NULL, FALSE },       /* maybe only cut off */
  { TRUE, "i1", "i2.b0.1", FALSE },  /* another instance says nothing */
  { TRUE, "i11", "i11.a0.1", TRUE }, /* listed is another, i1 is gone */
  { TRUE, "i1", "i11.a0.1", FALSE }, /* a longer name is another instance */
  { TRUE, "i2", NULL, TRUE },        /* gone from the list */
  { TRUE, NULL, NULL, FALSE },       /* an empty list is not believed */
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

      r->keeps = c->keeps;
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
