/* Guards against a document with an error that is accepted, or reported at the
 * wrong place; against a forbidden change between two documents; and against
 * differences that are shown wrong or not at all. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "document.h"
#include "document_diff.h"

#define POOL "{\"name\":\"gate\",\"checks_grants\":true}"
#define TARGET "\"target\":{\"within_ms\":150}"
#define CLASS                                                                  \
  "{\"name\":\"pay once\",\"pool\":\"gate\",\"once_only\":true,"               \
  "\"timeout_ms\":3000," TARGET "}"
#define DOCUMENT(pools, classes)                                               \
  "{\"pools\":[" pools "],\"classes\":[" classes "]}"

typedef struct
{
  const char *text;
  const char *place; /* of one finding; NULL: the document is valid */
} Case;

static const Case cases[] = {
  { DOCUMENT (POOL, CLASS), NULL },
  { "{", "document" },
  { "[]", "document" },
  { "", "document" },
  { "{}", "pools" },
  { DOCUMENT ("", CLASS), "pools" },
  { DOCUMENT (POOL, ""), "classes" },
  { "{\"pools\":3,\"classes\":[" CLASS "]}", "pools" },
  { DOCUMENT ("7", CLASS), "pools[0]" },
  { DOCUMENT (POOL "," POOL, CLASS), "pools[1]" },
  { DOCUMENT (POOL, CLASS "," CLASS), "classes[1]" },
  { DOCUMENT ("{\"name\":\"gate\"}", CLASS), "pools[0].checks_grants" },
  { DOCUMENT ("{\"name\":\"\",\"checks_grants\":true}", CLASS),
    "pools[0].name" },
  { DOCUMENT ("{\"name\":\"a/b\",\"checks_grants\":true}", CLASS),
    "pools[0].name" },
  { DOCUMENT ("{\"name\":\"gate\",\"checks_grants\":1}", CLASS),
    "pools[0].checks_grants" },
  { DOCUMENT ("{\"name\":\"gate\",\"checks_grants\":true,\"slices\":0}", CLASS),
    "pools[0].slices" },
  { DOCUMENT ("{\"name\":\"gate\",\"checks_grants\":true,\"slices\":65537}",
              CLASS),
    "pools[0].slices" },
  { DOCUMENT ("{\"name\":\"gate\",\"checks_grants\":true,\"prefer\":\"x\"}",
              CLASS),
    "pools[0].prefer" },
  { DOCUMENT ("{\"name\":\"gate\",\"checks_grants\":true,\"weight\":2}", CLASS),
    "pools[0].weight" },
  { DOCUMENT (POOL, "{\"name\":\"c\",\"pool\":\"other\",\"once_only\":true,"
                    "\"timeout_ms\":3000," TARGET "}"),
    "classes[0].pool" },
  { DOCUMENT (POOL, "{\"name\":\"c\",\"pool\":\"gate\",\"once_only\":true,"
                    "\"tiemout_ms\":3000," TARGET "}"),
    "classes[0].tiemout_ms" },
  { DOCUMENT (POOL, "{\"name\":\"c\",\"pool\":\"gate\",\"once_only\":true,"
                    "\"timeout_ms\":60001," TARGET "}"),
    "classes[0].timeout_ms" },
  { DOCUMENT (POOL, "{\"name\":\"c\",\"pool\":\"gate\",\"once_only\":true,"
                    "\"timeout_ms\":100," TARGET "}"),
    "classes[0]" },
  { DOCUMENT (POOL, "{\"name\":\"c\",\"pool\":\"gate\",\"once_only\":true,"
                    "\"timeout_ms\":3000}"),
    "classes[0].target" },
  { DOCUMENT (POOL, "{\"name\":\"c\",\"pool\":\"gate\",\"once_only\":true,"
                    "\"timeout_ms\":3000,\"target\":{\"within_ms\":150,"
                    "\"share\":1.5}}"),
    "classes[0].target.share" },
};

static gboolean
names_place (const CcFindings *f, const char *place)
{
  for (guint i = 0; i < f->list->len; i++)
    if (strcmp (((CcFinding *) f->list->pdata[i])->place, place) == 0)
      return TRUE;
  return FALSE;
}

static void
test_cases (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CcFindings f;
      CcDocument *d;

      cc_findings_init (&f);
      d = cc_document_parse (cases[i].text, -1, &f);
      if ((d != NULL) != (cases[i].place == NULL))
        fail_msg ("case %u: %s", i, cases[i].text);
      if (cases[i].place != NULL && !names_place (&f, cases[i].place))
        fail_msg ("case %u does not name %s", i, cases[i].place);
      cc_document_free (d);
      cc_findings_clear (&f);
    }
}

