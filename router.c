/* Finds the one dispatcher for a key, sends the request to it and awaits its
 * reply.
 *
 * A request is sent again if the dispatcher replied that it did not run because
 * ownership moved, which is proof.  If the link was lost after the message was
 * sent, the request may have run and is never reported not-run afterwards.
 *
 * A closed link means that the dispatcher has exited.  Once-only requests then
 * end with unknown immediately; idempotent ones are sent again if the link is
 * restored or ownership has moved within RECONNECT_PARK_MAX.  A drained
 * dispatcher handed over its servers and its attempt records before it exited,
 * so its requests wait for the map that names the next owner.
 *
 * A silent link may lead to a dispatcher that is paused and resumes later, with
 * the request and its attempt records intact.  So the reply is awaited for
 * SILENT_WAIT_MAX, and the request is sent again once the link carries
 * messages; the attempt records join the two copies of a once-only request.
 *
 * While ownership of a key moves, its requests are parked here for at most
 * PARK_MAX, several times the usual duration of a move, and then rejected with
 * a retry time.  A rejected once-only request ends with unknown, on which no
 * caller can act, so it is parked for ONCE_ONLY_PARK_MAX. */
#include "router.h"

#include "clock.h"
#include "lease.h"
#include "log.h"
#include "outcome.h"
#include "timers.h"

#define PARK_MAX (250 * CC_MS) /* a move takes 10 to 50 ms */
/* A lost or silent link to a running process is restored within 200 ms (the
 * mailbox's RECONNECT_MAX_MS and a ping).  If it is not, a takeover of the
 * servers follows, which takes seconds, so the request is answered instead. */
#define RECONNECT_PARK_MAX (500 * CC_MS)
/* A dispatcher paused for longer than its lease has lost its servers, and moves
 * do not wait for it. */
#define SILENT_WAIT_MAX CC_LEASE_TERM
/* By then a key has an owner again, even if a dispatcher or the platform is
 * slow; see lease.h. */
#define ONCE_ONLY_PARK_MAX (4 * CC_SECOND)
/* A dispatcher that resumes answers what it had received within this time,
 * without needing another copy. */
#define RESEND_DELAY (100 * CC_MS)
#define PARK_RECHECK_MS 10 /* recheck interval of parked requests */
/* A lost dispatcher is replaced in 2 to 3 s. */
#define TAKEOVER_RETRY_AFTER_MS 1000
#define MOVE_RETRY_AFTER_MS 100 /* a move that took longer than PARK_MAX */
/* Extra time for the dispatcher's reply at the deadline. */
#define REPLY_GRACE (30 * CC_MS)

typedef enum
{
  REQUEST_PARKED, /* ownership is moving; nothing was sent, or it was not run */
  REQUEST_SENT    /* a dispatcher has it */
} RequestState;

/* One copy of the request, sent to a dispatcher. */
typedef struct
{
  guint64 id;          /* of the message; 0: no reply is awaited */
  char *address;       /* of the dispatcher it was sent to */
  guint64 incarnation; /* of that dispatcher */
} Copy;

struct CcPendingRequest
{
  CcRouter *router;
  RequestState state;
  Copy copy;         /* the last, in state SENT */
  Copy earlier;      /* sent over a link that has gone silent since */
  gint64 resend_at;  /* when another may be sent beside EARLIER, us; 0: no link
                        has come up since */
  gint64 park_until; /* us; 0: not parked before */
  gboolean once_only;
  guint lost_copies; /* copies that may have run and whose reply is lost */
  CcTimer timer;     /* fires at the deadline */
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
  GHashTable *in_flight;   /* message id to CcPendingRequest */
  GHashTable *parked;      /* set of CcPendingRequest */
  guint recheck;           /* timer source while any is parked */
  CcCounter *late;         /* replies after the request ended */
  CcCounter *wrong_sender; /* replies from another incarnation */
  CcCounter *rerouted;
  CcCounter *resent; /* after a lost link */
  CcCounter *links_lost;
};

static gboolean route (CcPendingRequest *p);

