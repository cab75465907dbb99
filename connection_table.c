/* Bounds how long callers' connections stay open and how many there are.
 *
 * An idle connection is closed after a timeout, and one whose request headers
 * do not arrive in time, too.  Connections that are in use are never closed
 * here.  The descriptors of a process are shared with its upstreams, its peers
 * and the table, so callers get only a part of them: beyond that, a new
 * connection replaces the one that has been idle longest, and if none is idle,
 * requests on the new one are to be refused. */
#include "connection_table.h"

#include "capercrank.h"
#include "clock.h"
#include "event_log.h"
#include "metrics.h"
#include "timers.h"

#define SWEEP_PERIOD (250 * CC_MS) /* between two searches for expired ones */
/* Of the descriptors of the process, one in RESERVED_SHARE and at least
 * RESERVED_MIN are not for callers. */
#define RESERVED_SHARE 4
#define RESERVED_MIN 128u
/* A full table is no longer full when it could take one in so many of its bound
 * again.  Less would let readiness change with each request. */
#define ROOM_SHARE 8

struct CcConnectionTable
{
  GQueue queues[CC_CONNECTION_STATES]; /* of CcConnection, by time in state */
  guint count;
  gint64 timeouts[CC_CONNECTION_STATES]; /* us; 0: none */
  guint bound;                           /* of open connections; 0: none */
  guint refused_above; /* open connections; a new one is closed at once */
  gboolean is_full;    /* the bound is reached and no connection was idle */
  CcTimer sweep;
  CcCounter *closed[CC_CLOSE_CAUSES];
  CcCounter uncounted;
};

static const char *const cause_labels[] = {
  "cause=\"closed\"", "cause=\"idle\"", "cause=\"headers\"",
  "cause=\"evicted\"", "cause=\"refused\""
};

/* Returns a table without connections, timeouts and bound, which counts closed
 * connections by their cause in the metric COUNTER; NULL: in none. */
CcConnectionTable *
cc_connection_table_new (const char *counter)
{
  CcConnectionTable *t = g_new0 (CcConnectionTable, 1);

  for (guint i = 0; i < CC_CLOSE_CAUSES; i++)
    t->closed[i] = counter != NULL
                       ? cc_metrics_counter (counter, cause_labels[i])
                       : &t->uncounted;
  return t;
}

/* Frees T, all of whose connections were closed. */
void
cc_connection_table_free (CcConnectionTable *t)
{
  cc_timer_stop (&t->sweep);
  g_free (t);
}

/* Has C closed for CAUSE, unless it has data to read. */
static void
expire (CcConnection *c, CcCloseCause cause)
{
  c->cause = cause;
  c->close (c->data);
}

/* Closes the connections that have been in STATE for longer than allowed. */
static void
expire_state (CcConnectionTable *t, CcConnectionState state, CcCloseCause cause)
{
  gint64 from = cc_clock_steady () - t->timeouts[state];
  GList *next;

  if (t->timeouts[state] == 0)
    return;
  for (GList *i = t->queues[state].head; i != NULL; i = next)
    {
      CcConnection *c = i->data;

      next = i->next;
      if (c->since > from)
        break;
      expire (c, cause);
    }
}

/* Sets whether T is full, and logs a change. */
static void
set_full (CcConnectionTable *t, gboolean is_full)
{
  if (t->is_full == is_full)
    return;
  t->is_full = is_full;
  cc_event (CC_EVENT_STATE, "caller-connections", "full",
            is_full ? "yes" : "no", "open", cc_event_int (t->count), "bound",
            cc_event_int (t->bound), NULL);
}

/* The number of connections that T could take. */
static guint
room (const CcConnectionTable *t)
{
  guint used = t->count - t->queues[CC_CONNECTION_IDLE].length;

  return t->bound > used ? t->bound - used : 0;
}

static void
on_sweep (gpointer data)
{
  CcConnectionTable *t = data;

  expire_state (t, CC_CONNECTION_IDLE, CC_CLOSE_IDLE);
  expire_state (t, CC_CONNECTION_READING, CC_CLOSE_HEADERS);
  if (room (t) > t->bound / ROOM_SHARE)
    set_full (t, FALSE);
  if (t->count > 0 || t->is_full)
    cc_timer_start (&t->sweep, SWEEP_PERIOD, on_sweep, t);
}

