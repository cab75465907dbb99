/* Forwards a request through a peer, another gateway, while this gateway does
 * not reach the upstreams that may serve it.
 *
 * The peer treats it as its own, with what is left of its time, attempts and
 * priority, and never forwards it again.  At most once holds since the request
 * is at one place at a time: it goes on to another peer, or back to an
 * upstream, only if nothing was sent or the peer's answer proves that it did
 * not run.  A call to a peer that is lost after it was sent may have run, and
 * is repeated only if it is idempotent and within the retry budget; the
 * attempts that the peer was allowed count as made.  The part of the retry
 * budget that the request earns goes along, so that it is counted once in the
 * fleet. */
#include "clock.h"
#include "eligibility.h"
#include "event_log.h"
#include "exchange_state.h"
#include "metrics.h"
#include "peer_message.h"

#define CONNECT_TIMEOUT (200 * CC_MS)
/* Longest idle time of a connection that is reused; peers close none. */
#define IDLE_MAX (8 * CC_SECOND)
/* The peer awaits an upstream's answer for a grace period after the deadline;
 * its answer is awaited this much longer. */
#define ANSWER_GRACE (80 * CC_MS)
/* Peers that one request tries, and the part of its target time in which it may
 * try another: a refusal takes a peer 3 ms, a lost one 200 ms. */
#define PEERS_MAX 8
#define TRY_TIME_RATIO 0.5
/* Peers that do not reach an upstream, though others of its pool, before it
 * counts as unreachable for all; and the backoff after that. */
#define UNREACHED_BY_MAX 2
#define UNREACHABLE_FIRST (200 * CC_MS)
#define UNREACHABLE_MAX (3 * CC_SECOND)

static const char *const end_names[] = {
  [CC_PEER_SERVED] = "served", [CC_PEER_PARTITIONED] = "partitioned",
  [CC_PEER_BUSY] = "busy",     [CC_PEER_UNSUPPORTED] = "unsupported",
  [CC_PEER_FAILED] = "failed", [CC_PEER_ABANDONED] = "abandoned",
};

/* Counts a forwarded request that ended as END. */
static void
count_end (CcPeerEnd end)
{
  static CcCounter *counters[G_N_ELEMENTS (end_names)];

  if (counters[end] == NULL)
    {
      g_autofree char *label = g_strdup_printf ("end=\"%s\"", end_names[end]);

      counters[end] =
          cc_metrics_counter ("capercrank_forwarded_to_peers", label);
    }
  ++*counters[end];
}

/* Records the end of E's call to its peer, which is over. */
void
cc_exchange_end_forward (CcExchange *e, CcPeerEnd end)
{
  count_end (end);
  cc_peer_pick_ended (e->pool->peers, e->peer, end, cc_clock_now ());
}

/* Returns the backoff of forwarding requests like E. */
static CcBackoff *
peers_backoff (const CcExchange *e)
{
  return e->keyed ? &e->considered->load.peers_backoff
                  : &e->pool->peers_backoff;
}

/* Moves what E earns of the retry budget to its next peer. */
static gboolean
pass_budget_on (CcExchange *e)
{
  if (!e->earned)
    return FALSE;
  cc_retry_budget_return (&e->pool->budget, &e->forwarder->setup.retry_bound);
  e->earned = FALSE;
  return TRUE;
}

/* Takes that back from a peer that received nothing. */
static void
take_budget_back (CcExchange *e)
{
  if (!e->passed_budget)
    return;
  cc_retry_budget_earn (&e->pool->budget, &e->forwarder->setup.retry_bound);
  e->earned = TRUE;
}

/* Ends E, which did not run, since neither this gateway nor a peer reaches an
 * upstream that may serve it. */
static void
end_unreachable (CcExchange *e, gint64 now)
{
  CcBackoff *b = peers_backoff (e);

  cc_backoff_fail (b, UNREACHABLE_FIRST, UNREACHABLE_MAX, now);
  cc_exchange_end_not_run_until (
      e, e->keyed ? "owner-unreachable" : "unreachable", b->until);
}

