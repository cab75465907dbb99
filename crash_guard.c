/* Gateways report crashes to each other by datagrams, since each crash may be
 * seen by another one and none alone sees three of them.  Who is found fatal is
 * written to a row of the table, for those that missed the datagrams or start
 * later.  Either way is enough: datagrams go on without the table, the row
 * reaches a gateway that is partitioned from others. */
#include "crash_guard.h"

#include "clock.h"
#include "crash_report.h"
#include "event_log.h"
#include "metrics.h"
#include "quarantine.h"
#include "row_version.h"

/* A report is sent again after these times, since datagrams are lost. */
static const gint64 repeat_after[] = { 0, 250 * CC_MS, 1 * CC_SECOND };

/* Time from a report to the evaluation, in which lost reports are repeated.
 *
 * Failure: a gateway has not received that the fatal request was inside one of
 * the crashes, and finds a harmless one fatal that was inside all of them. */
#define SETTLING (300 * CC_MS)
#define SETTLING_MAX (2 * SETTLING)
/* Time until a gateway that only received the reports writes the row, if it is
 * not written by then, and what is added for each member before it. */
#define WRITE_DELAY (1 * CC_SECOND)
#define WRITE_DELAY_OF_RANK (20 * CC_MS)
/* Time until a failed write is tried again. */
#define WRITE_RETRY (1 * CC_SECOND)
/* A trial that was granted to this gateway must begin within this time. */
#define TRIAL_VALID (5 * CC_SECOND)
/* Least Retry-After of a refused request. */
#define RETRY_AFTER_MIN (1 * CC_SECOND)
/* Crashes after which one run of a request at a time is allowed here. */
#define CRASHES_ALONE (CC_CRASHES_FATAL - 1)
/* Requests of one report; a datagram holds 65507 bytes. */
#define INSIDE_MAX 400

/* The trial of a request that this gateway has asked for. */
typedef struct
{
  CcFingerprint fingerprint;
  enum
  {
    TRIAL_NONE,
    TRIAL_ASKED,   /* the row is being written */
    TRIAL_GRANTED, /* the next such request runs */
    TRIAL_RUNS
  } state;
  gint64 until; /* end of a grant, us */
} Trial;

/* A report that is sent a few times. */
typedef struct
{
  CcReportedCrash *crash;
  gint64 first_at; /* us */
  guint sent;      /* times */
} Outgoing;

struct CcCrashGuard
{
  CcCrashGuardSetup setup;
  CcCrashEvidence *evidence;
  CcQuarantine *quarantine;
  GPtrArray *outgoing;   /* of Outgoing */
  GHashTable *good_runs; /* CcFingerprint to count, to be sent */
  GHashTable *inside;    /* CcFingerprint to count: runs of suspects here */
  Trial trial;
  guint rank;             /* place among the members */
  guint64 version;        /* of the row; 0: none */
  gboolean writing;       /* the row */
  gint64 evaluate_at;     /* us; 0: no evaluation is due */
  gint64 unsettled_since; /* first report since the last evaluation, us */
  gint64 write_delay;     /* for what the next evaluation finds, us */
  gint64 write_at;        /* when an unwritten quarantine is written, us */
};

static void
outgoing_free (gpointer data)
{
  Outgoing *o = data;
  CcCrashReport r;

  cc_crash_report_init (&r);
  g_ptr_array_add (r.crashes, o->crash);
  cc_crash_report_clear (&r);
  g_free (o);
}

/* Returns a guard that knows of no crash.  SETUP is copied. */
CcCrashGuard *
cc_crash_guard_new (const CcCrashGuardSetup *setup)
{
  CcCrashGuard *g = g_new0 (CcCrashGuard, 1);

  g->setup = *setup;
  g->evidence = cc_crash_evidence_new ();
  g->quarantine = cc_quarantine_new ();
  g->outgoing = g_ptr_array_new_with_free_func (outgoing_free);
  g->good_runs = g_hash_table_new_full (cc_fingerprint_hash,
                                        cc_fingerprint_equal, g_free, NULL);
  g->inside = g_hash_table_new_full (cc_fingerprint_hash, cc_fingerprint_equal,
                                     g_free, NULL);
  return g;
}

/* Frees G. */
void
cc_crash_guard_free (CcCrashGuard *g)
{
  g_hash_table_unref (g->inside);
  g_hash_table_unref (g->good_runs);
  g_ptr_array_unref (g->outgoing);
  cc_quarantine_free (g->quarantine);
  cc_crash_evidence_free (g->evidence);
  g_free (g);
}

