/* A dispatcher's registration: two rows, lease/ID that it renews and member/ID
 * that tells the others where it is.  An id is used once.  Who loses its lease
 * registers again under a new id, as if it were another process, so nothing
 * that was granted to the old id can come back to life with it. */
#include "tenure.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "clock.h"
#include "log.h"
#include "metrics.h"

#define TICK_MS 50 /* a tenth of the renewal's period */

static char *
lease_key (const CcTenure *t)
{
  return g_strconcat ("lease/", t->id, NULL);
}

static char *
member_key (const CcTenure *t)
{
  return g_strconcat ("member/", t->id, NULL);
}

static void
choose_id (CcTenure *t)
{
  g_free (t->id);
  t->id = g_strdup_printf ("%s.%" G_GINT64_MODIFIER "x.%u", t->instance,
                           t->incarnation, ++t->count);
  cc_lease_init (&t->lease);
  t->drain_written = FALSE;
}

/* A tenure that is not yet registered. */
CcTenure *
cc_tenure_new (CcPlatform *platform, const char *instance, const char *zone,
               const char *address, guint64 incarnation,
               CcTenureChanged changed, gpointer data)
{
  CcTenure *t = g_new0 (CcTenure, 1);

  t->platform = platform;
  t->instance = g_strdup (instance);
  t->zone = g_strdup (zone);
  t->address = g_strdup (address);
  t->incarnation = incarnation;
  t->changed = changed;
  t->data = data;
  choose_id (t);
  return t;
}

/* Whether the lease stands at NOW (cc_clock_now). */
gboolean
cc_tenure_is_valid (const CcTenure *t, gint64 now)
{
  return cc_lease_is_valid (&t->lease, now);
}

static void
tell (CcTenure *t)
{
  gboolean held = cc_tenure_is_valid (t, cc_clock_now ());

  cc_metrics_gauge ("capercrank_lease_held", "", held);
  if (held == t->told)
    return;
  t->told = held;
  cc_log (held ? CC_LOG_INFO : CC_LOG_WARNING, "lease",
          held ? "%s holds its lease" : "%s has no lease, sends nothing",
          t->id);
  t->changed (t, held, t->data);
}

static char *
member_value (const CcTenure *t)
{
  g_autoptr (JsonBuilder) b = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "instance");
  json_builder_add_string_value (b, t->instance);
  json_builder_set_member_name (b, "zone");
  json_builder_add_string_value (b, t->zone);
  json_builder_set_member_name (b, "address");
  json_builder_add_string_value (b, t->address);
  json_builder_set_member_name (b, "incarnation");
  json_builder_add_int_value (b, (gint64) t->incarnation);
  json_builder_set_member_name (b, "draining");
  json_builder_add_boolean_value (b, t->draining);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  return json_to_string (root, FALSE);
}

static void
lose_lease (CcTenure *t)
{
  cc_log (CC_LOG_WARNING, "lease", "%s is given up, its row is not there",
          t->id);
  cc_lease_revoked (&t->lease);
  tell (t);
  choose_id (t);
  t->changed (t, FALSE, t->data);
}

/* Tells of a renewal, sent at SENT, that took longer than a renewal's period:
 * whether it counted, and how long the lease then lasts. */
static void
note_slow_renewal (const CcTenure *t, gint64 sent, const char *end)
{
  gint64 now = cc_clock_now ();

  if (sent == 0 || now - sent <= CC_LEASE_PERIOD)
    return;
  cc_log (CC_LOG_WARNING, "renewal",
          "%s %s %" G_GINT64_FORMAT
          " ms after it was sent, the lease lasts %" G_GINT64_FORMAT " ms",
          t->id, end, (now - sent) / CC_MS,
          (t->lease.valid_until - now) / CC_MS);
}

static void
on_written (CcStatus status, guint64 version, gpointer data)
{
  CcTenure *t = data;
  gint64 sent = t->lease.sent_at;

  t->calling = FALSE;
  if (status == CC_OK)
    cc_lease_renewed (&t->lease, version);
  else if (status == CC_UNKNOWN || status == CC_CONFLICT)
    t->doubtful =
        TRUE; /* the row tells: ours, an earlier write of ours, gone */
  else
    cc_lease_failed (&t->lease);
  if (status == CC_OK && t->drain_sent)
    t->drain_written = TRUE;
  note_slow_renewal (t, sent, status == CC_OK ? "was written" : "has failed");
  tell (t);
}

