/* Guards against a request that runs twice, and, if nothing is lost, against a
 * repeat answered "unknown" after a move: slices and servers move among
 * processes that are paused or lose their lease, and messages are lost or late.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "outcome_transfer.h"
#include "ownership_moves.h"

#define SEEDS 2000
#define SEEDS_ORDERLY 500
#define STEPS 300
#define START (1750000000 * CC_SECOND)
#define POOL "gate-payment"
#define SLICES 4
#define SERVERS 3
#define PROCESSES 3
#define HASHES 8 /* routing keys, two to a slice */

typedef struct
{
  char id[37];
  guint64 hash; /* of the routing key */
  guint runs;   /* attempts that ran or may have */
} Key;

typedef struct World World;

typedef struct
{
  World *world;
  guint number;
  guint ids; /* how many ids it has had */
  char *id;
  guint64 incarnation;
  gboolean paused;
  CcSliceMap *map; /* as it last read it; NULL: not yet */
  CcOutcomes *outcomes;
  CcTransfer *transfer;
} Process;

typedef struct
{
  guint to;
  guint64 sender;
  GBytes *bytes; /* the encoded message */
} Mail;

struct World
{
  guint32 seed;
  gboolean lossy;
  GRand *rand;
  gint64 now;
  CcSliceMap *map; /* the newest */
  Process p[PROCESSES];
  guint64 applied[SERVERS]; /* as reported by the server's dispatcher */
  GQueue mail;
  GPtrArray *keys;
  guint runs, done, unknown, moves;
};

static gboolean
chance (World *w, gint32 percent)
{
  return g_rand_int_range (w->rand, 0, 100) < percent;
}

static CcSliceMap *
copy_map (const CcSliceMap *m)
{
  g_autofree char *text = cc_slicemap_print (m);

  return cc_slicemap_parse (POOL, m->version, text);
}

static void
new_id (Process *p)
{
  g_free (p->id);
  p->id = g_strdup_printf ("d%u.%u", p->number, ++p->ids);
}

static void
set_text (char **field, const char *value)
{
  g_free (*field);
  *field = g_strdup (value);
}

static Process *
holder_named (World *w, const char *id)
{
  for (guint i = 0; i < PROCESSES; i++)
    if (g_str_equal (w->p[i].id, id))
      return &w->p[i];
  return NULL;
}

/* Servers whose dispatcher has lost its lease go to another at once, under a
 * higher term, unless an older one has yet to stop. */
static void
reassign_lost_servers (World *w)
{
  for (gint32 i = 0; i < SERVERS; i++)
    {
      CcMapServer *s = cc_slicemap_server (w->map, i);

      if (s->from[0] != '\0' && holder_named (w, s->from) == NULL)
        {
          set_text (&s->from, "");
          w->map->version++;
        }
      if (s->from[0] != '\0' || holder_named (w, s->dispatcher) != NULL)
        continue;
      set_text (&s->dispatcher,
                w->p[g_rand_int_range (w->rand, 0, PROCESSES)].id);
      s->term++;
      w->applied[i] = 0;
      w->map->version++;
    }
}

/* The process continues under another id and keeps its records. */
static void
lose_lease (World *w, Process *p)
{
  new_id (p);
  reassign_lost_servers (w);
}

static CcStatus
queue_message (const char *to, const CcMsgOutcomes *o, gpointer data)
{
  Process *from = data;
  World *w = from->world;
  Process *p = holder_named (w, to);
  CcMessage m = { .kind = CC_MSG_OUTCOMES };
  Mail *mail;

  if (p == NULL)
    return CC_GONE;
  if (chance (w, 5))
    return CC_FULL;
  if (w->lossy && chance (w, 10))
    return CC_OK;
  m.u.outcomes = *o;
  mail = g_new0 (Mail, 1);
  mail->to = p->number;
  mail->sender = from->incarnation;
  mail->bytes = cc_wire_encode (&m);
  g_queue_push_tail (&w->mail, mail);
  return CC_OK;
}

static void
deliver_one (World *w)
{
  Mail *mail = g_queue_pop_head (&w->mail);
  CcMessage m;

  assert_int_equal (cc_wire_decode (mail->bytes, &m), CC_OK);
  cc_transfer_receive (w->p[mail->to].transfer, &m.u.outcomes, mail->sender);
  cc_message_clear (&m);
  g_bytes_unref (mail->bytes);
  g_free (mail);
}

