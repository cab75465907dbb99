/* capercrank-entry: takes callers' HTTP requests, checks them, passes them to
 * the dispatcher of their key and hands the answers back. */
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
#include "request_check.h"
#include "settings.h"

#define DRAIN_QUIET (3 * CC_SECOND) /* until the balancer sends no more */
#define DRAIN_LIMIT (30 * CC_SECOND)
#define STARTING_WAIT_MS 1000 /* a dispatcher has answered by then */
#define TENANT_DEFAULT "anonymous"

typedef struct
{
  CcFollower *follower;
  CcMailbox *mailbox;
  CcRouter *router;
  SoupServer *callers;
  GHashTable *stats; /* class name to Stats */
  CcHistograms latency;
  gint64 stop_at; /* 0: not stopping */
} Entry;

/* Counters of one class, looked up once. */
typedef struct
{
  CcCounter *outcomes[3];
  CcCounter *in_target;
} Stats;

/* One caller's request and its open connection. */
typedef struct
{
  Entry *entry;
  SoupServerMessage *message;
  CcPendingRequest *ask;
  Stats *stats;
  CcHistogram *of_class;
  CcHistogram *of_tenant;
  gint64 within; /* the class's target, us */
  gint64 started;
  CcHangup hangup; /* watch for the caller's closing while it waits */
  gboolean answered;
} Caller;

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

static Stats *
find_stats (Entry *e, const char *class)
{
  Stats *s = g_hash_table_lookup (e->stats, class);
  g_autofree char *label = NULL;

  if (s != NULL)
    return s;
  s = g_new0 (Stats, 1);
  label = g_strdup_printf ("class=\"%s\"", class);
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

static void
count (Caller *c, CcOutcome outcome)
{
  gint64 took = cc_clock_now () - c->started;

  ++*c->stats->outcomes[outcome];
  cc_histogram_add (c->of_class, took);
  cc_histogram_add (c->of_tenant, took);
  if (outcome == CC_OUTCOME_RUN && took <= c->within)
    ++*c->stats->in_target;
}

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
  /* libsoup writes a Date of its own beside any that is there; two would be
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

static void
on_outcome (const CcMsgReply *r, gpointer data)
{
  Caller *c = data;

  c->ask = NULL;
  c->answered = TRUE;
  cc_hangup_stop (&c->hangup);
  count (c, r->outcome);
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

static void
on_finished (SoupServerMessage *m, gpointer data)
{
  Caller *c = data;

  (void) m;
  if (c->ask != NULL)
    cc_router_cancel (c->entry->router, c->ask);
  c->ask = NULL;
  cc_hangup_stop (&c->hangup);
  g_signal_handlers_disconnect_by_data (c->message, c);
  g_object_unref (c->message);
  g_free (c);
}

/* The caller closed its side: its request is cancelled, and what may still be
 * read of the answer says the truth. */
static void
on_hangup (gpointer data)
{
  Caller *c = data;
  CcMsgReply r = { .outcome = CC_OUTCOME_UNKNOWN, .reason = "cancelled" };

  if (c->ask != NULL)
    cc_router_cancel (c->entry->router, c->ask);
  on_outcome (&r, c);
}

static void
refuse_findings (SoupServerMessage *m, const CcFindings *f)
{
  g_autofree char *text = cc_findings_text (f);
  g_autofree char *flat = g_strdelimit (g_strdup (text), "\n\"\\", ' ');

  soup_message_headers_replace (soup_server_message_get_response_headers (m),
                                "Connection", "close");
  answer_outcome (m, SOUP_STATUS_BAD_REQUEST, CC_OUTCOME_NOT_RUN, "malformed",
                  g_strstrip (flat), 0);
}

static const char *
header_or (SoupMessageHeaders *h, const char *name, const char *fallback)
{
  const char *value = soup_message_headers_get_one (h, name);

  return value != NULL && value[0] != '\0' ? value : fallback;
}

static void
pass_on (Entry *e, SoupServerMessage *m, const CcCheckedRequest *checked)
{
  SoupMessageHeaders *h = soup_server_message_get_request_headers (m);
  const CcClass *class = checked->class;
  Caller *c = g_new0 (Caller, 1);
  const char *key = soup_message_headers_get_one (h, CC_HDR_KEY);
  g_autofree char *path = cc_http_target (m);
  g_autoptr (GBytes) key_bytes = g_bytes_new (key, strlen (key));
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  CcCallerRequest w = { .class = class,
                        .tenant = header_or (h, CC_HDR_TENANT, TENANT_DEFAULT),
                        .idempotency = header_or (h, CC_HDR_IDEMPOTENCY, ""),
                        .method = soup_server_message_get_method (m),
                        .path = path,
                        .headers = checked->headers,
                        .key = key_bytes,
                        .body = body,
                        .deadline = cc_clock_wall () + checked->left };

  c->entry = e;
  c->message = g_object_ref (m);
  c->stats = find_stats (e, class->name);
  c->of_class = cc_histograms_class (&e->latency, class->name);
  c->of_tenant = cc_histograms_tenant (&e->latency, w.tenant);
  c->within = class->within;
  c->started = cc_clock_now ();
  g_signal_connect (m, "finished", G_CALLBACK (on_finished), c);
  soup_server_message_pause (m);
  c->ask = cc_router_submit (e->router, &w, on_outcome, c);
  if (c->answered)
    c->ask = NULL;
  else
    cc_hangup_watch (&c->hangup, soup_server_message_get_socket (m), on_hangup,
                     c);
}

/* Refuses M before it came to a router.  See router.c for why a request with a
 * key is not told "not-run". */
static void
refuse_early (SoupServerMessage *m, guint status, const char *reason,
              const char *text, guint32 wait_ms)
{
  const char *key = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), CC_HDR_IDEMPOTENCY);

  answer_outcome (m, status,
                  key != NULL ? CC_OUTCOME_UNKNOWN : CC_OUTCOME_NOT_RUN, reason,
                  text, wait_ms);
}

