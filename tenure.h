/* Registers a dispatcher with the platform and keeps its lease renewed. */
#ifndef CC_TENURE_H
#define CC_TENURE_H

#include "lease.h"
#include "platform.h"

typedef struct CcTenure CcTenure;
/* Called with HELD when the lease is gained or lost, and after a loss again
 * when a new id has been chosen. */
typedef void (*CcTenureChanged) (CcTenure *t, gboolean held, gpointer data);

struct CcTenure
{
  char *id; /* INSTANCE.INCARNATION.COUNT, never registered twice */
  char *instance;
  char *zone;
  char *address; /* of the mailbox */
  guint64 incarnation;
  guint count; /* how many ids this process has had */
  CcLease lease;
  gboolean may_register;  /* the view of the table is recent enough */
  guint64 voters_version; /* version of the newest voters' row in the view */
  gboolean calling;       /* a call to the platform is in progress */
  gboolean unconfirmed; /* a write's result is unknown: read before the next */
  gboolean draining;    /* hand all servers over to other dispatchers */
  gboolean drain_sent;  /* the last write that was sent reported it */
  gboolean drain_written; /* a write that reported it succeeded */
  gboolean closing;       /* the rows are to be deleted */
  gboolean closed;        /* the deletion was tried */
  gboolean reported; /* whether the lease was held, as last passed to CHANGED */
  CcPlatform *platform;
  CcTenureChanged changed;
  gpointer data;
};

CcTenure *cc_tenure_new (CcPlatform *platform, const char *instance,
                         const char *zone, const char *address,
                         guint64 incarnation, CcTenureChanged changed,
                         gpointer data);
void cc_tenure_start (CcTenure *t);
gboolean cc_tenure_is_valid (const CcTenure *t, gint64 now);
void cc_tenure_drain (CcTenure *t);
void cc_tenure_close (CcTenure *t);

#endif
