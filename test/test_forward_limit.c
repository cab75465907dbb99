/* Guards against a gateway whose processor is overloaded by forwarded requests,
 * so that its own callers and the forwarded ones are all answered too late. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>

#include <cmocka.h>

#include "backoff.h"
#include "forward_limit.h"

#define LENGTH (20 * CC_SECOND)
#define COST_SERVED (3000.0) /* processor time of a request, us */
#define COST_REFUSED (800.0)
#define OWN_PER_S 60
#define URGENT_EVERY 8 /* requests, one has the highest priority */
#define SENDERS 10     /* gateways that forward requests */
#define BACKOFF_FIRST (100 * CC_MS)
#define BACKOFF_MAX (1 * CC_SECOND)
/* Longest wait of the gateway's own callers: the shortest latency target. */
#define WAIT_MAX (200 * CC_MS)

typedef struct
{
  const char *name;
  guint forwarded_per_s; /* by all senders, if none backs off */
  double served_min;     /* of the forwarded, as a share of what fits */
} Case;

static const Case cases[] = {
  { "light load", 60, 0.97 },
  { "just enough", 200, 0.9 },
  { "three times too much", 800, 0.7 },
  { "ten times too much", 2700, 0.5 },
};

typedef struct
{
  double backlog; /* processor time that is queued, us */
  gint64 worst;   /* longest wait of an own request, us */
  guint served, refused;
  guint urgent, urgent_served; /* requests of the highest priority */
} Result;

/* Handles a request of SENDER at NOW, unless it has backed off. */
static void
forward (Result *r, CcForwardLimit *limit, CcBackoff *sender, guint priority,
         gint64 now)
{
  if (cc_backoff_is_active (sender, now))
    return;
  r->urgent += priority == 0;
  if (!cc_forward_limit_accept (limit, priority, now))
    {
      r->backlog += COST_REFUSED;
      r->refused++;
      cc_backoff_fail (sender, BACKOFF_FIRST, BACKOFF_MAX, now);
      return;
    }
  r->backlog += COST_SERVED;
  r->served++;
  r->urgent_served += priority == 0;
  cc_backoff_clear (sender);
}

/* A loop that serves its queue in order; requests arrive evenly. */
static Result
play (const Case *c)
{
  Result r = { 0 };
  CcForwardLimit limit = { 0 };
  CcBackoff senders[SENDERS] = { 0 };
  gint64 timer_due = CC_FORWARD_LIMIT_PERIOD, timer_fires = G_MAXINT64;
  double own = 0, forwarded = 0;
  guint next = 0;

  for (gint64 now = CC_MS; now < LENGTH; now += CC_MS)
    {
      r.backlog = MAX (r.backlog - CC_MS, 0);
      if (timer_fires == G_MAXINT64 && now >= timer_due)
        timer_fires = now + (gint64) r.backlog;
      if (now >= timer_fires)
        {
          cc_forward_limit_update (&limit, now - timer_due);
          timer_due = now + CC_FORWARD_LIMIT_PERIOD;
          timer_fires = G_MAXINT64;
        }
      for (own += OWN_PER_S / 1000.0; own >= 1; own -= 1)
        {
          r.worst = MAX (r.worst, (gint64) r.backlog);
          r.backlog += COST_SERVED;
        }
      for (forwarded += c->forwarded_per_s / 1000.0; forwarded >= 1;
           forwarded -= 1)
        {
          forward (&r, &limit, &senders[next % SENDERS],
                   next / SENDERS % URGENT_EVERY == 0 ? 0 : 1, now);
          next++;
        }
    }
  return r;
}

static void
own_callers_are_answered_under_forwarded_overload (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      Result r = play (c);
      double seconds = (double) LENGTH / CC_SECOND;
      double fits =
          MIN (c->forwarded_per_s, CC_SECOND / COST_SERVED - OWN_PER_S) *
          seconds;

      if (r.worst > WAIT_MAX || r.served < c->served_min * fits)
        fail_msg ("%s: own callers wait %d ms, %u of %.0f served", c->name,
                  (int) (r.worst / CC_MS), r.served, fits);
    }
}

/* What fits of the highest priority is served before the others. */
static void
the_highest_priority_is_served_first (void **state)
{
  const Case overload = { "three times too much", 800, 0 };
  Result r = play (&overload);

  (void) state;
  if (r.urgent_served < 0.9 * r.urgent)
    fail_msg ("%u of %u", r.urgent_served, r.urgent);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (own_callers_are_answered_under_forwarded_overload),
    cmocka_unit_test (the_highest_priority_is_served_first),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
