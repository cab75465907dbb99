/* Validation errors of an input, collected with their place and reported
 * together. */
#ifndef CC_FINDINGS_H
#define CC_FINDINGS_H

#include <glib.h>

typedef struct
{
  char *place; /* where: "--timeout" or "classes[2].target.share" */
  char *text;  /* error message */
} CcFinding;

typedef struct
{
  GPtrArray *list; /* of CcFinding */
} CcFindings;

void cc_findings_init (CcFindings *f);
void cc_findings_clear (CcFindings *f);
void cc_findings_add (CcFindings *f, const char *place, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
guint cc_findings_count (const CcFindings *f);
char *cc_findings_text (const CcFindings *f);

#endif
