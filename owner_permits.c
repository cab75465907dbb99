/* A gateway that finds the queue of an owner full reports that to the gateway
 * that grants permits for it (permit_source.h), which notifies all others when
 * the owner is overloaded.  From then on each request to it needs a permit, for
 * which its gateway asks, by datagram.
 *
 * Who grants permits for an owner follows from its id and the members of the
 * fleet, by rendezvous hashing, so that the owners of an overloaded pool are
 * divided among all.  One that does not answer, since it is gone, out of reach
 * or of an older build, is passed over for some seconds.  Gateways may thus
 * disagree for a while.  Then each side sees the requests of the other in the
 * owner's reports of its load, and permits the fewer. */
#include "owner_permits.h"

#include <string.h>

#include <xxhash.h>

#include "clock.h"
#include "metrics.h"

/* A gateway that did not answer so many questions in a row, or a report in
 * REPORT_TIMEOUT, is not asked for LOST_TIME, which doubles each time. */
#define UNANSWERED_MAX 6
#define REPORT_TIMEOUT (100 * CC_MS)
#define LOST_TIME (2 * CC_SECOND)
#define LOST_TIME_MAX (16 * CC_SECOND)
/* Permits must be used within this time after they were asked for. */
#define PERMIT_VALID (150 * CC_MS)
/* A notice of overload holds for so long without another or an answer. */
#define NOTICE_VALID (6 * CC_SECOND)
/* A full queue is reported at most once in this time. */
#define REPORT_PERIOD (20 * CC_MS)
/* Owners without an update for this long are forgotten. */
#define FORGET_AFTER (10 * CC_SECOND)

/* A gateway of the fleet, or this one. */
typedef struct
{
  char *address;
  char *zone;
  gint64 lost_until; /* is not asked until then, us */
  gint64 lost_span;  /* length of the last such time, us; 0: it answers */
} Member;

/* What this gateway knows of an owner whose queue was full. */
typedef struct
{
  CcPermitOwner of;        /* its ID is the key of the table */
  gint64 until;            /* requests need permits until then, us */
  gint64 reported_at;      /* when its queue was last reported full, us */
  gboolean report_pending; /* that has not been answered */
  guint permits;
  gint64 permits_until;      /* us */
  guint demand;              /* requests since the last question */
  CcPermitQuestion question; /* the last one */
  gint64 asked_at;           /* question without an answer, us; 0: none */
  gint64 repeated_at;        /* when it was last sent, us */
  guint unanswered;          /* times in a row that one was sent */
  gint64 refused_until[CC_PERMIT_PRIORITIES]; /* us */
} Owner;

struct CcOwnerPermits
{
  CcOwnerPermitsSetup setup;
  CcPermitSource *source; /* for the owners whose permits this gateway grants */
  GHashTable *owners;     /* id to Owner */
  GPtrArray *members;     /* of Member */
  guint32 number;         /* of the last question or end */
};

static void
member_free (gpointer data)
{
  Member *m = data;

  g_free (m->address);
  g_free (m->zone);
  g_free (m);
}

/* Returns a gateway's part of the permits, without peers.  SETUP is copied. */
CcOwnerPermits *
cc_owner_permits_new (const CcOwnerPermitsSetup *setup)
{
  CcOwnerPermits *p = g_new0 (CcOwnerPermits, 1);

  p->setup = *setup;
  p->source = cc_permit_source_new ();
  p->owners = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->members = g_ptr_array_new_with_free_func (member_free);
  p->number = g_random_int ();
  cc_owner_permits_clear_peers (p);
  return p;
}

/* Frees P. */
void
cc_owner_permits_free (CcOwnerPermits *p)
{
  g_ptr_array_unref (p->members);
  g_hash_table_unref (p->owners);
  cc_permit_source_free (p->source);
  g_free (p);
}

/* Removes all other gateways from P. */
void
cc_owner_permits_clear_peers (CcOwnerPermits *p)
{
  g_ptr_array_set_size (p->members, 0);
  cc_owner_permits_add_peer (p, p->setup.address, p->setup.zone);
}

