/* Simulates one run, with the load control of load.c or the naive version: no
 * admission control, FIFO queues, a fixed limit of four attempts in flight per
 * server and up to three attempts at a request.  A server has four slots; work
 * times are 0.5 to 1.5 times the mean of the class.  A frozen server accepts
 * attempts and never answers. */
#include "bench_run.h"

#define NAIVE_TRIES 3
#define TICK (20 * CC_MS) /* the dispatcher's timer */

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

/* Returns the key that is hot at AT; it changes each second. */
guint
hot_key_at (gint64 at)
{
  return (guint) (at / CC_SECOND) * 7 % KEYS;
}

/* Returns whether Q belongs to the hot tenant or key or is a long job. */
static gboolean
is_hot (const Scenario *s, const Request *q)
{
  return (s->hot_tenant > 0 && q->tenant == 0) || q->is_long ||
         (s->hot_key > 0 && q->key == hot_key_at (q->at));
}

/* Counts a completed request that arrived after the warm-up. */
static void
count_result (Run *run, const Request *q, gboolean ran, gint64 took)
{
  gboolean met = ran && took <= run->class->within;

  if (q->at < WARM_UP)
    return;
  run->r.counted++;
  run->r.in_target += met;
  if (met)
    run->r.tenant[q->tenant]++;
  if (ran)
    cc_histogram_add (&run->r.answered, took);
  if (is_hot (run->scenario, q))
    return;
  run->r.regular++;
  run->r.regular_in_target += met;
}

/* Counts Q as refused (not-run). */
static void
refuse (Run *run, Request *q)
{
  q->state = STATE_ENDED;
  count_result (run, q, FALSE, 0);
  if (q->at < WARM_UP)
    return;
  run->r.refused++;
  cc_histogram_add (&run->r.refusal, run->now - q->at);
}

/* Returns the server that owns Q's key. */
static guint
server_of (const Run *run, const Request *q)
{
  return q->key % MAX (run->class->servers, 1);
}

static gboolean
is_frozen (const Run *run, guint server)
{
  return run->scenario->frozen && server == 0 && run->now >= 2 * CC_SECOND;
}

/* Starts waiting attempts while the server has free slots; skips those whose
 * callers have timed out. */
static void
start_work (Run *run, guint server)
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

/* Sends Q to the owner of its key; a silent connection loses the first
 * attempt. */
static void
send_attempt (Run *run, Request *q)
{
  guint server = server_of (run, q);
  double slow =
      server == 0 && run->scenario->slow > 0 ? run->scenario->slow : 1;
  Attempt *a = g_new0 (Attempt, 1);

  a->request = q;
  a->server = server;
  a->work = (gint64) ((double) q->work * slow);
  q->attempt = a;
  q->state = STATE_SENT;
  q->tries++;
  g_hash_table_add (run->servers[server].in_flight, q);
  if (q->is_silent && q->tries == 1)
    return;
  g_queue_push_tail (&run->servers[server].waiting, a);
  start_work (run, server);
}

/* Sends queued requests to SERVER as its limit allows. */
static void
send_queued (Run *run, guint server)
{
  Server *s = &run->servers[server];
  CcQueueEntry *w;
  Request *q;

  if (run->controlled)
    while ((w = cc_load_next (&s->load, NULL, NULL, run->now)) != NULL)
      send_attempt (run, w->item);
  while (!run->controlled && s->sent < SLOTS &&
         (q = g_queue_pop_head (&s->naive)) != NULL)
    {
      s->sent++;
      send_attempt (run, q);
    }
}

/* Queues Q at its server, also for a retry of the naive version. */
static void
arrive (Run *run, Request *q)
{
  guint server = server_of (run, q);
  Server *s = &run->servers[server];

  q->state = STATE_QUEUED;
  q->expires = run->now + run->class->timeout;
  schedule (run, q->expires, EVENT_EXPIRED, q);
  if (!run->controlled)
    g_queue_push_tail (&s->naive, q);
  else
    {
      q->waiting = (CcQueueEntry){ .due = run->now + run->class->within,
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
  send_queued (run, server);
}

/* Ends the attempt of Q at SERVER. */
static void
release_slot (Run *run, guint server, Request *q, CcLoadEnd end)
{
  Server *s = &run->servers[server];

  q->attempt = NULL;
  g_hash_table_remove (s->in_flight, q);
  if (run->controlled)
    cc_load_done (&s->load, &q->waiting, end, run->now);
  else
    s->sent--;
}

/* The server completed A; its answer counts unless the caller has timed out. */
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
      release_slot (run, server, q, CC_LOAD_ANSWERED);
      q->state = STATE_ENDED;
      count_result (run, q, TRUE, run->now - q->at);
    }
  g_free (a);
  start_work (run, server);
  send_queued (run, server);
}

