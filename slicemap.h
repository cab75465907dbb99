/* Which server owns which slice of a pool's keys, and who dispatches to it.
 *
 * What is owned is a unit: a slice, numbered from 0, or a hot key that was
 * split out of its slice, numbered from the number of slices on. */
#ifndef CC_SLICEMAP_H
#define CC_SLICEMAP_H

#include "capercrank.h"

typedef enum
{
  CC_SERVER_LIVE,    /* may own slices */
  CC_SERVER_LEAVING, /* its slices move away; no new ones */
  CC_SERVER_LOST,    /* silent: as LEAVING, without waiting for it */
  CC_SERVER_GONE     /* listed no more: as LOST, and dropped once empty */
} CcServerState;

typedef struct
{
  char *name;
  char *address; /* IP:PORT */
  char *zone;
  char *dispatcher; /* id that holds, or will hold, the server; "" if none */
  char *from;       /* id that is handing it over; "" if settled */
  guint64 term;     /* counts its dispatchers; a fence */
  CcServerState state;
} CcMapServer;

typedef struct
{
  gint32 server; /* index of the owner, or of the coming owner; -1: none */
  gint32 from;   /* index of the server it moves away from; -1: settled */
  guint64 epoch; /* counts its owners; a fence */
} CcMapSlice;

/* Hot keys that have a unit of their own, at most.  The brief's hottest 110
 * fit; a row of the table grows by 40 bytes for each. */
#define CC_HOT_MAX 128

typedef enum
{
  CC_HOT_FREE,     /* nobody's; keeps its epoch, so that none comes again */
  CC_HOT_SPLIT,    /* the key has this unit */
  CC_HOT_FOLDING,  /* the key goes back to its slice */
  CC_HOT_SPLITTING /* the key leaves its slice for this unit */
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
  guint64 version;    /* of the row it was read from; 0: new */
  GPtrArray *servers; /* of CcMapServer */
  GArray *slices;     /* of CcMapSlice, indexed by slice */
  GArray *hot;        /* of CcMapHot; its place gives the unit's number */
  char *reason;       /* why the last change was made, for operators */
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