/* Sets the place of this gateway among the members, by which gateways write the
 * row one after the other. */
void
cc_crash_guard_set_rank (CcCrashGuard *g, guint rank)
{
  g->rank = rank;
}

/* Adds MORE to the count of F in COUNTS. */
static void
add_count (GHashTable *counts, const CcFingerprint *f, gint more)
{
  gint count = GPOINTER_TO_INT (g_hash_table_lookup (counts, f)) + more;

  if (count > 0)
    g_hash_table_insert (counts, g_memdup2 (f, sizeof *f),
                         GINT_TO_POINTER (count));
  else
    g_hash_table_remove (counts, f);
}

/* Returns whether a request for a path with the hash PATH may be a suspect or
 * in quarantine.  The other functions need not be called for those that are
 * not. */
gboolean
cc_crash_guard_has_path (const CcCrashGuard *g, guint32 path)
{
  return cc_crash_evidence_has_path (g->evidence, path) ||
         cc_quarantine_has_path (g->quarantine, path);
}

/* ---- decisions ---- */

/* Returns the entry that refuses a request with F, or NULL. */
static const CcQuarantineEntry *
find_entry (const CcCrashGuard *g, const CcFingerprints *f)
{
  const CcQuarantineEntry *e =
      cc_quarantine_find (g->quarantine, &f->by_caller);

  if (e == NULL || e->probation)
    e = cc_quarantine_find (g->quarantine, &f->by_content);
  return e == NULL || e->probation ? NULL : e;
}

/* Writes the quarantine to its row. */
static void
write_row (CcCrashGuard *g)
{
  g_autofree char *value = cc_quarantine_encode (g->quarantine);

  g->writing = TRUE;
  cc_quarantine_begin_write (g->quarantine);
  g->setup.write (value, g->version, g->setup.data);
}

/* Returns whether a request with the entry E may run now, as its trial.  Asks
 * for a trial when one is due: whoever writes the row gets it. */
static CcGuardVerdict
decide_trial (CcCrashGuard *g, const CcQuarantineEntry *e, gint64 now)
{
  Trial *t = &g->trial;
  gboolean is_its = t->state != TRIAL_NONE &&
                    cc_fingerprint_equal (&t->fingerprint, &e->fingerprint);

  if (is_its && t->state == TRIAL_ASKED)
    return CC_GUARD_WAITS;
  if (is_its && t->state == TRIAL_GRANTED && now < t->until)
    {
      t->state = TRIAL_RUNS;
      return CC_GUARD_PASSES;
    }
  if (cc_clock_wall () < e->trial_at || g->writing)
    return CC_GUARD_REFUSED;
  *t = (Trial){ .fingerprint = e->fingerprint, .state = TRIAL_ASKED };
  cc_quarantine_begin_trial (g->quarantine, &e->fingerprint, cc_clock_wall ());
  write_row (g);
  return CC_GUARD_WAITS;
}

/* Returns whether one more crash may show that a request with F is fatal. */
gboolean
cc_crash_guard_is_suspect (const CcCrashGuard *g, const CcFingerprints *f)
{
  return cc_crash_evidence_is_suspect (g->evidence, &f->by_caller,
                                       CRASHES_ALONE);
}

/* Returns whether the evaluation that is due may find F fatal. */
static gboolean
may_be_found_fatal (const CcCrashGuard *g, const CcFingerprints *f)
{
  return g->evaluate_at != 0 &&
         (cc_crash_evidence_is_suspect (g->evidence, &f->by_caller,
                                        CC_CRASHES_FATAL) ||
          cc_crash_evidence_is_suspect (g->evidence, &f->by_content,
                                        CC_CRASHES_FATAL));
}

/* Decides at NOW, us, whether a request with F is sent to an upstream. */
CcGuardDecision
cc_crash_guard_decide (CcCrashGuard *g, const CcFingerprints *f, gint64 now)
{
  const CcQuarantineEntry *e = find_entry (g, f);
  CcGuardDecision d = { .verdict = CC_GUARD_PASSES };

  if (e != NULL)
    {
      d.verdict = decide_trial (g, e, now);
      d.retry_after = MAX (e->trial_at - cc_clock_wall (), RETRY_AFTER_MIN);
      d.crashes = e->crashes;
      return d;
    }
  if (may_be_found_fatal (g, f) ||
      (cc_crash_guard_is_suspect (g, f) &&
       g_hash_table_contains (g->inside, &f->by_caller)))
    d.verdict = CC_GUARD_WAITS;
  return d;
}

