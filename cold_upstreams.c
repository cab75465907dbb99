/* Load pattern: upstreams are cold for some seconds after a start, or turn cold
 * under load, and crash if the fleet sends them its usual requests.  They state
 * the remaining time in their rows, a second or two late, and in responses to
 * health probes.
 *
 * A row that was written before a probe may be read after it, so what a probe
 * has stated holds against the rows of the next ROW_DELAY.
 *
 * An upstream whose first row is cold has just started: nothing was sent to it
 * before.  That is not known of upstreams in the first rows that this gateway
 * reads. */
#include "cold_upstreams.h"

/* Longest time from a change at an upstream until its row is read here: it is
 * written every 870 ms and read up to a second later. */
#define ROW_DELAY (2500 * CC_MS)
/* Time over which traffic is averaged. */
#define TRAFFIC_TIME (5 * CC_SECOND)
/* Requests before an upstream turned cold count for this long. */
#define FORMER_TIME (1 * CC_SECOND)
/* Requests that are remembered; a gateway that has sent more in FORMER_TIME
 * reports this many. */
#define SENT_KEPT 32
/* A longer cold time is not believed. */
#define LEFT_MAX (3600 * CC_SECOND)

typedef struct
{
  guint64 born;
  double rate;
  gint64 until;        /* us */
  guint64 version;     /* of its last row */
  gint64 probed_until; /* stated by a probe, us */
  gint64 probed_at;    /* us; 0: never */
  gboolean cold;       /* UNTIL has not been noticed to have passed */
  gboolean fresh;      /* it has just started and was sent nothing */
  gint64 *sent_at; /* last requests from here, us, a ring of SENT_KEPT; NULL:
                      none that counts */
  guint sent;      /* number of requests so far */
  guint former;    /* of these, in the second before it turned cold */
} Entry;

struct CcColdUpstreams
{
  GHashTable *entries; /* id to Entry */
  gboolean listed;     /* the first rows have been read */
};

static void
entry_free (gpointer data)
{
  Entry *e = data;

  g_free (e->sent_at);
  g_free (e);
}

/* Returns an empty set. */
CcColdUpstreams *
cc_cold_upstreams_new (void)
{
  CcColdUpstreams *c = g_new0 (CcColdUpstreams, 1);

  c->entries =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  return c;
}

/* Frees C. */
void
cc_cold_upstreams_free (CcColdUpstreams *c)
{
  g_hash_table_unref (c->entries);
  g_free (c);
}

/* Returns the entry of the upstream ID that started at BORN, which replaces
 * that of another start. */
static Entry *
find_or_add (CcColdUpstreams *c, const CcColdState *state)
{
  Entry *e = g_hash_table_lookup (c->entries, state->id);

  if (e != NULL && e->born == state->born)
    return e;
  e = g_new0 (Entry, 1);
  e->born = state->born;
  e->fresh = c->listed;
  g_hash_table_replace (c->entries, g_strdup (state->id), e);
  return e;
}

/* Returns the requests that were sent to E within SPAN before NOW. */
static guint
count_sent (const Entry *e, gint64 span, gint64 now)
{
  guint n = 0;

  for (guint i = 0; e->sent_at != NULL && i < MIN (e->sent, SENT_KEPT); i++)
    n += now - e->sent_at[i] < span;
  return n;
}

/* Sets whether E is cold until UNTIL, and with which RATE. */
static CcColdChange
set_until (Entry *e, gint64 until, double rate, gint64 now)
{
  gboolean cold = until > now && rate > 0;
  gboolean was = e->cold;
  gboolean other_rate = e->rate != rate;

  e->until = until;
  e->rate = rate;
  e->cold = cold;
  if (cold && !was)
    e->former = count_sent (e, FORMER_TIME, now);
  if (cold != was)
    return cold ? CC_COLD_BEGAN : CC_COLD_ENDED;
  return cold && other_rate ? CC_COLD_RATE : CC_COLD_SAME;
}

/* Returns when the time LEFT from NOW is over, us. */
static gint64
end_of (gint64 left, gint64 now)
{
  return now + CLAMP (left, 0, LEFT_MAX);
}

/* The row of an upstream, read at NOW, us, contains STATE. */
CcColdChange
cc_cold_upstreams_row (CcColdUpstreams *c, const CcColdState *state, gint64 now)
{
  Entry *e = find_or_add (c, state);
  gint64 until = end_of (state->left, now);
  CcColdChange change;

  if (state->version == e->version)
    until = e->until;
  else if (e->probed_at != 0 && now - e->probed_at < ROW_DELAY)
    until = MAX (until, e->probed_until);
  e->version = state->version;
  change = set_until (e, until, state->rate, now);
  if (!e->cold)
    e->fresh = FALSE;
  return change;
}

/* A response to a health probe, received at NOW, us, here or by another
 * gateway, states that the upstream ID, which started at BORN, stays cold for
 * LEFT, us.  The rate is that of its pool, which is known with its row. */
