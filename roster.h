/* What the assigner knows of the world at one moment. */
#ifndef CC_ROSTER_H
#define CC_ROSTER_H

#include <glib.h>

typedef struct
{
  char *id; /* dispatcher id, "a1.17f3.1" */
  char *zone;
  gboolean draining; /* hands its servers over */
} CcRosterDispatcher;

typedef struct
{
  char *name;
  char *address; /* IP:PORT */
  char *zone;
  gboolean leaving; /* the platform lists it as leaving */
} CcRosterServer;

typedef struct
{
  GPtrArray *dispatchers; /* of CcRosterDispatcher: leases that stand */
  GPtrArray *servers;     /* of CcRosterServer: the pool's, as listed */
} CcRoster;

CcRoster *cc_roster_new (void);
void cc_roster_free (CcRoster *r);
void cc_roster_add_dispatcher (CcRoster *r, const char *id, const char *zone,
                               gboolean draining);
void cc_roster_add_server (CcRoster *r, const char *name, const char *address,
                           const char *zone, gboolean leaving);
const CcRosterServer *cc_roster_server (const CcRoster *r, const char *name);
const CcRosterDispatcher *cc_roster_dispatcher (const CcRoster *r,
                                                const char *id);

#endif