/* A request with F is sent to an upstream.  Returns TRUE if
 * cc_crash_guard_end_run must be called when it is no longer there. */
gboolean
cc_crash_guard_begin_run (CcCrashGuard *g, const CcFingerprints *f)
{
  if (!cc_crash_evidence_is_suspect (g->evidence, &f->by_caller, 1))
    return FALSE;
  add_count (g->inside, &f->by_caller, 1);
  return TRUE;
}

/* A request with F has left an upstream. */
void
cc_crash_guard_end_run (CcCrashGuard *g, const CcFingerprints *f)
{
  add_count (g->inside, &f->by_caller, -1);
}

/* ---- evidence ---- */

/* Returns the names of CRASHES (char), separated by spaces, for the log; the
 * caller frees them. */
char *
cc_crash_names (const GPtrArray *crashes)
{
  GString *names = g_string_new (NULL);

  for (guint i = 0; i < crashes->len; i++)
    g_string_append_printf (names, "%s%s", i > 0 ? " " : "",
                            (char *) crashes->pdata[i]);
  return g_string_free (names, FALSE);
}

static void
log_request (const char *event, const CcFingerprint *f,
             const CcQuarantineEntry *e)
{
  char text[CC_FINGERPRINT_TEXT];
  g_autofree char *upstreams = cc_crash_names (e->crashes);

  cc_fingerprint_write (f, text);
  cc_event (CC_EVENT_STATE, event, "fingerprint", text, "pool", e->pool,
            "crashes", cc_event_int (e->crashes->len), "upstreams", upstreams,
            "trials", cc_event_int (e->trials), "trial_in_ms",
            cc_event_int ((e->trial_at - cc_clock_wall ()) / CC_MS), NULL);
}

/* Schedules a write of the row after DELAY unless one is due earlier. */
static void
schedule_write (CcCrashGuard *g, gint64 delay, gint64 now)
{
  if (g->write_at == 0 || now + delay < g->write_at)
    g->write_at = now + delay;
  g->setup.wake (g->setup.data);
}

/* Puts requests that are found fatal into quarantine. */
static void
evaluate (CcCrashGuard *g, gint64 now)
{
  g_autoptr (GPtrArray) fatal = cc_crash_evidence_fatal (g->evidence);

  g->evaluate_at = 0;
  for (guint i = 0; i < fatal->len; i++)
    {
      const CcFatalRequest *f = fatal->pdata[i];

      if (!cc_quarantine_add (g->quarantine, f, cc_clock_wall ()))
        continue;
      log_request ("request-quarantined", &f->fingerprint,
                   cc_quarantine_find (g->quarantine, &f->fingerprint));
      schedule_write (g, g->write_delay, now);
    }
}

/* Schedules an evaluation.  What it finds is written after DELAY, us. */
static void
schedule_evaluation (CcCrashGuard *g, gint64 delay, gint64 now)
{
  if (g->evaluate_at == 0)
    {
      g->unsettled_since = now;
      g->write_delay = delay;
    }
  g->write_delay = MIN (g->write_delay, delay);
  g->evaluate_at = MIN (now + SETTLING, g->unsettled_since + SETTLING_MAX);
  g->setup.wake (g->setup.data);
}

/* Adds CRASH with COUNT requests INSIDE.  What is found by it is written after
 * DELAY, us. */
static void
add_crash (CcCrashGuard *g, const CcCrash *crash, const CcFingerprints *inside,
           guint count, gint64 delay, gint64 now)
{
  g_autofree char *name =
      g_strdup_printf ("%s.%" G_GUINT64_FORMAT, crash->target, crash->born);

  cc_crash_evidence_expire (g->evidence, now);
  if (!cc_crash_evidence_add (g->evidence, crash, inside, count))
    return;
  for (guint i = 0; i < count; i++)
    if (cc_quarantine_crashed_again (g->quarantine, &inside[i].by_caller, name,
                                     cc_clock_wall ()) ||
        cc_quarantine_crashed_again (g->quarantine, &inside[i].by_content, name,
                                     cc_clock_wall ()))
      schedule_write (g, delay, now);
  schedule_evaluation (g, delay, now);
}

