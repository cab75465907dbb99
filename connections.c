/* Handles pooled connections of a held server that have gone silent, on which
 * attempts would otherwise wait until their deadline (connection_health.h).
 * Idempotent attempts on them are cancelled and retried, one per check so that
 * the retry budget covers each, and the pool is dropped.  Before that, attempts
 * overtaken by answers to later ones are cancelled (hedge.h), which needs no
 * probe and happens sooner while other connections work. */
#include "server.h"

#include "log.h"

/* Whether J's attempt is on a pooled connection and may be retried. */
static gboolean
is_replaceable (CcServer *s, const CcJob *j)
{
  return !j->once_only && j->state == CC_JOB_SENT &&
         cc_retries_allowed (&s->load.retries, j->waiting.class_id, FALSE,
                             CC_FAIL_UNKNOWN, j->waiting.tries);
}

/* Returns the oldest replaceable attempt's job, or NULL. */
static CcJob *
oldest_replaceable (CcServer *s)
{
  CcJob *oldest = NULL;
  GHashTableIter iter;
  gpointer job;

  g_hash_table_iter_init (&iter, s->sent);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    if (is_replaceable (s, job) &&
        (oldest == NULL || ((CcJob *) job)->sent < oldest->sent))
      oldest = job;
  return oldest;
}

/* Cancels J's attempt on a suspect connection; on_attempt_done then retries it.
 * The retry is due as long after NOW as the first attempt was after arrival. */
static void
replace_attempt (CcServer *s, CcJob *j, gint64 now)
{
  if (cc_connection_drop_due (&s->connections, now))
    {
      cc_log (CC_LOG_WARNING, "server", "%s/%s: pooled connections are silent",
              s->holding->pool, s->holding->name);
      ++*s->shared->pools_dropped;
      cc_upstream_drop_pool (s->shared->upstream, s->holding->address);
    }
  j->waiting.due = now + j->waiting.due - j->arrived;
  cc_attempt_cancel (j->attempt);
}

/* Cancels idempotent attempts that hedge.h decides to retry; on_attempt_done
 * then retries them.  S->sent rarely holds more than four jobs. */
static void
hedge_overtaken (CcServer *s, gint64 now)
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

/* Checks the attempts of S on pooled connections at NOW and cancels those on
 * silent ones. */
void
cc_server_check_connections (CcServer *s, gint64 now)
{
  CcJob *j;

  hedge_overtaken (s, now);
  j = oldest_replaceable (s);
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
      replace_attempt (s, j, now);
      break;
    }
}
