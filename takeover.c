/* Watches the dispatchers' leases, so that the servers of a lost dispatcher can
 * be assigned to others.  A lease is deleted when
 *
 *  - its row has not changed for a term and a margin since that version was
 *    first read (lease.h); and
 *  - a majority of the voters has released it (promise.h).
 *
 * The deletion checks the row's version, so that it fails if the lease was
 * renewed meanwhile, and the version of the voters' row, so that it fails if
 * the voters that released it are not the present ones. */
#include "takeover.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "json_tree.h"
#include "log.h"
#include "metrics.h"
#include "voters.h"

#define LEASE_PREFIX "lease/"
#define VOTERS_ROW "voters"

struct CcTakeover
{
  CcPlatform *platform;
  CcFollower *follower;
  CcVoting *voting;
  GHashTable *watches;    /* lease id to CcLeaseWatch */
  GHashTable *deleting;   /* set of lease ids */
  GPtrArray *voters;      /* of CcVoterInfo, as in the row */
  guint64 voters_version; /* of the row; 0: none */
  gboolean writing;       /* a write of the voters' row is in progress */
  CcCounter *deleted;
};

typedef struct
{
  CcTakeover *takeover;
  char *id;
} LeaseDeletion;

/* Creates the state of an assigner that reads the table through F, writes to
 * PLATFORM and requests releases through VOTING. */
CcTakeover *
cc_takeover_new (CcPlatform *platform, CcFollower *f, CcVoting *voting)
{
  CcTakeover *t = g_new0 (CcTakeover, 1);

  t->platform = platform;
  t->follower = f;
  t->voting = voting;
  t->watches = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->deleting = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  t->voters = cc_voters_parse (NULL);
  t->deleted = cc_metrics_counter ("capercrank_takeovers", "");
  return t;
}

/* Handles the result of the transaction that deletes a lease.  If it failed,
 * the lease is checked again at a later tick. */
static void
on_deleted (CcStatus status, guint64 version, gpointer data)
{
  LeaseDeletion *d = data;

  (void) version;
  g_hash_table_remove (d->takeover->deleting, d->id);
  if (status == CC_OK)
    {
      ++*d->takeover->deleted;
      cc_log (CC_LOG_WARNING, "takeover", "deleted the lapsed lease of %s",
              d->id);
    }
  cc_follower_poll (d->takeover->follower);
  g_free (d->id);
  g_free (d);
}

/* Deletes the lease in ROW and its holder's member row, if neither the lease
 * nor the voters' row, last read at VOTERS_VERSION, has changed. */
static void
delete_lease (CcTakeover *t, const char *id, const CcRow *row,
              guint64 voters_version)
{
  CcTransaction *x = cc_transaction_new ();
  g_autofree char *member = g_strconcat ("member/", id, NULL);
  LeaseDeletion *d = g_new0 (LeaseDeletion, 1);

  d->takeover = t;
  d->id = g_strdup (id);
  g_hash_table_add (t->deleting, g_strdup (id));
  cc_transaction_check (x, row->key, row->version);
  cc_transaction_check (x, VOTERS_ROW, voters_version);
  cc_transaction_put (x, row->key, NULL);
  cc_transaction_put (x, member, NULL);
  cc_platform_commit (t->platform, x, on_deleted, d);
}

/* The watch of lease ID, created if there is none. */
static CcLeaseWatch *
find_watch (CcTakeover *t, const char *id)
{
  CcLeaseWatch *w = g_hash_table_lookup (t->watches, id);

  if (w != NULL)
    return w;
  w = g_new0 (CcLeaseWatch, 1);
  g_hash_table_insert (t->watches, g_strdup (id), w);
  return w;
}

/* Updates the watch of the lease in ROW.  If ACTIVE, deletes a lease that has
 * lapsed and was released. */
