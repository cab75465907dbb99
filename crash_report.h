/* The message by which gateways report crashes to each other. */
#ifndef CC_CRASH_REPORT_H
#define CC_CRASH_REPORT_H

#include "crash_evidence.h"

/* A crash that a gateway saw, and the requests that it lost in it. */
typedef struct
{
  char *pool;
  char *target;
  guint64 born;
  gint64 at;      /* us of cc_clock_now */
  GArray *inside; /* of CcFingerprints */
} CcReportedCrash;

/* Runs of a suspect that ended well. */
typedef struct
{
  CcFingerprint fingerprint;
  guint runs;
} CcGoodRuns;

typedef struct
{
  GPtrArray *crashes; /* of CcReportedCrash */
  GArray *good_runs;  /* of CcGoodRuns */
} CcCrashReport;

CcReportedCrash *cc_reported_crash_new (const CcCrash *crash,
                                        const CcFingerprints *inside,
                                        guint count);
void cc_crash_report_init (CcCrashReport *r);
void cc_crash_report_clear (CcCrashReport *r);
GBytes *cc_crash_report_encode (const CcCrashReport *r, gint64 now);
gboolean cc_crash_report_decode (GBytes *bytes, gint64 now, CcCrashReport *r);

#endif
