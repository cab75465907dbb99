/* A pool's queue, retry budget, load and key owners, as known to one gateway.
 */
#include "forward_pool.h"

#include "clock.h"
#include "event_log.h"
#include "metrics.h"

/* Returns a new pool NAME.  Its key owners are read from STATE, which may be
 * NULL if the table has not been read yet. */
CcForwardPool *
cc_forward_pool_new (const char *name, const CcView *state)
{
  CcForwardPool *p = g_new0 (CcForwardPool, 1);

  p->name = g_strdup (name);
  cc_work_estimate_init (&p->work);
  cc_backlog_init (&p->backlog);
  cc_key_ranges_init (&p->ranges);
  p->peers = cc_peer_pick_new ();
  if (state != NULL)
    cc_key_ranges_read (&p->ranges, state, name);
  return p;
}

/* Frees POOL, a CcForwardPool. */
void
cc_forward_pool_free (gpointer pool)
{
  CcForwardPool *p = pool;

  cc_backlog_clear (&p->backlog);
  cc_key_ranges_clear (&p->ranges);
  cc_work_estimate_clear (&p->work);
  cc_peer_pick_free (p->peers);
  g_free (p->name);
  g_free (p);
}

/* The typical work time of a request like F at P's upstreams, and their
 * typical load at NOW. */
CcTypicalWork
cc_forward_pool_typical (const CcForwardPool *p, const CcWorkFeatures *f,
                         gint64 now)
{
  CcTypicalWork typical = cc_work_estimate_of (&p->work, f);

  typical.inside = cc_pool_load_typical (&p->load, now);
  return typical;
}

/* Returns whether this gateway reaches none of P's UPSTREAMS at NOW, us.  Each
 * change is logged. */
gboolean
cc_forward_pool_check_reach (CcForwardPool *p, guint upstreams, gint64 now)
{
  gboolean partitioned =
      cc_pool_reach_is_partitioned (&p->reach, upstreams, now);

  if (partitioned != p->partitioned)
    cc_event (CC_EVENT_STATE, "pool-reachable", "pool", p->name, "reachable",
              partitioned ? "no" : "yes", "upstreams", cc_event_int (upstreams),
              "failed", cc_event_int (p->reach.failed), "reached",
              cc_event_int (p->reach.reached), NULL);
  p->upstreams = upstreams;
  p->partitioned = partitioned;
  return partitioned;
}

/* Updates the gauges of the work that is expected and measured at P. */
static void
write_work_gauges (const CcForwardPool *p)
{
  g_autofree char *pool = cc_metrics_label ("pool", p->name);
  GHashTableIter i;
  gpointer name, value;

  g_hash_table_iter_init (&i, p->work.routes);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      const CcWorkRoute *r = value;
      g_autofree char *class = cc_metrics_label ("class", name);
      g_autofree char *label = g_strconcat (pool, ",", class, NULL);

      cc_metrics_gauge ("capercrank_work_expected_seconds", label,
                        r->expected / 1e6);
      cc_metrics_gauge ("capercrank_work_measured_seconds", label,
                        r->measured / 1e6);
      cc_metrics_gauge ("capercrank_work_error_seconds", label, r->error / 1e6);
    }
}

/* Updates the metric gauges of P. */
void
cc_forward_pool_write_gauges (const CcForwardPool *p)
{
  g_autofree char *label = cc_metrics_label ("pool", p->name);
  guint owned = 0, moving = 0;

  for (guint i = 0; i < p->ranges.list->len; i++)
    {
      const CcKeyRange *r = p->ranges.list->pdata[i];

      *(r->previous == NULL ? &owned : &moving) += r->to - r->from + 1;
    }
  cc_metrics_gauge ("capercrank_queue_length", label,
                    cc_backlog_length (&p->backlog));
  cc_metrics_gauge ("capercrank_typical_work_seconds", label,
                    cc_work_estimate_any (&p->work) / 1e6);
  cc_metrics_gauge ("capercrank_typical_inside_per_slot", label,
                    cc_pool_load_typical (&p->load, cc_clock_now ()));
  cc_metrics_gauge (
      "capercrank_pool_unreachable", label,
      cc_pool_reach_is_partitioned (&p->reach, p->upstreams, cc_clock_now ()));
  cc_metrics_gauge ("capercrank_retry_tokens", label, p->budget.tokens);
  cc_metrics_gauge ("capercrank_keys_owned", label, owned);
  cc_metrics_gauge ("capercrank_keys_moving", label, moving);
  cc_metrics_gauge ("capercrank_key_ranges", label, p->ranges.list->len);
  write_work_gauges (p);
}
