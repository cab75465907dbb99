/* Guards against a horizon lowered by incomplete records, which would let a
 * repeat run twice: of three chunks some are lost, duplicated, reordered or
 * sent by another process. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "outcome_transfer.h"

#define START (1750000000 * CC_SECOND) /* wall clock */
#define POOL "gate-payment"
#define ENTRIES (CC_TRANSFER_ENTRIES * 2 + 10) /* three chunks */
#define SENDER 7

static void
set_text (char **field, const char *value)
{
  g_free (*field);
  *field = g_strdup (value);
}

/* One slice on one server, held by "old". */
static CcSliceMap *
new_map (void)
{
  CcSliceMap *m = cc_slicemap_new (POOL, 1);

  m->version = 1;
  cc_slicemap_add (m, "server", "127.0.0.1:1", "a");
  set_text (&cc_slicemap_server (m, 0)->dispatcher, "old");
  cc_slicemap_server (m, 0)->term = 1;
  cc_slicemap_at (m, 0)->server = 0;
  cc_slicemap_at (m, 0)->from = -1;
  cc_slicemap_at (m, 0)->epoch = 1;
  return m;
}

static void
hand_over (CcSliceMap *m)
{
  CcMapServer *s = cc_slicemap_server (m, 0);

  set_text (&s->from, "old");
  set_text (&s->dispatcher, "new");
  s->term++;
  m->version++;
}

static CcStatus
collect (const char *to, const CcMsgOutcomes *o, gpointer data)
{
  CcMessage m = { .kind = CC_MSG_OUTCOMES };

  assert_string_equal (to, "new");
  m.u.outcomes = *o;
  g_ptr_array_add (data, cc_wire_encode (&m));
  return CC_OK;
}

/* Returns the old holder's chunks, and changes M to the map with which the new
 * holder begins. */
static GPtrArray *
old_chunks (CcSliceMap *m)
{
  CcOutcomes *o = cc_outcomes_new ();
  CcTransfer *t = cc_transfer_new (o);
  CcOutcomeRecord r = { .outcome = CC_OUTCOME_RUN, .status = 200 };
  GPtrArray *chunks =
      g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);

  cc_transfer_held (t, m, 0, START);
  for (guint i = 0; i < ENTRIES; i++)
    {
      g_autofree char *id =
          g_strdup_printf ("01977420-dc00-7000-8000-%012x", i);

      cc_outcomes_start (o, POOL, 0, id, START);
      cc_outcomes_finish (o, POOL, 0, id, &r);
    }
  hand_over (m);
  assert_true (cc_transfer_stopped (t, m, "server", "old", collect, chunks));
  set_text (&cc_slicemap_server (m, 0)->from, "");
  cc_transfer_free (t);
  cc_outcomes_free (o);
  return chunks;
}

static gboolean
is_lowered_by (const CcSliceMap *m, const GPtrArray *chunks, const char *order,
               guint64 second_sender)
{
  CcOutcomes *o = cc_outcomes_new ();
  CcTransfer *t = cc_transfer_new (o);
  gboolean lowered;

  cc_transfer_held (t, m, 0, START);
  for (const char *c = order; *c != '\0'; c++)
    {
      CcMessage message;

      cc_wire_decode (chunks->pdata[*c - '0'], &message);
      cc_transfer_receive (t, &message.u.outcomes,
                           *c == '0' ? SENDER : second_sender);
      cc_message_clear (&message);
    }
  lowered = cc_outcomes_horizon (o, POOL, 0) < START;
  cc_transfer_free (t);
  cc_outcomes_free (o);
  return lowered;
}

static void
transfer_chunks (void **state)
{
  static const struct
  {
    const char *order;
    guint64 second_sender; /* of chunks but the first */
    gboolean lowered;
  } cases[] = {
    { "012", SENDER, TRUE },  { "0012", SENDER, TRUE },
    { "0212", SENDER, TRUE }, { "01012", SENDER, TRUE },
    { "02", SENDER, FALSE },  { "01", SENDER, FALSE },
    { "12", SENDER, FALSE },  { "210", SENDER, FALSE },
    { "012", 8, FALSE },
  };
  CcSliceMap *m = new_map ();
  g_autoptr (GPtrArray) chunks = old_chunks (m);

  (void) state;
  assert_int_equal (chunks->len, 3);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      if (is_lowered_by (m, chunks, cases[i].order, cases[i].second_sender) !=
          cases[i].lowered)
        fail_msg ("order %s", cases[i].order);
    }
  cc_slicemap_free (m);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (transfer_chunks) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
