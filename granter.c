/* Every process watches the lease's row; the one that holds it divides the keys
 * of each keyed pool, grants the ranges, renews the grants and moves ranges.
 *
 * Plan before grant: a row names a range's owner and fence before the first
 * grant is sent, and the row is written in the transaction that renews the
 * lease.  So whoever takes over knows all that may have been granted.
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
#include "event_log.h"
#include "granted_pool.h"
#include "metrics.h"
#include "timers.h"

#define LEASE_KEY "granter"
#define TICK (50 * CC_MS)
/* How often a process polls the lease's row: the first few of the fleet often
 * enough to take over in time, the rest only so that somebody does. */
#define WATCH_PERIOD (400 * CC_MS)
#define WATCH_RANKS 3
/* The rest take turns: together they poll about every POLL_TOGETHER, and each
 * at least every WATCH_PERIOD_MOST. */
#define POLL_TOGETHER (350 * CC_MS)
#define WATCH_PERIOD_MOST (15 * CC_SECOND)
/* A process that is told of each renewal polls only if it is told nothing for
 * this long: two renewals, and the way to here. */
#define RENEWAL_QUIET (1500 * CC_MS)
/* Spread of the polls at the moment at which a lease may be claimed. */
#define CLAIM_SPREAD (150 * CC_MS)
#define POLL_RETRY                                                             \
  (150 * CC_MS) /* pause after a reading that is to be repeated */
/* Rows of one transaction, which may hold 100. */
#define ROWS_MAX 90
/* A list of upstreams that is still filling is not divided yet. */
#define SETTLE (700 * CC_MS)
#define SETTLE_MOST                                                            \
  (2500 * CC_MS) /* from then on, with those that are there                    \
                  */
/* How often load is levelled, after the first BALANCE_FIRST of a lease in
 * which reports come in. */
#define BALANCE_PERIOD (400 * CC_MS)
#define BALANCE_FIRST (3 * CC_SECOND)
/* More than half of the owners are silent: it is this process that is cut off,
 * and another may reach them.  Of fewer than so many, half may well be down. */
#define CUT_OFF_LEAST 4
#define STAND_BACK (8 * CC_SECOND)

struct CcGranter
{
  CcGranterSetup setup;
  char *place; /* begins the ids of all runs at this address */
  char *id;    /* of this run of the process */
  CcGrantShared shared;
  guint64 sequence;  /* of the last write to the lease's row */
  gboolean loaded;   /* the rows of all pools were read under this lease */
  gboolean calling;  /* the table service */
  gboolean doubtful; /* a write's answer was lost: read first */
  gboolean resigning;
  gboolean resigned;
  gint64 started;            /* us */
  gboolean may_claim;        /* by the row as it was last read */
  gboolean claiming;         /* a claim may still take effect */
  gint64 stand_back;         /* claims nothing before, us */
  gint64 next_poll;          /* of the row, while watching, us */
  gint64 sent;               /* the write in progress, us */
  guint rank;                /* in the order of watching */
  guint fleet;               /* processes that registered */
  gboolean named;            /* the rows named this process as the granter */
  gboolean blind;            /* holds a lease by which it may only renew */
  gint64 predecessors_until; /* they may renew what they granted, us */
  gint64 predecessor_seen;   /* its last renewal was known, us */
  gint64 targets_changed;    /* us */
  gint64 loaded_at;          /* when the rows were read, us */
  gint64 plan_after; /* until then upstreams may be missing by mistake, us */
  gboolean announce; /* the row that says where reports go is to be written */
  gint64 balance_at; /* when load is levelled next, us */
  CcWorkRates rates; /* of upstreams */
  GHashTable
      *pools; /* keyed pools in the configuration: name to CcGrantedPool */
  GPtrArray *writing; /* of CcRangeGrant, in the write in progress */
  GPtrArray *rows;    /* ... with their keys and texts by turns */
  CcTimer tick;
  CcCounter *moves;
};

static void on_tick (gpointer data);

