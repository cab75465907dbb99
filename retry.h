/* Whether an attempt that failed is made again. */
#ifndef CC_RETRY_H
#define CC_RETRY_H

#include "capercrank.h"

typedef enum
{
  CC_FAIL_NOT_RUN, /* proof: nothing left us, or the server refused it */
  CC_FAIL_UNKNOWN  /* it may have run */
} CcFailure;

/* Budgets by class. */
typedef struct
{
  GHashTable *budgets; /* class id to guint, in first attempts */
} CcRetries;

void cc_retries_init (CcRetries *r);
void cc_retries_clear (CcRetries *r);
void cc_retries_earn (CcRetries *r, guint class_id);
gboolean cc_retries_allowed (CcRetries *r, guint class_id, gboolean once_only,
                             CcFailure failure, guint tries);
gboolean cc_retries_take (CcRetries *r, guint class_id, gboolean once_only,
                          CcFailure failure, guint tries);

#endif
