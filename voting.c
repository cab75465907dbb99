/* Sends and receives the messages of promise.h.  A dispatcher votes, and
 * requests promises when its renewal is late; an assigner requests releases.
 *
 * Nothing is sent while renewals succeed.  During an outage of the platform
 * each dispatcher sends a request to each voter every 0.8 s while a majority
 * promises, and every 0.2 s until one does: with 11 instances 151 to 605 small
 * messages a second in total, and as many answers. */
#include "voting.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"
#include "voters.h"

/* Promises are requested when no renewal has succeeded for this long: two
 * periods, so that one slow answer does not cause requests, and 0.8 s before
 * the lease lapses. */
#define RENEWAL_LATE (2 * CC_LEASE_PERIOD)
#define REQUEST_PERIOD (CC_LEASE_PERIOD / 2)
#define ISOLATED_AFTER CC_SECOND /* five requests without enough answers */
#define VOTE_EXPIRY (CC_SECOND + CC_SKEW_MAX) /* votes are not used later */

/* An assigner's request to release one lease. */
typedef struct
{
  CcBallot ballot;
  gint64 due;           /* when to send the next request, us */
  gboolean agreed;      /* a majority released it */
  GHashTable *answered; /* set of voters that agreed to the last request or
                           refused it */
} Release;

struct CcVoting
{
  CcMailbox *mailbox;
  CcFollower *follower;
  CcTenure *tenure; /* NULL: an assigner, which has no lease and no vote */
  CcVoter voter;
  CcBallot promises;      /* for the lease of TENURE */
  gint64 promises_due;    /* when to request them again, us */
  guint64 voters_version; /* of the row that VOTERS was read from */
  GPtrArray *voters;
  GHashTable *releases;     /* lease id to Release */
  gint64 no_majority_since; /* us; 0: a majority answers */
  CcCounter *promised;
  CcCounter *released;
  CcCounter *refused;
  CcCounter *extended;
};

static void
release_free (gpointer data)
{
  Release *r = data;

  cc_ballot_clear (&r->ballot);
  g_hash_table_unref (r->answered);
  g_free (r);
}

/* Creates the voting state.  Messages go through BOX to the voters listed in
 * the view of F; TENURE is NULL in an assigner. */
CcVoting *
cc_voting_new (CcMailbox *box, CcFollower *f, CcTenure *tenure)
{
  CcVoting *v = g_new0 (CcVoting, 1);

  v->mailbox = box;
  v->follower = f;
  v->tenure = tenure;
  v->voters = cc_voters_parse (NULL);
  v->releases =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, release_free);
  v->promised = cc_metrics_counter ("capercrank_promises_given", "");
  v->released = cc_metrics_counter ("capercrank_leases_released", "");
  v->refused = cc_metrics_counter ("capercrank_votes_refused", "");
  v->extended = cc_metrics_counter ("capercrank_lease_extensions", "");
  cc_voter_init (&v->voter, cc_clock_now ());
  return v;
}

/* Reads the voters' row from the view if its version has changed. */
static void
read_voters (CcVoting *v)
{
  const CcRow *row = cc_view_get (&v->follower->view, "voters");

  if (row == NULL || row->version == v->voters_version)
    return;
  v->voters_version = row->version;
  g_ptr_array_unref (v->voters);
  v->voters = cc_voters_parse (row->value);
}

/* Sends a request about lease ID at VERSION, or the answer to one, to the
 * process at ADDRESS.  TO is its incarnation, 0 if any; NUMBER identifies the
 * request. */
static void
send_vote (CcVoting *v, const char *address, guint64 to, CcVoteKind what,
           const char *id, guint64 version, guint64 number)
{
  CcMessage m = { .kind = CC_MSG_VOTE };

  m.to = to;
  m.id = cc_mailbox_next_id (v->mailbox);
  m.expires = cc_clock_wall () + VOTE_EXPIRY;
  m.u.vote.what = what;
  m.u.vote.instance = id;
  m.u.vote.row_version = version;
  m.u.vote.ballot = number;
  cc_mailbox_send (v->mailbox, address, &m);
}

/* Begins a request WHAT about lease ID at VERSION and sends it to all
 * voters. */
static void
send_to_voters (CcVoting *v, CcBallot *b, CcVoteKind what, const char *id,
                guint64 version, gint64 now)
{
  cc_ballot_begin (b, version, v->voters_version, v->voters->len, now);
  for (guint i = 0; i < v->voters->len; i++)
    send_vote (v, ((CcVoterInfo *) v->voters->pdata[i])->address, 0, what, id,
               version, b->number);
}

/* Requests promises if the lease's renewal is late at NOW.  Called periodically
 * in a dispatcher. */
void
cc_voting_tick (CcVoting *v, gint64 now)
{
  const CcLease *l = &v->tenure->lease;

  read_voters (v);
  if (v->voters->len == 0 || !l->registered || !cc_lease_is_valid (l, now) ||
      now < l->valid_until - CC_LEASE_TERM + RENEWAL_LATE ||
      now < v->promises_due || v->tenure->closing)
    return;
  v->promises_due = now + REQUEST_PERIOD;
  send_to_voters (v, &v->promises, CC_VOTE_REQUEST, v->tenure->id, l->version,
                  now);
}

/* Handles a promise: extends the lease when a majority has promised.  The
 * extension counts from when the request was sent. */
