/* GLib's main loop looks at every source in every turn, so with a timeout for
 * each waiting request a turn costs more the more requests wait, just when
 * there is no time.  Here all timers stand in one sequence by time behind a
 * single source: starting and stopping one is O(log n), a turn looks at one.
 */
#include "timers.h"

#include "clock.h"

static GSequence *running; /* of CcTimer, by time */
static GSource *source;

static gint
by_time (gconstpointer a, gconstpointer b, gpointer unused)
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
arm (void)
{
  const CcTimer *first = first_timer ();

  g_source_set_ready_time (source, first != NULL ? first->at : -1);
}

/* Calls what is due by now.  The main loop does; a test that has paused the
 * clock calls it after each advance. */
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
  arm ();
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

/* Calls DUE with DATA once, SPAN us from now, in the main loop.  T must stay
 * where it is until then or until it is stopped. */
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
  t->place = g_sequence_insert_sorted (running, t, by_time, NULL);
  if (first_timer () == t)
    arm ();
}

/* Stops T if it runs.  The source may then wake once for nothing. */
void
cc_timer_stop (CcTimer *t)
{
  if (t->place == NULL)
    return;
  g_sequence_remove (t->place);
  t->place = NULL;
}
