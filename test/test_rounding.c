/* Guards against doubles that are rounded otherwise on machines with fused
 * multiplication: gateways of one fleet compute the same plans. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

/* Volatile, since the compiler would compute the sums itself. */
typedef struct
{
  volatile double factor, other, added;
  double sum;
} Case;

static Case cases[] = {
  { 0.1, 10.0, -1.0, 0.0 },
  { 1.0 + 0x1p-52, 1.0 - 0x1p-52, -1.0, 0.0 },
  { 3.0, 5.0, 1.0, 16.0 },
};

/* Failure: a seed of a model ends differently on the other kind of machine. */
static void
products_are_rounded_before_they_are_added (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      double factor = c->factor, other = c->other, added = c->added;
      double sum = factor * other + added;

      if (sum != c->sum)
        fail_msg ("case %u: %g", i, sum);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (products_are_rounded_before_they_are_added),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
