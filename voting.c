/* The network's side of promise.h.  A dispatcher votes, and asks for promises
 * when its renewal is late; an assigner asks for releases.
 *
 * Load: nothing while the platform answers.  In an outage each dispatcher asks
 * each voter twice a second: with today's 11 instances 242 small messages a
 * second in all, and as many answers. */
#include "voting.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"
#include "voters.h"

/* A renewal that has not come through for this long is borne out by promises:
 * two periods, so that one slow answer asks nothing, and a second before the
 * lease ends. */
#define RENEWAL_LATE (2 * CC_LEASE_PERIOD)
#define ASK_PERIOD (CC_LEASE_PERIOD / 2)
#define ISOLATED_AFTER CC_SECOND /* five questions without an answer */
#define VOTE_EXPIRY (CC_SECOND + CC_SKEW_MAX) /* later it counts no more */

/* An assigner's question about one lease. */
typedef struct
{
  CcBallot ballot;
  gint64 due;        /* when to ask again, us */
  gboolean agreed;   /* a majority released it */
  GHashTable *heard; /* set of voters that answered the last question at all */
} Release;

struct CcVoting
{
  CcMailbox *mailbox;
  CcFollower *follower;
  CcTenure *tenure; /* NULL: an assigner, which holds and promises nothing */
  CcVoter voter;
  CcBallot asking;
  gint64 ask_due;
  guint64 voters_version; /* of the row that VOTERS was read from */
  GPtrArray *voters;
  GHashTable *releases; /* lease id to Release */
  gint64 unheard_since; /* too few voters answer since then, us; 0: enough */
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
  g_hash_table_unref (r->heard);
  g_free (r);
}

/* Voting through BOX with the voters that F knows; TENURE is NULL in an
 * assigner. */
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
  m.u.vote.term = version;
  m.u.vote.ballot = number;
  cc_mailbox_send (v->mailbox, address, &m);
}

static void
ask_all (CcVoting *v, CcBallot *b, CcVoteKind what, const char *id,
         guint64 version, gint64 now)
{
  cc_ballot_begin (b, version, v->voters_version, v->voters->len, now);
  for (guint i = 0; i < v->voters->len; i++)
    send_vote (v, ((CcVoterInfo *) v->voters->pdata[i])->address, 0, what, id,
               version, b->number);
}

/* Looks at NOW whether the renewal is late, and then asks for promises. */
void
cc_voting_tick (CcVoting *v, gint64 now)
{
  const CcLease *l = &v->tenure->lease;

  read_voters (v);
  if (v->voters->len == 0 || !l->registered || !cc_lease_is_valid (l, now) ||
      now < l->valid_until - CC_LEASE_TERM + RENEWAL_LATE || now < v->ask_due ||
      v->tenure->closing)
    return;
  v->ask_due = now + ASK_PERIOD;
  ask_all (v, &v->asking, CC_VOTE_REQUEST, v->tenure->id, l->version, now);
}

static void
on_promised (CcVoting *v, const CcMessage *m)
{
  CcLease *l = &v->tenure->lease;

  if (!g_str_equal (m->u.vote.instance, v->tenure->id) ||
      !cc_voters_contain (v->voters, m->reply_to) ||
      v->asking.voters != v->voters_version ||
      !cc_ballot_count (&v->asking, m->u.vote.ballot, m->reply_to))
    return;
  cc_lease_extend (l, v->asking.requested_at, cc_clock_now ());
  cc_log (CC_LOG_INFO, "renewal",
          "%s is promised a term, asked %" G_GINT64_FORMAT
          " ms ago, the lease lasts %" G_GINT64_FORMAT " ms",
          v->tenure->id, (cc_clock_now () - v->asking.requested_at) / CC_MS,
          (l->valid_until - cc_clock_now ()) / CC_MS);
  ++*v->extended;
  cc_ballot_clear (&v->asking);
}

static void
on_released (CcVoting *v, const CcMessage *m)
{
  Release *r = g_hash_table_lookup (v->releases, m->u.vote.instance);

  if (r == NULL || !cc_voters_contain (v->voters, m->reply_to) ||
      r->ballot.voters != v->voters_version)
    return;
  if (m->u.vote.ballot == r->ballot.number)
    g_hash_table_add (r->heard, g_strdup (m->reply_to));
  if (m->u.vote.what == CC_VOTE_RELEASED &&
      cc_ballot_count (&r->ballot, m->u.vote.ballot, m->reply_to))
    r->agreed = TRUE;
}

/* Judges the question that is about to be put again. */
static void
note_heard (CcVoting *v, Release *r, gint64 now)
{
  if (g_hash_table_size (r->heard) >= r->ballot.needed)
    v->unheard_since = 0;
  else if (v->unheard_since == 0)
    v->unheard_since = now;
  g_hash_table_remove_all (r->heard);
}

/* Whether an assigner has had no answer from a majority of the voters for so
 * long that another should be active: with the platform in reach, but cut off
 * from the other zones, it would keep its place and take nothing over. */
gboolean
cc_voting_is_isolated (const CcVoting *v, gint64 now)
{
  return v->unheard_since != 0 && now >= v->unheard_since + ISOLATED_AFTER;
}

static void
vote (CcVoting *v, const CcMessage *m)
{
  const CcMsgVote *q = &m->u.vote;
  gint64 now = cc_clock_now ();
  CcVoteKind answer = CC_VOTE_REFUSED;

  if (q->what == CC_VOTE_REQUEST &&
      cc_voter_promise (&v->voter, q->instance, q->term, now))
    answer = CC_VOTE_PROMISED;
  else if (q->what == CC_VOTE_RELEASE &&
           cc_voter_release (&v->voter, q->instance, q->term, now))
    answer = CC_VOTE_RELEASED;
  *v->promised += answer == CC_VOTE_PROMISED;
  *v->released += answer == CC_VOTE_RELEASED;
  *v->refused += answer == CC_VOTE_REFUSED;
  send_vote (v, m->reply_to, m->from, answer, q->instance, q->term, q->ballot);
}

/* Handles a VOTE message. */
void
cc_voting_receive (CcVoting *v, const CcMessage *m)
{
  switch ((CcVoteKind) m->u.vote.what)
    {
    case CC_VOTE_REQUEST:
    case CC_VOTE_RELEASE:
      if (v->tenure != NULL)
        vote (v, m);
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

/* Whether lease ID may be deleted at VERSION, as far as the voters go; *VOTERS
 * is then the version of their row (0: there is none), which the deletion has
 * to check.  If not, they are asked; to be called again. */
gboolean
cc_voting_release (CcVoting *v, const char *id, guint64 version, gint64 now,
                   guint64 *voters)
{
  Release *r = g_hash_table_lookup (v->releases, id);

  read_voters (v);
  *voters = v->voters_version;
  if (v->voters->len == 0)
    return TRUE;
  if (r == NULL)
    {
      r = g_new0 (Release, 1);
      r->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (v->releases, g_strdup (id), r);
    }
  if (r->agreed && r->ballot.version == version &&
      r->ballot.voters == v->voters_version)
    return TRUE;
  if (now < r->due)
    return FALSE;
  if (r->due != 0 && now < r->due + ASK_PERIOD)
    note_heard (v, r, now);
  r->due = now + ASK_PERIOD;
  r->agreed = FALSE;
  ask_all (v, &r->ballot, CC_VOTE_RELEASE, id, version, now);
  return FALSE;
}
