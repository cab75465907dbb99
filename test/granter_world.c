/* The servers take grants as the users' do.  After every step no key may be
 * held by two servers, and no server may take a key with a fence that another
 * had before. */
#include "granter_world.h"

#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "clock.h"
#include "key_load.h"

World world;

static gint64
ms (gint low, gint high)
{
  return g_rand_int_range (world.rand, low, high) * CC_MS;
}

static gboolean
chance (double share)
{
  return g_rand_double (world.rand) < share;
}

/* ---- servers ---- */

static gboolean
overlaps (const Held *a, const Held *b)
{
  return a->from <= b->to && b->from <= a->to;
}

/* Keys from which and to which fences are remembered. */
#define STRIDE 512

typedef struct
{
  guint64 fence;
  guint server;
} Fence;

static void
check_fence (guint server, const Held *h)
{
  for (guint k = h->from / STRIDE + 1; k * STRIDE <= h->to; k++)
    {
      Fence *f = g_hash_table_lookup (world.fences, GUINT_TO_POINTER (k));

      if (f == NULL)
        {
          f = g_new0 (Fence, 1);
          g_hash_table_insert (world.fences, GUINT_TO_POINTER (k), f);
        }
      if (f->fence >= h->fence && f->server != server &&
          world.failure[0] == '\0')
        g_snprintf (world.failure, sizeof world.failure,
                    "key %u went to %u with fence %u, %u had it with %u",
                    k * STRIDE, server, (guint) h->fence, f->server,
                    (guint) f->fence);
      if (h->fence > f->fence)
        *f = (Fence){ h->fence, server };
    }
}

/* Returns the status of the answer. */
static guint
take_grant (guint server, const Held *h)
{
  Server *s = &world.servers[server];

  for (guint i = 0; i < s->held->len; i++)
    {
      const Held *x = &g_array_index (s->held, Held, i);

      if (overlaps (x, h) && x->fence > h->fence)
        return 409;
    }
  for (guint i = 0; i < s->held->len; i++)
    {
      Held *x = &g_array_index (s->held, Held, i);

      if (x->from == h->from && x->to == h->to && x->fence == h->fence)
        {
          x->until = MAX (x->until, h->until);
          return 200;
        }
    }
  check_fence (server, h);
  g_array_append_val (s->held, *h);
  return 200;
}

static void
take_release (guint server, const Held *h)
{
  Server *s = &world.servers[server];
  guint count = s->held->len;

  for (guint i = 0; i < count; i++)
    {
      Held *x = &g_array_index (s->held, Held, i);
      Held low, high;

      if (!overlaps (x, h) || x->until == 0 || x->fence > h->fence)
        continue;
      low = high = *x;
      x->until = 0;
      low.to = h->from - 1;
      high.from = h->to + 1;
      if (low.from < h->from)
        g_array_append_val (s->held, low);
      if (g_array_index (s->held, Held, i).to > h->to)
        g_array_append_val (s->held, high);
    }
}

static void
check_owners (gint64 now)
{
  for (guint a = 0; a < SERVERS; a++)
    for (guint b = a + 1; b < SERVERS; b++)
      for (guint i = 0; i < world.servers[a].held->len; i++)
        for (guint k = 0; k < world.servers[b].held->len; k++)
          {
            const Held *x = &g_array_index (world.servers[a].held, Held, i);
            const Held *y = &g_array_index (world.servers[b].held, Held, k);

            if (x->until > now && y->until > now && overlaps (x, y) &&
                world.failure[0] == '\0')
              g_snprintf (world.failure, sizeof world.failure,
                          "%u holds %u to %u (fence %u), %u holds %u to %u "
                          "(fence %u)",
                          a, x->from, x->to, (guint) x->fence, b, y->from,
                          y->to, (guint) y->fence);
          }
}

/* ---- calls to servers, in place of http_link.c ---- */

static void
push_event (const Event *e)
{
  g_ptr_array_add (world.events, g_memdup2 (e, sizeof *e));
}

