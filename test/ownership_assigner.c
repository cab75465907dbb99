/* The simulated assigners, and how all peers follow the table. */
#include "ownership_world.h"

#include <string.h>

void
world_report_free (gpointer data)
{
  g_free (((CcServerReport *) data)->dispatcher);
  g_free (data);
}

void
world_on_report (Peer *p, const Event *e)
{
  CcServerReport *r = g_new0 (CcServerReport, 1);

  r->applied = e->applied;
  r->lost = e->lost;
  r->dispatcher = g_strdup (e->keys[0]);
  g_hash_table_insert (p->reports, g_strdup_printf ("%u", e->server), r);
}

static void
delete_lease (World *w, Peer *p, const CcRow *row)
{
  Event *e = world_begin_call (w, p, EV_COMMIT);

  g_clear_pointer (&p->writing, g_free);
  e->keys[0] = g_strdup (row->key);
  e->keys[1] = g_strconcat ("member/", row->key + strlen ("lease/"), NULL);
  e->checked = w->omit != OMIT_ROW_CHECK;
  e->version = row->version;
  w->result.takeover++;
  world_post (w, e);
}

static void
watch_leases (World *w, Peer *p)
{
  g_autoptr (GPtrArray) rows = cc_view_list (&p->view, "lease/");

  for (guint i = 0; i < rows->len; i++)
    {
      const CcRow *row = rows->pdata[i];
      CcLeaseWatch *watch = g_hash_table_lookup (p->watches, row->key);

      if (watch == NULL)
        {
          watch = g_new0 (CcLeaseWatch, 1);
          g_hash_table_insert (p->watches, g_strdup (row->key), watch);
        }
      cc_lease_watch (watch, row->version, w->now);
      if (p->call == 0 && (cc_lease_watch_lapsed (watch, w->now) ||
                           (w->omit == OMIT_WATCH_TERM &&
                            w->now > watch->first_seen + CC_LEASE_TERM / 2)))
        delete_lease (w, p, row);
    }
}

static CcRoster *
roster_of (World *w, Peer *p)
{
  g_autoptr (GPtrArray) rows = cc_view_list (&p->view, "member/");
  CcRoster *r = cc_roster_new ();

  for (guint i = 0; i < rows->len; i++)
    {
      const CcRow *row = rows->pdata[i];

      cc_roster_add_dispatcher (r, row->key + strlen ("member/"), "a",
                                g_str_equal (row->value, "drain"));
    }
  for (guint i = 0; i < SERVERS; i++)
    if (p->listed[i])
      cc_roster_add_server (r, (char[]){ (char) ('0' + i), 0 }, "s", "a",
                            p->leaving[i]);
  return r;
}

static void
skip_first_step (CcSliceMap *m)
{
  for (guint i = 0; i < m->servers->len; i++)
    {
      CcMapServer *s = m->servers->pdata[i];

      g_free (s->from);
      s->from = g_strdup ("");
    }
  for (guint i = 0; i < SLICES; i++)
    cc_slicemap_at (m, i)->from = -1;
}

static void
plan (World *w, Peer *p)
{
  static const CcPool pool = { .name = (char *) POOL, .slices = SLICES };
  const CcRow *row = cc_view_get (&p->view, "map/" POOL);
  CcSliceMap *m = row != NULL
                      ? cc_slicemap_parse (POOL, row->version, row->value)
                      : cc_slicemap_new (POOL, SLICES);
  CcRoster *r = roster_of (w, p);

  cc_planner_set_write_time (p->planner,
                             w->now < w->slow_until ? CC_SECOND : 0);
  if (cc_planner_step (p->planner, m, &pool, r, p->reports, w->now) > 0)
    {
      Event *e = world_begin_call (w, p, EV_COMMIT);

      if (w->omit == OMIT_TWO_STEPS)
        skip_first_step (m);
      e->keys[0] = g_strdup ("map/" POOL);
      e->values[0] = cc_slicemap_print (m);
      g_free (p->writing);
      p->writing = g_strdup (e->values[0]);
      e->checked = w->omit != OMIT_MAP_CHECK;
      e->version = m->version;
      world_post (w, e);
    }
  cc_roster_free (r);
  cc_slicemap_free (m);
}

