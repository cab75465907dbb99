/* Runs a request at most once, however often it is repeated, with records in
 * memory only.
 *
 * A caller repeats a request with the same Idempotency-Key.  While this process
 * runs, it keeps a record of the key and answers with the same outcome.  The
 * difficult case is a repeat after the process that ran the request was lost,
 * because its successor has no records.  So the key contains its creation time
 * (a UUID of version 7, RFC 9562), and the successor has a *horizon* for each
 * slice: the time from which on it has a record of every attempt.  A key
 * created before the horizon (plus CC_SKEW_MAX, by which the clock of the
 * caller may be ahead) may have run under a predecessor: it is not run, and its
 * outcome is reported as unknown.
 *
 * Evicting a record, for its age or for lack of capacity, raises the horizon in
 * the same way, so a request whose record was evicted is never run again.  The
 * two horizons are kept separately: the predecessor's records, if they arrive
 * complete (outcome_transfer.h), lower the first but must not lower the second.
 * A key whose time is ahead of the local clock by more than CC_SKEW_MAX is
 * rejected: it would be later than a horizon that should exclude it.
 */
#include "outcome.h"

#include <string.h>

#define UUID_LENGTH 36
#define BODY_KEPT_MAX (64 * 1024) /* of larger answers the body is not kept */

typedef struct
{
  gint64 taken; /* earlier attempts by other holders have no record here; us */
  gint64 evicted; /* the keys of all evicted records are older; us */
  GQueue entries; /* of Entry */
} Slice;

typedef struct
{
  char *name; /* "pool/slice/id" */
  char *id;
  Slice *slice;
  gint64 wall; /* time in the key, us since 1970 */
  gboolean done;
  CcOutcomeRecord kept; /* if done */
  GList link;           /* in the list by arrival */
  GList in_slice;       /* in the slice's list */
} Entry;

struct CcOutcomes
{
  GHashTable *entries; /* "pool/slice/id" to Entry */
  GHashTable *slices;  /* "pool/slice" to Slice */
  GQueue by_age;       /* of Entry, oldest arrival first */
  gsize bytes;         /* of bodies kept */
  guint count_max;     /* entries */
  gsize bytes_max;     /* of bodies */
};

static void
entry_free (gpointer data)
{
  Entry *e = data;

  g_free (e->name);
  g_free (e->id);
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

/* Creates an empty table of outcomes.  The caller frees it. */
CcOutcomes *
cc_outcomes_new (void)
{
  CcOutcomes *o = g_new0 (CcOutcomes, 1);

  o->entries =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  o->slices = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  o->count_max = CC_OUTCOMES_MAX;
  o->bytes_max = CC_OUTCOME_BYTES_MAX;
  return o;
}

/* Limits the table to COUNT outcomes and BYTES of their answers' bodies. */
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
  g_hash_table_unref (o->slices);
  g_free (o);
}

/* Whether KEY has the form of a UUID of version 7. */
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
 * Returns FALSE if KEY is not such a UUID. */
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

/* The state of SLICE.  If there is none, it is created with the latest possible
 * horizon, as nothing is known of the attempts in it. */
static Slice *
find_slice (CcOutcomes *o, const char *pool, guint slice)
{
  g_autofree char *name = slice_name (pool, slice);
  Slice *s = g_hash_table_lookup (o->slices, name);

  if (s != NULL)
    return s;
  s = g_new0 (Slice, 1);
  s->taken = G_MAXINT64;
  g_queue_init (&s->entries);
  g_hash_table_insert (o->slices, g_steal_pointer (&name), s);
  return s;
}

/* Sets the horizon of a slice that was taken over at WALL from others, whose
 * attempts have no records here; with FIRST_EVER there were no others.  The
 * predecessor's clock may have been ahead of the local one, and the clocks of
 * its callers ahead of that, so both bounds are added.  With CC_SKEW_MAX alone,
 * such a key would be run again here once the local clock had reached its time.
 */
void
cc_outcomes_take_over (CcOutcomes *o, const char *pool, guint slice,
                       gint64 wall, gboolean first_ever)
{
  Slice *s = find_slice (o, pool, slice);

  s->taken = first_ever ? 0 : wall + CC_SKEW_MAX + CC_INSTANCE_SKEW_MAX;
}

