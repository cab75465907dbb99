/* Assigns the keys of each keyed pool to upstreams.  Every process polls the
 * row of the lease; the process that holds the lease divides the keys into
 * ranges, grants each range to an owner, renews the grants and moves ranges
 * between owners.
 *
 * No key may have two owners at a time, whichever process fails or is cut off.
 * Four rules ensure that.
 *
 * The row of a range names its owner and fence before the first grant is sent,
 * and the row is written in the transaction that renews the lease.  A process
 * that takes the lease over therefore reads everything that may have been
 * granted.
 *
 * A range moves to another upstream only after the previous owner has answered
 * a release, or after its last grant has expired.  A grant that got no response
 * may be carried out late, even after the release, so the expiry of such a
 * grant is awaited as well.
 *
 * A new holder of the lease first writes higher fences for the present owners.
 * An upstream that has accepted a higher fence rejects renewals by the previous
 * holder, which may not know yet that it was replaced.
 *
 * A holder that reaches less than half of the owners gives the lease up, and a
 * process claims it only if it reaches upstreams itself.
 *
 * A holder that cannot renew the lease may still renew grants for a limited
 * time (see granter_lease.h), but changes no owner. */
#include "granter.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "clock.h"
#include "event_log.h"
#include "granted_pool.h"
#include "granter_era.h"
#include "json_tree.h"
#include "metrics.h"
#include "row_version.h"
#include "timers.h"

#define LEASE_KEY "granter"
#define TICK (50 * CC_MS)
/* Poll period of the first FREQUENT_POLLERS processes of the fleet, which have
 * to take over in time.  The others poll only in case all of these are lost. */
#define POLL_PERIOD (400 * CC_MS)
#define FREQUENT_POLLERS 3
/* Processes of a higher rank together make about one poll in
 * SHARED_POLL_PERIOD; each polls at least once in POLL_PERIOD_MAX. */
#define SHARED_POLL_PERIOD (350 * CC_MS)
#define POLL_PERIOD_MAX (15 * CC_SECOND)
/* A process that is notified of renewals polls after this long without one: two
 * renewal periods and the transmission delay. */
#define RENEWAL_TIMEOUT (1500 * CC_MS)
/* Polls at the expiry of a lease are spread randomly over this time, so that
 * processes do not all claim it at once. */
#define CLAIM_SPREAD (150 * CC_MS)
/* Pause before a read of the table is repeated. */
#define POLL_RETRY (150 * CC_MS)
/* Rows of ranges in a transaction; the table service allows 100 rows. */
#define RANGE_ROWS_MAX 90
/* The keys of a pool are first divided when its list of upstreams has not
 * changed for SETTLE_TIME, or SETTLE_LIMIT after the rows were read, so that
 * upstreams which register a moment later get a share. */
#define SETTLE_TIME (700 * CC_MS)
#define SETTLE_LIMIT (2500 * CC_MS)
/* Period of rebalancing for load.  The first one follows REBALANCE_DELAY after
 * the rows were read, when load reports have arrived. */
#define REBALANCE_PERIOD (400 * CC_MS)
/* Period of plans while only announced departures are planned. */
#define ANNOUNCED_PERIOD (100 * CC_MS)
#define REBALANCE_DELAY (3 * CC_SECOND)
/* Time between two renewals of the lease that a plan waits for. */
#define PLAN_RENEWAL_PERIOD (200 * CC_MS)
/* If more than half of the owners do not respond, this process is probably cut
 * off: it stops renewing the lease, so that another can take it, and does not
 * claim it for CLAIM_PAUSE.  With fewer owners than CUT_OFF_MIN_OWNERS, half of
 * them may actually be down. */
#define CUT_OFF_MIN_OWNERS 4
#define CLAIM_PAUSE (8 * CC_SECOND)
/* Polls after the lease was given up are spread over this time: the first
 * FREQUENT_POLLERS processes poll at once, the others later, in case those
 * don't reach the upstreams either. */
#define VACANT_SPREAD (50 * CC_MS)
#define VACANT_SPREAD_EACH (10 * CC_MS) /* for each process of the fleet */
#define VACANT_SPREAD_MAX (3 * CC_SECOND)
/* Time in which a process that may claim the lease finds out whether it reaches
 * upstreams; a failed connection takes 200 ms. */
#define REACH_TIMEOUT (300 * CC_MS)

