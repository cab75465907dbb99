/* Simulates dispatchers, assigners, servers and a table in one thread, on a
 * clock that advances in ticks.  The lease, holding, assignment, slice map and
 * view are the real ones; the network, the table and the servers are a list of
 * events, each of which may be late, lost or out of order.  Processes are
 * paused and lost.
 *
 * The model sees each effect at each server with its true time and checks that
 * no two servers have effects for a slice at overlapping times; that no effect
 * has an older epoch than an earlier one; that a sender's lease row is in the
 * table when it sends; that epochs and terms in the table never decrease; and
 * that a slice with an owner keeps one.
 */
#include "ownership_world.h"

#include <stdio.h>
#include <string.h>

gboolean
world_chance (World *w, double p)
{
  return g_rand_double (w->rand) < p;
}

gint64
world_span (World *w, gint64 low, gint64 high)
{
  return low + (gint64) (g_rand_double (w->rand) * (double) (high - low));
}

gint64
world_wall (const World *w, gint64 skew)
{
  return WALL + w->now + skew;
}

void
world_fault (World *w, const char *format, ...)
{
  va_list args;

  w->result.faults++;
  if (w->result.first != NULL)
    return;
  va_start (args, format);
  w->result.first = g_strdup_vprintf (format, args);
  va_end (args);
}

void
world_event_free (gpointer data)
{
  Event *e = data;

  for (guint i = 0; i < 2; i++)
    {
      g_free (e->keys[i]);
      g_free (e->values[i]);
    }
  g_clear_pointer (&e->rows, g_variant_unref);
  g_free (e);
}

/* Queues E: delivered soon, sometimes seconds late, or never. */
void
world_post (World *w, Event *e)
{
  double p = g_rand_double (w->rand);
  gboolean faulty = w->now < FAULT_TIME;

  if (faulty && p < (e->kind == EV_ROWS && e->call == 0 ? 0.3 : 0.02))
    {
      world_event_free (e);
      return;
    }
  e->due = w->now + world_span (w, CC_MS, 15 * CC_MS);
  if (faulty && p > 0.98)
    e->due += world_span (w, 0, 4 * CC_SECOND);
  g_ptr_array_add (w->events, e);
}

Event *
world_event (EventKind kind, guint from, guint to)
{
  Event *e = g_new0 (Event, 1);

  e->kind = kind;
  e->from = from;
  e->to = to;
  return e;
}

Event *
world_begin_call (World *w, Peer *p, EventKind kind)
{
  Event *e = world_event (kind, p->index, 0);

  p->call = e->call = ++w->ids;
  p->call_until = w->now + CALL_TIMEOUT;
  e->incarnation = p->incarnation;
  return e;
}

guint64
world_version_of (const World *w, const char *key)
{
  const CcRow *row = cc_view_get (&w->table, key);

  return row != NULL ? row->version : 0;
}

/* Checks that an acknowledged assignment survives: nothing in it goes back. */
static void
check_map (World *w, const char *before, const char *after)
{
  g_autoptr (GHashTable) terms = g_hash_table_new (g_str_hash, g_str_equal);
  CcSliceMap *a = cc_slicemap_parse (POOL, 1, before);
  CcSliceMap *b = cc_slicemap_parse (POOL, 2, after);

  for (guint i = 0; i < SLICES; i++)
    {
      if (cc_slicemap_at (b, i)->epoch < cc_slicemap_at (a, i)->epoch)
        world_fault (w, "%" G_GINT64_FORMAT ": epoch of %u goes back", w->now,
                     i);
      if (cc_slicemap_at (a, i)->server >= 0 &&
          cc_slicemap_at (b, i)->server < 0)
        world_fault (w, "%" G_GINT64_FORMAT ": owner of %u is forgotten",
                     w->now, i);
    }
  for (guint i = 0; i < a->servers->len; i++)
    {
      const CcMapServer *s = a->servers->pdata[i];
      gint32 j = cc_slicemap_find (b, s->name);

      if (j >= 0 && cc_slicemap_server (b, j)->term < s->term)
        world_fault (w, "%" G_GINT64_FORMAT ": a term goes back", w->now);
    }
  cc_slicemap_free (a);
  cc_slicemap_free (b);
}

