/* A fingerprint is the hash of the path and a part of a cryptographic hash: a
 * request that shares the one of another caller's request would be refused with
 * it, so that callers must not be able to construct one.  Fields are hashed
 * with their lengths, and a body in the same way whether it was received with a
 * length or in chunks. */
#include "fingerprint.h"

#include <string.h>

#include <xxhash.h>

static void
add_field (GChecksum *sum, const void *bytes, gsize size)
{
  guint64 length = GUINT64_TO_LE ((guint64) size);

  g_checksum_update (sum, (const guchar *) &length, sizeof length);
  if (size > 0)
    g_checksum_update (sum, bytes, (gssize) size);
}

static void
add_text (GChecksum *sum, const char *text)
{
  add_field (sum, text, strlen (text));
}

/* Returns the hash of PATH with which the fingerprints of its requests begin.
 */
guint32
cc_fingerprint_hash_path (const char *path)
{
  return XXH32 (path, strlen (path), 0);
}

/* Returns the hash of the path of F's request. */
guint32
cc_fingerprint_path (const CcFingerprint *f)
{
  guint32 path;

  memcpy (&path, f->bytes, sizeof path);
  return GUINT32_FROM_LE (path);
}

/* Sets F to the fingerprint of INPUT. */
void
cc_fingerprint_make (const CcFingerprintInput *input, CcFingerprint *f)
{
  guint32 path = GUINT32_TO_LE (cc_fingerprint_hash_path (input->path));
  g_autoptr (GChecksum) sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_autofree char *host = g_ascii_strdown (input->host, -1);
  guint8 digest[32];
  gsize size = sizeof digest;
  gsize body_size;
  const void *body = g_bytes_get_data (input->body, &body_size);

  add_text (sum, host);
  add_text (sum, input->method);
  add_text (sum, input->path);
  add_text (sum, input->caller);
  add_field (sum, body, body_size);
  g_checksum_get_digest (sum, digest, &size);
  memcpy (f->bytes, &path, sizeof path);
  memcpy (f->bytes + sizeof path, digest, sizeof f->bytes - sizeof path);
}

/* Sets F to both fingerprints of INPUT. */
void
cc_fingerprints_make (const CcFingerprintInput *input, CcFingerprints *f)
{
  CcFingerprintInput any = *input;

  any.caller = "";
  cc_fingerprint_make (input, &f->by_caller);
  cc_fingerprint_make (&any, &f->by_content);
}

/* Writes F as hexadecimal digits to TEXT. */
void
cc_fingerprint_write (const CcFingerprint *f, char text[CC_FINGERPRINT_TEXT])
{
  for (guint i = 0; i < CC_FINGERPRINT_BYTES; i++)
    g_snprintf (text + 2 * i, 3, "%02x", f->bytes[i]);
}

/* Reads the hexadecimal digits TEXT into F.  Returns FALSE if they are not a
 * fingerprint. */
gboolean
cc_fingerprint_read (const char *text, CcFingerprint *f)
{
  if (strlen (text) != CC_FINGERPRINT_TEXT - 1)
    return FALSE;
  for (guint i = 0; i < CC_FINGERPRINT_BYTES; i++)
    {
      gint high = g_ascii_xdigit_value (text[2 * i]);
      gint low = g_ascii_xdigit_value (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return FALSE;
      f->bytes[i] = (guint8) (high << 4 | low);
    }
  return TRUE;
}

/* Hash function of hash tables with CcFingerprint as keys. */
guint
cc_fingerprint_hash (gconstpointer f)
{
  guint hash;

  /* The first bytes are the same for all requests of one path. */
  memcpy (&hash, ((const CcFingerprint *) f)->bytes + sizeof (guint32),
          sizeof hash);
  return hash;
}

/* Equality of two CcFingerprint, for hash tables. */
gboolean
cc_fingerprint_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (CcFingerprint)) == 0;
}
