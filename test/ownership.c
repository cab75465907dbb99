/* Dispatchers, assigners, servers and a table in one thread, on a clock that
 * jumps by ticks.  They use the real lease, holding, assignment, slice map and
 * view; the network, the table and the servers are a list of events, each of
 * which may be late, lost or out of order.  Processes are paused and lost.
 *
 * The model that judges is obviously right: it sees every effect at every
 * server with its true time.  Two servers never have effects for a slice at
 * overlapping times; no effect has an older epoch than one before it; whoever
 * sends has a lease row that stands in the table at that moment; epochs and
 * terms in the table only go up, and a slice that has an owner keeps one. */
#include "ownership.h"

#include <stdio.h>
#include <string.h>

#include "assignment.h"
#include "holding.h"
#include "lease.h"
#include "view.h"

#define POOL "p"
#define DISPATCHERS 3
#define ASSIGNERS 2
#define SERVERS 4
#define SLICES 8
#define PEERS (DISPATCHERS + ASSIGNERS)
#define TICK (10 * CC_MS)
#define CHAOS (12 * CC_SECOND) /* faults begin within this time */
#define QUIET (12 * CC_SECOND) /* none after it; all is served at its end */
#define WALL (1700000000 * CC_SECOND)
#define CALL_TIMEOUT (700 * CC_MS)
#define LONGEST (3 * CC_SECOND) /* deadline of a request */

typedef enum
{
  EV_COMMIT, /* to the table: a transaction */
  EV_READ,   /* to the table: one lease row */
  EV_POLL,   /* to the table: changes */
  EV_DONE,   /* to a process: how its call ended */
  EV_ROWS,   /* to a process: changes, from the table or a peer */
  EV_SYNC,   /* to a peer: send rows */
  EV_GRANT,  /* to a server */
  EV_ACK,    /* to a dispatcher: a grant arrived */
  EV_WORK,   /* to a server */
  EV_ANSWER, /* to a dispatcher: work ended */
  EV_REPORT  /* to an assigner */
} EventKind;

typedef struct
{
  EventKind kind;
  gint64 due;
  guint from, to; /* peer, or server */
  guint64 life;   /* of the receiver it is meant for; 0: any */
  guint64 call;   /* matches an answer to its question */
  char *keys[2];  /* of a transaction's rows; of a READ */
  char *values[2];
  guint64 version; /* checked; written; or of the row read */
  gboolean checked;
  CcStatus status;
  guint64 since, upto;
  GVariant *rows;
  guint server, slice;
  guint64 epochs[SLICES]; /* of a grant; 0: not granted */
  guint64 term, serial, applied;
  gint64 sent, deadline;
  gboolean lost, refused;
  gboolean waited; /* inside a paused process */
} Event;

typedef struct
{
  guint64 id; /* of the attempt */
  guint slice;
  gint64 deadline;
} Attempt;

typedef struct
{
  CcHolding *holding;
  gboolean granting;
  gint64 grant_due, report_due;
  guint64 reported;
  GArray *attempts;
} Held;

/* A dispatcher or an assigner. */
typedef struct
{
  guint index;
  gboolean alive;
  guint64 life;
  gint64 paused_until, restart_at, skew;
  gint64 deaf_until; /* polls fail, peers are heard in part */
  CcView view;
  gint64 poll_due, sync_due, step_due;
  guint64 told[PEERS]; /* rows sent to each peer, up to here */
  guint64 call;        /* in progress, 0: none */
  gint64 call_until;
  gboolean doubtful;
  /* dispatcher */
  char *id;
  guint count;
  CcLease lease;
  gboolean draining, drain_written;
  Held *held[SERVERS];
  CcSliceMap *map;
  /* assigner */
  GHashTable *watches, *reports;
  CcPlanner *planner;
  gboolean leaving[SERVERS], listed[SERVERS];
  gint64 list_due;
} Peer;

typedef struct
{
  guint slice;
  guint64 epoch, term, id;
  gint64 begun, ends, deadline;
  guint from;
  guint64 life;
} Work;