static gboolean
holds (const Process *p, guint slice)
{
  const CcMapServer *s =
      p->map != NULL ? cc_slicemap_owner (p->map, slice) : NULL;

  return s != NULL && s->from[0] == '\0' &&
         cc_slicemap_at (p->map, slice)->from < 0 &&
         g_str_equal (s->dispatcher, p->id);
}

/* P reads the newest map: stops the slices that it lost, sends their records to
 * the next holders, reports that, and begins the slices that it holds now. */
static void
read_map (World *w, Process *p)
{
  if (p->paused)
    return;
  if (p->map != NULL)
    cc_slicemap_free (p->map);
  p->map = copy_map (w->map);
  for (gint32 i = 0; i < SERVERS; i++)
    {
      const CcMapServer *s = cc_slicemap_server (p->map, i);

      if (!g_str_equal (s->from[0] != '\0' ? s->from : s->dispatcher, p->id))
        continue; /* P is not its present holder */
      if (cc_transfer_stopped (p->transfer, p->map, s->name, p->id,
                               queue_message, p))
        w->applied[i] = p->map->version;
    }
  for (guint i = 0; i < cc_slicemap_units (p->map); i++)
    if (holds (p, i))
      cc_transfer_held (p->transfer, p->map, i, w->now);
}

/* Whether no move is in progress.  Orderly moves follow one another: if a
 * second one begins before the first is complete, read by all and followed by
 * the records, those may be at a process that is not the holder, and "unknown"
 * is the correct answer. */
static gboolean
is_stable (World *w)
{
  if (!g_queue_is_empty (&w->mail))
    return FALSE;
  for (guint i = 0; i < PROCESSES; i++)
    if (w->p[i].map == NULL || w->p[i].map->version != w->map->version)
      return FALSE;
  for (guint i = 0; i < cc_slicemap_units (w->map); i++)
    if (cc_slicemap_owner (w->map, i) == NULL ||
        cc_slicemap_owner (w->map, i)->from[0] != '\0')
      return FALSE;
  return TRUE;
}

static void
move_server (World *w)
{
  gint32 i = g_rand_int_range (w->rand, 0, SERVERS);
  CcMapServer *s = cc_slicemap_server (w->map, i);
  Process *to = &w->p[g_rand_int_range (w->rand, 0, PROCESSES)];

  if (s->from[0] != '\0' || g_str_equal (s->dispatcher, to->id))
    return;
  set_text (&s->from, s->dispatcher);
  set_text (&s->dispatcher, to->id);
  s->term++;
  w->map->version++;
  w->moves++;
}

static void
move_slice (World *w)
{
  CcMapSlice *s =
      cc_slicemap_at (w->map, (guint) g_rand_int_range (w->rand, 0, SLICES));
  gint32 to = g_rand_int_range (w->rand, 0, SERVERS);

  if (s->from >= 0 || to == s->server)
    return;
  s->from = s->server;
  s->server = to;
  s->epoch++;
  w->map->version++;
  w->moves++;
}

/* Splits a key out of its slice into its own unit, or merges a unit back. */
static void
split_or_fold (World *w)
{
  guint units = cc_slicemap_units (w->map);
  const Key *k;
  gint32 to = g_rand_int_range (w->rand, 0, SERVERS);
  gboolean done;

  if (w->keys->len == 0)
    return;
  k = w->keys->pdata[g_rand_int_range (w->rand, 0, (gint32) w->keys->len)];
  if (w->lossy && units > SLICES && chance (w, 50))
    done = cc_moves_fold (
        w->map, SLICES + (guint) g_rand_int_range (w->rand, 0,
                                                   (gint32) (units - SLICES)));
  else
    done = cc_moves_split (w->map, k->hash, to) >= 0;
  w->map->version += done ? 1 : 0;
  w->moves += done ? 1 : 0;
}

static gboolean
has_stopped (const World *w, const CcMapSlice *s, guint64 version)
{
  const CcMapServer *from = cc_slicemap_server (w->map, s->from);

  return from != NULL && from->from[0] == '\0' &&
         w->applied[s->from] >= version;
}

