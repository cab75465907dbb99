/* Every process watches the duty's row; the one that holds it divides the keys
 * of each keyed pool, grants the ranges, renews the grants and moves ranges.
 *
 * Plan before grant: a row names a range's owner and fence before the first
 * grant is sent, and the row is written in the transaction that renews the
 * duty.  So whoever takes over knows all that may have been granted.
 *
 * A range goes to another upstream when the one of before answered a release,
 * or when its last grant has ended.  A grant that got no answer may be carried
 * out late, after the release: then its end is waited for as well.
 *
 * A new holder writes higher fences for the same owners first.  An upstream
 * that has taken one refuses the renewals of the holder of before, which may
 * not know yet that it was replaced. */
#include "granter.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "clock.h"
#include "duty.h"
#include "event_log.h"
#include "key_plan.h"
#include "metrics.h"
#include "timers.h"

#define DUTY_KEY "granter"
#define TICK (50 * CC_MS)
/* How often a process looks at the duty's row: the first few of the fleet often
 * enough to take over in time, the rest only so that somebody does. */
#define WATCH_PERIOD (400 * CC_MS)
#define WATCH_RANKS 3
/* The rest take turns: together they look about every LOOK_TOGETHER, and each
 * at least every WATCH_PERIOD_MOST. */
#define LOOK_TOGETHER (350 * CC_MS)
#define WATCH_PERIOD_MOST (15 * CC_SECOND)
#define CALL_CONNECT (300 * CC_MS)
#define CALL_WITHIN (800 * CC_MS)
/* A release is answered when the work on the keys has ended: the longest of
 * today takes 1.7 s. */
#define RELEASE_WITHIN (3500 * CC_MS)
/* Kept connections older than the last renewal may be cut off without anybody
 * knowing.  When TCP itself gives such a one up, a grant that was written to it
 * may still arrive later; a call that is given up here, on a connection that
 * was alive a moment ago, is reset in time. */
#define CALL_IDLE (1500 * CC_MS)
#define CALL_RETRY (150 * CC_MS) /* pause after a call without answer */
/* Rows of one transaction, which may hold 100. */
#define ROWS_MAX 90
/* Changes of ranges that one plan makes. */
#define PLAN_MAX 80
/* A list of upstreams that is still filling is not divided yet. */
#define SETTLE (700 * CC_MS)
#define SETTLE_MOST                                                            \
  (2500 * CC_MS) /* from then on, with those that are there                    \
                  */
/* How often load is looked at, after the first BALANCE_FIRST of a duty in which
 * reports come in.  A range that moved rests for a while, so that a move is
 * judged by what it changed. */
#define BALANCE_PERIOD (400 * CC_MS)
#define BALANCE_FIRST (3 * CC_SECOND)
#define REPLAN_PAUSE (100 * CC_MS) /* until busy ranges are looked at again */
#define RANGE_REST (2 * CC_SECOND)
/* Time that an unmeasured upstream takes for a request, us, and how much a new
 * report weighs. */
#define SERVICE_UNKNOWN 200000.0
#define SERVICE_WEIGHT 0.2
/* More than half of the owners silent for so long: it is this process that is
 * cut off, and another may reach them. */
#define CUT_OFF_AFTER (1800 * CC_MS)
#define CUT_OFF_LEAST 4 /* owners; of fewer, half may well be down */
#define STAND_BACK (8 * CC_SECOND)

/* One range and its grant. */
typedef struct
{
  CcGranter *granter;
  char *pool;
  CcKeyRange *range; /* in the pool's ranges */
  gboolean dirty;    /* the row is to be written */
  gboolean written;  /* the row says what RANGE does */
  gboolean raised;   /* its fence is new, so what others granted ends with the
                        owner's first answer */
  gboolean calling;
  gboolean dead;         /* forgotten while a call was in progress */
  gboolean held;         /* the owner answered a grant of this process */
  gboolean released;     /* the previous owner answered a release */
  char *handoff;         /* it left this for the owner */
  gint64 owner_until;    /* the owner's grants have ended by then, us */
  gint64 owner_doubt;    /* ... those that got no answer */
  gint64 unanswered;     /* ... those of them that this process sent */
  gint64 until_before;   /* OWNER_UNTIL without the call in progress */
  gint64 previous_until; /* the same of the previous owner */
  gint64 previous_doubt;
  gint64 not_before; /* of the next call, us */
  gint64 answered;   /* the owner last answered, us */
  gint64 call_began;
  gint64 moved_at; /* when its owner last changed, us; 0: not seen */
} Grant;

