/* Finds out which upstreams have ended, reports the requests that were inside
 * to the crash guard (crash_guard.h), and refuses those that it refuses. */
#include "clock.h"
#include "event_log.h"
#include "exchange_state.h"
#include "upstream_end.h"

#define CHECK_PERIOD (100 * CC_MS)
#define CONNECT_TIMEOUT (200 * CC_MS)

/* An upstream that may have ended. */
struct CcLostUpstream
{
  CcForwarder *forwarder;
  CcForwardPool *pool;
  CcTarget *target;
  char *address;
  guint64 born;
  CcUpstreamEnd end;
  GArray *inside; /* of CcFingerprints */
  gint64 probed_at;
  gboolean probing;
  gboolean done; /* decided; freed when no probe is under way */
};

static void
lost_free (CcLostUpstream *u)
{
  g_array_unref (u->inside);
  g_free (u->address);
  g_free (u);
}

/* Returns the newest open entry of T's present start, or NULL. */
static CcLostUpstream *
find_lost (const CcForwarder *f, const CcTarget *t)
{
  for (guint i = f->lost->len; i > 0; i--)
    {
      CcLostUpstream *u = f->lost->pdata[i - 1];

      if (u->target == t && u->born == t->listing.born)
        return u;
    }
  return NULL;
}

static void
on_connected (CcHttpConnectEnd end, gpointer data)
{
  CcLostUpstream *u = data;
  gint64 now = cc_clock_now ();

  u->probing = FALSE;
  if (u->done)
    {
      lost_free (u);
      return;
    }
  switch (end)
    {
    case CC_HTTP_CONNECTED:
      cc_upstream_end_accepted (&u->end, now);
      break;
    case CC_HTTP_REFUSED:
      cc_upstream_end_refused (&u->end, now);
      break;
    case CC_HTTP_NOT_CONNECTED:
      break;
    }
}

/* Tries a connection to the upstream of U if that may show something. */
static void
probe (CcLostUpstream *u, gint64 now)
{
  if (u->probing || !cc_upstream_end_needs_probe (&u->end, u->probed_at, now))
    return;
  u->probed_at = now;
  u->probing = cc_http_connect (u->forwarder->setup.http, u->address,
                                CONNECT_TIMEOUT, on_connected, u);
}

/* Returns what the list of upstreams says of U now. */
static CcUpstreamListing
listing_of (const CcLostUpstream *u)
{
  const CcTarget *t = u->target;

  if (t->listing.born != u->born ||
      !g_str_equal (t->listing.address, u->address))
    return CC_UPSTREAM_RESTARTED;
  switch (t->state)
    {
    case CC_TARGET_READY:
      return CC_UPSTREAM_LISTED;
    case CC_TARGET_LEAVING:
      return CC_UPSTREAM_LEFT;
    case CC_TARGET_GONE:
      break;
    }
  return cc_targets_is_replaced (u->forwarder->setup.targets, t)
             ? CC_UPSTREAM_REPLACED
             : CC_UPSTREAM_MISSING;
}

/* Reports the end of U, whose last connections were lost at its beginning. */
static void
report (const CcLostUpstream *u, gint64 now)
{
  CcCrash crash = { u->pool->name, u->target->listing.id, u->born,
                    u->end.lost_at };

  cc_crash_guard_crashed (u->forwarder->setup.guard, &crash,
                          (const CcFingerprints *) (gpointer) u->inside->data,
                          u->inside->len, now);
}

static void check_lost (gpointer data);

static void
schedule_check (CcForwarder *f)
{
  if (f->lost->len > 0 && f->lost_timer.place == NULL)
    cc_timer_start (&f->lost_timer, CHECK_PERIOD, check_lost, f);
}

