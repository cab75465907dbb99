/* Runs jobs on one held server.  A job enters the queue, is sent when the
 * server has a free slot, the lease is valid and the grant is acknowledged, and
 * ends with one of three outcomes:
 *
 *  run      the server answered;
 *  not-run  nothing was sent, or the server rejected it with proof;
 *  unknown  something was sent and no answer came.  Reported immediately when
 *           the deadline passes or the server is considered lost.
 *
 * An attempt that may have been sent is never retried unless its class is
 * idempotent (retry.c).  load.c decides on admission, order and concurrency.
 */
#include "server.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"

/* Limit in jobs.  Admission rejects long before; this bounds memory use while
 * the server's work times are not known yet. */
#define QUEUE_MAX 2000
#define MOVED_RETRY_AFTER_MS 20 /* usual duration of an ownership move */
/* A longer gap between ticks means that this process was paused, not busy. */
#define PAUSE_MIN (200 * CC_MS)

static void on_attempt_done (const CcAttemptResult *result, gpointer data);

/* Returns the key in CcServerShared.first_attempts of a once-only attempt; the
 * caller frees it. */
char *
cc_first_attempt_name (const char *pool, guint slice, const char *idempotency)
{
  return g_strdup_printf ("%s/%u/%s", pool, slice, idempotency);
}

/* Creates the waiters and metrics of SHARED; its other members are the
 * caller's. */
void
cc_server_shared_init (CcServerShared *shared)
{
  shared->waiters = cc_waiters_new ();
  shared->retried = cc_metrics_counter ("capercrank_attempts_retried", "");
  shared->hedged = cc_metrics_counter ("capercrank_attempts_hedged", "");
  shared->pools_dropped = cc_metrics_counter ("capercrank_pools_dropped", "");
  cc_histograms_init (&shared->wait, "capercrank_queue_seconds");
  cc_histograms_init (&shared->service, "capercrank_service_seconds");
}

/* Whether the lease allows work to be accepted for S and sent to it at NOW. */
gboolean
cc_server_may_serve (const CcServer *s, gint64 now)
{
  return s->holding->serves_without_lease ||
         cc_tenure_is_valid (s->shared->tenure, now);
}

/* Returns a server with an empty queue.  Takes the caller's reference to H. */
CcServer *
cc_server_new (CcServerShared *shared, CcHolding *h)
{
  CcServer *s = g_new0 (CcServer, 1);

  s->shared = shared;
  s->holding = h;
  s->meter = cc_unit_meter_new (cc_clock_now ());
  cc_load_init (&s->load);
  s->sent = g_hash_table_new (NULL, NULL);
  return s;
}

/* Records the outcome R of a once-only job for repeats.  Not-run deletes the
 * record, so that a repeat is run. */
static void
record_outcome (CcServer *s, const CcJob *j, const CcMsgReply *r)
{
  g_autofree char *name = NULL;
  CcOutcomeRecord record = { r->outcome, r->status, r->headers, r->body };

  if (!j->once_only)
    return;
  name = cc_first_attempt_name (j->pool, j->slice, j->idempotency);
  g_hash_table_remove (s->shared->first_attempts, name);
  if (r->outcome == CC_OUTCOME_NOT_RUN)
    cc_outcomes_remove (s->shared->outcomes, j->pool, j->slice, j->idempotency);
  else
    cc_outcomes_finish (s->shared->outcomes, j->pool, j->slice, j->idempotency,
                        &record);
}

/* Answers J's waiters with R and records the outcome.  J must still be freed.
 */
static void
end_job (CcServer *s, CcJob *j, const CcMsgReply *r)
{
  if (j->state == CC_JOB_ENDED)
    return;
  record_outcome (s, j, r);
  cc_waiters_remove (s->shared->waiters, j);
  cc_job_answer (j, s->shared->mailbox, r);
  cc_timer_stop (&j->timer);
}

static void
end_not_run (CcServer *s, CcJob *j, const char *reason, guint32 retry_after_ms,
             gboolean reroute)
{
  CcMsgReply r = { .outcome = CC_OUTCOME_NOT_RUN,
                   .reroute = reroute,
                   .reason = reason,
                   .retry_after = retry_after_ms };

  end_job (s, j, &r);
}

static void
end_unknown (CcServer *s, CcJob *j, const char *reason)
{
  CcMsgReply r = { .outcome = CC_OUTCOME_UNKNOWN, .reason = reason };

  end_job (s, j, &r);
}

static guint32
retry_after_ms (const CcServer *s)
{
  return cc_load_wait_ms (&s->load, cc_clock_now ());
}