static void
commit (World *w, const Event *e, Event *done)
{
  if (e->checked && world_version_of (w, e->keys[0]) != e->version)
    {
      done->status = CC_CONFLICT;
      return;
    }
  done->version = ++w->last;
  for (guint i = 0; i < 2 && e->keys[i] != NULL; i++)
    {
      const CcRow *row = cc_view_get (&w->table, e->keys[i]);

      if (g_str_has_prefix (e->keys[i], "map/"))
        {
          w->result.moves++;
          if (row != NULL)
            check_map (w, row->value, e->values[i]);
        }
      cc_view_put (&w->table, e->keys[i], w->last, e->values[i]);
    }
}

GVariant *
world_rows_since (const CcView *v, guint64 since, gboolean leases)
{
  g_autoptr (GVariant) all = g_variant_ref_sink (cc_view_since (v, since));
  GVariantBuilder b;
  GVariantIter iter;
  const char *key, *value;
  guint64 version;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  g_variant_iter_init (&iter, all);
  while (g_variant_iter_next (&iter, "(&st&s)", &key, &version, &value))
    if (leases || !g_str_has_prefix (key, "lease/"))
      g_variant_builder_add (&b, "(sts)", key, version, value);
  return g_variant_ref_sink (g_variant_builder_end (&b));
}

void
world_handle_table_request (World *w, const Event *e)
{
  Event *done =
      world_event (e->kind == EV_POLL ? EV_ROWS : EV_DONE, 0, e->from);
  const CcRow *row;

  done->call = e->call;
  done->incarnation = e->incarnation;
  if (w->now < w->down_until)
    done->status = CC_UNKNOWN;
  else if (e->kind == EV_COMMIT)
    commit (w, e, done);
  else if (e->kind == EV_READ)
    {
      row = cc_view_get (&w->table, e->keys[0]);
      done->keys[0] = g_strdup (e->keys[0]);
      done->values[0] = row != NULL ? g_strdup (row->value) : NULL;
      done->version = row != NULL ? row->version : 0;
    }
  else
    {
      done->since = e->since;
      done->upto = w->last;
      done->rows =
          world_rows_since (&w->table, e->since, e->from >= DISPATCHERS);
    }
  if (w->now < w->down_until && done->kind == EV_ROWS)
    world_event_free (done);
  else
    world_post (w, done);
}

static void
start_peer (World *w, Peer *p)
{
  p->alive = TRUE;
  p->incarnation = ++w->ids;
  p->skew = world_span (w, -CC_SKEW_MAX / 2, CC_SKEW_MAX / 2);
  cc_view_init (&p->view);
  p->call = p->poll_due = 0;
  p->uncertain = p->draining = FALSE;
  memset (p->sent_upto, 0, sizeof p->sent_upto);
  p->watches = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      world_report_free);
  p->planner = cc_planner_new ();
  world_choose_id (p);
}

static void
end_peer (Peer *p)
{
  if (!p->alive)
    return;
  p->alive = FALSE;
  cc_view_clear (&p->view);
  g_hash_table_unref (p->watches);
  cc_planner_free (p->planner);
  g_hash_table_unref (p->reports);
  g_clear_pointer (&p->map, cc_slicemap_free);
  g_clear_pointer (&p->writing, g_free);
  for (guint i = 0; i < SERVERS; i++)
    {
      world_held_free (p->held[i]);
      p->held[i] = NULL;
    }
}

static void
start_server (World *w, Server *s)
{
  s->alive = TRUE;
  s->leaving = FALSE;
  s->term = 0;
  s->valid_until = 0;
  s->skew = world_span (w, -CC_SKEW_MAX / 2, CC_SKEW_MAX / 2);
}

static gint64
pause_end (World *w)
{
  return w->now +
         world_span (w, 50 * CC_MS,
                     world_chance (w, 0.5) ? CC_SECOND : 6 * CC_SECOND);
}

static void
inject_peer_fault (World *w)
{
  Peer *p = &w->peers[g_rand_int_range (w->rand, 0, PEERS)];

  switch (g_rand_int_range (w->rand, 0, 5))
    {
    case 0:
      end_peer (p);
      p->restart_at = w->now + world_span (w, 0, 4 * CC_SECOND);
      break;
    case 1:
      p->draining = p->alive;
      break;
    case 2:
      p->unreachable_until = pause_end (w);
      break;
    default:
      p->paused_until = pause_end (w);
    }
}

static void
inject_server_fault (World *w)
{
  Server *s = &w->servers[g_rand_int_range (w->rand, 0, SERVERS)];

  switch (g_rand_int_range (w->rand, 0, 5))
    {
    case 0:
      s->alive = FALSE;
      g_array_set_size (s->works, 0);
      s->restart_at = w->now + world_span (w, 0, 4 * CC_SECOND);
      break;
    case 1:
      s->leaving = !s->leaving;
      break;
    default:
      s->paused_until = pause_end (w);
    }
}

