/* Guards against rows that change when they are encoded and decoded, and
 * against damaged rows that are accepted. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "row_codec.h"

typedef struct
{
  const char *name;
  const char *unit; /* the value is UNIT, COUNT times; NULL: deleted */
  guint count;
  gsize size_max; /* of the encoded row, bytes */
} Case;

static const Case cases[] = {
  { "deleted", NULL, 0, 100 },
  { "small", "{\"version\":1}", 1, 100 },
  { "largest that is not compressed", "x", 4095, 4200 },
  { "smallest that is compressed", "x", 4096, 300 },
  { "half a megabyte of routes",
    "\"r-17\":{\"host\":\"a.example\",\"prefix\":\"/p/\",\"kind\":\"safe\"},",
    8000, 50000 },
  { "not ASCII", "z\xc3\xbcrich", 2000, 1000 },
};

static char *
value_of (const Case *c)
{
  GString *s = g_string_new (NULL);

  for (guint i = 0; i < c->count; i++)
    g_string_append (s, c->unit);
  return g_string_free (s, FALSE);
}

static void
decoding_restores_encoded_rows (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      g_autofree char *value = value_of (c);
      g_autoptr (GVariant) encoded = NULL;
      g_autoptr (GVariant) again = NULL;
      g_autoptr (GVariant) rows = NULL;
      const char *key, *got;
      guint64 version;
      CcView v;

      cc_view_init (&v);
      cc_view_put (&v, "old", 3, "1");
      cc_view_put (&v, "key", 7, value);
      encoded = g_variant_ref_sink (cc_rows_encode (&v, 3));
      again = g_variant_ref_sink (cc_rows_encode (&v, 3));
      assert_true (g_variant_equal (encoded, again));
      if (g_variant_get_size (encoded) > c->size_max)
        fail_msg ("%s: %zu bytes", c->name, g_variant_get_size (encoded));
      rows = g_variant_ref_sink (cc_rows_decode (encoded));
      assert_int_equal (g_variant_n_children (rows), 1);
      g_variant_get_child (rows, 0, "(&st&s)", &key, &version, &got);
      if (strcmp (key, "key") != 0 || version != 7 || strcmp (got, value) != 0)
        fail_msg ("%s: decoded as %s", c->name, got);
      cc_view_clear (&v);
    }
}

/* Guards against a cached compressed value that is sent after the row has
 * changed. */
static void
a_changed_row_is_encoded_again (void **state)
{
  CcView v;
  char first[5000], second[5000];

  (void) state;
  memset (first, 'a', sizeof first);
  memset (second, 'b', sizeof second);
  first[4999] = second[4999] = '\0';
  cc_view_init (&v);
  cc_view_put (&v, "key", 1, first);
  g_variant_unref (g_variant_ref_sink (cc_rows_encode (&v, 0)));
  for (guint i = 0; i < 2; i++)
    {
      const char *want = i == 0 ? second : "short";
      g_autoptr (GVariant) encoded = NULL;
      g_autoptr (GVariant) rows = NULL;
      const char *key, *got;
      guint64 version;

      cc_view_put (&v, "key", 2 + i, want);
      encoded = g_variant_ref_sink (cc_rows_encode (&v, 0));
      rows = g_variant_ref_sink (cc_rows_decode (encoded));
      g_variant_get_child (rows, 0, "(&st&s)", &key, &version, &got);
      assert_string_equal (got, want);
    }
  cc_view_clear (&v);
}

/* Guards against a relay that compresses a row for each of its followers. */
static void
a_row_is_compressed_once (void **state)
{
  g_autofree char *value = g_strnfill (100000, 'x');
  const GBytes *first;
  CcView v;

  (void) state;
  cc_view_init (&v);
  cc_view_put (&v, "key", 1, value);
  g_variant_unref (g_variant_ref_sink (cc_rows_encode (&v, 0)));
  first = cc_view_find (&v, "key")->deflated;
  assert_non_null (first);
  g_variant_unref (g_variant_ref_sink (cc_rows_encode (&v, 0)));
  assert_ptr_equal (cc_view_find (&v, "key")->deflated, first);
  cc_view_clear (&v);
}

typedef struct
{
  const char *name;
  gboolean deflated;
  const char *bytes;
  gsize size;
} Damaged;

static const Damaged damaged[] = {
  { "not deflated", TRUE, "plain text", 10 },
  { "empty", TRUE, "", 0 },
  { "truncated", TRUE, "\x78\x01\x4b\x4c", 4 },
  { "contains a NUL", TRUE, "\x78\x9c\x4b\x64\x48\x02\x00\x01\x88\x00\xc4",
    11 },
  { "not UTF-8", FALSE, "\xff\xfe", 2 },
};

static void
damaged_rows_are_rejected (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (damaged); i++)
    {
      const Damaged *d = &damaged[i];
      GVariantBuilder b;
      g_autoptr (GVariant) encoded = NULL;

      g_variant_builder_init (&b, G_VARIANT_TYPE (CC_ROWS_TYPE));
      g_variant_builder_add (&b, "(stb@ay)", "key", (guint64) 1, d->deflated,
                             g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE,
                                                        d->bytes, d->size, 1));
      encoded = g_variant_ref_sink (g_variant_builder_end (&b));
      if (cc_rows_decode (encoded) != NULL)
        fail_msg ("%s: was accepted", d->name);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (decoding_restores_encoded_rows),
    cmocka_unit_test (a_changed_row_is_encoded_again),
    cmocka_unit_test (a_row_is_compressed_once),
    cmocka_unit_test (damaged_rows_are_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
