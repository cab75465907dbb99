/* Load pattern: many entries send to the same upstreams, and each sees only
 * its own part.  Sent by turns, requests queue at the slow and the full ones
 * while others idle; sent by what each entry has in flight alone, all entries
 * find the same upstream free at the same time.
 *
 * So the number inside an upstream is this entry's own, which it knows exactly,
 * and an estimate of the others': what the upstream last said, which fades into
 * their mean as the report ages.  Whether there is room goes by what the pool's
 * upstreams have inside instead of that mean (pool_load.h).  From the number
 * follows the time after which an answer is to be expected, and the request
 * goes where that is shortest.  Slow
 * upstreams are measured slow, failing ones count as slower by the attempts
 * that they waste, and both are forgotten with time, so that one that has
 * recovered is tried again. */
#include "pick.h"

#include <math.h>

/* A report on the load is worth half of itself after this: about the time in
 * which a server of today ends one request of its four. */
#define REPORT_TIME (150 * CC_MS)
/* The belief in what an owner of keys has inside is worth half of itself after
 * the time in which as much is served, and not before this: an owner of a busy
 * key stays busy for longer than its queue takes to drain. */
#define BELIEF_TIME_LEAST (1 * CC_SECOND)
/* Weight of a new report in the others' mean. */
#define USUAL_WEIGHT 0.2
/* An upstream is believed to be like the others until answers show otherwise,
 * and this many outweigh half of that belief: times of one kind of work vary by
 * about their mean, speeds of a pool's upstreams by less than half of it, and
 * the ratio of these variances is what a single answer is worth.  Taken at its
 * word, the first long answer of an idle upstream made it seem three times too
 * slow, and requests for its keys were refused while it had a free slot.  */
#define SLOWNESS_PRIOR 5.0
/* Each new answer makes those before count for this much less, so that some ten
 * show an upstream that has turned slow. */
#define SLOWNESS_LOSS 0.1
/* What answers showed is forgotten by half in this time.  Long enough not to
 * send a burst back to a slow server. */
#define SLOWNESS_TIME (5 * CC_SECOND)
/* Weight of one attempt in the share of failures, and its half-life. */
#define FAILURE_WEIGHT 0.25
#define FAILURE_TIME (3 * CC_SECOND)
/* An upstream that turned a request away with so many inside is tried with one
 * more after each such time: the estimate that it goes by may have been low,
 * and a wrong limit costs requests as long as it is believed. */
#define FULL_TIME (4 * CC_SECOND)
/* How much dearer a server is whose every attempt fails. */
#define FAILURE_COST 12.0
/* Requests that may wait inside a server for each of its slots: enough that a
 * slot never idles while its next request is on the way.  What waits longer
 * than one other takes waits better here, from where it goes to whichever
 * server is free first. */
#define WAITING_A_SLOT 1
/* A server that is slow for having just started works half as fast. */
#define COLD_FACTOR 2.0
/* No request for so long after a refused connection, doubled each time. */
#define AVOID_FIRST (200 * CC_MS)
#define AVOID_MAX (3 * CC_SECOND)
/* After a refusal for load: its queue needs a moment to drain. */
#define AVOID_SHED (50 * CC_MS)

static double
faded (gint64 since, gint64 now, gint64 half)
{
  return exp2 (-(double) MAX (now - since, 0) / (double) half);
}

static void
take_report (CcTargetLoad *l, const CcLoadReport *report, gint64 now)
{
  double inside = report->running + report->waiting;

  l->others = MAX (inside - l->mine, 0.0);
  /* ... and the request that it has just answered. */
  l->held = MAX (l->held, inside + 1.0);
  if (l->full_from > 0)
    l->full_from = MAX (l->full_from, l->held);
  if (l->others_at == 0)
    l->others_typical = l->others;
  l->others_typical += USUAL_WEIGHT * (l->others - l->others_typical);
  l->others_at = now;
}

