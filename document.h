/* The operators' document: pools of servers, classes of work, targets. */
#ifndef CC_DOCUMENT_H
#define CC_DOCUMENT_H

#include "capercrank.h"
#include "findings.h"

typedef enum
{
  CC_PREFER_AVAILABILITY, /* move keys early: unavailable time weighs most */
  CC_PREFER_STABILITY     /* move keys rarely: churn weighs most */
} CcPreference;

typedef enum
{
  CC_CUT_OFF_RELEASE, /* a zone cut off stops after its lease; others take over
                       */
  CC_CUT_OFF_KEEP /* it serves on; nobody takes over until it is listed gone */
} CcCutOff;

typedef struct
{
  char *name;
  CcPreference prefer;
  CcCutOff cut_off;
  gboolean checks_grants; /* its servers refuse an order that is not granted */
  guint slices;           /* parts the keys are divided into; fixed for life */
} CcPool;

typedef struct
{
  char *name;
  char *pool;
  gboolean once_only; /* not idempotent: at most one attempt */
  gint64 within;      /* target: answered within, us */
  double share;       /* ... by this share of requests, 0 to 1 */
  double reliability; /* target: share that is run, 0 to 1 */
  gint64 timeout;     /* longest deadline and the default one, us */
} CcClass;

typedef struct
{
  GPtrArray *pools;   /* of CcPool */
  GPtrArray *classes; /* of CcClass */
} CcDocument;

CcDocument *cc_document_parse (const char *json, gssize length, CcFindings *f);
void cc_document_check_update (const CcDocument *before,
                               const CcDocument *after, CcFindings *f);
void cc_document_free (CcDocument *d);
const CcPool *cc_document_pool (const CcDocument *d, const char *name);
const CcClass *cc_document_class (const CcDocument *d, const char *name);
gint64 cc_document_longest_timeout (const CcDocument *d, const char *pool);

#endif
