/* Cold starts and flapping servers, without network or clock.
 *
 * Load patterns: a server that joins under load is slow until it is warm; given
 * its whole share at once it would miss its deadlines.  A server that is lost,
 * back, lost would be given units and have them taken away each time: churn at
 * every turn, and its keys unavailable for each loss.  So a server that joins
 * gets its share in steps, and one that was lost twice in ten minutes has to
 * stand for a time first, twice as long after each further loss: the moves
 * that n minutes of flapping cause grow with the logarithm of n.
 *
 * The first loss carries no such time: a zone that comes back after a cut
 * would else leave its load to the others for longer than needed.
 *
 * Kept in memory only.  A new assigner takes a server that owns units for a
 * warm one, and one without units for one that joins now.  So does one that
 * still holds a server back: the units come from another assigner, which
 * remembers other losses, and taken away they would be given back at once.
 */
#include "server_shares.h"

typedef struct
{
  gboolean live;
  gboolean warm;    /* it owned units when first seen, or when it came */
  gint64 since;     /* when it became live, us */
  gint64 last_loss; /* us */
  guint recent_losses;
} Standing;

struct CcServerShares
{
  GHashTable *by_name; /* server to Standing */
};

/* An empty table. */
CcServerShares *
cc_server_shares_new (void)
{
  CcServerShares *t = g_new0 (CcServerShares, 1);

  t->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return t;
}

/* Frees T. */
void
cc_server_shares_free (CcServerShares *t)
{
  g_hash_table_unref (t->by_name);
  g_free (t);
}

static void
note_loss (Standing *s, gint64 now)
{
  if (now - s->last_loss > CC_FLAP_WINDOW)
    s->recent_losses = 0;
  s->recent_losses++;
  s->last_loss = now;
}

static gint64
hold_after (guint losses)
{
  if (losses < 2)
    return 0;
  return MIN (CC_FLAP_HOLD << MIN (losses - 2, 10), CC_FLAP_MAX);
}

/* For how long S has been warming up at NOW; negative: not yet. */
static gint64
warming_for (const Standing *s, gint64 now)
{
  return now - s->since - hold_after (s->recent_losses);
}

/* To be told at each step: SERVER is in STATE; OWNS tells whether any unit is
 * its own. */
void
cc_server_shares_update (CcServerShares *t, const char *server,
                         CcServerState state, gboolean owns, gint64 now)
{
  Standing *s = g_hash_table_lookup (t->by_name, server);
  gboolean live = state == CC_SERVER_LIVE;

  if (s == NULL)
    {
      s = g_new0 (Standing, 1);
      s->last_loss = -CC_FLAP_WINDOW - 1;
      g_hash_table_insert (t->by_name, g_strdup (server), s);
    }
  if (live && !s->live)
    {
      s->since = now;
      s->warm = owns;
    }
  else if (live && owns && warming_for (s, now) < 0)
    s->warm = TRUE;
  if (!live && s->live && state != CC_SERVER_LEAVING)
    note_loss (s, now);
  s->live = live;
}

/* The part of a warm server's load that SERVER is to have at NOW, 0 to 1. */
double
cc_server_shares_of (const CcServerShares *t, const char *server, gint64 now)
{
  const Standing *s = g_hash_table_lookup (t->by_name, server);
  gint64 warming, step;

  if (s == NULL || !s->live)
    return 0;
  if (s->warm)
    return 1;
  warming = warming_for (s, now);
  if (warming < 0)
    return 0;
  step = MIN (warming / CC_WARM_STEP + 1, CC_WARM_STEPS);
  return (double) step / CC_WARM_STEPS;
}

/* Whether SERVER is still to be brought up to its share, rather than to wait
 * for an imbalance that is worth a move. */
gboolean
cc_server_shares_is_warming (const CcServerShares *t, const char *server,
                             gint64 now)
{
  const Standing *s = g_hash_table_lookup (t->by_name, server);

  if (s == NULL || !s->live || s->warm)
    return FALSE;
  return warming_for (s, now) < (CC_WARM_STEPS + 1) * CC_WARM_STEP;
}