/* Ends queued job J, of which nothing was sent, with not-run and frees it. */
static void
drop_queued (CcServer *s, CcJob *j, const char *reason, guint32 after_ms,
             gboolean reroute)
{
  cc_queue_remove (&s->load.queue, &j->waiting);
  end_not_run (s, j, reason, after_ms, reroute);
  cc_job_free (j);
}

/* Ends a job at its deadline: not-run if it is queued, unknown if it was sent.
 */
static void
on_deadline (gpointer data)
{
  CcJob *j = data;
  CcServer *s = j->owner;

  if (j->state == CC_JOB_QUEUED)
    {
      drop_queued (s, j, "deadline", retry_after_ms (s), FALSE);
      return;
    }
  end_unknown (s, j, "deadline");
  cc_attempt_cancel (j->attempt);
}

/* Fills in J's queue entry from its class and the time LEFT until its deadline,
 * us. */
static void
init_waiting (CcJob *j, const CcClass *class, gint64 left)
{
  CcQueueEntry *w = &j->waiting;

  w->arrived = j->arrived;
  w->due = j->arrived + MIN (left, class->within);
  w->within = class->within;
  w->left = left;
  w->once_only = class->once_only;
  w->class_id = g_str_hash (j->class_name);
  w->kind = cc_cost_kind (j->class_name, j->method, g_bytes_get_size (j->body));
  w->tenant = g_str_hash (j->tenant);
  w->slice = j->slice;
  w->item = j;
}

/* Queues J of CLASS, whose slice this server must hold, or rejects it
 * immediately.  S takes ownership of J. */
void
cc_server_submit (CcServer *s, CcJob *j, const CcClass *class)
{
  gint64 left = j->deadline - cc_clock_wall ();
  CcOfferResult offer = { FALSE, "full", 0 };

  j->owner = s;
  j->holding = cc_holding_ref (s->holding);
  init_waiting (j, class, left);
  if (cc_queue_length (&s->load.queue) < QUEUE_MAX)
    offer = cc_load_offer (&s->load, &j->waiting, cc_clock_now ());
  else
    offer.retry_after = retry_after_ms (s);
  if (!offer.admitted)
    {
      drop_queued (s, j, offer.reason, offer.retry_after, FALSE);
      return;
    }
  cc_waiters_add (s->shared->waiters, j);
  cc_timer_start (&j->timer, left, on_deadline, j);
  cc_server_pump (s);
}

/* Sends J's next attempt to the server. */
static void
send_job (CcServer *s, CcJob *j)
{
  g_autofree char *run_id =
      g_strdup_printf ("%s-%" G_GUINT64_FORMAT, s->shared->tenure->id,
                       cc_mailbox_next_id (s->shared->mailbox));
  const CcHeldSlice *slice =
      g_hash_table_lookup (s->holding->slices, GUINT_TO_POINTER (j->slice));
  CcUpstreamRequest request = { .address = s->holding->address,
                                .method = j->method,
                                .path = j->path,
                                .headers = j->headers,
                                .body = j->body,
                                .deadline = j->deadline,
                                .term = s->holding->term,
                                .slice = j->slice,
                                .epoch = slice->epoch,
                                .run_id = run_id,
                                .once_only = j->once_only,
                                .fresh = j->waiting.tries > 1 };

  j->sent = cc_clock_now ();
  j->attempt =
      cc_upstream_send (s->shared->upstream, &request, on_attempt_done, j);
  if (j->attempt == NULL)
    {
      cc_load_done (&s->load, &j->waiting, CC_LOAD_UNSENT, j->sent);
      end_not_run (s, j, "malformed", 0, FALSE);
      cc_job_free (j);
      return;
    }
  j->state = CC_JOB_SENT;
  cc_histograms_add (&s->shared->wait, j->class_name, j->tenant,
                     j->sent - j->arrived);
  g_hash_table_add (s->sent, j);
  cc_holding_sent (s->holding, j->slice);
}

static gboolean
may_send (const CcQueueEntry *w, gpointer data)
{
  const CcServer *s = data;

  return cc_holding_may_send (s->holding, w->slice, cc_clock_now ());
}

/* Sends queued jobs while load and lease allow.  The lease is checked before
 * each send, since the process may have been paused after the previous one. */
void
cc_server_pump (CcServer *s)
{
  while (cc_queue_length (&s->load.queue) > 0)
    {
      gint64 now = cc_clock_now ();
      CcQueueEntry *w;

      if (!cc_server_may_serve (s, now))
        return;
      w = cc_load_next (&s->load, may_send, s, now);
      if (w == NULL)
        return;
      send_job (s, w->item);
    }
}

