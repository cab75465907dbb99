/* Which of the assigners is active, by one lease row. */
#ifndef CC_LEADER_H
#define CC_LEADER_H

#include "lease.h"
#include "platform.h"

typedef struct
{
  char *id;         /* of this process */
  char *active_row; /* what assign/active says while this one is active */
  CcLease lease;
  CcLeaseWatch watch; /* of the row while another holds it */
  guint64 seen;       /* version of the row in the view; 0: none */
  gint64 doubt_until; /* an answer was lost: the view may tell, us; 0: no */
  gint64 hold_until;  /* resigned; takes no lease before, us */
  gboolean mine;      /* the row in the view is this process's */
  gboolean calling;
  gboolean told;
  CcPlatform *platform;
} CcLeader;

void cc_leader_init (CcLeader *l, CcPlatform *platform, const char *id,
                     const char *address, guint64 incarnation);
gboolean cc_leader_is_active (const CcLeader *l, gint64 now);
gboolean cc_leader_may_plan (const CcLeader *l, gint64 now);
void cc_leader_tick (CcLeader *l, const CcView *view, gint64 now);
void cc_leader_resign (CcLeader *l);

#endif