typedef struct
{
  guint index;
  gboolean alive, checks, leaving;
  gint64 paused_until, restart_at, skew;
  guint64 term;
  gint64 lapses;
  guint64 epochs[SLICES];
  GArray *works;
} Server;

/* What the model knows of a slice. */
typedef struct
{
  gint64 ended[SERVERS]; /* last effect at each */
  guint64 epoch;         /* highest of an effect */
  gint64 last;           /* any effect */
} Truth;

typedef struct
{
  GRand *rand;
  Omission omit;
  gint64 now;
  GPtrArray *events;
  CcView table;
  guint64 last;
  gint64 down_until, slow_until;
  Peer peers[PEERS];
  Server servers[SERVERS];
  Truth truth[SLICES];
  guint64 ids;
  Verdict verdict;
} World;

static gboolean
chance (World *w, double p)
{
  return g_rand_double (w->rand) < p;
}

static gint64
span (World *w, gint64 low, gint64 high)
{
  return low + (gint64) (g_rand_double (w->rand) * (double) (high - low));
}

static gint64
wall (const World *w, gint64 skew)
{
  return WALL + w->now + skew;
}

G_GNUC_PRINTF (2, 3)
static void
fault (World *w, const char *format, ...)
{
  va_list args;

  w->verdict.faults++;
  if (w->verdict.first != NULL)
    return;
  va_start (args, format);
  w->verdict.first = g_strdup_vprintf (format, args);
  va_end (args);
}

static void
event_free (gpointer data)
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

/* Puts E on its way: mostly quick, now and then seconds late, or never. */
static void
post (World *w, Event *e)
{
  double p = g_rand_double (w->rand);
  gboolean rough = w->now < CHAOS;

  if (rough && p < (e->kind == EV_ROWS && e->call == 0 ? 0.3 : 0.02))
    {
      event_free (e);
      return;
    }
  e->due = w->now + span (w, CC_MS, 15 * CC_MS);
  if (rough && p > 0.98)
    e->due += span (w, 0, 4 * CC_SECOND);
  g_ptr_array_add (w->events, e);
}

static Event *
event (EventKind kind, guint from, guint to)
{
  Event *e = g_new0 (Event, 1);

  e->kind = kind;
  e->from = from;
  e->to = to;
  return e;
}

static Event *
begin_call (World *w, Peer *p, EventKind kind)
{
  Event *e = event (kind, p->index, 0);

  p->call = e->call = ++w->ids;
  p->call_until = w->now + CALL_TIMEOUT;
  e->life = p->life;
  return e;
}

/* The table. */

static guint64
version_of (const World *w, const char *key)
{
  const CcRow *row = cc_view_get (&w->table, key);

  return row != NULL ? row->version : 0;
}

/* An acknowledged assignment survives: nothing in it goes back. */
static void
judge_map (World *w, const char *before, const char *after)
{
  g_autoptr (GHashTable) terms = g_hash_table_new (g_str_hash, g_str_equal);
  CcSliceMap *a = cc_slicemap_parse (POOL, 1, before);
  CcSliceMap *b = cc_slicemap_parse (POOL, 2, after);

  for (guint i = 0; i < SLICES; i++)
    {
      if (cc_slicemap_at (b, i)->epoch < cc_slicemap_at (a, i)->epoch)
        fault (w, "%" G_GINT64_FORMAT ": epoch of %u goes back", w->now, i);
      if (cc_slicemap_at (a, i)->server >= 0 &&
          cc_slicemap_at (b, i)->server < 0)
        fault (w, "%" G_GINT64_FORMAT ": owner of %u is forgotten", w->now, i);
    }
  for (guint i = 0; i < a->servers->len; i++)
    {
      const CcMapServer *s = a->servers->pdata[i];
      gint32 j = cc_slicemap_find (b, s->name);

      if (j >= 0 && cc_slicemap_server (b, j)->term < s->term)
        fault (w, "%" G_GINT64_FORMAT ": a term goes back", w->now);
    }
  cc_slicemap_free (a);
  cc_slicemap_free (b);
}

