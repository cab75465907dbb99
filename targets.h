/* The upstreams that are listed, as one entry sees them. */
#ifndef CC_TARGETS_H
#define CC_TARGETS_H

#include "pick.h"
#include "version_clock.h"
#include "view.h"

/* An upstream that is missing from the list is taken as gone only this long
 * after the list's keeper last had an outage: entries that lapsed meanwhile
 * are back within two seconds of its return.  Shorter than that, since one that
 * left just then may be sent to for two seconds and no longer. */
#define CC_VANISH_GRACE (1750 * CC_MS)

/* Keys are moved only after all that lapsed must be back. */
#define CC_RETURN_GRACE (2500 * CC_MS)

typedef enum
{
  CC_TARGET_READY,
  CC_TARGET_LEAVING, /* it has said so */
  CC_TARGET_GONE     /* it is listed no more */
} CcTargetState;

/* What an upstream's row in the list says. */
typedef struct
{
  char *id;
  char *pool;
  char *address; /* IP:PORT */
  char *zone;
  guint64 born; /* of this life of it; differs after a restart */
  guint slots;  /* requests it works on at once */
  gboolean leaving;
  gint64 cold_for; /* it is slow for so long yet, us */
} CcListing;

typedef struct
{
  CcListing listing;
  CcTargetState state;
  guint64 version;    /* of the row; 0: not listed now */
  gint64 since;       /* STATE began then at the earliest, us */
  gboolean vanished;  /* missing from the list */
  gint64 vanished_at; /* ... since then at the earliest, us */
  gint64 missed_at;   /* ... and was found to be, us */
  CcTargetLoad load;
} CcTarget;

typedef struct
{
  GHashTable *by_id;   /* id to CcTarget, which stays for the process's life */
  GHashTable *by_pool; /* pool to GPtrArray of CcTarget */
  gint64 leaving_serves; /* one that leaves is sent requests for its keys for so
                            long after it said so, us */
} CcTargets;

/* What an update goes by. */
typedef struct
{
  const CcView *view;          /* the list's rows */
  const CcVersionClock *clock; /* when they were written */
  gint64 outage;     /* the list's keeper last failed for all, us; 0: never */
  gint64 own_outage; /* ... or for this process or one that it follows */
} CcTargetsSource;

/* Decodes the value of the row KEY.  FALSE: it names no upstream to use. */
typedef gboolean (*CcListingDecode) (const char *key, const char *value,
                                     CcListing *l);
/* Called for each upstream whose state, life or address changed. */
typedef void (*CcTargetChanged) (const CcTarget *t, gpointer data);

void cc_listing_clear (CcListing *l);
void cc_targets_init (CcTargets *t);
void cc_targets_clear (CcTargets *t);
gboolean cc_targets_update (CcTargets *t, const CcTargetsSource *listed,
                            CcListingDecode decode, gint64 now,
                            CcTargetChanged changed, gpointer data);
CcTarget *cc_targets_find (const CcTargets *t, const char *id);
GPtrArray *cc_targets_of_pool (const CcTargets *t, const char *pool);
gboolean cc_targets_is_replaced (const CcTargets *all, const CcTarget *t);
gboolean cc_targets_serves_keys (const CcTargets *all, const CcTarget *t,
                                 gint64 now);
gint64 cc_target_state_age (const CcTarget *t, gint64 now);

#endif
