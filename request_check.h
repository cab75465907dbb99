/* What a caller's headers ask for, once they are found to be in order. */
#ifndef CC_REQUEST_CHECK_H
#define CC_REQUEST_CHECK_H

#include <libsoup/soup.h>

#include "document.h"
#include "findings.h"

typedef struct
{
  const CcClass *class; /* of the document it was checked against */
  gint64 left;          /* us to the deadline; 0 or less: it is past */
  GVariant *headers;    /* packed, see headers.h */
} CcCheckedRequest;

void cc_request_check (SoupMessageHeaders *h, const CcDocument *d,
                       CcFindings *f, CcCheckedRequest *r);
void cc_checked_clear (CcCheckedRequest *r);

#endif