struct CcGranter
{
  CcGranterSetup setup;
  char *run_prefix; /* prefix of the ids of all runs at this address */
  char *id;         /* identifies this run of the process */
  CcGrantShared shared;
  guint64 sequence;    /* number of the last write to the lease's row */
  gboolean loaded;     /* the rows of all pools were read under this lease */
  gboolean table_busy; /* a request to the table service is in progress */
  gboolean result_unknown; /* the result of a write is unknown; the row is read
                              before the next one */
  CcGranterEra era;
  guint64 vacant_version;  /* of the last write that gave the lease up */
  gboolean vacating;       /* the lease is being given up */
  gboolean writes_vacancy; /* ... by the write in progress */
  gboolean resigning;      /* the lease is being released permanently */
  gboolean resigned;
  gint64 started;         /* when the granter was created, us */
  gboolean may_claim;     /* the row as last read allows a claim */
  gint64 may_claim_since; /* since it was read, us */
  gboolean claiming;      /* a claim was sent and may still be committed */
  gint64 no_claim_before; /* no claim before, us */
  gint64 next_poll;       /* of the row, while the lease is not held, us */
  gint64 sent_at;         /* when the last write was sent, us */
  gboolean confirmed; /* the table has confirmed the lease since the last step
                       */
  guint rank;         /* in the order of polling */
  guint fleet;        /* number of registered processes */
  gboolean named_in_table; /* the table named this process as the granter */
  gboolean
      renew_only; /* the lease that is held allows renewals of grants only */
  gint64 predecessors_until; /* earlier holders may renew their grants, us */
  gint64 predecessor_renewed_at; /* when the last renewal of the previous holder
                                    was received, us */
  gint64 targets_changed_at;     /* us */
  gint64 loaded_at;              /* when the rows of ranges were read, us */
  gint64 planned_at;             /* last plan, us */
  gint64 plan_after;    /* until then only announced departures are planned, as
                           upstreams may be missing from the list by mistake, us
                         */
  gboolean plan_again;  /* the last plan was limited to announced departures */
  gboolean plan_waits;  /* a plan waits for the table to confirm the lease */
  gboolean address_due; /* the row CC_GRANTER_KEY is to be written */
  gint64 rebalance_at;  /* next rebalancing, us */
  CcWorkRates rates;    /* work times of upstreams */
  GHashTable *pools;    /* keyed pools: name to CcGrantedPool */
  GPtrArray
      *writing;    /* of CcRangeGrant whose rows are in the write in progress */
  GPtrArray *rows; /* keys and values of all rows of that write, alternating */
  CcTimer tick;
  CcCounter *moves;
};

static void on_tick (gpointer data);

/* Creates a granter, which takes the lease when it is free.  It runs until the
 * process exits. */
CcGranter *
cc_granter_new (const CcGranterSetup *setup)
{
  CcGranter *g = g_new0 (CcGranter, 1);

  g->setup = *setup;
  g->shared.http = setup->http;
  g->shared.targets = setup->targets;
  g->shared.evacuation = setup->evacuation;
  g->shared.contacts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g->run_prefix = g_strdup_printf ("%s@%s.", setup->instance, setup->address);
  g->id = g_strdup_printf ("%s%" G_GUINT64_FORMAT, g->run_prefix,
                           cc_clock_incarnation ());
  g->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    cc_granted_pool_free);
  g->writing = g_ptr_array_new ();
  g->rows = g_ptr_array_new_with_free_func (g_free);
  cc_work_rates_init (&g->rates);
  g->moves = cc_metrics_counter ("capercrank_key_ranges_moved", "");
  g->rank = FREQUENT_POLLERS;
  g->started = cc_clock_now ();
  cc_timer_start (&g->tick, TICK, on_tick, g);
  return g;
}

/* Whether the table takes rows of ranges of the pool NAME. */
static gboolean
fits_table (const char *name)
{
  if (cc_key_range_key_length (name) <= CC_TABLE_KEY_MAX)
    return TRUE;
  cc_event (CC_EVENT_STATE, "pool-name-too-long", "bytes",
            cc_event_int ((gint64) strlen (name)), NULL);
  return FALSE;
}

/* Adds the keyed pools of ROUTES.  A pool is never removed.  Called with each
 * new configuration.
 *
 * Failure: the key of a row is longer than the table takes, and every
 * transaction that renews the lease fails.  Symptom: the keys of all pools
 * lapse.  So the keys of a pool with such a name are not assigned. */
void
cc_granter_configure (CcGranter *g, const CcRoutes *routes)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, routes->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const CcRoutePool *pool = value;

      if (!pool->keyed || g_hash_table_contains (g->pools, pool->name) ||
          !fits_table (pool->name))
        continue;
      {
        CcGrantedPool *p = cc_granted_pool_new (pool->name, &g->shared);

        g_hash_table_insert (g->pools, p->name, p);
        g->loaded = FALSE;
      }
    }
}

/* Returns the period at which this process polls the lease's row, us. */
static gint64
poll_period (const CcGranter *g)
{
  return g->rank < FREQUENT_POLLERS
             ? POLL_PERIOD
             : MIN (SHARED_POLL_PERIOD * MAX (g->fleet, 1), POLL_PERIOD_MAX);
}

/* Sets the position of this process, RANK from 0, among FLEET registered
 * processes.  The first FREQUENT_POLLERS poll the lease most often.
 *
 * When all processes of a fleet start together, only those first ones need to
 * poll the row at once, so the first poll of the others is delayed by a random
 * part of their period. */
