/* Load pattern: many entries send to the same upstreams, and each sees only its
 * own requests.  Round robin queues requests at slow and full upstreams while
 * others idle.  Least requests, counted by each entry from its own requests in
 * flight alone, makes all entries pick the same upstream at the same time.
 *
 * The number of requests inside an upstream is therefore estimated as this
 * entry's own attempts, which it knows exactly, plus those of other entries:
 * the upstream's last report, which decays towards its moving mean as the
 * report ages.  The check for free capacity uses the pool's typical load
 * (pool_load.h) in place of that mean.  The estimate gives the expected
 * response time, and the request goes where that is shortest.  Slow upstreams
 * have their slowness measured, and the cost of failing ones is raised for the
 * attempts that they waste.  Both measurements decay, so an upstream that has
 * recovered is tried again. */
#include "pick.h"

#include <math.h>

/* Half-life of a load report: about the time in which a server with four slots
 * completes one request. */
#define REPORT_HALF_LIFE (150 * CC_MS)
/* Minimum half-life of the estimated number of requests inside an owner of
 * keys.  The half-life is the time in which the owner serves that many, but no
 * less than this: an owner of a busy key stays busy for longer than its queue
 * takes to drain. */
#define OWNER_HALF_LIFE_MIN (1 * CC_SECOND)
/* Weight of a new report in the moving mean. */
#define REPORT_WEIGHT 0.2
/* Weight, in responses, of the assumption that an upstream is as fast as a
 * typical one.  Times of one kind of work deviate by about their mean, speeds
 * of a pool's upstreams by less than half of it; the ratio of these variances
 * is the number of responses that weigh as much as the assumption.  Without it,
 * one long first response makes an idle upstream seem three times too slow, and
 * requests for its keys are refused while it has a free slot. */
#define SLOWNESS_PRIOR 5.0
/* Each new response lowers the weight of the earlier ones by this part, so
 * about ten responses show that an upstream has become slow. */
#define SLOWNESS_DECAY 0.1
/* Half-life of the measured slowness, long enough not to send a burst back to
 * a slow server. */
#define SLOWNESS_HALF_LIFE (5 * CC_SECOND)
/* Weight of one attempt in the failure rate, and half-life of that rate. */
#define FAILURE_WEIGHT 0.25
#define FAILURE_HALF_LIFE (3 * CC_SECOND)
/* The limit of an upstream that rejected a request rises by one request per
 * this period: the estimate behind the limit may have been low, and a limit
 * that is too low costs requests for as long as it is used. */
#define REJECT_RAISE_PERIOD (4 * CC_SECOND)
/* Added relative cost of a server whose every attempt fails. */
#define FAILURE_COST 12.0
/* Requests that may wait inside a server per slot: enough that no slot idles
 * while its next request is on the way.  A request that would wait for more
 * than one other is better held in this entry, which sends it to the first
 * server that is free. */
#define WAITING_PER_SLOT 1
/* Expected response times of a server that has just started are multiplied by
 * this. */
#define COLD_FACTOR 2.0
/* Backoff after a failed connection, doubled each time up to the maximum. */
#define BACKOFF_FIRST (200 * CC_MS)
#define BACKOFF_MAX (3 * CC_SECOND)
/* Backoff after a refusal for load, in which the queue can drain. */
#define BACKOFF_SHED (50 * CC_MS)

/* Returns the remaining weight at NOW of a value from SINCE with the half-life
 * HALF. */
static double
decay_factor (gint64 since, gint64 now, gint64 half)
{
  return exp2 (-(double) MAX (now - since, 0) / (double) half);
}

/* Updates the estimate of L from REPORT, the upstream's own. */
static void
apply_report (CcTargetLoad *l, const CcLoadReport *report, gint64 now)
{
  double inside = report->running + report->waiting;

  l->remote = MAX (inside - l->in_flight, 0.0);
  /* The request that it has just answered was inside, too. */
  l->max_reported = MAX (l->max_reported, inside + 1.0);
  if (l->reject_from > 0)
    l->reject_from = MAX (l->reject_from, l->max_reported);
  if (l->reported_at == 0)
    l->remote_mean = l->remote;
  l->remote_mean += REPORT_WEIGHT * (l->remote - l->remote_mean);
  l->reported_at = now;
}

/* Estimated number of requests inside L above which it rejects more. */
static double
reject_limit (const CcTargetLoad *l, gint64 now)
{
  return l->reject_from + (double) (now - l->rejected_at) / REJECT_RAISE_PERIOD;
}