CcColdChange
cc_cold_upstreams_probe (CcColdUpstreams *c, const char *id, guint64 born,
                         gint64 left, gint64 now)
{
  Entry *e = g_hash_table_lookup (c->entries, id);

  if (e == NULL || e->born != born)
    return CC_COLD_SAME;
  e->fresh = FALSE;
  e->probed_at = now;
  e->probed_until = end_of (left, now);
  return set_until (e, e->probed_until, e->rate, now);
}

/* Returns the requests a second that the upstream ID, which started at BORN and
 * is warm at NOW, us, would take if it were cold; 0: it is cold, or there is no
 * such rate. */
double
cc_cold_upstreams_warm_rate (const CcColdUpstreams *c, const char *id,
                             guint64 born, gint64 now)
{
  const Entry *e = g_hash_table_lookup (c->entries, id);

  return e != NULL && e->born == born && !(e->cold && now < e->until) ? e->rate
                                                                      : 0.0;
}

/* Returns the requests a second that this gateway has sent to the upstream ID
 * lately. */
double
cc_cold_upstreams_traffic (const CcColdUpstreams *c, const char *id, gint64 now)
{
  const Entry *e = g_hash_table_lookup (c->entries, id);

  return e != NULL
             ? count_sent (e, TRAFFIC_TIME, now) * 1e6 / (double) TRAFFIC_TIME
             : 0.0;
}

/* Returns the requests a second that the upstream ID, which started at BORN,
 * takes at NOW, us, since it is cold; 0: it is warm. */
double
cc_cold_upstreams_rate (const CcColdUpstreams *c, const char *id, guint64 born,
                        gint64 now)
{
  const Entry *e = g_hash_table_lookup (c->entries, id);

  return e != NULL && e->born == born && e->cold && now < e->until ? e->rate
                                                                   : 0.0;
}

/* Returns until when the upstream ID is cold, us; 0: it never was. */
gint64
cc_cold_upstreams_until (const CcColdUpstreams *c, const char *id)
{
  const Entry *e = g_hash_table_lookup (c->entries, id);

  return e != NULL && e->cold ? e->until : 0;
}

/* A request is sent to the upstream ID at NOW, us. */
void
cc_cold_upstreams_sent (CcColdUpstreams *c, const char *id, gint64 now)
{
  Entry *e = g_hash_table_lookup (c->entries, id);

  if (e == NULL || e->rate <= 0)
    return;
  if (e->sent_at == NULL)
    e->sent_at = g_new0 (gint64, SENT_KEPT);
  e->sent_at[e->sent++ % SENT_KEPT] = now;
}

/* Returns the requests that this gateway sent to the upstream ID, which started
 * at BORN, in the second before it learned that it is cold; 0 after the first
 * call. */
guint
cc_cold_upstreams_take_former (CcColdUpstreams *c, const char *id, guint64 born)
{
  Entry *e = g_hash_table_lookup (c->entries, id);
  guint former = 0;

  if (e != NULL && e->born == born)
    {
      former = e->former;
      e->former = 0;
    }
  return former;
}

/* Returns the number of upstreams that are cold at NOW, us. */
guint
cc_cold_upstreams_count (const CcColdUpstreams *c, gint64 now)
{
  GHashTableIter i;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&i, c->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    n += ((Entry *) value)->cold && now < ((Entry *) value)->until;
  return n;
}

/* Returns whether the upstream ID, which started at BORN, has been sent nothing
 * since then.  Returns TRUE once. */
gboolean
cc_cold_upstreams_take_fresh (CcColdUpstreams *c, const char *id, guint64 born)
{
  Entry *e = g_hash_table_lookup (c->entries, id);
  gboolean fresh = e != NULL && e->born == born && e->fresh;

  if (fresh)
    e->fresh = FALSE;
  return fresh;
}

/* The upstreams that were listed when this gateway started have been reported:
 * those that follow have just started. */
void
cc_cold_upstreams_set_listed (CcColdUpstreams *c)
{
  c->listed = TRUE;
}

/* Another gateway may have sent requests to all upstreams. */
void
cc_cold_upstreams_forget_fresh (CcColdUpstreams *c)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, c->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    ((Entry *) value)->fresh = FALSE;
}

/* Calls ENDED with DATA for each upstream whose cold time is over at NOW, us.
 * Returns when the next one's is, us; 0: there is none. */
gint64
cc_cold_upstreams_expire (CcColdUpstreams *c, gint64 now, CcColdEnded ended,
                          gpointer data)
{
  GHashTableIter i;
  gpointer id, value;
  gint64 next = 0;

  g_hash_table_iter_init (&i, c->entries);
  while (g_hash_table_iter_next (&i, &id, &value))
    {
      Entry *e = value;

      if (!e->cold)
        continue;
      if (now >= e->until)
        {
          e->cold = FALSE;
          e->fresh = FALSE;
          ended (id, e->born, data);
        }
      else if (next == 0 || e->until < next)
        next = e->until;
    }
  return next;
}
