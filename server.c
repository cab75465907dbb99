/* Work on one held server.  A job enters the queue, leaves it when the server
 * has a slot, the lease stands and the grant is acknowledged, and ends with
 * one of three outcomes:
 *
 *  run      the server answered;
 *  not-run  nothing left this process, or the server refused with proof;
 *  unknown  something left and no answer came.  Said at once when the
 *           deadline passes or the server is judged lost.
 *
 * An attempt that may have left the process is never sent again.
 */
#include "server.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"

#define SLOTS 4          /* of each server today */
#define QUEUE_MAX 2000   /* jobs; more than any deadline lets through */
#define SHED_WAIT_MS 50  /* a server that sheds has freed a slot by then */
#define MOVED_WAIT_MS 20 /* usual time of a move of ownership */

static void on_attempt_done (const CcAttemptResult *result, gpointer data);

/* The name under which a once-only attempt in progress is found. */
char *
cc_first_attempt_name (const char *pool, guint slice, const char *idempotency)
{
  return g_strdup_printf ("%s/%u/%s", pool, slice, idempotency);
}

/* A server with an empty queue; takes over the caller's reference to H. */
CcServer *
cc_server_new (CcServerShared *shared, CcHolding *h)
{
  CcServer *s = g_new0 (CcServer, 1);

  s->shared = shared;
  s->holding = h;
  s->limit = SLOTS;
  cc_queue_init (&s->queue);
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
  cc_job_answer (j, s->shared->mailbox, r);
  if (j->timer != 0)
    g_source_remove (j->timer);
  j->timer = 0;
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

static gboolean
on_deadline (gpointer data)
{
  CcJob *j = data;
  CcServer *s = j->owner;

  j->timer = 0;
  if (j->state == CC_JOB_QUEUED)
    {
      cc_queue_remove (&s->queue, j);
      end_not_run (s, j, "deadline", SHED_WAIT_MS, FALSE);
      cc_job_free (j);
      return G_SOURCE_REMOVE;
    }
  end_unknown (s, j, "deadline");
  cc_attempt_cancel (j->attempt);
  return G_SOURCE_REMOVE;
}

/* Takes J, whose holding must be this server's, into the queue. */
void
cc_server_take (CcServer *s, CcJob *j)
{
  gint64 left = j->deadline - cc_clock_wall ();
  CcWaiting w = { .deadline = j->deadline,
                  .arrived = j->arrived,
                  .tenant = g_str_hash (j->tenant),
                  .slice = j->slice,
                  .item = j };

  j->owner = s;
  j->holding = cc_holding_ref (s->holding);
  if (left <= 0 || cc_queue_length (&s->queue) >= QUEUE_MAX)
    {
      end_not_run (s, j, left <= 0 ? "deadline" : "full", SHED_WAIT_MS, FALSE);
      cc_job_free (j);
      return;
    }
  j->timer = g_timeout_add ((guint) (left / CC_MS) + 1, on_deadline, j);
  cc_queue_push (&s->queue, &w);
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
  CcOrder o = { .address = s->holding->address,
                .method = j->method,
                .path = j->path,
                .headers = j->headers,
                .body = j->body,
                .deadline = j->deadline,
                .term = s->holding->term,
                .slice = j->slice,
                .epoch = slice->epoch,
                .run_id = run_id,
                .once_only = j->once_only };

  j->sent = cc_clock_now ();
  j->attempt = cc_upstream_send (s->shared->upstream, &o, on_attempt_done, j);
  if (j->attempt == NULL)
    {
      end_not_run (s, j, "malformed", 0, FALSE);
      cc_job_free (j);
      return;
    }
  j->state = CC_JOB_SENT;
  g_hash_table_add (s->sent, j);
  cc_holding_sent (s->holding, j->slice);
}

static CcJob *
next_sendable (CcServer *s, gint64 now)
{
  g_autoptr (GPtrArray) items = cc_queue_items (&s->queue);

  for (guint i = 0; i < items->len; i++)
    {
      CcJob *j = items->pdata[i];

      if (!cc_holding_may_send (s->holding, j->slice, now))
        continue;
      cc_queue_remove (&s->queue, j);
      return j;
    }
  return NULL;
}

/* Sends what may be sent.  The lease is checked before every single send: the
 * process may have been paused since the last. */
void
cc_server_pump (CcServer *s)
{
  while (s->holding->running < s->limit && cc_queue_length (&s->queue) > 0)
    {
      gint64 now = cc_clock_now ();
      CcJob *j;

      if (!cc_tenure_is_valid (s->shared->tenure, now))
        return;
      j = next_sendable (s, now);
      if (j == NULL)
        return;
      send_job (s, j);
    }
}

static void
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
      break;
    case CC_ATTEMPT_FENCED:
      end_not_run (s, j, "fenced", MOVED_WAIT_MS, TRUE);
      break;
    case CC_ATTEMPT_SHED:
      end_not_run (s, j, "shed", SHED_WAIT_MS, FALSE);
      break;
    case CC_ATTEMPT_UNSENT:
      end_not_run (s, j, "unreachable", SHED_WAIT_MS, FALSE);
      break;
    case CC_ATTEMPT_LOST:
      end_unknown (s, j, "lost");
      break;
    }
}