/* Returns a router that finds owners through F and sends through BOX. */
CcRouter *
cc_router_new (CcFollower *f, CcMailbox *box)
{
  CcRouter *r = g_new0 (CcRouter, 1);

  r->follower = f;
  r->mailbox = box;
  r->in_flight = g_hash_table_new (g_int64_hash, g_int64_equal);
  r->parked = g_hash_table_new (NULL, NULL);
  r->late = cc_metrics_counter ("capercrank_answers_late", "");
  r->wrong_sender = cc_metrics_counter ("capercrank_answers_crossed", "");
  r->rerouted = cc_metrics_counter ("capercrank_requests_rerouted", "");
  r->resent = cc_metrics_counter ("capercrank_requests_resent", "");
  r->links_lost = cc_metrics_counter ("capercrank_links_lost", "");
  return r;
}

/* Stops awaiting a reply to C. */
static void
forget_copy (CcPendingRequest *p, Copy *c)
{
  if (c->id == 0)
    return;
  g_hash_table_remove (p->router->in_flight, &c->id);
  g_clear_pointer (&c->address, g_free);
  c->id = 0;
}

static void
record_copy (CcPendingRequest *p, Copy *c, guint64 id, const char *address,
             guint64 incarnation)
{
  *c = (Copy){ .id = id,
               .address = g_strdup (address),
               .incarnation = incarnation };
  g_hash_table_insert (p->router->in_flight, &c->id, p);
}

/* Removes P from the router's tables and stops its timer. */
static void
untrack (CcPendingRequest *p)
{
  forget_copy (p, &p->copy);
  forget_copy (p, &p->earlier);
  g_hash_table_remove (p->router->parked, p);
  cc_timer_stop (&p->timer);
}

static void
request_free (CcPendingRequest *p)
{
  g_free (p->class_name);
  g_free (p->pool);
  g_free (p->tenant);
  g_free (p->idempotency);
  g_free (p->method);
  g_free (p->path);
  g_variant_unref (p->headers);
  g_bytes_unref (p->key);
  g_bytes_unref (p->body);
  g_free (p);
}

/* Ends P with REPLY and frees it.  Not-run becomes unknown if a copy whose
 * reply was lost may have run. */
static void
finish (CcPendingRequest *p, const CcMsgReply *reply)
{
  CcMsgReply r = *reply;

  if (p->lost_copies > 0 && r.outcome == CC_OUTCOME_NOT_RUN)
    r.outcome = CC_OUTCOME_UNKNOWN;
  untrack (p);
  p->done (&r, p->data);
  request_free (p);
}

static void
finish_with (CcPendingRequest *p, CcOutcome outcome, const char *reason,
             guint32 retry_after_ms)
{
  CcMsgReply r = { .outcome = outcome,
                   .reason = reason,
                   .retry_after = retry_after_ms };

  finish (p, &r);
}

/* Rejects a request that did not reach a dispatcher's attempt records.  Not-run
 * applies to the caller's operation rather than to one attempt: if another
 * attempt with the same idempotency key may run, the caller would repeat the
 * operation under a new key.  Such an attempt may be in progress through
 * another entry, however recent the key is, so a once-only request ends with
 * unknown here. */
static void
reject (CcPendingRequest *p, const char *reason, guint32 retry_after_ms)
{
  finish_with (p, p->once_only ? CC_OUTCOME_UNKNOWN : CC_OUTCOME_NOT_RUN,
               reason, retry_after_ms);
}

/* Ends a request at its deadline: unknown if a copy may be in progress,
 * otherwise rejected. */
static void
on_deadline (gpointer data)
{
  CcPendingRequest *p = data;

  if (p->state == REQUEST_SENT || p->earlier.id != 0)
    finish_with (p, CC_OUTCOME_UNKNOWN, "deadline", 0);
  else
    reject (p, "deadline", MOVE_RETRY_AFTER_MS);
}

static gboolean
on_recheck (gpointer data)
{
  CcRouter *r = data;

  r->recheck = 0;
  cc_router_view_changed (r);
  return G_SOURCE_REMOVE;
}

