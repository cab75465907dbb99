/* A request waits for room at its pool and goes to an upstream; how it goes on
 * from there stands in exchange.c. */
#include "forward.h"

#include <string.h>

#include "choose.h"
#include "clock.h"
#include "exchange_state.h"

/* A connection within a region stands after 3 ms; what takes longer is lost on
 * the way or silent, and another upstream answers sooner than a second SYN. */
#define CONNECT_WITHIN (200 * CC_MS)
/* Kept connections are used again if idle for less.  The older one is, the
 * likelier its end is on the way, and a once-only request that meets it can
 * neither be repeated nor refused; so for these the bound is tighter. */
#define IDLE_IDEMPOTENT (8 * CC_SECOND)
#define IDLE_ONCE (4 * CC_SECOND)
/* A server answers at the deadline that it was given; its answer, which says
 * what became of the work, is waited for this much longer. */
#define ANSWER_GRACE (60 * CC_MS)
/* A request whose keys are changing hands waits for them so long, as a part of
 * its target: a move takes the time of the work in progress, and is over sooner
 * than the caller would be back. */
#define MOVING_PART 0.6
/* A request waits for room at its key's owner for this part of its target.
 * Longer, it would only keep the caller from coming back when the keys have
 * moved or the queue has drained. */
#define OWNER_PART 0.125
/* Requests in one backlog; admission refuses long before. */
#define BACKLOG_MAX 2000
/* How often waiting requests are looked at although no attempt has ended: room
 * comes with time as well, as words on load age. */
#define LOOK_PERIOD (20 * CC_MS)

/* A forwarder without requests; SETUP's strings and objects must last. */
CcForwarder *
cc_forwarder_new (const CcForwarderSetup *setup)
{
  CcForwarder *f = g_new0 (CcForwarder, 1);

  f->setup = *setup;
  f->entries = 1;
  f->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    cc_forward_pool_free);
  return f;
}

static CcForwardPool *
find_pool (CcForwarder *f, const char *name)
{
  CcForwardPool *p = g_hash_table_lookup (f->pools, name);

  if (p != NULL)
    return p;
  p = cc_forward_pool_new (name, f->state);
  g_hash_table_insert (f->pools, p->name, p);
  return p;
}

/* Tells how many ENTRIES the fleet has, which share the retry budget. */
void
cc_forwarder_entries (CcForwarder *f, guint entries)
{
  f->entries = MAX (entries, 1);
}

/* An upstream of POOL accepts CONNECTIONS from the whole fleet. */
void
cc_forwarder_bound (CcForwarder *f, const char *pool, guint connections)
{
  find_pool (f, pool)->connections_max =
      connections == 0 ? 0 : MAX (connections / f->entries, 2);
}

/* Requests that have no answer yet. */
guint
cc_forwarder_pending (const CcForwarder *f)
{
  return f->pending;
}

/* How long hardly any request on ROUTE takes at POOL, us; G_MAXINT64: nothing
 * is known. */
gint64
cc_forwarder_longest (CcForwarder *f, const char *pool, const CcRoute *route)
{
  return cc_work_times_longest (&find_pool (f, pool)->times, route->name);
}

/* Writes what is known of each pool to the metrics. */
void
cc_forwarder_gauges (const CcForwarder *f)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, f->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_forward_pool_gauges (value);
}

/* Returns FALSE if E was ended: nothing could be opened to T. */
static gboolean
send_to (CcExchange *e, CcTarget *t)
{
  gint64 now = cc_clock_now ();
  gint64 left = cc_exchange_left (e, now);
  g_autoptr (GString) head = g_string_new (NULL);
  gboolean fresh = g_ptr_array_find (e->tried, t, NULL);
  CcHttpOrder o = { .address = t->listing.address,
                    .body = e->body,
                    .bodiless = g_str_equal (e->method, "HEAD"),
                    .echo = cc_edge_echo_header (),
                    .echo_value = e->caller.id,
                    .connect_within = CONNECT_WITHIN,
                    .answer_within = left + ANSWER_GRACE,
                    .idle_max = e->idempotent ? IDLE_IDEMPOTENT : IDLE_ONCE,
                    .connections_max = e->pool->connections_max };

  if (fresh)
    o.idle_max = 0;
  g_string_append_printf (head, "%s %s HTTP/1.1\r\n%s", e->method, e->path,
                          e->headers);
  cc_edge_write_headers (head, &e->caller, left, t->listing.id);
  o.head = head->str;
  cc_backlog_remove (&e->pool->backlog, &e->entry);
  e->call =
      cc_http_send (e->forwarder->setup.http, &o, cc_exchange_on_result, e);
  if (e->call == NULL)
    {
      cc_backlog_push (&e->pool->backlog, &e->entry);
      return FALSE;
    }
  e->state = STATE_SENT;
  e->moving = FALSE;
  e->sent = now;
  e->leaving = t->state == CC_TARGET_READY ? -1 : cc_target_state_age (t, now);
  e->target = t;
  e->attempts++;
  if (!fresh)
    g_ptr_array_add (e->tried, t);
  e->work_share =
      cc_pick_sent (&t->load, &e->typical, cc_exchange_inside (e, t, now));
  cc_timer_start (&e->timer, left + ANSWER_GRACE, cc_exchange_on_give_up, e);
  return TRUE;
}