typedef struct
{
  char *name;
  CcKeyRanges ranges;
  GPtrArray *grants; /* of Grant */
  CcKeyHeat heat;
} Pool;

struct CcGranter
{
  CcGranterSetup setup;
  char *id; /* of this run of the process */
  CcDuty duty;
  guint64 sequence;  /* of the last write to the duty's row */
  gboolean loaded;   /* the rows of the ranges were read under this duty */
  gboolean calling;  /* the table service */
  gboolean doubtful; /* a write's answer was lost: read first */
  gboolean resigning;
  gboolean resigned;
  gboolean may_claim; /* by the row as it was last read */
  gint64 stand_back;  /* claims nothing before, us */
  gint64 next_look;   /* at the row, while watching, us */
  gint64 sent;        /* the write in progress, us */
  guint rank;         /* in the order of watching */
  guint fleet;        /* processes that registered */
  gint64 predecessor_until;
  gint64 targets_changed; /* us */
  gint64 loaded_at;       /* when the rows were read, us */
  gint64 plan_after; /* until then upstreams may be missing by mistake, us */
  gboolean replan;
  gint64 replan_at;    /* ranges were busy: plan again then, us; 0: no */
  gboolean announce;   /* the row that says where reports go is to be written */
  gint64 balance_at;   /* when load is looked at next, us */
  GHashTable *service; /* upstream to its measured time, double in us */
  GHashTable *pools;   /* keyed pools in the configuration: name to Pool */
  GPtrArray *writing;  /* of Grant, in the write in progress */
  CcTimer tick;
  CcCounter *moves;
};

static void on_tick (gpointer data);

static void
grant_free (gpointer data)
{
  Grant *x = data;

  if (x->calling)
    {
      x->dead = TRUE;
      return;
    }
  g_free (x->pool);
  g_free (x->handoff);
  g_free (x);
}

static void
pool_free (gpointer data)
{
  Pool *p = data;

  g_ptr_array_unref (p->grants);
  cc_key_ranges_clear (&p->ranges);
  g_free (p->name);
  g_free (p);
}

/* A granter that watches, and takes the duty when it is free. */
CcGranter *
cc_granter_new (const CcGranterSetup *setup)
{
  CcGranter *g = g_new0 (CcGranter, 1);

  g->setup = *setup;
  g->id = g_strdup_printf ("%s.%" G_GUINT64_FORMAT, setup->instance,
                           cc_clock_incarnation ());
  g->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  g->writing = g_ptr_array_new ();
  g->service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g->moves = cc_metrics_counter ("capercrank_key_ranges_moved", "");
  g->rank = WATCH_RANKS;
  cc_timer_start (&g->tick, TICK, on_tick, g);
  return g;
}

static Pool *
pool_new (const char *name)
{
  Pool *p = g_new0 (Pool, 1);

  p->name = g_strdup (name);
  cc_key_ranges_init (&p->ranges);
  p->grants = g_ptr_array_new_with_free_func (grant_free);
  return p;
}

/* Takes over which pools of ROUTES are keyed. */
void
cc_granter_configure (CcGranter *g, const CcRoutes *routes)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, routes->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const CcRoutePool *described = value;

      if (!described->keyed ||
          g_hash_table_contains (g->pools, described->name))
        continue;
      {
        Pool *p = pool_new (described->name);

        g_hash_table_insert (g->pools, p->name, p);
        g->loaded = FALSE;
      }
    }
}

/* This process is the RANK-th of a FLEET of so many in the order of watching.
 */
void
cc_granter_rank (CcGranter *g, guint rank, guint fleet)
{
  g->rank = rank;
  g->fleet = fleet;
}

/* The upstreams that may own keys have changed.  TROUBLE is when their list's
 * keeper last failed, us; 0: never. */
void
cc_granter_targets_changed (CcGranter *g, gint64 trouble)
{
  g->targets_changed = cc_clock_now ();
  if (trouble != 0)
    g->plan_after = trouble + CC_RETURN_GRACE;
  g->replan = TRUE;
}

static Grant *
grant_new (CcGranter *g, Pool *p, CcKeyRange *range)
{
  Grant *x = g_new0 (Grant, 1);

  x->granter = g;
  x->pool = g_strdup (p->name);
  x->range = range;
  g_ptr_array_add (p->grants, x);
  return x;
}

static Grant *
grant_of (const Pool *p, const CcKeyRange *range)
{
  for (guint i = 0; i < p->grants->len; i++)
    if (((Grant *) p->grants->pdata[i])->range == range)
      return p->grants->pdata[i];
  return NULL;
}

/* ---- planning ---- */