static gboolean
is_folding_into (const World *w, guint slice)
{
  for (guint i = SLICES; i < cc_slicemap_units (w->map); i++)
    {
      const CcMapHot *h = cc_slicemap_hot (w->map, i);

      if (h->state == CC_HOT_FOLDING &&
          cc_slicemap_slice (w->map, h->hash) == slice)
        return TRUE;
    }
  return FALSE;
}

static void
complete_unit_moves (World *w, guint64 version)
{
  for (guint i = cc_slicemap_units (w->map); i-- > 0;)
    {
      CcMapSlice *s = cc_slicemap_at (w->map, i);
      CcMapHot *h = cc_slicemap_hot (w->map, i);

      if (!has_stopped (w, s, version) || (h == NULL && is_folding_into (w, i)))
        continue;
      s->from = -1;
      if (h != NULL)
        h->state = h->state == CC_HOT_FOLDING ? CC_HOT_FREE : CC_HOT_SPLIT;
      w->map->version = version + 1;
    }
}

/* Completes moves whose old holder has stopped, as ownership_moves.c does. */
static void
complete_moves (World *w)
{
  guint64 version = w->map->version;

  for (gint32 i = 0; i < SERVERS; i++)
    {
      CcMapServer *s = cc_slicemap_server (w->map, i);

      if (s->from[0] != '\0' && w->applied[i] >= version)
        {
          set_text (&s->from, "");
          w->applied[i] = 0;
          w->map->version = version + 1;
        }
    }
  complete_unit_moves (w, version);
  reassign_lost_servers (w);
}

static Key *
new_key (World *w)
{
  Key *k = g_new0 (Key, 1);
  guint64 ms = (guint64) (w->now / CC_MS);

  g_snprintf (k->id, sizeof k->id, "%08x-%04x-7000-8000-%08x%04x",
              (guint) (ms >> 16), (guint) (ms & 0xffff), g_rand_int (w->rand),
              w->keys->len & 0xffff);
  k->hash =
      (guint64) g_rand_int_range (w->rand, 0, HASHES) * (G_MAXUINT64 / HASHES);
  g_ptr_array_add (w->keys, k);
  return k;
}

static void
run (World *w, Process *p, Key *k, guint unit)
{
  CcOutcomeRecord r = { .outcome = CC_OUTCOME_RUN, .status = 200 };

  if (k->runs > 0)
    {
      print_error ("seed %u: %s ran twice\n", w->seed, k->id);
      fail ();
    }
  cc_outcomes_start (p->outcomes, POOL, unit, k->id, w->now);
  cc_outcomes_finish (p->outcomes, POOL, unit, k->id, &r);
  k->runs++;
  w->runs++;
}

static void
look_up (World *w, Key *k)
{
  const CcOutcomeRecord *kept;

  for (guint i = 0; i < PROCESSES; i++)
    {
      Process *p = &w->p[i];
      guint unit;

      if (p->paused || p->map == NULL)
        continue;
      unit = cc_slicemap_unit (p->map, k->hash);
      if (!holds (p, unit))
        continue;
      switch (
          cc_outcomes_lookup (p->outcomes, POOL, unit, k->id, w->now, &kept))
        {
        case CC_REPEAT_NEW:
          run (w, p, k, unit);
          break;
        case CC_REPEAT_DONE:
          assert_int_equal (k->runs, 1);
          w->done++;
          break;
        case CC_REPEAT_TOO_OLD:
          w->unknown++;
          if (!w->lossy && g_queue_is_empty (&w->mail) && k->runs > 0)
            {
              print_error ("seed %u: no record of %s\n", w->seed, k->id);
              fail ();
            }
          break;
        case CC_REPEAT_RUNNING:
        case CC_REPEAT_AHEAD:
        case CC_REPEAT_MALFORMED:
          fail ();
        }
      return;
    }
}

static void
inject_failure (World *w)
{
  Process *p = &w->p[g_rand_int_range (w->rand, 0, PROCESSES)];

  if (p->paused)
    p->paused = FALSE;
  else if (chance (w, 50))
    p->paused = TRUE;
  else
    lose_lease (w, p);
}

