/* Identifies requests that are the same although their ids differ. */
#ifndef CC_FINGERPRINT_H
#define CC_FINGERPRINT_H

#include "capercrank.h"

#define CC_FINGERPRINT_BYTES 16

/* Begins with the hash of the path, by which most requests are told apart
 * without a full fingerprint. */
typedef struct
{
  guint8 bytes[CC_FINGERPRINT_BYTES];
} CcFingerprint;

/* What makes two requests the same. */
typedef struct
{
  const char *host;
  const char *method;
  const char *path;   /* with its query */
  const char *caller; /* address that it came from; "": of any caller */
  GBytes *body;
} CcFingerprintInput;

/* The two fingerprints of a request: with its caller, and for its content
 * alone, which callers at several addresses share. */
typedef struct
{
  CcFingerprint by_caller;
  CcFingerprint by_content;
} CcFingerprints;

/* Size of the text of a fingerprint, the terminating 0 included. */
#define CC_FINGERPRINT_TEXT (2 * CC_FINGERPRINT_BYTES + 1)

void cc_fingerprint_make (const CcFingerprintInput *input, CcFingerprint *f);
void cc_fingerprints_make (const CcFingerprintInput *input, CcFingerprints *f);
guint32 cc_fingerprint_hash_path (const char *path);
guint32 cc_fingerprint_path (const CcFingerprint *f);
void cc_fingerprint_write (const CcFingerprint *f,
                           char text[CC_FINGERPRINT_TEXT]);
gboolean cc_fingerprint_read (const char *text, CcFingerprint *f);
guint cc_fingerprint_hash (gconstpointer f);
gboolean cc_fingerprint_equal (gconstpointer a, gconstpointer b);

#endif
