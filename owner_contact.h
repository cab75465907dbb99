/* Whether an upstream answers the calls of this process as the granter. */
#ifndef CC_OWNER_CONTACT_H
#define CC_OWNER_CONTACT_H

#include "backoff.h"

typedef enum
{
  CC_CONTACT_UNKNOWN, /* no call to it has been answered or has failed for long
                       */
  CC_CONTACT_REACHED, /* it has answered or accepted a connection */
  CC_CONTACT_SILENT   /* it fails to answer while others of its pool do */
} CcContactState;

/* Keys of a grant. */
typedef struct
{
  guint from, to;
  guint64 fence; /* 0: there is no grant */
} CcContactGrant;

/* All zero: unknown. */
typedef struct
{
  CcContactState state;
  guint64 born;         /* start of the upstream that the rest applies to;
                           0: any */
  gint64 holds_until;   /* keys that it may hold have expired by then, us */
  gint64 failing_since; /* first failed call since its last answer, us; 0:
                           none has failed */
  gint64 reached_at;    /* last response or accepted connection, us; 0: none */
  gboolean sent;        /* the last failed call may have arrived */
  CcContactGrant unanswered; /* last grant that may have arrived */
  CcBackoff probes;
  gboolean probing; /* a probe is in progress */
} CcOwnerContact;

void cc_owner_contact_reset (CcOwnerContact *c);
void cc_owner_contact_started (CcOwnerContact *c, guint64 born);
void cc_owner_contact_may_hold (CcOwnerContact *c, gint64 until);
gboolean cc_owner_contact_reached (CcOwnerContact *c, gint64 now);
void cc_owner_contact_answered (CcOwnerContact *c, gint64 holds_until,
                                gint64 now);
void cc_owner_contact_failed (CcOwnerContact *c, const CcContactGrant *sent,
                              gint64 now);
gboolean cc_owner_contact_check (CcOwnerContact *c, gint64 others_at,
                                 gint64 now);
void cc_owner_contact_probe_failed (CcOwnerContact *c, gint64 now);
gboolean cc_owner_contact_may_probe (const CcOwnerContact *c, gint64 now);

#endif