/* A granter that watches, and takes the lease when it is free. */
CcGranter *
cc_granter_new (const CcGranterSetup *setup)
{
  CcGranter *g = g_new0 (CcGranter, 1);

  g->setup = *setup;
  g->shared.http = setup->http;
  g->shared.targets = setup->targets;
  g->place = g_strdup_printf ("%s@%s.", setup->instance, setup->address);
  g->id = g_strdup_printf ("%s%" G_GUINT64_FORMAT, g->place,
                           cc_clock_incarnation ());
  g->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    cc_granted_pool_free);
  g->writing = g_ptr_array_new ();
  g->rows = g_ptr_array_new_with_free_func (g_free);
  cc_work_rates_init (&g->rates);
  g->moves = cc_metrics_counter ("capercrank_key_ranges_moved", "");
  g->rank = WATCH_RANKS;
  g->started = cc_clock_now ();
  cc_timer_start (&g->tick, TICK, on_tick, g);
  return g;
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
        CcGrantedPool *p = cc_granted_pool_new (described->name, &g->shared);

        g_hash_table_insert (g->pools, p->name, p);
        g->loaded = FALSE;
      }
    }
}

static gint64
poll_period (const CcGranter *g)
{
  return g->rank < WATCH_RANKS
             ? WATCH_PERIOD
             : MIN (POLL_TOGETHER * MAX (g->fleet, 1), WATCH_PERIOD_MOST);
}

/* This process is the RANK-th of a FLEET of so many in the order of watching.
 *
 * Load pattern: all processes start together, and each polls the lease's row at
 * once.  Only the first few need to. */
void
cc_granter_set_rank (CcGranter *g, guint rank, guint fleet)
{
  gboolean is_first = g->fleet == 0;

  g->rank = rank;
  g->fleet = fleet;
  if (is_first && rank >= WATCH_RANKS && !g->shared.lease.held)
    g->next_poll = cc_clock_now () +
                   (gint64) (g_random_double () * (double) poll_period (g));
}

/* The rows say that this process grants keys.  If it does not, an earlier run
 * of it did, which has ended: it polls the lease's row at once.
 *
 * Load pattern: the whole fleet is killed and started again.  The others have
 * to wait for a term, in which keys lapse; and a weak process would not poll it
 * in that time. */
void
cc_granter_named_in_table (CcGranter *g)
{
  if (!g->named && !g->shared.lease.held)
    g->next_poll = 0;
  g->named = TRUE;
}

/* Other processes have known since SEEN_AT, us, that the lease's row has
 * VERSION.
 *
 * So it need not be polled soon.  Only the first few poll as soon as renewals
 * may be missing; the others at different times, since all of them receive the
 * same news at once, and the first few may be cut off. */
void
cc_granter_lease_received (CcGranter *g, guint64 version, gint64 seen_at)
{
  /* Who claims the lease has read the row before. */
  CcGranterRow row = { .version = version, .others = CC_GRANTER_RENEWAL_LIMIT };
  gint64 quiet = RENEWAL_QUIET;

  if (g->shared.lease.held || version <= g->shared.lease.version)
    return;
  if (g->rank >= WATCH_RANKS)
    quiet += (gint64) (g_random_double () * (double) poll_period (g));
  cc_granter_lease_row_read (&g->shared.lease, &row, seen_at);
  g->may_claim = FALSE;
  g->next_poll = seen_at + quiet;
}

/* The upstreams that may own keys have changed.  OUTAGE is when their list's
 * keeper last failed, us; 0: never. */
void
cc_granter_targets_changed (CcGranter *g, gint64 outage)
{
  g->targets_changed = cc_clock_now ();
  if (outage != 0)
    g->plan_after = outage + CC_RETURN_GRACE;
  g->shared.replan = TRUE;
}

/* A list of upstreams that is still filling is not divided yet. */
static gboolean
must_settle (const CcGranter *g, const CcGrantedPool *p, gint64 now)
{
  return p->ranges.list->len == 0 && now - g->targets_changed < SETTLE &&
         now - g->loaded_at < SETTLE_MOST;
}

