/* Guards against a second owner of a key across moves, splits and folds, which
 * callers would see as a payment made twice.  Maps are applied late or skipped,
 * reports and attempt records delayed or lost, while units move at random. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "holding.h"
#include "outcome_transfer.h"
#include "ownership_moves.h"

#define SERVERS 3
#define DISPATCHERS 2
#define KEYS 6
#define SLICES 2
#define SEEDS 1500
#define STEPS 1500
#define WALL_START (1700000000 * CC_SECOND)

typedef struct
{
  guint key;
  gint32 server;
  guint unit;
  char *id;
  CcOutcomes *outcomes;
  gint64 deadline;
} Attempt;

typedef struct
{
  guint to;
  CcMsgOutcomes o;
} Message;

typedef struct
{
  CcSliceMap *map; /* newest map applied */
  CcOutcomes *outcomes;
  CcTransfer *transfer;
} Dispatcher;

typedef struct
{
  GRand *rand;
  guint32 seed;
  guint slow; /* the second dispatcher applies one map in this many */
  gint64 now;
  CcSliceMap *map;
  CcRoster *roster;
  Dispatcher d[DISPATCHERS];
  CcHolding *held[SERVERS]; /* NULL until its dispatcher holds it */
  CcMoveVersions *move_versions;
  GHashTable *reports;
  GPtrArray *running;  /* of Attempt */
  GPtrArray *messages; /* of Parcel */
  GPtrArray *ids[KEYS];
  GHashTable *ran;      /* ids that had an effect */
  guint64 epochs[KEYS]; /* of the key's last attempt */
  guint starts, splits, folds, repeats, redirects;
} Schedule;

static guint
pick (Schedule *s, guint n)
{
  return (guint) g_rand_int_range (s->rand, 0, (gint32) n);
}

static gint64
wall (const Schedule *s)
{
  return WALL_START + s->now;
}

static guint64
hash_of (guint key)
{
  return key * (G_MAXUINT64 / KEYS) + key;
}

static guint
dispatcher_of (guint server)
{
  return server % DISPATCHERS;
}

static char *
new_id (Schedule *s)
{
  guint64 ms = (guint64) (wall (s) / CC_MS);
  guint first = pick (s, 4096);
  guint32 second = g_rand_int (s->rand);
  guint third = pick (s, 65536);

  return g_strdup_printf ("%08x-%04x-7%03x-8000-%08x%04x", (guint) (ms >> 16),
                          (guint) (ms & 0xffff), first, second, third);
}

static void
report_free (gpointer data)
{
  g_free (((CcServerReport *) data)->dispatcher);
  g_free (data);
}

static void
attempt_free (gpointer data)
{
  g_free (((Attempt *) data)->id);
  g_free (data);
}

static void
message_free (gpointer data)
{
  g_variant_unref (((Message *) data)->o.entries);
  g_free (data);
}

static Schedule *
schedule_new (guint32 seed)
{
  Schedule *s = g_new0 (Schedule, 1);

  s->rand = g_rand_new_with_seed (seed);
  s->seed = seed;
  s->slow = seed % 2 != 0 ? 20 : 1;
  s->now = CC_SECOND;
  s->map = cc_slicemap_new ("p", SLICES);
  s->roster = cc_roster_new ();
  for (guint i = 0; i < SERVERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("s%u", i);
      CcMapServer *m =
          cc_slicemap_server (s->map, cc_slicemap_add (s->map, name, "", "a"));

      g_free (m->dispatcher);
      m->dispatcher = g_strdup_printf ("d%u", dispatcher_of (i));
      m->term = 1;
      cc_roster_add_server (s->roster, name, "", "a", FALSE);
    }
  for (guint i = 0; i < DISPATCHERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("d%u", i);

      cc_roster_add_dispatcher (s->roster, name, "a", FALSE);
      s->d[i].outcomes = cc_outcomes_new ();
      s->d[i].transfer = cc_transfer_new (s->d[i].outcomes);
    }
  for (guint i = 0; i < KEYS; i++)
    s->ids[i] = g_ptr_array_new_with_free_func (g_free);
  s->move_versions = cc_move_versions_new ();
  s->reports =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, report_free);
  s->running = g_ptr_array_new_with_free_func (attempt_free);
  s->messages = g_ptr_array_new_with_free_func (message_free);
  s->ran = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < SLICES; i++)
    cc_moves_start (s->map, i, (gint32) (i % SERVERS));
  s->map->version = 1;
  return s;
}

