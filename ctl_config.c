/* capercrankctl submit, check, diff, drain and undrain. */
#include <stdio.h>
#include <string.h>

#include <libsoup/soup.h>

#include "ctl.h"
#include "document.h"
#include "document_diff.h"

static gboolean
read_file (const char *file, char **text)
{
  g_autoptr (GError) error = NULL;

  if (g_file_get_contents (file, text, NULL, &error))
    return TRUE;
  fprintf (stderr, "capercrankctl: %s\n", error->message);
  return FALSE;
}

static gboolean
need_control (const CtlOptions *o)
{
  if (o->control != NULL)
    return TRUE;
  fprintf (stderr, "capercrankctl: --control=IP:PORT (or CAPERCRANK_CONTROL) "
                   "is required for this\n");
  return FALSE;
}

static char *
newest_version (const CtlOptions *o)
{
  CtlAnswer a = ctl_call (o, o->control, "GET", "/v1/config", NULL, NULL);
  char *version = a.status == SOUP_STATUS_OK ? g_strdup (a.etag) : NULL;

  if (a.status != 0)
    ctl_report (o, &a);
  ctl_answer_clear (&a);
  return version;
}

static int
put_document (const CtlOptions *o, const char *text, const char *base)
{
  CtlAnswer a = ctl_call (o, o->control, "PUT", "/v1/config", text, base);
  int code = ctl_report (o, &a);

  if (code == CTL_DONE && o->json)
    printf ("%s\n", a.body);
  else if (code == CTL_DONE)
    {
      g_autoptr (JsonNode) root = json_from_string (a.body, NULL);

      printf ("accepted as version %" G_GINT64_FORMAT "\n",
              json_object_get_int_member_with_default (
                  json_node_get_object (root), "version", 0));
    }
  ctl_answer_clear (&a);
  return code;
}

/* submit FILE: replaces the version named by --if-version, or the newest. */
int
ctl_submit (const CtlOptions *o)
{
  g_autofree char *text = NULL;
  g_autofree char *base = NULL;

  if (!need_control (o) || !read_file (o->words[0], &text))
    return CTL_USAGE;
  base = o->base != NULL ? g_strdup (o->base) : newest_version (o);
  return base != NULL ? put_document (o, text, base) : CTL_FAILED;
}

static int
check_here (const char *text)
{
  CcFindings f;
  guint n;

  cc_findings_init (&f);
  cc_document_free (cc_document_parse (text, -1, &f));
  n = cc_findings_count (&f);
  if (n > 0)
    {
      g_autofree char *lines = cc_findings_text (&f);

      fprintf (stderr, "%s", lines);
    }
  cc_findings_clear (&f);
  return n > 0 ? CTL_FAILED : CTL_DONE;
}

static int
check_there (const CtlOptions *o, const char *text)
{
  CtlAnswer a =
      ctl_call (o, o->control, "PUT", "/v1/config?check=1", text, NULL);
  int code = ctl_report (o, &a);

  ctl_answer_clear (&a);
  return code;
}

/* check FILE: by itself, and with --control against the document in force. */
int
ctl_check (const CtlOptions *o)
{
  g_autofree char *text = NULL;
  int code;

  if (!read_file (o->words[0], &text))
    return CTL_USAGE;
  code = o->control != NULL ? check_there (o, text) : check_here (text);
  if (code == CTL_DONE)
    printf (o->json ? "{\"valid\":true}\n" : "the document is valid\n");
  return code;
}

static void
print_changes (const CtlOptions *o, GPtrArray *changes)
{
  static const char *const columns[] = { "place", "in force", "in the file",
                                         NULL };
  CtlTable t;

  ctl_table_init (&t, columns);
  for (guint i = 0; i < changes->len; i++)
    {
      const CcChange *c = changes->pdata[i];

      ctl_table_add (&t, c->place, c->before != NULL ? c->before : "-",
                     c->after != NULL ? c->after : "-");
    }
  if (changes->len > 0 || o->json)
    ctl_table_print (&t, o->json);
  ctl_table_clear (&t);
}

/* diff FILE: as diff(1), 1 if the document in force is another. */
int
ctl_diff (const CtlOptions *o)
{
  g_autofree char *text = NULL;
  g_autoptr (GPtrArray) changes = NULL;
  CtlAnswer a;
  int code;

  if (!need_control (o) || !read_file (o->words[0], &text))
    return CTL_USAGE;
  if (check_here (text) != CTL_DONE)
    return CTL_FAILED;
  a = ctl_call (o, o->control, "GET", "/v1/config", NULL, NULL);
  code = ctl_report (o, &a);
  if (code == CTL_DONE)
    {
      changes = cc_document_diff (a.body, text);
      print_changes (o, changes);
      code = changes->len > 0 ? CTL_FAILED : CTL_DONE;
    }
  ctl_answer_clear (&a);
  return code;
}

static int
order_drain (const CtlOptions *o, const char *method, const char *said)
{
  g_autofree char *path = NULL;
  g_auto (GStrv) parts = g_strsplit (o->words[0], "/", -1);
  CtlAnswer a;
  int code;

  if (!need_control (o))
    return CTL_USAGE;
  if (g_strv_length (parts) != 2)
    {
      fprintf (stderr, "capercrankctl: \"%s\" is not POOL/SERVER\n",
               o->words[0]);
      return CTL_USAGE;
    }
  path = g_strconcat ("/v1/drain/", o->words[0], NULL);
  a = ctl_call (o, o->control, method, path, "", NULL);
  code = ctl_report (o, &a);
  if (code == CTL_DONE)
    printf (o->json ? "{\"server\":\"%s\",\"now\":\"%s\"}\n" : "%s %s\n",
            o->words[0], said);
  ctl_answer_clear (&a);
  return code;
}

/* drain POOL/SERVER: its keys move away, what is in flight ends. */
int
ctl_drain (const CtlOptions *o)
{
  return order_drain (o, "PUT", "drains");
}

/* undrain POOL/SERVER: it may own keys again. */
int
ctl_undrain (const CtlOptions *o)
{
  return order_drain (o, "DELETE", "takes keys again");
}
