/* Joins the decisions of one server: cost.c estimates, admission.c and queue.c
 * take in and order, limit.c paces, retry.c repeats.  No clock, network or
 * thread: the dispatcher and `make bench` drive the same code.
 *
 * Load pattern answered here: long jobs among short ones, and a frozen server.
 * Long jobs get half of the slots: with all of them, four long jobs make every
 * short one wait for the time of a long one, past its target.  A server that
 * falls silent keeps its slots occupied; its queue is given back as soon as it
 * is judged stalled, in place of at each request's deadline.
 */
#include "load.h"

/* A job is long from this many times the server's mean.  Mixes within a class
 * differ by 1.5 times in the servers of today, long jobs by ten. */
#define LONG_FACTOR 4

/* Silence that is no accident: well above a garbage collection or a packet
 * sent again (200 ms would be the kernel's least timeout, but then targets of
 * 100 ms are long missed), and this many times the work in the server. */
#define STALL_MIN (100 * CC_MS)
#define STALL_FACTOR 4

/* Part of the target that a server's work is guessed to take before any was
 * measured.  A cold server may need so long, and with less it was called
 * stalled at its first answer; a target below four times the work leaves no
 * room to wait anyway. */
#define COLD_PART 4

/* Makes L that of a new, idle server. */
void
cc_load_init (CcLoad *l)
{
  *l = (CcLoad){ 0 };
  cc_queue_init (&l->queue);
  cc_costs_init (&l->costs);
  cc_limit_init (&l->limit);
  cc_retries_init (&l->retries);
}

/* Frees what L holds, not the jobs. */
void
cc_load_clear (CcLoad *l)
{
  cc_queue_clear (&l->queue);
  cc_costs_clear (&l->costs);
  cc_retries_clear (&l->retries);
}

static guint
long_slots (const CcLoad *l)
{
  return MAX (l->limit.limit / 2, 1);
}

/* Slots that serve W's lane and its length of job. */
static double
slots_for (const CcLoad *l, const CcWaiting *w, gint64 now)
{
  guint classes = cc_queue_active (&l->queue, w->class_id, now - w->within);
  guint slots = l->limit.limit;

  if (w->is_long)
    slots = long_slots (l);
  else if (slots > l->running_long)
    slots -= l->running_long;
  return (double) MAX (slots, 1) / classes;
}

/* What W is expected to take; a guess until its server was ever measured. */
static CcCost
estimate (const CcLoad *l, const CcWaiting *w)
{
  CcCost cost = cc_costs_of (&l->costs, w->kind);

  if (cost.mean == 0)
    cost.mean = w->within / COLD_PART;
  return cost;
}

static CcAdmissionAsk
describe (const CcLoad *l, const CcWaiting *w, gint64 now)
{
  const CcLane *lane = cc_queue_lane (&l->queue, w->class_id);
  CcCost cost = estimate (l, w);
  CcAdmissionAsk a = { .within = w->within,
                       .left = w->left,
                       .service = cost.mean,
                       .deviation = cost.deviation,
                       .slots = slots_for (l, w, now),
                       .tenant = cc_queue_of_tenant (&l->queue, w->tenant),
                       .slice = cc_queue_of_slice (&l->queue, w->slice) };

  if (lane != NULL)
    a.ahead = lane->backlog[w->is_long];
  if (l->running >= l->limit.limit)
    a.ahead += l->running_cost[w->is_long] / 2;
  return a;
}

static void
classify (const CcLoad *l, CcWaiting *w)
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

/* Takes W into the queue, or tells why not.  W's cost is set here. */
CcOfferResult
cc_load_offer (CcLoad *l, CcWaiting *w, gint64 now)
{
  CcAdmissionAsk a;
  CcAdmission verdict;

  classify (l, w);
  if (cc_load_stalled (l, now))
    return refusal ("stalled", cc_load_wait_ms (l, now));
  a = describe (l, w, now);
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

/* Takes out what is to be sent now, and counts it as sent; or NULL. */
CcWaiting *
cc_load_next (CcLoad *l, CcMaySend may, gpointer data, gint64 now)
{
  CcWaiting *w;

  if (!cc_limit_may_send (&l->limit, l->running, now))
    return NULL;
  w = cc_queue_pop (&l->queue, l->running_long < long_slots (l), may, data);
  if (w == NULL)
    return NULL;
  if (l->running == 0)
    l->progress = now;
  if (w->tries++ == 0)
    cc_retries_first (&l->retries, w->class_id);
  w->sent = now;
  w->answers = l->answers;
  l->running++;
  l->running_long += w->is_long ? 1 : 0;
  l->running_cost[w->is_long] += w->cost;
  return w;
}

static gint64
running_cost (const CcLoad *l)
{
  return l->running_cost[0] + l->running_cost[1];
}

static gint64
stall_limit (gint64 cost)
{
  return STALL_MIN + STALL_FACTOR * cost;
}

/* Whether the server has answered nothing since W was sent; if it has, W's
 * connection is to blame. */
static gboolean
is_silent (const CcLoad *l, const CcWaiting *w)
{
  return l->answers == w->answers;
}

/* W's attempt ended at NOW.  One given up here tells of the server only if it
 * took far too long: a caller with a deadline of 5 ms must not lower a good
 * server's limit. */
void
cc_load_done (CcLoad *l, const CcWaiting *w, CcLoadEnd end, gint64 now)
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
      if (is_silent (l, w) && now - w->sent > stall_limit (w->cost))
        cc_limit_lost (&l->limit, now);
      break;
    case CC_LOAD_LOST:
      if (is_silent (l, w))
        cc_limit_lost (&l->limit, now);
      break;
    }
}

/* Puts W, whose attempt failed with F, back into the queue if the budget and
 * the deadline allow another.  Returns FALSE if not. */
gboolean
cc_load_retry (CcLoad *l, CcWaiting *w, CcFailure f, gint64 now)
{
  gint64 again = now + estimate (l, w).mean;

  if (again > w->arrived + w->left ||
      !cc_retries_take (&l->retries, w->class_id, w->once_only, f, w->tries))
    return FALSE;
  cc_queue_push (&l->queue, w);
  return TRUE;
}

/* Whether W's attempt is to be cancelled and tried again, see hedge.c.  Not
 * the second, whose connection was new; nor work of a kind never measured,
 * which may take long by its nature. */
gboolean
cc_load_hedge (const CcLoad *l, const CcWaiting *w, gint64 now)
{
  CcHedgeAsk a = { .once_only = w->once_only,
                   .age = now - w->sent,
                   .overtaken = l->answers - w->answers,
                   .cost = cc_costs_of (&l->costs, w->kind) };

  return w->tries == 1 && cc_costs_known (&l->costs, w->kind) &&
         cc_hedge_decide (&a);
}

/* This process stood still for SPAN us, and read no answers. */
void
cc_load_process_paused (CcLoad *l, gint64 span)
{
  l->progress += span;
}

/* Whether the server has work and has been silent far longer than that
 * takes. */
gboolean
cc_load_stalled (const CcLoad *l, gint64 now)
{
  return l->running > 0 && now - l->progress > stall_limit (running_cost (l));
}

/* When to come back if not refused by an offer, ms: the time in which all that
 * waits here will have been served, and the time that the server has been
 * silent if it stalls (twice as long in all, as a backoff does). */
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