/* Returns how long P may be parked, us. */
static gint64
park_max (const CcPendingRequest *p)
{
  if (p->once_only)
    return ONCE_ONLY_PARK_MAX;
  return p->lost_copies > 0 ? RECONNECT_PARK_MAX : PARK_MAX;
}

/* Parks P until the view changes, checking again every PARK_RECHECK_MS. */
static void
park (CcPendingRequest *p)
{
  CcRouter *r = p->router;

  p->state = REQUEST_PARKED;
  g_hash_table_add (r->parked, p);
  if (p->park_until == 0)
    p->park_until = cc_clock_now () + park_max (p);
  if (r->recheck == 0)
    r->recheck = g_timeout_add (PARK_RECHECK_MS, on_recheck, r);
}

/* Returns the dispatcher that holds the server of P's key and sets *EPOCH to
 * that of the slice; NULL while ownership moves. */
static const CcMember *
find_dispatcher (const CcPendingRequest *p, guint64 *epoch)
{
  const CcSliceMap *m = cc_follower_map (p->router->follower, p->pool);
  const CcMapServer *owner;
  gsize length;
  gconstpointer key = g_bytes_get_data (p->key, &length);
  guint slice;

  if (m == NULL)
    return NULL;
  slice = cc_slicemap_unit (m, cc_key_hash (key, length));
  owner = cc_slicemap_owner (m, slice);
  if (owner == NULL || owner->from[0] != '\0')
    return NULL;
  *epoch = cc_slicemap_at (m, slice)->epoch;
  return cc_follower_member (p->router->follower, owner->dispatcher);
}

/* Sends P to TO as message ID. */
static CcStatus
send_to (CcPendingRequest *p, guint64 id, const CcMember *to, guint64 epoch)
{
  CcMessage m = { .kind = CC_MSG_REQUEST };
  CcMsgRequest *r = &m.u.request;

  m.to = to->incarnation;
  m.id = id;
  m.expires = p->deadline;
  r->class_name = p->class_name;
  r->tenant = p->tenant;
  r->idempotency = p->idempotency;
  r->method = p->method;
  r->path = p->path;
  r->deadline = p->deadline;
  r->epoch = epoch;
  r->key = p->key;
  r->headers = p->headers;
  r->body = p->body;
  return cc_mailbox_send (p->router->mailbox, to->address, &m);
}

/* Whether P waits for TO, which went silent recently and may resume.  Only
 * requests that would end with unknown wait, which includes new once-only ones.
 */
static gboolean
awaits_silent_dispatcher (const CcPendingRequest *p, const CcMember *to,
                          gint64 now)
{
  gint64 since = cc_mailbox_silent_since (p->router->mailbox, to->address);

  return since != 0 && (p->once_only || p->lost_copies > 0) &&
         now < since + SILENT_WAIT_MAX;
}

/* Whether P waits for the map that names the next owner, since TO was draining
 * and has exited. */
static gboolean
awaits_successor (const CcPendingRequest *p, const CcMember *to, gint64 now)
{
  return to->draining && (p->park_until == 0 || now < p->park_until);
}

/* Whether P still waits up to RESEND_DELAY for the reply to its earlier copy,
 * since the link to TO carries messages again. */
static gboolean
awaits_earlier (CcPendingRequest *p, const CcMember *to, gint64 now)
{
  if (p->earlier.id == 0 || p->earlier.incarnation != to->incarnation ||
      !cc_mailbox_is_up (p->router->mailbox, to->address))
    return FALSE;
  if (p->resend_at == 0)
    p->resend_at = now + RESEND_DELAY;
  return now < p->resend_at;
}

/* Sends P, parks it, or rejects it.  Returns FALSE if P has ended and is freed.
 */
