/* Guards against wrong outcomes of work on one server: not-run after a lost
 * attempt, and a server considered lost after a pause or a lapsed lease.  An
 * upstream on loopback follows a script per case. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "clock.h"
#include "free_net.h"
#include "headers.h"
#include "server.h"

#define POOL "catalogue"
#define ENTRY 11 /* incarnations */
#define DISPATCHER 22
#define HOLDER "d"
#define PORT 7400
#define DEADLINE_MS 2000 /* the request's deadline */

/* How the upstream handles an attempt. */
typedef enum
{
  RUNS_AND_CLOSES, /* runs it, sends no answer */
  SHEDS,           /* answers not-run */
  ANSWERS
} Behaviour;

typedef struct
{
  const char *name;
  Behaviour first;
  Behaviour later;
  gboolean once_only;
  CcOutcome expected;
} Case;

static const Case cases[] = {
  { "run and lost, then shed", RUNS_AND_CLOSES, SHEDS, FALSE,
    CC_OUTCOME_UNKNOWN },
  { "run and lost, then answered", RUNS_AND_CLOSES, ANSWERS, FALSE,
    CC_OUTCOME_RUN },
  { "shed twice", SHEDS, SHEDS, FALSE, CC_OUTCOME_NOT_RUN },
  { "once-only work, lost", RUNS_AND_CLOSES, ANSWERS, TRUE,
    CC_OUTCOME_UNKNOWN },
};

static struct
{
  const Case *current;
  guint attempts;
  guint replies; /* received by the entry */
  CcOutcome outcome;
  CcMailbox *entry;
  char *entry_address;
  char *upstream_address;
  CcServerShared shared;
} fixture;

static void
on_read (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (GSocketConnection) c = data;
  g_autoptr (GBytes) got =
      g_input_stream_read_bytes_finish (G_INPUT_STREAM (source), result, NULL);
  Behaviour b =
      fixture.attempts++ == 0 ? fixture.current->first : fixture.current->later;
  const char *text = b == SHEDS
                         ? "HTTP/1.1 503 Busy\r\n" CC_HDR_OUTCOME
                           ": not-run\r\nContent-Length: 0\r\n\r\n"
                         : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  (void) got;
  if (b != RUNS_AND_CLOSES)
    g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (c)),
                               text, strlen (text), NULL, NULL, NULL);
  g_io_stream_close (G_IO_STREAM (c), NULL, NULL);
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *c, GObject *source,
               gpointer data)
{
  GInputStream *in = g_io_stream_get_input_stream (G_IO_STREAM (c));

  (void) service, (void) source, (void) data;
  g_input_stream_read_bytes_async (in, 65536, G_PRIORITY_DEFAULT, NULL, on_read,
                                   g_object_ref (c));
  return TRUE;
}

static void
on_message (const CcMessage *m, gpointer data)
{
  (void) data;
  if (m->kind != CC_MSG_REPLY)
    return;
  fixture.replies++;
  fixture.outcome = m->u.reply.outcome;
}

static void
on_link (const char *address, gboolean up, gpointer data)
{
  (void) address, (void) up, (void) data;
}

static CcMailbox *
open_mailbox (guint net, guint last, guint64 incarnation, char **address)
{
  char *message = NULL;
  CcMailbox *box;

  *address = g_strdup_printf ("127.%u.0.%u:%u", net, last, PORT);
  box = cc_mailbox_new (*address, *address, incarnation, on_message, on_link,
                        NULL, &message);
  assert_non_null (box);
  return box;
}

static void
open_upstream (guint net)
{
  g_autofree char *ip = g_strdup_printf ("127.%u.0.3", net);
  g_autoptr (GSocketAddress) at =
      g_inet_socket_address_new_from_string (ip, PORT);
  GSocketService *service = g_socket_service_new ();

  fixture.upstream_address = g_strdup_printf ("%s:%u", ip, PORT);
  assert_true (g_socket_listener_add_address (
      G_SOCKET_LISTENER (service), at, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, NULL, NULL, NULL));
  g_signal_connect (service, "incoming", G_CALLBACK (on_connection), NULL);
}

static int
start (void **state)
{
  guint net = free_net ();
  char *address = NULL;

  (void) state;
  fixture.entry = open_mailbox (net, 1, ENTRY, &fixture.entry_address);
  fixture.shared.mailbox = open_mailbox (net, 2, DISPATCHER, &address);
  fixture.shared.upstream = cc_upstream_new (address);
  fixture.shared.tenure = g_new0 (CcTenure, 1);
  fixture.shared.tenure->id = g_strdup (HOLDER);
  fixture.shared.outcomes = cc_outcomes_new ();
  fixture.shared.first_attempts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cc_server_shared_init (&fixture.shared);
  open_upstream (net);
  g_free (address);
  return 0;
}

