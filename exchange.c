/* Handles the end of an attempt: answers the caller or retries.
 *
 * Only requests that provably did not run or are idempotent are retried.  A
 * connection that could not be opened is proof; one that failed after the first
 * byte is not, whatever the state of the upstream.  Each retry of an attempt
 * that reached an upstream is taken from the fleet's retry budget
 * (retry_budget.h), so that retries cannot multiply the load of an overloaded
 * pool. */
#include "exchange_state.h"

#include <string.h>

#include "clock.h"
#include "event_log.h"
#include "metrics.h"

/* Attempts of one request that may fail before anything is sent. */
#define UNREACHED_MAX 4
/* Delay before a retry after the key moved, unless the key ranges change
 * earlier. */
#define MOVED_RETRY_DELAY (60 * CC_MS)
/* Delay of a retry at an owner, as the number of requests that the owner serves
 * meanwhile. */
#define OWNER_RETRY_AFTER 1.5
/* Period of the checks whether an attempt waits on a link that is lost.  A
 * probe of the upstream ends within it. */
#define CHECK_PERIOD (300 * CC_MS)
/* A connection reset within this share of the typical work time was not reset
 * by work that failed. */
#define IMMEDIATE_RESET_SHARE 0.25

/* Frees E without calling its callback.  Its call must have ended. */
void
cc_exchange_free (CcExchange *e)
{
  cc_timer_stop (&e->timer);
  cc_backlog_remove (&e->pool->backlog, &e->entry);
  e->forwarder->pending--;
  g_queue_unlink (&e->forwarder->exchanges, &e->link);
  cc_caller_info_clear (&e->caller);
  g_ptr_array_unref (e->tried);
  g_clear_pointer (&e->peers_tried, g_ptr_array_unref);
  g_bytes_unref (e->body);
  g_free (e->kind);
  g_free (e->method);
  g_free (e->path);
  g_free (e->headers);
  g_strfreev (e->homes);
  g_free (e);
}

/* Returns what is known of E's work before it runs. */
CcWorkFeatures
cc_exchange_features (const CcExchange *e)
{
  return (CcWorkFeatures){ .route = e->kind,
                           .method = e->method,
                           .body = g_bytes_get_size (e->body),
                           .path = e->work_path };
}

/* Returns the estimated number of requests in progress at T, as used for the
 * admission of E. */
double
cc_exchange_inside (const CcExchange *e, const CcTarget *t, gint64 now)
{
  return e->keyed ? cc_pick_owner_inside (&t->load, &e->typical, now)
                  : cc_pick_inside (&t->load, &e->typical, now);
}

