/* Finds the one dispatcher for a key, sends the request to it, and waits.
 *
 * An ask is sent again only after the dispatcher said that it was not run
 * because ownership moved; that is proof.  Anything else that goes wrong after
 * the message left is unknown, and said so at once if the class is once-only.
 * An idempotent request whose link was lost or went silent is sent again when
 * the link is back or ownership has moved, if that is within LINK_BACK_MAX;
 * since it may have run the first time, "not-run" is never said of it any more.
 *
 * While a key's ownership moves, its asks are parked here for PARK_MAX at the
 * most, the usual time of a move several times over; then they are refused
 * with a time to come back.  A request that can't be served is not held. */
#include "ask.h"

#include "clock.h"
#include "log.h"
#include "outcome.h"
#include "timers.h"

#define PARK_MAX (250 * CC_MS) /* a move takes 10 to 50 ms */
/* A lost or silent link to a process that lives is back within 200 ms (the
 * mailbox's RECONNECT_MAX_MS and a ping).  After that its servers are being
 * taken over, which takes seconds: the request is answered. */
#define LINK_BACK_MAX (500 * CC_MS)
#define PARK_RETRY_MS 10      /* parked asks look again this often */
#define TAKEOVER_WAIT_MS 1000 /* a lost dispatcher is replaced in 2 to 3 s */
#define MOVE_WAIT_MS 100      /* a move that took longer than PARK_MAX */
#define ANSWER_GRACE                                                           \
  (30 * CC_MS) /* for the dispatcher's word on the deadline */

typedef enum
{
  ASK_PARKED, /* ownership is moving; nothing was sent, or it was not run */
  ASK_SENT    /* a dispatcher has it */
} AskState;

struct CcAsk
{
  CcRouter *router;
  AskState state;
  guint64 id;          /* of the message, and the key in the table */
  char *address;       /* of the dispatcher it was sent to */
  guint64 incarnation; /* of that dispatcher */
  gint64 park_until;   /* us; 0: not parked before */
  gboolean once_only;
  gboolean may_have_run; /* it was sent over a link that was lost since */
  CcTimer timer;         /* fires at the deadline */
  char *class_name;
  char *pool;
  char *tenant;
  char *idempotency;
  char *method;
  char *path;
  GVariant *headers;
  GBytes *key;
  GBytes *body;
  gint64 deadline;
  CcAskDone done;
  gpointer data;
};

struct CcRouter
{
  CcFollower *follower;
  CcMailbox *mailbox;
  GHashTable *asks;   /* id to CcAsk, sent ones */
  GHashTable *parked; /* set of CcAsk */
  guint retry;        /* timer while any is parked */
  CcCounter *late;    /* answers that nobody waited for any more */
  CcCounter *crossed; /* answers from a process that was not asked */
  CcCounter *rerouted;
  CcCounter *resent; /* idempotent ones after a lost link */
  CcCounter *links_lost;
};

static gboolean route (CcAsk *a);

/* A router that finds owners through F and sends through BOX. */
CcRouter *
cc_router_new (CcFollower *f, CcMailbox *box)
{
  CcRouter *r = g_new0 (CcRouter, 1);

  r->follower = f;
  r->mailbox = box;
  r->asks = g_hash_table_new (g_int64_hash, g_int64_equal);
  r->parked = g_hash_table_new (NULL, NULL);
  r->late = cc_metrics_counter ("capercrank_answers_late", "");
  r->crossed = cc_metrics_counter ("capercrank_answers_crossed", "");
  r->rerouted = cc_metrics_counter ("capercrank_requests_rerouted", "");
  r->resent = cc_metrics_counter ("capercrank_requests_resent", "");
  r->links_lost = cc_metrics_counter ("capercrank_links_lost", "");
  return r;
}

static void
detach (CcAsk *a)
{
  if (a->state == ASK_SENT)
    g_hash_table_remove (a->router->asks, &a->id);
  else
    g_hash_table_remove (a->router->parked, a);
  cc_timer_stop (&a->timer);
}

static void
ask_free (CcAsk *a)
{
  g_free (a->address);
  g_free (a->class_name);
  g_free (a->pool);
  g_free (a->tenant);
  g_free (a->idempotency);
  g_free (a->method);
  g_free (a->path);
  g_variant_unref (a->headers);
  g_bytes_unref (a->key);
  g_bytes_unref (a->body);
  g_free (a);
}