static void
commit (World *w, const Event *e, Event *done)
{
  if (e->checked && version_of (w, e->keys[0]) != e->version)
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
          w->verdict.moves++;
          if (row != NULL)
            judge_map (w, row->value, e->values[i]);
        }
      cc_view_put (&w->table, e->keys[i], w->last, e->values[i]);
    }
}

static GVariant *
rows_since (const CcView *v, guint64 since, gboolean leases)
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

static void
table_serves (World *w, const Event *e)
{
  Event *done = event (e->kind == EV_POLL ? EV_ROWS : EV_DONE, 0, e->from);
  const CcRow *row;

  done->call = e->call;
  done->life = e->life;
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
      done->rows = rows_since (&w->table, e->since, e->from >= DISPATCHERS);
    }
  if (w->now < w->down_until && done->kind == EV_ROWS)
    event_free (done);
  else
    post (w, done);
}

/* Dispatchers. */

static void
choose_id (Peer *p)
{
  g_free (p->id);
  p->id = g_strdup_printf ("d%u.%" G_GUINT64_FORMAT ".%u", p->index, p->life,
                           ++p->count);
  cc_lease_init (&p->lease);
  p->drain_written = FALSE;
}

static void
held_free (Held *h)
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
  Event *e = begin_call (w, p, EV_COMMIT);

  e->keys[0] = g_strconcat ("lease/", p->id, NULL);
  e->values[0] = g_strdup_printf ("%" G_GUINT64_FORMAT, sequence);
  e->checked = TRUE;
  e->version = p->lease.version;
  if (!p->lease.registered || p->draining != p->drain_written)
    {
      e->keys[1] = g_strconcat ("member/", p->id, NULL);
      e->values[1] = g_strdup (p->draining ? "drain" : "live");
    }
  post (w, e);
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
settle_doubt (World *w, Peer *p, const Event *e)
{
  p->doubtful = FALSE;
  if (e->values[0] != NULL)
    cc_lease_found (&p->lease, e->version,
                    g_ascii_strtoull (e->values[0], NULL, 10));
  else
    {
      cc_lease_missing (&p->lease);
      choose_id (p);
    }
}

static void
dispatcher_done (World *w, Peer *p, const Event *e)
{
  if (p->doubtful && e->keys[0] != NULL && e->status == CC_OK)
    settle_doubt (w, p, e);
  else if (p->doubtful)
    return;
  else if (e->status == CC_OK)
    renewed (w, p, e->version);
  else
    p->doubtful = TRUE;
}

static void
tick_lease (World *w, Peer *p)
{
  if (p->call != 0 && w->now >= p->call_until)
    {
      p->call = 0;
      p->doubtful = TRUE;
    }
  if (p->call != 0)
    return;
  if (p->doubtful)
    {
      Event *e = begin_call (w, p, EV_READ);

      e->keys[0] = g_strconcat ("lease/", p->id, NULL);
      post (w, e);
    }
  else if (cc_lease_is_due (&p->lease, w->now))
    write_lease (w, p);
}

static Held *
take_server (World *w, const Peer *p, const CcMapServer *s, guint index)
{
  Held *h = g_new0 (Held, 1);
  gint64 quiet = s->term == 1 ? 0 : wall (w, p->skew) + CC_SKEW_MAX + LONGEST;

  h->holding =
      cc_holding_new (POOL, s, w->servers[index].checks, w->now, quiet);
  h->attempts = g_array_new (FALSE, FALSE, sizeof (Attempt));
  return h;
}

static void
update_server (World *w, Peer *p, gint32 i)
{
  const CcMapServer *s = cc_slicemap_server (p->map, i);
  guint index = (guint) (s->name[0] - '0');
  gboolean mine = g_str_equal (s->dispatcher, p->id) && s->from[0] == '\0';
  gboolean leaving = g_str_equal (s->from, p->id);
  Held **h = &p->held[index];

  if (*h == NULL && (mine || leaving))
    *h = take_server (w, p, s, index);
  if (*h == NULL)
    return;
  if (!mine && !leaving)
    {
      held_free (*h);
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
        held_free (p->held[i]);
        p->held[i] = NULL;
      }
}

