/* Collects the bodies of callers' requests within the memory budget. */
#ifndef CC_REQUEST_BODY_H
#define CC_REQUEST_BODY_H

#include <libsoup/soup.h>

#include "memory_budget.h"

/* M is refused since the memory for it is used up; its answer must be written
 * with cc_body_refuse.  Without this function, the body is read and discarded,
 * and the handler of M must answer it. */
typedef void (*CcBodyNoMemory) (SoupServerMessage *m, gpointer data);

typedef struct
{
  CcMemoryBudget *budget;
  guint priority;
  gsize max;    /* size of the body, bytes */
  gsize answer; /* that it is likely to get, bytes */
  CcBodyNoMemory no_memory;
  gpointer data;
} CcRequestBodySetup;

void cc_request_body_collect (SoupServerMessage *m,
                              const CcRequestBodySetup *setup);
gboolean cc_request_body_is_collected (SoupServerMessage *m);
gboolean cc_request_body_has_no_memory (SoupServerMessage *m);
GBytes *cc_request_body_take (SoupServerMessage *m);
void cc_request_body_answered (SoupServerMessage *m);

#endif
