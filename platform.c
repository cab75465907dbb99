/* Asynchronous calls to the platform, JSON over HTTP.  Each call has a timeout
 * that adapts to the platform's response times.  A write whose answer is lost
 * is reported as CC_UNKNOWN and never retried here: the caller reads the row
 * and compares it with what it wrote.  Each call opens a connection of its own,
 * so that a stalled connection costs one call and not all later ones. */
#include "platform.h"

#include <string.h>

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "call_timeout.h"
#include "clock.h"
#include "http_link.h"
#include "json_tree.h"
#include "lease.h"
#include "log.h"
#include "metrics.h"
#include "settings.h"

/* Upper limit of the timeout; a later answer renews no lease. */
#define TIMEOUT_MAX CC_LEASE_TERM

struct CcPlatform
{
  char *address; /* IP:PORT */
  CcCallTimeout timeout;
  CcHttp *http;
  CcCounter *calls;
  CcCounter *failures;
};

typedef struct
{
  CcPlatform *platform;
  gint64 started_at; /* us */
  gint64 timeout;    /* us */
  guint64 since;
  CcCommitDone commit;
  CcChangesDone changes;
  CcInstancesDone instances;
  gpointer data;
  CcHttpDone done;
} Call;

/* Creates a client of the platform at ADDRESS (IP:PORT) whose connections come
 * from the IP of SOURCE (IP:PORT).  Calls time out after TIMEOUT us, or later
 * while answers are slow. */
CcPlatform *
cc_platform_new (const char *address, const char *source, gint64 timeout)
{
  CcPlatform *p = g_new0 (CcPlatform, 1);
  g_autofree char *ip = NULL;

  cc_address_parse (source, &ip, NULL);
  p->address = g_strdup (address);
  cc_call_timeout_init (&p->timeout, timeout, MAX (timeout, TIMEOUT_MAX));
  p->http = cc_http_new (ip);
  p->calls = cc_metrics_counter ("capercrank_platform_calls", "");
  p->failures = cc_metrics_counter ("capercrank_platform_failures", "");
  return p;
}

/* Returns the smoothed response time of the platform, us; 0 before the first
 * answer. */
gint64
cc_platform_answer_time (const CcPlatform *p)
{
  return p->timeout.smoothed;
}

/* Creates an empty transaction, consumed by cc_platform_commit. */
CcTransaction *
cc_transaction_new (void)
{
  CcTransaction *t = g_new0 (CcTransaction, 1);

  t->checks = g_string_new (NULL);
  t->writes = g_string_new (NULL);
  return t;
}

static void
append_string (GString *s, const char *text)
{
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_VALUE);
  g_autofree char *quoted = NULL;

  json_node_set_string (node, text);
  quoted = json_to_string (node, FALSE);
  g_string_append (s, quoted);
}

/* Makes T fail unless the row KEY has VERSION (0: there is no such row). */
void
cc_transaction_check (CcTransaction *t, const char *key, guint64 version)
{
  g_string_append (t->checks, t->checks->len > 0 ? ",[" : "[");
  append_string (t->checks, key);
  g_string_append_printf (t->checks, ",%" G_GUINT64_FORMAT "]", version);
}

/* Makes T write VALUE to the row KEY; NULL deletes the row. */
void
cc_transaction_put (CcTransaction *t, const char *key, const char *value)
{
  g_string_append (t->writes, t->writes->len > 0 ? ",[" : "[");
  append_string (t->writes, key);
  g_string_append_c (t->writes, ',');
  if (value != NULL)
    append_string (t->writes, value);
  else
    g_string_append (t->writes, "null");
  g_string_append_c (t->writes, ']');
}

/* Returns T as JSON, to be freed by the caller; consumes T. */
static char *
transaction_take (CcTransaction *t)
{
  char *body = g_strdup_printf ("{\"checks\":[%s],\"writes\":[%s]}",
                                t->checks->str, t->writes->str);

  g_string_free (t->checks, TRUE);
  g_string_free (t->writes, TRUE);
  g_free (t);
  return body;
}

