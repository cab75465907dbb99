/* The requests that the fleet refuses since they crash the upstreams that run
 * them, and when each may run again to find out whether it still does. */
#ifndef CC_QUARANTINE_H
#define CC_QUARANTINE_H

#include "crash_evidence.h"

/* Key of the row of STATE that holds the quarantine. */
#define CC_QUARANTINE_KEY "quarantine"

typedef struct
{
  CcFingerprint fingerprint;
  char *pool;
  GPtrArray *crashes; /* of char: upstreams that ended, "ID.BORN" */
  gint64 since;       /* us of cc_clock_wall */
  guint trials;       /* begun so far */
  gint64 trial_at;    /* it may run once from then on, us of cc_clock_wall */
  gboolean probation; /* its last trial ended well: it runs, but one more crash
                         is enough */
  gboolean in_row;    /* as of the last row that was read or written */
  gboolean absent;    /* from the row that is being read */
  gboolean writing;   /* it is part of the write in progress */
} CcQuarantineEntry;

typedef struct CcQuarantine CcQuarantine;

CcQuarantine *cc_quarantine_new (void);
void cc_quarantine_free (CcQuarantine *q);
gboolean cc_quarantine_add (CcQuarantine *q, const CcFatalRequest *f,
                            gint64 wall);
gboolean cc_quarantine_crashed_again (CcQuarantine *q, const CcFingerprint *f,
                                      const char *crash, gint64 wall);
const CcQuarantineEntry *cc_quarantine_find (const CcQuarantine *q,
                                             const CcFingerprint *f);
gboolean cc_quarantine_has_path (const CcQuarantine *q, guint32 path);
guint cc_quarantine_size (const CcQuarantine *q);
void cc_quarantine_begin_trial (CcQuarantine *q, const CcFingerprint *f,
                                gint64 wall);
void cc_quarantine_release (CcQuarantine *q, const CcFingerprint *f,
                            gint64 wall);
gboolean cc_quarantine_is_unwritten (const CcQuarantine *q);
char *cc_quarantine_encode (const CcQuarantine *q);
void cc_quarantine_row_lost (CcQuarantine *q);
gboolean cc_quarantine_apply (CcQuarantine *q, const char *value, gint64 wall);
void cc_quarantine_begin_write (CcQuarantine *q);
void cc_quarantine_end_write (CcQuarantine *q, gboolean written);

#endif