CcHttpCall *
cc_http_send (CcHttp *h, const CcHttpOrder *o, CcHttpDone done, gpointer data)
{
  Process *p = &world.processes[world.running];
  gint64 now = cc_clock_now ();
  Event e = {
    .process = world.running, .by = p->granter, .done = done, .data = data
  };
  const char *body = g_bytes_get_data (o->body, NULL);
  guint64 hold = 0;

  (void) h;
  e.is_release = strstr (o->head, "/release") != NULL;
  if (e.is_release)
    assert_int_equal (sscanf (body, "{\"from\":%u,\"target\":%u,\"fence\":%lu",
                              &e.what.from, &e.what.to, &e.what.fence),
                      3);
  else
    assert_int_equal (
        sscanf (body, "{\"from\":%u,\"target\":%u,\"fence\":%lu,\"holdMs\":%lu",
                &e.what.from, &e.what.to, &e.what.fence, &hold),
        4);
  e.what.until = (gint64) hold;
  e.server = (guint) (o->address[strlen ("10.0.0.")] - '0');
  e.settled = g_new0 (gboolean, 1);
  e.at = now + o->answer_within;
  e.kind = EVENT_LATE;
  push_event (&e);
  e.kind = EVENT_ARRIVES;
  e.born = world.servers[e.server].born;
  e.at = now + ms (1, 4);
  if (!p->cut_from[e.server] && world.servers[e.server].up &&
      !chance (world.faults / 2))
    push_event (&e);
  return (CcHttpCall *) done;
}

const char *
cc_http_header (const CcHttpResult *r, const char *name)
{
  (void) r, (void) name;
  return NULL;
}

static gboolean
is_running (guint process, const CcGranter *by)
{
  const Process *p = &world.processes[process];

  return p->alive && p->granter == by;
}

static void
arrive (Event *e, gint64 now)
{
  const Server *s = &world.servers[e->server];
  Event next = *e;

  if (!s->up)
    return;
  next.kind = EVENT_ANSWERED;
  next.arrived = now;
  next.what.until = now + next.what.until * CC_MS * 102 / 100;
  next.at = now + ms (1, 4);
  next.status = 200;
  if (e->is_release)
    {
      take_release (e->server, &e->what);
      next.at += ms (0, 400);
    }
  else if (chance (world.faults / 2))
    {
      /* No answer, and carried out late. */
      next.kind = EVENT_CARRIED;
      next.at = now + ms (500, 8000);
    }
  else
    next.status = take_grant (e->server, &next.what);
  if (next.kind == EVENT_CARRIED || !chance (world.faults / 2))
    push_event (&next);
}

static void
carry_out (Event *e, gint64 now)
{
  if (world.servers[e->server].up && world.servers[e->server].born == e->born &&
      e->what.until > now)
    take_grant (e->server, &e->what);
}

static void
settle (Event *e, CcHttpEnd how)
{
  CcHttpResult r = { .end = how, .why = "", .status = e->status };

  if (*e->settled || !is_running (e->process, e->by))
    return;
  *e->settled = TRUE;
  world.running = e->process;
  e->done (&r, e->data);
}

/* Returns FALSE if E is to wait, for its process is frozen. */
static gboolean
play (Event *e, gint64 now)
{
  gboolean at_process = e->kind == EVENT_ANSWERED || e->kind == EVENT_LATE;

  if (at_process && world.processes[e->process].frozen_until > now)
    return FALSE;
  switch (e->kind)
    {
    case EVENT_ARRIVES:
      arrive (e, now);
      break;
    case EVENT_CARRIED:
      carry_out (e, now);
      break;
    case EVENT_ANSWERED:
      settle (e, CC_HTTP_ANSWERED);
      break;
    case EVENT_LATE:
      settle (e, CC_HTTP_LATE);
      break;
    }
  return TRUE;
}

/* ---- the table, in place of platform/store.c ---- */

