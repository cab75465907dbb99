#include "permit_message.h"

#include "peer_datagrams.h"

#define OWNER "stus"               /* id, born, slots, zone */
#define FULL "(" OWNER "s)"        /* owner, address */
#define OVERLOADED "(" OWNER "sb)" /* owner, address, overloaded */
#define QUESTION                                                               \
  "(" OWNER "suuux)" /* owner, address, number, priority, demand,              \
                    target */
#define ANSWER                                                                 \
  "(" OWNER "ubux)"            /* owner, number, overloaded, granted, wait     \
                                */
#define ENDED "(" OWNER "ubu)" /* owner, number, received, inside */

/* Bounds of what is believed of another gateway's message. */
#define WAIT_MAX (10 * CC_SECOND)
#define DEMAND_MAX 1000

/* Returns the datagram with M; the caller unrefs it. */
GBytes *
cc_permit_message_write (const CcPermitMessage *m)
{
  switch (m->kind)
    {
    case CC_PERMIT_MESSAGE_NONE:
      break;
    case CC_PERMIT_MESSAGE_FULL:
      return cc_datagram_seal (
          CC_DATAGRAM_OWNER_FULL,
          g_variant_new (FULL, m->full.owner.id, m->full.owner.born,
                         m->full.owner.slots, m->full.owner.zone,
                         m->full.address));
    case CC_PERMIT_MESSAGE_OVERLOADED:
      return cc_datagram_seal (
          CC_DATAGRAM_OWNER_OVERLOADED,
          g_variant_new (OVERLOADED, m->overloaded.owner.id,
                         m->overloaded.owner.born, m->overloaded.owner.slots,
                         m->overloaded.owner.zone, m->overloaded.address,
                         m->overloaded.overloaded));
    case CC_PERMIT_MESSAGE_QUESTION:
      return cc_datagram_seal (
          CC_DATAGRAM_PERMIT_ASK,
          g_variant_new (QUESTION, m->question.owner.id, m->question.owner.born,
                         m->question.owner.slots, m->question.owner.zone,
                         m->question.address, m->question.number,
                         m->question.ask.priority, m->question.ask.demand,
                         m->question.ask.target));
    case CC_PERMIT_MESSAGE_ANSWER:
      return cc_datagram_seal (
          CC_DATAGRAM_PERMIT_ANSWER,
          g_variant_new (ANSWER, m->answer.owner.id, m->answer.owner.born,
                         m->answer.owner.slots, m->answer.owner.zone,
                         m->answer.number, m->answer.overloaded,
                         m->answer.grant.granted, m->answer.grant.wait));
    case CC_PERMIT_MESSAGE_ENDED:
      return cc_datagram_seal (
          CC_DATAGRAM_PERMIT_ENDED,
          g_variant_new (ENDED, m->ended.owner.id, m->ended.owner.born,
                         m->ended.owner.slots, m->ended.owner.zone,
                         m->ended.report.number, m->ended.report.received,
                         m->ended.report.inside));
    }
  return NULL;
}

static gboolean
read_full (GBytes *datagram, CcPermitMessage *m)
{
  CcOwnerFull *r = &m->full;

  m->payload = cc_datagram_open (datagram, CC_DATAGRAM_OWNER_FULL, FULL);
  if (m->payload == NULL)
    return FALSE;
  g_variant_get (m->payload, "(&stu&s&s)", &r->owner.id, &r->owner.born,
                 &r->owner.slots, &r->owner.zone, &r->address);
  m->kind = CC_PERMIT_MESSAGE_FULL;
  return TRUE;
}

static gboolean
read_overloaded (GBytes *datagram, CcPermitMessage *m)
{
  CcOwnerOverloaded *o = &m->overloaded;

  m->payload =
      cc_datagram_open (datagram, CC_DATAGRAM_OWNER_OVERLOADED, OVERLOADED);
  if (m->payload == NULL)
    return FALSE;
  g_variant_get (m->payload, "(&stu&s&sb)", &o->owner.id, &o->owner.born,
                 &o->owner.slots, &o->owner.zone, &o->address, &o->overloaded);
  m->kind = CC_PERMIT_MESSAGE_OVERLOADED;
  return TRUE;
}

static gboolean
read_question (GBytes *datagram, CcPermitMessage *m)
{
  CcPermitQuestion *q = &m->question;

  m->payload = cc_datagram_open (datagram, CC_DATAGRAM_PERMIT_ASK, QUESTION);
  if (m->payload == NULL)
    return FALSE;
  g_variant_get (m->payload, "(&stu&s&suuux)", &q->owner.id, &q->owner.born,
                 &q->owner.slots, &q->owner.zone, &q->address, &q->number,
                 &q->ask.priority, &q->ask.demand, &q->ask.target);
  q->ask.demand = MIN (q->ask.demand, DEMAND_MAX);
  m->kind = CC_PERMIT_MESSAGE_QUESTION;
  return TRUE;
}

static gboolean
read_answer (GBytes *datagram, CcPermitMessage *m)
{
  CcPermitAnswer *a = &m->answer;

  m->payload = cc_datagram_open (datagram, CC_DATAGRAM_PERMIT_ANSWER, ANSWER);
  if (m->payload == NULL)
    return FALSE;
  g_variant_get (m->payload, "(&stu&subux)", &a->owner.id, &a->owner.born,
                 &a->owner.slots, &a->owner.zone, &a->number, &a->overloaded,
                 &a->grant.granted, &a->grant.wait);
  a->grant.granted = MIN (a->grant.granted, DEMAND_MAX);
  a->grant.wait = CLAMP (a->grant.wait, 0, WAIT_MAX);
  m->kind = CC_PERMIT_MESSAGE_ANSWER;
  return TRUE;
}

static gboolean
read_ended (GBytes *datagram, CcPermitMessage *m)
{
  CcPermitEnded *e = &m->ended;

  m->payload = cc_datagram_open (datagram, CC_DATAGRAM_PERMIT_ENDED, ENDED);
  if (m->payload == NULL)
    return FALSE;
  g_variant_get (m->payload, "(&stu&subu)", &e->owner.id, &e->owner.born,
                 &e->owner.slots, &e->owner.zone, &e->report.number,
                 &e->report.received, &e->report.inside);
  m->kind = CC_PERMIT_MESSAGE_ENDED;
  return TRUE;
}

/* Reads DATAGRAM into M, which the caller clears with cc_permit_message_clear;
 * its kind is CC_PERMIT_MESSAGE_NONE if the datagram holds none of these
 * messages. */
void
cc_permit_message_read (GBytes *datagram, CcPermitMessage *m)
{
  static gboolean (*const readers[]) (GBytes *, CcPermitMessage *) = {
    read_question, read_answer, read_ended, read_overloaded, read_full
  };

  *m = (CcPermitMessage){ .kind = CC_PERMIT_MESSAGE_NONE };
  for (guint i = 0; i < G_N_ELEMENTS (readers); i++)
    if (readers[i](datagram, m))
      return;
}

/* Frees what M refers to. */
void
cc_permit_message_clear (CcPermitMessage *m)
{
  g_clear_pointer (&m->payload, g_variant_unref);
}
