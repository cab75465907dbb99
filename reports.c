/* A dispatcher's reports: to the assigner, which work each server has stopped
 * and the load that it carries; to the next holder of a slice, the attempt
 * records of that slice. */
#include "dispatcher.h"

#include <json-glib/json-glib.h>

#include "clock.h"
#include "json_tree.h"
#include "log.h"

#define REPORT_PERIOD (200 * CC_MS)
#define OUTCOMES_EXPIRE (5 * CC_SECOND) /* longer than a move */

/* Returns the incarnation of the active assigner and sets *ADDRESS; 0 if the
 * table names none. */
static guint64
find_assigner (CcDispatcher *d, char **address)
{
  const CcRow *row = cc_view_get (&d->follower->view, "assign/active");
  g_autoptr (JsonNode) root =
      row != NULL ? cc_json_parse (row->value, -1, NULL) : NULL;
  JsonObject *o = cc_json_object (root);

  if (o == NULL)
    return 0;
  *address = g_strdup (cc_json_text_member (o, "address", ""));
  return (guint64) cc_json_whole_member (o, "incarnation", 0, G_MAXINT64, 0);
}

/* Sends the state and load of S to the assigner; APPLIED is the map version up
 * to which removed work has stopped. */
static void
send_report (CcDispatcher *d, CcServer *s, guint64 applied)
{
  g_autofree char *address = NULL;
  CcMessage m = { .kind = CC_MSG_REPORT };
  g_autoptr (GVariant) loads = NULL;
  g_autoptr (GVariant) hot = NULL;

  m.to = find_assigner (d, &address);
  if (m.to == 0)
    return;
  loads = g_variant_ref_sink (cc_unit_meter_loads (s->meter, cc_clock_now ()));
  hot = g_variant_ref_sink (cc_unit_meter_hot (s->meter, cc_clock_now ()));
  m.id = cc_mailbox_next_id (d->mailbox);
  m.expires = cc_clock_wall () + 2 * CC_SECOND;
  m.u.report.instance = d->tenure->id;
  m.u.report.pool = s->holding->pool;
  m.u.report.server = s->holding->name;
  m.u.report.applied = applied;
  m.u.report.state = cc_holding_is_lost (s->holding);
  m.u.report.running = s->holding->running;
  m.u.report.queued = cc_queue_length (&s->load.queue);
  m.u.report.loads = loads;
  m.u.report.hot = hot;
  cc_mailbox_send (d->mailbox, address, &m);
}

/* Sends one chunk of attempt records to the dispatcher TO.  CC_GONE: it is not
 * a member. */
static CcStatus
send_outcomes (const char *to, const CcMsgOutcomes *o, gpointer data)
{
  CcDispatcher *d = data;
  const CcMember *member = cc_follower_member (d->follower, to);
  CcMessage m = { .kind = CC_MSG_OUTCOMES };

  if (member == NULL)
    return CC_GONE;
  m.to = member->incarnation;
  m.id = cc_mailbox_next_id (d->mailbox);
  m.expires = cc_clock_wall () + OUTCOMES_EXPIRE;
  m.u.outcomes = *o;
  ++*d->outcomes_sent;
  return cc_mailbox_send (d->mailbox, member->address, &m);
}

/* Sends the attempt records of slices removed from S to their next holders.
 * They are sent before the report that allows the next holders to begin, so
 * they usually arrive in time.  Returns FALSE while a link is full. */
static gboolean
send_removed_outcomes (CcDispatcher *d, CcServer *s, guint64 applied)
{
  const CcSliceMap *m = cc_follower_map (d->follower, s->holding->pool);

  return m == NULL || m->version != applied ||
         cc_transfer_stopped (d->transfer, m, s->holding->name, d->tenure->id,
                              send_outcomes, d);
}

/* Logs how long the work removed by the last such map version took to stop. */
static void
track_removal_done (CcServer *s, guint64 applied, gint64 now)
{
  if (s->removal_version == 0 || applied < s->removal_version)
    return;
  cc_log (CC_LOG_INFO, "server",
          "%s/%s: work removed by version %" G_GUINT64_FORMAT
          " has stopped after %" G_GINT64_FORMAT " ms",
          s->holding->pool, s->holding->name, s->removal_version,
          (now - s->removal_read_at) / CC_MS);
  s->removal_version = 0;
}

/* Reports S to the assigner if its applied version changed or a periodic report
 * is due. */
void
cc_report_if_due (CcDispatcher *d, CcServer *s, gint64 now)
{
  guint64 applied = cc_holding_applied (s->holding, now, cc_clock_wall ());

  if (!send_removed_outcomes (d, s, applied))
    applied = s->applied_reported;
  if (applied == s->applied_reported && now < s->report_due)
    return;
  track_removal_done (s, applied, now);
  s->applied_reported = applied;
  s->report_due = now + REPORT_PERIOD;
  send_report (d, s, applied);
}