static void
plan_all (CcGranter *g, gboolean level, gint64 now)
{
  CcPoolPlanning how = { .rates = &g->rates, .level = level, .now = now };
  GHashTableIter i;
  gpointer value;

  g->shared.replan = FALSE;
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcGrantedPool *p = value;

      if (!p->loaded)
        continue;
      if (must_settle (g, p, now))
        g->shared.replan = TRUE;
      else
        *g->moves += cc_granted_pool_plan (p, &how);
    }
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
      silent += cc_granted_pool_step (value, now);
      all += ((CcGrantedPool *) value)->grants->len;
    }
  return all >= CUT_OFF_LEAST && 2 * silent > all;
}

/* ---- lease ---- */

static void
forget_ranges (CcGranter *g)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_granted_pool_reset (value);
  g_ptr_array_set_size (g->writing, 0);
  g->loaded = FALSE;
}

/* How much longer granters before this one may renew at NOW, ms, rounded up. */
static gint64
predecessors_ms (const CcGranter *g, gint64 now)
{
  return (MAX (g->predecessors_until - now, 0) + CC_MS - 1) / CC_MS;
}

static void
lose_lease (CcGranter *g, const char *why)
{
  cc_event (CC_EVENT_STATE, "lease-lost", "why", why, "version",
            cc_event_int ((gint64) g->shared.lease.version), NULL);
  cc_granter_lease_lost (&g->shared.lease);
  forget_ranges (g);
  g->doubtful = FALSE;
}

/* The value of the lease's row. */
typedef struct
{
  char *holder;     /* id of a run; empty: it resigned */
  guint64 sequence; /* of its write */
  gint64 others; /* granters before it may renew for so long from then on, us */
} LeaseValue;

/* Decodes VALUE.  Who wrote no time for others may have kept none. */
static LeaseValue
read_lease_value (const char *value)
{
  g_autoptr (JsonNode) root = json_from_string (value, NULL);
  LeaseValue v = { .others = CC_GRANTER_RENEWAL_LIMIT };
  JsonObject *o;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      v.holder = g_strdup ("");
      return v;
    }
  o = json_node_get_object (root);
  v.holder =
      g_strdup (json_object_get_string_member_with_default (o, "holder", ""));
  v.sequence =
      (guint64) json_object_get_int_member_with_default (o, "sequence", 0);
  v.others = CLAMP (json_object_get_int_member_with_default (
                        o, "others_ms", CC_GRANTER_RENEWAL_LIMIT / CC_MS),
                    0, CC_GRANTER_RENEWAL_LIMIT / CC_MS) *
             CC_MS;
  return v;
}

/* The rows of the last write, which took effect as VERSION. */
static GVariant *
written_rows (const CcGranter *g, guint64 version)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  for (guint i = 0; i + 1 < g->rows->len; i += 2)
    g_variant_builder_add (&b, "(sts)", g->rows->pdata[i], version,
                           g->rows->pdata[i + 1]);
  return g_variant_ref_sink (g_variant_builder_end (&b));
}

static void
confirm_lease (CcGranter *g, guint64 version)
{
  g_autoptr (GVariant) rows = written_rows (g, version);

  cc_granter_lease_confirmed (&g->shared.lease, version, g->sent);
  if (g->setup.renewed != NULL)
    g->setup.renewed (version, g->sent, rows, g->setup.data);
}

static void
take_lease (CcGranter *g, guint64 version)
{
  g->claiming = FALSE;
  cc_event (CC_EVENT_STATE, "lease-taken", "version",
            cc_event_int ((gint64) version), "before",
            cc_event_int ((gint64) g->shared.lease.version), "vacant",
            g->shared.lease.vacant ? "yes" : "no", "predecessors_ms",
            cc_event_int (predecessors_ms (g, cc_clock_now ())), NULL);
  confirm_lease (g, version);
  g->loaded = FALSE;
  g->next_poll = 0;
}

/* Whether nobody acts for HOLDER any more: it resigned, or it was a run before
 * this one at the same address, which has ended, or this process could not
 * listen there.  After a kill of the whole fleet that saves a term, in which
 * keys lapse. */
static gboolean
is_free (const CcGranter *g, const char *holder)
{
  return holder[0] == '\0' || g_str_has_prefix (holder, g->place);
}