void
world_tick_assigner (World *w, Peer *p)
{
  if (p->call != 0 && w->now >= p->call_until)
    p->call = 0;
  for (guint i = 0; w->now >= p->list_due && i < SERVERS; i++)
    {
      p->listed[i] = w->servers[i].alive;
      p->leaving[i] = w->servers[i].leaving;
    }
  if (w->now >= p->list_due)
    p->list_due = w->now + 500 * CC_MS;
  if (w->now < p->step_due)
    return;
  p->step_due = w->now + 50 * CC_MS;
  watch_leases (w, p);
  if (p->call == 0 && p->view.upto > 0)
    plan (w, p);
}

void
world_send_rows (World *w, Peer *p, guint to)
{
  Event *e = world_event (EV_ROWS, p->index, to);

  e->since = p->sent_upto[to];
  e->upto = p->view.upto;
  e->rows = world_rows_since (&p->view, e->since, TRUE);
  p->sent_upto[to] = e->upto;
  world_post (w, e);
}

void
world_on_rows (World *w, Peer *p, const Event *e)
{
  gboolean assigner = p->index >= DISPATCHERS;
  gboolean peer = e->call == 0;
  guint64 upto = peer && assigner ? 0 : e->upto;
  guint64 before = p->view.upto;

  cc_view_apply (&p->view, e->since, upto, e->rows);
  if (assigner)
    return;
  world_read_map (w, p);
  for (guint i = 0; p->view.upto > before && i < PEERS; i++)
    if (i != p->index)
      world_send_rows (w, p, i);
}

void
world_tick_view (World *w, Peer *p)
{
  Event *e;
  guint other = (guint) g_rand_int_range (w->rand, 0, DISPATCHERS);

  if (w->now >= p->poll_due && w->now >= p->unreachable_until)
    {
      p->poll_due = w->now + 200 * CC_MS;
      e = world_event (EV_POLL, p->index, 0);
      e->call = ++w->ids;
      e->incarnation = p->incarnation;
      e->since = p->view.upto;
      world_post (w, e);
    }
  if (w->now >= p->sync_due && other != p->index)
    {
      p->sync_due = w->now + 500 * CC_MS;
      e = world_event (EV_SYNC, p->index, other);
      e->upto = p->view.upto;
      world_post (w, e);
    }
}

/* Applies a written map at its writer, and sends it to each dispatcher, to be
 * applied by those that know the member rows that it depends on. */
static void
publish (World *w, Peer *p, guint64 version)
{
  g_autoptr (GPtrArray) rows = cc_view_rows (&p->view);
  guint64 since = 0;

  for (guint i = 0; i < rows->len; i++)
    if (g_str_has_prefix (((CcRow *) rows->pdata[i])->key, "member/"))
      since = MAX (since, ((CcRow *) rows->pdata[i])->version);
  cc_view_put (&p->view, "map/" POOL, version, p->writing);
  for (guint i = 0; i < DISPATCHERS; i++)
    {
      Event *e = world_event (EV_ROWS, p->index, i);

      e->since = e->upto = since;
      e->rows = g_variant_ref_sink (g_variant_new_parsed (
          "[(%s, %t, %s)]", "map/" POOL, version, p->writing));
      world_post (w, e);
    }
}

static void
on_done (World *w, Peer *p, const Event *e)
{
  if (e->call != p->call)
    return;
  p->call = 0;
  if (p->index < DISPATCHERS)
    {
      world_dispatcher_done (w, p, e);
      return;
    }
  p->poll_due = 0;
  if (p->writing != NULL && e->status == CC_OK)
    publish (w, p, e->version);
  g_clear_pointer (&p->writing, g_free);
}

void
world_handle_message (World *w, Peer *p, const Event *e)
{
  switch (e->kind)
    {
    case EV_DONE:
      on_done (w, p, e);
      break;
    case EV_ROWS:
      world_on_rows (w, p, e);
      break;
    case EV_SYNC:
      p->sent_upto[e->from] = e->upto;
      world_send_rows (w, p, e->from);
      break;
    case EV_ACK:
      world_on_ack (w, p, e);
      break;
    case EV_ANSWER:
      world_on_answer (w, p, e);
      break;
    case EV_REPORT:
      world_on_report (p, e);
      break;
    default:
      g_assert_not_reached ();
    }
}