/* Queues J again after failure FAILED if its class, the retry budget and the
 * time allow.  Returns whether it did. */
static gboolean
retry (CcServer *s, CcJob *j, CcFailure failed)
{
  if (j->state == CC_JOB_ENDED || s->holding->lost ||
      !cc_holding_owns (s->holding, j->slice) ||
      !cc_load_retry (&s->load, &j->waiting, failed, cc_clock_now ()))
    return FALSE;
  j->state = CC_JOB_QUEUED;
  j->attempt = NULL;
  j->may_have_run |= failed == CC_FAIL_UNKNOWN;
  ++*s->shared->retried;
  return TRUE;
}

/* Ends J according to RESULT, or retries it.  Returns FALSE if J is queued
 * again. */
static gboolean
answer_result (CcServer *s, CcJob *j, const CcAttemptResult *result)
{
  CcMsgReply r = { .outcome = CC_OUTCOME_RUN,
                   .reason = "",
                   .status = result->status,
                   .headers = result->headers,
                   .body = result->body };

  switch (result->end)
    {
    case CC_ATTEMPT_ANSWERED:
      end_job (s, j, &r);
      return TRUE;
    case CC_ATTEMPT_FENCED:
      end_not_run (s, j, "fenced", MOVED_RETRY_AFTER_MS, TRUE);
      return TRUE;
    case CC_ATTEMPT_SHED:
      if (retry (s, j, CC_FAIL_NOT_RUN))
        return FALSE;
      end_not_run (s, j, "shed", retry_after_ms (s), FALSE);
      return TRUE;
    case CC_ATTEMPT_UNSENT:
      if (retry (s, j, CC_FAIL_NOT_RUN))
        return FALSE;
      end_not_run (s, j, "unreachable", retry_after_ms (s), FALSE);
      return TRUE;
    case CC_ATTEMPT_LOST:
      if (retry (s, j, CC_FAIL_UNKNOWN))
        return FALSE;
      end_unknown (s, j, "lost");
      return TRUE;
    }
  return TRUE;
}

/* Classifies the end of an attempt for load.c. */
static CcLoadEnd
load_end (const CcJob *j, CcAttemptEnd end)
{
  switch (end)
    {
    case CC_ATTEMPT_ANSWERED:
      return CC_LOAD_ANSWERED;
    case CC_ATTEMPT_SHED:
      return CC_LOAD_SHED;
    case CC_ATTEMPT_FENCED:
    case CC_ATTEMPT_UNSENT:
      return CC_LOAD_UNSENT;
    case CC_ATTEMPT_LOST:
      return j->state == CC_JOB_ENDED ? CC_LOAD_CANCELLED : CC_LOAD_LOST;
    }
  return CC_LOAD_UNSENT;
}

/* Handles the end of an attempt.  The server may have been freed meanwhile;
 * then only the holding is updated. */
static void
on_attempt_done (const CcAttemptResult *result, gpointer data)
{
  CcJob *j = data;
  CcServer *s = j->owner;
  gboolean ended = TRUE;

  cc_holding_done (j->holding, j->slice, j->deadline,
                   result->end != CC_ATTEMPT_LOST);
  if (result->end == CC_ATTEMPT_ANSWERED)
    cc_holding_answered (j->holding, cc_clock_now ());
  if (s != NULL)
    {
      if (result->end == CC_ATTEMPT_ANSWERED)
        cc_histograms_add (&s->shared->service, j->class_name, j->tenant,
                           cc_clock_now () - j->sent);
      g_hash_table_remove (s->sent, j);
      cc_unit_meter_served (s->meter, j->slice, cc_clock_now () - j->sent,
                            cc_clock_now ());
      cc_load_done (&s->load, &j->waiting, load_end (j, result->end),
                    cc_clock_now ());
      ended = answer_result (s, j, result);
      cc_server_pump (s);
    }
  if (ended)
    cc_job_free (j);
}

/* Ends queued jobs for slices that are not owned; their entries send them to
 * the new owner. */
static void
reroute_moved (CcServer *s)
{
  g_autoptr (GPtrArray) items = cc_queue_items (&s->load.queue);

  for (guint i = 0; i < items->len; i++)
    {
      CcJob *j = ((CcQueueEntry *) items->pdata[i])->item;

      if (!cc_holding_owns (s->holding, j->slice))
        drop_queued (s, j, "moved", MOVED_RETRY_AFTER_MS, TRUE);
    }
}

