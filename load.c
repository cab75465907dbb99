/* Combines the modules that decide for one server: cost.c estimates service
 * times, admission.c and queue.c admit and order requests, limit.c limits
 * concurrency, retry.c bounds repeated attempts.  There is no clock, network or
 * thread here; the time is passed in.
 *
 * Load patterns: long jobs among short ones, and a server that hangs.  Long
 * jobs get at most half of the slots: if they had all, four long jobs would
 * make every short one wait for the duration of a long one, past its target.  A
 * hung server keeps its slots occupied; its queue is refused as soon as the
 * server is classified as stalled, rather than at each request's deadline. */
#include "load.h"

/* A job is long if its cost is this many times the server's mean.  Jobs of one
 * class typically differ by a factor of 1.5, long jobs from short ones by ten.
 */
#define LONG_FACTOR 4

/* A server is stalled if it has not answered for STALL_MIN plus STALL_FACTOR
 * times the expected time of the work in it.  That is well above a garbage
 * collection pause.  The kernel's minimum retransmission timeout of 200 ms
 * would be too long: targets of 100 ms are missed by then. */
#define STALL_MIN (100 * CC_MS)
#define STALL_FACTOR 4

/* Until a server was measured, its work is assumed to take the target time
 * divided by this.  A cold server may need that long, and with a lower estimate
 * it would be classified as stalled before its first answer.  A target below
 * four times the work leaves no time for queueing anyway. */
#define UNMEASURED_DIVISOR 4

/* Initializes L for an idle server. */
void
cc_load_init (CcLoad *l)
{
  *l = (CcLoad){ 0 };
  cc_queue_init (&l->queue);
  cc_costs_init (&l->costs);
  cc_limit_init (&l->limit);
  cc_retries_init (&l->retries);
}

/* Frees the contents of L, but not the requests in its queue. */
void
cc_load_clear (CcLoad *l)
{
  cc_queue_clear (&l->queue);
  cc_costs_clear (&l->costs);
  cc_retries_clear (&l->retries);
}

/* The slots that long jobs may use. */
static guint
long_slots (const CcLoad *l)
{
  return MAX (l->limit.limit / 2, 1);
}

/* The slots available to W's class and job length. */
static double
slots_for (const CcLoad *l, const CcQueueEntry *w, gint64 now)
{
  guint classes = cc_queue_active (&l->queue, w->class_id, now - w->within);
  guint slots = l->limit.limit;

  if (w->is_long)
    slots = long_slots (l);
  else if (slots > l->running_long)
    slots -= l->running_long;
  return (double) MAX (slots, 1) / classes;
}

/* The expected service time of W; a default until the server was measured. */
static CcCost
estimate (const CcLoad *l, const CcQueueEntry *w)
{
  CcCost cost = cc_costs_of (&l->costs, w->kind);

  if (cost.mean == 0)
    cost.mean = w->within / UNMEASURED_DIVISOR;
  return cost;
}

/* The input for the admission decision on W. */
static CcAdmissionRequest
admission_input (const CcLoad *l, const CcQueueEntry *w, gint64 now)
{
  const CcLane *lane = cc_queue_lane (&l->queue, w->class_id);
  CcCost cost = estimate (l, w);
  CcAdmissionRequest a = { .within = w->within,
                           .left = w->left,
                           .service = cost.mean,
                           .deviation = cost.deviation,
                           .slots = slots_for (l, w, now),
                           .tenant =
                               cc_queue_tenant_cost (&l->queue, w->tenant),
                           .slice = cc_queue_slice_cost (&l->queue, w->slice) };

  if (lane != NULL)
    a.ahead = lane->backlog[w->is_long];
  if (l->running >= l->limit.limit)
    a.ahead += l->running_cost[w->is_long] / 2;
  return a;
}

/* Sets the cost and the length of W. */
static void
classify (const CcLoad *l, CcQueueEntry *w)
{
  gint64 mean = l->costs.all.mean;

  w->cost = estimate (l, w).mean;
  w->is_long = mean > 0 && w->cost >= LONG_FACTOR * mean;
}

static CcOfferResult
refusal (const char *reason, guint32 retry_after)
{
  return (CcOfferResult){ FALSE, reason, retry_after };
}

/* Queues W, or refuses it with a reason.  Sets W's cost and length. */
CcOfferResult
cc_load_offer (CcLoad *l, CcQueueEntry *w, gint64 now)
{
  CcAdmissionRequest a;
  CcAdmission verdict;

  classify (l, w);
  if (cc_load_stalled (l, now))
    return refusal ("stalled", cc_load_wait_ms (l, now));
  a = admission_input (l, w, now);
  verdict = cc_admission_decide (&a);
  switch (verdict)
    {
    case CC_REFUSE_LATE:
      return refusal ("overload", cc_admission_retry_after (&l->comeback, &a,
                                                            verdict, now));
    case CC_REFUSE_SHARE:
      return refusal (
          "share", cc_admission_retry_after (&l->comeback, &a, verdict, now));
    case CC_ADMIT:
      break;
    }
  cc_queue_push (&l->queue, w);
  return (CcOfferResult){ TRUE, "", 0 };
}