/* Requests a second that T can serve. */
static double
capacity_of (const CcGranter *g, const CcTarget *t)
{
  const double *service = g_hash_table_lookup (g->service, t->listing.id);

  return MAX (t->listing.slots, 1) * 1e6 /
         (service != NULL ? MAX (*service, 1000.0) : SERVICE_UNKNOWN);
}

/* The upstreams of P that may get keys. */
static GArray *
owners_of (const CcGranter *g, const Pool *p)
{
  GArray *owners = g_array_new (FALSE, TRUE, sizeof (CcKeyOwner));
  GPtrArray *all = cc_targets_of_pool (g->setup.targets, p->name);

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const CcTarget *t = all->pdata[i];
      CcKeyOwner o = { .id = t->listing.id,
                       .born = t->listing.born,
                       .capacity = capacity_of (g, t) };

      if (t->state == CC_TARGET_READY)
        g_array_append_val (owners, o);
    }
  return owners;
}

/* The grant from which the range of a new one was cut: that of the keys before
 * it. */
static Grant *
source_of (const Pool *p, const CcKeyRange *range)
{
  Grant *best = NULL;

  for (guint i = 0; i < p->grants->len; i++)
    {
      Grant *x = p->grants->pdata[i];

      if (x->range->from < range->from &&
          (best == NULL || x->range->from > best->range->from))
        best = x;
    }
  return best;
}

static gboolean
is_for (const Grant *x, const char *owner, guint64 born)
{
  return g_strcmp0 (x->range->owner, owner) == 0 && x->range->born == born;
}

/* What was known of each grant's owner before a plan. */
typedef struct
{
  Grant *grant;
  char *owner;
  guint64 born;
  gboolean was_moving;
} Before;

static void
before_clear (gpointer data)
{
  g_free (((Before *) data)->owner);
}

static GArray *
note_before (const Pool *p)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (Before));

  g_array_set_clear_func (list, before_clear);
  for (guint i = 0; i < p->grants->len; i++)
    {
      Grant *x = p->grants->pdata[i];
      Before b = { x, g_strdup (x->range->owner), x->range->born,
                   x->range->previous != NULL };

      g_array_append_val (list, b);
    }
  return list;
}

/* X's range went from the owner in B to another. */
static void
owner_changed (Grant *x, const Before *b)
{
  if (b->was_moving)
    {
      /* The owner of a moment may have been granted the keys already; nobody
       * keeps its name, so its grant's end is waited for. */
      x->previous_until = MAX (x->previous_until, x->owner_until);
      x->previous_doubt = MAX (x->previous_doubt, x->owner_until);
    }
  else
    {
      x->previous_until = x->owner_until;
      x->previous_doubt = x->owner_doubt;
      x->released = FALSE;
    }
  g_clear_pointer (&x->handoff, g_free);
  x->owner_until = 0;
  x->owner_doubt = 0;
  x->held = FALSE;
  x->not_before = 0;
  x->moved_at = cc_clock_now ();
}

static void
log_move (const CcGranter *g, const Pool *p, const CcKeyRange *r)
{
  cc_event (CC_EVENT_STATE, "keys-planned", "pool", p->name, "from",
            cc_event_int (r->from), "to", cc_event_int (r->to), "owner",
            r->owner, "previous", r->previous != NULL ? r->previous : "",
            "fence", cc_event_int ((gint64) r->fence), "duty_version",
            cc_event_int ((gint64) g->duty.version), NULL);
}

static void
apply_change (CcGranter *g, Pool *p, CcKeyRange *r, const GArray *before)
{
  Grant *x = grant_of (p, r);

  if (x == NULL)
    {
      Grant *source = source_of (p, r);

      x = grant_new (g, p, r);
      if (source != NULL)
        {
          x->previous_until = MAX (source->owner_until, source->previous_until);
          x->previous_doubt = MAX (source->owner_doubt, source->previous_doubt);
          x->owner_until = source->owner_until;
          x->owner_doubt = source->owner_doubt;
          x->held = source->held && r->previous == NULL;
          x->moved_at = cc_clock_now ();
        }
    }
  for (guint i = 0; i < before->len; i++)
    {
      const Before *b = &g_array_index (before, Before, i);

      if (b->grant == x && !is_for (x, b->owner, b->born))
        owner_changed (x, b);
    }
  x->dirty = TRUE;
  x->written = FALSE;
  ++*g->moves;
  log_move (g, p, r);
}

/* Whether the granter of before may still renew X's grant and its owner has not
 * shut it out.  To move the range would only mean to wait for the end of that,
 * and the owner may be back before. */
