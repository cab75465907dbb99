/* Work on one held server.  A job enters the queue, leaves it when the server
 * has a slot, the lease stands and the grant is acknowledged, and ends with
 * one of three outcomes:
 *
 *  run      the server answered;
 *  not-run  nothing left this process, or the server refused with proof;
 *  unknown  something left and no answer came.  Said at once when the
 *           deadline passes or the server is judged lost.
 *
 * An attempt that may have left the process is never sent again, but for the
 * classes that are idempotent (retry.c).  Whom to take, what to send next and
 * how much at once is decided by load.c.
 */
#include "server.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"

/* Jobs.  Admission refuses long before; this bounds memory while a server's
 * work has not been measured yet. */
#define QUEUE_MAX 2000
#define MOVED_WAIT_MS 20 /* usual time of a move of ownership */
/* A gap between two looks that is no tick of a busy process. */
#define STANDSTILL_MIN (200 * CC_MS)

static void on_attempt_done (const CcAttemptResult *result, gpointer data);

/* The name under which a once-only attempt in progress is found. */
char *
cc_first_attempt_name (const char *pool, guint slice, const char *idempotency)
{
  return g_strdup_printf ("%s/%u/%s", pool, slice, idempotency);
}

/* Makes the tables and counters of SHARED that are this module's own. */
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

/* Whether work may be accepted for, and sent to, S at NOW as far as the lease
 * goes. */
gboolean
cc_server_may_serve (const CcServer *s, gint64 now)
{
  return s->holding->keeps || cc_tenure_is_valid (s->shared->tenure, now);
}

/* A server with an empty queue; takes over the caller's reference to H. */
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

static void
remember (CcServer *s, const CcJob *j, const CcMsgReply *r)
{
  g_autofree char *name = NULL;
  CcRemembered kept = { r->outcome, r->status, r->headers, r->body };

  if (!j->once_only)
    return;
  name = cc_first_attempt_name (j->pool, j->slice, j->idempotency);
  g_hash_table_remove (s->shared->first_attempts, name);
  if (r->outcome == CC_OUTCOME_NOT_RUN)
    cc_outcomes_forget (s->shared->outcomes, j->pool, j->slice, j->idempotency);
  else
    cc_outcomes_finish (s->shared->outcomes, j->pool, j->slice, j->idempotency,
                        &kept);
}

static void
end_job (CcServer *s, CcJob *j, const CcMsgReply *r)
{
  if (j->state == CC_JOB_ENDED)
    return;
  remember (s, j, r);
  cc_waiters_forget (s->shared->waiters, j);
  cc_job_answer (j, s->shared->mailbox, r);
  cc_timer_stop (&j->timer);
}

static void
end_not_run (CcServer *s, CcJob *j, const char *reason, guint32 wait_ms,
             gboolean reroute)
{
  CcMsgReply r = { .outcome = CC_OUTCOME_NOT_RUN,
                   .reroute = reroute,
                   .reason = reason,
                   .retry_after = wait_ms };

  end_job (s, j, &r);
}

static void
end_unknown (CcServer *s, CcJob *j, const char *reason)
{
  CcMsgReply r = { .outcome = CC_OUTCOME_UNKNOWN, .reason = reason };

  end_job (s, j, &r);
}

static guint32
wait_ms (const CcServer *s)
{
  return cc_load_wait_ms (&s->load, cc_clock_now ());
}

/* Ends J, which nothing was sent for, and frees it. */
static void
drop_queued (CcServer *s, CcJob *j, const char *reason, guint32 after_ms,
             gboolean reroute)
{
  cc_queue_remove (&s->load.queue, &j->waiting);
  end_not_run (s, j, reason, after_ms, reroute);
  cc_job_free (j);
}

static void
on_deadline (gpointer data)
{
  CcJob *j = data;
  CcServer *s = j->owner;

  if (j->state == CC_JOB_QUEUED)
    {
      drop_queued (s, j, "deadline", wait_ms (s), FALSE);
      return;
    }
  end_unknown (s, j, "deadline");
  cc_attempt_cancel (j->attempt);
}

