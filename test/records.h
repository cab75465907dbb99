/* Compares the outcomes that callers received with what servers recorded. */
#ifndef TEST_RECORDS_H
#define TEST_RECORDS_H

#include "capercrank.h"

/* All outcomes that were reported for one request and its repeats. */
typedef struct
{
  char *marker; /* identifies the request; also its Idempotency-Key */
  gboolean once_only;
  guint told[3];    /* number of responses by CcOutcome */
  CcOutcome last;   /* outcome of the last response */
  gboolean crossed; /* a response belonged to another request */
  GString *answers; /* text: entry, times and reason of each response */
} CallerOutcomes;

/* Number of requests, and of violations of each kind. */
typedef struct
{
  guint asked;
  /* reported as run but not recorded, or as not-run but recorded */
  guint lost;
  guint executed_twice; /* once-only requests with two effects */
  guint crossed;        /* requests with a response of another one */
  /* two servers ran work for one key at a time, or for an older epoch after a
   * newer one */
  guint owner_conflicts;
} Audit;

Audit audit_records (const char *folder, GPtrArray *told, GString *details);

#endif
