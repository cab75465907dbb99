/* Elects the active assigner by a lease row. */
#ifndef CC_LEADER_H
#define CC_LEADER_H

#include "lease.h"
#include "platform.h"

typedef struct
{
  char *id;         /* of this process */
  char *active_row; /* content of assign/active while this process is active */
  CcLease lease;
  CcLeaseWatch watch;     /* of the row while another process holds it */
  guint64 row_version;    /* of the row in the view; 0: none */
  gint64 uncertain_until; /* a renewal's result is unknown: wait until then for
                             the view to show it, us; 0: known */
  gint64 hold_until;      /* resigned: takes no lease before then, us */
  gboolean owns_row;      /* the row in the view is this process's */
  gboolean calling;       /* a write is in progress */
  gboolean logged_active;
  CcPlatform *platform;
} CcLeader;

void cc_leader_init (CcLeader *l, CcPlatform *platform, const char *id,
                     const char *address, guint64 incarnation);
gboolean cc_leader_is_active (const CcLeader *l, gint64 now);
gboolean cc_leader_may_plan (const CcLeader *l, gint64 now);
void cc_leader_tick (CcLeader *l, const CcView *view, gint64 now);
void cc_leader_resign (CcLeader *l);

#endif
