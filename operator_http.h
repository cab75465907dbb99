/* HTTP responses to operators, and the authorization of their requests. */
#ifndef CC_OPERATOR_HTTP_H
#define CC_OPERATOR_HTTP_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "findings.h"

/* Maximum size of a document, bytes.  256 classes take 27 kB (make capacity);
 * the rest is for descriptions. */
#define CC_DOCUMENT_MAX (256 * 1024)

void cc_operator_answer_json (SoupServerMessage *m, guint status,
                              JsonBuilder *b);
void cc_operator_answer_error (SoupServerMessage *m, guint status,
                               const char *text, guint64 version);
void cc_operator_answer_findings (SoupServerMessage *m, const CcFindings *f);
gboolean cc_operator_authorize (SoupServerMessage *m, const char *token);
void cc_operator_limit_body (SoupServer *admin, const char *path);

#endif