static void
read_map (World *w, Peer *p)
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
  Event *e = event (EV_GRANT, p->index, i);
  GHashTableIter iter;
  gpointer slice, one;

  h->granting = TRUE;
  h->grant_due = w->now + CC_GRANT_PERIOD;
  e->call = h->holding->serial;
  e->life = p->life;
  e->sent = w->now;
  if (cc_holding_may_grant (h->holding, w->now))
    {
      cc_holding_grant_sent (h->holding, w->now);
      e->serial = h->holding->serial;
      e->term = h->holding->term;
      e->deadline = wall (w, p->skew) + CC_GRANT_TTL;
      g_hash_table_iter_init (&iter, h->holding->slices);
      while (g_hash_table_iter_next (&iter, &slice, &one))
        e->epochs[GPOINTER_TO_UINT (slice)] = ((CcHeldSlice *) one)->epoch;
    }
  post (w, e);
}

static void
on_ack (World *w, Peer *p, const Event *e)
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
judge_sender (World *w, const Peer *p)
{
  g_autofree char *key = g_strconcat ("lease/", p->id, NULL);

  if (version_of (w, key) == 0)
    fault (w, "%" G_GINT64_FORMAT ": %s sends without a lease", w->now, p->id);
}

static void
send_work (World *w, Peer *p, guint i, guint slice)
{
  static const gint64 limits[] = { CC_SECOND / 2, 2 * CC_SECOND, LONGEST };
  Held *h = p->held[i];
  Event *e = event (EV_WORK, p->index, i);
  const CcHeldSlice *s =
      g_hash_table_lookup (h->holding->slices, GUINT_TO_POINTER (slice));
  Attempt a = { ++w->ids, slice, 0 };

  a.deadline = wall (w, p->skew) +
               limits[g_rand_int_range (w->rand, 0, G_N_ELEMENTS (limits))];
  judge_sender (w, p);
  e->call = a.id;
  e->life = p->life;
  e->slice = slice;
  e->epochs[slice] = s->epoch;
  e->term = h->holding->term;
  e->deadline = a.deadline;
  cc_holding_sent (h->holding, slice);
  g_array_append_val (h->attempts, a);
  post (w, e);
}

static void
end_attempt (Held *h, guint i, gboolean answered)
{
  Attempt a = g_array_index (h->attempts, Attempt, i);

  g_array_remove_index_fast (h->attempts, i);
  cc_holding_done (h->holding, a.slice, a.deadline, answered);
}

static void
on_answer (World *w, Peer *p, const Event *e)
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
  guint64 applied = cc_holding_applied (h->holding, w->now, wall (w, p->skew));

  if (w->omit == OMIT_APPLIED)
    applied = h->holding->map_version;
  if (applied == h->reported && w->now < h->report_due)
    return;
  h->reported = applied;
  h->report_due = w->now + 200 * CC_MS;
  for (guint a = 0; a < ASSIGNERS; a++)
    {
      Event *e = event (EV_REPORT, p->index, DISPATCHERS + a);

      e->server = i;
      e->keys[0] = g_strdup (p->id);
      e->applied = applied;
      e->lost = cc_holding_is_lost (h->holding);
      post (w, e);
    }
}

static void
end_overdue (World *w, Peer *p, Held *h)
{
  gboolean lost = cc_holding_judge (h->holding, w->now) && h->holding->lost;

  for (guint i = h->attempts->len; i-- > 0;)
    if (lost ||
        wall (w, p->skew) >= g_array_index (h->attempts, Attempt, i).deadline)
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
    h->granting = FALSE; /* its call timed out */
  if (!h->granting && w->now >= h->grant_due && h->holding->active && valid)
    send_grant (w, p, i);
  if (valid && h->attempts->len < 4 && chance (w, 0.3) &&
      cc_holding_may_send (h->holding, slice, w->now))
    send_work (w, p, i, slice);
  if (w->omit == OMIT_QUIET)
    h->holding->doubt = FALSE;
  report (w, p, i);
}

