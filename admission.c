/* Load patterns: steady overload, a burst at nine o'clock, one hot caller, one
 * hot key.
 *
 * What happens without it: a queue that takes everything grows until each
 * request waits longer than its caller does.  The server then works at full
 * speed on answers that nobody waits for, callers try again, and goodput falls
 * to nothing while load is still only slightly above capacity.
 *
 * Late.  The wait is the measured cost of what is served before, over the
 * slots that work on it.  A request that would miss its class's target is
 * refused before it waits, as Breakwater (OSDI 2020) and DAGOR (SoCC 2018) do
 * by queuing delay; here each server's delay is known exactly, since one
 * dispatcher sends to it.  An idle server takes a request even if the target
 * can't be met any more, only not the deadline: a slow server is slow for its
 * keys, not unavailable.
 *
 * Share.  Dynamic thresholds (Choudhury and Hahne, ToN 1998): a tenant, or a
 * slice, may have waiting at most as much as is still free.  A lone hot caller
 * stops at half of the queue, and n of them get 1/(n+1) each; whoever has
 * nothing waiting always finds room.  The queue is served in order of arrival,
 * so equal room is equal throughput.  No list of active callers is needed.
 *
 * Retry-After.  Refused work is counted as a second queue that drains at the
 * server's rate, so that those who come back do so no faster than the server
 * can take them: in place of a constant, which brings all of a burst back
 * together.
 */
#include "admission.h"

/* Part of the target that may be spent waiting.  The rest is for errors of the
 * estimate and for the hops.  With more of it p99 grows, with less a burst and
 * long jobs are refused that could be served (docs/DECISIONS.md). */
#define WAIT_SHARE 0.5

/* Deviations above the mean that one's own service is reckoned with.  Mean
 * distance of a uniform time is a quarter of its range, so two reach its end.
 */
#define SERVICE_DEVIATIONS 2

/* A tenant's part of what is free, see above. */
#define FREE_SHARE 1.0

/* Longest time to come back, us.  Beyond it load is another than measured. */
#define COMEBACK_MAX (10 * CC_SECOND)

static gint64
own_time (const CcAdmissionRequest *a)
{
  return a->service + SERVICE_DEVIATIONS * a->deviation;
}

static gint64
wait_of (const CcAdmissionRequest *a)
{
  return (gint64) ((double) a->ahead / a->slots);
}

/* How long a request may wait: to its target, but on an idle server one
 * service time in any case; never past its deadline. */
static gint64
longest_wait (const CcAdmissionRequest *a)
{
  gint64 target = (gint64) (WAIT_SHARE * (double) a->within) - own_time (a);

  return MIN (MAX (target, a->service), a->left - own_time (a));
}

/* Whether A would be served at once.  It is then taken unless the caller asks
 * for less than the target: an estimate that a hang made too long is mended
 * only by work that is sent.  Refused by it, nothing was sent ever again. */
static gboolean
tests_estimate (const CcAdmissionRequest *a)
{
  return a->ahead == 0 && a->left >= MIN (own_time (a), a->within);
}

/* Decides on A. */
CcAdmission
cc_admission_decide (const CcAdmissionRequest *a)
{
  gint64 longest = longest_wait (a);
  double room = (double) longest * a->slots;
  double available = FREE_SHARE * (room - (double) a->ahead);

  if (tests_estimate (a))
    return CC_ADMIT;
  if (longest < 0 || wait_of (a) > longest)
    return CC_REFUSE_LATE;
  if ((double) a->tenant > available || (double) a->slice > available)
    return CC_REFUSE_SHARE;
  return CC_ADMIT;
}

/* When A, refused with VERDICT, is to come back, ms.  Counts it in C. */
guint32
cc_admission_retry_after (CcRetryPacer *c, const CcAdmissionRequest *a,
                          CcAdmission verdict, gint64 now)
{
  gint64 drained = (gint64) ((double) (now - c->since) * a->slots);
  gint64 after = wait_of (a) + a->service;

  c->cost = MAX (c->cost - drained, 0);
  c->since = now;
  if (verdict == CC_REFUSE_LATE)
    {
      after += (gint64) ((double) c->cost / a->slots);
      if (after < COMEBACK_MAX)
        c->cost += MAX (a->service, 1);
    }
  return (guint32) (MIN (after, COMEBACK_MAX) / CC_MS) + 1;
}