/* Retries Q in the naive version while it has attempts left, or else counts its
 * outcome as unknown. */
static void
fail_request (Run *run, Request *q)
{
  if (!run->controlled && q->tries < NAIVE_TRIES)
    {
      arrive (run, q);
      return;
    }
  q->state = STATE_ENDED;
  count_result (run, q, FALSE, 0);
  run->r.unknown += q->at >= WARM_UP;
}

/* The timeout of Q: cancels its attempt, or removes it from the queue. */
static void
on_expired (Run *run, Request *q)
{
  guint server = server_of (run, q);

  if (run->now < q->expires || q->state == STATE_ENDED)
    return;
  if (q->state == STATE_SENT)
    {
      q->attempt->request = NULL;
      release_slot (run, server, q, CC_LOAD_CANCELLED);
      fail_request (run, q);
    }
  else if (run->controlled)
    {
      cc_queue_remove (&run->servers[server].load.queue, &q->waiting);
      refuse (run, q);
    }
  else
    {
      q->tries++;
      g_queue_remove (&run->servers[server].naive, q);
      fail_request (run, q);
    }
  send_queued (run, server);
}

/* Abandons attempts that the load control hedges, and retries or fails their
 * requests. */
static void
hedge (Run *run, Server *s)
{
  g_autoptr (GList) sent = g_hash_table_get_keys (s->in_flight);

  for (GList *i = sent; i != NULL; i = i->next)
    {
      Request *q = i->data;

      if (!cc_load_hedge (&s->load, &q->waiting, run->now))
        continue;
      q->attempt->request = NULL;
      release_slot (run, server_of (run, q), q, CC_LOAD_LOST);
      if (cc_load_retry (&s->load, &q->waiting, CC_FAIL_UNKNOWN, run->now))
        q->state = STATE_QUEUED;
      else
        fail_request (run, q);
    }
}

/* Models the dispatcher's timer: hedges, sends queued requests and refuses the
 * queue of a stalled server. */
static void
on_tick (Run *run)
{
  for (guint i = 0; run->controlled && i < run->class->servers; i++)
    {
      CcLoad *l = &run->servers[i].load;
      g_autoptr (GPtrArray) items = NULL;

      hedge (run, &run->servers[i]);
      send_queued (run, i);
      if (!cc_load_stalled (l, run->now))
        continue;
      items = cc_queue_items (&l->queue);
      for (guint k = 0; k < items->len; k++)
        {
          CcQueueEntry *w = items->pdata[k];

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

/* Runs the events that are due until UNTIL. */
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

/* Simulates ARRIVALS (of Request) in RUN, whose class, scenario and version are
 * set, and fills in its result. */
void
run_model (Run *run, const GArray *arrivals)
{
  g_autofree Request *requests =
      g_memdup2 (arrivals->data, arrivals->len * sizeof (Request));

  run->servers = g_new0 (Server, run->class->servers);
  run->events = g_sequence_new (g_free);
  for (guint i = 0; i < run->class->servers; i++)
    {
      cc_load_init (&run->servers[i].load);
      run->servers[i].in_flight = g_hash_table_new (NULL, NULL);
    }
  schedule (run, 0, EVENT_TICK, NULL);
  for (guint i = 0; i < arrivals->len; i++)
    {
      run_events (run, requests[i].at);
      run->now = requests[i].at;
      arrive (run, &requests[i]);
    }
  run_events (run, G_MAXINT64);
  for (guint i = 0; i < run->class->servers; i++)
    {
      cc_load_clear (&run->servers[i].load);
      g_hash_table_unref (run->servers[i].in_flight);
    }
  g_sequence_free (run->events);
  g_free (run->servers);
}