static void
schedule_free (Schedule *s)
{
  for (guint i = 0; i < SERVERS; i++)
    if (s->held[i] != NULL)
      cc_holding_unref (s->held[i]);
  for (guint i = 0; i < DISPATCHERS; i++)
    {
      cc_slicemap_free (s->d[i].map);
      cc_transfer_free (s->d[i].transfer);
      cc_outcomes_free (s->d[i].outcomes);
    }
  for (guint i = 0; i < KEYS; i++)
    g_ptr_array_unref (s->ids[i]);
  cc_move_versions_free (s->move_versions);
  g_hash_table_unref (s->reports);
  g_hash_table_unref (s->ran);
  g_ptr_array_unref (s->running);
  g_ptr_array_unref (s->messages);
  cc_roster_free (s->roster);
  cc_slicemap_free (s->map);
  g_rand_free (s->rand);
  g_free (s);
}

static void
assigner_step (Schedule *s)
{
  guint changes;
  guint unit = pick (s, cc_slicemap_units (s->map));
  CcMapSlice *u = cc_slicemap_at (s->map, unit);
  CcMapHot *h = cc_slicemap_hot (s->map, unit);
  gint32 to = (gint32) pick (s, SERVERS);

  cc_move_versions_update (s->move_versions, s->map);
  changes = cc_moves_update (s->map, s->roster, s->reports, s->move_versions);
  if (pick (s, 3) == 0 && u->from >= 0 && u->server >= 0 &&
      !(h == NULL && cc_moves_is_folded_into (s->map, unit)))
    {
      s->redirects += u->server != to;
      cc_moves_redirect (s->map, unit, to);
      changes++;
    }
  else if (pick (s, 3) == 0 && u->from < 0 && u->server >= 0 && u->server != to)
    {
      cc_moves_start (s->map, unit, to);
      changes++;
    }
  else if (pick (s, 2) == 0 &&
           cc_moves_split (s->map, hash_of (pick (s, KEYS)), to) >= 0)
    {
      s->splits++;
      changes++;
    }
  else if (h != NULL && cc_moves_fold (s->map, unit))
    {
      s->folds++;
      changes++;
    }
  if (changes > 0)
    s->map->version++;
}

static void
apply_map (Schedule *s, guint dispatcher)
{
  Dispatcher *d = &s->d[dispatcher];
  g_autofree char *text = cc_slicemap_print (s->map);
  g_autofree char *me = g_strdup_printf ("d%u", dispatcher);

  cc_slicemap_free (d->map);
  d->map = cc_slicemap_parse ("p", s->map->version, text);
  for (guint i = dispatcher; i < SERVERS; i += DISPATCHERS)
    {
      if (s->held[i] == NULL)
        s->held[i] = cc_holding_new (
            "p", cc_slicemap_server (d->map, (gint32) i), TRUE, s->now, 0);
      cc_holding_update (s->held[i], d->map, (gint32) i, me);
    }
  for (guint i = 0; i < cc_slicemap_units (d->map); i++)
    {
      const CcMapServer *owner = cc_slicemap_owner (d->map, i);

      if (owner != NULL && g_str_equal (owner->dispatcher, me))
        cc_transfer_held (d->transfer, d->map, i, wall (s));
    }
}

static void
check_start (Schedule *s, guint key, gint32 server, guint64 epoch,
             const char *id)
{
  for (guint i = 0; i < s->running->len; i++)
    {
      const Attempt *a = s->running->pdata[i];

      if (a->key == key && a->server != server)
        fail_msg ("seed %u: key %u runs at servers %d and %d", s->seed, key,
                  a->server, server);
    }
  if (epoch < s->epochs[key])
    fail_msg ("seed %u: key %u goes back to epoch %u", s->seed, key,
              (guint) epoch);
  if (g_hash_table_contains (s->ran, id))
    fail_msg ("seed %u: %s of key %u runs twice", s->seed, id, key);
  s->epochs[key] = epoch;
  g_hash_table_add (s->ran, g_strdup (id));
  s->starts++;
}

static void
start (Schedule *s, Dispatcher *d, guint key, guint unit, gint32 server,
       const char *id)
{
  Attempt *a = g_new0 (Attempt, 1);

  check_start (s, key, server, cc_slicemap_at (d->map, unit)->epoch, id);
  a->key = key;
  a->server = server;
  a->unit = unit;
  a->id = g_strdup (id);
  a->outcomes = d->outcomes;
  a->deadline = wall (s) + CC_SECOND;
  cc_outcomes_start (d->outcomes, "p", unit, id, wall (s));
  cc_holding_sent (s->held[server], unit);
  g_ptr_array_add (s->running, a);
}