static gboolean
is_unsettled (const Grant *x, gint64 now)
{
  return x->raised && now < x->owner_until;
}

static void
plan_pool (CcGranter *g, Pool *p, gboolean level)
{
  g_autoptr (GArray) owners = NULL;
  g_autoptr (GPtrArray) changed = g_ptr_array_new ();
  g_autoptr (GArray) before = note_before (p);
  gint64 now = cc_clock_now ();
  CcKeyPlan plan = { .ranges = &p->ranges,
                     .heat = &p->heat,
                     .limit = PLAN_MAX,
                     .level = level,
                     .changed = changed };

  if (p->ranges.list->len == 0 && now - g->targets_changed < SETTLE &&
      now - g->loaded_at < SETTLE_MOST)
    {
      g->replan = TRUE;
      return;
    }
  owners = owners_of (g, p);
  cc_key_heat_fade (&p->heat, now);
  for (guint i = 0; i < p->grants->len; i++)
    {
      Grant *x = p->grants->pdata[i];

      x->range->rests = !x->held || now - x->moved_at < RANGE_REST;
      /* The answer of a call in progress is about the owner and the keys that
       * it was sent for.  Taken for another's, it let a new owner begin while
       * the old one still held the keys; and a renewal that overtakes a release
       * gives the keys back to who had released them. */
      x->range->busy = x->calling || is_unsettled (x, now);
    }
  plan.owners = owners;
  cc_key_plan (&plan);
  if (plan.skipped)
    g->replan_at = now + REPLAN_PAUSE;
  for (guint i = 0; i < changed->len; i++)
    apply_change (g, p, changed->pdata[i], before);
  if (changed->len >= PLAN_MAX)
    g->replan = TRUE;
}

static void
plan_all (CcGranter *g, gboolean level)
{
  GHashTableIter i;
  gpointer value;

  g->replan = FALSE;
  g->replan_at = 0;
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    plan_pool (g, value, level);
}

/* ---- grants ---- */

static char *
with_host (const char *head, const char *address)
{
  return g_strdup_printf ("%sHost: %s\r\n", head, address);
}

static gboolean
call_upstream (Grant *x, const char *address, const char *head, GBytes *body,
               gint64 within, CcHttpDone done)
{
  CcHttpOrder o = { .address = address,
                    .head = head,
                    .body = body,
                    .connect_within = CALL_CONNECT,
                    .answer_within = within,
                    .idle_max = CALL_IDLE };

  x->call_began = cc_clock_now ();
  x->calling = cc_http_send (x->granter->setup.http, &o, done, x) != NULL;
  if (!x->calling)
    x->not_before = x->call_began + CALL_RETRY;
  return x->calling;
}

/* Returns FALSE if X is gone. */
static gboolean
call_returned (Grant *x)
{
  x->calling = FALSE;
  if (!x->dead)
    return TRUE;
  grant_free (x);
  return FALSE;
}

static void
finish_move (Grant *x)
{
  CcKeyRange *r = x->range;

  cc_event (CC_EVENT_STATE, "keys-moved", "pool", x->pool, "from",
            cc_event_int (r->from), "to", cc_event_int (r->to), "owner",
            r->owner, "previous", r->previous, "fence",
            cc_event_int ((gint64) r->fence), "handoff",
            x->handoff != NULL ? "yes" : "no", NULL);
  g_clear_pointer (&r->previous, g_free);
  g_clear_pointer (&x->handoff, g_free);
  x->dirty = TRUE;
  x->written = FALSE;
}

static void
granted (Grant *x, gint64 now)
{
  if (!x->held)
    cc_event (CC_EVENT_STATE, "keys-granted", "pool", x->pool, "from",
              cc_event_int (x->range->from), "to", cc_event_int (x->range->to),
              "owner", x->range->owner, "fence",
              cc_event_int ((gint64) x->range->fence), NULL);
  if (x->raised)
    {
      x->owner_until = cc_grant_ends (now);
      x->owner_doubt = x->unanswered;
    }
  x->raised = FALSE;
  x->held = TRUE;
  x->answered = now;
  x->not_before = x->call_began + CC_GRANT_RENEW;
  if (x->range->previous != NULL)
    finish_move (x);
}

/* The upstream has seen a higher fence: of this process's own making if it
 * holds the duty, or of who took it over. */
