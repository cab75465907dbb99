/* Retry budgets of a dispatcher: whether a failed attempt is made again. */
#ifndef CC_RETRY_H
#define CC_RETRY_H

#include "capercrank.h"

typedef enum
{
  CC_FAIL_NOT_RUN, /* proven: nothing was sent, or the server refused it */
  CC_FAIL_UNKNOWN  /* it may have run */
} CcFailure;

/* Retry budgets by class. */
typedef struct
{
  GHashTable *budgets; /* class id to guint, counted in first attempts */
} CcRetries;

void cc_retries_init (CcRetries *r);
void cc_retries_clear (CcRetries *r);
void cc_retries_earn (CcRetries *r, guint class_id);
gboolean cc_retries_allowed (CcRetries *r, guint class_id, gboolean once_only,
                             CcFailure failure, guint tries);
gboolean cc_retries_take (CcRetries *r, guint class_id, gboolean once_only,
                          CcFailure failure, guint tries);

#endif
