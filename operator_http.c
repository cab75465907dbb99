/* Shared by the handlers for operators: JSON responses, and the check of the
 * bearer token.
 *
 * If a token is set (CAPERCRANK_OPERATOR_TOKEN), requests that change something
 * must carry it; reads need none.  The token prevents a misdirected script, or
 * any process that can reach the admin port, from changing the configuration.
 * It is sent over plain HTTP, so anyone who can read the network's traffic can
 * read it. */
#include "operator_http.h"

#include <string.h>

#include "admin.h"
#include "body_limit.h"
#include "secret.h"

#define SCHEME "Bearer "

/* Sets the response of M to STATUS and the JSON document built by B. */
void
cc_operator_answer_json (SoupServerMessage *m, guint status, JsonBuilder *b)
{
  g_autoptr (JsonNode) root = json_builder_get_root (b);
  g_autofree char *text = json_to_string (root, TRUE);

  cc_http_answer (m, status, "application/json", text);
}

/* Sets the response of M to STATUS and a JSON object with the error message
 * TEXT and the document VERSION in force (0: none). */
void
cc_operator_answer_error (SoupServerMessage *m, guint status, const char *text,
                          guint64 version)
{
  g_autoptr (JsonBuilder) b = json_builder_new ();

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "error");
  json_builder_add_string_value (b, text);
  json_builder_set_member_name (b, "version");
  json_builder_add_int_value (b, (gint64) version);
  json_builder_end_object (b);
  cc_operator_answer_json (m, status, b);
}

/* Sets the response of M to status 422 and all findings of F. */
void
cc_operator_answer_findings (SoupServerMessage *m, const CcFindings *f)
{
  g_autoptr (JsonBuilder) b = json_builder_new ();

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "error");
  json_builder_add_string_value (b, "the document is not valid");
  json_builder_set_member_name (b, "findings");
  json_builder_begin_array (b);
  for (guint i = 0; i < f->list->len; i++)
    {
      const CcFinding *finding = f->list->pdata[i];

      json_builder_begin_object (b);
      json_builder_set_member_name (b, "place");
      json_builder_add_string_value (b, finding->place);
      json_builder_set_member_name (b, "text");
      json_builder_add_string_value (b, finding->text);
      json_builder_end_object (b);
    }
  json_builder_end_array (b);
  json_builder_end_object (b);
  cc_operator_answer_json (m, SOUP_STATUS_UNPROCESSABLE_ENTITY, b);
}

/* Returns TRUE if M carries TOKEN or TOKEN is empty.  Otherwise sets the
 * response of M to 401 and returns FALSE. */
gboolean
cc_operator_authorize (SoupServerMessage *m, const char *token)
{
  const char *header = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), "Authorization");

  if (token[0] == '\0')
    return TRUE;
  if (header != NULL && g_str_has_prefix (header, SCHEME) &&
      cc_secret_equal (header + strlen (SCHEME), token))
    return TRUE;
  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                "WWW-Authenticate", "Bearer");
  cc_operator_answer_error (m, SOUP_STATUS_UNAUTHORIZED,
                            "orders need the operators' token", 0);
  return FALSE;
}

static void
on_headers (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  (void) server, (void) path, (void) query, (void) data;
  cc_body_limit (m, CC_DOCUMENT_MAX);
}

/* Limits the bodies of requests to PATH of ADMIN to CC_DOCUMENT_MAX bytes.
 * libsoup calls only the early handler of the path under which a request's
 * handler was added, so each of these paths needs a call of its own. */
void
cc_operator_limit_body (SoupServer *admin, const char *path)
{
  soup_server_add_early_handler (admin, path, on_headers, NULL, NULL);
}
