/* Probes upstreams before keys are planned for them, so that a plan takes no
 * keys from their owners for an upstream that does not answer.
 *
 * A connection is enough for an upstream that no grant was sent to.  One that
 * has left a grant unanswered may accept connections and answer nothing, so it
 * has to answer the release of that grant. */
#include "owner_probe.h"

#include "clock.h"
#include "event_log.h"

#define CONNECT_TIMEOUT (300 * CC_MS)

typedef struct
{
  CcGrantShared *shared;
  CcOwnerContact *contact;
  char *id; /* of the upstream */
} Probe;

/* Ends PROBE, which was ANSWERED or not. */
static void
finish (Probe *probe, gboolean answered)
{
  CcOwnerContact *c = probe->contact;
  gint64 now = cc_clock_now ();

  c->probing = FALSE;
  if (!answered)
    cc_owner_contact_probe_failed (c, now);
  else if (cc_owner_contact_reached (c, now))
    {
      cc_event (CC_EVENT_STATE, "owner-reached", "owner", probe->id, NULL);
      probe->shared->replan = TRUE;
    }
  g_free (probe->id);
  g_free (probe);
}

static void
on_connected (CcHttpConnectEnd end, gpointer data)
{
  finish (data, end == CC_HTTP_CONNECTED);
}

static void
on_released (const CcHttpResult *r, gpointer data)
{
  finish (data, r->end == CC_HTTP_ANSWERED && r->status == 200 &&
                    !cc_edge_is_other_server (r));
}

/* Sends the release of the unanswered grant of T.  Returns FALSE if it cannot
 * be sent. */
static gboolean
send_release (Probe *probe, const CcTarget *t)
{
  const CcContactGrant *g = &probe->contact->unanswered;
  CcKeyGrant grant = {
    .server = t->listing.id, .from = g->from, .to = g->to, .fence = g->fence
  };
  g_autoptr (GBytes) body = NULL;
  g_autofree char *head = cc_edge_release_head (&grant, &body);
  g_autofree char *message =
      g_strdup_printf ("%sHost: %s\r\n", head, t->listing.address);
  CcHttpRequest request = { .address = t->listing.address,
                            .head = message,
                            .body = body,
                            .id_header = cc_edge_echo_header (),
                            .connect_timeout = CONNECT_TIMEOUT,
                            .answer_timeout = CC_GRANT_CALL_TIMEOUT };

  return cc_http_send (probe->shared->http, &request, on_released, probe) !=
         NULL;
}

/* Probes T at NOW, us, unless it is known to be reachable, is being probed, or
 * has lately failed to answer a probe. */
void
cc_owner_probe (CcGrantShared *shared, const CcTarget *t, gint64 now)
{
  CcOwnerContact *c = cc_grant_contact (shared, t->listing.id);
  Probe *probe;

  if (!cc_owner_contact_may_probe (c, now))
    return;
  probe = g_new0 (Probe, 1);
  probe->shared = shared;
  probe->contact = c;
  probe->id = g_strdup (t->listing.id);
  c->probing = c->unanswered.fence != 0
                   ? send_release (probe, t)
                   : cc_http_connect (shared->http, t->listing.address,
                                      CONNECT_TIMEOUT, on_connected, probe);
  if (!c->probing)
    finish (probe, FALSE);
}
