/* Load patterns: steady overload, a sudden burst, one hot caller, one hot key.
 *
 * Failure: a queue without admission control grows until each request waits
 * longer than its caller does.  The server then works at full speed on
 * responses that no caller waits for, callers retry, and goodput falls to zero
 * while load is only slightly above capacity.
 *
 * Lateness: the expected wait is the measured cost of all that is served
 * before, divided by the slots that work on it.  A request that would miss its
 * class's target is refused before it waits, as Breakwater (OSDI 2020) and
 * DAGOR (SoCC 2018) do by queuing delay; here each server's delay is known
 * exactly, since only one dispatcher sends to it.  An idle server takes a
 * request even if the target cannot be met, as long as the deadline can: a
 * slow server makes its keys slow, not unavailable.
 *
 * Share: dynamic thresholds (Choudhury and Hahne, ToN 1998).  A tenant, or a
 * slice, may have as much waiting as is still free.  A single hot caller gets
 * at most half of the queue, n of them get 1/(n+1) each, and a caller with
 * nothing waiting always finds capacity.  The queue is served in order of
 * arrival, so equal shares of it are equal throughput.  No list of active
 * callers is needed.
 *
 * Retry-After: refused work is counted as a second queue that drains at the
 * server's rate, so callers return no faster than the server can take them.  A
 * constant would bring all of a burst back together. */
#include "admission.h"

/* Part of the target that may be spent waiting.  The rest is for errors of the
 * estimate and for network hops.  A larger part raises p99, a smaller one
 * refuses bursts and long jobs that could be served (docs/DECISIONS.md). */
#define WAIT_SHARE 0.5

/* Mean deviations added to the mean service time.  The mean deviation of a
 * uniform distribution is a quarter of its range, so two reach its end. */
#define SERVICE_DEVIATIONS 2

/* Part of the free capacity that a tenant or slice may have waiting, see
 * above. */
#define FREE_SHARE 1.0

/* Longest Retry-After, us.  The load after that time cannot be predicted from
 * the measured one. */
#define RETRY_AFTER_MAX (10 * CC_SECOND)

/* Returns an upper estimate of the service time of A itself, us. */
static gint64
service_bound (const CcAdmissionRequest *a)
{
  return a->service + SERVICE_DEVIATIONS * a->deviation;
}

/* Returns the expected wait of A for a slot, us. */
static gint64
expected_wait (const CcAdmissionRequest *a)
{
  return (gint64) ((double) a->ahead / a->slots);
}

/* Returns the longest wait of a request, us: up to its target, but one service
 * time in any case on an idle server, and never past its deadline. */
static gint64
longest_wait (const CcAdmissionRequest *a)
{
  gint64 target =
      (gint64) (WAIT_SHARE * (double) a->within) - service_bound (a);

  return MIN (MAX (target, a->service), a->left - service_bound (a));
}

/* Returns whether A would be served at once and is admitted whatever the
 * estimate, unless the caller's deadline is shorter than both the estimate and
 * the target.  An estimate that a stall made too high is corrected only by
 * requests that are sent: if it could refuse them, none would ever be sent
 * again. */
static gboolean
corrects_estimate (const CcAdmissionRequest *a)
{
  return a->ahead == 0 && a->left >= MIN (service_bound (a), a->within);
}

/* Decides whether A is admitted. */
CcAdmission
cc_admission_decide (const CcAdmissionRequest *a)
{
  gint64 longest = longest_wait (a);
  double capacity = (double) longest * a->slots;
  double available = FREE_SHARE * (capacity - (double) a->ahead);

  if (corrects_estimate (a))
    return CC_ADMIT;
  if (longest < 0 || expected_wait (a) > longest)
    return CC_REFUSE_LATE;
  if ((double) a->tenant > available || (double) a->slice > available)
    return CC_REFUSE_SHARE;
  return CC_ADMIT;
}

/* Returns the Retry-After of A, which was refused with VERDICT at NOW, in ms.
 * A request that was refused as late is added to C. */
guint32
cc_admission_retry_after (CcRetryPacer *c, const CcAdmissionRequest *a,
                          CcAdmission verdict, gint64 now)
{
  gint64 drained = (gint64) ((double) (now - c->since) * a->slots);
  gint64 after = expected_wait (a) + a->service;

  c->cost = MAX (c->cost - drained, 0);
  c->since = now;
  if (verdict == CC_REFUSE_LATE)
    {
      after += (gint64) ((double) c->cost / a->slots);
      if (after < RETRY_AFTER_MAX)
        c->cost += MAX (a->service, 1);
    }
  return (guint32) (MIN (after, RETRY_AFTER_MAX) / CC_MS) + 1;
}