static gboolean
route (CcPendingRequest *p)
{
  gint64 now = cc_clock_now ();
  guint64 epoch = 0, id = cc_mailbox_next_id (p->router->mailbox);
  const CcMember *to = find_dispatcher (p, &epoch);

  if (to == NULL)
    {
      if (p->park_until != 0 && now >= p->park_until)
        {
          reject (p, "moving", MOVE_RETRY_AFTER_MS);
          return FALSE;
        }
      park (p);
      return TRUE;
    }
  if (awaits_earlier (p, to, now))
    {
      park (p);
      return TRUE;
    }
  switch (send_to (p, id, to, epoch))
    {
    case CC_OK:
      break;
    case CC_FULL:
      reject (p, "busy", MOVE_RETRY_AFTER_MS);
      return FALSE;
    default:
      if (awaits_silent_dispatcher (p, to, now) ||
          awaits_successor (p, to, now) ||
          (p->lost_copies > 0 && now < p->park_until))
        {
          park (p);
          return TRUE;
        }
      reject (p, "unreachable", TAKEOVER_RETRY_AFTER_MS);
      return FALSE;
    }
  g_hash_table_remove (p->router->parked, p);
  p->state = REQUEST_SENT;
  record_copy (p, &p->copy, id, to->address, to->incarnation);
  return TRUE;
}

/* Submits a request as SPEC describes.  DONE is called once with the outcome,
 * possibly before this returns, in which case the result is NULL.  It is not
 * called for a cancelled request. */
CcPendingRequest *
cc_router_submit (CcRouter *r, const CcCallerRequest *spec, CcRequestDone done,
                  gpointer data)
{
  CcPendingRequest *p = g_new0 (CcPendingRequest, 1);
  gint64 left = spec->deadline - cc_clock_wall () + REPLY_GRACE;

  p->router = r;
  p->class_name = g_strdup (spec->class->name);
  p->pool = g_strdup (spec->class->pool);
  p->tenant = g_strdup (spec->tenant);
  p->idempotency = g_strdup (spec->idempotency);
  p->method = g_strdup (spec->method);
  p->path = g_strdup (spec->path);
  p->headers = g_variant_ref (spec->headers);
  p->key = g_bytes_ref (spec->key);
  p->body = g_bytes_ref (spec->body);
  p->deadline = spec->deadline;
  p->once_only = spec->class->once_only;
  p->done = done;
  p->data = data;
  cc_timer_start (&p->timer, left, on_deadline, p);
  return route (p) ? p : NULL;
}

/* Sends a cancellation to the dispatcher of C, if a reply to C is awaited. */
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

/* Cancels P, whose caller has disconnected.  Its callback is not called. */
void
cc_router_cancel (CcRouter *r, CcPendingRequest *p)
{
  cancel_copy (r, &p->copy, p->deadline);
  cancel_copy (r, &p->earlier, p->deadline);
  untrack (p);
  request_free (p);
}

/* Handles reply R to copy C of P.  Returns whether it decides P's outcome,
 * FALSE if P continues to wait: a rejected copy proves nothing about the other
 * one, which may be in the same queue, or about one yet to be sent.  Unknown
 * for the last copy is final, since the present owner has no record of the
 * request and the previous one has lost its lease. */
static gboolean
decides_outcome (CcPendingRequest *p, Copy *c, const CcMsgReply *r)
{
  if (r->outcome == CC_OUTCOME_RUN ||
      (r->outcome == CC_OUTCOME_UNKNOWN && c == &p->copy))
    return TRUE;
  if (c == &p->earlier && r->outcome == CC_OUTCOME_NOT_RUN)
    p->lost_copies--;
  forget_copy (p, c);
  return p->state == REQUEST_SENT && p->copy.id == 0 && p->earlier.id == 0;
}

/* Handles a REPLY.  It is accepted only for a request in progress and from the
 * incarnation that the request was sent to; others are counted and dropped. */
void
cc_router_reply (CcRouter *r, const CcMessage *m)
{
  CcPendingRequest *p = g_hash_table_lookup (r->in_flight, &m->id);
  Copy *c;

  if (p == NULL)
    {
      ++*r->late;
      return;
    }
  c = p->copy.id == m->id ? &p->copy : &p->earlier;
  if (c->incarnation != m->from)
    {
      ++*r->wrong_sender;
      return;
    }
  if (!decides_outcome (p, c, &m->u.reply))
    return;
  if (!m->u.reply.reroute)
    {
      finish (p, &m->u.reply);
      return;
    }
  p->lost_copies += m->u.reply.outcome != CC_OUTCOME_NOT_RUN;
  ++*r->rerouted;
  if (p->park_until != 0 && cc_clock_now () >= p->park_until)
    {
      park (p);
      reject (p, m->u.reply.reason, m->u.reply.retry_after);
      return;
    }
  park (p);
}