static void
on_attempt_done (const CcAttemptResult *result, gpointer data)
{
  CcJob *j = data;
  CcServer *s = j->owner;

  cc_holding_done (j->holding, j->slice, j->deadline,
                   result->end != CC_ATTEMPT_LOST);
  if (result->end == CC_ATTEMPT_ANSWERED)
    cc_holding_answered (j->holding, cc_clock_now ());
  if (s != NULL)
    {
      g_hash_table_remove (s->sent, j);
      answer_result (s, j, result);
      cc_server_pump (s);
    }
  cc_job_free (j);
}

static void
flush_queue (CcServer *s, gboolean all)
{
  g_autoptr (GPtrArray) items = cc_queue_items (&s->queue);

  for (guint i = 0; i < items->len; i++)
    {
      CcJob *j = items->pdata[i];

      if (!all && cc_holding_owns (s->holding, j->slice))
        continue;
      cc_queue_remove (&s->queue, j);
      end_not_run (s, j, "moved", MOVED_WAIT_MS, TRUE);
      cc_job_free (j);
    }
}

/* To be called after the holding changed: gives back what it no longer owns,
 * and sees to a grant for what is new. */
void
cc_server_updated (CcServer *s)
{
  flush_queue (s, FALSE);
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

static void
on_granted (CcStatus status, guint64 serial, gint64 sent, gpointer data)
{
  CcServer *s = data;

  s->granting = FALSE;
  if (s->closed)
    {
      g_free (s);
      return;
    }
  if (status != CC_UNKNOWN)
    cc_holding_answered (s->holding, cc_clock_now ());
  if (status == CC_OK && serial != 0)
    cc_holding_grant_acked (s->holding, serial, sent);
  if (serial != s->holding->serial)
    s->grant_due = 0;
  cc_server_tick (s, cc_clock_now ());
  cc_server_pump (s);
}

static void
on_probed (CcStatus status, guint64 serial, gint64 sent, gpointer data)
{
  (void) serial;
  on_granted (status, 0, sent, data);
}

static void
renew_grant (CcServer *s, gint64 now)
{
  if (s->granting || now < s->grant_due || !s->holding->active ||
      !cc_tenure_is_valid (s->shared->tenure, now))
    return;
  s->granting = TRUE;
  s->grant_due = now + CC_GRANT_PERIOD;
  if (cc_holding_may_grant (s->holding, now))
    {
      cc_holding_grant_sent (s->holding, now);
      cc_upstream_grant (s->shared->upstream, s->holding, s->shared->tenure->id,
                         on_granted, s);
    }
  else
    cc_upstream_probe (s->shared->upstream, s->holding, on_probed, s);
}

/* Looks at the server's health and grant at NOW.  Called every 20 ms or so. */
void
cc_server_tick (CcServer *s, gint64 now)
{
  if (cc_holding_judge (s->holding, now))
    {
      cc_log (CC_LOG_WARNING, "server", "%s/%s is %s", s->holding->pool,
              s->holding->name, s->holding->lost ? "lost" : "back");
      s->report_due = 0;
      if (s->holding->lost)
        {
          lose_sent (s);
          flush_queue (s, TRUE);
        }
    }
  renew_grant (s, now);
}

/* The caller of request ID went away.  Returns TRUE if it was here.  Once-only
 * work at the server goes on: its outcome is wanted for the repeat. */
gboolean
cc_server_cancel (CcServer *s, guint64 incarnation, guint64 id)
{
  g_autoptr (GPtrArray) items = cc_queue_items (&s->queue);
  GHashTableIter iter;
  gpointer job;

  for (guint i = 0; i < items->len; i++)
    if (cc_job_drop_waiter (items->pdata[i], incarnation, id))
      {
        cc_queue_remove (&s->queue, items->pdata[i]);
        end_not_run (s, items->pdata[i], "cancelled", 0, FALSE);
        cc_job_free (items->pdata[i]);
        return TRUE;
      }
  g_hash_table_iter_init (&iter, s->sent);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    if (cc_job_drop_waiter (job, incarnation, id))
      {
        if (!((CcJob *) job)->once_only)
          cc_attempt_cancel (((CcJob *) job)->attempt);
        return TRUE;
      }
  return FALSE;
}

/* Gives the queue back and lets go.  Attempts at the server end by themselves,
 * their outcome is said to be unknown now. */
void
cc_server_free (CcServer *s)
{
  GHashTableIter iter;
  gpointer job;

  flush_queue (s, TRUE);
  lose_sent (s);
  g_hash_table_iter_init (&iter, s->sent);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    ((CcJob *) job)->owner = NULL;
  g_hash_table_unref (s->sent);
  cc_queue_clear (&s->queue);
  cc_holding_unref (s->holding);
  s->closed = TRUE;
  if (!s->granting)
    g_free (s);
}
