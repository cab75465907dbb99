/* Guards against invalid settings that are accepted, a wrong precedence of
 * flag, environment and default, and a wrong comparison of tokens. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "secret.h"
#include "settings.h"

typedef struct
{
  const char *args[4]; /* after the program's name */
  const char *env;     /* of CAPERCRANK_COUNT; NULL: not set */
  CcStart start;
  const char *count; /* value of count; NULL: not checked */
} Case;

static const Case cases[] = {
  { { "--at=127.0.0.1:1" }, NULL, CC_START_RUN, "5" },
  { { "--at=127.0.0.1:1", "--count=7" }, NULL, CC_START_RUN, "7" },
  { { "--at=127.0.0.1:1" }, "8", CC_START_RUN, "8" },
  { { "--at=127.0.0.1:1", "--count=7" }, "8", CC_START_RUN, "7" },
  { { "--at=127.0.0.1:1", "--count=10" }, NULL, CC_START_FAIL, NULL },
  { { "--at=127.0.0.1:1", "--count=0" }, NULL, CC_START_FAIL, NULL },
  { { "--at=127.0.0.1:1", "--count=x" }, NULL, CC_START_FAIL, NULL },
  { { "--at=127.0.0.1:1" }, "99", CC_START_FAIL, NULL },
  { { NULL }, NULL, CC_START_FAIL, NULL },
  { { "--at=127.0.0.1" }, NULL, CC_START_FAIL, NULL },
  { { "--at=127.0.0.1:0" }, NULL, CC_START_FAIL, NULL },
  { { "--at=127.0.0.1:65536" }, NULL, CC_START_FAIL, NULL },
  { { "--at=host:80" }, NULL, CC_START_FAIL, NULL },
  { { "--at=127.0.0.1:1", "--peers=127.0.0.1:1,x" },
    NULL,
    CC_START_FAIL,
    NULL },
  { { "--at=127.0.0.1:1", "--peers=127.0.0.1:1,127.0.0.2:1" },
    NULL,
    CC_START_RUN,
    NULL },
  { { "--at=127.0.0.1:1", "--unknown=1" }, NULL, CC_START_FAIL, NULL },
  { { "--at=127.0.0.1:1", "--log-level=loud" }, NULL, CC_START_FAIL, NULL },
  { { "--at=127.0.0.1:1", "--check" }, NULL, CC_START_STOP, NULL },
  { { "--check" }, NULL, CC_START_FAIL, NULL },
  { { "--help" }, NULL, CC_START_STOP, NULL },
  { { "--version" }, NULL, CC_START_STOP, NULL },
};

static void
run_case (const Case *c, guint number)
{
  CcSetting table[] = {
    { CC_SETTING_ADDRESS, "at", NULL, "an address", 0, 0, NULL },
    { CC_SETTING_NUMBER, "count", "5", "a number", 1, 9, NULL },
    { CC_SETTING_ADDRESSES, "peers", "", "addresses", 0, 0, NULL },
    { CC_SETTING_STRING, "instance", "i", "name", 0, 0, NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  char *argv[6] = { (char *) "test" };
  int argc = 1;

  for (; argc < 5 && c->args[argc - 1] != NULL; argc++)
    argv[argc] = (char *) c->args[argc - 1];
  if (c->env != NULL)
    g_setenv ("CAPERCRANK_COUNT", c->env, TRUE);
  else
    g_unsetenv ("CAPERCRANK_COUNT");
  if (cc_settings_read (table, "test", "A test.", argc, argv) != c->start)
    fail_msg ("case %u", number);
  if (c->count != NULL)
    assert_string_equal (cc_setting (table, "count"), c->count);
}

static void
test_cases (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i], i);
}

static void
test_secrets (void **state)
{
  static const struct
  {
    const char *given, *wanted;
    gboolean equal;
  } pairs[] = {
    { "s3cret", "s3cret", TRUE }, { "s3creT", "s3cret", FALSE },
    { "s3cre", "s3cret", FALSE }, { "s3crets3cret", "s3cret", FALSE },
    { "", "s3cret", FALSE },      { "", "", FALSE },
    { "x", "", FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (pairs); i++)
    if (cc_secret_equal (pairs[i].given, pairs[i].wanted) != pairs[i].equal)
      fail_msg ("\"%s\" and \"%s\"", pairs[i].given, pairs[i].wanted);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_cases),
                                      cmocka_unit_test (test_secrets) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
