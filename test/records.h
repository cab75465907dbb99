/* The audit: what callers were told against what servers recorded. */
#ifndef TEST_RECORDS_H
#define TEST_RECORDS_H

#include "capercrank.h"

typedef struct
{
  char *marker; /* one caller's intent, also its Idempotency-Key */
  gboolean once_only;
  guint told[3];    /* answers by CcOutcome */
  CcOutcome last;   /* the last of them */
  gboolean crossed; /* an answer was somebody else's */
  GString *answers; /* each with its entry, times and reason */
} CallerOutcomes;

typedef struct
{
  guint asked;
  guint lost;           /* told run but not there, or told not-run but there */
  guint executed_twice; /* once-only with two effects */
  guint crossed;
  guint
      owner_conflicts; /* overlapping owners, or an older epoch after a newer */
} Audit;

Audit audit_records (const char *folder, GPtrArray *told, GString *details);

#endif