/* Returns the requests that await a reply, each once. */
static GList *
requests_in_flight (const CcRouter *r)
{
  g_autoptr (GHashTable) set = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer request;

  g_hash_table_iter_init (&iter, r->in_flight);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    g_hash_table_add (set, request);
  return g_hash_table_get_keys (set);
}

/* Whether the dispatcher that C was sent to was draining, as far as is known.
 * A draining dispatcher deletes its member row before it exits, so one without
 * a row counts as draining. */
static gboolean
was_draining (const CcPendingRequest *p, const Copy *c)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, p->router->follower->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CcMember *m = value;

      if (m->incarnation == c->incarnation &&
          g_str_equal (m->address, c->address))
        return m->draining;
    }
  return TRUE;
}

/* The link over which P's last copy was sent is lost: silent since
 * SILENT_SINCE, us, or closed if that is 0. */
static void
on_copy_link_lost (CcPendingRequest *p, gint64 silent_since)
{
  Copy lost = p->copy;

  if (p->once_only && silent_since == 0 && !was_draining (p, &lost))
    {
      finish_with (p, CC_OUTCOME_UNKNOWN, "link", 0);
      return;
    }
  ++*p->router->resent;
  p->lost_copies++;
  p->park_until = silent_since != 0 ? silent_since + SILENT_WAIT_MAX : 0;
  p->resend_at = 0;
  g_hash_table_remove (p->router->in_flight, &p->copy.id);
  p->copy.id = 0;
  if (silent_since != 0 && p->earlier.id == 0)
    record_copy (p, &p->earlier, lost.id, lost.address, lost.incarnation);
  g_clear_pointer (&p->copy.address, g_free);
  park (p);
}

/* The link of P's earlier copy was closed. */
static void
on_earlier_link_lost (CcPendingRequest *p)
{
  forget_copy (p, &p->earlier);
  if (p->state == REQUEST_SENT && p->copy.id == 0)
    finish_with (p, CC_OUTCOME_UNKNOWN, "link", 0);
}

/* Handles a change of the link to ADDRESS: it came up (UP), or was lost, which
 * means closed by the peer or silent.  Requests sent over a lost link may have
 * run, and their replies may not arrive. */
void
cc_router_link (CcRouter *r, const char *address, gboolean up)
{
  gint64 silent_since = cc_mailbox_silent_since (r->mailbox, address);
  g_autoptr (GList) in_flight = NULL;

  if (up)
    return;
  ++*r->links_lost;
  in_flight = requests_in_flight (r);
  for (GList *l = in_flight; l != NULL; l = l->next)
    {
      CcPendingRequest *p = l->data;

      if (p->copy.id != 0 && g_str_equal (p->copy.address, address))
        on_copy_link_lost (p, silent_since);
      else if (p->earlier.id != 0 && silent_since == 0 &&
               g_str_equal (p->earlier.address, address))
        on_earlier_link_lost (p);
    }
}

/* Routes all parked requests again, since ownership may have changed. */
void
cc_router_view_changed (CcRouter *r)
{
  GList *parked = g_hash_table_get_keys (r->parked);

  for (GList *l = parked; l != NULL; l = l->next)
    route (l->data);
  g_list_free (parked);
  if (g_hash_table_size (r->parked) > 0 && r->recheck == 0)
    r->recheck = g_timeout_add (PARK_RECHECK_MS, on_recheck, r);
}

/* Returns the number of replies awaited and requests parked; a request that
 * awaits two replies counts twice. */
guint
cc_router_pending (const CcRouter *r)
{
  return g_hash_table_size (r->in_flight) + g_hash_table_size (r->parked);
}
