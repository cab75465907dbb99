/* Transfers the outcome records of a slice with a planned move, so that a
 * repeat after the move is answered with the outcome and not with "unknown".
 *
 * A *hold* is the time for which one dispatcher holds a slice.  It is
 * identified by the slice's epoch and the term of the server that owns the
 * slice; no two holds of a slice have the same identity.  When the server has
 * stopped, the old holder sends its records in chunks that carry the identity
 * of the next hold.  The new holder lowers its horizon to the old one's only
 * when all chunks have been received, in order and from one sender.  Until
 * then, and if one is lost, old keys are answered "unknown": the caller then
 * has to inquire, but nothing runs twice.
 *
 * The records must be those of the hold immediately before.  A dispatcher that
 * was paused while another held the slice would otherwise send records with a
 * gap, and a horizon that hides the gap.  So the sender checks that the map
 * still shows the move as incomplete and away from itself: its server has its
 * term, or is being handed over from it under the next term, and the slice has
 * the same epoch, or the next one with its server in `from`.
 */
#include "outcome_transfer.h"

#include <string.h>

/* Later than any wall clock time, and far enough below G_MAXINT64 for
 * additions.  A horizon above it means that no records of the slice are known.
 */
#define HORIZON_MAX (G_MAXINT64 / 2)

typedef struct
{
  char *server;
  guint64 epoch; /* of the slice */
  guint64 term;  /* of the server */
  /* Identity of the next hold to which the records were last sent; it may still
   * change before the move is complete. */
  guint64 passed_epoch;
  guint64 passed_term;
  char *passed_to; /* dispatcher; NULL: the records were not sent */
} Hold;

/* The chunks received for a hold. */
typedef struct
{
  guint64 epoch, term; /* of the hold they are for */
  guint64 sender;      /* incarnation */
  guint32 next;        /* index of the next chunk */
  gboolean complete;
  gint64 horizon;
} Arrival;

struct CcTransfer
{
  CcOutcomes *outcomes;
  GHashTable *holds;    /* "pool/slice" to Hold, the last one here */
  GHashTable *arrivals; /* "pool/slice" to Arrival, the last one */
  GHashTable *passed;   /* "pool/server" to version of the map handled last */
};

/* The chunks of a slice while they are built. */
typedef struct
{
  const CcMsgOutcomes *head;
  GPtrArray *chunks; /* of GVariant */
  GVariantBuilder *builder;
  guint entries; /* in the builder */
  gsize bytes;
} ChunkBuilder;

static void
hold_free (gpointer data)
{
  g_free (((Hold *) data)->server);
  g_free (((Hold *) data)->passed_to);
  g_free (data);
}

/* Creates the transfer state for the records in OUTCOMES. */
CcTransfer *
cc_transfer_new (CcOutcomes *outcomes)
{
  CcTransfer *t = g_new0 (CcTransfer, 1);

  t->outcomes = outcomes;
  t->holds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, hold_free);
  t->arrivals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->passed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return t;
}

/* Frees T, but not its CcOutcomes. */
void
cc_transfer_free (CcTransfer *t)
{
  g_hash_table_unref (t->holds);
  g_hash_table_unref (t->arrivals);
  g_hash_table_unref (t->passed);
  g_free (t);
}

/* Lowers the horizon of a slice to that in A, if A is complete and belongs to
 * HOLD. */
static void
lower_if_complete (CcTransfer *t, const char *pool, guint slice,
                   const Hold *hold, const Arrival *a)
{
  if (a != NULL && a->complete && a->epoch == hold->epoch &&
      a->term == hold->term)
    cc_outcomes_lower_horizon (t->outcomes, pool, slice, a->horizon);
}

/* Records that the slice is held here at WALL according to M.  If this is a new
 * hold, sets its horizon, since others may have made attempts (outcome.h).
 * That this process holds both servers of a move does not rule this out, as the
 * new server may have had another holder in between; only the records of the
 * previous hold do. */
void
cc_transfer_held (CcTransfer *t, const CcSliceMap *m, guint slice, gint64 wall)
{
  const CcMapServer *owner = cc_slicemap_owner (m, slice);
  guint64 epoch = cc_slicemap_at (m, slice)->epoch;
  g_autofree char *key = g_strdup_printf ("%s/%u", m->pool, slice);
  Hold *last = g_hash_table_lookup (t->holds, key);

  if (last != NULL && last->epoch == epoch && last->term == owner->term &&
      g_str_equal (last->server, owner->name))
    return;
  cc_outcomes_take_over (t->outcomes, m->pool, slice, wall,
                         epoch == 1 && owner->term == 1);
  last = g_new0 (Hold, 1);
  last->server = g_strdup (owner->name);
  last->epoch = epoch;
  last->term = owner->term;
  lower_if_complete (t, m->pool, slice, last,
                     g_hash_table_lookup (t->arrivals, key));
  g_hash_table_insert (t->holds, g_steal_pointer (&key), last);
}

