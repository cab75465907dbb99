/* How many requests may be inside an owner of keys whose demand exceeds what it
 * serves, and who may send the next one. */
#ifndef CC_OWNER_WINDOW_H
#define CC_OWNER_WINDOW_H

#include "capercrank.h"

/* Priorities that are distinguished; lower ones count as the last. */
#define CC_PERMIT_PRIORITIES 4

typedef struct CcOwnerWindow CcOwnerWindow;

/* A gateway asks for permits; each is the right to send one request. */
typedef struct
{
  guint priority; /* of the request that needs one, 0 is the highest */
  guint demand;   /* requests since its last question; 0: one that waits is
                     the reason for this one */
  gint64 target;  /* latency target of that request, us */
} CcPermitAsk;

typedef struct
{
  guint granted;
  gint64 wait; /* none is granted: time until it should ask again, us */
} CcPermitGrant;

/* What the end of a request tells of its owner. */
typedef struct
{
  guint32 number;    /* differs for each end */
  gboolean received; /* the owner reported its load with the response */
  guint inside;      /* requests inside it by that report */
} CcOwnerReport;

CcOwnerWindow *cc_owner_window_new (guint slots, gint64 now);
void cc_owner_window_free (CcOwnerWindow *w);
CcPermitGrant cc_owner_window_ask (CcOwnerWindow *w, const CcPermitAsk *ask,
                                   gint64 now);
void cc_owner_window_ended (CcOwnerWindow *w, const CcOwnerReport *report,
                            gint64 now);
double cc_owner_window_rate (const CcOwnerWindow *w);
gboolean cc_owner_window_is_pressed (const CcOwnerWindow *w, gint64 now);

#endif