/* Polls the row again when its holder, if silent until then, has lost the
 * lease.
 *
 * Failure: the holder is cut off as it renews the lease, so the others had not
 * received the last renewal, and the first one to poll finds a new version.
 * Symptom: by its turn it polls again after several seconds, while all keys
 * lapse. */
static void
poll_when_free (CcGranter *g, gint64 now)
{
  const CcGranterLease *l = &g->shared.lease;
  gint64 free_at = l->seen_at + CC_GRANTER_TERM + CC_GRANTER_MARGIN;
  gint64 spread = (gint64) (g_random_double () * CLAIM_SPREAD);

  if (free_at > now)
    g->next_poll = MIN (g->next_poll, free_at + spread);
}

static void
on_lease_read (CcStatus status, GVariant *rows, guint64 upto, const char *why,
               gpointer data)
{
  CcGranter *g = data;
  gint64 now = cc_clock_now ();
  const char *key, *value = "";
  guint64 version = 0;
  g_autofree char *holder = NULL;
  LeaseValue v;

  (void) upto, (void) why;
  g->calling = FALSE;
  if (status != CC_OK)
    return;
  if (g_variant_n_children (rows) > 0)
    g_variant_get_child (rows, 0, "(&st&s)", &key, &version, &value);
  v = read_lease_value (value);
  holder = v.holder;
  if (!g->shared.lease.held)
    {
      /* A claim whose answer was lost.  The lease that this run gave up is
       * none: it has forgotten what it granted, and goes by the row like any
       * other. */
      CcGranterRow row = { .version = version,
                           .vacant = is_free (g, holder),
                           .others = v.others };

      if (g->claiming && g_str_equal (holder, g->id) &&
          v.sequence == g->sequence)
        take_lease (g, version);
      else
        cc_granter_lease_row_read (&g->shared.lease, &row, now);
      /* Only what was read just now says that the holder is silent. */
      g->may_claim = cc_granter_lease_may_claim (&g->shared.lease, now) &&
                     (version != 0 || now >= g->started + g->setup.patience);
      poll_when_free (g, now);
      return;
    }
  g->doubtful = FALSE;
  if (!g_str_equal (holder, g->id))
    lose_lease (g, "taken-over");
  else if (version != g->shared.lease.version && v.sequence == g->sequence)
    confirm_lease (g, version);
  else
    g->shared.lease.version = version;
}

static void
poll_lease (CcGranter *g)
{
  g->calling = TRUE;
  cc_table_read (g->setup.table, CC_TABLE_LEASE, LEASE_KEY, on_lease_read, g);
}

/* Logs what the rows said of POOL. */
static void
log_ranges (const CcGranter *g, const CcGrantedPool *p, gint64 now)
{
  guint moving = 0;

  for (guint i = 0; i < p->ranges.list->len; i++)
    moving += ((CcKeyRange *) p->ranges.list->pdata[i])->previous != NULL;
  cc_event (CC_EVENT_STATE, "ranges-read", "pool", p->name, "ranges",
            cc_event_int (p->ranges.list->len), "moving", cc_event_int (moving),
            "fence",
            cc_event_int ((gint64) cc_key_ranges_top_fence (&p->ranges)),
            "predecessors_ms", cc_event_int (predecessors_ms (g, now)), NULL);
}

static void
on_state_read (CcStatus status, GVariant *rows, guint64 upto, const char *why,
               gpointer data)
{
  CcGranter *g = data;
  gint64 now = cc_clock_now ();
  CcPredecessor before = { .seen = g->predecessor_seen,
                           .changes_until =
                               g->predecessor_seen + CC_GRANTER_TERM,
                           .renews_until = MAX (g->predecessors_until, now),
                           .others_until = g->shared.lease.others_until };
  GHashTableIter i;
  gpointer value;

  (void) upto, (void) why;
  g->calling = FALSE;
  if (status != CC_OK || !g->shared.lease.held)
    return;
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcGrantedPool *p = value;

      /* What this process has granted since it took the lease is known better
       * than the rows and the times of the granter before tell. */
      if (p->loaded)
        continue;
      cc_granted_pool_load (p, rows, &before);
      log_ranges (g, p, now);
    }
  g->loaded = TRUE;
  g->loaded_at = now;
  g->shared.replan = TRUE;
  g->announce = TRUE;
  g->balance_at = now + BALANCE_FIRST;
}

