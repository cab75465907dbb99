/* Decides which upstreams are probed for their health, and when. */
#ifndef CC_HEALTH_PROBE_H
#define CC_HEALTH_PROBE_H

#include "capercrank.h"

/* An upstream that names a limit and was sent nothing for this long is probed.
 */
#define CC_HEALTH_PROBE_IDLE (2 * CC_SECOND)

/* The fleet, as a gateway knows it. */
typedef struct
{
  guint gateways;
  guint rank; /* of this gateway, 0 to GATEWAYS - 1 */
} CcProbeFleet;

/* An upstream that may be probed. */
typedef struct
{
  const char *id;
  double cold_bound; /* requests that may reach it in a second if it turns cold;
                        0: any, or it is known to be cold */
  double traffic;    /* requests a second from this gateway, by what it sent */
  double limit;      /* that it names, requests a second; 0: none */
  gboolean
      idle; /* it names a limit, and this gateway, which hands out its tokens,
               knows of no request to it for CC_HEALTH_PROBE_IDLE */
} CcProbeCandidate;

typedef enum
{
  CC_PROBE_NONE,
  CC_PROBE_COLD,   /* it may turn cold, and get too much before its row tells */
  CC_PROBE_LIMITED /* its limit may have ended */
} CcProbeReason;

typedef struct CcHealthProbe CcHealthProbe;

CcHealthProbe *cc_health_probe_new (void);
void cc_health_probe_free (CcHealthProbe *p);
CcProbeReason cc_health_probe_due (CcHealthProbe *p, const CcProbeCandidate *c,
                                   const CcProbeFleet *fleet, gint64 now,
                                   gint64 wall);

#endif
