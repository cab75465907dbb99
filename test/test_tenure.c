/* Guards against a registration row that lacks the state which other members
 * need.  The table is a server on loopback that delays its answers as long as
 * the test requires. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "admin.h"
#include "clock.h"
#include "free_net.h"
#include "tenure.h"

#define PORT 7000
#define TURN_MS 5
#define TURNS_MAX 2000 /* a test that waits longer has failed */

static struct
{
  SoupServer *server;
  char *address, *source;
  SoupServerMessage *held; /* a transaction whose answer is delayed */
  guint64 version;
  gboolean draining_written; /* a written member row had "draining" */
} table;

static void
answer_held (void)
{
  g_autoptr (SoupServerMessage) m = g_steal_pointer (&table.held);
  g_autofree char *text =
      g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT "}", ++table.version);

  cc_http_answer (m, SOUP_STATUS_OK, "application/json", text);
  soup_server_message_unpause (m);
}

static void
on_transaction (SoupServer *server, SoupServerMessage *m, const char *path,
                GHashTable *query, gpointer data)
{
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (m));
  g_autofree char *text =
      g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));

  (void) server, (void) path, (void) query, (void) data;
  table.draining_written |= strstr (text, "\\\"draining\\\":true") != NULL;
  assert_null (table.held);
  table.held = g_object_ref (m);
  soup_server_message_pause (m);
}

static gboolean
on_turn (gpointer over)
{
  *(gboolean *) over = TRUE;
  return G_SOURCE_REMOVE;
}

static void
run_turn (void)
{
  gboolean over = FALSE;

  g_timeout_add (TURN_MS, on_turn, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

static void
await_transaction (void)
{
  for (guint i = 0; i < TURNS_MAX && table.held == NULL; i++)
    run_turn ();
  assert_non_null (table.held);
}

static int
start (void **state)
{
  guint net = free_net ();
  char *message = NULL;

  (void) state;
  table.address = g_strdup_printf ("127.%u.0.2:%u", net, PORT);
  table.source = g_strdup_printf ("127.%u.1.1:%u", net, PORT);
  table.server = cc_http_server_new ();
  soup_server_add_handler (table.server, "/v1/transaction", on_transaction,
                           NULL, NULL);
  return cc_http_listen (table.server, table.address, &message) ? 0 : -1;
}

static void
on_tenure (CcTenure *t, gboolean held, gpointer data)
{
  (void) t, (void) held, (void) data;
}

/* Guards against a drained dispatcher that hands nothing over: the answer to a
 * renewal sent before the drain was taken for that to the row with the flag. */
static void
drain_is_written_despite_a_renewal_in_progress (void **state)
{
  CcPlatform *p = cc_platform_new (table.address, table.source, CC_SECOND);
  CcTenure *t = cc_tenure_new (p, "i1", "a", table.source, 1, on_tenure, NULL);

  (void) state;
  t->may_register = TRUE;
  cc_tenure_start (t);
  await_transaction ();
  answer_held ();
  await_transaction ();
  cc_tenure_drain (t);
  answer_held ();
  for (guint i = 0; i < 4 && !table.draining_written; i++)
    {
      await_transaction ();
      answer_held ();
    }
  assert_true (table.draining_written);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (drain_is_written_despite_a_renewal_in_progress),
  };

  return cmocka_run_group_tests (tests, start, NULL);
}
