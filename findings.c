/* A list of findings.  Validation continues after the first error, so that an
 * operator can correct a document or a command line in one pass. */
#include "findings.h"

static void
finding_free (gpointer data)
{
  CcFinding *finding = data;

  g_free (finding->place);
  g_free (finding->text);
  g_free (finding);
}

/* Makes F an empty list. */
void
cc_findings_init (CcFindings *f)
{
  f->list = g_ptr_array_new_with_free_func (finding_free);
}

/* Frees the findings of F. */
void
cc_findings_clear (CcFindings *f)
{
  g_clear_pointer (&f->list, g_ptr_array_unref);
}

/* Adds a finding at PLACE with a printf-style message. */
void
cc_findings_add (CcFindings *f, const char *place, const char *format, ...)
{
  CcFinding *finding = g_new0 (CcFinding, 1);
  va_list args;

  va_start (args, format);
  finding->place = g_strdup (place);
  finding->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (f->list, finding);
}

/* Returns the number of findings in F. */
guint
cc_findings_count (const CcFindings *f)
{
  return f->list->len;
}

/* Returns all findings as lines "place: message".  Free it with g_free. */
char *
cc_findings_text (const CcFindings *f)
{
  GString *s = g_string_new (NULL);

  for (guint i = 0; i < f->list->len; i++)
    {
      const CcFinding *finding = f->list->pdata[i];

      g_string_append_printf (s, "%s: %s\n", finding->place, finding->text);
    }
  return g_string_free (s, FALSE);
}