static void
fence_refused (Grant *x, gint64 now)
{
  CcGranter *g = x->granter;
  Pool *p = g_hash_table_lookup (g->pools, x->pool);

  cc_event (CC_EVENT_STATE, "grant-refused", "pool", x->pool, "from",
            cc_event_int (x->range->from), "owner", x->range->owner, "fence",
            cc_event_int ((gint64) x->range->fence), NULL);
  x->held = FALSE;
  x->not_before = now + CALL_RETRY;
  if (!cc_duty_may_change (&g->duty, now))
    return;
  x->range->fence = cc_key_ranges_top_fence (&p->ranges) + 1;
  x->dirty = TRUE;
  x->written = FALSE;
}

/* The owner's address is another's: it has ended, and what anybody granted it
 * has ended with it. */
static void
owner_ended (Grant *x, gint64 now)
{
  cc_event (CC_EVENT_STATE, "owner-ended", "pool", x->pool, "owner",
            x->range->owner, "from", cc_event_int (x->range->from), NULL);
  x->held = FALSE;
  x->raised = FALSE;
  x->owner_until = 0;
  x->owner_doubt = 0;
  x->not_before = now + CC_GRANT_RENEW;
  x->granter->replan = TRUE;
}

static void
on_granted (const CcHttpResult *r, gpointer data)
{
  Grant *x = data;
  gint64 now = cc_clock_now ();

  if (!call_returned (x))
    return;
  if (r->end == CC_HTTP_UNSENT)
    {
      x->owner_until = x->until_before;
      x->not_before = now + CALL_RETRY;
      return;
    }
  if (cc_edge_is_other_server (r))
    {
      owner_ended (x, now);
      return;
    }
  x->owner_until = MAX (x->owner_until, cc_grant_ends (now));
  if (r->end == CC_HTTP_ANSWERED && r->status == 200)
    {
      granted (x, now);
      return;
    }
  if (r->end == CC_HTTP_ANSWERED && r->status == 409)
    {
      fence_refused (x, now);
      return;
    }
  x->not_before = now + CALL_RETRY;
  x->unanswered = cc_grant_ends (now);
  x->owner_doubt = MAX (x->owner_doubt, x->unanswered);
  cc_event (CC_EVENT_STATE, "grant-unanswered", "pool", x->pool, "owner",
            x->range->owner, "from", cc_event_int (x->range->from), "why",
            r->why, "status", cc_event_int (r->status), NULL);
}

static void
send_grant (Grant *x)
{
  const CcTarget *t =
      cc_targets_find (x->granter->setup.targets, x->range->owner);
  CcKeyGrant what = { x->range->owner, x->range->from, x->range->to,
                      x->range->fence, CC_GRANT_HOLD,  x->handoff };
  g_autoptr (GBytes) body = NULL;
  g_autofree char *head = NULL;
  g_autofree char *whole = NULL;

  if (t == NULL || t->listing.born != x->range->born)
    return;
  /* Each grant to one that has left and does not answer would put off the time
   * at which its keys may go to another. */
  if (t->state == CC_TARGET_GONE && !x->held && x->unanswered != 0)
    return;
  head = cc_edge_grant_head (&what, &body);
  whole = with_host (head, t->listing.address);
  /* From the moment of sending, the owner may have it. */
  x->until_before = x->owner_until;
  x->owner_until =
      MAX (x->owner_until, cc_grant_ends (cc_clock_now () + CALL_WITHIN));
  call_upstream (x, t->listing.address, whole, body, CALL_WITHIN, on_granted);
}

static void
released (Grant *x, const char *handoff)
{
  x->released = TRUE;
  x->not_before = 0;
  g_free (x->handoff);
  x->handoff = g_strdup (handoff);
}

static void
on_released (const CcHttpResult *r, gpointer data)
{
  Grant *x = data;

  if (!call_returned (x))
    return;
  x->not_before = cc_clock_now () + CALL_RETRY;
  if (cc_edge_is_other_server (r))
    {
      /* Its address is another's: it has ended, and holds nothing. */
      released (x, NULL);
      return;
    }
  if (r->end != CC_HTTP_ANSWERED || r->status != 200)
    {
      cc_event (CC_EVENT_STATE, "release-unanswered", "pool", x->pool,
                "previous", x->range->previous, "from",
                cc_event_int (x->range->from), "why", r->why, "status",
                cc_event_int (r->status), NULL);
      return;
    }
  released (x, cc_edge_handoff (r));
}

static void
send_release (Grant *x, const CcTarget *t)
{
  CcKeyGrant what = { .server = x->range->previous,
                      .from = x->range->from,
                      .to = x->range->to,
                      .fence = x->range->previous_fence };
  g_autoptr (GBytes) body = NULL;
  g_autofree char *head = cc_edge_release_head (&what, &body);
  g_autofree char *whole = with_host (head, t->listing.address);

  call_upstream (x, t->listing.address, whole, body, RELEASE_WITHIN,
                 on_released);
}

