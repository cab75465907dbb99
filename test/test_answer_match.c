/* Guards against an answer that is taken for that to another request: a late
 * second answer to a grant counts as the answer to a release, and keys get a
 * second owner while the first is at work on them.  A scripted server gives the
 * answers of each case to grants, renewals, releases and health probes. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <signal.h>
#include <string.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "clock.h"
#include "health_link.h"
#include "owner_probe.h"
#include "range_grant.h"
#include "timers.h"

#define POOL "p"
#define OWNER "u"
#define ID_HEADER "X-Request-Id: "
#define FOREIGN "9c41d07be2a35f68" /* the id of a caller's request */
#define PAUSE_US 200 /* for the kernel, between two rounds of the main loop */
#define SETTLED_ROUNDS 30   /* until what was sent has been read */
#define IDLE (2600 * CC_MS) /* until an idle upstream is probed */
#define RENEWALS 6
#define RENEWAL_TRIES 10
#define IDLE_STEP (25 * CC_MS)
#define CALL_TIMEOUT (4 * CC_SECOND) /* longer than that of a release */
/* Limits that answers name: which one is known tells which answer was read. */
#define LIMIT_BEFORE 20.0
#define LIMIT_OF_COPY 2.0
#define LIMIT_OF_ANSWER 80.0

typedef enum
{
  KIND_GRANT,
  KIND_RENEWAL,
  KIND_HELD_RENEWAL, /* while the table service doesn't answer, which needs the
                        connection of the last grant */
  KIND_RELEASE,
  KIND_PROBE,
  KINDS
} Kind;

static const char *const kind_names[KINDS] = { "grant", "renewal",
                                               "held renewal", "release",
                                               "probe" };

/* Which request an answer names. */
typedef enum
{
  NAMES_OWN,
  NAMES_FIRST, /* the request before on the connection */
  NAMES_NONE,
  NAMES_FOREIGN
} Names;

/* A grant is answered; then, on the same connection if that is still used, the
 * request under test. */
typedef struct
{
  const char *name;
  Names first;     /* in the answer to the grant */
  gboolean on_new; /* the request under test gets a new connection */
  guint copy;      /* status of an answer before the one of the request, if
                      there was a request before on the connection */
  Names copy_names;
  guint status; /* of the answer to the request; 0: none */
  Names names;
  gboolean surplus;  /* the answer is sent twice at once */
  guint taken;       /* status that counts in the end; 0: none */
  guint connections; /* opened in all, without the held renewal */
  gboolean kept;     /* the connection is used again */
} Case;

static const Case cases[] = {
  { "in order", NAMES_OWN, FALSE, 0, 0, 200, NAMES_OWN, FALSE, 200, 1, TRUE },
  { "late 200", NAMES_OWN, FALSE, 200, NAMES_FIRST, 200, NAMES_OWN, FALSE, 200,
    1, FALSE },
  { "late 421", NAMES_OWN, FALSE, 421, NAMES_FIRST, 200, NAMES_OWN, FALSE, 200,
    1, FALSE },
  { "late 409", NAMES_OWN, FALSE, 409, NAMES_FIRST, 200, NAMES_OWN, FALSE, 200,
    1, FALSE },
  { "late 404", NAMES_OWN, FALSE, 404, NAMES_FIRST, 200, NAMES_OWN, FALSE, 200,
    1, FALSE },
  { "late 200 before a 421", NAMES_OWN, FALSE, 200, NAMES_FIRST, 421, NAMES_OWN,
    FALSE, 421, 1, FALSE },
  { "late 200, then none", NAMES_OWN, FALSE, 200, NAMES_FIRST, 0, 0, FALSE, 0,
    1, FALSE },
  { "late 200 that names none", NAMES_OWN, FALSE, 200, NAMES_NONE, 0, 0, FALSE,
    0, 1, FALSE },
  { "late 421 that names none", NAMES_OWN, FALSE, 421, NAMES_NONE, 0, 0, FALSE,
    0, 1, FALSE },
  { "late 409 that names none", NAMES_OWN, FALSE, 409, NAMES_NONE, 0, 0, FALSE,
    0, 1, FALSE },
  { "late 200 of a caller's request", NAMES_OWN, FALSE, 200, NAMES_FOREIGN, 200,
    NAMES_OWN, FALSE, 200, 1, FALSE },
  { "two answers at once", NAMES_OWN, FALSE, 0, 0, 200, NAMES_OWN, TRUE, 200, 1,
    FALSE },
  /* A server that echoes no ids gets one request a connection. */
  { "no echo", NAMES_NONE, FALSE, 200, NAMES_NONE, 200, NAMES_NONE, FALSE, 200,
    2, FALSE },
  { "no echo, 421", NAMES_NONE, FALSE, 421, NAMES_NONE, 421, NAMES_NONE, FALSE,
    421, 2, FALSE },
  { "new connection", NAMES_OWN, TRUE, 0, 0, 200, NAMES_OWN, FALSE, 200, 2,
    TRUE },
  { "new connection, no echo", NAMES_OWN, TRUE, 0, 0, 200, NAMES_NONE, FALSE,
    200, 2, FALSE },
  { "new connection, another's echo", NAMES_OWN, TRUE, 0, 0, 200, NAMES_FOREIGN,
    FALSE, 0, 2, FALSE },
};

