/* Lower bound on the time at which a row was written, from its version. */
#ifndef CC_VERSION_CLOCK_H
#define CC_VERSION_CLOCK_H

#include "capercrank.h"

/* Number of marks that are kept.  At CC_VERSION_SPACING, us, they cover three
 * seconds; no decision depends on the age of a row beyond that. */
#define CC_VERSION_MARKS 32
#define CC_VERSION_SPACING (100 * CC_MS)

/* No version above VERSION was written before AT. */
typedef struct
{
  guint64 version;
  gint64 at; /* us */
} CcVersionMark;

typedef struct
{
  CcVersionMark marks[CC_VERSION_MARKS]; /* oldest first */
  guint count;
} CcVersionClock;

/* Unknown time.  It is earlier than every other one, so that an unknown age
 * exceeds every limit. */
#define CC_TIME_UNKNOWN G_MININT32

void cc_version_clock_record (CcVersionClock *c, guint64 version, gint64 at);
gint64 cc_version_clock_written_after (const CcVersionClock *c,
                                       guint64 version);
CcVersionMark cc_version_clock_newest (const CcVersionClock *c);

#endif
