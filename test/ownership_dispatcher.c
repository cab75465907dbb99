/* The simulated dispatchers: lease, held servers, grants, requests. */
#include "ownership_world.h"

void
world_choose_id (Peer *p)
{
  g_free (p->id);
  p->id = g_strdup_printf ("d%u.%" G_GUINT64_FORMAT ".%u", p->index,
                           p->incarnation, ++p->count);
  cc_lease_init (&p->lease);
  p->drain_written = FALSE;
}

void
world_held_free (Held *h)
{
  if (h == NULL)
    return;
  cc_holding_unref (h->holding);
  g_array_unref (h->attempts);
  g_free (h);
}

static void
write_lease (World *w, Peer *p)
{
  guint64 sequence = cc_lease_begin (&p->lease, w->now);
  Event *e = world_begin_call (w, p, EV_COMMIT);

  e->keys[0] = g_strconcat ("lease/", p->id, NULL);
  e->values[0] = g_strdup_printf ("%" G_GUINT64_FORMAT, sequence);
  e->checked = TRUE;
  e->version = p->lease.version;
  if (!p->lease.registered || p->draining != p->drain_written)
    {
      e->keys[1] = g_strconcat ("member/", p->id, NULL);
      e->values[1] = g_strdup (p->draining ? "drain" : "live");
    }
  world_post (w, e);
}

static void
renewed (World *w, Peer *p, guint64 version)
{
  cc_lease_renewed (&p->lease, version);
  p->drain_written = p->draining;
  if (w->omit == OMIT_SENT_TIME)
    p->lease.valid_until = w->now + CC_LEASE_TERM;
}

static void
resolve_uncertain (World *w, Peer *p, const Event *e)
{
  p->uncertain = FALSE;
  if (e->values[0] != NULL)
    cc_lease_found (&p->lease, e->version,
                    g_ascii_strtoull (e->values[0], NULL, 10));
  else
    {
      cc_lease_missing (&p->lease);
      world_choose_id (p);
    }
}

void
world_dispatcher_done (World *w, Peer *p, const Event *e)
{
  if (p->uncertain && e->keys[0] != NULL && e->status == CC_OK)
    resolve_uncertain (w, p, e);
  else if (p->uncertain)
    return;
  else if (e->status == CC_OK)
    renewed (w, p, e->version);
  else
    p->uncertain = TRUE;
}

static void
tick_lease (World *w, Peer *p)
{
  if (p->call != 0 && w->now >= p->call_until)
    {
      p->call = 0;
      p->uncertain = TRUE;
    }
  if (p->call != 0)
    return;
  if (p->uncertain)
    {
      Event *e = world_begin_call (w, p, EV_READ);

      e->keys[0] = g_strconcat ("lease/", p->id, NULL);
      world_post (w, e);
    }
  else if (cc_lease_is_due (&p->lease, w->now))
    write_lease (w, p);
}

static Held *
hold_server (World *w, const Peer *p, const CcMapServer *s, guint index)
{
  Held *h = g_new0 (Held, 1);
  gint64 quiet_until =
      s->term == 1 ? 0 : world_wall (w, p->skew) + CC_SKEW_MAX + MAX_DEADLINE;

  h->holding =
      cc_holding_new (POOL, s, w->servers[index].checks, w->now, quiet_until);
  h->attempts = g_array_new (FALSE, FALSE, sizeof (Attempt));
  return h;
}

static void
update_server (World *w, Peer *p, gint32 i)
{
  const CcMapServer *s = cc_slicemap_server (p->map, i);
  guint index = (guint) (s->name[0] - '0');
  gboolean owned = g_str_equal (s->dispatcher, p->id) && s->from[0] == '\0';
  gboolean leaving = g_str_equal (s->from, p->id);
  Held **h = &p->held[index];

  if (*h == NULL && (owned || leaving))
    *h = hold_server (w, p, s, index);
  if (*h == NULL)
    return;
  if (!owned && !leaving)
    {
      world_held_free (*h);
      *h = NULL;
      return;
    }
  if (p->map->version <= (*h)->holding->map_version)
    return;
  cc_holding_update ((*h)->holding, p->map, i, p->id);
  (*h)->grant_due = (*h)->report_due = 0;
}

static void
drop_unlisted (Peer *p)
{
  for (guint i = 0; i < SERVERS; i++)
    if (p->held[i] != NULL &&
        cc_slicemap_find (p->map, p->held[i]->holding->name) < 0)
      {
        world_held_free (p->held[i]);
        p->held[i] = NULL;
      }
}

void
world_read_map (World *w, Peer *p)
{
  const CcRow *row = cc_view_get (&p->view, "map/" POOL);

  if (row == NULL)
    return;
  if (p->map == NULL || p->map->version < row->version)
    {
      cc_slicemap_free (p->map);
      p->map = cc_slicemap_parse (POOL, row->version, row->value);
    }
  drop_unlisted (p);
  for (guint i = 0; i < p->map->servers->len; i++)
    update_server (w, p, (gint32) i);
}