/* ---- the server ---- */

typedef struct
{
  GSocketConnection *stream;
  char *id; /* of the last request; NULL: it had none */
  guint requests;
} Line;

static struct
{
  GSocketService *service;
  char *address;
  const Case *playing;
  GPtrArray *lines;
  GHashTable *ids; /* all ids so far */
  guint accepted;  /* since the case began */
  guint requests;
  Line *last;         /* that got the last request */
  gboolean only_late; /* all requests are answered, after an answer of status
                         LATE once if that is not 0 */
  guint late;
} server;

/* Returns the id in REQUEST, or NULL. */
static char *
read_id (const char *request)
{
  const char *at = strstr (request, ID_HEADER);

  if (at == NULL)
    return NULL;
  at += strlen (ID_HEADER);
  return g_strndup (at, strcspn (at, "\r"));
}

/* Adds an answer with STATUS to S, which names the request ID, or none if that
 * is NULL, and LIMIT. */
static void
add_answer (GString *s, guint status, const char *id, double limit)
{
  g_string_append_printf (s, "HTTP/1.1 %u Status\r\nContent-Length: 0\r\n",
                          status);
  if (id != NULL)
    g_string_append_printf (s, ID_HEADER "%s\r\n", id);
  g_string_append_printf (s, "Server-Limit: %d\r\n\r\n", (int) limit);
}

static void
send_text (const Line *l, const GString *s)
{
  g_socket_send (g_socket_connection_get_socket (l->stream), s->str, s->len,
                 NULL, NULL);
}

/* Returns the id that an answer on L which names NAMES has. */
static const char *
id_named (const Line *l, Names names, const char *first)
{
  switch (names)
    {
    case NAMES_OWN:
      return l->id;
    case NAMES_FIRST:
      return first;
    case NAMES_FOREIGN:
      return FOREIGN;
    case NAMES_NONE:
      break;
    }
  return NULL;
}

/* Answers the request under test, the last one. */
static void
answer_request (void)
{
  const Case *c = server.playing;
  g_autoptr (GString) s = g_string_new (NULL);

  if (c->status == 0)
    return;
  for (guint i = 0; i < (c->surplus ? 2 : 1); i++)
    add_answer (s, c->status, id_named (server.last, c->names, NULL),
                LIMIT_OF_ANSWER);
  send_text (server.last, s);
}

/* Handles a request on L: the first one, which is answered, the one under test,
 * before whose answer a late one may come, or a later one. */
static void
handle_request (Line *l, const char *request)
{
  const Case *c = server.playing;
  g_autofree char *first = g_steal_pointer (&l->id);
  g_autoptr (GString) s = g_string_new (NULL);

  l->id = read_id (request);
  if (l->id != NULL && !g_hash_table_add (server.ids, g_strdup (l->id)))
    fail_msg ("%s: the id %s was sent twice", c->name, l->id);
  server.last = l;
  server.requests++;
  l->requests++;
  if (server.only_late && server.late != 0)
    add_answer (s, server.late, NULL, LIMIT_OF_COPY);
  server.late = 0;
  if (server.only_late || server.requests != 2)
    add_answer (s, 200, id_named (l, c->first, NULL), LIMIT_BEFORE);
  else if (c->copy != 0 && l->requests > 1)
    add_answer (s, c->copy, id_named (l, c->copy_names, first), LIMIT_OF_COPY);
  send_text (l, s);
}