struct CcTableChange
{
  GPtrArray *expect; /* of row names, with versions in VERSIONS */
  GArray *versions;
  GPtrArray *puts; /* names and values by turns */
};

static char *
row_name (CcTableName name, const char *key)
{
  return g_strdup_printf ("%d/%s", name, key);
}

CcTableChange *
cc_table_change_new (void)
{
  CcTableChange *c = g_new0 (CcTableChange, 1);

  c->expect = g_ptr_array_new_with_free_func (g_free);
  c->versions = g_array_new (FALSE, FALSE, sizeof (guint64));
  c->puts = g_ptr_array_new_with_free_func (g_free);
  return c;
}

void
cc_table_expect (CcTableChange *c, CcTableName name, const char *key,
                 guint64 version)
{
  g_ptr_array_add (c->expect, row_name (name, key));
  g_array_append_val (c->versions, version);
}

void
cc_table_put (CcTableChange *c, CcTableName name, const char *key,
              const char *value)
{
  g_ptr_array_add (c->puts, row_name (name, key));
  g_ptr_array_add (c->puts, g_strdup (value));
}

static void
answer_later (StoreAnswer a)
{
  a.process = world.running;
  a.by = world.processes[world.running].granter;
  g_ptr_array_add (world.answers, g_memdup2 (&a, sizeof a));
}

static CcStatus
apply_change (const CcTableChange *c)
{
  for (guint i = 0; i < c->expect->len; i++)
    {
      const StoreRow *row =
          g_hash_table_lookup (world.store, c->expect->pdata[i]);

      if ((row != NULL ? row->version : 0) !=
          g_array_index (c->versions, guint64, i))
        return CC_CONFLICT;
    }
  world.version++;
  for (guint i = 0; i < c->puts->len; i += 2)
    {
      StoreRow *row = g_new0 (StoreRow, 1);

      row->version = world.version;
      row->value = g_strdup (c->puts->pdata[i + 1]);
      g_hash_table_insert (world.store, g_strdup (c->puts->pdata[i]), row);
    }
  return CC_OK;
}

void
cc_table_commit (CcTable *t, CcTableChange *c, CcTableChanged done,
                 gpointer data)
{
  StoreAnswer a = { .is_write = TRUE, .changed_done = done, .data = data };

  (void) t;
  a.at = cc_clock_now () + ms (4, 12);
  if (world.processes[world.running].cut_from_table)
    a.status = CC_UNKNOWN;
  else
    {
      a.status = apply_change (c);
      a.version = world.version;
      if (chance (world.faults / 2))
        a.status = CC_UNKNOWN;
    }
  if (a.status == CC_UNKNOWN)
    a.at += 700 * CC_MS;
  g_ptr_array_unref (c->expect);
  g_ptr_array_unref (c->puts);
  g_array_unref (c->versions);
  g_free (c);
  answer_later (a);
}

void
cc_table_read (CcTable *t, CcTableName name, const char *key, CcTableRows done,
               gpointer data)
{
  StoreAnswer a = { .rows_done = done, .data = data, .status = CC_OK };
  g_autofree char *prefix = row_name (name, key != NULL ? key : "");
  GVariantBuilder b;
  GHashTableIter i;
  gpointer k, v;

  (void) t;
  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  g_hash_table_iter_init (&i, world.store);
  while (g_hash_table_iter_next (&i, &k, &v))
    if (g_str_has_prefix (k, prefix))
      g_variant_builder_add (&b, "(sts)", (char *) k + 2,
                             ((StoreRow *) v)->version,
                             ((StoreRow *) v)->value);
  a.rows = g_variant_ref_sink (g_variant_builder_end (&b));
  a.at = cc_clock_now () + ms (4, 12);
  if (world.processes[world.running].cut_from_table)
    a.status = CC_UNREACHABLE;
  answer_later (a);
}

