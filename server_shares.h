/* The share of load of each server of a pool, reduced while it warms up or
 * flaps. */
#ifndef CC_SERVER_SHARES_H
#define CC_SERVER_SHARES_H

#include "slicemap.h"

/* A joining server has cold caches and connections: it gets a fifth of its
 * share at once and another fifth every CC_WARM_UP_STEP. */
#define CC_WARM_UP_STEPS 5
#define CC_WARM_UP_STEP (3 * CC_SECOND)

/* From the second loss within CC_FLAP_WINDOW on, a server that returns gets no
 * units for a hold time, which doubles with each loss: 10, 20, 40 s ... up to
 * CC_FLAP_MAX. */
#define CC_FLAP_WINDOW (600 * CC_SECOND)
#define CC_FLAP_HOLD (10 * CC_SECOND)
#define CC_FLAP_MAX (600 * CC_SECOND)

typedef struct CcServerShares CcServerShares;

CcServerShares *cc_server_shares_new (void);
void cc_server_shares_free (CcServerShares *t);
void cc_server_shares_update (CcServerShares *t, const char *server,
                              CcServerState state, gboolean owns, gint64 now);
double cc_server_shares_of (const CcServerShares *t, const char *server,
                            gint64 now);
gboolean cc_server_shares_is_warming (const CcServerShares *t,
                                      const char *server, gint64 now);

#endif
