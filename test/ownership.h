/* Simulation for seeded schedules of ownership, see ownership.c. */
#ifndef TEST_OWNERSHIP_H
#define TEST_OWNERSHIP_H

#include <glib.h>

/* A safeguard that a run omits, to show that it is needed. */
typedef enum
{
  OMIT_NOTHING,
  OMIT_TWO_STEPS,    /* a move is written in a single version of the map */
  OMIT_SENT_TIME,    /* a renewal counts from its response */
  OMIT_WATCH_TERM,   /* a lease counts as lapsed after half its term */
  OMIT_ROW_CHECK,    /* a takeover does not check the lease row's version */
  OMIT_MAP_CHECK,    /* a map is written without a version check */
  OMIT_GRANT_CHECK,  /* servers run what they were not granted */
  OMIT_GRANT_EXPIRY, /* the lifetime of a grant counts from its receipt */
  OMIT_APPLIED,      /* a dispatcher reports as stopped what still runs */
  OMIT_UNANSWERED, /* unanswered attempts at servers that don't check grants are
                      not waited for */
  OMIT_LEASE_CHECK, /* the lease is not checked before a send */
  OMIT_COUNT
} Omission;

typedef struct
{
  guint faults;   /* violations of the model */
  char *first;    /* description of the first fault, or NULL */
  guint effects;  /* completed work items */
  guint moves;    /* map versions written */
  guint takeover; /* leases deleted */
  guint delayed;  /* messages delivered after a pause of their receiver */
  guint unserved; /* slices not served at the end of the recovery time */
} RunResult;

RunResult ownership_run (guint32 seed, Omission omit);

#endif