static gboolean
play_answer (StoreAnswer *a, gint64 now)
{
  if (world.processes[a->process].frozen_until > now)
    return FALSE;
  if (is_running (a->process, a->by))
    {
      world.running = a->process;
      if (a->is_write)
        a->changed_done (a->status, a->version, a->data);
      else
        a->rows_done (a->status, a->rows, world.version, "", a->data);
    }
  if (a->rows != NULL)
    g_variant_unref (a->rows);
  return TRUE;
}

/* ---- processes ---- */

static gboolean
decode (const char *key, const char *value, CcListing *l)
{
  guint server, leaving;
  gulong born;

  if (sscanf (value, "%u %lu %u", &server, &born, &leaving) != 3)
    return FALSE;
  *l = (CcListing){ .id = g_strdup (key),
                    .pool = g_strdup (POOL),
                    .address = g_strdup (world.servers[server].address),
                    .zone = g_strdup ("a"),
                    .slots = 4,
                    .born = born,
                    .leaving = leaving != 0 };
  return TRUE;
}

static void
note_change (const CcTarget *t, gpointer data)
{
  (void) t;
  *(gboolean *) data = TRUE;
}

/* The process learns how the servers are now, if it can. */
void
world_list_servers (Process *p, gint64 now)
{
  CcVersionClock clock = { 0 };
  CcListed listed = { .view = &p->view, .clock = &clock };
  gboolean changed = FALSE;

  if (p->cut_from_table)
    return;
  for (guint i = 0; i < SERVERS; i++)
    {
      const Server *s = &world.servers[i];
      g_autofree char *value =
          g_strdup_printf ("%u %lu %d", i, s->born, s->leaving);

      cc_view_put (&p->view, s->id, ++world.version, s->up ? value : NULL);
    }
  cc_targets_update (&p->targets, &listed, decode, now, note_change, &changed);
  if (changed)
    cc_granter_targets_changed (p->granter, 0);
}

/* Starts process INDEX, or starts it again. */
void
world_start_process (guint index, gint64 now)
{
  Process *p = &world.processes[index];
  CcGranterSetup setup = { .targets = &p->targets,
                           .instance = index == 0   ? "a"
                                       : index == 1 ? "b"
                                                    : "c",
                           .address = "10.9.9.9:1" };
  CcRoutePool pool = { .name = (char *) POOL, .keyed = TRUE };
  CcRoutes *routes = cc_routes_new (1);

  cc_routes_add_pool (routes, &pool);
  memset (p, 0, sizeof *p);
  p->alive = TRUE;
  cc_view_init (&p->view);
  cc_targets_init (&p->targets);
  world.running = index;
  p->granter = cc_granter_new (&setup);
  cc_granter_configure (p->granter, routes);
  cc_granter_rank (p->granter, world.weak ? 50 + index : 0,
                   world.weak ? 90 : GRANTERS);
  cc_routes_free (routes);
  world_list_servers (p, now);
}

static void
disturb_server (Server *s)
{
  switch (g_rand_int_range (world.rand, 0, 4))
    {
    case 0:
      s->up = !s->up;
      s->born++;
      s->leaving = FALSE;
      g_array_set_size (s->held, 0);
      break;
    case 1:
      s->leaving = !s->leaving;
      break;
    default:
      break;
    }
}

static void
disturb_process (guint index, gint64 now)
{
  Process *p = &world.processes[index];

  switch (g_rand_int_range (world.rand, 0, 6))
    {
    case 0:
      p->alive = FALSE;
      world_start_process (index, now);
      p->frozen_until = now + ms (500, 2500);
      break;
    case 1:
      p->frozen_until = now + ms (200, 6000);
      break;
    case 2:
      p->cut_from_table = !p->cut_from_table;
      break;
    case 3:
      p->cut_from[g_rand_int_range (world.rand, 0, SERVERS)] ^= TRUE;
      break;
    case 4:
      cc_granter_add_load (
          p->granter, POOL,
          (guint) g_rand_int_range (world.rand, 0, CC_LOAD_KEYS), 200);
      break;
    default:
      p->cut_from_table = FALSE;
      memset (p->cut_from, 0, sizeof p->cut_from);
      break;
    }
}

