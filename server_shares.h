/* How much of a full server's load a server may have yet. */
#ifndef CC_SERVER_SHARES_H
#define CC_SERVER_SHARES_H

#include "slicemap.h"

/* A joining server has cold caches and connections: it gets a fifth of its
 * share at once and another fifth every WARM_STEP. */
#define CC_WARM_STEPS 5
#define CC_WARM_STEP (3 * CC_SECOND)

/* The second loss within FLAP_MEMORY and each one after is answered by a time
 * without units, doubled each time: 10, 20, 40 s ... up to FLAP_MAX. */
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
