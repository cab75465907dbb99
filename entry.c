/* capercrank-entry: accepts callers' HTTP requests, validates them, forwards
 * each to the dispatcher that owns its key, and returns the response.
 *
 * A request whose caller closes the connection is cancelled at its dispatcher,
 * so that its server does not continue until the deadline with work whose
 * response nobody receives.  The size of a body is limited while it is read, so
 * that an endless one cannot exhaust memory. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "router.h"
#include "body_limit.h"
#include "clock.h"
#include "follower.h"
#include "hangup.h"
#include "headers.h"
#include "histograms.h"
#include "log.h"
#include "metrics.h"
#include "outcome.h"
#include "process.h"
#include "request_check.h"
#include "settings.h"

/* Minimum drain time, in which the load balancer stops sending requests. */
#define DRAIN_MIN (3 * CC_SECOND)
#define DRAIN_MAX (30 * CC_SECOND)
#define STARTING_RETRY_AFTER_MS 1000 /* a dispatcher has responded by then */
#define TENANT_DEFAULT "anonymous"

typedef struct
{
  CcFollower *follower;
  CcMailbox *mailbox;
  CcRouter *router;
  SoupServer *caller_server;
  GHashTable *stats; /* class name to Stats */
  CcHistograms latency;
  gint64 stop_at; /* latest exit when draining, us; 0: not draining */
} Entry;

/* Metric counters of one class, indexed by outcome. */
typedef struct
{
  CcCounter *outcomes[3];
  CcCounter *in_target;
} Stats;

/* A caller's request and its open connection. */
typedef struct
{
  Entry *entry;
  SoupServerMessage *message;
  CcPendingRequest *pending; /* NULL: not in progress at the router */
  Stats *stats;
  CcHistogram *class_latency;
  CcHistogram *tenant_latency;
  gint64 latency_target; /* of the class, us */
  gint64 started;
  CcHangup hangup; /* watches for the caller closing the connection */
  gboolean answered;
} CallerRequest;

/* Answers M with STATUS and a JSON body and headers that give OUTCOME, the
 * one-word REASON and, if WAIT_MS is not 0, the retry time. */
static void
answer_outcome (SoupServerMessage *m, guint status, CcOutcome outcome,
                const char *reason, const char *text, guint32 wait_ms)
{
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);
  g_autofree char *body = g_strdup_printf (
      "{\"outcome\":\"%s\",\"reason\":\"%s\",\"retry_after_ms\":%u,"
      "\"message\":\"%s\"}\n",
      cc_outcome_name (outcome), reason, wait_ms, text);

  soup_message_headers_replace (h, CC_HDR_OUTCOME, cc_outcome_name (outcome));
  soup_message_headers_replace (h, CC_HDR_REASON, reason);
  if (wait_ms > 0)
    {
      g_autofree char *seconds = g_strdup_printf ("%u", (wait_ms + 999) / 1000);

      g_autofree char *ms = g_strdup_printf ("%u", wait_ms);

      soup_message_headers_replace (h, "Retry-After", seconds);
      soup_message_headers_replace (h, CC_HDR_RETRY_MS, ms);
    }
  cc_http_answer (m, status, "application/json", body);
}

/* Returns the counters of CLASS, creating them on first use. */
static Stats *
find_stats (Entry *e, const char *class)
{
  Stats *s = g_hash_table_lookup (e->stats, class);
  g_autofree char *label = NULL;

  if (s != NULL)
    return s;
  s = g_new0 (Stats, 1);
  label = cc_metrics_label ("class", class);
  for (guint i = 0; i < 3; i++)
    {
      g_autofree char *with_outcome = g_strdup_printf (
          "%s,outcome=\"%s\"", label, cc_outcome_name ((CcOutcome) i));

      s->outcomes[i] = cc_metrics_counter ("capercrank_requests", with_outcome);
    }
  s->in_target = cc_metrics_counter ("capercrank_requests_in_target", label);
  g_hash_table_insert (e->stats, g_strdup (class), s);
  return s;
}

/* Counts the outcome of C and its latency, and whether it met the class's
 * target.  Only requests that ran can meet it. */
