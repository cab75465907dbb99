/* PUT /v1/config   submit a document; If-Match names the version it replaces
 * PUT /v1/config?check=1   validate a document, change nothing
 * GET /v1/config   the document in force; its version is in ETag
 * GET /v1/view     all rows of the local view, for capercrankctl's tables
 *
 * Two operators who submit at the same time both name the version they have
 * read; the platform's compare-and-set accepts one, and the other receives 409
 * with the new version.  An accepted document is a row of the table, so it
 * survives the loss of every process. */
#include "config_api.h"

#include <stdlib.h>
#include <string.h>

#include <json-glib/json-glib.h>

#include "admin.h"
#include "body_limit.h"
#include "json_tree.h"
#include "log.h"
#include "operator_http.h"

#define HEAD_KEY "config/head"
#define CHECK_PARAMETER "check" /* query parameter: validate only */
#define SUPERSEDED                                                             \
  "another document was accepted meanwhile; read it, then submit against its " \
  "version"
#define STATUS_PRECONDITION_REQUIRED 428 /* RFC 6585; libsoup has no name */

typedef struct
{
  CcFollower *follower;
  CcPlatform *platform;
  char *token; /* required for changes; "": none is required */
} ConfigApi;

typedef struct
{
  ConfigApi *api;
  SoupServerMessage *message;
  char *document;
  guint64 base; /* version that it replaces */
} Submit;

static void
submit_free (Submit *s)
{
  soup_server_message_unpause (s->message);
  g_object_unref (s->message);
  g_free (s->document);
  g_free (s);
}

static void
respond_accepted (Submit *s, guint64 version)
{
  g_autoptr (JsonBuilder) b = json_builder_new ();

  cc_log (CC_LOG_INFO, "configuration",
          "version %" G_GUINT64_FORMAT " accepted", version);
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "version");
  json_builder_add_int_value (b, (gint64) version);
  json_builder_end_object (b);
  cc_operator_answer_json (s->message, SOUP_STATUS_OK, b);
  cc_follower_poll (s->api->follower);
}

/* Responds by the row's contents if the response to the write was lost.  If the
 * row contains the document, it was accepted.  If it contains another one,
 * newer than the version to be replaced, the document is not in force and can't
 * become so, since its version check fails from now on.  If the row is
 * unchanged, the write may still be in flight, and the result is unknown. */
static void
respond_by_row (Submit *s, guint64 version, const char *value)
{
  if (version > s->base && g_str_equal (value, s->document))
    respond_accepted (s, version);
  else if (version > s->base)
    cc_operator_answer_error (s->message, SOUP_STATUS_CONFLICT, SUPERSEDED,
                              version);
  else
    cc_operator_answer_error (
        s->message, SOUP_STATUS_GATEWAY_TIMEOUT,
        "the platform's answer was lost; it is not known whether the "
        "document will be accepted, ask again",
        version);
}

static void
on_read_back (CcStatus status, guint64 since, guint64 upto, GVariant *rows,
              gpointer data)
{
  Submit *s = data;
  const char *key, *value = "";
  guint64 version = 0;
  GVariantIter iter;

  (void) since, (void) upto;
  if (status == CC_OK)
    {
      g_variant_iter_init (&iter, rows);
      g_variant_iter_next (&iter, "(&st&s)", &key, &version, &value);
    }
  respond_by_row (s, version, value);
  submit_free (s);
}

static void
on_committed (CcStatus status, guint64 version, gpointer data)
{
  Submit *s = data;

  if (status == CC_UNKNOWN)
    {
      cc_platform_rows (s->api->platform, HEAD_KEY, on_read_back, s);
      return;
    }
  if (status == CC_OK)
    respond_accepted (s, version);
  else if (status == CC_CONFLICT)
    cc_operator_answer_error (s->message, SOUP_STATUS_CONFLICT, SUPERSEDED,
                              s->api->follower->document_version);
  else
    cc_operator_answer_error (
        s->message, SOUP_STATUS_SERVICE_UNAVAILABLE,
        "the platform can't be reached; nothing was changed", 0);
  submit_free (s);
}

static void
commit (ConfigApi *api, SoupServerMessage *m, const char *document,
        guint64 base)
{
  Submit *s = g_new0 (Submit, 1);
  CcTransaction *x = cc_transaction_new ();

  s->api = api;
  s->message = g_object_ref (m);
  s->document = g_strdup (document);
  s->base = base;
  cc_transaction_check (x, HEAD_KEY, base);
  cc_transaction_put (x, HEAD_KEY, document);
  soup_server_message_pause (m);
  cc_platform_commit (api->platform, x, on_committed, s);
}

static gboolean
check_document (ConfigApi *api, SoupServerMessage *m, const char *text,
                gsize size)
{
  CcFindings f;
  CcDocument *d;
  gboolean valid;

  cc_findings_init (&f);
  if (size > CC_DOCUMENT_MAX || !g_utf8_validate (text, (gssize) size, NULL))
    cc_findings_add (&f, "document", "must be UTF-8 of at most %d bytes",
                     CC_DOCUMENT_MAX);
  else
    {
      d = cc_document_parse (text, (gssize) size, &f);
      if (d != NULL && api->follower->document != NULL)
        cc_document_check_update (api->follower->document, d, &f);
      cc_document_free (d);
    }
  valid = cc_findings_count (&f) == 0;
  if (!valid)
    cc_operator_answer_findings (m, &f);
  cc_findings_clear (&f);
  return valid;
}

