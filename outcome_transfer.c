/* A slice that moves in an orderly way takes the memory of its outcomes along,
 * so that a repeat after the move gets the outcome and not "unknown".
 *
 * A *hold* is one dispatcher's time with a slice: it is named by the slice's
 * epoch and the term of the server that owns it, and no two holds of a slice
 * have the same name.  The old holder sends its memory when the server has
 * stopped, in chunks, named after the hold that comes next.  The new holder
 * lowers its horizon to the old one's only when all chunks have come, in order
 * and from one sender; until then, and if one is lost, old keys are answered
 * "unknown", which costs callers a question and nobody a second payment.
 *
 * It must also be the memory of the hold just before, or a hold between would
 * be missed: a dispatcher that was frozen while another held the slice would
 * pass on a memory with a gap and a horizon that hides it.  So who sends checks
 * that the map still shows the move as unsettled and away from it: its server
 * under its term, or being handed over from it under the next one, and the
 * slice's epoch the same, or the next with its server in `from`.
 */
#include "outcome_transfer.h"

#include <string.h>

/* Later than any clock, and far from the end of its range. */
#define HORIZON_MOST (G_MAXINT64 / 2)

typedef struct
{
  char *server;
  guint64 epoch; /* of the slice */
  guint64 term;  /* of the server */
  /* Of the next hold that it was last passed on to; the name may still change
   * before the move is settled. */
  guint64 passed_epoch;
  guint64 passed_term;
  char *passed_to; /* dispatcher; NULL: it was not passed on */
} Hold;

/* Chunks that came for a hold. */
typedef struct
{
  guint64 epoch, term; /* of the hold they are for */
  guint64 sender;      /* incarnation */
  guint32 next;        /* index of the chunk that is due */
  gboolean complete;
  gint64 horizon;
} Arrival;

struct CcTransfer
{
  CcOutcomes *outcomes;
  GHashTable *holds;    /* "pool/slice" to Hold, the last one here */
  GHashTable *arrivals; /* "pool/slice" to Arrival, the last one */
  GHashTable *passed;   /* "pool/server" to version of the map dealt with */
};

/* Chunks under construction. */
typedef struct
{
  const CcMsgOutcomes *head;
  GPtrArray *chunks; /* of GVariant */
  GVariantBuilder *builder;
  guint entries; /* in the builder */
  gsize bytes;
} Packing;

static void
hold_free (gpointer data)
{
  g_free (((Hold *) data)->server);
  g_free (((Hold *) data)->passed_to);
  g_free (data);
}

/* Keeps track of holds for the memory OUTCOMES. */
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

/* Frees T; its memory of outcomes stays. */
void
cc_transfer_free (CcTransfer *t)
{
  g_hash_table_unref (t->holds);
  g_hash_table_unref (t->arrivals);
  g_hash_table_unref (t->passed);
  g_free (t);
}

static void
lower_if_complete (CcTransfer *t, const char *pool, guint slice,
                   const Hold *hold, const Arrival *a)
{
  if (a != NULL && a->complete && a->epoch == hold->epoch &&
      a->term == hold->term)
    cc_outcomes_lower_horizon (t->outcomes, pool, slice, a->horizon);
}

/* The slice is held here at WALL, as M says.  Sets its horizon if this is a new
 * hold: attempts may have been made by others (outcome.h).  That both servers
 * of a move are held here is no proof of the contrary, since the new one may
 * have been in other hands between: only the old hold's own word is. */
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

static void
import (CcTransfer *t, const CcMsgOutcomes *o)
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

/* Takes in a chunk from the process SENDER.  Its entries are true whatever else
 * is lost; its horizon counts only with all of them. */
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
  import (t, o);
  a->complete = o->last;
  if (hold != NULL)
    lower_if_complete (t, o->pool, o->slice, hold, a);
}

static void
close_chunk (Packing *p)
{
  g_ptr_array_add (p->chunks,
                   g_variant_ref_sink (g_variant_builder_end (p->builder)));
  g_variant_builder_unref (p->builder);
  p->builder = g_variant_builder_new (G_VARIANT_TYPE ("a(syuayay)"));
  p->entries = 0;
  p->bytes = 0;
}