/* Renews the lease; the first time, and when draining begins, the member row
 * is written in the same transaction.  The row tells which voters this process
 * knows, since they change only when all know the last change; who registers
 * must know the present ones (voters.h). */
static void
write_lease (CcTenure *t, gint64 now)
{
  CcTransaction *x = cc_transaction_new ();
  g_autofree char *lease = lease_key (t);
  g_autofree char *member = member_key (t);
  g_autofree char *value = NULL;
  guint64 sequence = cc_lease_begin (&t->lease, now);

  value = g_strdup_printf ("{\"sequence\":%" G_GUINT64_FORMAT
                           ",\"voters\":%" G_GUINT64_FORMAT "}",
                           sequence, t->voters_version);
  cc_transaction_check (x, lease, t->lease.version);
  if (!t->lease.registered)
    cc_transaction_check (x, "voters", t->voters_version);
  cc_transaction_put (x, lease, value);
  if (!t->lease.registered || (t->draining && !t->drain_written))
    {
      g_autofree char *text = member_value (t);

      cc_transaction_put (x, member, text);
    }
  t->drain_sent = t->draining;
  t->calling = TRUE;
  cc_platform_commit (t->platform, x, on_written, t);
}

static guint64
sequence_in (const char *value)
{
  g_autoptr (JsonNode) root = json_from_string (value, NULL);

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return 0;
  return (guint64) json_object_get_int_member_with_default (
      json_node_get_object (root), "sequence", 0);
}

static void
settle_doubt (CcTenure *t, GVariant *rows)
{
  g_autofree char *wanted = lease_key (t);
  GVariantIter iter;
  const char *key, *value;
  guint64 version;

  g_variant_iter_init (&iter, rows);
  while (g_variant_iter_next (&iter, "(&st&s)", &key, &version, &value))
    if (g_str_equal (key, wanted) && value[0] != '\0')
      {
        cc_lease_found (&t->lease, version, sequence_in (value));
        return;
      }
  cc_lease_missing (&t->lease);
  lose_lease (t);
}

static void
on_read (CcStatus status, guint64 since, guint64 upto, GVariant *rows,
         gpointer data)
{
  CcTenure *t = data;

  (void) since;
  (void) upto;
  t->calling = FALSE;
  if (status != CC_OK)
    return;
  t->doubtful = FALSE;
  settle_doubt (t, rows);
  tell (t);
}

static void
on_deleted (CcStatus status, guint64 version, gpointer data)
{
  CcTenure *t = data;

  (void) status;
  (void) version;
  t->calling = FALSE;
  t->closed = TRUE;
}

static void
delete_rows (CcTenure *t)
{
  CcTransaction *x = cc_transaction_new ();
  g_autofree char *lease = lease_key (t);
  g_autofree char *member = member_key (t);

  cc_lease_init (&t->lease);
  cc_transaction_put (x, lease, NULL);
  cc_transaction_put (x, member, NULL);
  t->calling = TRUE;
  cc_platform_commit (t->platform, x, on_deleted, t);
}

static gboolean
on_tick (gpointer data)
{
  CcTenure *t = data;
  gint64 now = cc_clock_now ();

  tell (t);
  if (t->calling || t->closed || (!t->may_register && !t->closing))
    return G_SOURCE_CONTINUE;
  if (t->closing)
    delete_rows (t);
  else if (t->doubtful)
    {
      g_autofree char *key = lease_key (t);

      t->calling = TRUE;
      cc_platform_rows (t->platform, key, on_read, t);
    }
  else if (cc_lease_is_due (&t->lease, now) ||
           (t->draining && !t->drain_written))
    write_lease (t, now);
  return G_SOURCE_CONTINUE;
}

/* Begins to register, and goes on trying for as long as the process lives. */
void
cc_tenure_start (CcTenure *t)
{
  on_tick (t);
  g_timeout_add (TICK_MS, on_tick, t);
}

/* Asks the assigner to hand this dispatcher's servers to others. */
void
cc_tenure_drain (CcTenure *t)
{
  t->draining = TRUE;
}

/* Gives the lease up.  To be called when nothing is in progress any more;
 * t->closed tells when it is done. */
void
cc_tenure_close (CcTenure *t)
{
  t->closing = TRUE;
}
