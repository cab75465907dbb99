/* How many requests a second an upstream serves as an owner of keys. */
#ifndef CC_OWNER_CAPACITY_H
#define CC_OWNER_CAPACITY_H

#include "targets.h"

typedef struct
{
  double rate;      /* requests a second */
  gboolean limited; /* it takes no more than that, however idle it is */
} CcOwnerCapacity;

CcOwnerCapacity cc_owner_capacity (const CcTarget *t, double work, gint64 now);

#endif