static void
check_and_pass (Entry *e, SoupServerMessage *m)
{
  CcCheckedRequest checked = { 0 };
  CcFindings findings;

  cc_findings_init (&findings);
  cc_request_check (soup_server_message_get_request_headers (m),
                    e->follower->document, &findings, &checked);
  if (cc_findings_count (&findings) > 0)
    refuse_findings (m, &findings);
  else if (checked.left <= 0)
    refuse_early (m, SOUP_STATUS_GATEWAY_TIMEOUT, "deadline",
                  "the deadline is in the past", 0);
  else
    pass_on (e, m, &checked);
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
    refuse_early (m, SOUP_STATUS_SERVICE_UNAVAILABLE, "starting",
                  "no configuration yet", STARTING_WAIT_MS);
  else if (cc_hangup_has (soup_server_message_get_socket (m)))
    refuse_early (m, SOUP_STATUS_BAD_REQUEST, "cancelled",
                  "the caller has gone", 0);
  else
    check_and_pass (e, m);
}

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

static gboolean
on_draining (gpointer data)
{
  Entry *e = data;
  gint64 now = cc_clock_now ();
  gboolean quiet = now >= e->stop_at - DRAIN_LIMIT + DRAIN_QUIET;

  if (now < e->stop_at && (!quiet || cc_router_pending (e->router) > 0))
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
  e->stop_at = cc_clock_now () + DRAIN_LIMIT;
  g_timeout_add (50, on_draining, e);
  return G_SOURCE_CONTINUE;
}

static gboolean
open_ports (Entry *e, const CcSetting *settings, guint64 incarnation)
{
  g_autofree char *message = NULL;

  e->callers = cc_http_server_new ();
  g_object_set (e->callers, "server-header", "capercrank", NULL);
  soup_server_add_early_handler (e->callers, NULL, on_headers, e, NULL);
  soup_server_add_handler (e->callers, NULL, on_request, e, NULL);
  e->mailbox = cc_mailbox_new (cc_setting (settings, "listen"),
                               cc_setting_advertised (settings), incarnation,
                               on_message, on_link, e, &message);
  if (e->mailbox != NULL &&
      cc_http_listen (e->callers, cc_setting (settings, "callers"), &message) &&
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
    { CC_SETTING_ADDRESS, "callers", NULL, "where callers connect", 0, 0,
      NULL },
    { CC_SETTING_ADDRESS, "listen", NULL, "mailbox for other processes", 0, 0,
      NULL },
    { CC_SETTING_ADDRESSES, "advertise", "",
      "address by which others reach the mailbox, if another", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "admin", NULL, "metrics and readiness", 0, 0, NULL },
    { CC_SETTING_ADDRESSES, "dispatchers", NULL,
      "mailboxes to learn from, this instance's first", 0, 0, NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  Entry e = { 0 };
  g_auto (GStrv) seeds = NULL;

  switch (cc_settings_read (settings, "capercrank-entry",
                            "Takes callers' requests.", argc, argv))
    {
    case CC_START_STOP:
      return 0;
    case CC_START_FAIL:
      return 2;
    case CC_START_RUN:
      break;
    }
  e.stats = g_hash_table_new (g_str_hash, g_str_equal);
  cc_histograms_init (&e.latency, "capercrank_request_seconds");
  if (!open_ports (&e, settings, cc_clock_incarnation ()))
    return 1;
  seeds = cc_setting_list (settings, "dispatchers");
  e.follower =
      cc_follower_new (e.mailbox, NULL, "", seeds, FALSE, on_view_changed, &e);
  e.router = cc_router_new (e.follower, e.mailbox);
  cc_follower_start (e.follower);
  cc_run_until_signal (on_stop, &e);
  return 0;
}
