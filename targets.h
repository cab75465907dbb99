/* The registered upstreams and their states, as one entry knows them. */
#ifndef CC_TARGETS_H
#define CC_TARGETS_H

#include "pick.h"
#include "version_clock.h"
#include "view.h"

/* Grace period after an outage of the table service, in which an upstream that
 * is missing from the list does not yet count as gone.  Rows that lapsed in
 * the outage are back within two seconds of its end.  The period is shorter
 * than that, since an upstream that left just then may be sent requests for
 * two seconds and no longer. */
#define CC_MISSING_GRACE (1750 * CC_MS)

/* Grace period before keys are moved: all rows that lapsed are back by then. */
#define CC_RETURN_GRACE (2500 * CC_MS)

typedef enum
{
  CC_TARGET_READY,
  CC_TARGET_LEAVING, /* it announced that it is leaving */
  CC_TARGET_GONE     /* it is no longer listed */
} CcTargetState;

/* Contents of an upstream's row. */
typedef struct
{
  char *id;
  char *pool;
  char *address; /* IP:PORT */
  char *zone;
  guint64 born; /* identifies this start of it; differs after a restart */
  guint slots;  /* requests that it works on at once */
  gboolean leaving;
  gint64 cold_for; /* remaining time of being slow after a start, us */
} CcListing;

typedef struct
{
  CcListing listing;
  CcTargetState state;
  guint64 version;         /* version of the row; 0: not listed now */
  gint64 since;            /* earliest time at which STATE began, us */
  gint64 leaves_since;     /* earliest time at which this start of it left or
                              announced that, us; G_MAXINT64: it did neither */
  gboolean missing;        /* missing from the list */
  gint64 missing_since;    /* earliest time at which it went missing, us */
  gint64 missing_found_at; /* when it was found missing, us */
  gboolean said_leaving;   /* this start of it, by its row or in an answer */
  gint64 rest_until;       /* it asked this gateway for no requests until then,
                              us; 0: never */
  gint64 trial_until; /* after a rest, only one request is at it until then,
                         us; 0: any */
  CcTargetLoad load;
} CcTarget;

typedef struct
{
  GHashTable *by_id;     /* id to CcTarget, kept until the process exits */
  GHashTable *by_pool;   /* pool to GPtrArray of CcTarget */
  GHashTable *refused;   /* id to guint64, the version of its row, which names
                            no usable upstream */
  gint64 leaving_serves; /* a leaving upstream gets requests for its keys for
                            this time after its announcement, us */
} CcTargets;

/* Input of an update. */
typedef struct
{
  const CcView *view;          /* the rows of the list */
  const CcVersionClock *clock; /* when they were written */
  gint64 outage; /* when the table service last failed for all processes, us; 0:
                    never */
  gint64 own_outage; /* the same for this process or one that it follows, us */
} CcTargetsSource;

/* Decodes the value of the row KEY.  Returns FALSE if it names no usable
 * upstream. */
typedef gboolean (*CcListingDecode) (const char *key, const char *value,
                                     CcListing *l);
/* Called for each upstream whose state, start or address changed. */
typedef void (*CcTargetChanged) (const CcTarget *t, gpointer data);

void cc_listing_clear (CcListing *l);
void cc_targets_init (CcTargets *t);
void cc_targets_clear (CcTargets *t);
gboolean cc_targets_update (CcTargets *t, const CcTargetsSource *source,
                            CcListingDecode decode, gint64 now,
                            CcTargetChanged changed, gpointer data);
CcTarget *cc_targets_find (const CcTargets *t, const char *id);
GPtrArray *cc_targets_of_pool (const CcTargets *t, const char *pool);
gboolean cc_targets_is_replaced (const CcTargets *all, const CcTarget *t);
gboolean cc_targets_serves_keys (const CcTargets *all, const CcTarget *t,
                                 gint64 now);
gint64 cc_target_state_age (const CcTarget *t, gint64 now);
gint64 cc_target_leaving_age (const CcTarget *t, gint64 now);
gboolean cc_target_asks_rest (CcTarget *t, gint64 rest, gint64 now);
void cc_target_sent (CcTarget *t, gint64 now);
gboolean cc_target_says_leaving (CcTarget *t, gint64 now);

#endif