static void
find_dirty (const CcGranter *g, guint most, GPtrArray *dirty)
{
  GHashTableIter i;
  gpointer value;

  g_ptr_array_set_size (dirty, 0);
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_granted_pool_add_dirty (value, most, dirty);
}

static void
put_row (CcGranter *g, CcTableChange *c, const char *key, const char *text)
{
  cc_table_put (c, CC_TABLE_STATE, key, text);
  g_ptr_array_add (g->rows, g_strdup (key));
  g_ptr_array_add (g->rows, g_strdup (text));
}

static void
put_dirty (CcGranter *g, CcTableChange *c)
{
  if (g->announce)
    put_row (g, c, CC_GRANTER_KEY, g->setup.address);
  find_dirty (g, ROWS_MAX, g->writing);
  for (guint i = 0; i < g->writing->len; i++)
    {
      CcRangeGrant *x = g->writing->pdata[i];
      g_autofree char *key = cc_key_range_key (x->pool, x->range);
      g_autofree char *text = cc_key_range_text (x->range);

      put_row (g, c, key, text);
      x->dirty = FALSE;
    }
}

static gboolean
has_dirty (const CcGranter *g)
{
  g_autoptr (GPtrArray) dirty = g_ptr_array_new ();

  find_dirty (g, 1, dirty);
  return dirty->len > 0;
}

/* What was to be written may not have been. */
static void
mark_unwritten (CcGranter *g)
{
  for (guint i = 0; i < g->writing->len; i++)
    ((CcRangeGrant *) g->writing->pdata[i])->dirty = TRUE;
  g_ptr_array_set_size (g->writing, 0);
}

static void
mark_written (CcGranter *g)
{
  for (guint i = 0; i < g->writing->len; i++)
    {
      CcRangeGrant *x = g->writing->pdata[i];

      x->written = !x->dirty;
    }
  g_ptr_array_set_size (g->writing, 0);
}

static void
on_written (CcStatus status, guint64 version, gpointer data)
{
  CcGranter *g = data;
  gboolean held = g->shared.lease.held;

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
        confirm_lease (g, version);
      else if (g->claiming)
        take_lease (g, version);
      else
        /* A renewal of the lease that was given up meanwhile. */
        g->next_poll = 0;
      break;
    case CC_CONFLICT:
    case CC_UNKNOWN:
      mark_unwritten (g);
      g->doubtful = held;
      g->claiming &= status == CC_UNKNOWN;
      g->next_poll = 0;
      break;
    default:
      mark_unwritten (g);
      g->claiming = FALSE;
      break;
    }
}

/* The value of the lease's row that is written at NOW. */
static char *
lease_value (CcGranter *g, gint64 now)
{
  return g_strdup_printf ("{\"holder\":\"%s\",\"sequence\":%" G_GUINT64_FORMAT
                          ",\"others_ms\":%" G_GINT64_FORMAT "}",
                          g->resigning ? "" : g->id, ++g->sequence,
                          predecessors_ms (g, now));
}

/* Claims or renews the lease, with the rows of ranges that have changed. */
static void
write_lease (CcGranter *g)
{
  CcTableChange *c = cc_table_change_new ();
  g_autofree char *value = NULL;

  g->may_claim = FALSE;
  g->sent = cc_clock_now ();
  if (!g->shared.lease.held)
    {
      g->predecessors_until =
          cc_granter_lease_predecessors_until (&g->shared.lease);
      g->predecessor_seen = g->shared.lease.seen_at;
      g->claiming = TRUE;
    }
  value = lease_value (g, g->sent);
  g_ptr_array_set_size (g->rows, 0);
  cc_table_expect (c, CC_TABLE_LEASE, LEASE_KEY, g->shared.lease.version);
  cc_table_put (c, CC_TABLE_LEASE, LEASE_KEY, value);
  if (g->shared.lease.held && !g->resigning)
    put_dirty (g, c);
  g->calling = TRUE;
  cc_table_commit (g->setup.table, c, on_written, g);
}