/* Completes END with the data of E, frees E and calls its callback. */
static void
finish (CcExchange *e, CcExchangeResult *end)
{
  CcExchangeDone done = e->done;
  gpointer data = e->data;
  g_autofree char *target =
      g_strdup (end->target != NULL     ? end->target
                : e->target != NULL     ? e->target->listing.id
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
  end->unreachable = e->unreachable && end->kind == CC_EXCHANGE_NOT_RUN;
  end->partitioned = end->unreachable && e->pool->partitioned;
  end->peer = e->peer != NULL ? e->peer : "";
  end->connection = e->connection;
  end->same_id = e->same_id;
  end->waited = cc_clock_now () - e->began - e->served;
  cc_exchange_free (e);
  if (done != NULL)
    done (end, data);
}

/* Returns the time left until E's deadline, us. */
gint64
cc_exchange_left (const CcExchange *e, gint64 now)
{
  return e->deadline - now;
}

/* Ends E, which may have run, for REASON. */
void
cc_exchange_end_unknown (CcExchange *e, const char *reason)
{
  CcExchangeResult end = { .kind = CC_EXCHANGE_UNKNOWN, .reason = reason };

  finish (e, &end);
}

/* Ends E, whose last attempt did not run, for REASON.  The caller may retry
 * after RETRY_AFTER, us.  If an earlier attempt of an idempotent request may
 * have run, the outcome is unknown: not-run would be false, although the caller
 * may repeat the request. */
void
cc_exchange_end_not_run_after (CcExchange *e, const char *reason,
                               gint64 retry_after)
{
  CcExchangeResult end = { .kind = CC_EXCHANGE_NOT_RUN,
                           .reason = reason,
                           .retry_after = retry_after };

  if (e->may_have_run)
    cc_exchange_end_unknown (e, reason);
  else
    finish (e, &end);
}

/* Ends E, whose last attempt did not run, for REASON.  The caller's retry time
 * is when the present queue has drained, but not before AT (us; 0: no bound).
 */
void
cc_exchange_end_not_run_until (CcExchange *e, const char *reason, gint64 at)
{
  gint64 now = cc_clock_now ();
  gint64 wait = cc_backlog_wait (&e->pool->backlog, e->entry.priority, now);

  cc_exchange_end_not_run_after (
      e, reason,
      cc_backlog_retry_after (MAX (wait, at - now), cc_exchange_left (e, now),
                              g_random_double ()));
}

/* Notes what the upstream of E states about itself in R. */
static void
read_notice (const CcExchange *e, const CcHttpResult *r)
{
  CcUpstreamNotices *notices = e->forwarder->setup.notices;
  CcServerNotice notice;

  if (notices == NULL || r->head == NULL)
    return;
  cc_edge_read_notice (r, &notice);
  cc_upstream_notices_receive (notices, e->target->listing.id, e->born, &notice,
                               cc_clock_now ());
}

/* Notes whether an upstream states in ANSWER, which E's peer has received, that
 * it leaves.  A rest concerns the peer alone.
 *
 * The answer does not tell which start of the upstream gave it; the platform
 * starts each under a new id. */
static void
read_passed_notice (const CcExchange *e, const CcExchangeResult *answer)
{
  CcUpstreamNotices *notices = e->forwarder->setup.notices;
  const CcTarget *t =
      cc_targets_find (e->forwarder->setup.targets, answer->target);
  CcHttpResult head = { .head_status = answer->status,
                        .head = answer->headers };
  CcServerNotice notice;

  if (notices == NULL || t == NULL)
    return;
  cc_edge_read_notice (&head, &notice);
  notice.rest = CC_REST_NONE;
  cc_upstream_notices_receive (notices, answer->target, t->listing.born,
                               &notice, cc_clock_now ());
}

/* Counts and logs the answer to E with STATUS of the upstream TARGET, which the
 * caller does not get since it would promise more than is proved, and retries E
 * after DELAY, us, if it is idempotent. */
static void
withhold (CcExchange *e, guint status, const char *target, gint64 delay)
{
  g_autofree char *label = g_strdup_printf ("status=\"%u\"", status);

  ++*cc_metrics_counter ("capercrank_answers_unproven", label);
  cc_event (CC_EVENT_FAILED, "answer-unproven", "request", e->caller.id, "pool",
            e->pool->name, "target", target, "peer",
            e->peer != NULL ? e->peer : "", "status", cc_event_int (status),
            "attempts", cc_event_int (e->attempts), NULL);
  cc_exchange_retry_unknown (e, "answer-unproven", delay);
}

/* Ends E with ANSWER, which a peer has received from an upstream. */
void
cc_exchange_end_answered (CcExchange *e, const CcExchangeResult *answer)
{
  CcExchangeResult end = { .kind = CC_EXCHANGE_ANSWERED,
                           .reason = "",
                           .status = answer->status,
                           .headers = answer->headers,
                           .body = answer->body,
                           .target = answer->target };

  read_passed_notice (e, answer);
  e->leaving = answer->leaving;
  /* Peers of older builds pass such answers on. */
  if (cc_status_promises_not_run (answer->status))
    withhold (e, answer->status, answer->target, 0);
  else
    finish (e, &end);
}

/* Ends E, whose last attempt did not run, for REASON, with a retry time taken
 * from its pool's queue. */
void
cc_exchange_end_not_run (CcExchange *e, const char *reason)
{
  cc_exchange_end_not_run_until (e, reason, 0);
}

/* Updates the estimate of the pool's load from result R of one upstream. */
static void
update_pool_load (CcExchange *e, const CcPickResult *r, gint64 now)
{
  CcPoolLoad *load = &e->pool->load;
  double inside = r->report.running + r->report.waiting;

  /* A limited upstream is idle and has no room, so it tells nothing of the
   * others. */
  if (e->target->load.limit > 0)
    return;
  if (r->report.received)
    cc_pool_load_add (load, &e->target->load.in_pool,
                      inside / MAX (e->target->load.slots, 1), e->typical.any,
                      now);
  else if (r->end == CC_PICK_REJECTED || r->end == CC_PICK_FAILED)
    cc_pool_load_add_reset (load, &e->target->load.in_pool, e->typical.any,
                            now);
}

/* Returns whether more requests are waiting at the owner of E's key, by REPORT,
 * than it serves within E's latency target. */
static gboolean
is_queue_long (const CcExchange *e, const CcLoadReport *report)
{
  guint slots = MAX (e->target->load.slots, 1);
  double inside = report->running + report->waiting;

  return report->received && report->waiting >= slots &&
         (inside + 1.0) / slots * e->typical.any > (double) e->target_time;
}

/* Reports the end of E's attempt at the owner of its key, with the load REPORT
 * of that, to those who permit requests to it.  RESET: the owner has reset the
 * connection, which may be long after the attempt began if it was a new one. */
static void
report_to_permits (const CcExchange *e, const CcLoadReport *report,
                   gboolean reset, gint64 now)
{
  CcOwnerPermits *permits = e->forwarder->setup.permits;
  const CcListing *l = &e->target->listing;
  CcPermitOwner owner = { l->id, l->born, e->target->load.slots, l->zone };
  CcOwnerReport end = { .received = report->received,
                        .inside = report->running + report->waiting };

  if (permits == NULL || !e->keyed)
    return;
  if (reset || is_queue_long (e, report))
    cc_owner_permits_owner_full (permits, &owner, now);
  cc_owner_permits_ended (permits, &owner, &end, now);
}

/* Records the end of E's attempt at its upstream in the load estimates and work
 * times.  REPORT is the upstream's load report, or NULL. */
static void
release_target (CcExchange *e, CcPickEnd end, const CcLoadReport *report)
{
  gint64 now = cc_clock_now ();
  CcPickResult r = { .end = end,
                     .took = now - e->sent,
                     .work_share = e->work_share,
                     .typical = e->typical.kind,
                     .predicted = e->typical.predicted,
                     .spread = e->typical.spread };

  if (report != NULL)
    r.report = *report;
  if (e->suspect_runs)
    cc_crash_guard_end_run (e->forwarder->setup.guard, &e->fingerprints);
  e->suspect_runs = FALSE;
  e->served += now - e->sent;
  cc_pick_remove_own (&e->target->load, &e->own);
  cc_pick_ended (&e->target->load, &r, now);
  update_pool_load (e, &r, now);
  cc_backlog_ended (&e->pool->backlog, now);
  if (end == CC_PICK_ANSWERED)
    {
      CcWorkFeatures f = cc_exchange_features (e);

      cc_work_estimate_add (&e->pool->work, &f,
                            (double) r.took * e->work_share);
    }
}

/* Cancels the attempt in progress. */
void
cc_exchange_cancel_call (CcExchange *e)
{
  cc_http_cancel (e->call);
  e->call = NULL;
  release_target (e, CC_PICK_ABANDONED, NULL);
}

/* Takes a retry from the budget for E, whose attempt reached an upstream and
 * failed.  Returns FALSE if the attempts, the time or the budget are used up.
 */
static gboolean
take_retry (CcExchange *e)
{
  gint64 now = cc_clock_now ();

  return e->attempts < e->attempts_max && cc_exchange_left (e, now) > 0 &&
         cc_retry_budget_take (&e->pool->budget,
                               &e->forwarder->setup.retry_bound,
                               e->forwarder->entries, now);
}

/* Returns the time by which the answer to E's attempt is due at the latest. */
static gint64
answer_due (const CcExchange *e)
{
  return e->deadline + CC_ANSWER_GRACE;
}

/* Starts the timer of E, which was sent to an upstream: for the next check of
 * the attempt, or for the end of its time. */
void
cc_exchange_start_timer (CcExchange *e, gint64 now)
{
  cc_timer_start (&e->timer, MIN (now + CHECK_PERIOD, answer_due (e)) - now,
                  cc_exchange_on_timeout, e);
}

/* Checks E's attempt, which has no response yet.  If the whole pool is silent,
 * connections to the upstream and to a few others are tried.  If this gateway
 * has lost its links to the pool, an idempotent request is given up there and
 * retried.
 *
 * A once-only request may have run, and waits on: the link may be restored
 * before its deadline. */
static void
check_attempt (CcExchange *e, gint64 now)
{
  CcForwarder *f = e->forwarder;
  CcTargetLoad *l = &e->target->load;

  if (cc_forwarder_is_partitioned (f, e->pool, now) &&
      l->reached_at < e->sent && l->unreached_at > e->sent && e->idempotent &&
      take_retry (e))
    {
      cc_exchange_log_retry (e, "unreachable");
      cc_exchange_cancel_call (e);
      e->may_have_run = TRUE;
      cc_exchange_requeue (e, 0);
      cc_forwarder_pump (f);
      return;
    }
  if (cc_pool_reach_is_silent (&e->pool->reach, e->sent))
    {
      cc_forwarder_probe (f, e->pool, e->target);
      cc_forwarder_probe_some (f, e->pool);
    }
  cc_exchange_start_timer (e, now);
}

/* The timer of the exchange DATA has expired.  If its deadline has passed, ends
 * it: not-run if it waits, unknown if it was sent. */
void
cc_exchange_on_timeout (gpointer data)
{
  CcExchange *e = data;
  CcForwarder *f = e->forwarder;
  gint64 now = cc_clock_now ();

  switch (e->state)
    {
    case STATE_WAITING:
      cc_exchange_end_not_run (e, e->moving ? "keys-moving" : "deadline");
      return;
    case STATE_SENT:
      if (now < answer_due (e))
        {
          check_attempt (e, now);
          return;
        }
      cc_exchange_cancel_call (e);
      break;
    case STATE_FORWARDED:
      cc_http_cancel (e->call);
      cc_exchange_end_forward (e, CC_PEER_FAILED);
      break;
    }
  cc_exchange_end_unknown (e, "deadline");
  cc_forwarder_pump (f);
}

/* Ends E, which has no answer, since this process stops: not-run if it waits,
 * unknown if it was sent. */
void
cc_exchange_end_stopping (CcExchange *e)
{
  switch (e->state)
    {
    case STATE_WAITING:
      cc_exchange_end_not_run_after (e, "stopping", CC_STOPPING_RETRY);
      return;
    case STATE_SENT:
      cc_exchange_cancel_call (e);
      break;
    case STATE_FORWARDED:
      cc_http_cancel (e->call);
      cc_exchange_end_forward (e, CC_PEER_ABANDONED);
      break;
    }
  cc_exchange_end_unknown (e, "stopping");
}

/* Returns E to its pool's backlog.  It is not sent again before DELAY, us. */
void
cc_exchange_requeue (CcExchange *e, gint64 delay)
{
  gint64 now = cc_clock_now ();

  e->state = STATE_WAITING;
  e->call = NULL;
  e->not_before = now + delay;
  cc_backlog_push (&e->pool->backlog, &e->entry);
  cc_timer_start (&e->timer, cc_exchange_left (e, now), cc_exchange_on_timeout,
                  e);
}

/* Logs that E is tried again, since its last attempt ended for WHY. */
void
cc_exchange_log_retry (const CcExchange *e, const char *why)
{
  cc_event (CC_EVENT_FAILED, "attempt-repeated", "request", e->caller.id,
            "pool", e->pool->name, "target",
            e->target != NULL ? e->target->listing.id : "", "peer",
            e->peer != NULL ? e->peer : "", "why", why, "connection",
            cc_event_int ((gint64) e->connection), "same_id",
            e->same_id ? "yes" : "no", "attempts", cc_event_int (e->attempts),
            "left_ms",
            cc_event_int (cc_exchange_left (e, cc_clock_now ()) / CC_MS), NULL);
}

/* Retries E after an attempt of which nothing was sent.  It is not counted as
 * an attempt and needs no budget. */
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
  cc_exchange_log_retry (e, why);
  cc_exchange_requeue (e, 0);
}