/* Notes that C has timed out. */
static void
record_timeout (const Call *c)
{
  cc_call_timeout_expired (&c->platform->timeout, c->timeout);
  cc_log (CC_LOG_DEBUG, "platform",
          "call timed out after %" G_GINT64_FORMAT
          " ms, next timeout %" G_GINT64_FORMAT " ms",
          c->timeout / CC_MS, c->platform->timeout.current / CC_MS);
}

/* Ends the call DATA, which could not be sent. */
static void
end_unsent (gpointer data)
{
  static const CcHttpResult unsent = { .end = CC_HTTP_UNSENT,
                                       .why = "unreachable" };
  Call *c = data;

  c->done (&unsent, c);
}

/* Returns a call with the current timeout; DATA is passed to its callback. */
static Call *
call_new (CcPlatform *p, gpointer data)
{
  Call *c = g_new0 (Call, 1);

  c->platform = p;
  c->data = data;
  c->started_at = cc_clock_now ();
  c->timeout = p->timeout.current;
  ++*p->calls;
  return c;
}

/* Sends C, whose LINE is method and path, on a new connection; BODY may be
 * NULL.  DONE gets the result. */
static void
call_send (Call *c, const char *line, GBytes *body, CcHttpDone done)
{
  CcPlatform *p = c->platform;
  g_autofree char *head = g_strdup_printf (
      "%s HTTP/1.1\r\nHost: %s\r\n%s", line, p->address,
      body != NULL ? "Content-Type: application/json\r\n" : "");
  CcHttpRequest request = { .address = p->address,
                            .head = head,
                            .body = body,
                            .connect_timeout = c->timeout,
                            .answer_timeout = c->timeout,
                            .closes = TRUE };

  c->done = done;
  if (cc_http_send (p->http, &request, done, c) == NULL)
    g_idle_add_once (end_unsent, c);
}

/* Returns the answer's JSON object with *STATUS CC_OK, or NULL with the error
 * in *STATUS. */
static JsonNode *
read_result (const Call *c, const CcHttpResult *r, CcStatus *status)
{
  gboolean answered = r->end == CC_HTTP_ANSWERED;
  g_autofree char *text = NULL;
  JsonNode *root = NULL;
  gsize size;
  gconstpointer body;

  if (answered)
    cc_call_timeout_answered (&c->platform->timeout,
                              cc_clock_now () - c->started_at);
  else if (cc_clock_now () - c->started_at >= c->timeout)
    record_timeout (c);
  *status = r->end == CC_HTTP_UNSENT ? CC_UNREACHABLE : CC_UNKNOWN;
  if (answered && r->status == SOUP_STATUS_CONFLICT)
    *status = CC_CONFLICT;
  if (!answered || r->status != SOUP_STATUS_OK)
    {
      *c->platform->failures += *status != CC_CONFLICT ? 1 : 0;
      return NULL;
    }
  body = g_bytes_get_data (r->body, &size);
  text = g_strndup (body, size);
  root = cc_json_parse (text, -1, NULL);
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      *status = CC_OK;
      return root;
    }
  g_clear_pointer (&root, json_node_unref);
  return NULL;
}

static void
on_committed (const CcHttpResult *r, gpointer data)
{
  Call *c = data;
  CcStatus status;
  g_autoptr (JsonNode) root = read_result (c, r, &status);
  guint64 version = 0;

  if (root != NULL)
    version = (guint64) cc_json_whole_member (cc_json_object (root), "version",
                                              0, G_MAXINT64, 0);
  c->commit (status, version, c->data);
  g_free (c);
}

/* Sends and consumes T.  DONE is called once, from the main loop. */
void
cc_platform_commit (CcPlatform *p, CcTransaction *t, CcCommitDone done,
                    gpointer data)
{
  Call *c = call_new (p, data);
  char *body = transaction_take (t);
  g_autoptr (GBytes) bytes = g_bytes_new_take (body, strlen (body));

  c->commit = done;
  call_send (c, "POST /v1/transaction", bytes, on_committed);
}