static void
step_lease (CcGranter *g, gint64 now)
{
  if (g->calling)
    return;
  if (!g->shared.lease.held)
    {
      if (g->resigning)
        g->resigned = TRUE;
      else if (g->may_claim && now >= g->stand_back)
        write_lease (g);
      else if (now >= g->next_poll)
        {
          g->next_poll = now + poll_period (g);
          poll_lease (g);
        }
    }
  else if (!cc_granter_lease_may_renew (&g->shared.lease, now))
    lose_lease (g, "table-out-of-reach");
  else if (g->doubtful && now >= g->next_poll)
    {
      g->next_poll = now + POLL_RETRY;
      poll_lease (g);
    }
  else if (g->doubtful)
    return;
  else if (g->resigning)
    write_lease (g);
  else if (!g->loaded && now >= g->next_poll)
    {
      g->next_poll = now + POLL_RETRY;
      g->calling = TRUE;
      cc_table_read (g->setup.table, CC_TABLE_STATE, NULL, on_state_read, g);
    }
  else if (now >= g->sent + CC_GRANTER_RENEW_PERIOD || has_dirty (g))
    write_lease (g);
}

/* Logs when the lease that this process holds allows renewals only, and when it
 * allows changes again. */
static void
note_blind (CcGranter *g, gint64 now)
{
  const CcGranterLease *l = &g->shared.lease;
  gboolean blind = l->held && !cc_granter_lease_may_change (l, now);

  if (blind == g->blind)
    return;
  g->blind = blind;
  if (!l->held)
    return;
  cc_event (CC_EVENT_STATE, blind ? "lease-unconfirmed" : "lease-confirmed",
            "version", cc_event_int ((gint64) l->version), "age_ms",
            cc_event_int ((now - l->confirmed) / CC_MS), NULL);
}

/* Does what is due.  Called by a timer of its own; tests call it. */
void
cc_granter_tick (CcGranter *g)
{
  gint64 now = cc_clock_now ();

  if (g_hash_table_size (g->pools) == 0 && !g->resigning)
    return;
  note_blind (g, now);
  if (g->shared.lease.held && !g->resigning && now >= g->plan_after &&
      cc_granter_lease_may_change (&g->shared.lease, now) &&
      (g->shared.replan || now >= g->balance_at))
    {
      gboolean level = now >= g->balance_at;

      if (level)
        g->balance_at = now + BALANCE_PERIOD;
      plan_all (g, level, now);
    }
  if (g->shared.lease.held && !g->resigning && step_grants (g, now))
    {
      g->stand_back = now + STAND_BACK;
      lose_lease (g, "cut-off-from-upstreams");
    }
  step_lease (g, now);
}

static void
on_tick (gpointer data)
{
  CcGranter *g = data;

  cc_timer_start (&g->tick, g->shared.lease.held ? TICK : WATCH_PERIOD / 2,
                  on_tick, g);
  cc_granter_tick (g);
}

/* COUNT requests came, somewhere in the fleet, for KEY of POOL. */
void
cc_granter_add_load (CcGranter *g, const char *pool, guint key, guint count)
{
  CcGrantedPool *p = g_hash_table_lookup (g->pools, pool);

  if (p != NULL)
    cc_key_load_add (&p->load, key, count);
}

/* An entry saw TARGET work WORK us for ANSWERS answers. */
void
cc_granter_add_work (CcGranter *g, const char *target, double work,
                     guint answers)
{
  const CcTarget *t = cc_targets_find (g->setup.targets, target);

  if (t != NULL)
    cc_work_rates_add (&g->rates, t->listing.pool, target, work, answers,
                       cc_clock_now ());
}

/* Whether this process grants the keys, as far as it knows. */
gboolean
cc_granter_holds_lease (const CcGranter *g)
{
  return g->shared.lease.held;
}

/* Gives the lease up for good, as the process is to end. */
void
cc_granter_resign (CcGranter *g)
{
  g->resigning = TRUE;
}

/* Whether the lease is given up, or was not held. */
gboolean
cc_granter_has_resigned (const CcGranter *g)
{
  return g->resigned || (!g->shared.lease.held && !g->calling);
}