static void
tick_dispatcher (World *w, Peer *p)
{
  tick_lease (w, p);
  for (guint i = 0; i < SERVERS; i++)
    if (p->held[i] != NULL)
      tick_held (w, p, i);
}

/* Servers. */

static gboolean
is_granted (const World *w, const Server *s, const Work *k)
{
  if (!s->checks || w->omit == OMIT_GRANT_CHECK)
    return TRUE;
  return k->term == s->term && w->now < s->lapses &&
         s->epochs[k->slice] == k->epoch;
}

static void
on_grant (World *w, Server *s, const Event *e)
{
  Event *ack = event (EV_ACK, 0, e->from);
  gint64 life = CC_GRANT_TTL;

  ack->life = e->life;
  ack->server = s->index;
  ack->serial = e->serial;
  ack->term = e->term;
  ack->sent = e->sent;
  ack->refused = e->term < s->term;
  if (w->omit != OMIT_GRANT_EXPIRY)
    life = MIN (life, e->deadline - wall (w, s->skew));
  if (e->serial != 0 && !ack->refused)
    {
      s->term = e->term;
      s->lapses = w->now + life;
      memcpy (s->epochs, e->epochs, sizeof s->epochs);
    }
  post (w, ack);
}

static void
answer (World *w, const Server *s, const Work *k)
{
  Event *e = event (EV_ANSWER, 0, k->from);

  e->server = s->index;
  e->call = k->id;
  e->life = k->life;
  post (w, e);
}

static void
on_work (World *w, Server *s, const Event *e)
{
  Work k = { .slice = e->slice,
             .epoch = e->epochs[e->slice],
             .term = e->term,
             .id = e->call,
             .begun = w->now,
             .ends = w->now + span (w, 5 * CC_MS, 200 * CC_MS),
             .deadline = e->deadline,
             .from = e->from,
             .life = e->life };

  if (wall (w, s->skew) > e->deadline || !is_granted (w, s, &k))
    answer (w, s, &k);
  else
    g_array_append_val (s->works, k);
}

static void
judge_effect (World *w, const Server *s, const Work *k)
{
  Truth *t = &w->truth[k->slice];

  w->verdict.effects++;
  for (guint i = 0; i < SERVERS; i++)
    if (i != s->index && t->ended[i] > k->begun)
      fault (w, "%" G_GINT64_FORMAT ": slice %u at servers %u and %u at once",
             w->now, k->slice, i, s->index);
  if (k->epoch < t->epoch)
    fault (w, "%" G_GINT64_FORMAT ": slice %u at %u in an older epoch", w->now,
           k->slice, s->index);
  t->ended[s->index] = w->now;
  t->epoch = MAX (t->epoch, k->epoch);
  t->last = w->now;
}

/* Work ends.  A server that doesn't check grants lets all take effect that it
 * has begun, whatever its deadline. */
static void
tick_server (World *w, Server *s)
{
  for (guint i = s->works->len; i-- > 0;)
    {
      Work k = g_array_index (s->works, Work, i);

      if (w->now < k.ends)
        continue;
      g_array_remove_index_fast (s->works, i);
      if (!s->checks || is_granted (w, s, &k))
        judge_effect (w, s, &k);
      answer (w, s, &k);
    }
}

/* Assigners. */

static void
report_free (gpointer data)
{
  g_free (((CcServerReport *) data)->dispatcher);
  g_free (data);
}

static void
on_report (Peer *p, const Event *e)
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
  Event *e = begin_call (w, p, EV_COMMIT);

  e->keys[0] = g_strdup (row->key);
  e->keys[1] = g_strconcat ("member/", row->key + strlen ("lease/"), NULL);
  e->checked = w->omit != OMIT_ROW_CHECK;
  e->version = row->version;
  w->verdict.takeover++;
  post (w, e);
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

  if (cc_planner_step (p->planner, m, &pool, r, p->reports, w->now) > 0)
    {
      Event *e = begin_call (w, p, EV_COMMIT);

      if (w->omit == OMIT_TWO_STEPS)
        skip_first_step (m);
      e->keys[0] = g_strdup ("map/" POOL);
      e->values[0] = cc_slicemap_print (m);
      e->checked = w->omit != OMIT_MAP_CHECK;
      e->version = m->version;
      post (w, e);
    }
  cc_roster_free (r);
  cc_slicemap_free (m);
}