static gsize
size_of (const CcOutcomeRecord *r)
{
  gsize size = r->body != NULL ? g_bytes_get_size (r->body) : 0;

  return size + (r->headers != NULL ? g_variant_get_size (r->headers) : 0);
}

static void
pack (const char *id, const CcOutcomeRecord *r, gpointer data)
{
  Packing *p = data;
  gsize size = 0;
  gconstpointer body = r->body != NULL ? g_bytes_get_data (r->body, &size) : "";
  GVariant *headers = r->headers != NULL
                          ? r->headers
                          : g_variant_new_array (G_VARIANT_TYPE_BYTE, NULL, 0);

  if (p->entries > 0 && (p->entries >= CC_TRANSFER_ENTRIES ||
                         p->bytes + size_of (r) > CC_TRANSFER_BYTES))
    close_chunk (p);
  g_variant_builder_add (
      p->builder, "(syu@ay@ay)", id, (guchar) r->outcome, r->status, headers,
      g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, body, size, 1));
  p->entries++;
  p->bytes += size_of (r);
}

static GPtrArray *
pack_slice (CcTransfer *t, const char *pool, guint slice)
{
  Packing p = { 0 };

  p.chunks = g_ptr_array_new_with_free_func ((GDestroyNotify) g_variant_unref);
  p.builder = g_variant_builder_new (G_VARIANT_TYPE ("a(syuayay)"));
  cc_outcomes_each (t->outcomes, pool, slice, pack, &p);
  close_chunk (&p);
  g_variant_builder_unref (p.builder);
  return p.chunks;
}

/* The server that has the slice, or will when its move is settled. */
static const CcMapServer *
coming_owner (const CcSliceMap *m, guint slice)
{
  return cc_slicemap_server (m, cc_slicemap_at (m, slice)->server);
}

