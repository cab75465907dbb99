/* At most once across repeats, with memory only.
 *
 * A caller repeats with the same Idempotency-Key.  While this process lives it
 * remembers the key and gives the same outcome again.  The hard case is the
 * repeat that arrives after the process that ran it was lost: its successor
 * has no memory.  So the key carries its time of creation (a UUID of version
 * 7, RFC 9562), and the successor keeps a *horizon* for each slice: the time
 * from which on it has seen every attempt.  A key made before the horizon (plus
 * CC_SKEW_MAX, by which its maker's clock may be ahead) may have run under a
 * predecessor: it is not run, and its outcome is said to be unknown.
 *
 * Forgetting an outcome, for its age or for want of room, raises the horizon
 * in the same way, so no path leads from "forgotten" to "run again".  A key
 * whose time is ahead of ours by more than the skew is refused: it would
 * outlive a horizon that it should have fallen behind.
 */
#include "outcome.h"

#include <string.h>

#define UUID_LENGTH 36
#define BODY_KEPT_MAX (64 * 1024) /* larger answers are remembered without */

typedef struct
{
  char *id;
  char *slice; /* "pool/slice" */
  gint64 wall; /* time in the key */
  gboolean done;
  CcRemembered kept; /* if done */
  GList link;        /* in the list by arrival */
} Entry;

struct CcOutcomes
{
  GHashTable *entries;  /* "pool/slice/id" to Entry */
  GHashTable *horizons; /* "pool/slice" to gint64, wall clock */
  GQueue by_age;        /* of Entry, oldest arrival first */
  gsize bytes;          /* of bodies kept */
  guint count_max;      /* entries */
  gsize bytes_max;      /* of bodies */
};

static void
entry_free (gpointer data)
{
  Entry *e = data;

  g_free (e->id);
  g_free (e->slice);
  g_clear_pointer (&e->kept.headers, g_variant_unref);
  g_clear_pointer (&e->kept.body, g_bytes_unref);
  g_free (e);
}

static char *
slice_name (const char *pool, guint slice)
{
  return g_strdup_printf ("%s/%u", pool, slice);
}

static char *
entry_name (const char *pool, guint slice, const char *id)
{
  return g_strdup_printf ("%s/%u/%s", pool, slice, id);
}

/* An empty memory, without horizons. */
CcOutcomes *
cc_outcomes_new (void)
{
  CcOutcomes *o = g_new0 (CcOutcomes, 1);

  o->entries =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  o->horizons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  o->count_max = CC_OUTCOMES_MAX;
  o->bytes_max = CC_OUTCOME_BYTES_MAX;
  return o;
}

/* Keeps at most COUNT outcomes, and BYTES of answers among them. */
void
cc_outcomes_set_limits (CcOutcomes *o, guint count, gsize bytes)
{
  o->count_max = count;
  o->bytes_max = bytes;
}

/* Frees O. */
void
cc_outcomes_free (CcOutcomes *o)
{
  g_hash_table_unref (o->entries);
  g_hash_table_unref (o->horizons);
  g_free (o);
}

static gboolean
has_uuid_shape (const char *key)
{
  if (strlen (key) != UUID_LENGTH)
    return FALSE;
  for (guint i = 0; i < UUID_LENGTH; i++)
    {
      gboolean dash = i == 8 || i == 13 || i == 18 || i == 23;

      if (dash ? key[i] != '-' : !g_ascii_isxdigit (key[i]))
        return FALSE;
    }
  return key[14] == '7';
}

/* Reads the time in KEY, a UUID of version 7, into *WALL (us since 1970).
 * Returns FALSE if KEY is none. */
gboolean
cc_idempotency_time (const char *key, gint64 *wall)
{
  char digits[13];

  if (!has_uuid_shape (key))
    return FALSE;
  memcpy (digits, key, 8);
  memcpy (digits + 8, key + 9, 4);
  digits[12] = '\0';
  *wall = (gint64) g_ascii_strtoull (digits, NULL, 16) * CC_MS;
  return TRUE;
}

/* From WALL (us since 1970) on, this memory knows every attempt in the slice.
 * A horizon never moves back. */
void
cc_outcomes_set_horizon (CcOutcomes *o, const char *pool, guint slice,
                         gint64 wall)
{
  char *name = slice_name (pool, slice);
  gint64 *old = g_hash_table_lookup (o->horizons, name);

  if (old != NULL && *old >= wall)
    {
      g_free (name);
      return;
    }
  g_hash_table_insert (o->horizons, name, g_memdup2 (&wall, sizeof wall));
}

/* At WALL the slice was taken over from others, whose attempts this memory has
 * not seen; FIRST_EVER if there were none.  A predecessor whose clock was ahead
 * of ours took keys whose makers' clocks were ahead of its own, so both bounds
 * add up: with the callers' alone, such a key was run again here once our clock
 * had reached it. */
void
cc_outcomes_taken (CcOutcomes *o, const char *pool, guint slice, gint64 wall,
                   gboolean first_ever)
{
  cc_outcomes_set_horizon (o, pool, slice,
                           first_ever ? 0
                                      : wall + CC_SKEW_MAX +
                                            CC_INSTANCE_SKEW_MAX);
}

