/* Failure: a device on the path to a server loses its connection state.  What
 * is sent on existing connections is discarded silently, while new connections
 * work.  Without this module, idempotent requests, which are sent on persistent
 * connections, wait until their deadline, and each connection that times out
 * delays another request.  Work that must not run twice is not affected: each
 * attempt opens a connection.
 *
 * A connection is suspect if the attempt is long overdue for its kind of work
 * and a call on a new connection, sent after it, was answered.  A server that
 * is stalled or gone answers no probe.  A server that has just become slow
 * cannot be distinguished from silent connections; its requests then get a
 * second attempt, which the retry budget bounds at a tenth.
 *
 * Responses to other requests on persistent connections prove nothing, since
 * those connections may have been opened later.  If they were taken as proof,
 * no pool would be dropped and requests would time out one by one. */
#include "connection_health.h"

#define EXPECTED_FACTOR 8 /* covers a queue of twice the server's slots */

/* Records the response to a call sent at SENT on a new connection. */
void
cc_connection_probe_answered (CcConnectionHealth *h, gint64 sent)
{
  h->probed_at = MAX (h->probed_at, sent);
}

/* Returns what to do at NOW about an attempt that was sent at SENT on a
 * persistent connection and should take EXPECTED, us. */
CcConnectionAction
cc_connection_classify (const CcConnectionHealth *h, gint64 sent,
                        gint64 expected, gint64 now)
{
  gint64 limit = CC_CONNECTION_SUSPECT_AFTER + EXPECTED_FACTOR * expected;

  if (now - sent <= limit)
    return CC_CONNECTION_KEEP;
  return h->probed_at > sent ? CC_CONNECTION_SUSPECT : CC_CONNECTION_PROBE;
}

/* Returns whether the other persistent connections are to be dropped as well,
 * after a suspect one was found at NOW. */
gboolean
cc_connection_drop_due (CcConnectionHealth *h, gint64 now)
{
  if (h->dropped_at != 0 && now - h->dropped_at < CC_CONNECTION_DROP_PERIOD)
    return FALSE;
  h->dropped_at = now;
  return TRUE;
}