static void
tick_assigner (World *w, Peer *p)
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

/* What dispatchers and assigners share: following the table. */

static void
send_rows (World *w, Peer *p, guint to)
{
  Event *e = event (EV_ROWS, p->index, to);

  e->since = p->told[to];
  e->upto = p->view.upto;
  e->rows = rows_since (&p->view, e->since, TRUE);
  p->told[to] = e->upto;
  post (w, e);
}

static void
on_rows (World *w, Peer *p, const Event *e)
{
  gboolean assigner = p->index >= DISPATCHERS;
  gboolean peer = e->call == 0;
  guint64 upto = peer && assigner ? 0 : e->upto;
  guint64 before = p->view.upto;

  cc_view_apply (&p->view, e->since, upto, e->rows);
  if (assigner)
    return;
  read_map (w, p);
  for (guint i = 0; p->view.upto > before && i < PEERS; i++)
    if (i != p->index)
      send_rows (w, p, i);
}

static void
tick_view (World *w, Peer *p)
{
  Event *e;
  guint other = (guint) g_rand_int_range (w->rand, 0, DISPATCHERS);

  if (w->now >= p->poll_due && w->now >= p->deaf_until)
    {
      p->poll_due = w->now + 200 * CC_MS;
      e = event (EV_POLL, p->index, 0);
      e->call = ++w->ids;
      e->life = p->life;
      e->since = p->view.upto;
      post (w, e);
    }
  if (w->now >= p->sync_due && other != p->index)
    {
      p->sync_due = w->now + 500 * CC_MS;
      e = event (EV_SYNC, p->index, other);
      e->upto = p->view.upto;
      post (w, e);
    }
}

static void
on_done (World *w, Peer *p, const Event *e)
{
  if (e->call != p->call)
    return;
  p->call = 0;
  if (p->index < DISPATCHERS)
    dispatcher_done (w, p, e);
  else
    p->poll_due = 0;
}

static void
peer_takes (World *w, Peer *p, const Event *e)
{
  switch (e->kind)
    {
    case EV_DONE:
      on_done (w, p, e);
      break;
    case EV_ROWS:
      on_rows (w, p, e);
      break;
    case EV_SYNC:
      p->told[e->from] = e->upto;
      send_rows (w, p, e->from);
      break;
    case EV_ACK:
      on_ack (w, p, e);
      break;
    case EV_ANSWER:
      on_answer (w, p, e);
      break;
    case EV_REPORT:
      on_report (p, e);
      break;
    default:
      g_assert_not_reached ();
    }
}

/* The world. */

static void
start_peer (World *w, Peer *p)
{
  p->alive = TRUE;
  p->life = ++w->ids;
  p->skew = span (w, -CC_SKEW_MAX / 2, CC_SKEW_MAX / 2);
  cc_view_init (&p->view);
  p->call = p->poll_due = 0;
  p->doubtful = p->draining = FALSE;
  memset (p->told, 0, sizeof p->told);
  p->watches = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->reports =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, report_free);
  p->planner = cc_planner_new ();
  choose_id (p);
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
  for (guint i = 0; i < SERVERS; i++)
    {
      held_free (p->held[i]);
      p->held[i] = NULL;
    }
}

static void
start_server (World *w, Server *s)
{
  s->alive = TRUE;
  s->leaving = FALSE;
  s->term = 0;
  s->lapses = 0;
  s->skew = span (w, -CC_SKEW_MAX / 2, CC_SKEW_MAX / 2);
}

static gint64
pause_length (World *w)
{
  return w->now +
         span (w, 50 * CC_MS, chance (w, 0.5) ? CC_SECOND : 6 * CC_SECOND);
}

