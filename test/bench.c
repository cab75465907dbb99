/* Runs the decisions under load and a naive version over the same seeded
 * arrivals, as discrete events without network, and prints what callers
 * received.  bench [SEED [SCENARIO]]
 *
 * Naive: accept all, first in first out, four slots for ever, three tries
 * each.  A server has four slots and works half to one and a half times its
 * class's mean; a frozen one takes attempts and never answers. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "metrics.h"

#define SECONDS 6
#define COUNTED_FROM                                                           \
  (1 * CC_SECOND) /* limits and estimates are warm by then                     \
                   */
#define SLOTS 4
#define TENANTS 40
#define KEYS 2000
#define NAIVE_TRIES 3
#define TICK (20 * CC_MS) /* of the dispatcher */

typedef struct
{
  const char *name;
  guint servers;
  gint64 work;    /* mean, us */
  gint64 within;  /* us */
  gint64 timeout; /* us */
  gboolean once_only;
} Class;

static const Class classes[] = {
  { "browse", 18, 4000, 100000, 2000000, FALSE },
  { "book once", 10, 12000, 250000, 5000000, TRUE },
  { "pay once", 6, 8000, 150000, 3000000, TRUE },
  { "look up", 16, 4000, 80000, 1500000, FALSE },
  { "authorise once", 12, 12000, 250000, 5000000, TRUE },
  { "invoice once", 6, 8000, 200000, 5000000, TRUE },
};

/* Loads as multiples of capacity; shares of all requests. */
typedef struct
{
  const char *name;
  double load;       /* all the time */
  double burst;      /* from second 2 to 3 in place of it; 0: none */
  double hot_tenant; /* of one caller */
  double hot_key;    /* of one key, another each second */
  double long_jobs;  /* of jobs LONG_TIMES as long */
  double slow;       /* factor of server 0's work; 0: none */
  gboolean frozen;   /* server 0, from second 2 on */
} Scenario;

#define LONG_TIMES 20

static const Scenario scenarios[] = {
  { "healthy", 0.6, 0, 0, 0, 0, 0, FALSE },
  { "burst x10", 0.3, 3.0, 0, 0, 0, 0, FALSE },
  { "hot caller", 1.5, 0, 0.7, 0, 0, 0, FALSE },
  { "hot key", 0.6, 0, 0, 0.25, 0, 0, FALSE },
  { "slow server", 0.6, 0, 0, 0, 0, 3.0, FALSE },
  { "frozen server", 0.6, 0, 0, 0, 0, 0, TRUE },
  { "long jobs", 0.6, 0, 0, 0, 0.02, 0, FALSE },
  { "long jobs 0.9", 0.9, 0, 0, 0, 0.02, 0, FALSE },
  { "long jobs 1.5", 1.5, 0, 0, 0, 0.02, 0, FALSE },
  { "overload x1.5", 1.5, 0, 0, 0, 0, 0, FALSE },
  { "overload x3", 3.0, 0, 0, 0, 0, 0, FALSE },
};

typedef enum
{
  STATE_QUEUED,
  STATE_SENT,
  STATE_ENDED
} State;

typedef struct Attempt Attempt;

typedef struct
{
  gint64 at;
  gint64 work;
  guint tenant;
  guint key;
  gboolean is_long;
  CcWaiting waiting;
  State state;
  gint64 expires;
  guint tries;
  Attempt *attempt;
} Request;

struct Attempt
{
  Request *request; /* NULL: nobody waits any more */
  guint server;
  gint64 work;
};

typedef struct
{
  CcLoad load;
  GQueue naive;   /* of Request */
  guint sent;     /* naive: attempts out */
  GQueue waiting; /* of Attempt, in the server */
  guint working;  /* of its slots */
} Server;

typedef enum
{
  EVENT_DONE,
  EVENT_EXPIRED,
  EVENT_TICK
} EventKind;

typedef struct
{
  gint64 at;
  EventKind kind;
  gpointer item;
} Event;

typedef struct
{
  CcHistogram answered;
  CcHistogram told; /* from arrival to refusal */
  guint64 counted, in_target, refused, unknown;
  guint64 other,
      other_in_target;    /* all but the hot caller, hot key and long jobs */
  double tenant[TENANTS]; /* in target */
} Result;