/* Adds the gateway at ADDRESS in ZONE. */
void
cc_owner_permits_add_peer (CcOwnerPermits *p, const char *address,
                           const char *zone)
{
  Member *m = g_new0 (Member, 1);

  m->address = g_strdup (address);
  m->zone = g_strdup (zone);
  g_ptr_array_add (p->members, m);
}

/* Returns whether M may grant permits for owners in ZONE, NULL: in any. */
static gboolean
is_candidate (const Member *m, const char *zone, gint64 now)
{
  return now >= m->lost_until && (zone == NULL || g_str_equal (m->zone, zone));
}

/* Returns the gateway in ZONE, NULL: in any, that grants permits for the owner
 * ID at NOW, us; NULL: there is none. */
static Member *
choose_source (const CcOwnerPermits *p, const char *id, const char *zone,
               gint64 now)
{
  XXH64_hash_t seed = XXH3_64bits (id, strlen (id)), best = 0;
  Member *source = NULL;

  for (guint i = 0; i < p->members->len; i++)
    {
      Member *m = p->members->pdata[i];
      XXH64_hash_t hash =
          XXH3_64bits_withSeed (m->address, strlen (m->address), seed);

      if (!is_candidate (m, zone, now) || (source != NULL && hash < best))
        continue;
      best = hash;
      source = m;
    }
  return source;
}

/* Returns the gateway that grants permits for OWNER at NOW, us: one in its
 * zone, which whoever reaches the owner reaches as well.  This one is never
 * passed over. */
static Member *
source_of (const CcOwnerPermits *p, const CcPermitOwner *owner, gint64 now)
{
  Member *m = choose_source (p, owner->id, owner->zone, now);

  return m != NULL ? m : choose_source (p, owner->id, NULL, now);
}

/* Returns whether this gateway grants the permits for OWNER. */
static gboolean
is_source (const CcOwnerPermits *p, const CcPermitOwner *owner, gint64 now)
{
  return source_of (p, owner, now) == p->members->pdata[0];
}

/* The gateway that grants permits for OWNER does not answer. */
static void
source_lost (const CcOwnerPermits *p, const CcPermitOwner *owner, gint64 now)
{
  Member *m = source_of (p, owner, now);

  if (m == p->members->pdata[0])
    return;
  m->lost_span = CLAMP (2 * m->lost_span, LOST_TIME, LOST_TIME_MAX);
  m->lost_until = now + m->lost_span;
}

/* Returns the entry of OWNER, which is created if needed. */
static Owner *
find (CcOwnerPermits *p, const CcPermitOwner *owner)
{
  Owner *o = g_hash_table_lookup (p->owners, owner->id);
  char *id;

  if (o != NULL && o->of.born == owner->born)
    return o;
  o = g_new0 (Owner, 1);
  id = g_strdup (owner->id);
  o->of = (CcPermitOwner){ id, owner->born, owner->slots,
                           g_intern_string (owner->zone) };
  g_hash_table_replace (p->owners, id, o);
  p->setup.wake (p->setup.data);
  return o;
}

static void
send_to (const CcOwnerPermits *p, const char *address, const CcPermitMessage *m)
{
  g_autoptr (GBytes) datagram = cc_permit_message_write (m);

  p->setup.send (address, datagram, p->setup.data);
}

/* ---- overload ---- */

/* Returns the notice of P that OWNER is OVERLOADED or not. */
static CcPermitMessage
notice_of (const CcOwnerPermits *p, const CcPermitOwner *owner,
           gboolean overloaded)
{
  return (CcPermitMessage){ .kind = CC_PERMIT_MESSAGE_OVERLOADED,
                            .overloaded = { *owner, p->setup.address,
                                            overloaded } };
}

static void
set_overloaded (Owner *o, gboolean overloaded, gint64 now)
{
  o->report_pending = FALSE;
  o->until = overloaded ? now + NOTICE_VALID : MIN (o->until, now);
}

