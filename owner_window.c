/* Load pattern: one key gets ten times the requests that its owner serves, from
 * hundreds of gateways, each of which sees a few of them a second.  Gateways
 * that decide alone fill the owner's queue, and what is beyond it is reset: an
 * unknown outcome of each once-only request.
 *
 * So one process grants a permit for each request, and keeps the number of
 * requests inside the owner at what keeps its slots busy.  A bound on that
 * number needs no estimate of the owner's speed: one that becomes slow gets
 * fewer requests, one that becomes fast more.  The number is what the owner
 * last reported, and what was permitted since. */
#include "owner_window.h"

#include <math.h>

/* A permitted request arrives at the owner within this time, so a report counts
 * those that were permitted earlier. */
#define ARRIVAL_TIME (5 * CC_MS)
/* One of the requests inside counts as ended each time that so many mean
 * intervals pass without a report: the reports may have been lost, and without
 * permits there will be no other. */
#define INTERVALS_MAX 2.0
/* Intervals that are longer do not count in their mean: the owner was idle. */
#define REPORT_TIMEOUT (600 * CC_MS)
/* Most permits that are granted at once. */
#define WANTED_MAX 10
/* Permits of higher priority that were refused this recently come first. */
#define PRECEDENCE_TIME (50 * CC_MS)
/* Weight of one interval between ends in their mean; random part of a wait, as
 * a part of that, and bounds of a wait. */
#define INTERVAL_WEIGHT 0.1
#define INTERVAL_FIRST (50.0 * CC_MS)
#define WAIT_SPREAD 0.05
#define WAIT_MIN (5 * CC_MS)
#define WAIT_MAX (200 * CC_MS)

/* Requests for each slot inside an owner that is full, and inside one where a
 * request waits for each slot. */
#define FULL 3.0
#define WAITING 2.0
/* Time constant of the decay of demand, part of it that is permitted at least
 * if the owner is not overloaded, and if not most of it is refused. */
#define DEMAND_TIME (100 * CC_MS)
#define SERVED_PART 0.7
#define HOT_PART 0.15
/* The requests inside may take this part of the latency target, so that the
 * longer ones of them are answered in time as well. */
#define TARGET_PART 0.75

struct CcOwnerWindow
{
  guint slots;
  double reported;    /* requests inside at REPORTED_AT */
  gint64 reported_at; /* last end of a request, us; 0: none yet */
  GArray *permitted;  /* times of permits that the report does not include
                         (gint64), us */
  double interval;    /* mean time between ends of requests, us */
  gint64 refused_at[CC_PERMIT_PRIORITIES]; /* us; 0: never */
  double demand;     /* requests, decayed with DEMAND_TIME */
  double granted;    /* permits for them, likewise */
  gint64 counted_at; /* when they were last counted, us */
};

/* Returns the window of an owner that works on SLOTS requests at once and has
 * just reset one, at NOW, us: it gets no other before the next report. */
CcOwnerWindow *
cc_owner_window_new (guint slots, gint64 now)
{
  CcOwnerWindow *w = g_new0 (CcOwnerWindow, 1);

  w->slots = MAX (slots, 1);
  w->reported = FULL * w->slots;
  w->reported_at = now;
  w->permitted = g_array_new (FALSE, FALSE, sizeof (gint64));
  w->interval = INTERVAL_FIRST;
  w->demand = FULL * w->slots;
  w->counted_at = now;
  return w;
}

/* Frees W. */
void
cc_owner_window_free (CcOwnerWindow *w)
{
  g_array_unref (w->permitted);
  g_free (w);
}

/* Returns the number of requests that were permitted at FROM, us, or later. */
static guint
count_permitted (const CcOwnerWindow *w, gint64 from)
{
  guint n = 0;

  for (guint i = 0; i < w->permitted->len; i++)
    n += g_array_index (w->permitted, gint64, i) >= from;
  return n;
}

/* Removes the permits before FROM, us. */
static void
remove_permitted (CcOwnerWindow *w, gint64 from)
{
  guint old = w->permitted->len - count_permitted (w, from);

  if (old > 0)
    g_array_remove_range (w->permitted, 0, old);
}

/* Returns the estimated number of requests inside the owner of W, or on their
 * way to it, at NOW, us. */
static double
estimate_inside (const CcOwnerWindow *w, gint64 now)
{
  double ended =
      (double) (now - w->reported_at) / (INTERVALS_MAX * w->interval);
  double inside =
      w->reported + count_permitted (w, w->reported_at - ARRIVAL_TIME);

  if (now - w->reported_at >= REPORT_TIMEOUT)
    return count_permitted (w, now - REPORT_TIMEOUT);
  return MAX (inside - floor (ended), 0.0);
}