static void
send_grant (World *w, Peer *p, guint i)
{
  Held *h = p->held[i];
  Event *e = world_event (EV_GRANT, p->index, i);
  GHashTableIter iter;
  gpointer slice, one;

  h->granting = TRUE;
  h->grant_due = w->now + CC_GRANT_PERIOD;
  e->call = h->holding->serial;
  e->incarnation = p->incarnation;
  e->sent = w->now;
  if (cc_holding_may_grant (h->holding, w->now))
    {
      cc_holding_grant_sent (h->holding, w->now);
      e->serial = h->holding->serial;
      e->term = h->holding->term;
      e->deadline = world_wall (w, p->skew) + CC_GRANT_TTL;
      g_hash_table_iter_init (&iter, h->holding->slices);
      while (g_hash_table_iter_next (&iter, &slice, &one))
        e->epochs[GPOINTER_TO_UINT (slice)] = ((CcHeldSlice *) one)->epoch;
    }
  world_post (w, e);
}

void
world_on_ack (World *w, Peer *p, const Event *e)
{
  Held *h = p->held[e->server];

  if (h == NULL)
    return;
  h->granting = FALSE;
  cc_holding_answered (h->holding, w->now);
  if (!e->refused && e->serial != 0 && e->term == h->holding->term)
    cc_holding_grant_acked (h->holding, e->serial, e->sent);
  if (e->serial != h->holding->serial)
    h->grant_due = 0;
}

static void
check_sender (World *w, const Peer *p)
{
  g_autofree char *key = g_strconcat ("lease/", p->id, NULL);

  if (world_version_of (w, key) == 0)
    world_fault (w, "%" G_GINT64_FORMAT ": %s sends without a lease", w->now,
                 p->id);
}

static void
send_work (World *w, Peer *p, guint i, guint slice)
{
  static const gint64 limits[] = { CC_SECOND / 2, 2 * CC_SECOND, MAX_DEADLINE };
  Held *h = p->held[i];
  Event *e = world_event (EV_WORK, p->index, i);
  const CcHeldSlice *s =
      g_hash_table_lookup (h->holding->slices, GUINT_TO_POINTER (slice));
  Attempt a = { ++w->ids, slice, 0 };

  a.deadline = world_wall (w, p->skew) +
               limits[g_rand_int_range (w->rand, 0, G_N_ELEMENTS (limits))];
  check_sender (w, p);
  e->call = a.id;
  e->incarnation = p->incarnation;
  e->slice = slice;
  e->epochs[slice] = s->epoch;
  e->term = h->holding->term;
  e->deadline = a.deadline;
  cc_holding_sent (h->holding, slice);
  g_array_append_val (h->attempts, a);
  world_post (w, e);
}

static void
end_attempt (Held *h, guint i, gboolean answered)
{
  Attempt a = g_array_index (h->attempts, Attempt, i);

  g_array_remove_index_fast (h->attempts, i);
  cc_holding_done (h->holding, a.slice, a.deadline, answered);
}

void
world_on_answer (World *w, Peer *p, const Event *e)
{
  Held *h = p->held[e->server];

  for (guint i = 0; h != NULL && i < h->attempts->len; i++)
    if (g_array_index (h->attempts, Attempt, i).id == e->call)
      {
        cc_holding_answered (h->holding, w->now);
        end_attempt (h, i, TRUE);
        return;
      }
}

static void
report (World *w, Peer *p, guint i)
{
  Held *h = p->held[i];
  guint64 applied =
      cc_holding_applied (h->holding, w->now, world_wall (w, p->skew));

  if (w->omit == OMIT_APPLIED)
    applied = h->holding->map_version;
  if (applied == h->reported && w->now < h->report_due)
    return;
  h->reported = applied;
  h->report_due = w->now + 200 * CC_MS;
  for (guint a = 0; a < ASSIGNERS; a++)
    {
      Event *e = world_event (EV_REPORT, p->index, DISPATCHERS + a);

      e->server = i;
      e->keys[0] = g_strdup (p->id);
      e->applied = applied;
      e->lost = cc_holding_is_lost (h->holding);
      world_post (w, e);
    }
}

static void
end_overdue (World *w, Peer *p, Held *h)
{
  gboolean lost =
      cc_holding_update_lost (h->holding, w->now) && h->holding->lost;

  for (guint i = h->attempts->len; i-- > 0;)
    if (lost || world_wall (w, p->skew) >=
                    g_array_index (h->attempts, Attempt, i).deadline)
      end_attempt (h, i, FALSE);
}

static void
tick_held (World *w, Peer *p, guint i)
{
  Held *h = p->held[i];
  guint slice = (guint) g_rand_int_range (w->rand, 0, SLICES);
  gboolean valid =
      cc_lease_is_valid (&p->lease, w->now) || w->omit == OMIT_LEASE_CHECK;

  end_overdue (w, p, h);
  if (h->granting && w->now >= h->grant_due + 200 * CC_MS)
    h->granting = FALSE; /* the call timed out */
  if (!h->granting && w->now >= h->grant_due && h->holding->active && valid)
    send_grant (w, p, i);
  if (valid && h->attempts->len < 4 && world_chance (w, 0.3) &&
      cc_holding_may_send (h->holding, slice, w->now))
    send_work (w, p, i, slice);
  if (w->omit == OMIT_UNANSWERED)
    h->holding->unconfirmed = FALSE;
  report (w, p, i);
}

void
world_tick_dispatcher (World *w, Peer *p)
{
  tick_lease (w, p);
  for (guint i = 0; i < SERVERS; i++)
    if (p->held[i] != NULL)
      tick_held (w, p, i);
}