/* This gateway has lost the COUNT requests INSIDE when an upstream ended. */
void
cc_crash_guard_crashed (CcCrashGuard *g, const CcCrash *crash,
                        const CcFingerprints *inside, guint count, gint64 now)
{
  Outgoing *o = g_new0 (Outgoing, 1);

  ++*cc_metrics_counter ("capercrank_upstream_crashes", "");
  cc_event (CC_EVENT_STATE, "upstream-crashed", "target", crash->target, "born",
            cc_event_int ((gint64) crash->born), "pool", crash->pool,
            "requests_lost", cc_event_int (count), "age_ms",
            cc_event_int ((now - crash->at) / CC_MS), NULL);
  count = MIN (count, INSIDE_MAX);
  o->crash = cc_reported_crash_new (crash, inside, count);
  o->first_at = now;
  g_ptr_array_add (g->outgoing, o);
  g->setup.wake (g->setup.data);
  add_crash (g, crash, inside, count, 0, now);
}

/* A run of a request with F has ended and its upstream still works. */
void
cc_crash_guard_good_run (CcCrashGuard *g, const CcFingerprints *f)
{
  const CcFingerprint *both[] = { &f->by_caller, &f->by_content };
  Trial *t = &g->trial;

  for (guint i = 0; i < G_N_ELEMENTS (both); i++)
    {
      if (i == 1 && cc_fingerprint_equal (both[0], both[1]))
        break;
      if (cc_crash_evidence_add_good_runs (g->evidence, both[i], 1))
        {
          add_count (g->good_runs, both[i], 1);
          g->setup.wake (g->setup.data);
        }
      if (t->state != TRIAL_RUNS ||
          !cc_fingerprint_equal (&t->fingerprint, both[i]))
        continue;
      t->state = TRIAL_NONE;
      cc_crash_evidence_forget (g->evidence, both[i]);
      cc_quarantine_release (g->quarantine, both[i], cc_clock_wall ());
      log_request ("quarantine-released", both[i],
                   cc_quarantine_find (g->quarantine, both[i]));
      schedule_write (g, 0, cc_clock_now ());
    }
}

/* ---- other gateways ---- */

/* Sends R and empties it. */
static void
send_report (CcCrashGuard *g, CcCrashReport *r, gint64 now)
{
  g_autoptr (GBytes) bytes = cc_crash_report_encode (r, now);

  g->setup.broadcast (bytes, g->setup.data);
  g_ptr_array_set_size (r->crashes, 0);
  g_array_set_size (r->good_runs, 0);
}

/* Sends the reports that are due. */
static void
send_reports (CcCrashGuard *g, gint64 now)
{
  CcCrashReport r;
  GHashTableIter i;
  gpointer key, count;

  cc_crash_report_init (&r);
  for (guint n = g->outgoing->len; n > 0; n--)
    {
      Outgoing *o = g->outgoing->pdata[n - 1];
      CcCrash crash = { o->crash->pool, o->crash->target, o->crash->born,
                        o->crash->at };

      if (now - o->first_at < repeat_after[o->sent])
        continue;
      g_ptr_array_add (
          r.crashes,
          cc_reported_crash_new (
              &crash,
              (const CcFingerprints *) (gpointer) o->crash->inside->data,
              o->crash->inside->len));
      if (++o->sent == G_N_ELEMENTS (repeat_after))
        g_ptr_array_remove_index (g->outgoing, n - 1);
      send_report (g, &r, now);
    }
  g_hash_table_iter_init (&i, g->good_runs);
  while (g_hash_table_iter_next (&i, &key, &count))
    {
      CcGoodRuns runs = { *(const CcFingerprint *) key,
                          GPOINTER_TO_UINT (count) };

      g_array_append_val (r.good_runs, runs);
      g_hash_table_iter_remove (&i);
      if (r.good_runs->len >= INSIDE_MAX)
        break;
    }
  if (r.good_runs->len > 0)
    send_report (g, &r, now);
  cc_crash_report_clear (&r);
}

/* Adds the crash C that another gateway reports. */
static void
add_reported (CcCrashGuard *g, const CcReportedCrash *c, gint64 now)
{
  CcCrash crash = { c->pool, c->target, c->born, c->at };

  if (g->setup.has_responded (&crash, g->setup.data))
    {
      cc_event (CC_EVENT_STATE, "crash-report-refuted", "target", c->target,
                "born", cc_event_int ((gint64) c->born), NULL);
      return;
    }
  (void) add_crash (
      g, &crash, (const CcFingerprints *) (gpointer) c->inside->data,
      c->inside->len, WRITE_DELAY + g->rank * WRITE_DELAY_OF_RANK, now);
}

