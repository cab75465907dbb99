/* libsoup provides a request target only in normalized form (RFC 3986, 6.2.2):
 * a server would get `/~a` for `/%7Ea`.  So the bytes that libsoup reads from a
 * caller also pass through a second parser, which records each target.
 *
 * The two parsers may disagree on where a request begins.  A recorded target is
 * therefore used only for the message at the same position on its connection,
 * and only if its normal form is the one that libsoup found.
 *
 * The parser also tells which requests libsoup has read ahead, which libsoup
 * itself does not. */
#include "caller_connection.h"

#include <http_parser.h>
#include <string.h>

#define TARGET_KEY "capercrank-target" /* data of a SoupServerMessage */

struct CcCallerTargets
{
  http_parser parser;
  gboolean failed;  /* the parser found an error; its data is ignored */
  gboolean in_head; /* the headers of a request have begun and not ended */
  GString *target;  /* of the message being read */
  GQueue targets;   /* of char *, of messages whose headers were read */
};

static int
on_message_begin (http_parser *p)
{
  ((CcCallerTargets *) p->data)->in_head = TRUE;
  return 0;
}

static int
on_url (http_parser *p, const char *at, size_t length)
{
  CcCallerTargets *t = p->data;

  g_string_append_len (t->target, at, (gssize) length);
  return 0;
}

static int
on_headers_complete (http_parser *p)
{
  CcCallerTargets *t = p->data;

  t->in_head = FALSE;
  g_queue_push_tail (&t->targets, g_strdup (t->target->str));
  g_string_truncate (t->target, 0);
  /* The offer of another protocol is ignored, so the next request follows. */
  p->upgrade = 0;
  return 0;
}

static const http_parser_settings settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_headers_complete = on_headers_complete,
};

/* Returns an empty record for a new connection. */
CcCallerTargets *
cc_caller_targets_new (void)
{
  CcCallerTargets *t = g_new0 (CcCallerTargets, 1);

  http_parser_init (&t->parser, HTTP_REQUEST);
  t->parser.data = t;
  t->target = g_string_new (NULL);
  g_queue_init (&t->targets);
  return t;
}

/* Frees T, which may be NULL. */
void
cc_caller_targets_free (CcCallerTargets *t)
{
  if (t == NULL)
    return;
  g_string_free (t->target, TRUE);
  g_queue_clear_full (&t->targets, g_free);
  g_free (t);
}

/* Records the targets in the next COUNT bytes that were read from the
 * connection of T. */
void
cc_caller_targets_parse (CcCallerTargets *t, const char *bytes, gsize count)
{
  if (t->failed)
    return;
  t->failed =
      http_parser_execute (&t->parser, &settings, bytes, count) != count;
}

/* Whether a part of a request was parsed that has no message yet. */
gboolean
cc_caller_targets_is_reading (const CcCallerTargets *t)
{
  return !t->failed && (t->in_head || t->targets.length > 0);
}

/* Whether the headers of a request were parsed that has no message yet: the
 * HTTP library has read it ahead. */
gboolean
cc_caller_targets_has_next (const CcCallerTargets *t)
{
  return !t->failed && t->targets.length > 0;
}

/* The headers of M, the next message on the connection of T, were read: M gets
 * its target. */
void
cc_caller_targets_assign (CcCallerTargets *t, SoupServerMessage *m)
{
  g_object_set_data_full (G_OBJECT (m), TARGET_KEY,
                          g_queue_pop_head (&t->targets), g_free);
}

/* Whether TEXT is in origin form (RFC 9112, 3.2.1): a path and optionally a
 * query. */
static gboolean
is_origin_form (const char *text)
{
  if (text[0] != '/')
    return FALSE;
  for (const char *c = text; *c != '\0'; c++)
    if (*c <= ' ' || *c >= 0x7f || *c == '#')
      return FALSE;
  return TRUE;
}

/* TARGET from its path on, without scheme and authority; NULL: it has no path.
 */
static const char *
skip_authority (const char *target)
{
  const char *authority = strstr (target, "://");

  if (target[0] == '/')
    return target;
  return authority != NULL ? strchr (authority + strlen ("://"), '/') : NULL;
}

/* Whether TARGET equals PATH, followed by QUERY if that is not NULL. */
static gboolean
equals_path_and_query (const char *target, const char *path, const char *query)
{
  gsize length = strlen (path);

  if (strncmp (target, path, length) != 0)
    return FALSE;
  return query != NULL
             ? target[length] == '?' && g_str_equal (target + length + 1, query)
             : target[length] == '\0';
}

/* Whether TARGET and URI have the same normal form.  Most targets are sent in
 * normal form, so that case is checked first. */
static gboolean
is_equivalent (const char *target, GUri *uri)
{
  g_autofree char *text = NULL;
  g_autoptr (GUri) parsed = NULL;

  if (equals_path_and_query (target, g_uri_get_path (uri),
                             g_uri_get_query (uri)))
    return TRUE;
  text = g_strconcat ("http://a", target, NULL);
  parsed = g_uri_parse (text, SOUP_HTTP_URI_FLAGS, NULL);
  return parsed != NULL &&
         g_strcmp0 (g_uri_get_path (parsed), g_uri_get_path (uri)) == 0 &&
         g_strcmp0 (g_uri_get_query (parsed), g_uri_get_query (uri)) == 0;
}

/* The path of M's request with its query, as the caller sent it; NULL if it was
 * not recorded.  The result is valid as long as M. */
const char *
cc_caller_target (SoupServerMessage *m)
{
  const char *target = g_object_get_data (G_OBJECT (m), TARGET_KEY);
  const char *path = target != NULL ? skip_authority (target) : NULL;

  if (path == NULL || !is_origin_form (path) ||
      !is_equivalent (path, soup_server_message_get_uri (m)))
    return NULL;
  return path;
}
