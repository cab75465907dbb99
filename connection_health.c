/* The failure: a box between here and a server forgets the connections it knew.
 * What is sent on them is swallowed, new ones work.  The symptom without this
 * module: idempotent work, which travels on kept connections, waits to its
 * deadline, and each connection that times out takes another request with it.
 * Once-only work is not touched, it opens a connection for each attempt.
 *
 * Two things are asked: the attempt is long overdue for its kind, and a call on
 * a fresh connection, sent after it, was answered.  A server that is frozen or
 * gone answers no probe.  One that has just become slow can't be told from
 * silent connections; it costs the work in it a second attempt, which the
 * retries' budget bounds at a tenth.
 *
 * That others on kept connections are answered is no proof to the contrary:
 * they may have opened theirs since.  (Tried; no pool was dropped, and requests
 * went on to time out one by one.)
 */
#include "connection_health.h"

#define EXPECTED_FACTOR 8 /* a queue in the server of twice its slots */

/* A call on a fresh connection, sent at SENT, was answered. */
void
cc_connection_probe_answered (CcConnectionHealth *h, gint64 sent)
{
  h->proven = MAX (h->proven, sent);
}

/* What to do at NOW about an attempt on a kept connection that was sent at SENT
 * and should take EXPECTED us. */
CcConnectionAction
cc_connection_classify (const CcConnectionHealth *h, gint64 sent,
                        gint64 expected, gint64 now)
{
  gint64 limit = CC_CONNECTION_SUSPECT_AFTER + EXPECTED_FACTOR * expected;

  if (now - sent <= limit)
    return CC_CONNECTION_KEEP;
  return h->proven > sent ? CC_CONNECTION_SUSPECT : CC_CONNECTION_PROBE;
}

/* Whether the other kept connections are to be dropped, too, after a suspect
 * one was found at NOW. */
gboolean
cc_connection_drop_due (CcConnectionHealth *h, gint64 now)
{
  if (h->dropped != 0 && now - h->dropped < CC_CONNECTION_DROP_PERIOD)
    return FALSE;
  h->dropped = now;
  return TRUE;
}
