/* Whether the kept connections to a server still carry anything. */
#ifndef CC_CONNECTION_HEALTH_H
#define CC_CONNECTION_HEALTH_H

#include "capercrank.h"

/* An attempt unanswered for so long, and a few times what its kind takes, makes
 * its connection suspect.  A class's target of today is 100 ms; a probe takes
 * 6 ms. */
#define CC_CONNECTION_SUSPECT_AFTER (100 * CC_MS)
/* The pool is dropped once in so long at most: new connections cost 1 ms each
 * at the server, and a slow server looks like silent connections. */
#define CC_CONNECTION_DROP_PERIOD (1000 * CC_MS)

typedef enum
{
  CC_CONNECTION_KEEP,
  CC_CONNECTION_PROBE,  /* a fresh connection is to be tried now */
  CC_CONNECTION_SUSPECT /* fresh ones work: give this attempt up */
} CcConnectionAction;

typedef struct
{
  gint64 proven;  /* when the newest call that was answered on a fresh
                     connection had been sent, us */
  gint64 dropped; /* when the pool was last dropped, us; 0: never */
} CcConnectionHealth;

void cc_connection_probe_answered (CcConnectionHealth *h, gint64 sent);
CcConnectionAction cc_connection_classify (const CcConnectionHealth *h,
                                           gint64 sent, gint64 expected,
                                           gint64 now);
gboolean cc_connection_drop_due (CcConnectionHealth *h, gint64 now);

#endif
