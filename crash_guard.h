/* Refuses requests that crash the upstreams that run them, as the whole fleet
 * knows them. */
#ifndef CC_CRASH_GUARD_H
#define CC_CRASH_GUARD_H

#include "crash_evidence.h"

typedef struct CcCrashGuard CcCrashGuard;

/* Period of cc_crash_guard_tick, which bounds the delay of reports. */
#define CC_CRASH_GUARD_PERIOD (100 * CC_MS)

typedef struct
{
  /* Sends DATAGRAM to all other gateways. */
  void (*broadcast) (GBytes *datagram, gpointer data);
  /* Writes VALUE to the row of the quarantine if it has the version EXPECTED
   * (0: there is none); cc_crash_guard_written is called with the result. */
  void (*write) (const char *value, guint64 expected, gpointer data);
  /* Returns whether the upstream of CRASH has responded to this gateway after
   * it. */
  gboolean (*has_responded) (const CcCrash *crash, gpointer data);
  /* cc_crash_guard_tick is to be called after CC_CRASH_GUARD_PERIOD. */
  void (*wake) (gpointer data);
  gpointer data;
} CcCrashGuardSetup;

typedef enum
{
  CC_GUARD_PASSES,
  CC_GUARD_WAITS, /* to be decided again shortly */
  CC_GUARD_REFUSED
} CcGuardVerdict;

typedef struct
{
  CcGuardVerdict verdict;
  gint64 retry_after;       /* REFUSED: until it may run again, us */
  const GPtrArray *crashes; /* REFUSED: upstreams that ended (char); valid until
                               the next call */
} CcGuardDecision;

char *cc_crash_names (const GPtrArray *crashes);
CcCrashGuard *cc_crash_guard_new (const CcCrashGuardSetup *setup);
void cc_crash_guard_free (CcCrashGuard *g);
void cc_crash_guard_set_rank (CcCrashGuard *g, guint rank);
gboolean cc_crash_guard_has_path (const CcCrashGuard *g, guint32 path);
CcGuardDecision cc_crash_guard_decide (CcCrashGuard *g, const CcFingerprints *f,
                                       gint64 now);
gboolean cc_crash_guard_is_suspect (const CcCrashGuard *g,
                                    const CcFingerprints *f);
gboolean cc_crash_guard_begin_run (CcCrashGuard *g, const CcFingerprints *f);
void cc_crash_guard_end_run (CcCrashGuard *g, const CcFingerprints *f);
void cc_crash_guard_good_run (CcCrashGuard *g, const CcFingerprints *f);
void cc_crash_guard_crashed (CcCrashGuard *g, const CcCrash *crash,
                             const CcFingerprints *inside, guint count,
                             gint64 now);
gboolean cc_crash_guard_receive (CcCrashGuard *g, GBytes *datagram, gint64 now);
void cc_crash_guard_row (CcCrashGuard *g, const char *value, guint64 version,
                         gint64 now);
void cc_crash_guard_row_missing (CcCrashGuard *g, guint64 upto, gint64 now);
void cc_crash_guard_written (CcCrashGuard *g, CcStatus status, guint64 version,
                             gint64 now);
gboolean cc_crash_guard_tick (CcCrashGuard *g, gint64 now);
void cc_crash_guard_write_gauges (const CcCrashGuard *g);

#endif