typedef struct
{
  const Class *class;
  const Scenario *scenario;
  gboolean ours;
  Server *servers;
  GSequence *events;
  gint64 now;
  Result r;
} Run;

static gint
by_time (gconstpointer a, gconstpointer b, gpointer unused)
{
  const Event *x = a, *y = b;

  return x->at <= y->at ? -1 : 1;
}

static void
schedule (Run *run, gint64 at, EventKind kind, gpointer item)
{
  Event *e = g_new (Event, 1);

  *e = (Event){ at, kind, item };
  g_sequence_insert_sorted (run->events, e, by_time, NULL);
}

static guint
hot_key_at (gint64 at)
{
  return (guint) (at / CC_SECOND) * 7 % KEYS;
}

static gboolean
is_hot (const Scenario *s, const Request *q)
{
  return (s->hot_tenant > 0 && q->tenant == 0) || q->is_long ||
         (s->hot_key > 0 && q->key == hot_key_at (q->at));
}

static void
count (Run *run, const Request *q, gboolean ran, gint64 took)
{
  gboolean good = ran && took <= run->class->within;

  if (q->at < COUNTED_FROM)
    return;
  run->r.counted++;
  run->r.in_target += good;
  if (good)
    run->r.tenant[q->tenant]++;
  if (ran)
    cc_histogram_add (&run->r.answered, took);
  if (is_hot (run->scenario, q))
    return;
  run->r.other++;
  run->r.other_in_target += good;
}

static void
refuse (Run *run, Request *q)
{
  q->state = STATE_ENDED;
  count (run, q, FALSE, 0);
  if (q->at < COUNTED_FROM)
    return;
  run->r.refused++;
  cc_histogram_add (&run->r.told, run->now - q->at);
}

static gboolean
is_frozen (const Run *run, guint server)
{
  return run->scenario->frozen && server == 0 && run->now >= 2 * CC_SECOND;
}

static void
work (Run *run, guint server)
{
  Server *s = &run->servers[server];

  while (s->working < SLOTS && s->waiting.length > 0 &&
         !is_frozen (run, server))
    {
      Attempt *a = g_queue_pop_head (&s->waiting);

      if (a->request == NULL)
        {
          g_free (a);
          continue;
        }
      s->working++;
      schedule (run, run->now + a->work, EVENT_DONE, a);
    }
}

static void
send (Run *run, Request *q)
{
  guint server = q->key % run->class->servers;
  double slow =
      server == 0 && run->scenario->slow > 0 ? run->scenario->slow : 1;
  Attempt *a = g_new0 (Attempt, 1);

  a->request = q;
  a->server = server;
  a->work = (gint64) ((double) q->work * slow);
  q->attempt = a;
  q->state = STATE_SENT;
  q->tries++;
  g_queue_push_tail (&run->servers[server].waiting, a);
  work (run, server);
}

static void
pump (Run *run, guint server)
{
  Server *s = &run->servers[server];
  CcWaiting *w;
  Request *q;

  if (run->ours)
    while ((w = cc_load_next (&s->load, NULL, NULL, run->now)) != NULL)
      send (run, w->item);
  while (!run->ours && s->sent < SLOTS &&
         (q = g_queue_pop_head (&s->naive)) != NULL)
    {
      s->sent++;
      send (run, q);
    }
}

static void
arrive (Run *run, Request *q)
{
  guint server = q->key % run->class->servers;
  Server *s = &run->servers[server];

  q->state = STATE_QUEUED;
  q->expires = run->now + run->class->timeout;
  schedule (run, q->expires, EVENT_EXPIRED, q);
  if (!run->ours)
    g_queue_push_tail (&s->naive, q);
  else
    {
      q->waiting = (CcWaiting){ .due = run->now + run->class->within,
                                .arrived = run->now,
                                .class_id = 1,
                                .kind = 1 + (guint) q->is_long,
                                .tenant = q->tenant + 1,
                                .slice = q->key + 1,
                                .within = run->class->within,
                                .left = run->class->timeout,
                                .once_only = run->class->once_only,
                                .item = q };
      if (!cc_load_offer (&s->load, &q->waiting, run->now).admitted)
        refuse (run, q);
    }
  pump (run, server);
}

static void
slot_back (Run *run, guint server, Request *q, CcLoadEnd end)
{
  Server *s = &run->servers[server];

  q->attempt = NULL;
  if (run->ours)
    cc_load_done (&s->load, &q->waiting, end, run->now);
  else
    s->sent--;
}