/* How many may be inside L before it turns more away. */
static double
full_limit (const CcTargetLoad *l, gint64 now)
{
  return l->full_from + (double) (now - l->full_at) / FULL_TIME;
}

static void
avoid (CcTargetLoad *l, gint64 now)
{
  l->avoid_span =
      l->avoid_span == 0 ? AVOID_FIRST : MIN (2 * l->avoid_span, AVOID_MAX);
  l->avoid_until = now + l->avoid_span;
}

static void
count_end (CcTargetLoad *l, double failed, gint64 now)
{
  l->failures *= faded (l->failures_at, now, FAILURE_TIME);
  l->failures += FAILURE_WEIGHT * (failed - l->failures);
  l->failures_at = now;
}

/* L turned a request away.  The number inside was an estimate, and others may
 * have sent more than this entry knows, but not less than L once said to hold.
 */
static void
note_full (CcTargetLoad *l, double work, gint64 now)
{
  CcTypicalWork alone = { .kind = work, .any = work };
  double inside = cc_pick_owner_inside (l, &alone, now);
  double full_from = MAX (MAX (inside, l->held), l->slots);

  if (l->full_from > 0)
    full_from = MIN (full_from, full_limit (l, now));
  l->full_from = full_from;
  l->full_at = now;
  l->others = MAX (full_from - l->mine, 0.0);
  l->others_typical = MAX (l->others_typical, l->others / 2);
  l->others_at = now;
}

static void
count_answer (CcTargetLoad *l, double slowness, gint64 now)
{
  double kept =
      (1.0 - SLOWNESS_LOSS) * faded (l->slowness_at, now, SLOWNESS_TIME);

  l->slowness_sum = kept * l->slowness_sum + slowness;
  l->slowness_weight = kept * l->slowness_weight + 1.0;
  l->slowness_at = now;
}

/* An attempt at L ended as R says. */
void
cc_pick_ended (CcTargetLoad *l, const CcPickResult *r, gint64 now)
{
  if (l->mine > 0)
    l->mine--;
  if (r->report.said)
    take_report (l, &r->report, now);
  switch (r->end)
    {
    case CC_PICK_ANSWERED:
      if (r->typical > 0)
        count_answer (l, (double) r->took * r->work_share / r->typical, now);
      l->work_unreported += (double) r->took * r->work_share;
      l->answers_unreported++;
      l->avoid_span = 0;
      l->reached_at = now;
      count_end (l, 0.0, now);
      break;
    case CC_PICK_REJECTED:
      note_full (l, r->typical, now);
      count_end (l, 1.0, now);
      break;
    case CC_PICK_SHED:
      l->avoid_until = MAX (l->avoid_until, now + AVOID_SHED);
      count_end (l, 1.0, now);
      break;
    case CC_PICK_FAILED:
      count_end (l, 1.0, now);
      break;
    case CC_PICK_UNREACHABLE:
      avoid (l, now);
      count_end (l, 1.0, now);
      break;
    case CC_PICK_ABANDONED:
      break;
    }
}

/* What others have inside L by what its pool's upstreams have. */
static double
others_by_pool (const CcTargetLoad *l, const CcTypicalWork *typical)
{
  return MAX (typical->inside * l->slots - l->mine, 0.0);
}

/* How many requests are inside L at NOW, by estimate. */
double
cc_pick_inside (const CcTargetLoad *l, const CcTypicalWork *typical, gint64 now)
{
  double weight = faded (l->others_at, now, REPORT_TIME);

  if (l->others_at == 0)
    return l->mine + others_by_pool (l, typical);
  return l->mine + weight * l->others + (1.0 - weight) * l->others_typical;
}

/* The same if OTHERS were inside L when it last said so, a belief that is worth
 * half of itself after HALF; for the rest L is like its pool's upstreams. */