/* Handles the notice N.  That an owner is not overloaded counts only from the
 * gateway that this one asks: another may see too few of the requests. */
static void
handle_notice (CcOwnerPermits *p, const CcOwnerOverloaded *n, gint64 now)
{
  const Member *source = source_of (p, &n->owner, now);

  if (n->overloaded || g_str_equal (n->address, source->address))
    set_overloaded (find (p, &n->owner), n->overloaded, now);
}

/* Notifies this gateway and all others that OWNER is overloaded. */
static void
notify_all (const CcPermitOwner *owner, gpointer data)
{
  CcOwnerPermits *p = data;
  CcPermitMessage m = notice_of (p, owner, TRUE);
  g_autoptr (GBytes) datagram = cc_permit_message_write (&m);

  handle_notice (p, &m.overloaded, cc_clock_now ());
  p->setup.broadcast (datagram, p->setup.data);
}

/* Counts a report that the queue of OWNER is full.  Returns whether it is
 * overloaded. */
static gboolean
count_full (CcOwnerPermits *p, const CcPermitOwner *owner, gint64 now)
{
  gboolean overloaded = cc_permit_source_owner_full (p->source, owner, now);

  if (overloaded)
    (void) cc_permit_source_tick (p->source, now, notify_all, p);
  p->setup.wake (p->setup.data);
  return overloaded;
}

/* Reports that the queue of O is full to the gateway that grants its permits.
 */
static void
report_full (CcOwnerPermits *p, Owner *o, gint64 now)
{
  CcPermitMessage m = { .kind = CC_PERMIT_MESSAGE_FULL,
                        .full = { o->of, p->setup.address } };

  o->reported_at = now;
  o->report_pending = !is_source (p, &o->of, now);
  if (o->report_pending)
    send_to (p, source_of (p, &o->of, now)->address, &m);
  else
    (void) count_full (p, &o->of, now);
}

/* This gateway has found the queue of OWNER full at NOW, us: it has reset a
 * request, or reported more waiting ones than it can serve in time. */
void
cc_owner_permits_owner_full (CcOwnerPermits *p, const CcPermitOwner *owner,
                             gint64 now)
{
  static CcCounter *reports;
  Owner *o = find (p, owner);

  if (now < o->until || now - o->reported_at < REPORT_PERIOD)
    return;
  if (reports == NULL)
    reports = cc_metrics_counter ("capercrank_full_owner_reports", "");
  ++*reports;
  report_full (p, o, now);
}

/* Returns whether requests to the owner ID that started at BORN need permits at
 * NOW, us. */
gboolean
cc_owner_permits_are_needed (const CcOwnerPermits *p, const char *id,
                             guint64 born, gint64 now)
{
  const Owner *o = g_hash_table_lookup (p->owners, id);

  return o != NULL && o->of.born == born && now < o->until;
}

/* ---- permits ---- */

/* Counts a request that needs a permit of the owner ID. */
void
cc_owner_permits_count (CcOwnerPermits *p, const char *id)
{
  Owner *o = g_hash_table_lookup (p->owners, id);

  if (o != NULL)
    o->demand++;
}

/* Counts GRANT, the answer to a question. */
static void
count_answer (const CcPermitGrant *grant)
{
  static CcCounter *counters[2]; /* by granted */
  CcCounter **c = &counters[grant->granted > 0];

  if (*c == NULL)
    *c = cc_metrics_counter ("capercrank_permit_questions",
                             grant->granted > 0 ? "answer=\"granted\""
                                                : "answer=\"refused\"");
  ++**c;
}

/* Applies GRANT, the answer to the last question about O, which is OVERLOADED
 * or not. */
static void
apply_grant (Owner *o, const CcPermitGrant *grant, gboolean overloaded,
             gint64 now)
{
  guint class = MIN (o->question.ask.priority, CC_PERMIT_PRIORITIES - 1);

  count_answer (grant);
  set_overloaded (o, overloaded, now);
  o->unanswered = 0;
  if (grant->granted > 0)
    {
      o->permits = grant->granted;
      o->permits_until = (o->asked_at != 0 ? o->asked_at : now) + PERMIT_VALID;
    }
  else
    for (; class < CC_PERMIT_PRIORITIES; class ++)
      o->refused_until[class] =
          MAX (o->refused_until[class], now + grant->wait);
  o->asked_at = 0;
}