static void
on_done (Run *run, Attempt *a)
{
  guint server = a->server;
  Request *q = a->request;

  if (is_frozen (run, server))
    return;
  run->servers[server].working--;
  if (q != NULL)
    {
      slot_back (run, server, q, CC_LOAD_ANSWERED);
      q->state = STATE_ENDED;
      count (run, q, TRUE, run->now - q->at);
    }
  g_free (a);
  work (run, server);
  pump (run, server);
}

static void
give_up (Run *run, Request *q)
{
  if (!run->ours && q->tries < NAIVE_TRIES)
    {
      arrive (run, q);
      return;
    }
  q->state = STATE_ENDED;
  count (run, q, FALSE, 0);
  run->r.unknown += q->at >= COUNTED_FROM;
}

static void
on_expired (Run *run, Request *q)
{
  guint server = q->key % run->class->servers;

  if (run->now < q->expires || q->state == STATE_ENDED)
    return;
  if (q->state == STATE_SENT)
    {
      q->attempt->request = NULL;
      slot_back (run, server, q, CC_LOAD_CANCELLED);
      give_up (run, q);
    }
  else if (run->ours)
    {
      cc_queue_remove (&run->servers[server].load.queue, &q->waiting);
      refuse (run, q);
    }
  else
    {
      q->tries++;
      g_queue_remove (&run->servers[server].naive, q);
      give_up (run, q);
    }
  pump (run, server);
}

/* What the dispatcher does every tick: a stalled server's queue is refused. */
static void
on_tick (Run *run)
{
  for (guint i = 0; run->ours && i < run->class->servers; i++)
    {
      CcLoad *l = &run->servers[i].load;
      g_autoptr (GPtrArray) items = NULL;

      pump (run, i);
      if (!cc_load_stalled (l, run->now))
        continue;
      items = cc_queue_items (&l->queue);
      for (guint k = 0; k < items->len; k++)
        {
          CcWaiting *w = items->pdata[k];

          cc_queue_remove (&l->queue, w);
          refuse (run, w->item);
        }
    }
  if (run->now < (SECONDS + 1) * CC_SECOND)
    schedule (run, run->now + TICK, EVENT_TICK, NULL);
}

static void
handle (Run *run, const Event *e)
{
  run->now = e->at;
  switch (e->kind)
    {
    case EVENT_DONE:
      on_done (run, e->item);
      break;
    case EVENT_EXPIRED:
      on_expired (run, e->item);
      break;
    case EVENT_TICK:
      on_tick (run);
      break;
    }
}

static double
draw_load (const Scenario *s, gint64 at)
{
  return s->burst > 0 && at >= 2 * CC_SECOND && at < 3 * CC_SECOND ? s->burst
                                                                   : s->load;
}

static double
mean_work (const Class *c, const Scenario *s)
{
  return (double) c->work * (1 + s->long_jobs * (LONG_TIMES - 1));
}

/* Requests a second that all servers can do. */
static double
capacity (const Class *c, const Scenario *s)
{
  double slow = s->slow > 0 ? 1 - 1 / s->slow : 0;
  double lost = s->frozen ? 1 : slow;

  return ((double) c->servers - lost) * SLOTS * 1e6 / mean_work (c, s);
}

static GArray *
draw_arrivals (const Class *c, const Scenario *s, guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  GArray *all = g_array_new (FALSE, TRUE, sizeof (Request));
  double full = (double) c->servers * SLOTS * 1e6 / mean_work (c, s);
  double at = 0;

  for (;;)
    {
      Request q = { 0 };

      at += -log (1 - g_rand_double (rand)) * 1e6 /
            (full * draw_load (s, (gint64) at));
      q.at = (gint64) at;
      if (q.at >= SECONDS * CC_SECOND)
        break;
      q.tenant = g_rand_double (rand) < s->hot_tenant
                     ? 0
                     : (guint) g_rand_int_range (rand, 0, TENANTS);
      q.key = g_rand_double (rand) < s->hot_key
                  ? hot_key_at (q.at)
                  : (guint) g_rand_int_range (rand, 0, KEYS);
      q.is_long = g_rand_double (rand) < s->long_jobs;
      q.work = (gint64) ((double) c->work * (q.is_long ? LONG_TIMES : 1) *
                         g_rand_double_range (rand, 0.5, 1.5));
      g_array_append_val (all, q);
    }
  g_rand_free (rand);
  return all;
}

