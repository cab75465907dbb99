/* Renews the grant of a held server.  Every CC_GRANT_PERIOD a grant, or a probe
 * if no grant may be sent, goes out on a new connection, so the same calls also
 * show whether the server is reachable. */
#include "server.h"

#include "clock.h"

/* Handles the result of a grant or probe.  Any answer shows that the server is
 * reachable.  The next call is due immediately after a probe that was answered,
 * and if the slices changed while the grant was in progress. */
static void
on_granted (CcStatus status, guint64 serial, gint64 sent, gpointer data)
{
  CcServer *s = data;

  s->granting = FALSE;
  if (s->closed)
    {
      g_free (s);
      return;
    }
  if (status != CC_UNKNOWN)
    {
      cc_holding_answered (s->holding, cc_clock_now ());
      cc_connection_probe_answered (&s->connections, sent);
    }
  if (status == CC_OK && serial != 0)
    cc_holding_grant_acked (s->holding, serial, sent);
  if (status != CC_UNKNOWN && serial != s->holding->serial)
    s->grant_due = 0;
  cc_server_tick (s, cc_clock_now ());
  cc_server_pump (s);
}

static void
on_probed (CcStatus status, guint64 serial, gint64 sent, gpointer data)
{
  (void) serial;
  on_granted (status, 0, sent, data);
}

/* Sends a grant to S if one is due at NOW, or a probe if no grant may be sent.
 */
void
cc_server_renew_grant (CcServer *s, gint64 now)
{
  if (s->granting || now < s->grant_due || !s->holding->active ||
      !cc_server_may_serve (s, now))
    return;
  s->granting = TRUE;
  s->grant_due = now + CC_GRANT_PERIOD;
  if (cc_holding_may_grant (s->holding, now))
    {
      cc_holding_grant_sent (s->holding, now);
      cc_upstream_grant (s->shared->upstream, s->holding, s->shared->tenure->id,
                         on_granted, s);
    }
  else
    cc_upstream_probe (s->shared->upstream, s->holding, on_probed, s);
}
