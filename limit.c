/* Load patterns: a slow upstream, one that joins cold, one that sheds, one
 * whose load report lags or is wrong.
 *
 * Failure: with a fixed limit of four, a cold server is filled with work that
 * times out, a shedding one goes on shedding, and slots stay unused where a
 * server has more.
 *
 * The dispatcher is the only sender, so it knows what is inside the server.
 * The limit follows from that, the measured throughput and refusals (Prequal,
 * NSDI 2024, likewise prefers requests in flight to reported load).  The
 * server's own report is not used: it lags by its period, and a wrong report
 * of an idle server would cost more than none.
 *
 * Warm-up: the limit starts at one and rises by one after as many responses as
 * the limit, so it is four after six responses.  A cold server gets its first
 * requests one at a time.
 *
 * Refusal: the limit is halved, at most once per service time, since attempts
 * that are sent together are refused together.  Nothing is sent for one
 * service time, after which a slot has become free.
 *
 * Trial: on a saturated server the limit is raised by one (or, in turn,
 * lowered by one) for a round, every TRIAL_PERIOD.  The higher limit is kept
 * if the rate rose by at least half of what a real slot would add; the lower
 * one if the rate fell by less than that, since requests are better held in a
 * queue that can order them than in the server's. */
#include "limit.h"

#define SLOTS 4           /* usual slots of a server */
#define LIMIT_MAX 64      /* half of the 130 connections of a server */
#define ROUND_ANSWERS 128 /* gives the rate to 4% at 30% deviation */
#define TRIAL_PERIOD (10 * CC_SECOND) /* a round takes 2% of it or less */
#define GAIN_MIN 0.5                  /* part of a slot's rate, see above */

/* Initialises L for a new server. */
void
cc_limit_init (CcLimit *l)
{
  *l = (CcLimit){ .limit = 1, .baseline = 1, .warming = TRUE, .upwards = TRUE };
}

/* Returns whether an attempt may be sent at NOW with RUNNING already inside. */
gboolean
cc_limit_may_send (const CcLimit *l, guint running, gint64 now)
{
  return running < l->limit && now >= l->paused_until;
}

/* Counts a response during warm-up and raises the limit if it is due. */
static void
warm_up (CcLimit *l)
{
  if (++l->warm_answers < l->limit)
    return;
  l->warm_answers = 0;
  l->baseline = ++l->limit;
  l->warming = l->limit < SLOTS;
}

/* Discards the measurements of the current round. */
static void
end_round (CcLimit *l)
{
  l->answers = 0;
  l->round_began = 0;
}

/* Starts a round at a limit of one more or one less, in turn. */
static void
begin_trial (CcLimit *l, gint64 now)
{
  gboolean up = l->upwards || l->baseline == 1;

  l->upwards = !l->upwards;
  l->next_trial = now + TRIAL_PERIOD;
  if (up && l->baseline >= LIMIT_MAX)
    return;
  l->limit = up ? l->baseline + 1 : l->baseline - 1;
  l->state = CC_LIMIT_TRIAL;
}

/* Adopts the limit of a trial that measured RATE, or returns to the baseline.
 */
static void
evaluate_trial (CcLimit *l, double rate)
{
  double step = l->rate / l->baseline * GAIN_MIN;
  gboolean gains =
      l->limit > l->baseline ? rate >= l->rate + step : rate >= l->rate - step;

  if (gains)
    {
      l->baseline = l->limit;
      l->rate = rate;
    }
  l->limit = l->baseline;
  l->state = CC_LIMIT_STEADY;
}

/* Ends a round of ROUND_ANSWERS responses at NOW. */
static void
evaluate_round (CcLimit *l, gint64 now)
{
  double rate = (double) l->answers * (double) CC_SECOND /
                (double) MAX (now - l->round_began, 1);

  end_round (l);
  switch (l->state)
    {
    case CC_LIMIT_TRIAL:
      evaluate_trial (l, rate);
      break;
    case CC_LIMIT_STEADY:
      l->rate = rate;
      if (now >= l->next_trial)
        begin_trial (l, now);
      break;
    }
}

/* Records a response at NOW.  SATURATED: the limit was reached and requests
 * waited, so the rate shows the throughput of this limit. */
void
cc_limit_answered (CcLimit *l, gboolean saturated, gint64 now)
{
  if (l->warming)
    {
      warm_up (l);
      return;
    }
  if (!saturated)
    {
      end_round (l);
      return;
    }
  if (l->round_began == 0)
    {
      l->round_began = now;
      return;
    }
  if (++l->answers >= ROUND_ANSWERS)
    evaluate_round (l, now);
}

/* Lowers the limit to TO, at least one, and ends any trial. */
static void
lower_limit (CcLimit *l, guint to, gint64 now)
{
  l->limit = l->baseline = MAX (to, 1);
  l->warming = l->limit < SLOTS;
  l->warm_answers = 0;
  l->state = CC_LIMIT_STEADY;
  l->last_cut = now;
  end_round (l);
}

/* Records that the server refused an attempt because of its load.  SERVICE is
 * the expected service time, us. */
void
cc_limit_shed (CcLimit *l, gint64 service, gint64 now)
{
  l->paused_until = now + MAX (service, CC_MS);
  if (now - l->last_cut >= service)
    lower_limit (l, l->limit / 2, now);
}

/* Records an attempt without a response: the limit starts again as for a new
 * server. */
void
cc_limit_lost (CcLimit *l, gint64 now)
{
  lower_limit (l, 1, now);
}
