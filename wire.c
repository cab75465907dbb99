/* Codec for messages, which are GVariants in little-endian normal form: an
 * envelope and a payload whose type follows from the kind.  A message that is
 * too large, not in normal form, of another version or of an unexpected type is
 * rejected as a whole, so that a corrupt length cannot reach its consumers. */
#include "wire.h"

#include "answer_rule.h"

#define ENVELOPE "(yytttxsv)"
#define TYPE_SYNC "(t)"
#define TYPE_ROWS "(tta(sts))"
#define TYPE_REQUEST "(sssssxtayayay)"
#define TYPE_REPLY "(ybsuuayay)"
#define TYPE_CANCEL "(t)"
#define TYPE_REPORT "(ssstuuua(ud)a(tud))"
#define TYPE_OUTCOMES "(suttxuba(syuayay))"
#define TYPE_VOTE "(ustt)"
#define TYPE_PING "(bt)"
#define TYPE_RELAY "(bus)"

static const char *const payload_types[] = {
  [CC_MSG_SYNC] = TYPE_SYNC,         [CC_MSG_ROWS] = TYPE_ROWS,
  [CC_MSG_REQUEST] = TYPE_REQUEST,   [CC_MSG_REPLY] = TYPE_REPLY,
  [CC_MSG_CANCEL] = TYPE_CANCEL,     [CC_MSG_REPORT] = TYPE_REPORT,
  [CC_MSG_OUTCOMES] = TYPE_OUTCOMES, [CC_MSG_VOTE] = TYPE_VOTE,
  [CC_MSG_RELAY] = TYPE_RELAY,       [CC_MSG_PING] = TYPE_PING,
};

static GVariant *
variant_from_bytes (GBytes *bytes)
{
  if (bytes == NULL)
    return g_variant_new_array (G_VARIANT_TYPE_BYTE, NULL, 0);
  return g_variant_new_from_bytes (G_VARIANT_TYPE_BYTESTRING, bytes, TRUE);
}

static GVariant *
array_or_empty (GVariant *v, const char *type)
{
  if (v != NULL)
    return v;
  return g_variant_new_array (g_variant_type_element (G_VARIANT_TYPE (type)),
                              NULL, 0);
}

static const char *
string_or_empty (const char *s)
{
  return s != NULL ? s : "";
}

static GVariant *
encode_request (const CcMsgRequest *r)
{
  return g_variant_new (
      "(sssssxt@ay@ay@ay)", string_or_empty (r->class_name),
      string_or_empty (r->tenant), string_or_empty (r->idempotency),
      string_or_empty (r->method), string_or_empty (r->path), r->deadline,
      r->epoch, variant_from_bytes (r->key), array_or_empty (r->headers, "ay"),
      variant_from_bytes (r->body));
}

static GVariant *
encode_reply (const CcMsgReply *r)
{
  return g_variant_new ("(ybsuu@ay@ay)", (guchar) r->outcome, r->reroute,
                        string_or_empty (r->reason), r->retry_after, r->status,
                        array_or_empty (r->headers, "ay"),
                        variant_from_bytes (r->body));
}

static GVariant *
encode_report (const CcMsgReport *r)
{
  return g_variant_new ("(ssstuuu@a(ud)@a(tud))", string_or_empty (r->instance),
                        string_or_empty (r->pool), string_or_empty (r->server),
                        r->applied, r->state, r->running, r->queued,
                        array_or_empty (r->loads, "a(ud)"),
                        array_or_empty (r->hot, "a(tud)"));
}

static GVariant *
encode_outcomes (const CcMsgOutcomes *o)
{
  return g_variant_new ("(suttxub@a(syuayay))", string_or_empty (o->pool),
                        o->slice, o->epoch, o->term, o->horizon, o->index,
                        o->last, array_or_empty (o->entries, "a(syuayay)"));
}