static void
finish (CcAsk *a, const CcMsgReply *reply)
{
  CcMsgReply r = *reply;

  if (a->may_have_run && r.outcome == CC_OUTCOME_NOT_RUN)
    r.outcome = CC_OUTCOME_UNKNOWN;
  detach (a);
  a->done (&r, a->data);
  ask_free (a);
}

static void
finish_with (CcAsk *a, CcOutcome outcome, const char *reason, guint32 wait_ms)
{
  CcMsgReply r = { .outcome = outcome,
                   .reason = reason,
                   .retry_after = wait_ms };

  finish (a, &r);
}

/* Refuses what did not reach a memory of outcomes.  "not-run" is about the
 * caller's booking, not about one attempt: if another attempt with the same key
 * may run, the caller would book again under a new key.  Such an attempt may be
 * under way through another entry, however young the key is, so once-only work
 * is told unknown here. */
static void
refuse (CcAsk *a, const char *reason, guint32 wait_ms)
{
  finish_with (a, a->once_only ? CC_OUTCOME_UNKNOWN : CC_OUTCOME_NOT_RUN,
               reason, wait_ms);
}

static void
on_deadline (gpointer data)
{
  CcAsk *a = data;

  if (a->state == ASK_SENT)
    finish_with (a, CC_OUTCOME_UNKNOWN, "deadline", 0);
  else
    refuse (a, "deadline", MOVE_WAIT_MS);
}

static gboolean
on_retry (gpointer data)
{
  CcRouter *r = data;

  r->retry = 0;
  cc_router_view_changed (r);
  return G_SOURCE_REMOVE;
}

static void
park (CcAsk *a)
{
  CcRouter *r = a->router;

  a->state = ASK_PARKED;
  g_hash_table_add (r->parked, a);
  if (a->park_until == 0)
    a->park_until =
        cc_clock_now () + (a->may_have_run ? LINK_BACK_MAX : PARK_MAX);
  if (r->retry == 0)
    r->retry = g_timeout_add (PARK_RETRY_MS, on_retry, r);
}

/* The member that dispatches to the owner of A's key, or NULL while ownership
 * moves. */
static const CcMember *
find_dispatcher (const CcAsk *a, guint64 *epoch)
{
  const CcSliceMap *m = cc_follower_map (a->router->follower, a->pool);
  const CcMapServer *owner;
  gsize length;
  gconstpointer key = g_bytes_get_data (a->key, &length);
  guint slice;

  if (m == NULL)
    return NULL;
  slice = cc_slicemap_unit (m, cc_key_hash (key, length));
  owner = cc_slicemap_owner (m, slice);
  if (owner == NULL || owner->from[0] != '\0')
    return NULL;
  *epoch = cc_slicemap_at (m, slice)->epoch;
  return cc_follower_member (a->router->follower, owner->dispatcher);
}

static CcStatus
send_to (CcAsk *a, const CcMember *to, guint64 epoch)
{
  CcMessage m = { .kind = CC_MSG_REQUEST };
  CcMsgRequest *r = &m.u.request;

  a->id = cc_mailbox_next_id (a->router->mailbox);
  m.to = to->incarnation;
  m.id = a->id;
  m.expires = a->deadline;
  r->class_name = a->class_name;
  r->tenant = a->tenant;
  r->idempotency = a->idempotency;
  r->method = a->method;
  r->path = a->path;
  r->deadline = a->deadline;
  r->epoch = epoch;
  r->key = a->key;
  r->headers = a->headers;
  r->body = a->body;
  return cc_mailbox_send (a->router->mailbox, to->address, &m);
}

/* Sends A, parks it, or refuses it.  Returns FALSE if A is gone. */
static gboolean
route (CcAsk *a)
{
  guint64 epoch = 0;
  const CcMember *to = find_dispatcher (a, &epoch);

  if (to == NULL)
    {
      if (a->park_until != 0 && cc_clock_now () >= a->park_until)
        {
          refuse (a, "moving", MOVE_WAIT_MS);
          return FALSE;
        }
      park (a);
      return TRUE;
    }
  switch (send_to (a, to, epoch))
    {
    case CC_OK:
      break;
    case CC_FULL:
      refuse (a, "busy", MOVE_WAIT_MS);
      return FALSE;
    default:
      if (a->may_have_run && cc_clock_now () < a->park_until)
        {
          park (a);
          return TRUE;
        }
      refuse (a, "unreachable", TAKEOVER_WAIT_MS);
      return FALSE;
    }
  g_hash_table_remove (a->router->parked, a);
  a->state = ASK_SENT;
  g_free (a->address);
  a->address = g_strdup (to->address);
  a->incarnation = to->incarnation;
  g_hash_table_insert (a->router->asks, &a->id, a);
  return TRUE;
}