/* Closes connections that have been idle for IDLE, and those on which the
 * headers of a request have not arrived within HEADERS, us; 0: never.  Also
 * applies to connections that are open. */
void
cc_connection_table_set_timeouts (CcConnectionTable *t, gint64 idle,
                                  gint64 headers)
{
  t->timeouts[CC_CONNECTION_IDLE] = idle;
  t->timeouts[CC_CONNECTION_READING] = headers;
}

/* Bounds the connections of T in a process that may open DESCRIPTORS. */
void
cc_connection_table_set_bound (CcConnectionTable *t, guint descriptors)
{
  guint reserved = MAX (descriptors / RESERVED_SHARE, RESERVED_MIN);

  t->bound = descriptors > reserved ? descriptors - reserved : 1;
  t->refused_above = t->bound + reserved / 2;
}

/* Makes room for one more connection.  Returns FALSE if none is idle. */
static gboolean
evict (CcConnectionTable *t)
{
  for (GList *i = t->queues[CC_CONNECTION_IDLE].head; i != NULL; i = i->next)
    {
      CcConnection *c = i->data;

      if (c->cause != CC_CLOSE_NONE)
        continue;
      expire (c, CC_CLOSE_EVICTED);
      return TRUE;
    }
  return FALSE;
}

/* C, which is new, is the one that exceeds the bound of T. */
static void
replace_or_mark (CcConnectionTable *t, CcConnection *c)
{
  if (evict (t))
    return;
  set_full (t, TRUE);
  c->is_surplus = TRUE;
  if (t->count > t->refused_above)
    c->cause = CC_CLOSE_REFUSED;
}

/* The connection C was accepted.  CLOSE is called with DATA when C is to be
 * closed for C->cause: it must be closed unless a byte can be read from it. */
void
cc_connection_opened (CcConnectionTable *t, CcConnection *c,
                      void (*close) (gpointer data), gpointer data)
{
  *c = (CcConnection){ .state = CC_CONNECTION_IDLE,
                       .since = cc_clock_steady (),
                       .close = close,
                       .data = data };
  c->link.data = c;
  t->count++;
  if (t->bound > 0 && t->count > t->bound)
    replace_or_mark (t, c);
  g_queue_push_tail_link (&t->queues[c->state], &c->link);
  if (t->sweep.place == NULL)
    cc_timer_start (&t->sweep, SWEEP_PERIOD, on_sweep, t);
}

/* Bytes were read from C, or an answer was written, and C is in STATE now.  It
 * is not closed for what was the case before. */
void
cc_connection_set_state (CcConnectionTable *t, CcConnection *c,
                         CcConnectionState state)
{
  c->cause = CC_CLOSE_NONE;
  if (c->state == state)
    return;
  g_queue_unlink (&t->queues[c->state], &c->link);
  c->state = state;
  c->since = cc_clock_steady ();
  g_queue_push_tail_link (&t->queues[state], &c->link);
}

/* C, which is open, is closed. */
void
cc_connection_closed (CcConnectionTable *t, CcConnection *c)
{
  ++*t->closed[c->cause];
  g_queue_unlink (&t->queues[c->state], &c->link);
  t->count--;
}

/* Whether requests on C are to be refused, and C to be closed: it was opened
 * beyond the bound, and that is still exceeded. */
gboolean
cc_connection_is_surplus (CcConnectionTable *t, CcConnection *c)
{
  c->is_surplus &= t->count > t->bound;
  return c->is_surplus;
}

/* The number of open connections. */
guint
cc_connection_table_count (const CcConnectionTable *t)
{
  return t->count;
}

/* Whether requests on a new connection would be refused: the bound is reached,
 * and few connections or none are idle. */
gboolean
cc_connection_table_is_full (const CcConnectionTable *t)
{
  return t->is_full;
}

/* Updates the gauges of open connections. */
void
cc_connection_table_write_gauges (const CcConnectionTable *t)
{
  static const char *const labels[] = { "state=\"idle\"", "state=\"reading\"",
                                        "state=\"busy\"" };

  for (guint i = 0; i < CC_CONNECTION_STATES; i++)
    cc_metrics_gauge ("capercrank_caller_connections", labels[i],
                      t->queues[i].length);
}