static GVariant *
encode_payload (const CcMessage *m)
{
  switch (m->kind)
    {
    case CC_MSG_SYNC:
      return g_variant_new (TYPE_SYNC, m->u.sync.upto);
    case CC_MSG_ROWS:
      return g_variant_new ("(tt@a(sts))", m->u.rows.since, m->u.rows.upto,
                            array_or_empty (m->u.rows.rows, "a(sts)"));
    case CC_MSG_REQUEST:
      return encode_request (&m->u.request);
    case CC_MSG_REPLY:
      return encode_reply (&m->u.reply);
    case CC_MSG_CANCEL:
      return g_variant_new (TYPE_CANCEL, m->u.cancel.request);
    case CC_MSG_REPORT:
      return encode_report (&m->u.report);
    case CC_MSG_OUTCOMES:
      return encode_outcomes (&m->u.outcomes);
    case CC_MSG_VOTE:
      return g_variant_new (TYPE_VOTE, m->u.vote.what,
                            string_or_empty (m->u.vote.instance),
                            m->u.vote.row_version, m->u.vote.ballot);
    case CC_MSG_RELAY:
      return g_variant_new (TYPE_RELAY, m->u.relay.answer, m->u.relay.status,
                            string_or_empty (m->u.relay.body));
    case CC_MSG_PING:
      return g_variant_new (TYPE_PING, m->u.ping.answer, m->u.ping.sequence);
    }
  g_assert_not_reached ();
}

/* Returns the encoding of M, to be sent as one message; the caller unrefs it.
 */
GBytes *
cc_wire_encode (const CcMessage *m)
{
  g_autoptr (GVariant) v = g_variant_ref_sink (g_variant_new (
      ENVELOPE, CC_WIRE_VERSION, (guchar) m->kind, m->from, m->to, m->id,
      m->expires, string_or_empty (m->reply_to), encode_payload (m)));

  return g_variant_get_data_as_bytes (v);
}

/* Returns the contents of V and drops the reference to it. */
static GBytes *
bytes_from_variant (GVariant *v)
{
  GBytes *bytes = g_variant_get_data_as_bytes (v);

  g_variant_unref (v);
  return bytes;
}

static void
decode_request (GVariant *v, CcMsgRequest *r)
{
  GVariant *key, *body;

  g_variant_get (v, "(&s&s&s&s&sxt@ay@ay@ay)", &r->class_name, &r->tenant,
                 &r->idempotency, &r->method, &r->path, &r->deadline, &r->epoch,
                 &key, &r->headers, &body);
  r->key = bytes_from_variant (key);
  r->body = bytes_from_variant (body);
}

/* Decodes a reply.  Returns FALSE if its outcome is out of range.  Older builds
 * pass on answers with statuses that HTTP does not define, which tell nothing
 * of the request. */
static gboolean
decode_reply (GVariant *v, CcMsgReply *r)
{
  GVariant *body;
  guchar outcome;

  g_variant_get (v, "(yb&suu@ay@ay)", &outcome, &r->reroute, &r->reason,
                 &r->retry_after, &r->status, &r->headers, &body);
  r->outcome = outcome == CC_OUTCOME_RUN && !cc_status_is_final (r->status)
                   ? CC_OUTCOME_UNKNOWN
                   : (CcOutcome) outcome;
  r->body = bytes_from_variant (body);
  return outcome <= CC_OUTCOME_UNKNOWN;
}