/* Adds the records in a chunk.  Outcomes other than CC_OUTCOME_RUN become
 * unknown. */
static void
import_chunk (CcTransfer *t, const CcMsgOutcomes *o)
{
  CcOutcomeRecord r;
  GVariantIter iter;
  GVariant *body;
  const char *id;
  guchar outcome;

  g_variant_iter_init (&iter, o->entries);
  while (g_variant_iter_next (&iter, "(&syu@ay@ay)", &id, &outcome, &r.status,
                              &r.headers, &body))
    {
      r.outcome =
          outcome == CC_OUTCOME_RUN ? CC_OUTCOME_RUN : CC_OUTCOME_UNKNOWN;
      r.body = g_variant_get_data_as_bytes (body);
      cc_outcomes_import (t->outcomes, o->pool, o->slice, id, &r);
      g_variant_unref (r.headers);
      g_variant_unref (body);
      g_bytes_unref (r.body);
    }
}

/* Handles a chunk received from the process SENDER.  Its entries are valid even
 * if other chunks are lost; its horizon is valid only with all chunks. */
void
cc_transfer_receive (CcTransfer *t, const CcMsgOutcomes *o, guint64 sender)
{
  g_autofree char *key = g_strdup_printf ("%s/%u", o->pool, o->slice);
  Arrival *a = g_hash_table_lookup (t->arrivals, key);
  const Hold *hold = g_hash_table_lookup (t->holds, key);

  if (o->index == 0)
    {
      a = g_new0 (Arrival, 1);
      a->epoch = o->epoch;
      a->term = o->term;
      a->sender = sender;
      a->horizon = o->horizon;
      g_hash_table_insert (t->arrivals, g_strdup (key), a);
    }
  if (a == NULL || a->epoch != o->epoch || a->term != o->term ||
      a->sender != sender || a->next != o->index)
    return;
  a->next++;
  import_chunk (t, o);
  a->complete = o->last;
  if (hold != NULL)
    lower_if_complete (t, o->pool, o->slice, hold, a);
}

/* Ends the present chunk, also an empty one, and begins the next. */
static void
close_chunk (ChunkBuilder *p)
{
  g_ptr_array_add (p->chunks,
                   g_variant_ref_sink (g_variant_builder_end (p->builder)));
  g_variant_builder_unref (p->builder);
  p->builder = g_variant_builder_new (G_VARIANT_TYPE ("a(syuayay)"));
  p->entries = 0;
  p->bytes = 0;
}

static gsize
record_size (const CcOutcomeRecord *r)
{
  gsize size = r->body != NULL ? g_bytes_get_size (r->body) : 0;

  return size + (r->headers != NULL ? g_variant_get_size (r->headers) : 0);
}

/* Adds a record to the present chunk, or to the next one if the limits would
 * be exceeded. */
static void
add_to_chunk (const char *id, const CcOutcomeRecord *r, gpointer data)
{
  ChunkBuilder *p = data;
  gsize size = 0;
  gconstpointer body = r->body != NULL ? g_bytes_get_data (r->body, &size) : "";
  GVariant *headers = r->headers != NULL
                          ? r->headers
                          : g_variant_new_array (G_VARIANT_TYPE_BYTE, NULL, 0);

  if (p->entries > 0 && (p->entries >= CC_TRANSFER_ENTRIES ||
                         p->bytes + record_size (r) > CC_TRANSFER_BYTES))
    close_chunk (p);
  g_variant_builder_add (
      p->builder, "(syu@ay@ay)", id, (guchar) r->outcome, r->status, headers,
      g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, body, size, 1));
  p->entries++;
  p->bytes += record_size (r);
}

/* The records of a slice as an array of chunks, at least one.  The caller
 * unrefs it. */
static GPtrArray *
build_chunks (CcTransfer *t, const char *pool, guint slice)
{
  ChunkBuilder p = { 0 };

  p.chunks = g_ptr_array_new_with_free_func ((GDestroyNotify) g_variant_unref);
  p.builder = g_variant_builder_new (G_VARIANT_TYPE ("a(syuayay)"));
  cc_outcomes_each (t->outcomes, pool, slice, add_to_chunk, &p);
  close_chunk (&p);
  g_variant_builder_unref (p.builder);
  return p.chunks;
}