void
cc_granter_set_rank (CcGranter *g, guint rank, guint fleet)
{
  gboolean is_first = g->fleet == 0;

  g->rank = rank;
  g->fleet = fleet;
  if (is_first && rank >= FREQUENT_POLLERS && !g->shared.lease.held)
    g->next_poll = cc_clock_now () +
                   (gint64) (g_random_double () * (double) poll_period (g));
}

/* Called when the table names this process as the granter.  If it does not hold
 * the lease, the row was written by an earlier run of the process, which has
 * terminated, so the lease's row is polled at once.
 *
 * This shortens the outage after the whole fleet was killed and restarted.  The
 * other processes would have to wait for the lease to expire, while keys lapse,
 * and a process of a high rank might not poll within that time. */
void
cc_granter_named_in_table (CcGranter *g)
{
  if (!g->named_in_table && !g->shared.lease.held)
    g->next_poll = 0;
  g->named_in_table = TRUE;
}

/* The table named VERSION, perhaps the first one of an era: it has lost its
 * latest writes then. */
static void
note_era (CcGranter *g, guint64 version)
{
  gint64 now = cc_clock_now ();

  if (!cc_granter_era_note (&g->era, version, now) || !g->shared.lease.held)
    return;
  g->address_due = TRUE;
  cc_granter_era_rows_lost (&g->era, &g->shared, g->pools, now);
}

/* Another process has received VERSION of the lease's row at RECEIVED_AT, us,
 * and has reported it.
 *
 * The next poll is postponed until renewals may be missing.  The first
 * FREQUENT_POLLERS processes then poll at once.  The others, which all receive
 * the same update at once, poll at random times after that, in case the first
 * ones are cut off. */
void
cc_granter_lease_received (CcGranter *g, guint64 version, gint64 received_at)
{
  /* A claim is preceded by a read of the row, which replaces these values. */
  CcGranterRow row = { .version = version,
                       .predecessors_remaining = CC_GRANTER_RENEWAL_LIMIT };
  gint64 timeout = RENEWAL_TIMEOUT;

  note_era (g, version);
  if (g->shared.lease.held || version <= g->shared.lease.version ||
      version <= g->vacant_version)
    return;
  if (g->rank >= FREQUENT_POLLERS)
    timeout += (gint64) (g_random_double () * (double) poll_period (g));
  cc_granter_lease_row_read (&g->shared.lease, &row, received_at);
  g->may_claim = FALSE;
  g->next_poll = received_at + timeout;
}

/* The holder has given the lease up, by a write that was committed as VERSION.
 * Polls the lease's row soon. */
void
cc_granter_lease_vacated (CcGranter *g, guint64 version)
{
  gint64 spread = VACANT_SPREAD;
  gint64 delay;

  if (g->shared.lease.held || version <= g->vacant_version)
    return;
  g->vacant_version = version;
  if (g->rank >= FREQUENT_POLLERS)
    spread += MIN (VACANT_SPREAD_EACH * g->fleet, VACANT_SPREAD_MAX);
  delay = (gint64) (g_random_double () * (double) spread);
  g->next_poll = cc_clock_now () + delay;
  cc_timer_start (&g->tick, delay, on_tick, g);
}

/* Handles ROW, a state row that the table service has now.  Rows of ranges are
 * written by the holder of the lease alone, so others of this process's ranges
 * are written again.  Those of another era of the table are written again as
 * lost ones. */
void
cc_granter_row_received (CcGranter *g, const CcRow *row)
{
  GHashTableIter i;
  gpointer pool;

  if (!g->shared.lease.held || !g->loaded ||
      cc_row_era (row->version) != g->era.era)
    return;
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &pool))
    cc_granted_pool_row_received (pool, row);
}

/* The upstreams that may own keys have changed.  OUTAGE is the time of the last
 * failure of the service that keeps their list, us, or 0 for none. */
void
cc_granter_targets_changed (CcGranter *g, gint64 outage)
{
  g->targets_changed_at = cc_clock_now ();
  if (outage != 0)
    g->plan_after = outage + CC_RETURN_GRACE;
  g->shared.replan = TRUE;
}

/* The zones whose upstreams may own keys have changed: plans again soon. */
void
cc_granter_plan_again (CcGranter *g)
{
  g->shared.replan = TRUE;
}

/* Whether the first division of P waits for more upstreams to be listed. */
static gboolean
awaits_upstreams (const CcGranter *g, const CcGrantedPool *p, gint64 now)
{
  return p->ranges.list->len == 0 &&
         now - g->targets_changed_at < SETTLE_TIME &&
         now - g->loaded_at < SETTLE_LIMIT;
}

/* Plans all pools that are loaded; if REBALANCE, ranges are also moved to
 * balance load.
 *
 * After an outage of the list, upstreams may be missing from it by mistake, but
 * one that has announced to leave does leave.  Its keys are moved at once: it
 * may end before the others are planned, and nobody serves its keys then until
 * its last grant expires. */
