/* This process's copy of the rows that it follows. */
#ifndef CC_MIRROR_H
#define CC_MIRROR_H

#include "table.h"
#include "view.h"

typedef struct CcMirror CcMirror;
/* The rows of table NAME changed. */
typedef void (*CcMirrorChanged) (CcTableName name, gpointer data);
/* The address of a peer to ask, or NULL; the caller frees it. */
typedef char *(*CcMirrorPeer) (gpointer data);

CcMirror *cc_mirror_new (CcTable *table, CcHttp *http, CcMirrorChanged changed,
                         CcMirrorPeer peer, gpointer data);
void cc_mirror_start (CcMirror *m);
CcView *cc_mirror_view (CcMirror *m, CcTableName name);
gint64 cc_mirror_trouble (const CcMirror *m);
gboolean cc_mirror_is_complete (const CcMirror *m, CcTableName name);
gint64 cc_mirror_age (const CcMirror *m, gint64 now);
GBytes *cc_mirror_rows_since (CcMirror *m, const guint64 *since);

/* Path at which a process answers its peers with cc_mirror_rows_since. */
#define CC_MIRROR_PATH "/rows"

#endif