/* Asks for W.  DONE is called once, maybe before this returns, in which case
 * NULL is returned. */
CcAsk *
cc_router_ask (CcRouter *r, const CcWish *w, CcAskDone done, gpointer data)
{
  CcAsk *a = g_new0 (CcAsk, 1);
  gint64 left = w->deadline - cc_clock_wall () + ANSWER_GRACE;

  a->router = r;
  a->class_name = g_strdup (w->class->name);
  a->pool = g_strdup (w->class->pool);
  a->tenant = g_strdup (w->tenant);
  a->idempotency = g_strdup (w->idempotency);
  a->method = g_strdup (w->method);
  a->path = g_strdup (w->path);
  a->headers = g_variant_ref (w->headers);
  a->key = g_bytes_ref (w->key);
  a->body = g_bytes_ref (w->body);
  a->deadline = w->deadline;
  a->once_only = w->class->once_only;
  a->done = done;
  a->data = data;
  cc_timer_start (&a->timer, left, on_deadline, a);
  return route (a) ? a : NULL;
}

/* The caller went away: A's callback will not be called. */
void
cc_router_cancel (CcRouter *r, CcAsk *a)
{
  CcMessage m = { .kind = CC_MSG_CANCEL };

  if (a->state == ASK_SENT)
    {
      m.to = a->incarnation;
      m.id = cc_mailbox_next_id (r->mailbox);
      m.expires = a->deadline;
      m.u.cancel.request = a->id;
      cc_mailbox_send (r->mailbox, a->address, &m);
    }
  detach (a);
  ask_free (a);
}

/* Handles a REPLY.  An answer is taken only for a request that waits, from the
 * incarnation it was sent to; others are counted and dropped. */
void
cc_router_reply (CcRouter *r, const CcMessage *m)
{
  CcAsk *a = g_hash_table_lookup (r->asks, &m->id);

  if (a == NULL)
    {
      ++*r->late;
      return;
    }
  if (a->incarnation != m->from)
    {
      ++*r->crossed;
      return;
    }
  if (!m->u.reply.reroute)
    {
      finish (a, &m->u.reply);
      return;
    }
  a->may_have_run |= m->u.reply.outcome != CC_OUTCOME_NOT_RUN;
  ++*r->rerouted;
  g_hash_table_remove (r->asks, &a->id);
  if (a->park_until != 0 && cc_clock_now () >= a->park_until)
    {
      park (a);
      refuse (a, m->u.reply.reason, m->u.reply.retry_after);
      return;
    }
  park (a);
}

static void
lose_link (CcAsk *a)
{
  CcRouter *r = a->router;

  if (a->once_only)
    {
      finish_with (a, CC_OUTCOME_UNKNOWN, "link", 0);
      return;
    }
  ++*r->resent;
  a->may_have_run = TRUE;
  a->park_until = 0;
  g_hash_table_remove (r->asks, &a->id);
  park (a);
}

/* The link to ADDRESS came up, or was lost: closed by the peer, or silent.
 * What had been sent over a lost link may have run, and its answer may not
 * come. */
void
cc_router_link (CcRouter *r, const char *address, gboolean up)
{
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer ask;

  if (up)
    return;
  ++*r->links_lost;
  g_hash_table_iter_init (&iter, r->asks);
  while (g_hash_table_iter_next (&iter, NULL, &ask))
    if (g_str_equal (((CcAsk *) ask)->address, address))
      g_ptr_array_add (lost, ask);
  for (guint i = 0; i < lost->len; i++)
    lose_link (lost->pdata[i]);
}

/* Ownership may have changed: looks at all parked asks again. */
void
cc_router_view_changed (CcRouter *r)
{
  GList *parked = g_hash_table_get_keys (r->parked);

  for (GList *l = parked; l != NULL; l = l->next)
    route (l->data);
  g_list_free (parked);
  if (g_hash_table_size (r->parked) > 0 && r->retry == 0)
    r->retry = g_timeout_add (PARK_RETRY_MS, on_retry, r);
}

/* How many asks wait for an answer. */
guint
cc_router_pending (const CcRouter *r)
{
  return g_hash_table_size (r->asks) + g_hash_table_size (r->parked);
}
