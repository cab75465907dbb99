/* Encodes rows for peers, with large values compressed.
 *
 * Load pattern: a configuration of thousands of routes, half a megabyte of
 * JSON, changes, and all followers of a relay fetch it at the same time over
 * links of ten megabits a second that also carry requests.  The compressed
 * value is cached in its row, so a relay compresses it once for all of its
 * followers. */
#include "row_codec.h"

#include <gio/gio.h>
#include <string.h>

#define DEFLATE_MIN 4096 /* bytes; smaller values fit into a few segments */
#define DEFLATE_LEVEL 1
#define VALUE_MAX ((gsize) 4 * 1024 * 1024) /* bytes of one row's value */
#define CHUNK 32768                         /* bytes */

/* Returns the output of CONVERTER for SIZE bytes at AT, or NULL if the input is
 * damaged or the output would be larger than VALUE_MAX. */
static GByteArray *
convert_buffer (GConverter *converter, const char *at, gsize size)
{
  g_autoptr (GByteArray) out = g_byte_array_new ();
  guint8 chunk[CHUNK];

  for (;;)
    {
      gsize read = 0, written = 0;
      GConverterResult r =
          g_converter_convert (converter, at, size, chunk, sizeof chunk,
                               G_CONVERTER_INPUT_AT_END, &read, &written, NULL);

      if (r == G_CONVERTER_ERROR || out->len + written > VALUE_MAX)
        return NULL;
      g_byte_array_append (out, chunk, (guint) written);
      at += read;
      size -= read;
      if (r == G_CONVERTER_FINISHED)
        return g_steal_pointer (&out);
    }
}

static GBytes *
deflate_value (const char *value, gsize size)
{
  g_autoptr (GZlibCompressor) z =
      g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB, DEFLATE_LEVEL);
  GByteArray *out = convert_buffer (G_CONVERTER (z), value, size);

  return out != NULL ? g_byte_array_free_to_bytes (out) : NULL;
}

/* Returns the value, terminated by NUL, of SIZE deflated bytes at AT; NULL if
 * they are damaged or contain a NUL. */
static char *
inflate_value (const char *at, gsize size)
{
  g_autoptr (GZlibDecompressor) z =
      g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  GByteArray *out = convert_buffer (G_CONVERTER (z), at, size);

  if (out == NULL)
    return NULL;
  if (memchr (out->data, '\0', out->len) != NULL)
    {
      g_byte_array_unref (out);
      return NULL;
    }
  g_byte_array_append (out, (const guint8 *) "", 1);
  return (char *) g_byte_array_free (out, FALSE);
}

/* Adds ROW to B, compressed if it is large; the compressed value is cached in
 * ROW. */
static void
encode_row (GVariantBuilder *b, CcRow *row)
{
  const char *value = row->value != NULL ? row->value : "";
  gsize size = strlen (value);
  GVariant *bytes;

  if (size >= DEFLATE_MIN && row->deflated == NULL)
    row->deflated = deflate_value (value, size);
  if (row->deflated != NULL)
    bytes = g_variant_new_from_bytes (G_VARIANT_TYPE_BYTESTRING, row->deflated,
                                      TRUE);
  else
    bytes = g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, value, size, 1);
  g_variant_builder_add (b, "(stb@ay)", row->key, row->version,
                         row->deflated != NULL, bytes);
}

/* Encodes the rows of V that were written after version SINCE, including
 * deleted ones, as CC_ROWS_TYPE, the oldest first.  The result is floating. */
GVariant *
cc_rows_encode (const CcView *v, guint64 since)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE (CC_ROWS_TYPE));
  for (CcRow *row = cc_view_first_since (v, since); row != NULL;
       row = row->newer)
    encode_row (&b, row);
  return g_variant_builder_end (&b);
}

static char *
decode_value (GVariant *bytes, gboolean deflated)
{
  gsize size = 0;
  const char *at = g_variant_get_fixed_array (bytes, &size, 1);

  if (deflated)
    return inflate_value (at, size);
  return size > 0 ? g_strndup (at, size) : g_strdup ("");
}

/* Decodes ENCODED, of CC_ROWS_TYPE, to a(sts) of key, version and value ("":
 * deleted).  Returns NULL if any row is damaged.  The result is floating. */
GVariant *
cc_rows_decode (GVariant *encoded)
{
  GVariantBuilder b;
  GVariantIter i;
  const char *key;
  guint64 version;
  gboolean deflated;
  GVariant *bytes;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  g_variant_iter_init (&i, encoded);
  while (
      g_variant_iter_loop (&i, "(&stb@ay)", &key, &version, &deflated, &bytes))
    {
      g_autofree char *value = decode_value (bytes, deflated);

      if (value == NULL || !g_utf8_validate (value, -1, NULL))
        {
          g_variant_unref (bytes);
          g_variant_builder_clear (&b);
          return NULL;
        }
      g_variant_builder_add (&b, "(sts)", key, version, value);
    }
  return g_variant_builder_end (&b);
}
