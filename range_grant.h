/* The grant of one range of keys to its owner: calls to upstreams, and the
 * latest time until which each of them may hold the range. */
#ifndef CC_RANGE_GRANT_H
#define CC_RANGE_GRANT_H

#include "granter_lease.h"
#include "edge.h"
#include "evacuation.h"
#include "key_ranges.h"
#include "owner_contact.h"

/* State that all grants of a process share. */
typedef struct
{
  CcHttp *http;
  CcTargets *targets;
  const CcEvacuation *evacuation; /* NULL: no zone is evacuated */
  CcGranterLease lease;           /* the lease of this process */
  gboolean replan;                /* a new plan is due */
  gint64 suspect_until; /* another process may have held the lease in a time
                           whose writes are lost; its grants have ended by then,
                           us; 0: no other has */
  gboolean superseded;  /* an owner has shown that one has */
  GHashTable *contacts; /* id of an upstream to CcOwnerContact; none is removed
                         */
} CcGrantShared;

/* One range and its grant. */
typedef struct
{
  CcGrantShared *shared;
  CcKeyRanges *ranges; /* ranges of the pool */
  char *pool;
  CcKeyRange *range;     /* the range, an element of RANGES */
  gboolean dirty;        /* the row has to be written */
  gboolean written;      /* the row is written as RANGE is now */
  guint64 row_version;   /* of its last write by this process; 0: none */
  gboolean lost;         /* the row may have been lost by the table service and
                            was not written since */
  gboolean fence_raised; /* the fence is new to the owner: with its first
                            response, grants by other processes end */
  gboolean call_pending;
  gboolean freed;  /* freed by its pool while a call is pending */
  gboolean moving; /* RANGE has a previous owner, or had one before the plan in
                      progress */
  gboolean held;   /* the owner accepted a grant by this process */
  gboolean released;  /* the previous owner accepted a release */
  char *handoff;      /* handoff data of the previous owner for the new one */
  gint64 owner_until; /* latest expiry of the owner's grants, us */
  gint64 owner_uncertain_until; /* the same of grants without a response */
  gint64 unanswered_until;      /* the same of those that this process sent */
  gint64 owner_until_before;    /* OWNER_UNTIL before the pending call */
  gint64 previous_until;        /* OWNER_UNTIL of the previous owner */
  gint64 previous_uncertain_until; /* OWNER_UNCERTAIN_UNTIL of the previous
                                      owner */
  gint64 replaced_until; /* OWNER_UNTIL of owners that were replaced before
                            their move had finished */
  gboolean unwritten;   /* the row was not written when the service lost rows */
  gint64 unverified_at; /* before then another process may have granted RANGE,
                           and no later call has been accepted, us; 0: not so */
  gint64 unnamed_until; /* upstreams that no row names may hold the keys until
                           then, us */
  gint64 not_before;    /* no call before, us */
  gint64 answered_at;   /* last response of the owner, us */
  gint64 same_process_at; /* a connection that was open at this time leads to
                             the process that accepted the last grant, us */
  gboolean
      withheld; /* a renewal was withheld because there is no such connection */
  gint64 call_started_at; /* start of the last call, us */
  gint64 moved_at; /* last change of owner, us; 0: none by this process */
} CcRangeGrant;

/* What the previous granter may still do. */
typedef struct
{
  gint64 renewed_at;    /* when its last write was received, us */
  gint64 changes_until; /* until then it may grant what its rows plan, us */
  gint64 renews_until;  /* until then it may renew what its rows contain, us */
  gint64 predecessors_until; /* until then earlier granters may renew their
                                grants, us */
  gint64 unnamed_until; /* until then upstreams that no row names may hold keys,
                           since rows were lost, us; 0: all are named */
  guint64 fence_min;    /* all fences of lost rows are below */
} CcPredecessor;

CcOwnerContact *cc_grant_contact (const CcGrantShared *shared, const char *id);
CcRangeGrant *cc_range_grant_new (CcGrantShared *shared, const char *pool,
                                  CcKeyRanges *ranges, CcKeyRange *range);
void cc_range_grant_free (gpointer grant);
void cc_range_grant_step (CcRangeGrant *x);
gboolean cc_range_grant_is_unconfirmed (const CcRangeGrant *x, gint64 now);
gboolean cc_range_grant_is_settled (const CcRangeGrant *x);
void cc_range_grant_owner_changed (CcRangeGrant *x, gint64 now);
void cc_range_grant_inherit (CcRangeGrant *x, const CcRangeGrant *source,
                             gint64 now);
void cc_range_grant_load (CcRangeGrant *x, guint64 *fence,
                          const CcPredecessor *predecessor);

#endif
