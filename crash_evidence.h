/* Decides which requests crash the upstreams that run them, from the crashes
 * that all gateways report. */
#ifndef CC_CRASH_EVIDENCE_H
#define CC_CRASH_EVIDENCE_H

#include "fingerprint.h"

typedef struct CcCrashEvidence CcCrashEvidence;

/* A crash of an upstream. */
typedef struct
{
  const char *pool;
  const char *target; /* id of the upstream */
  guint64 born;       /* start of that upstream that ended */
  gint64 at;          /* us of cc_clock_now */
} CcCrash;

/* Crashes that are kept of one request. */
#define CC_CRASHES_KEPT 8
/* Crashes after which a request can be found fatal. */
#define CC_CRASHES_FATAL 3

/* A request that was found to crash upstreams.  CRASHES are texts "ID.BORN" of
 * the upstreams; the array and the pool are valid until the next change. */
typedef struct
{
  CcFingerprint fingerprint;
  const char *pool;
  GPtrArray *crashes; /* of char */
} CcFatalRequest;

CcCrashEvidence *cc_crash_evidence_new (void);
void cc_crash_evidence_free (CcCrashEvidence *e);
gboolean cc_crash_evidence_add (CcCrashEvidence *e, const CcCrash *crash,
                                const CcFingerprints *inside, guint count);
gboolean cc_crash_evidence_add_good_runs (CcCrashEvidence *e,
                                          const CcFingerprint *f, guint runs);
void cc_crash_evidence_add_reported_runs (CcCrashEvidence *e,
                                          const CcFingerprint *f, guint runs,
                                          gint64 now);
void cc_crash_evidence_forget (CcCrashEvidence *e, const CcFingerprint *f);
void cc_crash_evidence_expire (CcCrashEvidence *e, gint64 now);
gboolean cc_crash_evidence_has_path (const CcCrashEvidence *e, guint32 path);
gboolean cc_crash_evidence_is_suspect (const CcCrashEvidence *e,
                                       const CcFingerprint *f, guint crashes);
guint cc_crash_evidence_size (const CcCrashEvidence *e);
GPtrArray *cc_crash_evidence_fatal (CcCrashEvidence *e);

#endif
