/* Keeps the rule of one owner for each key when the table service comes back
 * without its latest writes.
 *
 * The holder of the lease writes all rows again, from its memory.  While it
 * could not renew the lease, another process may have taken it over by a write
 * that is lost.  Such a process has raised the fences of owners before it moved
 * keys, so until each owner has accepted a grant again, no range is moved, and
 * one that rejects its fence shows that there was one.
 *
 * A process that takes the lease over before the rows are complete again waits
 * for all grants that they may not name. */
#include "granter_era.h"

#include "event_log.h"
#include "granted_pool.h"
#include "row_version.h"

/* Fences of an era begin at this multiple of it. */
#define FENCES_OF_ERA ((guint64) 1 << 32)

/* Notes that the table service named VERSION at NOW.  Returns TRUE if it is the
 * first one of an era. */
gboolean
cc_granter_era_note (CcGranterEra *e, guint64 version, gint64 now)
{
  if (cc_row_era (version) <= e->era)
    {
      e->known |= version != 0;
      return FALSE;
    }
  e->lost_writes = e->known;
  e->era = cc_row_era (version);
  e->since = now;
  e->known = TRUE;
  return TRUE;
}

/* Returns until when grants may be in force that were made in an earlier era
 * and that no row names, us. */
static gint64
unnamed_grants_until (const CcGranterEra *e)
{
  return cc_grant_expiry (e->since + CC_GRANTER_RENEWAL_LIMIT +
                          CC_GRANT_CALL_TIMEOUT);
}

/* The holder of the lease has found a new era at NOW: the rows of POOLS are to
 * be written again. */
void
cc_granter_era_rows_lost (CcGranterEra *e, CcGrantShared *shared,
                          GHashTable *pools, gint64 now)
{
  gint64 confirmed_at = shared->lease.confirmed_at;
  GHashTableIter i;
  gpointer value;

  if (now >= confirmed_at + CC_GRANTER_TERM + CC_GRANTER_MARGIN)
    {
      shared->suspect_until = unnamed_grants_until (e);
      e->unconfirmed_since = confirmed_at;
    }
  g_hash_table_iter_init (&i, pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_granted_pool_rows_lost (value, e->era * FENCES_OF_ERA,
                               now < shared->suspect_until);
  cc_event (CC_EVENT_STATE, "rows-written-again", "era",
            cc_event_int ((gint64) e->era), "confirmed_ms",
            cc_event_int ((now - confirmed_at) / CC_MS), "suspect",
            shared->suspect_until > now ? "yes" : "no", NULL);
}

/* Whether another process that took the lease over in a time whose writes are
 * lost may have ended the moves of this one.  It waits for the grants of this
 * one to expire. */
static gboolean
moves_ended (const CcGranterEra *e)
{
  return e->since >= e->unconfirmed_since + CC_GRANT_HOLD;
}

/* Whether another process may have held the lease in a time whose writes are
 * lost.  Once the owners have accepted their grants again, that is so only for
 * the ranges of POOLS that nobody holds from this process. */
gboolean
cc_granter_era_is_suspect (CcGranterEra *e, CcGrantShared *shared,
                           GHashTable *pools, gint64 now)
{
  GHashTableIter i;
  gpointer value;

  if (now >= shared->suspect_until)
    return FALSE;
  g_hash_table_iter_init (&i, pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (!cc_granted_pool_is_answered (value, e->since))
      return TRUE;
  g_hash_table_iter_init (&i, pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    cc_granted_pool_hold_back (value, shared->suspect_until, moves_ended (e));
  e->unnamed_until = MAX (e->unnamed_until, shared->suspect_until);
  shared->suspect_until = 0;
  return FALSE;
}

/* Notes whether the rows of POOLS, all of which are loaded, are complete in the
 * present era, so that a successor may rely on them. */
void
cc_granter_era_check_rows (CcGranterEra *e, CcGrantShared *shared,
                           GHashTable *pools, gint64 now)
{
  GHashTableIter i;
  gpointer value;

  if (e->rows_era == e->era || now < e->unnamed_until ||
      cc_granter_era_is_suspect (e, shared, pools, now))
    return;
  g_hash_table_iter_init (&i, pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (cc_granted_pool_has_lost_rows (value))
      return;
  e->rows_era = e->era;
}

/* The row of the lease, if it EXISTS, names ROWS_ERA, the era in which the rows
 * of ranges are complete; -1: it names none.
 *
 * Without a row there were no grants if the service has never lost writes;
 * otherwise it may have lost that row and all others. */
void
cc_granter_era_lease_read (CcGranterEra *e, gboolean exists, gint64 rows_era)
{
  if (rows_era >= 0)
    e->rows_era = (guint64) rows_era;
  else if (exists && !e->lost_writes)
    /* A build that knows no eras has written it. */
    e->rows_era = e->era;
}

/* Sets in PREDECESSOR what the rows of ranges that a new holder of the lease
 * has just read may lack. */
void
cc_granter_era_load (CcGranterEra *e, CcPredecessor *predecessor)
{
  predecessor->fence_min = e->era * FENCES_OF_ERA;
  predecessor->unnamed_until =
      e->rows_era != e->era ? unnamed_grants_until (e) : 0;
  e->unnamed_until = predecessor->unnamed_until;
}

/* Whether the holder of the lease may be about to write its row again at NOW,
 * which the service has lost. */
gboolean
cc_granter_era_may_be_renewed (const CcGranterEra *e, gint64 now)
{
  return e->lost_writes && now < e->since + CC_GRANTER_TERM + CC_GRANTER_MARGIN;
}
