/* A list of findings.  Validation goes on after the first fault, so that an
 * operator mends a document or a command line in one go. */
#include "findings.h"

static void
finding_free (gpointer data)
{
  CcFinding *one = data;

  g_free (one->place);
  g_free (one->text);
  g_free (one);
}

/* Makes F an empty list. */
void
cc_findings_init (CcFindings *f)
{
  f->list = g_ptr_array_new_with_free_func (finding_free);
}

/* Frees what F holds. */
void
cc_findings_clear (CcFindings *f)
{
  g_clear_pointer (&f->list, g_ptr_array_unref);
}

/* Adds a finding at PLACE with a printf-style sentence. */
void
cc_findings_add (CcFindings *f, const char *place, const char *format, ...)
{
  CcFinding *one = g_new0 (CcFinding, 1);
  va_list args;

  va_start (args, format);
  one->place = g_strdup (place);
  one->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (f->list, one);
}

/* How many findings F holds. */
guint
cc_findings_count (const CcFindings *f)
{
  return f->list->len;
}

/* All findings, a line each: "place: sentence".  The caller frees it. */
char *
cc_findings_text (const CcFindings *f)
{
  GString *s = g_string_new (NULL);

  for (guint i = 0; i < f->list->len; i++)
    {
      const CcFinding *one = f->list->pdata[i];

      g_string_append_printf (s, "%s: %s\n", one->place, one->text);
    }
  return g_string_free (s, FALSE);
}
