/* HTTP requests of capercrankctl, and the report of those that fail. */
#include "ctl.h"
#include "http_link.h"
#include "json_tree.h"

#include <stdio.h>
#include <string.h>

#include <libsoup/soup.h>

/* Longer than the assigner's timeout for a call to the platform plus the read
 * that follows it, so that the assigner reports a slow platform before this
 * client times out. */
#define REQUEST_TIMEOUT (10 * CC_SECOND)
#define ANY_IP "0.0.0.0"

/* Frees the members of A. */
void
ctl_response_clear (CtlResponse *a)
{
  g_clear_pointer (&a->body, g_free);
  g_clear_pointer (&a->etag, g_free);
}

/* Returns the head of a request; the caller frees it. */
static char *
request_head (const CtlOptions *o, const char *address, const char *line,
              const char *body, const char *if_match)
{
  GString *head = g_string_new (NULL);

  g_string_append_printf (head, "%s HTTP/1.1\r\nHost: %s\r\n", line, address);
  if (body != NULL)
    g_string_append (head, "Content-Type: application/json\r\n");
  if (if_match != NULL)
    g_string_append_printf (head, "If-Match: %s\r\n", if_match);
  if (o->token[0] != '\0')
    g_string_append_printf (head, "Authorization: Bearer %s\r\n", o->token);
  return g_string_free (head, FALSE);
}

/* A call in progress. */
typedef struct
{
  const char *address;
  gboolean ended;
  CtlResponse response;
} Call;

static void
print_unreachable (const char *address, const char *why)
{
  fprintf (stderr, "capercrankctl: %s can't be reached: %s\n", address, why);
}

static void
on_result (const CcHttpResult *r, gpointer data)
{
  Call *c = data;

  c->ended = TRUE;
  if (r->end != CC_HTTP_ANSWERED)
    {
      print_unreachable (c->address, r->why);
      return;
    }
  c->response.status = r->status;
  c->response.body =
      g_strndup (g_bytes_get_data (r->body, NULL), g_bytes_get_size (r->body));
  c->response.etag = g_strdup (cc_http_header (r, "ETag"));
}

/* Sends one request to ADDRESS (IP:PORT) and waits for the response.  BODY and
 * IF_MATCH may be NULL.  Without a response the status is 0 and the reason has
 * been printed.  The caller frees the result by ctl_response_clear. */
CtlResponse
ctl_call (const CtlOptions *o, const char *address, const char *method,
          const char *path, const char *body, const char *if_match)
{
  Call c = { .address = address };
  CcHttp *http = cc_http_new (ANY_IP);
  g_autofree char *line = g_strdup_printf ("%s %s", method, path);
  g_autofree char *head = request_head (o, address, line, body, if_match);
  g_autoptr (GBytes) bytes =
      body != NULL ? g_bytes_new (body, strlen (body)) : NULL;
  CcHttpRequest request = { .address = address,
                            .head = head,
                            .body = bytes,
                            .connect_timeout = REQUEST_TIMEOUT,
                            .answer_timeout = REQUEST_TIMEOUT,
                            .closes = TRUE };

  if (cc_http_send (http, &request, on_result, &c) != NULL)
    while (!c.ended)
      g_main_context_iteration (NULL, TRUE);
  else
    print_unreachable (address, "no valid address");
  cc_http_free (http);
  return c.response;
}

static void
print_findings (JsonObject *o)
{
  JsonArray *list = cc_json_array_member (o, "findings");

  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonObject *finding = cc_json_object (json_array_get_element (list, i));

      fprintf (stderr, "  %s: %s\n", cc_json_text_member (finding, "place", ""),
               cc_json_text_member (finding, "text", ""));
    }
}

static void
print_error (const CtlResponse *a)
{
  g_autoptr (JsonNode) root = cc_json_parse (a->body, -1, NULL);
  JsonObject *o = cc_json_object (root);
  gint64 version;

  if (o == NULL)
    {
      fprintf (stderr, "capercrankctl: unexpected response, status %u: %s\n",
               a->status, a->body);
      return;
    }
  fprintf (stderr, "capercrankctl: %s\n",
           cc_json_text_member (o, "error",
                                cc_json_text_member (o, "message", "refused")));
  version = cc_json_whole_member (o, "version", 0, G_MAXINT64, 0);
  if (version > 0)
    fprintf (stderr, "  version in force: %" G_GINT64_FORMAT "\n", version);
  if (json_object_has_member (o, "findings"))
    print_findings (o);
}

/* Prints the error in A if its status is not 200.  Returns the exit code. */
int
ctl_report (const CtlOptions *o, const CtlResponse *a)
{
  if (a->status == 0)
    return CTL_FAILED;
  if (a->status == SOUP_STATUS_OK)
    return CTL_OK;
  if (o->json)
    fprintf (stderr, "%s\n", a->body);
  else
    print_error (a);
  return CTL_FAILED;
}
