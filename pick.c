/* Load pattern: a dozen entries send to the same upstreams, and each sees only
 * its own part.  Sent by turns, requests queue at the slow and the full ones
 * while others idle; sent by what each entry has in flight alone, all entries
 * find the same upstream free at the same time.
 *
 * So the number inside an upstream is this entry's own, which it knows exactly,
 * and an estimate of the others': what the upstream last said, which fades into
 * their mean as the report ages.  From it follows the time after which an
 * answer is to be expected, and the request goes where that is shortest.  Slow
 * upstreams are measured slow, failing ones count as slower by the attempts
 * that they waste, and both are forgotten with time, so that one that has
 * recovered is tried again. */
#include "pick.h"

#include <math.h>

/* A report on the load is worth half of itself after this: about the time in
 * which a server of today ends one request of its four. */
#define REPORT_TIME (150 * CC_MS)
/* Weight of a new report in the others' mean. */
#define USUAL_WEIGHT 0.2
/* Weight of a new answer's time in the usual one.  Times spread by 0.8 of their
 * mean; five answers show a server that is five times slower. */
#define SERVICE_WEIGHT 0.1
/* A server counts as slow from this factor of the pool's usual time on.  Below,
 * the difference is chance as often as not, and going by it sends requests to
 * the few servers that seem fast: in a pool that is 62% busy 92.2% were
 * answered within three times the mean, against 93.8% without it (test_pick).
 */
#define SLOW_FACTOR 1.5
/* A measured time is forgotten by half in this time, in favour of the pool's.
 * Long enough not to send a burst back to a slow server. */
#define SERVICE_TIME (5 * CC_SECOND)
/* Weight of one attempt in the share of failures, and its half-life. */
#define FAILURE_WEIGHT 0.25
#define FAILURE_TIME (3 * CC_SECOND)
/* How much dearer a server is whose every attempt fails. */
#define FAILURE_COST 12.0
/* Requests that may wait inside a server beyond its slots: enough that a slot
 * never idles while its next request is on the way, below the 16 at which
 * today's servers reset connections, with room for what others send
 * meanwhile. */
#define WAITING_INSIDE 4
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
  if (l->others_at == 0)
    l->others_usual = l->others;
  l->others_usual += USUAL_WEIGHT * (l->others - l->others_usual);
  l->others_at = now;
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

/* An attempt at L ended after TOOK us, with REPORT if the server said its load.
 */
void
cc_pick_ended (CcTargetLoad *l, CcPickEnd end, gint64 took, double share,
               const CcLoadReport *report, gint64 now)
{
  double work = (double) took * share;

  if (l->mine > 0)
    l->mine--;
  if (report->said)
    take_report (l, report, now);
  switch (end)
    {
    case CC_PICK_ANSWERED:
      l->service = l->service == 0
                       ? work
                       : l->service + SERVICE_WEIGHT * (work - l->service);
      l->service_at = now;
      l->avoid_span = 0;
      count_end (l, 0.0, now);
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
    case CC_PICK_GIVEN_UP:
      break;
    }
}

/* How many requests are inside L at NOW, by estimate. */
double
cc_pick_inside (const CcTargetLoad *l, gint64 now)
{
  double weight = faded (l->others_at, now, REPORT_TIME);

  if (l->others_at == 0)
    return l->mine;
  return l->mine + weight * l->others + (1.0 - weight) * l->others_usual;
}

/* An attempt goes to L at NOW.  Returns the part of its time there that will be
 * work, by estimate; the rest is waiting for a slot. */
double
cc_pick_sent (CcTargetLoad *l, gint64 now)
{
  double before = MAX (cc_pick_inside (l, now) + 1.0 - l->slots, 0.0);

  l->mine++;
  return 1.0 / (1.0 + before / MAX (l->slots, 1));
}

/* Whether one more request would be taken in at NOW and not only wait. */
gboolean
cc_pick_has_room (const CcTargetLoad *l, gint64 now)
{
  if (now < l->avoid_until)
    return FALSE;
  return l->mine < l->slots + WAITING_INSIDE &&
         cc_pick_inside (l, now) < l->slots + WAITING_INSIDE;
}

/* The time after which an answer from L is to be expected, us.  USUAL is the
 * pool's usual time for the work alone, us. */
double
cc_pick_time (const CcTargetLoad *l, double usual, gint64 now)
{
  double weight = faded (l->service_at, now, SERVICE_TIME);
  double service =
      l->service == 0 ? usual : weight * l->service + (1.0 - weight) * usual;
  double before = MAX (cc_pick_inside (l, now) + 1.0 - l->slots, 0.0);

  if (service < SLOW_FACTOR * usual)
    service = usual;
  if (now < l->cold_until)
    service *= COLD_FACTOR;
  return service * (1.0 + before / l->slots);
}

/* What sending to L costs, as a time by which upstreams are compared, us.  FAR
 * is what the way to its zone is worth avoiding. */
double
cc_pick_cost (const CcTargetLoad *l, double usual, double far, gint64 now)
{
  double failures = l->failures * faded (l->failures_at, now, FAILURE_TIME);

  return (cc_pick_time (l, usual, now) + far) *
         (1.0 + FAILURE_COST * failures * failures);
}
