/* Guards against an audit (of the soak and of the demo) that misses violations
 * or reports valid behaviour: each case breaks one guarantee, or none. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "capercrank.h"
#include "clock.h"
#include "soak.h"

#define HOLD_US (10 * CC_SECOND)

/* A once-only request that runs twice violates a guarantee. */
static void
run_once_only_twice (void)
{
  soak_audit_sent ("twice", TRUE);
  soak_audit_started ("twice", "free", "s1");
  soak_audit_started ("twice", "free", "s2");
}

/* An idempotent request may run twice. */
static void
repeat_idempotent (void)
{
  soak_audit_sent ("repeated", FALSE);
  soak_audit_started ("repeated", "free", "s1");
  soak_audit_started ("repeated", "free", "s2");
  soak_audit_answered ("repeated", 200, "done repeated");
}

/* A request that ran must not be refused. */
static void
refuse_after_run (void)
{
  soak_audit_sent ("ran", TRUE);
  soak_audit_started ("ran", "free", "s1");
  soak_audit_answered ("ran", 503, "");
}

/* A refused request must not run later. */
static void
run_after_refusal (void)
{
  soak_audit_sent ("later", TRUE);
  soak_audit_answered ("later", 503, "");
  soak_audit_started ("later", "free", "s1");
}

/* A caller must not get the response to another request. */
static void
answer_another_request (void)
{
  soak_audit_sent ("mine", FALSE);
  soak_audit_started ("mine", "free", "s1");
  soak_audit_answered ("mine", 200, "done yours");
}

/* Key 9 is granted to a second server while the first holds it. */
static void
grant_held_key (void)
{
  gint64 until = cc_clock_now () + HOLD_US;

  soak_audit_granted (0, 9, "s1.1", 1, until);
  soak_audit_granted (9, 12, "s2.1", 2, until);
}

/* Keys may be granted again once they are released. */
static void
grant_released_key (void)
{
  gint64 until = cc_clock_now () + HOLD_US;

  soak_audit_granted (20, 29, "s1.1", 1, until);
  soak_audit_released (20, 29, "s1.1");
  soak_audit_granted (20, 29, "s2.1", 2, until);
}

typedef struct
{
  const char *name;
  void (*run) (void);
  SoakAuditCounts found; /* expected increase of the counts */
} Case;

static const Case cases[] = {
  { "once-only work runs twice", run_once_only_twice, { .ran_twice = 1 } },
  { "an idempotent request is repeated", repeat_idempotent, { 0 } },
  { "it ran and is refused", refuse_after_run, { .refused_ran = 1 } },
  { "it is refused and runs later", run_after_refusal, { .refused_ran = 1 } },
  { "the answer is another's", answer_another_request, { .wrong_answers = 1 } },
  { "a key is granted that is held", grant_held_key, { .owner_faults = 1 } },
  { "a key is granted that was released", grant_released_key, { 0 } },
};

/* Each case raises exactly the counts that it names. */
static void
the_audit_finds_what_is_broken (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const SoakAuditCounts *f = &cases[i].found;
      guint expected =
          f->ran_twice + f->refused_ran + f->wrong_answers + f->owner_faults;
      guint faults = soak_audit_violations ();
      SoakAuditCounts before, after;

      soak_audit_count (&before);
      cases[i].run ();
      soak_audit_count (&after);
      print_message ("%s\n", cases[i].name);
      assert_int_equal (after.ran_twice - before.ran_twice, f->ran_twice);
      assert_int_equal (after.refused_ran - before.refused_ran, f->refused_ran);
      assert_int_equal (after.wrong_answers - before.wrong_answers,
                        f->wrong_answers);
      assert_int_equal (after.owner_faults - before.owner_faults,
                        f->owner_faults);
      assert_int_equal (soak_audit_violations () - faults, expected);
    }
}

/* Keys and owners are counted until their grants end with the server. */
static void
owners_are_counted (void **state)
{
  gint64 until = cc_clock_now () + HOLD_US;
  guint before, owners;
  guint held = soak_audit_held (&before);

  (void) state;
  soak_audit_granted (100, 109, "s8.1", 1, until);
  soak_audit_granted (110, 114, "s9.1", 1, until);
  assert_int_equal (soak_audit_held (&owners), held + 15);
  assert_int_equal (owners, before + 2);
  soak_audit_server_exited ("s9.1");
  assert_int_equal (soak_audit_held (&owners), held + 10);
  assert_int_equal (owners, before + 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_audit_finds_what_is_broken),
    cmocka_unit_test (owners_are_counted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