static gboolean
on_readable (GSocket *socket, GIOCondition seen, gpointer data)
{
  char buffer[4096];
  gssize n = g_socket_receive (socket, buffer, sizeof buffer - 1, NULL, NULL);

  (void) seen;
  if (n <= 0)
    return G_SOURCE_REMOVE;
  buffer[n] = '\0';
  handle_request (data, buffer);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *c, GObject *source,
               gpointer data)
{
  GSocket *socket = g_socket_connection_get_socket (c);
  GSource *watch = g_socket_create_source (socket, G_IO_IN, NULL);
  Line *l = g_new0 (Line, 1);

  (void) service, (void) source, (void) data;
  server.accepted++;
  l->stream = g_object_ref (c);
  g_ptr_array_add (server.lines, l);
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_source_set_callback (watch, G_SOURCE_FUNC (on_readable), l, NULL);
  g_source_attach (watch, NULL);
  g_source_unref (watch);
  return TRUE;
}

static gboolean
start_server (void)
{
  g_autoptr (GInetAddress) ip =
      g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) at = g_inet_socket_address_new (ip, 0);
  g_autoptr (GSocketAddress) got = NULL;

  server.service = g_socket_service_new ();
  server.lines = g_ptr_array_new ();
  server.ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (server.service), at,
                                      G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &got, NULL))
    return FALSE;
  server.address = g_strdup_printf (
      "127.0.0.1:%u",
      g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (got)));
  g_signal_connect (server.service, "incoming", G_CALLBACK (on_connection),
                    NULL);
  return TRUE;
}

/* ---- the gateway ---- */

static struct
{
  CcTargets targets;
  CcGrantShared shared;
  CcFleetLimits *limits;
  CcRoutes *routes;
  gboolean probes; /* health probes are sent */
  CcKeyRanges ranges;
  CcRangeGrant *first; /* whose grant is answered before */
  CcRangeGrant *tested;
  guint64 fence;      /* of TESTED before */
  gint64 answered_at; /* of TESTED before, us */
} gateway;

static gboolean
decode (const char *key, const char *value, CcListing *l)
{
  (void) value;
  *l = (CcListing){ .id = g_strdup (key),
                    .pool = g_strdup (POOL),
                    .address = g_strdup (server.address),
                    .zone = g_strdup ("z"),
                    .born = 1,
                    .slots = 1 };
  return TRUE;
}

static void
on_target (const CcTarget *t, gpointer data)
{
  (void) t, (void) data;
}

static void
add_upstream (void)
{
  CcView view;
  CcVersionClock clock = { 0 };
  CcTargetsSource listed = { .view = &view, .clock = &clock };

  cc_targets_init (&gateway.targets);
  cc_view_init (&view);
  cc_view_put (&view, OWNER, 1, "x");
  cc_targets_update (&gateway.targets, &listed, decode, cc_clock_now (),
                     on_target, NULL);
  cc_view_clear (&view);
}

static void
send_datagram (const char *address, GBytes *datagram, gpointer data)
{
  (void) address, (void) datagram, (void) data;
}

static void
broadcast (GBytes *datagram, gpointer data)
{
  (void) datagram, (void) data;
}

static gboolean
is_source (gpointer data)
{
  (void) data;
  return TRUE;
}

static void
on_limit (const char *id, guint64 born, double rate, gpointer data)
{
  (void) id, (void) born, (void) rate, (void) data;
}

static void
ignore (gpointer data)
{
  (void) data;
}

static const CcRoutes *
routes_if_probing (gpointer data)
{
  (void) data;
  return gateway.probes ? gateway.routes : NULL;
}