/* The server that owns the slice, or will when its move is complete. */
static const CcMapServer *
next_owner (const CcSliceMap *m, guint slice)
{
  return cc_slicemap_server (m, cc_slicemap_at (m, slice)->server);
}

/* Sends the chunks of a slice to the next holder.  Returns the first status
 * that is not CC_OK. */
static CcStatus
send_slice (CcTransfer *t, const CcSliceMap *m, guint slice,
            CcTransferSend send, gpointer data)
{
  const CcMapServer *owner = next_owner (m, slice);
  g_autoptr (GPtrArray) chunks = build_chunks (t, m->pool, slice);
  CcMsgOutcomes o = { .pool = m->pool, .slice = slice };
  CcStatus status = CC_OK;

  o.epoch = cc_slicemap_at (m, slice)->epoch;
  o.term = owner->term;
  o.horizon = cc_outcomes_horizon (t->outcomes, m->pool, slice);
  for (guint i = 0; i < chunks->len && status == CC_OK; i++)
    {
      o.index = i;
      o.last = i + 1 == chunks->len;
      o.entries = chunks->pdata[i];
      status = send (owner->dispatcher, &o, data);
    }
  return status;
}

/* Records a complete transfer to the next hold of the slice, which is this
 * process's own. */
static void
record_own_transfer (CcTransfer *t, const CcSliceMap *m, guint slice)
{
  Arrival *a = g_new0 (Arrival, 1);

  a->epoch = cc_slicemap_at (m, slice)->epoch;
  a->term = next_owner (m, slice)->term;
  a->complete = TRUE;
  a->horizon = cc_outcomes_horizon (t->outcomes, m->pool, slice);
  g_hash_table_insert (t->arrivals, g_strdup_printf ("%s/%u", m->pool, slice),
                       a);
}

/* Whether HOLD, by ME, lasted until the move that M shows as in progress. */
static gboolean
lasted_until_move (const CcSliceMap *m, guint slice, const Hold *hold,
                   const char *me)
{
  const CcMapSlice *s = cc_slicemap_at (m, slice);
  const CcMapServer *owner = next_owner (m, slice);
  const CcMapServer *own =
      cc_slicemap_server (m, cc_slicemap_find (m, hold->server));
  gboolean handed_over;

  if (owner == NULL || own == NULL || owner->dispatcher[0] == '\0')
    return FALSE;
  handed_over = g_str_equal (own->from, me) && own->term == hold->term + 1;
  if (!handed_over && !(own->from[0] == '\0' && own->term == hold->term &&
                        g_str_equal (own->dispatcher, me)))
    return FALSE;
  if (own == owner && cc_slicemap_server (m, s->from) == own)
    return s->epoch == hold->epoch + 1; /* a split */
  if (own == owner)
    return handed_over && s->epoch == hold->epoch;
  return s->epoch == hold->epoch + 1 && cc_slicemap_server (m, s->from) == own;
}

/* Transfers the records under HOLD to the next hold of the slice, once for
 * each identity that it has.  Returns FALSE if a link was full. */
static gboolean
transfer_slice (CcTransfer *t, const CcSliceMap *m, guint slice, Hold *hold,
                const char *me, CcTransferSend send, gpointer data)
{
  const CcMapServer *owner = next_owner (m, slice);
  guint64 epoch = cc_slicemap_at (m, slice)->epoch;

  if (hold->passed_epoch == epoch && hold->passed_term == owner->term &&
      g_strcmp0 (hold->passed_to, owner->dispatcher) == 0)
    return TRUE;
  if (g_str_equal (owner->dispatcher, me))
    record_own_transfer (t, m, slice);
  else if (send_slice (t, m, slice, send, data) == CC_FULL)
    return FALSE;
  hold->passed_epoch = epoch;
  hold->passed_term = owner->term;
  g_free (hold->passed_to);
  hold->passed_to = g_strdup (owner->dispatcher);
  return TRUE;
}

/* Handles a hold that this process never read in a map.  If two moves follow
 * each other closely, the holder between them may read only a map in which the
 * second has begun.  It ran nothing under its hold, so the records received for
 * that hold are complete, and they are sent on like those of any hold.  A unit
 * that is being split has no earlier hold (inherit_records).  Returns the hold,
 * or NULL if there is none. */
