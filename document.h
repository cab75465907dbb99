/* The operators' configuration document: pools of servers, classes of requests
 * and their targets. */
#ifndef CC_DOCUMENT_H
#define CC_DOCUMENT_H

#include "capercrank.h"
#include "findings.h"

typedef enum
{
  CC_PREFER_AVAILABILITY, /* move keys early, at the cost of more churn */
  CC_PREFER_STABILITY     /* move keys rarely, at the cost of availability */
} CcPreference;

typedef enum
{
  /* A zone that is cut off stops when its lease expires; others take over. */
  CC_CUT_OFF_RELEASE,
  /* It continues to serve; no takeover until the platform lists it as gone. */
  CC_CUT_OFF_KEEP
} CcCutOff;

typedef struct
{
  char *name;
  CcPreference prefer;
  CcCutOff cut_off;
  gboolean checks_grants; /* its servers reject requests without a grant */
  guint slices;           /* number of slices; can't be changed later */
} CcPool;

typedef struct
{
  char *name;
  char *pool;
  gboolean once_only; /* not idempotent: at most one attempt */
  gint64 within;      /* target: response time, us */
  double share;       /* target: share of requests within it, 0 to 1 */
  double reliability; /* target: share of requests that are run, 0 to 1 */
  gint64 timeout;     /* maximum and default deadline, us */
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