static GVariant *
read_rows (JsonArray *list)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonArray *row = cc_json_array (json_array_get_element (list, i));

      if (row != NULL)
        g_variant_builder_add (
            &b, "(sts)", cc_json_text_element (row, 0, ""),
            (guint64) cc_json_whole_element (row, 1, 0, G_MAXINT64, 0),
            cc_json_text_element (row, 2, ""));
    }
  return g_variant_ref_sink (g_variant_builder_end (&b));
}

static void
on_changes (const CcHttpResult *r, gpointer data)
{
  Call *c = data;
  CcStatus status;
  g_autoptr (JsonNode) root = read_result (c, r, &status);
  JsonArray *list = cc_json_array_member (cc_json_object (root), "rows");
  g_autoptr (GVariant) rows = NULL;
  guint64 upto = 0;

  if (list != NULL)
    {
      upto = (guint64) cc_json_whole_member (cc_json_object (root), "upto", 0,
                                             G_MAXINT64, 0);
      rows = read_rows (list);
    }
  else if (root != NULL)
    status = CC_INVALID;
  c->changes (status, c->since, upto, rows, c->data);
  g_free (c);
}

/* Requests the rows written after SINCE, without those whose keys start with
 * SKIP ("": all rows).  DONE is called once, from the main loop. */
void
cc_platform_changes (CcPlatform *p, guint64 since, const char *skip,
                     CcChangesDone done, gpointer data)
{
  g_autofree char *line = g_strdup_printf (
      "GET /v1/changes?since=%" G_GUINT64_FORMAT "&skip=%s", since, skip);
  Call *c = call_new (p, data);

  c->changes = done;
  c->since = since;
  call_send (c, line, NULL, on_changes);
}

/* Requests the current rows whose keys start with PREFIX.  DONE is called once,
 * from the main loop. */
void
cc_platform_rows (CcPlatform *p, const char *prefix, CcChangesDone done,
                  gpointer data)
{
  g_autofree char *quoted = g_uri_escape_string (prefix, NULL, FALSE);
  g_autofree char *line =
      g_strconcat ("GET /v1/changes?since=0&prefix=", quoted, NULL);
  Call *c = call_new (p, data);

  c->changes = done;
  call_send (c, line, NULL, on_changes);
}

static void
instance_free (gpointer data)
{
  CcInstance *i = data;

  g_free (i->name);
  g_free (i->role);
  g_free (i->zone);
  g_free (i->address);
  g_free (i);
}

static CcInstance *
read_instance (JsonObject *o)
{
  CcInstance *i = g_new0 (CcInstance, 1);

  i->name = g_strdup (cc_json_text_member (o, "name", ""));
  i->role = g_strdup (cc_json_text_member (o, "role", ""));
  i->zone = g_strdup (cc_json_text_member (o, "zone", ""));
  i->address = g_strdup (cc_json_text_member (o, "address", ""));
  i->leaving = g_str_equal (cc_json_text_member (o, "state", ""), "leaving");
  return i;
}

static void
on_instances (const CcHttpResult *r, gpointer data)
{
  Call *c = data;
  CcStatus status;
  g_autoptr (JsonNode) root = read_result (c, r, &status);
  g_autoptr (GPtrArray) list = g_ptr_array_new_with_free_func (instance_free);
  JsonArray *array = cc_json_array_member (cc_json_object (root), "instances");

  for (guint i = 0; array != NULL && i < json_array_get_length (array); i++)
    g_ptr_array_add (list, read_instance (cc_json_object (
                               json_array_get_element (array, i))));
  if (root != NULL && array == NULL)
    status = CC_INVALID;
  c->instances (status, list, c->data);
  g_free (c);
}

/* Requests the list of live and leaving instances, which the platform updates
 * with a delay.  DONE is called once, from the main loop. */
void
cc_platform_instances (CcPlatform *p, CcInstancesDone done, gpointer data)
{
  Call *c = call_new (p, data);

  c->instances = done;
  call_send (c, "GET /v1/instances", NULL, on_instances);
}
