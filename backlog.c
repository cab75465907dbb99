/* Load pattern: for some seconds, requests arrive faster than a pool can serve
 * them.  Without a bound each waits longer than the one before, until all
 * responses come too late to be of use and the pool's work is wasted.
 *
 * A request whose response would come well past its latency target is
 * therefore refused at once.  The expected wait is derived from the rate at
 * which this entry's attempts have recently ended: that is the part of the
 * pool's capacity that the entry really gets, whatever other entries send.
 * Requests are ordered by priority, and within a priority by due time. */
#include "backlog.h"

#include <math.h>

/* Time constant of the rate of ended attempts: about three response times. */
#define RATE_TIME_CONSTANT (700 * CC_MS)
/* A response may come after the target by this part of it and still be of some
 * use; beyond that, the capacity is better used for a request that can be on
 * time. */
#define LATE_TOLERANCE 0.15
/* Refused callers retry within this share of their remaining time, or not at
 * all. */
#define RETURN_PART 0.3
/* Minimum Retry-After: with less, a refusal only moves the wait into the
 * network. */
#define RETURN_MIN (50 * CC_MS)

/* Orders entries by priority, then by due time. */
static gint
by_urgency (gconstpointer a, gconstpointer b, gpointer unused)
{
  const CcBacklogEntry *x = a, *y = b;

  (void) unused;
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  return x->due <= y->due ? -1 : 1;
}

/* Initialises B as an empty backlog. */
void
cc_backlog_init (CcBacklog *b)
{
  *b = (CcBacklog){ .order = g_sequence_new (NULL) };
}

/* Frees the memory of B, not the entries in it. */
void
cc_backlog_clear (CcBacklog *b)
{
  g_clear_pointer (&b->order, g_sequence_free);
}

/* Adds E to B. */
void
cc_backlog_push (CcBacklog *b, CcBacklogEntry *e)
{
  e->place = g_sequence_insert_sorted (b->order, e, by_urgency, NULL);
}

/* Removes E from B; does nothing if E is not in it. */
void
cc_backlog_remove (CcBacklog *b, CcBacklogEntry *e)
{
  (void) b;
  if (e->place != NULL)
    g_sequence_remove (e->place);
  e->place = NULL;
}

/* Returns the number of waiting requests. */
guint
cc_backlog_length (const CcBacklog *b)
{
  return (guint) g_sequence_get_length (b->order);
}

/* Returns the decayed number of ended attempts at NOW. */
static double
decayed_ended (const CcBacklog *b, gint64 now)
{
  return b->ended * exp (-(double) (now - b->ended_at) / RATE_TIME_CONSTANT);
}

/* Records that an attempt of this entry at the pool ended at NOW. */
void
cc_backlog_ended (CcBacklog *b, gint64 now)
{
  b->ended = decayed_ended (b, now) + 1.0;
  b->ended_at = now;
}

/* Returns the expected wait of a request with AHEAD others before it, us. */
static double
wait_behind (const CcBacklog *b, double ahead, gint64 now)
{
  return ahead / MAX (decayed_ended (b, now), 1.0) * RATE_TIME_CONSTANT;
}

/* Returns the expected wait of a new request of PRIORITY, us. */
gint64
cc_backlog_wait (const CcBacklog *b, guint priority, gint64 now)
{
  GSequenceIter *i = g_sequence_get_begin_iter (b->order);
  double ahead = 0;

  for (; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    {
      const CcBacklogEntry *e = g_sequence_get (i);

      if (e->priority > priority)
        break;
      ahead += 1.0;
    }
  return (gint64) wait_behind (b, ahead, now);
}

/* Returns whether a waiting request, with AHEAD others before it, would be
 * answered only after its deadline, LEFT us from NOW, if it takes SERVICE us.
 *
 * Failure: a pool loses capacity while many requests wait.  They were admitted
 * by the former rate, and each is told only at its deadline that it has not
 * run, too late for its caller to come back. */
gboolean
cc_backlog_is_hopeless (const CcBacklog *b, guint ahead, gint64 service,
                        gint64 left, gint64 now)
{
  return wait_behind (b, ahead, now) + (double) service > (double) left;
}

/* Returns whether to admit a request that waits for WAIT, then takes SERVICE,
 * with the latency target TARGET and LEFT to its deadline; all in us. */
gboolean
cc_backlog_admits (gint64 wait, gint64 service, gint64 target, gint64 left)
{
  gint64 useful = target + (gint64) (LATE_TOLERANCE * (double) target);

  return wait + service <= MIN (MAX (useful, service), left);
}

/* Returns the Retry-After of a refused caller, us: the present expected wait
 * WAIT, spread by DRAW (random, 0 to 1), but at most RETURN_PART of its
 * remaining time LEFT and at least RETURN_MIN. */
gint64
cc_backlog_retry_after (gint64 wait, gint64 left, double draw)
{
  gint64 most = (gint64) (RETURN_PART * (double) MAX (left, 0));
  gint64 after = (gint64) ((double) MAX (wait, RETURN_MIN) * (0.5 + draw));

  return MAX (MIN (after, most), RETURN_MIN);
}