static void
plan_all (CcGranter *g, gboolean rebalance, gint64 now)
{
  gboolean after_outage = now < g->plan_after;
  CcPoolPlanning params = { .rates = &g->rates,
                            .rebalance = rebalance && !after_outage,
                            .announced_only = after_outage,
                            .now = now };
  GHashTableIter i;
  gpointer value;

  g->shared.replan = FALSE;
  g->planned_at = now;
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcGrantedPool *p = value;

      if (!p->loaded)
        continue;
      if (awaits_upstreams (g, p, now))
        g->shared.replan = TRUE;
      else if (!after_outage || p->ranges.list->len > 0)
        *g->moves += cc_granted_pool_plan (p, &params);
    }
  g->plan_again = after_outage;
}

/* Whether a plan is due at NOW. */
static gboolean
is_plan_due (const CcGranter *g, gint64 now)
{
  gboolean has_changes = g->shared.replan || g->plan_again;

  if (now < g->plan_after)
    return has_changes && now >= g->planned_at + ANNOUNCED_PERIOD;
  return has_changes || now >= g->rebalance_at;
}

/* Advances all grants.  Returns whether this process is probably cut off from
 * the owners, since more than half of them have not responded for a while. */
static gboolean
step_grants (CcGranter *g, gint64 now)
{
  guint silent = 0, all = 0;
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcOwnerSilence s = cc_granted_pool_step (value, now);

      silent += s.silent;
      all += s.all;
    }
  return all >= CUT_OFF_MIN_OWNERS && 2 * silent > all;
}

/* ---- lease ---- */

/* Drops all ranges and grants, which are valid only under the lease they were
 * read or made under. */
static void
reset_ranges (CcGranter *g)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_granted_pool_reset (value);
  g_ptr_array_set_size (g->writing, 0);
  g->loaded = FALSE;
}

/* Forgets which upstreams have answered under the lease. */
static void
reset_contacts (CcGranter *g)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, g->shared.contacts);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_owner_contact_reset (value);
}

/* Returns the time from NOW during which earlier holders of the lease may still
 * renew grants, ms, rounded up. */
static gint64
predecessors_left_ms (const CcGranter *g, gint64 now)
{
  return (MAX (g->predecessors_until - now, 0) + CC_MS - 1) / CC_MS;
}

/* Stops acting as the granter.  WHY is the reason in the log. */
static void
lose_lease (CcGranter *g, const char *why)
{
  cc_event (CC_EVENT_STATE, "lease-lost", "why", why, "version",
            cc_event_int ((gint64) g->shared.lease.version), NULL);
  cc_granter_lease_lost (&g->shared.lease);
  reset_ranges (g);
  reset_contacts (g);
  g->result_unknown = FALSE;
  g->vacating = FALSE;
  g->shared.superseded = FALSE;
  g->shared.suspect_until = 0;
}

/* Gives the lease up, since most owners are unreachable from this process while
 * others may reach them. */
static void
vacate_lease (CcGranter *g, gint64 now)
{
  cc_event (CC_EVENT_STATE, "lease-vacated", "why", "cut-off-from-upstreams",
            "version", cc_event_int ((gint64) g->shared.lease.version), NULL);
  g->no_claim_before = now + CLAIM_PAUSE;
  g->vacating = TRUE;
}

/* Decoded value of the lease's row. */
typedef struct
{
  char *holder;     /* id of a run of a process; empty: it resigned */
  guint64 sequence; /* number of the holder's write */
  gint64 predecessors_remaining; /* time after the write for which earlier
                                    holders may renew grants, us */
  gint64 rows_era; /* the rows of ranges are complete in this era; -1: unknown,
                      by a build that knows none */
} LeaseValue;

/* Decodes VALUE.  Without a time for earlier holders the longest possible one
 * is assumed. */
static LeaseValue
read_lease_value (const char *value)
{
  g_autoptr (JsonNode) root = cc_json_parse (value, -1, NULL);
  LeaseValue v = { .predecessors_remaining = CC_GRANTER_RENEWAL_LIMIT,
                   .rows_era = -1 };
  JsonObject *o = cc_json_object (root);

  v.holder = g_strdup (cc_json_text_member (o, "holder", ""));
  v.sequence = (guint64) cc_json_whole_member (o, "sequence", 0, G_MAXINT64, 0);
  v.predecessors_remaining =
      cc_json_whole_member (o, "others_ms", 0, CC_GRANTER_RENEWAL_LIMIT / CC_MS,
                            CC_GRANTER_RENEWAL_LIMIT / CC_MS) *
      CC_MS;
  v.rows_era = cc_json_whole_member (o, "rows_era", 0, G_MAXINT64, -1);
  return v;
}

/* Returns the rows of the last write, which was committed as VERSION. */
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

/* Records that the last write was committed as VERSION, and notifies the
 * listener of the setup. */