/* Ends all queued jobs with not-run for REASON. */
static void
flush_all (CcServer *s, const char *reason, guint32 after_ms, gboolean reroute)
{
  g_autoptr (GPtrArray) items = cc_queue_items (&s->load.queue);

  for (guint i = 0; i < items->len; i++)
    drop_queued (s, ((CcQueueEntry *) items->pdata[i])->item, reason, after_ms,
                 reroute);
}

/* Must be called after the holding changed: ends queued jobs for slices that it
 * does not own and sends a grant for new ones. */
void
cc_server_updated (CcServer *s)
{
  reroute_moved (s);
  s->grant_due = 0;
  s->report_due = 0;
  cc_server_tick (s, cc_clock_now ());
}

/* Ends all jobs at the server with unknown and cancels their attempts. */
static void
end_sent_unknown (CcServer *s)
{
  GList *jobs = g_hash_table_get_keys (s->sent);

  for (GList *l = jobs; l != NULL; l = l->next)
    {
      CcJob *j = l->data;

      end_unknown (s, j, "lost");
      cc_attempt_cancel (j->attempt);
    }
  g_list_free (jobs);
}

/* Excludes from the server's silence the time in which this process was paused,
 * or had no lease and so sent no grants or probes that the server could answer.
 */
static void
exclude_pause (CcServer *s, gint64 now)
{
  gint64 gap = s->last_tick != 0 ? now - s->last_tick : 0;
  gboolean contacted = s->contacted;

  s->last_tick = now;
  s->contacted = cc_server_may_serve (s, now);
  if (gap >= PAUSE_MIN || !contacted)
    cc_holding_add_stall (s->holding, gap);
  if (gap >= PAUSE_MIN)
    cc_load_process_paused (&s->load, gap);
}

/* Checks the server's health, connections and grant at NOW and sends jobs.
 * Called about every 20 ms. */
void
cc_server_tick (CcServer *s, gint64 now)
{
  exclude_pause (s, now);
  if (cc_holding_update_lost (s->holding, now))
    {
      cc_log (CC_LOG_WARNING, "server", "%s/%s is %s", s->holding->pool,
              s->holding->name, s->holding->lost ? "lost" : "back");
      s->report_due = 0;
      if (s->holding->lost)
        {
          end_sent_unknown (s);
          flush_all (s, "moved", MOVED_RETRY_AFTER_MS, TRUE);
        }
    }
  if (cc_load_stalled (&s->load, now))
    flush_all (s, "stalled", retry_after_ms (s), FALSE);
  cc_server_check_connections (s, now);
  cc_server_renew_grant (s, now);
  cc_server_pump (s);
}

/* Makes the request in M, a repeat of J's, receive the same answer. */
void
cc_server_join (CcServerShared *shared, CcJob *j, const CcMessage *m)
{
  cc_job_add_waiter (j, m);
  cc_waiters_add (shared->waiters, j);
}

/* Cancels J, whose last waiter has disconnected.  A once-only attempt at the
 * server continues, since its outcome is needed for a repeat. */
static void
cancel_job (CcJob *j)
{
  CcServer *s = j->owner;

  switch (j->state)
    {
    case CC_JOB_QUEUED:
      drop_queued (s, j, "cancelled", 0, FALSE);
      break;
    case CC_JOB_SENT:
      if (j->once_only)
        break;
      end_unknown (s, j, "cancelled");
      cc_attempt_cancel (j->attempt);
      break;
    case CC_JOB_ENDED:
      break;
    }
}

/* Cancels request ID of the entry INCARNATION, whose caller disconnected. */
void
cc_server_cancel (CcServerShared *shared, guint64 incarnation, guint64 id)
{
  CcJob *j = cc_waiters_take (shared->waiters, incarnation, id);

  if (j != NULL && cc_job_drop_waiter (j, incarnation, id))
    cancel_job (j);
}

/* Frees S.  Queued jobs are returned to their entries as moved.  Attempts in
 * progress are cancelled with outcome unknown; their callbacks run later,
 * without S. */
void
cc_server_free (CcServer *s)
{
  GHashTableIter iter;
  gpointer job;

  flush_all (s, "moved", MOVED_RETRY_AFTER_MS, TRUE);
  end_sent_unknown (s);
  g_hash_table_iter_init (&iter, s->sent);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    ((CcJob *) job)->owner = NULL;
  g_hash_table_unref (s->sent);
  cc_load_clear (&s->load);
  cc_holding_unref (s->holding);
  cc_unit_meter_free (s->meter);
  s->closed = TRUE;
  if (!s->granting)
    g_free (s);
}