static void
step (World *w)
{
  gint32 what = g_rand_int_range (w->rand, 0, 100);

  if (what < 25)
    look_up (w, new_key (w));
  else if (what < 45 && w->keys->len > 0)
    look_up (
        w,
        w->keys->pdata[g_rand_int_range (w->rand, 0, (gint32) w->keys->len)]);
  else if (what < 65)
    read_map (w, &w->p[g_rand_int_range (w->rand, 0, PROCESSES)]);
  else if (what < 75 && !g_queue_is_empty (&w->mail))
    deliver_one (w);
  else if (what < 82)
    complete_moves (w);
  else if (what < 92 && !w->lossy && !is_stable (w))
    return;
  else if (what < 87)
    move_server (w);
  else if (what < 90)
    move_slice (w);
  else if (what < 92)
    split_or_fold (w);
  else if (what < 94 && w->lossy)
    inject_failure (w);
  else
    w->now += g_rand_int_range (w->rand, 1, 400) * CC_MS;
}

static void
world_init (World *w)
{
  w->rand = g_rand_new_with_seed (w->seed);
  w->now = START;
  w->keys = g_ptr_array_new_with_free_func (g_free);
  w->map = cc_slicemap_new (POOL, SLICES);
  w->map->version = 1;
  for (guint i = 0; i < PROCESSES; i++)
    {
      Process *p = &w->p[i];

      p->world = w;
      p->number = i;
      p->incarnation = 100 + i;
      new_id (p);
      p->outcomes = cc_outcomes_new ();
      p->transfer = cc_transfer_new (p->outcomes);
    }
  for (gint32 i = 0; i < SERVERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("server-%d", i);
      CcMapServer *s;

      cc_slicemap_add (w->map, name, "127.0.0.1:1", "a");
      s = cc_slicemap_server (w->map, i);
      set_text (&s->dispatcher, w->p[i % PROCESSES].id);
      s->term = 1;
    }
  for (guint i = 0; i < SLICES; i++)
    {
      CcMapSlice *s = cc_slicemap_at (w->map, i);

      s->server = (gint32) (i % SERVERS);
      s->from = -1;
      s->epoch = 1;
    }
}

static void
world_clear (World *w)
{
  while (!g_queue_is_empty (&w->mail))
    deliver_one (w);
  for (guint i = 0; i < PROCESSES; i++)
    {
      cc_transfer_free (w->p[i].transfer);
      cc_outcomes_free (w->p[i].outcomes);
      g_clear_pointer (&w->p[i].map, cc_slicemap_free);
      g_free (w->p[i].id);
    }
  cc_slicemap_free (w->map);
  g_ptr_array_unref (w->keys);
  g_rand_free (w->rand);
}

static void
run_seeds (gboolean lossy, guint32 seeds)
{
  guint runs = 0, done = 0, unknown = 0, moves = 0;

  for (guint32 seed = 1; seed <= seeds; seed++)
    {
      World w = { .seed = seed, .lossy = lossy };

      world_init (&w);
      for (guint i = 0; i < STEPS; i++)
        step (&w);
      runs += w.runs;
      done += w.done;
      unknown += w.unknown;
      moves += w.moves;
      world_clear (&w);
    }
  print_message ("# %u runs, %u repeats answered, %u unknown, %u moves\n", runs,
                 done, unknown, moves);
  assert_true (done > seeds && moves > seeds);
}

static void
transfer_lossy (void **state)
{
  (void) state;
  run_seeds (TRUE, SEEDS);
}

static void
transfer_orderly (void **state)
{
  (void) state;
  run_seeds (FALSE, SEEDS_ORDERLY);
}

static void
deliver_all (World *w)
{
  while (!g_queue_is_empty (&w->mail))
    deliver_one (w);
}

/* P, the holder of server 0, reads the map until all records were sent, since a
 * link is full at times. */
static void
stop_server (World *w, Process *p)
{
  while (w->applied[0] != w->map->version)
    read_map (w, p);
}

/* Guards against records lost by two moves in close succession: the holder
 * between them never read a map that names it as the holder. */