/* Removes the request to be sent next from the queue and counts it as sent.
 * Returns NULL if none may be sent now. */
CcQueueEntry *
cc_load_next (CcLoad *l, CcMaySend may, gpointer data, gint64 now)
{
  CcQueueEntry *w;

  if (!cc_limit_may_send (&l->limit, l->running, now))
    return NULL;
  w = cc_queue_pop (&l->queue, l->running_long < long_slots (l), may, data);
  if (w == NULL)
    return NULL;
  if (l->running == 0)
    l->progress = now;
  if (w->tries++ == 0)
    cc_retries_earn (&l->retries, w->class_id);
  w->sent = now;
  w->answers = l->answers;
  l->running++;
  l->running_long += w->is_long ? 1 : 0;
  l->running_cost[w->is_long] += w->cost;
  return w;
}

/* The expected time of all work in the server, us. */
static gint64
running_cost (const CcLoad *l)
{
  return l->running_cost[0] + l->running_cost[1];
}

/* The time without an answer after which work of COST us counts as stalled,
 * us. */
static gint64
stall_limit (gint64 cost)
{
  return STALL_MIN + STALL_FACTOR * cost;
}

/* Whether the server has not answered any request since W was sent.  If it has,
 * only W's connection has failed, not the server. */
static gboolean
has_not_answered_since (const CcLoad *l, const CcQueueEntry *w)
{
  return l->answers == w->answers;
}

/* W's attempt ended at NOW.  A cancelled attempt lowers the server's limit only
 * if it took longer than the stall limit: a caller with a deadline of 5 ms must
 * not lower the limit of a healthy server. */
void
cc_load_done (CcLoad *l, const CcQueueEntry *w, CcLoadEnd end, gint64 now)
{
  gboolean saturated =
      l->running >= l->limit.limit && cc_queue_length (&l->queue) > 0;

  l->running--;
  l->running_long -= w->is_long ? 1 : 0;
  l->running_cost[w->is_long] -= w->cost;
  switch (end)
    {
    case CC_LOAD_ANSWERED:
      l->answers++;
      l->progress = now;
      cc_costs_add (&l->costs, w->kind, now - w->sent);
      cc_limit_answered (&l->limit, saturated, now);
      break;
    case CC_LOAD_SHED:
      l->progress = now;
      cc_limit_shed (&l->limit, l->costs.all.mean, now);
      break;
    case CC_LOAD_UNSENT:
      break;
    case CC_LOAD_CANCELLED:
      if (has_not_answered_since (l, w) &&
          now - w->sent > stall_limit (w->cost))
        cc_limit_lost (&l->limit, now);
      break;
    case CC_LOAD_LOST:
      if (has_not_answered_since (l, w))
        cc_limit_lost (&l->limit, now);
      break;
    }
}

/* Puts W, whose attempt failed with F, back into the queue if the retry budget
 * and the deadline allow another attempt.  Returns FALSE if not. */
gboolean
cc_load_retry (CcLoad *l, CcQueueEntry *w, CcFailure f, gint64 now)
{
  gint64 again = now + estimate (l, w).mean;

  if (again > w->arrived + w->left ||
      !cc_retries_take (&l->retries, w->class_id, w->once_only, f, w->tries))
    return FALSE;
  cc_queue_push (&l->queue, w);
  return TRUE;
}

/* Whether W's attempt is to be cancelled and repeated, see hedge.c.  A second
 * attempt is not, since its connection was new; nor work of a kind that was
 * never measured, which may simply take long. */
gboolean
cc_load_hedge (const CcLoad *l, const CcQueueEntry *w, gint64 now)
{
  CcHedgeAttempt a = { .once_only = w->once_only,
                       .age = now - w->sent,
                       .later_answers = l->answers - w->answers,
                       .cost = cc_costs_of (&l->costs, w->kind) };

  return w->tries == 1 && cc_costs_known (&l->costs, w->kind) &&
         cc_hedge_decide (&a);
}

/* This process was paused for DURATION us and read no answers, which must not
 * count as silence of the server. */
void
cc_load_process_paused (CcLoad *l, gint64 duration)
{
  l->progress += duration;
}

/* Whether the server has work and has not answered for much longer than the
 * work should take. */
gboolean
cc_load_stalled (const CcLoad *l, gint64 now)
{
  return l->running > 0 && now - l->progress > stall_limit (running_cost (l));
}

/* Retry-After for requests that are not refused by cc_load_offer, ms: the time
 * to serve everything in the server and its queue.  For a stalled server it is
 * the time since its last progress, so that successive retries of a caller are
 * spaced like an exponential backoff. */
guint32
cc_load_wait_ms (const CcLoad *l, gint64 now)
{
  gint64 cost = running_cost (l);

  if (cc_load_stalled (l, now))
    return (guint32) MIN ((now - l->progress) / CC_MS, CC_TIMEOUT_MAX_MS);
  for (guint i = 0; i < l->queue.lanes->len; i++)
    {
      const CcLane *lane = l->queue.lanes->pdata[i];

      cost += lane->backlog[0] + lane->backlog[1];
    }
  return (guint32) (cost / l->limit.limit / CC_MS) + 1;
}
