/* This process's copy of the rows that it follows. */
#ifndef CC_MIRROR_H
#define CC_MIRROR_H

#include "table.h"
#include "version_clock.h"
#include "view.h"

typedef struct CcMirror CcMirror;
/* The rows of table NAME changed. */
typedef void (*CcMirrorChanged) (CcTableName name, gpointer data);
/* Whom to ask. */
typedef enum
{
  CC_PEER_ANY,     /* while the table service does not answer */
  CC_PEER_FOLLOWED /* one whose copy this process goes by; NULL: watch yourself
                    */
} CcPeerKind;

/* A process's place among those that follow one another. */
typedef struct
{
  gboolean is_followed; /* others go by its copy */
  gboolean reads_all;   /* it reads all tables at its start, for the others */
  guint distance;       /* processes on the rows' way to it */
  guint fleet;          /* processes of the fleet */
} CcMirrorRole;

/* Versions that tell one copy from another: of each followed table, and of the
 * row of the granter's lease. */
#define CC_MIRROR_VERSIONS (CC_TABLE_FOLLOWED + 1)

/* The address of a peer to ask, or NULL; the caller frees it. */
typedef char *(*CcMirrorPeer) (CcPeerKind kind, gpointer data);

/* The one at ADDRESS, which was named to be followed, has ANSWERED or not. */
typedef void (*CcMirrorPeerResult) (const char *address, gboolean answered,
                                    gpointer data);

/* What a mirror goes by; the functions get DATA. */
typedef struct
{
  CcTable *table;
  CcHttp *http; /* to peers */
  CcMirrorChanged changed;
  CcMirrorPeer peer;
  CcMirrorPeerResult peer_result;
  gpointer data;
  const char *members_from; /* the rows of STATE that tell whom to follow: first
                               key, and first behind them; NULL: all rows */
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

/* Path at which a process answers its peers with cc_mirror_rows_since. */
#define CC_MIRROR_PATH "/rows"

#endif