static void
an_unread_hold_passes_the_records_on (void **state)
{
  World w = { .seed = 1 };
  const CcOutcomeRecord *kept;
  CcMapServer *s;
  Key *k;

  (void) state;
  world_init (&w);
  for (guint i = 0; i < PROCESSES; i++)
    read_map (&w, &w.p[i]);
  k = new_key (&w);
  k->hash = 0;
  run (&w, &w.p[0], k, 0);
  w.now += CC_SECOND;
  s = cc_slicemap_server (w.map, 0);
  set_text (&s->from, s->dispatcher);
  set_text (&s->dispatcher, w.p[1].id);
  s->term++;
  w.map->version++;
  stop_server (&w, &w.p[0]);
  deliver_all (&w);
  complete_moves (&w);
  cc_moves_start (w.map, 0, 2);
  w.map->version++;
  stop_server (&w, &w.p[1]);
  deliver_all (&w);
  complete_moves (&w);
  read_map (&w, &w.p[2]);
  assert_true (holds (&w.p[2], 0));
  assert_int_equal (
      cc_outcomes_lookup (w.p[2].outcomes, POOL, 0, k->id, w.now, &kept),
      CC_REPEAT_DONE);
  k = new_key (&w);
  w.now += CC_SECOND;
  assert_int_equal (
      cc_outcomes_lookup (w.p[2].outcomes, POOL, 0, k->id, w.now, &kept),
      CC_REPEAT_NEW);
  world_clear (&w);
}

/* Guards against "unknown" for a repeat whose first attempt was answered: the
 * dispatcher held two servers, and the records of the slice were copied to the
 * key's unit when the other one had stopped, with the attempt in progress. */
static void
a_split_copies_the_records_of_ended_attempts (void **state)
{
  World w = { .seed = 1 };
  Process *p = &w.p[0];
  CcOutcomeRecord r = { .outcome = CC_OUTCOME_RUN, .status = 200 };
  const CcOutcomeRecord *kept = NULL;
  gint32 unit;
  Key *k;

  (void) state;
  world_init (&w);
  set_text (&cc_slicemap_server (w.map, 1)->dispatcher, p->id);
  read_map (&w, p);
  k = new_key (&w);
  k->hash = 0;
  cc_outcomes_start (p->outcomes, POOL, 0, k->id, w.now);
  unit = cc_moves_split (w.map, k->hash, 0);
  assert_true (unit > 0);
  w.map->version++;
  assert_true (cc_transfer_stopped (p->transfer, w.map, "server-1", p->id,
                                    queue_message, p));
  cc_outcomes_finish (p->outcomes, POOL, 0, k->id, &r);
  assert_true (cc_transfer_stopped (p->transfer, w.map, "server-0", p->id,
                                    queue_message, p));
  assert_int_equal (
      cc_outcomes_lookup (p->outcomes, POOL, (guint) unit, k->id, w.now, &kept),
      CC_REPEAT_DONE);
  assert_int_equal (kept->outcome, CC_OUTCOME_RUN);
  world_clear (&w);
}

/* Guards against records lost for a hot key that is split out of its slice in
 * the same map version that hands the slice's server to another dispatcher. */
static void
a_split_during_a_handover_copies_the_records (void **state)
{
  World w = { .seed = 1 };
  const CcOutcomeRecord *kept;
  CcMapServer *s;
  guint unit;
  Key *k;

  (void) state;
  world_init (&w);
  for (guint i = 0; i < PROCESSES; i++)
    read_map (&w, &w.p[i]);
  k = new_key (&w);
  k->hash = 0;
  run (&w, &w.p[0], k, 0);
  w.now += CC_SECOND;
  s = cc_slicemap_server (w.map, 0);
  set_text (&s->from, s->dispatcher);
  set_text (&s->dispatcher, w.p[1].id);
  s->term++;
  assert_true (cc_moves_split (w.map, k->hash, 0) > 0);
  w.map->version++;
  stop_server (&w, &w.p[0]);
  deliver_all (&w);
  complete_moves (&w);
  stop_server (&w, &w.p[1]);
  complete_moves (&w);
  read_map (&w, &w.p[1]);
  unit = cc_slicemap_unit (w.map, k->hash);
  assert_true (unit >= SLICES);
  assert_true (holds (&w.p[1], unit));
  assert_int_equal (
      cc_outcomes_lookup (w.p[1].outcomes, POOL, unit, k->id, w.now, &kept),
      CC_REPEAT_DONE);
  world_clear (&w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (transfer_lossy),
    cmocka_unit_test (transfer_orderly),
    cmocka_unit_test (an_unread_hold_passes_the_records_on),
    cmocka_unit_test (a_split_copies_the_records_of_ended_attempts),
    cmocka_unit_test (a_split_during_a_handover_copies_the_records),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
