/* A process's local copy of the replicated tables, kept up to date from the
 * table service or from a peer's copy. */
#ifndef CC_MIRROR_H
#define CC_MIRROR_H

#include "table.h"
#include "version_clock.h"
#include "view.h"

typedef struct CcMirror CcMirror;
/* Called after rows of table NAME changed, which cc_mirror_changed lists, or,
 * with CC_TABLE_LEASE, after a newer version of the lease's row was learned. */
typedef void (*CcMirrorChanged) (CcTableName name, gpointer data);
/* Which peer is requested from the CcMirrorPeer callback. */
typedef enum
{
  CC_PEER_ANY,     /* any peer, polled while the table service is unreachable */
  CC_PEER_FOLLOWED /* the peer whose copy this process follows; NULL: none, it
                      watches the table service directly */
} CcPeerKind;

/* A process's position in the tree in which copies are passed on. */
typedef struct
{
  gboolean is_followed; /* peers follow its copy */
  gboolean reads_all;   /* it reads all tables itself when it starts */
  guint distance;       /* hops from the granter's copy: 0, 1 or 2 */
  guint fleet;          /* number of processes in the fleet */
} CcMirrorRole;

/* Number of versions that identify the state of a copy: one for each followed
 * table and one for the row of the granter's lease. */
#define CC_MIRROR_VERSIONS (CC_TABLE_FOLLOWED + 1)

/* Returns the address of a peer of KIND, or NULL; the caller frees it. */
typedef char *(*CcMirrorPeer) (CcPeerKind kind, gpointer data);

/* Reports whether the followed peer at ADDRESS ANSWERED the last request. */
typedef void (*CcMirrorPeerResult) (const char *address, gboolean answered,
                                    gpointer data);

/* What a mirror is created with; DATA is passed to the callbacks. */
typedef struct
{
  CcTable *table;
  CcHttp *http; /* connections to peers */
  CcMirrorChanged changed;
  CcMirrorPeer peer;
  CcMirrorPeerResult peer_result;
  gpointer data;
  const char *members_from; /* key range of the STATE rows that determine which
                             peer to follow: first key, and first key after
                             the range; NULL: all rows */
  const char *members_to;
} CcMirrorSetup;

CcMirror *cc_mirror_new (const CcMirrorSetup *setup);
void cc_mirror_set_role (CcMirror *m, const CcMirrorRole *role);
void cc_mirror_lease_renewed (CcMirror *m, guint64 version, gint64 seen_at);
void cc_mirror_lease_written (CcMirror *m, guint64 version, gint64 sent,
                              GVariant *rows);
guint64 cc_mirror_lease (const CcMirror *m, gint64 *seen_at);
void cc_mirror_free (CcMirror *m);
void cc_mirror_start (CcMirror *m, gint64 pause);
CcView *cc_mirror_view (CcMirror *m, CcTableName name);
const GPtrArray *cc_mirror_changed (const CcMirror *m, CcTableName name);
const CcVersionClock *cc_mirror_clock (const CcMirror *m);
gint64 cc_mirror_outage (const CcMirror *m);
gint64 cc_mirror_own_outage (const CcMirror *m);
gboolean cc_mirror_is_complete (const CcMirror *m, CcTableName name);
gint64 cc_mirror_answered_at (const CcMirror *m);
gint64 cc_mirror_age (const CcMirror *m, gint64 now);
GBytes *cc_mirror_rows_since (CcMirror *m, const guint64 *since, gint64 held);
gboolean cc_mirror_has_updates (const CcMirror *m, const guint64 *since);

/* HTTP path at which a process serves cc_mirror_rows_since to its peers. */
#define CC_MIRROR_PATH "/rows"

#endif
