/* How much of a full server's load a server may have yet. */
#ifndef CC_STANDING_H
#define CC_STANDING_H

#include "slicemap.h"

/* A joining server has cold caches and connections: it gets a fifth of its
 * share at once and another fifth every WARM_STEP. */
#define CC_WARM_STEPS 5
#define CC_WARM_STEP (3 * CC_SECOND)

/* The second loss within FLAP_MEMORY and each one after is answered by a time
 * without units, doubled each time: 10, 20, 40 s ... up to FLAP_MAX. */
#define CC_FLAP_MEMORY (600 * CC_SECOND)
#define CC_FLAP_HOLD (10 * CC_SECOND)
#define CC_FLAP_MAX (600 * CC_SECOND)

typedef struct CcStandings CcStandings;

CcStandings *cc_standings_new (void);
void cc_standings_free (CcStandings *t);
void cc_standings_note (CcStandings *t, const char *server, CcServerState state,
                        gboolean owns, gint64 now);
double cc_standings_share (const CcStandings *t, const char *server,
                           gint64 now);
gboolean cc_standings_warming (const CcStandings *t, const char *server,
                               gint64 now);

#endif