/* Lowers the horizon of a slice to HORIZON, after the records of all previous
 * holders have arrived complete: what they have no record of is older than
 * HORIZON.  The horizon of records that were evicted here stays. */
void
cc_outcomes_lower_horizon (CcOutcomes *o, const char *pool, guint slice,
                           gint64 horizon)
{
  Slice *s = find_slice (o, pool, slice);

  s->taken = MIN (s->taken, horizon);
}

/* The later of the two horizons of a slice. */
static gint64
horizon_of (const Slice *s)
{
  return MAX (s->taken, s->evicted);
}

/* The time (us since 1970) from which on every attempt in the slice has a
 * record. */
gint64
cc_outcomes_horizon (CcOutcomes *o, const char *pool, guint slice)
{
  return horizon_of (find_slice (o, pool, slice));
}

/* Removes and frees an entry.  The horizon of its slice stays. */
static void
remove_entry (CcOutcomes *o, Entry *e)
{
  g_queue_unlink (&o->by_age, &e->link);
  g_queue_unlink (&e->slice->entries, &e->in_slice);
  if (e->kept.body != NULL)
    o->bytes -= g_bytes_get_size (e->kept.body);
  g_hash_table_remove (o->entries, e->name);
}

/* Removes the oldest finished entry and raises its slice's horizon past it.
 * Returns FALSE if there is none. */
static gboolean
evict_oldest (CcOutcomes *o)
{
  Entry *e = NULL;

  for (GList *l = o->by_age.head; l != NULL && e == NULL; l = l->next)
    if (((Entry *) l->data)->done)
      e = l->data;
  if (e == NULL)
    return FALSE;
  e->slice->evicted = MAX (e->slice->evicted, e->wall + CC_MS);
  remove_entry (o, e);
  return TRUE;
}

/* Evicts finished entries at the head of the list whose keys are older than
 * CC_OUTCOME_RETENTION. */
static void
expire (CcOutcomes *o, gint64 wall)
{
  Entry *e = g_queue_peek_head (&o->by_age);

  while (e != NULL && e->done && e->wall < wall - CC_OUTCOME_RETENTION)
    {
      evict_oldest (o);
      e = g_queue_peek_head (&o->by_age);
    }
}

/* Looks up at WALL a request with Idempotency-Key ID and returns what to do
 * with it.  With CC_REPEAT_DONE, *FOUND is its outcome, valid until the next
 * call. */
CcRepeat
cc_outcomes_lookup (CcOutcomes *o, const char *pool, guint slice,
                    const char *id, gint64 wall, const CcOutcomeRecord **found)
{
  g_autofree char *name = entry_name (pool, slice, id);
  Entry *e;
  gint64 created;

  if (!cc_idempotency_time (id, &created))
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
  /* The horizon is checked first: a key that is ahead of the local clock may
   * not have been ahead of a predecessor's and may have run there, but
   * CC_REPEAT_AHEAD is answered with not-run. */
  if (created < cc_outcomes_horizon (o, pool, slice))
    return CC_REPEAT_TOO_OLD;
  return created > wall + CC_SKEW_MAX ? CC_REPEAT_AHEAD : CC_REPEAT_NEW;
}

/* Adds an entry in progress for ID, whose key has time CREATED.  At the limit,
 * the oldest finished entry is evicted. */
static Entry *
add_entry (CcOutcomes *o, const char *pool, guint slice, const char *id,
           gint64 created)
{
  Entry *e = g_new0 (Entry, 1);

  if (g_hash_table_size (o->entries) >= o->count_max)
    evict_oldest (o);
  e->name = entry_name (pool, slice, id);
  e->id = g_strdup (id);
  e->slice = find_slice (o, pool, slice);
  e->wall = created;
  e->link.data = e->in_slice.data = e;
  g_queue_push_tail_link (&o->by_age, &e->link);
  g_queue_push_tail_link (&e->slice->entries, &e->in_slice);
  g_hash_table_insert (o->entries, e->name, e);
  return e;
}