/* Whether the previous owner of X's range has stopped for sure. */
static gboolean
previous_stopped (Grant *x, gint64 now)
{
  const CcTarget *t =
      cc_targets_find (x->granter->setup.targets, x->range->previous);

  if (now >= MAX (x->previous_until, x->previous_doubt))
    return TRUE;
  if (x->released && now >= x->previous_doubt)
    return TRUE;
  /* Started again, it holds nothing; but grants without an answer may reach
   * this life. */
  return t != NULL && t->listing.born != x->range->previous_born &&
         now >= x->previous_doubt;
}

/* A move waits for the previous owner, then for the new one. */
static void
step_move (Grant *x, gint64 now)
{
  const CcTarget *t;

  if (previous_stopped (x, now))
    {
      send_grant (x);
      return;
    }
  t = cc_targets_find (x->granter->setup.targets, x->range->previous);
  if (!x->released && t != NULL && t->listing.born == x->range->previous_born)
    send_release (x, t);
}

static void
step_grant (Grant *x, gint64 now)
{
  CcGranter *g = x->granter;

  if (x->calling || now < x->not_before)
    return;
  if (!cc_duty_may_change (&g->duty, now))
    {
      if (x->held && x->range->previous == NULL)
        send_grant (x);
      return;
    }
  if (!x->written && (!x->held || x->range->previous != NULL))
    return;
  if (x->range->previous != NULL)
    step_move (x, now);
  else
    send_grant (x);
}

/* Whether most owners have been silent for so long that it is this process that
 * is cut off. */
static gboolean
step_grants (CcGranter *g, gint64 now)
{
  guint silent = 0, all = 0;
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Pool *p = value;

      for (guint k = 0; k < p->grants->len; k++)
        {
          Grant *x = p->grants->pdata[k];

          step_grant (x, now);
          all++;
          if (x->answered != 0 && now - x->answered > CUT_OFF_AFTER)
            silent++;
        }
    }
  return all >= CUT_OFF_LEAST && 2 * silent > all;
}

/* ---- duty ---- */

static void
forget_ranges (CcGranter *g)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Pool *p = value;

      g_ptr_array_set_size (p->grants, 0);
      g_ptr_array_set_size (p->ranges.list, 0);
    }
  g_ptr_array_set_size (g->writing, 0);
  g->loaded = FALSE;
}

static void
lose_duty (CcGranter *g, const char *why)
{
  cc_event (CC_EVENT_STATE, "duty-lost", "why", why, "version",
            cc_event_int ((gint64) g->duty.version), NULL);
  cc_duty_lost (&g->duty);
  forget_ranges (g);
  g->doubtful = FALSE;
}

/* Whose word the duty's row VALUE is; *SEQUENCE of its write. */
static char *
read_holder (const char *value, guint64 *sequence)
{
  g_autoptr (JsonNode) root = json_from_string (value, NULL);
  JsonObject *o;

  *sequence = 0;
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return g_strdup ("");
  o = json_node_get_object (root);
  *sequence =
      (guint64) json_object_get_int_member_with_default (o, "sequence", 0);
  return g_strdup (
      json_object_get_string_member_with_default (o, "holder", ""));
}

static void
take_duty (CcGranter *g, guint64 version)
{
  cc_event (CC_EVENT_STATE, "duty-taken", "version",
            cc_event_int ((gint64) version), "before",
            cc_event_int ((gint64) g->duty.version), NULL);
  cc_duty_confirmed (&g->duty, version, g->sent);
  g->loaded = FALSE;
  g->next_look = 0;
}

static void
on_duty_read (CcStatus status, GVariant *rows, guint64 upto, const char *why,
              gpointer data)
{
  CcGranter *g = data;
  gint64 now = cc_clock_now ();
  g_autofree char *holder = g_strdup ("");
  guint64 version = 0, sequence = 0;

  (void) upto, (void) why;
  g->calling = FALSE;
  if (status != CC_OK)
    return;
  if (g_variant_n_children (rows) > 0)
    {
      const char *key, *value;

      g_variant_get_child (rows, 0, "(&st&s)", &key, &version, &value);
      g_free (holder);
      holder = read_holder (value, &sequence);
    }
  if (!g->duty.held)
    {
      /* A claim whose answer was lost. */
      if (g_str_equal (holder, g->id) && sequence == g->sequence)
        take_duty (g, version);
      else
        cc_duty_seen (&g->duty, version, holder[0] == '\0', now);
      /* Only what was read just now says that the holder is silent. */
      g->may_claim = cc_duty_may_claim (&g->duty, now);
      return;
    }
  g->doubtful = FALSE;
  if (!g_str_equal (holder, g->id))
    lose_duty (g, "taken-over");
  else if (version != g->duty.version && sequence == g->sequence)
    cc_duty_confirmed (&g->duty, version, g->sent);
  else
    g->duty.version = version;
}