static void
check_lease (CcTakeover *t, const CcRow *row, gboolean active, gint64 now)
{
  const char *id = row->key + strlen (LEASE_PREFIX);
  CcLeaseWatch *w = find_watch (t, id);
  guint64 voters_version;

  cc_lease_watch (w, row->version, now);
  if (active && cc_lease_watch_lapsed (w, now) &&
      !g_hash_table_contains (t->deleting, id) &&
      cc_voting_release (t->voting, id, row->version, now, &voters_version))
    delete_lease (t, id, row, voters_version);
}

/* The version of the voters' row that the holder of LEASE knows; 0 if
 * unknown. */
static guint64
known_voters_version (const CcRow *lease)
{
  g_autoptr (JsonNode) root = cc_json_parse (lease->value, -1, NULL);

  return (guint64) cc_json_whole_member (cc_json_object (root), "voters", 0,
                                         G_MAXINT64, 0);
}

/* Whether the holders of all LEASES know the present version of the voters'
 * row. */
static gboolean
all_know_voters (const CcTakeover *t, const GPtrArray *leases)
{
  for (guint i = 0; i < leases->len; i++)
    {
      const CcRow *row = leases->pdata[i];

      if (!g_str_equal (row->key, LEASE_PREFIX "assign") &&
          known_voters_version (row) < t->voters_version)
        return FALSE;
    }
  return TRUE;
}

/* Handles the result of a write of the voters' row. */
static void
on_voters_written (CcStatus status, guint64 version, gpointer data)
{
  CcTakeover *t = data;

  (void) status, (void) version;
  t->writing = FALSE;
  t->voters_version = 0; /* read it again, as the write may have failed */
  cc_follower_poll (t->follower);
}

/* Reads the voters' row from the view if its version has changed. */
static void
read_voters (CcTakeover *t)
{
  const CcRow *row = cc_view_get (&t->follower->view, VOTERS_ROW);

  if (row == NULL || row->version == t->voters_version)
    return;
  g_ptr_array_unref (t->voters);
  t->voters = cc_voters_parse (row->value);
  t->voters_version = row->version;
}

/* The registered dispatchers as CcVoterInfo, whose strings belong to the
 * follower.  The caller unrefs the array. */
static GPtrArray *
list_members (const CcTakeover *t)
{
  GPtrArray *members = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, t->follower->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CcMember *m = value;
      CcVoterInfo *v = g_new0 (CcVoterInfo, 1);

      v->address = m->address;
      v->zone = m->zone;
      g_ptr_array_add (members, v);
    }
  return members;
}

/* Writes the voters' row if the set of voters has to change, but not before all
 * dispatchers know the previous change (voters.h). */
static void
update_voters (CcTakeover *t, const GPtrArray *leases, gint64 now)
{
  g_autoptr (GPtrArray) members = NULL;
  g_autofree char *value = NULL;
  CcTransaction *x;

  if (t->writing)
    return;
  read_voters (t);
  members = list_members (t);
  if (!all_know_voters (t, leases) ||
      !cc_voters_update (t->voters, members, now))
    return;
  value = cc_voters_print (t->voters);
  x = cc_transaction_new ();
  cc_transaction_check (x, VOTERS_ROW, t->voters_version);
  cc_transaction_put (x, VOTERS_ROW, value);
  t->writing = TRUE;
  cc_platform_commit (t->platform, x, on_voters_written, t);
}

/* Checks all leases at NOW.  Every assigner watches them, so that it knows
 * their age when it becomes active; only the ACTIVE one deletes leases and
 * changes the voters. */
void
cc_takeover_tick (CcTakeover *t, gboolean active, gint64 now)
{
  g_autoptr (GPtrArray) leases =
      cc_view_list (&t->follower->view, LEASE_PREFIX);

  for (guint i = 0; i < leases->len; i++)
    {
      const CcRow *row = leases->pdata[i];

      if (!g_str_equal (row->key, LEASE_PREFIX "assign"))
        check_lease (t, row, active, now);
    }
  if (active)
    update_voters (t, leases, now);
}