/* Returns a server of the only slice, held by this process. */
static CcServer *
server_new (void)
{
  CcSliceMap *m = cc_slicemap_new (POOL, 1);
  CcHolding *h;

  cc_slicemap_add (m, "catalogue-1", fixture.upstream_address, "a");
  m->version = 1;
  g_free (cc_slicemap_server (m, 0)->dispatcher);
  cc_slicemap_server (m, 0)->dispatcher = g_strdup (HOLDER);
  cc_slicemap_at (m, 0)->server = 0;
  cc_slicemap_at (m, 0)->from = -1;
  h = cc_holding_new (POOL, cc_slicemap_server (m, 0), FALSE, cc_clock_now (),
                      0);
  cc_holding_update (h, m, 0, HOLDER);
  h->serves_without_lease = TRUE;
  cc_slicemap_free (m);
  return cc_server_new (&fixture.shared, h);
}

static CcJob *
job_new (gboolean once_only)
{
  CcMessage m = { .kind = CC_MSG_REQUEST,
                  .from = ENTRY,
                  .id = 1,
                  .reply_to = fixture.entry_address };
  g_autoptr (GVariant) headers = cc_headers_take (g_string_new (NULL));
  g_autoptr (GBytes) body = g_bytes_new_static ("", 0);

  m.u.request =
      (CcMsgRequest){ .class_name = "browse",
                      .tenant = "t",
                      .idempotency = "",
                      .method = "GET",
                      .path = "/",
                      .headers = headers,
                      .body = body,
                      .deadline = cc_clock_wall () + DEADLINE_MS * CC_MS };
  return cc_job_new (&m, POOL, once_only, 0);
}

static void
run_case (const Case *c)
{
  CcClass class = { .name = (char *) "browse",
                    .pool = (char *) POOL,
                    .once_only = c->once_only,
                    .within = CC_SECOND };
  gint64 end = cc_clock_now () + DEADLINE_MS * CC_MS;
  CcServer *s = server_new ();

  fixture.current = c;
  fixture.attempts = fixture.replies = 0;
  cc_server_submit (s, job_new (c->once_only), &class);
  while (fixture.replies == 0 && cc_clock_now () < end)
    {
      cc_server_pump (s);
      g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  assert_int_equal (fixture.replies, 1);
  if (fixture.outcome != c->expected)
    fail_msg ("%s: outcome %s", c->name, cc_outcome_name (fixture.outcome));
  cc_server_free (s);
}

/* Guards against not-run for a job whose first attempt ran and was lost and
 * whose second was rejected. */
static void
lost_attempt_is_not_reported_not_run (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i]);
}

/* Guards against a server considered lost, and outcomes unknown, because the
 * dispatcher itself was paused. */
static void
dispatcher_pause_does_not_lose_server (void **state)
{
  static const Case answers = { "", ANSWERS, ANSWERS, TRUE, CC_OUTCOME_RUN };
  CcClass class = { .name = (char *) "browse",
                    .pool = (char *) POOL,
                    .once_only = TRUE,
                    .within = CC_SECOND };
  gint64 now = cc_clock_now ();
  CcServer *s = server_new ();

  (void) state;
  fixture.current = &answers;
  fixture.replies = 0;
  cc_holding_answered (s->holding, now);
  cc_server_submit (s, job_new (TRUE), &class);
  cc_server_tick (s, now);
  cc_server_tick (s, now + CC_SERVER_LOST_AFTER + 100 * CC_MS);
  assert_false (s->holding->lost);
  while (fixture.replies == 0 && cc_clock_now () < now + DEADLINE_MS * CC_MS)
    g_main_context_iteration (NULL, TRUE);
  assert_int_equal (fixture.outcome, CC_OUTCOME_RUN);
  /* Without an answer it is lost the same time after that. */
  now += CC_SERVER_LOST_AFTER + 100 * CC_MS;
  for (guint i = 0; i < 60; i++)
    cc_server_tick (s, now += 20 * CC_MS);
  assert_true (s->holding->lost);
  cc_server_free (s);
}

/* Guards against lost servers, and outcomes unknown, after a short time without
 * a lease, in which they received no grants or probes. */
static void
lapsed_lease_does_not_lose_server (void **state)
{
  CcServer *s = server_new ();
  CcLease *lease = &fixture.shared.tenure->lease;
  gint64 before = lease->valid_until;
  gint64 now = cc_clock_now ();

  (void) state;
  s->holding->serves_without_lease = FALSE;
  s->granting = TRUE; /* no grant is sent here */
  lease->valid_until = now;
  cc_holding_answered (s->holding, now);
  for (guint i = 0; i < 60; i++)
    cc_server_tick (s, now += 20 * CC_MS);
  assert_false (s->holding->lost);
  lease->valid_until = now + 60 * CC_SECOND;
  cc_server_tick (s, now += 20 * CC_MS);
  assert_false (s->holding->lost);
  for (guint i = 0; i < 60; i++)
    cc_server_tick (s, now += 20 * CC_MS);
  assert_true (s->holding->lost);
  lease->valid_until = before;
  s->granting = FALSE;
  cc_server_free (s);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lost_attempt_is_not_reported_not_run),
    cmocka_unit_test (dispatcher_pause_does_not_lose_server),
    cmocka_unit_test (lapsed_lease_does_not_lose_server),
  };

  return cmocka_run_group_tests (tests, start, NULL);
}
