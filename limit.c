/* Load patterns: a slow upstream, one that joins cold, one that sheds, one
 * whose load report lags or misleads.
 *
 * What happens without it: four attempts for ever fill a cold server with work
 * that times out, keep a shedding one shedding, and leave slots unused where a
 * server has more.
 *
 * The dispatcher is the only sender, so it knows what is in the server; that,
 * measured throughput and refusals decide (as requests in flight go before
 * reported load in Prequal, NSDI 2024).  The server's own report is not used:
 * it lags by its period, and a wrong "idle" would cost more than no report.
 *
 * Warm-up: from one, and one more for as many answers as the limit, so four
 * after six answers: a cold server meets its first work one at a time.
 * Refusal: the server is believed.  Half the limit, at most once in a service
 * time, since attempts sent together are refused together; and nothing is sent
 * for one service time, after which a slot has become free.
 * Trial: on a saturated server, every TRIAL_PERIOD one more (or, in turn, one
 * less) for a round.  One more is kept if the rate rose by half of what a true
 * slot would add; one less if it fell by less than half of that, since work is
 * better held in a queue that can order it than in the server's.
 */
#include "limit.h"

#define SLOTS 4           /* of each server today */
#define LIMIT_MAX 64      /* half of a server's 130 connections */
#define ROUND_ANSWERS 128 /* rate is then known to 4% at 30% deviation */
#define TRIAL_PERIOD (10 * CC_SECOND) /* a round costs 2% of it or less */
#define PAYS 0.5                      /* part of the expected gain, see above */

/* A new server. */
void
cc_limit_init (CcLimit *l)
{
  *l = (CcLimit){ .limit = 1, .kept = 1, .warming = TRUE, .upwards = TRUE };
}

/* Whether one more may be sent beside RUNNING. */
gboolean
cc_limit_may_send (const CcLimit *l, guint running, gint64 now)
{
  return running < l->limit && now >= l->paused;
}

static void
warm_up (CcLimit *l)
{
  if (++l->warm < l->limit)
    return;
  l->warm = 0;
  l->kept = ++l->limit;
  l->warming = l->limit < SLOTS;
}

static void
end_round (CcLimit *l)
{
  l->answers = 0;
  l->round_began = 0;
}

static void
begin_trial (CcLimit *l, gint64 now)
{
  gboolean up = l->upwards || l->kept == 1;

  l->upwards = !l->upwards;
  l->next_trial = now + TRIAL_PERIOD;
  if (up && l->kept >= LIMIT_MAX)
    return;
  l->limit = up ? l->kept + 1 : l->kept - 1;
  l->state = CC_LIMIT_TRYING;
}

static void
judge_trial (CcLimit *l, double rate)
{
  double step = l->rate / l->kept * PAYS;
  gboolean pays =
      l->limit > l->kept ? rate >= l->rate + step : rate >= l->rate - step;

  if (pays)
    {
      l->kept = l->limit;
      l->rate = rate;
    }
  l->limit = l->kept;
  l->state = CC_LIMIT_STEADY;
}

static void
judge_round (CcLimit *l, gint64 now)
{
  double rate = (double) l->answers * (double) CC_SECOND /
                (double) MAX (now - l->round_began, 1);

  end_round (l);
  switch (l->state)
    {
    case CC_LIMIT_TRYING:
      judge_trial (l, rate);
      break;
    case CC_LIMIT_STEADY:
      l->rate = rate;
      if (now >= l->next_trial)
        begin_trial (l, now);
      break;
    }
}

/* An attempt was answered at NOW.  SATURATED: the limit was reached and work
 * waited, so that the rate tells what the limit yields. */
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
    judge_round (l, now);
}

static void
lower (CcLimit *l, guint to, gint64 now)
{
  l->limit = l->kept = MAX (to, 1);
  l->warming = l->limit < SLOTS;
  l->warm = 0;
  l->state = CC_LIMIT_STEADY;
  l->last_cut = now;
  end_round (l);
}

/* The server refused an attempt for its load.  SERVICE is its usual time. */
void
cc_limit_shed (CcLimit *l, gint64 service, gint64 now)
{
  l->paused = now + MAX (service, CC_MS);
  if (now - l->last_cut >= service)
    lower (l, l->limit / 2, now);
}

/* An attempt was not answered: the server starts over as a new one. */
void
cc_limit_lost (CcLimit *l, gint64 now)
{
  lower (l, 1, now);
}