/* Handles REPLY, by which E did not run at its peer. */
static void
handle_not_run (CcExchange *e, const CcPeerReply *reply, gint64 now)
{
  const CcExchangeResult *r = &reply->result;

  if (reply->end != CC_PEER_SERVED)
    {
      cc_exchange_log_retry (e, end_names[reply->end]);
      cc_exchange_requeue (e, 0);
      return;
    }
  if (!r->unreachable)
    {
      cc_exchange_end_not_run_after (e, r->reason, r->retry_after);
      return;
    }
  e->unreached_by_peers++;
  if (e->unreached_by_peers >= UNREACHED_BY_MAX)
    end_unreachable (e, now);
  else
    {
      cc_exchange_log_retry (e, "unreachable");
      cc_exchange_requeue (e, 0);
    }
}

/* Handles the reply of E's peer. */
static void
handle_reply (CcExchange *e, const CcPeerReply *reply)
{
  const CcExchangeResult *r = &reply->result;
  gint64 now = cc_clock_now ();

  e->attempts += r->attempts;
  e->served += r->served;
  cc_exchange_end_forward (e, reply->end);
  if (!r->unreachable)
    cc_backoff_clear (peers_backoff (e));
  switch (r->kind)
    {
    case CC_EXCHANGE_ANSWERED:
      cc_exchange_end_answered (e, r);
      break;
    case CC_EXCHANGE_NOT_RUN:
      handle_not_run (e, reply, now);
      break;
    case CC_EXCHANGE_UNKNOWN:
      cc_exchange_retry_unknown (e, r->reason, 0);
      break;
    }
}

/* Tries another peer for E, which its peer has not received or not accepted. */
static void
try_next (CcExchange *e, CcPeerEnd end, const char *why)
{
  cc_exchange_end_forward (e, end);
  take_budget_back (e);
  cc_exchange_log_retry (e, why);
  cc_exchange_requeue (e, 0);
}

/* Handles the failure of E's peer for WHY, after which E may have run. */
static void
handle_failure (CcExchange *e, const char *why)
{
  e->attempts += e->peer_attempts;
  cc_exchange_end_forward (e, CC_PEER_FAILED);
  cc_exchange_retry_unknown (e, why, 0);
}

/* Handles an HTTP answer of E's peer.  A client error comes from a build that
 * does not forward requests, or not such ones: it has refused the path or the
 * message.  Any other one may come after the request was sent on. */
static void
handle_answer (CcExchange *e, const CcHttpResult *r)
{
  CcPeerReply reply;
  g_autoptr (GVariant) holder = NULL;

  if (SOUP_STATUS_IS_CLIENT_ERROR (r->status))
    {
      try_next (e, CC_PEER_UNSUPPORTED, "peer-unsupported");
      return;
    }
  if (r->status != SOUP_STATUS_OK)
    {
      handle_failure (e, "peer-failed");
      return;
    }
  holder = cc_peer_reply_decode (r->body, &reply);
  if (holder == NULL)
    {
      handle_failure (e, "peer-answer-damaged");
      return;
    }
  handle_reply (e, &reply);
  cc_peer_reply_clear (&reply);
}

/* Handles result R of the call to a peer of DATA, an exchange. */
static void
on_peer_result (const CcHttpResult *r, gpointer data)
{
  CcExchange *e = data;
  CcForwarder *f = e->forwarder;

  e->call = NULL;
  cc_timer_stop (&e->timer);
  switch (r->end)
    {
    case CC_HTTP_ANSWERED:
      handle_answer (e, r);
      break;
    case CC_HTTP_UNSENT:
    case CC_HTTP_WITHDRAWN:
      try_next (e, CC_PEER_FAILED, r->why);
      break;
    case CC_HTTP_LOST:
      handle_failure (e, "peer-lost");
      break;
    case CC_HTTP_TIMED_OUT:
      e->attempts += e->peer_attempts;
      cc_exchange_end_forward (e, CC_PEER_FAILED);
      cc_exchange_end_unknown (e, "deadline");
      break;
    }
  cc_forwarder_pump (f);
}

/* Whether E must not go through a gateway that knows neither home regions nor
 * evacuated zones. */
static gboolean
is_restricted (const CcExchange *e)
{
  const CcEvacuation *evacuation = e->forwarder->setup.evacuation;

  return e->homes != NULL ||
         (evacuation != NULL && cc_evacuation_is_active (evacuation));
}

