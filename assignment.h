/* Decides which server owns which slice, and who dispatches to the server. */
#ifndef CC_ASSIGNMENT_H
#define CC_ASSIGNMENT_H

#include "document.h"
#include "slicemap.h"

typedef struct
{
  char *id; /* dispatcher id, "a1.17f3.1" */
  char *zone;
  gboolean draining; /* hands its servers over */
} CcRosterDispatcher;

typedef struct
{
  char *name;
  char *address;
  char *zone;
  gboolean leaving;
} CcRosterServer;

/* What the assigner knows of the world at one moment. */
typedef struct
{
  GPtrArray *dispatchers; /* of CcRosterDispatcher: leases that stand */
  GPtrArray *servers;     /* of CcRosterServer: the pool's, as listed */
} CcRoster;

/* What the server's dispatcher last reported. */
typedef struct
{
  guint64 applied;  /* map version up to which it has stopped what must stop */
  gboolean lost;    /* it finds the server silent */
  char *dispatcher; /* who reported */
} CcServerReport;

CcRoster *cc_roster_new (void);
void cc_roster_free (CcRoster *r);
void cc_roster_add_dispatcher (CcRoster *r, const char *id, const char *zone,
                               gboolean draining);
void cc_roster_add_server (CcRoster *r, const char *name, const char *address,
                           const char *zone, gboolean leaving);
guint cc_assignment_step (CcSliceMap *m, const CcPool *pool,
                          const CcRoster *roster, GHashTable *reports);

#endif