static void
look (CcGranter *g)
{
  g->calling = TRUE;
  cc_table_read (g->setup.table, CC_TABLE_DUTY, DUTY_KEY, on_duty_read, g);
}

static void
load_pool (CcGranter *g, Pool *p, GVariant *rows, gint64 now)
{
  CcView view;
  GVariantIter i;
  const char *key, *value;
  guint64 version, fence;
  gint64 until = cc_grant_ends (MAX (g->predecessor_until, now));

  cc_view_init (&view);
  g_variant_iter_init (&i, rows);
  while (g_variant_iter_next (&i, "(&st&s)", &key, &version, &value))
    cc_view_put (&view, key, version, value);
  cc_key_ranges_read (&p->ranges, &view, p->name);
  cc_view_clear (&view);
  cc_key_ranges_fill (&p->ranges);
  fence = cc_key_ranges_top_fence (&p->ranges);
  for (guint k = 0; k < p->ranges.list->len; k++)
    {
      Grant *x = grant_new (g, p, p->ranges.list->pdata[k]);

      x->owner_until = until;
      if (x->range->previous != NULL)
        {
          x->previous_until = until;
          x->previous_doubt = cc_grant_ends (now);
        }
      x->owner_doubt = until;
      x->written = x->range->previous != NULL;
      x->dirty = !x->written;
      x->raised = x->dirty;
      if (x->raised)
        x->range->fence = ++fence;
    }
}

static void
on_state_read (CcStatus status, GVariant *rows, guint64 upto, const char *why,
               gpointer data)
{
  CcGranter *g = data;
  gint64 now = cc_clock_now ();
  GHashTableIter i;
  gpointer value;

  (void) upto, (void) why;
  g->calling = FALSE;
  if (status != CC_OK || !g->duty.held)
    return;
  forget_ranges (g);
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    load_pool (g, value, rows, now);
  g->loaded = TRUE;
  g->loaded_at = now;
  g->replan = TRUE;
  g->announce = TRUE;
  g->balance_at = now + BALANCE_FIRST;
}

static void
put_dirty (CcGranter *g, CcTableChange *c)
{
  GHashTableIter i;
  gpointer value;

  g_ptr_array_set_size (g->writing, 0);
  if (g->announce)
    cc_table_put (c, CC_TABLE_STATE, CC_GRANTER_KEY, g->setup.address);
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Pool *p = value;

      for (guint k = 0; k < p->grants->len && g->writing->len < ROWS_MAX; k++)
        {
          Grant *x = p->grants->pdata[k];
          g_autofree char *key = NULL;
          g_autofree char *text = NULL;

          if (!x->dirty)
            continue;
          key = cc_key_range_key (p->name, x->range);
          text = cc_key_range_text (x->range);
          cc_table_put (c, CC_TABLE_STATE, key, text);
          g_ptr_array_add (g->writing, x);
          x->dirty = FALSE;
        }
    }
}

static gboolean
has_dirty (const CcGranter *g)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    for (guint k = 0; k < ((Pool *) value)->grants->len; k++)
      if (((Grant *) ((Pool *) value)->grants->pdata[k])->dirty)
        return TRUE;
  return FALSE;
}

/* What was to be written may not have been. */
static void
mark_unwritten (CcGranter *g)
{
  for (guint i = 0; i < g->writing->len; i++)
    ((Grant *) g->writing->pdata[i])->dirty = TRUE;
  g_ptr_array_set_size (g->writing, 0);
}

static void
mark_written (CcGranter *g)
{
  for (guint i = 0; i < g->writing->len; i++)
    {
      Grant *x = g->writing->pdata[i];

      x->written = !x->dirty;
    }
  g_ptr_array_set_size (g->writing, 0);
}

static void
on_written (CcStatus status, guint64 version, gpointer data)
{
  CcGranter *g = data;
  gboolean held = g->duty.held;

  g->calling = FALSE;
  if (g->resigning)
    {
      g->resigned = TRUE;
      return;
    }
  switch (status)
    {
    case CC_OK:
      mark_written (g);
      if (held && g->loaded)
        g->announce = FALSE;
      if (held)
        cc_duty_confirmed (&g->duty, version, g->sent);
      else
        take_duty (g, version);
      break;
    case CC_CONFLICT:
    case CC_UNKNOWN:
      mark_unwritten (g);
      g->doubtful = held;
      g->next_look = 0;
      break;
    default:
      mark_unwritten (g);
      break;
    }
}