/* Sends a request, in half of the cases a repeat, to a random dispatcher. */
static void
request (Schedule *s)
{
  guint key = pick (s, KEYS);
  Dispatcher *d = &s->d[pick (s, DISPATCHERS)];
  const CcOutcomeRecord *found;
  const CcMapServer *owner;
  gint32 server;
  guint unit;
  char *id;

  if (s->ids[key]->len == 0 || pick (s, 2) == 0)
    g_ptr_array_add (s->ids[key], new_id (s));
  id = s->ids[key]->pdata[pick (s, s->ids[key]->len)];
  if (d->map == NULL)
    return;
  unit = cc_slicemap_unit (d->map, hash_of (key));
  owner = cc_slicemap_owner (d->map, unit);
  if (owner == NULL)
    return;
  server = cc_slicemap_find (d->map, owner->name);
  if (d != &s->d[dispatcher_of ((guint) server)] ||
      !cc_holding_owns (s->held[server], unit) ||
      !cc_holding_may_send (s->held[server], unit, s->now))
    return;
  switch (cc_outcomes_lookup (d->outcomes, "p", unit, id, wall (s), &found))
    {
    case CC_REPEAT_NEW:
      start (s, d, key, unit, server, id);
      break;
    case CC_REPEAT_DONE:
      s->repeats++;
      break;
    default:
      break;
    }
}

static void
end_attempt (Schedule *s)
{
  const CcOutcomeRecord run = { .outcome = CC_OUTCOME_RUN, .status = 200 };
  Attempt *a;

  if (s->running->len == 0)
    return;
  a = s->running->pdata[pick (s, s->running->len)];
  cc_holding_done (s->held[a->server], a->unit, a->deadline, TRUE);
  cc_outcomes_finish (a->outcomes, "p", a->unit, a->id, &run);
  g_ptr_array_remove (s->running, a);
}

static CcStatus
send_outcomes (const char *to, const CcMsgOutcomes *o, gpointer data)
{
  Schedule *s = data;
  Message *p = g_new0 (Message, 1);

  p->to = (guint) (to[1] - '0');
  p->o = *o;
  p->o.pool = "p";
  g_variant_ref (p->o.entries);
  g_ptr_array_add (s->messages, p);
  return CC_OK;
}

static void
report (Schedule *s, guint server)
{
  Dispatcher *d = &s->d[dispatcher_of (server)];
  g_autofree char *me = g_strdup_printf ("d%u", dispatcher_of (server));
  CcServerReport *r;
  guint64 applied;

  if (s->held[server] == NULL)
    return;
  applied = cc_holding_applied (s->held[server], s->now, wall (s));
  if (applied == d->map->version)
    cc_transfer_stopped (d->transfer, d->map, s->held[server]->name, me,
                         send_outcomes, s);
  r = g_new0 (CcServerReport, 1);
  r->applied = applied;
  r->dispatcher = g_strdup (me);
  g_hash_table_insert (s->reports, g_strdup (s->held[server]->name), r);
}

static void
deliver (Schedule *s)
{
  Message *p;

  if (s->messages->len == 0)
    return;
  p = s->messages->pdata[pick (s, s->messages->len)];
  if (pick (s, 10) > 0)
    cc_transfer_receive (s->d[p->to].transfer, &p->o, 1);
  g_ptr_array_remove (s->messages, p);
}

static void
grant (Schedule *s, guint server)
{
  CcHolding *h = s->held[server];

  if (h == NULL)
    return;
  cc_holding_answered (h, s->now);
  cc_holding_grant_sent (h, s->now);
  cc_holding_grant_acked (h, h->serial, s->now);
}

static void
step (Schedule *s)
{
  s->now += g_rand_int_range (s->rand, 0, 20) * CC_MS;
  switch (pick (s, 12))
    {
    case 0:
      assigner_step (s);
      break;
    case 1:
      if (pick (s, 2) == 0)
        apply_map (s, 0);
      else if (pick (s, s->slow) == 0)
        apply_map (s, 1);
      break;
    case 2:
      report (s, pick (s, SERVERS));
      break;
    case 3:
      grant (s, pick (s, SERVERS));
      break;
    case 4:
      deliver (s);
      break;
    case 5:
      end_attempt (s);
      break;
    default:
      request (s);
    }
}

