/* capercrankctl submit, check, diff, drain and undrain. */
#include <stdio.h>
#include <string.h>

#include <libsoup/soup.h>

#include "ctl.h"
#include "document.h"
#include "document_diff.h"
#include "json_tree.h"

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
require_control (const CtlOptions *o)
{
  if (o->control != NULL)
    return TRUE;
  fprintf (stderr, "capercrankctl: --control=IP:PORT (or CAPERCRANK_CONTROL) "
                   "is required for this\n");
  return FALSE;
}

static char *
version_in_force (const CtlOptions *o)
{
  CtlResponse a = ctl_call (o, o->control, "GET", "/v1/config", NULL, NULL);
  char *version = a.status == SOUP_STATUS_OK ? g_strdup (a.etag) : NULL;

  if (a.status != 0)
    ctl_report (o, &a);
  ctl_response_clear (&a);
  return version;
}

static int
put_document (const CtlOptions *o, const char *text, const char *base)
{
  CtlResponse a = ctl_call (o, o->control, "PUT", "/v1/config", text, base);
  int code = ctl_report (o, &a);

  if (code == CTL_OK && o->json)
    printf ("%s\n", a.body);
  else if (code == CTL_OK)
    {
      g_autoptr (JsonNode) root = cc_json_parse (a.body, -1, NULL);

      printf ("accepted as version %" G_GINT64_FORMAT "\n",
              cc_json_whole_member (cc_json_object (root), "version", 0,
                                    G_MAXINT64, 0));
    }
  ctl_response_clear (&a);
  return code;
}

/* submit FILE: replaces the version of --if-version, or the version in force at
 * the time of the call if the flag is not given. */
int
ctl_submit (const CtlOptions *o)
{
  g_autofree char *text = NULL;
  g_autofree char *base = NULL;

  if (!require_control (o) || !read_file (o->args[0], &text))
    return CTL_USAGE;
  base =
      o->if_version != NULL ? g_strdup (o->if_version) : version_in_force (o);
  return base != NULL ? put_document (o, text, base) : CTL_FAILED;
}

static int
check_locally (const char *text)
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
  return n > 0 ? CTL_FAILED : CTL_OK;
}

static int
check_at_assigner (const CtlOptions *o, const char *text)
{
  CtlResponse a =
      ctl_call (o, o->control, "PUT", "/v1/config?check=1", text, NULL);
  int code = ctl_report (o, &a);

  ctl_response_clear (&a);
  return code;
}

/* check FILE: validates the document; with --control the assigner does, and
 * also compares it with the document in force. */
int
ctl_check (const CtlOptions *o)
{
  g_autofree char *text = NULL;
  int code;

  if (!read_file (o->args[0], &text))
    return CTL_USAGE;
  code =
      o->control != NULL ? check_at_assigner (o, text) : check_locally (text);
  if (code == CTL_OK)
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

/* diff FILE: like diff(1), exits with 1 if the document in force differs. */
int
ctl_diff (const CtlOptions *o)
{
  g_autofree char *text = NULL;
  g_autoptr (GPtrArray) changes = NULL;
  CtlResponse a;
  int code;

  if (!require_control (o) || !read_file (o->args[0], &text))
    return CTL_USAGE;
  if (check_locally (text) != CTL_OK)
    return CTL_FAILED;
  a = ctl_call (o, o->control, "GET", "/v1/config", NULL, NULL);
  code = ctl_report (o, &a);
  if (code == CTL_OK)
    {
      changes = cc_document_diff (a.body, text);
      print_changes (o, changes);
      code = changes->len > 0 ? CTL_FAILED : CTL_OK;
    }
  ctl_response_clear (&a);
  return code;
}

static int
request_drain (const CtlOptions *o, const char *method, const char *state)
{
  g_autofree char *quoted = NULL, *path = NULL;
  g_auto (GStrv) parts = g_strsplit (o->args[0], "/", -1);
  CtlResponse a;
  int code;

  if (!require_control (o))
    return CTL_USAGE;
  if (g_strv_length (parts) != 2)
    {
      fprintf (stderr, "capercrankctl: \"%s\" is not POOL/SERVER\n",
               o->args[0]);
      return CTL_USAGE;
    }
  quoted = g_uri_escape_string (o->args[0], "/", TRUE);
  path = g_strconcat ("/v1/drain/", quoted, NULL);
  a = ctl_call (o, o->control, method, path, "", NULL);
  code = ctl_report (o, &a);
  if (code == CTL_OK)
    printf (o->json ? "{\"server\":\"%s\",\"now\":\"%s\"}\n" : "%s %s\n",
            o->args[0], state);
  ctl_response_clear (&a);
  return code;
}

/* drain POOL/SERVER: its keys move away, requests in flight finish. */
int
ctl_drain (const CtlOptions *o)
{
  return request_drain (o, "PUT", "drains");
}

/* undrain POOL/SERVER: it may own keys again. */
int
ctl_undrain (const CtlOptions *o)
{
  return request_drain (o, "DELETE", "takes keys again");
}