/* Retries E, whose attempt was withdrawn since its upstream may not get
 * requests any more.  It is not counted as an attempt. */
static void
retry_withdrawn (CcExchange *e)
{
  e->attempts--;
  e->leaving = -1;
  cc_exchange_log_retry (e, "withdrawn");
  cc_exchange_requeue (e, 0);
}

/* Retries E after a reply that proves that it did not run: the upstream
 * rejected it for its load, or does not own the key. */
static void
retry_not_run (CcExchange *e, const CcServerReply *reply)
{
  gboolean moved = reply->kind == CC_SERVER_MISDIRECTED && e->keyed;
  gboolean rests = e->keyed && cc_clock_now () < e->target->rest_until;

  /* It is decided anew, and refused, without a part of the retry budget. */
  if (rests)
    {
      cc_exchange_requeue (e, 0);
      return;
    }
  if (!take_retry (e))
    {
      cc_exchange_end_not_run (e, moved ? "keys-moved" : "shed");
      return;
    }
  cc_exchange_log_retry (e, moved ? "keys-moved" : "shed");
  e->moving = moved;
  cc_exchange_requeue (e, moved ? MOVED_RETRY_DELAY : 0);
}

/* Returns the delay before a retry at the key's owner, the only upstream that
 * may serve it: the time in which it serves a request or two of its queue.  An
 * immediate retry would find the same full queue and fail for good. */
