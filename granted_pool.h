/* The keys of one pool in the process that grants them: ranges, grants and
 * load. */
#ifndef CC_GRANTED_POOL_H
#define CC_GRANTED_POOL_H

#include "key_load.h"
#include "range_grant.h"
#include "work_rates.h"

typedef struct
{
  char *name;
  CcGrantShared *shared; /* shared by all pools */
  CcKeyRanges ranges;
  GPtrArray *grants;    /* of CcRangeGrant, one for each range */
  gint64 unnamed_until; /* see CcPredecessor */
  gboolean loaded;      /* the rows of the ranges were read under this lease */
  CcKeyLoad load;
} CcGrantedPool;

/* Parameters of a plan. */
typedef struct
{
  const CcWorkRates *rates; /* work times of upstreams */
  gboolean rebalance;       /* ranges may be moved to balance load */
  gboolean announced_only;  /* only ranges of upstreams that announced to leave
                               are moved */
  gint64 now;               /* us */
} CcPoolPlanning;

/* How many grants with a present owner have not been answered for a while. */
typedef struct
{
  guint all;
  guint silent;
} CcOwnerSilence;

CcGrantedPool *cc_granted_pool_new (const char *name, CcGrantShared *shared);
void cc_granted_pool_free (gpointer pool);
void cc_granted_pool_reset (CcGrantedPool *p);
void cc_granted_pool_load (CcGrantedPool *p, GVariant *rows,
                           const CcPredecessor *predecessor);
void cc_granted_pool_rows_lost (CcGrantedPool *p, guint64 fence_min,
                                gboolean suspect);
void cc_granted_pool_row_received (CcGrantedPool *p, const CcRow *row);
gboolean cc_granted_pool_has_lost_rows (const CcGrantedPool *p);
gboolean cc_granted_pool_is_answered (const CcGrantedPool *p, gint64 since);
void cc_granted_pool_hold_back (CcGrantedPool *p, gint64 until, gboolean all);
guint cc_granted_pool_plan (CcGrantedPool *p, const CcPoolPlanning *params);
CcOwnerSilence cc_granted_pool_step (CcGrantedPool *p, gint64 now);
void cc_granted_pool_add_dirty (const CcGrantedPool *p, guint most,
                                GPtrArray *dirty);

#endif
