/* How an attempt ends, and what becomes of its request: the caller's answer, or
 * another attempt.
 *
 * What may be sent again: what provably did not run, and what is idempotent.
 * A connection that could not be opened is proof; a connection that failed
 * after the first byte is none, whatever the upstream's state.  Each repeat
 * that reached an upstream is paid from the fleet's budget (retry_budget.h). */
#include "exchange_state.h"

#include "clock.h"
#include "event_log.h"

/* Upstreams that could not be reached, and so were not sent to, in one
 * request. */
#define UNREACHED_MAX 4
/* Pause before a request for a key that moved is tried again, unless the
 * ranges change before. */
#define MOVED_PAUSE (60 * CC_MS)
/* Requests that an owner serves before one that it turned away is sent again.
 */
#define REPEAT_AFTER 1.5
/* A connection that is reset within this part of the time for which an upstream
 * works was not reset by work that failed. */
#define AT_ONCE_PART 0.25

/* Ends E without an answer; its call must have ended. */
void
cc_exchange_free (CcExchange *e)
{
  cc_timer_stop (&e->timer);
  cc_backlog_remove (&e->pool->backlog, &e->entry);
  e->forwarder->pending--;
  cc_caller_info_clear (&e->caller);
  g_ptr_array_unref (e->tried);
  g_bytes_unref (e->body);
  g_free (e->kind);
  g_free (e->method);
  g_free (e->path);
  g_free (e->headers);
  g_free (e);
}

/* How many requests are inside T, by what E's admission goes by. */
double
cc_exchange_inside (const CcExchange *e, const CcTarget *t, gint64 now)
{
  return e->keyed ? cc_pick_owner_inside (&t->load, &e->typical, now)
                  : cc_pick_inside (&t->load, &e->typical, now);
}

static void
end_with (CcExchange *e, CcEnd *end)
{
  CcExchangeDone done = e->done;
  gpointer data = e->data;
  g_autofree char *target =
      g_strdup (e->target != NULL       ? e->target->listing.id
                : e->considered != NULL ? e->considered->listing.id
                                        : "");

  if (e->considered != NULL)
    {
      gint64 now = cc_clock_now ();

      end->inside = cc_exchange_inside (e, e->considered, now);
      end->expected = (gint64) cc_pick_time (&e->considered->load, &e->typical,
                                             end->inside, now);
    }
  end->waiting = cc_backlog_length (&e->pool->backlog);
  end->target = target;
  end->attempts = e->attempts;
  end->served = e->served;
  end->leaving = e->leaving;
  end->waited = cc_clock_now () - e->began - e->served;
  cc_exchange_free (e);
  if (done != NULL)
    done (end, data);
}

/* How long E may still take at NOW, us. */
gint64
cc_exchange_left (const CcExchange *e, gint64 now)
{
  return e->give_up - now;
}

static void
cc_exchange_end_unknown (CcExchange *e, const char *reason)
{
  CcEnd end = { .kind = CC_END_UNKNOWN, .reason = reason };

  end_with (e, &end);
}

/* Answers E, whose last attempt has not run, and lets its caller come back when
 * the queue of now has drained, and not before AT (us; 0: no matter).  An
 * idempotent request may have run in an attempt before: "not run" would be
 * untrue then, although its caller may repeat it. */
void
cc_exchange_end_not_run_until (CcExchange *e, const char *reason, gint64 at)
{
  gint64 now = cc_clock_now ();
  gint64 wait = cc_backlog_wait (&e->pool->backlog, e->entry.priority, now);
  CcEnd end = { .kind = CC_END_NOT_RUN, .reason = reason };

  if (e->may_have_run)
    {
      cc_exchange_end_unknown (e, reason);
      return;
    }
  end.retry_after = cc_backlog_retry_after (
      MAX (wait, at - now), cc_exchange_left (e, now), g_random_double ());
  end_with (e, &end);
}

/* Ends E, of which no attempt has run, for REASON; its pool says when to come
 * back. */
void
cc_exchange_end_not_run (CcExchange *e, const char *reason)
{
  cc_exchange_end_not_run_until (e, reason, 0);
}