/* Starts the next backoff of L, which was unreachable at NOW. */
static void
back_off (CcTargetLoad *l, gint64 now)
{
  l->avoid_span =
      l->avoid_span == 0 ? BACKOFF_FIRST : MIN (2 * l->avoid_span, BACKOFF_MAX);
  l->avoid_until = now + l->avoid_span;
  l->unreached_at = now;
}

/* Adds an attempt to the failure rate of L; FAILED is 1 if it failed, else 0.
 */
static void
update_failure_rate (CcTargetLoad *l, double failed, gint64 now)
{
  l->failures *= decay_factor (l->failures_at, now, FAILURE_HALF_LIFE);
  l->failures += FAILURE_WEIGHT * (failed - l->failures);
  l->failures_at = now;
}

/* Records that L rejected a request whose kind of work takes WORK us.  The
 * number inside was an estimate, and other entries may have sent more than
 * this one knows of, so the limit is at least the largest number that L has
 * reported. */
static void
record_rejection (CcTargetLoad *l, double work, gint64 now)
{
  CcTypicalWork alone = { .kind = work, .any = work };
  double inside = cc_pick_owner_inside (l, &alone, now);
  double reject_from = MAX (MAX (inside, l->max_reported), l->slots);

  if (l->reject_from > 0)
    reject_from = MIN (reject_from, reject_limit (l, now));
  l->reject_from = reject_from;
  l->rejected_at = now;
  l->remote = MAX (reject_from - l->in_flight, 0.0);
  l->remote_mean = MAX (l->remote_mean, l->remote / 2);
  l->reported_at = now;
}

/* Adds a response to the measured slowness of L. */
static void
count_response (CcTargetLoad *l, double slowness, gint64 now)
{
  double kept = (1.0 - SLOWNESS_DECAY) *
                decay_factor (l->slowness_at, now, SLOWNESS_HALF_LIFE);

  l->slowness_sum = kept * l->slowness_sum + slowness;
  l->slowness_weight = kept * l->slowness_weight + 1.0;
  l->slowness_at = now;
}

/* Updates L with R, the result of an attempt that ended at NOW, us. */
void
cc_pick_ended (CcTargetLoad *l, const CcPickResult *r, gint64 now)
{
  if (l->in_flight > 0)
    l->in_flight--;
  if (r->report.received)
    apply_report (l, &r->report, now);
  switch (r->end)
    {
    case CC_PICK_ANSWERED:
      if (r->typical > 0)
        count_response (l, (double) r->took * r->work_share / r->typical, now);
      l->work_unreported += (double) r->took * r->work_share;
      l->answers_unreported++;
      l->avoid_span = 0;
      l->reached_at = now;
      update_failure_rate (l, 0.0, now);
      break;
    case CC_PICK_REJECTED:
      record_rejection (l, r->typical, now);
      update_failure_rate (l, 1.0, now);
      break;
    case CC_PICK_SHED:
      l->avoid_until = MAX (l->avoid_until, now + BACKOFF_SHED);
      update_failure_rate (l, 1.0, now);
      break;
    case CC_PICK_FAILED:
      update_failure_rate (l, 1.0, now);
      break;
    case CC_PICK_UNREACHABLE:
      back_off (l, now);
      update_failure_rate (l, 1.0, now);
      break;
    case CC_PICK_ABANDONED:
      break;
    }
}

/* Records that a connection to L was established without a request. */
void
cc_pick_connected (CcTargetLoad *l, gint64 now)
{
  l->reached_at = now;
  if (l->avoid_span == 0)
    return;
  l->avoid_span = 0;
  l->avoid_until = MIN (l->avoid_until, now);
}

/* Records that no connection to L could be established, without a request. */
void
cc_pick_not_connected (CcTargetLoad *l, gint64 now)
{
  back_off (l, now);
  update_failure_rate (l, 1.0, now);
}

/* Returns whether the last attempt to connect to L failed, with no response
 * since. */
gboolean
cc_pick_is_unreachable (const CcTargetLoad *l)
{
  return l->avoid_span > 0;
}

/* Returns the number of attempts of other entries inside L if L is as loaded
 * as a typical upstream of its pool. */
static double
remote_by_pool (const CcTargetLoad *l, const CcTypicalWork *typical)
{
  return MAX (typical->inside * l->slots - l->in_flight, 0.0);
}

/* Returns the estimated number of requests inside L at NOW. */
double
cc_pick_inside (const CcTargetLoad *l, const CcTypicalWork *typical, gint64 now)
{
  double weight = decay_factor (l->reported_at, now, REPORT_HALF_LIFE);

  if (l->reported_at == 0)
    return l->in_flight + remote_by_pool (l, typical);
  return l->in_flight + weight * l->remote + (1.0 - weight) * l->remote_mean;
}

