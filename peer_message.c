/* Messages are GVariants in normal form, with a version and a payload.  A
 * message of another version or type is rejected as a whole. */
#include "peer_message.h"

#include <math.h>

#include "edge.h"

#define VERSION 1
#define ENVELOPE "(uv)"
#define REQUEST "(sbsbuuxxbsisssay)"
/* A request with the home regions that may serve it, if any.  Builds that know
 * neither these nor evacuated zones refuse it for its type, and would otherwise
 * send it to any upstream. */
#define RESTRICTED "(" REQUEST "mas)"
#define REPLY "(uusuxsuuxxxxdbayay)"

/* Bounds of what is believed of another gateway: longer times than any
 * configuration allows, more attempts than any upstreams. */
#define TIME_MAX ((gint64) 30 * 86400 * CC_SECOND)
#define RETRY_AFTER_MAX (3600 * CC_SECOND)
#define ATTEMPTS_MAX 1000u
#define REASON_MAX 64 /* bytes */

/* Returns PAYLOAD, which is consumed, in an envelope. */
static GBytes *
seal (GVariant *payload)
{
  g_autoptr (GVariant) all =
      g_variant_ref_sink (g_variant_new (ENVELOPE, VERSION, payload));

  return g_variant_get_data_as_bytes (all);
}

/* Returns the payload of BYTES, which must be of TYPE, or NULL. */
static GVariant *
unseal (GBytes *bytes, const char *type)
{
  g_autoptr (GVariant) all = g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE (ENVELOPE), bytes, FALSE));
  g_autoptr (GVariant) payload = NULL;
  guint32 version;

  if (!g_variant_is_normal_form (all))
    return NULL;
  g_variant_get (all, ENVELOPE, &version, &payload);
  if (version != VERSION ||
      !g_variant_is_of_type (payload, G_VARIANT_TYPE (type)))
    return NULL;
  return g_steal_pointer (&payload);
}

/* Returns the request in BYTES, of either type, or NULL. */
static GVariant *
unseal_any (GBytes *bytes)
{
  GVariant *v = unseal (bytes, REQUEST);

  return v != NULL ? v : unseal (bytes, RESTRICTED);
}

/* Returns a floating byte array of BYTES; NULL is empty. */
static GVariant *
new_bytes (GBytes *bytes)
{
  if (bytes == NULL)
    return g_variant_new_array (G_VARIANT_TYPE_BYTE, NULL, 0);
  return g_variant_new_from_bytes (G_VARIANT_TYPE_BYTESTRING, bytes, TRUE);
}

/* Encodes R; the caller unrefs the result. */
GBytes *
cc_peer_request_encode (const CcPeerRequest *r)
{
  GVariant *request = g_variant_new (
      "(sbsbuuxxbsisss@ay)", r->pool, r->keyed, r->route, r->idempotent,
      r->attempts, r->priority, r->target, r->left, r->earns_budget, r->id,
      r->key, r->method, r->path, r->headers, new_bytes (r->body));

  if (!r->restricted)
    return seal (request);
  return seal (g_variant_new ("(@" REQUEST "m^as)", request, r->homes));
}

/* Decodes BYTES into R, which is valid as long as the returned GVariant and is
 * to be cleared.  Returns NULL if BYTES are not a request. */
GVariant *
cc_peer_request_decode (GBytes *bytes, CcPeerRequest *r)
{
  g_autoptr (GVariant) all = unseal_any (bytes);
  g_autoptr (GVariant) v = NULL;
  g_autoptr (GVariant) body = NULL;

  if (all == NULL)
    return NULL;
  r->homes = NULL;
  r->restricted = g_variant_is_of_type (all, G_VARIANT_TYPE (RESTRICTED));
  if (r->restricted)
    g_variant_get (all, "(@" REQUEST "m^as)", &v, &r->homes);
  else
    v = g_variant_ref (all);
  g_variant_get (v, "(&sb&sbuuxxb&si&s&s&s@ay)", &r->pool, &r->keyed, &r->route,
                 &r->idempotent, &r->attempts, &r->priority, &r->target,
                 &r->left, &r->earns_budget, &r->id, &r->key, &r->method,
                 &r->path, &r->headers, &body);
  if (r->key < -1 || r->key >= CC_KEYS)
    {
      g_clear_pointer (&r->homes, g_strfreev);
      return NULL;
    }
  r->attempts = MIN (r->attempts, ATTEMPTS_MAX);
  r->target = CLAMP (r->target, 0, TIME_MAX);
  r->left = CLAMP (r->left, 0, TIME_MAX);
  r->body = g_variant_get_data_as_bytes (body);
  return g_steal_pointer (&all);
}

