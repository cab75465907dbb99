/* Validates the headers of callers' requests. */
#ifndef CC_REQUEST_CHECK_H
#define CC_REQUEST_CHECK_H

#include <libsoup/soup.h>

#include "document.h"
#include "findings.h"

typedef struct
{
  const CcClass *class; /* belongs to the document */
  gint64 left;          /* time to the deadline, us; 0 or less: it has passed */
  GVariant *headers;    /* packed, see headers.h */
} CcCheckedRequest;

void cc_request_check (SoupMessageHeaders *h, const CcDocument *d,
                       CcFindings *f, CcCheckedRequest *r);
void cc_checked_clear (CcCheckedRequest *r);

#endif
