/* A snapshot of the dispatchers, servers and instances that the assigner works
 * with. */
#ifndef CC_ROSTER_H
#define CC_ROSTER_H

#include <glib.h>

typedef struct
{
  char *id; /* dispatcher id, "a1.17f3.1" */
  char *zone;
  gboolean draining; /* it is handing over its servers */
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
  GPtrArray *dispatchers; /* of CcRosterDispatcher: those with a valid lease */
  GPtrArray *servers;     /* of CcRosterServer: the pool's listed servers */
  GPtrArray *instances;   /* names of the router's listed instances */
  gboolean serves_without_lease; /* the pool is still served when a lease
                                    expires */
} CcRoster;

CcRoster *cc_roster_new (void);
void cc_roster_free (CcRoster *r);
void cc_roster_add_dispatcher (CcRoster *r, const char *id, const char *zone,
                               gboolean draining);
void cc_roster_add_server (CcRoster *r, const char *name, const char *address,
                           const char *zone, gboolean leaving);
void cc_roster_add_instance (CcRoster *r, const char *name);
const CcRosterServer *cc_roster_server (const CcRoster *r, const char *name);
const CcRosterDispatcher *cc_roster_dispatcher (const CcRoster *r,
                                                const char *id);

#endif