/* Frees what decoding allocated for R. */
void
cc_peer_request_clear (CcPeerRequest *r)
{
  g_strfreev (r->homes);
  g_bytes_unref (r->body);
}

/* Encodes R; the caller unrefs the result. */
GBytes *
cc_peer_reply_encode (const CcPeerReply *r)
{
  const CcExchangeResult *e = &r->result;

  return seal (g_variant_new (
      "(uusuxsuuxxxxdb@ay@ay)", (guint32) r->end, (guint32) e->kind, e->reason,
      e->status, e->retry_after, e->target, e->attempts, e->waiting, e->waited,
      e->served, e->leaving, e->expected, e->inside, e->unreachable,
      e->headers != NULL ? e->headers : new_bytes (NULL), new_bytes (e->body)));
}

/* Whether TEXT is one word or empty: a reason is written into a header, a JSON
 * text and a label. */
static gboolean
is_reason (const char *text)
{
  const char *c = text;

  while (g_ascii_isalnum (*c) || *c == '-' || *c == '_')
    c++;
  return *c == '\0' && c - text <= REASON_MAX;
}

/* Whether the result R of another gateway is one. */
static gboolean
is_result (const CcExchangeResult *r)
{
  return r->kind <= CC_EXCHANGE_UNKNOWN && is_reason (r->reason) &&
         (r->kind != CC_EXCHANGE_ANSWERED || cc_status_is_final (r->status));
}

/* Bounds the numbers in the result R of another gateway. */
static void
bound_result (CcExchangeResult *r)
{
  r->retry_after = CLAMP (r->retry_after, 0, RETRY_AFTER_MAX);
  r->attempts = MIN (r->attempts, ATTEMPTS_MAX);
  r->waited = CLAMP (r->waited, 0, TIME_MAX);
  r->served = CLAMP (r->served, 0, TIME_MAX);
  r->leaving = CLAMP (r->leaving, -1, TIME_MAX);
  r->expected = CLAMP (r->expected, 0, TIME_MAX);
  r->inside = isfinite (r->inside) ? MAX (r->inside, 0.0) : 0.0;
}

/* Decodes BYTES into R, which is valid as long as the returned GVariant and is
 * to be cleared.  Returns NULL if BYTES are not a reply. */
GVariant *
cc_peer_reply_decode (GBytes *bytes, CcPeerReply *r)
{
  g_autoptr (GVariant) v = unseal (bytes, REPLY);
  CcExchangeResult *e = &r->result;
  g_autoptr (GVariant) body = NULL;
  guint32 end, kind;

  *r = (CcPeerReply){ 0 };
  if (v == NULL)
    return NULL;
  g_variant_get (v, "(uu&sux&suuxxxxdb@ay@ay)", &end, &kind, &e->reason,
                 &e->status, &e->retry_after, &e->target, &e->attempts,
                 &e->waiting, &e->waited, &e->served, &e->leaving, &e->expected,
                 &e->inside, &e->unreachable, &e->headers, &body);
  r->end = end;
  e->kind = kind;
  e->body = g_variant_get_data_as_bytes (body);
  if (end > CC_PEER_BUSY || !is_result (e))
    {
      cc_peer_reply_clear (r);
      return NULL;
    }
  bound_result (e);
  return g_steal_pointer (&v);
}

/* Frees what decoding allocated for R. */
void
cc_peer_reply_clear (CcPeerReply *r)
{
  g_variant_unref (r->result.headers);
  g_bytes_unref (r->result.body);
}