static void
record_outcome (CallerRequest *c, CcOutcome outcome)
{
  gint64 took = cc_clock_now () - c->started;

  ++*c->stats->outcomes[outcome];
  cc_histogram_add (c->class_latency, took);
  cc_histogram_add (c->tenant_latency, took);
  if (outcome == CC_OUTCOME_RUN && took <= c->latency_target)
    ++*c->stats->in_target;
}

/* Answers M with the server's response in R. */
static void
answer_run (SoupServerMessage *m, const CcMsgReply *r)
{
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);
  const char *name, *value;
  CcHeadersIter iter;
  gsize size = 0;
  gconstpointer body =
      r->body != NULL ? g_bytes_get_data (r->body, &size) : NULL;

  soup_server_message_set_status (m, r->status, NULL);
  cc_headers_iter (&iter, r->headers);
  /* libsoup adds its own Date header; a second one would make the response
   * malformed. */
  while (cc_headers_next (&iter, &name, &value))
    if (g_ascii_strcasecmp (name, "Date") != 0)
      soup_message_headers_append (h, name, value);
  soup_message_headers_replace (h, CC_HDR_OUTCOME, "run");
  if (r->reason != NULL && r->reason[0] != '\0')
    soup_message_headers_replace (h, CC_HDR_REASON, r->reason);
  if (size > 0)
    soup_message_body_append (soup_server_message_get_response_body (m),
                              SOUP_MEMORY_COPY, body, size);
}

/* Receives the outcome from the router and answers the caller. */
static void
on_outcome (const CcMsgReply *r, gpointer data)
{
  CallerRequest *c = data;

  c->pending = NULL;
  c->answered = TRUE;
  cc_hangup_stop (&c->hangup);
  record_outcome (c, r->outcome);
  switch (r->outcome)
    {
    case CC_OUTCOME_RUN:
      answer_run (c->message, r);
      break;
    case CC_OUTCOME_NOT_RUN:
      answer_outcome (c->message, SOUP_STATUS_SERVICE_UNAVAILABLE, r->outcome,
                      r->reason, "the request was not run", r->retry_after);
      break;
    case CC_OUTCOME_UNKNOWN:
      answer_outcome (c->message, SOUP_STATUS_GATEWAY_TIMEOUT, r->outcome,
                      r->reason, "the request may have been run",
                      r->retry_after);
      break;
    }
  soup_server_message_unpause (c->message);
}

/* Called when the exchange with the caller ends, answered or not.  Cancels a
 * request still in progress and frees its state. */
static void
on_finished (SoupServerMessage *m, gpointer data)
{
  CallerRequest *c = data;

  (void) m;
  if (c->pending != NULL)
    cc_router_cancel (c->entry->router, c->pending);
  c->pending = NULL;
  cc_hangup_stop (&c->hangup);
  g_signal_handlers_disconnect_by_data (c->message, c);
  g_object_unref (c->message);
  g_free (c);
}

/* The caller closed its side of the connection.  Cancels the request and sends
 * outcome unknown, which a caller that only half-closed can still read. */
static void
on_hangup (gpointer data)
{
  CallerRequest *c = data;
  CcMsgReply r = { .outcome = CC_OUTCOME_UNKNOWN, .reason = "cancelled" };

  if (c->pending != NULL)
    cc_router_cancel (c->entry->router, c->pending);
  on_outcome (&r, c);
}

/* Rejects a malformed request with the findings F as the message, and closes
 * the connection. */
static void
reject_findings (SoupServerMessage *m, const CcFindings *f)
{
  g_autofree char *text = cc_findings_text (f);
  g_autofree char *flat = g_strdelimit (g_strdup (text), "\n\"\\", ' ');

  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                "Connection", "close");
  answer_outcome (m, SOUP_STATUS_BAD_REQUEST, CC_OUTCOME_NOT_RUN, "malformed",
                  g_strstrip (flat), 0);
}

static const char *
header_or_default (SoupMessageHeaders *h, const char *name,
                   const char *fallback)
{
  const char *value = soup_message_headers_get_one (h, name);

  return value != NULL && value[0] != '\0' ? value : fallback;
}

/* Submits the checked request to the router and pauses M until the outcome
 * arrives. */