static gint64
owner_retry_delay (const CcExchange *e)
{
  gint64 now = cc_clock_now ();
  double work_time = e->typical.any * cc_pick_slowness (&e->target->load, now) /
                     MAX (e->target->load.slots, 1);

  return MIN ((gint64) (OWNER_RETRY_AFTER * work_time),
              cc_exchange_left (e, now) / 4);
}

/* Retries E after DELAY, us, after an attempt that may have run, if E is
 * idempotent; otherwise ends it with unknown. */
void
cc_exchange_retry_unknown (CcExchange *e, const char *why, gint64 delay)
{
  if (!e->idempotent || !take_retry (e))
    {
      cc_exchange_end_unknown (e, why);
      return;
    }
  cc_exchange_log_retry (e, why);
  e->may_have_run = TRUE;
  cc_exchange_requeue (e, delay);
}

/* Returns the delay before a retry after an attempt at an upstream that may
 * have run. */
static gint64
unknown_retry_delay (const CcExchange *e)
{
  return e->keyed ? owner_retry_delay (e) : 0;
}

/* Same as cc_exchange_retry_unknown, after an attempt at an upstream. */
static void
retry_unknown (CcExchange *e, const char *why)
{
  cc_exchange_retry_unknown (e, why, unknown_retry_delay (e));
}

