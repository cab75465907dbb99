/* A small world for seeded schedules of ownership, see ownership.c. */
#ifndef TEST_OWNERSHIP_H
#define TEST_OWNERSHIP_H

#include <glib.h>

/* A safeguard that a run goes without, to show that it is needed. */
typedef enum
{
  OMIT_NOTHING,
  OMIT_TWO_STEPS,    /* a move is written in one version of the map */
  OMIT_SENT_TIME,    /* a renewal counts from its answer */
  OMIT_WATCH_TERM,   /* a lease is judged lapsed after half its term */
  OMIT_ROW_CHECK,    /* a takeover doesn't check the lease row's version */
  OMIT_MAP_CHECK,    /* a map is written over whatever stands there */
  OMIT_GRANT_CHECK,  /* servers run what they were not granted */
  OMIT_GRANT_EXPIRY, /* a grant's life counts from its receipt */
  OMIT_APPLIED,      /* a dispatcher reports as stopped what still runs */
  OMIT_QUIET,        /* unanswered attempts at servers that don't check are
                        not waited for */
  OMIT_LEASE_CHECK,  /* the lease is not looked at before a send */
  OMIT_COUNT
} Omission;

typedef struct
{
  guint faults;   /* against the model */
  char *first;    /* the first fault in words, or NULL */
  guint effects;  /* work that took effect */
  guint moves;    /* versions of the map */
  guint takeover; /* leases deleted */
  guint thawed;   /* messages that waited inside a paused process */
  guint unserved; /* slices not served at the end of the quiet time */
} Verdict;

Verdict ownership_run (guint32 seed, Omission omit);

#endif
