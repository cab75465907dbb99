#include "cold_message.h"

#include "peer_datagrams.h"

/* Id, born, rate, number, former requests; address of the sender, priority,
 * tokens wanted, demand. */
#define ASK "(stduusuu(uuuu))"
#define ANSWER "(stuuux)" /* id, born, number, priority, tokens, wait */
#define NOTICE "(stx)"    /* id, born, left */

/* Returns the datagram with ASK; the caller unrefs it. */
GBytes *
cc_cold_message_ask (const CcLimitAsk *ask)
{
  return cc_datagram_seal (
      CC_DATAGRAM_COLD_ASK,
      g_variant_new (ASK, ask->id, ask->born, ask->rate, ask->number,
                     ask->burst.former, ask->gateway, ask->priority,
                     ask->wanted, ask->demand[0], ask->demand[1],
                     ask->demand[2], ask->demand[3]));
}

/* Returns the datagram with A; the caller unrefs it. */
GBytes *
cc_cold_message_answer (const CcColdAnswer *a)
{
  return cc_datagram_seal (CC_DATAGRAM_COLD_ANSWER,
                           g_variant_new (ANSWER, a->id, a->born, a->number,
                                          a->priority, a->grant.granted,
                                          a->grant.wait));
}

/* Reads DATAGRAM into ASK.  Returns what it refers to, which the caller unrefs,
 * or NULL if it is no question. */
GVariant *
cc_cold_message_read_ask (GBytes *datagram, CcLimitAsk *ask)
{
  g_autoptr (GVariant) v =
      cc_datagram_open (datagram, CC_DATAGRAM_COLD_ASK, ASK);

  if (v == NULL)
    return NULL;
  *ask = (CcLimitAsk){ 0 };
  g_variant_get (v, "(&stduu&suu(uuuu))", &ask->id, &ask->born, &ask->rate,
                 &ask->number, &ask->burst.former, &ask->gateway,
                 &ask->priority, &ask->wanted, &ask->demand[0], &ask->demand[1],
                 &ask->demand[2], &ask->demand[3]);
  cc_limit_ask_bound (ask);
  return cc_limit_rate_is_valid (ask->rate) ? g_steal_pointer (&v) : NULL;
}

/* Reads DATAGRAM into A.  Returns what it refers to, which the caller unrefs,
 * or NULL if it is no answer. */
GVariant *
cc_cold_message_read_answer (GBytes *datagram, CcColdAnswer *a)
{
  GVariant *v = cc_datagram_open (datagram, CC_DATAGRAM_COLD_ANSWER, ANSWER);

  if (v == NULL)
    return NULL;
  g_variant_get (v, "(&stuuux)", &a->id, &a->born, &a->number, &a->priority,
                 &a->grant.granted, &a->grant.wait);
  cc_limit_grant_bound (&a->grant);
  return v;
}

/* Returns the datagram with N; the caller unrefs it. */
GBytes *
cc_cold_message_notice (const CcColdNotice *n)
{
  return cc_datagram_seal (CC_DATAGRAM_COLD_NOTICE,
                           g_variant_new (NOTICE, n->id, n->born, n->left));
}

/* Reads DATAGRAM into N.  Returns what it refers to, which the caller unrefs,
 * or NULL if it is no notice. */
GVariant *
cc_cold_message_read_notice (GBytes *datagram, CcColdNotice *n)
{
  GVariant *v = cc_datagram_open (datagram, CC_DATAGRAM_COLD_NOTICE, NOTICE);

  if (v != NULL)
    g_variant_get (v, "(&stx)", &n->id, &n->born, &n->left);
  return v;
}