/* Claims or renews the duty, with the rows of ranges that have changed. */
static void
write_duty (CcGranter *g)
{
  CcTableChange *c = cc_table_change_new ();
  g_autofree char *value =
      g_strdup_printf ("{\"holder\":\"%s\",\"sequence\":%" G_GUINT64_FORMAT "}",
                       g->resigning ? "" : g->id, ++g->sequence);

  g->may_claim = FALSE;
  if (!g->duty.held)
    g->predecessor_until = cc_duty_predecessor_until (&g->duty);
  cc_table_expect (c, CC_TABLE_DUTY, DUTY_KEY, g->duty.version);
  cc_table_put (c, CC_TABLE_DUTY, DUTY_KEY, value);
  if (g->duty.held && !g->resigning)
    put_dirty (g, c);
  g->sent = cc_clock_now ();
  g->calling = TRUE;
  cc_table_commit (g->setup.table, c, on_written, g);
}

static void
step_duty (CcGranter *g, gint64 now)
{
  if (g->calling)
    return;
  if (!g->duty.held)
    {
      if (g->resigning)
        g->resigned = TRUE;
      else if (g->may_claim && now >= g->stand_back)
        write_duty (g);
      else if (now >= g->next_look)
        {
          g->next_look = now + (g->rank < WATCH_RANKS
                                    ? WATCH_PERIOD
                                    : MIN (LOOK_TOGETHER * MAX (g->fleet, 1),
                                           WATCH_PERIOD_MOST));
          look (g);
        }
    }
  else if (!cc_duty_may_renew (&g->duty, now))
    lose_duty (g, "table-out-of-reach");
  else if (g->doubtful && now >= g->next_look)
    {
      g->next_look = now + CALL_RETRY;
      look (g);
    }
  else if (g->doubtful)
    return;
  else if (g->resigning)
    write_duty (g);
  else if (!g->loaded && now >= g->next_look)
    {
      g->next_look = now + CALL_RETRY;
      g->calling = TRUE;
      cc_table_read (g->setup.table, CC_TABLE_STATE, NULL, on_state_read, g);
    }
  else if (now >= g->sent + CC_DUTY_RENEW || (g->loaded && has_dirty (g)))
    write_duty (g);
}

/* Does what is due.  Called by a timer of its own; tests call it. */
void
cc_granter_tick (CcGranter *g)
{
  gint64 now = cc_clock_now ();

  if (g_hash_table_size (g->pools) == 0 && !g->resigning)
    return;
  if (g->duty.held && g->loaded && !g->resigning && now >= g->plan_after &&
      cc_duty_may_change (&g->duty, now) && (g->replan || now >= g->balance_at))
    {
      gboolean level = now >= g->balance_at;

      if (level)
        g->balance_at = now + BALANCE_PERIOD;
      plan_all (g, level);
    }
  if (g->duty.held && g->loaded && !g->resigning && step_grants (g, now))
    {
      g->stand_back = now + STAND_BACK;
      lose_duty (g, "cut-off-from-upstreams");
    }
  step_duty (g, now);
}

static void
on_tick (gpointer data)
{
  CcGranter *g = data;

  cc_timer_start (&g->tick, g->duty.held ? TICK : WATCH_PERIOD / 2, on_tick, g);
  cc_granter_tick (g);
}

/* COUNT requests came, somewhere in the fleet, for keys of BUCKET of POOL. */
void
cc_granter_heat (CcGranter *g, const char *pool, guint bucket, guint count)
{
  Pool *p = g_hash_table_lookup (g->pools, pool);

  if (p != NULL)
    cc_key_heat_add (&p->heat, bucket, count);
}

/* An entry measured SERVICE us of work for a request at TARGET. */
void
cc_granter_service (CcGranter *g, const char *target, double service)
{
  double *known = g_hash_table_lookup (g->service, target);

  if (known == NULL)
    {
      known = g_new (double, 1);
      *known = service;
      g_hash_table_insert (g->service, g_strdup (target), known);
    }
  *known += SERVICE_WEIGHT * (service - *known);
}

/* Gives the duty up for good, as the process is to end. */
void
cc_granter_resign (CcGranter *g)
{
  g->resigning = TRUE;
}

/* Whether the duty is given up, or was not held. */
gboolean
cc_granter_has_resigned (const CcGranter *g)
{
  return g->resigned || (!g->duty.held && !g->calling);
}