/* Returns TRUE if BASE is the version in the local view; otherwise responds
 * with an error.  A document is validated against the one in the local view, so
 * that must be the one it replaces: a process that lags behind the table would
 * otherwise accept a change to what is fixed, such as the number of a pool's
 * slices. */
static gboolean
check_base_version (ConfigApi *api, SoupServerMessage *m, guint64 base)
{
  guint64 known = api->follower->document_version;

  if (base == known)
    return TRUE;
  if (base < known)
    cc_operator_answer_error (m, SOUP_STATUS_CONFLICT, SUPERSEDED, known);
  else
    cc_operator_answer_error (m, SOUP_STATUS_SERVICE_UNAVAILABLE,
                              "this instance does not hold that version yet; "
                              "ask again, or ask another one",
                              known);
  return FALSE;
}

static void
submit (ConfigApi *api, SoupServerMessage *m, gboolean check_only)
{
  const char *match = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), "If-Match");
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  gsize size = 0;
  const char *data = g_bytes_get_data (body, &size);
  g_autofree char *text = g_strndup (data != NULL ? data : "", size);
  guint64 base = 0;

  if (match != NULL &&
      !g_ascii_string_to_unsigned (match, 10, 0, G_MAXINT64, &base, NULL))
    {
      cc_operator_answer_error (m, SOUP_STATUS_BAD_REQUEST,
                                "If-Match must be a version", 0);
      return;
    }
  if (match == NULL && !check_only)
    {
      cc_operator_answer_error (
          m, STATUS_PRECONDITION_REQUIRED,
          "If-Match must name the version to replace, 0 for none",
          api->follower->document_version);
      return;
    }
  if (!check_only && !check_base_version (api, m, base))
    return;
  if (!check_document (api, m, text, size))
    return;
  if (check_only)
    cc_http_answer (m, SOUP_STATUS_OK, "application/json", "{}\n");
  else
    commit (api, m, text, base);
}

static void
on_config (SoupServer *server, SoupServerMessage *m, const char *path,
           GHashTable *query, gpointer data)
{
  ConfigApi *api = data;
  const CcRow *head = cc_view_get (&api->follower->view, HEAD_KEY);
  const char *method = soup_server_message_get_method (m);
  g_autofree char *version = NULL;

  (void) server, (void) path;
  if (cc_body_is_refused (m))
    return;
  if (g_str_equal (method, "PUT"))
    {
      if (!cc_operator_authorize (m, api->token))
        return;
      submit (api, m,
              query != NULL && g_hash_table_contains (query, CHECK_PARAMETER));
      return;
    }
  if (!g_str_equal (method, "GET"))
    {
      cc_operator_answer_error (m, SOUP_STATUS_METHOD_NOT_ALLOWED,
                                "use GET or PUT", 0);
      return;
    }
  version =
      g_strdup_printf ("%" G_GUINT64_FORMAT, head != NULL ? head->version : 0);
  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                "ETag", version);
  cc_http_answer (m, SOUP_STATUS_OK, "application/json",
                  head != NULL ? head->value : "{}");
}

static void
add_row (JsonBuilder *b, const CcRow *row)
{
  g_autoptr (JsonNode) value = cc_json_parse (row->value, -1, NULL);

  json_builder_set_member_name (b, row->key);
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "version");
  json_builder_add_int_value (b, (gint64) row->version);
  json_builder_set_member_name (b, "value");
  if (value != NULL)
    json_builder_add_value (b, g_steal_pointer (&value));
  else
    json_builder_add_null_value (b);
  json_builder_end_object (b);
}

static void
on_view (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  ConfigApi *api = data;
  g_autoptr (GPtrArray) rows = cc_view_list (&api->follower->view, "");
  g_autoptr (JsonBuilder) b = json_builder_new ();

  (void) server, (void) path, (void) query;
  json_builder_begin_object (b);
  for (guint i = 0; i < rows->len; i++)
    add_row (b, rows->pdata[i]);
  json_builder_end_object (b);
  cc_operator_answer_json (m, SOUP_STATUS_OK, b);
}

static void
api_free (gpointer data)
{
  ConfigApi *api = data;

  g_free (api->token);
  g_free (api);
}

/* Adds the handlers to ADMIN.  F and P must outlive it.  PUT requires TOKEN
 * unless TOKEN is empty. */
void
cc_config_api_add (SoupServer *admin, CcFollower *f, CcPlatform *p,
                   const char *token)
{
  ConfigApi *api = g_new0 (ConfigApi, 1);

  api->follower = f;
  api->platform = p;
  api->token = g_strdup (token);
  cc_operator_limit_body (admin, "/v1/config");
  soup_server_add_handler (admin, "/v1/config", on_config, api, NULL);
  soup_server_add_handler (admin, "/v1/view", on_view, api, api_free);
}