/* Passes the upstream's answer to the caller, or retries an idempotent request
 * after a server error. */
static void
handle_answer (CcExchange *e, const CcHttpResult *r)
{
  CcExchangeResult end = { .kind = CC_EXCHANGE_ANSWERED, .reason = "" };

  /* An idempotent request may succeed at another upstream after a server error,
   * except 504, which means that its deadline has passed. */
  if (r->status >= 500 && r->status != 504 && e->idempotent && !e->keyed &&
      take_retry (e))
    {
      cc_exchange_log_retry (e, "server-error");
      e->may_have_run = TRUE;
      cc_exchange_requeue (e, 0);
      return;
    }
  end.status = r->status;
  end.headers = r->headers;
  end.body = r->body;
  finish (e, &end);
}

/* Classifies the answer R to E's attempt for the load estimates.  An upstream
 * that has asked for rest gets that, and takes its part again afterwards. */
static CcPickEnd
pick_end (const CcExchange *e, const CcHttpResult *r,
          const CcServerReply *reply)
{
  switch (reply->kind)
    {
    case CC_SERVER_ANSWERED:
      return r->status >= 500 && r->status != 504 ? CC_PICK_FAILED
                                                  : CC_PICK_ANSWERED;
    case CC_SERVER_SHED:
      return cc_clock_now () < e->target->rest_until ? CC_PICK_ABANDONED
                                                     : CC_PICK_SHED;
    case CC_SERVER_MISDIRECTED:
      return CC_PICK_ABANDONED;
    case CC_SERVER_UNPROVEN:
    case CC_SERVER_MISMATCHED:
      return CC_PICK_FAILED;
    }
  return CC_PICK_FAILED;
}