static void
confirm_lease (CcGranter *g, guint64 version)
{
  g_autoptr (GVariant) rows = written_rows (g, version);

  cc_granter_lease_confirmed (&g->shared.lease, version, g->sent_at);
  g->confirmed = TRUE;
  if (g->setup.renewed != NULL)
    g->setup.renewed (version, g->sent_at, rows, g->setup.data);
}

/* Becomes the holder of the lease by a claim that was committed as VERSION. */
static void
take_lease (CcGranter *g, guint64 version)
{
  g->claiming = FALSE;
  cc_event (CC_EVENT_STATE, "lease-taken", "version",
            cc_event_int ((gint64) version), "before",
            cc_event_int ((gint64) g->shared.lease.version), "vacant",
            g->shared.lease.vacant ? "yes" : "no", "predecessors_ms",
            cc_event_int (predecessors_left_ms (g, cc_clock_now ())), NULL);
  confirm_lease (g, version);
  g->loaded = FALSE;
  g->next_poll = 0;
}

/* Whether HOLDER has stopped acting: it resigned, or it is an earlier run at
 * the address of this process.  Such a run has terminated, since otherwise this
 * process could not listen there.  After a restart of the whole fleet this
 * saves the wait for the lease to expire, in which keys lapse. */
static gboolean
is_abandoned (const CcGranter *g, const char *holder)
{
  return holder[0] == '\0' || g_str_has_prefix (holder, g->run_prefix);
}

/* Schedules a poll for the time at which the lease expires if its holder does
 * not renew it.
 *
 * It guards against a holder that is cut off while it renews the lease.  The
 * other processes have not received that renewal, so the first one that polls
 * finds a new version, and by its usual period would poll again only after
 * several seconds, while all keys lapse. */
static void
poll_when_free (CcGranter *g, gint64 now)
{
  const CcGranterLease *l = &g->shared.lease;
  gint64 free_at = l->received_at + CC_GRANTER_TERM + CC_GRANTER_MARGIN;
  gint64 spread = (gint64) (g_random_double () * CLAIM_SPREAD);

  if (free_at > now)
    g->next_poll = MIN (g->next_poll, free_at + spread);
}

/* Handles a read of the lease's row: decides whether the lease may be claimed,
 * or for the holder whether it still holds it. */
static void
on_lease_read (CcStatus status, GVariant *rows, guint64 upto, const char *why,
               gpointer data)
{
  CcGranter *g = data;
  gint64 now = cc_clock_now ();
  const char *key, *value = "";
  guint64 version = 0;
  g_autofree char *holder = NULL;
  gboolean is_new_era;
  LeaseValue v;

  (void) why;
  g->table_busy = FALSE;
  if (status != CC_OK)
    return;
  if (g_variant_n_children (rows) > 0)
    g_variant_get_child (rows, 0, "(&st&s)", &key, &version, &value);
  is_new_era = cc_row_era (upto) > g->era.era;
  note_era (g, upto);
  v = read_lease_value (value);
  holder = v.holder;
  if (!g->shared.lease.held)
    {
      /* A claim of this run whose result was lost has been committed.  A lease
       * that this run has lost does not count: it has reset its record of
       * grants and treats the row like any other process. */
      CcGranterRow row = { .version = version,
                           .vacant = is_abandoned (g, holder),
                           .predecessors_remaining = v.predecessors_remaining };

      cc_granter_era_lease_read (&g->era, version != 0, v.rows_era);
      if (g->claiming && g_str_equal (holder, g->id) &&
          v.sequence == g->sequence)
        take_lease (g, version);
      else
        cc_granter_lease_row_read (&g->shared.lease, &row, now);
      /* Only a row that was just read proves that the holder has stopped
       * renewing. */
      g->may_claim =
          cc_granter_lease_may_claim (&g->shared.lease, now) &&
          (version != 0 || now >= g->started + g->setup.claim_delay) &&
          !cc_granter_era_may_be_renewed (&g->era, now);
      g->may_claim_since = now;
      if (g->may_claim)
        cc_timer_start (&g->tick, 0, on_tick, g);
      poll_when_free (g, now);
      return;
    }
  g->result_unknown = FALSE;
  /* The row that named this process is lost, and no other can have claimed the
   * lease before. */
  if (is_new_era && !g_str_equal (holder, g->id) &&
      now >= g->shared.suspect_until)
    g->shared.lease.version = version;
  else if (!g_str_equal (holder, g->id))
    lose_lease (g, "taken-over");
  else if (version != g->shared.lease.version && v.sequence == g->sequence)
    confirm_lease (g, version);
  else
    g->shared.lease.version = version;
}

static void
poll_lease (CcGranter *g)
{
  g->table_busy = TRUE;
  cc_table_read (g->setup.table, CC_TABLE_LEASE, LEASE_KEY, on_lease_read, g);
}