static void
inject_fault (World *w)
{
  if (w->now >= FAULT_TIME || !world_chance (w, 0.015))
    return;
  switch (g_rand_int_range (w->rand, 0, 6))
    {
    case 0:
      w->down_until = pause_end (w);
      break;
    case 1:
    case 2:
      inject_peer_fault (w);
      break;
    default:
      inject_server_fault (w);
    }
}

/* Delivers E.  Returns FALSE if its receiver is paused and E stays queued. */
static gboolean
deliver (World *w, Event *e)
{
  gboolean to_server = e->kind == EV_GRANT || e->kind == EV_WORK;
  Peer *p = &w->peers[e->to];
  Server *s = to_server ? &w->servers[e->to] : NULL;
  gint64 paused = to_server ? s->paused_until : p->paused_until;

  if (e->kind <= EV_POLL)
    {
      world_handle_table_request (w, e);
      return TRUE;
    }
  if (w->now < paused)
    {
      e->was_delayed = TRUE;
      return FALSE;
    }
  w->result.delayed += e->was_delayed ? 1 : 0;
  if (to_server && s->alive)
    e->kind == EV_GRANT ? world_on_grant (w, s, e) : world_on_work (w, s, e);
  else if (!to_server && p->alive &&
           (e->incarnation == 0 || e->incarnation == p->incarnation))
    world_handle_message (w, p, e);
  return TRUE;
}

static void
deliver_due (World *w)
{
  for (guint i = w->events->len; i-- > 0;)
    {
      Event *e = w->events->pdata[i];

      if (e->due <= w->now && deliver (w, e))
        {
          /* events posted meanwhile are behind I */
          g_ptr_array_remove_index_fast (w->events, i);
        }
    }
}

static void
tick_peer (World *w, Peer *p)
{
  if (!p->alive && w->now >= p->restart_at)
    start_peer (w, p);
  if (!p->alive || w->now < p->paused_until)
    return;
  world_tick_view (w, p);
  if (p->index < DISPATCHERS)
    world_tick_dispatcher (w, p);
  else
    world_tick_assigner (w, p);
}

static void
step (World *w)
{
  w->now += TICK;
  inject_fault (w);
  deliver_due (w);
  for (guint i = 0; i < PEERS; i++)
    tick_peer (w, &w->peers[i]);
  for (guint i = 0; i < SERVERS; i++)
    {
      Server *s = &w->servers[i];

      if (!s->alive && w->now >= s->restart_at)
        start_server (w, s);
      if (s->alive && w->now >= s->paused_until)
        world_tick_server (w, s);
    }
}

static void
end_faults (World *w)
{
  for (guint i = 0; i < PEERS; i++)
    w->peers[i].draining = FALSE;
  for (guint i = 0; i < SERVERS; i++)
    w->servers[i].leaving = FALSE;
}

/* Runs the schedule of SEED without the safeguard OMIT. */
RunResult
ownership_run (guint32 seed, Omission omit)
{
  World w = { .rand = g_rand_new_with_seed (seed), .omit = omit };

  w.now = CC_SECOND;
  w.events = g_ptr_array_new_with_free_func (world_event_free);
  cc_view_init (&w.table);
  for (guint i = 0; i < PEERS; i++)
    w.peers[i].index = i;
  for (guint i = 0; i < SERVERS; i++)
    {
      w.servers[i].index = i;
      w.servers[i].checks = seed % 2 == 0;
      w.servers[i].works = g_array_new (FALSE, FALSE, sizeof (Work));
    }
  while (w.now < FAULT_TIME)
    step (&w);
  end_faults (&w);
  while (w.now < FAULT_TIME + RECOVERY_TIME)
    step (&w);
  for (guint i = 0; i < SLICES; i++)
    w.result.unserved += w.model[i].last < w.now - RECOVERY_TIME / 3;
  for (guint i = 0; i < PEERS; i++)
    {
      end_peer (&w.peers[i]);
      g_free (w.peers[i].id);
    }
  for (guint i = 0; i < SERVERS; i++)
    g_array_unref (w.servers[i].works);
  g_ptr_array_unref (w.events);
  cc_view_clear (&w.table);
  g_rand_free (w.rand);
  return w.result;
}