/* Decides the open entries of DATA, a forwarder, as far as possible. */
static void
check_lost (gpointer data)
{
  CcForwarder *f = data;
  gint64 now = cc_clock_now ();

  for (guint i = f->lost->len; i > 0; i--)
    {
      CcLostUpstream *u = f->lost->pdata[i - 1];
      CcEndVerdict verdict =
          cc_upstream_end_decide (&u->end, listing_of (u), now);

      if (verdict == CC_END_OPEN)
        {
          probe (u, now);
          continue;
        }
      g_ptr_array_remove_index (f->lost, i - 1);
      if (verdict == CC_END_CRASHED)
        report (u, now);
      u->done = TRUE;
      if (!u->probing)
        lost_free (u);
    }
  schedule_check (f);
}

static CcLostUpstream *
lost_new (CcExchange *e, gint64 now)
{
  CcLostUpstream *u = g_new0 (CcLostUpstream, 1);

  u->forwarder = e->forwarder;
  u->pool = e->pool;
  u->target = e->target;
  u->address = g_strdup (e->target->listing.address);
  u->born = e->target->listing.born;
  u->inside = g_array_new (FALSE, FALSE, sizeof (CcFingerprints));
  cc_upstream_end_lost (&u->end, now);
  g_ptr_array_add (e->forwarder->lost, u);
  return u;
}

/* The connection of E's attempt was closed or reset. */
void
cc_forwarder_upstream_lost (CcExchange *e, gint64 now)
{
  CcForwarder *f = e->forwarder;
  CcLostUpstream *u;

  if (f->setup.guard == NULL || e->target->state != CC_TARGET_READY)
    return;
  u = find_lost (f, e->target);
  if (u == NULL || !cc_upstream_end_is_same (&u->end, now))
    u = lost_new (e, now);
  g_array_append_val (u->inside, *cc_exchange_fingerprints (e));
  probe (u, now);
  schedule_check (f);
}

/* T has answered. */
void
cc_forwarder_upstream_answered (CcForwarder *f, const CcTarget *t, gint64 now)
{
  CcLostUpstream *u = f->lost->len > 0 ? find_lost (f, t) : NULL;

  if (u != NULL)
    cc_upstream_end_answered (&u->end, now);
}

/* T has refused a connection. */
void
cc_forwarder_upstream_refused (CcForwarder *f, const CcTarget *t, gint64 now)
{
  CcLostUpstream *u = f->lost->len > 0 ? find_lost (f, t) : NULL;

  if (u != NULL)
    cc_upstream_end_refused (&u->end, now);
}

/* Returns whether T seems to have ended, so far: connections to it were lost,
 * and others refused since. */
gboolean
cc_forwarder_upstream_seems_ended (const CcForwarder *f, const CcTarget *t)
{
  const CcLostUpstream *u = find_lost (f, t);

  return u != NULL && cc_upstream_end_is_likely (&u->end);
}

/* Logs that E is refused by D. */
static void
log_quarantined (CcExchange *e, const CcGuardDecision *d)
{
  char text[CC_FINGERPRINT_TEXT];
  g_autofree char *upstreams = cc_crash_names (d->crashes);

  cc_fingerprint_write (&e->fingerprints.by_caller, text);
  cc_event (CC_EVENT_FAILED, "request-refused", "request", e->caller.id,
            "reason", "quarantined", "fingerprint", text, "route", e->kind,
            "pool", e->pool->name, "crashes", cc_event_int (d->crashes->len),
            "upstreams", upstreams, "retry_after_ms",
            cc_event_int (d->retry_after / CC_MS), NULL);
}

/* Decides whether E may be sent at NOW, us.  If it is refused, it is ended and
 * freed. */
CcGuardVerdict
cc_exchange_check_crashes (CcExchange *e, gint64 now)
{
  CcCrashGuard *guard = e->forwarder->setup.guard;
  CcGuardDecision d;

  if (guard == NULL || !cc_crash_guard_has_path (guard, e->path_hash))
    return CC_GUARD_PASSES;
  d = cc_crash_guard_decide (guard, cc_exchange_fingerprints (e), now);
  if (d.verdict == CC_GUARD_REFUSED)
    {
      log_quarantined (e, &d);
      cc_exchange_end_not_run_after (e, "quarantined", d.retry_after);
    }
  return d.verdict;
}
