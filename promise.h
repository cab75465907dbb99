/* Promises of voters, which keep a lease valid during an outage of the
 * platform: the state of a voter, and the count of the votes on a request. */
#ifndef CC_PROMISE_H
#define CC_PROMISE_H

#include "lease.h"

/* How long a promise binds the voter, from its receipt of the request.  The
 * extension that it allows is a lease term from when the request was sent, so
 * it ends first; the margin covers the different rates of two clocks. */
#define CC_PROMISE_TERM (CC_LEASE_TERM + CC_LEASE_MARGIN)

/* Limit on the voters: one for each of 11 instances.  More would only add
 * messages, since each request is sent to all voters. */
#define CC_VOTERS_MAX 11

typedef enum
{
  CC_VOTE_REQUEST = 1, /* holder: requests a promise for its lease */
  CC_VOTE_PROMISED,    /* voter: rejects releases of the lease for a term */
  CC_VOTE_RELEASE,     /* assigner: requests the release of a row version */
  CC_VOTE_RELEASED,    /* voter: no promise is in force or will be given */
  CC_VOTE_REFUSED      /* voter: rejects either request */
} CcVoteKind;

/* The state of one voter. */
typedef struct
{
  gint64 reject_until; /* rejects all requests before, us: promises that it gave
                         before a restart may still be in force */
  GHashTable *records; /* lease id to VoteRecord */
} CcVoter;

/* One request to all voters, and the votes on it. */
typedef struct
{
  guint64 number;         /* of the request; votes on others don't count */
  guint64 version;        /* of the lease row that it is about */
  guint64 voters_version; /* of the row that named the voters */
  guint needed;           /* votes that make a majority */
  gint64 requested_at;    /* when the request was sent, us */
  GHashTable *agreed;     /* set of the addresses of voters that agreed */
} CcBallot;

void cc_voter_init (CcVoter *v, gint64 now);
void cc_voter_clear (CcVoter *v);
gboolean cc_voter_promise (CcVoter *v, const char *id, guint64 version,
                           gint64 now);
gboolean cc_voter_release (CcVoter *v, const char *id, guint64 version,
                           gint64 now);
void cc_ballot_begin (CcBallot *b, guint64 version, guint64 voters_version,
                      guint count, gint64 now);
gboolean cc_ballot_count (CcBallot *b, guint64 number, const char *voter);
void cc_ballot_clear (CcBallot *b);

#endif