static void
drop (CcOutcomes *o, Entry *e)
{
  g_autofree char *name = g_strconcat (e->slice, "/", e->id, NULL);

  g_queue_unlink (&o->by_age, &e->link);
  if (e->kept.body != NULL)
    o->bytes -= g_bytes_get_size (e->kept.body);
  g_hash_table_remove (o->entries, name);
}

/* Forgets the oldest finished entry and raises its slice's horizon past it. */
static gboolean
evict_oldest (CcOutcomes *o)
{
  Entry *e = NULL;
  gint64 raised, *old;

  for (GList *l = o->by_age.head; l != NULL && e == NULL; l = l->next)
    if (((Entry *) l->data)->done)
      e = l->data;
  if (e == NULL)
    return FALSE;
  raised = e->wall + CC_MS;
  old = g_hash_table_lookup (o->horizons, e->slice);
  if (old == NULL || *old < raised)
    g_hash_table_insert (o->horizons, g_strdup (e->slice),
                         g_memdup2 (&raised, sizeof raised));
  drop (o, e);
  return TRUE;
}

static void
expire (CcOutcomes *o, gint64 wall)
{
  Entry *e = g_queue_peek_head (&o->by_age);

  while (e != NULL && e->done && e->wall < wall - CC_OUTCOME_KEPT)
    {
      evict_oldest (o);
      e = g_queue_peek_head (&o->by_age);
    }
}

static gboolean
is_behind (CcOutcomes *o, const char *pool, guint slice, gint64 made)
{
  g_autofree char *name = slice_name (pool, slice);
  const gint64 *horizon = g_hash_table_lookup (o->horizons, name);

  return horizon == NULL || made < *horizon;
}

/* What to do with a request whose Idempotency-Key is ID, at WALL.  With
 * CC_REPEAT_DONE, *FOUND is its outcome, valid until the next call. */
CcRepeat
cc_outcomes_ask (CcOutcomes *o, const char *pool, guint slice, const char *id,
                 gint64 wall, const CcRemembered **found)
{
  g_autofree char *name = entry_name (pool, slice, id);
  Entry *e;
  gint64 made;

  if (!cc_idempotency_time (id, &made))
    return CC_REPEAT_MALFORMED;
  expire (o, wall);
  e = g_hash_table_lookup (o->entries, name);
  if (e != NULL && !e->done)
    return CC_REPEAT_RUNNING;
  if (e != NULL)
    {
      *found = &e->kept;
      return CC_REPEAT_DONE;
    }
  /* The horizon first: a key that is ahead of our clock may have been in time
   * by a predecessor's, and "ahead" is answered with not-run. */
  if (is_behind (o, pool, slice, made))
    return CC_REPEAT_TOO_OLD;
  return made > wall + CC_SKEW_MAX ? CC_REPEAT_AHEAD : CC_REPEAT_NEW;
}

/* Notes that the first attempt of ID begins.  Must follow CC_REPEAT_NEW. */
void
cc_outcomes_start (CcOutcomes *o, const char *pool, guint slice, const char *id,
                   gint64 wall)
{
  Entry *e = g_new0 (Entry, 1);

  expire (o, wall);
  if (g_hash_table_size (o->entries) >= o->count_max)
    evict_oldest (o);
  e->id = g_strdup (id);
  e->slice = slice_name (pool, slice);
  cc_idempotency_time (id, &e->wall);
  e->link.data = e;
  g_queue_push_tail_link (&o->by_age, &e->link);
  g_hash_table_insert (o->entries, entry_name (pool, slice, id), e);
}

/* The attempt of ID ended in R, which is copied. */
void
cc_outcomes_finish (CcOutcomes *o, const char *pool, guint slice,
                    const char *id, const CcRemembered *r)
{
  g_autofree char *name = entry_name (pool, slice, id);
  Entry *e = g_hash_table_lookup (o->entries, name);

  if (e == NULL || e->done)
    return;
  e->done = TRUE;
  e->kept.outcome = r->outcome;
  e->kept.status = r->status;
  e->kept.headers = r->headers != NULL ? g_variant_ref (r->headers) : NULL;
  if (r->body != NULL && g_bytes_get_size (r->body) <= BODY_KEPT_MAX)
    {
      e->kept.body = g_bytes_ref (r->body);
      o->bytes += g_bytes_get_size (r->body);
    }
  while (o->bytes > o->bytes_max && evict_oldest (o))
    ;
}

/* The attempt of ID certainly did not run: a repeat may. */
void
cc_outcomes_forget (CcOutcomes *o, const char *pool, guint slice,
                    const char *id)
{
  g_autofree char *name = entry_name (pool, slice, id);
  Entry *e = g_hash_table_lookup (o->entries, name);

  if (e != NULL)
    drop (o, e);
}

/* How many outcomes are remembered. */
guint
cc_outcomes_count (const CcOutcomes *o)
{
  return g_hash_table_size (o->entries);
}
