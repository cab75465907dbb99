/* Connects to an upstream without a request, to find out whether it is
 * reachable: while requests for it are forwarded through peers, and when an
 * attempt at it is overdue.  The connection is kept for later requests. */
#include "clock.h"
#include "exchange_state.h"

/* Within a region a connection is established in 3 ms; a lost SYN is sent again
 * only after a second. */
#define CONNECT_TIMEOUT (200 * CC_MS)

typedef struct
{
  CcForwarder *forwarder;
  CcForwardPool *pool;
  CcTarget *target;
} Probe;

static void
on_connected (gboolean connected, gpointer data)
{
  g_autofree Probe *probe = data;
  CcTargetLoad *l = &probe->target->load;
  CcPoolReach *reach = &probe->pool->reach;
  gint64 now = cc_clock_now ();

  l->probing = FALSE;
  if (connected)
    {
      cc_pick_connected (l, now);
      cc_pool_reach_succeeded (reach, &l->reach, now);
      cc_forwarder_pump (probe->forwarder);
      return;
    }
  cc_pool_reach_failed (reach, &l->reach, now);
  cc_pick_not_connected (l, now);
}

/* Tries a connection to T, an upstream of P, unless one is being tried or T is
 * backed off. */
void
cc_forwarder_probe (CcForwarder *f, CcForwardPool *p, CcTarget *t)
{
  Probe *probe;

  if (t->load.probing || cc_clock_now () < t->load.avoid_until)
    return;
  probe = g_new0 (Probe, 1);
  probe->forwarder = f;
  probe->pool = p;
  probe->target = t;
  t->load.probing = cc_http_connect (f->setup.http, t->listing.address,
                                     CONNECT_TIMEOUT, on_connected, probe);
  if (!t->load.probing)
    g_free (probe);
}

/* The number of ready upstreams of P. */
static guint
count_upstreams (const CcForwarder *f, const CcForwardPool *p)
{
  GPtrArray *all = cc_targets_of_pool (f->setup.targets, p->name);
  guint n = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    n += ((const CcTarget *) all->pdata[i])->state == CC_TARGET_READY;
  return n;
}

/* Returns whether this gateway reaches none of the upstreams of P at NOW, us.
 */
gboolean
cc_forwarder_is_partitioned (CcForwarder *f, CcForwardPool *p, gint64 now)
{
  if (p->reach.failed == 0 && !p->partitioned)
    return FALSE;
  return cc_forward_pool_check_reach (p, count_upstreams (f, p), now);
}