static void
play_due (gint64 now)
{
  for (guint i = 0; i < world.events->len; i++)
    {
      Event *e = world.events->pdata[i];

      if (e->at <= now && play (e, now))
        {
          g_ptr_array_remove_index (world.events, i--);
          g_free (e);
        }
    }
  for (guint i = 0; i < world.answers->len; i++)
    {
      StoreAnswer *a = world.answers->pdata[i];

      if (a->at <= now && play_answer (a, now))
        {
          g_ptr_array_remove_index (world.answers, i--);
          g_free (a);
        }
    }
}

/* Plays what is due at step NUMBER, lets the processes act, and checks. */
void
world_step (guint number)
{
  gint64 now = cc_clock_now ();

  play_due (now);
  if (chance (0.01 * world.faults * 4))
    disturb_server (&world.servers[g_rand_int_range (world.rand, 0, SERVERS)]);
  if (chance (0.01 * world.faults * 4))
    disturb_process ((guint) g_rand_int_range (world.rand, 0, GRANTERS), now);
  for (guint i = 0; i < GRANTERS; i++)
    {
      Process *p = &world.processes[i];

      if (p->frozen_until > now || (number + i) % 5 != 0)
        continue;
      if (number % 20 == 0)
        world_list_servers (p, now);
      world.running = i;
      cc_granter_tick (p->granter);
    }
  check_owners (now);
  cc_clock_advance (STEP);
}

/* A world of its own for SEED, in which FAULTS says how likely a call goes
 * wrong. */
void
world_begin (guint seed, double faults)
{
  memset (&world, 0, sizeof world);
  world.rand = g_rand_new_with_seed (seed);
  world.faults = faults;
  world.events = g_ptr_array_new ();
  world.answers = g_ptr_array_new ();
  world.store = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world.fences = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  cc_clock_pause (1000 * CC_SECOND, 1000 * CC_SECOND);
  for (guint i = 0; i < SERVERS; i++)
    {
      Server *s = &world.servers[i];

      g_snprintf (s->id, sizeof s->id, "s%u", i);
      g_snprintf (s->address, sizeof s->address, "10.0.0.%u:80", i);
      s->up = TRUE;
      s->held = g_array_new (FALSE, FALSE, sizeof (Held));
    }
  for (guint i = 0; i < GRANTERS; i++)
    world_start_process (i, cc_clock_now ());
}

/* Frees what the world holds. */
void
world_clear (void)
{
  for (guint i = 0; i < SERVERS; i++)
    g_array_unref (world.servers[i].held);
  g_ptr_array_unref (world.events);
  g_ptr_array_unref (world.answers);
  g_hash_table_unref (world.store);
  g_hash_table_unref (world.fences);
  g_rand_free (world.rand);
  cc_clock_resume ();
}

/* Keys that some server that is up holds now, of all. */
double
world_share_held (void)
{
  gint64 now = cc_clock_now ();
  guint sum = 0;

  for (guint a = 0; a < SERVERS; a++)
    for (guint i = 0; i < world.servers[a].held->len; i++)
      {
        const Held *x = &g_array_index (world.servers[a].held, Held, i);

        if (x->until > now)
          sum += x->to - x->from + 1;
      }
  return (double) sum / CC_KEYS;
}

/* Plays the worlds of COUNT seeds. */
void
world_run (double faults, guint first, guint count)
{
  for (guint seed = first; seed < first + count; seed++)
    {
      world_begin (seed, faults);
      for (guint i = 0; i < STEPS && world.failure[0] == '\0'; i++)
        world_step (i);
      if (world.failure[0] != '\0')
        fail_msg ("seed %u, faults %.2f, at %.2f s: %s", seed, faults,
                  (double) (cc_clock_now () - 1000 * CC_SECOND) / 1e6,
                  world.failure);
      world_clear ();
    }
}