typedef enum
{
  STEP_SENT,  /* it is at an upstream now */
  STEP_WAITS, /* no room yet */
  STEP_ENDED  /* it was refused, and is gone */
} Step;

static CcChoice
choice_of (const CcExchange *e)
{
  const CcForwarderSetup *setup = &e->forwarder->setup;

  return (CcChoice){ .targets = setup->targets,
                     .pool = e->pool->name,
                     .zone = setup->zone,
                     .tried = e->tried,
                     .target_time = e->target_time,
                     .typical = e->typical };
}

static Step
step_keyed (CcExchange *e, gint64 now)
{
  CcChoice c = choice_of (e);
  CcChosen chosen = cc_choose_owner (&c, &e->pool->ranges, e->caller.key, now);
  CcTarget *t = chosen.target;

  e->considered = chosen.considered;
  if (t != NULL && cc_choose_has_room (&c, t, now))
    return send_to (e, t) ? STEP_SENT : STEP_WAITS;
  /* One that shed work has room again in a moment; one that can't be reached
   * may not. */
  if (t != NULL && (now >= t->load.avoid_until || t->load.avoid_span == 0))
    {
      gint64 room_at = cc_choose_room_at (&c, t, now);

      if (room_at <= e->began + (gint64) (OWNER_PART * (double) e->target_time))
        return STEP_WAITS;
      cc_exchange_end_not_run_until (e, "owner-full", room_at);
      return STEP_ENDED;
    }
  e->moving |= chosen.moving;
  if (chosen.moving &&
      now - e->began < (gint64) (MOVING_PART * (double) e->target_time))
    return STEP_WAITS;
  /* The owner is tried again when it is due, and by then its keys may have
   * moved; a caller that is back sooner asks in vain. */
  if (t != NULL)
    cc_exchange_end_not_run_until (e, "owner-unreachable", t->load.avoid_until);
  else
    cc_exchange_end_not_run (e, chosen.moving ? "keys-moving" : "no-owner");
  return STEP_ENDED;
}

static Step
step (CcExchange *e, gint64 now)
{
  CcChoice c;
  CcChosen chosen;

  if (now < e->not_before)
    return STEP_WAITS;
  e->typical = cc_forward_pool_typical (e->pool, e->kind, now);
  c = choice_of (e);
  if (e->keyed)
    return step_keyed (e, now);
  chosen = cc_choose_any (&c, now);
  e->considered = chosen.considered;
  if (chosen.target != NULL)
    return send_to (e, chosen.target) ? STEP_SENT : STEP_WAITS;
  /* None will be reached for a while: another entry may reach them, and the
   * caller finds it sooner if it is told now. */
  if (chosen.reachable_at > now)
    {
      cc_exchange_end_not_run_until (e, "unreachable", chosen.reachable_at);
      return STEP_ENDED;
    }
  if (chosen.considered != NULL)
    return STEP_WAITS;
  cc_exchange_end_not_run (e, "no-upstream");
  return STEP_ENDED;
}

static void
pump_pool (CcForwardPool *p, gint64 now)
{
  GSequenceIter *i = g_sequence_get_begin_iter (p->backlog.order);

  while (!g_sequence_iter_is_end (i))
    {
      CcBacklogEntry *entry = g_sequence_get (i);
      CcExchange *e = entry->item;
      gboolean keyed = e->keyed;

      i = g_sequence_iter_next (i);
      if (step (e, now) == STEP_WAITS && !keyed && now >= e->not_before)
        return;
    }
}

static void
on_look (gpointer data)
{
  cc_forwarder_pump (data);
}

/* Looks again soon, if anything waits. */
static void
look_soon (CcForwarder *f)
{
  if (f->looks.place == NULL)
    cc_timer_start (&f->looks, LOOK_PERIOD, on_look, f);
}

/* Sends what there is room for now. */
void
cc_forwarder_pump (CcForwarder *f)
{
  gint64 now = cc_clock_now ();
  gboolean waiting = FALSE;
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, f->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcForwardPool *p = value;

      if (cc_backlog_length (&p->backlog) > 0)
        pump_pool (p, now);
      waiting |= cc_backlog_length (&p->backlog) > 0;
    }
  if (waiting)
    look_soon (f);
}