/* Returns the message by which E is forwarded at NOW. */
static GBytes *
encode (CcExchange *e, gint64 now)
{
  CcPeerRequest r = { .pool = e->pool->name,
                      .keyed = e->keyed,
                      .route = e->kind,
                      .idempotent = e->idempotent,
                      .attempts = e->peer_attempts,
                      .priority = e->entry.priority,
                      .target = MAX (e->began + e->target_time - now, 0),
                      .left = cc_exchange_left (e, now),
                      .earns_budget = e->passed_budget,
                      .id = e->caller.id,
                      .key = e->caller.key,
                      .method = e->method,
                      .path = e->path,
                      .headers = e->headers,
                      .body = e->body,
                      .restricted = is_restricted (e),
                      .homes = e->homes };

  return cc_peer_request_encode (&r);
}

/* Returns the head of the HTTP request by which E is forwarded; the caller
 * frees it. */
static char *
forward_head (const CcExchange *e)
{
  GString *head =
      g_string_new ("POST " CC_FORWARD_PATH " HTTP/1.1\r\nHost: peer\r\n"
                    "Content-Type: application/octet-stream\r\n");

  if (e->caller.address != NULL)
    g_string_append_printf (head, CC_FORWARD_CALLER ": %s\r\n",
                            e->caller.address);
  return g_string_free (head, FALSE);
}

/* Sends E to the peer at ADDRESS.  Returns FALSE, with E back in the backlog,
 * if no connection can be opened. */
static gboolean
send_to_peer (CcExchange *e, const char *address, gint64 now)
{
  g_autoptr (GBytes) body = NULL;
  g_autofree char *head = forward_head (e);
  CcHttpRequest request = { .address = address,
                            .head = head,
                            .connect_timeout = CONNECT_TIMEOUT,
                            .answer_timeout =
                                cc_exchange_left (e, now) + ANSWER_GRACE,
                            .idle_max = IDLE_MAX };

  e->peer = address;
  g_ptr_array_add (e->peers_tried, (gpointer) address);
  /* An attempt is left for the case that the peer is lost. */
  e->peer_attempts = e->attempts_max - e->attempts;
  if (e->idempotent && e->peer_attempts > 1)
    e->peer_attempts--;
  e->passed_budget = pass_budget_on (e);
  body = encode (e, now);
  request.body = body;
  cc_peer_pick_sent (e->pool->peers, address);
  cc_backlog_remove (&e->pool->backlog, &e->entry);
  e->call =
      cc_http_send (e->forwarder->setup.http, &request, on_peer_result, e);
  if (e->call == NULL)
    {
      cc_exchange_end_forward (e, CC_PEER_FAILED);
      take_budget_back (e);
      cc_backlog_push (&e->pool->backlog, &e->entry);
      return FALSE;
    }
  e->state = STATE_FORWARDED;
  e->moving = FALSE;
  cc_timer_start (&e->timer, request.answer_timeout, cc_exchange_on_timeout, e);
  return TRUE;
}

/* Forwards E, which waits and whose upstreams are unreachable from here,
 * through a peer.  Returns FALSE if there is none that may serve it, or no time
 * or attempt is left; E still waits then. */
gboolean
cc_exchange_forward (CcExchange *e, gint64 now)
{
  CcEligibilityRules rules = { .zones = e->forwarder->setup.zones,
                               .homes = e->homes };
  CcPeerChoice choice = { .peers = e->forwarder->peers,
                          .zone = e->forwarder->setup.zone,
                          .rules = &rules };
  const char *address;

  if (e->from_peer || e->attempts >= e->attempts_max ||
      cc_exchange_left (e, now) <= 0 ||
      cc_backoff_is_active (peers_backoff (e), now))
    return FALSE;
  if (e->peers_tried == NULL)
    e->peers_tried = g_ptr_array_new ();
  else if (e->peers_tried->len >= PEERS_MAX ||
           now - e->began > (gint64) (TRY_TIME_RATIO * (double) e->target_time))
    return FALSE;
  choice.tried = e->peers_tried;
  address = cc_peer_pick_choose (e->pool->peers, &choice, now);
  return address != NULL && send_to_peer (e, address, now);
}