/* The pool's upstreams are as R says of one of them. */
static void
note_load (CcExchange *e, const CcPickResult *r, gint64 now)
{
  CcPoolLoad *load = &e->pool->load;
  double inside = r->report.running + r->report.waiting;

  if (r->report.said)
    cc_pool_load_add (load, &e->target->load.in_pool,
                      inside / MAX (e->target->load.slots, 1), e->typical.any,
                      now);
  else if (r->end == CC_PICK_TURNED_AWAY || r->end == CC_PICK_FAILED)
    cc_pool_load_full (load, &e->target->load.in_pool, e->typical.any, now);
}

static void
release_target (CcExchange *e, CcPickEnd how, const CcLoadReport *report)
{
  gint64 now = cc_clock_now ();
  CcPickResult r = { .end = how,
                     .took = now - e->sent,
                     .work_share = e->work_share,
                     .typical = e->typical.kind };

  if (report != NULL)
    r.report = *report;
  e->served += now - e->sent;
  cc_pick_ended (&e->target->load, &r, now);
  note_load (e, &r, now);
  cc_backlog_ended (&e->pool->backlog, now);
  if (how == CC_PICK_ANSWERED)
    cc_work_times_add (&e->pool->times, e->kind,
                       (double) r.took * e->work_share);
}

/* Breaks off the attempt in progress. */
void
cc_exchange_cancel_call (CcExchange *e)
{
  cc_http_cancel (e->call);
  e->call = NULL;
  release_target (e, CC_PICK_GIVEN_UP, NULL);
}

/* The time that the caller or the route allows is over. */
void
cc_exchange_on_give_up (gpointer data)
{
  CcExchange *e = data;
  CcForwarder *f = e->forwarder;

  if (e->state == STATE_WAITING)
    {
      cc_exchange_end_not_run (e, e->moving ? "keys-moving" : "deadline");
      return;
    }
  cc_exchange_cancel_call (e);
  cc_exchange_end_unknown (e, "deadline");
  cc_forwarder_pump (f);
}

static void
wait_again (CcExchange *e, gint64 pause)
{
  gint64 now = cc_clock_now ();

  e->state = STATE_WAITING;
  e->call = NULL;
  e->not_before = now + pause;
  cc_backlog_push (&e->pool->backlog, &e->entry);
  cc_timer_start (&e->timer, cc_exchange_left (e, now), cc_exchange_on_give_up,
                  e);
}

/* Whether E may be sent again after it reached an upstream, in vain. */
static gboolean
take_repeat (CcExchange *e)
{
  gint64 now = cc_clock_now ();

  return e->attempts < e->attempts_max && cc_exchange_left (e, now) > 0 &&
         cc_retry_budget_take (&e->pool->budget,
                               &e->forwarder->setup.retry_bound,
                               e->forwarder->entries, now);
}

static void
log_repeat (const CcExchange *e, const char *why)
{
  cc_event (CC_EVENT_FAILED, "attempt-repeated", "request", e->caller.id,
            "pool", e->pool->name, "target", e->target->listing.id, "why", why,
            "attempts", cc_event_int (e->attempts), "left_ms",
            cc_event_int (cc_exchange_left (e, cc_clock_now ()) / CC_MS), NULL);
}

/* Nothing of it left this process. */
static void
retry_unsent (CcExchange *e, const char *why)
{
  e->attempts--;
  e->leaving = -1;
  e->unreached++;
  if (e->unreached > UNREACHED_MAX)
    {
      cc_exchange_end_not_run (e, "unreachable");
      return;
    }
  log_repeat (e, why);
  wait_again (e, 0);
}

static void
retry_not_run (CcExchange *e, const CcServerReply *reply)
{
  gboolean moved = reply->kind == CC_SERVER_MISDIRECTED && e->keyed;

  if (!take_repeat (e))
    {
      cc_exchange_end_not_run (e, moved ? "keys-moved" : "shed");
      return;
    }
  log_repeat (e, moved ? "keys-moved" : "shed");
  e->moving = moved;
  wait_again (e, moved ? MOVED_PAUSE : 0);
}

