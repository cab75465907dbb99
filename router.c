/* Finds the one dispatcher for a key, sends the request to it, and waits.
 *
 * An ask is sent again after the dispatcher said that it was not run because
 * ownership moved; that is proof.  If the link was lost after the message left,
 * it may have run, and "not-run" is never said of it any more.
 *
 * A link that closes belongs to a process that has ended: once-only work is
 * told unknown at once, idempotent work is sent again if the link is back or
 * ownership has moved within LINK_BACK_MAX.  One that was drained has handed
 * its servers and its memory of outcomes over before it ended, so asks wait for
 * the map that names its heirs.  A link that goes silent may belong to one that
 * stands still for a moment and then goes on, with the request and the memory
 * of outcomes that it had.  So for SILENT_MAX the answer is waited for, and the
 * request is sent again when the link carries messages: the memory joins the
 * two copies of once-only work.
 *
 * While a key's ownership moves, its asks are parked here for PARK_MAX at the
 * most, the usual time of a move several times over; then they are refused with
 * a time to come back.  A refused once-only ask is told unknown, which no
 * caller can act on, so it waits for MOVE_MAX. */
#include "router.h"

#include "clock.h"
#include "lease.h"
#include "log.h"
#include "outcome.h"
#include "timers.h"

#define PARK_MAX (250 * CC_MS) /* a move takes 10 to 50 ms */
/* A lost or silent link to a process that lives is back within 200 ms (the
 * mailbox's RECONNECT_MAX_MS and a ping).  After that its servers are being
 * taken over, which takes seconds: the request is answered. */
#define LINK_BACK_MAX (500 * CC_MS)
/* A dispatcher that stands still for longer than its lease lasts has lost its
 * servers, and a move does not wait for it any more. */
#define SILENT_MAX CC_LEASE_TERM
/* A key has an owner again by then, also if a dispatcher or the platform is
 * slow; see lease.h. */
#define MOVE_MAX (4 * CC_SECOND)
/* One that goes on answers what it had received before it needs a copy. */
#define COPY_PAUSE (100 * CC_MS)
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

/* A message that asked for the work. */
typedef struct
{
  guint64 id;          /* and the key in the table; 0: no answer is awaited */
  char *address;       /* of the dispatcher it was sent to */
  guint64 incarnation; /* of that dispatcher */
} Copy;

struct CcPendingRequest
{
  CcRouter *router;
  AskState state;
  Copy copy;         /* the last, in state SENT */
  Copy earlier;      /* sent over a link that went silent since */
  gint64 copy_at;    /* when another may be sent beside EARLIER, us; 0: no link
                        was up since */
  gint64 park_until; /* us; 0: not parked before */
  gboolean once_only;
  guint unanswered; /* copies that may have run and whose answer is lost */
  CcTimer timer;    /* fires at the deadline */
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
  CcRequestDone done;
  gpointer data;
};

struct CcRouter
{
  CcFollower *follower;
  CcMailbox *mailbox;
  GHashTable *asks;   /* id to CcPendingRequest, sent ones */
  GHashTable *parked; /* set of CcPendingRequest */
  guint retry;        /* timer while any is parked */
  CcCounter *late;    /* answers that nobody waited for any more */
  CcCounter *crossed; /* answers from a process that was not asked */
  CcCounter *rerouted;
  CcCounter *resent; /* idempotent ones after a lost link */
  CcCounter *links_lost;
};

static gboolean route (CcPendingRequest *a);

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

/* No answer to C is awaited any more. */
static void
close_copy (CcPendingRequest *a, Copy *c)
{
  if (c->id == 0)
    return;
  g_hash_table_remove (a->router->asks, &c->id);
  g_clear_pointer (&c->address, g_free);
  c->id = 0;
}

static void
open_copy (CcPendingRequest *a, Copy *c, guint64 id, const char *address,
           guint64 incarnation)
{
  *c = (Copy){ .id = id,
               .address = g_strdup (address),
               .incarnation = incarnation };
  g_hash_table_insert (a->router->asks, &c->id, a);
}

static void
detach (CcPendingRequest *a)
{
  close_copy (a, &a->copy);
  close_copy (a, &a->earlier);
  g_hash_table_remove (a->router->parked, a);
  cc_timer_stop (&a->timer);
}

