/* Load pattern: for some seconds more requests come than a pool can serve.
 * Without a bound each waits longer than the one before, until all are answered
 * too late to be of use and the pool works for nobody.
 *
 * So a request that would be answered well past its target is refused at once,
 * by the rate at which this entry's attempts have ended lately: that is the
 * part of the pool that it really gets, whatever other entries send.  Urgent
 * kinds go first; among equals the one that is wanted first. */
#include "backlog.h"

#include <math.h>

/* Time over which ended attempts are counted; three answers of today. */
#define RATE_TIME (700 * CC_MS)
/* A request may be answered this much after its target and still be of some
 * use; beyond, the place is better kept for one that can be on time. */
#define LATE_PART 0.15
/* Callers come back within this share of the time they have left, or not. */
#define RETURN_PART 0.3
/* Soonest return: below it a refusal only moves the wait into the network. */
#define RETURN_LEAST (50 * CC_MS)

static gint
by_urgency (gconstpointer a, gconstpointer b, gpointer unused)
{
  const CcBacklogEntry *x = a, *y = b;

  (void) unused;
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  return x->due <= y->due ? -1 : 1;
}

/* Makes B empty. */
void
cc_backlog_init (CcBacklog *b)
{
  *b = (CcBacklog){ .order = g_sequence_new (NULL) };
}

/* Frees what B holds; the entries stay. */
void
cc_backlog_clear (CcBacklog *b)
{
  g_clear_pointer (&b->order, g_sequence_free);
}

/* E waits in B. */
void
cc_backlog_push (CcBacklog *b, CcBacklogEntry *e)
{
  e->place = g_sequence_insert_sorted (b->order, e, by_urgency, NULL);
}

/* E waits no more; nothing happens if it doesn't. */
void
cc_backlog_remove (CcBacklog *b, CcBacklogEntry *e)
{
  (void) b;
  if (e->place != NULL)
    g_sequence_remove (e->place);
  e->place = NULL;
}

/* Requests that wait. */
guint
cc_backlog_length (const CcBacklog *b)
{
  return (guint) g_sequence_get_length (b->order);
}

static double
ended_by (const CcBacklog *b, gint64 now)
{
  return b->ended * exp (-(double) (now - b->ended_at) / RATE_TIME);
}

/* An attempt of this entry at the pool ended at NOW. */
void
cc_backlog_ended (CcBacklog *b, gint64 now)
{
  b->ended = ended_by (b, now) + 1.0;
  b->ended_at = now;
}

/* How long a new request of PRIORITY would wait, us. */
gint64
cc_backlog_wait (const CcBacklog *b, guint priority, gint64 now)
{
  GSequenceIter *i = g_sequence_get_begin_iter (b->order);
  double ahead = 0;
  double rate = MAX (ended_by (b, now), 1.0);

  for (; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    {
      const CcBacklogEntry *e = g_sequence_get (i);

      if (e->priority > priority)
        break;
      ahead += 1.0;
    }
  return (gint64) (ahead / rate * RATE_TIME);
}

/* Whether a request that waits for WAIT, then takes SERVICE, is worth taking
 * with TARGET and LEFT to its deadline; all in us. */
gboolean
cc_backlog_admits (gint64 wait, gint64 service, gint64 target, gint64 left)
{
  gint64 useful = target + (gint64) (LATE_PART * (double) target);

  return wait + service <= MIN (MAX (useful, service), left);
}

/* When to tell a refused caller to return, us from now: after the WAIT of now,
 * spread by DRAW (0 to 1), and within what it has LEFT. */
gint64
cc_backlog_retry_after (gint64 wait, gint64 left, double draw)
{
  gint64 most = (gint64) (RETURN_PART * (double) MAX (left, 0));
  gint64 after = (gint64) ((double) MAX (wait, RETURN_LEAST) * (0.5 + draw));

  return MAX (MIN (after, most), RETURN_LEAST);
}
