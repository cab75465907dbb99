/* Granters against servers that take grants as the users' do, in seeded worlds.
 *
 * What callers would see if it failed: two servers work on the same key, and a
 * slot is sold twice.  In each world some of this happens, several at once:
 * calls get lost, their answers get lost, grants are carried out seconds late,
 * servers restart or leave, granters freeze, end, or lose the table or some
 * servers.  After every step no key may be held by two servers, and no server
 * may take a key with a fence that another had before. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "clock.h"
#include "granter_lease.h"
#include "granter.h"
#include "key_load.h"

#define SEEDS 2000
#define STEP (10 * CC_MS)
#define STEPS 2500 /* 25 s */
#define SERVERS 5
#define GRANTERS 3
#define POOL "slots"

/* ---- the world ---- */

typedef struct
{
  guint from, to;
  guint64 fence;
  gint64 until; /* 0: only remembered as seen */
} Held;

typedef struct
{
  char id[8];
  char address[24];
  guint64 born;
  gboolean up;
  gboolean leaving;
  GArray *held; /* of Held: of this life, all that was ever granted */
} Server;

typedef struct
{
  CcGranter *granter;
  CcTargets targets;
  CcView view;
  gboolean alive;
  gint64 frozen_until;
  gboolean cut_from_table;
  gboolean cut_from[SERVERS];
} Process;

typedef enum
{
  EVENT_ARRIVES, /* at the server */
  EVENT_CARRIED, /* a grant is carried out late */
  EVENT_ANSWERED,
  EVENT_LATE /* the caller's own time-out */
} EventKind;

typedef struct
{
  gint64 at;
  EventKind kind;
  guint process;
  CcGranter *by; /* the granter that sent it; another may run there now */
  guint server;
  guint64 born;
  gboolean is_release;
  Held what;
  gint64 arrived;
  guint status;
  CcHttpDone done;
  gpointer data;
  gboolean *settled; /* the call was answered or timed out */
} Event;

typedef struct
{
  guint64 version;
  char *value;
} StoreRow;

typedef struct
{
  gint64 at;
  gboolean is_write;
  guint process;
  CcGranter *by;
  CcTableRows rows_done;
  CcTableChanged changed_done;
  gpointer data;
  CcStatus status;
  guint64 version;
  GVariant *rows;
} StoreAnswer;

static struct
{
  GRand *rand;
  Server servers[SERVERS];
  Process processes[GRANTERS];
  GPtrArray *events;
  GPtrArray *answers;
  GHashTable *store; /* "table/key" to StoreRow */
  guint64 version;
  guint running;      /* index of the process that is running */
  gboolean weak;      /* processes that start seldom poll the lease */
  GHashTable *fences; /* bucket of keys to highest fence and its server */
  char failure[200];
  double faults; /* how likely a call goes wrong */
} w;

static gint64
ms (gint low, gint high)
{
  return g_rand_int_range (w.rand, low, high) * CC_MS;
}