static void
test_one_owner (void **state)
{
  guint starts = 0, splits = 0, folds = 0, repeats = 0, redirects = 0;

  (void) state;
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      Schedule *s = schedule_new (seed);

      for (guint i = 0; i < STEPS; i++)
        step (s);
      starts += s->starts;
      splits += s->splits;
      folds += s->folds;
      repeats += s->repeats;
      redirects += s->redirects;
      schedule_free (s);
    }
  print_message ("%u seeds: %u runs, %u repeats answered, %u splits, "
                 "%u folds, %u redirects\n",
                 SEEDS, starts, repeats, splits, folds, redirects);
  assert_true (splits > SEEDS && folds > SEEDS && repeats > SEEDS &&
               redirects > SEEDS);
}

static void
test_units (void **state)
{
  CcSliceMap *m = cc_slicemap_new ("p", 4);
  const guint64 hot = 0x4000000000000007, other = 0x4000000000000008;
  g_autofree char *text = NULL;
  CcSliceMap *again;
  gint32 unit;

  (void) state;
  cc_slicemap_add (m, "s0", "", "a");
  for (guint i = 0; i < 4; i++)
    cc_slicemap_at (m, i)->server = 0;
  unit = cc_moves_split (m, hot, 0);
  assert_int_equal (unit, 4);
  assert_int_equal (cc_slicemap_unit (m, hot), 4);
  assert_int_equal (cc_slicemap_unit (m, other), 1);
  assert_null (cc_slicemap_owner (m, 4));
  assert_null (cc_slicemap_owner (m, 1));
  assert_int_equal (cc_moves_split (m, other, 0), -1);
  text = cc_slicemap_print (m);
  again = cc_slicemap_parse ("p", 9, text);
  assert_int_equal (cc_slicemap_unit (again, hot), 4);
  assert_int_equal (cc_slicemap_hot (again, 4)->unit.epoch,
                    cc_slicemap_hot (m, 4)->unit.epoch);
  cc_slicemap_free (again);
  cc_slicemap_free (m);
}

static void
test_hot_keys_are_bounded (void **state)
{
  CcSliceMap *m = cc_slicemap_new ("p", 256);
  guint n = 0;

  (void) state;
  cc_slicemap_add (m, "s0", "", "a");
  for (guint i = 0; i < 256; i++)
    cc_slicemap_at (m, i)->server = 0;
  for (guint64 i = 0; i < 256; i++)
    n += cc_moves_split (m, i << 56, 0) >= 0;
  assert_int_equal (n, CC_HOT_MAX);
  cc_slicemap_free (m);
}

static const struct
{
  const char *text;
  gboolean is_parsed;
} maps[] = {
  { "{\"servers\":[],\"slices\":[]}", FALSE },
  { "{\"servers\":[],\"slices\":[-1,-1]}", FALSE },
  { "{\"servers\":[],\"slices\":[-1,-1,0]}", TRUE },
  { "{\"servers\":[],\"slices\":[-1,-1,0],\"hot\":[1,1,-1,-1,0]}", TRUE },
  { "{\"servers\":[],\"slices\":[-1,-1,0],\"hot\":[1,1,0,-1,0]}", FALSE },
  { "{\"servers\":[],\"slices\":[0,-1,0]}", FALSE },
  { "{\"servers\":[7],\"slices\":[0,-1,0]}", FALSE },
};

/* Failure: a map that gives a key no unit is in force, and each process that
 * looks up a key in it ends. */
static void
test_maps_have_a_unit_for_each_key (void **state)
{
  static const guint64 hashes[] = { 0, 1, G_MAXUINT64 };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (maps); i++)
    {
      CcSliceMap *m = cc_slicemap_parse ("p", 1, maps[i].text);

      for (guint k = 0; m != NULL && k < G_N_ELEMENTS (hashes); k++)
        if (cc_slicemap_unit (m, hashes[k]) >= cc_slicemap_units (m))
          fail_msg ("%s: key without a unit", maps[i].text);
      if ((m != NULL) != maps[i].is_parsed)
        fail_msg ("%s: parsed %d", maps[i].text, m != NULL);
      cc_slicemap_free (m);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_units),
    cmocka_unit_test (test_maps_have_a_unit_for_each_key),
    cmocka_unit_test (test_hot_keys_are_bounded),
    cmocka_unit_test (test_one_owner),
  };

  return cmocka_run_group_tests_name ("slicemap", tests, NULL, NULL);
}