static gboolean
decode_payload (GVariant *v, CcMessage *m)
{
  CcMsgReport *r = &m->u.report;
  CcMsgOutcomes *o = &m->u.outcomes;

  switch (m->kind)
    {
    case CC_MSG_SYNC:
      g_variant_get (v, TYPE_SYNC, &m->u.sync.upto);
      return TRUE;
    case CC_MSG_ROWS:
      g_variant_get (v, "(tt@a(sts))", &m->u.rows.since, &m->u.rows.upto,
                     &m->u.rows.rows);
      return TRUE;
    case CC_MSG_REQUEST:
      decode_request (v, &m->u.request);
      return TRUE;
    case CC_MSG_REPLY:
      return decode_reply (v, &m->u.reply);
    case CC_MSG_CANCEL:
      g_variant_get (v, TYPE_CANCEL, &m->u.cancel.request);
      return TRUE;
    case CC_MSG_REPORT:
      g_variant_get (v, "(&s&s&stuuu@a(ud)@a(tud))", &r->instance, &r->pool,
                     &r->server, &r->applied, &r->state, &r->running,
                     &r->queued, &r->loads, &r->hot);
      return TRUE;
    case CC_MSG_OUTCOMES:
      g_variant_get (v, "(&suttxub@a(syuayay))", &o->pool, &o->slice, &o->epoch,
                     &o->term, &o->horizon, &o->index, &o->last, &o->entries);
      return TRUE;
    case CC_MSG_VOTE:
      g_variant_get (v, "(u&stt)", &m->u.vote.what, &m->u.vote.instance,
                     &m->u.vote.row_version, &m->u.vote.ballot);
      return TRUE;
    case CC_MSG_RELAY:
      g_variant_get (v, "(bu&s)", &m->u.relay.answer, &m->u.relay.status,
                     &m->u.relay.body);
      return TRUE;
    case CC_MSG_PING:
      g_variant_get (v, TYPE_PING, &m->u.ping.answer, &m->u.ping.sequence);
      return TRUE;
    }
  return FALSE;
}

/* Decodes the envelope and then the payload, whose type must match the kind. */
static CcStatus
decode_envelope (GVariant *v, CcMessage *m)
{
  g_autoptr (GVariant) payload = NULL;
  guchar version, kind;

  g_variant_get (v, "(yytttx&sv)", &version, &kind, &m->from, &m->to, &m->id,
                 &m->expires, &m->reply_to, &payload);
  if (version != CC_WIRE_VERSION || kind >= G_N_ELEMENTS (payload_types) ||
      payload_types[kind] == NULL ||
      !g_variant_is_of_type (payload, G_VARIANT_TYPE (payload_types[kind])))
    return CC_INVALID;
  m->kind = (CcMessageKind) kind;
  return decode_payload (payload, m) ? CC_OK : CC_INVALID;
}

/* Decodes BYTES into M, whose strings stay valid until cc_message_clear.
 * Returns CC_INVALID, with M empty, for anything but a well-formed message. */
CcStatus
cc_wire_decode (GBytes *bytes, CcMessage *m)
{
  *m = (CcMessage){ 0 };
  if (g_bytes_get_size (bytes) > CC_WIRE_MAX)
    return CC_INVALID;
  m->backing = g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE (ENVELOPE), bytes, FALSE));
  if (g_variant_is_normal_form (m->backing) &&
      decode_envelope (m->backing, m) == CC_OK)
    return CC_OK;
  cc_message_clear (m);
  return CC_INVALID;
}

/* Frees the contents of a decoded M and clears it. */
void
cc_message_clear (CcMessage *m)
{
  switch (m->kind)
    {
    case CC_MSG_REQUEST:
      g_clear_pointer (&m->u.request.key, g_bytes_unref);
      g_clear_pointer (&m->u.request.headers, g_variant_unref);
      g_clear_pointer (&m->u.request.body, g_bytes_unref);
      break;
    case CC_MSG_REPLY:
      g_clear_pointer (&m->u.reply.headers, g_variant_unref);
      g_clear_pointer (&m->u.reply.body, g_bytes_unref);
      break;
    case CC_MSG_ROWS:
      g_clear_pointer (&m->u.rows.rows, g_variant_unref);
      break;
    case CC_MSG_REPORT:
      g_clear_pointer (&m->u.report.loads, g_variant_unref);
      g_clear_pointer (&m->u.report.hot, g_variant_unref);
      break;
    case CC_MSG_OUTCOMES:
      g_clear_pointer (&m->u.outcomes.entries, g_variant_unref);
      break;
    case CC_MSG_SYNC:
    case CC_MSG_CANCEL:
    case CC_MSG_VOTE:
    case CC_MSG_RELAY:
    case CC_MSG_PING:
      break;
    }
  g_clear_pointer (&m->backing, g_variant_unref);
  *m = (CcMessage){ 0 };
}