/* Notes whether the answer REPLY to E's attempt names a limit. */
static void
note_limit (CcExchange *e, const CcServerReply *reply, gint64 now)
{
  CcFleetLimits *limits = e->forwarder->setup.limits;
  const CcListing *l = &e->target->listing;

  if (limits == NULL || reply->kind == CC_SERVER_MISMATCHED ||
      reply->kind == CC_SERVER_MISDIRECTED)
    return;
  switch (reply->limit.kind)
    {
    case CC_LIMIT_NONE:
      cc_fleet_limits_answer_unlimited (limits, l->id, l->born, e->sent, now);
      break;
    case CC_LIMIT_NAMED:
      cc_fleet_limits_answer_named (limits, l->id, l->born, reply->limit.rate,
                                    e->sent, now);
      break;
    case CC_LIMIT_DAMAGED:
      cc_event (CC_EVENT_FAILED, "upstream-limit-damaged", "request",
                e->caller.id, "target", l->id, NULL);
      break;
    }
}

/* The run of E has ended and its upstream has not. */
static void
record_good_run (CcExchange *e)
{
  CcCrashGuard *guard = e->forwarder->setup.guard;

  if (guard != NULL && cc_crash_guard_has_path (guard, e->path_hash))
    cc_crash_guard_good_run (guard, cc_exchange_fingerprints (e));
}

/* Handles an HTTP response to E's attempt according to its kind. */
static void
handle_reply (CcExchange *e, const CcHttpResult *r)
{
  CcServerReply reply = { 0 };

  cc_edge_read_server (r, e->caller.id, &reply);
  note_limit (e, &reply, cc_clock_now ());
  release_target (e, pick_end (e, r, &reply), &reply.load);
  report_to_permits (e, &reply.load, FALSE, cc_clock_now ());
  switch (reply.kind)
    {
    case CC_SERVER_ANSWERED:
      record_good_run (e);
      handle_answer (e, r);
      break;
    case CC_SERVER_SHED:
    case CC_SERVER_MISDIRECTED:
      retry_not_run (e, &reply);
      break;
    case CC_SERVER_UNPROVEN:
      record_good_run (e);
      withhold (e, r->status, e->target->listing.id, unknown_retry_delay (e));
      break;
    case CC_SERVER_MISMATCHED:
      retry_unknown (e, "not-its-answer");
      break;
    }
}

/* Returns whether E is left to its caller after a loss, since one more attempt
 * may end another upstream before anything is known: it seems to have ended two
 * already, in this exchange or in earlier ones. */
static gboolean
may_be_fatal (CcExchange *e)
{
  CcForwarder *f = e->forwarder;
  CcCrashGuard *guard = f->setup.guard;

  if (guard == NULL)
    return FALSE;
  if (e->losses > 1 && cc_forwarder_upstream_seems_ended (f, e->lost_at))
    return TRUE;
  return cc_crash_guard_has_path (guard, e->path_hash) &&
         cc_crash_guard_is_suspect (guard, cc_exchange_fingerprints (e));
}

/* Handles the loss of the connection of E's attempt for WHY. */
static void
handle_loss (CcExchange *e, const char *why, gint64 now)
{
  if (e->losses++ == 0)
    e->lost_at = e->target;
  if (!g_str_equal (why, "not-http") && !g_str_equal (why, CC_HTTP_TOO_LARGE))
    cc_forwarder_upstream_lost (e, now);
  if (may_be_fatal (e))
    cc_exchange_end_unknown (e, why);
  else
    retry_unknown (e, why);
}

/* Whether E's upstream reset the connection because of its load: immediately,
 * as when its queue is full.  This is no proof that the work did not start,
 * only a sign that the upstream is at capacity. */
static gboolean
is_overload_reset (const CcExchange *e, const CcHttpResult *r)
{
  return g_str_equal (r->why, "reset") &&
         (double) (cc_clock_now () - e->sent) <
             IMMEDIATE_RESET_SHARE * e->typical.kind;
}

/* Returns the value of the Host header in HEADERS, lines that end in CRLF; ""
 * if there is none.  The caller frees it. */