/* Returns the estimated number of requests inside L at NOW, from REMOTE
 * attempts of other entries at the last report.  That report has the half-life
 * HALF; as it decays, L is assumed to be as loaded as a typical upstream of
 * its pool. */
static double
inside_by_pool (const CcTargetLoad *l, const CcTypicalWork *typical,
                double remote, gint64 half, gint64 now)
{
  double weight =
      l->reported_at == 0 ? 0.0 : decay_factor (l->reported_at, now, half);

  return l->in_flight + weight * remote +
         (1.0 - weight) * remote_by_pool (l, typical);
}

/* Returns the estimated number of requests inside L at NOW, where L is the
 * only upstream that a request may go to, such as the owner of its key.
 *
 * Failure: the owner's queue was long once, as after a restart of all entries.
 * An entry sends nothing to an owner that seems full, so it gets no further
 * report and refuses all requests for that owner's keys for minutes while the
 * owner idles; in a fleet that had just restarted, half of the refused
 * requests were of this kind.  Requests inside are served after some time, so
 * the estimate decays with the time that this takes, and the next request that
 * is sent brings a new report. */
double
cc_pick_owner_inside (const CcTargetLoad *l, const CcTypicalWork *typical,
                      gint64 now)
{
  double remote = cc_pick_inside (l, typical, now) - l->in_flight;
  double drained = l->remote_mean * typical->any / MAX (l->slots, 1);

  return inside_by_pool (l, typical, remote,
                         MAX ((gint64) drained, OWNER_HALF_LIFE_MIN), now);
}

/* Returns the time that L takes for work relative to a typical upstream; 1:
 * the same. */
double
cc_pick_slowness (const CcTargetLoad *l, gint64 now)
{
  double kept = decay_factor (l->slowness_at, now, SLOWNESS_HALF_LIFE);

  return (SLOWNESS_PRIOR + kept * l->slowness_sum) /
         (SLOWNESS_PRIOR + kept * l->slowness_weight);
}

/* Returns the expected wait for a slot, us, of a request sent to an upstream of
 * typical speed with L's slots and INSIDE earlier requests in it. */
static double
expected_wait (const CcTargetLoad *l, const CcTypicalWork *typical,
               double inside)
{
  double ahead = MAX (inside + 1.0 - l->slots, 0.0);

  return ahead / MAX (l->slots, 1) * typical->any;
}

/* Counts an attempt that is sent to L with INSIDE requests already in it.
 * Returns the estimated part of its time there that will be work; the rest is
 * the wait for a slot. */
double
cc_pick_sent (CcTargetLoad *l, const CcTypicalWork *typical, double inside)
{
  double wait = expected_wait (l, typical, inside);

  l->in_flight++;
  return typical->kind / MAX (typical->kind + wait, 1.0);
}

/* Returns whether L, with INSIDE requests in it, would reject one more at NOW,
 * according to its earlier rejections. */
gboolean
cc_pick_is_full (const CcTargetLoad *l, double inside, gint64 now)
{
  return l->reject_from > 0 && inside + 1.0 > reject_limit (l, now);
}

/* Returns whether L has capacity for one more request at NOW, so that it need
 * not wait there for long.  With many upstreams some last report is always
 * low, so the report is weighed against the pool's typical load as it ages. */
gboolean
cc_pick_has_capacity (const CcTargetLoad *l, const CcTypicalWork *typical,
                      gint64 now)
{
  if (now < l->avoid_until)
    return FALSE;
  return inside_by_pool (l, typical, l->remote, REPORT_HALF_LIFE, now) <
         l->slots * (1 + WAITING_PER_SLOT);
}

/* Returns the expected response time of L at NOW, us, for a request with INSIDE
 * earlier requests in it. */
double
cc_pick_time (const CcTargetLoad *l, const CcTypicalWork *typical,
              double inside, gint64 now)
{
  double time = typical->kind + expected_wait (l, typical, inside);

  if (now < l->cold_until)
    time *= COLD_FACTOR;
  return time * cc_pick_slowness (l, now);
}

/* Returns the cost of sending to L, by which upstreams are compared: the
 * expected response time, us, raised by the failure rate.  CROSS_ZONE is the
 * penalty for sending to L's zone, us. */
double
cc_pick_cost (const CcTargetLoad *l, const CcTypicalWork *typical,
              double cross_zone, gint64 now)
{
  double failures =
      l->failures * decay_factor (l->failures_at, now, FAILURE_HALF_LIFE);

  return (cc_pick_time (l, typical, cc_pick_inside (l, typical, now), now) +
          cross_zone) *
         (1.0 + FAILURE_COST * failures * failures);
}
