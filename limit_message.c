#include "limit_message.h"

#include "peer_datagrams.h"

#define LIMIT "(stdx)" /* id, born, rate, stamp */
#define LIMITS "a" LIMIT
/* Limit; address of the sender, priority, tokens wanted, demand. */
#define ASK "(" LIMIT "suu(uuuu))"
#define ANSWER "(" LIMIT "uux)" /* limit, priority, tokens, wait */
/* The same with the number of the question, which older builds don't know. */
#define NUMBERED_ASK "(u" ASK ")"
#define NUMBERED_ANSWER "(u" ANSWER ")"
#define USED "(s)" /* id */

G_STATIC_ASSERT (CC_LIMIT_PRIORITIES == 4);

static GVariant *
pack_limit (const CcUpstreamLimit *l)
{
  return g_variant_new (LIMIT, l->id, l->born, l->rate, l->stamp);
}

/* Reads V, which LIMIT refers to from then on.  Returns FALSE if its rate is no
 * number. */
static gboolean
unpack_limit (GVariant *v, CcUpstreamLimit *limit)
{
  g_variant_get (v, "(&stdx)", &limit->id, &limit->born, &limit->rate,
                 &limit->stamp);
  return cc_limit_rate_is_valid (limit->rate);
}

/* Returns the datagram with LIMITS (of CcUpstreamLimit); the caller unrefs it.
 */
GBytes *
cc_limit_message_limits (const GArray *limits)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE (LIMITS));
  for (guint i = 0; i < limits->len; i++)
    g_variant_builder_add_value (
        &b, pack_limit (&g_array_index (limits, CcUpstreamLimit, i)));
  return cc_datagram_seal (CC_DATAGRAM_LIMITS, g_variant_builder_end (&b));
}

/* Returns PAYLOAD, which is consumed, in a datagram of the kind PLAIN, or with
 * NUMBER, unless that is 0, in one of the kind NUMBERED. */
static GBytes *
seal (GVariant *payload, guint32 number, CcDatagramKind plain,
      CcDatagramKind numbered)
{
  if (number == 0)
    return cc_datagram_seal (plain, payload);
  return cc_datagram_seal (numbered, g_variant_new ("(u@*)", number, payload));
}

/* Opens DATAGRAM, of the kind PLAIN and TYPE or of the kind NUMBERED and
 * NUMBERED_TYPE, and sets *NUMBER, 0 without one.  Returns NULL if it is
 * neither. */
static GVariant *
open_either (GBytes *datagram, CcDatagramKind plain, const char *type,
             CcDatagramKind numbered, const char *numbered_type,
             guint32 *number)
{
  g_autoptr (GVariant) v = cc_datagram_open (datagram, numbered, numbered_type);
  GVariant *payload;

  *number = 0;
  if (v == NULL)
    return cc_datagram_open (datagram, plain, type);
  g_variant_get (v, "(u@*)", number, &payload);
  return payload;
}

/* Returns the datagram with ASK and what its sender knows of the LIMIT; the
 * caller unrefs it. */
GBytes *
cc_limit_message_ask (const CcLimitAsk *ask, const CcUpstreamLimit *limit)
{
  return seal (
      g_variant_new ("(@" LIMIT "suu(uuuu))", pack_limit (limit), ask->gateway,
                     ask->priority, ask->wanted, ask->demand[0], ask->demand[1],
                     ask->demand[2], ask->demand[3]),
      ask->number, CC_DATAGRAM_LIMIT_ASK, CC_DATAGRAM_LIMIT_NUMBERED_ASK);
}

/* Returns the datagram with A; the caller unrefs it. */
GBytes *
cc_limit_message_answer (const CcLimitAnswer *a)
{
  return seal (g_variant_new ("(@" LIMIT "uux)", pack_limit (&a->limit),
                              a->priority, a->grant.granted, a->grant.wait),
               a->number, CC_DATAGRAM_LIMIT_ANSWER,
               CC_DATAGRAM_LIMIT_NUMBERED_ANSWER);
}

/* Appends the limits in DATAGRAM whose rates are numbers to LIMITS.  Returns
 * what they refer to, which the caller unrefs, or NULL if there are none in it.
 */
GVariant *
cc_limit_message_read_limits (GBytes *datagram, GArray *limits)
{
  GVariant *all = cc_datagram_open (datagram, CC_DATAGRAM_LIMITS, LIMITS);

  for (gsize i = 0; all != NULL && i < g_variant_n_children (all); i++)
    {
      g_autoptr (GVariant) one = g_variant_get_child_value (all, i);
      CcUpstreamLimit limit;

      if (unpack_limit (one, &limit))
        g_array_append_val (limits, limit);
    }
  return all;
}

/* Reads DATAGRAM into ASK and LIMIT.  Returns what they refer to, or NULL if it
 * is no question. */
GVariant *
cc_limit_message_read_ask (GBytes *datagram, CcLimitAsk *ask,
                           CcUpstreamLimit *limit)
{
  guint32 number;
  g_autoptr (GVariant) v =
      open_either (datagram, CC_DATAGRAM_LIMIT_ASK, ASK,
                   CC_DATAGRAM_LIMIT_NUMBERED_ASK, NUMBERED_ASK, &number);
  g_autoptr (GVariant) of = NULL;

  if (v == NULL)
    return NULL;
  *ask = (CcLimitAsk){ .number = number };
  g_variant_get (v, "(@" LIMIT "&suu(uuuu))", &of, &ask->gateway,
                 &ask->priority, &ask->wanted, &ask->demand[0], &ask->demand[1],
                 &ask->demand[2], &ask->demand[3]);
  if (!unpack_limit (of, limit))
    return NULL;
  ask->id = limit->id;
  ask->born = limit->born;
  ask->rate = limit->rate;
  cc_limit_ask_bound (ask);
  return g_steal_pointer (&v);
}

/* Reads DATAGRAM into A.  Returns what it refers to, or NULL if it is no
 * answer.
 */
GVariant *
cc_limit_message_read_answer (GBytes *datagram, CcLimitAnswer *a)
{
  g_autoptr (GVariant) v = open_either (
      datagram, CC_DATAGRAM_LIMIT_ANSWER, ANSWER,
      CC_DATAGRAM_LIMIT_NUMBERED_ANSWER, NUMBERED_ANSWER, &a->number);
  g_autoptr (GVariant) of = NULL;

  if (v == NULL)
    return NULL;
  g_variant_get (v, "(@" LIMIT "uux)", &of, &a->priority, &a->grant.granted,
                 &a->grant.wait);
  cc_limit_grant_bound (&a->grant);
  return unpack_limit (of, &a->limit) ? g_steal_pointer (&v) : NULL;
}

/* Returns the datagram that reports a request to the upstream ID, which names a
 * limit; the caller unrefs it. */
GBytes *
cc_limit_message_used (const char *id)
{
  return cc_datagram_seal (CC_DATAGRAM_LIMIT_USED, g_variant_new (USED, id));
}

/* Reads DATAGRAM into ID.  Returns what it refers to, which the caller unrefs,
 * or NULL if it reports no request. */
GVariant *
cc_limit_message_read_used (GBytes *datagram, const char **id)
{
  GVariant *v = cc_datagram_open (datagram, CC_DATAGRAM_LIMIT_USED, USED);

  if (v != NULL)
    g_variant_get (v, "(&s)", id);
  return v;
}
