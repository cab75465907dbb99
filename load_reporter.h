/* Reports of how busy keys and upstreams are, from every entry to the granter.
 * In a large fleet they go to a relay, which sends the granter their sum. */
#ifndef CC_LOAD_REPORTER_H
#define CC_LOAD_REPORTER_H

#include "capercrank.h"

typedef struct CcLoadReporter CcLoadReporter;

/* How often a report is sent.  It bounds how soon a region that turns busy is
 * seen; a datagram of some 300 bytes each is 6 kB/s at a dozen entries. */
#define CC_LOAD_REPORT_PERIOD (400 * CC_MS)

/* ... by a relay, which bounds how much later the reports of others arrive. */
#define CC_LOAD_RELAY_PERIOD (200 * CC_MS)

/* COUNT requests came for KEY of POOL. */
typedef void (*CcLoadCount) (const char *pool, guint key, guint count,
                             gpointer data);
/* An entry saw the upstream TARGET work WORK us for ANSWERS answers. */
typedef void (*CcWorkReport) (const char *target, double work, guint answers,
                              gpointer data);

CcLoadReporter *cc_load_reporter_new (const char *address, CcLoadCount count,
                                      CcWorkReport work, gpointer data,
                                      char **message);
void cc_load_reporter_free (CcLoadReporter *l);
void cc_load_reporter_set_relay (CcLoadReporter *l, gboolean relays);
void cc_load_reporter_count (CcLoadReporter *l, const char *pool, guint key);
void cc_load_reporter_work (CcLoadReporter *l, const char *target, double time,
                            guint answers);
void cc_load_reporter_send (CcLoadReporter *l, const char *address);

#endif
