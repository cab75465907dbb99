/* The grant of one range of keys to its owner: calls, and what they prove. */
#ifndef CC_RANGE_GRANT_H
#define CC_RANGE_GRANT_H

#include "granter_lease.h"
#include "edge.h"
#include "key_ranges.h"

/* What all grants of a process share. */
typedef struct
{
  CcHttp *http;
  CcTargets *targets;
  CcGranterLease lease; /* by which this process grants */
  gboolean replan;      /* set: an owner has turned out to be gone */
} CcGrantShared;

/* One range and its grant. */
typedef struct
{
  CcGrantShared *shared;
  CcKeyRanges *ranges; /* of its pool */
  char *pool;
  CcKeyRange *range; /* in the pool's ranges */
  gboolean dirty;    /* the row is to be written */
  gboolean written;  /* the row says what RANGE does */
  gboolean raised;   /* its fence is new, so what others granted ends with the
                        owner's first answer */
  gboolean calling;
  gboolean dead;      /* forgotten while a call was in progress */
  gboolean moving;    /* RANGE has a previous owner, or had before the plan that
                         is being made */
  gboolean held;      /* the owner answered a grant of this process */
  gboolean released;  /* the previous owner answered a release */
  char *handoff;      /* it left this for the owner */
  gint64 owner_until; /* the owner's grants have ended by then, us */
  gint64 owner_doubt; /* ... those that got no answer */
  gint64 unanswered;  /* ... those of them that this process sent */
  gint64 until_before;   /* OWNER_UNTIL without the call in progress */
  gint64 previous_until; /* the same of the previous owner */
  gint64 previous_doubt;
  gint64 between_until; /* the same of owners that a move had for a moment */
  gint64 not_before;    /* of the next call, us */
  gint64 answered;      /* the owner last answered, us */
  gint64 life_seen;  /* a connection to the owner's address that was open then
                        leads to the process that took the last grant, us */
  gboolean withheld; /* a renewal was, for want of such a connection */
  gint64 call_began;
  gint64 moved_at; /* when its owner last changed, us; 0: not seen */
} CcRangeGrant;

/* What the granter before may still do, or have done. */
typedef struct
{
  gint64 seen;               /* its last write was known, us */
  gint64 changes_until;      /* it grants what its rows plan, us */
  gint64 renews_until;       /* it renews what its rows say, us */
  gint64 predecessors_until; /* those before it renew what they granted, us */
} CcPredecessor;

CcRangeGrant *cc_range_grant_new (CcGrantShared *shared, const char *pool,
                                  CcKeyRanges *ranges, CcKeyRange *range);
void cc_range_grant_free (gpointer grant);
void cc_range_grant_step (CcRangeGrant *x);
gboolean cc_range_grant_is_unconfirmed (const CcRangeGrant *x, gint64 now);
void cc_range_grant_owner_changed (CcRangeGrant *x, gint64 now);
void cc_range_grant_inherit (CcRangeGrant *x, const CcRangeGrant *source,
                             gint64 now);
void cc_range_grant_load (CcRangeGrant *x, guint64 *fence,
                          const CcPredecessor *before);

#endif