static void
run_events (Run *run, gint64 until)
{
  GSequenceIter *first = g_sequence_get_begin_iter (run->events);

  while (!g_sequence_iter_is_end (first) &&
         ((Event *) g_sequence_get (first))->at <= until)
    {
      Event e = *(Event *) g_sequence_get (first);

      g_sequence_remove (first);
      handle (run, &e);
      first = g_sequence_get_begin_iter (run->events);
    }
}

static void
run_side (Run *run, const GArray *arrivals)
{
  g_autofree Request *requests =
      g_memdup2 (arrivals->data, arrivals->len * sizeof (Request));

  run->servers = g_new0 (Server, run->class->servers);
  run->events = g_sequence_new (g_free);
  for (guint i = 0; i < run->class->servers; i++)
    cc_load_init (&run->servers[i].load);
  schedule (run, 0, EVENT_TICK, NULL);
  for (guint i = 0; i < arrivals->len; i++)
    {
      run_events (run, requests[i].at);
      run->now = requests[i].at;
      arrive (run, &requests[i]);
    }
  run_events (run, G_MAXINT64);
  for (guint i = 0; i < run->class->servers; i++)
    cc_load_clear (&run->servers[i].load);
  g_sequence_free (run->events);
  g_free (run->servers);
}

/* Jain's index of what tenants got within the target, without the hot one. */
static double
fairness (const Result *r, gboolean hot)
{
  double sum = 0, squares = 0;
  guint from = hot ? 1 : 0;

  for (guint i = from; i < TENANTS; i++)
    {
      sum += r->tenant[i];
      squares += r->tenant[i] * r->tenant[i];
    }
  return squares > 0 ? sum * sum / ((TENANTS - from) * squares) : 0;
}

static double
ms (const CcHistogram *h, double share)
{
  return (double) cc_histogram_quantile (h, share) / 1000;
}

static void
print_result (const Run *run)
{
  const Result *r = &run->r;
  double seconds = SECONDS - (double) COUNTED_FROM / 1e6;
  double all = (double) MAX (r->counted, 1);

  printf ("%-14s %-14s %-5s %6.1f %6.1f %7.1f %7.1f %7.1f %6.1f %6.1f %6.1f "
          "%5.2f %6.1f\n",
          run->scenario->name, run->class->name, run->ours ? "ours" : "naive",
          100 * (double) r->in_target / seconds /
              capacity (run->class, run->scenario),
          100 * (double) r->in_target / all, ms (&r->answered, 0.5),
          ms (&r->answered, 0.99), ms (&r->answered, 0.999),
          100 * (double) r->refused / all, ms (&r->told, 0.99),
          100 * (double) r->unknown / all,
          fairness (r, run->scenario->hot_tenant > 0),
          100 * (double) r->other_in_target / (double) MAX (r->other, 1));
}

static void
run_both (const Class *c, const Scenario *s, guint32 seed)
{
  g_autoptr (GArray) arrivals = draw_arrivals (c, s, seed);

  for (guint ours = 0; ours < 2; ours++)
    {
      g_autofree Run *run = g_new0 (Run, 1);

      run->class = c;
      run->scenario = s;
      run->ours = ours != 0;
      run_side (run, arrivals);
      print_result (run);
    }
}

int
main (int argc, char **argv)
{
  guint32 seed = argc > 1 ? (guint32) atoi (argv[1]) : 1;
  const char *only = argc > 2 ? argv[2] : "";

  printf ("seed %u; goodput: answered within target, %% of capacity and of "
          "offered; p50, p99, p99.9 of answers, ms;\nrefused %%, told after ms "
          "(p99), unknown %%; Jain's index of tenants, others' in-target %%\n",
          seed);
  printf ("%-14s %-14s %-5s %6s %6s %7s %7s %7s %6s %6s %6s %5s %6s\n",
          "scenario", "class", "", "good", "of off", "p50", "p99", "p99.9",
          "refuse", "told", "unkn", "jain", "others");
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    for (guint k = 0; k < G_N_ELEMENTS (classes); k++)
      if (strstr (scenarios[i].name, only) != NULL)
        run_both (&classes[k], &scenarios[i], seed);
  return 0;
}
