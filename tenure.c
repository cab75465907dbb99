/* A dispatcher's registration: the row lease/ID, which it renews, and the row
 * member/ID, which gives other members its address and zone.  An id is
 * registered once.  A dispatcher that loses its lease registers again under a
 * new id, like a new process, so that nothing granted to the old id becomes
 * valid again. */
#include "tenure.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "clock.h"
#include "json_tree.h"
#include "log.h"
#include "metrics.h"

#define TICK_MS 50 /* an eighth of the renewal's period */

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

/* Changes to a new id, whose lease is not held. */
static void
choose_id (CcTenure *t)
{
  g_free (t->id);
  t->id = g_strdup_printf ("%s.%" G_GINT64_MODIFIER "x.%u", t->instance,
                           t->incarnation, ++t->count);
  cc_lease_init (&t->lease);
  t->drain_written = FALSE;
}

/* Creates a registration that has not begun.  CHANGED is called with DATA. */
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

/* Whether the lease is valid at NOW (us, cc_clock_now). */
gboolean
cc_tenure_is_valid (const CcTenure *t, gint64 now)
{
  return cc_lease_is_valid (&t->lease, now);
}

/* Reports through CHANGED, the log and the metrics whether the lease is
 * held. */
static void
report_state (CcTenure *t)
{
  gboolean held = cc_tenure_is_valid (t, cc_clock_now ());

  cc_metrics_gauge ("capercrank_lease_held", "", held);
  if (held == t->reported)
    return;
  t->reported = held;
  cc_log (held ? CC_LOG_INFO : CC_LOG_WARNING, "lease",
          held ? "lease of %s acquired" : "lease of %s lost, not sending work",
          t->id);
  t->changed (t, held, t->data);
}

/* The value of the member row.  The caller frees it. */
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

/* Abandons the id after its row was deleted, and chooses a new one. */
static void
lose_lease (CcTenure *t)
{
  cc_log (CC_LOG_WARNING, "lease",
          "lease row of %s does not exist, abandoning this id", t->id);
  cc_lease_revoked (&t->lease);
  report_state (t);
  choose_id (t);
  t->changed (t, FALSE, t->data);
}

/* Logs a renewal, sent at SENT, that took longer than a renewal period: its
 * RESULT and how long the lease is still valid. */
static void
log_slow_renewal (const CcTenure *t, gint64 sent, const char *result)
{
  gint64 now = cc_clock_now ();

  if (sent == 0 || now - sent <= CC_LEASE_PERIOD)
    return;
  cc_log (CC_LOG_WARNING, "renewal",
          "renewal of %s %s %" G_GINT64_FORMAT
          " ms after it was sent, lease valid for another %" G_GINT64_FORMAT
          " ms",
          t->id, result, (now - sent) / CC_MS,
          (t->lease.valid_until - now) / CC_MS);
}

/* Handles the result of a write of the lease row.  With CC_UNKNOWN or
 * CC_CONFLICT the row is read before the next write. */
static void
on_written (CcStatus status, guint64 version, gpointer data)
{
  CcTenure *t = data;
  gint64 sent = t->lease.sent_at;

  t->calling = FALSE;
  if (status == CC_OK)
    cc_lease_renewed (&t->lease, version);
  else if (status == CC_UNKNOWN || status == CC_CONFLICT)
    t->unconfirmed = TRUE; /* the row shows whether it was written */
  else
    cc_lease_failed (&t->lease);
  if (status == CC_OK && t->drain_sent)
    t->drain_written = TRUE;
  log_slow_renewal (t, sent, status == CC_OK ? "succeeded" : "failed");
  report_state (t);
}

/* Renews the lease.  The first time, and when draining begins, the member row
 * is written in the same transaction.  The lease row contains the version of
 * the voters' row that this process knows, because the voters change only when
 * every dispatcher knows the previous change; the registration checks that it
 * is the present version (voters.h). */
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

/* The sequence in the VALUE of a lease row; 0 if it is malformed. */
static guint64
sequence_in (const char *value)
{
  g_autoptr (JsonNode) root = cc_json_parse (value, -1, NULL);

  return (guint64) cc_json_whole_member (cc_json_object (root), "sequence", 0,
                                         G_MAXINT64, 0);
}

/* Determines from ROWS whether the last write was applied: finds the own lease
 * row, or loses the lease if there is none. */
static void
check_row (CcTenure *t, GVariant *rows)
{
  g_autofree char *own_key = lease_key (t);
  GVariantIter iter;
  const char *key, *value;
  guint64 version;

  g_variant_iter_init (&iter, rows);
  while (g_variant_iter_next (&iter, "(&st&s)", &key, &version, &value))
    if (g_str_equal (key, own_key) && value[0] != '\0')
      {
        cc_lease_found (&t->lease, version, sequence_in (value));
        return;
      }
  cc_lease_missing (&t->lease);
  lose_lease (t);
}

/* Handles the result of a read of the lease row. */
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
  t->unconfirmed = FALSE;
  check_row (t, rows);
  report_state (t);
}

/* Handles the result of the deletion of the rows, which is not repeated:
 * without it the lease lapses. */
static void
on_deleted (CcStatus status, guint64 version, gpointer data)
{
  CcTenure *t = data;

  (void) status;
  (void) version;
  t->calling = FALSE;
  t->closed = TRUE;
}

/* Ends the lease and deletes both rows. */
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

/* Does the next step, unless a call to the platform is in progress. */
static gboolean
on_tick (gpointer data)
{
  CcTenure *t = data;
  gint64 now = cc_clock_now ();

  report_state (t);
  if (t->calling || t->closed || (!t->may_register && !t->closing))
    return G_SOURCE_CONTINUE;
  if (t->closing)
    delete_rows (t);
  else if (t->unconfirmed)
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

/* Starts to register, to renew the lease, and to register again if it is lost,
 * until the process exits. */
void
cc_tenure_start (CcTenure *t)
{
  on_tick (t);
  g_timeout_add (TICK_MS, on_tick, t);
}

/* Requests that the assigner hand this dispatcher's servers over to others, by
 * a flag in the member row. */
void
cc_tenure_drain (CcTenure *t)
{
  t->draining = TRUE;
}

/* Releases the lease: the rows are deleted at the next tick.  May be called
 * only when no request is in progress.  t->closed is set when it is done. */
void
cc_tenure_close (CcTenure *t)
{
  t->closing = TRUE;
}