/* Adds a record of ID, whose first attempt begins.  Must follow a lookup that
 * returned CC_REPEAT_NEW. */
void
cc_outcomes_start (CcOutcomes *o, const char *pool, guint slice, const char *id,
                   gint64 wall)
{
  gint64 created = 0;

  expire (o, wall);
  cc_idempotency_time (id, &created);
  add_entry (o, pool, slice, id, created);
}

/* Finishes entry E with R, and evicts entries while the bodies exceed the
 * limit. */
static void
save_outcome (CcOutcomes *o, Entry *e, const CcOutcomeRecord *r)
{
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

/* Records R, which is copied, as the outcome of the attempt of ID. */
void
cc_outcomes_finish (CcOutcomes *o, const char *pool, guint slice,
                    const char *id, const CcOutcomeRecord *r)
{
  g_autofree char *name = entry_name (pool, slice, id);
  Entry *e = g_hash_table_lookup (o->entries, name);

  if (e != NULL && !e->done)
    save_outcome (o, e, r);
}

/* Adds another holder's record R of ID, unless there is one here already.
 * Returns FALSE if ID is no idempotency key. */
gboolean
cc_outcomes_import (CcOutcomes *o, const char *pool, guint slice,
                    const char *id, const CcOutcomeRecord *r)
{
  g_autofree char *name = entry_name (pool, slice, id);
  gint64 created;

  if (!cc_idempotency_time (id, &created))
    return FALSE;
  if (g_hash_table_lookup (o->entries, name) == NULL)
    save_outcome (o, add_entry (o, pool, slice, id, created), r);
  return TRUE;
}

/* Calls EACH for every outcome of the slice, oldest first.  Attempts that are
 * still in progress count as unknown. */
void
cc_outcomes_each (CcOutcomes *o, const char *pool, guint slice,
                  CcOutcomeEach each, gpointer data)
{
  static const CcOutcomeRecord unknown = { .outcome = CC_OUTCOME_UNKNOWN };
  const Slice *s = find_slice (o, pool, slice);

  for (GList *l = s->entries.head; l != NULL; l = l->next)
    {
      const Entry *e = l->data;

      each (e->id, e->done ? &e->kept : &unknown, data);
    }
}

/* Removes the record of ID, whose attempt certainly did not run, so that a
 * repeat may run. */
void
cc_outcomes_remove (CcOutcomes *o, const char *pool, guint slice,
                    const char *id)
{
  g_autofree char *name = entry_name (pool, slice, id);
  Entry *e = g_hash_table_lookup (o->entries, name);

  if (e != NULL)
    remove_entry (o, e);
}

/* Copies all records of SLICE and its horizon to UNIT, which was a part of it,
 * whatever horizon UNIT had before.  The ids are copied first, because
 * importing one entry may evict others for lack of capacity. */
void
cc_outcomes_inherit (CcOutcomes *o, const char *pool, guint slice, guint unit)
{
  Slice *from = find_slice (o, pool, slice);
  g_autoptr (GPtrArray) ids = g_ptr_array_new_with_free_func (g_free);

  for (GList *l = from->entries.head; l != NULL; l = l->next)
    g_ptr_array_add (ids, g_strdup (((Entry *) l->data)->id));
  for (guint i = 0; i < ids->len; i++)
    {
      g_autofree char *name = entry_name (pool, slice, ids->pdata[i]);
      const Entry *e = g_hash_table_lookup (o->entries, name);
      CcOutcomeRecord r;

      if (e == NULL)
        continue;
      r = e->done ? e->kept
                  : (CcOutcomeRecord){ .outcome = CC_OUTCOME_UNKNOWN };
      if (r.headers != NULL)
        g_variant_ref (r.headers);
      if (r.body != NULL)
        g_bytes_ref (r.body);
      cc_outcomes_import (o, pool, unit, ids->pdata[i], &r);
      g_clear_pointer (&r.headers, g_variant_unref);
      g_clear_pointer (&r.body, g_bytes_unref);
    }
  find_slice (o, pool, unit)->taken = horizon_of (from);
}

/* How many outcomes have a record. */
guint
cc_outcomes_count (const CcOutcomes *o)
{
  return g_hash_table_size (o->entries);
}
