/* The limits on requests that upstreams name, as one gateway knows them. */
#ifndef CC_UPSTREAM_LIMITS_H
#define CC_UPSTREAM_LIMITS_H

#include "capercrank.h"

/* A limit of the upstream ID that started at BORN. */
typedef struct
{
  const char *id;
  guint64 born;
  double rate;  /* requests a second from all gateways together; 0: none */
  gint64 stamp; /* order of what gateways have observed, us of the wall clock or
                   later */
} CcUpstreamLimit;

/* When an answer or a report is received. */
typedef struct
{
  gint64 now;  /* us of cc_clock_now */
  gint64 wall; /* us of cc_clock_wall */
} CcLimitTime;

typedef struct CcUpstreamLimits CcUpstreamLimits;

CcUpstreamLimits *cc_upstream_limits_new (void);
void cc_upstream_limits_free (CcUpstreamLimits *l);
gboolean cc_upstream_limits_named (CcUpstreamLimits *l, const char *id,
                                   guint64 born, double rate, gint64 sent,
                                   CcLimitTime at);
gboolean cc_upstream_limits_ended (CcUpstreamLimits *l, const char *id,
                                   guint64 born, gint64 sent, CcLimitTime at);
gboolean cc_upstream_limits_reported (CcUpstreamLimits *l,
                                      const CcUpstreamLimit *limit,
                                      CcLimitTime at);
double cc_upstream_limits_rate (const CcUpstreamLimits *l, const char *id,
                                guint64 born);
gint64 cc_upstream_limits_known_at (const CcUpstreamLimits *l, const char *id);
gboolean cc_upstream_limits_find (const CcUpstreamLimits *l, const char *id,
                                  CcUpstreamLimit *limit);
GArray *cc_upstream_limits_list (CcUpstreamLimits *l, gint64 wall);

#endif