/* Sends the question about O, perhaps again, or answers it here.  The same
 * number gets the same answer. */
static void
send_question (CcOwnerPermits *p, Owner *o, gint64 now)
{
  CcPermitMessage m = { .kind = CC_PERMIT_MESSAGE_QUESTION,
                        .question = o->question };
  CcPermitGrant grant;

  if (is_source (p, &o->of, now))
    {
      gboolean overloaded =
          cc_permit_source_ask (p->source, &o->question, now, &grant);

      apply_grant (o, &grant, overloaded, now);
      return;
    }
  o->repeated_at = now;
  o->unanswered++;
  send_to (p, source_of (p, &o->of, now)->address, &m);
}

/* Asks for permits of O, for the request R. */
static void
ask (CcOwnerPermits *p, Owner *o, const CcPermitRequest *r, gint64 now)
{
  o->question = (CcPermitQuestion){
    o->of, p->setup.address, ++p->number, { r->priority, o->demand, r->target }
  };
  o->demand = 0;
  o->asked_at = now;
  send_question (p, o, now);
}

/* Asks for permits of O if it is time to, for the request R. */
static void
ask_if_due (CcOwnerPermits *p, Owner *o, const CcPermitRequest *r, gint64 now)
{
  gboolean due = now - o->repeated_at >= CC_PERMIT_ASK_TIMEOUT;

  if (now < o->refused_until[MIN (r->priority, CC_PERMIT_PRIORITIES - 1)])
    return;
  if (due && o->unanswered >= UNANSWERED_MAX)
    {
      source_lost (p, &o->of, now);
      o->unanswered = 0;
    }
  if (o->asked_at == 0 || now - o->asked_at >= PERMIT_VALID)
    ask (p, o, r, now);
  else if (due)
    send_question (p, o, now);
}

static gboolean
take_held (Owner *o, gint64 now)
{
  if (now >= o->permits_until)
    o->permits = 0;
  if (o->permits == 0)
    return FALSE;
  o->permits--;
  return TRUE;
}

/* Decides at NOW, us, whether R is sent to the overloaded owner ID, and takes
 * the permit that it needs.  REFUSED sets *AT to when a permit may be had, us.
 */
CcPermitVerdict
cc_owner_permits_take (CcOwnerPermits *p, const char *id,
                       const CcPermitRequest *r, gint64 now, gint64 *at)
{
  Owner *o = g_hash_table_lookup (p->owners, id);
  guint class = MIN (r->priority, CC_PERMIT_PRIORITIES - 1);

  if (o == NULL || take_held (o, now))
    return CC_PERMIT_GRANTED;
  ask_if_due (p, o, r, now);
  if (take_held (o, now))
    return CC_PERMIT_GRANTED;
  if (now >= o->refused_until[class])
    return CC_PERMIT_PENDING;
  *at = o->refused_until[class];
  return CC_PERMIT_REFUSED;
}

/* A request to OWNER has ended at NOW, us, with REPORT. */
void
cc_owner_permits_ended (CcOwnerPermits *p, const CcPermitOwner *owner,
                        const CcOwnerReport *report, gint64 now)
{
  CcPermitMessage m = { .kind = CC_PERMIT_MESSAGE_ENDED,
                        .ended = { *owner, *report } };
  const char *address;

  if (!cc_owner_permits_are_needed (p, owner->id, owner->born, now))
    return;
  m.ended.report.number = ++p->number;
  if (is_source (p, owner, now))
    {
      cc_permit_source_ended (p->source, owner, &m.ended.report, now);
      return;
    }
  /* Twice: until the next one, a lost report leaves a slot idle. */
  address = source_of (p, owner, now)->address;
  send_to (p, address, &m);
  send_to (p, address, &m);
}

