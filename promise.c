/* The platform is down: nobody can take a lease over, since that is a write, so
 * nobody needs to stop.  But a dispatcher can't tell this from being cut off
 * alone.  So it asks the voters, each term anew, to let nobody take over, and
 * goes on while a majority promises.  An assigner, for its part, deletes a
 * lapsed lease only after a majority of the voters released it.
 *
 * Why both can't succeed: two majorities share a voter.  If it promised before
 * it released, it released only after its promise had run out, and the holder's
 * extension, counted from an earlier moment, had run out before that.  If it
 * released first, it promises no more for that version of the lease row, nor
 * for an older one; a newer one means that the holder renewed in the table, and
 * then the deletion, which checks the version, fails.
 *
 * Nothing is stored or agreed.  A voter's memory ends with its process, so one
 * that starts says nothing for a term: by then what an earlier life promised
 * has run out, and what it released can't be promised, since promises extend
 * only a lease that is still valid.
 *
 * The idea of a lease that any majority can bear out without a log is that of
 * PaxosLease (Trencseni, Gazso and Reinhardt, 2012), reduced to promises that
 * one fixed holder asks for.
 */
#include "promise.h"

/* Leases a voter keeps in mind: registrations of dispatchers in its life.  Past
 * that it neither promises nor releases for new ones, until it is restarted. */
#define LEASES_MAX 20000

typedef struct
{
  gint64 promised_until; /* us; 0: never promised */
  guint64 released;      /* highest row version given up; 0: none */
} Said;

/* A voter whose process starts at NOW. */
void
cc_voter_init (CcVoter *v, gint64 now)
{
  v->quiet_until = now + CC_PROMISE_TERM;
  v->leases = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what V holds. */
void
cc_voter_clear (CcVoter *v)
{
  g_clear_pointer (&v->leases, g_hash_table_unref);
}

/* What was said of lease ID; NULL if too many are known. */
static Said *
said_of (CcVoter *v, const char *id)
{
  Said *s = g_hash_table_lookup (v->leases, id);

  if (s != NULL || g_hash_table_size (v->leases) >= LEASES_MAX)
    return s;
  s = g_new0 (Said, 1);
  g_hash_table_insert (v->leases, g_strdup (id), s);
  return s;
}

/* The holder of lease ID, whose row it knows at VERSION, asks for a promise at
 * NOW.  Returns whether it has it. */
gboolean
cc_voter_promise (CcVoter *v, const char *id, guint64 version, gint64 now)
{
  Said *s;

  if (now < v->quiet_until)
    return FALSE;
  s = said_of (v, id);
  if (s == NULL || version <= s->released)
    return FALSE;
  s->promised_until = MAX (s->promised_until, now + CC_PROMISE_TERM);
  return TRUE;
}

/* An assigner asks at NOW that lease ID may be deleted at VERSION.  Returns
 * whether it may; from then on no promise is given for that version. */
gboolean
cc_voter_release (CcVoter *v, const char *id, guint64 version, gint64 now)
{
  Said *s;

  if (now < v->quiet_until)
    return FALSE;
  s = said_of (v, id);
  if (s == NULL || now < s->promised_until)
    return FALSE;
  s->released = MAX (s->released, version);
  return TRUE;
}

/* Begins a question at NOW about a lease row at VERSION, to COUNT voters named
 * by version VOTERS of their row. */
void
cc_ballot_begin (CcBallot *b, guint64 version, guint64 voters, guint count,
                 gint64 now)
{
  cc_ballot_clear (b);
  b->number++;
  b->version = version;
  b->voters = voters;
  b->needed = count / 2 + 1;
  b->requested_at = now;
  b->said = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Counts VOTER's agreement to question NUMBER.  Returns whether a majority of
 * the voters has agreed. */
gboolean
cc_ballot_count (CcBallot *b, guint64 number, const char *voter)
{
  if (b->said == NULL || number != b->number)
    return FALSE;
  g_hash_table_add (b->said, g_strdup (voter));
  return g_hash_table_size (b->said) >= b->needed;
}

/* Forgets the question in progress; its number isn't used again. */
void
cc_ballot_clear (CcBallot *b)
{
  g_clear_pointer (&b->said, g_hash_table_unref);
}
