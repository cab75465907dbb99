/* Which upstream one request goes to. */
#ifndef CC_CHOOSE_H
#define CC_CHOOSE_H

#include "key_ranges.h"
#include "targets.h"

/* What the choice for one request goes by. */
typedef struct
{
  const CcTargets *targets;
  const char *pool;
  const char *zone;       /* of this instance */
  const GPtrArray *tried; /* upstreams that it was sent to (CcTarget) */
  gint64 target_time;     /* within which an answer is wanted, us */
  CcTypicalWork typical;  /* at the pool's upstreams */
} CcChoice;

/* An upstream, or why there is none. */
typedef struct
{
  CcTarget *target;     /* NULL: none may be sent to now */
  CcTarget *considered; /* the last that was looked at; NULL: there is none */
  gboolean moving;      /* the key's range is changing hands */
  gint64 reachable_at;  /* no upstream can be reached before, us; 0: some can */
} CcChosen;

CcChosen cc_choose_any (const CcChoice *c, gint64 now);
CcChosen cc_choose_owner (const CcChoice *c, const CcKeyRanges *ranges,
                          gint32 key, gint64 now);
gboolean cc_choose_has_capacity (const CcChoice *c, const CcTarget *owner,
                                 gint64 now);
gint64 cc_choose_capacity_at (const CcChoice *c, const CcTarget *owner,
                              gint64 now);

#endif