/* Logs a summary of the ranges that were read for P. */
static void
log_ranges (const CcGranter *g, const CcGrantedPool *p, gint64 now)
{
  guint moving = 0;

  for (guint i = 0; i < p->ranges.list->len; i++)
    moving += ((CcKeyRange *) p->ranges.list->pdata[i])->previous != NULL;
  cc_event (
      CC_EVENT_STATE, "ranges-read", "pool", p->name, "ranges",
      cc_event_int (p->ranges.list->len), "moving", cc_event_int (moving),
      "fence", cc_event_int ((gint64) cc_key_ranges_top_fence (&p->ranges)),
      "predecessors_ms", cc_event_int (predecessors_left_ms (g, now)), NULL);
}

/* Handles the read of the state rows that follows a claim: loads the pools that
 * are not loaded under this lease. */
static void
on_state_read (CcStatus status, GVariant *rows, guint64 upto, const char *why,
               gpointer data)
{
  CcGranter *g = data;
  gint64 now = cc_clock_now ();
  CcPredecessor predecessor = {
    .renewed_at = g->predecessor_renewed_at,
    .changes_until = g->predecessor_renewed_at + CC_GRANTER_TERM,
    .renews_until = MAX (g->predecessors_until, now),
    .predecessors_until = g->shared.lease.predecessors_until
  };
  GHashTableIter i;
  gpointer value;

  (void) why;
  g->table_busy = FALSE;
  if (status != CC_OK || !g->shared.lease.held)
    return;
  note_era (g, upto);
  cc_granter_era_load (&g->era, &predecessor);
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcGrantedPool *p = value;

      /* For a pool loaded earlier under this lease, the state in memory is
       * newer than the rows and the limits of the previous holder. */
      if (p->loaded)
        continue;
      cc_granted_pool_load (p, rows, &predecessor);
      log_ranges (g, p, now);
    }
  g->loaded = TRUE;
  g->loaded_at = now;
  g->confirmed = TRUE;
  g->shared.replan = TRUE;
  g->address_due = TRUE;
  g->rebalance_at = now + REBALANCE_DELAY;
}

/* Lists in DIRTY up to MOST grants whose rows have to be written. */
static void
collect_dirty (const CcGranter *g, guint most, GPtrArray *dirty)
{
  GHashTableIter i;
  gpointer value;

  g_ptr_array_set_size (dirty, 0);
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_granted_pool_add_dirty (value, most, dirty);
}

/* Adds a state row to C and to the rows that are reported after the write. */
static void
put_row (CcGranter *g, CcTableChange *c, const char *key, const char *text)
{
  cc_table_put (c, CC_TABLE_STATE, key, text);
  g_ptr_array_add (g->rows, g_strdup (key));
  g_ptr_array_add (g->rows, g_strdup (text));
}

/* Adds the rows that have to be written to C, as many as fit. */
static void
put_changed_rows (CcGranter *g, CcTableChange *c)
{
  if (g->vacating)
    {
      g_autofree char *text =
          g_strdup_printf ("%s %" G_GUINT64_FORMAT, g->id, g->sequence);

      put_row (g, c, CC_GRANTER_VACANT_KEY, text);
      return;
    }
  if (g->address_due)
    put_row (g, c, CC_GRANTER_KEY, g->setup.address);
  collect_dirty (g, RANGE_ROWS_MAX, g->writing);
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

  collect_dirty (g, 1, dirty);
  return dirty->len > 0;
}

/* Marks the rows of the last write as not written. */
static void
mark_unwritten (CcGranter *g)
{
  for (guint i = 0; i < g->writing->len; i++)
    ((CcRangeGrant *) g->writing->pdata[i])->dirty = TRUE;
  g_ptr_array_set_size (g->writing, 0);
}

/* Marks the grants of the last write, which got VERSION, as written, unless
 * their rows have changed since. */
static void
mark_written (CcGranter *g, guint64 version)
{
  for (guint i = 0; i < g->writing->len; i++)
    {
      CcRangeGrant *x = g->writing->pdata[i];

      x->written = !x->dirty;
      x->row_version = version;
      x->lost = FALSE;
    }
  g_ptr_array_set_size (g->writing, 0);
}

/* Handles the result of a write of the lease's row. */
static void
on_written (CcStatus status, guint64 version, gpointer data)
{
  CcGranter *g = data;
  gboolean held = g->shared.lease.held;

  g->table_busy = FALSE;
  if (status == CC_OK)
    note_era (g, version);
  if (g->resigning)
    {
      g->resigned = TRUE;
      return;
    }
  switch (status)
    {
    case CC_OK:
      mark_written (g, version);
      if (held && g->loaded)
        g->address_due = FALSE;
      if (held)
        confirm_lease (g, version);
      if (held && g->writes_vacancy)
        lose_lease (g, "vacated");
      else if (!held && g->claiming)
        take_lease (g, version);
      else if (!held)
        /* A renewal of a lease that was lost in the meantime. */
        g->next_poll = 0;
      break;
    case CC_CONFLICT:
    case CC_UNKNOWN:
      mark_unwritten (g);
      g->result_unknown = held;
      g->claiming &= status == CC_UNKNOWN;
      g->next_poll = 0;
      break;
    default:
      mark_unwritten (g);
      g->claiming = FALSE;
      break;
    }
  /* The sooner a plan is written, the less likely the table fails between. */
  if (g->confirmed)
    cc_granter_tick (g);
}