/* Takes the ranges of P among ROWS.  Returns FALSE if there are none. */
static gboolean
take_ranges (CcForwardPool *p, const GPtrArray *rows)
{
  g_autofree char *prefix = g_strdup_printf (CC_RANGE_PREFIX "%s/", p->name);
  gboolean found = FALSE;

  for (guint i = 0; i < rows->len; i++)
    {
      const CcRow *row = rows->pdata[i];

      if (!g_str_has_prefix (row->key, prefix))
        continue;
      cc_key_ranges_take (&p->ranges, row);
      found = TRUE;
    }
  return found;
}

/* ROWS (CcRow) of STATE, which must last, have changed: takes the owners of
 * keys among them. */
void
cc_forwarder_ranges_changed (CcForwarder *f, const CcView *state,
                             const GPtrArray *rows)
{
  GHashTableIter i;
  gpointer value;

  f->state = state;
  g_hash_table_iter_init (&i, f->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcForwardPool *p = value;
      GSequenceIter *s = g_sequence_get_begin_iter (p->backlog.order);

      if (!take_ranges (p, rows))
        continue;
      for (; !g_sequence_iter_is_end (s); s = g_sequence_iter_next (s))
        ((CcExchange *) ((CcBacklogEntry *) g_sequence_get (s))->item)
            ->not_before = 0;
    }
  cc_forwarder_pump (f);
}

static CcExchange *
exchange_new (CcForwarder *f, const CcExchangeStart *s, CcExchangeDone done,
              gpointer data)
{
  CcExchange *e = g_new0 (CcExchange, 1);
  gint64 allowed = s->route->timeout;

  if (s->caller->left >= 0)
    allowed = MIN (allowed, s->caller->left);
  e->forwarder = f;
  e->pool = find_pool (f, s->pool);
  e->keyed = s->keyed;
  e->idempotent = s->route->idempotent;
  e->began = cc_clock_now ();
  e->leaving = -1;
  e->target_time = s->route->target;
  e->give_up = e->began + allowed;
  e->attempts_max = MAX (s->route->attempts, 1);
  e->kind = g_strdup (s->route->name);
  e->typical = cc_forward_pool_typical (e->pool, e->kind, e->began);
  e->method = g_strdup (s->method);
  e->path = g_strdup (s->path);
  e->headers = g_strdup (s->headers);
  e->body = g_bytes_ref (s->body);
  e->caller = *s->caller;
  e->caller.id = g_strdup (s->caller->id);
  e->tried = g_ptr_array_new ();
  e->entry.priority = s->route->priority;
  e->entry.due = e->began + s->route->target;
  e->entry.item = e;
  e->done = done;
  e->data = data;
  f->pending++;
  return e;
}

/* Whether E, which waits, is worth waiting. */
static gboolean
is_admitted (CcExchange *e)
{
  gint64 now = cc_clock_now ();
  gint64 wait = cc_backlog_wait (&e->pool->backlog, e->entry.priority, now);

  if (cc_backlog_length (&e->pool->backlog) >= BACKLOG_MAX)
    return FALSE;
  return cc_backlog_admits (wait, (gint64) e->typical.kind, e->target_time,
                            cc_exchange_left (e, now));
}

/* Takes a request in.  DONE is called from the main loop or before this
 * returns; it returns NULL in that case. */
CcExchange *
cc_exchange_begin (CcForwarder *f, const CcExchangeStart *s,
                   CcExchangeDone done, gpointer data)
{
  CcExchange *e = exchange_new (f, s, done, data);
  /* For a key there is one upstream, whose queue says more than the pool's. */
  gboolean admitted = e->keyed || is_admitted (e);

  if (e->keyed && e->caller.key >= 0)
    cc_load_reporter_count (f->setup.reporter, e->pool->name,
                            (guint) e->caller.key);
  cc_retry_budget_first (&e->pool->budget, &f->setup.retry_bound);
  cc_backlog_push (&e->pool->backlog, &e->entry);
  cc_timer_start (&e->timer, cc_exchange_left (e, e->began),
                  cc_exchange_on_give_up, e);
  switch (step (e, e->began))
    {
    case STEP_ENDED:
      return NULL;
    case STEP_SENT:
      return e;
    case STEP_WAITS:
      break;
    }
  if (admitted)
    {
      look_soon (f);
      return e;
    }
  cc_exchange_end_not_run (e, "full");
  return NULL;
}

/* The caller has gone.  Work that may be repeated is ended at the server; a
 * once-only request at a server goes on, since breaking it off would leave
 * nobody knowing how far it came.  DONE is not called. */
void
cc_exchange_cancel (CcExchange *e)
{
  CcForwarder *f = e->forwarder;

  if (e->state == STATE_SENT && !e->idempotent)
    {
      e->done = NULL;
      return;
    }
  if (e->state == STATE_SENT)
    cc_exchange_cancel_call (e);
  cc_exchange_free (e);
  cc_forwarder_pump (f);
}
