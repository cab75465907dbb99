/* Keeps the requests of the whole fleet to an upstream within the limit that it
 * names. */
#ifndef CC_FLEET_LIMITS_H
#define CC_FLEET_LIMITS_H

#include "cold_upstreams.h"
#include "limit_tokens.h"
#include "upstream_limits.h"

typedef struct CcFleetLimits CcFleetLimits;

/* Period of cc_fleet_limits_tick. */
#define CC_FLEET_LIMITS_PERIOD (1 * CC_SECOND)

typedef struct
{
  const char *address; /* of this gateway for its peers */
  /* Sends DATAGRAM to the gateway at ADDRESS. */
  void (*send) (const char *address, GBytes *datagram, gpointer data);
  /* Sends DATAGRAM to all other gateways. */
  void (*broadcast) (GBytes *datagram, gpointer data);
  /* Returns whether this gateway hands out tokens now. */
  gboolean (*is_source) (gpointer data);
  /* The upstream ID that started at BORN has the limit RATE, requests a second,
   * the lower of what it names and what it takes while it is cold; 0: none. */
  void (*changed) (const char *id, guint64 born, double rate, gpointer data);
  /* Tokens have arrived: requests that wait may be decided anew. */
  void (*ready) (gpointer data);
  /* cc_fleet_limits_tick is to be called after CC_FLEET_LIMITS_PERIOD. */
  void (*wake) (gpointer data);
  gpointer data;
  /* Returns whether this gateway hands out tokens now and no other does; NULL:
   * as IS_SOURCE. */
  gboolean (*is_sole_source) (gpointer data);
  double cold_slack; /* requests that a cold upstream takes in any second beyond
                        its rate */
} CcFleetLimitsSetup;

/* Whether a request may be sent to an upstream. */
typedef enum
{
  CC_LIMIT_PASSES,
  CC_LIMIT_ASKED,  /* the answer comes within some ms */
  CC_LIMIT_REFUSED /* not before the time given */
} CcLimitVerdict;

CcFleetLimits *cc_fleet_limits_new (const CcFleetLimitsSetup *setup);
void cc_fleet_limits_free (CcFleetLimits *f);
void cc_fleet_limits_set_gateways (CcFleetLimits *f, guint gateways);
void cc_fleet_limits_set_source (CcFleetLimits *f, const char *address);
void cc_fleet_limits_answer_named (CcFleetLimits *f, const char *id,
                                   guint64 born, double rate, gint64 sent,
                                   gint64 now);
void cc_fleet_limits_answer_unlimited (CcFleetLimits *f, const char *id,
                                       guint64 born, gint64 sent, gint64 now);
double cc_fleet_limits_rate (const CcFleetLimits *f, const char *id,
                             guint64 born);
void cc_fleet_limits_row (CcFleetLimits *f, const CcColdState *state,
                          gint64 now);
void cc_fleet_limits_rows_read (CcFleetLimits *f);
gint64 cc_fleet_limits_end_cold (CcFleetLimits *f, gint64 now);
double cc_fleet_limits_cold_rate (const CcFleetLimits *f, const char *id,
                                  guint64 born, gint64 now);
double cc_fleet_limits_cold_burst (const CcFleetLimits *f, double rate);
gint64 cc_fleet_limits_cold_until (const CcFleetLimits *f, const char *id);
double cc_fleet_limits_cold_bound (const CcFleetLimits *f, const char *id,
                                   guint64 born, gint64 now);
double cc_fleet_limits_traffic (const CcFleetLimits *f, const char *id,
                                gint64 now);
gboolean cc_fleet_limits_is_idle (CcFleetLimits *f, const char *id,
                                  guint64 born, gint64 span, gint64 now);
void cc_fleet_limits_probed_cold (CcFleetLimits *f, const char *id,
                                  guint64 born, gint64 left, gint64 now);
void cc_fleet_limits_sent (CcFleetLimits *f, const char *id, gint64 now);
void cc_fleet_limits_count (CcFleetLimits *f, const char *id, guint priority);
gint64 cc_fleet_limits_refused_until (const CcFleetLimits *f, const char *id,
                                      guint priority);
CcLimitVerdict cc_fleet_limits_take (CcFleetLimits *f, const char *id,
                                     guint64 born, guint priority, gint64 now,
                                     gint64 *at);
gboolean cc_fleet_limits_receive (CcFleetLimits *f, GBytes *datagram,
                                  gint64 now);
gboolean cc_fleet_limits_tick (CcFleetLimits *f);

#endif
