/* Detects persistent connections to a server that no longer carry data. */
#ifndef CC_CONNECTION_HEALTH_H
#define CC_CONNECTION_HEALTH_H

#include "capercrank.h"

/* An attempt that is unanswered for this time plus a few times the usual time
 * of its kind makes its connection suspect.  The usual latency target of a
 * class is 100 ms; a probe takes 6 ms. */
#define CC_CONNECTION_SUSPECT_AFTER (100 * CC_MS)
/* Least time between two drops of the connection pool: new connections cost 1
 * ms each at the server, and a slow server looks like silent connections. */
#define CC_CONNECTION_DROP_PERIOD (1000 * CC_MS)

typedef enum
{
  CC_CONNECTION_KEEP,
  CC_CONNECTION_PROBE,  /* a new connection is to be probed now */
  CC_CONNECTION_SUSPECT /* new ones work: abandon this attempt */
} CcConnectionAction;

typedef struct
{
  gint64 probed_at;  /* send time of the newest call that was answered on a new
                        connection, us */
  gint64 dropped_at; /* last drop of the connection pool, us; 0: never */
} CcConnectionHealth;

void cc_connection_probe_answered (CcConnectionHealth *h, gint64 sent);
CcConnectionAction cc_connection_classify (const CcConnectionHealth *h,
                                           gint64 sent, gint64 expected,
                                           gint64 now);
gboolean cc_connection_drop_due (CcConnectionHealth *h, gint64 now);

#endif
