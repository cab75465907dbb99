/* A dispatcher's requests, from their message to a server's queue.
 *
 * Ownership is asked first, then the memory of outcomes, then the lease: a
 * repeat whose first attempt ran must hear so, whatever has been lost since. */
#include "dispatcher.h"

#include "clock.h"

#define MOVED_WAIT_MS 20         /* usual time of a move of ownership */
#define SERVER_LOST_WAIT_MS 1000 /* its slices have moved in about 2 s */
#define NO_LEASE_WAIT_MS 500     /* a renewal's period */

/* The server NAME of POOL if it is held here, or NULL. */
CcServer *
cc_dispatcher_server (CcDispatcher *d, const char *pool, const char *name)
{
  g_autofree char *key = g_strconcat (pool, "/", name, NULL);

  return g_hash_table_lookup (d->servers, key);
}

static void
refuse (CcDispatcher *d, const CcMessage *m, CcOutcome outcome,
        const char *reason, guint32 wait_ms, gboolean reroute)
{
  CcMsgReply r = { .outcome = outcome,
                   .reroute = reroute,
                   .reason = reason,
                   .retry_after = wait_ms };

  ++*d->refused;
  cc_reply_send (d->mailbox, m->reply_to, m->from, m->id, &r);
}

static void
answer_again (CcDispatcher *d, const CcMessage *m, const CcRemembered *kept)
{
  CcMsgReply r = { .outcome = kept->outcome,
                   .reason = "repeat",
                   .status = kept->status,
                   .headers = kept->headers,
                   .body = kept->body };

  ++*d->repeats;
  cc_reply_send (d->mailbox, m->reply_to, m->from, m->id, &r);
}

static void
join_first (CcDispatcher *d, const CcMessage *m, const char *pool, guint slice)
{
  g_autofree char *name =
      cc_first_attempt_name (pool, slice, m->u.request.idempotency);
  CcJob *first = g_hash_table_lookup (d->shared.first_attempts, name);

  if (first != NULL)
    cc_server_join (&d->shared, first, m);
  else
    refuse (d, m, CC_OUTCOME_UNKNOWN, "repeat", 0, FALSE);
}

static void
start_job (CcDispatcher *d, const CcMessage *m, CcServer *s,
           const CcClass *class, guint slice)
{
  CcJob *j = cc_job_new (m, class->pool, class->once_only, slice);

  if (class->once_only)
    {
      g_hash_table_insert (
          d->shared.first_attempts,
          cc_first_attempt_name (class->pool, slice, j->idempotency), j);
      cc_outcomes_start (d->shared.outcomes, class->pool, slice, j->idempotency,
                         cc_clock_wall ());
    }
  cc_server_submit (s, j, class);
}

/* Nothing of the request has run here.  Without a lease another dispatcher may
 * have run it meanwhile, so the entry is to ask again. */
static void
start_or_refuse (CcDispatcher *d, const CcMessage *m, CcServer *s,
                 const CcClass *class, guint slice)
{
  if (s->holding->lost)
    refuse (d, m, CC_OUTCOME_NOT_RUN, "server-lost", SERVER_LOST_WAIT_MS,
            FALSE);
  else if (!cc_server_may_serve (s, cc_clock_now ()))
    refuse (d, m, CC_OUTCOME_NOT_RUN, "no-lease", NO_LEASE_WAIT_MS, TRUE);
  else
    start_job (d, m, s, class, slice);
}

/* The memory is asked before anything is refused: a repeat whose first attempt
 * ran must hear so, also while its server is lost. */
static void
take_once_only (CcDispatcher *d, const CcMessage *m, CcServer *s,
                const CcClass *class, guint slice)
{
  const CcRemembered *kept = NULL;

  switch (cc_outcomes_ask (d->shared.outcomes, class->pool, slice,
                           m->u.request.idempotency, cc_clock_wall (), &kept))
    {
    case CC_REPEAT_NEW:
      start_or_refuse (d, m, s, class, slice);
      break;
    case CC_REPEAT_RUNNING:
      join_first (d, m, class->pool, slice);
      break;
    case CC_REPEAT_DONE:
      answer_again (d, m, kept);
      break;
    case CC_REPEAT_TOO_OLD:
      refuse (d, m, CC_OUTCOME_UNKNOWN, "forgotten", 0, FALSE);
      break;
    case CC_REPEAT_AHEAD:
    case CC_REPEAT_MALFORMED:
      refuse (d, m, CC_OUTCOME_NOT_RUN, "idempotency-key", 0, FALSE);
      break;
    }
}

/* Handles a REQUEST: runs it, answers it again, or refuses it. */
void
cc_intake_request (CcDispatcher *d, const CcMessage *m)
{
  const CcMsgRequest *r = &m->u.request;
  const CcClass *class = NULL;
  CcSliceMap *map = NULL;
  const CcMapServer *owner = NULL;
  CcServer *s = NULL;
  guint slice = 0;
  guint64 hash =
      cc_key_hash (g_bytes_get_data (r->key, NULL), g_bytes_get_size (r->key));

  if (d->follower->document != NULL)
    class = cc_document_class (d->follower->document, r->class_name);
  if (class != NULL)
    map = cc_follower_map (d->follower, class->pool);
  if (map != NULL)
    {
      slice = cc_slicemap_unit (map, hash);
      owner = cc_slicemap_owner (map, slice);
    }
  if (owner != NULL)
    s = cc_dispatcher_server (d, class->pool, owner->name);
  if (s != NULL && cc_holding_owns (s->holding, slice))
    cc_unit_meter_arrived (s->meter, slice, hash, cc_clock_now ());
  if (s == NULL || !cc_holding_owns (s->holding, slice))
    refuse (d, m, CC_OUTCOME_NOT_RUN, "moved", MOVED_WAIT_MS, TRUE);
  else if (class->once_only)
    take_once_only (d, m, s, class, slice);
  else
    start_or_refuse (d, m, s, class, slice);
}

/* Handles a CANCEL: the caller of a request went away. */
void
cc_intake_cancel (CcDispatcher *d, const CcMessage *m)
{
  ++*d->cancelled;
  cc_server_cancel (&d->shared, m->from, m->u.cancel.request);
}
