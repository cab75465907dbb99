/* Promises by which a lease outlives an outage of the platform: all sides. */
#ifndef CC_PROMISE_H
#define CC_PROMISE_H

#include "lease.h"

/* A promise counts from the voter's receipt of the question, the extension that
 * it allows from when that was sent, so it lasts a little longer than needed;
 * the margin is for two clocks' rates. */
#define CC_PROMISE_TERM (CC_LEASE_TERM + CC_LEASE_MARGIN)

/* Voters there may be.  One for each of today's instances; more would only add
 * messages: a question goes to all of them. */
#define CC_VOTERS_MAX 11

typedef enum
{
  CC_VOTE_REQUEST = 1, /* holder: let nobody take my lease over for a term */
  CC_VOTE_PROMISED,    /* voter: I won't */
  CC_VOTE_RELEASE,     /* assigner: give up the lease at this version */
  CC_VOTE_RELEASED,    /* voter: no promise lives, none will be given */
  CC_VOTE_REFUSED      /* voter: neither */
} CcVoteKind;

typedef struct
{
  gint64 quiet_until; /* answers nothing before, us: an earlier life's promises
                         may stand */
  GHashTable *leases; /* id to what was said of it */
} CcVoter;

/* One question put to all voters. */
typedef struct
{
  guint64 number;      /* of the question; answers to others don't count */
  guint64 version;     /* of the lease row that it is about */
  guint64 voters;      /* version of the row that named the voters */
  guint needed;        /* answers that make a majority */
  gint64 requested_at; /* us */
  GHashTable *said;    /* set of the voters' addresses that agreed */
} CcBallot;

void cc_voter_init (CcVoter *v, gint64 now);
void cc_voter_clear (CcVoter *v);
gboolean cc_voter_promise (CcVoter *v, const char *id, guint64 version,
                           gint64 now);
gboolean cc_voter_release (CcVoter *v, const char *id, guint64 version,
                           gint64 now);
void cc_ballot_begin (CcBallot *b, guint64 version, guint64 voters, guint count,
                      gint64 now);
gboolean cc_ballot_count (CcBallot *b, guint64 number, const char *voter);
void cc_ballot_clear (CcBallot *b);

#endif