static void
create_probes (void)
{
  CcFleetLimitsSetup limits = { .address = "127.0.0.1:1",
                                .send = send_datagram,
                                .broadcast = broadcast,
                                .is_source = is_source,
                                .changed = on_limit,
                                .ready = ignore,
                                .wake = ignore };
  CcRoutePool pool = { .name = (char *) POOL, .health_path = (char *) "/h" };
  CcHealthLinkSetup setup = { .http = gateway.shared.http,
                              .targets = &gateway.targets,
                              .routes = routes_if_probing };

  gateway.limits = cc_fleet_limits_new (&limits);
  gateway.routes = cc_routes_new (1);
  cc_routes_add_pool (gateway.routes, &pool);
  setup.limits = gateway.limits;
  setup.notices = cc_upstream_notices_new (&gateway.targets, on_target, NULL);
  cc_health_link_new (&setup);
}

static int
set_up (void **state)
{
  (void) state;
  if (!start_server ())
    return -1;
  cc_clock_pause (g_get_monotonic_time (), g_get_real_time ());
  gateway.shared.http = cc_http_new ("127.0.0.1");
  gateway.shared.targets = &gateway.targets;
  gateway.shared.contacts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  add_upstream ();
  create_probes ();
  return 0;
}

/* Runs the main loop, then advances the clock of the runtime by SPAN us. */
static void
run_loop_once (gint64 span)
{
  g_usleep (PAUSE_US);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  cc_clock_advance (span);
  cc_timers_run ();
}

/* Runs the main loop until what was sent has been read. */
static void
settle (void)
{
  for (guint i = 0; i < SETTLED_ROUNDS; i++)
    run_loop_once (CC_MS);
}

/* Returns the grant of a new range from FROM on, which may be sent. */
static CcRangeGrant *
add_grant (guint from)
{
  CcKeyRange *range = cc_key_range_new (from, from + 9, OWNER, 1, 1 + from);
  CcRangeGrant *x =
      cc_range_grant_new (&gateway.shared, POOL, &gateway.ranges, range);

  x->written = TRUE;
  g_ptr_array_add (gateway.ranges.list, range);
  return x;
}

/* Begins the case C: its first grant is sent and answered. */
static void
begin_case (const Case *c)
{
  server.playing = c;
  cc_http_close_idle (gateway.shared.http, server.address);
  settle ();
  server.accepted = server.requests = 0;
  gateway.shared.replan = FALSE;
  cc_granter_lease_confirmed (&gateway.shared.lease, 1, cc_clock_now ());
  cc_key_ranges_init (&gateway.ranges);
  gateway.first = add_grant (0);
  cc_range_grant_step (gateway.first);
  settle ();
  assert_true (gateway.first->held);
}

/* Lets the health of the upstream, which names a limit and is idle, be probed.
 */
static void
send_probe (void)
{
  gint64 now = cc_clock_now ();

  cc_fleet_limits_answer_named (gateway.limits, OWNER, 1, LIMIT_BEFORE, now,
                                now);
  gateway.probes = TRUE;
  for (gint64 t = 0; t < IDLE && server.requests < 2; t += IDLE_STEP)
    run_loop_once (IDLE_STEP);
  gateway.probes = FALSE;
}

/* Sends the request of KIND that is tested. */
static void
send_tested (Kind kind)
{
  CcRangeGrant *x = add_grant (100);

  gateway.tested = x;
  x->held = kind == KIND_RENEWAL || kind == KIND_HELD_RENEWAL;
  x->same_process_at = gateway.first->same_process_at;
  if (kind == KIND_RELEASE)
    {
      x->range->previous = g_strdup (OWNER);
      x->previous_until = cc_clock_now () + CC_GRANT_HOLD;
    }
  if (kind == KIND_HELD_RENEWAL)
    gateway.shared.lease.confirmed_at = cc_clock_now () - CC_GRANTER_TERM;
  gateway.fence = x->range->fence;
  gateway.answered_at = x->answered_at;
  if (kind == KIND_PROBE)
    send_probe ();
  else
    cc_range_grant_step (x);
  settle ();
}

/* Returns the status that counts as the answer to a release, 0: none. */
static guint
release_taken (const CcRangeGrant *x)
{
  if (!x->released)
    return 0;
  return x->previous_until == 0 ? 421 : 200;
}

