/* A job owns copies of the parts of its message that it needs.  It may answer
 * several waiters: a caller that repeats a once-only request while the first
 * attempt is in progress receives that attempt's outcome. */
#include "job.h"

#include "clock.h"

static void
waiter_free (gpointer data)
{
  CcWaiter *w = data;

  g_free (w->reply_to);
  g_free (w);
}

/* Returns a job for the request in M, for SLICE of POOL. */
CcJob *
cc_job_new (const CcMessage *m, const char *pool, gboolean once_only,
            guint slice)
{
  const CcMsgRequest *r = &m->u.request;
  CcJob *j = g_new0 (CcJob, 1);

  j->waiters = g_ptr_array_new_with_free_func (waiter_free);
  j->class_name = g_strdup (r->class_name);
  j->once_only = once_only;
  j->tenant = g_strdup (r->tenant);
  j->idempotency = g_strdup (r->idempotency);
  j->method = g_strdup (r->method);
  j->path = g_strdup (r->path);
  j->headers = g_variant_ref (r->headers);
  j->body = g_bytes_ref (r->body);
  j->pool = g_strdup (pool);
  j->slice = slice;
  j->deadline = r->deadline;
  j->arrived = cc_clock_now ();
  cc_job_add_waiter (j, m);
  return j;
}

/* Makes J's answer go to the request in M as well. */
void
cc_job_add_waiter (CcJob *j, const CcMessage *m)
{
  CcWaiter *w = g_new0 (CcWaiter, 1);

  w->reply_to = g_strdup (m->reply_to);
  w->incarnation = m->from;
  w->id = m->id;
  g_ptr_array_add (j->waiters, w);
}

/* Removes request ID of entry INCARNATION from J's waiters.  Returns TRUE if it
 * was the last one. */
gboolean
cc_job_drop_waiter (CcJob *j, guint64 incarnation, guint64 id)
{
  for (guint i = 0; i < j->waiters->len; i++)
    {
      const CcWaiter *w = j->waiters->pdata[i];

      if (w->incarnation != incarnation || w->id != id)
        continue;
      g_ptr_array_remove_index (j->waiters, i);
      return j->waiters->len == 0;
    }
  return FALSE;
}

/* Sends R as the reply to request ID of the entry INCARNATION at address TO. */
void
cc_reply_send (CcMailbox *box, const char *to, guint64 incarnation, guint64 id,
               const CcMsgReply *r)
{
  CcMessage m = { .kind = CC_MSG_REPLY };

  m.to = incarnation;
  m.id = id;
  m.expires = cc_clock_wall () + CC_TIMEOUT_MAX_MS * CC_MS;
  m.u.reply = *r;
  cc_mailbox_send (box, to, &m);
}

/* Sends R to all of J's waiters and ends the job.
 *
 * Not-run becomes unknown if an earlier attempt may have run: the server may
 * have run an idempotent attempt whose answer was lost before the job was
 * queued again and rejected. */
void
cc_job_answer (CcJob *j, CcMailbox *box, const CcMsgReply *r)
{
  CcMsgReply reply = *r;

  if (j->may_have_run && reply.outcome == CC_OUTCOME_NOT_RUN)
    reply.outcome = CC_OUTCOME_UNKNOWN;
  for (guint i = 0; i < j->waiters->len; i++)
    {
      const CcWaiter *w = j->waiters->pdata[i];

      cc_reply_send (box, w->reply_to, w->incarnation, w->id, &reply);
    }
  g_ptr_array_set_size (j->waiters, 0);
  j->state = CC_JOB_ENDED;
}

/* Frees J. */
void
cc_job_free (CcJob *j)
{
  cc_timer_stop (&j->timer);
  if (j->holding != NULL)
    cc_holding_unref (j->holding);
  g_ptr_array_unref (j->waiters);
  g_variant_unref (j->headers);
  g_bytes_unref (j->body);
  g_free (j->class_name);
  g_free (j->tenant);
  g_free (j->idempotency);
  g_free (j->method);
  g_free (j->path);
  g_free (j->pool);
  g_free (j);
}
