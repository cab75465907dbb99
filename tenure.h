/* Registers a dispatcher with the platform and keeps its lease renewed. */
#ifndef CC_TENURE_H
#define CC_TENURE_H

#include "lease.h"
#include "platform.h"

typedef struct CcTenure CcTenure;
/* The lease was gained, or lost (the id is then another). */
typedef void (*CcTenureChanged) (CcTenure *t, gboolean held, gpointer data);

struct CcTenure
{
  char *id; /* INSTANCE.INCARNATION.COUNT, never used twice */
  char *instance;
  char *zone;
  char *address; /* of the mailbox */
  guint64 incarnation;
  guint count; /* how many ids this process has had */
  CcLease lease;
  gboolean may_register;  /* the view is fresh enough to register */
  guint64 voters_version; /* version of the newest voters' row in the view */
  gboolean calling;       /* a call to the platform is in progress */
  gboolean doubtful;      /* a write's answer was lost: read before the next */
  gboolean draining;      /* hand everything over */
  gboolean drain_sent;    /* the write in progress, or the last, says so */
  gboolean drain_written;
  gboolean closing; /* the rows are to be deleted */
  gboolean closed;  /* they are, or could not be */
  gboolean told;    /* what CHANGED was last told */
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
