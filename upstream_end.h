/* Decides whether an upstream has ended, after connections to it were lost. */
#ifndef CC_UPSTREAM_END_H
#define CC_UPSTREAM_END_H

#include "capercrank.h"

/* What was seen of an upstream since a connection was lost under a request. */
typedef struct
{
  gint64 lost_at;      /* when the first one was lost, us */
  gint64 refused_at;   /* first refused connection since, us; 0: none */
  gint64 refused_last; /* last refused connection, us */
  gboolean accepted;   /* it has accepted a connection since */
  gboolean answered;   /* it has answered a request since */
} CcUpstreamEnd;

/* What its row in the list of upstreams says. */
typedef enum
{
  CC_UPSTREAM_LISTED,   /* as before */
  CC_UPSTREAM_LEFT,     /* it announced that it leaves, or did so before */
  CC_UPSTREAM_MISSING,  /* no longer listed, without an announcement */
  CC_UPSTREAM_REPLACED, /* the same, and its address is another's */
  CC_UPSTREAM_RESTARTED /* listed with a later start */
} CcUpstreamListing;

typedef enum
{
  CC_END_OPEN,    /* not decided */
  CC_END_CRASHED, /* it has ended */
  CC_END_NONE     /* it has not, or was leaving, or nothing shows that it has */
} CcEndVerdict;

void cc_upstream_end_lost (CcUpstreamEnd *e, gint64 now);
gboolean cc_upstream_end_is_same (const CcUpstreamEnd *e, gint64 now);
void cc_upstream_end_refused (CcUpstreamEnd *e, gint64 now);
void cc_upstream_end_accepted (CcUpstreamEnd *e, gint64 now);
void cc_upstream_end_answered (CcUpstreamEnd *e, gint64 now);
gboolean cc_upstream_end_is_likely (const CcUpstreamEnd *e);
gboolean cc_upstream_end_needs_probe (const CcUpstreamEnd *e, gint64 probed_at,
                                      gint64 now);
CcEndVerdict cc_upstream_end_decide (const CcUpstreamEnd *e,
                                     CcUpstreamListing listing, gint64 now);

#endif