/* Encodes the value of the lease's row for a write at NOW. */
static char *
lease_value (CcGranter *g, gint64 now)
{
  return g_strdup_printf (
      "{\"holder\":\"%s\",\"sequence\":%" G_GUINT64_FORMAT
      ",\"others_ms\":%" G_GINT64_FORMAT ",\"rows_era\":%" G_GUINT64_FORMAT "}",
      g->resigning || g->vacating ? "" : g->id, ++g->sequence,
      predecessors_left_ms (g, now), g->era.rows_era);
}

/* Claims or renews the lease, in one transaction with changed rows of
 * ranges. */
static void
write_lease (CcGranter *g)
{
  CcTableChange *c = cc_table_change_new ();
  g_autofree char *value = NULL;

  g->may_claim = FALSE;
  g->sent_at = cc_clock_now ();
  if (!g->shared.lease.held)
    {
      g->predecessors_until =
          cc_granter_lease_predecessors_until (&g->shared.lease);
      g->predecessor_renewed_at = g->shared.lease.received_at;
      g->claiming = TRUE;
    }
  value = lease_value (g, g->sent_at);
  g_ptr_array_set_size (g->rows, 0);
  cc_table_expect (c, CC_TABLE_LEASE, LEASE_KEY, g->shared.lease.version);
  cc_table_put (c, CC_TABLE_LEASE, LEASE_KEY, value);
  g->writes_vacancy = g->vacating;
  if (g->shared.lease.held && !g->resigning)
    put_changed_rows (g, c);
  g->table_busy = TRUE;
  cc_table_commit (g->setup.table, c, on_written, g);
}

/* Returns whether this process reaches the upstreams of any pool, which is
 * found out if PROBE. */
