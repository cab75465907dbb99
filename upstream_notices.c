/* Notes what answers of upstreams state.  While the table service is down, an
 * answer is the only way to learn that an upstream leaves. */
#include "upstream_notices.h"

#include "event_log.h"
#include "metrics.h"

struct CcUpstreamNotices
{
  CcTargets *targets;
  CcTargetChanged changed;
  gpointer data; /* for CHANGED */
  CcCounter *leaving;
  CcCounter *rest;
  CcCounter *damaged;
};

/* Returns notices about TARGETS, which must outlive them.  CHANGED is called
 * with DATA when an upstream is found to leave; it must not end requests. */
CcUpstreamNotices *
cc_upstream_notices_new (CcTargets *targets, CcTargetChanged changed,
                         gpointer data)
{
  static const char name[] = "capercrank_upstream_notices";
  CcUpstreamNotices *n = g_new0 (CcUpstreamNotices, 1);

  n->targets = targets;
  n->changed = changed;
  n->data = data;
  n->leaving = cc_metrics_counter (name, "notice=\"leaving\"");
  n->rest = cc_metrics_counter (name, "notice=\"rest\"");
  n->damaged = cc_metrics_counter (name, "notice=\"damaged\"");
  return n;
}

/* T states at NOW that it leaves. */
static void
note_leaving (CcUpstreamNotices *n, CcTarget *t, gint64 now)
{
  ++*n->leaving;
  if (!cc_target_says_leaving (t, now))
    return;
  cc_event (CC_EVENT_STATE, "upstream-says-leaving", "target", t->listing.id,
            "pool", t->listing.pool, NULL);
  n->changed (t, n->data);
}

/* T asks this gateway for no requests for REST us from NOW on. */
static void
note_rest (CcUpstreamNotices *n, CcTarget *t, gint64 rest, gint64 now)
{
  ++*n->rest;
  if (!cc_target_asks_rest (t, rest, now))
    return;
  cc_event (CC_EVENT_FAILED, "upstream-asks-rest", "target", t->listing.id,
            "pool", t->listing.pool, "rest_ms", cc_event_int (rest / CC_MS),
            NULL);
}

/* Applies NOTICE, which was read at NOW, us, in an answer of the start at BORN
 * of the upstream ID.  One of an earlier start tells nothing of this one. */
void
cc_upstream_notices_receive (CcUpstreamNotices *n, const char *id, guint64 born,
                             const CcServerNotice *notice, gint64 now)
{
  CcTarget *t = cc_targets_find (n->targets, id);

  if (t == NULL || t->listing.born != born)
    return;
  if (notice->leaving)
    note_leaving (n, t, now);
  switch (notice->rest)
    {
    case CC_REST_NONE:
      break;
    case CC_REST_ASKED:
      note_rest (n, t, notice->rest_for, now);
      break;
    case CC_REST_DAMAGED:
      ++*n->damaged;
      cc_event (CC_EVENT_FAILED, "upstream-rest-damaged", "target", id, NULL);
      break;
    }
}
