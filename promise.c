/* Keeps leases valid during an outage of the platform.  While the platform is
 * down, no lease can be taken over, since that is a write, so no dispatcher
 * needs to stop.  But a dispatcher cannot distinguish this from being cut off
 * alone.  It therefore requests promises from the voters that nobody takes
 * over, for one term at a time, and goes on while a majority promises.  An
 * assigner deletes a lapsed lease only after a majority of the voters has
 * released it.
 *
 * Both cannot succeed, because two majorities share a voter.  If that voter
 * promised before it released, it released only after its promise had expired,
 * and the holder's extension, which counts from an earlier time, had expired
 * before.  If it released first, it gives no promise for that version of the
 * lease row or an older one.  A newer version means that the holder has renewed
 * the lease in the table; the deletion checks the version and fails.
 *
 * Votes are neither stored nor replicated.  A voter loses its records when its
 * process exits, so a new process rejects all requests for a term.  By then the
 * promises of its predecessor have expired, and the leases that the predecessor
 * released have lapsed; no promise extends a lapsed lease.
 *
 * A lease that a majority grants without a log is the idea of PaxosLease
 * (Trencseni, Gazso and Reinhardt, 2012), here reduced to promises that one
 * fixed holder requests.
 */
#include "promise.h"

/* Limit on the leases that a voter has records of, one for each registration of
 * a dispatcher while the voter's process runs.  Requests about further leases
 * are rejected until it is restarted. */
#define LEASES_MAX 20000

typedef struct
{
  gint64 promised_until; /* us; 0: no promise was given */
  guint64 released;      /* highest row version released; 0: none */
} VoteRecord;

/* Initialises V as a voter whose process starts at NOW. */
void
cc_voter_init (CcVoter *v, gint64 now)
{
  v->reject_until = now + CC_PROMISE_TERM;
  v->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the records of V. */
void
cc_voter_clear (CcVoter *v)
{
  g_clear_pointer (&v->records, g_hash_table_unref);
}

/* The record of lease ID, created if there is none; NULL if the voter already
 * has LEASES_MAX others. */
static VoteRecord *
find_record (CcVoter *v, const char *id)
{
  VoteRecord *r = g_hash_table_lookup (v->records, id);

  if (r != NULL || g_hash_table_size (v->records) >= LEASES_MAX)
    return r;
  r = g_new0 (VoteRecord, 1);
  g_hash_table_insert (v->records, g_strdup (id), r);
  return r;
}

/* Handles a request at NOW from the holder of lease ID, whose row it last knew
 * at VERSION, for a promise.  Returns whether the promise is given. */
gboolean
cc_voter_promise (CcVoter *v, const char *id, guint64 version, gint64 now)
{
  VoteRecord *r;

  if (now < v->reject_until)
    return FALSE;
  r = find_record (v, id);
  if (r == NULL || version <= r->released)
    return FALSE;
  r->promised_until = MAX (r->promised_until, now + CC_PROMISE_TERM);
  return TRUE;
}

/* Handles a request at NOW from an assigner to release lease ID at VERSION.
 * Returns whether it is released; then no promise is given for that version or
 * an older one. */
gboolean
cc_voter_release (CcVoter *v, const char *id, guint64 version, gint64 now)
{
  VoteRecord *r;

  if (now < v->reject_until)
    return FALSE;
  r = find_record (v, id);
  if (r == NULL || now < r->promised_until)
    return FALSE;
  r->released = MAX (r->released, version);
  return TRUE;
}

/* Begins a request at NOW about a lease row at VERSION.  It goes to the COUNT
 * voters that the voters' row names at version VOTERS_VERSION. */
void
cc_ballot_begin (CcBallot *b, guint64 version, guint64 voters_version,
                 guint count, gint64 now)
{
  cc_ballot_clear (b);
  b->number++;
  b->version = version;
  b->voters_version = voters_version;
  b->needed = count / 2 + 1;
  b->requested_at = now;
  b->agreed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Counts the agreement of VOTER to request NUMBER; a vote on an earlier request
 * is ignored.  Returns whether a majority of the voters has agreed. */
gboolean
cc_ballot_count (CcBallot *b, guint64 number, const char *voter)
{
  if (b->agreed == NULL || number != b->number)
    return FALSE;
  g_hash_table_add (b->agreed, g_strdup (voter));
  return g_hash_table_size (b->agreed) >= b->needed;
}

/* Ends the request in progress; its number is not used again. */
void
cc_ballot_clear (CcBallot *b)
{
  g_clear_pointer (&b->agreed, g_hash_table_unref);
}
