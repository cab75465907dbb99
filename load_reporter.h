/* Reports the load of keys and upstreams from every gateway (entry) to the
 * granter.  In a large fleet, gateways report to a relay, which sends the
 * granter their sum. */
#ifndef CC_LOAD_REPORTER_H
#define CC_LOAD_REPORTER_H

#include "capercrank.h"
#include "peer_datagrams.h"

typedef struct CcLoadReporter CcLoadReporter;

/* Period of reports, which bounds the delay until a key range that becomes busy
 * is detected.  At 300 bytes per datagram, twelve gateways send 6 kB/s. */
#define CC_LOAD_REPORT_PERIOD (400 * CC_MS)

/* Period of a relay's reports, which bounds the delay that it adds. */
#define CC_LOAD_RELAY_PERIOD (200 * CC_MS)

/* COUNT requests were received for KEY of POOL. */
typedef void (*CcLoadCount) (const char *pool, guint key, guint count,
                             gpointer data);
/* A gateway received ANSWERS answers from the upstream TARGET, which took WORK
 * us of work time in all. */
typedef void (*CcWorkReport) (const char *target, double work, guint answers,
                              gpointer data);

CcLoadReporter *cc_load_reporter_new (CcPeerDatagrams *datagrams,
                                      CcLoadCount count, CcWorkReport work,
                                      gpointer data);
void cc_load_reporter_free (CcLoadReporter *l);
void cc_load_reporter_set_relay (CcLoadReporter *l, gboolean relays);
void cc_load_reporter_count (CcLoadReporter *l, const char *pool, guint key);
void cc_load_reporter_work (CcLoadReporter *l, const char *target, double time,
                            guint answers);
gboolean cc_load_reporter_receive (CcLoadReporter *l, GBytes *datagram);
void cc_load_reporter_send (CcLoadReporter *l, const char *address);

#endif