static void
ask_free (CcPendingRequest *a)
{
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
finish (CcPendingRequest *a, const CcMsgReply *reply)
{
  CcMsgReply r = *reply;

  if (a->unanswered > 0 && r.outcome == CC_OUTCOME_NOT_RUN)
    r.outcome = CC_OUTCOME_UNKNOWN;
  detach (a);
  a->done (&r, a->data);
  ask_free (a);
}

static void
finish_with (CcPendingRequest *a, CcOutcome outcome, const char *reason,
             guint32 wait_ms)
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
refuse (CcPendingRequest *a, const char *reason, guint32 wait_ms)
{
  finish_with (a, a->once_only ? CC_OUTCOME_UNKNOWN : CC_OUTCOME_NOT_RUN,
               reason, wait_ms);
}

static void
on_deadline (gpointer data)
{
  CcPendingRequest *a = data;

  if (a->state == ASK_SENT || a->earlier.id != 0)
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

/* How long A may be parked, us. */
static gint64
park_max (const CcPendingRequest *a)
{
  if (a->once_only)
    return MOVE_MAX;
  return a->unanswered > 0 ? LINK_BACK_MAX : PARK_MAX;
}

static void
park (CcPendingRequest *a)
{
  CcRouter *r = a->router;

  a->state = ASK_PARKED;
  g_hash_table_add (r->parked, a);
  if (a->park_until == 0)
    a->park_until = cc_clock_now () + park_max (a);
  if (r->retry == 0)
    r->retry = g_timeout_add (PARK_RETRY_MS, on_retry, r);
}

/* The member that dispatches to the owner of A's key, or NULL while ownership
 * moves. */
static const CcMember *
find_dispatcher (const CcPendingRequest *a, guint64 *epoch)
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

/* Sends the message ID for A. */
static CcStatus
send_to (CcPendingRequest *a, guint64 id, const CcMember *to, guint64 epoch)
{
  CcMessage m = { .kind = CC_MSG_REQUEST };
  CcMsgRequest *r = &m.u.request;

  m.to = to->incarnation;
  m.id = id;
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

/* Whether TO went silent lately and may go on: then an ask that would be told
 * unknown waits for it.  So a new ask does if it is once-only. */
static gboolean
awaits_silent (const CcPendingRequest *a, const CcMember *to, gint64 now)
{
  gint64 since = cc_mailbox_silent_since (a->router->mailbox, to->address);

  return since != 0 && (a->once_only || a->unanswered > 0) &&
         now < since + SILENT_MAX;
}

/* Whether A waits for the map that names the heir of TO, which is drained and
 * has ended. */
static gboolean
awaits_heir (const CcPendingRequest *a, const CcMember *to, gint64 now)
{
  return to->draining && (a->park_until == 0 || now < a->park_until);
}

/* Whether the answer to A's earlier copy is awaited for a moment yet, since the
 * link to TO carries messages again. */
static gboolean
awaits_earlier (CcPendingRequest *a, const CcMember *to, gint64 now)
{
  if (a->earlier.id == 0 || a->earlier.incarnation != to->incarnation ||
      !cc_mailbox_is_up (a->router->mailbox, to->address))
    return FALSE;
  if (a->copy_at == 0)
    a->copy_at = now + COPY_PAUSE;
  return now < a->copy_at;
}

/* Sends A, parks it, or refuses it.  Returns FALSE if A is gone. */
static gboolean
route (CcPendingRequest *a)
{
  gint64 now = cc_clock_now ();
  guint64 epoch = 0, id = cc_mailbox_next_id (a->router->mailbox);
  const CcMember *to = find_dispatcher (a, &epoch);

  if (to == NULL)
    {
      if (a->park_until != 0 && now >= a->park_until)
        {
          refuse (a, "moving", MOVE_WAIT_MS);
          return FALSE;
        }
      park (a);
      return TRUE;
    }
  if (awaits_earlier (a, to, now))
    {
      park (a);
      return TRUE;
    }
  switch (send_to (a, id, to, epoch))
    {
    case CC_OK:
      break;
    case CC_FULL:
      refuse (a, "busy", MOVE_WAIT_MS);
      return FALSE;
    default:
      if (awaits_silent (a, to, now) || awaits_heir (a, to, now) ||
          (a->unanswered > 0 && now < a->park_until))
        {
          park (a);
          return TRUE;
        }
      refuse (a, "unreachable", TAKEOVER_WAIT_MS);
      return FALSE;
    }
  g_hash_table_remove (a->router->parked, a);
  a->state = ASK_SENT;
  open_copy (a, &a->copy, id, to->address, to->incarnation);
  return TRUE;
}

/* Asks for W.  DONE is called once, maybe before this returns, in which case
 * NULL is returned. */
CcPendingRequest *
cc_router_submit (CcRouter *r, const CcCallerRequest *w, CcRequestDone done,
                  gpointer data)
{
  CcPendingRequest *a = g_new0 (CcPendingRequest, 1);
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

static void
cancel_copy (CcRouter *r, const Copy *c, gint64 deadline)
{
  CcMessage m = { .kind = CC_MSG_CANCEL };

  if (c->id == 0)
    return;
  m.to = c->incarnation;
  m.id = cc_mailbox_next_id (r->mailbox);
  m.expires = deadline;
  m.u.cancel.request = c->id;
  cc_mailbox_send (r->mailbox, c->address, &m);
}

/* The caller went away: A's callback will not be called. */
void
cc_router_cancel (CcRouter *r, CcPendingRequest *a)
{
  cancel_copy (r, &a->copy, a->deadline);
  cancel_copy (r, &a->earlier, a->deadline);
  detach (a);
  ask_free (a);
}

/* Copy C of A was answered with R.  Returns FALSE if A goes on to wait: a copy
 * that was refused says nothing of the other, which may stand in the same
 * queue, nor of one yet to be sent.  That the last copy's outcome is unknown is
 * final: who holds the key now does not know what became of it, and the one
 * before has lost its lease. */
static gboolean
settles (CcPendingRequest *a, Copy *c, const CcMsgReply *r)
{
  if (r->outcome == CC_OUTCOME_RUN ||
      (r->outcome == CC_OUTCOME_UNKNOWN && c == &a->copy))
    return TRUE;
  if (c == &a->earlier && r->outcome == CC_OUTCOME_NOT_RUN)
    a->unanswered--;
  close_copy (a, c);
  return a->state == ASK_SENT && a->copy.id == 0 && a->earlier.id == 0;
}

/* Handles a REPLY.  An answer is taken only for a request that waits, from the
 * incarnation it was sent to; others are counted and dropped. */
void
cc_router_reply (CcRouter *r, const CcMessage *m)
{
  CcPendingRequest *a = g_hash_table_lookup (r->asks, &m->id);
  Copy *c;

  if (a == NULL)
    {
      ++*r->late;
      return;
    }
  c = a->copy.id == m->id ? &a->copy : &a->earlier;
  if (c->incarnation != m->from)
    {
      ++*r->crossed;
      return;
    }
  if (!settles (a, c, &m->u.reply))
    return;
  if (!m->u.reply.reroute)
    {
      finish (a, &m->u.reply);
      return;
    }
  a->unanswered += m->u.reply.outcome != CC_OUTCOME_NOT_RUN;
  ++*r->rerouted;
  if (a->park_until != 0 && cc_clock_now () >= a->park_until)
    {
      park (a);
      refuse (a, m->u.reply.reason, m->u.reply.retry_after);
      return;
    }
  park (a);
}

/* The asks that wait for an answer, each once. */
static GList *
waiting_asks (const CcRouter *r)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer ask;

  g_hash_table_iter_init (&iter, r->asks);
  while (g_hash_table_iter_next (&iter, NULL, &ask))
    g_hash_table_add (seen, ask);
  return g_hash_table_get_keys (seen);
}

/* Whether the dispatcher that C was sent to was being drained, as far as is
 * known: it takes its row away before it ends. */
static gboolean
was_draining (const CcPendingRequest *a, const Copy *c)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, a->router->follower->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CcMember *m = value;

      if (m->incarnation == c->incarnation &&
          g_str_equal (m->address, c->address))
        return m->draining;
    }
  return TRUE;
}

/* The link over which A's last copy was sent is lost, by silence since
 * SILENT_SINCE, us, or closed: 0. */
static void
lose_copy (CcPendingRequest *a, gint64 silent_since)
{
  Copy lost = a->copy;

  if (a->once_only && silent_since == 0 && !was_draining (a, &lost))
    {
      finish_with (a, CC_OUTCOME_UNKNOWN, "link", 0);
      return;
    }
  ++*a->router->resent;
  a->unanswered++;
  a->park_until = silent_since != 0 ? silent_since + SILENT_MAX : 0;
  a->copy_at = 0;
  g_hash_table_remove (a->router->asks, &a->copy.id);
  a->copy.id = 0;
  if (silent_since != 0 && a->earlier.id == 0)
    open_copy (a, &a->earlier, lost.id, lost.address, lost.incarnation);
  g_clear_pointer (&a->copy.address, g_free);
  park (a);
}

/* The link of A's earlier copy was closed. */
static void
lose_earlier (CcPendingRequest *a)
{
  close_copy (a, &a->earlier);
  if (a->state == ASK_SENT && a->copy.id == 0)
    finish_with (a, CC_OUTCOME_UNKNOWN, "link", 0);
}

/* The link to ADDRESS came up, or was lost: closed by the peer, or silent.
 * What had been sent over a lost link may have run, and its answer may not
 * come. */
void
cc_router_link (CcRouter *r, const char *address, gboolean up)
{
  gint64 silent_since = cc_mailbox_silent_since (r->mailbox, address);
  g_autoptr (GList) asks = NULL;

  if (up)
    return;
  ++*r->links_lost;
  asks = waiting_asks (r);
  for (GList *l = asks; l != NULL; l = l->next)
    {
      CcPendingRequest *a = l->data;

      if (a->copy.id != 0 && g_str_equal (a->copy.address, address))
        lose_copy (a, silent_since);
      else if (a->earlier.id != 0 && silent_since == 0 &&
               g_str_equal (a->earlier.address, address))
        lose_earlier (a);
    }
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

/* How many asks wait for an answer; one that waits for two counts twice. */
guint
cc_router_pending (const CcRouter *r)
{
  return g_hash_table_size (r->asks) + g_hash_table_size (r->parked);
}