/* All errors of a document are reported, not only the first. */
static void
test_all_findings (void **state)
{
  CcFindings f;
  g_autofree char *text = NULL;

  cc_findings_init (&f);
  assert_null (cc_document_parse (
      DOCUMENT ("{\"name\":\"\",\"checks_grants\":3}", CLASS), -1, &f));
  text = cc_findings_text (&f);
  assert_non_null (strstr (text, "pools[0].name: "));
  assert_non_null (strstr (text, "pools[0].checks_grants: "));
  assert_int_equal (cc_findings_count (&f), 3); /* and the class's pool */
  cc_findings_clear (&f);
}

static void
test_slices_are_for_life (void **state)
{
  static const struct
  {
    const char *before, *after;
    guint findings;
  } pairs[] = {
    { DOCUMENT (POOL, CLASS), DOCUMENT (POOL, CLASS), 0 },
    { DOCUMENT (POOL, CLASS),
      DOCUMENT ("{\"name\":\"gate\",\"checks_grants\":true,\"slices\":64}",
                CLASS),
      1 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (pairs); i++)
    {
      CcFindings f;
      CcDocument *a, *b;

      cc_findings_init (&f);
      a = cc_document_parse (pairs[i].before, -1, &f);
      b = cc_document_parse (pairs[i].after, -1, &f);
      cc_document_check_update (a, b, &f);
      assert_int_equal (cc_findings_count (&f), pairs[i].findings);
      cc_document_free (a);
      cc_document_free (b);
      cc_findings_clear (&f);
    }
}

static guint
count_findings (const char *before, const char *after)
{
  CcFindings f;
  CcDocument *a, *b;
  guint count;

  cc_findings_init (&f);
  a = cc_document_parse (before, -1, &f);
  b = cc_document_parse (after, -1, &f);
  assert_true (a != NULL && b != NULL);
  cc_document_check_update (a, b, &f);
  count = cc_findings_count (&f);
  cc_document_free (a);
  cc_document_free (b);
  cc_findings_clear (&f);
  return count;
}

#define POOL_KEEPS                                                             \
  "{\"name\":\"gate\",\"checks_grants\":true,\"cut_off\":\"keep\"}"
#define OTHER "{\"name\":\"other\",\"checks_grants\":true}"
#define OTHER_CLASS                                                            \
  "{\"name\":\"look\",\"pool\":\"other\",\"once_only\":true,"                  \
  "\"timeout_ms\":3000," TARGET "}"

static void
keep_is_not_taken_back (void **state)
{
  (void) state;
  assert_int_equal (
      count_findings (DOCUMENT (POOL_KEEPS, CLASS), DOCUMENT (POOL, CLASS)), 1);
  assert_int_equal (
      count_findings (DOCUMENT (POOL, CLASS), DOCUMENT (POOL_KEEPS, CLASS)), 0);
}

/* Guards against "keep" that is reverted in two steps, by removal and new
 * creation of the pool: a zone that is cut off receives neither document, and
 * continues to serve while its servers are taken over. */
static void
keep_is_not_taken_back_by_removal (void **state)
{
  guint findings = count_findings (DOCUMENT (POOL_KEEPS, CLASS),
                                   DOCUMENT (OTHER, OTHER_CLASS));

  (void) state;
  findings +=
      count_findings (DOCUMENT (OTHER, OTHER_CLASS), DOCUMENT (POOL, CLASS));
  assert_true (findings > 0);
}

static void
test_diff (void **state)
{
  static const struct
  {
    const char *before, *after, *place, *old, *new;
  } diffs[] = {
    { "{\"a\":1}", "{\"a\":1}", NULL, NULL, NULL },
    { "{\"a\":1}", "{\"a\":2}", "a", "1", "2" },
    { "{\"a\":0.99}", "{\"a\":0.990}", NULL, NULL, NULL },
    { "{\"a\":0.99}", "{\"a\":0.95}", "a", "0.99", "0.95" },
    { "{}", "{\"a\":\"x\"}", "a", NULL, "\"x\"" },
    { "{\"a\":true}", "{}", "a", "true", NULL },
    { "{\"p\":[{\"name\":\"n\",\"v\":1}]}",
      "{\"p\":[{\"name\":\"n\",\"v\":2}]}", "p[n].v", "1", "2" },
    { "{\"p\":[{\"name\":\"n\"}]}",
      "{\"p\":[{\"name\":\"m\"},{\"name\":\"n\"}]}", "p[m].name", NULL,
      "\"m\"" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (diffs); i++)
    {
      g_autoptr (GPtrArray) got =
          cc_document_diff (diffs[i].before, diffs[i].after);
      const CcChange *c;

      assert_int_equal (got->len, diffs[i].place != NULL ? 1 : 0);
      if (got->len == 0)
        continue;
      c = got->pdata[0];
      assert_string_equal (c->place, diffs[i].place);
      assert_int_equal (g_strcmp0 (c->before, diffs[i].old), 0);
      assert_int_equal (g_strcmp0 (c->after, diffs[i].new), 0);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_all_findings),
    cmocka_unit_test (test_slices_are_for_life),
    cmocka_unit_test (keep_is_not_taken_back),
    cmocka_unit_test (keep_is_not_taken_back_by_removal),
    cmocka_unit_test (test_diff)
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
