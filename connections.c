/* Acts on the judgement of a held server's kept connections
 * (connection_health.h): gives up idempotent attempts on silent ones, one at a
 * look so that each finds its retry in the budget, and drops the pool.  Before
 * that, attempts that were overtaken are given up (hedge.h): this needs no
 * probe and comes sooner where other connections work. */
#include "server.h"

#include "log.h"

/* Whether J's attempt is on a kept connection and a second one is allowed. */
static gboolean
may_be_given_up (CcServer *s, const CcJob *j)
{
  return !j->once_only && j->state == CC_JOB_SENT &&
         cc_retries_allowed (&s->load.retries, j->waiting.class_id, FALSE,
                             CC_FAIL_UNKNOWN, j->waiting.tries);
}

static CcJob *
oldest_on_kept (CcServer *s)
{
  CcJob *oldest = NULL;
  GHashTableIter iter;
  gpointer job;

  g_hash_table_iter_init (&iter, s->sent);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    if (may_be_given_up (s, job) &&
        (oldest == NULL || ((CcJob *) job)->sent < oldest->sent))
      oldest = job;
  return oldest;
}

/* The second try is wanted as soon after now as the first was after arrival.
 */
static void
give_up (CcServer *s, CcJob *j, gint64 now)
{
  if (cc_connection_drop_due (&s->connections, now))
    {
      cc_log (CC_LOG_WARNING, "server", "%s/%s: kept connections are silent",
              s->holding->pool, s->holding->name);
      ++*s->shared->pools_dropped;
      cc_upstream_drop_pool (s->shared->upstream, s->holding->address);
    }
  j->waiting.due = now + j->waiting.due - j->arrived;
  cc_attempt_cancel (j->attempt);
}

/* Closes connections that swallowed an idempotent attempt; on_attempt_done
 * then tries again.  Seldom more than four to look at. */
static void
hedge (CcServer *s, gint64 now)
{
  GHashTableIter iter;
  gpointer job;

  g_hash_table_iter_init (&iter, s->sent);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    {
      CcJob *j = job;

      if (j->state == CC_JOB_SENT && cc_load_hedge (&s->load, &j->waiting, now))
        {
          ++*s->shared->hedged;
          cc_attempt_cancel (j->attempt);
        }
    }
}

/* Looks at the oldest attempt on a kept connection at NOW. */
void
cc_server_check_connections (CcServer *s, gint64 now)
{
  CcJob *j;

  hedge (s, now);
  j = oldest_on_kept (s);
  if (j == NULL)
    return;
  switch (
      cc_connection_classify (&s->connections, j->sent, j->waiting.cost, now))
    {
    case CC_CONNECTION_KEEP:
      break;
    case CC_CONNECTION_PROBE:
      s->grant_due = 0;
      break;
    case CC_CONNECTION_SUSPECT:
      give_up (s, j, now);
      break;
    }
}
