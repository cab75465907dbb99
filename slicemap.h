/* The slice map of a pool: which server owns which slice of its keys, and
 * which dispatcher holds each server.
 *
 * The unit of ownership is a slice, numbered from 0, or a hot key that was
 * split out of its slice, numbered from the number of slices on.
 */
#ifndef CC_SLICEMAP_H
#define CC_SLICEMAP_H

#include "capercrank.h"

typedef enum
{
  CC_SERVER_LIVE,    /* may own slices */
  CC_SERVER_LEAVING, /* its slices move away; it gets no new ones */
  CC_SERVER_LOST,    /* unreachable: as LEAVING, but not waited for */
  CC_SERVER_GONE     /* not listed: as LOST, and removed once unreferenced */
} CcServerState;

typedef struct
{
  char *name;
  char *address; /* IP:PORT */
  char *zone;
  char *dispatcher; /* id of its dispatcher, or of the coming one; "": none */
  char *from;       /* id of the dispatcher handing it over; "": settled */
  guint64 term;     /* increases with each dispatcher; a fencing token */
  CcServerState state;
} CcMapServer;

typedef struct
{
  gint32 server; /* index of the owner or the coming owner; -1: none */
  gint32 from;   /* index of the server that it moves away from; -1: settled */
  guint64 epoch; /* increases with each owner; a fencing token */
} CcMapSlice;

/* Maximum number of hot keys with units of their own.  The 110 hottest keys of
 * the expected load fit; each adds 40 bytes to the row. */
#define CC_HOT_MAX 128

typedef enum
{
  CC_HOT_FREE,     /* unused; keeps its epoch, so that no epoch is used twice */
  CC_HOT_SPLIT,    /* the key has this unit */
  CC_HOT_FOLDING,  /* the key is moving back to its slice */
  CC_HOT_SPLITTING /* the key is moving from its slice to this unit */
} CcHotState;

typedef struct
{
  guint64 hash; /* of the key */
  CcHotState state;
  CcMapSlice unit; /* its owner, as for a slice */
} CcMapHot;

typedef struct
{
  char *pool;
  guint64 version;    /* of the row that it was read from; 0: new */
  GPtrArray *servers; /* of CcMapServer */
  GArray *slices;     /* of CcMapSlice, indexed by slice */
  GArray *hot;        /* of CcMapHot; the index determines the unit's number */
  char *reason;       /* cause of the last change, for operators */
} CcSliceMap;

CcSliceMap *cc_slicemap_new (const char *pool, guint slices);
CcSliceMap *cc_slicemap_parse (const char *pool, guint64 version,
                               const char *json);
char *cc_slicemap_print (const CcSliceMap *m);
void cc_slicemap_free (CcSliceMap *m);
guint64 cc_key_hash (const void *key, gsize length);
guint cc_slicemap_slice (const CcSliceMap *m, guint64 hash);
guint cc_slicemap_unit (const CcSliceMap *m, guint64 hash);
guint cc_slicemap_units (const CcSliceMap *m);
CcMapHot *cc_slicemap_hot (const CcSliceMap *m, guint unit);
gint32 cc_slicemap_alloc_hot (CcSliceMap *m);
CcMapServer *cc_slicemap_server (const CcSliceMap *m, gint32 index);
gint32 cc_slicemap_find (const CcSliceMap *m, const char *server);
CcMapSlice *cc_slicemap_at (const CcSliceMap *m, guint unit);
const CcMapServer *cc_slicemap_owner (const CcSliceMap *m, guint unit);
gint32 cc_slicemap_add (CcSliceMap *m, const char *name, const char *address,
                        const char *zone);
guint cc_slicemap_owned (const CcSliceMap *m, gint32 server);
guint cc_slicemap_leaving (const CcSliceMap *m, gint32 server);
guint cc_slicemap_moving (const CcSliceMap *m);
void cc_slicemap_compact (CcSliceMap *m);

#endif