static void
forward_request (Entry *e, SoupServerMessage *m,
                 const CcCheckedRequest *checked)
{
  SoupMessageHeaders *h = soup_server_message_get_request_headers (m);
  const CcClass *class = checked->class;
  CallerRequest *c = g_new0 (CallerRequest, 1);
  const char *key = soup_message_headers_get_one (h, CC_HDR_KEY);
  g_autofree char *path = cc_http_target (m);
  g_autoptr (GBytes) key_bytes = g_bytes_new (key, strlen (key));
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  CcCallerRequest w = {
    .class = class,
    .tenant = header_or_default (h, CC_HDR_TENANT, TENANT_DEFAULT),
    .idempotency = header_or_default (h, CC_HDR_IDEMPOTENCY, ""),
    .method = soup_server_message_get_method (m),
    .path = path,
    .headers = checked->headers,
    .key = key_bytes,
    .body = body,
    .deadline = cc_clock_wall () + checked->left
  };

  c->entry = e;
  c->message = g_object_ref (m);
  c->stats = find_stats (e, class->name);
  c->class_latency = cc_histograms_class (&e->latency, class->name);
  c->tenant_latency = cc_histograms_tenant (&e->latency, w.tenant);
  c->latency_target = class->within;
  c->started = cc_clock_now ();
  g_signal_connect (m, "finished", G_CALLBACK (on_finished), c);
  soup_server_message_pause (m);
  c->pending = cc_router_submit (e->router, &w, on_outcome, c);
  if (c->answered)
    c->pending = NULL;
  else
    cc_hangup_watch (&c->hangup, soup_server_message_get_socket (m), on_hangup,
                     c);
}

/* Rejects M before it reaches the router.  A request with an idempotency key is
 * answered unknown rather than not-run, for the reason given at reject() in
 * router.c. */
static void
reject_early (SoupServerMessage *m, guint status, const char *reason,
              const char *text, guint32 wait_ms)
{
  const char *key = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), CC_HDR_IDEMPOTENCY);

  answer_outcome (m, status,
                  key != NULL ? CC_OUTCOME_UNKNOWN : CC_OUTCOME_NOT_RUN, reason,
                  text, wait_ms);
}

/* Forwards M, or rejects it if it is malformed or its deadline has passed. */
static void
check_and_forward (Entry *e, SoupServerMessage *m)
{
  CcCheckedRequest checked = { 0 };
  CcFindings findings;

  cc_findings_init (&findings);
  cc_request_check (soup_server_message_get_request_headers (m),
                    e->follower->document, &findings, &checked);
  if (cc_findings_count (&findings) > 0)
    reject_findings (m, &findings);
  else if (checked.left <= 0)
    reject_early (m, SOUP_STATUS_GATEWAY_TIMEOUT, "deadline",
                  "the deadline is in the past", 0);
  else
    forward_request (e, m, &checked);
  cc_checked_clear (&checked);
  cc_findings_clear (&findings);
}

static void
on_request (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  Entry *e = data;

  (void) server, (void) path, (void) query;
  if (cc_body_is_refused (m))
    return;
  if (e->follower->document == NULL)
    reject_early (m, SOUP_STATUS_SERVICE_UNAVAILABLE, "starting",
                  "no configuration yet", STARTING_RETRY_AFTER_MS);
  else if (cc_hangup_detected (soup_server_message_get_socket (m)))
    reject_early (m, SOUP_STATUS_BAD_REQUEST, "cancelled",
                  "the caller has gone", 0);
  else
    check_and_forward (e, m);
}

/* Runs before the body is read, to limit its size. */
static void
on_headers (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  (void) server, (void) path, (void) query, (void) data;
  cc_body_limit (m, CC_BODY_MAX);
}

static void
on_view_changed (CcFollower *f, gpointer data)
{
  Entry *e = data;

  (void) f;
  cc_router_view_changed (e->router);
}

static void
on_message (const CcMessage *m, gpointer data)
{
  Entry *e = data;

  if (m->kind == CC_MSG_REPLY)
    cc_router_reply (e->router, m);
  else if (m->kind == CC_MSG_ROWS)
    cc_follower_receive (e->follower, m);
}

