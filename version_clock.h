/* When a row was written at the earliest, by its version. */
#ifndef CC_VERSION_CLOCK_H
#define CC_VERSION_CLOCK_H

#include "capercrank.h"

/* Marks that are kept.  With CC_VERSION_SPACING between them they reach back
 * three seconds: what is older than that is too old for any decision here. */
#define CC_VERSION_MARKS 32
#define CC_VERSION_SPACING (100 * CC_MS)

/* Nothing above VERSION was written before AT. */
typedef struct
{
  guint64 version;
  gint64 at; /* us */
} CcVersionMark;

typedef struct
{
  CcVersionMark marks[CC_VERSION_MARKS]; /* the oldest first */
  guint count;
} CcVersionClock;

/* A time before all others. */
#define CC_LONG_AGO G_MININT32

void cc_version_clock_record (CcVersionClock *c, guint64 version, gint64 at);
gint64 cc_version_clock_written_after (const CcVersionClock *c,
                                       guint64 version);
CcVersionMark cc_version_clock_newest (const CcVersionClock *c);

#endif
