/* Guards against a view that does not reach other processes; over real
 * mailboxes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>

#include "clock.h"
#include "follower.h"

#define PORT 7600
#define TEST_TIMEOUT_MS 10000
#define SETTLE_MS 100 /* time for connections to drain */
#define MEMBER "{\"instance\":\"i\",\"address\":\"%s\",\"incarnation\":%u}"
#define MAP "{\"servers\":[],\"slices\":[],\"hot\":[]}"

typedef struct
{
  char *address;
  CcMailbox *box;
  CcFollower *follower;
  guint received; /* messages */
} Peer;

static void
on_message (const CcMessage *m, gpointer data)
{
  Peer *p = data;

  cc_follower_receive (p->follower, m);
  p->received++;
}

static void
on_link (const char *address, gboolean up, gpointer data)
{
  (void) address, (void) up, (void) data;
}

static void
on_changed (CcFollower *f, gpointer data)
{
  (void) f, (void) data;
}

static void
open_peer (Peer *p, guint number)
{
  static char *none[] = { NULL };
  guint pid = (guint) getpid ();
  char *message = NULL;

  p->address = g_strdup_printf ("127.%u.%u.%u:%u", 1 + pid / 250 % 250,
                                pid % 250, number, PORT);
  p->box = cc_mailbox_new (p->address, p->address, number, on_message, on_link,
                           p, &message);
  assert_non_null (p->box);
  p->follower =
      cc_follower_new (p->box, NULL, "lease/", none, FALSE, on_changed, p);
}

static gboolean
on_timer (gpointer data)
{
  *(gboolean *) data = TRUE;
  return G_SOURCE_REMOVE;
}

static void
run_loop_for (guint ms)
{
  gboolean over = FALSE;

  g_timeout_add (ms, on_timer, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

static void
receive_row (Peer *p, const char *key, guint64 version, const char *value)
{
  CcMessage m = { .kind = CC_MSG_ROWS };

  m.u.rows.since = p->follower->view.upto;
  m.u.rows.upto = version;
  m.u.rows.rows = g_variant_ref_sink (
      g_variant_new_parsed ("[(%s, %t, %s)]", key, version, value));
  cc_follower_receive (p->follower, &m);
  g_variant_unref (m.u.rows.rows);
}

/* Guards against a dispatcher that keeps sending to a server by an old map
 * until its next poll of the table, and against one that applies a map without
 * the members that the map depends on. */
static void
a_written_map_is_sent_to_its_dispatchers (void **state)
{
  static const struct
  {
    guint64 member;    /* version of the newest member row */
    guint64 upto;      /* version up to which the dispatcher has the table */
    gboolean accepted; /* whether the dispatcher takes the map */
  } cases[] = { { 2, 2, TRUE }, { 2, 5, TRUE }, { 7, 5, FALSE } };
  Peer assigner = { 0 }, dispatcher = { 0 };
  g_autofree char *row = NULL;
  g_autoptr (GHashTable) ids =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  (void) state;
  open_peer (&assigner, 1);
  open_peer (&dispatcher, 2);
  row = g_strdup_printf (MEMBER, dispatcher.address, 2);
  g_hash_table_add (ids, g_strdup ("d"));
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *key = g_strdup_printf ("map/p%u", i);
      guint received = dispatcher.received;

      receive_row (&assigner, "member/d", cases[i].member, row);
      receive_row (&dispatcher, "x", cases[i].upto, "");
      for (guint k = 0; k < TEST_TIMEOUT_MS &&
                        !cc_mailbox_is_up (assigner.box, dispatcher.address);
           k++)
        run_loop_for (1);
      cc_follower_wrote (assigner.follower, key, 100 + i, MAP);
      assert_non_null (cc_view_get (&assigner.follower->view, key));
      cc_follower_send_map (assigner.follower, key, ids);
      for (guint k = 0; k < TEST_TIMEOUT_MS && dispatcher.received == received;
           k++)
        run_loop_for (1);
      assert_int_equal (dispatcher.received, received + 1);
      assert_int_equal (cc_view_get (&dispatcher.follower->view, key) != NULL,
                        cases[i].accepted);
      assert_int_equal (dispatcher.follower->view.upto, cases[i].upto);
    }
  g_usleep (SETTLE_MS * 1000);
  cc_mailbox_free (assigner.box);
  cc_mailbox_free (dispatcher.box);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_written_map_is_sent_to_its_dispatchers),
  };

  return cmocka_run_group_tests_name ("follower", tests, NULL, NULL);
}