/* ---- messages ---- */

/* Answers the report R of another gateway. */
static void
handle_full (CcOwnerPermits *p, const CcOwnerFull *r, gint64 now)
{
  CcPermitMessage m = notice_of (p, &r->owner, count_full (p, &r->owner, now));

  send_to (p, r->address, &m);
}

/* Answers the question Q. */
static void
answer (CcOwnerPermits *p, const CcPermitQuestion *q, gint64 now)
{
  CcPermitMessage m = { .kind = CC_PERMIT_MESSAGE_ANSWER };

  m.answer = (CcPermitAnswer){ .owner = q->owner, .number = q->number };
  m.answer.overloaded =
      cc_permit_source_ask (p->source, q, now, &m.answer.grant);
  p->setup.wake (p->setup.data);
  send_to (p, q->address, &m);
}

/* Handles the answer A; a late one is for a question that was given up. */
static void
handle_answer (CcOwnerPermits *p, const CcPermitAnswer *a, gint64 now)
{
  Owner *o = g_hash_table_lookup (p->owners, a->owner.id);

  if (o == NULL || o->of.born != a->owner.born || o->asked_at == 0 ||
      o->question.number != a->number)
    return;
  source_of (p, &o->of, now)->lost_span = 0;
  apply_grant (o, &a->grant, a->overloaded, now);
  p->setup.ready (p->setup.data);
}

/* Handles DATAGRAM of another gateway.  Returns FALSE if it is not about
 * permits. */
gboolean
cc_owner_permits_receive (CcOwnerPermits *p, GBytes *datagram, gint64 now)
{
  CcPermitMessage m;

  cc_permit_message_read (datagram, &m);
  switch (m.kind)
    {
    case CC_PERMIT_MESSAGE_NONE:
      return FALSE;
    case CC_PERMIT_MESSAGE_FULL:
      handle_full (p, &m.full, now);
      break;
    case CC_PERMIT_MESSAGE_OVERLOADED:
      handle_notice (p, &m.overloaded, now);
      break;
    case CC_PERMIT_MESSAGE_QUESTION:
      answer (p, &m.question, now);
      break;
    case CC_PERMIT_MESSAGE_ANSWER:
      handle_answer (p, &m.answer, now);
      break;
    case CC_PERMIT_MESSAGE_ENDED:
      cc_permit_source_ended (p->source, &m.ended.owner, &m.ended.report, now);
      break;
    }
  cc_permit_message_clear (&m);
  return TRUE;
}

/* Forgets owners without an update, and appends the ids of those whose last
 * report was not answered to UNANSWERED.  Returns the number of overloaded
 * owners. */
static guint
update_owners (CcOwnerPermits *p, GPtrArray *unanswered, gint64 now)
{
  GHashTableIter i;
  gpointer value;
  guint overloaded = 0;

  g_hash_table_iter_init (&i, p->owners);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Owner *o = value;

      overloaded += now < o->until;
      if (now - MAX (o->reported_at, o->until) >= FORGET_AFTER)
        g_hash_table_iter_remove (&i);
      else if (o->report_pending && now - o->reported_at >= REPORT_TIMEOUT)
        g_ptr_array_add (unanswered, g_strdup (o->of.id));
    }
  return overloaded;
}

/* Does what is due at NOW, us.  Returns TRUE if it is to be called again. */
gboolean
cc_owner_permits_tick (CcOwnerPermits *p, gint64 now)
{
  guint watched = cc_permit_source_tick (p->source, now, notify_all, p);
  g_autoptr (GPtrArray) unanswered = g_ptr_array_new_with_free_func (g_free);

  cc_metrics_gauge ("capercrank_overloaded_owners", "",
                    update_owners (p, unanswered, now));
  for (guint i = 0; i < unanswered->len; i++)
    {
      Owner *o = g_hash_table_lookup (p->owners, unanswered->pdata[i]);

      source_lost (p, &o->of, now);
      report_full (p, o, now);
    }
  return g_hash_table_size (p->owners) > 0 || watched > 0;
}