/* Returns the status that counts as the answer to a grant, 0: none. */
static guint
grant_taken (const CcRangeGrant *x)
{
  if (gateway.shared.replan)
    return 421;
  if (x->range->fence != gateway.fence)
    return 409;
  return x->answered_at != gateway.answered_at ? 200 : 0;
}

/* Returns the status of the answer to a probe that named the limit known; 0: it
 * is that from before; 1: it is that of the late answer. */
static guint
probe_taken (void)
{
  double rate = cc_fleet_limits_rate (gateway.limits, OWNER, 1);

  if (rate > (LIMIT_BEFORE + LIMIT_OF_ANSWER) / 2)
    return server.playing->status;
  return rate < (LIMIT_BEFORE + LIMIT_OF_COPY) / 2 ? 1 : 0;
}

/* Returns the status that counts as the answer to the request of KIND. */
static guint
status_taken (Kind kind)
{
  switch (kind)
    {
    case KIND_RELEASE:
      return release_taken (gateway.tested);
    case KIND_PROBE:
      return probe_taken ();
    case KIND_GRANT:
    case KIND_RENEWAL:
    case KIND_HELD_RENEWAL:
    case KINDS:
      break;
    }
  return grant_taken (gateway.tested);
}

/* Whether a renewal that needs the connection of the last grant can't be sent
 * in C, since there is none. */
static gboolean
is_withheld (const Case *c, Kind kind)
{
  return kind == KIND_HELD_RENEWAL && (c->on_new || c->first != NAMES_OWN);
}

/* Returns the status that has to count in C for the request of KIND.  A probe
 * that another server answers tells nothing. */
static guint
status_expected (const Case *c, Kind kind)
{
  if (is_withheld (c, kind) || (kind == KIND_PROBE && c->taken != 200))
    return 0;
  return c->taken;
}

/* Checks how many connections were opened in C with KIND, and whether the last
 * one is used again. */
static void
check_connections (const Case *c, Kind kind)
{
  guint opened = is_withheld (c, kind) ? 1 : c->connections;
  CcRangeGrant *x;

  if (server.accepted != opened)
    fail_msg ("%s, %s: %u connections, not %u", c->name, kind_names[kind],
              server.accepted, opened);
  if (c->taken == 0 || is_withheld (c, kind))
    return;
  cc_granter_lease_confirmed (&gateway.shared.lease, 1, cc_clock_now ());
  x = add_grant (200);
  cc_range_grant_step (x);
  settle ();
  if ((server.accepted == opened) != c->kept)
    fail_msg ("%s, %s: the connection was %s", c->name, kind_names[kind],
              c->kept ? "not kept" : "kept");
  cc_range_grant_free (x);
}

static void
end_case (void)
{
  run_loop_once (CALL_TIMEOUT);
  cc_http_close_idle (gateway.shared.http, server.address);
  cc_range_grant_free (gateway.first);
  cc_range_grant_free (gateway.tested);
  cc_key_ranges_clear (&gateway.ranges);
}

static void
play (const Case *c, Kind kind)
{
  guint taken;

  begin_case (c);
  if (c->on_new)
    cc_http_close_idle (gateway.shared.http, server.address);
  send_tested (kind);
  if ((server.requests == 2) == is_withheld (c, kind))
    fail_msg ("%s, %s: %u requests", c->name, kind_names[kind],
              server.requests);
  taken = status_taken (kind);
  if (taken != 0)
    fail_msg ("%s, %s: a late answer counts (%u)", c->name, kind_names[kind],
              taken);
  if (server.requests == 2)
    answer_request ();
  settle ();
  taken = status_taken (kind);
  if (taken != status_expected (c, kind))
    fail_msg ("%s, %s: status %u counts, not %u", c->name, kind_names[kind],
              taken, status_expected (c, kind));
  check_connections (c, kind);
  end_case ();
}

/* Failure: a late answer to a grant counts as that to a release or a renewal,
 * or as a health report.  Symptom: keys get a second owner while the first is
 * at work on them, or an owner that is alive counts as ended. */
static void
only_its_own_answer_counts_for_a_request (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    for (Kind kind = 0; kind < KINDS; kind++)
      play (&cases[i], kind);
}

