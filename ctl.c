/* capercrankctl: the operators' tool.
 *
 *   check FILE             check a document, change nothing
 *   submit FILE [VERSION]  submit it in place of VERSION (default: the newest)
 *   config                 the document in force
 *   view                   all rows known to the instance asked
 */
#include <stdio.h>
#include <string.h>

#include <libsoup/soup.h>

#include "capercrank.h"
#include "settings.h"

#define TIMEOUT_S 10

static guint
call (const char *control, const char *method, const char *path,
      const char *body, const char *if_match, char **answer, char **etag)
{
  g_autofree char *url = g_strconcat ("http://", control, path, NULL);
  g_autoptr (SoupSession) s =
      soup_session_new_with_options ("timeout", TIMEOUT_S, NULL);
  g_autoptr (SoupMessage) m = soup_message_new (method, url);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) got = NULL;

  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (m, "application/json", bytes);
    }
  if (if_match != NULL)
    soup_message_headers_append (soup_message_get_request_headers (m),
                                 "If-Match", if_match);
  got = soup_session_send_and_read (s, m, NULL, &error);
  if (got == NULL)
    {
      fprintf (stderr, "capercrankctl: %s: %s\n", control, error->message);
      return 0;
    }
  *answer = g_strndup (g_bytes_get_data (got, NULL), g_bytes_get_size (got));
  if (etag != NULL)
    *etag = g_strdup (soup_message_headers_get_one (
        soup_message_get_response_headers (m), "ETag"));
  return soup_message_get_status (m);
}

static int
print_answer (guint status, const char *answer)
{
  if (status == 0)
    return 1;
  fprintf (status == SOUP_STATUS_OK ? stdout : stderr, "%s\n", answer);
  return status == SOUP_STATUS_OK ? 0 : 1;
}

static int
show (const char *control, const char *path)
{
  g_autofree char *answer = NULL;
  guint status = call (control, "GET", path, NULL, NULL, &answer, NULL);

  return print_answer (status, answer);
}

static char *
newest_version (const char *control)
{
  g_autofree char *answer = NULL;
  char *etag = NULL;

  if (call (control, "GET", "/v1/config", NULL, NULL, &answer, &etag) == 0)
    return NULL;
  return etag;
}

static int
submit (const char *control, const char *file, const char *version,
        gboolean check)
{
  g_autofree char *text = NULL;
  g_autofree char *base = NULL;
  g_autofree char *answer = NULL;
  g_autoptr (GError) error = NULL;
  guint status;

  if (!g_file_get_contents (file, &text, NULL, &error))
    {
      fprintf (stderr, "capercrankctl: %s\n", error->message);
      return 2;
    }
  base = version != NULL ? g_strdup (version) : newest_version (control);
  if (base == NULL)
    return 1;
  status = call (control, "PUT", check ? "/v1/config?check" : "/v1/config",
                 text, base, &answer, NULL);
  return print_answer (status, answer);
}

static int
run (const char *control, char **words)
{
  guint n = g_strv_length (words);

  if (n == 2 && g_str_equal (words[0], "check"))
    return submit (control, words[1], NULL, TRUE);
  if ((n == 2 || n == 3) && g_str_equal (words[0], "submit"))
    return submit (control, words[1], words[2], FALSE);
  if (n == 1 && g_str_equal (words[0], "config"))
    return show (control, "/v1/config");
  if (n == 1 && g_str_equal (words[0], "view"))
    return show (control, "/v1/view");
  fprintf (stderr, "usage: capercrankctl --control=IP:PORT "
                   "--do=\"check FILE | submit FILE [VERSION] | config | "
                   "view\"\n");
  return 2;
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_ADDRESS, "control", NULL,
      "admin address of any capercrank-assign", 0, 0, NULL },
    { CC_SETTING_STRING, "do", NULL, "the command", 0, 0, NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  g_auto (GStrv) words = NULL;

  switch (cc_settings_read (settings, "capercrankctl", "The operators' tool.",
                            argc, argv))
    {
    case CC_START_STOP:
      return 0;
    case CC_START_FAIL:
      return 2;
    case CC_START_RUN:
      break;
    }
  words = g_strsplit (cc_setting (settings, "do"), " ", -1);
  return run (cc_setting (settings, "control"), words);
}
