/* Connects to an upstream without a request, to find out whether it is
 * reachable: while requests for it are forwarded through peers, and when an
 * attempt at it is overdue.  The connection is kept for later requests. */
#include "clock.h"
#include "eligibility.h"
#include "exchange_state.h"

/* Within a region a connection is established in 3 ms; a lost SYN is sent again
 * only after a second. */
#define CONNECT_TIMEOUT (200 * CC_MS)

/* An upstream that responded this long ago is reachable. */
#define REACHED_TIMEOUT (1 * CC_SECOND)
/* Upstreams that have to be reachable, all if there are fewer, for the pool to
 * count as reachable; and those that are probed at a time to find out. */
#define REACHED_MIN 3
#define PROBES 5

typedef struct
{
  CcForwarder *forwarder;
  CcForwardPool *pool;
  CcTarget *target;
} Probe;

static void
on_connected (CcHttpConnectEnd end, gpointer data)
{
  g_autofree Probe *probe = data;
  CcTargetLoad *l = &probe->target->load;
  CcPoolReach *reach = &probe->pool->reach;
  gint64 now = cc_clock_now ();

  l->probing = FALSE;
  if (end == CC_HTTP_CONNECTED)
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

/* The number of upstreams of P that may get requests: others tell nothing of
 * its reach. */
static guint
count_upstreams (const CcForwarder *f, const CcForwardPool *p)
{
  GPtrArray *all = cc_targets_of_pool (f->setup.targets, p->name);
  guint n = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    n += cc_eligibility_may_own (f->setup.evacuation, all->pdata[i]);
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

/* Probes a few random upstreams of P. */
void
cc_forwarder_probe_some (CcForwarder *f, CcForwardPool *p)
{
  GPtrArray *all = cc_targets_of_pool (f->setup.targets, p->name);

  for (guint i = 0; all != NULL && all->len > 0 && i < PROBES; i++)
    {
      CcTarget *t = all->pdata[g_random_int_range (0, (gint32) all->len)];

      if (cc_eligibility_may_own (f->setup.evacuation, t))
        cc_forwarder_probe (f, p, t);
    }
}

/* Counts the upstreams of P that may get requests and responded lately. */
static guint
count_reached (const CcForwarder *f, const CcForwardPool *p, gint64 now)
{
  GPtrArray *all = cc_targets_of_pool (f->setup.targets, p->name);
  guint n = 0;

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const CcTarget *t = all->pdata[i];

      n += cc_eligibility_may_own (f->setup.evacuation, t) &&
           !cc_pick_is_unreachable (&t->load) && t->load.reached_at != 0 &&
           now - t->load.reached_at < REACHED_TIMEOUT;
    }
  return n;
}

/* Returns whether this gateway reaches the upstreams of the pool NAME.  If that
 * is unknown and PROBE is set, some are probed, and a later call returns the
 * result. */
CcReach
cc_forwarder_check_reach (CcForwarder *f, const char *name, gboolean probe)
{
  CcForwardPool *p = cc_forwarder_find_pool (f, name);
  gint64 now = cc_clock_now ();
  guint upstreams = count_upstreams (f, p);

  if (cc_forward_pool_check_reach (p, upstreams, now))
    return CC_REACH_NO;
  if (upstreams > 0 &&
      count_reached (f, p, now) >= MIN (REACHED_MIN, upstreams))
    return CC_REACH_YES;
  if (probe)
    cc_forwarder_probe_some (f, p);
  return CC_REACH_UNKNOWN;
}