/* A server that sends no ids: what it answers to renewals of one grant. */
typedef struct
{
  const char *name;
  guint
      copy; /* status of an answer before that to the third renewal; 0: none */
  gboolean lapses;   /* the table service doesn't answer from the third on */
  guint connections; /* of six renewals */
} RenewalCase;

static const RenewalCase renewal_cases[] = {
  { "renewals", 0, FALSE, 1 },
  { "renewals in an outage of the table service", 0, TRUE, 1 },
  { "a late 200", 200, FALSE, 2 },
  { "a late 421", 421, FALSE, 2 },
  { "a late 409", 409, FALSE, 2 },
};

static const Case without_ids = {
  .name = "no ids", .first = NAMES_NONE, .status = 200, .names = NAMES_NONE
};

/* Sends a renewal of X, for the NUMBERth time. */
static void
renew (const RenewalCase *c, CcRangeGrant *x, guint number)
{
  gint64 before = x->answered_at;

  cc_clock_advance (CC_GRANT_RENEW_PERIOD);
  cc_granter_lease_confirmed (&gateway.shared.lease, 1, cc_clock_now ());
  if (c->lapses && number >= 2)
    gateway.shared.lease.confirmed_at -= CC_GRANTER_TERM;
  server.late = number == 2 ? c->copy : 0;
  for (guint i = 0; i < RENEWAL_TRIES && x->answered_at == before; i++)
    {
      cc_range_grant_step (x);
      settle ();
    }
  if (x->answered_at == before || gateway.shared.replan || !x->held ||
      x->range->fence != gateway.fence)
    fail_msg ("%s: renewal %u", c->name, number);
}

/* Failure: an upstream that echoes no ids loses its keys in an outage of the
 * table service, since no connection is left for its renewals, or by a late
 * answer.  Or each renewal opens a connection. */
static void
renewals_need_no_echo (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (renewal_cases); i++)
    {
      const RenewalCase *c = &renewal_cases[i];

      begin_case (&without_ids);
      gateway.tested = add_grant (100);
      gateway.fence = gateway.first->range->fence;
      server.accepted = 0;
      server.only_late = TRUE;
      for (guint number = 0; number < RENEWALS; number++)
        renew (c, gateway.first, number);
      server.only_late = FALSE;
      if (server.accepted != c->connections)
        fail_msg ("%s: %u connections", c->name, server.accepted);
      end_case ();
    }
}

/* What a silent owner answers to the release by which it is probed. */
static const struct
{
  const char *name;
  Names names;
  gboolean reached;
} owner_answers[] = {
  { "its own answer", NAMES_OWN, TRUE },
  { "one that names none, the first on its connection", NAMES_NONE, TRUE },
  { "that to another request", NAMES_FOREIGN, FALSE },
};

/* Failure: an upstream that answers other requests than it is sent counts as
 * reached, and is given keys again after each silence. */
static void
a_silent_owner_is_reached_by_its_own_answer (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (owner_answers); i++)
    {
      const Case c = { .name = owner_answers[i].name,
                       .first = owner_answers[i].names };
      CcOwnerContact *contact = cc_grant_contact (&gateway.shared, OWNER);
      gboolean is_reached;

      server.playing = &c;
      cc_http_close_idle (gateway.shared.http, server.address);
      cc_owner_contact_reset (contact);
      contact->state = CC_CONTACT_SILENT;
      contact->unanswered = (CcContactGrant){ 0, 9, 1 };
      server.requests = 0;
      cc_owner_probe (&gateway.shared,
                      cc_targets_find (&gateway.targets, OWNER),
                      cc_clock_now ());
      settle ();
      assert_int_equal (server.requests, 1);
      run_loop_once (CALL_TIMEOUT);
      is_reached = contact->state == CC_CONTACT_REACHED;
      if (is_reached != owner_answers[i].reached)
        fail_msg ("%s: %s", c.name, is_reached ? "reached" : "not reached");
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (only_its_own_answer_counts_for_a_request),
    cmocka_unit_test (renewals_need_no_echo),
    cmocka_unit_test (a_silent_owner_is_reached_by_its_own_answer),
  };

  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, set_up, NULL);
}
