/* Answers arrive out of order, and gateways learn of limits from each other.
 *
 * Of the answers to this gateway the later one holds; one without a limit ends
 * it only if its request was sent after the limit was known here, since
 * otherwise the upstream may have made it before.
 *
 * What gateways observe is ordered by stamps, which reports carry on unchanged:
 * the wall clock of the gateway that observed it, or one more than the newest
 * stamp that it knew.
 *
 * Failure: reports carry the age of what they tell, to which each way adds its
 * delay.  Sent to and fro, an old limit gets younger than its end, and comes
 * back again and again. */
#include "upstream_limits.h"

#include <math.h>

/* A limit below this counts as this one, so that a request now and then finds
 * out when it ends; above the other one there is none in effect. */
#define RATE_MIN 0.2
#define RATE_MAX 1000.0
/* A change of the rate by less than this part does not count. */
#define RATE_TOLERANCE 0.02
/* A limit that no answer has confirmed for this long is forgotten: its upstream
 * has gone. */
#define KEPT_FOR (60 * CC_SECOND)
/* A report with a stamp so far ahead comes from an instance with a wrong clock.
 */
#define STAMP_AHEAD_MAX (2 * CC_SECOND)

typedef struct
{
  char *id;
  guint64 born;
  double rate;     /* 0: none */
  gint64 stamp;    /* of what was observed last */
  gint64 known_at; /* when this gateway learned of the limit, or last received
                      an answer that names it, us */
  gint64 sent_at;  /* when the request of that answer was sent, us */
  gint64 ended_at; /* when this gateway learned of its end, us */
} Entry;

struct CcUpstreamLimits
{
  GHashTable *entries; /* id to Entry */
};

static void
entry_free (gpointer data)
{
  Entry *e = data;

  g_free (e->id);
  g_free (e);
}

/* Returns limits of no upstream. */
CcUpstreamLimits *
cc_upstream_limits_new (void)
{
  CcUpstreamLimits *l = g_new0 (CcUpstreamLimits, 1);

  l->entries =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return l;
}

/* Frees L. */
void
cc_upstream_limits_free (CcUpstreamLimits *l)
{
  g_hash_table_unref (l->entries);
  g_free (l);
}

/* Returns the entry of the upstream ID that started at BORN, which replaces
 * that of another start. */
static Entry *
find_or_add (CcUpstreamLimits *l, const char *id, guint64 born)
{
  Entry *e = g_hash_table_lookup (l->entries, id);

  if (e != NULL && e->born == born)
    return e;
  e = g_new0 (Entry, 1);
  e->id = g_strdup (id);
  e->born = born;
  g_hash_table_replace (l->entries, e->id, e);
  return e;
}

/* Returns RATE as it is used; 0: no limit. */
static double
effective_rate (double rate)
{
  return rate >= RATE_MAX ? 0.0 : MAX (rate, RATE_MIN);
}

/* Sets the rate of E.  Returns TRUE if it has changed. */
static gboolean
set_rate (Entry *e, double rate)
{
  gboolean changed = fabs (rate - e->rate) > RATE_TOLERANCE * e->rate ||
                     (rate > 0) != (e->rate > 0);

  if (changed)
    e->rate = rate;
  return changed;
}

/* Returns the stamp of an observation of E at AT. */
static gint64
next_stamp (const Entry *e, CcLimitTime at)
{
  return MAX (at.wall, e->stamp + 1);
}

/* An answer of the upstream ID, to a request that was sent at SENT, us, and
 * received at AT, names the limit RATE.  Returns TRUE if that changes it. */
gboolean
cc_upstream_limits_named (CcUpstreamLimits *l, const char *id, guint64 born,
                          double rate, gint64 sent, CcLimitTime at)
{
  Entry *e = find_or_add (l, id, born);

  if (sent < e->ended_at || sent < e->sent_at)
    return FALSE;
  e->sent_at = sent;
  e->known_at = at.now;
  e->stamp = next_stamp (e, at);
  return set_rate (e, effective_rate (rate));
}

/* An answer of the upstream ID, to a request that was sent at SENT, us, and
 * received at AT, names no limit.  Returns TRUE if it ends one. */
gboolean
cc_upstream_limits_ended (CcUpstreamLimits *l, const char *id, guint64 born,
                          gint64 sent, CcLimitTime at)
{
  Entry *e = g_hash_table_lookup (l->entries, id);

  if (e == NULL || e->born != born || e->rate <= 0 || sent <= e->known_at)
    return FALSE;
  e->rate = 0;
  e->ended_at = at.now;
  e->stamp = next_stamp (e, at);
  return TRUE;
}

/* Another gateway reports LIMIT, received at AT.  Returns TRUE if that changes
 * it. */
gboolean
cc_upstream_limits_reported (CcUpstreamLimits *l, const CcUpstreamLimit *limit,
                             CcLimitTime at)
{
  Entry *e = g_hash_table_lookup (l->entries, limit->id);
  gboolean changed;

  if (limit->stamp > at.wall + STAMP_AHEAD_MAX ||
      (limit->rate <= 0 && (e == NULL || e->born != limit->born)))
    return FALSE;
  e = find_or_add (l, limit->id, limit->born);
  if (limit->stamp <= e->stamp)
    return FALSE;
  e->stamp = limit->stamp;
  changed = set_rate (e, limit->rate > 0 ? effective_rate (limit->rate) : 0.0);
  if (changed)
    *(e->rate > 0 ? &e->known_at : &e->ended_at) = at.now;
  return changed;
}

/* Returns the limit of the upstream ID that started at BORN, requests a second;
 * 0: none. */
double
cc_upstream_limits_rate (const CcUpstreamLimits *l, const char *id,
                         guint64 born)
{
  const Entry *e = g_hash_table_lookup (l->entries, id);

  return e != NULL && e->born == born ? e->rate : 0.0;
}

/* Returns when this gateway learned of the limit of the upstream ID, or last
 * received an answer that names it, us; 0: never. */
gint64
cc_upstream_limits_known_at (const CcUpstreamLimits *l, const char *id)
{
  const Entry *e = g_hash_table_lookup (l->entries, id);

  return e != NULL ? e->known_at : 0;
}

static CcUpstreamLimit
limit_of (const Entry *e)
{
  return (CcUpstreamLimit){ e->id, e->born, e->rate, e->stamp };
}

/* Sets *LIMIT to what is known of the upstream ID.  Returns FALSE if that is
 * nothing. */
gboolean
cc_upstream_limits_find (const CcUpstreamLimits *l, const char *id,
                         CcUpstreamLimit *limit)
{
  const Entry *e = g_hash_table_lookup (l->entries, id);

  if (e != NULL)
    *limit = limit_of (e);
  return e != NULL;
}

/* Returns the limits in force at WALL, us, an array of CcUpstreamLimit that the
 * caller frees.  Those that are too old are removed. */
GArray *
cc_upstream_limits_list (CcUpstreamLimits *l, gint64 wall)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (CcUpstreamLimit));
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, l->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const Entry *e = value;
      CcUpstreamLimit limit = limit_of (e);

      if (wall - e->stamp >= KEPT_FOR)
        g_hash_table_iter_remove (&i);
      else if (e->rate > 0)
        g_array_append_val (list, limit);
    }
  return list;
}