static void
describe (CcJob *j, const CcClass *class, gint64 left)
{
  CcWaiting *w = &j->waiting;

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

/* Takes J of CLASS, whose holding must be this server's, into the queue, or
 * refuses it at once. */
void
cc_server_submit (CcServer *s, CcJob *j, const CcClass *class)
{
  gint64 left = j->deadline - cc_clock_wall ();
  CcOffer offer = { FALSE, "full", 0 };

  j->owner = s;
  j->holding = cc_holding_ref (s->holding);
  describe (j, class, left);
  if (cc_queue_length (&s->load.queue) < QUEUE_MAX)
    offer = cc_load_offer (&s->load, &j->waiting, cc_clock_now ());
  else
    offer.retry_after = wait_ms (s);
  if (!offer.admitted)
    {
      drop_queued (s, j, offer.reason, offer.retry_after, FALSE);
      return;
    }
  cc_waiters_add (s->shared->waiters, j);
  cc_timer_start (&j->timer, left, on_deadline, j);
  cc_server_pump (s);
}

static void
send_job (CcServer *s, CcJob *j)
{
  g_autofree char *run_id =
      g_strdup_printf ("%s-%" G_GUINT64_FORMAT, s->shared->tenure->id,
                       cc_mailbox_next_id (s->shared->mailbox));
  const CcHeldSlice *slice =
      g_hash_table_lookup (s->holding->slices, GUINT_TO_POINTER (j->slice));
  CcUpstreamRequest o = { .address = s->holding->address,
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
  j->attempt = cc_upstream_send (s->shared->upstream, &o, on_attempt_done, j);
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
may_send (const CcWaiting *w, gpointer data)
{
  const CcServer *s = data;

  return cc_holding_may_send (s->holding, w->slice, cc_clock_now ());
}

/* Sends what may be sent.  The lease is checked before every single send: the
 * process may have been paused since the last. */
void
cc_server_pump (CcServer *s)
{
  while (cc_queue_length (&s->load.queue) > 0)
    {
      gint64 now = cc_clock_now ();
      CcWaiting *w;

      if (!cc_server_may_serve (s, now))
        return;
      w = cc_load_next (&s->load, may_send, s, now);
      if (w == NULL)
        return;
      send_job (s, w->item);
    }
}

/* Tries again what FAILED if the class, the budget and the time allow it. */
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

/* Returns FALSE if J waits again. */
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
      end_not_run (s, j, "fenced", MOVED_WAIT_MS, TRUE);
      return TRUE;
    case CC_ATTEMPT_SHED:
      if (retry (s, j, CC_FAIL_NOT_RUN))
        return FALSE;
      end_not_run (s, j, "shed", wait_ms (s), FALSE);
      return TRUE;
    case CC_ATTEMPT_UNSENT:
      if (retry (s, j, CC_FAIL_NOT_RUN))
        return FALSE;
      end_not_run (s, j, "unreachable", wait_ms (s), FALSE);
      return TRUE;
    case CC_ATTEMPT_LOST:
      if (retry (s, j, CC_FAIL_UNKNOWN))
        return FALSE;
      end_unknown (s, j, "lost");
      return TRUE;
    }
  return TRUE;
}

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

/* Gives back what waits for slices that are no longer owned. */
static void
flush_moved (CcServer *s)
{
  g_autoptr (GPtrArray) items = cc_queue_items (&s->load.queue);

  for (guint i = 0; i < items->len; i++)
    {
      CcJob *j = ((CcWaiting *) items->pdata[i])->item;

      if (!cc_holding_owns (s->holding, j->slice))
        drop_queued (s, j, "moved", MOVED_WAIT_MS, TRUE);
    }
}

static void
flush_all (CcServer *s, const char *reason, guint32 after_ms, gboolean reroute)
{
  g_autoptr (GPtrArray) items = cc_queue_items (&s->load.queue);

  for (guint i = 0; i < items->len; i++)
    drop_queued (s, ((CcWaiting *) items->pdata[i])->item, reason, after_ms,
                 reroute);
}

/* To be called after the holding changed: gives back what it no longer owns,
 * and sees to a grant for what is new. */
void
cc_server_updated (CcServer *s)
{
  flush_moved (s);
  s->grant_due = 0;
  s->report_due = 0;
  cc_server_tick (s, cc_clock_now ());
}

static void
lose_sent (CcServer *s)
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

/* Counts out the time in which this process did not look, or had no lease and
 * so sent neither grants nor probes that the server could answer. */
static void
skip_standstill (CcServer *s, gint64 now)
{
  gint64 gap = s->ticked != 0 ? now - s->ticked : 0;
  gboolean asked = s->asked;

  s->ticked = now;
  s->asked = cc_server_may_serve (s, now);
  if (gap >= STANDSTILL_MIN || !asked)
    cc_holding_stood_still (s->holding, gap);
  if (gap >= STANDSTILL_MIN)
    cc_load_stood_still (&s->load, gap);
}

/* Looks at the server's health and grant at NOW.  Called every 20 ms or so. */
void
cc_server_tick (CcServer *s, gint64 now)
{
  skip_standstill (s, now);
  if (cc_holding_judge (s->holding, now))
    {
      cc_log (CC_LOG_WARNING, "server", "%s/%s is %s", s->holding->pool,
              s->holding->name, s->holding->lost ? "lost" : "back");
      s->report_due = 0;
      if (s->holding->lost)
        {
          lose_sent (s);
          flush_all (s, "moved", MOVED_WAIT_MS, TRUE);
        }
    }
  if (cc_load_stalled (&s->load, now))
    flush_all (s, "stalled", wait_ms (s), FALSE);
  cc_server_check_connections (s, now);
  cc_server_renew_grant (s, now);
  cc_server_pump (s);
}

/* The request in M is a repeat of J's and gets its answer, too. */
void
cc_server_join (CcServerShared *shared, CcJob *j, const CcMessage *m)
{
  cc_job_add_waiter (j, m);
  cc_waiters_add (shared->waiters, j);
}

/* The last waiter of J went away.  Once-only work at the server goes on: its
 * outcome is wanted for the repeat. */
static void
abandon (CcJob *j)
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

/* The caller of request ID went away. */
void
cc_server_cancel (CcServerShared *shared, guint64 incarnation, guint64 id)
{
  CcJob *j = cc_waiters_take (shared->waiters, incarnation, id);

  if (j != NULL && cc_job_drop_waiter (j, incarnation, id))
    abandon (j);
}

/* Gives the queue back and lets go.  Attempts at the server end by themselves,
 * their outcome is said to be unknown now. */
void
cc_server_free (CcServer *s)
{
  GHashTableIter iter;
  gpointer job;

  flush_all (s, "moved", MOVED_WAIT_MS, TRUE);
  lose_sent (s);
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
