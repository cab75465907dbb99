/* Records the outcomes of recent requests with an Idempotency-Key, so that a
 * repeat is not run again. */
#ifndef CC_OUTCOME_H
#define CC_OUTCOME_H

#include "capercrank.h"

/* How long an outcome is kept.  Callers repeat a request within minutes. */
#define CC_OUTCOME_RETENTION (10 * 60 * CC_SECOND)

/* Limits on the outcomes kept, and on the bytes of their answers' bodies. */
#define CC_OUTCOMES_MAX 50000
#define CC_OUTCOME_BYTES_MAX (32 * 1024 * 1024)

typedef enum
{
  CC_REPEAT_NEW,      /* no attempt was made: run it */
  CC_REPEAT_RUNNING,  /* the first attempt is in progress: wait for it */
  CC_REPEAT_DONE,     /* its outcome is known: answer with that */
  CC_REPEAT_TOO_OLD,  /* it may have run, but no record of it is kept */
  CC_REPEAT_AHEAD,    /* the time in its key is in the future */
  CC_REPEAT_MALFORMED /* its key is no UUID of version 7 */
} CcRepeat;

/* The outcome of one request. */
typedef struct
{
  CcOutcome outcome;
  guint status;      /* HTTP status of the server's answer */
  GVariant *headers; /* packed, see headers.h; NULL if none */
  GBytes *body;      /* NULL if it was too large to keep */
} CcOutcomeRecord;

typedef struct CcOutcomes CcOutcomes;

/* ID and R are valid during the call. */
typedef void (*CcOutcomeEach) (const char *id, const CcOutcomeRecord *r,
                               gpointer data);

CcOutcomes *cc_outcomes_new (void);
void cc_outcomes_set_limits (CcOutcomes *o, guint count, gsize bytes);
void cc_outcomes_free (CcOutcomes *o);
gboolean cc_idempotency_time (const char *key, gint64 *wall);
void cc_outcomes_take_over (CcOutcomes *o, const char *pool, guint slice,
                            gint64 wall, gboolean first_ever);
void cc_outcomes_lower_horizon (CcOutcomes *o, const char *pool, guint slice,
                                gint64 horizon);
gint64 cc_outcomes_horizon (CcOutcomes *o, const char *pool, guint slice);
CcRepeat cc_outcomes_lookup (CcOutcomes *o, const char *pool, guint slice,
                             const char *id, gint64 wall,
                             const CcOutcomeRecord **found);
void cc_outcomes_start (CcOutcomes *o, const char *pool, guint slice,
                        const char *id, gint64 wall);
void cc_outcomes_finish (CcOutcomes *o, const char *pool, guint slice,
                         const char *id, const CcOutcomeRecord *r);
void cc_outcomes_remove (CcOutcomes *o, const char *pool, guint slice,
                         const char *id);
gboolean cc_outcomes_import (CcOutcomes *o, const char *pool, guint slice,
                             const char *id, const CcOutcomeRecord *r);
void cc_outcomes_each (CcOutcomes *o, const char *pool, guint slice,
                       CcOutcomeEach each, gpointer data);
void cc_outcomes_inherit (CcOutcomes *o, const char *pool, guint slice,
                          guint unit);
guint cc_outcomes_count (const CcOutcomes *o);

#endif