/* Handles DATAGRAM of another gateway.  Returns FALSE if it is no report of
 * crashes. */
gboolean
cc_crash_guard_receive (CcCrashGuard *g, GBytes *datagram, gint64 now)
{
  CcCrashReport r;

  if (!cc_crash_report_decode (datagram, now, &r))
    return FALSE;
  for (guint i = 0; i < r.crashes->len; i++)
    add_reported (g, r.crashes->pdata[i], now);
  for (guint i = 0; i < r.good_runs->len; i++)
    {
      const CcGoodRuns *runs = &g_array_index (r.good_runs, CcGoodRuns, i);

      cc_crash_evidence_add_reported_runs (g->evidence, &runs->fingerprint,
                                           runs->runs, now);
    }
  cc_crash_report_clear (&r);
  return TRUE;
}

/* ---- the row ---- */

/* Schedules the write of what the row lacks, if anything. */
static void
write_missing (CcCrashGuard *g, gint64 now)
{
  if (cc_quarantine_is_unwritten (g->quarantine))
    schedule_write (g, WRITE_DELAY + g->rank * WRITE_DELAY_OF_RANK, now);
}

/* The table service has lost the latest writes of the row. */
static void
row_lost (CcCrashGuard *g)
{
  cc_event (CC_EVENT_STATE, "quarantine-lost", "requests",
            cc_event_int (cc_quarantine_size (g->quarantine)), NULL);
  cc_quarantine_row_lost (g->quarantine);
}

/* The row has VALUE and VERSION. */
void
cc_crash_guard_row (CcCrashGuard *g, const char *value, guint64 version,
                    gint64 now)
{
  if (version <= g->version)
    return;
  if (g->version != 0 && cc_row_era (version) > cc_row_era (g->version))
    row_lost (g);
  g->version = version;
  if (!cc_quarantine_apply (g->quarantine, value, cc_clock_wall ()))
    cc_event (CC_EVENT_STATE, "quarantine-damaged", "row_version",
              cc_event_int ((gint64) version), NULL);
  write_missing (g, now);
}

/* As of version UPTO there is no row.  Nobody deletes it, so one that was there
 * has been lost with an era of the table service. */
void
cc_crash_guard_row_missing (CcCrashGuard *g, guint64 upto, gint64 now)
{
  if (g->version == 0 || cc_row_era (upto) <= cc_row_era (g->version))
    return;
  row_lost (g);
  g->version = 0;
  write_missing (g, now);
}

/* The last write ended with STATUS and, if that is CC_OK, made VERSION. */
void
cc_crash_guard_written (CcCrashGuard *g, CcStatus status, guint64 version,
                        gint64 now)
{
  g->writing = FALSE;
  cc_quarantine_end_write (g->quarantine, status == CC_OK);
  if (status == CC_OK)
    {
      g->version = MAX (g->version, version);
      g->write_at = 0;
    }
  else
    {
      cc_event (CC_EVENT_STATE, "quarantine-not-written", "conflict",
                status == CC_CONFLICT ? "yes" : "no", NULL);
      schedule_write (g, WRITE_RETRY + g->rank * WRITE_DELAY_OF_RANK, now);
    }
  if (g->trial.state != TRIAL_ASKED)
    return;
  g->trial.state = status == CC_OK ? TRIAL_GRANTED : TRIAL_NONE;
  g->trial.until = now + TRIAL_VALID;
}

/* Sends reports and writes the row as far as they are due at NOW, us.  Returns
 * TRUE if it is to be called again after CC_CRASH_GUARD_PERIOD. */
gboolean
cc_crash_guard_tick (CcCrashGuard *g, gint64 now)
{
  send_reports (g, now);
  if (g->evaluate_at != 0 && now >= g->evaluate_at)
    evaluate (g, now);
  if (!cc_quarantine_is_unwritten (g->quarantine))
    g->write_at = 0;
  else if (!g->writing && g->write_at != 0 && now >= g->write_at)
    write_row (g);
  return g->outgoing->len > 0 || g->evaluate_at != 0 || g->write_at != 0 ||
         g->writing;
}

/* Updates the metric gauges. */
void
cc_crash_guard_write_gauges (const CcCrashGuard *g)
{
  cc_metrics_gauge ("capercrank_quarantined_requests", "",
                    cc_quarantine_size (g->quarantine));
  cc_metrics_gauge ("capercrank_crash_suspects", "",
                    cc_crash_evidence_size (g->evidence));
}
