/* PUT    /v1/drain/POOL/SERVER   moves the server's keys away
 * DELETE /v1/drain/POOL/SERVER   lets the server own keys again
 *
 * A drain request is stored as the row drain/POOL/SERVER of the table, so it
 * outlives the process that accepted it; while it is there, the assigner treats
 * the server as if the platform listed it as leaving.  Both requests are
 * idempotent: after a lost response the operator sends the request again. */
#include "drain_api.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "admin.h"
#include "body_limit.h"
#include "clock.h"
#include "log.h"
#include "operator_http.h"

#define DRAIN_PATH "/v1/drain"

typedef struct
{
  CcFollower *follower;
  CcPlatform *platform;
  char *token; /* required for changes; "": none is required */
} DrainApi;

typedef struct
{
  DrainApi *api;
  SoupServerMessage *message;
  char *key; /* of the row */
  gboolean drain;
} DrainRequest;

static char *
row_key (const char *pool, const char *server)
{
  return g_strconcat ("drain/", pool, "/", server, NULL);
}

/* Returns TRUE if the view V contains a drain request for SERVER of POOL. */
gboolean
cc_drain_is_requested (const CcView *v, const char *pool, const char *server)
{
  g_autofree char *key = row_key (pool, server);

  return cc_view_get (v, key) != NULL;
}

static void
on_committed (CcStatus status, guint64 version, gpointer data)
{
  DrainRequest *o = data;

  if (status == CC_OK)
    {
      cc_log (CC_LOG_INFO, "drain", "%s %s by an operator", o->key,
              o->drain ? "ordered" : "ended");
      cc_http_answer (o->message, SOUP_STATUS_OK, "application/json", "{}\n");
      cc_follower_poll (o->api->follower);
    }
  else if (status == CC_UNKNOWN)
    cc_operator_answer_error (o->message, SOUP_STATUS_GATEWAY_TIMEOUT,
                              "the platform's answer was lost; give the order "
                              "again, twice does no harm",
                              version);
  else
    cc_operator_answer_error (o->message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                              "the platform can't be reached; nothing was "
                              "changed, ask again",
                              version);
  soup_server_message_unpause (o->message);
  g_object_unref (o->message);
  g_free (o->key);
  g_free (o);
}

static char *
request_value (void)
{
  return g_strdup_printf ("{\"since_ms\":%" G_GINT64_FORMAT "}",
                          cc_clock_wall () / CC_MS);
}

static void
write_request (DrainApi *api, SoupServerMessage *m, char *key, gboolean drain)
{
  DrainRequest *o = g_new0 (DrainRequest, 1);
  CcTransaction *x = cc_transaction_new ();
  g_autofree char *value = drain ? request_value () : NULL;

  o->api = api;
  o->message = g_object_ref (m);
  o->key = key;
  o->drain = drain;
  cc_transaction_put (x, key, value);
  soup_server_message_pause (m);
  cc_platform_commit (api->platform, x, on_committed, o);
}

/* Only a server of the pool's map can be drained, so that requests can't create
 * more rows than there are servers. */
static gboolean
is_known (const DrainApi *api, const char *pool, const char *server)
{
  const CcSliceMap *m = cc_follower_map (api->follower, pool);

  return m != NULL && cc_slicemap_find (m, server) >= 0;
}

static void
on_drain (SoupServer *server, SoupServerMessage *m, const char *path,
          GHashTable *query, gpointer data)
{
  DrainApi *api = data;
  const char *method = soup_server_message_get_method (m);
  gboolean drain = g_str_equal (method, "PUT");
  g_auto (GStrv) parts = g_strsplit (path, "/", -1);

  (void) server, (void) query;
  if (cc_body_is_refused (m))
    return;
  if (!drain && !g_str_equal (method, "DELETE"))
    cc_operator_answer_error (m, SOUP_STATUS_METHOD_NOT_ALLOWED,
                              "use PUT or DELETE", 0);
  else if (!cc_operator_authorize (m, api->token))
    return;
  else if (g_strv_length (parts) != 5)
    cc_operator_answer_error (m, SOUP_STATUS_BAD_REQUEST,
                              "the path is " DRAIN_PATH "/POOL/SERVER", 0);
  else if (drain && !is_known (api, parts[3], parts[4]))
    cc_operator_answer_error (m, SOUP_STATUS_NOT_FOUND,
                              "there is no such server in the pool's map", 0);
  else
    write_request (api, m, row_key (parts[3], parts[4]), drain);
}

static void
api_free (gpointer data)
{
  DrainApi *api = data;

  g_free (api->token);
  g_free (api);
}

/* Adds the handlers to ADMIN.  F and P must outlive it.  Requests require TOKEN
 * unless TOKEN is empty. */
void
cc_drain_api_add (SoupServer *admin, CcFollower *f, CcPlatform *p,
                  const char *token)
{
  DrainApi *api = g_new0 (DrainApi, 1);

  api->follower = f;
  api->platform = p;
  api->token = g_strdup (token);
  cc_operator_limit_body (admin, DRAIN_PATH);
  soup_server_add_handler (admin, DRAIN_PATH, on_drain, api, api_free);
}
