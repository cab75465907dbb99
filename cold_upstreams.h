/* Which upstreams are cold, and how many requests they take meanwhile, as one
 * gateway knows it. */
#ifndef CC_COLD_UPSTREAMS_H
#define CC_COLD_UPSTREAMS_H

#include "capercrank.h"

/* What one source states of an upstream. */
typedef struct
{
  const char *id;
  guint64 born;
  double rate;     /* requests a second from all gateways while it is cold */
  gint64 left;     /* time for which it stays cold, us; 0: it is warm */
  guint64 version; /* of its row */
} CcColdState;

typedef enum
{
  CC_COLD_SAME,
  CC_COLD_BEGAN,
  CC_COLD_ENDED,
  CC_COLD_RATE /* it stays cold, with another rate */
} CcColdChange;

/* Called for an upstream whose cold time has ended. */
typedef void (*CcColdEnded) (const char *id, guint64 born, gpointer data);

typedef struct CcColdUpstreams CcColdUpstreams;

CcColdUpstreams *cc_cold_upstreams_new (void);
void cc_cold_upstreams_free (CcColdUpstreams *c);
CcColdChange cc_cold_upstreams_row (CcColdUpstreams *c,
                                    const CcColdState *state, gint64 now);
CcColdChange cc_cold_upstreams_probe (CcColdUpstreams *c, const char *id,
                                      guint64 born, gint64 left, gint64 now);
double cc_cold_upstreams_warm_rate (const CcColdUpstreams *c, const char *id,
                                    guint64 born, gint64 now);
double cc_cold_upstreams_traffic (const CcColdUpstreams *c, const char *id,
                                  gint64 now);
double cc_cold_upstreams_rate (const CcColdUpstreams *c, const char *id,
                               guint64 born, gint64 now);
gint64 cc_cold_upstreams_until (const CcColdUpstreams *c, const char *id);
void cc_cold_upstreams_sent (CcColdUpstreams *c, const char *id, gint64 now);
guint cc_cold_upstreams_take_former (CcColdUpstreams *c, const char *id,
                                     guint64 born);
guint cc_cold_upstreams_count (const CcColdUpstreams *c, gint64 now);
gboolean cc_cold_upstreams_take_fresh (CcColdUpstreams *c, const char *id,
                                       guint64 born);
void cc_cold_upstreams_set_listed (CcColdUpstreams *c);
void cc_cold_upstreams_forget_fresh (CcColdUpstreams *c);
gint64 cc_cold_upstreams_expire (CcColdUpstreams *c, gint64 now,
                                 CcColdEnded ended, gpointer data);

#endif