static void
on_link (const char *address, gboolean up, gpointer data)
{
  Entry *e = data;

  cc_router_link (e->router, address, up);
}

/* Returns why this entry is not ready for requests, or NULL if it is. */
static const char *
why_not_ready (gpointer data)
{
  Entry *e = data;

  if (e->stop_at != 0)
    return "draining\n";
  if (e->follower->document == NULL)
    return "no configuration yet\n";
  return g_hash_table_size (e->follower->maps) == 0 ? "no servers yet\n" : NULL;
}

/* Exits once DRAIN_MIN has passed and no request is pending, or after
 * DRAIN_MAX. */
static gboolean
on_drain_timer (gpointer data)
{
  Entry *e = data;
  gint64 now = cc_clock_now ();
  gboolean min_elapsed = now >= e->stop_at - DRAIN_MAX + DRAIN_MIN;

  if (now < e->stop_at && (!min_elapsed || cc_router_pending (e->router) > 0))
    return G_SOURCE_CONTINUE;
  cc_log (CC_LOG_INFO, "stopped", "%u requests unanswered",
          cc_router_pending (e->router));
  exit (0);
}

static gboolean
on_stop (gpointer data)
{
  Entry *e = data;

  if (e->stop_at != 0)
    return G_SOURCE_CONTINUE;
  cc_log (CC_LOG_INFO, "draining", "no longer ready");
  e->stop_at = cc_clock_now () + DRAIN_MAX;
  g_timeout_add (50, on_drain_timer, e);
  return G_SOURCE_CONTINUE;
}

static gboolean
open_ports (Entry *e, const CcSetting *settings, guint64 incarnation)
{
  g_autofree char *message = NULL;

  e->caller_server = cc_http_server_new ();
  g_object_set (e->caller_server, "server-header", "capercrank", NULL);
  soup_server_add_early_handler (e->caller_server, NULL, on_headers, e, NULL);
  soup_server_add_handler (e->caller_server, NULL, on_request, e, NULL);
  e->mailbox = cc_mailbox_new (cc_setting (settings, "listen"),
                               cc_setting_advertised (settings), incarnation,
                               on_message, on_link, e, &message);
  if (e->mailbox != NULL &&
      cc_http_listen (e->caller_server, cc_setting (settings, "callers"),
                      &message) &&
      cc_admin_listen (cc_setting (settings, "admin"), why_not_ready, e,
                       &message) != NULL)
    return TRUE;
  fprintf (stderr, "capercrank-entry: %s\n", message);
  return FALSE;
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", NULL, "name of this instance", 0, 0,
      NULL },
    { CC_SETTING_STRING, "zone", NULL, "its availability zone", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "callers", NULL,
      "address that accepts callers' connections", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "listen", NULL, "mailbox address for other processes",
      0, 0, NULL },
    { CC_SETTING_ADDRESSES, "advertise", "",
      "mailbox address as other processes reach it, if it differs", 0, 0,
      NULL },
    { CC_SETTING_ADDRESS, "admin", NULL, "address of metrics and readiness", 0,
      0, NULL },
    { CC_SETTING_ADDRESSES, "dispatchers", NULL,
      "dispatcher mailboxes to read the view from, own instance first", 0, 0,
      NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  Entry e = { 0 };
  g_auto (GStrv) seeds = NULL;

  switch (cc_settings_read (
      settings, "capercrank-entry",
      "Accepts callers' requests and forwards them to dispatchers.", argc,
      argv))
    {
    case CC_START_STOP:
      return 0;
    case CC_START_FAIL:
      return 2;
    case CC_START_RUN:
      break;
    }
  cc_process_map_large_blocks ();
  e.stats = g_hash_table_new (g_str_hash, g_str_equal);
  cc_histograms_init (&e.latency, "capercrank_request_seconds");
  if (!open_ports (&e, settings, cc_clock_incarnation ()))
    return 1;
  seeds = cc_setting_list (settings, "dispatchers");
  e.follower =
      cc_follower_new (e.mailbox, NULL, "", seeds, FALSE, on_view_changed, &e);
  e.router = cc_router_new (e.follower, e.mailbox);
  cc_follower_start (e.follower);
  cc_run_until_signal (on_stop, NULL, &e);
  return 0;
}
