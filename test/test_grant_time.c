/* What a slowed process grants after the end of its lease: nothing. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "clock.h"
#include "granted_pool.h"

#define POOL "p"
#define START (1000 * CC_SECOND)
#define RANGES 3

static struct
{
  guint sent;
  gint64 each_takes; /* us of this process */
} calls;

/* In place of http_link.c. */
CcHttpCall *
cc_http_send (CcHttp *h, const CcHttpRequest *o, CcHttpDone done, gpointer data)
{
  (void) h, (void) o, (void) data;
  calls.sent++;
  cc_clock_advance (calls.each_takes);
  return (CcHttpCall *) done;
}

const char *
cc_http_header (const CcHttpResult *r, const char *name)
{
  (void) r, (void) name;
  return NULL;
}

static gboolean
decode (const char *key, const char *value, CcListing *l)
{
  (void) value;
  *l = (CcListing){ .id = g_strdup (key),
                    .pool = g_strdup (POOL),
                    .address = g_strdup ("127.0.0.1:1"),
                    .zone = g_strdup ("z"),
                    .born = 1,
                    .slots = 1 };
  return TRUE;
}

static void
on_target (const CcTarget *t, gpointer data)
{
  (void) t, (void) data;
}

static void
list_upstream (CcTargets *t)
{
  CcView view;
  CcVersionClock clock = { 0 };
  CcListed listed = { .view = &view, .clock = &clock };

  cc_targets_init (t);
  cc_view_init (&view);
  cc_view_put (&view, "u", 1, "x");
  cc_targets_update (t, &listed, decode, cc_clock_now (), on_target, NULL);
  cc_view_clear (&view);
}

static void
add_range (CcGrantedPool *p, guint from)
{
  CcKeyRange *r = cc_key_range_new (from, from + 9, "u", 1, 1 + from);
  CcRangeGrant *x = cc_range_grant_new (p->shared, POOL, &p->ranges, r);

  x->held = x->written = TRUE;
  g_ptr_array_add (p->ranges.list, r);
  g_ptr_array_add (p->grants, x);
}

/* Guards against grants that leave after the lease's end, since each takes a
 * slowed process long and all go by one look at the clock: whoever has taken
 * over counts them as ended when they are not. */
static void
each_grant_looks_at_the_clock (void **state)
{
  CcTargets targets;
  CcGrantShared shared = { .targets = &targets };
  CcGrantedPool *p;

  (void) state;
  cc_clock_pause (START, START);
  list_upstream (&targets);
  cc_granter_lease_confirmed (&shared.lease, 1, START);
  p = cc_granted_pool_new (POOL, &shared);
  for (guint i = 0; i < RANGES; i++)
    add_range (p, 10 * i);
  cc_clock_advance (CC_GRANTER_BLIND - CC_MS);
  calls.each_takes = 2 * CC_MS;
  cc_granted_pool_step (p, cc_clock_now ());
  assert_int_equal (calls.sent, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (each_grant_looks_at_the_clock),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