/* Returns whether a request of a higher priority than PRIORITY was refused a
 * moment before NOW, us. */
static gboolean
has_precedence (const CcOwnerWindow *w, guint priority, gint64 now)
{
  for (guint p = 0; p < priority; p++)
    if (w->refused_at[p] != 0 && now - w->refused_at[p] < PRECEDENCE_TIME)
      return TRUE;
  return FALSE;
}

/* Returns the time until the next request at the owner of W is expected to end,
 * us, from NOW on.  A part of it is random, since those that wait would ask
 * together. */
static gint64
time_to_end (const CcOwnerWindow *w, gint64 now)
{
  double left = w->interval - (double) (now - w->reported_at);
  double spread = WAIT_SPREAD * w->interval * g_random_double ();

  return CLAMP ((gint64) (MAX (left, 0.0) + spread), WAIT_MIN, WAIT_MAX);
}

/* Returns the part of the demand for the owner of W that was permitted of late,
 * as of NOW, us; 1 if there was none. */
static double
served_part (const CcOwnerWindow *w, gint64 now)
{
  return now - w->counted_at < DEMAND_TIME && w->demand > 0
             ? w->granted / w->demand
             : 1.0;
}

/* Returns whether the demand for the owner of W has exceeded what was permitted
 * of late, at NOW, us. */
gboolean
cc_owner_window_is_pressed (const CcOwnerWindow *w, gint64 now)
{
  return served_part (w, now) < SERVED_PART;
}

/* Returns how many requests may be inside the owner of W at NOW, us, if they
 * have the latency target TARGET, us: as many as it serves in time.
 *
 * Unless most are refused, one may wait for each slot, so that a request which
 * meets the owner in a slow moment is served after it; and one more if the
 * demand is below what the owner serves, since chance alone makes some wait.
 * If none may wait, the next one is sent a moment before the end of one inside
 * is expected. */
static guint
places (const CcOwnerWindow *w, gint64 target, gint64 now)
{
  double in_time = TARGET_PART * (double) target / MAX (w->interval, 1.0);
  double end_due = (double) w->reported_at + w->interval - ARRIVAL_TIME;
  double least = served_part (w, now) < HOT_PART ? 1.0 : WAITING;
  guint limit = (guint) CLAMP (in_time, least * w->slots, FULL * w->slots);

  if (!cc_owner_window_is_pressed (w, now))
    return limit + w->slots;
  return limit == w->slots && (double) now >= end_due ? limit + 1 : limit;
}

/* Counts DEMAND requests, and GRANTED permits for them or earlier ones. */
static void
count_demand (CcOwnerWindow *w, guint demand, guint granted, gint64 now)
{
  double kept = exp (-(double) (now - w->counted_at) / (double) DEMAND_TIME);

  w->demand = kept * w->demand + demand;
  w->granted = kept * w->granted + granted;
  w->counted_at = now;
}

/* Answers ASK at NOW, us. */
CcPermitGrant
cc_owner_window_ask (CcOwnerWindow *w, const CcPermitAsk *ask, gint64 now)
{
  guint priority = MIN (ask->priority, CC_PERMIT_PRIORITIES - 1);
  guint wanted = CLAMP (ask->demand, 1, WANTED_MAX);
  double free_places = places (w, ask->target, now) - estimate_inside (w, now);
  CcPermitGrant grant = { 0 };

  if (free_places >= 1.0 && !has_precedence (w, priority, now))
    grant.granted = MIN (wanted, (guint) free_places);
  for (guint i = 0; i < grant.granted; i++)
    g_array_append_val (w->permitted, now);
  count_demand (w, ask->demand, grant.granted, now);
  if (grant.granted < wanted)
    w->refused_at[priority] = now;
  if (grant.granted == 0)
    grant.wait = time_to_end (w, now);
  return grant;
}

/* A request at the owner of W has ended at NOW, us, with REPORT. */
void
cc_owner_window_ended (CcOwnerWindow *w, const CcOwnerReport *report,
                       gint64 now)
{
  double inside = estimate_inside (w, now);
  gint64 since = now - w->reported_at;

  if (w->reported_at != 0 && since < REPORT_TIMEOUT)
    w->interval += INTERVAL_WEIGHT * ((double) since - w->interval);
  w->reported_at = now;
  remove_permitted (w, now - ARRIVAL_TIME);
  w->reported = report->received
                    ? report->inside
                    : MAX (inside - 1.0 - (double) w->permitted->len, 0.0);
}

/* Returns the requests a second that the owner of W completes. */
double
cc_owner_window_rate (const CcOwnerWindow *w)
{
  return 1e6 / MAX (w->interval, 1.0);
}
