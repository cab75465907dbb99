/* Accepts requests from entries and queues them for a server.
 *
 * Ownership is checked first, then the attempt records, then the lease: a
 * repeat whose first attempt ran must receive that outcome, even if the server
 * or the lease has been lost since. */
#include "dispatcher.h"

#include "clock.h"

#define MOVED_RETRY_AFTER_MS 20 /* usual duration of an ownership move */
#define SERVER_LOST_RETRY_AFTER_MS 1000 /* its slices move within about 2 s */
#define NO_LEASE_RETRY_AFTER_MS 500     /* a lease renewal */

/* Returns the server NAME of POOL, or NULL if it is not held here. */
CcServer *
cc_dispatcher_server (CcDispatcher *d, const char *pool, const char *name)
{
  g_autofree char *key = g_strconcat (pool, "/", name, NULL);

  return g_hash_table_lookup (d->servers, key);
}

/* Replies to the request in M with OUTCOME for REASON.  REROUTE makes the entry
 * route it again. */
static void
reject (CcDispatcher *d, const CcMessage *m, CcOutcome outcome,
        const char *reason, guint32 retry_after_ms, gboolean reroute)
{
  CcMsgReply r = { .outcome = outcome,
                   .reroute = reroute,
                   .reason = reason,
                   .retry_after = retry_after_ms };

  ++*d->rejected;
  cc_reply_send (d->mailbox, m->reply_to, m->from, m->id, &r);
}

/* Replies to a repeat with the recorded outcome of the first attempt. */
static void
answer_repeat (CcDispatcher *d, const CcMessage *m,
               const CcOutcomeRecord *record)
{
  CcMsgReply r = { .outcome = record->outcome,
                   .reason = "repeat",
                   .status = record->status,
                   .headers = record->headers,
                   .body = record->body };

  ++*d->repeats;
  cc_reply_send (d->mailbox, m->reply_to, m->from, m->id, &r);
}

/* Makes a repeat receive the outcome of the first attempt in progress.  If that
 * attempt is not here, its outcome is unknown. */
static void
join_first_attempt (CcDispatcher *d, const CcMessage *m, const char *pool,
                    guint slice)
{
  g_autofree char *name =
      cc_first_attempt_name (pool, slice, m->u.request.idempotency);
  CcJob *first = g_hash_table_lookup (d->shared.first_attempts, name);

  if (first != NULL)
    cc_server_join (&d->shared, first, m);
  else
    reject (d, m, CC_OUTCOME_UNKNOWN, "repeat", 0, FALSE);
}

/* Queues a job for the request in M, recording a once-only one first. */
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

/* Starts the request in M, of which no attempt was made here.  Without a lease
 * another dispatcher may have run it meanwhile, so the entry has to route it
 * again. */
static void
start_or_reject (CcDispatcher *d, const CcMessage *m, CcServer *s,
                 const CcClass *class, guint slice)
{
  if (s->holding->lost)
    reject (d, m, CC_OUTCOME_NOT_RUN, "server-lost", SERVER_LOST_RETRY_AFTER_MS,
            FALSE);
  else if (!cc_server_may_serve (s, cc_clock_now ()))
    reject (d, m, CC_OUTCOME_NOT_RUN, "no-lease", NO_LEASE_RETRY_AFTER_MS,
            TRUE);
  else
    start_job (d, m, s, class, slice);
}

/* Handles a once-only request.  The attempt records are checked before it can
 * be rejected: a repeat whose first attempt ran must receive that outcome, even
 * while its server is lost. */
static void
handle_once_only (CcDispatcher *d, const CcMessage *m, CcServer *s,
                  const CcClass *class, guint slice)
{
  const CcOutcomeRecord *record = NULL;

  switch (cc_outcomes_lookup (d->shared.outcomes, class->pool, slice,
                              m->u.request.idempotency, cc_clock_wall (),
                              &record))
    {
    case CC_REPEAT_NEW:
      start_or_reject (d, m, s, class, slice);
      break;
    case CC_REPEAT_RUNNING:
      join_first_attempt (d, m, class->pool, slice);
      break;
    case CC_REPEAT_DONE:
      answer_repeat (d, m, record);
      break;
    case CC_REPEAT_TOO_OLD:
      reject (d, m, CC_OUTCOME_UNKNOWN, "forgotten", 0, FALSE);
      break;
    case CC_REPEAT_AHEAD:
    case CC_REPEAT_MALFORMED:
      reject (d, m, CC_OUTCOME_NOT_RUN, "idempotency-key", 0, FALSE);
      break;
    }
}

/* Handles a REQUEST: starts it, answers it from the attempt records, or rejects
 * it. */
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
    reject (d, m, CC_OUTCOME_NOT_RUN, "moved", MOVED_RETRY_AFTER_MS, TRUE);
  else if (class->once_only)
    handle_once_only (d, m, s, class, slice);
  else
    start_or_reject (d, m, s, class, slice);
}

/* Handles a CANCEL: the caller of a request disconnected. */
void
cc_intake_cancel (CcDispatcher *d, const CcMessage *m)
{
  ++*d->cancelled;
  cc_server_cancel (&d->shared, m->from, m->u.cancel.request);
}