static gboolean
chance (double share)
{
  return g_rand_double (w.rand) < share;
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
      Fence *f = g_hash_table_lookup (w.fences, GUINT_TO_POINTER (k));

      if (f == NULL)
        {
          f = g_new0 (Fence, 1);
          g_hash_table_insert (w.fences, GUINT_TO_POINTER (k), f);
        }
      if (f->fence >= h->fence && f->server != server && w.failure[0] == '\0')
        g_snprintf (w.failure, sizeof w.failure,
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
  Server *s = &w.servers[server];

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
  Server *s = &w.servers[server];
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
      for (guint i = 0; i < w.servers[a].held->len; i++)
        for (guint k = 0; k < w.servers[b].held->len; k++)
          {
            const Held *x = &g_array_index (w.servers[a].held, Held, i);
            const Held *y = &g_array_index (w.servers[b].held, Held, k);

            if (x->until > now && y->until > now && overlaps (x, y) &&
                w.failure[0] == '\0')
              g_snprintf (w.failure, sizeof w.failure,
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
  g_ptr_array_add (w.events, g_memdup2 (e, sizeof *e));
}

CcHttpCall *
cc_http_send (CcHttp *h, const CcHttpOrder *o, CcHttpDone done, gpointer data)
{
  Process *p = &w.processes[w.running];
  gint64 now = cc_clock_now ();
  Event e = {
    .process = w.running, .by = p->granter, .done = done, .data = data
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
  e.born = w.servers[e.server].born;
  e.at = now + ms (1, 4);
  if (!p->cut_from[e.server] && w.servers[e.server].up &&
      !chance (w.faults / 2))
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
  const Process *p = &w.processes[process];

  return p->alive && p->granter == by;
}

static void
arrive (Event *e, gint64 now)
{
  const Server *s = &w.servers[e->server];
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
  else if (chance (w.faults / 2))
    {
      /* No answer, and carried out late. */
      next.kind = EVENT_CARRIED;
      next.at = now + ms (500, 8000);
    }
  else
    next.status = take_grant (e->server, &next.what);
  if (next.kind == EVENT_CARRIED || !chance (w.faults / 2))
    push_event (&next);
}

static void
carry_out (Event *e, gint64 now)
{
  if (w.servers[e->server].up && w.servers[e->server].born == e->born &&
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
  w.running = e->process;
  e->done (&r, e->data);
}

/* Returns FALSE if E is to wait, for its process is frozen. */
static gboolean
play (Event *e, gint64 now)
{
  gboolean at_process = e->kind == EVENT_ANSWERED || e->kind == EVENT_LATE;

  if (at_process && w.processes[e->process].frozen_until > now)
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
  a.process = w.running;
  a.by = w.processes[w.running].granter;
  g_ptr_array_add (w.answers, g_memdup2 (&a, sizeof a));
}

static CcStatus
apply_change (const CcTableChange *c)
{
  for (guint i = 0; i < c->expect->len; i++)
    {
      const StoreRow *row = g_hash_table_lookup (w.store, c->expect->pdata[i]);

      if ((row != NULL ? row->version : 0) !=
          g_array_index (c->versions, guint64, i))
        return CC_CONFLICT;
    }
  w.version++;
  for (guint i = 0; i < c->puts->len; i += 2)
    {
      StoreRow *row = g_new0 (StoreRow, 1);

      row->version = w.version;
      row->value = g_strdup (c->puts->pdata[i + 1]);
      g_hash_table_insert (w.store, g_strdup (c->puts->pdata[i]), row);
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
  if (w.processes[w.running].cut_from_table)
    a.status = CC_UNKNOWN;
  else
    {
      a.status = apply_change (c);
      a.version = w.version;
      if (chance (w.faults / 2))
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
  g_hash_table_iter_init (&i, w.store);
  while (g_hash_table_iter_next (&i, &k, &v))
    if (g_str_has_prefix (k, prefix))
      g_variant_builder_add (&b, "(sts)", (char *) k + 2,
                             ((StoreRow *) v)->version,
                             ((StoreRow *) v)->value);
  a.rows = g_variant_ref_sink (g_variant_builder_end (&b));
  a.at = cc_clock_now () + ms (4, 12);
  if (w.processes[w.running].cut_from_table)
    a.status = CC_UNREACHABLE;
  answer_later (a);
}

static gboolean
play_answer (StoreAnswer *a, gint64 now)
{
  if (w.processes[a->process].frozen_until > now)
    return FALSE;
  if (is_running (a->process, a->by))
    {
      w.running = a->process;
      if (a->is_write)
        a->changed_done (a->status, a->version, a->data);
      else
        a->rows_done (a->status, a->rows, w.version, "", a->data);
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
                    .address = g_strdup (w.servers[server].address),
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
static void
list_servers (Process *p, gint64 now)
{
  CcVersionClock clock = { 0 };
  CcListed listed = { .view = &p->view, .clock = &clock };
  gboolean changed = FALSE;

  if (p->cut_from_table)
    return;
  for (guint i = 0; i < SERVERS; i++)
    {
      const Server *s = &w.servers[i];
      g_autofree char *value =
          g_strdup_printf ("%u %lu %d", i, s->born, s->leaving);

      cc_view_put (&p->view, s->id, ++w.version, s->up ? value : NULL);
    }
  cc_targets_update (&p->targets, &listed, decode, now, note_change, &changed);
  if (changed)
    cc_granter_targets_changed (p->granter, 0);
}

static void
start_process (guint index, gint64 now)
{
  Process *p = &w.processes[index];
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
  w.running = index;
  p->granter = cc_granter_new (&setup);
  cc_granter_configure (p->granter, routes);
  cc_granter_rank (p->granter, w.weak ? 50 + index : 0, w.weak ? 90 : GRANTERS);
  cc_routes_free (routes);
  list_servers (p, now);
}

static void
disturb_server (Server *s)
{
  switch (g_rand_int_range (w.rand, 0, 4))
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
  Process *p = &w.processes[index];

  switch (g_rand_int_range (w.rand, 0, 6))
    {
    case 0:
      p->alive = FALSE;
      start_process (index, now);
      p->frozen_until = now + ms (500, 2500);
      break;
    case 1:
      p->frozen_until = now + ms (200, 6000);
      break;
    case 2:
      p->cut_from_table = !p->cut_from_table;
      break;
    case 3:
      p->cut_from[g_rand_int_range (w.rand, 0, SERVERS)] ^= TRUE;
      break;
    case 4:
      cc_granter_add_load (p->granter, POOL,
                           (guint) g_rand_int_range (w.rand, 0, CC_LOAD_KEYS),
                           200);
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
  for (guint i = 0; i < w.events->len; i++)
    {
      Event *e = w.events->pdata[i];

      if (e->at <= now && play (e, now))
        {
          g_ptr_array_remove_index (w.events, i--);
          g_free (e);
        }
    }
  for (guint i = 0; i < w.answers->len; i++)
    {
      StoreAnswer *a = w.answers->pdata[i];

      if (a->at <= now && play_answer (a, now))
        {
          g_ptr_array_remove_index (w.answers, i--);
          g_free (a);
        }
    }
}

static void
step (guint number)
{
  gint64 now = cc_clock_now ();

  play_due (now);
  if (chance (0.01 * w.faults * 4))
    disturb_server (&w.servers[g_rand_int_range (w.rand, 0, SERVERS)]);
  if (chance (0.01 * w.faults * 4))
    disturb_process ((guint) g_rand_int_range (w.rand, 0, GRANTERS), now);
  for (guint i = 0; i < GRANTERS; i++)
    {
      Process *p = &w.processes[i];

      if (p->frozen_until > now || (number + i) % 5 != 0)
        continue;
      if (number % 20 == 0)
        list_servers (p, now);
      w.running = i;
      cc_granter_tick (p->granter);
    }
  check_owners (now);
  cc_clock_advance (STEP);
}

static void
world_init (guint seed, double faults)
{
  memset (&w, 0, sizeof w);
  w.rand = g_rand_new_with_seed (seed);
  w.faults = faults;
  w.events = g_ptr_array_new ();
  w.answers = g_ptr_array_new ();
  w.store = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  w.fences = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  cc_clock_pause (1000 * CC_SECOND, 1000 * CC_SECOND);
  for (guint i = 0; i < SERVERS; i++)
    {
      Server *s = &w.servers[i];

      g_snprintf (s->id, sizeof s->id, "s%u", i);
      g_snprintf (s->address, sizeof s->address, "10.0.0.%u:80", i);
      s->up = TRUE;
      s->held = g_array_new (FALSE, FALSE, sizeof (Held));
    }
  for (guint i = 0; i < GRANTERS; i++)
    start_process (i, cc_clock_now ());
}

static void
world_clear (void)
{
  for (guint i = 0; i < SERVERS; i++)
    g_array_unref (w.servers[i].held);
  g_ptr_array_unref (w.events);
  g_ptr_array_unref (w.answers);
  g_hash_table_unref (w.store);
  g_hash_table_unref (w.fences);
  g_rand_free (w.rand);
  cc_clock_resume ();
}

/* Keys that some server that is up holds now, of all. */
static double
share_held (void)
{
  gint64 now = cc_clock_now ();
  guint sum = 0;

  for (guint a = 0; a < SERVERS; a++)
    for (guint i = 0; i < w.servers[a].held->len; i++)
      {
        const Held *x = &g_array_index (w.servers[a].held, Held, i);

        if (x->until > now)
          sum += x->to - x->from + 1;
      }
  return (double) sum / CC_KEYS;
}

static void
run_worlds (double faults, guint first, guint count)
{
  for (guint seed = first; seed < first + count; seed++)
    {
      world_init (seed, faults);
      for (guint i = 0; i < STEPS && w.failure[0] == '\0'; i++)
        step (i);
      if (w.failure[0] != '\0')
        fail_msg ("seed %u, faults %.2f, at %.2f s: %s", seed, faults,
                  (double) (cc_clock_now () - 1000 * CC_SECOND) / 1e6,
                  w.failure);
      world_clear ();
    }
}

static void
a_key_has_one_owner_in_a_calm_world (void **state)
{
  (void) state;
  world_init (1, 0.0);
  for (guint i = 0; i < 600; i++)
    step (i);
  assert_string_equal (w.failure, "");
  assert_true (share_held () > 0.9999 && share_held () < 1.0001);
  world_clear ();
}

/* A process that seldom polls the lease's row finds it free.  Callers get no
 * owner for their keys until it has read the ranges, which must not wait for
 * its next poll. */
static void
whoever_takes_the_lease_grants_at_once (void **state)
{
  (void) state;
  world_init (1, 0.0);
  for (guint i = 0; i < GRANTERS; i++)
    cc_granter_rank (w.processes[i].granter, 50 + i, 90);
  for (guint i = 0; i < 250; i++)
    step (i);
  assert_true (share_held () > 0.9999);
  world_clear ();
}

/* Guards against keys that lapse while a fleet that was killed and started
 * again waits for the term of a weak granter, which seldom polls the lease.
 */
static void
a_granter_that_is_started_again_grants_at_once (void **state)
{
  guint held = 0;

  (void) state;
  world_init (1, 0.0);
  for (guint i = 0; i < 600; i++)
    step (i);
  for (guint i = 0; i < GRANTERS; i++)
    if (cc_granter_holds_lease (w.processes[i].granter))
      held = i;
  w.weak = TRUE;
  for (guint i = 0; i < GRANTERS; i++)
    {
      w.processes[i].alive = FALSE;
      start_process (i, cc_clock_now ());
    }
  cc_granter_named (w.processes[held].granter);
  for (guint i = 0; i < CC_SECOND / STEP; i++)
    step (600 + i);
  assert_string_equal (w.failure, "");
  assert_true (cc_granter_holds_lease (w.processes[held].granter));
  world_clear ();
}

/* Callers get no owner for a part of the keys.  The granter is lost, and with
 * it a server; the one that takes over can't know whether the granter of before
 * still renews that server's keys.  But another server is listed at its address
 * by then, so it has ended, and its keys go to others when they have lapsed. */
static void
keys_of_one_whose_address_is_another_s_are_free (void **state)
{
  guint lost = 0;

  (void) state;
  world_init (3, 0.0);
  for (guint i = 0; i < 600; i++)
    step (i);
  for (guint i = 0; i < GRANTERS; i++)
    if (cc_granter_holds_lease (w.processes[i].granter))
      lost = i;
  w.processes[lost].frozen_until = G_MAXINT64;
  w.servers[0].up = FALSE;
  g_array_set_size (w.servers[0].held, 0);
  for (guint i = 0; i < GRANTERS; i++)
    {
      cc_view_put (&w.processes[i].view, "another", ++w.version, "0 1 1");
      list_servers (&w.processes[i], cc_clock_now ());
    }
  /* A term, a poll, the first grants, and some time for what was in progress.
   */
  for (guint i = 0; i < 6 * CC_SECOND / STEP; i++)
    step (600 + i);
  assert_string_equal (w.failure, "");
  if (share_held () < 0.9999)
    fail_msg ("%.3f of the keys are held after 6 s", share_held ());
  world_clear ();
}

static gboolean
lease_is_held_by_another (guint lost)
{
  for (guint i = 0; i < GRANTERS; i++)
    if (i != lost && cc_granter_holds_lease (w.processes[i].granter))
      return TRUE;
  return FALSE;
}

/* Returns how long nobody grants keys after the granter is lost, us. */
static gint64
time_to_take_over (guint seed)
{
  gint64 lost_at, taken_at;
  guint lost = 0;

  g_random_set_seed (seed);
  world_init (seed, 0.0);
  for (guint i = 0; i < GRANTERS; i++)
    cc_granter_rank (w.processes[i].granter, 3 + i, 12);
  for (guint i = 0; i < 600; i++)
    step (i);
  for (guint i = 0; i < GRANTERS; i++)
    if (cc_granter_holds_lease (w.processes[i].granter))
      lost = i;
  lost_at = cc_clock_now ();
  w.processes[lost].frozen_until = G_MAXINT64;
  /* The others had received a renewal, and not the last one. */
  for (guint i = 0; i < GRANTERS; i++)
    if (i != lost)
      cc_granter_lease_received (w.processes[i].granter, w.version - 1,
                                 lost_at);
  for (guint i = 0; i < 2000 && !lease_is_held_by_another (lost); i++)
    step (i);
  taken_at = cc_clock_now ();
  assert_string_equal (w.failure, "");
  world_clear ();
  return taken_at - lost_at;
}

/* Callers get no answer for keys that have lapsed, four seconds after their
 * last renewal at the latest.  The granter is cut off as it renews its lease;
 * the others hear nothing, and the one whose turn comes first finds a renewal
 * that it had not received.  It must poll again when that has lapsed. */
static void
a_granter_that_is_lost_as_it_renews_is_replaced_soon (void **state)
{
  gint64 sum = 0;

  (void) state;
  for (guint seed = 1; seed <= 60; seed++)
    sum += time_to_take_over (seed);
  /* A quiet time, half a turn of the two others, and a term. */
  if (sum / 60 > 5500 * CC_MS)
    fail_msg ("%" G_GINT64_FORMAT " ms in the mean", sum / 60 / CC_MS);
}

static void
a_key_has_one_owner_whatever_goes_wrong (void **state)
{
  (void) state;
  run_worlds (0.1, 0, SEEDS / 2);
  run_worlds (0.3, 10000, SEEDS / 2);
  /* Found in 19000 worlds: a granter that renews on waking, long after its time
   * is over, and a server that was granted keys in its new life while the
   * granter still took it for the old. */
  run_worlds (0.3, 16549, 1);
  run_worlds (0.3, 16595, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_key_has_one_owner_in_a_calm_world),
    cmocka_unit_test (whoever_takes_the_lease_grants_at_once),
    cmocka_unit_test (a_granter_that_is_started_again_grants_at_once),
    cmocka_unit_test (keys_of_one_whose_address_is_another_s_are_free),
    cmocka_unit_test (a_granter_that_is_lost_as_it_renews_is_replaced_soon),
    cmocka_unit_test (a_key_has_one_owner_whatever_goes_wrong),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