static CcStatus
send_slice (CcTransfer *t, const CcSliceMap *m, guint slice,
            CcTransferSend send, gpointer data)
{
  const CcMapServer *owner = coming_owner (m, slice);
  g_autoptr (GPtrArray) chunks = pack_slice (t, m->pool, slice);
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

/* The next hold of the slice is this process's own. */
static void
pass_to_self (CcTransfer *t, const CcSliceMap *m, guint slice)
{
  Arrival *a = g_new0 (Arrival, 1);

  a->epoch = cc_slicemap_at (m, slice)->epoch;
  a->term = coming_owner (m, slice)->term;
  a->complete = TRUE;
  a->horizon = cc_outcomes_horizon (t->outcomes, m->pool, slice);
  g_hash_table_insert (t->arrivals, g_strdup_printf ("%s/%u", m->pool, slice),
                       a);
}

/* Whether HOLD, by ME, lasted until the move that M tells of. */
static gboolean
was_last (const CcSliceMap *m, guint slice, const Hold *hold, const char *me)
{
  const CcMapSlice *s = cc_slicemap_at (m, slice);
  const CcMapServer *owner = coming_owner (m, slice);
  const CcMapServer *mine =
      cc_slicemap_server (m, cc_slicemap_find (m, hold->server));
  gboolean handed_over;

  if (owner == NULL || mine == NULL || owner->dispatcher[0] == '\0')
    return FALSE;
  handed_over = g_str_equal (mine->from, me) && mine->term == hold->term + 1;
  if (!handed_over && !(mine->from[0] == '\0' && mine->term == hold->term &&
                        g_str_equal (mine->dispatcher, me)))
    return FALSE;
  if (mine == owner && cc_slicemap_server (m, s->from) == mine)
    return s->epoch == hold->epoch + 1; /* a split */
  if (mine == owner)
    return handed_over && s->epoch == hold->epoch;
  return s->epoch == hold->epoch + 1 && cc_slicemap_server (m, s->from) == mine;
}

static gboolean
pass_slice (CcTransfer *t, const CcSliceMap *m, guint slice, Hold *hold,
            const char *me, CcTransferSend send, gpointer data)
{
  const CcMapServer *owner = coming_owner (m, slice);
  guint64 epoch = cc_slicemap_at (m, slice)->epoch;

  if (hold->passed_epoch == epoch && hold->passed_term == owner->term &&
      g_strcmp0 (hold->passed_to, owner->dispatcher) == 0)
    return TRUE;
  if (g_str_equal (owner->dispatcher, me))
    pass_to_self (t, m, slice);
  else if (send_slice (t, m, slice, send, data) == CC_FULL)
    return FALSE;
  hold->passed_epoch = epoch;
  hold->passed_term = owner->term;
  g_free (hold->passed_to);
  hold->passed_to = g_strdup (owner->dispatcher);
  return TRUE;
}

/* A holder between two moves, one soon after the other, may read only a map in
 * which the second has begun.  It served nothing of its hold, so the memory
 * that came for that hold is all there is; it is passed on like that of a hold
 * that was read of.  A unit that is being split has none from before (inherit).
 * Returns the hold, or NULL if there is none. */
static Hold *
hold_unread (CcTransfer *t, const CcSliceMap *m, guint unit, const char *server,
             const char *me)
{
  const CcMapSlice *s = cc_slicemap_at (m, unit);
  const CcMapServer *mine =
      cc_slicemap_server (m, cc_slicemap_find (m, server));
  const CcMapHot *hot = cc_slicemap_hot (m, unit);
  g_autofree char *key = g_strdup_printf ("%s/%u", m->pool, unit);
  const Arrival *a = g_hash_table_lookup (t->arrivals, key);
  Hold candidate = { .server = (char *) server };
  Hold *held;

  if (mine == NULL || a == NULL || !a->complete || a->horizon > HORIZON_MOST ||
      (hot != NULL && hot->state == CC_HOT_SPLITTING))
    return NULL;
  candidate.epoch =
      cc_slicemap_server (m, s->from) == mine ? s->epoch - 1 : s->epoch;
  candidate.term = g_str_equal (mine->from, me) ? mine->term - 1 : mine->term;
  if (a->epoch != candidate.epoch || a->term != candidate.term ||
      !was_last (m, unit, &candidate, me))
    return NULL;
  cc_outcomes_take_over (t->outcomes, m->pool, unit, a->horizon, FALSE);
  lower_if_complete (t, m->pool, unit, &candidate, a);
  held = g_new0 (Hold, 1);
  *held = candidate;
  held->server = g_strdup (server);
  g_hash_table_insert (t->holds, g_steal_pointer (&key), held);
  return held;
}

/* SERVER's hold of UNIT by ME, if it lasted until the move that M tells of, or
 * NULL. */
static Hold *
last_hold (CcTransfer *t, const CcSliceMap *m, guint unit, const char *server,
           const char *me)
{
  g_autofree char *key = g_strdup_printf ("%s/%u", m->pool, unit);
  Hold *hold = g_hash_table_lookup (t->holds, key);

  if (hold != NULL && g_str_equal (hold->server, server) &&
      was_last (m, unit, hold, me))
    return hold;
  return hold_unread (t, m, unit, server, me);
}

/* A hot key that leaves its slice takes the slice's whole memory along, which
 * holds all of its own.  It is written down as if the key's unit had been held
 * here all along under the epoch before, from where it is passed on like that
 * of any unit that moves.  SERVER has stopped: memory taken while the slice's
 * attempts were under way would call them unknown.  Only the holder of the
 * slice until now may: a unit's number was another key's before, whose memory
 * says nothing about this key, and believed in would let a repeat run twice. */
static void
inherit (CcTransfer *t, const CcSliceMap *m, guint unit, const char *server,
         const char *me)
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

/* What M takes away from SERVER has stopped: passes the memory of those slices
 * on to their next holders.  Returns FALSE if a link was full; to be called
 * again then.  Calls with a map that was dealt with do nothing. */
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
      inherit (t, m, i, server, me);
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      Hold *hold = last_hold (t, m, i, server, me);

      if (hold != NULL)
        all = pass_slice (t, m, i, hold, me, send, data) && all;
    }
  if (all)
    g_hash_table_insert (t->passed, g_steal_pointer (&key),
                         g_memdup2 (&m->version, sizeof m->version));
  return all;
}