static void
on_promised (CcVoting *v, const CcMessage *m)
{
  CcLease *l = &v->tenure->lease;

  if (!g_str_equal (m->u.vote.instance, v->tenure->id) ||
      !cc_voters_contain (v->voters, m->reply_to) ||
      v->promises.voters_version != v->voters_version ||
      !cc_ballot_count (&v->promises, m->u.vote.ballot, m->reply_to))
    return;
  cc_lease_extend (l, v->promises.requested_at, cc_clock_now ());
  cc_log (CC_LOG_INFO, "renewal",
          "lease of %s extended by a majority of voters, requested "
          "%" G_GINT64_FORMAT " ms ago, valid for another %" G_GINT64_FORMAT
          " ms",
          v->tenure->id, (cc_clock_now () - v->promises.requested_at) / CC_MS,
          (l->valid_until - cc_clock_now ()) / CC_MS);
  ++*v->extended;
  cc_ballot_clear (&v->promises);
}

/* Handles a voter's answer to a request to release a lease. */
static void
on_released (CcVoting *v, const CcMessage *m)
{
  Release *r = g_hash_table_lookup (v->releases, m->u.vote.instance);

  if (r == NULL || !cc_voters_contain (v->voters, m->reply_to) ||
      r->ballot.voters_version != v->voters_version)
    return;
  if (m->u.vote.ballot == r->ballot.number)
    g_hash_table_add (r->answered, g_strdup (m->reply_to));
  if (m->u.vote.what == CC_VOTE_RELEASED &&
      cc_ballot_count (&r->ballot, m->u.vote.ballot, m->reply_to))
    r->agreed = TRUE;
}

/* Records whether a majority of the voters answered the last request, before
 * it is repeated. */
static void
check_majority (CcVoting *v, Release *r, gint64 now)
{
  if (g_hash_table_size (r->answered) >= r->ballot.needed)
    v->no_majority_since = 0;
  else if (v->no_majority_since == 0)
    v->no_majority_since = now;
  g_hash_table_remove_all (r->answered);
}

/* Whether an assigner has had no answer from a majority of the voters for
 * ISOLATED_AFTER, so that another assigner should become active: if this one
 * reaches the platform but is cut off from the other zones, it would stay
 * active without being able to take over any lease. */
gboolean
cc_voting_is_isolated (const CcVoting *v, gint64 now)
{
  return v->no_majority_since != 0 &&
         now >= v->no_majority_since + ISOLATED_AFTER;
}

/* Handles a holder's or an assigner's request and sends the answer. */
static void
handle_request (CcVoting *v, const CcMessage *m)
{
  const CcMsgVote *request = &m->u.vote;
  gint64 now = cc_clock_now ();
  CcVoteKind answer = CC_VOTE_REFUSED;

  if (request->what == CC_VOTE_REQUEST &&
      cc_voter_promise (&v->voter, request->instance, request->row_version,
                        now))
    answer = CC_VOTE_PROMISED;
  else if (request->what == CC_VOTE_RELEASE &&
           cc_voter_release (&v->voter, request->instance, request->row_version,
                             now))
    answer = CC_VOTE_RELEASED;
  *v->promised += answer == CC_VOTE_PROMISED;
  *v->released += answer == CC_VOTE_RELEASED;
  *v->refused += answer == CC_VOTE_REFUSED;
  send_vote (v, m->reply_to, m->from, answer, request->instance,
             request->row_version, request->ballot);
}

/* Handles a CC_MSG_VOTE message: a request, or a vote on one of this process's
 * requests. */
void
cc_voting_receive (CcVoting *v, const CcMessage *m)
{
  switch ((CcVoteKind) m->u.vote.what)
    {
    case CC_VOTE_REQUEST:
    case CC_VOTE_RELEASE:
      if (v->tenure != NULL)
        handle_request (v, m);
      break;
    case CC_VOTE_PROMISED:
      if (v->tenure != NULL)
        on_promised (v, m);
      break;
    case CC_VOTE_RELEASED:
    case CC_VOTE_REFUSED:
      on_released (v, m);
      break;
    }
}

/* Whether a majority of the voters has released lease ID at VERSION, so that it
 * may be deleted.  *VOTERS_VERSION is set to that of the voters' row (0: there
 * is none), which the deletion must check.  If FALSE, the release is requested
 * when due; the caller repeats the call. */
gboolean
cc_voting_release (CcVoting *v, const char *id, guint64 version, gint64 now,
                   guint64 *voters_version)
{
  Release *r = g_hash_table_lookup (v->releases, id);

  read_voters (v);
  *voters_version = v->voters_version;
  if (v->voters->len == 0)
    return TRUE;
  if (r == NULL)
    {
      r = g_new0 (Release, 1);
      r->answered =
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (v->releases, g_strdup (id), r);
    }
  if (r->agreed && r->ballot.version == version &&
      r->ballot.voters_version == v->voters_version)
    return TRUE;
  if (now < r->due)
    return FALSE;
  if (r->due != 0 && now < r->due + REQUEST_PERIOD)
    check_majority (v, r, now);
  r->due = now + REQUEST_PERIOD;
  r->agreed = FALSE;
  send_to_voters (v, &r->ballot, CC_VOTE_RELEASE, id, version, now);
  return FALSE;
}
