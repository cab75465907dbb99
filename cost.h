/* Measures the service time of each kind of work in one server and predicts
 * it. */
#ifndef CC_COST_H
#define CC_COST_H

#include "capercrank.h"

/* Estimated service time of one kind of work. */
typedef struct
{
  gint64 mean;      /* us; 0: never measured */
  gint64 deviation; /* mean deviation, us */
} CcCost;

typedef struct
{
  GHashTable *kinds; /* kind to CcCost */
  CcCost all;        /* estimate over all kinds */
} CcCosts;

guint cc_cost_kind (const char *class_name, const char *method, gsize body);
void cc_costs_init (CcCosts *c);
void cc_costs_clear (CcCosts *c);
void cc_costs_add (CcCosts *c, guint kind, gint64 took);
gboolean cc_costs_known (const CcCosts *c, guint kind);
CcCost cc_costs_of (const CcCosts *c, guint kind);

#endif