static void
harm_peer (World *w)
{
  Peer *p = &w->peers[g_rand_int_range (w->rand, 0, PEERS)];

  switch (g_rand_int_range (w->rand, 0, 5))
    {
    case 0:
      end_peer (p);
      p->restart_at = w->now + span (w, 0, 4 * CC_SECOND);
      break;
    case 1:
      p->draining = p->alive;
      break;
    case 2:
      p->deaf_until = pause_length (w);
      break;
    default:
      p->paused_until = pause_length (w);
    }
}

static void
harm_server (World *w)
{
  Server *s = &w->servers[g_rand_int_range (w->rand, 0, SERVERS)];

  switch (g_rand_int_range (w->rand, 0, 5))
    {
    case 0:
      s->alive = FALSE;
      g_array_set_size (s->works, 0);
      s->restart_at = w->now + span (w, 0, 4 * CC_SECOND);
      break;
    case 1:
      s->leaving = !s->leaving;
      break;
    default:
      s->paused_until = pause_length (w);
    }
}

static void
harm (World *w)
{
  if (w->now >= CHAOS || !chance (w, 0.015))
    return;
  switch (g_rand_int_range (w->rand, 0, 6))
    {
    case 0:
      w->down_until = pause_length (w);
      break;
    case 1:
    case 2:
      harm_peer (w);
      break;
    default:
      harm_server (w);
    }
}

/* Hands E over.  Returns FALSE if its receiver is paused: it stays. */
static gboolean
deliver (World *w, Event *e)
{
  gboolean to_server = e->kind == EV_GRANT || e->kind == EV_WORK;
  Peer *p = &w->peers[e->to];
  Server *s = to_server ? &w->servers[e->to] : NULL;
  gint64 paused = to_server ? s->paused_until : p->paused_until;

  if (e->kind <= EV_POLL)
    {
      table_serves (w, e);
      return TRUE;
    }
  if (w->now < paused)
    {
      e->waited = TRUE;
      return FALSE;
    }
  w->verdict.thawed += e->waited ? 1 : 0;
  if (to_server && s->alive)
    e->kind == EV_GRANT ? on_grant (w, s, e) : on_work (w, s, e);
  else if (!to_server && p->alive && (e->life == 0 || e->life == p->life))
    peer_takes (w, p, e);
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
          /* what was posted meanwhile stands behind I */
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
  tick_view (w, p);
  if (p->index < DISPATCHERS)
    tick_dispatcher (w, p);
  else
    tick_assigner (w, p);
}

static void
step (World *w)
{
  w->now += TICK;
  harm (w);
  deliver_due (w);
  for (guint i = 0; i < PEERS; i++)
    tick_peer (w, &w->peers[i]);
  for (guint i = 0; i < SERVERS; i++)
    {
      Server *s = &w->servers[i];

      if (!s->alive && w->now >= s->restart_at)
        start_server (w, s);
      if (s->alive && w->now >= s->paused_until)
        tick_server (w, s);
    }
}

static void
heal (World *w)
{
  for (guint i = 0; i < PEERS; i++)
    w->peers[i].draining = FALSE;
  for (guint i = 0; i < SERVERS; i++)
    w->servers[i].leaving = FALSE;
}

/* Runs the schedule that SEED gives, without the safeguard OMIT. */
Verdict
ownership_run (guint32 seed, Omission omit)
{
  World w = { .rand = g_rand_new_with_seed (seed), .omit = omit };

  w.now = CC_SECOND;
  w.events = g_ptr_array_new_with_free_func (event_free);
  cc_view_init (&w.table);
  for (guint i = 0; i < PEERS; i++)
    w.peers[i].index = i;
  for (guint i = 0; i < SERVERS; i++)
    {
      w.servers[i].index = i;
      w.servers[i].checks = seed % 2 == 0;
      w.servers[i].works = g_array_new (FALSE, FALSE, sizeof (Work));
    }
  while (w.now < CHAOS)
    step (&w);
  heal (&w);
  while (w.now < CHAOS + QUIET)
    step (&w);
  for (guint i = 0; i < SLICES; i++)
    w.verdict.unserved += w.truth[i].last < w.now - QUIET / 3;
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
  return w.verdict;
}
