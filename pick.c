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
 * recovered is tried again.
 *
 * Times have a long tail, and upstreams become slow for fractions of a second.
 * One long response must not make an upstream seem slow, so ratios count up to
 * what is common.  The slowness that an upstream reports of itself applies at
 * once and loses its weight within 0.4 s; what is left in its responses is its
 * usual speed, which is averaged over many of them.  Requests of this entry
 * that have long to go, by prediction or by age, block their slots. */
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
/* An upstream's report of its slowness loses its weight within this time: some
 * are slow for 0.4 s at a time. */
#define SLOW_REPORT_WEIGHS (400.0 * CC_MS)
/* After that the mean of its reports is used, whose excess halves in this time
 * and then falls ever more slowly. */
#define SLOW_MEAN_AGE (2.0 * CC_SECOND)
/* Bounds of the reported slowness, and what is not believed at all.  With a
 * lower bound of 0.25, an upstream that always reported a hundredth had 0.09 of
 * its share of the requests: its times, relative to that report, made it seem
 * slow as soon as its last report was old. */
#define SLOW_MIN 0.8
#define SLOW_MAX 20.0
#define SLOW_BELIEVED_MAX 1000.0
/* Weight of the earlier responses in the usual slowness of an upstream that
 * reports its momentary one: about a hundred count. */
#define USUAL_KEPT 0.99
/* Weight, in responses, of the assumption that such an upstream is usually as
 * fast as a typical one. */
#define USUAL_PRIOR 3.0
/* Slowness by recent responses, relative to what is reported, above which the
 * report is not believed: three deviations of the estimate from ten responses.
 */
#define UNREPORTED_MIN 1.5
/* A request blocks its slot if it has more than this many typical times to go;
 * below, the error of the means would count. */
#define LONG_FROM 1.5
/* Slots that count as free, however long the requests inside have to go. */
#define BLOCKED_LEFT 0.5
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

/* Returns the part that is left at NOW of the slow mean of the reported
 * slowness, which is used once the last report is old. */
static double
lasting_slowness (const CcTargetLoad *l, gint64 now)
{
  double age = (double) MAX (now - l->slow_reported_at, 0);

  return 1.0 + (l->reported_mean - 1.0) * SLOW_MEAN_AGE / (SLOW_MEAN_AGE + age);
}

/* Returns the time that work takes at L at NOW relative to its usual one, by
 * its reports.  A linear weight, and a hyperbola for the mean, since this is
 * computed for each upstream at each choice. */
static double
reported_slowness (const CcTargetLoad *l, gint64 now)
{
  double fresh;

  if (l->slow_reported_at == 0)
    return 1.0;
  fresh =
      1.0 - (double) MAX (now - l->slow_reported_at, 0) / SLOW_REPORT_WEIGHS;
  fresh = MAX (fresh, 0.0);
  return fresh * l->reported + (1.0 - fresh) * lasting_slowness (l, now);
}

/* Updates the reported slowness of L with SLOWNESS; 0 or what is no number was
 * not reported. */
static void
apply_slowness (CcTargetLoad *l, double slowness, gint64 now)
{
  double mean = l->slow_reported_at == 0 ? 1.0 : lasting_slowness (l, now);

  if (!isfinite (slowness) || slowness <= 0 || slowness > SLOW_BELIEVED_MAX)
    return;
  l->reported = CLAMP (slowness, SLOW_MIN, SLOW_MAX);
  l->reported_mean = mean + REPORT_WEIGHT * (l->reported - mean);
  l->slow_reported_at = now;
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
  apply_slowness (l, report->slowness, now);
}

/* Estimated number of requests inside L above which it rejects more. */
static double
reject_limit (const CcTargetLoad *l, gint64 now)
{
  return l->reject_from + (double) (now - l->rejected_at) / REJECT_RAISE_PERIOD;
}

/* Starts the next backoff of L, which was unreachable at NOW.  Within one, the
 * attempt has begun before it and fails for the same cause. */
