/* The set of dispatchers that vote on leases, and the table row that lists
 * them. */
#ifndef CC_VOTERS_H
#define CC_VOTERS_H

#include "capercrank.h"

/* With fewer members than this there are no voters: of two voters, the loss of
 * one would prevent every takeover. */
#define CC_VOTERS_MIN 3

/* A voter without a member row for this long is replaced.  A process restarts
 * at the same address in less time. */
#define CC_VOTER_MISSING_MAX (10 * CC_SECOND)

typedef struct
{
  char *address; /* of its mailbox; identifies the voter */
  char *zone;
  gint64 missing_since; /* assigner: since when it has no member row, us; 0: it
                           has */
} CcVoterInfo;

GPtrArray *cc_voters_parse (const char *json);
char *cc_voters_print (const GPtrArray *voters);
gboolean cc_voters_contain (const GPtrArray *voters, const char *address);
gboolean cc_voters_update (GPtrArray *voters, const GPtrArray *members,
                           gint64 now);

#endif