static Hold *
add_unread_hold (CcTransfer *t, const CcSliceMap *m, guint unit,
                 const char *server, const char *me)
{
  const CcMapSlice *s = cc_slicemap_at (m, unit);
  const CcMapServer *own = cc_slicemap_server (m, cc_slicemap_find (m, server));
  const CcMapHot *hot = cc_slicemap_hot (m, unit);
  g_autofree char *key = g_strdup_printf ("%s/%u", m->pool, unit);
  const Arrival *a = g_hash_table_lookup (t->arrivals, key);
  Hold candidate = { .server = (char *) server };
  Hold *held;

  if (own == NULL || a == NULL || !a->complete || a->horizon > HORIZON_MAX ||
      (hot != NULL && hot->state == CC_HOT_SPLITTING))
    return NULL;
  candidate.epoch =
      cc_slicemap_server (m, s->from) == own ? s->epoch - 1 : s->epoch;
  candidate.term = g_str_equal (own->from, me) ? own->term - 1 : own->term;
  if (a->epoch != candidate.epoch || a->term != candidate.term ||
      !lasted_until_move (m, unit, &candidate, me))
    return NULL;
  cc_outcomes_take_over (t->outcomes, m->pool, unit, a->horizon, FALSE);
  lower_if_complete (t, m->pool, unit, &candidate, a);
  held = g_new0 (Hold, 1);
  *held = candidate;
  held->server = g_strdup (server);
  g_hash_table_insert (t->holds, g_steal_pointer (&key), held);
  return held;
}

/* ME's hold of UNIT on SERVER, if it lasted until the move that M shows as in
 * progress, or NULL. */
static Hold *
last_hold (CcTransfer *t, const CcSliceMap *m, guint unit, const char *server,
           const char *me)
{
  g_autofree char *key = g_strdup_printf ("%s/%u", m->pool, unit);
  Hold *hold = g_hash_table_lookup (t->holds, key);

  if (hold != NULL && g_str_equal (hold->server, server) &&
      lasted_until_move (m, unit, hold, me))
    return hold;
  return add_unread_hold (t, m, unit, server, me);
}

/* Copies the records of a hot key's slice, which include all of the key's own,
 * to the key's new unit.  The unit is then recorded as if it had been held here
 * under the previous epoch, so that its records are sent on like those of any
 * unit that moves.  SERVER has stopped by now; a copy made while attempts of
 * the slice were in progress would contain them as unknown.  Only the last
 * holder of the slice may do this: the unit's number belonged to another key
 * before, whose records say nothing about this key, and using them would let a
 * repeat run twice. */
static void
inherit_records (CcTransfer *t, const CcSliceMap *m, guint unit,
                 const char *server, const char *me)
{
  const CcMapHot *hot = cc_slicemap_hot (m, unit);
  guint slice = cc_slicemap_slice (m, hot->hash);
  char *to = g_strdup_printf ("%s/%u", m->pool, unit);
  const Hold *hold = last_hold (t, m, slice, server, me);
  const Hold *old = g_hash_table_lookup (t->holds, to);
  Hold *held;

  if (hold == NULL || (old != NULL && old->epoch >= hot->unit.epoch - 1))
    {
      g_free (to);
      return;
    }
  cc_outcomes_inherit (t->outcomes, m->pool, slice, unit);
  held = g_new0 (Hold, 1);
  held->server = g_strdup (hold->server);
  held->epoch = hot->unit.epoch - 1;
  held->term = hold->term;
  g_hash_table_insert (t->holds, to, held);
}

/* Sends the records of the slices that M takes away from SERVER to their next
 * holders.  Called when all work for those slices has stopped.  Returns FALSE
 * if a link was full; the caller then calls again.  A call with a map that was
 * handled completely does nothing. */
gboolean
cc_transfer_stopped (CcTransfer *t, const CcSliceMap *m, const char *server,
                     const char *me, CcTransferSend send, gpointer data)
{
  g_autofree char *key = g_strconcat (m->pool, "/", server, NULL);
  const guint64 *passed = g_hash_table_lookup (t->passed, key);
  gboolean all = TRUE;

  if (passed != NULL && *passed >= m->version)
    return TRUE;
  for (guint i = m->slices->len; i < cc_slicemap_units (m); i++)
    if (cc_slicemap_hot (m, i)->state == CC_HOT_SPLITTING)
      inherit_records (t, m, i, server, me);
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      Hold *hold = last_hold (t, m, i, server, me);

      if (hold != NULL)
        all = transfer_slice (t, m, i, hold, me, send, data) && all;
    }
  if (all)
    g_hash_table_insert (t->passed, g_steal_pointer (&key),
                         g_memdup2 (&m->version, sizeof m->version));
  return all;
}