static char *
host_of (const char *headers)
{
  static const char name[] = "Host:";
  const char *line = headers;

  while (*line != '\0')
    {
      gsize length = strcspn (line, "\r\n");

      if (g_ascii_strncasecmp (line, name, strlen (name)) == 0)
        return g_strstrip (
            g_strndup (line + strlen (name), length - strlen (name)));
      line += length + strspn (line + length, "\r\n");
    }
  return g_strdup ("");
}

/* Returns the fingerprints of E, which are computed when first needed, since
 * few requests need them. */
const CcFingerprints *
cc_exchange_fingerprints (CcExchange *e)
{
  if (!e->has_fingerprints)
    {
      g_autofree char *host = host_of (e->headers);
      CcFingerprintInput input = { .host = host,
                                   .method = e->method,
                                   .path = e->path,
                                   .caller = e->caller.address != NULL
                                                 ? e->caller.address
                                                 : "",
                                   .body = e->body };

      cc_fingerprints_make (&input, &e->fingerprints);
      e->has_fingerprints = TRUE;
    }
  return &e->fingerprints;
}

/* Logs that the connection of E's attempt was lost for WHY after the request
 * was sent. */
static void
log_lost (CcExchange *e, const char *why, gint64 now)
{
  char text[CC_FINGERPRINT_TEXT];

  if (!cc_event_allowed (CC_EVENT_FAILED))
    return;
  cc_fingerprint_write (&cc_exchange_fingerprints (e)->by_caller, text);
  cc_event (CC_EVENT_FAILED, "attempt-lost", "request", e->caller.id,
            "fingerprint", text, "caller",
            e->caller.address != NULL ? e->caller.address : "", "pool",
            e->pool->name, "target", e->target->listing.id, "why", why,
            "server_ms", cc_event_int ((now - e->sent) / CC_MS), "in_flight",
            cc_event_int (e->target->load.in_flight), NULL);
}

/* Notes on which connection E's attempt was made, by its result R. */
static void
note_connection (CcExchange *e, const CcHttpResult *r)
{
  static CcCounter *same_ids;

  if (same_ids == NULL)
    same_ids = cc_metrics_counter ("capercrank_attempts_of_same_id", "");
  *same_ids += r->same_id;
  e->connection = r->connection;
  e->same_id = r->same_id;
}

/* Handles result R of the attempt of DATA, an exchange. */
void
cc_exchange_on_result (const CcHttpResult *r, gpointer data)
{
  static const CcLoadReport none = { 0 };
  CcExchange *e = data;
  CcForwarder *f = e->forwarder;
  CcPoolReach *reach = &e->pool->reach;
  gint64 now = cc_clock_now ();

  e->call = NULL;
  cc_timer_stop (&e->timer);
  note_connection (e, r);
  read_notice (e, r);
  switch (r->end)
    {
    case CC_HTTP_ANSWERED:
      cc_pool_reach_succeeded (reach, &e->target->load.reach, now);
      cc_forwarder_upstream_answered (f, e->target, now);
      handle_reply (e, r);
      break;
    case CC_HTTP_UNSENT:
      cc_pool_reach_failed (reach, &e->target->load.reach, now);
      release_target (e, CC_PICK_UNREACHABLE, NULL);
      if (g_str_equal (r->why, "refused"))
        cc_forwarder_upstream_refused (f, e->target, now);
      retry_unsent (e, r->why);
      break;
    case CC_HTTP_WITHDRAWN:
      release_target (e, CC_PICK_ABANDONED, NULL);
      retry_withdrawn (e);
      break;
    case CC_HTTP_LOST:
      log_lost (e, r->why, now);
      release_target (
          e, is_overload_reset (e, r) ? CC_PICK_REJECTED : CC_PICK_FAILED,
          NULL);
      report_to_permits (e, &none, g_str_equal (r->why, "reset"), now);
      handle_loss (e, r->why, now);
      break;
    case CC_HTTP_TIMED_OUT:
      release_target (e, CC_PICK_ABANDONED, NULL);
      report_to_permits (e, &none, FALSE, now);
      cc_exchange_end_unknown (e, "deadline");
      break;
    }
  cc_forwarder_pump (f);
}