/* A repeat at the key's owner, which is the only one to have it, goes there
 * when a request or two of its queue have been served: sent at once, it meets
 * the same full queue, and fails for good. */
static gint64
repeat_pause (const CcExchange *e)
{
  gint64 now = cc_clock_now ();
  double one = e->typical.any * cc_pick_slowness (&e->target->load, now) /
               MAX (e->target->load.slots, 1);

  return MIN ((gint64) (REPEAT_AFTER * one), cc_exchange_left (e, now) / 4);
}

static void
retry_unknown (CcExchange *e, const char *why)
{
  if (!e->idempotent || !take_repeat (e))
    {
      cc_exchange_end_unknown (e, why);
      return;
    }
  log_repeat (e, why);
  e->may_have_run = TRUE;
  wait_again (e, e->keyed ? repeat_pause (e) : 0);
}

static void
take_answer (CcExchange *e, const CcHttpResult *r)
{
  CcEnd end = { .kind = CC_END_ANSWER, .reason = "" };

  /* An idempotent request that the server failed may succeed elsewhere; at the
   * deadline there is no time for that. */
  if (r->status >= 500 && r->status != 504 && e->idempotent && !e->keyed &&
      take_repeat (e))
    {
      log_repeat (e, "server-error");
      e->may_have_run = TRUE;
      wait_again (e, 0);
      return;
    }
  end.status = r->status;
  end.headers = r->headers;
  end.body = r->body;
  end_with (e, &end);
}

static CcPickEnd
pick_end (const CcHttpResult *r, const CcServerReply *reply)
{
  switch (reply->kind)
    {
    case CC_SERVER_ANSWERED:
      return r->status >= 500 && r->status != 504 ? CC_PICK_FAILED
                                                  : CC_PICK_ANSWERED;
    case CC_SERVER_SHED:
      return CC_PICK_SHED;
    case CC_SERVER_MISDIRECTED:
      return CC_PICK_GIVEN_UP;
    case CC_SERVER_MISMATCHED:
      return CC_PICK_FAILED;
    }
  return CC_PICK_FAILED;
}

static void
take_word (CcExchange *e, const CcHttpResult *r)
{
  CcServerReply reply = { 0 };

  cc_edge_read_server (r, e->caller.id, &reply);
  release_target (e, pick_end (r, &reply), &reply.load);
  switch (reply.kind)
    {
    case CC_SERVER_ANSWERED:
      take_answer (e, r);
      break;
    case CC_SERVER_SHED:
    case CC_SERVER_MISDIRECTED:
      retry_not_run (e, &reply);
      break;
    case CC_SERVER_MISMATCHED:
      retry_unknown (e, "not-its-answer");
      break;
    }
}

/* Whether E's upstream, which reset the connection, did so for its load: at
 * once, as it does when its queue is full.  That is no proof that it did not
 * begin, only a sign of how much it takes. */
static gboolean
is_turned_away (const CcExchange *e, const CcHttpResult *r)
{
  return g_str_equal (r->why, "reset") &&
         (double) (cc_clock_now () - e->sent) < AT_ONCE_PART * e->typical.kind;
}

/* The attempt of DATA, an exchange, ended with R. */
void
cc_exchange_on_result (const CcHttpResult *r, gpointer data)
{
  CcExchange *e = data;
  CcForwarder *f = e->forwarder;

  e->call = NULL;
  cc_timer_stop (&e->timer);
  switch (r->end)
    {
    case CC_HTTP_ANSWERED:
      take_word (e, r);
      break;
    case CC_HTTP_UNSENT:
      release_target (e, CC_PICK_UNREACHABLE, NULL);
      retry_unsent (e, r->why);
      break;
    case CC_HTTP_LOST:
      release_target (
          e, is_turned_away (e, r) ? CC_PICK_TURNED_AWAY : CC_PICK_FAILED,
          NULL);
      retry_unknown (e, r->why);
      break;
    case CC_HTTP_LATE:
      release_target (e, CC_PICK_GIVEN_UP, NULL);
      cc_exchange_end_unknown (e, "deadline");
      break;
    }
  cc_forwarder_pump (f);
}