static CcReach
check_reach (const CcGranter *g, gboolean probe)
{
  CcReach all = CC_REACH_NO;
  GHashTableIter i;
  gpointer value;

  if (g->setup.reach == NULL)
    return CC_REACH_YES;
  g_hash_table_iter_init (&i, g->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    switch (
        g->setup.reach (((CcGrantedPool *) value)->name, probe, g->setup.data))
      {
      case CC_REACH_YES:
        return CC_REACH_YES;
      case CC_REACH_UNKNOWN:
        all = CC_REACH_UNKNOWN;
        break;
      case CC_REACH_NO:
        break;
      }
  return all;
}

/* Whether to claim the lease at NOW.  A process that reaches no upstream leaves
 * it to others; whether it does is found out first, except when there was no
 * holder yet.
 *
 * Failure: the holder is partitioned from the owners together with most other
 * processes, and one of those takes over.  Symptom: keys lapse for all callers,
 * although some processes could renew them. */
static gboolean
may_claim_now (CcGranter *g, gint64 now)
{
  if (!g->may_claim || now < g->no_claim_before)
    return FALSE;
  if (g->shared.lease.version == 0)
    return TRUE;
  switch (check_reach (g, TRUE))
    {
    case CC_REACH_YES:
      return TRUE;
    case CC_REACH_UNKNOWN:
      return now >= g->may_claim_since + REACH_TIMEOUT;
    case CC_REACH_NO:
      return FALSE;
    }
  return FALSE;
}

/* Does the next request to the table that is due: a poll, a claim, a renewal,
 * or the read of the state rows.  One request is in progress at a time. */
static void
step_lease (CcGranter *g, gint64 now)
{
  if (g->table_busy)
    return;
  if (!g->shared.lease.held)
    {
      if (g->resigning)
        g->resigned = TRUE;
      else if (may_claim_now (g, now))
        write_lease (g);
      else if (now >= g->next_poll)
        {
          g->next_poll = now + poll_period (g);
          poll_lease (g);
        }
    }
  else if (!cc_granter_lease_may_renew (&g->shared.lease, now))
    lose_lease (g, "table-out-of-reach");
  else if (g->result_unknown && now >= g->next_poll)
    {
      g->next_poll = now + POLL_RETRY;
      poll_lease (g);
    }
  else if (g->result_unknown)
    return;
  else if (g->resigning || g->vacating)
    write_lease (g);
  else if (!g->loaded && now >= g->next_poll)
    {
      g->next_poll = now + POLL_RETRY;
      g->table_busy = TRUE;
      cc_table_read (g->setup.table, CC_TABLE_STATE, NULL, on_state_read, g);
    }
  else if (now >= g->sent_at + CC_GRANTER_RENEW_PERIOD || has_dirty (g) ||
           (g->plan_waits && now >= g->sent_at + PLAN_RENEWAL_PERIOD))
    write_lease (g);
}

/* Logs when the lease that this process holds starts to allow only renewals of
 * grants, and when it allows changes again. */
static void
log_renew_only (CcGranter *g, gint64 now)
{
  const CcGranterLease *l = &g->shared.lease;
  gboolean renew_only = l->held && !cc_granter_lease_may_change (l, now);

  if (renew_only == g->renew_only)
    return;
  g->renew_only = renew_only;
  if (!l->held)
    return;
  cc_event (CC_EVENT_STATE,
            renew_only ? "lease-unconfirmed" : "lease-confirmed", "version",
            cc_event_int ((gint64) l->version), "age_ms",
            cc_event_int ((now - l->confirmed_at) / CC_MS), NULL);
}

/* Plans if that is due at NOW and the table has just confirmed the lease, so
 * that the rows can be written at once.  Returns whether a plan waits for that.
 *
 * Failure: ranges are planned to move while the table is down.  Symptom: their
 * previous owners get no more renewals, so that keys lapse although the owners
 * are well. */
static gboolean
step_plan (CcGranter *g, gint64 now)
{
  gboolean rebalance = now >= g->rebalance_at;

  if (!is_plan_due (g, now) || check_reach (g, FALSE) == CC_REACH_NO)
    return FALSE;
  if (!g->confirmed)
    return g->shared.replan;
  if (rebalance)
    g->rebalance_at = now + REBALANCE_PERIOD;
  plan_all (g, rebalance, now);
  return FALSE;
}

/* Runs one step: planning, calls to upstreams and polls or writes of the lease.
 * Called by the granter's timer, and directly by tests. */
void
cc_granter_tick (CcGranter *g)
{
  gint64 now = cc_clock_now ();

  if (g_hash_table_size (g->pools) == 0 && !g->resigning)
    return;
  log_renew_only (g, now);
  if (g->shared.lease.held && g->shared.superseded)
    lose_lease (g, "taken-over-in-lost-time");
  if (g->shared.lease.held && g->loaded)
    cc_granter_era_check_rows (&g->era, &g->shared, g->pools, now);
  g->plan_waits =
      g->shared.lease.held && !g->resigning && !g->vacating &&
      cc_granter_lease_may_change (&g->shared.lease, now) &&
      !cc_granter_era_is_suspect (&g->era, &g->shared, g->pools, now) &&
      step_plan (g, now);
  g->confirmed = FALSE;
  if (g->shared.lease.held && !g->resigning && !g->vacating &&
      step_grants (g, now))
    vacate_lease (g, now);
  step_lease (g, now);
}

static void
on_tick (gpointer data)
{
  CcGranter *g = data;

  cc_timer_start (&g->tick,
                  g->shared.lease.held || g->may_claim ? TICK : POLL_PERIOD / 2,
                  on_tick, g);
  cc_granter_tick (g);
}

/* Adds COUNT requests for KEY of POOL, as reported by an entry. */
void
cc_granter_add_load (CcGranter *g, const char *pool, guint key, guint count)
{
  CcGrantedPool *p = g_hash_table_lookup (g->pools, pool);

  if (p != NULL)
    cc_key_load_add (&p->load, key, count);
}

/* Adds a report that TARGET spent WORK us on ANSWERS responses. */
void
cc_granter_add_work (CcGranter *g, const char *target, double work,
                     guint answers)
{
  const CcTarget *t = cc_targets_find (g->setup.targets, target);

  if (t != NULL)
    cc_work_rates_add (&g->rates, t->listing.pool, target, work, answers,
                       cc_clock_now ());
}

/* Whether this process holds the lease, as far as it knows. */
gboolean
cc_granter_holds_lease (const CcGranter *g)
{
  return g->shared.lease.held;
}

/* Whether this process holds the lease, or has held it until lately and lost
 * the table service. */
gboolean
cc_granter_has_recent_lease (const CcGranter *g)
{
  return cc_granter_lease_may_renew (&g->shared.lease, cc_clock_now ());
}

/* Whether this process holds the lease and no other can have taken it over. */
gboolean
cc_granter_is_only_holder (const CcGranter *g)
{
  return cc_granter_lease_may_change (&g->shared.lease, cc_clock_now ());
}

/* The capacity of an upstream has changed at once: balances the load anew. */
void
cc_granter_capacity_changed (CcGranter *g)
{
  g->rebalance_at = MIN (g->rebalance_at, cc_clock_now ());
  g->shared.replan = TRUE;
}

/* Releases the lease permanently, before the process exits. */
void
cc_granter_resign (CcGranter *g)
{
  g->resigning = TRUE;
}

/* Whether the lease has been released, or is not held and no request to the
 * table service is in progress. */
gboolean
cc_granter_has_resigned (const CcGranter *g)
{
  return g->resigned || (!g->shared.lease.held && !g->table_busy);
}
