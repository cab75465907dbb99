/* Timers in one sorted sequence behind a single source of the main loop.  GLib
 * checks every source in every iteration, so with a timeout source for each
 * waiting request an iteration would cost more the more requests wait, that is,
 * under overload.  Here starting and stopping a timer is O(log n), and an
 * iteration checks only the first one. */
#include "timers.h"

#include "clock.h"

static GSequence *running; /* of CcTimer, by expiry */
static GSource *source;

static gint
compare_expiry (gconstpointer a, gconstpointer b, gpointer unused)
{
  const CcTimer *x = a, *y = b;

  (void) unused;
  return x->at <= y->at ? -1 : 1;
}

static CcTimer *
first_timer (void)
{
  GSequenceIter *i = g_sequence_get_begin_iter (running);

  return g_sequence_iter_is_end (i) ? NULL : g_sequence_get (i);
}

static void
arm_source (void)
{
  const CcTimer *first = first_timer ();

  g_source_set_ready_time (source, first != NULL ? first->at : -1);
}

/* Calls the callbacks of all expired timers.  The main loop calls it; a test
 * that has paused the clock calls it after each advance. */
void
cc_timers_run (void)
{
  gint64 now = cc_clock_steady ();
  CcTimer *t;

  while (running != NULL && (t = first_timer ()) != NULL && t->at <= now)
    {
      g_sequence_remove (t->place);
      t->place = NULL;
      t->due (t->data);
    }
}

static gboolean
on_ready (gpointer unused)
{
  (void) unused;
  cc_timers_run ();
  arm_source ();
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch (GSource *s, GSourceFunc callback, gpointer data)
{
  return callback (data);
}

static void
open_source (void)
{
  static GSourceFuncs funcs = { .dispatch = dispatch };

  running = g_sequence_new (NULL);
  source = g_source_new (&funcs, sizeof (GSource));
  g_source_set_callback (source, on_ready, NULL, NULL);
  g_source_attach (source, NULL);
}

/* Calls DUE with DATA once, SPAN us from now, in the main loop; a running T is
 * restarted.  T must not move in memory until it expires or is stopped. */
void
cc_timer_start (CcTimer *t, gint64 span, void (*due) (gpointer data),
                gpointer data)
{
  if (source == NULL)
    open_source ();
  cc_timer_stop (t);
  t->at = cc_clock_steady () + MAX (span, 0);
  t->due = due;
  t->data = data;
  t->place = g_sequence_insert_sorted (running, t, compare_expiry, NULL);
  if (first_timer () == t)
    arm_source ();
}

/* Stops T if it is running.  The source is not rearmed, so the main loop may
 * wake up once without an expired timer. */
void
cc_timer_stop (CcTimer *t)
{
  if (t->place == NULL)
    return;
  g_sequence_remove (t->place);
  t->place = NULL;
}