static void
back_off (CcTargetLoad *l, gint64 now)
{
  l->unreached_at = now;
  if (l->avoid_span > 0 && now < l->avoid_until)
    return;
  l->avoid_span =
      l->avoid_span == 0 ? BACKOFF_FIRST : MIN (2 * l->avoid_span, BACKOFF_MAX);
  l->avoid_until = now + l->avoid_span;
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

/* Returns the usual slowness of L, if it reports its momentary one. */
static double
usual_slowness (const CcTargetLoad *l)
{
  return (USUAL_PRIOR + l->usual_sum) / (USUAL_PRIOR + l->usual_weight);
}

/* Adds a response to the usual slowness of L, which was SLOWNESS by it. */
static void
count_usual (CcTargetLoad *l, double slowness)
{
  l->usual_sum = USUAL_KEPT * l->usual_sum + slowness;
  l->usual_weight = USUAL_KEPT * l->usual_weight + 1.0;
}

/* Adds the response R to the measured slowness of L, which reported to be
 * BEFORE times slower than usual when R began. */
static void
measure_slowness (CcTargetLoad *l, const CcPickResult *r, double before,
                  gint64 now)
{
  double work = (double) r->took * r->work_share;
  double ratio = cc_work_spread_common (
      r->spread, work / (r->predicted > 0 ? r->predicted : r->typical));

  if (l->slow_reported_at != now)
    {
      count_response (l, ratio, now);
      return;
    }
  ratio /= 0.5 * (before + l->reported);
  count_response (l, ratio / usual_slowness (l), now);
  count_usual (l, ratio);
}

/* Updates L with R, the result of an attempt that ended at NOW, us. */
void
cc_pick_ended (CcTargetLoad *l, const CcPickResult *r, gint64 now)
{
  double before = reported_slowness (l, now - r->took);

  if (l->in_flight > 0)
    l->in_flight--;
  if (r->report.received)
    apply_report (l, &r->report, now);
  switch (r->end)
    {
    case CC_PICK_ANSWERED:
      if (r->typical > 0)
        measure_slowness (l, r, before, now);
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

/* Returns the slowness of L by its recent responses. */
static double
recent_slowness (const CcTargetLoad *l, gint64 now)
{
  double kept = decay_factor (l->slowness_at, now, SLOWNESS_HALF_LIFE);

  return (SLOWNESS_PRIOR + kept * l->slowness_sum) /
         (SLOWNESS_PRIOR + kept * l->slowness_weight);
}

/* Returns the time that L takes for work relative to a typical upstream; 1:
 * the same.  If L reports its slowness, recent responses matter only where they
 * are much slower than by the report, that is, where the report is wrong. */
double
cc_pick_slowness (const CcTargetLoad *l, gint64 now)
{
  double recent = recent_slowness (l, now);

  if (l->slow_reported_at == 0)
    return recent;
  return reported_slowness (l, now) * usual_slowness (l) *
         (recent > UNREPORTED_MIN ? recent : 1.0);
}

/* Returns the number of L's slots that are blocked by requests of this entry
 * which have longer to go than a typical one, as they have run for long or are
 * predicted to take long.  One with R times the typical work ahead counts as
 * 1 - 1/R of a slot: in the time that it takes, the others serve R. */
static double
blocked_slots (const CcTargetLoad *l, const CcTypicalWork *typical, gint64 now)
{
  double blocked = 0;

  for (const CcPickOwn *o = l->own; o != NULL; o = o->next)
    {
      double age = (double) MAX (now - o->starts, 0) / (o->work * o->slowness);
      double rest = o->work * cc_work_spread_rest (o->spread, age);

      if (rest > LONG_FROM * typical->any)
        blocked += 1.0 - typical->any / rest;
    }
  return MIN (blocked, MAX (l->slots, 1) - BLOCKED_LEFT);
}

/* Returns the expected wait for a slot, us, of a request sent to an upstream of
 * typical speed with L's slots and INSIDE earlier requests in it, if BLOCKED of
 * its slots are not available. */
static double
expected_wait (const CcTargetLoad *l, const CcTypicalWork *typical,
               double inside, double blocked)
{
  double ahead = MAX (inside + 1.0 - l->slots, 0.0);

  return ahead / (MAX (l->slots, 1) - blocked) * typical->any;
}

/* Counts an attempt that is sent to L with INSIDE requests already in it.
 * Returns the estimated part of its time there that will be work; the rest is
 * the wait for a slot. */
double
cc_pick_sent (CcTargetLoad *l, const CcTypicalWork *typical, double inside)
{
  double wait = expected_wait (l, typical, inside, 0.0);

  l->in_flight++;
  return typical->kind / MAX (typical->kind + wait, 1.0);
}

/* Adds OWN to the requests of this entry inside L, to which it was just sent.
 * TYPICAL says what it is expected to take, WORK_SHARE is the result of
 * cc_pick_sent. */
void
cc_pick_add_own (CcTargetLoad *l, CcPickOwn *own, const CcTypicalWork *typical,
                 double work_share, gint64 now)
{
  double wait = typical->kind * (1.0 / MAX (work_share, 0.01) - 1.0);
  double work = typical->predicted > 0 ? typical->predicted : typical->kind;

  own->starts = now + (gint64) wait;
  own->work = MAX (work, 1.0);
  own->slowness = cc_pick_slowness (l, now);
  own->spread = typical->spread;
  own->next = l->own;
  l->own = own;
}

/* Removes OWN from the requests inside L.  One that is not there, since L was
 * started anew, is ignored. */
void
cc_pick_remove_own (CcTargetLoad *l, const CcPickOwn *own)
{
  for (CcPickOwn **o = &l->own; *o != NULL; o = &(*o)->next)
    if (*o == own)
      {
        *o = own->next;
        return;
      }
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
 * earlier requests in it, if BLOCKED of its slots are not available. */
static double
time_without (const CcTargetLoad *l, const CcTypicalWork *typical,
              double inside, double blocked, gint64 now)
{
  double time = typical->kind + expected_wait (l, typical, inside, blocked);

  if (now < l->cold_until)
    time *= COLD_FACTOR;
  return time * cc_pick_slowness (l, now);
}

/* Returns the expected response time of L at NOW, us, for a request with INSIDE
 * earlier requests in it.  The ages of those are not considered: with them, 80
 * entries served 0.498 of a burst on owners in time, without them 0.518. */
double
cc_pick_time (const CcTargetLoad *l, const CcTypicalWork *typical,
              double inside, gint64 now)
{
  return time_without (l, typical, inside, 0.0, now);
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
  double blocked = l->own != NULL ? blocked_slots (l, typical, now) : 0.0;
  double inside = cc_pick_inside (l, typical, now);

  return (time_without (l, typical, inside, blocked, now) + cross_zone) *
         (1.0 + FAILURE_COST * failures * failures);
}