static double
inside_by_pool (const CcTargetLoad *l, const CcTypicalWork *typical,
                double others, gint64 half, gint64 now)
{
  double weight = l->others_at == 0 ? 0.0 : faded (l->others_at, now, half);

  return l->mine + weight * others +
         (1.0 - weight) * others_by_pool (l, typical);
}

/* The same for an L that is the only one to send a request to, as for its keys.
 *
 * Failure: its queue was long once, as after a restart of all entries, and this
 * entry, which sends nothing to an owner that seems full, hears no other word.
 * Symptom: it refuses all requests for that owner's keys for minutes while the
 * owner idles: of those refused in a fleet that had just restarted, half.  What
 * was inside is served after a while, so the belief fades with the time that
 * this takes; whoever then sends one request hears how things stand. */
double
cc_pick_owner_inside (const CcTargetLoad *l, const CcTypicalWork *typical,
                      gint64 now)
{
  double others = cc_pick_inside (l, typical, now) - l->mine;
  double drained = l->others_typical * typical->any / MAX (l->slots, 1);

  return inside_by_pool (l, typical, others,
                         MAX ((gint64) drained, BELIEF_TIME_LEAST), now);
}

/* How much longer L takes for the same work than a typical upstream; 1: as
 * long.
 */
double
cc_pick_slowness (const CcTargetLoad *l, gint64 now)
{
  double kept = faded (l->slowness_at, now, SLOWNESS_TIME);

  return (SLOWNESS_PRIOR + kept * l->slowness_sum) /
         (SLOWNESS_PRIOR + kept * l->slowness_weight);
}

/* How long a request that is sent to a typical upstream with L's slots, with
 * INSIDE before it, waits there for one, us. */
static double
usual_wait (const CcTargetLoad *l, const CcTypicalWork *typical, double inside)
{
  double ahead = MAX (inside + 1.0 - l->slots, 0.0);

  return ahead / MAX (l->slots, 1) * typical->any;
}

/* An attempt goes to L, which has INSIDE already.  Returns the part of its time
 * there that will be work, by estimate; the rest is waiting for a slot. */
double
cc_pick_sent (CcTargetLoad *l, const CcTypicalWork *typical, double inside)
{
  double wait = usual_wait (l, typical, inside);

  l->mine++;
  return typical->kind / MAX (typical->kind + wait, 1.0);
}

/* Whether L, with INSIDE, turns one more request away at NOW, by what it did
 * before. */
gboolean
cc_pick_is_full (const CcTargetLoad *l, double inside, gint64 now)
{
  return l->full_from > 0 && inside + 1.0 > full_limit (l, now);
}

/* Whether one more request would be taken in at NOW and not only wait.  Of many
 * upstreams there is always one whose last report was low; what the pool has
 * inside tells whether that is still so. */
gboolean
cc_pick_has_capacity (const CcTargetLoad *l, const CcTypicalWork *typical,
                      gint64 now)
{
  if (now < l->avoid_until)
    return FALSE;
  return inside_by_pool (l, typical, l->others, REPORT_TIME, now) <
         l->slots * (1 + WAITING_A_SLOT);
}

/* The time after which an answer from L, with INSIDE before it, is to be
 * expected at NOW, us. */
double
cc_pick_time (const CcTargetLoad *l, const CcTypicalWork *typical,
              double inside, gint64 now)
{
  double time = typical->kind + usual_wait (l, typical, inside);

  if (now < l->cold_until)
    time *= COLD_FACTOR;
  return time * cc_pick_slowness (l, now);
}

/* What sending to L costs, as a time by which upstreams are compared, us.
 * CROSS_ZONE is what the way to its zone is worth avoiding. */
double
cc_pick_cost (const CcTargetLoad *l, const CcTypicalWork *typical,
              double cross_zone, gint64 now)
{
  double failures = l->failures * faded (l->failures_at, now, FAILURE_TIME);

  return (cc_pick_time (l, typical, cc_pick_inside (l, typical, now), now) +
          cross_zone) *
         (1.0 + FAILURE_COST * failures * failures);
}
